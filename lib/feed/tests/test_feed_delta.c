/* Deltas between a store reader and an instance that follows it, when they exceed a frame. */
#include <glib.h>
#include <string.h>

#include "base/base.h"
#include "base/revision.h"
#include "feed/feed.h"
#include "feed/feed_wire.h"

#define READER	  "10.0.0.1:70"
#define FOLLOWER  "10.0.0.2:70"
#define LARGE	  900000U
#define N_OBJECTS 8U
#define REV(n)	  revision_make(0, n)
#define UP_TO(n)  revision_confirm(REV(n)) /* complete up to revision n of the store */

/* What the follower knows, and the last frame that the reader sent. */
struct link {
	GHashTable *known; /* name -> owned text */
	GBytes *frame;
};

static void on_object(void *arg, uint32_t kind, const char *name, const char *text,
		      uint64_t revision, const char *source)
{
	struct link *l = arg;

	if (text)
		g_hash_table_replace(l->known, g_strdup(name), g_strdup(text));
	else
		g_hash_table_remove(l->known, name);
}

static void on_read_store(void *arg, bool on, const char *reason)
{
}

static void on_load(void *arg, const struct feed_load *load)
{
}

static void on_check_store(void *arg)
{
}

static void on_send(void *arg, const char *address, const void *frame, size_t len)
{
	struct link *l = arg;

	g_assert_cmpuint(len, <=, FEED_FRAME_MAX);
	g_clear_pointer(&l->frame, g_bytes_unref);
	l->frame = g_bytes_new(frame, len);
}

static const struct feed_ops ops = {
	.object = on_object,
	.read_store = on_read_store,
	.load = on_load,
	.check_store = on_check_store,
	.send = on_send,
};

/* Printable characters that hardly shrink when they are compressed. */
static char *random_text(struct rng *rng, size_t len)
{
	char *text = g_malloc(len + 1);

	for (size_t i = 0; i < len; i++)
		text[i] = (char)('#' + rng_below(rng, 80));
	text[len] = '\0';
	return text;
}

/* The follower pulls from @since; returns the revision up to which it is complete then. */
static uint64_t pull(struct feed *reader, struct feed *follower, struct link *l, uint64_t since,
		     int64_t now)
{
	struct feed_message m;
	msgpack_sbuffer frame;
	uint64_t up_to;
	const void *data;
	gsize len;

	msgpack_sbuffer_init(&frame);
	feed_wire_pull(&frame, FOLLOWER, 0, since);
	g_assert_cmpint(feed_receive(reader, frame.data, frame.size, now), ==, 0);
	msgpack_sbuffer_destroy(&frame);
	g_assert_nonnull(l->frame);
	data = g_bytes_get_data(l->frame, &len);
	g_assert_cmpint(feed_wire_parse(data, len, &m), ==, 0);
	g_assert_cmpuint(m.since, ==, since);
	up_to = m.up_to;
	feed_wire_clear(&m);
	g_assert_cmpint(feed_receive(follower, data, len, now), ==, 0);
	g_clear_pointer(&l->frame, g_bytes_unref);
	return up_to;
}

/* Guards against a delta that exceeds a frame and is never sent, with all changes after it. */
static void test_large_delta(void)
{
	struct feed_params p = {
		.address = READER, .domain = "d0", .capacity = 100, .n_kinds = 1, .seed = 1
	};
	struct link sent = { .known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
							    g_free) };
	struct link got = { .known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
							   g_free) };
	int64_t now = 1000 * USEC_PER_SEC;
	struct feed *reader = feed_new(&p, &ops, &sent, now);
	struct feed *follower;
	uint64_t up_to = 0;
	uint32_t rounds = 0;
	struct rng rng;

	rng_seed(&rng, 5);
	p.address = FOLLOWER;
	follower = feed_new(&p, &ops, &got, now);
	for (uint32_t i = 0; i < N_OBJECTS; i++) {
		g_autofree char *name = g_strdup_printf("o%u", i);
		g_autofree char *text = random_text(&rng, i % 3 == 2 ? 10 : LARGE);

		feed_put(reader, 0, name, text, REV(10 + i), now);
	}
	feed_complete(reader, 0, REV(100), true, now);
	while (up_to < UP_TO(100) && rounds < 2 * N_OBJECTS) {
		/* An initial delta may use up its budget. */
		now += 60 * USEC_PER_SEC;
		up_to = pull(reader, follower, &sent, up_to, now);
		rounds++;
	}
	g_assert_cmpuint(up_to, ==, UP_TO(100));
	g_assert_cmpuint(g_hash_table_size(got.known), ==, N_OBJECTS);
	g_assert_cmpuint(rounds, >, 1);
	/* A change after them is a small delta. */
	feed_put(reader, 0, "o1", NULL, REV(101), now);
	feed_complete(reader, 0, REV(101), false, now);
	g_assert_cmpuint(pull(reader, follower, &sent, up_to, now), ==, UP_TO(101));
	g_assert_null(g_hash_table_lookup(got.known, "o1"));
	feed_free(reader);
	feed_free(follower);
	g_hash_table_unref(sent.known);
	g_hash_table_unref(got.known);
}

