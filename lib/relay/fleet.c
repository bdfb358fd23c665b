#include "relay/fleet.h"

#include <math.h>
#include <string.h>

#include "http/http_idle.h"
#include "locality/pace.h"
#include "place/load.h"
#include "trace/trace.h"

#define FLEET_MAX      1024U /* upstreams; the target size has 670 */
#define EJECT_FRACTION 0.5 /* largest part of a service that own traffic may take out */
#define SLOW_START     (2 * USEC_PER_SEC) /* a new engine has an empty prompt memory */
/*
 * The fleet's promise is twice the mean and three; a part of the room above the mean is left for
 * requests that other instances send at the same time.
 */
#define LOAD_BOUND 1.75
#define LOAD_SLACK 2.5
/*
 * Between seven tenths of the bound and the bound requests yield. A wider part copies more prompts,
 * a narrower one lets instances move together (/limit/usual).
 */
#define LOAD_EARLY 0.3
/* Reading a shorter prompt again costs less than the setup of a copy and 23 bytes to every instance. */
#define HELD_TOKENS 256U
#define PART_ROWS   16384U /* 2.5 MB; two parts of 8,000 chats */
/*
 * An idle connection is closed before its upstream does it, so that no request crosses the close.
 * IDLE_MAX is for upstreams that don't tell when that is, and for requests that can't be sent again:
 * an upstream may drop a connection sooner than it says, and that is the less likely the younger it is.
 */
#define IDLE_MAX    (5 * USEC_PER_SEC)
#define IDLE_MARGIN (500 * USEC_PER_MSEC)
#define CONNS_KEPT  16U /* idle connections to one upstream */
/* After this time the chats that belong to a new upstream have been sent there. */
#define NEW_FOR (20 * USEC_PER_SEC)
/*
 * An upstream that can't be connected to gets one attempt in this time, so that requests which only
 * it could serve are refused at once and its return is seen soon.
 */
#define DARK_FAILURES  2U
#define DARK_TRY_EVERY (500 * USEC_PER_MSEC)
/*
 * Lost paths to this many upstreams of a failure domain, and no answer from there since, are a cut
 * from the domain: a single one may have crashed. The others there are tried as rarely then.
 */
#define CUT_PATHS 2U
/* An ejection lasts three seconds at least, and two good answers end it. */
#define PROBE_FIRST (2 * USEC_PER_SEC)
#define PROBE_EVERY (1 * USEC_PER_SEC)

/* The paths from this instance to one failure domain. */
struct fleet_domain {
	uint32_t n_lost; /* rows whose path is lost */
	int64_t lost_at; /* time of the latest loss */
	int64_t answered_at; /* last answer from there */
	int64_t tried_at; /* last attempt there */
	bool told_cut; /* the last domain line said that it is cut off */
};

struct fleet_row {
	tab_handle handle;
	char *id;
	char *service;
	char *addr;
	char *domain;
	struct fleet_domain *paths; /* of domain, borrowed */
	uint64_t version; /* newest entry taken */
	uint64_t started;
	uint64_t id_hash; /* of id and started */
	uint32_t slots;
	uint32_t own_running;
	double waiting; /* prompt tokens sent by this instance and not read yet */
	int64_t added_at; /* time at which it joined the table or restarted; 0: with the first list */
	bool draining;
	int64_t probed_at; /* last probe, or when the time to the next one starts */
	uint32_t connect_failures; /* in a row */
	int64_t tried_at; /* last attempt */
	enum member_state told; /* state in the last health line */
	bool lost; /* there is no path to it, as far as known */
	struct http_idle *idle; /* owned */
	struct pace pace;
};

struct fleet {
	char *domain;
	struct member *member;
	struct load *load;
	struct locality *locality;
	GHashTable *rows; /* handle -> owned struct fleet_row */
	GHashTable *by_id; /* id -> borrowed struct fleet_row */
	GHashTable *by_hash; /* id_hash -> borrowed struct fleet_row */
	GHashTable *usual; /* service -> owned double; a handful for the fleet's life */
	GHashTable *domains; /* name -> owned struct fleet_domain; a handful for the fleet's life */
	fleet_load_fn on_load; /* NULL: none */
	void *on_load_arg;
	fleet_held_fn on_held; /* NULL: none */
	void *on_held_arg;
	bool has_list; /* the first whole list was given; later upstreams are new */
	GHashTable
		*removed; /* id -> list version of its removal, so that an old entry can't return */
	uint32_t instances;
	/* Scratch space of one decision: upstreams that take requests, then sources. */
	tab_handle handles[FLEET_MAX + FLEET_MAX];
	struct locality_candidate candidates[FLEET_MAX + FLEET_MAX];
};

