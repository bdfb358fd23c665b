#include "gossip/gossip.h"

#include <string.h>

#include "gossip/gossip_priv.h"
#include "member/member.h"

#define STATE_BYTES_PER_S  (512 * 1024) /* of state transfer and repairs */
#define STATE_BURST_BYTES  (256 * 1024)
#define BYTE_LIMIT_BURST_S 2.0 /* burst as seconds of the byte limit */
/*
 * Fraction of the byte limit for other frames. The rest is kept free for state transfer to starting
 * instances and for repairs, which have a limit of their own but use little on average: 290
 * restarts a day of 3 MB among 390 instances are 26 B/s for each.
 */
#define BYTE_LIMIT_FRACTION 0.95
#define JOIN_PERIOD	    (500 * USEC_PER_MSEC) /* within ISOLATED_WAIT of the start */
#define JOIN_SLOW_PERIOD    (2 * USEC_PER_SEC) /* later */
#define STABLE_WAIT	    (1 * USEC_PER_SEC) /* without a new member */
#define HEALTH_REFRESH_MS   3000 /* lib/member uses peers' observations of the last 5 s */
#define STABLE_WAIT_MAX	    (5 * USEC_PER_SEC) /* after the first frame of a peer */
/*
 * Time for reports of the watchers' first responses to arrive, so that not all instances read the
 * platform when all restart.
 */
#define PLATFORM_READ_WAIT   (5 * USEC_PER_SEC)
#define PLATFORM_READ_SPREAD (3 * USEC_PER_SEC)
#define ISOLATED_WAIT	     (2500 * USEC_PER_MSEC) /* for the first frame of a peer */
#define PAUSE_MIN	     (1 * USEC_PER_SEC) /* ticks further apart: the process was paused */

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
	g->leaving_flags = g_array_new(FALSE, FALSE, sizeof(struct g_leaving_flag));
	g->leaving_index = index_new();
	g->poison = g_array_new(FALSE, FALSE, sizeof(struct poison_record));
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
	m->state_since = now;
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
	g->wall_offset = wall - now;
	g->started = now;
	g->last_tick = now;
	g->next_join = now;
	g->next_probe = now + G_PROBE_PERIOD;
	g->next_seed = (uint32_t)rng_next(&g->rng);
	g->root = g->self;
	g->byte_limit = (struct g_token_bucket){ p->bytes_per_second * BYTE_LIMIT_BURST_S,
						 p->bytes_per_second * BYTE_LIMIT_FRACTION,
						 p->bytes_per_second * BYTE_LIMIT_BURST_S, now };
	g->state_byte_limit = (struct g_token_bucket){ STATE_BURST_BYTES, STATE_BYTES_PER_S,
						       STATE_BURST_BYTES, now };
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
	for (guint i = 0; i < g->leaving_flags->len; i++)
		g_free(g_array_index(g->leaving_flags, struct g_leaving_flag, i).id);
	conf_store_free(g->store);
	g_array_unref(g->conf);
	g_hash_table_unref(g->conf_index);
	g_ptr_array_unref(g->members);
	g_hash_table_unref(g->member_index);
	g_array_unref(g->leaving_flags);
	g_hash_table_unref(g->leaving_index);
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

/* Watchers are selected after this: when all instances restart, each would else select itself. */
static void update_membership_stable(struct gossip *g, int64_t now)
{
	if (g->membership_stable || !g->joined_at || now - g->joined_at < STABLE_WAIT)
		return;
	g->membership_stable =
		now - g->member_added_at >= STABLE_WAIT || now - g->joined_at >= STABLE_WAIT_MAX;
}

/* Requests the members from the seeds in turn until there is a peer. */
static void join_through_seeds(struct gossip *g, int64_t now)
{
	guint n = g->params.seeds ? g_strv_length((GStrv)g->params.seeds) : 0;

	if (n == 0 || now < g->next_join || (g->joined_at && has_peers(g)))
		return;
	for (guint k = 0; k < MIN(n, 2); k++) {
		const char *seed = g->params.seeds[g->next_seed++ % n];

		if (strcmp(seed, g->params.address) != 0)
			g_send_member(g, seed, G_FLAG_JOIN, g->self, now);
	}
	g->next_join = now + (now - g->started < ISOLATED_WAIT ? JOIN_PERIOD : JOIN_SLOW_PERIOD) +
		       (int64_t)rng_below(&g->rng, 100 * USEC_PER_MSEC);
}

static bool is_live_address(const struct gossip *g, const char *address)
{
	for (guint i = 0; i < g->members->len; i++) {
		const struct g_member *m = g->members->pdata[i];

		if (m->inst.state != GOSSIP_DEAD && strcmp(m->inst.address, address) == 0)
			return true;
	}
	return false;
}

