#include "place/load.h"

#include <glib.h>
#include <string.h>

#define LOAD_DEFAULT_PREFILL_RATE 8000.0 /* tokens per second */
#define LOAD_DEFAULT_DECODE_RATE  40.0 /* tokens per second */

struct load_row {
	struct load_report report;
	int64_t reported_at; /* microseconds, 0: never */
	double own_tokens;
	uint32_t own_requests;
};

struct load {
	GHashTable *rows; /* handle -> owned struct load_row */
	uint32_t n_instances;
};

struct load *load_new(void)
{
	struct load *l = g_new0(struct load, 1);

	l->rows = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	l->n_instances = 1;
	return l;
}

void load_free(struct load *l)
{
	if (!l)
		return;
	g_hash_table_unref(l->rows);
	g_free(l);
}

void load_set_instances(struct load *l, uint32_t n)
{
	l->n_instances = MAX(n, 1);
}

static struct load_row *row_of(struct load *l, tab_handle upstream)
{
	struct load_row *row = g_hash_table_lookup(l->rows, GUINT_TO_POINTER(upstream));

	if (!row) {
		row = g_new0(struct load_row, 1);
		g_hash_table_insert(l->rows, GUINT_TO_POINTER(upstream), row);
	}
	return row;
}

void load_reported(struct load *l, tab_handle upstream, const struct load_report *r, int64_t now)
{
	struct load_row *row = row_of(l, upstream);

	if (r->epoch < row->report.epoch ||
	    (r->epoch == row->report.epoch && r->seq < row->report.seq))
		return;
	row->report = *r;
	row->reported_at = now - r->age;
}

void load_sent(struct load *l, tab_handle upstream, double tokens, int64_t now)
{
	struct load_row *row = row_of(l, upstream);

	row->own_tokens += tokens;
	row->own_requests++;
}

void load_done(struct load *l, tab_handle upstream, double tokens, int64_t now)
{
	struct load_row *row = row_of(l, upstream);

	row->own_tokens = MAX(0, row->own_tokens - tokens);
	if (row->own_requests > 0)
		row->own_requests--;
}

void load_forget(struct load *l, tab_handle upstream)
{
	g_hash_table_remove(l->rows, GUINT_TO_POINTER(upstream));
}

void load_view(const struct load *l, tab_handle upstream, int64_t now, struct load_view *v)
{
	const struct load_row *row = g_hash_table_lookup(l->rows, GUINT_TO_POINTER(upstream));

	memset(v, 0, sizeof(*v));
	v->prefill_rate = LOAD_DEFAULT_PREFILL_RATE;
	v->decode_rate = LOAD_DEFAULT_DECODE_RATE;
	v->age = INT64_MAX;
	if (!row)
		return;
	v->own_tokens = row->own_tokens;
	v->own_requests = row->own_requests;
	v->tokens = MAX(row->own_tokens, row->report.queued_tokens + row->report.running_tokens);
	v->slots = row->report.slots;
	v->running = row->report.running;
	v->queued = row->report.queued;
	if (row->report.prefill_rate > 0)
		v->prefill_rate = row->report.prefill_rate;
	if (row->report.decode_rate > 0)
		v->decode_rate = row->report.decode_rate;
	if (row->reported_at)
		v->age = now - row->reported_at;
}

void load_newest(const struct load *l, tab_handle upstream, int64_t now, struct load_report *out)
{
	const struct load_row *row = g_hash_table_lookup(l->rows, GUINT_TO_POINTER(upstream));

	memset(out, 0, sizeof(*out));
	if (!row || !row->reported_at)
		return;
	*out = row->report;
	out->age = now - row->reported_at;
}