static void row_free(gpointer p)
{
	struct fleet_row *r = p;

	http_idle_free(r->idle);
	g_free(r->id);
	g_free(r->service);
	g_free(r->addr);
	g_free(r->domain);
	g_free(r);
}

struct fleet *fleet_new(const struct fleet_params *p)
{
	struct fleet *f = g_new0(struct fleet, 1);
	struct member_params mp = { p->seed, EJECT_FRACTION, SLOW_START };
	struct locality_params lp = { LOAD_BOUND, LOAD_SLACK, PART_ROWS, LOAD_EARLY };

	f->domain = g_strdup(p->domain);
	f->member = member_new(&mp);
	f->load = load_new();
	f->locality = locality_new(&lp);
	f->rows = g_hash_table_new_full(NULL, NULL, NULL, row_free);
	f->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	f->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	f->removed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->domains = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->usual = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet_set_instances(f, p->instances);
	return f;
}

void fleet_free(struct fleet *f)
{
	if (!f)
		return;
	g_hash_table_unref(f->by_id);
	g_hash_table_unref(f->by_hash);
	g_hash_table_unref(f->rows);
	g_hash_table_unref(f->removed);
	g_hash_table_unref(f->domains);
	g_hash_table_unref(f->usual);
	member_free(f->member);
	load_free(f->load);
	locality_free(f->locality);
	g_free(f->domain);
	g_free(f);
}

void fleet_set_instances(struct fleet *f, uint32_t n)
{
	f->instances = MAX(n, 1U);
	load_set_instances(f->load, f->instances);
}

static struct fleet_row *row_of(const struct fleet *f, tab_handle h)
{
	return g_hash_table_lookup(f->rows, GUINT_TO_POINTER(h));
}

static void trace_entry(const struct fleet_row *r, const char *state, const char *source)
{
	char id[96];
	char service[64];
	char addr[64];
	char version[24];

	g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT, r->version);
	trace(UPSTREAM, trace_sanitize(id, sizeof(id), r->id),
	      trace_sanitize(service, sizeof(service), r->service),
	      trace_sanitize(addr, sizeof(addr), r->addr), state, source, version);
}

static struct fleet_domain *domain_of(struct fleet *f, const char *name)
{
	struct fleet_domain *d = g_hash_table_lookup(f->domains, name ? name : "");

	if (!d) {
		d = g_new0(struct fleet_domain, 1);
		g_hash_table_insert(f->domains, g_strdup(name ? name : ""), d);
	}
	return d;
}

static bool is_cut_off(const struct fleet_domain *d)
{
	return d->n_lost >= CUT_PATHS && d->answered_at < d->lost_at;
}

static void tell_domain(struct fleet_domain *d, const char *name)
{
	bool cut = is_cut_off(d);
	char word[64];

	if (cut == d->told_cut)
		return;
	trace(DOMAIN, trace_sanitize(word, sizeof(word), name), cut ? "cut_off" : "in_reach",
	      d->n_lost);
	d->told_cut = cut;
}

static void set_lost(struct fleet_row *r, bool lost, const char *reason, int64_t now)
{
	char id[96];

	if (lost == r->lost)
		return;
	r->lost = lost;
	r->paths->n_lost += lost ? 1U : -1U;
	if (lost)
		r->paths->lost_at = now;
	trace(REACHABILITY, trace_sanitize(id, sizeof(id), r->id), lost ? "lost" : "back", reason);
	tell_domain(r->paths, r->domain);
}

static void set_domain(struct fleet *f, struct fleet_row *r, const char *name)
{
	if (r->paths && g_strcmp0(r->domain, name) == 0)
		return;
	if (r->paths)
		r->paths->n_lost -= r->lost;
	g_free(r->domain);
	r->domain = g_strdup(name);
	r->paths = domain_of(f, name);
	r->paths->n_lost += r->lost;
}

static void set_text(char **to, const char *text)
{
	if (g_strcmp0(*to, text) == 0)
		return;
	g_free(*to);
	*to = g_strdup(text);
}

