#include "base/timer.h"

#include <glib.h>
#include <stdbool.h>

struct timer_sub {
	uint32_t id;
	int64_t due; /* time of the next call */
	int64_t period; /* 0: one-shot */
	timer_fn fn;
	void *arg;
	bool cancelled; /* removed by the next timer_advance() */
};

struct timer_svc {
	GPtrArray *subs; /* owned struct timer_sub, in order of subscription */
	uint32_t last_id;
};

struct timer_svc *timer_svc_new(void)
{
	struct timer_svc *s = g_new0(struct timer_svc, 1);

	s->subs = g_ptr_array_new_with_free_func(g_free);
	return s;
}

void timer_svc_free(struct timer_svc *s)
{
	if (!s)
		return;
	g_ptr_array_unref(s->subs);
	g_free(s);
}

uint32_t timer_subscribe(struct timer_svc *s, int64_t first, int64_t period, timer_fn fn, void *arg)
{
	struct timer_sub *sub = g_new0(struct timer_sub, 1);

	sub->id = ++s->last_id;
	sub->due = first;
	sub->period = period;
	sub->fn = fn;
	sub->arg = arg;
	g_ptr_array_add(s->subs, sub);
	return sub->id;
}

void timer_cancel(struct timer_svc *s, uint32_t id)
{
	for (guint i = 0; i < s->subs->len; i++) {
		struct timer_sub *sub = s->subs->pdata[i];

		if (sub->id == id)
			sub->cancelled = true;
	}
}

int64_t timer_next(const struct timer_svc *s)
{
	int64_t next = INT64_MAX;

	for (guint i = 0; i < s->subs->len; i++) {
		const struct timer_sub *sub = s->subs->pdata[i];

		if (!sub->cancelled)
			next = MIN(next, sub->due);
	}
	return next;
}

static void timer_run(struct timer_sub *sub, int64_t now)
{
	if (sub->period > 0)
		sub->due += ((now - sub->due) / sub->period + 1) * sub->period;
	else
		sub->cancelled = true;
	sub->fn(sub->arg, now);
}

void timer_advance(struct timer_svc *s, int64_t now)
{
	for (guint i = 0; i < s->subs->len; i++) {
		struct timer_sub *sub = s->subs->pdata[i];

		if (!sub->cancelled && sub->due <= now)
			timer_run(sub, now);
	}
	for (guint i = s->subs->len; i > 0; i--) {
		struct timer_sub *sub = s->subs->pdata[i - 1];

		if (sub->cancelled)
			g_ptr_array_remove_index(s->subs, i - 1);
	}
}
