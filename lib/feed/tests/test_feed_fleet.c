/*
 * A fleet of 300 instances in virtual time, while the store returns from an older copy. Beside it
 * the same world with changes ordered by the store's revision alone.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/base.h"
#include "base/revision.h"
#include "feed/feed.h"

#define MS	   USEC_PER_MSEC
#define INSTANCES  300U
#define DOMAINS	   5U
#define ENTRIES	   60U
#define HEARTBEAT  (1200 * MS)
#define EXPIRY	   (3 * HEARTBEAT) /* of an entry that its owner has left */
#define SETTLED	   (EXPIRY + 5000 * MS)
#define IN_FORCE   (2000 * MS) /* bound for a change that the store acknowledged */
#define RECOVERY   (3000 * MS) /* after a disturbance, for which an instance isn't checked */
#define TICK	   (100 * MS)
#define OUTAGE	   (400 * MS) /* of the store before it returns */
#define COPY_SPACE (500 * MS) /* between two copies of the store */
#define COPIES	   64U
#define WINDOW	   (5000 * MS) /* in which the traffic is counted */
#define MAX_LOST   3U /* entries of struct plan.lost */

enum {
	KIND_ENTRIES,
	KIND_CONFIG,
	KINDS
};

/* State of an entry; ENTRIES: the configuration. Counts rise with each operation of the owner. */
struct row {
	uint32_t count; /* of the last operation; 0: never written */
	bool present;
	uint64_t number; /* the store's revision */
	int64_t acked_at;
};

struct copy {
	struct row rows[ENTRIES + 1];
	uint64_t number;
};

struct traffic {
	uint64_t frames;
	uint64_t bytes;
	uint32_t lists;
};

struct world;

struct node {
	struct world *w;
	struct feed *feed;
	char address[24];
	char domain[8];
	bool reads, listed, stopped, no_peers, no_store;
	uint32_t era; /* of its last list */
	uint64_t watched; /* the store's revision up to which its watch passed changes */
	int64_t restart_at; /* 0: not planned */
	int64_t disturb_from;
	int64_t disturb_until;
	uint32_t known[ENTRIES + 1]; /* count; 0: no object */
	uint32_t highest[ENTRIES + 1]; /* count that was known in this life */
	bool deleted[ENTRIES + 1]; /* the state of the highest count was deleted */
};

struct frame {
	int64_t at;
	uint32_t from, to;
	GBytes *bytes;
};

struct world {
	bool naive;
	int64_t now;
	uint32_t seed;
	uint32_t era;
	bool down;
	bool writes; /* owners go on changing entries */
	struct rng rng;
	struct copy store;
	struct copy copies[COPIES];
	uint32_t n_copies;
	struct row owned[ENTRIES + 1]; /* what the owners last wrote */
	int64_t rewrite_at[ENTRIES + 1]; /* 0: nothing is lost */
	struct node nodes[INSTANCES];
	GQueue frames;
	struct traffic traffic;
	int64_t returned_at;
	int64_t worst; /* time until a change after a return was known */
	uint32_t late, reverted, differ;
	GHashTable *late_changes;
};

static void fault(struct world *w, const struct node *n, uint32_t i, const char *what,
		  uint32_t count)
{
	if (w->late + w->reverted + w->differ <= 8)
		g_test_message("seed %u %s: %s entry %u count %u known %u, store %u%s, owner %u%s "
			       "acked %.1f s ago, %.1f s after the return",
			       w->seed, n->address, what, i, count, n->known[i],
			       w->store.rows[i].count, w->store.rows[i].present ? "" : " deleted",
			       w->owned[i].count, w->owned[i].present ? "" : " deleted",
			       (double)(w->now - w->store.rows[i].acked_at) / USEC_PER_SEC,
			       (double)(w->now - w->returned_at) / USEC_PER_SEC);
}

static void on_object(void *arg, uint32_t kind, const char *name, const char *text,
		      uint64_t revision, const char *source)
{
	struct node *n = arg;
	uint32_t i = (uint32_t)g_ascii_strtoull(name, NULL, 10);
	uint32_t count = text ? (uint32_t)g_ascii_strtoull(text, NULL, 10) : 0;

	if (text && (count < n->highest[i] || (count == n->highest[i] && n->deleted[i])) &&
	    n->w->now >= n->disturb_until) {
		n->w->reverted++;
		fault(n->w, n, i, "earlier state", count);
	}
	n->deleted[i] = !text;
	n->highest[i] = MAX(n->highest[i], count);
	n->known[i] = count;
}

static int on_compare(void *arg, uint32_t kind, const char *a, const char *b)
{
	return (int)g_ascii_strtoull(a, NULL, 10) - (int)g_ascii_strtoull(b, NULL, 10);
}