static struct fleet_row *add_row(struct fleet *f, const struct fleet_entry *e, int64_t now)
{
	struct member_info info = { e->id, e->service, e->domain, MAX(e->slots, 1U) };
	tab_handle h = member_set(f->member, &info, now);
	struct fleet_row *r;

	if (!h)
		return NULL;
	r = row_of(f, h);
	if (r)
		return r;
	r = g_new0(struct fleet_row, 1);
	r->handle = h;
	r->id = g_strdup(e->id);
	r->added_at = f->has_list ? now : 0;
	r->idle = http_idle_new();
	g_hash_table_insert(f->rows, GUINT_TO_POINTER(h), r);
	g_hash_table_insert(f->by_id, r->id, r);
	return r;
}

void fleet_set(struct fleet *f, const struct fleet_entry *e, const char *source, int64_t now)
{
	struct fleet_row *r = g_hash_table_lookup(f->by_id, e->id);
	const uint64_t *removed = g_hash_table_lookup(f->removed, e->id);
	bool changed;

	if ((r && e->version < r->version) || (removed && e->version <= *removed))
		return;
	if (!r && g_hash_table_size(f->rows) >= FLEET_MAX) {
		char id[96];

		trace(UPSTREAM, trace_sanitize(id, sizeof(id), e->id), "-", "-", "table_full",
		      source, "-");
		return;
	}
	changed = !r || r->draining != e->draining || r->started != e->started ||
		  g_strcmp0(r->addr, e->addr) != 0;
	if (!r)
		r = add_row(f, e, now);
	if (!r)
		return;
	g_hash_table_remove(f->removed, e->id);
	if (g_strcmp0(r->addr, e->addr) != 0 || r->started != e->started)
		http_idle_expire(r->idle, INT64_MAX);
	r->version = e->version;
	r->draining = e->draining;
	r->slots = e->slots;
	set_text(&r->service, e->service);
	set_text(&r->addr, e->addr);
	set_domain(f, r, e->domain);
	if (r->started != e->started && e->started) {
		member_epoch(f->member, r->handle, e->started, now);
		/* A new process under the id holds none of the prompts that were sent there before. */
		if (r->started && f->has_list)
			r->added_at = now;
		r->started = e->started;
	}
	if (g_hash_table_lookup(f->by_hash, &r->id_hash) == r)
		g_hash_table_remove(f->by_hash, &r->id_hash);
	r->id_hash = hash_pair(hash_str(r->id), r->started);
	g_hash_table_replace(f->by_hash, &r->id_hash, r);
	member_listed(f->member, r->handle, e->draining, e->version, now);
	if (changed)
		trace_entry(r, e->draining ? "draining" : "ready", source);
}

static void drop_row(struct fleet *f, struct fleet_row *r, uint64_t version, const char *source,
		     int64_t now)
{
	uint64_t *v = g_new(uint64_t, 1);

	*v = MAX(version, r->version);
	r->version = *v;
	g_hash_table_replace(f->removed, g_strdup(r->id), v);
	r->paths->n_lost -= r->lost;
	trace_entry(r, "gone", source);
	member_remove(f->member, r->handle, now);
	load_forget(f->load, r->handle);
	http_idle_expire(r->idle, INT64_MAX);
	g_hash_table_remove(f->by_id, r->id);
	g_hash_table_remove(f->by_hash, &r->id_hash);
	g_hash_table_remove(f->rows, GUINT_TO_POINTER(r->handle));
}

void fleet_remove(struct fleet *f, const char *id, uint64_t version, const char *source,
		  int64_t now)
{
	struct fleet_row *r = g_hash_table_lookup(f->by_id, id);

	if (r && version >= r->version)
		drop_row(f, r, version, source, now);
}

void fleet_settled(struct fleet *f)
{
	f->has_list = true;
}

static void tell_health(struct fleet_row *r, const struct member_row *m, int64_t now)
{
	char id[96];

	if (m->state == r->told)
		return;
	trace(HEALTH, trace_sanitize(id, sizeof(id), r->id), member_state_name(m->state),
	      member_state_name(r->told));
	if (m->state == MEMBER_EJECTED)
		r->probed_at = now + PROBE_FIRST - PROBE_EVERY;
	r->told = m->state;
}

