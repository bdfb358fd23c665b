#include "place/place.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "place/place_priv.h"

#define PLACE_WIDTH_MAX	 16U
#define PLACE_STEERED	 32U /* remembered sends per upstream that were decided by load */
#define PLACE_LOST	 0.05 /* candidates below this weight answer nothing: not in the mean */
#define PLACE_WARM_SHARE 2.0 /* parts of the room that warm work, whose cost is small, may fill */
#define PLACE_CALLERS	 1024U
#define PLACE_WAITS	 256U
/* Room kept free for what can't be seen: standard deviations, and most of (c - 1) * mean. */
#define PLACE_SLACK	 2.0
#define PLACE_SLACK_PART 0.8
/* Part of what is left that work without a warm upstream may fill; warm work gets all of it. */
#define PLACE_LAST_PART 0.8 /* part of (c - 1) * mean that a last resort may fill */
#define PLACE_COLD_PART 0.5
/* A cold request above this part of the mean needs room for several: others may send one too. */
#define PLACE_LARGE	 0.04
#define PLACE_LARGE_ROOM 3.0
/* Part of the other instances that are expected to decide like this one by the same reports. */
#define PLACE_OTHERS 0.3
#define PLACE_OWN    0.1 /* weight of own imbalance, once for each instance */
/* Worth in time of one mean load less; new chats move cheaply, warm ones keep their context. */
#define PLACE_BALANCE	   (30.0 * USEC_PER_MSEC)
#define PLACE_BALANCE_NEW  (400.0 * USEC_PER_MSEC)
#define PLACE_RETURNS	   20.0 /* worth of a new chat's first turn at its home, in its prefills */
#define PLACE_WAIT	   6.0 /* longest wait for a warm upstream, in saved prefill time */
#define PLACE_HINTS_WEIGHT 0.05 /* weight of one request in the share of returned hints */
#define PLACE_LARGEST_TIME (60 * USEC_PER_SEC) /* a largest request counts for this long */
#define PLACE_GAP_HALF	   (30 * USEC_PER_SEC) /* distrust after lost cache events halves */

/* What is remembered of one upstream. */
struct place_upstream {
	uint64_t id_hash;
	int64_t restarted_at; /* what was recorded before is void; 0: never */
	double distrust; /* part of records that may be void, at gap_at */
	int64_t gap_at;
	uint32_t next; /* ring position */
	struct {
		int64_t at;
		double tokens;
	} steered[PLACE_STEERED];
};

struct place {
	struct place_params params;
	struct chats *chats;
	struct prefixes *prefixes;
	GHashTable *upstreams; /* id_hash -> owned struct place_upstream */
	struct {
		uint64_t caller;
		double part; /* of its returning requests that bring a hint, 0 to 1 */
	} hints[PLACE_CALLERS]; /* by hash of the caller; a collision starts anew */
	double largest[2]; /* largest request of this and the last period, tokens */
	int64_t largest_at; /* start of this period */
	struct {
		uint64_t chat;
		int64_t since;
	} waits[PLACE_WAITS]; /* by hash of the chat; a collision starts anew */
	uint64_t n_keyless; /* requests without any key */
};

/* One candidate under consideration. */
struct option {
	struct place_candidate *c;
	double key; /* rendezvous score */
	double reuse; /* expected tokens */
	double tokens; /* estimated load with the expected sends of others */
	bool hinted;
	bool assumed; /* the reuse is assumed without a hint or record */
};

/* What one decision works with. */
struct decision {
	const struct place_request *r;
	int64_t now;
	double limit; /* largest load per capacity */
	double mean; /* load per capacity */
	double own_mean; /* own load per capacity */
	double largest; /* tokens of the largest single request */
	double hints; /* part of the caller's returning requests that bring a hint */
	bool blind; /* the caller returns no hints */
	bool new_chat; /* nothing to reuse but the shared prefix */
	struct option options[PLACE_WIDTH_MAX + 1];
	uint32_t n;
};

struct place *place_new(const struct place_params *p)
{
	struct place *s = g_new0(struct place, 1);

	s->params = *p;
	s->params.max_compared = CLAMP(p->max_compared, 1, PLACE_WIDTH_MAX);
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

static struct place_upstream *upstream_of(struct place *p, uint64_t id_hash)
{
	struct place_upstream *u = g_hash_table_lookup(p->upstreams, &id_hash);

