/* Tests of gossip: a few instances in virtual time, and the decoder against garbage. */
#include <glib.h>
#include <string.h>

#include "gossip/gossip_priv.h"
#include "member/member.h"

#define N 6

struct node {
	struct gossip *g;
	char address[16];
	bool up;
	uint64_t version; /* newest of "ranks" that was told */
	uint32_t n_older; /* tellings of an older version */
	uint32_t n_listed;
	uint32_t n_poison;
	struct poison_mark poison; /* the last one told */
	uint32_t n_views; /* peers' views of an upstream as ejected */
	double rate; /* of account 7 */
	double load; /* queued tokens of upstream 1 */
};

struct frame {
	uint32_t to;
	GBytes *bytes;
};

/* Frames that all instances may exchange in one step: 20 on each of 30 ways. */
#define FRAMES_MAX 600

static struct node nodes[N];
static uint32_t side[N];
static bool deaf[N]; /* its frames go out, and none come in */
static GQueue frames;
static int64_t clock_us;
static uint64_t sent_bytes[N];

static void on_send(void *arg, const char *address, const void *data, size_t len)
{
	struct node *n = arg;

	sent_bytes[n - nodes] += len + 4;
	for (uint32_t i = 0; i < N; i++) {
		if (strcmp(nodes[i].address, address) == 0 && side[i] == side[n - nodes]) {
			struct frame *f = g_new(struct frame, 1);

			f->to = i;
			f->bytes = g_bytes_new(data, len);
			g_queue_push_tail(&frames, f);
		}
	}
}

static void on_unlink(void *arg, const char *address)
{
}

static void on_config(void *arg, const struct conf_object *o)
{
	struct node *n = arg;

	if (strcmp(o->key, "ranks") != 0)
		return;
	n->n_older += o->version < n->version;
	n->version = o->version;
}

static void on_instance(void *arg, const struct gossip_instance *i)
{
}

static void on_listed(void *arg, const char *id, bool leaving, uint64_t version)
{
	((struct node *)arg)->n_listed += leaving;
}

static void on_upstream(void *arg, const struct gossip_upstream *u)
{
	struct node *n = arg;

	n->n_views += u->observer != 0 && u->state == MEMBER_EJECTED;
	if (u->load.seq)
		n->load = u->load.queued_tokens;
}

static void on_poison(void *arg, const struct poison_mark *m)
{
	struct node *n = arg;

	n->n_poison++;
	n->poison = *m;
}

static void on_account(void *arg, const struct gossip_account *a)
{
	if (a->account == 7)
		((struct node *)arg)->rate = a->rate;
}

static const char *const seeds[] = { "10.0.0.0:1", "10.0.0.1:1", NULL };

static void start(uint32_t i)
{
	struct gossip_events e = { &nodes[i], on_send,	   on_unlink, on_config, on_instance,
				   on_listed, on_upstream, on_poison, on_account };
	char id[16];
	struct gossip_params p = { .id = id,
				   .failure_domain = i % 2 ? "b" : "a",
				   .address = nodes[i].address,
				   .seeds = seeds,
				   .key = "secret",
				   .incarnation = (uint64_t)clock_us / 1000 + 1,
				   .seed = i,
				   .bytes_per_second = 4000 };

	g_snprintf(nodes[i].address, sizeof(nodes[i].address), "10.0.0.%u:1", i);
	g_snprintf(id, sizeof(id), "i%u", i);
	nodes[i].g = gossip_new(&p, &e, clock_us, clock_us);
	gossip_set_platform_reachable(nodes[i].g, false, clock_us);
	nodes[i].up = true;
	nodes[i].version = 0;
}

static void stop(uint32_t i)
{
	gossip_free(nodes[i].g);
	nodes[i].g = NULL;
	nodes[i].up = false;
}

