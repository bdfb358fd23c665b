#include "cost/cost.h"

#include <glib.h>
#include <math.h>

#include "base/base.h"

#define HALF_LIFE 60.0 /* seconds, of all learned values */
/* Requests from which on a class is used instead of a wider one. */
#define CLASS_WEIGHT 4.0
/* Requests that the assumption about longer ones than are known counts as. */
#define UNKNOWN_WEIGHT 1.0
/* Classes that a request belongs to, see classes_of(). */
#define N_LEVELS 4U
/* Start values: chat completions of some hundred tokens, events of some tokens each. */
#define START_EVENTS 16.0
/* A caller may hint at anything; most of what is expected before responses are known. */
#define START_EVENTS_MAX 4096.0
/* Events left of a request that has made all it may: its end is still under way. */
#define LEFT_MIN	       0.5
#define START_TOKENS_PER_EVENT 6.0
#define START_INTERVAL	       ((double)(30 * USEC_PER_MSEC))
/* Intervals of one upstream from which on its speed is told apart, and up to which they count. */
#define SPEED_MIN_WEIGHT 40.0
#define SPEED_MAX_WEIGHT 400.0
/* Means of SPEED_MIN_WEIGHT intervals of equal upstreams seldom differ by more. */
#define SPEED_NOISE 0.12
#define SPEED_MIN   0.25
#define SPEED_MAX   8.0
/* Weight of one stream in the interval that is typical of all upstreams. */
#define TYPICAL_STEP 0.02

/* Seconds over which the usual load is averaged; longer than reports are old. */
#define USUAL_TIME 4.0
/* Numbers of a kind, by buckets whose bounds double (hist_bucket()). */
struct spread {
	float counts[HIST_BUCKETS];
	float sums[HIST_BUCKETS];
};

struct output_class {
	uint64_t key; /* 0: unused */
	int64_t at; /* last update */
	struct spread events;
};

struct cost {
	uint32_t n_classes; /* power of two */
	struct output_class *classes; /* owned; direct-mapped */
	double interval; /* typical time between events, microseconds */
	double mean_left; /* events left per own request, at all upstreams; fades */
	double own_left; /* of all own requests in progress */
	uint32_t own_running;
};

struct cost *cost_new(uint32_t max_classes)
{
	struct cost *c = g_new0(struct cost, 1);

	c->n_classes = 1;
	while (c->n_classes < max_classes)
		c->n_classes *= 2;
	c->classes = g_new0(struct output_class, c->n_classes);
	c->interval = START_INTERVAL;
	return c;
}

void cost_free(struct cost *c)
{
	if (!c)
		return;
	g_free(c->classes);
	g_free(c);
}

static double fading(int64_t from, int64_t to)
{
	return exp2(-(double)MAX(to - from, 0) / USEC_PER_SEC / HALF_LIFE);
}

static void spread_fade(struct spread *s, float factor)
{
	for (uint32_t i = 0; i < HIST_BUCKETS; i++) {
		s->counts[i] *= factor;
		s->sums[i] *= factor;
	}
}

static void spread_add(struct spread *s, double value)
{
	uint32_t i = hist_bucket((int64_t)value, 1);

	s->counts[i]++;
	s->sums[i] += (float)value;
}

/* Weight and sum of the values above @min in @s; the values of a bucket count by their mean. */
static void sum_above(const struct spread *s, double min, double *weight, double *sum)
{
	for (uint32_t i = 0; i < HIST_BUCKETS; i++) {
		if (s->counts[i] <= 0 || s->sums[i] <= s->counts[i] * (float)min)
			continue;
		*weight += (double)s->counts[i];
		*sum += (double)s->sums[i];
	}
}

static double spread_weight(const struct spread *s)
{
	double weight = 0;

	for (uint32_t i = 0; i < HIST_BUCKETS; i++)
		weight += (double)s->counts[i];
	return weight;
}

/*
 * Keys of the classes of @r, narrow ones first: of its route and account with such a hint, of its
 * route and account, of all requests with such a hint, and of all requests. Hints are told apart
 * by the power of four below them: what such requests made corrects the hint, whatever its bias.
 */
static void classes_of(const struct cost_request *r, uint64_t keys[N_LEVELS])
{
	uint64_t hint = hist_bucket(r->hint, 1) / 2 + 1;

	keys[0] = r->hint ? hash_pair(r->class_key, hint) : hash_pair(r->class_key, 0);
	keys[1] = hash_pair(r->class_key, 0);
	keys[2] = r->hint ? hash_pair(0, hint) : hash_pair(0, 0);
	keys[3] = hash_pair(0, 0);
}

