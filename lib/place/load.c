#include "place/load.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define LOAD_DEFAULT_PREFILL_RATE 8000.0 /* tokens per second */
#define LOAD_DEFAULT_DECODE_RATE  40.0 /* tokens per second */
#define LOAD_INDEX_MASK		  ((1U << 20) - 1) /* slot part of a tab_handle */
#define LOAD_BUCKET_BITS	  16 /* a bucket is 65.5 ms */
#define LOAD_BUCKETS		  64 /* 4.2 s, more than the lag of a usable report */
#define LOAD_STALE		  (5 * USEC_PER_SEC) /* older reports are not used */
#define LOAD_RATE_TIME		  20.0 /* seconds, time constant of the rate of sends */

/* Own load at the end of a bucket of time. */
struct load_past {
	float tokens;
	uint32_t requests;
};

struct load_row {
	tab_handle handle; /* 0: unused */
	bool has_report;
	int64_t made_at; /* time of the report, valid if has_report */
	struct load_estimate
		view; /* the estimate but for what depends on the time; see refresh() */
	struct load_past foreign; /* part of the report that others sent, fixed at its receipt */
	double own_then; /* own load at the time of the report */
	struct load_report report;
	int64_t bucket; /* bucket of the last change; the past holds all earlier ones */
	struct load_past past[LOAD_BUCKETS];
};

struct load {
	GPtrArray *rows; /* slot of the handle -> owned struct load_row or NULL */
	uint32_t n_rows;
	uint32_t n_instances;
	double square_rate; /* decaying sum of squares of own sends; tokens^2 */
	int64_t square_at;
	double unseen_rate; /* growth of an upstream's unreported_variance load, tokens^2 per second */
};

struct load *load_new(void)
{
	struct load *l = g_new0(struct load, 1);

	l->rows = g_ptr_array_new_with_free_func(g_free);
	l->n_instances = 1;
	return l;
}

void load_free(struct load *l)
{
	if (!l)
		return;
	g_ptr_array_unref(l->rows);
	g_free(l);
}

void load_set_instances(struct load *l, uint32_t n)
{
	l->n_instances = MAX(n, 1);
}

static struct load_row *row_find(const struct load *l, tab_handle upstream)
{
	uint32_t i = upstream & LOAD_INDEX_MASK;
	struct load_row *row = i < l->rows->len ? l->rows->pdata[i] : NULL;

	return row && row->handle == upstream ? row : NULL;
}

static struct load_row *row_of(struct load *l, tab_handle upstream)
{
	uint32_t i = upstream & LOAD_INDEX_MASK;
	struct load_row *row;

	if (i >= l->rows->len)
		g_ptr_array_set_size(l->rows, (gint)i + 1);
	row = l->rows->pdata[i];
	if (!row) {
		row = g_new0(struct load_row, 1);
		l->rows->pdata[i] = row;
		l->n_rows++;
	}
	/* Another generation of the slot is another upstream. */
	if (row->handle != upstream) {
		memset(row, 0, sizeof(*row));
		row->handle = upstream;
	}
	return row;
}

/* Writes the own load into all buckets that ended since the last change. */
static void row_advance(struct load_row *row, int64_t now)
{
	int64_t b = now >> LOAD_BUCKET_BITS;
	struct load_past v = { (float)row->view.own_tokens, row->view.own_requests };

	for (int64_t i = MAX(row->bucket, b - LOAD_BUCKETS); i < b; i++)
		row->past[i & (LOAD_BUCKETS - 1)] = v;
	row->bucket = MAX(row->bucket, b);
}

/* Own load at time @t; for a time before the kept ones the oldest known. */
static struct load_past row_past(struct load_row *row, int64_t t, int64_t now)
{
	int64_t b = t >> LOAD_BUCKET_BITS;

	row_advance(row, now);
	if (b >= row->bucket)
		return (struct load_past){ (float)row->view.own_tokens, row->view.own_requests };
	return row->past[MAX(b, row->bucket - LOAD_BUCKETS) & (LOAD_BUCKETS - 1)];
}

/*
 * Time until a new request gets a batch slot: none while slots are free, else the queued tokens at
 * the rate at which all slots together finish them.
 */
static double queue_wait(const struct load_row *row, const struct load_estimate *v)
{
	double requests = (double)row->foreign.requests + row->view.own_requests;
	double mean;

	if (v->slots == 0 || requests < v->slots)
		return 0;
	mean = v->tokens / requests;
	return (requests - v->slots + 1) * mean / (v->decode_rate * v->slots) * USEC_PER_SEC;
}

