#include "member/member.h"

#include <glib.h>
#include <string.h>

#include "member/member_priv.h"

#define MEMBER_MAX 4096 /* upstreams */
/* Upstreams added in this time after the first one are live immediately. */
#define MEMBER_STARTUP_TIME (5 * USEC_PER_SEC)
/* A joining upstream without any result becomes live after this time. */
#define MEMBER_JOIN_TIME (2 * USEC_PER_SEC)
/* A removed entry is freed this time after its last result. */
#define MEMBER_REMOVED_TTL		(10 * USEC_PER_SEC)
#define MEMBER_START_WEIGHT		0.1 /* at the start of a slow start */
#define MEMBER_UNREACHABLE_STREAK	4U /* consecutive failures of an unreachable upstream */
#define MEMBER_UNREACHABLE_TIME		(2 * USEC_PER_SEC) /* since its last success */
#define MEMBER_UNREACHABLE_WEIGHT	0.02 /* fraction of its capacity that it gets */
#define MEMBER_PROBE_PERIOD		(1 * USEC_PER_SEC)
#define MEMBER_PROBE_PERIOD_UNCONFIRMED (USEC_PER_SEC / 2) /* while the health is unconfirmed */
#define MEMBER_PROBERS			2U /* instances per failure domain that probe an upstream */
#define MEMBER_PROBERS_UNCONFIRMED	4U
#define MEMBER_PROBE_RATE		20.0 /* maximum per instance and second, about 4 KB/s */
#define MEMBER_PROBE_BURST		20.0 /* probes */

struct member {
	struct member_params params;
	struct tab entries; /* struct member_entry */
	GHashTable *by_id; /* id borrowed from the entry -> handle */
	GHashTable *services; /* service hash -> owned struct health_service; never removed */
	int64_t now; /* latest time of a tick or peer view */
	int64_t first_set_at; /* time of the first member_set(), valid if has_entries */
	bool has_entries;
	double probe_tokens; /* token bucket, at most MEMBER_PROBE_BURST */
	int64_t probe_tokens_at; /* last refill */
};

static const char *const state_names[MEMBER_STATE_COUNT] = {
#define X(name, text) text,
	MEMBER_STATE_TABLE(X)
#undef X
};

struct member *member_new(const struct member_params *p)
{
	struct member *m = g_new0(struct member, 1);

	m->params = *p;
	tab_init(&m->entries, sizeof(struct member_entry), MEMBER_MAX);
	m->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	m->services = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	m->probe_tokens = MEMBER_PROBE_BURST;
	return m;
}

static void entry_clear(struct member_entry *e)
{
	g_free(e->id);
	g_free(e->service);
	g_free(e->failure_domain);
	g_free(e->health);
}

void member_free(struct member *m)
{
	if (!m)
		return;
	for (uint32_t i = 0; i < m->entries.capacity; i++) {
		struct member_entry *e = tab_at(&m->entries, i, NULL);

		if (e)
			entry_clear(e);
	}
	g_hash_table_unref(m->by_id);
	g_hash_table_unref(m->services);
	tab_clear(&m->entries);
	g_free(m);
}

tab_handle member_find(const struct member *m, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(m->by_id, id));
}

static bool is_drained_or_leaving(const struct member_entry *e)
{
	return e->drained || e->listed_leaving;
}

static void set_state(struct member_entry *e, enum member_state s, int64_t now)
{
	if (e->state == s)
		return;
	e->state = s;
	health_of(e)->state_since = now;
}

/* Whether one more upstream of @e's service may be ejected. */
static bool may_eject(const struct member *m, const struct member_entry *e)
{
	uint32_t total = 0;
	uint32_t ejected = 0;

	for (uint32_t i = 0; i < m->entries.capacity; i++) {
		const struct member_entry *o = tab_at(&m->entries, i, NULL);

		if (!o || o->service_hash != e->service_hash || o->excluded ||
		    o->state == MEMBER_LEAVING || o->state == MEMBER_REMOVED)
			continue;
		total++;
		ejected += o->state == MEMBER_EJECTED;
	}
	return ejected + 1 <= m->params.eject_fraction * total + 1e-9;
}