static void on_read_store(void *arg, bool on, const char *reason)
{
	struct node *n = arg;

	n->reads = on;
	n->listed = false;
}

static void on_load(void *arg, const struct feed_load *l)
{
}

static void on_check(void *arg)
{
	struct node *n = arg;

	feed_check_finished(n->feed, !n->w->down && !n->no_store, n->w->now);
}

static void on_send(void *arg, const char *address, const void *data, size_t len)
{
	struct node *n = arg;
	struct frame *f = g_new0(struct frame, 1);
	unsigned int high = 0;
	unsigned int low = 0;

	g_assert_cmpint(sscanf(address, "10.0.%u.%u:", &high, &low), ==, 2);
	*f = (struct frame){ n->w->now + 2 * MS, (uint32_t)(n - n->w->nodes), high * 100 + low,
			     g_bytes_new(data, len) };
	n->w->traffic.frames++;
	n->w->traffic.bytes += len;
	g_queue_push_tail(&n->w->frames, f);
}

static void set_instances(void *arg, uint32_t kind)
{
	struct node *n = arg;
	struct feed_instance list[INSTANCES];

	for (uint32_t i = 0; i < INSTANCES; i++)
		list[i] = (struct feed_instance){ n->w->nodes[i].address, n->w->nodes[i].domain,
						  100 };
	feed_set_instances(n->feed, list, INSTANCES);
}

static void on_find(void *arg)
{
	struct node *n = arg;

	if (!n->w->down && !n->no_store)
		set_instances(n, 0);
	feed_find_finished(n->feed, n->w->now);
}

static void node_start(struct world *w, struct node *n)
{
	static const struct feed_ops ops = { .object = on_object,
					     .compare = on_compare,
					     .read_store = on_read_store,
					     .load = on_load,
					     .check_store = on_check,
					     .send = on_send,
					     .find_instances = on_find };
	static const struct feed_ops naive = { .object = on_object,
					       .read_store = on_read_store,
					       .load = on_load,
					       .check_store = on_check,
					       .send = on_send,
					       .find_instances = on_find };
	uint32_t i = (uint32_t)(n - w->nodes);

	n->w = w;
	g_snprintf(n->address, sizeof(n->address), "10.0.%u.%u:70", i / 100, i % 100);
	g_snprintf(n->domain, sizeof(n->domain), "d%u", i % DOMAINS);
	n->reads = n->listed = false;
	memset(n->known, 0, sizeof(n->known));
	memset(n->highest, 0, sizeof(n->highest));
	memset(n->deleted, 0, sizeof(n->deleted));
	n->feed = feed_new(&(struct feed_params){ n->address, n->domain, 100, KINDS,
						  rng_next(&w->rng), HEARTBEAT,
						  w->naive ? 0 : 1U << KIND_CONFIG },
			   w->naive ? &naive : &ops, n, w->now);
}

/* The store acknowledges the operation of the owner of entry @i. */
static void store_write(struct world *w, uint32_t i)
{
	w->owned[i].number = ++w->store.number;
	w->owned[i].acked_at = w->now;
	w->store.rows[i] = w->owned[i];
	w->rewrite_at[i] = 0;
}

static void owners_act(struct world *w)
{
	for (uint32_t i = 0; i <= ENTRIES; i++) {
		struct row *o = &w->owned[i];
		bool acts = w->writes && rng_below(&w->rng, i < ENTRIES ? 60 : 10) == 0;
		/* What is lost is written again, but an entry that was deleted then expires. */
		bool again = w->rewrite_at[i] && w->now >= w->rewrite_at[i];

		if (!acts && !again)
			continue;
		if (again && i == ENTRIES) {
			store_write(w, i);
			continue;
		}
		o->count++;
		if (!again)
			o->present = i == ENTRIES || !o->present || rng_below(&w->rng, 4) > 0;
		store_write(w, i);
	}
}