static void run(int64_t us)
{
	for (int64_t end = clock_us + us; clock_us < end; clock_us += 50 * USEC_PER_MSEC) {
		struct frame *f;
		uint32_t n = 0;

		for (uint32_t i = 0; i < N; i++) {
			if (nodes[i].up)
				gossip_tick(nodes[i].g, clock_us, clock_us);
		}
		while ((f = g_queue_pop_head(&frames))) {
			const char *from;
			gsize len;
			const void *data = g_bytes_get_data(f->bytes, &len);

			g_assert_cmpuint(++n, <, FRAMES_MAX);
			if (nodes[f->to].up && !deaf[f->to])
				gossip_receive(nodes[f->to].g, data, len, clock_us, clock_us,
					       &from);
			g_bytes_unref(f->bytes);
			g_free(f);
		}
	}
}

static void fleet_start(void)
{
	memset(nodes, 0, sizeof(nodes));
	memset(side, 0, sizeof(side));
	memset(sent_bytes, 0, sizeof(sent_bytes));
	clock_us = USEC_PER_SEC;
	for (uint32_t i = 0; i < N; i++)
		start(i);
	gossip_apply_config(nodes[0].g, "ranks", 10, "urgent=0.5\n", clock_us);
	gossip_config_complete(nodes[0].g);
	run(5 * USEC_PER_SEC);
}

static void fleet_stop(void)
{
	for (uint32_t i = 0; i < N; i++) {
		if (nodes[i].up)
			stop(i);
	}
}

static uint32_t live_of(uint32_t i)
{
	uint32_t all;
	uint32_t domain;

	gossip_count_live(nodes[i].g, &all, &domain);
	return all;
}

/* Guards against instances that don't find each other or miss the configuration at the start. */
static void test_join(void)
{
	fleet_start();
	for (uint32_t i = 0; i < N; i++) {
		g_assert_cmpuint(live_of(i), ==, N);
		g_assert_true(gossip_configured(nodes[i].g));
		g_assert_cmpuint(nodes[i].version, ==, 10);
	}
	fleet_stop();
}

/*
 * Guards against an instance that asks a neighbour with older objects again and again, at the speed
 * of the link, and has no bytes left to answer that neighbour (test_control on a busy machine).
 */
static void test_one_way_cut(void)
{
	for (uint32_t k = 0; k < N * 20; k++) {
		uint32_t changed = k % N;

		fleet_start();
		for (uint32_t i = 0; i < N; i++)
			deaf[i] = i != changed;
		gossip_apply_config(nodes[changed].g, "ranks", 12, "urgent=0.6\n", clock_us);
		run(k / N * 100 * USEC_PER_MSEC);
		memset(deaf, 0, sizeof(deaf));
		run(5 * USEC_PER_SEC);
		for (uint32_t i = 0; i < N; i++)
			g_assert_cmpuint(nodes[i].version, ==, 12);
		fleet_stop();
	}
}

/* Guards against an older version that comes back from a peer, the platform or a restart. */
static void test_no_revert(void)
{
	fleet_start();
	gossip_apply_config(nodes[3].g, "ranks", 12, "urgent=0.6\n", clock_us);
	run(USEC_PER_SEC);
	gossip_apply_config(nodes[1].g, "ranks", 11, "urgent=0.4\n", clock_us);
	stop(2);
	run(USEC_PER_SEC);
	start(2);
	run(5 * USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++) {
		g_assert_cmpuint(nodes[i].version, ==, 12);
		g_assert_cmpuint(nodes[i].n_older, ==, 0);
	}
	fleet_stop();
}

static uint32_t watchers_of(char domain)
{
	uint32_t n = 0;

	for (uint32_t i = domain == 'a' ? 0 : 1; i < N; i += 2)
		n += nodes[i].up && gossip_is_watcher(nodes[i].g, clock_us);
	return n;
}

