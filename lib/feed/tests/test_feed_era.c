/* A store reader and an instance that follows it, while the store returns from an older copy. */
#include <glib.h>
#include <string.h>

#include "base/base.h"
#include "base/revision.h"
#include "feed/feed.h"
#include "feed/feed_wire.h"

#define READER	  "10.0.0.1:70"
#define FOLLOWER  "10.0.0.2:70"
#define HEARTBEAT (1200 * USEC_PER_MSEC)
#define SETTLED	  (3 * HEARTBEAT + 5 * USEC_PER_SEC) /* after the beginning of an era */
#define IN_FORCE  (1 * USEC_PER_SEC) /* for a change to reach the follower */
#define TICK	  (50 * USEC_PER_MSEC)

enum {
	KIND_ENTRIES,
	KIND_VERSIONED,
	KINDS,
};

struct world;

struct side {
	struct world *w;
	const char *address;
	struct feed *feed;
	GHashTable *known[KINDS]; /* name -> owned text */
	uint32_t n_calls; /* of on_object() */
	uint32_t eras; /* calls of on_era() */
	uint32_t n_pulls; /* sent */
};

struct world {
	int64_t now;
	struct side reader;
	struct side follower;
	GQueue frames; /* of struct frame */
};

struct frame {
	struct side *to;
	GBytes *bytes;
};

static void on_object(void *arg, uint32_t kind, const char *name, const char *text,
		      uint64_t revision, const char *source)
{
	struct side *s = arg;

	s->n_calls++;
	if (text)
		g_hash_table_replace(s->known[kind], g_strdup(name), g_strdup(text));
	else
		g_hash_table_remove(s->known[kind], name);
}

/* Texts are numbers of writes; one with another first character doesn't tell its number. */
static int on_compare(void *arg, uint32_t kind, const char *a, const char *b)
{
	if (!g_ascii_isdigit(*a) || !g_ascii_isdigit(*b))
		return 0;
	return (int)g_ascii_strtoull(a, NULL, 10) - (int)g_ascii_strtoull(b, NULL, 10);
}

static void on_era(void *arg, uint32_t era, uint32_t previous, const char *source)
{
	struct side *s = arg;

	g_assert_cmpuint(era, >, previous);
	s->eras++;
}

static void on_read_store(void *arg, bool on, const char *reason)
{
}

static void on_load(void *arg, const struct feed_load *load)
{
}

static void on_check_store(void *arg)
{
	struct side *s = arg;

	feed_check_finished(s->feed, true, s->w->now);
}

static void on_send(void *arg, const char *address, const void *bytes, size_t len)
{
	struct side *s = arg;
	struct world *w = s->w;
	struct frame *f = g_new0(struct frame, 1);

	/* The type follows the heads of the frame's array and its version, of one byte each. */
	s->n_pulls += ((const uint8_t *)bytes)[2] == FEED_PULL;
	f->to = g_str_equal(address, READER) ? &w->reader : &w->follower;
	f->bytes = g_bytes_new(bytes, len);
	g_queue_push_tail(&w->frames, f);
}

static const struct feed_ops ops = {
	.object = on_object,
	.compare = on_compare,
	.era = on_era,
	.read_store = on_read_store,
	.load = on_load,
	.check_store = on_check_store,
	.send = on_send,
};

static void side_start(struct side *s, struct world *w, const char *address, uint32_t capacity)
{
	struct feed_params p = {
		address, "d0", capacity, KINDS, capacity, HEARTBEAT, 1U << KIND_VERSIONED
	};
	struct feed_instance list[] = { { READER, "d0", 100 }, { FOLLOWER, "d0", 10 } };

	*s = (struct side){ .w = w, .address = address };
	for (int i = 0; i < KINDS; i++)
		s->known[i] = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->feed = feed_new(&p, &ops, s, w->now);
	feed_set_instances(s->feed, list, G_N_ELEMENTS(list));
}

static void side_stop(struct side *s)
{
	feed_free(s->feed);
	for (int i = 0; i < KINDS; i++)
		g_hash_table_unref(s->known[i]);
}

static void run(struct world *w, int64_t time)
{
	for (int64_t end = w->now + time; w->now < end; w->now += TICK) {
		struct frame *f;

		feed_tick(w->reader.feed, w->now);
		feed_tick(w->follower.feed, w->now);
		while ((f = g_queue_pop_head(&w->frames))) {
			gsize len;
			const void *data = g_bytes_get_data(f->bytes, &len);

			g_assert_cmpint(feed_receive(f->to->feed, data, len, w->now), ==, 0);
			g_bytes_unref(f->bytes);
			g_free(f);
		}
	}
}

