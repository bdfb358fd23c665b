#include "place/place.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "place/place_priv.h"

#define PLACE_MAX_COMPARED     16U /* limit of place_params.max_compared */
#define PLACE_LOAD_BASED_SENDS 32U /* recorded load-based placements per upstream */
#define PLACE_MIN_WEIGHT       0.05 /* candidates below this are unresponsive: not in the mean */
/* Requests with a cached context cost little, so they may use this many shares in under_bound(). */
#define PLACE_CACHED_SHARES	2.0
#define PLACE_HINT_RATE_ENTRIES 1024U
#define PLACE_WAIT_ENTRIES	256U
/* Headroom for unreported load in standard deviations, capped at a fraction of (c - 1) * mean. */
#define PLACE_HEADROOM_DEVIATIONS   2.0
#define PLACE_HEADROOM_MAX_FRACTION 0.8
#define PLACE_LAST_RESORT_FRACTION  0.8 /* of (c - 1) * mean, usable by least_loaded() */
/* Fraction of what the headroom leaves above the mean for cold requests; warm ones may use all. */
#define PLACE_COLD_FRACTION 0.5
/*
 * A cold request above this fraction of the mean must fit several times, as other instances may
 * send one to the same upstream.
 */
#define PLACE_LARGE_FRACTION	0.04
#define PLACE_LARGE_COST_FACTOR 3.0
/* Fraction of the other instances expected to make the same choice from the same reports. */
#define PLACE_SAME_CHOICE_FRACTION 0.3
#define PLACE_OWN_IMBALANCE_WEIGHT 0.1 /* of own_imbalance() */
/* Microseconds of penalty for mean load; more for new chats, which have no cache to lose. */
#define PLACE_BALANCE_TIME     (30.0 * USEC_PER_MSEC)
#define PLACE_BALANCE_TIME_NEW (400.0 * USEC_PER_MSEC)
/* For a new chat not at its preferred upstream, in prefill times of what its next turn reuses. */
#define PLACE_AWAY_PENALTY     20.0
#define PLACE_MAX_WAIT_FACTOR  6.0 /* longest wait for a warm upstream per saved prefill time */
#define PLACE_HINT_RATE_WEIGHT 0.05 /* weight of one request in a hint rate */
#define PLACE_LARGEST_PERIOD   (60 * USEC_PER_SEC) /* see record_largest() */
#define PLACE_STALE_HALF_LIFE  (30 * USEC_PER_SEC) /* of stale_fraction */

struct place_upstream {
	uint64_t id_hash;
	int64_t restarted_at; /* older records are void; 0: never */
	double stale_fraction; /* of the records, as of events_lost_at, due to lost cache events */
	int64_t events_lost_at;
	uint32_t next; /* position in load_based */
	struct {
		int64_t at;
		double tokens;
	} load_based[PLACE_LOAD_BASED_SENDS]; /* ring of placements decided by load */
};

struct place {
	struct place_params params;
	struct chats *chats;
	struct prefixes *prefixes;
	GHashTable *upstreams; /* id_hash -> owned struct place_upstream */
	struct {
		uint64_t account;
		double rate; /* of hints among its requests with history, moving average, 0 to 1 */
	} hint_rates[PLACE_HINT_RATE_ENTRIES]; /* by account hash; a collision resets the entry */
	double largest[2]; /* largest request of this and the previous period, tokens */
	int64_t largest_since; /* start of this period */
	struct {
		uint64_t chat;
		int64_t since;
	} waits[PLACE_WAIT_ENTRIES]; /* by chat hash; a collision resets the entry */
	uint64_t n_keyless; /* requests without chat and prefix */
};

/* A candidate that is compared for one request. */
struct option {
	struct place_candidate *c;
	double score; /* of rendezvous hashing */
	double reuse_tokens; /* expected to be cached */
	double expected_load; /* tokens, see expected_load() */
	bool hinted;
	bool reuse_assumed; /* reuse_tokens is backed by neither a hint nor a record */
};

