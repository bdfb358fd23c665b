#include "feed/feed_priv.h"

#include <errno.h>
#include <string.h>

#include "base/base.h"

/*
 * A change has to be in force within two seconds. Digests twice in that time would do; four a
 * second find a silent partner soon enough to turn to another one.
 */
#define DIGEST_EVERY (250 * USEC_PER_MSEC)
/*
 * See feed_set_store_state(). An entry lapses after three heartbeats of silence, and its owner wrote one
 * heartbeat before the outage at the most. So an outage of less than two lapses nothing; a quarter is
 * taken off, as heartbeats vary. Whoever turns to the store has heard nothing for 1.1 s or more, which
 * is no outage of the store by itself.
 */
#define OUTAGE_HEARTBEATS 1.5
#define PULL_AGAIN	  (500 * USEC_PER_MSEC) /* an unanswered pull is sent again */
/*
 * Everything that an instance lacks at its start may take seconds on a link that many of them share;
 * pulls that are sent again meanwhile would multiply it. Who waits longer reads the store.
 */
#define PULL_ALL_AGAIN (5 * USEC_PER_SEC)
/* Part of a reader's link that instances which start may take. */
#define START_SHARE 0.5

static void partner_free(gpointer p)
{
	struct partner *n = p;

	g_free(n->address);
	g_free(n->domain);
	g_free(n);
}

struct feed *feed_new(const struct feed_params *p, const struct feed_ops *ops, void *arg,
		      int64_t now)
{
	struct feed *f = g_new0(struct feed, 1);

	f->address = g_strdup(p->address);
	f->domain = g_strdup(p->domain);
	f->capacity = p->capacity;
	f->n_kinds = MIN(p->n_kinds, FEED_KINDS_MAX);
	f->outage_min = (int64_t)(OUTAGE_HEARTBEATS * (double)p->heartbeat);
	f->start_bytes.rate = START_SHARE * p->capacity * 1e6 / 8;
	f->start_bytes.burst = f->start_bytes.rate;
	f->start_bytes.left = f->start_bytes.burst;
	f->rank = hash_str(p->address);
	f->ops = ops;
	f->arg = arg;
	f->partners = g_ptr_array_new_with_free_func(partner_free);
	f->loads = feed_loads_new();
	f->helds = feed_locations_new();
	rng_seed(&f->rng, p->seed);
	f->jitter = rng_unit(&f->rng);
	f->digest_at = now; /* an instance that starts asks at once */
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
	feed_locations_free(f->helds);
	g_ptr_array_unref(f->partners);
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
	struct feed_cache_location h = { part, upstream, tokens, 0 };

	feed_locations_apply(f->helds, &h, f->is_reader, now);
}

static struct partner *find_partner(const struct feed *f, const char *address)
{
	for (guint i = 0; i < f->partners->len; i++) {
		struct partner *n = f->partners->pdata[i];

		if (strcmp(n->address, address) == 0)
			return n;
	}
	return NULL;
}

void feed_set_instances(struct feed *f, const struct feed_instance *list, uint32_t n)
{
	GPtrArray *old = f->partners;

	f->partners = g_ptr_array_new_with_free_func(partner_free);
	for (uint32_t i = 0; i < n; i++) {
		struct partner *p;
		struct partner *was = NULL;

		if (strcmp(list[i].address, f->address) == 0 ||
		    strlen(list[i].address) >= FEED_ADDRESS_MAX || find_partner(f, list[i].address))
			continue;
		for (guint k = 0; k < old->len && !was; k++) {
			struct partner *o = old->pdata[k];

			if (strcmp(o->address, list[i].address) == 0)
				was = o;
		}
		p = g_new0(struct partner, 1);
		if (was)
			*p = *was;
		p->address = g_strdup(list[i].address);
		p->domain = g_strdup(list[i].domain);
		p->capacity = list[i].capacity;
		p->rank = hash_str(p->address);
		g_ptr_array_add(f->partners, p);
	}
	memset(f->readers, 0, sizeof(f->readers));
	g_ptr_array_unref(old);
}

uint32_t feed_instance_count(const struct feed *f)
{
	return f->partners->len + 1;
}

int64_t feed_confirmation_age(const struct feed *f, int64_t now)
{
	if (f->store_ok)
		return MAX(now - f->proved_at, 0);
	return f->confirmed_at ? MAX(now - f->confirmed_at, 0) : INT64_MAX;
}