static void update_weight(const struct member *m, struct member_entry *e, int64_t now)
{
	const struct health *h = health_of(e);
	double fraction = 1;

	if (h->slow_start_at && m->params.slow_start > 0)
		fraction = (double)(now - h->slow_start_at) / (double)m->params.slow_start;
	e->weight = MEMBER_START_WEIGHT + (1 - MEMBER_START_WEIGHT) * CLAMP(fraction, 0, 1);
	/*
	 * The ejection limit is meant for errors caused by overload. Upstreams that don't respond
	 * at all, as during a network partition between failure domains, must not get their full
	 * share of requests because of that limit.
	 */
	if (e->state == MEMBER_SUSPECT && h->failure_streak >= MEMBER_UNREACHABLE_STREAK &&
	    now - h->last_ok > MEMBER_UNREACHABLE_TIME)
		e->weight = MEMBER_UNREACHABLE_WEIGHT;
}

static void begin_slow_start(struct member_entry *e, int64_t now)
{
	health_of(e)->slow_start_at = MAX(now, 1);
	set_state(e, MEMBER_LIVE, now);
}

void member_set_excluded(struct member *m, tab_handle h, bool on)
{
	struct member_entry *e = tab_get(&m->entries, h);

	if (e)
		e->excluded = on;
}

void member_begin_slow_start(struct member *m, tab_handle h, int64_t now)
{
	struct member_entry *e = tab_get(&m->entries, h);

	if (e && e->state == MEMBER_LIVE) {
		begin_slow_start(e, now);
		update_weight(m, e, now);
	}
}

/* All state changes due to health happen here. */
static void update_entry(struct member *m, struct member_entry *e, int64_t now)
{
	struct health *h = health_of(e);

	h->bad = health_is_bad(h, now);
	switch (e->state) {
	case MEMBER_JOINING:
		if (h->success_streak > 0 || h->peer_live_at ||
		    (h->failure_streak == 0 && now - h->state_since >= MEMBER_JOIN_TIME))
			begin_slow_start(e, now);
		break;
	case MEMBER_LIVE:
	case MEMBER_SUSPECT:
		if (h->bad && may_eject(m, e)) {
			health_start_ejection(h, now);
			set_state(e, MEMBER_EJECTED, now);
		} else {
			set_state(e, health_is_suspect(h, now) ? MEMBER_SUSPECT : MEMBER_LIVE, now);
		}
		break;
	case MEMBER_EJECTED:
		if (!health_may_return(h, now))
			break;
		/* Failures from before the ejection must not cause another one. */
		h->total = 0;
		h->failed = 0;
		begin_slow_start(e, now);
		break;
	case MEMBER_LEAVING:
	case MEMBER_REMOVED:
	case MEMBER_STATE_COUNT:
		break;
	}
	update_weight(m, e, now);
}

static struct member_entry *entry_new(struct member *m, const char *id, int64_t now)
{
	struct member_entry *e;
	struct health *h;
	tab_handle handle;

	if (tab_add(&m->entries, &handle) < 0)
		return NULL;
	if (!m->has_entries) {
		m->has_entries = true;
		m->first_set_at = now;
	}
	e = tab_get(&m->entries, handle);
	e->handle = handle;
	e->id = g_strdup(id);
	e->id_hash = hash_str(id);
	h = g_new0(struct health, 1);
	h->state_since = now;
	h->probe_phase =
		(int64_t)(hash_pair(m->params.seed, e->id_hash) % (uint64_t)MEMBER_PROBE_PERIOD);
	e->health = h;
	/* At startup of this instance the fleet is usually running: its upstreams are not new. */
	e->state = now - m->first_set_at < MEMBER_STARTUP_TIME ? MEMBER_LIVE : MEMBER_JOINING;
	e->weight = e->state == MEMBER_LIVE ? 1 : MEMBER_START_WEIGHT;
	g_hash_table_insert(m->by_id, e->id, GUINT_TO_POINTER(handle));
	return e;
}

static struct health_service *find_or_add_service(struct member *m, uint64_t service)
{
	struct health_service *s = g_hash_table_lookup(m->services, &service);

