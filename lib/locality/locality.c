#include "locality/locality.h"

#include <glib.h>
#include <math.h>

#include "base/base.h"

#define WAYS 4U /* rows that a key may be in */

/* Order of magnitude of engines in service; only its ratio to the load terms decides. */
#define PREFILL_RATE 30000.0 /* prompt tokens per second */
/* Reading a prompt delays this request and the tokens of all others at the upstream. */
#define READ_COST 2.0
/* A new home copies the prompt from the former one, which takes a fifth of the time at most. */
#define COPY_COST 0.2
/* Each request in a batch lengthens a step of about 5 ms by 0.2% to 0.5%. */
#define RUNNING_COST (0.2 * USEC_PER_MSEC)
/* Another failure domain costs a round trip and paid traffic. */
#define FAR_COST (1.0 * USEC_PER_MSEC)
/* Without a report a part may have been evicted; engines of today hold minutes of traffic. */
#define HELD_FOR (60 * USEC_PER_SEC)
/* Copying memory takes a few milliseconds to set up, in which this many tokens are read. */
#define SOURCE_TOKENS 128.0

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

/* Leading parts of the prompt that this instance knows @c to hold. */
static uint32_t held_parts(const struct locality *l, const struct locality_request *r,
			   const struct locality_candidate *c, int64_t now)
{
	uint32_t i = 0;

	while (i < r->n_parts && is_held(l, r->parts[i].id, c->id_hash, now))
		i++;
	return i;
}

/* Tokens of the parts from number @first up to @end. */
static double tokens_of(const struct locality_request *r, uint32_t first, uint32_t end)
{
	double sum = 0;

	for (uint32_t i = first; i < end; i++)
		sum += r->parts[i].tokens;
	return sum;
}

/* Tokens of the prompt that @c lacks; @home: other instances send the chat there. */
static double missing_at(const struct locality *l, const struct locality_request *r,
			 const struct locality_candidate *c, bool home, int64_t now, bool *held)
{
	uint32_t n = held_parts(l, r, c, now);

	*held = n >= shared_parts(r);
	if (home && !c->is_new)
		n = MAX(n, shared_parts(r));
	else if (home)
		return tokens_of(r, n, shared_parts(r)) * COPY_COST +
		       tokens_of(r, MAX(n, shared_parts(r)), r->n_parts);
	return tokens_of(r, n, r->n_parts);
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
		if (c[i].source_only)
			continue;
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

		if (c[i].source_only)
			continue;
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

/*
 * The first in the order of the chat. With @settled only those count that other instances have
 * been sending to for a while, whether they still take requests or not.
 */
static int32_t first_in_order(uint64_t chat, const struct locality_candidate *c, uint32_t n,
			      bool settled)
{
	double best = -1;
	int32_t home = -1;

	for (uint32_t i = 0; i < n; i++) {
		double score = rendezvous(chat, &c[i]);

		if (score > best && !(settled ? c[i].is_new : c[i].source_only)) {
			home = (int32_t)i;
			best = score;
		}
	}
	return home;
}

/* Where parts that the chosen candidate lacks can be copied from. */
static int32_t find_source(const struct locality *l, const struct locality_request *r,
			   const struct locality_candidate *c, uint32_t n, uint32_t chosen,
			   int64_t now)
{
	uint32_t have = held_parts(l, r, &c[chosen], now);
	int32_t settled = first_in_order(locality_chat(r), c, n, true);
	double best = SOURCE_TOKENS;
	int32_t source = -1;

	/* The home has what other instances sent there, unless it is new. */
	if ((int32_t)chosen == settled)
		return -1;
	for (uint32_t i = 0; i < n; i++) {
		uint32_t held =
			i == (uint32_t)settled ? shared_parts(r) : held_parts(l, r, &c[i], now);
		double gain = held > have ? tokens_of(r, have, held) : 0;

		if (i != chosen && gain > best) {
			best = gain;
			source = (int32_t)i;
		}
	}
	return source;
}

void locality_choose(const struct locality *l, const struct locality_request *r,
		     const struct locality_candidate *c, uint32_t n, int64_t now,
		     struct locality_choice *out)
{
	uint64_t chat = locality_chat(r);
	double limit = l->params.bound * mean_running(c, n) + l->params.slack;
	double best_time = INFINITY;
	bool best_held = false;
	int32_t home;

	*out = (struct locality_choice){ .reason = LOCALITY_LOAD, .source = -1 };
	if (!r->n_parts) {
		out->index = least_loaded(r, c, n);
		return;
	}
	home = first_in_order(chat, c, n, false);
	for (uint32_t i = 0; i < n; i++) {
		bool held;
		double missing = missing_at(l, r, &c[i], (int32_t)i == home, now, &held);
		double time = (READ_COST * missing + c[i].waiting) / PREFILL_RATE * USEC_PER_SEC +
			      c[i].running * RUNNING_COST + (c[i].near ? 0 : FAR_COST) +
			      /* spreads equal choices the same way at all instances */
			      0.1 * USEC_PER_MSEC / MAX(rendezvous(chat, &c[i]), 0.1);

		if (c[i].source_only || c[i].running + 1 > limit * c[i].weight || time >= best_time)
			continue;
		best_time = time;
		best_held = held;
		out->index = i;
		out->missing = missing;
	}
	if (isinf(best_time)) {
		bool held;

		out->index = least_loaded(r, c, n);
		out->missing =
			missing_at(l, r, &c[out->index], (int32_t)out->index == home, now, &held);
		out->reason = LOCALITY_FULL;
	} else if ((int32_t)out->index == home) {
		out->reason = LOCALITY_HOME;
	} else {
		out->reason = best_held ? LOCALITY_HELD : LOCALITY_MOVED;
	}
	out->source = find_source(l, r, c, n, out->index, now);
}
