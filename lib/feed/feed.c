#include "feed/feed.h"

#include <errno.h>
#include <string.h>

#include "base/base.h"
#include "base/bucket.h"
#include "feed/feed_held.h"
#include "feed/feed_load.h"
#include "feed/feed_wire.h"

/*
 * A change has to be in force within two seconds. Digests twice in that time would do; four a
 * second find a silent partner soon enough to turn to another one.
 */
#define DIGEST_EVERY (250 * USEC_PER_MSEC)
/* A check of the store costs a tenth of a call. */
#define CHECK_EVERY (400 * USEC_PER_MSEC)
/*
 * Without a confirmation for this long an instance reads the store itself. A proof is a check, a
 * digest and an answer of a slow store (240 ms) old, 0.9 s at most.
 */
#define AGE_LIMIT (1100 * USEC_PER_MSEC)
/*
 * Spreads the instances that turn to the store: about fifteen a second, so that one that the store
 * serves is found soon and a store that is down is not asked by all.
 */
#define JITTER_MIN  (600 * USEC_PER_MSEC)
#define JITTER_EACH (60 * USEC_PER_MSEC)
/* An instance that need not read the store stops once others were confirmed for this long. */
#define STEADY (1 * USEC_PER_SEC)
/* A silent partner is passed over for this long. */
#define DEAD_FOR   (5 * USEC_PER_SEC)
#define SILENT_FOR (1000 * USEC_PER_MSEC)
#define PULL_AGAIN (500 * USEC_PER_MSEC) /* an unanswered pull is sent again */
/*
 * Everything that an instance lacks at its start may take seconds on a link that many of them share;
 * pulls that are sent again meanwhile would multiply it. Who waits longer reads the store.
 */
#define PULL_ALL_AGAIN (5 * USEC_PER_SEC)
/* Part of a reader's link that instances which start may take. */
#define START_SHARE 0.5
/*
 * A start takes two round trips from instances that are there, and a second where they all start
 * together and wait for the first ones to read the store. Where nobody is known yet, the first ones
 * greet the others long before these would read it as well.
 */
#define FOUND_PATIENCE (1 * USEC_PER_SEC)
#define FOUND_SPREAD   (1 * USEC_PER_SEC)
#define ALONE_PATIENCE (300 * USEC_PER_MSEC)
#define ALONE_SPREAD   (3 * USEC_PER_SEC)
#define FIND_EVERY     (500 * USEC_PER_MSEC)
#define KEEP_DELETED   (60 * USEC_PER_SEC) /* a deletion is told to others for this long */
/*
 * See feed_store_state(). An entry lapses after three heartbeats of silence, and its owner wrote one
 * heartbeat before the outage at the most. So an outage of less than two lapses nothing; a quarter is
 * taken off, as heartbeats vary. Whoever turns to the store has heard nothing for 1.1 s or more, which
 * is no outage of the store by itself.
 */
#define OUTAGE_HEARTBEATS 1.5
#define RETURN_TIME	  (2 * USEC_PER_SEC)
#define PARTNERS	  2U /* readers that an instance listens to: its own domain's and another's */

struct object {
	char *name;
	char *text; /* NULL: deleted */
	uint64_t revision;
	int64_t deleted_at; /* valid if text is NULL */
	uint64_t missing_revision; /* of a deletion that is held back; 0: none */
	uint64_t present_at; /* newest revision at which it was there; valid if one is held */
	int64_t missing_until;
	bool listed; /* given since feed_list_begin() */
};

struct kind {
	GHashTable *objects; /* name -> owned struct object */
	uint64_t changed; /* revision of the newest change */
	uint64_t complete; /* everything up to this revision is known */
	int64_t pulled_at; /* time of the last pull that is not answered; 0: none */
};

struct partner {
	char *address;
	char *domain;
	uint32_t capacity;
	uint64_t rank; /* hash that orders instances of equal capacity */
	int64_t heard_at; /* last frame; 0: none */
	int64_t asked_at; /* first digest sent since it was last heard; 0: none */
	int64_t dead_until; /* passed over until then */
	bool listens; /* it sent a digest and gets ours */
};