/* After a partition no instance has a link to the other side: periodically sends a frame to a dead
 * instance or to a seed that is the address of no live instance. */
static void probe_unlinked(struct gossip *g, int64_t now)
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
		if (!is_live_address(g, g->params.seeds[i - g->members->len])) {
			g_send_member(g, g->params.seeds[i - g->members->len], G_FLAG_JOIN, g->self,
				      now);
			return;
		}
	}
}

static void ping_send(struct gossip *g, const struct gossip_instance *i, int64_t now)
{
	g->ping_target = i->hash;
	g->ping_at = now;
	g->ping_attempts++;
	g_send_member(g, i->address, G_FLAG_PING, 0, now);
}

/*
 * Neighbours detect a dead instance, unless the network is partitioned: an instance on the other
 * side may have no neighbour on this side. Therefore periodically pings a random instance.
 */
static void ping_random(struct gossip *g, int64_t now)
{
	const struct g_member *m = g->ping_target ? g_member_find(g, g->ping_target) : NULL;

	if (m && m->inst.state == GOSSIP_ALIVE) {
		if (now - g->ping_at < G_PING_TIMEOUT)
			return;
		if (g->ping_attempts < G_PING_ATTEMPTS) {
			ping_send(g, &m->inst, now);
			return;
		}
		g_member_suspect(g, g->ping_target, now);
	}
	g->ping_target = 0;
	if (now < g->ping_at + G_PING_PERIOD || g->members->len < 2)
		return;
	g->ping_at = now;
	m = g->members->pdata[1 + rng_below(&g->rng, g->members->len - 1)];
	if (m->inst.state != GOSSIP_ALIVE || g_link_find(g, m->inst.hash))
		return;
	g->ping_attempts = 0;
	ping_send(g, &m->inst, now);
}

/* A paused process received no frames, which doesn't mean that the others are inactive. */
static void reset_after_pause(struct gossip *g, int64_t now)
{
	for (guint i = 0; i < g->links->len; i++)
		((struct g_link *)g->links->pdata[i])->last_received = now;
	g->ping_target = 0;
}

void gossip_tick(struct gossip *g, int64_t now, int64_t wall)
{
	bool new_tick = now / G_TICK != g->last_tick / G_TICK;

	g->wall_offset = wall - now;
	if (now - g->last_tick > PAUSE_MIN)
		reset_after_pause(g, now);
	g->last_tick = now;
	update_membership_stable(g, now);
	join_through_seeds(g, now);
	probe_unlinked(g, now);
	ping_random(g, now);
	g_member_tick(g, now);
	g_link_tick(g, now);
	if (new_tick)
		g_tree_tick(g, now);
	if (g->parent == 0) {
		struct gossip_account accounts[GOSSIP_ACCOUNTS_MAX];
		uint32_t n;

		g_accounts_sum(g, accounts, &n);
		if (new_tick)
			g_accounts_set_total(g, accounts, n);
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
	uint64_t sender; /* hash of the id */
	bool header_applied;
	bool ignored; /* the sender is this instance, or its address is unknown */
};

static void update_link(struct receive *r, const struct g_header *h,
			const struct gossip_instance *i)
{
	struct gossip *g = r->g;
	bool selected = h->flags & G_FLAG_SELECTED;
	struct g_link *l = selected ? g_link_get_or_add(g, i, r->now) : g_link_find(g, i->hash);

	/* Only an end that selected the link extends it, else both would keep it indefinitely. */
	if (!l)
		return;
	l->last_received = r->now;
	if (selected)
		l->keep_until = r->now + G_INACTIVITY_TIMEOUT;
	if (!l->has_header || h->stamp > l->header.stamp) {
		l->header = *h;
		l->has_header = true;
	}
	if (!(h->flags & G_FLAG_PARENT))
		l->n_subtree_accounts = 0;
	r->link = l;
}

/* Fills @i with the sender; false if its address is unknown. */
static bool get_sender(struct gossip *g, const struct g_header *h, struct gossip_instance *i)
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
	g_strlcpy(g->sender_address, i->address, sizeof(g->sender_address));
	i->address = g->sender_address;
	return g->sender_address[0] != '\0';
}