static void world_start(struct world *w)
{
	*w = (struct world){ .now = 1000 * USEC_PER_SEC };
	side_start(&w->reader, w, READER, 100);
	side_start(&w->follower, w, FOLLOWER, 10);
}

static void world_stop(struct world *w)
{
	struct frame *f;

	while ((f = g_queue_pop_head(&w->frames))) {
		g_bytes_unref(f->bytes);
		g_free(f);
	}
	side_stop(&w->reader);
	side_stop(&w->follower);
}

static void put(struct world *w, const char *name, const char *text, uint32_t era, uint64_t number)
{
	feed_put(w->reader.feed, KIND_ENTRIES, name, text, revision_make(era, number), w->now);
}

static void list_begin(struct world *w)
{
	feed_list_begin(w->reader.feed, KIND_ENTRIES, w->now);
	feed_list_begin(w->reader.feed, KIND_VERSIONED, w->now);
}

static void list_end(struct world *w, uint32_t era, uint64_t number)
{
	for (uint32_t i = 0; i < KINDS; i++)
		feed_complete(w->reader.feed, i, revision_make(era, number), true, w->now);
	feed_set_store_state(w->reader.feed, true, w->now);
}

/* Both sides know @text; NULL: no object. */
static void expect(struct world *w, uint32_t kind, const char *name, const char *text)
{
	g_assert_cmpstr(g_hash_table_lookup(w->reader.known[kind], name), ==, text);
	g_assert_cmpstr(g_hash_table_lookup(w->follower.known[kind], name), ==, text);
}

/* Era 1: "a" was written three times, "gone" was deleted, "new" is younger than the copy. */
static void start_era_1(struct world *w)
{
	world_start(w);
	run(w, TICK);
	list_begin(w);
	put(w, "a", "1", 1, 101);
	put(w, "gone", "1", 1, 102);
	put(w, "same", "1", 1, 103);
	list_end(w, 1, 103);
	/* Deletions are deferred after a start, too. */
	run(w, 3 * USEC_PER_SEC);
	put(w, "new", "1", 1, 104);
	put(w, "a", "2", 1, 105);
	put(w, "a", "3", 1, 120);
	put(w, "gone", NULL, 1, 121);
	feed_complete(w->reader.feed, KIND_ENTRIES, revision_make(1, 121), false, w->now);
	run(w, IN_FORCE);
	expect(w, KIND_ENTRIES, "a", "3");
	expect(w, KIND_ENTRIES, "gone", NULL);
	expect(w, KIND_ENTRIES, "new", "1");
}

/* Era 2 begins with the copy as of 103, or with a change of "a" to @text. */
static void start_era_2_with(struct world *w, const char *text)
{
	list_begin(w);
	put(w, "a", text, 2, 101);
	put(w, "gone", "1", 2, 102);
	put(w, "same", "1", 2, 103);
	list_end(w, 2, 103);
	run(w, IN_FORCE);
}

static void start_era_2(struct world *w)
{
	start_era_2_with(w, "1");
}

/* Guards against a change that is ignored as its revision was given out in an earlier era. */
static void test_reused_revision(void)
{
	struct world w;

	start_era_1(&w);
	start_era_2(&w);
	expect(&w, KIND_ENTRIES, "a", "3");
	put(&w, "a", "4", 2, 104);
	put(&w, "b", "1", 2, 105);
	feed_complete(w.reader.feed, KIND_ENTRIES, revision_make(2, 105), false, w.now);
	run(&w, IN_FORCE);
	expect(&w, KIND_ENTRIES, "a", "4");
	expect(&w, KIND_ENTRIES, "b", "1");
	put(&w, "a", NULL, 2, 106);
	feed_complete(w.reader.feed, KIND_ENTRIES, revision_make(2, 106), false, w.now);
	run(&w, 2 * USEC_PER_SEC);
	expect(&w, KIND_ENTRIES, "a", NULL);
	g_assert_cmpuint(w.reader.eras, ==, 1);
	g_assert_cmpuint(w.follower.eras, ==, 1);
	world_stop(&w);
}