/* State of one placement decision. */
struct decision {
	const struct place_request *r;
	int64_t now;
	double limit; /* largest load per capacity, tokens */
	double mean; /* load per capacity, tokens */
	double own_mean; /* own load per capacity, tokens */
	double largest_request; /* tokens */
	double hint_rate; /* of the request's account, see struct place */
	bool rarely_hinted; /* hint_rate below 0.5 */
	bool new_chat; /* only the shared prefix may be cached */
	struct option options[PLACE_MAX_COMPARED + 1]; /* preferred one first; one for a hint */
	uint32_t n;
};

struct place *place_new(const struct place_params *p)
{
	struct place *s = g_new0(struct place, 1);

	s->params = *p;
	s->params.max_compared = CLAMP(p->max_compared, 1, PLACE_MAX_COMPARED);
	s->chats = chats_new(CHATS_LIMIT);
	s->prefixes = prefixes_new(PREFIXES_LIMIT);
	s->upstreams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return s;
}

void place_free(struct place *p)
{
	if (!p)
		return;
	chats_free(p->chats);
	prefixes_free(p->prefixes);
	g_hash_table_unref(p->upstreams);
	g_free(p);
}

void place_set_bound(struct place *p, double load_bound)
{
	p->params.load_bound = load_bound;
}

static struct place_upstream *upstream_get(struct place *p, uint64_t id_hash)
{
	struct place_upstream *u = g_hash_table_lookup(p->upstreams, &id_hash);

	if (u)
		return u;
	u = g_new0(struct place_upstream, 1);
	u->id_hash = id_hash;
	for (uint32_t i = 0; i < PLACE_LOAD_BASED_SENDS; i++)
		u->load_based[i].at = INT64_MIN;
	g_hash_table_insert(p->upstreams, &u->id_hash, u);
	return u;
}

/* Maps the hash of both keys to (0, 1). */
static double hash_to_unit(uint64_t key, uint64_t id_hash)
{
	return ((double)(hash_pair(key, id_hash) >> 11) + 0.5) * 0x1.0p-53;
}

static bool is_avoided(const struct place_request *r, tab_handle upstream)
{
	for (uint32_t i = 0; i < r->n_avoid; i++) {
		if (r->avoid[i] == upstream)
			return true;
	}
	return false;
}

/*
 * Fills @out with the @max candidates of the highest weighted rendezvous scores, -weight / log(u),
 * highest first. As 1 - u <= -log(u), most candidates are ruled out without a logarithm.
 */
static uint32_t top_candidates(const struct place_request *r, uint64_t key,
			       struct place_candidate *c, uint32_t n, struct option *out,
			       uint32_t max)
{
	uint32_t found = 0;

	for (uint32_t i = 0; i < n; i++) {
		double weight = c[i].capacity * c[i].weight;
		double u = hash_to_unit(key, c[i].id_hash);
		double s;
		uint32_t at;

		if (weight <= 0 || (found == max && (1 - u) * out[max - 1].score >= weight))
			continue;
		s = -weight / log(u);
		if ((found == max && s <= out[max - 1].score) || is_avoided(r, c[i].upstream))
			continue;
		at = found < max ? found++ : max - 1;
		for (; at > 0 && out[at - 1].score < s; at--)
			out[at] = out[at - 1];
		out[at] = (struct option){ .c = &c[i], .score = s };
	}
	return found;
}

/*
 * Candidates of the highest scores for a chat. With a shared prefix, the chat is hashed onto the
 * prefix's first @spread candidates only; more than PLACE_MAX_COMPARED count as all. All instances
 * thus find the same preferred upstream without shared state.
 */