	if (u)
		return u;
	u = g_new0(struct place_upstream, 1);
	u->id_hash = id_hash;
	for (uint32_t i = 0; i < PLACE_STEERED; i++)
		u->steered[i].at = INT64_MIN;
	g_hash_table_insert(p->upstreams, &u->id_hash, u);
	return u;
}

static double unit(uint64_t key, uint64_t id_hash)
{
	return ((double)(hash_pair(key, id_hash) >> 11) + 0.5) * 0x1.0p-53;
}

static bool avoided(const struct place_request *r, tab_handle upstream)
{
	for (uint32_t i = 0; i < r->n_avoid; i++) {
		if (r->avoid[i] == upstream)
			return true;
	}
	return false;
}

/*
 * Keeps the @max candidates of the highest weighted rendezvous scores, -weight / log(u), in @out.
 * As 1 - u <= -log(u), most candidates are ruled out without a logarithm.
 */
static uint32_t top(const struct place_request *r, uint64_t key, struct place_candidate *c,
		    uint32_t n, struct option *out, uint32_t max)
{
	uint32_t found = 0;

	for (uint32_t i = 0; i < n; i++) {
		double weight = c[i].capacity * c[i].weight;
		double u = unit(key, c[i].id_hash);
		double s;
		uint32_t at;

		if (weight <= 0 || (found == max && (1 - u) * out[max - 1].key >= weight))
			continue;
		s = -weight / log(u);
		if ((found == max && s <= out[max - 1].key) || avoided(r, c[i].upstream))
			continue;
		at = found < max ? found++ : max - 1;
		for (; at > 0 && out[at - 1].key < s; at--)
			out[at] = out[at - 1];
		out[at] = (struct option){ .c = &c[i], .key = s };
	}
	return found;
}

/*
 * The first candidates of a chat: with a shared prefix, the chat's order within the prefix's
 * first @spread candidates, so that all instances find the same home without shared state.
 */
static uint32_t first_options(const struct place *p, const struct place_request *r, uint64_t key,
			      uint32_t spread, struct place_candidate *c, uint32_t n,
			      struct option *out)
{
	struct option set[PLACE_WIDTH_MAX];
	uint32_t max_compared = p->params.max_compared;
	uint32_t n_set;
	uint32_t n_out = 0;

