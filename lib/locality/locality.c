#include "locality/locality.h"

#include <glib.h>
#include <math.h>

#include "base/base.h"

#define WAYS	      2U /* associativity: entries that may store a part */
#define MAX_LOCATIONS 8U /* cache locations recorded for one part */

/* Order of magnitude of current engines; only the ratio to the load terms matters. */
#define PREFILL_TIME ((double)USEC_PER_SEC / 30000) /* microseconds per prompt token */
/* Factor: a prefill delays this request and the tokens of all other requests at the upstream. */
#define PREFILL_COST 2.0
/* KV transfer to a new preferred upstream takes at most a fifth of the prefill time. */
#define TRANSFER_COST 0.2
/* Each request in a batch lengthens a step of about 5 ms by 0.2% to 0.5%. */
#define RUNNING_COST (0.2 * USEC_PER_MSEC)
/* The same as a fraction of the time to make the output, where that is known. */
#define RUNNING_SLOWDOWN 0.003
/* Another failure domain costs a round trip and billed traffic. */
#define CROSS_DOMAIN_COST (1.0 * USEC_PER_MSEC)
/* Breaks ties; less than one more request or another failure domain costs. */
#define TIE_BREAK_COST (0.1 * USEC_PER_MSEC)
/* Engines cache minutes of traffic; a part not refreshed for so long may have been evicted. */
#define CACHE_TTL (60 * USEC_PER_SEC)
/*
 * If latencies vary by half of their mean, the minimum of two calls seldom exceeds the first
 * quartile by this factor; at a slow replica calls take at least four times as long.
 */
#define SLOW_RATIO 2.5
/* Setting up a KV transfer takes a few milliseconds, as long as a prefill of so many tokens. */
#define MIN_TRANSFER_TOKENS 128.0
/* Transfer sources whose gains differ by less than this fraction count as equal. */
#define SOURCE_SPREAD 0.1

/*
 * Other instances expect a chat at its preferred upstream unless their lists or health records
 * prefer another one, so a report of it ranks as if the prompt were shorter by this factor.
 */
#define EXPECTED_REPORT_DIVISOR 8U

struct cache_location {
	uint64_t id_hash; /* of the upstream; 0: unused */
	int64_t at; /* last use */
};

struct cache_entry {
	uint64_t part; /* 0: unused */
	int64_t at; /* last use */
	uint32_t peer_only; /* bit i: locations[i] is known only from other instances */
	struct cache_location locations[MAX_LOCATIONS];
};

struct locality {
	struct locality_params params;
	struct cache_entry *entries; /* owned, n_sets * WAYS */
	uint32_t n_sets; /* power of two */
	double *units; /* owned scratch space: hash_unit() of the chat and each candidate */
	uint32_t n_units; /* allocated */
};

/* Inputs and lookups of one locality_choose() call. */
struct decision {
	const struct locality_request *r;
	const struct locality_candidate *c;
	uint32_t n;
	int64_t now;
	const struct cache_entry *entries[LOCALITY_MAX_PARTS]; /* by part; NULL: none */
	uint64_t location_filter; /* location_bit() of each location in these entries */
	const double *units; /* borrowed from locality.units */
};

struct locality *locality_new(const struct locality_params *p)
{
	struct locality *l = g_new0(struct locality, 1);

	l->params = *p;
	l->n_sets = 1;
	while (l->n_sets * WAYS < p->max_entries)
		l->n_sets *= 2;
	l->entries = g_new0(struct cache_entry, (size_t)l->n_sets * WAYS);
	return l;
}

void locality_free(struct locality *l)
{
	if (!l)
		return;
	g_free(l->entries);
	g_free(l->units);
	g_free(l);
}

const char *locality_reason_name(enum locality_reason r)
{
	static const char *const names[] = { "home", "held", "moved", "load", "full" };

	return names[r];
}

/* Number of parts that requests may share: the last of several belongs to this request only. */
static uint32_t shared_parts(const struct locality_request *r)
{
	return r->n_parts > 1 ? r->n_parts - 1 : r->n_parts;
}