bool feed_is_store_reader(const struct feed *f)
{
	return f->is_reader;
}

static void send_digest(struct feed *f, struct partner *n, uint32_t n_loads, uint32_t n_held,
			int64_t now)
{
	int64_t age = feed_confirmation_age(f, now);
	uint32_t age_ms =
		age == INT64_MAX ? FEED_AGE_NEVER : (uint32_t)MIN(age / USEC_PER_MSEC, G_MAXINT32);
	uint64_t changed[FEED_KINDS_MAX];
	msgpack_sbuffer out;

	for (uint32_t i = 0; i < f->n_kinds; i++)
		changed[i] = f->kinds[i].changed;
	msgpack_sbuffer_init(&out);
	feed_wire_digest(&out, f->address,
			 &(struct feed_digest){ .age_ms = age_ms,
						.changed = changed,
						.n_kinds = f->n_kinds,
						.loads = f->fresh,
						.n_loads = n_loads,
						.held = f->fresh_held,
						.n_held = n_held });
	f->ops->send(f->arg, n->address, out.data, out.size);
	msgpack_sbuffer_destroy(&out);
}

/*
 * The others of the domain may know nobody yet: each that lacks something asks the sender of the
 * digest for it. Other domains have greeters of their own, which spreads the answers.
 */
static void greet_domain(struct feed *f, int64_t now)
{
	if (!f->store_ok || f->has_greeted)
		return;
	f->has_greeted = true;
	for (guint i = 0; f->ops->find_instances && i < f->partners->len; i++) {
		struct partner *n = f->partners->pdata[i];

		if (strcmp(n->domain, f->domain) == 0 && !n->heard_at)
			send_digest(f, n, 0, 0, now);
	}
}

static bool is_reader_of_mine(const struct feed *f, const struct partner *n)
{
	for (uint32_t i = 0; i < PARTNERS; i++) {
		if (f->readers[i] == n)
			return true;
	}
	return false;
}