	if (!r->prefix || !r->chat || spread >= n || spread > PLACE_WIDTH_MAX)
		return top(r, key, c, n, out, max_compared);
	n_set = top(r, r->prefix, c, n, set, spread);
	for (uint32_t i = 0; i < n_set; i++) {
		struct place_candidate *e = set[i].c;
		double s = -e->capacity * e->weight / log(unit(key, e->id_hash));
		uint32_t at;

		if (n_out == max_compared && s <= out[max_compared - 1].key)
			continue;
		at = n_out < max_compared ? n_out++ : max_compared - 1;
		for (; at > 0 && out[at - 1].key < s; at--)
			out[at] = out[at - 1];
		out[at] = (struct option){ .c = e, .key = s };
	}
	return n_out;
}

/*
 * Load of @c with what the others are expected to have sent. They see the same reports, so their
 * sends that were decided by load go where the own ones went; those decided by hints and hashes
 * come and end at the same rate.
 */
static double expected_load(struct place *p, const struct place_candidate *c, int64_t now)
{
	const struct place_upstream *u;
	double steered = 0;
	int64_t since;

	if (c->load.instances < 2 || c->load.age == INT64_MAX)
		return c->load.tokens;
	u = g_hash_table_lookup(p->upstreams, &c->id_hash);
	if (!u)
		return c->load.tokens;
	since = now - c->load.age;
	for (uint32_t i = 0; i < PLACE_STEERED; i++) {
		if (u->steered[i].at >= since)
			steered += u->steered[i].tokens;
	}
	return c->load.tokens + PLACE_OTHERS * steered * (c->load.instances - 1);
}

static void note_steered(struct place *p, uint64_t id_hash, double tokens, int64_t now)
{
	struct place_upstream *u = upstream_of(p, id_hash);

	u->steered[u->next].at = now;
	u->steered[u->next].tokens = tokens;
	u->next = (u->next + 1) % PLACE_STEERED;
}

/* Largest cost of a single request seen in the last one to two minutes. */
static double note_largest(struct place *p, double cost, int64_t now)
{
	if (now - p->largest_at > PLACE_LARGEST_TIME) {
		p->largest[1] = p->largest[0];
		p->largest[0] = 0;
		p->largest_at = now;
	}
	p->largest[0] = MAX(p->largest[0], cost);
	return MAX(p->largest[0], p->largest[1]);
}

static double cost_at(const struct place_request *r, double reuse)
{
	return MAX(0, r->prompt_tokens - reuse) + r->output_tokens;
}

/*
 * Part of what was recorded of @id_hash at time @at (0: unknown) that is expected to be there still:
 * nothing after a restart, less while cache events are being lost.
 */
static double trust(struct place *p, uint64_t id_hash, int64_t at, int64_t now)
{
	const struct place_upstream *u = g_hash_table_lookup(p->upstreams, &id_hash);

	if (!u)
		return 1;
	if (at && at < u->restarted_at)
		return 0;
	if (u->distrust <= 0)
		return 1;
	return 1 - u->distrust * exp2(-(double)(now - u->gap_at) / (double)PLACE_GAP_HALF);
}

/* Own load above its mean, for all instances if they were alike. */
static double own_excess(const struct decision *d, const struct place_candidate *c)
{
	return (c->load.own_tokens - d->own_mean * c->capacity * c->weight) * c->load.instances;
}

static double *hint_part(struct place *p, uint64_t caller)
{
	uint32_t i = caller % PLACE_CALLERS;

	if (p->hints[i].caller != caller) {
		p->hints[i].caller = caller;
		p->hints[i].part = 0;
	}
	return &p->hints[i].part;
}

static bool is_reused(const struct decision *d, const struct option *o)
{
	return d->r->history_tokens > 0 && o->reuse >= d->r->history_tokens;
}

/* Whether @o is where the request belongs: its context is there or will be looked for there. */
static bool is_warm(const struct decision *d, const struct option *o)
{
	return is_reused(d, o) || (d->r->history_tokens <= 0 && d->blind && o == &d->options[0]);
}

/* Whether another @cost at @o keeps the bound; @slack: with room kept for what can't be seen. */
static bool under_bound(const struct decision *d, const struct option *o, double cost, bool slack)
{
	const struct load_estimate *v = &o->c->load;
	double capacity = o->c->capacity * o->c->weight;
	double limit = d->limit * capacity;
	double mean = d->mean * capacity;
	double room = MAX(0, limit - (v->tokens - v->own_since_report));

	/*
	 * Each instance may fill its part of the room that the last report left, warm work twice of
	 * it, so that all together exceed the limit by little whatever they send. One request is
	 * always allowed.
	 */
	if (v->instances > 1 && v->own_since_report > 0 &&
	    v->own_since_report + cost >
		    room / v->instances * (is_reused(d, o) ? PLACE_WARM_SHARE : 1))
		return false;
	/* An assumed context that is not there must not break the bound either. */
	if (o->assumed && o->tokens + cost_at(d->r, 0) > MAX(limit, d->largest * capacity))
		return false;
	if (slack) {
		bool warm = is_warm(d, o);

		limit -= MIN(sqrt(v->unreported_variance) * PLACE_SLACK,
			     PLACE_SLACK_PART * (limit - mean));
		if (!warm) {
			limit = mean + PLACE_COLD_PART * (limit - mean);
			if (cost > PLACE_LARGE * mean)
				cost *= PLACE_LARGE_ROOM;
		}
	} else {
		limit = mean + PLACE_LAST_PART * (limit - mean);
	}
	if (o->tokens + cost <= limit)
		return true;
	/* A request alone may be larger than the mean allows. */
	return o->tokens + cost <= d->largest * capacity;
}

/* Expected time to first token, with the worth of a more even load. */
static double option_time(const struct place *p, const struct decision *d, const struct option *o)
{
	const struct load_estimate *v = &o->c->load;
	double time = v->queue_wait;

	time += MAX(0, d->r->prompt_tokens - o->reuse) / v->prefill_rate * USEC_PER_SEC;
	if (d->mean <= 0)
		return time;
	if (d->new_chat)
		time += PLACE_BALANCE_NEW * (o->tokens + PLACE_OWN * own_excess(d, o->c)) /
			o->c->capacity / d->mean;
	else
		time += PLACE_BALANCE * o->tokens / o->c->capacity / d->mean;
	return time;
}

static int64_t row_time(const struct chats_entry *row, int64_t now)
{
	uint32_t age = (uint32_t)(now / USEC_PER_MSEC) - row->updated_ms;

	return now - (int64_t)age * USEC_PER_MSEC;
}

/* Where the context of the chat is: the caller's hint, else what this instance remembers. */
static uint64_t hinted_at(struct place *p, const struct place_request *r, int64_t now,
			  double *tokens)
{
	const struct chats_entry *row;

	*tokens = 0;
	if (r->hint) {
		*tokens = r->hint_tokens * trust(p, r->hint, r->hint_issued_at, now);
		return r->hint;
	}
	row = chats_find(p->chats, r->chat);
	if (!row)
		return 0;
	*tokens = MIN((double)row->tokens, r->prompt_tokens) *
		  trust(p, row->id_hash, row_time(row, now), now);
	return row->id_hash;
}

static struct option *find_option(struct decision *d, uint64_t id_hash, struct place_candidate *c,
				  uint32_t n)
{
	for (uint32_t i = 0; i < d->n; i++) {
		if (d->options[i].c->id_hash == id_hash)
			return &d->options[i];
	}
	for (uint32_t i = 0; i < n; i++) {
		if (c[i].id_hash != id_hash || avoided(d->r, c[i].upstream) || c[i].weight <= 0)
			continue;
		d->options[d->n] = (struct option){ .c = &c[i] };
		return &d->options[d->n++];
	}
	return NULL;
}

static void add_hinted(struct decision *d, uint64_t id_hash, double tokens,
		       struct place_candidate *c, uint32_t n)
{
	struct option *o = find_option(d, id_hash, c, n);

