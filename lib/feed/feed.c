#include "feed/feed_priv.h"

#include <errno.h>
#include <string.h>

#include "base/base.h"
#include "feed/feed_pack.h"

/*
 * A change has to be in force within two seconds. One digest a second would be enough for that;
 * four a second detect an unresponsive store reader early enough to choose another one.
 */
#define DIGEST_INTERVAL (250 * USEC_PER_MSEC)
/*
 * Shortest outage in which entries may expire, see feed_set_store_state(). An entry expires three
 * heartbeats after its last renewal, which was at most one heartbeat before the outage. So no entry
 * expires in an outage of less than two heartbeats; a quarter less allows for heartbeat jitter. An
 * instance that starts to read the store had no confirmation for 1.1 s or more, which alone is not
 * an outage of the store.
 */
#define MIN_OUTAGE_HEARTBEATS	1.5
#define ENTRY_EXPIRY_HEARTBEATS 3 /* from the last renewal of an entry to its removal */
#define PULL_TIMEOUT		(500 * USEC_PER_MSEC) /* after which a pull is sent again */
/*
 * The initial delta may take seconds on a link that many starting instances share, and repeated
 * pulls would multiply that traffic. Before this timeout a starting instance
 * reads the store; see START_WAIT_WITH_PEERS.
 */
#define INITIAL_PULL_TIMEOUT (5 * USEC_PER_SEC)
/*
 * Shorter texts are not compressed. Of longer ones, such as a configuration of many routes, each
 * store reader sends a copy to tens of instances, whose links have as little as 10 Mbit/s.
 */
#define PACK_MIN_BYTES 4096U
#define FEED_TEXT_MAX  (4U << 20) /* bytes of a text received; the store takes values of 1 MB */
/* Fraction of a store reader's link that deltas to starting instances may use. */
#define INITIAL_DELTA_LINK_FRACTION 0.5
/* Objects in a delta, and with more of the same revision; leave room for the header. */
#define DELTA_BYTES	(FEED_FRAME_MAX - 128U * 1024U)
#define DELTA_BYTES_MAX (FEED_FRAME_MAX - 256U)

static void free_peer(gpointer p)
{
	struct peer *peer = p;

	g_free(peer->address);
	g_free(peer->domain);
	g_free(peer);
}

struct feed *feed_new(const struct feed_params *p, const struct feed_ops *ops, void *arg,
		      int64_t now)
{
	struct feed *f = g_new0(struct feed, 1);

	f->address = g_strdup(p->address);
	f->domain = g_strdup(p->domain);
	f->capacity = p->capacity;
	f->n_kinds = MIN(p->n_kinds, FEED_KINDS_MAX);
	f->min_outage = (int64_t)(MIN_OUTAGE_HEARTBEATS * (double)p->heartbeat);
	f->initial_delta_budget.rate = INITIAL_DELTA_LINK_FRACTION * p->capacity * 1e6 / 8;
	f->initial_delta_budget.burst = f->initial_delta_budget.rate;
	f->initial_delta_budget.left = f->initial_delta_budget.burst;
	f->expiry_time = ENTRY_EXPIRY_HEARTBEATS * p->heartbeat;
	f->versioned_kinds = p->versioned_kinds;
	f->copy_max = UINT64_MAX;
	f->rank = hash_str(p->address);
	f->ops = ops;
	f->arg = arg;
	f->peers = g_ptr_array_new_with_free_func(free_peer);
	f->loads = feed_loads_new();
	f->locations = feed_locations_new(FEED_LOCATION_RATE, FEED_LOCATION_MAX);
	f->streams = feed_locations_new(FEED_STREAM_RATE, FEED_STREAM_MAX);
	f->crashes = feed_crashes_new();
	rng_seed(&f->rng, p->seed);
	f->jitter = rng_unit(&f->rng);
	f->next_digest_at = now; /* a starting instance sends digests immediately */
	f->started_at = now;
	for (uint32_t i = 0; i < FEED_KINDS_MAX; i++)
		f->kinds[i].objects =
			g_hash_table_new_full(g_str_hash, g_str_equal, NULL, feed_object_free);
	return f;
}