/* Guards against an object that fits in no frame and keeps all others back. */
static void test_object_too_large(void)
{
	struct feed_params p = {
		.address = READER, .domain = "d0", .capacity = 100, .n_kinds = 1, .seed = 1
	};
	struct link sent = { .known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
							    g_free) };
	struct link got = { .known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
							   g_free) };
	int64_t now = 1000 * USEC_PER_SEC;
	struct feed *reader = feed_new(&p, &ops, &sent, now);
	struct feed *follower;
	g_autofree char *text = NULL;
	uint64_t up_to = 0;
	struct rng rng;

	rng_seed(&rng, 6);
	text = random_text(&rng, 2 * FEED_FRAME_MAX);
	p.address = FOLLOWER;
	follower = feed_new(&p, &ops, &got, now);
	feed_put(reader, 0, "a", "1", REV(10), now);
	feed_put(reader, 0, "huge", text, REV(11), now);
	feed_put(reader, 0, "b", "2", REV(12), now);
	feed_complete(reader, 0, REV(12), true, now);
	for (uint32_t i = 0; i < 4 && up_to < UP_TO(12); i++) {
		now += 60 * USEC_PER_SEC;
		up_to = pull(reader, follower, &sent, up_to, now);
	}
	g_assert_cmpuint(up_to, ==, UP_TO(12));
	g_assert_cmpstr(g_hash_table_lookup(got.known, "a"), ==, "1");
	g_assert_cmpstr(g_hash_table_lookup(got.known, "b"), ==, "2");
	g_assert_null(g_hash_table_lookup(got.known, "huge"));
	feed_free(reader);
	feed_free(follower);
	g_hash_table_unref(sent.known);
	g_hash_table_unref(got.known);
}

/* A delta of one object to @f, as a peer sends it. */
static void receive_object(struct feed *f, const char *name, const char *text, uint64_t revision,
			   uint64_t since, uint64_t up_to, int64_t now)
{
	struct feed_object o = { .name = name,
				 .name_len = strlen(name),
				 .revision = revision,
				 .text = text,
				 .text_len = strlen(text) };
	msgpack_sbuffer frame;

	msgpack_sbuffer_init(&frame);
	feed_wire_delta(&frame, READER, 0, since, up_to, 1);
	feed_wire_add_object(&frame, &o);
	g_assert_cmpint(feed_receive(f, frame.data, frame.size, now), ==, 0);
	msgpack_sbuffer_destroy(&frame);
}

/*
 * Guards against a late delta that restores an object whose deletion is forgotten or was never seen,
 * such as an evacuation that was taken back.
 */
static void test_late_delta(void)
{
	struct feed_params p = {
		.address = FOLLOWER, .domain = "d0", .capacity = 100, .n_kinds = 1, .seed = 1
	};
	struct link got = { .known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
							   g_free) };
	int64_t now = 1000 * USEC_PER_SEC;
	struct feed *f = feed_new(&p, &ops, &got, now);

	/* Put at 10 and deleted at 20 before this instance read the store. */
	feed_put(f, 0, "other", "1", REV(15), now);
	feed_complete(f, 0, REV(20), true, now);
	receive_object(f, "z", "1", REV(10), UP_TO(5), UP_TO(10), now);
	g_assert_null(g_hash_table_lookup(got.known, "z"));
	/* Known, deleted at 40, and forgotten. */
	receive_object(f, "z", "2", REV(30), UP_TO(20), UP_TO(30), now);
	g_assert_nonnull(g_hash_table_lookup(got.known, "z"));
	feed_put(f, 0, "z", NULL, REV(40), now);
	feed_complete(f, 0, REV(40), false, now);
	g_assert_null(g_hash_table_lookup(got.known, "z"));
	for (int i = 0; i < 70; i++)
		feed_tick(f, now += USEC_PER_SEC);
	receive_object(f, "z", "2", REV(30), UP_TO(20), UP_TO(30), now);
	g_assert_null(g_hash_table_lookup(got.known, "z"));
	/* A newer one is applied, and so is one that the store lists. */
	receive_object(f, "z", "3", REV(41), UP_TO(40), UP_TO(41), now);
	g_assert_cmpstr(g_hash_table_lookup(got.known, "z"), ==, "3");
	feed_put(f, 0, "y", "1", REV(7), now);
	g_assert_cmpstr(g_hash_table_lookup(got.known, "y"), ==, "1");
	feed_free(f);
	g_clear_pointer(&got.frame, g_bytes_unref);
	g_hash_table_unref(got.known);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/feed/large-delta", test_large_delta);
	g_test_add_func("/feed/object-too-large", test_object_too_large);
	g_test_add_func("/feed/late-delta", test_late_delta);
	return g_test_run();
}