static uint32_t preferred_options(const struct place *p, const struct place_request *r,
				  uint64_t key, uint32_t spread, struct place_candidate *c,
				  uint32_t n, struct option *out)
{
	struct option set[PLACE_MAX_COMPARED];
	uint32_t max_compared = p->params.max_compared;
	uint32_t n_set;
	uint32_t n_out = 0;

	if (!r->prefix || !r->chat || spread >= n || spread > PLACE_MAX_COMPARED)
		return top_candidates(r, key, c, n, out, max_compared);
	n_set = top_candidates(r, r->prefix, c, n, set, spread);
	for (uint32_t i = 0; i < n_set; i++) {
		struct place_candidate *cand = set[i].c;
		double s = -cand->capacity * cand->weight / log(hash_to_unit(key, cand->id_hash));
		uint32_t at;

		if (n_out == max_compared && s <= out[max_compared - 1].score)
			continue;
		at = n_out < max_compared ? n_out++ : max_compared - 1;
		for (; at > 0 && out[at - 1].score < s; at--)
			out[at] = out[at - 1];
		out[at] = (struct option){ .c = cand, .score = s };
	}
	return n_out;
}

/*
 * Load of @c plus what other instances are expected to have sent since its last report. They act on
 * the same reports, so their load-based placements resemble those of this instance. Requests placed
 * by hint or hash are left out: they start and complete at the same rate.
 */
static double expected_load(struct place *p, const struct place_candidate *c, int64_t now)
{
	const struct place_upstream *u;
	double load_based = 0;
	int64_t since;

	if (c->load.instances < 2 || c->load.age == INT64_MAX)
		return c->load.tokens;
	u = g_hash_table_lookup(p->upstreams, &c->id_hash);
	if (!u)
		return c->load.tokens;
	since = now - c->load.age;
	for (uint32_t i = 0; i < PLACE_LOAD_BASED_SENDS; i++) {
		if (u->load_based[i].at >= since)
			load_based += u->load_based[i].tokens;
	}
	return c->load.tokens + PLACE_SAME_CHOICE_FRACTION * load_based * (c->load.instances - 1);
}

static void record_load_based(struct place *p, uint64_t id_hash, double tokens, int64_t now)
{
	struct place_upstream *u = upstream_get(p, id_hash);

	u->load_based[u->next].at = now;
	u->load_based[u->next].tokens = tokens;
	u->next = (u->next + 1) % PLACE_LOAD_BASED_SENDS;
}

/* Adds @cost; returns the largest cost of a request in the current and the previous period. */
static double record_largest(struct place *p, double cost, int64_t now)
{
	if (now - p->largest_since > PLACE_LARGEST_PERIOD) {
		p->largest[1] = p->largest[0];
		p->largest[0] = 0;
		p->largest_since = now;
	}
	p->largest[0] = MAX(p->largest[0], cost);
	return MAX(p->largest[0], p->largest[1]);
}

static double request_cost(const struct place_request *r, double reuse)
{
	return MAX(0, r->prompt_tokens - reuse) + r->output_tokens;
}

/*
 * Fraction of the context recorded for @id_hash at time @at (0: unknown) that is expected to be
 * still cached: 0 after a restart, reduced for some time after a loss of cache events.
 */
static double valid_fraction(struct place *p, uint64_t id_hash, int64_t at, int64_t now)
{
	const struct place_upstream *u = g_hash_table_lookup(p->upstreams, &id_hash);

	if (!u)
		return 1;
	if (at && at < u->restarted_at)
		return 0;
	if (u->stale_fraction <= 0)
		return 1;
	return 1 - u->stale_fraction *
			   exp2(-(double)(now - u->events_lost_at) / (double)PLACE_STALE_HALF_LIFE);
}

/* Own load above the own mean, scaled up as if all instances had the same. */
static double own_imbalance(const struct decision *d, const struct place_candidate *c)
{
	return (c->load.own_tokens - d->own_mean * c->capacity * c->weight) * c->load.instances;
}