static void apply_header(struct receive *r, const struct g_header *h)
{
	struct gossip *g = r->g;
	struct gossip_instance i;
	const struct g_member *m;
	struct g_link *l;

	r->header_applied = true;
	r->sender = hash_str(h->id);
	if (r->sender == g->self || !get_sender(g, h, &i)) {
		r->ignored = true;
		return;
	}
	hlc_receive(&g->clock, r->now + g->wall_offset, h->stamp);
	/* Ignores a time in the future, which a wrong clock reports. */
	if ((int64_t)h->platform_contact <= (r->now + g->wall_offset) / USEC_PER_SEC + 1)
		g->platform_contact = MAX(g->platform_contact, h->platform_contact);
	g_member_apply(g, &i, i.hash, r->now);
	if (g->ping_target == i.hash)
		g->ping_target = 0;
	if (!g->joined_at)
		g->joined_at = r->now;
	m = g_member_find(g, i.hash);
	if (h->flags & G_FLAG_JOIN)
		g_send_members(g, NULL, g->sender_address, r->now);
	/* Sends an instance that is recorded as dead its own entry, so that it refutes. */
	else if (h->flags & G_FLAG_PING || (m && m->inst.state == GOSSIP_DEAD &&
					    !(h->flags & (G_FLAG_LEAVE | G_FLAG_UNLINK))))
		g_send_member(g, g->sender_address, 0, i.hash, r->now);
	if (m && m->inst.state != GOSSIP_DEAD && h->flags & G_FLAG_LINK && !g->leaving) {
		update_link(r, h, &i);
		return;
	}
	l = g_link_find(g, i.hash);
	if (l && h->flags & G_FLAG_UNLINK)
		l->keep_until = r->now;
}

static void on_conf(struct receive *r, const struct g_record *rec)
{
	g_autofree char *text = rec->text ? g_strndup(rec->text, rec->text_len) : NULL;

	g_conf_apply(r->g, rec->key, rec->version, text, r->sender);
}

static void on_accounts(struct receive *r, const struct g_record *rec)
{
	struct g_link *l = r->link;

	if (!l)
		return;
	if (rec->kind == G_RECORD_ACCOUNTS_DOWN) {
		if (l->peer == r->g->parent)
			g_accounts_set_total(r->g, rec->accounts, rec->n_accounts);
		return;
	}
	memcpy(l->subtree_accounts, rec->accounts, rec->n_accounts * sizeof(rec->accounts[0]));
	l->n_subtree_accounts = rec->n_accounts;
}

static void on_load(struct receive *r, const struct g_record *rec)
{
	struct g_load l = rec->load;

	l.made_at = r->now - rec->load.made_at;
	l.observer = 0;
	r->g->stats.load_records_received++;
	g_load_apply(r->g, &l, r->sender, r->link);
}

static void on_record(void *arg, const struct g_header *h, const struct g_record *rec)
{
	struct receive *r = arg;
	struct gossip *g = r->g;

	if (!r->header_applied)
		apply_header(r, h);
	if (r->ignored)
		return;
	switch (rec->kind) {
	case G_RECORD_CONF:
		on_conf(r, rec);
		break;
	case G_RECORD_LEAVING:
		g_leaving_apply(g, rec->id, rec->leaving, rec->version, r->sender);
		break;
	case G_RECORD_POISON:
		g_poison_apply(g, &rec->poison, r->sender);
		break;
	case G_RECORD_MEMBER:
		/* The sender's own state is in the header. */
		if (rec->inst.hash != r->sender)
			g_member_apply(g, &rec->inst, r->sender, r->now);
		break;
	case G_RECORD_HEALTH:
		g_health_apply(g, &rec->health, r->sender);
		break;
	case G_RECORD_LOAD:
		on_load(r, rec);
		break;
	case G_RECORD_PULL:
		if (r->link)
			g_conf_serve_pull(g, r->link, rec, r->now);
		break;
	case G_RECORD_PULL_END:
		if (r->link)
			g_conf_pull_done(g, r->link, rec->bucket, r->now);
		break;
	case G_RECORD_ACCOUNTS_UP:
	case G_RECORD_ACCOUNTS_DOWN:
		on_accounts(r, rec);
		break;
	}
}

static bool mismatch_persists(int64_t *since, bool same, int64_t now)
{
	if (same) {
		*since = 0;
		return false;
	}
	if (*since == 0)
		*since = now;
	if (now - *since < G_MISMATCH_DELAY)
		return false;
	/* Reports a mismatch that continues again after twice the delay. */
	*since = now + G_MISMATCH_DELAY;
	return true;
}