void feed_free(struct feed *f)
{
	if (!f)
		return;
	for (uint32_t i = 0; i < FEED_KINDS_MAX; i++)
		g_hash_table_unref(f->kinds[i].objects);
	feed_loads_free(f->loads);
	feed_locations_free(f->locations);
	feed_locations_free(f->streams);
	feed_crashes_free(f->crashes);
	g_ptr_array_unref(f->peers);
	g_free(f->address);
	g_free(f->domain);
	g_free(f);
}

void feed_report_load(struct feed *f, uint64_t key, uint32_t running, uint32_t waiting, int64_t now)
{
	struct feed_load l = { key, running, waiting, 0, 0 };

	feed_loads_apply(f->loads, &l, f->is_reader, now);
}

void feed_report_cache_location(struct feed *f, uint64_t part, uint64_t upstream, uint32_t tokens,
				int64_t now)
{
	struct feed_cache_location l = { part, upstream, tokens, 0 };

	feed_locations_apply(f->locations, &l, f->is_reader, now);
}

void feed_report_stream(struct feed *f, uint64_t id, uint64_t build, int64_t now)
{
	struct feed_cache_location l = { id, build, 0, 0 };

	feed_locations_apply(f->streams, &l, f->is_reader, now);
}

uint32_t feed_stream_room(const struct feed *f)
{
	return feed_locations_room(f->streams);
}

void feed_report_crash(struct feed *f, const struct feed_crash *c, int64_t now)
{
	struct feed_crash own = *c;

	own.hops = 0;
	feed_crashes_apply(f->crashes, &own, f->is_reader, now);
}

static struct peer *find_peer(const struct feed *f, const char *address)
{
	for (guint i = 0; i < f->peers->len; i++) {
		struct peer *p = f->peers->pdata[i];

		if (strcmp(p->address, address) == 0)
			return p;
	}
	return NULL;
}

void feed_set_instances(struct feed *f, const struct feed_instance *list, uint32_t n)
{
	GPtrArray *old_peers = f->peers;

	f->peers = g_ptr_array_new_with_free_func(free_peer);
	for (uint32_t i = 0; i < n; i++) {
		struct peer *p;
		struct peer *previous = NULL;

		if (strcmp(list[i].address, f->address) == 0 ||
		    strlen(list[i].address) >= FEED_ADDRESS_MAX || find_peer(f, list[i].address))
			continue;
		for (guint k = 0; k < old_peers->len && !previous; k++) {
			struct peer *o = old_peers->pdata[k];

			if (strcmp(o->address, list[i].address) == 0)
				previous = o;
		}
		p = g_new0(struct peer, 1);
		if (previous)
			*p = *previous;
		p->address = g_strdup(list[i].address);
		p->domain = g_strdup(list[i].domain);
		p->capacity = list[i].capacity;
		p->rank = hash_str(p->address);
		g_ptr_array_add(f->peers, p);
	}
	memset(f->readers, 0, sizeof(f->readers));
	g_ptr_array_unref(old_peers);
}

uint32_t feed_instance_count(const struct feed *f)
{
	return f->peers->len + 1;
}

int64_t feed_confirmation_age(const struct feed *f, int64_t now)
{
	if (f->store_ok)
		return MAX(now - f->store_answered_at, 0);
	return f->confirmed_at ? MAX(now - f->confirmed_at, 0) : INT64_MAX;
}

bool feed_is_store_reader(const struct feed *f)
{
	return f->is_reader;
}

/* Rows collected for a digest. */
struct row_counts {
	uint32_t loads;
	uint32_t locations;
	uint32_t streams;
	uint32_t crashes;
};