/* Guards against a domain that is left without its two watchers when one of them dies. */
static void test_watchers(void)
{
	fleet_start();
	g_assert_cmpuint(watchers_of('a'), ==, 2);
	g_assert_cmpuint(watchers_of('b'), ==, 2);
	for (uint32_t i = 0; i < N; i += 2) {
		if (gossip_is_watcher(nodes[i].g, clock_us)) {
			stop(i);
			break;
		}
	}
	run(3 * USEC_PER_SEC);
	g_assert_cmpuint(watchers_of('a'), ==, 2);
	run(3 * USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++) {
		if (nodes[i].up)
			g_assert_cmpuint(live_of(i), ==, N - 1);
	}
	fleet_stop();
}

/* Guards against sides of a healed partition that hold each other for dead, or keep two states. */
static void test_partition(void)
{
	fleet_start();
	for (uint32_t i = 0; i < N; i++)
		side[i] = i % 2;
	run(20 * USEC_PER_SEC);
	g_assert_cmpuint(live_of(0), ==, N / 2);
	gossip_apply_config(nodes[0].g, "ranks", 20, "urgent=0.6\n", clock_us);
	gossip_apply_config(nodes[1].g, "ranks", 21, "urgent=0.7\n", clock_us);
	run(2 * USEC_PER_SEC);
	g_assert_cmpuint(nodes[2].version, ==, 20);
	memset(side, 0, sizeof(side));
	run(30 * USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++) {
		g_assert_cmpuint(live_of(i), ==, N);
		g_assert_cmpuint(nodes[i].version, ==, 21);
		g_assert_cmpuint(nodes[i].n_older, ==, 0);
	}
	fleet_stop();
}

/* Guards against marks, load rows or account rates that stay at the instance that saw them. */
static void test_rows(void)
{
	struct gossip_upstream u = { .id_hash = 1, .state = 4 };
	struct poison_mark m = { .fingerprint = 5, .upstreams = { 1, 0 }, .crashes = 1 };
	struct gossip_account a = { 7, 100 };

	fleet_start();
	u.load.epoch = 1;
	u.load.seq = 1;
	u.load.queued_tokens = 500;
	m.expires = clock_us + 60 * USEC_PER_SEC;
	gossip_report_upstream(nodes[4].g, &u, clock_us);
	gossip_report_poison(nodes[4].g, &m, clock_us);
	gossip_set_list_state(nodes[4].g, "engine-1", true, 3, clock_us);
	for (uint32_t i = 0; i < N; i++)
		gossip_report_accounts(nodes[i].g, &a, 1, clock_us);
	run(8 * USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++) {
		g_assert_cmpuint(nodes[i].n_listed, ==, 1);
		g_assert_cmpuint(nodes[i].n_poison, ==, 1);
		g_assert_cmpfloat(nodes[i].rate, ==, 600);
		if (i != 4)
			g_assert_cmpfloat(nodes[i].load, ==, 500);
	}
	fleet_stop();
}

/* Guards against a clearance of a suspect that stays at one instance, or loses its crash events. */
static void test_poison_cleared(void)
{
	struct poison_mark m = {
		.fingerprint = 5, .upstreams = { 1, 0 }, .events = { 11, 0 }, .crashes = 1
	};

	fleet_start();
	m.expires = clock_us + 60 * USEC_PER_SEC;
	gossip_report_poison(nodes[4].g, &m, clock_us);
	run(4 * USEC_PER_SEC);
	m.crashes = 0;
	m.expires += USEC_PER_SEC;
	gossip_report_poison(nodes[1].g, &m, clock_us);
	run(4 * USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++) {
		g_assert_cmpuint(nodes[i].poison.crashes, ==, 0);
		g_assert_cmpuint(nodes[i].poison.events[0], ==, 11);
	}
	fleet_stop();
}

/* Guards against a view that ages at the peers because it is told once only, and against more than
 * two views per failure domain. */
static void test_views(void)
{
	struct gossip_upstream u = { .id_hash = 1, .state = MEMBER_EJECTED };

	fleet_start();
	for (uint32_t k = 0; k < 10; k++) {
		for (uint32_t i = 0; i < N; i++)
			gossip_report_upstream(nodes[i].g, &u, clock_us);
		run(USEC_PER_SEC);
	}
	for (uint32_t i = 0; i < N; i++) {
		/* Four probers tell it at 0, 3, 6 and 9 s; the own view isn't told. */
		g_assert_cmpuint(nodes[i].n_views, >=, 3 * 3);
		g_assert_cmpuint(nodes[i].n_views, <=, 4 * 4);
	}
	fleet_stop();
}