void fleet_tick(struct fleet *f, int64_t now)
{
	g_autoptr(GList) rows = NULL;

	member_tick(f->member, now);
	rows = g_hash_table_get_values(f->rows);
	for (GList *l = rows; l; l = l->next) {
		struct fleet_row *r = l->data;
		const struct member_row *m = member_get(f->member, r->handle);

		if (m)
			tell_health(r, m, now);
		http_idle_expire(r->idle, now);
	}
}

static bool is_among(const tab_handle *list, uint32_t n, tab_handle h)
{
	for (uint32_t i = 0; i < n; i++) {
		if (list[i] == h)
			return true;
	}
	return false;
}

static bool is_dark(const struct fleet_row *r, int64_t now)
{
	return r->lost && now - r->tried_at < DARK_TRY_EVERY;
}

/* Whether it is in a domain that is cut off and was tried a short time ago. */
static bool is_behind_cut(const struct fleet_row *r, int64_t now)
{
	return is_cut_off(r->paths) && now - r->paths->tried_at < DARK_TRY_EVERY;
}

static void fill_candidate(const struct fleet *f, const struct fleet_row *r, int64_t now,
			   struct locality_candidate *out, int64_t *age)
{
	const struct member_row *m = member_get(f->member, r->handle);
	struct load_view v;

	load_view(f->load, r->handle, now, &v);
	*age = v.age;
	*out = (struct locality_candidate){
		.id_hash = r->id_hash,
		.running = MAX(v.tokens, (double)r->own_running),
		.waiting = r->waiting,
		.weight = m ? m->weight : 1,
		.slots = r->slots,
		.call_time = pace_time(&r->pace, now),
		.near = g_strcmp0(r->domain, f->domain) == 0,
		.is_new = r->added_at && now - r->added_at < NEW_FOR,
		.unreachable = r->lost || is_cut_off(r->paths),
	};
}

/* Appends what takes no requests but may hold prompts, while its list entry lives. */
static uint32_t add_sources(struct fleet *f, const struct call *c, uint32_t n, int64_t now)
{
	uint32_t total = n;
	GHashTableIter it;
	gpointer p;
	int64_t age;

	g_hash_table_iter_init(&it, f->rows);
	while (g_hash_table_iter_next(&it, NULL, &p) && total < G_N_ELEMENTS(f->handles)) {
		const struct fleet_row *r = p;
		const struct member_row *m = member_get(f->member, r->handle);

		if (g_strcmp0(r->service, c->service) != 0 || is_among(f->handles, n, r->handle) ||
		    !m ||
		    (m->state != MEMBER_LEAVING && m->state != MEMBER_LIVE &&
		     m->state != MEMBER_JOINING))
			continue;
		fill_candidate(f, r, now, &f->candidates[total], &age);
		f->candidates[total].source_only = true;
		f->candidates[total].weight = 1;
		f->handles[total++] = r->handle;
	}
	return total;
}

/*
 * When all healthy upstreams were tried in vain, those that were taken out for their errors may
 * still answer; what leaves gets nothing.
 */
static uint32_t add_last_resorts(struct fleet *f, const struct call *c, const tab_handle *avoid,
				 uint32_t n_avoid, int64_t now)
{
	uint32_t n = 0;
	GHashTableIter it;
	gpointer p;
	int64_t age;

	g_hash_table_iter_init(&it, f->rows);
	while (g_hash_table_iter_next(&it, NULL, &p) && n < FLEET_MAX) {
		const struct fleet_row *r = p;
		const struct member_row *m = member_get(f->member, r->handle);

		if (g_strcmp0(r->service, c->service) != 0 || !m || m->state == MEMBER_LEAVING ||
		    m->state == MEMBER_GONE || is_among(avoid, n_avoid, r->handle) ||
		    is_dark(r, now))
			continue;
		fill_candidate(f, r, now, &f->candidates[n], &age);
		f->handles[n++] = r->handle;
	}
	return n;
}

/* When most of a service is new, as at the start of a site, nothing older holds its prompts. */
static void settle_new(struct locality_candidate *cand, uint32_t n)
{
	uint32_t n_new = 0;

	for (uint32_t i = 0; i < n; i++)
		n_new += cand[i].is_new;
	for (uint32_t i = 0; i < n && 2 * n_new > n; i++)
		cand[i].is_new = false;
}