/*
 * Revision of a kind in digests. A kind without objects has at least 1, so that starting peers pull
 * its empty list. One that is complete in an era has at least the first revision of it, so that
 * peers learn of the era.
 */
static uint64_t advertised_revision(const struct feed *f, uint32_t kind)
{
	const struct kind *k = &f->kinds[kind];
	uint64_t least = k->complete_revision ? 1 : 0;

	if (!feed_is_versioned(f, kind))
		least = MAX(least, revision_make(revision_era(k->complete_revision), 0));
	return MAX(k->newest_revision, least);
}

static void send_digest(struct feed *f, struct peer *p, const struct row_counts *n, int64_t now)
{
	int64_t age = feed_confirmation_age(f, now);
	uint32_t age_ms =
		age == INT64_MAX ? FEED_AGE_NEVER : (uint32_t)MIN(age / USEC_PER_MSEC, G_MAXINT32);
	uint64_t newest_revision[FEED_KINDS_MAX];
	msgpack_sbuffer out;

	for (uint32_t i = 0; i < f->n_kinds; i++)
		newest_revision[i] = advertised_revision(f, i);
	msgpack_sbuffer_init(&out);
	feed_wire_digest(&out, f->address,
			 &(struct feed_digest){ .age_ms = age_ms,
						.newest_revision = newest_revision,
						.n_kinds = f->n_kinds,
						.loads = f->digest_loads,
						.n_loads = n->loads,
						.locations = f->digest_locations,
						.n_locations = n->locations,
						.streams = f->digest_streams,
						.n_streams = n->streams,
						.crashes = f->digest_crashes,
						.n_crashes = n->crashes });
	f->ops->send(f->arg, p->address, out.data, out.size);
	msgpack_sbuffer_destroy(&out);
}

/*
 * Sends one digest to each peer of the same domain that has not sent a frame yet, once the watches
 * of the store work. Such a peer may not know any instance; it pulls what it lacks from the sender
 * of the digest. Each domain has its own senders of initial digests, which spreads the deltas.
 */
static void send_initial_digests(struct feed *f, int64_t now)
{
	if (!f->store_ok || f->initial_digests_sent)
		return;
	f->initial_digests_sent = true;
	for (guint i = 0; f->ops->find_instances && i < f->peers->len; i++) {
		struct peer *p = f->peers->pdata[i];

		if (strcmp(p->domain, f->domain) == 0 && !p->received_at)
			send_digest(f, p, &(struct row_counts){ 0 }, now);
	}
}

static bool is_followed_reader(const struct feed *f, const struct peer *p)
{
	for (uint32_t i = 0; i < FOLLOWED_READERS; i++) {
		if (f->readers[i] == p)
			return true;
	}
	return false;
}

static void send_digests(struct feed *f, int64_t now)
{
	struct row_counts n;

	if (now < f->next_digest_at && !feed_loads_risen(f->loads) &&
	    !feed_crashes_urgent(f->crashes))
		return;
	/* Random, so that instances which started together do not stay in step. */
	f->next_digest_at =
		now + DIGEST_INTERVAL - (int64_t)rng_below(&f->rng, DIGEST_INTERVAL / 16);
	n.loads = feed_loads_collect(f->loads, f->digest_loads, now);
	n.locations = feed_locations_collect(f->locations, f->digest_locations, now);
	n.streams = feed_locations_collect(f->streams, f->digest_streams, now);
	n.crashes = feed_crashes_collect(f->crashes, f->digest_crashes, now);
	for (guint i = 0; i < f->peers->len; i++) {
		struct peer *p = f->peers->pdata[i];
		bool followed = is_followed_reader(f, p);

		if (!followed && !p->is_subscriber)
			continue;
		send_digest(f, p, &n, now);
		if (followed && !p->unanswered_since)
			p->unanswered_since = now;
		/* An inactive subscriber is removed until it sends a digest again. */
		if (p->received_at && now - p->received_at > PEER_SKIP_TIME)
			p->is_subscriber = false;
	}
}

