#include "gossip/gossip.h"

#include <string.h>

#include "gossip/gossip_priv.h"
#include "member/member.h"

#define STATE_RATE	  (512 * 1024) /* bytes per second of state transfer */
#define STATE_BURST	  (256 * 1024)
#define BURST		  2.0 /* seconds of the byte limit */
#define SHARE		  0.95 /* of the limit, the rest is for state transfer */
#define JOIN_PERIOD	  (500 * USEC_PER_MSEC)
#define JOIN_SLOW	  (2 * USEC_PER_SEC)
#define JOIN_WAIT	  (1 * USEC_PER_SEC) /* for the members after the first answer */
#define HEALTH_REFRESH_MS 3000 /* member takes views of the last 5 s */
#define JOIN_LIMIT	  (5 * USEC_PER_SEC)
/* Time for word of the watchers' first answers, so that not all read while all restart. */
#define CONTACT_WAIT   (5 * USEC_PER_SEC)
#define CONTACT_SPREAD (3 * USEC_PER_SEC)
#define ALONE_WAIT     (2500 * USEC_PER_MSEC) /* for the first answer */
#define PAUSE	       (1 * USEC_PER_SEC) /* ticks this far apart: the process was paused */

const char *gossip_state_name(enum gossip_state s)
{
	static const char *const names[GOSSIP_STATE_COUNT] = {
#define X(name, text) text,
		GOSSIP_STATE_TABLE(X)
#undef X
	};

	return names[s];
}

static GHashTable *index_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static void tables_new(struct gossip *g)
{
	g->store = conf_store_new();
	g->conf = g_array_new(FALSE, FALSE, sizeof(struct g_conf_entry));
	g->conf_index = g_hash_table_new(g_str_hash, g_str_equal);
	g->members = g_ptr_array_new_with_free_func(g_member_free);
	g->member_index = index_new();
	g->marks = g_array_new(FALSE, FALSE, sizeof(struct g_leaving_flag));
	g->mark_index = index_new();
	g->poison = g_array_new(FALSE, FALSE, sizeof(struct poison_mark));
	g->poison_index = index_new();
	g->health = g_array_new(FALSE, FALSE, sizeof(struct g_health));
	g->health_index = index_new();
	g->load = g_array_new(FALSE, FALSE, sizeof(struct g_load));
	g->load_index = index_new();
	g->links = g_ptr_array_new_with_free_func(g_link_free);
}

static void add_self(struct gossip *g, int64_t now)
{
	struct g_member *m = g_new0(struct g_member, 1);
	uint64_t *key = g_new(uint64_t, 1);

	m->inst.id = g_strdup(g->params.id);
	m->inst.address = g_strdup(g->params.address);
	m->inst.hash = g->self;
	m->inst.domain = g->domain;
	m->inst.incarnation = g->incarnation;
	m->inst.state = GOSSIP_ALIVE;
	m->since = now;
	g_ptr_array_add(g->members, m);
	*key = g->self;
	g_hash_table_insert(g->member_index, key, GUINT_TO_POINTER(1));
	g->member_digest = (uint32_t)hash_pair(hash_pair(g->self, g->incarnation), GOSSIP_ALIVE);
	g_entry_changed(g, G_MEMBER, 0, 0);
}

struct gossip *gossip_new(const struct gossip_params *p, const struct gossip_events *e, int64_t now,
			  int64_t wall)
{
	struct gossip *g = g_new0(struct gossip, 1);

	g->params = *p;
	g->params.id = g_strdup(p->id);
	g->params.failure_domain = g_strdup(p->failure_domain);
	g->params.address = g_strdup(p->address);
	g->params.seeds = p->seeds ? (const char *const *)g_strdupv((GStrv)p->seeds) : NULL;
	g->params.key = NULL;
	g->hmac_key_len = strlen(p->key);
	g->hmac_key = (uint8_t *)g_strdup(p->key);
	g->events = *e;
	g->self = hash_str(p->id);
	g->domain = (uint32_t)hash_str(p->failure_domain);
	g->incarnation = MAX(p->incarnation, 1);
	rng_seed(&g->rng, hash_pair(p->seed, g->self));
	g->wall = wall - now;
	g->started = now;
	g->last_tick = now;
	g->next_join = now;
	g->next_probe = now + G_PROBE_PERIOD;
	g->join_round = (uint32_t)rng_next(&g->rng);
	g->root = g->self;
	g->bucket =
		(struct g_token_bucket){ p->bytes_per_second * BURST, p->bytes_per_second * SHARE,
					 p->bytes_per_second * BURST, now };
	g->state_bucket = (struct g_token_bucket){ STATE_BURST, STATE_RATE, STATE_BURST, now };
	tables_new(g);
	add_self(g, now);
	return g;
}