int fleet_choose(struct fleet *f, const struct call *c, const tab_handle *avoid, uint32_t n_avoid,
		 int64_t now, struct fleet_pick *out)
{
	struct locality_request req;
	const double *usual = g_hash_table_lookup(f->usual, c->service);
	int64_t age;
	uint32_t n = member_usable(f->member, c->service, f->handles, FLEET_MAX);
	uint32_t kept = 0;
	uint32_t total;
	uint32_t at;

	for (uint32_t i = 0; i < n; i++) {
		const struct fleet_row *r = row_of(f, f->handles[i]);

		if (!r || is_among(avoid, n_avoid, f->handles[i]) || is_dark(r, now) ||
		    is_behind_cut(r, now))
			continue;
		f->handles[kept] = f->handles[i];
		fill_candidate(f, r, now, &f->candidates[kept++], &age);
	}
	if (!kept)
		kept = add_last_resorts(f, c, avoid, n_avoid, now);
	if (!kept)
		return -ENOENT;
	call_locality(c, &req);
	req.call_time = usual ? *usual : 0;
	settle_new(f->candidates, kept);
	total = req.n_parts ? add_sources(f, c, kept, now) : kept;
	locality_choose(f->locality, &req, f->candidates, total, now, &out->choice);
	at = out->choice.index;
	out->upstream = f->handles[at];
	out->source = out->choice.source >= 0 ? f->handles[out->choice.source] : 0;
	out->id_hash = f->candidates[at].id_hash;
	out->candidates = kept;
	out->running = f->candidates[at].running;
	fill_candidate(f, row_of(f, out->upstream), now, &f->candidates[at], &out->load_age);
	return 0;
}

void fleet_sent(struct fleet *f, const struct fleet_pick *p, int64_t now)
{
	struct fleet_row *r = row_of(f, p->upstream);

	if (!r)
		return;
	r->own_running++;
	r->tried_at = now;
	r->paths->tried_at = now;
	r->waiting += p->choice.missing;
	load_sent(f->load, p->upstream, 1, now);
}

static void take_waiting(struct fleet_row *r, const struct fleet_pick *p)
{
	r->waiting = MAX(0, r->waiting - p->choice.missing);
}

void fleet_read(struct fleet *f, const struct fleet_pick *p, const struct call *c, int64_t now)
{
	struct fleet_row *r = row_of(f, p->upstream);
	struct locality_request req;

	call_locality(c, &req);
	locality_ran(f->locality, &req, p->id_hash, now);
	if (p->choice.news_tokens >= HELD_TOKENS && f->on_held)
		f->on_held(f->on_held_arg, p->choice.news, p->id_hash, p->choice.news_tokens);
	if (r)
		take_waiting(r, p);
}

void fleet_on_held(struct fleet *f, fleet_held_fn fn, void *arg)
{
	f->on_held = fn;
	f->on_held_arg = arg;
}

void fleet_peer_held(struct fleet *f, uint64_t part, uint64_t id_hash, int64_t now)
{
	locality_held(f->locality, part, id_hash, now);
}

void fleet_done(struct fleet *f, const struct fleet_pick *p, bool was_read, int64_t now)
{
	struct fleet_row *r = row_of(f, p->upstream);

	if (!r)
		return;
	r->own_running -= r->own_running > 0;
	if (!was_read)
		take_waiting(r, p);
	load_done(f->load, p->upstream, 1, now);
}

void fleet_took(struct fleet *f, tab_handle h, int64_t us, int64_t now)
{
	struct fleet_row *r = row_of(f, h);
	double *usual;

	if (!r)
		return;
	pace_note(&r->pace, us, now);
	usual = g_hash_table_lookup(f->usual, r->service);
	if (!usual) {
		usual = g_new0(double, 1);
		g_hash_table_insert(f->usual, g_strdup(r->service), usual);
	}
	pace_usual_note(usual, us);
}

static void report_load(struct fleet *f, const struct fleet_row *r, uint32_t running,
			uint32_t waiting, int64_t age, int64_t now)
{
	struct load_report report = {
		.epoch = MAX(r->started, 1),
		.seq = (uint64_t)(now - age), /* the latest sighting wins, whoever made it */
		.age = age,
		.running_tokens = running, /* load is counted in requests here */
		.queued_tokens = waiting,
		.running = running,
		.queued = waiting,
		.slots = r->slots,
	};

	load_reported(f->load, r->handle, &report, now);
}

void fleet_on_load(struct fleet *f, fleet_load_fn fn, void *arg)
{
	f->on_load = fn;
	f->on_load_arg = arg;
}

