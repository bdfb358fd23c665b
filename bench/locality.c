/* Time of placement by prefix parts, and traffic of the feed's digests, at the target size. */
#include <string.h>

#include "base/base.h"
#include "bench.h"
#include "cost/cost.h"
#include "feed/feed.h"
#include "locality/locality.h"

#define REPLICAS 670U
#define CHOICES	 20000U
#define CHATS	 6500U /* per instance: 2.5 million chats over 390 instances */

/* What lib/relay does for a placement by cost. */
static void apply_cost(const struct cost *cost, struct cost_upstream *u, const double *running,
		       struct locality_candidate *c, struct locality_request *r, int64_t now)
{
	r->output_time = cost_output_left(cost, &(struct cost_request){ 1, 60, 4096 }, 0, now) *
			 cost_interval(cost);
	for (uint32_t i = 0; i < REPLICAS; i++) {
		struct cost_load l = cost_load(cost, &u[i], running[i],
					       (int64_t)(i % 20) * 100 * USEC_PER_MSEC, 10, 12);

		c[i].running = l.requests;
		c[i].speed = cost_speed(cost, &u[i], now);
		c[i].wait = cost_wait(cost, &u[i], &l, 12, c[i].speed);
	}
}

static void place(uint64_t seed, bool by_cost)
{
	struct locality_params p = {
		.load_bound = 1.75, .tolerance = 2.5, .max_entries = 16384, .early = 0.3
	};
	struct locality *l = locality_new(&p);
	struct locality_candidate *c = g_new0(struct locality_candidate, REPLICAS);
	struct cost *cost = cost_new(256);
	struct cost_upstream *work = g_new0(struct cost_upstream, REPLICAS);
	double running[REPLICAS];
	struct rng rng;
	int64_t start;
	double missing = 0;

	rng_seed(&rng, seed);
	for (uint32_t i = 0; i < REPLICAS; i++) {
		running[i] = (double)rng_below(&rng, 20);
		c[i] = (struct locality_candidate){ .id_hash = hash_pair(1, i),
						    .running = running[i],
						    .weight = 1,
						    .slots = 64,
						    .same_domain = i % 4 == 0 };
	}
	start = g_get_monotonic_time();
	for (uint32_t i = 0; i < CHOICES; i++) {
		uint64_t chat = rng_below(&rng, CHATS);
		struct locality_part parts[3] = { { 1 + chat % 50, 2000 },
						  { 1000 + chat, 3000 },
						  { 1000000 + i, 300 } };
		struct locality_request r = { .parts = parts, .n_parts = 3, .seed = i };
		struct locality_choice out;

		if (by_cost)
			apply_cost(cost, work, running, c, &r, i);
		locality_choose(l, &r, c, REPLICAS, i, &out);
		locality_record_prefill(l, &r, c[out.index].id_hash, i);
		missing += out.missing;
	}
	bench_observed(by_cost ? "choice_by_cost_us" : "choice_us",
		       (double)(g_get_monotonic_time() - start) / CHOICES);
	bench_print(by_cost ? "missing_tokens_per_request_by_cost" : "missing_tokens_per_request",
		    missing / CHOICES);
	locality_free(l);
	cost_free(cost);
	g_free(work);
	g_free(c);
}

BENCH_SCENARIO(locality_670, "locality-670",
	       "one placement by parts of the prompt prefix among 670 replicas")
{
	place(seed, false);
	place(seed, true);
}

/* An instance without a watch of the store, and two subscribers that respond to its digests. */
struct feed_net {
	struct feed *feeds[3];
	double bytes; /* sent by feeds[0] */
	double frames;
	int64_t now;
};

struct feed_end {
	struct feed_net *net;
	uint32_t index;
};

static const char *const addresses[] = { "10.0.0.1:7341", "10.0.0.2:7341", "10.0.1.1:7341" };

static void on_object(void *arg, uint32_t kind, const char *name, const char *text,
		      uint64_t revision, const char *source)
{
}

static void on_read_store(void *arg, bool on, const char *reason)
{
}

static void on_load(void *arg, const struct feed_load *l)
{
}

static void on_send(void *arg, const char *address, const void *frame, size_t len)
{
	struct feed_end *e = arg;
	struct feed_net *n = e->net;

	if (e->index == 0) {
		n->bytes += (double)len;
		n->frames++;
	}
	for (uint32_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
		if (i != e->index && strcmp(addresses[i], address) == 0)
			feed_receive(n->feeds[i], frame, len, n->now);
	}
}

static void on_check_store(void *arg)
{
	struct feed_end *e = arg;

	feed_check_finished(e->net->feeds[e->index], true, e->net->now);
}

static const struct feed_ops ops = {
	.object = on_object,
	.read_store = on_read_store,
	.load = on_load,
	.check_store = on_check_store,
	.send = on_send,
};

BENCH_SCENARIO(feed_bytes, "feed-bytes", "bytes that an instance sends to its subscribers")
{
	static const double rates[] = { 0, 17, 100 }; /* responses per second */
	static const struct feed_instance list[] = { { "10.0.0.1:7341", "d0", 1 },
						     { "10.0.0.2:7341", "d0", 9 },
						     { "10.0.1.1:7341", "d1", 9 } };

	for (size_t k = 0; k < G_N_ELEMENTS(rates); k++) {
		g_autofree char *name = g_strdup_printf("bytes_per_s_at_%.0f_answers", rates[k]);
		struct feed_net n = { .now = USEC_PER_SEC };
		struct feed_end ends[3];
		struct rng rng;

		rng_seed(&rng, seed);
		for (uint32_t i = 0; i < 3; i++) {
			struct feed_params p = { .address = addresses[i],
						 .domain = list[i].domain,
						 .capacity = list[i].capacity,
						 .n_kinds = 3,
						 .seed = seed + i,
						 .heartbeat = 1200 * USEC_PER_MSEC };

			ends[i] = (struct feed_end){ &n, i };
			n.feeds[i] = feed_new(&p, &ops, &ends[i], n.now);
			feed_set_instances(n.feeds[i], list, G_N_ELEMENTS(list));
		}
		/* 10 seconds in steps of 100 ms. */
		for (int step = 0; step < 100; step++, n.now += 100 * USEC_PER_MSEC) {
			for (uint32_t i = 0; rng_unit(&rng) < rates[k] / 10 - i; i++)
				feed_report_load(n.feeds[0],
						 hash_pair(1, rng_below(&rng, REPLICAS)), 9, 0,
						 n.now);
			for (uint32_t i = 0; i < 3; i++) {
				feed_set_store_state(n.feeds[i], i > 0, n.now);
				feed_tick(n.feeds[i], n.now);
			}
		}
		bench_print(name, n.bytes / 10);
		if (!k)
			bench_print("frames_per_s", n.frames / 10);
		for (uint32_t i = 0; i < 3; i++)
			feed_free(n.feeds[i]);
	}
}