void gossip_free(struct gossip *g)
{
	if (!g)
		return;
	for (guint i = 0; i < g->conf->len; i++)
		g_free((char *)g_array_index(g->conf, struct g_conf_entry, i).key);
	for (guint i = 0; i < g->marks->len; i++)
		g_free(g_array_index(g->marks, struct g_leaving_flag, i).id);
	conf_store_free(g->store);
	g_array_unref(g->conf);
	g_hash_table_unref(g->conf_index);
	g_ptr_array_unref(g->members);
	g_hash_table_unref(g->member_index);
	g_array_unref(g->marks);
	g_hash_table_unref(g->mark_index);
	g_array_unref(g->poison);
	g_hash_table_unref(g->poison_index);
	g_array_unref(g->health);
	g_hash_table_unref(g->health_index);
	g_array_unref(g->load);
	g_hash_table_unref(g->load_index);
	g_ptr_array_unref(g->links);
	g_changes_clear(g);
	g_free((char *)g->params.id);
	g_free((char *)g->params.failure_domain);
	g_free((char *)g->params.address);
	g_strfreev((GStrv)g->params.seeds);
	g_free(g->hmac_key);
	g_free(g);
}

static bool has_peers(const struct gossip *g)
{
	for (guint i = 1; i < g->members->len; i++) {
		if (((const struct g_member *)g->members->pdata[i])->inst.state != GOSSIP_DEAD)
			return true;
	}
	return false;
}

/* While all instances restart, each would choose itself before it knows the others. */
static void settle(struct gossip *g, int64_t now)
{
	if (g->settled || !g->joined || now - g->joined < JOIN_WAIT)
		return;
	g->settled = now - g->grown >= JOIN_WAIT || now - g->joined >= JOIN_LIMIT;
}

/* Asks one seed after the other for the members until there is a peer. */
static void join(struct gossip *g, int64_t now)
{
	guint n = g->params.seeds ? g_strv_length((GStrv)g->params.seeds) : 0;

	if (n == 0 || now < g->next_join || (g->joined && has_peers(g)))
		return;
	for (guint k = 0; k < MIN(n, 2); k++) {
		const char *seed = g->params.seeds[g->join_round++ % n];

		if (strcmp(seed, g->params.address) != 0)
			g_send_member(g, seed, G_FLAG_JOIN, g->self, now);
	}
	g->next_join = now + (now - g->started < ALONE_WAIT ? JOIN_PERIOD : JOIN_SLOW) +
		       (int64_t)rng_below(&g->rng, 100 * USEC_PER_MSEC);
}

static bool address_live(const struct gossip *g, const char *address)
{
	for (guint i = 0; i < g->members->len; i++) {
		const struct g_member *m = g->members->pdata[i];

		if (m->inst.state != GOSSIP_DEAD && strcmp(m->inst.address, address) == 0)
			return true;
	}
	return false;
}

/* After a partition nobody has links to the other side: tries a dead instance or an unknown seed
 * now and then. */
static void probe(struct gossip *g, int64_t now)
{
	guint n = g->params.seeds ? g_strv_length((GStrv)g->params.seeds) : 0;
	uint32_t at = (uint32_t)rng_below(&g->rng, g->members->len + n);

	if (now < g->next_probe)
		return;
	g->next_probe = now + G_PROBE_PERIOD + (int64_t)rng_below(&g->rng, G_PROBE_PERIOD / 4);
	for (guint k = 0; k < g->members->len + n; k++, at++) {
		guint i = at % (g->members->len + n);

		if (i < g->members->len) {
			const struct g_member *m = g->members->pdata[i];

			if (m->inst.state != GOSSIP_DEAD)
				continue;
			g_send_member(g, m->inst.address, G_FLAG_PING, m->inst.hash, now);
			return;
		}
		if (!address_live(g, g->params.seeds[i - g->members->len])) {
			g_send_member(g, g->params.seeds[i - g->members->len], G_FLAG_JOIN, g->self,
				      now);
			return;
		}
	}
}

