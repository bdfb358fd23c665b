#include "member/member.h"

#include <glib.h>
#include <string.h>

#include "member/member_priv.h"

#define MEMBER_LIMIT	     4096
#define MEMBER_SETTLE	     (5 * USEC_PER_SEC) /* rows of this first time need no joining */
#define MEMBER_JOIN	     (2 * USEC_PER_SEC) /* joining without any result ends after this */
#define MEMBER_LINGER	     (10 * USEC_PER_SEC) /* a gone row is freed after its last result */
#define MEMBER_FIRST_WEIGHT  0.1 /* at the begin of a slow start */
#define MEMBER_LOST_STREAK   4U /* failures in a row of an upstream that answers nothing */
#define MEMBER_LOST_TIME     (2 * USEC_PER_SEC)
#define MEMBER_LOST_WEIGHT   0.02
#define MEMBER_PROBE	     (1 * USEC_PER_SEC)
#define MEMBER_PROBE_DOUBT   (USEC_PER_SEC / 2) /* period while there is doubt */
#define MEMBER_PROBERS	     2U /* instances of a failure domain that probe one upstream */
#define MEMBER_PROBERS_DOUBT 4U
#define MEMBER_PROBE_RATE    20.0 /* probes a second of one instance, at most: about 4 KB/s */
#define MEMBER_PROBE_BURST   20.0

struct member {
	struct member_params params;
	struct tab rows; /* struct member_entry */
	GHashTable *by_id; /* id borrowed from the row -> handle */
	GHashTable *pools; /* service hash -> owned struct health_pool; kept for the table's life */
	int64_t now; /* newest time that was given */
	int64_t first_set; /* time of the first member_set(), valid if has_rows */
	bool has_rows;
	double probe_tokens; /* limiter, at most MEMBER_PROBE_BURST */
	int64_t probe_at;
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
	tab_init(&m->rows, sizeof(struct member_entry), MEMBER_LIMIT);
	m->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	m->pools = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	m->probe_tokens = MEMBER_PROBE_BURST;
	return m;
}

static void row_clear(struct member_entry *r)
{
	g_free(r->id);
	g_free(r->service);
	g_free(r->failure_domain);
	g_free(r->health);
}

void member_free(struct member *m)
{
	if (!m)
		return;
	for (uint32_t i = 0; i < m->rows.capacity; i++) {
		struct member_entry *r = tab_at(&m->rows, i, NULL);

		if (r)
			row_clear(r);
	}
	g_hash_table_unref(m->by_id);
	g_hash_table_unref(m->pools);
	tab_clear(&m->rows);
	g_free(m);
}

tab_handle member_find(const struct member *m, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(m->by_id, id));
}

static bool is_marked(const struct member_entry *r)
{
	return r->drained || r->listed_leaving;
}

static void set_state(struct member_entry *r, enum member_state s, int64_t now)
{
	if (r->state == s)
		return;
	r->state = s;
	health_of(r)->state_at = now;
}

/* Whether one more upstream of @r's service may be ejected. */
static bool may_eject(const struct member *m, const struct member_entry *r)
{
	uint32_t total = 0;
	uint32_t ejected = 0;

	for (uint32_t i = 0; i < m->rows.capacity; i++) {
		const struct member_entry *o = tab_at(&m->rows, i, NULL);

		if (!o || o->service_hash != r->service_hash || o->state == MEMBER_LEAVING ||
		    o->state == MEMBER_REMOVED)
			continue;
		total++;
		ejected += o->state == MEMBER_EJECTED;
	}
	return ejected + 1 <= m->params.eject_fraction * total + 1e-9;
}

static void update_weight(const struct member *m, struct member_entry *r, int64_t now)
{
	const struct health *h = health_of(r);
	double part = 1;

	if (h->live_since && m->params.slow_start > 0)
		part = (double)(now - h->live_since) / (double)m->params.slow_start;
	r->weight = MEMBER_FIRST_WEIGHT + (1 - MEMBER_FIRST_WEIGHT) * CLAMP(part, 0, 1);
	/*
	 * The ejection limit guards against errors that an overload causes. What answers nothing at
	 * all, as across a cut between failure domains, must not get its share because of the limit.
	 */
	if (r->state == MEMBER_SUSPECT && h->streak >= MEMBER_LOST_STREAK &&
	    now - h->last_ok > MEMBER_LOST_TIME)
		r->weight = MEMBER_LOST_WEIGHT;
}

static void start_slowly(struct member_entry *r, int64_t now)
{
	health_of(r)->live_since = MAX(now, 1);
	set_state(r, MEMBER_LIVE, now);
}