/* Passes the list, or the changes since the last call, as the watches of a reader do. */
static void read_store(struct world *w, struct node *n)
{
	/* A watch ends when the store is away, also that of an instance that was stopped. */
	bool list = !n->listed || n->era != w->era;
	uint32_t era = w->naive ? 0 : w->era;

	if (!n->reads)
		return;
	if (w->down || n->no_store) {
		n->listed = false;
		feed_set_store_state(n->feed, false, w->now);
		return;
	}
	if (!list && n->watched == w->store.number)
		return;
	for (uint32_t k = 0; list && k < KINDS; k++)
		feed_list_begin(n->feed, k, w->now);
	w->traffic.lists += list ? KINDS : 0;
	for (uint32_t i = 0; i <= ENTRIES; i++) {
		const struct row *r = &w->store.rows[i];
		char name[12];
		char text[12];

		if (list ? !r->present : r->number <= n->watched)
			continue;
		g_snprintf(name, sizeof(name), "%u", i);
		g_snprintf(text, sizeof(text), "%u", r->count);
		feed_put(n->feed, i < ENTRIES ? KIND_ENTRIES : KIND_CONFIG, name,
			 r->present ? text : NULL,
			 i == ENTRIES && !w->naive ? r->count : revision_make(era, r->number),
			 w->now);
	}
	for (uint32_t k = 0; k < KINDS; k++)
		feed_complete(n->feed, k, revision_make(era, w->store.number), list, w->now);
	n->watched = w->store.number;
	n->listed = true;
	n->era = w->era;
	feed_set_store_state(n->feed, true, w->now);
}

static void deliver(struct world *w)
{
	GQueue waiting = G_QUEUE_INIT;
	struct frame *f;

	while ((f = g_queue_peek_head(&w->frames)) && f->at <= w->now) {
		struct node *to = &w->nodes[f->to];
		gsize len;
		const void *data = g_bytes_get_data(f->bytes, &len);

		g_queue_pop_head(&w->frames);
		if (to->stopped) {
			g_queue_push_tail(&waiting, f);
			continue;
		}
		if (!to->no_peers && !w->nodes[f->from].no_peers)
			g_assert_cmpint(feed_receive(to->feed, data, len, w->now), ==, 0);
		g_bytes_unref(f->bytes);
		g_free(f);
	}
	while ((f = g_queue_pop_tail(&waiting)))
		g_queue_push_head(&w->frames, f);
}

/* Changes that the store has, and that an instance doesn't know. */
static void check(struct world *w, bool all)
{
	for (uint32_t k = 0; k < INSTANCES; k++) {
		struct node *n = &w->nodes[k];

		for (uint32_t i = 0; i <= ENTRIES && w->now >= n->disturb_until; i++) {
			const struct row *r = &w->store.rows[i];
			int64_t age = w->now - r->acked_at;
			bool known = r->present ? n->known[i] >= r->count
						: !n->known[i] || n->known[i] > r->count;

			/* What is lost has no state to be known until it is written again. */
			if (known || !r->count || r->count < w->owned[i].count || w->rewrite_at[i])
				continue;
			if (all) {
				w->differ++;
				fault(w, n, i, "differs at the end", r->count);
			}
			if (!w->returned_at || r->acked_at < w->returned_at)
				continue;
			w->worst = MAX(w->worst, age);
			if (age <= IN_FORCE)
				continue;
			w->late++;
			if (g_hash_table_add(w->late_changes, GUINT_TO_POINTER(i << 20 | r->count)))
				fault(w, n, i, "late", r->count);
		}
	}
}

static void run(struct world *w, int64_t time)
{
	for (int64_t end = w->now + time; w->now < end;) {
		w->now += TICK;
		deliver(w);
		if (!w->down)
			owners_act(w);
		if (!w->down && w->now % COPY_SPACE == 0)
			w->copies[w->n_copies++ % COPIES] = w->store;
		for (uint32_t i = 0; i < INSTANCES; i++) {
			struct node *n = &w->nodes[i];

			if (n->restart_at && w->now >= n->restart_at) {
				n->restart_at = 0;
				feed_free(n->feed);
				node_start(w, n);
			}
			if (w->now >= n->disturb_until - RECOVERY)
				n->stopped = n->no_peers = n->no_store = false;
			if (n->stopped)
				continue;
			read_store(w, n);
			feed_tick(n->feed, w->now);
		}
		check(w, false);
	}
}

/* The store is away and returns with its state of @lost before. */
static void store_return(struct world *w, int64_t lost)
{
	w->down = true;
	run(w, OUTAGE);
	w->down = false;
	g_assert_cmpuint(lost / COPY_SPACE, <, w->n_copies);
	w->store = w->copies[(w->n_copies - 1 - (uint32_t)(lost / COPY_SPACE)) % COPIES];
	w->era++;
	w->returned_at = w->now;
	for (uint32_t i = 0; i <= ENTRIES; i++) {
		int64_t delay = 100 * MS + (int64_t)rng_below(&w->rng, 900 * MS);

		if (w->store.rows[i].count == w->owned[i].count)
			continue;
		w->rewrite_at[i] = w->now + (w->owned[i].present ? delay : EXPIRY);
	}
}