void fleet_load(struct fleet *f, tab_handle h, const struct edge_answer *a, int64_t now)
{
	const struct fleet_row *r = row_of(f, h);
	uint32_t waiting = (uint32_t)MAX(a->waiting, 0);

	if (!r || a->running < 0)
		return;
	report_load(f, r, (uint32_t)a->running, waiting, 0, now);
	if (f->on_load)
		f->on_load(f->on_load_arg, r->id_hash, (uint32_t)a->running, waiting);
}

void fleet_peer_load(struct fleet *f, uint64_t id_hash, uint32_t running, uint32_t waiting,
		     int64_t age, int64_t now)
{
	const struct fleet_row *r = g_hash_table_lookup(f->by_hash, &id_hash);

	if (r)
		report_load(f, r, running, waiting, age, now);
}

void fleet_result(struct fleet *f, tab_handle h, enum member_result result, int64_t now)
{
	struct fleet_row *r = row_of(f, h);

	member_result(f->member, h, result, 0, now);
	if (!r)
		return;
	switch (result) {
	case MEMBER_CONNECT_FAILED:
		if (++r->connect_failures >= DARK_FAILURES)
			set_lost(r, true, "connect", now);
		break;
	case MEMBER_OK:
	case MEMBER_OVERLOADED:
	case MEMBER_ERROR:
		r->connect_failures = 0;
		r->paths->answered_at = now;
		set_lost(r, false, "answered", now);
		tell_domain(r->paths, r->domain);
		break;
	case MEMBER_BROKEN:
	case MEMBER_TIMED_OUT:
		break;
	}
}

void fleet_path_lost(struct fleet *f, tab_handle h, int64_t now)
{
	struct fleet_row *r = row_of(f, h);

	if (!r)
		return;
	http_idle_expire(r->idle, INT64_MAX);
	set_lost(r, true, "unacknowledged", now);
}

const char *fleet_id(const struct fleet *f, tab_handle h)
{
	const struct fleet_row *r = row_of(f, h);

	return r ? r->id : NULL;
}

const char *fleet_addr(const struct fleet *f, tab_handle h)
{
	const struct fleet_row *r = row_of(f, h);

	return r ? r->addr : NULL;
}

struct http_conn *fleet_conn_take(struct fleet *f, tab_handle h, bool repeatable, int64_t now)
{
	struct fleet_row *r = row_of(f, h);

	return r ? http_idle_take(r->idle, repeatable ? INT64_MAX : IDLE_MAX, now) : NULL;
}

void fleet_conn_put(struct fleet *f, tab_handle h, struct http_conn *conn, int64_t idle,
		    uint32_t max_conns, int64_t now)
{
	struct fleet_row *r = row_of(f, h);
	/* Half of this instance's share stays free for requests in progress. */
	uint32_t kept = max_conns ? MAX(max_conns / f->instances / 2, 1U) : CONNS_KEPT;

	idle = idle > 0 ? idle - IDLE_MARGIN : IDLE_MAX;
	if (!r || r->draining || idle <= 0)
		http_conn_free(conn);
	else
		http_idle_put(r->idle, conn, idle, MIN(kept, CONNS_KEPT), now);
}

uint32_t fleet_usable(const struct fleet *f, const char *service)
{
	g_autofree tab_handle *usable = g_new(tab_handle, FLEET_MAX);

	return member_usable(f->member, service, usable, FLEET_MAX);
}

void fleet_stats(const struct fleet *f, struct fleet_stats *out)
{
	GHashTableIter it;
	gpointer p;

	*out = (struct fleet_stats){ 0 };
	g_hash_table_iter_init(&it, f->rows);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct fleet_row *r = p;
		const struct member_row *m = member_get(f->member, r->handle);

		out->idle += http_idle_count(r->idle);
		out->running += r->own_running;
		out->lost_paths += r->lost;
		out->ejected += m && m->state == MEMBER_EJECTED;
	}
}

uint32_t fleet_count(const struct fleet *f)
{
	return g_hash_table_size(f->rows);
}

tab_handle fleet_probe_due(struct fleet *f, int64_t now, const char **service)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->rows);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fleet_row *r = p;
		const struct member_row *m = member_get(f->member, r->handle);

		if (!m || m->state != MEMBER_EJECTED || now - r->probed_at < PROBE_EVERY)
			continue;
		r->probed_at = now;
		*service = r->service;
		return r->handle;
	}
	return 0;
}
