/* Tests of gossip: several instances in virtual time, and the parser with malformed frames. */
#include <glib.h>
#include <string.h>

#include "gossip/gossip_priv.h"
#include "member/member.h"

#define N 6 /* instances, half of them in each of two failure domains */

struct node {
	struct gossip *g;
	char address[16];
	bool up;
	uint64_t version; /* last reported version of "ranks" */
	uint32_t n_older; /* reports of an older version */
	uint32_t n_leaving; /* reports of a leaving upstream */
	uint32_t n_poison; /* reports of poison records */
	struct poison_record poison; /* last record reported */
	uint32_t n_ejected; /* peers' observations of an ejected upstream */
	double rate; /* of account 7, fleet-wide */
	double load; /* queued tokens of upstream 1 */
};

struct frame {
	uint32_t to;
	GBytes *bytes;
};

/* Frames that all instances may exchange in one step: 20 in each of 30 directions. */
#define FRAMES_MAX 600

static struct node nodes[N];
static uint32_t partition_side[N];
static bool receives_none[N]; /* the instance only sends */
static GQueue frames;
static int64_t clock_us;
static uint64_t sent_bytes[N];

static void on_send(void *arg, const char *address, const void *data, size_t len)
{
	struct node *n = arg;

	sent_bytes[n - nodes] += len + 4;
	for (uint32_t i = 0; i < N; i++) {
		if (strcmp(nodes[i].address, address) == 0 &&
		    partition_side[i] == partition_side[n - nodes]) {
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
	((struct node *)arg)->n_leaving += leaving;
}

static void on_upstream(void *arg, const struct gossip_upstream *u)
{
	struct node *n = arg;

	n->n_ejected += u->observer != 0 && u->state == MEMBER_EJECTED;
	if (u->load.seq)
		n->load = u->load.queued_tokens;
}

static void on_poison(void *arg, const struct poison_record *m)
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

static void advance(int64_t us)
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
			if (nodes[f->to].up && !receives_none[f->to])
				gossip_receive(nodes[f->to].g, data, len, clock_us, clock_us,
					       &from);
			g_bytes_unref(f->bytes);
			g_free(f);
		}
	}
}

static void start_all(void)
{
	memset(nodes, 0, sizeof(nodes));
	memset(partition_side, 0, sizeof(partition_side));
	memset(sent_bytes, 0, sizeof(sent_bytes));
	clock_us = USEC_PER_SEC;
	for (uint32_t i = 0; i < N; i++)
		start(i);
	gossip_apply_config(nodes[0].g, "ranks", 10, "urgent=0.5\n", clock_us);
	gossip_config_complete(nodes[0].g);
	advance(5 * USEC_PER_SEC);
}

static void stop_all(void)
{
	for (uint32_t i = 0; i < N; i++) {
		if (nodes[i].up)
			stop(i);
	}
}

static uint32_t live_count(uint32_t i)
{
	uint32_t all;
	uint32_t domain;

	gossip_count_live(nodes[i].g, &all, &domain);
	return all;
}

/* Guards against instances that don't find each other or lack the configuration at the start. */
static void test_join(void)
{
	start_all();
	for (uint32_t i = 0; i < N; i++) {
		g_assert_cmpuint(live_count(i), ==, N);
		g_assert_true(gossip_configured(nodes[i].g));
		g_assert_cmpuint(nodes[i].version, ==, 10);
	}
	stop_all();
}

/*
 * Guards against an instance that repeats pulls from a neighbour with older objects at the speed of
 * the link and has no bytes left to respond to that neighbour's pulls. Seen in test_control on a
 * busy machine.
 */
static void test_one_way_partition(void)
{
	for (uint32_t k = 0; k < N * 20; k++) {
		uint32_t changed = k % N;

		start_all();
		for (uint32_t i = 0; i < N; i++)
			receives_none[i] = i != changed;
		gossip_apply_config(nodes[changed].g, "ranks", 12, "urgent=0.6\n", clock_us);
		advance(k / N * 100 * USEC_PER_MSEC);
		memset(receives_none, 0, sizeof(receives_none));
		advance(5 * USEC_PER_SEC);
		for (uint32_t i = 0; i < N; i++)
			g_assert_cmpuint(nodes[i].version, ==, 12);
		stop_all();
	}
}

/* Guards against a revert to an older version from a peer, the platform or after a restart. */
static void test_no_revert(void)
{
	start_all();
	gossip_apply_config(nodes[3].g, "ranks", 12, "urgent=0.6\n", clock_us);
	advance(USEC_PER_SEC);
	gossip_apply_config(nodes[1].g, "ranks", 11, "urgent=0.4\n", clock_us);
	stop(2);
	advance(USEC_PER_SEC);
	start(2);
	advance(5 * USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++) {
		g_assert_cmpuint(nodes[i].version, ==, 12);
		g_assert_cmpuint(nodes[i].n_older, ==, 0);
	}
	stop_all();
}