static void ping_send(struct gossip *g, const struct gossip_instance *i, int64_t now)
{
	g->ping = i->hash;
	g->ping_at = now;
	g->ping_tries++;
	g_send_member(g, i->address, G_FLAG_PING, 0, now);
}

/*
 * Neighbours find a dead instance if the fleet is whole. Once it is split, an instance on the other
 * side may be nobody's neighbour on this one: asks a random one now and then.
 */
static void ping(struct gossip *g, int64_t now)
{
	const struct g_member *m = g->ping ? g_member_find(g, g->ping) : NULL;

	if (m && m->inst.state == GOSSIP_ALIVE) {
		if (now - g->ping_at < G_PING_TIMEOUT)
			return;
		if (g->ping_tries < G_PING_ATTEMPTS) {
			ping_send(g, &m->inst, now);
			return;
		}
		g_member_suspect(g, g->ping, now);
	}
	g->ping = 0;
	if (now < g->ping_at + G_PING_PERIOD || g->members->len < 2)
		return;
	g->ping_at = now;
	m = g->members->pdata[1 + rng_below(&g->rng, g->members->len - 1)];
	if (m->inst.state != GOSSIP_ALIVE || g_link_find(g, m->inst.hash))
		return;
	g->ping_tries = 0;
	ping_send(g, &m->inst, now);
}

/* A process that was paused heard nobody: that says nothing about the others. */
static void after_pause(struct gossip *g, int64_t now)
{
	for (guint i = 0; i < g->links->len; i++)
		((struct g_link *)g->links->pdata[i])->heard = now;
	g->ping = 0;
}

void gossip_tick(struct gossip *g, int64_t now, int64_t wall)
{
	bool tree = now / G_TICK != g->last_tick / G_TICK;

	g->wall = wall - now;
	if (now - g->last_tick > PAUSE)
		after_pause(g, now);
	g->last_tick = now;
	settle(g, now);
	join(g, now);
	probe(g, now);
	ping(g, now);
	g_member_tick(g, now);
	g_link_tick(g, now);
	if (tree)
		g_tree_tick(g, now);
	if (g->parent == 0) {
		struct gossip_account rows[GOSSIP_ACCOUNTS_MAX];
		uint32_t n;

		g_accounts_sum(g, rows, &n);
		if (tree)
			g_accounts_set_total(g, rows, n);
	}
	g_send_urgent(g, now);
	for (guint i = 0; i < g->links->len; i++) {
		struct g_link *l = g->links->pdata[i];

		if (now < l->next_frame)
			continue;
		g_send_frame(g, l, 0, now);
		l->next_frame = MAX(l->next_frame + G_TICK, now + G_TICK / 2);
	}
}

struct receive {
	struct gossip *g;
	int64_t now;
	struct g_link *link; /* NULL: the sender is no neighbour */
	uint64_t sender;
	bool started;
	bool ignored; /* sent by this instance itself, or by one that can't be answered */
};

static void take_head(struct receive *r, const struct g_header *h, const struct gossip_instance *i)
{
	struct gossip *g = r->g;
	bool drawn = h->flags & G_FLAG_SELECTED;
	struct g_link *l = drawn ? g_link_get_or_add(g, i, r->now) : g_link_find(g, i->hash);

	/* Only the end that drew a link keeps it up, else both ends would hold it for ever. */
	if (!l)
		return;
	l->heard = r->now;
	if (drawn)
		l->held_until = r->now + G_INACTIVITY_TIMEOUT;
	if (!l->has_head || h->stamp > l->head.stamp) {
		l->head = *h;
		l->has_head = true;
	}
	if (!(h->flags & G_FLAG_PARENT))
		l->n_up = 0;
	r->link = l;
}

