#include "admit/admit.h"

#include <glib.h>

#define ADMIT_TICKETS 1048575U

struct admit_ticket {
	struct admit_request request;
	tab_handle handle;
	bool running;
};

struct admit {
	struct admit_params params;
	struct tab tickets; /* struct admit_ticket */
	GQueue queue[RANK_COUNT]; /* handles */
	uint32_t running[RANK_COUNT];
	uint32_t n_queued;
};

struct admit *admit_new(const struct admit_params *p)
{
	struct admit *a = g_new0(struct admit, 1);

	a->params = *p;
	tab_init(&a->tickets, sizeof(struct admit_ticket), ADMIT_TICKETS);
	for (int r = 0; r < RANK_COUNT; r++)
		g_queue_init(&a->queue[r]);
	return a;
}

void admit_free(struct admit *a)
{
	if (!a)
		return;
	for (int r = 0; r < RANK_COUNT; r++)
		g_queue_clear(&a->queue[r]);
	tab_clear(&a->tickets);
	g_free(a);
}

void admit_set_params(struct admit *a, const struct admit_params *p)
{
	a->params = *p;
}

void admit_set_capacity(struct admit *a, const struct admit_capacity *c, int64_t now)
{
}

int admit_add(struct admit *a, const struct admit_request *r, int64_t now, tab_handle *ticket,
	      struct admit_refusal *why)
{
	struct admit_ticket *t;

	if (a->n_queued >= a->params.queue_count || tab_add(&a->tickets, ticket) < 0) {
		*why = (struct admit_refusal){ REFUSAL_QUEUE_FULL, USEC_PER_SEC };
		return -EBUSY;
	}
	t = tab_get(&a->tickets, *ticket);
	t->request = *r;
	t->handle = *ticket;
	g_queue_push_tail(&a->queue[r->rank], GUINT_TO_POINTER(*ticket));
	a->n_queued++;
	return 0;
}

void *admit_next(struct admit *a, int64_t now, tab_handle *ticket, bool *expired)
{
	for (int r = 0; r < RANK_COUNT; r++) {
		const struct admit_ticket *t;

		if (g_queue_is_empty(&a->queue[r]))
			continue;
		*ticket = GPOINTER_TO_UINT(g_queue_peek_head(&a->queue[r]));
		t = tab_get(&a->tickets, *ticket);
		*expired = now > t->request.deadline;
		return t->request.owner;
	}
	return NULL;
}

void admit_start(struct admit *a, tab_handle ticket, int64_t now)
{
	struct admit_ticket *t = tab_get(&a->tickets, ticket);

	if (!t || t->running)
		return;
	t->running = true;
	g_queue_remove(&a->queue[t->request.rank], GUINT_TO_POINTER(ticket));
	a->n_queued--;
	a->running[t->request.rank]++;
}

void admit_progress(struct admit *a, tab_handle ticket, double tokens, int64_t now)
{
}

void admit_done(struct admit *a, tab_handle ticket, bool ok, bool overloaded, int64_t first_token,
		int64_t now)
{
	struct admit_ticket *t = tab_get(&a->tickets, ticket);

	if (!t || !t->running)
		return;
	a->running[t->request.rank]--;
	tab_del(&a->tickets, ticket);
}

void admit_cancel(struct admit *a, tab_handle ticket)
{
	struct admit_ticket *t = tab_get(&a->tickets, ticket);

	if (!t || t->running)
		return;
	g_queue_remove(&a->queue[t->request.rank], GUINT_TO_POINTER(ticket));
	a->n_queued--;
	tab_del(&a->tickets, ticket);
}

void *admit_preempt(struct admit *a, int64_t now)
{
	return NULL;
}

void admit_blocked(struct admit *a, tab_handle ticket, int64_t now)
{
}

void admit_fleet_cost(struct admit *a, uint64_t account, double tokens_per_second, int64_t now)
{
}

uint32_t admit_queued(const struct admit *a, enum rank rank)
{
	return a->queue[rank].length;
}

uint32_t admit_running(const struct admit *a, enum rank rank)
{
	return a->running[rank];
}

double admit_limit(const struct admit *a)
{
	return ADMIT_TICKETS;
}