	if (!o)
		return;
	o->hinted = true;
	o->reuse = MAX(o->reuse, tokens);
}

/* The best option under the bound or NULL. */
static struct option *best_option(const struct place *p, struct decision *d)
{
	struct option *best = NULL;
	double best_time = 0;

	for (uint32_t i = 0; i < d->n; i++) {
		struct option *o = &d->options[i];
		double time;

		if (!under_bound(d, o, cost_at(d->r, o->reuse), true))
			continue;
		time = option_time(p, d, o);
		/*
		 * A chat whose caller returns no hint is only found again at its first choice.
		 */
		if (d->new_chat && d->r->chat && i > 0)
			time += (1 - d->hints) * PLACE_RETURNS *
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
 * The least loaded of all candidates, if it is under the bound. With @key only a third of them is
 * looked at, by the hash of the request: instances with the same stale reports would else all send
 * to the same upstream.
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
		if (tokens >= least * capacity || avoided(d->r, c[i].upstream))
			continue;
		least = tokens / capacity;
		*out = (struct option){ .c = &c[i], .tokens = tokens };
	}
	if (!out->c)
		return false;
	if (under_bound(d, out, cost_at(d->r, 0), false))
		return true;
	/*
	 * With few requests in flight a large one does not fit between the mean and the bound. The
	 * bound then counts in whole requests, as in consistent hashing with bounded loads: an
	 * upstream at or under the mean may take one more, so that no work waits beside idle engines.
	 */
	return !key && out->c->load.tokens <= d->mean * out->c->capacity * out->c->weight &&
	       d->largest > (d->limit - d->mean) * out->c->capacity;
}

static void choose_options(struct place *p, struct decision *d, uint64_t key,
			   struct place_candidate *c, uint32_t n)
{
	const struct place_request *r = d->r;
	double hint_tokens;
	uint64_t hint = hinted_at(p, r, d->now, &hint_tokens);
	bool known;
	uint32_t spread = prefixes_record(p->prefixes, r->prefix,
					  r->prompt_tokens + r->output_tokens, n, d->now, &known);