static void send_digests(struct feed *f, int64_t now)
{
	uint32_t n_loads;
	uint32_t n_held;

	if (now < f->digest_at && !feed_loads_risen(f->loads))
		return;
	/* Instances that started together drift apart. */
	f->digest_at = now + DIGEST_EVERY - (int64_t)rng_below(&f->rng, DIGEST_EVERY / 16);
	n_loads = feed_loads_collect(f->loads, f->fresh, now);
	n_held = feed_locations_collect(f->helds, f->fresh_held, now);
	for (guint i = 0; i < f->partners->len; i++) {
		struct partner *n = f->partners->pdata[i];
		bool mine = is_reader_of_mine(f, n);

		if (!mine && !n->listens)
			continue;
		send_digest(f, n, n_loads, n_held, now);
		if (mine && !n->asked_at)
			n->asked_at = now;
		/* Whoever stops to listen is forgotten until it asks again. */
		if (n->heard_at && now - n->heard_at > DEAD_FOR)
			n->listens = false;
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

static void pull(struct feed *f, const char *address, uint32_t kind, int64_t now)
{
	struct kind *k = &f->kinds[kind];
	msgpack_sbuffer out;

	if (k->pulled_at && now - k->pulled_at < (k->complete ? PULL_AGAIN : PULL_ALL_AGAIN))
		return;
	k->pulled_at = now;
	msgpack_sbuffer_init(&out);
	feed_wire_pull(&out, f->address, kind, k->complete);
	f->ops->send(f->arg, address, out.data, out.size);
	msgpack_sbuffer_destroy(&out);
}

void feed_tick(struct feed *f, int64_t now)
{
	feed_end_deferred_deletions(f, now);
	feed_find_peers(f, now);
	feed_choose_readers(f, now);
	feed_choose_role(f, now);
	feed_check_store(f, now);
	greet_domain(f, now);
	send_digests(f, now);
}

static int take_loads(struct feed *f, const struct feed_message *m, int64_t now)
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

static int take_held(struct feed *f, const struct feed_message *m, int64_t now)
{
	for (uint32_t i = 0; i < m->n_held; i++) {
		struct feed_cache_location h;

		if (feed_wire_cache_location(m, i, &h) < 0)
			return -EBADMSG;
		if (feed_locations_apply(f->helds, &h, f->is_reader, now) && f->ops->cache_location)
			f->ops->cache_location(f->arg, &h);
	}
	return 0;
}

static int on_digest(struct feed *f, const struct feed_message *m, int64_t now)
{
	struct partner *n = find_partner(f, m->address);

	/* Who begins to listen, as an instance that starts, is answered at once. */
	if (n && !n->listens) {
		n->listens = true;
		send_digest(f, n, 0, 0, now);
	}
	if (m->age_ms != FEED_AGE_NEVER)
		f->confirmed_at = MAX(f->confirmed_at, now - (int64_t)m->age_ms * USEC_PER_MSEC);
	for (uint32_t i = 0; i < MIN(m->n_kinds, f->n_kinds); i++) {
		/* Who has nothing confirmed is starting as well and can't give everything. */
		if (m->changed[i] > f->kinds[i].complete &&
		    (f->kinds[i].complete || m->age_ms != FEED_AGE_NEVER))
			pull(f, m->address, i, now);
	}
	if (take_loads(f, m, now) < 0)
		return -EBADMSG;
	return take_held(f, m, now);
}

/* Whether an instance that starts may be sent @len bytes; they are taken off what is left. */
static bool may_send_all(struct feed *f, size_t len, int64_t now)
{
	/* The last one may overdraw, so that a slow link can serve a large state at all. */
	if (bucket_refill(&f->start_bytes, now) <= 0)
		return false;
	f->start_bytes.left -= (double)len;
	return true;
}

/* All that changed after @since; a delta that would exceed a frame is not sent. */
static void on_pull(struct feed *f, const struct feed_message *m, int64_t now)
{
	struct kind *k = &f->kinds[m->kind];
	msgpack_sbuffer out;
	GHashTableIter it;
	gpointer p;
	uint32_t n = 0;

	/* What is not known whole helps nobody. */
	if (!k->complete)
		return;
	g_hash_table_iter_init(&it, k->objects);
	while (g_hash_table_iter_next(&it, NULL, &p))
		n += ((struct object *)p)->revision > m->since;
	msgpack_sbuffer_init(&out);
	feed_wire_delta(&out, f->address, m->kind, m->since, feed_delta_revision(k), n);
	g_hash_table_iter_init(&it, k->objects);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct object *o = p;

		if (o->revision > m->since)
			feed_wire_add_object(&out, o->name, o->revision, o->text);
	}
	if (out.size <= FEED_FRAME_MAX && (m->since || may_send_all(f, out.size, now)))
		f->ops->send(f->arg, m->address, out.data, out.size);
	msgpack_sbuffer_destroy(&out);
}

static int on_delta(struct feed *f, const struct feed_message *m, int64_t now)
{
	struct kind *k = &f->kinds[m->kind];
	bool news = false;

	k->pulled_at = 0;
	for (uint32_t i = 0; i < m->n_objects; i++) {
		struct feed_object o;
		g_autofree char *name = NULL;
		g_autofree char *text = NULL;

		if (feed_wire_object(m, i, &o) < 0)
			return -EBADMSG;
		name = g_strndup(o.name, o.name_len);
		text = o.text ? g_strndup(o.text, o.text_len) : NULL;
		news |= feed_apply_object(f, m->kind, name, text, o.revision, "peer", now);
	}
	if (m->since <= k->complete)
		feed_advance_complete(f, m->kind, m->upto);
	if (news)
		feed_expedite_digests(f);
	return 0;
}

int feed_receive(struct feed *f, const void *frame, size_t len, int64_t now)
{
	struct feed_message m;
	struct partner *n;
	int rc = feed_wire_parse(frame, len, &m);

	if (rc == 0 && m.type != FEED_DIGEST && m.kind >= f->n_kinds)
		rc = -EBADMSG;
	if (rc == 0) {
		n = find_partner(f, m.address);
		if (n) {
			n->heard_at = now;
			n->asked_at = 0;
			n->dead_until = 0;
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
	struct partner *n = find_partner(f, address);

	if (!n)
		return;
	n->dead_until = now + DEAD_FOR / 5;
	n->asked_at = 0;
	for (uint32_t i = 0; i < f->n_kinds; i++)
		f->kinds[i].pulled_at = 0;
}