/* Guards against an earlier state of the copy that replaces the known one. */
static void test_copy_is_older(void)
{
	struct world w;

	start_era_1(&w);
	/* It doesn't tell which state is the later one. */
	start_era_2_with(&w, "?");
	expect(&w, KIND_ENTRIES, "a", "3");
	expect(&w, KIND_ENTRIES, "gone", NULL);
	/* Its owner has gone: the store removes it before it is settled. */
	put(&w, "gone", NULL, 2, 104);
	feed_complete(w.reader.feed, KIND_ENTRIES, revision_make(2, 104), false, w.now);
	run(&w, SETTLED + IN_FORCE);
	expect(&w, KIND_ENTRIES, "a", "?");
	expect(&w, KIND_ENTRIES, "gone", NULL);
	world_stop(&w);
}

/* Guards against a change after the first list that is deferred as if the copy might have it. */
static void test_change_in_era(void)
{
	struct world w;

	start_era_1(&w);
	start_era_2(&w);
	put(&w, "a", "?", 2, 104);
	put(&w, "gone", "?", 2, 105);
	feed_complete(w.reader.feed, KIND_ENTRIES, revision_make(2, 105), false, w.now);
	run(&w, IN_FORCE);
	expect(&w, KIND_ENTRIES, "a", "?");
	expect(&w, KIND_ENTRIES, "gone", "?");
	run(&w, SETTLED + IN_FORCE);
	expect(&w, KIND_ENTRIES, "a", "?");
	expect(&w, KIND_ENTRIES, "gone", "?");
	world_stop(&w);
}

/* Guards against a state of the store that never comes into force again. */
static void test_settled(void)
{
	struct world w;

	start_era_1(&w);
	start_era_2(&w);
	run(&w, SETTLED + IN_FORCE);
	expect(&w, KIND_ENTRIES, "a", "1");
	expect(&w, KIND_ENTRIES, "gone", "1");
	put(&w, "gone", NULL, 2, 104);
	feed_complete(w.reader.feed, KIND_ENTRIES, revision_make(2, 104), false, w.now);
	run(&w, IN_FORCE);
	expect(&w, KIND_ENTRIES, "gone", NULL);
	world_stop(&w);
}

/* Guards against the deletion of an object that its owner hasn't written again yet. */
static void test_missing(void)
{
	struct world w;
	uint32_t calls;

	start_era_1(&w);
	calls = w.follower.n_calls;
	start_era_2(&w);
	expect(&w, KIND_ENTRIES, "new", "1");
	put(&w, "new", "1", 2, 104);
	feed_complete(w.reader.feed, KIND_ENTRIES, revision_make(2, 104), false, w.now);
	run(&w, 3 * USEC_PER_SEC);
	expect(&w, KIND_ENTRIES, "new", "1");
	/* Objects that the store still has, or has again, as they were known are no changes. */
	g_assert_cmpuint(w.follower.n_calls, ==, calls);
	world_stop(&w);

	start_era_1(&w);
	start_era_2(&w);
	run(&w, 3 * USEC_PER_SEC);
	expect(&w, KIND_ENTRIES, "new", NULL);
	world_stop(&w);
}

/* Guards against a response of an earlier era that comes late. */
static void test_late_response(void)
{
	struct world w;

	start_era_1(&w);
	start_era_2(&w);
	put(&w, "c", "1", 2, 104);
	feed_complete(w.reader.feed, KIND_ENTRIES, revision_make(2, 104), false, w.now);
	list_begin(&w);
	put(&w, "a", "9", 1, 130);
	put(&w, "late", "1", 1, 131);
	list_end(&w, 1, 131);
	run(&w, 3 * USEC_PER_SEC);
	expect(&w, KIND_ENTRIES, "a", "3");
	expect(&w, KIND_ENTRIES, "c", "1");
	expect(&w, KIND_ENTRIES, "late", NULL);
	world_stop(&w);
}

/* Guards against an older version of an object, from a store that has lost the newer one. */
static void test_versioned(void)
{
	struct world w;

	start_era_1(&w);
	feed_put(w.reader.feed, KIND_VERSIONED, "main", "v17", 17, w.now);
	list_end(&w, 1, 122);
	run(&w, IN_FORCE);
	expect(&w, KIND_VERSIONED, "main", "v17");
	list_begin(&w);
	feed_put(w.reader.feed, KIND_VERSIONED, "main", "v9", 9, w.now);
	list_end(&w, 2, 103);
	run(&w, SETTLED + IN_FORCE);
	expect(&w, KIND_VERSIONED, "main", "v17");
	/* An instance that starts gets the newest version, and so does one that read the store. */
	side_stop(&w.follower);
	side_start(&w.follower, &w, FOLLOWER, 10);
	feed_put(w.follower.feed, KIND_VERSIONED, "main", "v9", 9, w.now);
	run(&w, 2 * IN_FORCE);
	expect(&w, KIND_VERSIONED, "main", "v17");
	feed_put(w.reader.feed, KIND_VERSIONED, "main", "v18", 18, w.now);
	list_end(&w, 2, 104);
	run(&w, IN_FORCE);
	expect(&w, KIND_VERSIONED, "main", "v18");
	world_stop(&w);
}