const char *feed_sender(struct feed *f, const void *frame, size_t len)
{
	struct feed_message m;
	int rc = feed_wire_parse(frame, len, &m);

	if (rc == 0)
		g_strlcpy(f->sender, m.address, sizeof(f->sender));
	feed_wire_clear(&m);
	return rc == 0 ? f->sender : NULL;
}

/*
 * Whether this instance has read the store in an era without knowing what was known before: the
 * store's list may be of the copy.
 */
static bool lacks_earlier_eras(const struct feed *f, uint32_t kind, int64_t now)
{
	return !feed_is_versioned(f, kind) && !f->kinds[kind].has_earlier_eras &&
	       now < f->unsettled_until;
}

static void pull(struct feed *f, const char *address, uint32_t kind, int64_t now)
{
	struct kind *k = &f->kinds[kind];
	uint64_t since = lacks_earlier_eras(f, kind, now) ? 0 : k->complete_revision;
	msgpack_sbuffer out;

	if (k->pull_sent_at &&
	    now - k->pull_sent_at < (k->complete_revision ? PULL_TIMEOUT : INITIAL_PULL_TIMEOUT))
		return;
	k->pull_sent_at = now;
	msgpack_sbuffer_init(&out);
	feed_wire_pull(&out, f->address, kind, since);
	f->ops->send(f->arg, address, out.data, out.size);
	msgpack_sbuffer_destroy(&out);
}

void feed_tick(struct feed *f, int64_t now)
{
	feed_end_deferred_changes(f, now);
	feed_find_peers(f, now);
	feed_choose_readers(f, now);
	feed_choose_role(f, now);
	feed_check_store(f, now);
	send_initial_digests(f, now);
	send_digests(f, now);
}

static int apply_loads(struct feed *f, const struct feed_message *m, int64_t now)
{
	for (uint32_t i = 0; i < m->n_loads; i++) {
		struct feed_load l;

		if (feed_wire_load(m, i, &l) < 0)
			return -EBADMSG;
		if (feed_loads_apply(f->loads, &l, f->is_reader, now))
			f->ops->load(f->arg, &l);
	}
	return 0;
}

static int apply_cache_locations(struct feed *f, const struct feed_message *m, int64_t now)
{
	for (uint32_t i = 0; i < m->n_locations; i++) {
		struct feed_cache_location l;

		if (feed_wire_cache_location(m, i, &l) < 0)
			return -EBADMSG;
		if (feed_locations_apply(f->locations, &l, f->is_reader, now) &&
		    f->ops->cache_location)
			f->ops->cache_location(f->arg, &l);
	}
	return 0;
}

static int apply_streams(struct feed *f, const struct feed_message *m, int64_t now)
{
	for (uint32_t i = 0; i < m->n_streams; i++) {
		struct feed_cache_location l;

		if (feed_wire_stream(m, i, &l) < 0)
			return -EBADMSG;
		if (feed_locations_apply(f->streams, &l, f->is_reader, now) && f->ops->stream)
			f->ops->stream(f->arg, l.part, l.upstream);
	}
	return 0;
}

static int apply_crashes(struct feed *f, const struct feed_message *m, int64_t now)
{
	for (uint32_t i = 0; i < m->n_crashes; i++) {
		struct feed_crash c;

		if (feed_wire_crash(m, i, &c) < 0)
			return -EBADMSG;
		if (feed_crashes_apply(f->crashes, &c, f->is_reader, now) && f->ops->crash)
			f->ops->crash(f->arg, &c);
	}
	return 0;
}