/* The one place where health changes the state. */
static void update_row(struct member *m, struct member_entry *r, int64_t now)
{
	struct health *h = health_of(r);

	h->bad = health_is_bad(h, now);
	switch (r->state) {
	case MEMBER_JOINING:
		if (h->good_streak > 0 || h->peer_live_at ||
		    (h->streak == 0 && now - h->state_at >= MEMBER_JOIN))
			start_slowly(r, now);
		break;
	case MEMBER_LIVE:
	case MEMBER_SUSPECT:
		if (h->bad && may_eject(m, r)) {
			health_ejected(h, now);
			set_state(r, MEMBER_EJECTED, now);
		} else {
			set_state(r, health_is_doubtful(h, now) ? MEMBER_SUSPECT : MEMBER_LIVE,
				  now);
		}
		break;
	case MEMBER_EJECTED:
		if (!health_is_good(h, now))
			break;
		/* The failures before the ejection were answered by it. */
		h->total = 0;
		h->failed = 0;
		start_slowly(r, now);
		break;
	case MEMBER_LEAVING:
	case MEMBER_REMOVED:
	case MEMBER_STATE_COUNT:
		break;
	}
	update_weight(m, r, now);
}

static struct member_entry *row_new(struct member *m, const char *id, int64_t now)
{
	struct member_entry *r;
	struct health *h;
	tab_handle handle;

	if (tab_add(&m->rows, &handle) < 0)
		return NULL;
	if (!m->has_rows) {
		m->has_rows = true;
		m->first_set = now;
	}
	r = tab_get(&m->rows, handle);
	r->handle = handle;
	r->id = g_strdup(id);
	r->id_hash = hash_str(id);
	h = g_new0(struct health, 1);
	h->state_at = now;
	h->probe_phase = (int64_t)(hash_pair(m->params.seed, r->id_hash) % (uint64_t)MEMBER_PROBE);
	r->health = h;
	/* An instance that starts finds a running fleet: its upstreams are not new. */
	r->state = now - m->first_set < MEMBER_SETTLE ? MEMBER_LIVE : MEMBER_JOINING;
	r->weight = r->state == MEMBER_LIVE ? 1 : MEMBER_FIRST_WEIGHT;
	g_hash_table_insert(m->by_id, r->id, GUINT_TO_POINTER(handle));
	return r;
}

static struct health_pool *pool_of(struct member *m, uint64_t service)
{
	struct health_pool *p = g_hash_table_lookup(m->pools, &service);

	if (!p) {
		p = g_new0(struct health_pool, 1);
		p->service = service;
		g_hash_table_insert(m->pools, &p->service, p);
	}
	return p;
}

tab_handle member_set(struct member *m, const struct member_info *info, int64_t now)
{
	struct member_entry *r = tab_get(&m->rows, member_find(m, info->id));

	if (!r)
		r = row_new(m, info->id, now);
	if (!r)
		return 0;
	g_free(r->service);
	g_free(r->failure_domain);
	r->service = g_strdup(info->service);
	r->service_hash = hash_str(info->service);
	health_of(r)->pool = pool_of(m, r->service_hash);
	r->failure_domain = g_strdup(info->failure_domain);
	r->capacity = info->capacity;
	if (r->state == MEMBER_REMOVED)
		set_state(r, is_marked(r) ? MEMBER_LEAVING : MEMBER_JOINING, now);
	return r->handle;
}

/* A mark of one source; an older version of the same source is dropped. */
static void set_mark(struct member_entry *r, uint64_t version, uint64_t *newest, bool *mark,
		     bool value, int64_t now)
{
	if (version < *newest)
		return;
	*newest = version;
	r->mark_version = MAX(r->mark_version, version);
	*mark = value;
	if (r->state == MEMBER_REMOVED)
		return;
	if (is_marked(r))
		set_state(r, MEMBER_LEAVING, now);
	else if (r->state == MEMBER_LEAVING)
		set_state(r, MEMBER_LIVE, now);
}

void member_set_drain(struct member *m, tab_handle h, bool drain, uint64_t version, int64_t now)
{
	struct member_entry *r = tab_get(&m->rows, h);

	if (r)
		set_mark(r, version, &health_of(r)->drain_version, &r->drained, drain, now);
}

void member_set_list_state(struct member *m, tab_handle h, bool leaving, uint64_t version,
			   int64_t now)
{
	struct member_entry *r = tab_get(&m->rows, h);

	if (r)
		set_mark(r, version, &health_of(r)->list_version, &r->listed_leaving, leaving, now);
}

void member_remove(struct member *m, tab_handle h, int64_t now)
{
	struct member_entry *r = tab_get(&m->rows, h);

	if (!r)
		return;
	set_state(r, MEMBER_REMOVED, now);
	health_of(r)->result_at = now;
}

void member_result(struct member *m, tab_handle h, enum member_result r, int64_t latency,
		   int64_t now)
{
	struct member_entry *row = tab_get(&m->rows, h);

	if (!row)
		return;
	health_of(row)->result_at = now;
	health_result(health_of(row), r, now);
	health_pool_result(health_of(row)->pool, r, now);
	update_row(m, row, now);
}