/* Guards against an instance that regards the state of a stale list as the newest one. */
static void test_stale_list(void)
{
	struct world w;

	world_start(&w);
	run(&w, TICK);
	feed_put(w.reader.feed, KIND_ENTRIES, "a", "1", 0, w.now);
	list_begin(&w);
	put(&w, "a", "2", 1, 50);
	list_end(&w, 1, 60);
	run(&w, IN_FORCE);
	expect(&w, KIND_ENTRIES, "a", "2");
	feed_put(w.reader.feed, KIND_ENTRIES, "a", "1", 0, w.now);
	run(&w, IN_FORCE);
	expect(&w, KIND_ENTRIES, "a", "2");
	world_stop(&w);
}

/* Guards against a state of the copy at a store reader that starts before the store is settled. */
static void test_reader_restart(void)
{
	struct world w;

	start_era_1(&w);
	start_era_2(&w);
	/* The removal of "new" is deferred, and the follower learns of the era only after it. */
	run(&w, 2 * USEC_PER_SEC);
	side_stop(&w.reader);
	side_start(&w.reader, &w, READER, 100);
	run(&w, IN_FORCE);
	start_era_2(&w);
	expect(&w, KIND_ENTRIES, "a", "3");
	expect(&w, KIND_ENTRIES, "gone", NULL);
	world_stop(&w);
}

/* Guards against the copy at a store reader that lists it before its peers have answered. */
static void test_reader_restart_lists_first(void)
{
	struct world w;

	start_era_1(&w);
	start_era_2(&w);
	run(&w, 2 * USEC_PER_SEC);
	side_stop(&w.reader);
	side_start(&w.reader, &w, READER, 100);
	start_era_2(&w);
	expect(&w, KIND_ENTRIES, "a", "3");
	expect(&w, KIND_ENTRIES, "gone", NULL);
	world_stop(&w);
}

/* Guards against an earlier state that comes into force while the store can't be read. */
static void test_outage_in_era(void)
{
	struct world w;

	start_era_1(&w);
	start_era_2(&w);
	feed_set_store_state(w.reader.feed, false, w.now);
	run(&w, SETTLED + IN_FORCE);
	expect(&w, KIND_ENTRIES, "a", "3");
	expect(&w, KIND_ENTRIES, "gone", NULL);
	world_stop(&w);
}

/* Guards against a state of the copy at an instance that hasn't all kinds yet. */
static void test_incomplete_kind(void)
{
	struct world w;

	world_start(&w);
	run(&w, TICK);
	feed_list_begin(w.reader.feed, KIND_ENTRIES, w.now);
	put(&w, "a", "3", 1, 120);
	feed_complete(w.reader.feed, KIND_ENTRIES, revision_make(1, 121), true, w.now);
	start_era_2(&w);
	g_assert_cmpstr(g_hash_table_lookup(w.reader.known[KIND_ENTRIES], "a"), ==, "3");
	world_stop(&w);
}

/* Guards against a deleted object of the copy at an instance that started after the deletion. */
static void test_start_after_deletion(void)
{
	struct world w;

	start_era_1(&w);
	side_stop(&w.reader);
	side_start(&w.reader, &w, READER, 100);
	run(&w, IN_FORCE);
	expect(&w, KIND_ENTRIES, "a", "3");
	start_era_2(&w);
	expect(&w, KIND_ENTRIES, "a", "3");
	expect(&w, KIND_ENTRIES, "gone", NULL);
	world_stop(&w);
}