struct feed {
	char *address;
	char *domain;
	uint32_t capacity;
	uint32_t n_kinds;
	int64_t outage_min; /* shorter ones lapse nothing */
	uint64_t rank;
	const struct feed_ops *ops;
	void *arg;
	struct kind kinds[FEED_KINDS];
	struct feed_loads *loads; /* owned */
	struct feed_helds *helds; /* owned */
	/* Scratch space of a digest. */
	struct feed_load fresh[FEED_LOADS_MAX];
	struct feed_held fresh_held[FEED_HELD_MAX];
	GPtrArray *partners; /* of struct partner, owned; without the own instance */
	struct partner *readers[PARTNERS]; /* borrowed; NULL: none */
	bool is_reader; /* the owner was asked to read the store */
	bool store_ok;
	int64_t store_lost_at; /* start of the current outage */
	int64_t store_back_at; /* end of the last long one; 0: none */
	int64_t proved_at; /* last answer of the store to this instance; 0: never */
	int64_t check_at; /* time of the next check of the store */
	bool checking; /* a check is without an answer so far */
	int64_t confirmed_at; /* by the own store or a partner; 0: never */
	int64_t steady_since; /* partners confirm since then; 0: they don't */
	double jitter; /* own place in the spread, 0 to 1 */
	int64_t digest_at; /* time of the next digests */
	int64_t started_at;
	int64_t find_at; /* time of the next call for the instances */
	int64_t found_at; /* time at which the first others were found; 0: not yet */
	struct bucket start_bytes; /* that instances which start may be sent */
	bool has_greeted; /* see greet_domain() */
	bool finding; /* a call for the instances is without an answer so far */
	struct rng rng;
	char sender[FEED_ADDRESS_MAX];
};

static void object_free(gpointer p)
{
	struct object *o = p;

	g_free(o->name);
	g_free(o->text);
	g_free(o);
}

static void partner_free(gpointer p)
{
	struct partner *n = p;

	g_free(n->address);
	g_free(n->domain);
	g_free(n);
}

static void set_reader(struct feed *f, bool on, const char *reason)
{
	if (f->is_reader == on)
		return;
	f->is_reader = on;
	/* To an instance that turns to the store an outage began with the last confirmation by others. */
	if (on)
		f->store_lost_at = f->confirmed_at;
	f->ops->read_store(f->arg, on, reason);
	if (!on)
		f->store_ok = false;
}

struct feed *feed_new(const struct feed_params *p, const struct feed_ops *ops, void *arg,
		      int64_t now)
{
	struct feed *f = g_new0(struct feed, 1);

	f->address = g_strdup(p->address);
	f->domain = g_strdup(p->domain);
	f->capacity = p->capacity;
	f->n_kinds = MIN(p->n_kinds, FEED_KINDS);
	f->outage_min = (int64_t)(OUTAGE_HEARTBEATS * (double)p->heartbeat);
	f->start_bytes.rate = START_SHARE * p->capacity * 1e6 / 8;
	f->start_bytes.burst = f->start_bytes.rate;
	f->start_bytes.left = f->start_bytes.burst;
	f->rank = hash_str(p->address);
	f->ops = ops;
	f->arg = arg;
	f->partners = g_ptr_array_new_with_free_func(partner_free);
	f->loads = feed_loads_new();
	f->helds = feed_helds_new();
	rng_seed(&f->rng, p->seed);
	f->jitter = rng_unit(&f->rng);
	f->digest_at = now; /* an instance that starts asks at once */
	f->started_at = now;
	for (uint32_t i = 0; i < FEED_KINDS; i++)
		f->kinds[i].objects =
			g_hash_table_new_full(g_str_hash, g_str_equal, NULL, object_free);
	return f;
}

void feed_free(struct feed *f)
{
	if (!f)
		return;
	for (uint32_t i = 0; i < FEED_KINDS; i++)
		g_hash_table_unref(f->kinds[i].objects);
	feed_loads_free(f->loads);
	feed_helds_free(f->helds);
	g_ptr_array_unref(f->partners);
	g_free(f->address);
	g_free(f->domain);
	g_free(f);
}

void feed_note_load(struct feed *f, uint64_t key, uint32_t running, uint32_t waiting, int64_t now)
{
	struct feed_load l = { key, running, waiting, 0, 0 };

	feed_loads_take(f->loads, &l, f->is_reader, now);
}