static uint32_t watcher_count(char domain)
{
	uint32_t n = 0;

	for (uint32_t i = domain == 'a' ? 0 : 1; i < N; i += 2)
		n += nodes[i].up && gossip_is_watcher(nodes[i].g, clock_us);
	return n;
}

/* Guards against a domain that has fewer than two watchers after one of them dies. */
static void test_watchers(void)
{
	start_all();
	g_assert_cmpuint(watcher_count('a'), ==, 2);
	g_assert_cmpuint(watcher_count('b'), ==, 2);
	for (uint32_t i = 0; i < N; i += 2) {
		if (gossip_is_watcher(nodes[i].g, clock_us)) {
			stop(i);
			break;
		}
	}
	advance(3 * USEC_PER_SEC);
	g_assert_cmpuint(watcher_count('a'), ==, 2);
	advance(3 * USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++) {
		if (nodes[i].up)
			g_assert_cmpuint(live_count(i), ==, N - 1);
	}
	stop_all();
}

/* Guards against sides that keep each other recorded as dead, or different configurations, after a
 * partition. */
static void test_partition(void)
{
	start_all();
	for (uint32_t i = 0; i < N; i++)
		partition_side[i] = i % 2;
	advance(20 * USEC_PER_SEC);
	g_assert_cmpuint(live_count(0), ==, N / 2);
	gossip_apply_config(nodes[0].g, "ranks", 20, "urgent=0.6\n", clock_us);
	gossip_apply_config(nodes[1].g, "ranks", 21, "urgent=0.7\n", clock_us);
	advance(2 * USEC_PER_SEC);
	g_assert_cmpuint(nodes[2].version, ==, 20);
	memset(partition_side, 0, sizeof(partition_side));
	advance(30 * USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++) {
		g_assert_cmpuint(live_count(i), ==, N);
		g_assert_cmpuint(nodes[i].version, ==, 21);
		g_assert_cmpuint(nodes[i].n_older, ==, 0);
	}
	stop_all();
}

/* Guards against leaving flags, poison records, loads or account rates that aren't replicated. */
static void test_replication(void)
{
	struct gossip_upstream u = { .id_hash = 1, .state = MEMBER_LEAVING };
	struct poison_record m = { .key = 5, .crashes = { 11 } };
	struct gossip_account a = { 7, 100 };

	start_all();
	u.load.epoch = 1;
	u.load.seq = 1;
	u.load.queued_tokens = 500;
	m.crashed_at[0] = clock_us;
	gossip_report_upstream(nodes[4].g, &u, clock_us);
	gossip_report_poison(nodes[4].g, &m, clock_us);
	gossip_set_list_state(nodes[4].g, "engine-1", true, 3, clock_us);
	for (uint32_t i = 0; i < N; i++)
		gossip_report_accounts(nodes[i].g, &a, 1, clock_us);
	advance(8 * USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++) {
		g_assert_cmpuint(nodes[i].n_leaving, ==, 1);
		g_assert_cmpuint(nodes[i].n_poison, ==, 1);
		g_assert_cmpfloat(nodes[i].rate, ==, 600);
		if (i != 4)
			g_assert_cmpfloat(nodes[i].load, ==, 500);
	}
	stop_all();
}

/* Guards against a clearance of a suspect that isn't replicated. */
static void test_poison_cleared(void)
{
	struct poison_record m = { .key = 5, .crashes = { 11 } };

	start_all();
	m.crashed_at[0] = clock_us;
	gossip_report_poison(nodes[4].g, &m, clock_us);
	advance(4 * USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++)
		g_assert_cmpuint(nodes[i].poison.crashes[0], ==, 11);
	m = (struct poison_record){ .key = 5, .begun_at = clock_us };
	gossip_report_poison(nodes[1].g, &m, clock_us);
	advance(4 * USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++) {
		g_assert_cmpuint(nodes[i].poison.crashes[0], ==, 0);
		g_assert_cmpint(nodes[i].poison.begun_at, ==, m.begun_at);
	}
	stop_all();
}

/* Guards against crashes that are lost when two instances report different ones of one key, and
 * against a part that is taken for a fingerprint. */
static void test_poison_union(void)
{
	struct poison_record a = { .key = 5, .crashes = { 11 } };
	struct poison_record b = { .key = 5, .crashes = { 12 } };
	struct poison_record part = { .key = 5, .is_part = true, .crashes = { 13 } };

	start_all();
	a.crashed_at[0] = clock_us;
	b.crashed_at[0] = clock_us + USEC_PER_SEC;
	part.crashed_at[0] = clock_us + USEC_PER_SEC;
	gossip_report_poison(nodes[4].g, &a, clock_us);
	gossip_report_poison(nodes[1].g, &b, clock_us);
	advance(4 * USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++) {
		g_assert_cmpuint(nodes[i].poison.crashes[0], ==, 11);
		g_assert_cmpuint(nodes[i].poison.crashes[1], ==, 12);
	}
	gossip_report_poison(nodes[2].g, &part, clock_us);
	advance(4 * USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++) {
		g_assert_true(nodes[i].poison.is_part);
		g_assert_cmpuint(nodes[i].poison.crashes[0], ==, 13);
		g_assert_cmpuint(nodes[i].poison.crashes[1], ==, 0);
	}
	stop_all();
}