/* The sender as a member; false if its address is unknown. */
static bool sender_of(struct gossip *g, const struct g_header *h, struct gossip_instance *i)
{
	const struct g_member *m = g_member_find(g, hash_str(h->id));

	i->id = (char *)h->id;
	i->hash = hash_str(h->id);
	i->domain = h->domain;
	i->incarnation = h->incarnation;
	i->state = h->flags & G_FLAG_LEAVE ? GOSSIP_DEAD : GOSSIP_ALIVE;
	i->address = (char *)h->address;
	if (h->address[0] == '\0' && m)
		i->address = m->inst.address;
	g_strlcpy(g->from, i->address, sizeof(g->from));
	i->address = g->from;
	return g->from[0] != '\0';
}

static void start(struct receive *r, const struct g_header *h)
{
	struct gossip *g = r->g;
	struct gossip_instance i;
	const struct g_member *m;
	struct g_link *l;

	r->started = true;
	r->sender = hash_str(h->id);
	if (r->sender == g->self || !sender_of(g, h, &i)) {
		r->ignored = true;
		return;
	}
	hlc_receive(&g->clock, r->now + g->wall, h->stamp);
	if ((int64_t)h->contact <= (r->now + g->wall) / USEC_PER_SEC + 1)
		g->contact = MAX(g->contact, h->contact);
	g_member_apply(g, &i, i.hash, r->now);
	if (g->ping == i.hash)
		g->ping = 0;
	if (!g->joined)
		g->joined = r->now;
	m = g_member_find(g, i.hash);
	if (h->flags & G_FLAG_JOIN)
		g_send_members(g, NULL, g->from, r->now);
	/* Tells an instance that is held for dead, so that it refutes. */
	else if (h->flags & G_FLAG_PING || (m && m->inst.state == GOSSIP_DEAD &&
					    !(h->flags & (G_FLAG_LEAVE | G_FLAG_UNLINK))))
		g_send_member(g, g->from, 0, i.hash, r->now);
	if (m && m->inst.state != GOSSIP_DEAD && h->flags & G_FLAG_LINK && !g->leaving) {
		take_head(r, h, &i);
		return;
	}
	l = g_link_find(g, i.hash);
	if (l && h->flags & G_FLAG_UNLINK)
		l->held_until = r->now;
}

static void on_conf(struct receive *r, const struct g_record *n)
{
	g_autofree char *text = n->text ? g_strndup(n->text, n->text_len) : NULL;

	g_conf_apply(r->g, n->key, n->version, text, r->sender);
}

static void on_accounts(struct receive *r, const struct g_record *n)
{
	struct g_link *l = r->link;

	if (!l)
		return;
	if (n->kind == G_RECORD_ACCOUNTS_DOWN) {
		if (l->peer == r->g->parent)
			g_accounts_set_total(r->g, n->accounts, n->n_accounts);
		return;
	}
	memcpy(l->up, n->accounts, n->n_accounts * sizeof(n->accounts[0]));
	l->n_up = n->n_accounts;
}

static void on_load(struct receive *r, const struct g_record *n)
{
	struct g_load l = n->load;

	l.made = r->now - n->load.made;
	l.from = 0;
	r->g->stats.load_records_received++;
	g_load_apply(r->g, &l, r->sender, r->link);
}

static void on_news(void *arg, const struct g_header *h, const struct g_record *n)
{
	struct receive *r = arg;
	struct gossip *g = r->g;

	if (!r->started)
		start(r, h);
	if (r->ignored)
		return;
	switch (n->kind) {
	case G_RECORD_CONF:
		on_conf(r, n);
		break;
	case G_RECORD_LEAVING:
		g_leaving_apply(g, n->id, n->leaving, n->version, r->sender);
		break;
	case G_RECORD_POISON:
		g_poison_apply(g, &n->poison, r->sender);
		break;
	case G_RECORD_MEMBER:
		/* What an instance says of itself is in the header. */
		if (n->inst.hash != r->sender)
			g_member_apply(g, &n->inst, r->sender, r->now);
		break;
	case G_RECORD_HEALTH:
		g_health_apply(g, &n->health, r->sender);
		break;
	case G_RECORD_LOAD:
		on_load(r, n);
		break;
	case G_RECORD_PULL:
		if (r->link)
			g_conf_serve_pull(g, r->link, n, r->now);
		break;
	case G_RECORD_PULL_END:
		if (r->link)
			g_conf_pull_done(g, r->link, n->bucket, r->now);
		break;
	case G_RECORD_ACCOUNTS_UP:
	case G_RECORD_ACCOUNTS_DOWN:
		on_accounts(r, n);
		break;
	}
}