void feed_note_held(struct feed *f, uint64_t part, uint64_t upstream, uint32_t tokens, int64_t now)
{
	struct feed_held h = { part, upstream, tokens, 0 };

	feed_helds_take(f->helds, &h, f->is_reader, now);
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

uint32_t feed_instances(const struct feed *f)
{
	return f->partners->len + 1;
}

int64_t feed_age(const struct feed *f, int64_t now)
{
	if (f->store_ok)
		return MAX(now - f->proved_at, 0);
	return f->confirmed_at ? MAX(now - f->confirmed_at, 0) : INT64_MAX;
}

bool feed_is_reader(const struct feed *f)
{
	return f->is_reader;
}

/* Whether something is not known whole yet. */
static bool is_starting(const struct feed *f)
{
	for (uint32_t i = 0; i < f->n_kinds; i++) {
		if (!f->kinds[i].complete)
			return true;
	}
	return false;
}

static struct object *find_object(const struct kind *k, const char *name)
{
	return g_hash_table_lookup(k->objects, name);
}

/* Takes an object of any source; an older one than known is dropped. Returns whether it is new. */
static bool take_object(struct feed *f, uint32_t kind, const char *name, const char *text,
			uint64_t revision, const char *source, int64_t now)
{
	struct kind *k = &f->kinds[kind];
	struct object *o = find_object(k, name);

	if (o && revision <= o->revision)
		return false;
	if (!o && !text)
		return false;
	if (!o) {
		o = g_new0(struct object, 1);
		o->name = g_strdup(name);
		g_hash_table_insert(k->objects, o->name, o);
	}
	g_free(o->text);
	o->text = g_strdup(text);
	o->revision = revision;
	o->deleted_at = now;
	o->missing_revision = 0;
	o->listed = true;
	k->changed = MAX(k->changed, revision);
	f->ops->object(f->arg, kind, o->name, text, revision, source);
	return true;
}

/* Digests are sent at once when something changed, so that others ask for it. */
static void hurry(struct feed *f)
{
	f->digest_at = 0;
}

/*
 * A deletion soon after an outage of the store is held back; see feed_store_state(). One that a list
 * shows came somewhere between @present_at and @revision.
 */
static void take_deletion(struct feed *f, uint32_t kind, struct object *o, uint64_t present_at,
			  uint64_t revision, int64_t now)
{
	int64_t held = f->store_back_at ? f->store_back_at + RETURN_TIME : 0;

	if (!o->text || revision < o->revision)
		return;
	if (now >= held) {
		/* A deletion carries the revision of the list or event that told it. */
		if (take_object(f, kind, o->name, NULL, MAX(revision, o->revision + 1), "store",
				now))
			hurry(f);
		return;
	}
	o->missing_revision = revision;
	o->present_at = present_at;
	o->missing_until = held;
}

void feed_put(struct feed *f, uint32_t kind, const char *name, const char *text, uint64_t revision,
	      int64_t now)
{
	struct object *o = find_object(&f->kinds[kind], name);

	if (!text) {
		if (o)
			take_deletion(f, kind, o, revision - 1, revision, now);
		return;
	}
	if (o) {
		o->listed = true;
		o->missing_revision = 0;
	}
	if (take_object(f, kind, name, text, revision, "store", now))
		hurry(f);
}

/* The store answers: an outage is over. */
static void note_return(struct feed *f, int64_t now)
{
	int64_t lost = f->store_lost_at;

	if (!is_starting(f) && now - lost >= f->outage_min && f->store_back_at <= lost)
		f->store_back_at = now;
}

void feed_list_begin(struct feed *f, uint32_t kind, int64_t now)
{
	GHashTableIter it;
	gpointer p;

	/* Before the list is read: what it lacks may have lapsed in the outage. */
	if (!f->store_ok)
		note_return(f, now);
	g_hash_table_iter_init(&it, f->kinds[kind].objects);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct object *)p)->listed = false;
}

static void delete_unlisted(struct feed *f, uint32_t kind, uint64_t revision, int64_t now)
{
	g_autoptr(GList) all = g_hash_table_get_values(f->kinds[kind].objects);

	for (GList *l = all; l; l = l->next) {
		struct object *o = l->data;

		if (!o->listed && !o->missing_revision)
			take_deletion(f, kind, o, f->kinds[kind].complete, revision, now);
	}
}