	if (!s) {
		s = g_new0(struct health_service, 1);
		s->service = service;
		g_hash_table_insert(m->services, &s->service, s);
	}
	return s;
}

tab_handle member_set(struct member *m, const struct member_info *info, int64_t now)
{
	struct member_entry *e = tab_get(&m->entries, member_find(m, info->id));

	if (!e)
		e = entry_new(m, info->id, now);
	if (!e)
		return 0;
	g_free(e->service);
	g_free(e->failure_domain);
	e->service = g_strdup(info->service);
	e->service_hash = hash_str(info->service);
	health_of(e)->service = find_or_add_service(m, e->service_hash);
	e->failure_domain = g_strdup(info->failure_domain);
	e->capacity = info->capacity;
	if (e->state == MEMBER_REMOVED)
		set_state(e, is_drained_or_leaving(e) ? MEMBER_LEAVING : MEMBER_JOINING, now);
	return e->handle;
}

/* Sets the flag of one source, operator or list; drops versions older than @newest. */
static void set_flag(struct member_entry *e, uint64_t version, uint64_t *newest, bool *flag,
		     bool value, int64_t now)
{
	if (version < *newest)
		return;
	*newest = version;
	e->flag_version = MAX(e->flag_version, version);
	*flag = value;
	if (e->state == MEMBER_REMOVED)
		return;
	if (is_drained_or_leaving(e))
		set_state(e, MEMBER_LEAVING, now);
	else if (e->state == MEMBER_LEAVING)
		set_state(e, MEMBER_LIVE, now);
}

void member_set_drain(struct member *m, tab_handle h, bool drain, uint64_t version, int64_t now)
{
	struct member_entry *e = tab_get(&m->entries, h);

	if (e)
		set_flag(e, version, &health_of(e)->drain_version, &e->drained, drain, now);
}

void member_set_list_state(struct member *m, tab_handle h, bool leaving, uint64_t version,
			   int64_t now)
{
	struct member_entry *e = tab_get(&m->entries, h);

	if (e)
		set_flag(e, version, &health_of(e)->list_version, &e->listed_leaving, leaving, now);
}

void member_remove(struct member *m, tab_handle h, int64_t now)
{
	struct member_entry *e = tab_get(&m->entries, h);

	if (!e)
		return;
	set_state(e, MEMBER_REMOVED, now);
	health_of(e)->last_result_at = now;
}

void member_result(struct member *m, tab_handle h, enum member_result r, int64_t latency,
		   int64_t now)
{
	struct member_entry *e = tab_get(&m->entries, h);

	if (!e)
		return;
	health_of(e)->last_result_at = now;
	health_result(health_of(e), r, now);
	health_service_result(health_of(e)->service, r, now);
	update_entry(m, e, now);
}

void member_set_epoch(struct member *m, tab_handle h, uint64_t epoch, int64_t now)
{
	struct member_entry *e = tab_get(&m->entries, h);
	uint64_t previous;

	if (!e || epoch <= e->epoch)
		return;
	previous = e->epoch;
	e->epoch = epoch;
	if (!previous)
		return;
	health_reset(health_of(e), now);
	/* Its prefix cache is empty after the restart. */
	if (e->state == MEMBER_LIVE || e->state == MEMBER_SUSPECT)
		begin_slow_start(e, now);
	update_entry(m, e, now);
}

void member_peer_view(struct member *m, tab_handle h, uint64_t peer, enum member_state state,
		      uint64_t epoch, int64_t now)
{
	struct member_entry *e = tab_get(&m->entries, h);
	struct health *health;

	m->now = MAX(m->now, now);
	/* Epoch 0: the peer has no report of the upstream; its view may be of any epoch. */
	if (!e || (epoch && epoch < e->epoch))
		return;
	health = health_of(e);
	if (state == MEMBER_LIVE)
		health->peer_live_at = MAX(now, 1);
	health_add_peer_view(health, peer, state, epoch, now);
	update_entry(m, e, now);
}