static struct output_class *class_slot(const struct cost *c, uint64_t key)
{
	return &c->classes[key & (c->n_classes - 1)];
}

/*
 * What is known about requests like @r: the narrowest class with enough of them, or NULL.
 * @fade: factor to the weights in it
 */
static const struct spread *spread_of(const struct cost *c, const struct cost_request *r,
				      int64_t now, double *fade)
{
	uint64_t keys[N_LEVELS];

	classes_of(r, keys);
	for (uint32_t i = 0; i < N_LEVELS; i++) {
		const struct output_class *k = class_slot(c, keys[i]);

		*fade = fading(k->at, now);
		if (k->key == keys[i] && *fade * spread_weight(&k->events) >= CLASS_WEIGHT)
			return &k->events;
	}
	return NULL;
}

static double start_output(const struct cost_request *r)
{
	double tokens = r->hint;

	if (!r->hint && !r->max_output)
		return START_EVENTS;
	if (!r->hint)
		tokens = MIN((double)r->max_output, START_EVENTS * START_TOKENS_PER_EVENT);
	return CLAMP(tokens / START_TOKENS_PER_EVENT, 1, START_EVENTS_MAX);
}

/* A response makes at most as many events as it has tokens. */
static double limit_left(const struct cost_request *r, uint32_t events, double left)
{
	double most = r->max_output ? MAX((double)r->max_output - events, 0) : INFINITY;

	return MIN(left, most);
}

double cost_output_left(const struct cost *c, const struct cost_request *r, uint32_t events,
			int64_t now)
{
	double fade = 1;
	const struct spread *s = spread_of(c, r, now, &fade);
	double weight = 0;
	double sum = 0;
	/* Beyond all that is known, half as much again is as likely as an end. */
	double unknown = MAX(start_output(r) - events, events / 2.0);

	if (s)
		sum_above(s, events, &weight, &sum);
	weight *= fade;
	sum *= fade;
	if (weight >= CLASS_WEIGHT)
		return limit_left(r, events, sum / weight - events);
	/* What few longer requests have made yields to the assumption as it fades. */
	return limit_left(r, events,
			  (sum - weight * events + UNKNOWN_WEIGHT * unknown) /
				  (weight + UNKNOWN_WEIGHT));
}

double cost_output_quantile(const struct cost *c, const struct cost_request *r, double q,
			    int64_t now)
{
	double fade;
	const struct spread *s = spread_of(c, r, now, &fade);
	double left = s ? q * spread_weight(s) : 0;

	for (uint32_t i = 0; s && i < HIST_BUCKETS; i++) {
		left -= (double)s->counts[i];
		if (left <= 0 && s->counts[i] > 0)
			return limit_left(r, 0, (double)s->sums[i] / (double)s->counts[i]);
	}
	return start_output(r);
}

void cost_record_output(struct cost *c, const struct cost_request *r, uint32_t events, int64_t now)
{
	uint64_t keys[N_LEVELS];

	classes_of(r, keys);
	for (uint32_t i = 0; i < N_LEVELS; i++) {
		struct output_class *k = class_slot(c, keys[i]);

		/* Without a hint these are the same as the next ones. */
		if (!r->hint && i % 2 == 0)
			continue;
		if (k->key != keys[i])
			*k = (struct output_class){ .key = keys[i] };
		spread_fade(&k->events, (float)fading(k->at, now));
		k->at = MAX(k->at, now);
		spread_add(&k->events, events);
	}
}

static void set_left(struct cost *c, struct cost_upstream *u, struct cost_run *run, double left)
{
	u->own_left = MAX(u->own_left + left - run->left, 0);
	c->own_left = MAX(c->own_left + left - run->left, 0);
	run->left = left;
}

void cost_start(struct cost *c, struct cost_upstream *u, struct cost_run *run,
		const struct cost_request *r, int64_t now)
{
	*run = (struct cost_run){ .request = *r };
	u->own_running++;
	c->own_running++;
	set_left(c, u, run, cost_output_left(c, r, 0, now));
	if (c->own_running)
		c->mean_left = c->own_left / c->own_running;
}

void cost_progress(struct cost *c, struct cost_upstream *u, struct cost_run *run, int64_t now)
{
	run->events++;
	if (!run->first_at)
		run->first_at = run->timed_at = now;
	else if (!run->paused) {
		run->timed_at = now;
		run->n_timed++;
	}
	/* The estimate is drawn up again each time the number of events doubles. */
	if (run->events & (run->events - 1))
		set_left(c, u, run, MAX(run->left - 1, 0.5));
	else
		set_left(c, u, run, cost_output_left(c, &run->request, run->events, now));
}