void member_set_epoch(struct member *m, tab_handle h, uint64_t epoch, int64_t now)
{
	struct member_entry *r = tab_get(&m->rows, h);
	uint64_t was;

	if (!r || epoch <= r->epoch)
		return;
	was = r->epoch;
	r->epoch = epoch;
	if (!was)
		return;
	health_restarted(health_of(r), now);
	/* It is up again but its prefix memory is empty. */
	if (r->state == MEMBER_LIVE || r->state == MEMBER_SUSPECT)
		start_slowly(r, now);
	update_row(m, r, now);
}

void member_peer_view(struct member *m, tab_handle h, uint64_t peer, enum member_state state,
		      uint64_t epoch, int64_t now)
{
	struct member_entry *r = tab_get(&m->rows, h);
	struct health *v;

	m->now = MAX(m->now, now);
	/* An epoch of 0 means that the peer has no report; its view is then of unknown age. */
	if (!r || (epoch && epoch < r->epoch))
		return;
	v = health_of(r);
	if (state == MEMBER_LIVE)
		v->peer_live_at = MAX(now, 1);
	health_peer(v, peer, state, epoch, now);
	update_row(m, r, now);
}

void member_tick(struct member *m, int64_t now)
{
	m->now = MAX(m->now, now);
	for (uint32_t i = 0; i < m->rows.capacity; i++) {
		tab_handle handle;
		struct member_entry *r = tab_at(&m->rows, i, &handle);

		if (!r)
			continue;
		if (r->state != MEMBER_REMOVED) {
			update_row(m, r, now);
		} else if (now - health_of(r)->result_at > MEMBER_LINGER) {
			g_hash_table_remove(m->by_id, r->id);
			row_clear(r);
			tab_del(&m->rows, handle);
		}
	}
}

const struct member_entry *member_get(const struct member *m, tab_handle h)
{
	return tab_get(&m->rows, h);
}

/*
 * Neither marked here nor by a peer. A peer's mark does not change the state that this instance
 * tells others: they would confirm it to each other after it was taken back.
 */
static bool is_open(const struct member *m, const struct member_entry *r)
{
	if (r->state == MEMBER_LEAVING || r->state == MEMBER_REMOVED)
		return false;
	return !health_peers_leaving(health_of(r), m->now);
}

uint32_t member_usable(const struct member *m, const char *service, tab_handle *out, uint32_t max)
{
	uint64_t hash = hash_str(service);
	uint32_t n = 0;
	uint32_t healthy = 0;

	for (uint32_t i = 0; i < m->rows.capacity && n < max; i++) {
		const struct member_entry *r = tab_at(&m->rows, i, NULL);

		if (!r || r->service_hash != hash || !is_open(m, r) ||
		    (r->state != MEMBER_LIVE && r->state != MEMBER_SUSPECT))
			continue;
		out[n++] = r->handle;
		healthy += !health_of(r)->bad;
	}
	if (healthy > 0)
		return n;
	n = 0;
	for (uint32_t i = 0; i < m->rows.capacity && n < max; i++) {
		const struct member_entry *r = tab_at(&m->rows, i, NULL);

		if (r && r->service_hash == hash && is_open(m, r))
			out[n++] = r->handle;
	}
	return n;
}

const struct member_entry *member_at(const struct member *m, uint32_t i)
{
	return tab_at(&m->rows, i, NULL);
}

uint32_t member_slots(const struct member *m)
{
	return m->rows.capacity;
}

static bool take_probe(struct member *m, int64_t now)
{
	double dt = (double)(now - m->probe_at) / USEC_PER_SEC;

	if (dt > 0) {
		m->probe_tokens = MIN(MEMBER_PROBE_BURST, m->probe_tokens + dt * MEMBER_PROBE_RATE);
		m->probe_at = now;
	}
	if (m->probe_tokens < 1)
		return false;
	m->probe_tokens -= 1;
	return true;
}

bool member_probe_due(struct member *m, tab_handle h, uint32_t position, int64_t now)
{
	struct member_entry *r = tab_get(&m->rows, h);
	struct health *v;
	bool doubt;
	int64_t period;

	if (!r || r->state == MEMBER_REMOVED)
		return false;
	v = health_of(r);
	doubt = r->state == MEMBER_JOINING || r->state == MEMBER_SUSPECT ||
		r->state == MEMBER_EJECTED || health_peers_bad(v, now) > 0;
	/*
	 * The domain's first two instances probe for all. One that ejected by itself probes too, as
	 * only its own path tells it when to stop.
	 */
	if (position >= (doubt ? MEMBER_PROBERS_DOUBT : MEMBER_PROBERS) &&
	    r->state != MEMBER_EJECTED && r->state != MEMBER_SUSPECT)
		return false;
	period = doubt ? MEMBER_PROBE_DOUBT : MEMBER_PROBE;
	if (!v->probed_at)
		v->probed_at = MAX(1, now - period + v->probe_phase % period);
	if (now - v->probed_at < period || !take_probe(m, now))
		return false;
	v->probed_at = MAX(1, now);
	return true;
}

const char *member_state_name(enum member_state s)
{
	return state_names[s];
}