static double *hint_rate(struct place *p, uint64_t account)
{
	uint32_t i = account % PLACE_HINT_RATE_ENTRIES;

	if (p->hint_rates[i].account != account) {
		p->hint_rates[i].account = account;
		p->hint_rates[i].rate = 0;
	}
	return &p->hint_rates[i].rate;
}

/* Whether all of the earlier turns are expected to be cached at @o. */
static bool is_cached(const struct decision *d, const struct option *o)
{
	return d->r->history_tokens > 0 && o->reuse_tokens >= d->r->history_tokens;
}

/*
 * Whether the context of the request is cached at @o, or @o is where the next turn of a new chat
 * will be placed, as its account rarely brings hints.
 */
static bool is_warm(const struct decision *d, const struct option *o)
{
	return is_cached(d, o) ||
	       (d->r->history_tokens <= 0 && d->rarely_hinted && o == &d->options[0]);
}

/* Whether @o keeps the bound with @cost tokens more, and headroom for unreported load if asked. */
static bool under_bound(const struct decision *d, const struct option *o, double cost,
			bool keep_headroom)
{
	const struct load_estimate *v = &o->c->load;
	double capacity = o->c->capacity * o->c->weight;
	double limit = d->limit * capacity;
	double mean = d->mean * capacity;
	double available = MAX(0, limit - (v->tokens - v->own_since_report));

	/*
	 * The capacity that the last report left is divided among the instances, so that together
	 * they exceed the limit by little whatever they send. The first request of an instance
	 * since the report is not limited by its share.
	 */
	if (v->instances > 1 && v->own_since_report > 0 &&
	    v->own_since_report + cost >
		    available / v->instances * (is_cached(d, o) ? PLACE_CACHED_SHARES : 1))
		return false;
	/* The bound must hold even if the assumed context is not cached. */
	if (o->reuse_assumed &&
	    o->expected_load + request_cost(d->r, 0) > MAX(limit, d->largest_request * capacity))
		return false;
	if (keep_headroom) {
		bool warm = is_warm(d, o);

		limit -= MIN(sqrt(v->unreported_variance) * PLACE_HEADROOM_DEVIATIONS,
			     PLACE_HEADROOM_MAX_FRACTION * (limit - mean));
		if (!warm) {
			limit = mean + PLACE_COLD_FRACTION * (limit - mean);
			if (cost > PLACE_LARGE_FRACTION * mean)
				cost *= PLACE_LARGE_COST_FACTOR;
		}
	} else {
		limit = mean + PLACE_LAST_RESORT_FRACTION * (limit - mean);
	}
	if (o->expected_load + cost <= limit)
		return true;
	/* The bound is at least the largest single request. */
	return o->expected_load + cost <= d->largest_request * capacity;
}

/* Expected time to first token in microseconds, plus a penalty for load imbalance. */
static double option_time(const struct place *p, const struct decision *d, const struct option *o)
{
	const struct load_estimate *v = &o->c->load;
	double time = v->queue_wait;

	time += MAX(0, d->r->prompt_tokens - o->reuse_tokens) / v->prefill_rate * USEC_PER_SEC;
	if (d->mean <= 0)
		return time;
	if (d->new_chat)
		time += PLACE_BALANCE_TIME_NEW *
			(o->expected_load + PLACE_OWN_IMBALANCE_WEIGHT * own_imbalance(d, o->c)) /
			o->c->capacity / d->mean;
	else
		time += PLACE_BALANCE_TIME * o->expected_load / o->c->capacity / d->mean;
	return time;
}

/* Time of the last update of @entry; wrong once that is 2^32 ms (49 days) ago. */
static int64_t entry_time(const struct chats_entry *entry, int64_t now)
{
	uint32_t age = (uint32_t)(now / USEC_PER_MSEC) - entry->updated_ms;

	return now - (int64_t)age * USEC_PER_MSEC;
}

/*
 * Upstream where the context of the chat is cached, by the hint or else by the record of this
 * instance; 0: unknown. @tokens: expected to be still cached.
 */