uint64_t locality_chat_key(const struct locality_request *r)
{
	return r->n_parts ? r->parts[shared_parts(r) - 1].id : 0;
}

static struct cache_entry *set_of(const struct locality *l, uint64_t part)
{
	return &l->entries[(size_t)(hash_pair(part, 0) & (l->n_sets - 1)) * WAYS];
}

static struct cache_entry *find_entry(const struct locality *l, uint64_t part)
{
	struct cache_entry *set = set_of(l, part);

	for (uint32_t i = 0; i < WAYS; i++) {
		if (set[i].part == part && part)
			return &set[i];
	}
	return NULL;
}

/* @any: also if only other instances reported it. */
static bool is_cached_at(const struct cache_entry *e, uint64_t id_hash, bool any, int64_t now)
{
	for (uint32_t i = 0; e && i < MAX_LOCATIONS; i++) {
		if (e->locations[i].id_hash == id_hash)
			return now - e->locations[i].at < CACHE_TTL &&
			       (any || !(e->peer_only & 1U << i));
	}
	return false;
}

/* Replaces the least recently used entry of the set if @part has none. */
static struct cache_entry *find_or_add_entry(struct locality *l, uint64_t part)
{
	struct cache_entry *e = find_entry(l, part);
	struct cache_entry *set = set_of(l, part);

	if (e)
		return e;
	e = &set[0];
	for (uint32_t i = 1; i < WAYS; i++) {
		if (set[i].at < e->at)
			e = &set[i];
	}
	*e = (struct cache_entry){ .part = part };
	return e;
}

static void record_location(struct locality *l, uint64_t part, uint64_t id_hash, bool peer_only,
			    int64_t now)
{
	struct cache_entry *e = find_or_add_entry(l, part);
	uint32_t slot = 0;

	e->at = now;
	for (uint32_t i = 0; i < MAX_LOCATIONS; i++) {
		if (e->locations[i].id_hash == id_hash) {
			slot = i;
			/* A peer's report doesn't override this instance's own unexpired record. */
			peer_only = peer_only && (e->peer_only & 1U << i ||
						  now - e->locations[i].at >= CACHE_TTL);
			break;
		}
		if (e->locations[i].at < e->locations[slot].at)
			slot = i;
	}
	e->locations[slot] = (struct cache_location){ id_hash, now };
	e->peer_only = (e->peer_only & ~(1U << slot)) | (peer_only ? 1U << slot : 0);
}

void locality_record_prefill(struct locality *l, const struct locality_request *r, uint64_t id_hash,
			     int64_t now)
{
	for (uint32_t i = 0; i < r->n_parts; i++)
		record_location(l, r->parts[i].id, id_hash, false, now);
}

void locality_record_peer_prefill(struct locality *l, uint64_t part, uint64_t id_hash, int64_t now)
{
	record_location(l, part, id_hash, true, now);
}

static uint64_t location_bit(uint64_t id_hash)
{
	return UINT64_C(1) << (id_hash & 63);
}

/*
 * Number of leading parts known to be cached at candidate @i: the last known part implies those
 * before it. @any: also counts what only other instances reported.
 */
static uint32_t cached_parts(const struct decision *d, uint32_t i, bool any)
{
	uint32_t n = d->r->n_parts;

	/* Rules out most candidates without a lookup. */
	if (!(d->location_filter & location_bit(d->c[i].id_hash)))
		return 0;
	while (n > 0 && !is_cached_at(d->entries[n - 1], d->c[i].id_hash, any, d->now))
		n--;
	return n;
}

/* Tokens of the parts from @first up to, not including, @end. */
static double tokens_of(const struct locality_request *r, uint32_t first, uint32_t end)
{
	double sum = 0;

	for (uint32_t i = first; i < end; i++)
		sum += r->parts[i].tokens;
	return sum;
}

/*
 * Tokens not cached at candidate @i. @preferred: it is the preferred upstream, so other instances
 * send the chat there too; if it is new, each token that it can transfer counts TRANSFER_COST.
 * Reports about other upstreams don't count: for a hot chat, all instances would choose the same
 * upstream (test /limit/hot-chat). @cached: set if this instance recorded the shared parts there.
 */