void cost_pause(struct cost_run *run)
{
	run->paused = true;
}

void cost_end(struct cost *c, struct cost_upstream *u, struct cost_run *run)
{
	set_left(c, u, run, 0);
	u->own_running -= u->own_running > 0;
	c->own_running -= c->own_running > 0;
	if (!u->own_running)
		u->own_left = 0;
	if (!c->own_running)
		c->own_left = 0;
}

void cost_record_intervals(struct cost *c, struct cost_upstream *u, const struct cost_run *run,
			   int64_t now)
{
	uint32_t n = run->n_timed;
	double interval = n ? (double)(run->timed_at - run->first_at) / n : 0;
	double weight = u->weight * fading(u->updated_at, now);

	if (!(interval > 0))
		return;
	u->interval = (u->interval * weight + interval * n) / (weight + n);
	u->weight = MIN(weight + n, SPEED_MAX_WEIGHT);
	u->updated_at = MAX(u->updated_at, now);
	c->interval +=
		TYPICAL_STEP * (CLAMP(interval, c->interval / 4, c->interval * 4) - c->interval);
}

double cost_speed(const struct cost *c, const struct cost_upstream *u, int64_t now)
{
	double weight = u->weight;
	double ratio = u->interval / c->interval;

	if (weight < SPEED_MIN_WEIGHT)
		return 1;
	/* Half the weight after a half-life, without an exponential for each candidate. */
	weight /= 1 + (double)MAX(now - u->updated_at, 0) / (HALF_LIFE * USEC_PER_SEC);
	if (weight < SPEED_MIN_WEIGHT ||
	    fabs(ratio - 1) <= SPEED_NOISE * sqrt(SPEED_MIN_WEIGHT / weight))
		return 1;
	return CLAMP(ratio, SPEED_MIN, SPEED_MAX);
}

double cost_interval(const struct cost *c)
{
	return c->interval;
}

/* Events that an own request has left on average. */
static double mean_left(const struct cost *c)
{
	if (c->own_running)
		return MAX(c->own_left / c->own_running, LEFT_MIN);
	return c->mean_left > 0 ? MAX(c->mean_left, LEFT_MIN) : START_EVENTS / 2;
}

void cost_see_load(struct cost_upstream *u, double requests, int64_t at)
{
	double dt = (double)(at - u->seen_at) / USEC_PER_SEC;

	if (u->seen_at && dt <= 0)
		return;
	u->usual += (u->seen_at ? 1 - exp(-dt / USUAL_TIME) : 1) * (requests - u->usual);
	u->seen_at = at;
}

struct cost_load cost_load(const struct cost *c, const struct cost_upstream *u, double reported,
			   int64_t age, double mean, uint32_t slots)
{
	/* What is left of a request in progress is half of what it makes, if it is at its middle. */
	double lifetime = 2 * mean_left(c) * c->interval;
	double rounds = slots ? MAX(reported / slots, 1) : 1;
	double lives = (double)MAX(age, 0) / (lifetime * rounds);
	/* Close to exp(-lives), which takes too long for each candidate. */
	double trust = 1 / (1 + lives + lives * lives / 2);
	double later = u->seen_at ? (mean + u->usual) / 2 : mean;
	double requests = later + trust * (reported - later);

	/* As of a queue with many servers, whose variance is its mean. */
	return (struct cost_load){ requests, sqrt((1 - trust * trust) * MAX(requests, 0)) };
}

/*
 * Expected requests beyond @room if the load has a normal distribution. The smooth maximum is exact
 * at the limit and far from it; an error function for each candidate takes too long.
 */
static double expected_excess(const struct cost_load *l, double room)
{
	double excess = l->requests - room;

	return (excess + sqrt(excess * excess + l->deviation * l->deviation * M_2_PI)) / 2;
}

double cost_wait(const struct cost *c, const struct cost_upstream *u, const struct cost_load *l,
		 uint32_t slots, double speed)
{
	double mean = mean_left(c);
	double requests = MAX(l->requests, u->own_running);
	double left = u->own_left + (requests - u->own_running) * mean;

	if (!slots)
		return 0;
	/* All slots work off what is left; the new request starts when fewer than @slots remain. */
	return expected_excess(l, slots - 1.0) * left / MAX(requests, 1) / slots * c->interval *
	       speed;
}

size_t cost_bytes(const struct cost *c)
{
	return sizeof(*c) + c->n_classes * sizeof(struct output_class);
}
