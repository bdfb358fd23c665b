#include "place/load.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define LOAD_DEFAULT_PREFILL_RATE 8000.0 /* tokens per second */
#define LOAD_DEFAULT_DECODE_RATE  40.0 /* tokens per second */
#define LOAD_SLOT_MASK		  ((1U << 20) - 1) /* slot bits of a tab_handle */
#define LOAD_BUCKET_SHIFT	  16 /* log2 of microseconds: 65.5 ms per bucket */
#define LOAD_BUCKETS		  64 /* 4.2 s; see own_load_at() for reports delayed longer */
#define LOAD_REPORT_MAX_AGE	  (5 * USEC_PER_SEC) /* the load of older reports is not used */
#define LOAD_RATE_TIME_CONSTANT	  20.0 /* seconds, decay of squares_sum */

struct load_amount {
	float tokens;
	uint32_t requests;
};

struct load_entry {
	tab_handle handle; /* 0: unused */
	bool has_report;
	int64_t report_time; /* when the report was generated, valid if has_report */
	struct load_estimate estimate; /* without the time-dependent fields */
	struct load_amount others; /* reported load less own load then, computed on receipt */
	double own_at_report; /* own tokens at report_time */
	struct load_report report;
	int64_t last_bucket; /* bucket of the last update; history covers the earlier ones */
	struct load_amount history[LOAD_BUCKETS]; /* own load at the end of each bucket, a ring */
};

struct load {
	GPtrArray *entries; /* slot of the handle -> owned struct load_entry or NULL */
	uint32_t n_entries;
	uint32_t n_instances;
	double squares_sum; /* decaying sum of squared sizes of own requests, tokens^2 */
	int64_t squares_updated_at;
	double unreported_variance_rate; /* growth per upstream, tokens^2 per second */
};

struct load *load_new(void)
{
	struct load *l = g_new0(struct load, 1);

	l->entries = g_ptr_array_new_with_free_func(g_free);
	l->n_instances = 1;
	return l;
}

void load_free(struct load *l)
{
	if (!l)
		return;
	g_ptr_array_unref(l->entries);
	g_free(l);
}

void load_set_instances(struct load *l, uint32_t n)
{
	l->n_instances = MAX(n, 1);
}

static struct load_entry *entry_find(const struct load *l, tab_handle upstream)
{
	uint32_t i = upstream & LOAD_SLOT_MASK;
	struct load_entry *e = i < l->entries->len ? l->entries->pdata[i] : NULL;

	return e && e->handle == upstream ? e : NULL;
}

static struct load_entry *entry_get(struct load *l, tab_handle upstream)
{
	uint32_t i = upstream & LOAD_SLOT_MASK;
	struct load_entry *e;

	if (i >= l->entries->len)
		g_ptr_array_set_size(l->entries, (gint)i + 1);
	e = l->entries->pdata[i];
	if (!e) {
		e = g_new0(struct load_entry, 1);
		l->entries->pdata[i] = e;
		l->n_entries++;
	}
	/* A reused slot has another generation and belongs to another upstream. */
	if (e->handle != upstream) {
		memset(e, 0, sizeof(*e));
		e->handle = upstream;
	}
	return e;
}

/* Records the current own load for all buckets that ended since the last update. */
static void record_own_load(struct load_entry *e, int64_t now)
{
	int64_t b = now >> LOAD_BUCKET_SHIFT;
	struct load_amount v = { (float)e->estimate.own_tokens, e->estimate.own_requests };

	for (int64_t i = MAX(e->last_bucket, b - LOAD_BUCKETS); i < b; i++)
		e->history[i & (LOAD_BUCKETS - 1)] = v;
	e->last_bucket = MAX(e->last_bucket, b);
}

/* Own load at time @t, or the oldest recorded one if @t precedes the history. */
static struct load_amount own_load_at(struct load_entry *e, int64_t t, int64_t now)
{
	int64_t b = t >> LOAD_BUCKET_SHIFT;

	record_own_load(e, now);
	if (b >= e->last_bucket)
		return (struct load_amount){ (float)e->estimate.own_tokens,
					     e->estimate.own_requests };
	return e->history[MAX(b, e->last_bucket - LOAD_BUCKETS) & (LOAD_BUCKETS - 1)];
}

/*
 * Microseconds until a new request gets a batch slot: 0 while slots are free or their number is
 * unknown, otherwise the tokens of the requests that must complete first, all taken as of mean
 * size, divided by the decode rate of all slots together.
 */
static double queue_wait(const struct load_entry *e, const struct load_estimate *v)
{
	double requests = (double)e->others.requests + e->estimate.own_requests;
	double mean;

	if (v->slots == 0 || requests < v->slots)
		return 0;
	mean = v->tokens / requests;
	return (requests - v->slots + 1) * mean / (v->decode_rate * v->slots) * USEC_PER_SEC;
}