static double missing_tokens(const struct decision *d, uint32_t i, bool preferred, bool *cached)
{
	const struct locality_request *r = d->r;
	uint32_t n = cached_parts(d, i, false);

	*cached = n >= shared_parts(r);
	if (preferred && !d->c[i].is_new)
		n = MAX(n, shared_parts(r));
	else if (preferred)
		return tokens_of(r, n, shared_parts(r)) * TRANSFER_COST +
		       tokens_of(r, MAX(n, shared_parts(r)), r->n_parts);
	return tokens_of(r, n, r->n_parts);
}

/* Hash of @key and an upstream, as a number between 0 and 1. */
static double hash_unit(uint64_t key, const struct locality_candidate *c)
{
	return ((double)(hash_pair(key, c->id_hash) >> 11) + 0.5) * 0x1.0p-53;
}

/*
 * Whether one more request stays within a limit that is drawn for it between the start of early
 * shedding and @limit, scaled by the weight of @c.
 */
static bool under_bound(const struct locality *l, const struct locality_request *r,
			const struct locality_candidate *c, double limit)
{
	double load = c->running + 1;

	limit *= c->weight;
	if (load <= limit * (1 - l->params.early))
		return true;
	return load <= limit * (1 - l->params.early * hash_unit(r->seed, c));
}

/* Requests in progress per unit of weight. */
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

/* Latency of calls at @c relative to the baseline; 1 within the typical variation. */
static double latency_ratio(const struct locality_request *r, const struct locality_candidate *c)
{
	double ratio =
		r->call_latency > 0 && c->call_latency > 0 ? c->call_latency / r->call_latency : 1;

	return ratio > SLOW_RATIO ? ratio : 1;
}

/* Load of @c with one more request, relative to its slots, as least_loaded() compares it. */
static double relative_load(const struct locality_request *r, const struct locality_candidate *c)
{
	double slots = MAX(c->slots, 1U);
	double ratio = latency_ratio(r, c);
	double load = ratio * (c->running + 1) / slots / MAX(c->weight, 1e-6);

	/*
	 * The load of an upstream in the same failure domain counts a quarter until it is half
	 * full, to limit billed traffic between failure domains.
	 */
	if (c->same_domain && ratio <= 1 && c->running < slots / 2)
		load *= 0.25;
	/* Spreads requests over upstreams whose loads differ by up to 15%. */
	return load * (1 + 0.01 * (double)(hash_pair(r->seed, c->id_hash) % 16));
}

static uint32_t least_loaded(const struct locality_request *r, const struct locality_candidate *c,
			     uint32_t n)
{
	uint32_t best = 0;
	double best_load = INFINITY;

	for (uint32_t i = 0; i < n; i++) {
		double load;

		if (c[i].source_only)
			continue;
		load = relative_load(r, &c[i]);
		if (load < best_load) {
			best = i;
			best_load = load;
		}
	}
	return best;
}

/*
 * The first candidate in the rendezvous order of the chat, or -1. @established: considers only
 * upstreams that are not new, even if they no longer accept requests; otherwise those that accept
 * requests.
 */
static int32_t preferred_upstream(const struct decision *d, bool established)
{
	int32_t preferred = -1;
	double best = 0;

	for (uint32_t i = 0; i < d->n; i++) {
		double weight = MAX(d->c[i].weight, 1e-6);
		double score;

		/* Since 1 - u <= -log(u), most candidates are ruled out without a logarithm. */
		if ((established ? d->c[i].is_new : d->c[i].source_only) ||
		    (1 - d->units[i]) * best >= weight)
			continue;
		score = -weight / log(d->units[i]);
		if (score <= best)
			continue;
		preferred = (int32_t)i;
		best = score;
	}
	return preferred;
}

/*
 * Transfer source of parts that may not be cached at the chosen candidate, or -1. @established: the
 * preferred upstream among those that are not new, assumed to have the shared parts cached.
 *
 * An upstream fetches only what it has not cached, so an unneeded source costs nothing. Therefore
 * parts that the chosen one is only assumed to have cached, as the preferred upstream, count as
 * missing here.
 */