static int on_digest(struct feed *f, const struct feed_message *m, int64_t now)
{
	struct peer *p = find_peer(f, m->address);

	/* A new subscriber may be a starting instance: it gets a digest immediately. */
	if (p && !p->is_subscriber) {
		p->is_subscriber = true;
		send_digest(f, p, &(struct row_counts){ 0 }, now);
	}
	if (m->age_ms != FEED_AGE_NEVER) {
		f->heard_at = now;
		f->confirmed_at = MAX(f->confirmed_at, now - (int64_t)m->age_ms * USEC_PER_MSEC);
	}
	for (uint32_t i = 0; i < MIN(m->n_kinds, f->n_kinds); i++) {
		if (!feed_is_versioned(f, i))
			feed_set_era(f, revision_era(m->newest_revision[i]), "peer", now);
		/* A peer without a confirmation is starting too and has no complete state. */
		if ((m->newest_revision[i] > f->kinds[i].complete_revision ||
		     lacks_earlier_eras(f, i, now)) &&
		    (f->kinds[i].complete_revision || m->age_ms != FEED_AGE_NEVER))
			pull(f, m->address, i, now);
	}
	if (apply_loads(f, m, now) < 0 || apply_cache_locations(f, m, now) < 0 ||
	    apply_streams(f, m, now) < 0)
		return -EBADMSG;
	return apply_crashes(f, m, now);
}

/* Adds an object to a delta; a long text is compressed once and sent to all peers like that. */
static void add_object(msgpack_sbuffer *out, struct object *o)
{
	struct feed_object entry = { .name = o->name,
				     .name_len = strlen(o->name),
				     .revision = o->revision,
				     .text = o->text,
				     .text_len = o->text ? strlen(o->text) : 0 };

	if (entry.text_len >= PACK_MIN_BYTES) {
		if (!o->packed)
			o->packed = feed_pack(o->text, entry.text_len);
		entry.is_packed = true;
		entry.text = g_bytes_get_data(o->packed, &entry.text_len);
	}
	feed_wire_add_object(out, &entry);
}

/* Deducts @len bytes from the budget for initial deltas; false if it is used up. */
static bool spend_initial_budget(struct feed *f, size_t len, int64_t now)
{
	/* A delta may exceed what is left, or a slow link could never send a large state. */
	if (bucket_refill(&f->initial_delta_budget, now) <= 0)
		return false;
	f->initial_delta_budget.left -= (double)len;
	return true;
}

static gint by_revision(gconstpointer a, gconstpointer b)
{
	const struct object *x = *(struct object *const *)a;
	const struct object *y = *(struct object *const *)b;

	return x->revision < y->revision ? -1 : x->revision > y->revision;
}

/* Objects of @k that changed after @since, oldest change first. */
static GPtrArray *list_changes(const struct kind *k, uint64_t since)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, k->objects);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (((struct object *)p)->revision > since)
			g_ptr_array_add(list, p);
	}
	g_ptr_array_sort(list, by_revision);
	return list;
}

/*
 * Packs as many objects of @list as fit in a frame; returns the number of list elements that are
 * done with. An object that fits in no frame is left out: it must not hold up the others.
 */
static guint pack_changes(msgpack_sbuffer *out, const GPtrArray *list, uint32_t *n_packed)
{
	const struct object *last = NULL;

	*n_packed = 0;
	for (guint i = 0; i < list->len; i++) {
		struct object *o = list->pdata[i];
		size_t before = out->size;
		/* Changes with the same revision, deletions that a list showed, stay together. */
		bool same = last && last->revision == o->revision;

		add_object(out, o);
		if (out->size <= (same ? DELTA_BYTES_MAX : DELTA_BYTES)) {
			(*n_packed)++;
			last = o;
			continue;
		}
		out->size = before;
		if (last && !same)
			return i;
		ctr_add(ctr_get("feed_objects_too_large_total"), 1);
	}
	return list->len;
}

/*
 * Sends the changes after m->since, as many as fit in a frame; the peer pulls the others. An initial
 * delta (since 0) is not sent while the budget is used up.
 */