void member_tick(struct member *m, int64_t now)
{
	m->now = MAX(m->now, now);
	for (uint32_t i = 0; i < m->entries.capacity; i++) {
		tab_handle handle;
		struct member_entry *e = tab_at(&m->entries, i, &handle);

		if (!e)
			continue;
		if (e->state != MEMBER_REMOVED) {
			update_entry(m, e, now);
		} else if (now - health_of(e)->last_result_at > MEMBER_REMOVED_TTL) {
			g_hash_table_remove(m->by_id, e->id);
			entry_clear(e);
			tab_del(&m->entries, handle);
		}
	}
}

const struct member_entry *member_get(const struct member *m, tab_handle h)
{
	return tab_get(&m->entries, h);
}

/*
 * Whether the upstream is not removed and neither this instance nor a peer considers it as leaving.
 * A peer's view doesn't change the state that this instance advertises: two instances would go on
 * confirming it to each other after the flag was cleared.
 */
static bool accepts_work(const struct member *m, const struct member_entry *e)
{
	if (e->state == MEMBER_LEAVING || e->state == MEMBER_REMOVED)
		return false;
	return !health_has_leaving_view(health_of(e), m->now);
}

uint32_t member_usable(const struct member *m, const char *service, tab_handle *out, uint32_t max)
{
	uint64_t hash = hash_str(service);
	uint32_t n = 0;
	uint32_t healthy = 0;

	for (uint32_t i = 0; i < m->entries.capacity && n < max; i++) {
		const struct member_entry *e = tab_at(&m->entries, i, NULL);

		if (!e || e->service_hash != hash || !accepts_work(m, e) ||
		    (e->state != MEMBER_LIVE && e->state != MEMBER_SUSPECT))
			continue;
		out[n++] = e->handle;
		healthy += !health_of(e)->bad;
	}
	if (healthy > 0)
		return n;
	n = 0;
	for (uint32_t i = 0; i < m->entries.capacity && n < max; i++) {
		const struct member_entry *e = tab_at(&m->entries, i, NULL);

		if (e && e->service_hash == hash && accepts_work(m, e))
			out[n++] = e->handle;
	}
	return n;
}

const struct member_entry *member_at(const struct member *m, uint32_t i)
{
	return tab_at(&m->entries, i, NULL);
}

uint32_t member_slots(const struct member *m)
{
	return m->entries.capacity;
}

static bool take_probe_token(struct member *m, int64_t now)
{
	double dt = (double)(now - m->probe_tokens_at) / USEC_PER_SEC;

	if (dt > 0) {
		m->probe_tokens = MIN(MEMBER_PROBE_BURST, m->probe_tokens + dt * MEMBER_PROBE_RATE);
		m->probe_tokens_at = now;
	}
	if (m->probe_tokens < 1)
		return false;
	m->probe_tokens -= 1;
	return true;
}

bool member_probe_due(struct member *m, tab_handle h, uint32_t position, int64_t now)
{
	struct member_entry *e = tab_get(&m->entries, h);
	struct health *health;
	bool unconfirmed;
	int64_t period;

	if (!e || e->state == MEMBER_REMOVED)
		return false;
	health = health_of(e);
	unconfirmed = e->state == MEMBER_JOINING || e->state == MEMBER_SUSPECT ||
		      e->state == MEMBER_EJECTED || health_failing_views(health, now) > 0;
	/*
	 * The first two instances of the failure domain, or four while the health is unconfirmed,
	 * probe on behalf of all. An instance that suspects or ejected the upstream probes too, as
	 * recovery shows only on its own path.
	 */
	if (position >= (unconfirmed ? MEMBER_PROBERS_UNCONFIRMED : MEMBER_PROBERS) &&
	    e->state != MEMBER_EJECTED && e->state != MEMBER_SUSPECT)
		return false;
	period = unconfirmed ? MEMBER_PROBE_PERIOD_UNCONFIRMED : MEMBER_PROBE_PERIOD;
	if (!health->probed_at)
		health->probed_at = MAX(1, now - period + health->probe_phase % period);
	if (now - health->probed_at < period || !take_probe_token(m, now))
		return false;
	health->probed_at = MAX(1, now);
	return true;
}

const char *member_state_name(enum member_state s)
{
	return state_names[s];
}
