#include "locality/locality.h"

#include <glib.h>
#include <math.h>

#include "base/base.h"

#define WAYS 4U /* rows that a key may be in */

/* Order of magnitude of engines in service; only its ratio to the load terms decides. */
#define PREFILL_RATE 30000.0 /* prompt tokens per second */
/* Each request in a batch lengthens the steps of all; measured engines lose 0.2% to 0.5%. */
#define RUNNING_COST (2.0 * USEC_PER_MSEC)
/* Another failure domain costs a round trip and paid traffic. */
#define FAR_COST (1.0 * USEC_PER_MSEC)
/* Without a report a part may have been evicted; engines of today hold minutes of traffic. */
#define HELD_FOR (60 * USEC_PER_SEC)

struct row {
	uint64_t key; /* of the part and the upstream; 0: unused */
	int64_t at; /* last use */
};

struct locality {
	struct locality_params params;
	struct row *rows; /* owned, n_sets * WAYS */
	uint32_t n_sets; /* power of two */
};

struct locality *locality_new(const struct locality_params *p)
{
	struct locality *l = g_new0(struct locality, 1);

	l->params = *p;
	l->n_sets = 1;
	while (l->n_sets * WAYS < p->rows)
		l->n_sets *= 2;
	l->rows = g_new0(struct row, (size_t)l->n_sets * WAYS);
	return l;
}

void locality_free(struct locality *l)
{
	if (!l)
		return;
	g_free(l->rows);
	g_free(l);
}

const char *locality_reason_name(enum locality_reason r)
{
	static const char *const names[] = { "home", "held", "moved", "load", "full" };

	return names[r];
}

/* The last part belongs to one request only, unless it is the only one. */
static uint32_t shared_parts(const struct locality_request *r)
{
	return r->n_parts > 1 ? r->n_parts - 1 : r->n_parts;
}

uint64_t locality_chat(const struct locality_request *r)
{
	return r->n_parts ? r->parts[shared_parts(r) - 1].id : 0;
}

static struct row *set_of(const struct locality *l, uint64_t key)
{
	return &l->rows[(size_t)(key & (l->n_sets - 1)) * WAYS];
}

static bool is_held(const struct locality *l, uint64_t part, uint64_t id_hash, int64_t now)
{
	uint64_t key = hash_pair(part, id_hash) | 1;
	const struct row *set = set_of(l, key >> 1);

	for (uint32_t i = 0; i < WAYS; i++) {
		if (set[i].key == key)
			return now - set[i].at < HELD_FOR;
	}
	return false;
}

static void note_held(struct locality *l, uint64_t part, uint64_t id_hash, int64_t now)
{
	uint64_t key = hash_pair(part, id_hash) | 1;
	struct row *set = set_of(l, key >> 1);
	struct row *oldest = set;

	for (uint32_t i = 0; i < WAYS; i++) {
		if (set[i].key == key) {
			set[i].at = now;
			return;
		}
		if (set[i].at < oldest->at)
			oldest = &set[i];
	}
	*oldest = (struct row){ key, now };
}

void locality_ran(struct locality *l, const struct locality_request *r, uint64_t id_hash,
		  int64_t now)
{
	for (uint32_t i = 0; i < r->n_parts; i++)
		note_held(l, r->parts[i].id, id_hash, now);
}

/* Tokens of the prompt after the parts that @c holds; @home: other instances send the chat there. */
static double missing_at(const struct locality *l, const struct locality_request *r,
			 const struct locality_candidate *c, bool home, int64_t now, bool *held)
{
	double missing = 0;
	uint32_t i = 0;

	while (i < r->n_parts && is_held(l, r->parts[i].id, c->id_hash, now))
		i++;
	*held = i >= shared_parts(r);
	if (home)
		i = MAX(i, shared_parts(r));
	for (; i < r->n_parts; i++)
		missing += r->parts[i].tokens;
	return missing;
}

static double rendezvous(uint64_t chat, const struct locality_candidate *c)
{
	double u = ((double)(hash_pair(chat, c->id_hash) >> 11) + 0.5) * 0x1.0p-53;

	return -MAX(c->weight, 1e-6) / log(u);
}

static double mean_running(const struct locality_candidate *c, uint32_t n)
{
	double sum = 0;
	double weight = 0;

	for (uint32_t i = 0; i < n; i++) {
		sum += c[i].running;
		weight += c[i].weight;
	}
	return weight > 0 ? sum / weight : 0;
}

static uint32_t least_loaded(const struct locality_request *r, const struct locality_candidate *c,
			     uint32_t n)
{
	uint32_t best = 0;
	double best_load = INFINITY;

	for (uint32_t i = 0; i < n; i++) {
		double slots = MAX(c[i].slots, 1U);
		double load = (c[i].running + 1) / slots / MAX(c[i].weight, 1e-6);

		/*
		 * A near upstream is taken until it is half full, so that traffic between failure
		 * domains is paid for only where it helps.
		 */
		if (c[i].near && c[i].running < slots / 2)
			load *= 0.25;
		load *= 1 + 0.01 * (double)(hash_pair(r->seed, c[i].id_hash) % 16);
		if (load < best_load) {
			best = i;
			best_load = load;
		}
	}
	return best;
}

void locality_choose(const struct locality *l, const struct locality_request *r,
		     const struct locality_candidate *c, uint32_t n, int64_t now,
		     struct locality_choice *out)
{
	uint64_t chat = locality_chat(r);
	double limit = l->params.bound * mean_running(c, n) + l->params.slack;
	double home_score = -1;
	double best_time = INFINITY;
	bool best_held = false;
	uint32_t home = 0;

	*out = (struct locality_choice){ .reason = LOCALITY_LOAD };
	if (!r->n_parts) {
		out->index = least_loaded(r, c, n);
		return;
	}
	for (uint32_t i = 0; i < n; i++) {
		double score = rendezvous(chat, &c[i]);

		if (score > home_score) {
			home = i;
			home_score = score;
		}
	}
	for (uint32_t i = 0; i < n; i++) {
		bool held;
		double missing = missing_at(l, r, &c[i], i == home, now, &held);
		double time = (missing + c[i].waiting) / PREFILL_RATE * USEC_PER_SEC +
			      c[i].running * RUNNING_COST + (c[i].near ? 0 : FAR_COST) +
			      /* spreads equal choices the same way at all instances */
			      USEC_PER_MSEC / MAX(rendezvous(chat, &c[i]), 0.1);

		if (c[i].running + 1 > limit * c[i].weight || time >= best_time)
			continue;
		best_time = time;
		best_held = held;
		out->index = i;
		out->missing = missing;
	}
	if (isinf(best_time)) {
		bool held;

		out->index = least_loaded(r, c, n);
		out->missing = missing_at(l, r, &c[out->index], out->index == home, now, &held);
		out->reason = LOCALITY_FULL;
		return;
	}
	if (out->index == home)
		out->reason = LOCALITY_HOME;
	else
		out->reason = best_held ? LOCALITY_HELD : LOCALITY_MOVED;
}
