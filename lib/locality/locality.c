#include "locality/locality.h"

#include <glib.h>
#include <math.h>

#include "base/base.h"

#define WAYS	2U /* rows that a part may be in */
#define HOLDERS 8U /* upstreams that are remembered for one part */

/* Order of magnitude of engines in service; only its ratio to the load terms decides. */
#define READ_TIME ((double)USEC_PER_SEC / 30000) /* microseconds for one prompt token */
/* Reading a prompt delays this request and the tokens of all others at the upstream. */
#define READ_COST 2.0
/* A new home copies the prompt from the former one, which takes a fifth of the time at most. */
#define COPY_COST 0.2
/* Each request in a batch lengthens a step of about 5 ms by 0.2% to 0.5%. */
#define RUNNING_COST (0.2 * USEC_PER_MSEC)
/* Another failure domain costs a round trip and paid traffic. */
#define FAR_COST (1.0 * USEC_PER_MSEC)
/* Orders choices that are equal otherwise; far below all other costs. */
#define ORDER_COST (0.1 * USEC_PER_MSEC)
/* Without a report a part may have been evicted; engines of today hold minutes of traffic. */
#define HELD_FOR (60 * USEC_PER_SEC)
/*
 * The shorter one of two calls seldom exceeds the fastest quarter by so much where times vary by half
 * of their mean; at a slow replica they take four times as long and more.
 */
#define SLOW_RATIO 2.5
/* Copying memory takes a few milliseconds to set up, in which this many tokens are read. */
#define SOURCE_TOKENS 128.0
/* Sources that differ by less than this part are as good as each other. */
#define SPREAD 0.1

struct holder {
	uint64_t upstream; /* its id_hash; 0: none */
	int64_t at; /* last use */
};

struct row {
	uint64_t part; /* 0: unused */
	int64_t at; /* last use */
	uint32_t told; /* bit for each holder that only other instances have sent the part to */
	struct holder holders[HOLDERS];
};

struct locality {
	struct locality_params params;
	struct row *rows; /* owned, n_sets * WAYS */
	uint32_t n_sets; /* power of two */
	double *units; /* owned scratch space: unit() of each candidate */
	uint32_t n_units;
};

/* What one decision works with. */
struct decision {
	const struct locality_request *r;
	const struct locality_candidate *c;
	uint32_t n;
	int64_t now;
	const struct row
		*rows[LOCALITY_MAX_PARTS]; /* of each part, NULL: nobody is known to hold it */
	uint64_t holders; /* bit for each hash of an upstream in these rows: see held_parts() */
	const double *units;
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
	g_free(l->units);
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

uint64_t locality_chat_key(const struct locality_request *r)
{
	return r->n_parts ? r->parts[shared_parts(r) - 1].id : 0;
}

static struct row *set_of(const struct locality *l, uint64_t part)
{
	return &l->rows[(size_t)(hash_pair(part, 0) & (l->n_sets - 1)) * WAYS];
}

static struct row *find_row(const struct locality *l, uint64_t part)
{
	struct row *set = set_of(l, part);

	for (uint32_t i = 0; i < WAYS; i++) {
		if (set[i].part == part && part)
			return &set[i];
	}
	return NULL;
}

/* @any: also by what other instances told. */
static bool is_held(const struct row *row, uint64_t id_hash, bool any, int64_t now)
{
	for (uint32_t i = 0; row && i < HOLDERS; i++) {
		if (row->holders[i].upstream == id_hash)
			return now - row->holders[i].at < HELD_FOR &&
			       (any || !(row->told & 1U << i));
	}
	return false;
}

static struct row *row_for(struct locality *l, uint64_t part)
{
	struct row *row = find_row(l, part);
	struct row *set = set_of(l, part);