	d->n = first_options(p, r, key, spread, c, n, d->options);
	d->hints = *hint_part(p, r->account);
	d->blind = d->hints < 0.5;
	d->new_chat = r->history_tokens <= 0 && !hint;
	for (uint32_t i = 0; i < d->n; i++)
		d->options[i].reuse = known ? r->prefix_tokens : 0;
	if (hint)
		add_hinted(d, hint, hint_tokens, c, n);
	/* A remembered place with less than the whole history is older than the last turn. */
	if (!r->hint && hint_tokens < 0.9 * r->history_tokens && d->n > 0) {
		d->options[0].assumed = true;
		d->options[0].reuse =
			MAX(d->options[0].reuse,
			    r->history_tokens * trust(p, d->options[0].c->id_hash, 0, d->now));
	}
	for (uint32_t i = 0; i < d->n; i++)
		d->options[i].tokens = expected_load(p, d->options[i].c, d->now);
	if (r->history_tokens > 0) {
		double *part = hint_part(p, r->account);

		*part += PLACE_HINTS_WEIGHT * ((r->hint ? 1.0 : 0.0) - *part);
	}
}

/*
 * Whether to wait for the upstream that holds the context, which is over the bound now. Computing a
 * long context again elsewhere takes prefill time and brings many times the load of a reuse there.
 */
static bool worth_waiting(struct place *p, const struct decision *d, const struct option *best)
{
	uint32_t slot = d->r->chat % PLACE_WAITS;
	const struct option *warm = NULL;
	double saved;

	for (uint32_t i = 0; i < d->n; i++) {
		if (!warm || d->options[i].reuse > warm->reuse)
			warm = &d->options[i];
	}
	if (!warm || warm == best || under_bound(d, warm, cost_at(d->r, warm->reuse), true))
		return false;
	saved = (warm->reuse - (best ? best->reuse : 0)) / warm->c->load.prefill_rate *
		USEC_PER_SEC;
	if (p->waits[slot].chat != d->r->chat) {
		p->waits[slot].chat = d->r->chat;
		p->waits[slot].since = d->now;
	}
	return (double)(d->now - p->waits[slot].since) < saved * PLACE_WAIT;
}

/* Makes the largest weight 1, so that upstreams that are all new or all in doubt take all work. */
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
	bool first;

	*out = (struct place_choice){ .reason = PLACE_NONE,
				      .cost_tokens = r->prompt_tokens + r->output_tokens };
	if (!key)
		key = hash_pair(p->params.seed, ++p->n_keyless);
	scale_weights(c, n);
	for (uint32_t i = 0; i < n; i++) {
		if (c[i].weight < PLACE_LOST)
			continue;
		total += c[i].load.tokens;
		capacity += c[i].capacity;
		d.own_mean += c[i].load.own_tokens;
	}
	if (capacity <= 0)
		return;
	d.mean = (total + cost_at(r, 0)) / capacity;
	d.own_mean /= capacity;
	d.limit = p->params.load_bound * d.mean;
	choose_options(p, &d, key, c, n);
	d.largest = note_largest(p, cost_at(r, 0), now);
	o = best_option(p, &d);
	if (worth_waiting(p, &d, o))
		return;
	if (!o) {
		if (!least_loaded(p, &d, key, c, n, &least) &&
		    !least_loaded(p, &d, 0, c, n, &least))
			return;
		o = &least;
	}
	first = o == &d.options[0];
	out->upstream = o->c->upstream;
	out->reason = first ? PLACE_PREFERRED : o->hinted ? PLACE_HINTED : PLACE_DISPLACED;
	out->reuse_tokens = MIN(o->reuse, r->prompt_tokens);
	out->cost_tokens = cost_at(r, out->reuse_tokens);
	out->first_token_time = o->c->load.queue_wait + (r->prompt_tokens - out->reuse_tokens) /
								o->c->load.prefill_rate *
								USEC_PER_SEC;
	if (!o->hinted && (!first || d.new_chat))
		note_steered(p, o->c->id_hash, out->cost_tokens, now);
	if (!r->chat)
		return;
	if (p->waits[r->chat % PLACE_WAITS].chat == r->chat)
		p->waits[r->chat % PLACE_WAITS].chat = 0;
	if (first)
		chats_del(p->chats, r->chat);
	else
		chats_put(p->chats, r->chat)->id_hash = o->c->id_hash;
}

void place_record_context(struct place *p, const struct place_request *r, uint64_t id_hash,
			  double tokens, int64_t now)
{
	struct chats_entry *row = chats_find(p->chats, r->chat);

	/* Only displaced chats have a row; the hash finds all others. */
	if (!row || row->id_hash != id_hash)
		return;
	row->tokens = (float)tokens;
	row->updated_ms = (uint32_t)(now / USEC_PER_MSEC);
}

void place_context_evicted(struct place *p, uint64_t chat, uint64_t id_hash)
{
	const struct chats_entry *row = chats_find(p->chats, chat);

	if (row && row->id_hash == id_hash)
		chats_del(p->chats, chat);
}

void place_events_lost(struct place *p, uint64_t id_hash, double part, int64_t now)
{
	struct place_upstream *u = upstream_of(p, id_hash);
	double left = 1 - trust(p, id_hash, 0, now);

	u->distrust = CLAMP(MAX(left, part), 0, 1);
	u->gap_at = now;
}

void place_upstream_restarted(struct place *p, uint64_t id_hash, int64_t now)
{
	upstream_of(p, id_hash)->restarted_at = now;
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
