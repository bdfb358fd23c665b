#include "pressure_priv.h"

#define FINISH_DEADLINE (3600 * USEC_PER_SEC)

const struct pressure_mix pressure_mixes[2] = {
	{ "brazos",
	  { { "appraisal", RANK_URGENT, 0.20, 800, 60, 6, false, false },
	    { "question", RANK_NORMAL, 0.22, 600, 150, 15, false, false },
	    { "note", RANK_NORMAL, 0.15, 400, 250, 25, false, false },
	    { "booking", RANK_NORMAL, 0.01, 200, 20, 10, false, true },
	    { "report", RANK_BATCH, 0.15, 4000, 600, 240, true, false } } },
	{ "kaardikoda",
	  { { "edit", RANK_URGENT, 0.25, 300, 30, 3, false, false },
	    { "preview", RANK_NORMAL, 0.25, 500, 200, 20, false, false },
	    { "order", RANK_NORMAL, 0.01, 200, 20, 10, false, true },
	    { "rewrite", RANK_BATCH, 0.20, 3000, 800, 300, true, false } } },
};

bool pressure_measuring(const struct fleet *f, int64_t now)
{
	return now >= f->from && now < f->to;
}

double pressure_seconds(const struct pressure_kind *k)
{
	return k->prompt / PREFILL_RATE + k->output / DECODE_RATE;
}

/* A caller sends its poison request, first or again, to a random instance. */
static void caller_send(void *arg, int64_t now)
{
	struct request *r = arg;

	if (r->caller_attempts > 0 && !r->ended) {
		sim_at(r->fleet->sim, now + USEC_PER_SEC, caller_send, r);
		return;
	}
	r->instance = &r->fleet->instances[rng_below(&r->fleet->rng, PRESSURE_INSTANCES)];
	r->ended = false;
	r->attempt = 0;
	r->resumed = false;
	r->caller_attempts++;
	r->deadline = now + 60 * USEC_PER_SEC;
	r->window_end = now + 15 * USEC_PER_SEC;
	pressure_admit(r, now);
	if (r->caller_attempts < CALLER_ATTEMPTS)
		sim_at(r->fleet->sim, now + 10 * USEC_PER_SEC, caller_send, r);
}

static struct request *request_new(struct fleet *f, const struct pressure_kind *k, uint32_t account,
				   struct rng *rng, int64_t now)
{
	struct request *r = g_new0(struct request, 1);

	g_ptr_array_add(f->requests, r);
	r->fleet = f;
	r->kind = k;
	r->account = account;
	r->key.fingerprint = rng_next(rng);
	r->instance = &f->instances[rng_below(rng, PRESSURE_INSTANCES)];
	r->output = k->output * (0.5 + rng_unit(rng));
	r->arrived_at = now;
	r->window_end = now + (int64_t)(k->window * USEC_PER_SEC);
	r->deadline =
		k->finish ? now + FINISH_DEADLINE : now + (int64_t)(2 * k->window * USEC_PER_SEC);
	return r;
}

/* Arrival process of one kind of request. */
struct source {
	struct fleet *fleet;
	const struct pressure_kind *kind;
	struct rng rng; /* separate, so that other sources don't change its sequence */
	double rate; /* per second */
	enum {
		SOURCE_MIX,
		SOURCE_FLOOD,
		SOURCE_HEAVY,
		SOURCE_POISON
	} type;
};

static uint32_t source_account(struct source *x)
{
	if (x->type == SOURCE_HEAVY)
		return 0;
	if (x->fleet->run->small_accounts_only)
		return 1 + (uint32_t)rng_below(&x->rng, PRESSURE_ACCOUNTS - 1);
	/* A few accounts are large: the first gets about 33%, the last 0.5%. */
	return (uint32_t)(PRESSURE_ACCOUNTS * rng_unit(&x->rng) * rng_unit(&x->rng));
}

static void source_arrival(void *arg, int64_t now)
{
	struct source *x = arg;
	struct fleet *f = x->fleet;
	struct request *r = request_new(f, x->kind, source_account(x), &x->rng, now);

	sim_at(f->sim, now + (int64_t)(rng_exp(&x->rng, 1 / x->rate) * USEC_PER_SEC),
	       source_arrival, x);
	if (x->type == SOURCE_HEAVY && f->run->heavy_instance >= 0)
		r->instance = &f->instances[f->run->heavy_instance];
	r->poison = x->type == SOURCE_POISON;
	if (r->poison) {
		f->out->poisons++;
		caller_send(r, now);
		return;
	}
	if (r->kind->once_only && f->run->outage && now > (f->from + f->to) / 2) {
		f->out->store_refused++;
		r->ended = true;
		return;
	}
	r->measured = x->type == SOURCE_MIX && pressure_measuring(f, now);
	if (r->measured) {
		f->out->offered[r->kind->rank]++;
		f->out->small_offered += r->account > 0;
	}
	pressure_admit(r, now);
}

static void source_add(struct fleet *f, GPtrArray *sources, const struct pressure_kind *k, int type,
		       double rate)
{
	struct source *x;

	if (rate <= 0)
		return;
	x = g_new0(struct source, 1);
	x->fleet = f;
	x->kind = k;
	x->type = type;
	x->rate = rate;
	rng_seed(&x->rng, hash_pair(f->run->seed, hash_pair(hash_str(k->name), (uint64_t)type)));
	g_ptr_array_add(sources, x);
	sim_at(f->sim, (int64_t)(rng_exp(&x->rng, 1 / rate) * USEC_PER_SEC), source_arrival, x);
}

void pressure_callers(struct fleet *f, GPtrArray *sources)
{
	const struct pressure_run *run = f->run;
	double fractions[RANK_COUNT] = { 0 };

	for (const struct pressure_kind *k = run->mix->kinds; k->name; k++)
		fractions[k->rank] += k->fraction;
	for (const struct pressure_kind *k = run->mix->kinds; k->name; k++) {
		double full_rate = CAPACITY_SLOTS / pressure_seconds(k); /* requests per second */

		source_add(f, sources, k, SOURCE_MIX, run->load * k->fraction * full_rate);
		/* With the flood, the rank's total offered load is flood_load times capacity. */
		if ((int)k->rank == run->flood && !k->once_only)
			source_add(f, sources, k, SOURCE_FLOOD,
				   (run->flood_load / fractions[k->rank] - run->load) *
					   k->fraction * full_rate);
		if (k->rank == RANK_NORMAL && !k->once_only)
			source_add(f, sources, k, SOURCE_HEAVY,
				   run->heavy_load * k->fraction / fractions[k->rank] * full_rate);
		/* The first normal kind, never the first of a mix, has the poison requests. */
		if (k->rank == RANK_NORMAL && !k->once_only && k[-1].rank != RANK_NORMAL)
			source_add(f, sources, k, SOURCE_POISON, run->poison_rate);
	}
}