static uint64_t cached_at(struct place *p, const struct place_request *r, int64_t now,
			  double *tokens)
{
	const struct chats_entry *entry;

	*tokens = 0;
	if (r->hint) {
		*tokens = r->hint_tokens * valid_fraction(p, r->hint, r->hint_issued_at, now);
		return r->hint;
	}
	entry = chats_find(p->chats, r->chat);
	if (!entry)
		return 0;
	*tokens = MIN((double)entry->tokens, r->prompt_tokens) *
		  valid_fraction(p, entry->id_hash, entry_time(entry, now), now);
	return entry->id_hash;
}

/* Option of upstream @id_hash, added if needed; NULL if it is no usable candidate. */
static struct option *get_or_add_option(struct decision *d, uint64_t id_hash,
					struct place_candidate *c, uint32_t n)
{
	for (uint32_t i = 0; i < d->n; i++) {
		if (d->options[i].c->id_hash == id_hash)
			return &d->options[i];
	}
	for (uint32_t i = 0; i < n; i++) {
		if (c[i].id_hash != id_hash || is_avoided(d->r, c[i].upstream) || c[i].weight <= 0)
			continue;
		d->options[d->n] = (struct option){ .c = &c[i] };
		return &d->options[d->n++];
	}
	return NULL;
}

static void add_hinted_option(struct decision *d, uint64_t id_hash, double tokens,
			      struct place_candidate *c, uint32_t n)
{
	struct option *o = get_or_add_option(d, id_hash, c, n);

	if (!o)
		return;
	o->hinted = true;
	o->reuse_tokens = MAX(o->reuse_tokens, tokens);
}

/* Option under the bound with the least expected time, or NULL. */
static struct option *best_option(const struct place *p, struct decision *d)
{
	struct option *best = NULL;
	double best_time = 0;

	for (uint32_t i = 0; i < d->n; i++) {
		struct option *o = &d->options[i];
		double time;

		if (!under_bound(d, o, request_cost(d->r, o->reuse_tokens), true))
			continue;
		time = option_time(p, d, o);
		/*
		 * Without a hint, other instances find the next turn's cache only at the preferred
		 * upstream.
		 */
		if (d->new_chat && d->r->chat && i > 0)
			time += (1 - d->hint_rate) * PLACE_AWAY_PENALTY *
				(d->r->prompt_tokens - d->r->prefix_tokens + d->r->output_tokens) /
				o->c->load.prefill_rate * USEC_PER_SEC;
		if (!best || time < best_time) {
			best = o;
			best_time = time;
		}
	}
	return best;
}

/*
 * Finds the least loaded of all candidates, if it is under the bound. With a nonzero @key, only a
 * third of them, selected by its hash, is considered: otherwise all instances that have the same
 * stale reports would send to the same upstream.
 */
static bool least_loaded(struct place *p, const struct decision *d, uint64_t key,
			 struct place_candidate *c, uint32_t n, struct option *out)
{
	double least = INFINITY;

	*out = (struct option){ 0 };
	for (uint32_t i = 0; i < n; i++) {
		double capacity = c[i].capacity * c[i].weight;
		double tokens;

		if (capacity <= 0 || c[i].load.tokens >= least * capacity ||
		    (key && (hash_pair(c[i].id_hash, key) >> 32) % 3 != 0))
			continue;
		tokens = expected_load(p, &c[i], d->now);
		if (tokens >= least * capacity || is_avoided(d->r, c[i].upstream))
			continue;
		least = tokens / capacity;
		*out = (struct option){ .c = &c[i], .expected_load = tokens };
	}
	if (!out->c)
		return false;
	if (under_bound(d, out, request_cost(d->r, 0), false))
		return true;
	/*
	 * With few requests in flight, a large one does not fit between the mean and the bound. The
	 * bound then counts in complete requests, as in consistent hashing with bounded loads: an
	 * upstream at or under the mean accepts one more, so that no request waits while engines
	 * are idle.
	 */
	return !key && out->c->load.tokens <= d->mean * out->c->capacity * out->c->weight &&
	       d->largest_request > (d->limit - d->mean) * out->c->capacity;
}