/* Guards against two store readers that pull from each other without end. */
static void test_pulls_end(void)
{
	struct world w;
	uint32_t pulls;

	start_era_1(&w);
	for (uint32_t era = 2; era <= 3; era++) {
		start_era_2_with(&w, "?");
		for (uint32_t kind = 0; kind < KINDS; kind++)
			feed_list_begin(w.follower.feed, kind, w.now);
		feed_put(w.follower.feed, KIND_ENTRIES, "a", "?", revision_make(era, 101), w.now);
		feed_put(w.follower.feed, KIND_ENTRIES, "b", "1", revision_make(era, 104), w.now);
		for (uint32_t kind = 0; kind < KINDS; kind++)
			feed_complete(w.follower.feed, kind, revision_make(era, 104), true, w.now);
		run(&w, 2 * USEC_PER_SEC);
		if (era == 2) {
			list_begin(&w);
			put(&w, "a", "?", 3, 102);
			list_end(&w, 3, 102);
		}
	}
	run(&w, SETTLED + 3 * USEC_PER_SEC);
	pulls = w.reader.n_pulls + w.follower.n_pulls;
	run(&w, 5 * USEC_PER_SEC);
	g_assert_cmpuint(w.reader.n_pulls + w.follower.n_pulls, ==, pulls);
	g_assert_cmpstr(g_hash_table_lookup(w.reader.known[KIND_ENTRIES], "a"), ==, "?");
	g_assert_cmpstr(g_hash_table_lookup(w.follower.known[KIND_ENTRIES], "a"), ==, "?");
	world_stop(&w);
}

/* Guards against a deletion that followers don't get, as its event has the revision of the object. */
static void test_deletion_event(void)
{
	struct world w;

	start_era_1(&w);
	put(&w, "z", "1", 1, 130);
	/* Objects of other kinds have changed since. */
	feed_complete(w.reader.feed, KIND_ENTRIES, revision_make(1, 132), false, w.now);
	run(&w, IN_FORCE);
	expect(&w, KIND_ENTRIES, "z", "1");
	put(&w, "z", NULL, 1, 130);
	feed_complete(w.reader.feed, KIND_ENTRIES, revision_make(1, 133), false, w.now);
	run(&w, IN_FORCE);
	expect(&w, KIND_ENTRIES, "z", NULL);
	world_stop(&w);
}

static void test_revision(void)
{
	char text[REVISION_TEXT_MAX];
	uint64_t r = revision_make(3, 530);

	g_assert_cmpuint(revision_era(r), ==, 3);
	g_assert_cmpuint(revision_number(r), ==, 530);
	g_assert_cmpstr(revision_text(text, r), ==, "3.530");
	g_assert_cmpstr(revision_text(text, revision_confirm(r)), ==, "3.530");
	g_assert_cmpuint(revision_confirm(r), >, r);
	g_assert_false(revision_is_confirmed(r));
	r = revision_confirm(r);
	g_assert_true(revision_is_confirmed(r));
	g_assert_cmpstr(revision_text(text, revision_next_step(r)), ==, "3.530+2");
	g_assert_cmpuint(revision_next_step(r), <, revision_make(3, 531));
	g_assert_cmpuint(revision_make(3, 1), >, revision_make(2, REVISION_NUMBER_MAX));
	for (int i = 0; i < 100; i++)
		r = revision_next_step(r);
	g_assert_cmpuint(r, <, revision_make(3, 531));
	g_assert_cmpuint(revision_era(revision_make(REVISION_ERA_MAX, 1)), ==, REVISION_ERA_MAX);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/feed-era/revision", test_revision);
	g_test_add_func("/feed-era/reused-revision", test_reused_revision);
	g_test_add_func("/feed-era/copy-is-older", test_copy_is_older);
	g_test_add_func("/feed-era/change-in-era", test_change_in_era);
	g_test_add_func("/feed-era/settled", test_settled);
	g_test_add_func("/feed-era/missing", test_missing);
	g_test_add_func("/feed-era/late-response", test_late_response);
	g_test_add_func("/feed-era/deletion-event", test_deletion_event);
	g_test_add_func("/feed-era/versioned", test_versioned);
	g_test_add_func("/feed-era/stale-list", test_stale_list);
	g_test_add_func("/feed-era/reader-restart", test_reader_restart);
	g_test_add_func("/feed-era/reader-restart-lists-first", test_reader_restart_lists_first);
	g_test_add_func("/feed-era/outage-in-era", test_outage_in_era);
	g_test_add_func("/feed-era/incomplete-kind", test_incomplete_kind);
	g_test_add_func("/feed-era/start-after-deletion", test_start_after_deletion);
	g_test_add_func("/feed-era/pulls-end", test_pulls_end);
	return g_test_run();
}