static int32_t find_source(const struct decision *d, uint32_t chosen, int32_t established)
{
	uint32_t have = cached_parts(d, chosen, true);
	double best = MIN_TRANSFER_TOKENS;
	int32_t source = -1;

	for (uint32_t i = 0; i < d->n; i++) {
		uint32_t known = cached_parts(d, i, true);
		uint32_t cached =
			i == (uint32_t)established ? MAX(known, shared_parts(d->r)) : known;
		double gain;

		if (cached <= have || i == chosen || d->c[i].unreachable)
			continue;
		gain = tokens_of(d->r, have, cached);
		/* Transfers from one upstream queue up, so requests use different ones. */
		gain *= 1 + SOURCE_SPREAD * hash_unit(d->r->seed, &d->c[i]);
		/* A known location goes before the assumption that the preferred one has it. */
		if (cached > known)
			gain /= 1 + SOURCE_SPREAD;
		if (gain > best) {
			best = gain;
			source = (int32_t)i;
		}
	}
	return source;
}

/* Whether part number @at and all before it are known to be cached at a reachable candidate. */
static bool is_cached_anywhere(const struct decision *d, uint32_t at)
{
	for (uint32_t i = 0; d->entries[at] && i < d->n; i++) {
		if (!d->c[i].unreachable && cached_parts(d, i, true) > at)
			return true;
	}
	return false;
}

/* Sets what to report to other instances after the prefill at candidate @chosen. */
static void set_report(const struct decision *d, uint32_t chosen, int32_t established,
		       struct locality_choice *out)
{
	bool at_preferred = (int32_t)chosen == established;
	/* They expect the chat at its preferred upstream, but not parts that other chats share. */
	uint32_t n = at_preferred ? shared_parts(d->r) - 1 : shared_parts(d->r);
	uint32_t divisor = 1;

	while (at_preferred && n > 0 && is_cached_anywhere(d, n - 1))
		n--;
	if (n == 0 && cached_parts(d, chosen, true) < shared_parts(d->r)) {
		n = shared_parts(d->r);
		divisor = EXPECTED_REPORT_DIVISOR;
	}
	if (n == 0)
		return;
	out->report_part = d->r->parts[n - 1].id;
	out->report_tokens = (uint32_t)tokens_of(d->r, 0, n) / divisor;
}

static void init_decision(struct locality *l, struct decision *d)
{
	uint64_t chat = locality_chat_key(d->r);

	if (l->n_units < d->n) {
		l->n_units = d->n;
		l->units = g_renew(double, l->units, d->n);
	}
	for (uint32_t i = 0; i < d->n; i++)
		l->units[i] = hash_unit(chat, &d->c[i]);
	d->units = l->units;
	for (uint32_t i = 0; i < d->r->n_parts; i++) {
		const struct cache_entry *e = find_entry(l, d->r->parts[i].id);

		d->entries[i] = e;
		for (uint32_t k = 0; e && k < MAX_LOCATIONS; k++)
			d->location_filter |= location_bit(e->locations[k].id_hash);
	}
}

/*
 * Factor to the time of a prefill at @c. It delays each request that runs or waits there; without
 * an expected output, a constant stands for them.
 */
static double prefill_cost(const struct locality_request *r, const struct locality_candidate *c)
{
	return r->output_time > 0 ? 1 + c->running : PREFILL_COST;
}

/* Expected delay at @c that does not depend on what it has cached, in microseconds. */
static double base_delay(const struct locality_request *r, const struct locality_candidate *c,
			 double speed)
{
	double pending = c->pending_tokens * PREFILL_TIME;

	if (r->output_time <= 0)
		return pending + c->running * RUNNING_COST;
	return c->wait + speed * pending +
	       r->output_time * (speed * (1 + c->running * RUNNING_SLOWDOWN) - 1);
}

/* Expected delay of a request at a candidate. */
struct price {
	double base_time; /* microseconds whatever is cached */
	double token_time; /* for each token to prefill */
};