static void collect_options(struct place *p, struct decision *d, uint64_t key,
			    struct place_candidate *c, uint32_t n)
{
	const struct place_request *r = d->r;
	double hint_tokens;
	uint64_t hint = cached_at(p, r, d->now, &hint_tokens);
	bool known;
	uint32_t spread = prefixes_record(p->prefixes, r->prefix,
					  r->prompt_tokens + r->output_tokens, n, d->now, &known);

	d->n = preferred_options(p, r, key, spread, c, n, d->options);
	d->hint_rate = *hint_rate(p, r->account);
	d->rarely_hinted = d->hint_rate < 0.5;
	d->new_chat = r->history_tokens <= 0 && !hint;
	for (uint32_t i = 0; i < d->n; i++)
		d->options[i].reuse_tokens = known ? r->prefix_tokens : 0;
	if (hint)
		add_hinted_option(d, hint, hint_tokens, c, n);
	/*
	 * Without a hint or a record as long as the history, the last turn is assumed to have run
	 * at the preferred upstream: a shorter record is older than that turn.
	 */
	if (!r->hint && hint_tokens < 0.9 * r->history_tokens && d->n > 0) {
		d->options[0].reuse_assumed = true;
		d->options[0].reuse_tokens = MAX(
			d->options[0].reuse_tokens,
			r->history_tokens * valid_fraction(p, d->options[0].c->id_hash, 0, d->now));
	}
	for (uint32_t i = 0; i < d->n; i++)
		d->options[i].expected_load = expected_load(p, d->options[i].c, d->now);
	if (r->history_tokens > 0) {
		double *rate = hint_rate(p, r->account);

		*rate += PLACE_HINT_RATE_WEIGHT * ((r->hint ? 1.0 : 0.0) - *rate);
	}
}

/*
 * Whether to wait for the upstream where the context is cached, which is over the bound now.
 * Prefill of a long context at another one takes time and causes many times the load of a reuse.
 */
static bool worth_waiting(struct place *p, const struct decision *d, const struct option *best)
{
	uint32_t slot = d->r->chat % PLACE_WAIT_ENTRIES;
	const struct option *warm = NULL;
	double saved;

	for (uint32_t i = 0; i < d->n; i++) {
		if (!warm || d->options[i].reuse_tokens > warm->reuse_tokens)
			warm = &d->options[i];
	}
	if (!warm || warm == best ||
	    under_bound(d, warm, request_cost(d->r, warm->reuse_tokens), true))
		return false;
	saved = (warm->reuse_tokens - (best ? best->reuse_tokens : 0)) /
		warm->c->load.prefill_rate * USEC_PER_SEC;
	if (p->waits[slot].chat != d->r->chat) {
		p->waits[slot].chat = d->r->chat;
		p->waits[slot].since = d->now;
	}
	return (double)(d->now - p->waits[slot].since) < saved * PLACE_MAX_WAIT_FACTOR;
}

/* Scales the largest weight to 1: upstreams that are all new or all degraded still get all work. */
static void scale_weights(struct place_candidate *c, uint32_t n)
{
	double most = 0;

	for (uint32_t i = 0; i < n; i++)
		most = MAX(most, c[i].weight);
	for (uint32_t i = 0; most > 0 && most < 1 && i < n; i++)
		c[i].weight /= most;
}