/* Recomputes the stored estimate after a request or report. */
static void update_estimate(struct load_entry *e)
{
	const struct load_report *r = &e->report;
	struct load_estimate *v = &e->estimate;

	v->slots = r->slots;
	v->prefill_rate = r->prefill_rate > 0 ? r->prefill_rate : LOAD_DEFAULT_PREFILL_RATE;
	v->decode_rate = r->decode_rate > 0 ? r->decode_rate : LOAD_DEFAULT_DECODE_RATE;
	v->tokens = v->own_tokens + (double)e->others.tokens;
	v->own_since_report = e->has_report ? v->own_tokens - e->own_at_report : 0;
	v->queue_wait = queue_wait(e, v);
}

void load_apply_report(struct load *l, tab_handle upstream, const struct load_report *r,
		       int64_t now)
{
	struct load_entry *e = entry_get(l, upstream);
	struct load_amount own;
	double total = r->queued_tokens + r->running_tokens;

	if (e->has_report && (r->epoch < e->report.epoch ||
			      (r->epoch == e->report.epoch && r->seq <= e->report.seq)))
		return;
	e->report = *r;
	e->has_report = true;
	e->report_time = now - MAX(r->age, 0);
	own = own_load_at(e, e->report_time, now);
	e->own_at_report = (double)own.tokens;
	e->others.tokens = (float)MAX(0, total - (double)own.tokens);
	e->others.requests = r->running + r->queued - MIN(own.requests, r->running + r->queued);
	update_estimate(e);
}

/*
 * The others are assumed to send requests like the own ones. The variance of what they start grows
 * by the square of each request's tokens; completions have the same variance, hence the factor 2.
 */
static void update_variance_rate(struct load *l)
{
	l->unreported_variance_rate = 2.0 * (l->n_instances - 1) * l->squares_sum /
				      LOAD_RATE_TIME_CONSTANT / MAX(l->n_entries, 1);
}

void load_add_request(struct load *l, tab_handle upstream, double tokens, int64_t now)
{
	struct load_entry *e = entry_get(l, upstream);
	double dt = (double)(now - l->squares_updated_at) / USEC_PER_SEC;

	record_own_load(e, now);
	e->estimate.own_tokens += tokens;
	e->estimate.own_requests++;
	if (dt > 0) {
		l->squares_sum *= exp(-dt / LOAD_RATE_TIME_CONSTANT);
		l->squares_updated_at = now;
	}
	l->squares_sum += tokens * tokens;
	update_variance_rate(l);
	update_estimate(e);
}

void load_remove_request(struct load *l, tab_handle upstream, double tokens, int64_t now)
{
	struct load_entry *e = entry_get(l, upstream);

	record_own_load(e, now);
	e->estimate.own_tokens = MAX(0, e->estimate.own_tokens - tokens);
	if (e->estimate.own_requests > 0 && --e->estimate.own_requests == 0)
		e->estimate.own_tokens = 0;
	update_estimate(e);
}

void load_remove_upstream(struct load *l, tab_handle upstream)
{
	if (!entry_find(l, upstream))
		return;
	g_free(l->entries->pdata[upstream & LOAD_SLOT_MASK]);
	l->entries->pdata[upstream & LOAD_SLOT_MASK] = NULL;
	l->n_entries--;
}

void load_estimate(const struct load *l, tab_handle upstream, int64_t now, struct load_estimate *v)
{
	const struct load_entry *e = entry_find(l, upstream);

	if (!e) {
		*v = (struct load_estimate){ .prefill_rate = LOAD_DEFAULT_PREFILL_RATE,
					     .decode_rate = LOAD_DEFAULT_DECODE_RATE,
					     .age = INT64_MAX,
					     .instances = l->n_instances };
		return;
	}
	*v = e->estimate;
	v->instances = l->n_instances;
	v->age = e->has_report ? now - e->report_time : INT64_MAX;
	v->unreported_variance = l->unreported_variance_rate *
				 (double)MIN(v->age, LOAD_REPORT_MAX_AGE) / USEC_PER_SEC;
	if (v->age <= LOAD_REPORT_MAX_AGE)
		return;
	v->tokens = v->own_tokens * l->n_instances;
	v->own_since_report = 0;
	v->queue_wait = 0;
}

void load_latest_report(const struct load *l, tab_handle upstream, int64_t now,
			struct load_report *out)
{
	const struct load_entry *e = entry_find(l, upstream);

	memset(out, 0, sizeof(*out));
	if (!e || !e->has_report)
		return;
	*out = e->report;
	out->age = now - e->report_time;
}

size_t load_bytes(const struct load *l)
{
	return sizeof(*l) + l->entries->len * sizeof(gpointer) +
	       l->n_entries * sizeof(struct load_entry);
}