/* Guards against an observation that expires at the peers because it isn't repeated, and against
 * more than two observers per failure domain. */
static void test_observations(void)
{
	struct gossip_upstream u = { .id_hash = 1, .state = MEMBER_EJECTED };

	start_all();
	for (uint32_t k = 0; k < 10; k++) {
		for (uint32_t i = 0; i < N; i++)
			gossip_report_upstream(nodes[i].g, &u, clock_us);
		advance(USEC_PER_SEC);
	}
	for (uint32_t i = 0; i < N; i++) {
		/* Four observers report at 0, 3, 6 and 9 s; the own report causes no event. */
		g_assert_cmpuint(nodes[i].n_ejected, >=, 3 * 3);
		g_assert_cmpuint(nodes[i].n_ejected, <=, 4 * 4);
	}
	stop_all();
}

/* Guards against load records that exceed the byte limit, or starve configuration. */
static void test_limit(void)
{
	uint64_t before;
	int64_t from;

	start_all();
	from = clock_us;
	before = sent_bytes[0];
	for (uint32_t k = 0; k < 20; k++) {
		for (uint32_t j = 0; j < 2000; j++) {
			struct gossip_upstream u = { .id_hash = j + 1, .state = -1 };

			u.load.epoch = 1;
			u.load.seq = k + 1;
			gossip_report_upstream(nodes[0].g, &u, clock_us);
		}
		advance(USEC_PER_SEC);
	}
	/* The burst is two seconds of the limit. */
	g_assert_cmpuint(sent_bytes[0] - before, <=,
			 4000 * (uint64_t)((clock_us - from) / USEC_PER_SEC + 2));
	gossip_apply_config(nodes[0].g, "ranks", 30, "urgent=0.6\n", clock_us);
	advance(USEC_PER_SEC);
	for (uint32_t i = 0; i < N; i++)
		g_assert_cmpuint(nodes[i].version, ==, 30);
	stop_all();
}

static void count_record(void *arg, const struct g_header *h, const struct g_record *rec)
{
	(*(uint32_t *)arg)++;
}

static GPtrArray *captured;

static void capture_frame(void *arg, const char *address, const void *data, size_t len)
{
	g_ptr_array_add(captured, g_bytes_new(data, len));
}

/* Guards against a parser that reads past a frame or applies part of a malformed one. */
static void test_fuzz(void)
{
	struct rng rng;

	start_all();
	captured = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	nodes[0].g->events.send = capture_frame;
	gossip_set_list_state(nodes[0].g, "engine-9", true, 9, clock_us);
	g_send_pull(nodes[0].g, nodes[0].g->links->pdata[0], clock_us);
	g_send_members(nodes[0].g, NULL, "x", clock_us);
	advance(USEC_PER_SEC);
	rng_seed(&rng, 42);
	for (uint32_t k = 0; k < 20000; k++) {
		gsize len;
		const uint8_t *data =
			g_bytes_get_data(captured->pdata[rng_below(&rng, captured->len)], &len);
		g_autofree uint8_t *copy = g_memdup2(data, len);
		size_t body = len - G_HMAC_BYTES;
		struct g_header h = { 0 };
		uint32_t n = 0;
		const char *from;

		for (uint64_t i = rng_below(&rng, 4); i > 0; i--)
			copy[rng_below(&rng, body)] = (uint8_t)rng_next(&rng);
		if (rng_below(&rng, 4) == 0)
			body = rng_below(&rng, body);
		if (g_wire_parse(copy, body, &h, count_record, &n) < 0)
			g_assert_cmpuint(n, ==, 0);
		memcpy(copy, data, len);
		copy[rng_below(&rng, len)] ^= 0x55;
		g_assert_cmpint(gossip_receive(nodes[1].g, copy, len, clock_us, clock_us, &from), <,
				0);
		g_assert_null(from);
	}
	g_ptr_array_unref(captured);
	stop_all();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_set_level(LOG_ERROR);
	g_test_add_func("/gossip/join", test_join);
	g_test_add_func("/gossip/one-way-cut", test_one_way_partition);
	g_test_add_func("/gossip/no-revert", test_no_revert);
	g_test_add_func("/gossip/watchers", test_watchers);
	g_test_add_func("/gossip/partition", test_partition);
	g_test_add_func("/gossip/rows", test_replication);
	g_test_add_func("/gossip/poison-cleared", test_poison_cleared);
	g_test_add_func("/gossip/poison-union", test_poison_union);
	g_test_add_func("/gossip/views", test_observations);
	g_test_add_func("/gossip/limit", test_limit);
	g_test_add_func("/gossip/fuzz", test_fuzz);
	return g_test_run();
}