static bool differs_long(int64_t *since, bool same, int64_t now)
{
	if (same) {
		*since = 0;
		return false;
	}
	if (*since == 0)
		*since = now;
	if (now - *since < G_MISMATCH_DELAY)
		return false;
	/* Waits twice as long before the next one. */
	*since = now + G_MISMATCH_DELAY;
	return true;
}

static void compare(struct receive *r)
{
	struct gossip *g = r->g;
	struct g_link *l = r->link;

	g_conf_compare(g, l, r->now);
	if (differs_long(&l->member_differs, l->head.member_digest == g->member_digest, r->now))
		g_send_members(g, l, l->address, r->now);
	if (differs_long(&l->mark_differs, l->head.mark_digest == g->mark_digest, r->now)) {
		g_class_resend(l, G_LEAVING);
		g_class_resend(l, G_POISON);
	}
}

int gossip_receive(struct gossip *g, const void *frame, size_t len, int64_t now, int64_t wall,
		   const char **from)
{
	struct receive r = { .g = g, .now = now };
	struct g_header h = { 0 };
	size_t body;
	int rc;

	*from = NULL;
	g->wall = wall - now;
	rc = g_wire_verify(g, frame, len, &body);
	if (rc == 0)
		rc = g_wire_parse(frame, body, &h, on_news, &r);
	if (rc < 0) {
		g->stats.frames_dropped++;
		return rc;
	}
	g->stats.frames_received++;
	g->stats.bytes_received += len + 4;
	if (!r.started)
		start(&r, &h);
	if (r.ignored)
		return 0;
	*from = g->from;
	if (r.link)
		compare(&r);
	g_send_urgent(g, now);
	return 0;
}

const char *gossip_sender_address(struct gossip *g, const void *frame, size_t len)
{
	struct g_header h = { 0 };
	struct gossip_instance i;
	size_t body;

	if (g_wire_verify(g, frame, len, &body) < 0 ||
	    g_wire_parse(frame, body, &h, NULL, NULL) < 0) {
		g->stats.frames_dropped++;
		return NULL;
	}
	return sender_of(g, &h, &i) ? g->from : NULL;
}

uint64_t gossip_merge_stamp(struct gossip *g, uint64_t stamp)
{
	if (stamp > g->clock.last)
		g->clock.last = stamp;
	return g->clock.last;
}

void gossip_disconnected(struct gossip *g, const char *address)
{
	for (guint i = 0; i < g->links->len; i++) {
		struct g_link *l = g->links->pdata[i];

		if (strcmp(l->address, address) != 0)
			continue;
		/* The peer may have restarted and not know this instance's address. */
		l->has_head = false;
		for (int c = 0; c < G_CLASS_COUNT; c++) {
			if (c != G_CONF && c != G_MEMBER)
				g_class_resend(l, c);
		}
	}
}

void gossip_leave(struct gossip *g, int64_t now, int64_t wall)
{
	g->wall = wall - now;
	g->leaving = true;
	for (guint i = 0; i < g->links->len; i++)
		g_send_frame(g, g->links->pdata[i], G_FLAG_LEAVE, now);
}

int gossip_apply_config(struct gossip *g, const char *key, uint64_t version, const char *text,
			int64_t now)
{
	int rc = g_conf_apply(g, key, version, text, 0);

	g_send_urgent(g, now);
	return rc;
}

void gossip_set_platform_reachable(struct gossip *g, bool answered, int64_t wall)
{
	if (answered)
		g->contact = (uint32_t)(wall / USEC_PER_SEC);
	else
		g->platform_failed = true;
	if (!answered)
		g->fenced = false;
}

void gossip_require_platform(struct gossip *g)
{
	g->fenced = true;
}

bool gossip_should_read_platform(const struct gossip *g, int64_t now)
{
	int64_t wait = CONTACT_WAIT + (int64_t)(g->self % CONTACT_SPREAD);

	return !g->configured && g->settled && now - g->started >= wait &&
	       !g_conf_is_current(g, now);
}