/* Brings the kept estimate up to date after a change. */
static void refresh(struct load_row *row)
{
	const struct load_report *r = &row->report;
	struct load_estimate *v = &row->view;

	v->slots = r->slots;
	v->prefill_rate = r->prefill_rate > 0 ? r->prefill_rate : LOAD_DEFAULT_PREFILL_RATE;
	v->decode_rate = r->decode_rate > 0 ? r->decode_rate : LOAD_DEFAULT_DECODE_RATE;
	v->tokens = v->own_tokens + (double)row->foreign.tokens;
	v->own_since_report = row->has_report ? v->own_tokens - row->own_then : 0;
	v->queue_wait = queue_wait(row, v);
}

void load_apply_report(struct load *l, tab_handle upstream, const struct load_report *r,
		       int64_t now)
{
	struct load_row *row = row_of(l, upstream);
	struct load_past own;
	double total = r->queued_tokens + r->running_tokens;

	if (row->has_report && (r->epoch < row->report.epoch ||
				(r->epoch == row->report.epoch && r->seq <= row->report.seq)))
		return;
	row->report = *r;
	row->has_report = true;
	row->made_at = now - MAX(r->age, 0);
	own = row_past(row, row->made_at, now);
	row->own_then = (double)own.tokens;
	row->foreign.tokens = (float)MAX(0, total - (double)own.tokens);
	row->foreign.requests = r->running + r->queued - MIN(own.requests, r->running + r->queued);
	refresh(row);
}

/* What others send and what ends at them vary alike, hence the factor two. */
static void update_unseen(struct load *l)
{
	l->unseen_rate =
		2.0 * (l->n_instances - 1) * l->square_rate / LOAD_RATE_TIME / MAX(l->n_rows, 1);
}

void load_add_request(struct load *l, tab_handle upstream, double tokens, int64_t now)
{
	struct load_row *row = row_of(l, upstream);
	double dt = (double)(now - l->square_at) / USEC_PER_SEC;

	row_advance(row, now);
	row->view.own_tokens += tokens;
	row->view.own_requests++;
	if (dt > 0) {
		l->square_rate *= exp(-dt / LOAD_RATE_TIME);
		l->square_at = now;
	}
	l->square_rate += tokens * tokens;
	update_unseen(l);
	refresh(row);
}

void load_remove_request(struct load *l, tab_handle upstream, double tokens, int64_t now)
{
	struct load_row *row = row_of(l, upstream);

	row_advance(row, now);
	row->view.own_tokens = MAX(0, row->view.own_tokens - tokens);
	if (row->view.own_requests > 0 && --row->view.own_requests == 0)
		row->view.own_tokens = 0;
	refresh(row);
}

void load_remove_upstream(struct load *l, tab_handle upstream)
{
	if (!row_find(l, upstream))
		return;
	g_free(l->rows->pdata[upstream & LOAD_INDEX_MASK]);
	l->rows->pdata[upstream & LOAD_INDEX_MASK] = NULL;
	l->n_rows--;
}

void load_estimate(const struct load *l, tab_handle upstream, int64_t now, struct load_estimate *v)
{
	const struct load_row *row = row_find(l, upstream);

	if (!row) {
		*v = (struct load_estimate){ .prefill_rate = LOAD_DEFAULT_PREFILL_RATE,
					     .decode_rate = LOAD_DEFAULT_DECODE_RATE,
					     .age = INT64_MAX,
					     .instances = l->n_instances };
		return;
	}
	*v = row->view;
	v->instances = l->n_instances;
	v->age = row->has_report ? now - row->made_at : INT64_MAX;
	v->unreported_variance = l->unseen_rate * (double)MIN(v->age, LOAD_STALE) / USEC_PER_SEC;
	if (v->age <= LOAD_STALE)
		return;
	v->tokens = v->own_tokens * l->n_instances;
	v->own_since_report = 0;
	v->queue_wait = 0;
}

void load_latest_report(const struct load *l, tab_handle upstream, int64_t now,
			struct load_report *out)
{
	const struct load_row *row = row_find(l, upstream);

	memset(out, 0, sizeof(*out));
	if (!row || !row->has_report)
		return;
	*out = row->report;
	out->age = now - row->made_at;
}

size_t load_bytes(const struct load *l)
{
	return sizeof(*l) + l->rows->len * sizeof(gpointer) + l->n_rows * sizeof(struct load_row);
}