/* Disturbs about 20 instances, among them one of each four that read the store, around a return. */
static void disturb(struct world *w)
{
	for (uint32_t i = 0, readers = 0; i < INSTANCES; i++) {
		struct node *n = &w->nodes[i];
		uint32_t how = (uint32_t)rng_below(&w->rng, 4);

		if (n->reads ? readers++ % 4 != 0 : rng_below(&w->rng, 20) != 0)
			continue;
		n->stopped = how == 0;
		n->no_peers = how == 1;
		n->no_store = how == 2;
		n->restart_at = how == 3 ? w->now + (int64_t)rng_below(&w->rng, 2000 * MS) : 0;
		n->disturb_until =
			w->now + 1000 * MS + (int64_t)rng_below(&w->rng, 2000 * MS) + RECOVERY;
	}
}

/* @second: seconds lost by a second return, 2 s after the first; 0: none. */
static void play(struct world *w, bool naive, uint32_t seed, int64_t lost, int64_t second)
{
	struct traffic quiet;

	memset(w, 0, sizeof(*w));
	w->naive = naive;
	w->seed = seed;
	w->era = 1;
	w->now = 1000 * USEC_PER_SEC;
	w->writes = true;
	w->late_changes = g_hash_table_new(NULL, NULL);
	rng_seed(&w->rng, seed);
	for (uint32_t i = 0; i < INSTANCES; i++)
		node_start(w, &w->nodes[i]);
	run(w, 6 * USEC_PER_SEC + (lost > WINDOW ? lost - WINDOW : 0));
	w->traffic = (struct traffic){ 0 };
	run(w, WINDOW);
	quiet = w->traffic;
	disturb(w);
	store_return(w, lost);
	w->traffic = (struct traffic){ 0 };
	if (second) {
		run(w, 2 * USEC_PER_SEC);
		store_return(w, second);
	}
	run(w, WINDOW);
	g_test_message("%s, %d and %d s lost, seed %u: %" G_GUINT64_FORMAT
		       " frames, %" G_GUINT64_FORMAT
		       " bytes, %u lists after the return; %" G_GUINT64_FORMAT
		       " frames, %" G_GUINT64_FORMAT " bytes, %u lists in 5 quiet seconds",
		       naive ? "naive" : "eras", (int)(lost / USEC_PER_SEC),
		       (int)(second / USEC_PER_SEC), seed, w->traffic.frames, w->traffic.bytes,
		       w->traffic.lists, quiet.frames, quiet.bytes, quiet.lists);
	w->writes = false;
	run(w, SETTLED - WINDOW + IN_FORCE);
	check(w, true);
	g_test_message("worst time to be known %.1f s; %u changes late at %u checks, %u earlier "
		       "states, %u differ at the end",
		       (double)w->worst / USEC_PER_SEC, g_hash_table_size(w->late_changes), w->late,
		       w->reverted, w->differ);
	for (struct frame *f; (f = g_queue_pop_head(&w->frames)); g_free(f))
		g_bytes_unref(f->bytes);
	for (uint32_t i = 0; i < INSTANCES; i++)
		feed_free(w->nodes[i].feed);
	g_hash_table_unref(w->late_changes);
}

/*
 * @p: seconds lost by the first return, and by a second one times 100. The environment variable
 * FLEET_SEED plays another seed.
 */
static void test_eras(gconstpointer p)
{
	g_autofree struct world *w = g_new(struct world, 1);
	uint32_t lost = GPOINTER_TO_UINT(p);
	const char *chosen = g_getenv("FLEET_SEED");
	uint32_t seed = chosen ? (uint32_t)g_ascii_strtoull(chosen, NULL, 10) : 100 + lost;

	play(w, false, seed, lost % 100 * USEC_PER_SEC, lost / 100 * USEC_PER_SEC);
	g_assert_cmpuint(w->reverted, ==, 0);
	g_assert_cmpuint(w->late, ==, 0);
	g_assert_cmpuint(w->differ, ==, 0);
}

/* Shows that the checks see the fault that eras prevent. */
static void test_naive(void)
{
	g_autofree struct world *w = g_new(struct world, 1);

	play(w, true, 105, 5 * USEC_PER_SEC, 0);
	g_assert_cmpuint(w->late, >, 0);
	g_assert_cmpuint(w->reverted + w->differ, >, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* Guard against changes that are lost and earlier states that are taken after a return. */
	g_test_add_data_func("/feed-fleet/lost-1", GUINT_TO_POINTER(1), test_eras);
	g_test_add_data_func("/feed-fleet/lost-5", GUINT_TO_POINTER(5), test_eras);
	g_test_add_data_func("/feed-fleet/lost-30", GUINT_TO_POINTER(30), test_eras);
	g_test_add_data_func("/feed-fleet/second-return", GUINT_TO_POINTER(305), test_eras);
	g_test_add_func("/feed-fleet/naive", test_naive);
	return g_test_run();
}
