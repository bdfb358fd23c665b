#include <glib.h>
#include <string.h>

#include "base/base.h"
#include "base/revision.h"
#include "feed/feed.h"
#include "feed/feed_pack.h"

#define ROUTES 1341U
/* A change of all routes reaches 25 instances of a domain over one link of 200 Mbit/s in 0.2 s. */
#define MAX_DELTA_BYTES 200000U

/* Text of a configuration of @n routes with random names. */
static char *config_text(uint32_t n)
{
	GString *s = g_string_new("{\"routes\":[");
	struct rng rng;

	rng_seed(&rng, 5);
	for (uint32_t i = 0; i < n; i++)
		g_string_append_printf(
			s,
			"%s{\"name\":\"r-%08x\",\"host\":\"%04x%u.example\",\"path_prefix\":"
			"\"/%04x%u/\",\"kind\":\"non_idempotent\",\"max_attempts\":1,"
			"\"timeout_ms\":15000,\"goal_ms\":100,\"priority\":2,\"sticky\":false,"
			"\"backends\":[{\"service\":\"svc-%u\",\"weight\":100}]}",
			i ? "," : "", (unsigned int)rng_below(&rng, G_MAXUINT32),
			(unsigned int)rng_below(&rng, 65536), i,
			(unsigned int)rng_below(&rng, 65536), i, i % 2);
	g_string_append(s, "]}");
	return g_string_free(s, FALSE);
}

/* Guards against a text that arrives changed, and against a configuration that stays large. */
static void test_round_trip(void)
{
	static const uint32_t sizes[] = { 0, 1, 100, ROUTES };

	for (uint32_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		g_autofree char *text = config_text(sizes[i]);
		g_autoptr(GBytes) packed = feed_pack(text, strlen(text));
		gsize len;
		const void *data = g_bytes_get_data(packed, &len);
		g_autofree char *back = feed_unpack(data, len, strlen(text));

		g_assert_cmpstr(back, ==, text);
		if (sizes[i] == ROUTES)
			g_assert_cmpuint(len * 4, <, strlen(text));
	}
}

/* Guards against a frame that exhausts memory or passes on a damaged text. */
static void test_bad_input(void)
{
	g_autofree char *text = config_text(100);
	g_autoptr(GBytes) packed = feed_pack(text, strlen(text));
	g_autoptr(GBytes) with_nul = feed_pack("a\0b", 3);
	gsize len;
	const guint8 *data = g_bytes_get_data(packed, &len);
	g_autofree guint8 *changed = g_memdup2(data, len);
	gsize nul_len;
	const void *nul_data = g_bytes_get_data(with_nul, &nul_len);

	g_assert_null(feed_unpack(data, len, strlen(text) - 1));
	g_assert_null(feed_unpack(nul_data, nul_len, 100));
	g_assert_null(feed_unpack("plain text", 10, 1000));
	g_assert_null(feed_unpack("", 0, 1000));
	for (gsize i = 0; i < len; i++)
		g_assert_null(feed_unpack(data, i, strlen(text)));
	for (gsize i = 0; i < len; i++) {
		g_autofree char *out = NULL;

		changed[i] ^= 0x10;
		/* The format has a checksum, so a change in the contents is found. */
		out = feed_unpack(changed, len, strlen(text));
		g_assert_true(!out || g_str_equal(out, text));
		changed[i] ^= 0x10;
	}
}

struct node {
	struct feed *feed;
	struct node *peer;
	const char *address;
	char *text; /* of the only object */
	size_t sent_bytes;
	int64_t *now;
};

static void on_object(void *arg, uint32_t kind, const char *name, const char *text,
		      uint64_t revision, const char *source)
{
	struct node *n = arg;

	g_free(n->text);
	n->text = g_strdup(text);
}

static void on_read_store(void *arg, bool on, const char *reason)
{
}

static void on_load(void *arg, const struct feed_load *l)
{
}

static void on_check(void *arg)
{
	struct node *n = arg;

	feed_check_finished(n->feed, true, *n->now);
}

static void on_send(void *arg, const char *address, const void *data, size_t len)
{
	struct node *n = arg;

	n->sent_bytes += len;
	g_assert_cmpint(feed_receive(n->peer->feed, data, len, *n->now), ==, 0);
}

static const struct feed_ops ops = {
	.object = on_object,
	.read_store = on_read_store,
	.load = on_load,
	.check_store = on_check,
	.send = on_send,
};

/* Guards against links that a change of a long configuration occupies for a second. */
static void test_long_change(void)
{
	struct node nodes[2] = { { .address = "10.0.0.1:70" }, { .address = "10.0.0.2:70" } };
	g_autofree char *text = config_text(ROUTES);
	int64_t now = 1000 * USEC_PER_SEC;
	struct feed_instance list[2];
	size_t before = 0;

	for (uint32_t i = 0; i < 2; i++) {
		/* The first one reads the store: its link is faster. */
		list[i] = (struct feed_instance){ nodes[i].address, "d", i ? 10 : 200 };
		nodes[i].peer = &nodes[1 - i];
		nodes[i].now = &now;
	}
	for (uint32_t i = 0; i < 2; i++) {
		struct feed_params p = { list[i].address,      "d", list[i].capacity, 1, i + 1,
					 1200 * USEC_PER_MSEC, 0 };

		nodes[i].feed = feed_new(&p, &ops, &nodes[i], now);
		feed_set_instances(nodes[i].feed, list, 2);
	}
	feed_set_store_state(nodes[0].feed, true, now);
	feed_list_begin(nodes[0].feed, 0, now);
	feed_put(nodes[0].feed, 0, "main", "{}", revision_make(0, 1), now);
	feed_complete(nodes[0].feed, 0, revision_make(0, 1), true, now);
	for (uint32_t i = 0; i < 40; i++) {
		now += 100 * USEC_PER_MSEC;
		if (i == 20) {
			g_assert_cmpstr(nodes[1].text, ==, "{}");
			before = nodes[0].sent_bytes;
			feed_put(nodes[0].feed, 0, "main", text, revision_make(0, 2), now);
			feed_complete(nodes[0].feed, 0, revision_make(0, 2), false, now);
		}
		feed_tick(nodes[0].feed, now);
		feed_tick(nodes[1].feed, now);
	}
	g_assert_cmpstr(nodes[1].text, ==, text);
	g_assert_cmpuint(nodes[0].sent_bytes - before, <, MAX_DELTA_BYTES);
	for (uint32_t i = 0; i < 2; i++) {
		feed_free(nodes[i].feed);
		g_free(nodes[i].text);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/feed/pack-round-trip", test_round_trip);
	g_test_add_func("/feed/pack-bad-input", test_bad_input);
	g_test_add_func("/feed/long-change", test_long_change);
	return g_test_run();
}