void gossip_config_complete(struct gossip *g)
{
	g->configured = true;
}

bool gossip_configured(const struct gossip *g)
{
	return g->configured;
}

const struct conf_store *gossip_store(const struct gossip *g)
{
	return g->store;
}

void gossip_set_list_state(struct gossip *g, const char *upstream_id, bool leaving,
			   uint64_t version, int64_t now)
{
	if (strlen(upstream_id) > G_ID_MAX)
		return;
	g_leaving_apply(g, upstream_id, leaving, version, 0);
	g_send_urgent(g, now);
}

/* Whether the own view of an upstream is told. Views age, so one that is not live is told again. */
static bool health_due(const struct gossip *g, const struct gossip_upstream *u,
		       const struct g_health *old, uint64_t version)
{
	bool live = u->state == MEMBER_LIVE || u->state == MEMBER_JOINING;

	/* Live is the default: a row for each upstream and each prober would fill the limit. */
	if (live)
		return old && old->state != u->state;
	if (old && old->state == u->state && version < old->version + HEALTH_REFRESH_MS)
		return false;
	/* Two views per failure domain are enough, and the traffic stays the same in a large one. */
	return gossip_position(g, u->id_hash) < 2;
}

void gossip_report_upstream(struct gossip *g, const struct gossip_upstream *u, int64_t now)
{
	struct g_health h = { .upstream = u->id_hash, .from = g->self, .epoch = u->load.epoch };
	struct g_load l = { .upstream = u->id_hash, .from = g->self };
	uint64_t key = hash_pair(u->id_hash, g->self);
	uint32_t i = GPOINTER_TO_UINT(g_hash_table_lookup(g->health_index, &key));
	const struct g_health *old = i ? &g_array_index(g->health, struct g_health, i - 1) : NULL;

	if (u->load.epoch) {
		l.report = u->load;
		l.made = now - MAX(u->load.age, 0);
		g_load_apply(g, &l, 0, NULL);
	}
	h.version = (uint64_t)((now + g->wall) / USEC_PER_MSEC);
	if (u->state < 0 || !health_due(g, u, old, h.version))
		return;
	h.state = u->state;
	if (old && h.version <= old->version)
		h.version = old->version + 1;
	g_health_apply(g, &h, 0);
}

void gossip_report_poison(struct gossip *g, const struct poison_mark *m, int64_t now)
{
	g_poison_apply(g, m, 0);
	g_send_urgent(g, now);
}

void gossip_report_accounts(struct gossip *g, const struct gossip_account *rows, uint32_t n,
			    int64_t now)
{
	g->n_own = MIN(n, GOSSIP_ACCOUNTS_MAX);
	if (g->n_own)
		memcpy(g->own, rows, g->n_own * sizeof(*rows));
}

bool gossip_is_isolated(const struct gossip *g, int64_t now)
{
	return !g->joined && (!g->params.seeds || now - g->started >= ALONE_WAIT);
}

bool gossip_is_watcher(const struct gossip *g, int64_t now)
{
	if (!gossip_is_isolated(g, now) && !g->settled)
		return false;
	return !g->leaving && g_member_position(g, hash_str("watcher"), false) < 2;
}

bool gossip_is_neighbour(const struct gossip *g, const char *address)
{
	for (guint i = 0; i < g->links->len; i++) {
		if (strcmp(((const struct g_link *)g->links->pdata[i])->address, address) == 0)
			return true;
	}
	return false;
}

int64_t gossip_load_age(const struct gossip *g, int64_t now)
{
	int64_t sum = 0;

	for (guint i = 0; i < g->load->len; i++)
		sum += now - g_array_index(g->load, struct g_load, i).made;
	return g->load->len ? sum / g->load->len : 0;
}

void gossip_stats(const struct gossip *g, struct gossip_stats *out)
{
	*out = g->stats;
	out->links = g->links->len;
	out->instances = g->members->len;
	out->upstreams = g->load->len;
	for (guint i = 0; i < g->links->len; i++)
		out->tree_links += g_link_in_tree(g, g->links->pdata[i]);
}