static struct price price_at(const struct decision *d, uint32_t i)
{
	const struct locality_candidate *c = &d->c[i];
	double speed = d->r->output_time > 0 && c->speed > 0 ? c->speed : 1;

	return (struct price){
		.base_time = base_delay(d->r, c, speed) + (c->same_domain ? 0 : CROSS_DOMAIN_COST) +
			     /* the same tie-breaking at all instances */
			     TIE_BREAK_COST * (1 - d->units[i]),
		.token_time = prefill_cost(d->r, c) * speed * PREFILL_TIME,
	};
}

static double load_limit(const struct locality *l, const struct locality_candidate *c, uint32_t n)
{
	return l->params.load_bound * mean_running(c, n) + l->params.tolerance;
}

void locality_weigh(struct locality *l, const struct locality_request *r,
		    const struct locality_candidate *c, uint32_t n, int64_t now,
		    struct locality_weighing *out)
{
	struct decision d = { .r = r, .c = c, .n = n, .now = now };
	double limit = load_limit(l, c, n);
	int32_t preferred = -1;

	if (r->n_parts) {
		init_decision(l, &d);
		preferred = preferred_upstream(&d, false);
	}
	for (uint32_t i = 0; i < n; i++) {
		struct price p;
		bool cached;

		out[i] =
			(struct locality_weighing){ .preferred = (int32_t)i == preferred,
						    .within_bound = under_bound(l, r, &c[i], limit),
						    .load = relative_load(r, &c[i]) };
		if (!r->n_parts)
			continue;
		p = price_at(&d, i);
		out[i].cached_parts = cached_parts(&d, i, false);
		out[i].missing = missing_tokens(&d, i, out[i].preferred, &cached);
		out[i].time = p.base_time + out[i].missing * p.token_time;
	}
}

void locality_choose(struct locality *l, const struct locality_request *r,
		     const struct locality_candidate *c, uint32_t n, int64_t now,
		     struct locality_choice *out)
{
	struct decision d = { .r = r, .c = c, .n = n, .now = now };
	double limit = load_limit(l, c, n);
	double best_time = INFINITY;
	double own_tokens; /* of the part that belongs to this request only */
	bool best_cached = false;
	bool cached;
	int32_t preferred;
	int32_t established;

	*out = (struct locality_choice){ .reason = LOCALITY_LOAD, .source = -1 };
	if (!r->n_parts) {
		out->index = least_loaded(r, c, n);
		return;
	}
	init_decision(l, &d);
	preferred = preferred_upstream(&d, false);
	own_tokens = tokens_of(r, shared_parts(r), r->n_parts);
	for (uint32_t k = 0; k <= n; k++) {
		/* Starts with the preferred upstream: its cost rules out most others early. */
		uint32_t i = k ? k - 1 : (uint32_t)MAX(preferred, 0);
		struct price p;
		double missing;
		double time;

		if (c[i].source_only || !under_bound(l, r, &c[i], limit))
			continue;
		p = price_at(&d, i);
		if (p.base_time + p.token_time * own_tokens >= best_time)
			continue;
		missing = missing_tokens(&d, i, (int32_t)i == preferred, &cached);
		time = p.base_time + missing * p.token_time;
		if (time >= best_time)
			continue;
		best_time = time;
		best_cached = cached;
		out->index = i;
		out->missing = missing;
	}
	if (isinf(best_time)) {
		out->index = least_loaded(r, c, n);
		out->missing =
			missing_tokens(&d, out->index, (int32_t)out->index == preferred, &cached);
		out->reason = LOCALITY_FULL;
	} else if ((int32_t)out->index == preferred) {
		out->reason = LOCALITY_PREFERRED;
	} else {
		out->reason = best_cached ? LOCALITY_CACHED : LOCALITY_MOVED;
	}
	out->unconfirmed = tokens_of(r, cached_parts(&d, out->index, false), r->n_parts);
	established = preferred_upstream(&d, true);
	out->source = find_source(&d, out->index, established);
	set_report(&d, out->index, established, out);
}