/* Guards against load rows that push the traffic over the limit, or starve configuration. */
static void test_limit(void)
{
	uint64_t before;
	int64_t from;

	fleet_start();
	from = clock_us;
	before = sent_bytes[0];
	for (uint32_t k = 0; k < 20; k++) {
		for (uint32_t j = 0; j < 2000; j++) {
			struct gossip_upstream u = { .id_hash = j + 1, .state = -1 };

			u.load.epoch = 1;
			u.load.seq = k + 1;
			gossip_report_upstream(nodes[0].g, &u, clock_us);
		}
		run(USEC_PER_SEC);
	}
	/* The bucket holds the bytes of two seconds. */
	g_assert_cmpuint(sent_bytes[0] - before, <=,
			 4000 * (uint64_t)((clock_us - from) / USEC_PER_SEC + 2));
	gossip_apply_config(nodes[0].g, "ranks", 30, "urgent=0.6\n", clock_us);
	run(USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++)
		g_assert_cmpuint(nodes[i].version, ==, 30);
	fleet_stop();
}

static void count_news(void *arg, const struct g_header *h, const struct g_record *n)
{
	(*(uint32_t *)arg)++;
}

static GPtrArray *kept;

static void keep_frame(void *arg, const char *address, const void *data, size_t len)
{
	g_ptr_array_add(kept, g_bytes_new(data, len));
}

/* Guards against a decoder that reads past a frame or takes over part of a broken one. */
static void test_fuzz(void)
{
	struct rng rng;

	fleet_start();
	kept = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	nodes[0].g->events.send = keep_frame;
	gossip_set_list_state(nodes[0].g, "engine-9", true, 9, clock_us);
	g_send_pull(nodes[0].g, nodes[0].g->links->pdata[0], clock_us);
	g_send_members(nodes[0].g, NULL, "x", clock_us);
	run(USEC_PER_SEC);
	rng_seed(&rng, 42);
	for (uint32_t k = 0; k < 20000; k++) {
		gsize len;
		const uint8_t *data =
			g_bytes_get_data(kept->pdata[rng_below(&rng, kept->len)], &len);
		g_autofree uint8_t *copy = g_memdup2(data, len);
		size_t body = len - G_HMAC_BYTES;
		struct g_header h = { 0 };
		uint32_t n = 0;
		const char *from;

		for (uint64_t i = rng_below(&rng, 4); i > 0; i--)
			copy[rng_below(&rng, body)] = (uint8_t)rng_next(&rng);
		if (rng_below(&rng, 4) == 0)
			body = rng_below(&rng, body);
		if (g_wire_parse(copy, body, &h, count_news, &n) < 0)
			g_assert_cmpuint(n, ==, 0);
		memcpy(copy, data, len);
		copy[rng_below(&rng, len)] ^= 0x55;
		g_assert_cmpint(gossip_receive(nodes[1].g, copy, len, clock_us, clock_us, &from), <,
				0);
		g_assert_null(from);
	}
	g_ptr_array_unref(kept);
	fleet_stop();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_set_level(LOG_ERROR);
	g_test_add_func("/gossip/join", test_join);
	g_test_add_func("/gossip/one-way-cut", test_one_way_cut);
	g_test_add_func("/gossip/no-revert", test_no_revert);
	g_test_add_func("/gossip/watchers", test_watchers);
	g_test_add_func("/gossip/partition", test_partition);
	g_test_add_func("/gossip/rows", test_rows);
	g_test_add_func("/gossip/poison-cleared", test_poison_cleared);
	g_test_add_func("/gossip/views", test_views);
	g_test_add_func("/gossip/limit", test_limit);
	g_test_add_func("/gossip/fuzz", test_fuzz);
	return g_test_run();
}