static void on_pull(struct feed *f, const struct feed_message *m, int64_t now)
{
	struct kind *k = &f->kinds[m->kind];
	g_autoptr(GPtrArray) list = NULL;
	msgpack_sbuffer body;
	msgpack_sbuffer out;
	uint64_t up_to = feed_delta_revision(k);
	/* The peer gets deletions that may be unknown here from other store readers. */
	bool lacks_deletions = m->since && m->since < k->first_revision && now < k->first_until;
	uint32_t n_packed;
	guint n;

	/* An incomplete state is of no use to the peer. */
	if (!k->complete_revision)
		return;
	list = list_changes(k, m->since);
	msgpack_sbuffer_init(&body);
	msgpack_sbuffer_init(&out);
	n = pack_changes(&body, list, &n_packed);
	if (n < list->len)
		up_to = MIN(up_to, ((struct object *)list->pdata[n - 1])->revision);
	if (lacks_deletions && !feed_is_versioned(f, m->kind))
		up_to = m->since;
	feed_wire_delta(&out, f->address, m->kind, m->since, up_to, n_packed);
	msgpack_sbuffer_write(&out, body.data, body.size);
	if (m->since || spend_initial_budget(f, out.size, now))
		f->ops->send(f->arg, m->address, out.data, out.size);
	msgpack_sbuffer_destroy(&body);
	msgpack_sbuffer_destroy(&out);
}

/*
 * Whether an object that is unknown here was deleted: all changes up to the complete revision are
 * known, so one of that time that came late has a deletion which is forgotten or was never seen.
 */
static bool was_deleted(const struct kind *k, const char *name, uint64_t revision)
{
	return revision <= k->complete_revision && !g_hash_table_contains(k->objects, name);
}

static int on_delta(struct feed *f, const struct feed_message *m, int64_t now)
{
	struct kind *k = &f->kinds[m->kind];
	bool has_changes = false;

	k->pull_sent_at = 0;
	for (uint32_t i = 0; i < m->n_objects; i++) {
		struct feed_object o;
		g_autofree char *name = NULL;
		g_autofree char *text = NULL;

		if (feed_wire_object(m, i, &o) < 0)
			return -EBADMSG;
		name = g_strndup(o.name, o.name_len);
		if (o.is_packed)
			text = feed_unpack(o.text, o.text_len, FEED_TEXT_MAX);
		else if (o.text)
			text = g_strndup(o.text, o.text_len);
		if (o.text && !text)
			return -EBADMSG;
		if (!was_deleted(k, name, o.revision))
			has_changes |=
				feed_apply_object(f, m->kind, name, text, o.revision, "peer", now);
	}
	if (!m->since)
		k->has_earlier_eras = true;
	if (m->since <= k->complete_revision)
		feed_advance_complete(f, m->kind, m->up_to, now);
	if (has_changes)
		feed_expedite_digests(f);
	return 0;
}

int feed_receive(struct feed *f, const void *frame, size_t len, int64_t now)
{
	struct feed_message m;
	struct peer *p;
	int rc = feed_wire_parse(frame, len, &m);

	if (rc == 0 && m.type != FEED_DIGEST && m.kind >= f->n_kinds)
		rc = -EBADMSG;
	if (rc == 0) {
		p = find_peer(f, m.address);
		if (p) {
			p->received_at = now;
			p->unanswered_since = 0;
			p->skip_until = 0;
		}
		if (m.type == FEED_DIGEST)
			rc = on_digest(f, &m, now);
		else if (m.type == FEED_PULL)
			on_pull(f, &m, now);
		else
			rc = on_delta(f, &m, now);
	}
	feed_wire_clear(&m);
	return rc;
}

void feed_disconnected(struct feed *f, const char *address, int64_t now)
{
	struct peer *p = find_peer(f, address);

	if (!p)
		return;
	/* Shorter than for an inactive peer: it usually restarts or reconnects quickly. */
	p->skip_until = now + PEER_SKIP_TIME / 5;
	p->unanswered_since = 0;
	for (uint32_t i = 0; i < f->n_kinds; i++)
		f->kinds[i].pull_sent_at = 0;
}