	if (row)
		return row;
	row = &set[0];
	for (uint32_t i = 1; i < WAYS; i++) {
		if (set[i].at < row->at)
			row = &set[i];
	}
	*row = (struct row){ .part = part };
	return row;
}

static void note_held(struct locality *l, uint64_t part, uint64_t id_hash, bool told, int64_t now)
{
	struct row *row = row_for(l, part);
	uint32_t at = 0;

	row->at = now;
	for (uint32_t i = 0; i < HOLDERS; i++) {
		if (row->holders[i].upstream == id_hash) {
			at = i;
			/* What this instance sent there itself stays its own knowledge. */
			told = told &&
			       (row->told & 1U << i || now - row->holders[i].at >= HELD_FOR);
			break;
		}
		if (row->holders[i].at < row->holders[at].at)
			at = i;
	}
	row->holders[at] = (struct holder){ id_hash, now };
	row->told = (row->told & ~(1U << at)) | (told ? 1U << at : 0);
}

void locality_record_prefill(struct locality *l, const struct locality_request *r, uint64_t id_hash,
			     int64_t now)
{
	for (uint32_t i = 0; i < r->n_parts; i++)
		note_held(l, r->parts[i].id, id_hash, false, now);
}

void locality_record_peer_prefill(struct locality *l, uint64_t part, uint64_t id_hash, int64_t now)
{
	note_held(l, part, id_hash, true, now);
}

static uint64_t holder_bit(uint64_t id_hash)
{
	return UINT64_C(1) << (id_hash & 63);
}

/*
 * Leading parts of the prompt that candidate @i is known to hold: a part is read after those before
 * it. With @any what other instances told counts as well.
 */
static uint32_t held_parts(const struct decision *d, uint32_t i, bool any)
{
	uint32_t n = d->r->n_parts;

	/* Rules out most candidates at once. */
	if (!(d->holders & holder_bit(d->c[i].id_hash)))
		return 0;
	while (n > 0 && !is_held(d->rows[n - 1], d->c[i].id_hash, any, d->now))
		n--;
	return n;
}

/* Tokens of the parts from number @first up to @end. */
static double tokens_of(const struct locality_request *r, uint32_t first, uint32_t end)
{
	double sum = 0;

	for (uint32_t i = first; i < end; i++)
		sum += r->parts[i].tokens;
	return sum;
}

/*
 * Tokens that candidate @i lacks; @home: other instances send the chat there. What they told of other
 * upstreams does not count: with a hot chat all of them would turn to the same one (/limit/hot-chat).
 */
static double missing_at(const struct decision *d, uint32_t i, bool home, bool *held)
{
	const struct locality_request *r = d->r;
	uint32_t n = held_parts(d, i, false);

	*held = n >= shared_parts(r);
	if (home && !d->c[i].is_new)
		n = MAX(n, shared_parts(r));
	else if (home)
		return tokens_of(r, n, shared_parts(r)) * COPY_COST +
		       tokens_of(r, MAX(n, shared_parts(r)), r->n_parts);
	return tokens_of(r, n, r->n_parts);
}

/* Hash of a chat or request and an upstream as a number between 0 and 1. */
static double unit(uint64_t key, const struct locality_candidate *c)
{
	return ((double)(hash_pair(key, c->id_hash) >> 11) + 0.5) * 0x1.0p-53;
}

/* Whether one more request stays within @limit, or for some requests within an earlier bound. */
static bool has_room(const struct locality *l, const struct locality_request *r,
		     const struct locality_candidate *c, double limit)
{
	double load = c->running + 1;

	limit *= c->weight;
	if (load <= limit * (1 - l->params.early))
		return true;
	return load <= limit * (1 - l->params.early * unit(r->seed, c));
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

/* How many times as long as usual a call takes at @c; 1 within the usual spread. */
static double slowness(const struct locality_request *r, const struct locality_candidate *c)
{
	double ratio =
		r->call_latency > 0 && c->call_latency > 0 ? c->call_latency / r->call_latency : 1;

	return ratio > SLOW_RATIO ? ratio : 1;
}

static uint32_t least_loaded(const struct locality_request *r, const struct locality_candidate *c,
			     uint32_t n)
{
	uint32_t best = 0;
	double best_load = INFINITY;

	for (uint32_t i = 0; i < n; i++) {
		double slots = MAX(c[i].slots, 1U);
		double slow = slowness(r, &c[i]);
		double load = slow * (c[i].running + 1) / slots / MAX(c[i].weight, 1e-6);

		if (c[i].source_only)
			continue;
		/*
		 * A near upstream is taken until it is half full, so that traffic between failure
		 * domains is paid for only where it helps.
		 */
		if (c[i].same_domain && slow <= 1 && c[i].running < slots / 2)
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
static int32_t first_in_order(const struct decision *d, bool settled)
{
	int32_t home = -1;
	double best = 0;

	for (uint32_t i = 0; i < d->n; i++) {
		double weight = MAX(d->c[i].weight, 1e-6);
		double score;

		/* As 1 - u <= -log(u), most candidates are ruled out without a logarithm. */
		if ((settled ? d->c[i].is_new : d->c[i].source_only) ||
		    (1 - d->units[i]) * best >= weight)
			continue;
		score = -weight / log(d->units[i]);
		if (score <= best)
			continue;
		home = (int32_t)i;
		best = score;
	}
	return home;
}

/*
 * Where parts that the chosen candidate may lack can be copied from; @settled: the home as other
 * instances know it. An upstream copies only what it does not hold, so a source that is named in
 * vain costs nothing, and what others are taken to have sent to the chosen one does not count here.
 */
static int32_t find_source(const struct decision *d, uint32_t chosen, int32_t settled)
{
	uint32_t have = held_parts(d, chosen, true);
	double best = SOURCE_TOKENS;
	int32_t source = -1;

	for (uint32_t i = 0; i < d->n; i++) {
		uint32_t held =
			i == (uint32_t)settled ? shared_parts(d->r) : held_parts(d, i, true);
		double gain;

		if (held <= have || i == chosen || d->c[i].unreachable)
			continue;
		gain = tokens_of(d->r, have, held);
		/* Copies from one upstream wait for each other, so requests turn to different ones. */
		gain *= 1 + SPREAD * unit(d->r->seed, &d->c[i]);
		if (gain > best) {
			best = gain;
			source = (int32_t)i;
		}
	}
	return source;
}

/* Whether a candidate is known to hold part number @at and all before it. */
static bool has_holder(const struct decision *d, uint32_t at)
{
	for (uint32_t i = 0; d->rows[at] && i < d->n; i++) {
		if (!d->c[i].unreachable && held_parts(d, i, true) > at)
			return true;
	}
	return false;
}

/* What the other instances should be told once the prompt is read by candidate @chosen. */
static void find_news(const struct decision *d, uint32_t chosen, int32_t settled,
		      struct locality_choice *out)
{
	bool at_home = (int32_t)chosen == settled;
	/* At its home they look for the chat, but not for what other chats share with it. */
	uint32_t n = at_home ? shared_parts(d->r) - 1 : shared_parts(d->r);

	while (at_home && n > 0 && has_holder(d, n - 1))
		n--;
	if (n == 0)
		return;
	out->report_part = d->r->parts[n - 1].id;
	out->report_tokens = (uint32_t)tokens_of(d->r, 0, n);
}

static void prepare(struct locality *l, struct decision *d)
{
	uint64_t chat = locality_chat_key(d->r);

	if (l->n_units < d->n) {
		l->n_units = d->n;
		l->units = g_renew(double, l->units, d->n);
	}
	for (uint32_t i = 0; i < d->n; i++)
		l->units[i] = unit(chat, &d->c[i]);
	d->units = l->units;
	for (uint32_t i = 0; i < d->r->n_parts; i++) {
		const struct row *row = find_row(l, d->r->parts[i].id);

		d->rows[i] = row;
		for (uint32_t k = 0; row && k < HOLDERS; k++)
			d->holders |= holder_bit(row->holders[k].upstream);
	}
}

void locality_choose(struct locality *l, const struct locality_request *r,
		     const struct locality_candidate *c, uint32_t n, int64_t now,
		     struct locality_choice *out)
{
	struct decision d = { .r = r, .c = c, .n = n, .now = now };
	double limit = l->params.bound * mean_running(c, n) + l->params.slack;
	double best_time = INFINITY;
	double least; /* time to read what belongs to the request alone */
	bool best_held = false;
	bool held;
	int32_t home;
	int32_t settled;

	*out = (struct locality_choice){ .reason = LOCALITY_LOAD, .source = -1 };
	if (!r->n_parts) {
		out->index = least_loaded(r, c, n);
		return;
	}
	prepare(l, &d);
	home = first_in_order(&d, false);
	least = READ_COST * READ_TIME * tokens_of(r, shared_parts(r), r->n_parts);
	for (uint32_t k = 0; k <= n; k++) {
		/* The home comes first: most others then can't be better, whatever they hold. */
		uint32_t i = k ? k - 1 : (uint32_t)MAX(home, 0);
		double other;
		double missing;
		double time;

		if (c[i].source_only || !has_room(l, r, &c[i], limit))
			continue;
		other = c[i].pending_tokens * READ_TIME + c[i].running * RUNNING_COST +
			(c[i].same_domain ? 0 : FAR_COST) +
			/* spreads equal choices the same way at all instances */
			ORDER_COST * (1 - d.units[i]);
		if (other + least >= best_time)
			continue;
		missing = missing_at(&d, i, (int32_t)i == home, &held);
		time = other + READ_COST * missing * READ_TIME;
		if (time >= best_time)
			continue;
		best_time = time;
		best_held = held;
		out->index = i;
		out->missing = missing;
	}
	if (isinf(best_time)) {
		out->index = least_loaded(r, c, n);
		out->missing = missing_at(&d, out->index, (int32_t)out->index == home, &held);
		out->reason = LOCALITY_FULL;
	} else if ((int32_t)out->index == home) {
		out->reason = LOCALITY_PREFERRED;
	} else {
		out->reason = best_held ? LOCALITY_CACHED : LOCALITY_MOVED;
	}
	settled = first_in_order(&d, true);
	out->source = find_source(&d, out->index, settled);
	find_news(&d, out->index, settled, out);
}