void place_choose(struct place *p, const struct place_request *r, struct place_candidate *c,
		  uint32_t n, int64_t now, struct place_choice *out)
{
	uint64_t key = r->chat ? r->chat : r->prefix;
	struct decision d = { .r = r, .now = now };
	struct option least;
	struct option *o;
	double capacity = 0;
	double total = 0;
	bool preferred;

	*out = (struct place_choice){ .reason = PLACE_NONE,
				      .cost_tokens = r->prompt_tokens + r->output_tokens };
	if (!key)
		key = hash_pair(p->params.seed, ++p->n_keyless);
	scale_weights(c, n);
	for (uint32_t i = 0; i < n; i++) {
		if (c[i].weight < PLACE_MIN_WEIGHT)
			continue;
		total += c[i].load.tokens;
		capacity += c[i].capacity;
		d.own_mean += c[i].load.own_tokens;
	}
	if (capacity <= 0)
		return;
	d.mean = (total + request_cost(r, 0)) / capacity;
	d.own_mean /= capacity;
	d.limit = p->params.load_bound * d.mean;
	collect_options(p, &d, key, c, n);
	d.largest_request = record_largest(p, request_cost(r, 0), now);
	o = best_option(p, &d);
	if (worth_waiting(p, &d, o))
		return;
	if (!o) {
		if (!least_loaded(p, &d, key, c, n, &least) &&
		    !least_loaded(p, &d, 0, c, n, &least))
			return;
		o = &least;
	}
	preferred = o == &d.options[0];
	out->upstream = o->c->upstream;
	out->reason = preferred ? PLACE_PREFERRED : o->hinted ? PLACE_HINTED : PLACE_DISPLACED;
	out->reuse_tokens = MIN(o->reuse_tokens, r->prompt_tokens);
	out->cost_tokens = request_cost(r, out->reuse_tokens);
	out->first_token_time = o->c->load.queue_wait + (r->prompt_tokens - out->reuse_tokens) /
								o->c->load.prefill_rate *
								USEC_PER_SEC;
	if (!o->hinted && (!preferred || d.new_chat))
		record_load_based(p, o->c->id_hash, out->cost_tokens, now);
	if (!r->chat)
		return;
	if (p->waits[r->chat % PLACE_WAIT_ENTRIES].chat == r->chat)
		p->waits[r->chat % PLACE_WAIT_ENTRIES].chat = 0;
	if (preferred)
		chats_del(p->chats, r->chat);
	else
		chats_get_or_add(p->chats, r->chat)->id_hash = o->c->id_hash;
}

void place_record_context(struct place *p, const struct place_request *r, uint64_t id_hash,
			  double tokens, int64_t now)
{
	struct chats_entry *entry = chats_find(p->chats, r->chat);

	/* Only displaced chats have an entry; others are found by the hash. */
	if (!entry || entry->id_hash != id_hash)
		return;
	entry->tokens = (float)tokens;
	entry->updated_ms = (uint32_t)(now / USEC_PER_MSEC);
}

void place_context_evicted(struct place *p, uint64_t chat, uint64_t id_hash)
{
	const struct chats_entry *entry = chats_find(p->chats, chat);

	if (entry && entry->id_hash == id_hash)
		chats_del(p->chats, chat);
}

void place_events_lost(struct place *p, uint64_t id_hash, double lost_fraction, int64_t now)
{
	struct place_upstream *u = upstream_get(p, id_hash);
	double stale = 1 - valid_fraction(p, id_hash, 0, now);

	u->stale_fraction = CLAMP(MAX(stale, lost_fraction), 0, 1);
	u->events_lost_at = now;
}

void place_upstream_restarted(struct place *p, uint64_t id_hash, int64_t now)
{
	upstream_get(p, id_hash)->restarted_at = now;
}

uint32_t place_displaced_count(const struct place *p)
{
	return chats_count(p->chats);
}

uint32_t place_spread(const struct place *p, uint64_t prefix, uint32_t n)
{
	return prefixes_spread(p->prefixes, prefix, n);
}

size_t place_bytes(const struct place *p)
{
	return sizeof(*p) + chats_bytes(p->chats) + prefixes_bytes(p->prefixes) +
	       g_hash_table_size(p->upstreams) * (sizeof(struct place_upstream) + 32);
}