static void raise_complete(struct feed *f, uint32_t kind, uint64_t revision)
{
	struct kind *k = &f->kinds[kind];
	bool first = !k->complete && revision;

	k->complete = MAX(k->complete, revision);
	if (first && f->ops->known)
		f->ops->known(f->arg, kind);
}

void feed_complete(struct feed *f, uint32_t kind, uint64_t revision, bool list, int64_t now)
{
	if (list)
		delete_unlisted(f, kind, revision, now);
	raise_complete(f, kind, revision);
}

void feed_found(struct feed *f, int64_t now)
{
	f->finding = false;
	f->find_at = now + FIND_EVERY;
	if (f->partners->len && !f->found_at)
		f->found_at = now;
}

void feed_store_state(struct feed *f, bool ok, int64_t now)
{
	if (ok)
		f->proved_at = now;
	if (ok == f->store_ok)
		return;
	f->store_ok = ok;
	if (!ok) {
		f->store_lost_at = now;
		f->confirmed_at = MAX(f->confirmed_at, f->proved_at);
		return;
	}
	note_return(f, now);
	hurry(f);
}

void feed_checked(struct feed *f, bool ok, int64_t now)
{
	f->checking = false;
	if (ok)
		f->proved_at = now;
}

static void check_store(struct feed *f, int64_t now)
{
	/* A store that is lost is listed again and again, which is a check as well. */
	if (!f->is_reader || !f->store_ok || f->checking || now < f->check_at)
		return;
	f->checking = true;
	f->check_at = now + CHECK_EVERY;
	f->ops->check_store(f->arg);
}

/* Order in which instances read the store: the largest first, equal ones by hash. */
static bool ranks_before(uint32_t capacity_a, uint64_t rank_a, uint32_t capacity_b, uint64_t rank_b)
{
	return capacity_a != capacity_b ? capacity_a > capacity_b : rank_a > rank_b;
}

/* The first live instance of @domain, or with @other of any other domain; NULL: none. */
static struct partner *first_of(const struct feed *f, const char *domain, bool other, int64_t now)
{
	struct partner *best = NULL;

	for (guint i = 0; i < f->partners->len; i++) {
		struct partner *n = f->partners->pdata[i];

		if (n->dead_until > now || (strcmp(n->domain, domain) == 0) == other)
			continue;
		if (!best || ranks_before(n->capacity, n->rank, best->capacity, best->rank))
			best = n;
	}
	return best;
}

static void note_silent(struct partner *n, int64_t now)
{
	if (!n || !n->asked_at || now - n->asked_at < SILENT_FOR)
		return;
	n->dead_until = now + DEAD_FOR;
	n->asked_at = 0;
}

static void choose_readers(struct feed *f, int64_t now)
{
	for (uint32_t i = 0; i < PARTNERS; i++)
		note_silent(f->readers[i], now);
	f->readers[0] = first_of(f, f->domain, false, now);
	f->readers[1] = first_of(f, f->domain, true, now);
}

static bool is_first(const struct feed *f)
{
	const struct partner *n = f->readers[0];

	return !n || ranks_before(f->capacity, f->rank, n->capacity, n->rank);
}

/* Whether an instance that starts may still learn everything from others. */
static bool waits_for_others(const struct feed *f, int64_t now)
{
	int64_t until = f->found_at ? f->found_at + FOUND_PATIENCE : f->started_at + ALONE_PATIENCE;
	int64_t spread = f->found_at ? FOUND_SPREAD : ALONE_SPREAD;

	if (!f->ops->find_instances || f->is_reader || (!is_starting(f) && f->confirmed_at))
		return false;
	if (f->found_at && is_first(f))
		return false;
	return now < until + (int64_t)(f->jitter * (double)spread);
}

static void find_others(struct feed *f, int64_t now)
{
	if (!f->ops->find_instances || f->partners->len || f->is_reader || f->finding ||
	    now < f->find_at)
		return;
	f->finding = true;
	f->ops->find_instances(f->arg);
}