static void compare_digests(struct receive *r)
{
	struct gossip *g = r->g;
	struct g_link *l = r->link;

	g_conf_compare(g, l, r->now);
	if (mismatch_persists(&l->members_differ_since, l->header.member_digest == g->member_digest,
			      r->now))
		g_send_members(g, l, l->address, r->now);
	if (mismatch_persists(&l->leaving_poison_differ_since,
			      l->header.leaving_poison_digest == g->leaving_poison_digest,
			      r->now)) {
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
	g->wall_offset = wall - now;
	rc = g_wire_verify(g, frame, len, &body);
	if (rc == 0)
		rc = g_wire_parse(frame, body, &h, on_record, &r);
	if (rc < 0) {
		g->stats.frames_dropped++;
		return rc;
	}
	g->stats.frames_received++;
	g->stats.bytes_received += len + 4;
	if (!r.header_applied)
		apply_header(&r, &h);
	if (r.ignored)
		return 0;
	*from = g->sender_address;
	if (r.link)
		compare_digests(&r);
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
	return get_sender(g, &h, &i) ? g->sender_address : NULL;
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
		/* The peer may have restarted and lack this instance's address and entries; objects
		 * and members that it lacks are found by the digests. */
		l->has_header = false;
		for (int c = 0; c < G_CLASS_COUNT; c++) {
			if (c != G_CONF && c != G_MEMBER)
				g_class_resend(l, c);
		}
	}
}

void gossip_leave(struct gossip *g, int64_t now, int64_t wall)
{
	g->wall_offset = wall - now;
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

void gossip_set_platform_reachable(struct gossip *g, bool reachable, int64_t wall)
{
	if (reachable)
		g->platform_contact = (uint32_t)(wall / USEC_PER_SEC);
	else
		g->platform_failed = true;
	if (!reachable)
		g->platform_required = false;
}

void gossip_require_platform(struct gossip *g)
{
	g->platform_required = true;
}

bool gossip_should_read_platform(const struct gossip *g, int64_t now)
{
	int64_t wait = PLATFORM_READ_WAIT + (int64_t)(g->self % PLATFORM_READ_SPREAD);

	return !g->configured && g->membership_stable && now - g->started >= wait &&
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

/* Whether to report an observation. Observations expire, so one other than live is repeated. */
static bool should_report_health(const struct gossip *g, const struct gossip_upstream *u,
				 const struct g_health *old, uint64_t version)
{
	bool live = u->state == MEMBER_LIVE || u->state == MEMBER_JOINING;

	/* Live is the default: records of each upstream by each prober would use up the limit. */
	if (live)
		return old && old->state != u->state;
	if (old && old->state == u->state && version < old->version + HEALTH_REFRESH_MS)
		return false;
	/* Two observers per failure domain are enough: the traffic doesn't grow with its size. */
	return gossip_position(g, u->id_hash) < 2;
}

void gossip_report_upstream(struct gossip *g, const struct gossip_upstream *u, int64_t now)
{
	struct g_health h = { .upstream = u->id_hash, .observer = g->self, .epoch = u->load.epoch };
	struct g_load l = { .upstream = u->id_hash, .observer = g->self };
	uint64_t key = hash_pair(u->id_hash, g->self);
	uint32_t i = GPOINTER_TO_UINT(g_hash_table_lookup(g->health_index, &key));
	const struct g_health *old = i ? &g_array_index(g->health, struct g_health, i - 1) : NULL;

	if (u->load.epoch) {
		l.report = u->load;
		l.made_at = now - MAX(u->load.age, 0);
		g_load_apply(g, &l, 0, NULL);
	}
	h.version = (uint64_t)((now + g->wall_offset) / USEC_PER_MSEC);
	if (u->state < 0 || !should_report_health(g, u, old, h.version))
		return;
	h.state = u->state;
	if (old && h.version <= old->version)
		h.version = old->version + 1;
	g_health_apply(g, &h, 0);
}

void gossip_report_poison(struct gossip *g, const struct poison_record *m, int64_t now)
{
	g_poison_apply(g, m, 0);
	g_send_urgent(g, now);
}

void gossip_report_accounts(struct gossip *g, const struct gossip_account *accounts, uint32_t n,
			    int64_t now)
{
	g->n_own_accounts = MIN(n, GOSSIP_ACCOUNTS_MAX);
	if (g->n_own_accounts)
		memcpy(g->own_accounts, accounts, g->n_own_accounts * sizeof(*accounts));
}

bool gossip_is_isolated(const struct gossip *g, int64_t now)
{
	return !g->joined_at && (!g->params.seeds || now - g->started >= ISOLATED_WAIT);
}

bool gossip_is_watcher(const struct gossip *g, int64_t now)
{
	if (!gossip_is_isolated(g, now) && !g->membership_stable)
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
		sum += now - g_array_index(g->load, struct g_load, i).made_at;
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