static void choose_role(struct feed *f, int64_t now)
{
	/* A reader's own confirmation says nothing about what partners would tell. */
	int64_t age = f->confirmed_at ? now - f->confirmed_at : INT64_MAX;
	int64_t spread = MAX(JITTER_MIN, JITTER_EACH * feed_instances(f));

	if (waits_for_others(f, now))
		return;
	if (is_first(f)) {
		set_reader(f, true, "first_of_domain");
		return;
	}
	/* Others are up to date but could not give everything in time. */
	if (is_starting(f)) {
		set_reader(f, true, "nothing_from_readers");
		return;
	}
	if (age > AGE_LIMIT + (int64_t)(f->jitter * (double)spread)) {
		f->steady_since = 0;
		set_reader(f, true, "no_news_from_readers");
		return;
	}
	if (!f->steady_since)
		f->steady_since = now;
	if (f->is_reader && now - f->steady_since > STEADY)
		set_reader(f, false, "others_read");
}

static void send_digest(struct feed *f, struct partner *n, uint32_t n_loads, uint32_t n_held,
			int64_t now)
{
	int64_t age = feed_age(f, now);
	uint32_t age_ms =
		age == INT64_MAX ? FEED_AGE_NEVER : (uint32_t)MIN(age / USEC_PER_MSEC, G_MAXINT32);
	uint64_t changed[FEED_KINDS];
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
	n_loads = feed_loads_fresh(f->loads, f->fresh, now);
	n_held = feed_helds_fresh(f->helds, f->fresh_held, now);
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

static void end_missing(struct feed *f, int64_t now)
{
	for (uint32_t i = 0; i < f->n_kinds; i++) {
		g_autoptr(GList) all = g_hash_table_get_values(f->kinds[i].objects);

		for (GList *l = all; l; l = l->next) {
			struct object *o = l->data;

			if (o->missing_revision && now >= o->missing_until &&
			    take_object(f, i, o->name, NULL,
					MAX(o->missing_revision, o->revision + 1), "lapsed", now))
				hurry(f);
			else if (!o->text && now - o->deleted_at > KEEP_DELETED)
				g_hash_table_remove(f->kinds[i].objects, o->name);
		}
	}
}

const char *feed_sender(struct feed *f, const void *frame, size_t len)
{
	struct feed_message m;
	int rc = feed_wire_read(frame, len, &m);

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
	end_missing(f, now);
	find_others(f, now);
	choose_readers(f, now);
	choose_role(f, now);
	check_store(f, now);
	greet_domain(f, now);
	send_digests(f, now);
}

static int take_loads(struct feed *f, const struct feed_message *m, int64_t now)
{
	for (uint32_t i = 0; i < m->n_loads; i++) {
		struct feed_load l;

		if (feed_wire_load(m, i, &l) < 0)
			return -EBADMSG;
		if (feed_loads_take(f->loads, &l, f->is_reader, now))
			f->ops->load(f->arg, &l);
	}
	return 0;
}

static int take_held(struct feed *f, const struct feed_message *m, int64_t now)
{
	for (uint32_t i = 0; i < m->n_held; i++) {
		struct feed_held h;

		if (feed_wire_held(m, i, &h) < 0)
			return -EBADMSG;
		if (feed_helds_take(f->helds, &h, f->is_reader, now) && f->ops->held)
			f->ops->held(f->arg, &h);
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

/*
 * Revision up to which others know all after a delta: not beyond a deletion that is held back. Another
 * reader may have told it under an earlier revision than the list that showed it here.
 */
static uint64_t told_up_to(const struct kind *k)
{
	uint64_t upto = k->complete;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, k->objects);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct object *o = p;

		if (o->missing_revision)
			upto = MIN(upto, o->present_at);
	}
	return upto;
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
	feed_wire_delta(&out, f->address, m->kind, m->since, told_up_to(k), n);
	g_hash_table_iter_init(&it, k->objects);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct object *o = p;

		if (o->revision > m->since)
			feed_wire_add(&out, o->name, o->revision, o->text);
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
		news |= take_object(f, m->kind, name, text, o.revision, "peer", now);
	}
	if (m->since <= k->complete)
		raise_complete(f, m->kind, m->upto);
	if (news)
		hurry(f);
	return 0;
}

int feed_frame(struct feed *f, const void *frame, size_t len, int64_t now)
{
	struct feed_message m;
	struct partner *n;
	int rc = feed_wire_read(frame, len, &m);

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

void feed_lost(struct feed *f, const char *address, int64_t now)
{
	struct partner *n = find_partner(f, address);

	if (!n)
		return;
	n->dead_until = now + DEAD_FOR / 5;
	n->asked_at = 0;
	for (uint32_t i = 0; i < f->n_kinds; i++)
		f->kinds[i].pulled_at = 0;
}
