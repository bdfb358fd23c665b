#include "relay/fleet_priv.h"

#include <math.h>
#include <string.h>

#include "trace/trace.h"

#define EJECT_FRACTION 0.5 /* largest fraction of a service's upstreams that may be ejected */
#define SLOW_START     (2 * USEC_PER_SEC) /* to full weight: the prefix cache is empty at first */
/*
 * The fleet guarantees a limit of twice the mean load plus 3 requests. The bound is lower: the
 * difference is headroom for requests that other instances send concurrently.
 */
#define LOAD_BOUND     1.75 /* times the mean number of requests at an upstream of the service */
#define LOAD_TOLERANCE 2.5 /* requests added to that */
/*
 * Upper fraction of the bound, here from 70% of it on, in which more and more requests are shed to
 * other upstreams. A larger one causes more KV transfers, a smaller one lets instances switch
 * upstreams simultaneously (test /limit/usual).
 */
#define EARLY_SHED_FRACTION 0.3
/*
 * Shorter cached prompts are not advertised: repeating their prefill costs less than setting up a
 * KV transfer and sending 23 bytes to every instance.
 */
#define ADVERTISE_MIN_TOKENS 256U
#define CACHE_LOCATIONS_MAX  16384U /* prefix parts, 2.5 MB; two for each of 8,000 chats */
/*
 * An idle connection is closed IDLE_MARGIN before its upstream closes it, so that no request is
 * sent on a connection that is being closed. IDLE_MAX is for upstreams that don't state an idle
 * timeout, and for requests that can't be sent again: an upstream may close a connection before the
 * stated timeout, which is less likely the shorter the connection has been idle.
 */
#define IDLE_MAX	     (5 * USEC_PER_SEC)
#define IDLE_MARGIN	     (500 * USEC_PER_MSEC)
#define ORIGINS_INTERVAL     (500 * USEC_PER_MSEC) /* at which the listed builds are recorded */
#define IDLE_CONNS_MAX	     16U /* to one upstream */
#define UNREACHABLE_FAILURES 2U /* consecutive failed connects */
/*
 * A failure domain counts as partitioned when this many of its upstreams are unreachable (a single
 * one may have crashed) and the domain has not responded since. The domain then gets one attempt
 * per UNREACHABLE_RETRY_INTERVAL, or more where no other upstream is left.
 */
#define PARTITION_UPSTREAMS 2U
/*
 * An ejection lasts at least 3 s and ends with two successful results (lib/member). PROBE_DELAY is
 * the time until the first probe, so that the second one is due after 3 s.
 */
#define PROBE_DELAY    (2 * USEC_PER_SEC)
#define PROBE_INTERVAL (1 * USEC_PER_SEC)

static void upstream_free(gpointer p)
{
	struct fleet_upstream *u = p;

	http_idle_free(u->idle);
	g_free(u->id);
	g_free(u->service);
	g_free(u->addr);
	g_free(u->domain);
	g_free(u->build);
	g_free(u);
}

static void service_free(gpointer p)
{
	struct fleet_service *s = p;

	cost_free(s->cost);
	g_free(s);
}

struct fleet *fleet_new(const struct fleet_params *p)
{
	struct fleet *f = g_new0(struct fleet, 1);
	struct member_params mp = { p->seed, EJECT_FRACTION, SLOW_START };
	struct locality_params lp = { LOAD_BOUND, LOAD_TOLERANCE, CACHE_LOCATIONS_MAX,
				      EARLY_SHED_FRACTION };

	f->domain = g_strdup(p->domain);
	f->by_cost = p->by_cost;
	f->member = member_new(&mp);
	f->load = load_new();
	f->locality = locality_new(&lp);
	f->notices = notices_new();
	f->origins = origins_new();
	f->upstreams = g_hash_table_new_full(NULL, NULL, NULL, upstream_free);
	f->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	f->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	f->removed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->domains = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, service_free);
	fleet_set_instances(f, p->instances);
	return f;
}

void fleet_free(struct fleet *f)
{
	if (!f)
		return;
	g_hash_table_unref(f->by_id);
	g_hash_table_unref(f->by_hash);
	g_hash_table_unref(f->upstreams);
	g_hash_table_unref(f->removed);
	g_hash_table_unref(f->domains);
	g_hash_table_unref(f->services);
	member_free(f->member);
	load_free(f->load);
	locality_free(f->locality);
	notices_free(f->notices);
	origins_free(f->origins);
	if (f->peers)
		g_array_unref(f->peers);
	g_free(f->domain);
	g_free(f);
}

void fleet_set_instances(struct fleet *f, uint32_t n)
{
	f->instances = MAX(n, 1U);
	load_set_instances(f->load, f->instances);
}

struct fleet_upstream *fleet_find(const struct fleet *f, tab_handle h)
{
	return g_hash_table_lookup(f->upstreams, GUINT_TO_POINTER(h));
}

static void trace_entry(const struct fleet_upstream *u, const char *state, const char *source)
{
	char id[96];
	char service[64];
	char addr[64];
	char version[REVISION_TEXT_MAX];
	char build[64];

	revision_text(version, u->version);
	trace(UPSTREAM, trace_sanitize(id, sizeof(id), u->id),
	      trace_sanitize(service, sizeof(service), u->service),
	      trace_sanitize(addr, sizeof(addr), u->addr), state, source, version,
	      trace_sanitize(build, sizeof(build), u->build));
}

struct fleet_domain *fleet_domain_of(struct fleet *f, const char *name)
{
	struct fleet_domain *d = g_hash_table_lookup(f->domains, name ? name : "");

	if (!d) {
		d = g_new0(struct fleet_domain, 1);
		g_hash_table_insert(f->domains, g_strdup(name ? name : ""), d);
	}
	return d;
}

struct fleet_service *fleet_service_of(struct fleet *f, const char *name)
{
	struct fleet_service *s = g_hash_table_lookup(f->services, name);

	if (!s) {
		s = g_new0(struct fleet_service, 1);
		prefill_model_init(&s->prefill);
		g_hash_table_insert(f->services, g_strdup(name), s);
	}
	return s;
}

bool fleet_is_partitioned(const struct fleet_domain *d)
{
	return d->n_unreachable >= PARTITION_UPSTREAMS && d->last_response < d->unreachable_at;
}

static void report_domain(struct fleet_domain *d, const char *name)
{
	bool partitioned = fleet_is_partitioned(d);
	char text[64];

	if (partitioned == d->reported_partitioned)
		return;
	trace(DOMAIN, trace_sanitize(text, sizeof(text), name),
	      partitioned ? "cut_off" : "in_reach", d->n_unreachable);
	d->reported_partitioned = partitioned;
}

static void set_unreachable(struct fleet_upstream *u, bool unreachable, const char *reason,
			    int64_t now)
{
	char id[96];

	if (unreachable == u->unreachable)
		return;
	u->unreachable = unreachable;
	u->domain_state->n_unreachable += unreachable ? 1U : -1U;
	if (unreachable)
		u->domain_state->unreachable_at = now;
	trace(REACHABILITY, trace_sanitize(id, sizeof(id), u->id), unreachable ? "lost" : "back",
	      reason);
	report_domain(u->domain_state, u->domain);
}

static void set_domain(struct fleet *f, struct fleet_upstream *u, const char *name)
{
	if (u->domain_state && g_strcmp0(u->domain, name) == 0)
		return;
	if (u->domain_state)
		u->domain_state->n_unreachable -= u->unreachable;
	g_free(u->domain);
	u->domain = g_strdup(name);
	u->domain_state = fleet_domain_of(f, name);
	u->domain_state->n_unreachable += u->unreachable;
}

static void set_string(char **to, const char *text)
{
	if (g_strcmp0(*to, text) == 0)
		return;
	g_free(*to);
	*to = g_strdup(text);
}

static void set_service(struct fleet *f, struct fleet_upstream *u, const char *name)
{
	if (u->service_state && g_strcmp0(u->service, name) == 0)
		return;
	if (u->service_state)
		u->service_state->pending_prefill -= u->pending_prefill;
	set_string(&u->service, name);
	u->service_state = fleet_service_of(f, name);
	u->service_state->pending_prefill += u->pending_prefill;
}

static struct fleet_upstream *add_upstream(struct fleet *f, const struct fleet_entry *e,
					   int64_t now)
{
	struct member_info info = { e->id, e->service, e->domain, MAX(e->slots, 1U) };
	tab_handle h = member_set(f->member, &info, now);
	struct fleet_upstream *u;

	if (!h)
		return NULL;
	u = fleet_find(f, h);
	if (u)
		return u;
	u = g_new0(struct fleet_upstream, 1);
	u->handle = h;
	u->id = g_strdup(e->id);
	u->added_at = f->list_complete ? now : 0;
	u->idle = http_idle_new();
	g_hash_table_insert(f->upstreams, GUINT_TO_POINTER(h), u);
	g_hash_table_insert(f->by_id, u->id, u);
	return u;
}

void fleet_set(struct fleet *f, const struct fleet_entry *e, const char *source, int64_t now)
{
	struct fleet_upstream *u = g_hash_table_lookup(f->by_id, e->id);
	const uint64_t *removed = g_hash_table_lookup(f->removed, e->id);
	uint64_t id_hash = hash_pair(hash_str(e->id), e->started || !u ? e->started : u->started);
	bool draining = e->draining || notices_is_leaving(f->notices, id_hash);
	bool is_new = f->list_complete && (!u || (e->started && u->started != e->started));
	bool is_newer = !u || e->version > u->version;
	bool changed;

	if ((u && e->version < u->version) || (removed && e->version <= *removed))
		return;
	if (!u && g_hash_table_size(f->upstreams) >= FLEET_MAX) {
		char id[96];

		trace(UPSTREAM, trace_sanitize(id, sizeof(id), e->id), "-", "-", "table_full",
		      source, "-", "-");
		return;
	}
	changed = !u || u->draining != draining || u->started != e->started ||
		  g_strcmp0(u->addr, e->addr) != 0;
	if (!u)
		u = add_upstream(f, e, now);
	if (!u)
		return;
	g_hash_table_remove(f->removed, e->id);
	if (g_strcmp0(u->addr, e->addr) != 0 || u->started != e->started)
		http_idle_expire(u->idle, INT64_MAX);
	if (u->addr && g_strcmp0(u->addr, e->addr) != 0)
		notices_end_hold_off(f->notices, id_hash);
	u->version = e->version;
	u->draining = draining;
	u->slots = e->slots;
	set_service(f, u, e->service);
	set_string(&u->addr, e->addr);
	set_string(&u->build, e->build);
	u->build_hash = hash_str(e->build ? e->build : "");
	origins_listed(f->origins, u->service ? u->service : "", u->build ? u->build : "", now);
	set_domain(f, u, e->domain);
	if (u->started != e->started && e->started) {
		member_set_epoch(f->member, u->handle, e->started, now);
		/* The prefix cache of a restarted process is empty. */
		if (u->started && f->list_complete)
			u->added_at = now;
		u->started = e->started;
	}
	if (g_hash_table_lookup(f->by_hash, &u->id_hash) == u)
		g_hash_table_remove(f->by_hash, &u->id_hash);
	u->id_hash = id_hash;
	g_hash_table_replace(f->by_hash, &u->id_hash, u);
	member_set_list_state(f->member, u->handle, draining, e->version, now);
	member_set_excluded(f->member, u->handle, u->domain_state->evacuated);
	if (is_newer)
		fleet_cold_entry(f, u, e->cold_left, is_new, now);
	if (changed)
		trace_entry(u, draining ? "draining" : "ready", source);
}

static void remove_upstream(struct fleet *f, struct fleet_upstream *u, uint64_t version,
			    const char *source, int64_t now)
{
	uint64_t *v = g_new(uint64_t, 1);

	*v = MAX(version, u->version);
	u->version = *v;
	g_hash_table_replace(f->removed, g_strdup(u->id), v);
	u->domain_state->n_unreachable -= u->unreachable;
	u->service_state->pending_prefill -= u->pending_prefill;
	trace_entry(u, "gone", source);
	member_remove(f->member, u->handle, now);
	load_remove_upstream(f->load, u->handle);
	http_idle_expire(u->idle, INT64_MAX);
	g_hash_table_remove(f->by_id, u->id);
	g_hash_table_remove(f->by_hash, &u->id_hash);
	g_hash_table_remove(f->upstreams, GUINT_TO_POINTER(u->handle));
}

void fleet_remove(struct fleet *f, const char *id, uint64_t version, const char *source,
		  int64_t now)
{
	struct fleet_upstream *u = g_hash_table_lookup(f->by_id, id);

	if (u && version >= u->version)
		remove_upstream(f, u, version, source, now);
}

void fleet_list_complete(struct fleet *f)
{
	f->list_complete = true;
}

bool fleet_has_list(const struct fleet *f)
{
	return f->list_complete;
}

/* Logs a change of the health state; schedules the first probe after an ejection. */
static void report_health(struct fleet_upstream *u, const struct member_entry *m, int64_t now)
{
	char id[96];

	if (m->state == u->reported_state)
		return;
	trace(HEALTH, trace_sanitize(id, sizeof(id), u->id), member_state_name(m->state),
	      member_state_name(u->reported_state));
	if (m->state == MEMBER_EJECTED)
		u->probe_started = now + PROBE_DELAY - PROBE_INTERVAL;
	u->reported_state = m->state;
}

/* Tells which builds are listed. */
static void update_origins(struct fleet *f, const GList *upstreams, int64_t now)
{
	if (now - f->origins_at < ORIGINS_INTERVAL)
		return;
	f->origins_at = now;
	for (const GList *l = upstreams; l; l = l->next) {
		const struct fleet_upstream *u = l->data;

		origins_listed(f->origins, u->service ? u->service : "", u->build ? u->build : "",
			       now);
	}
	if (f->list_complete)
		origins_start(f->origins, now);
}

void fleet_tick(struct fleet *f, int64_t now)
{
	g_autoptr(GList) upstreams = NULL;

	member_tick(f->member, now);
	upstreams = g_hash_table_get_values(f->upstreams);
	update_origins(f, upstreams, now);
	for (GList *l = upstreams; l; l = l->next) {
		struct fleet_upstream *u = l->data;
		const struct member_entry *m = member_get(f->member, u->handle);

		if (m)
			report_health(u, m, now);
		http_idle_expire(u->idle, now);
		fleet_cold_tick(f, u, now);
		notices_keep(f->notices, u->id_hash, now);
	}
	notices_expire(f->notices, now);
}

void fleet_set_leaving(struct fleet *f, uint64_t id_hash, int64_t now)
{
	struct fleet_upstream *u = g_hash_table_lookup(f->by_hash, &id_hash);

	if (!notices_set_leaving(f->notices, id_hash, now) || !u || u->draining)
		return;
	u->draining = true;
	member_set_list_state(f->member, u->handle, true, u->version, now);
	http_idle_expire(u->idle, INT64_MAX);
	trace_entry(u, "draining", "response");
}

static void trace_hold_off(const struct fleet_upstream *u, int64_t time)
{
	char id[96];

	trace(HOLD_OFF, trace_sanitize(id, sizeof(id), u->id), (int)(time / USEC_PER_MSEC));
}

void fleet_hold_off(struct fleet *f, uint64_t id_hash, int64_t time, int64_t now)
{
	const struct fleet_upstream *u = g_hash_table_lookup(f->by_hash, &id_hash);

	if (u && !notices_hold_off_left(f->notices, id_hash, now))
		trace_hold_off(u, time);
	notices_hold_off(f->notices, id_hash, now + time, now);
}

int64_t fleet_hold_off_left(const struct fleet *f, const char *service, int64_t now)
{
	int64_t least = 0;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct fleet_upstream *u = p;
		int64_t left;

		if (u->draining || u->domain_state->evacuated ||
		    g_strcmp0(u->service, service) != 0)
			continue;
		left = MAX(notices_hold_off_left(f->notices, u->id_hash, now),
			   fleet_cold_wait(f, u, now));
		if (!left)
			return 0;
		least = least ? MIN(least, left) : left;
	}
	return least;
}

const char *fleet_build(const struct fleet *f, tab_handle h)
{
	const struct fleet_upstream *u = fleet_find(f, h);

	return u && u->build ? u->build : "";
}

uint64_t fleet_build_hash(const struct fleet *f, tab_handle h)
{
	return hash_str(fleet_build(f, h));
}

struct origins *fleet_origins(const struct fleet *f)
{
	return f->origins;
}

uint64_t fleet_id_hash(const struct fleet *f, tab_handle h)
{
	const struct fleet_upstream *u = fleet_find(f, h);

	return u ? u->id_hash : 0;
}

void fleet_set_memory(struct fleet *f, const struct membudget_params *p)
{
	f->memory = *p;
}

void fleet_hold_body(struct fleet *f, tab_handle h, size_t bytes)
{
	struct fleet_upstream *u = fleet_find(f, h);

	if (u)
		u->body_bytes += bytes;
}

void fleet_release_body(struct fleet *f, tab_handle h, size_t bytes)
{
	struct fleet_upstream *u = fleet_find(f, h);

	if (u)
		u->body_bytes -= MIN(u->body_bytes, bytes);
}

void fleet_sent(struct fleet *f, const struct fleet_pick *p, int64_t now)
{
	struct fleet_upstream *u = fleet_find(f, p->upstream);

	if (!u)
		return;
	u->own_running++;
	u->last_attempt = now;
	fleet_cold_sent(f, u, now);
	u->domain_state->last_attempt = now;
	u->pending_prefill += p->choice.missing;
	u->service_state->pending_prefill += p->choice.missing;
	load_add_request(f->load, p->upstream, 1, now);
}

static void subtract_pending_prefill(struct fleet_upstream *u, const struct fleet_pick *p)
{
	double done = MIN(u->pending_prefill, p->choice.missing);

	u->pending_prefill -= done;
	u->service_state->pending_prefill -= done;
}

void fleet_prefill_done(struct fleet *f, const struct fleet_pick *p, const struct call *c,
			int64_t took, int64_t now)
{
	struct fleet_upstream *u = fleet_find(f, p->upstream);
	struct locality_request req;

	call_locality(c, &req);
	locality_record_prefill(f->locality, &req, p->id_hash, now);
	if (p->choice.report_tokens >= ADVERTISE_MIN_TOKENS && f->on_cache_location)
		f->on_cache_location(f->on_cache_location_arg, p->choice.report_part, p->id_hash,
				     p->choice.report_tokens);
	if (!u)
		return;
	subtract_pending_prefill(u, p);
	/* Behind other prompts, or if a part is transferred, the time is not that of the prefill. */
	if (c->n_parts && p->pending_prefill <= 0 && !p->source)
		prefill_model_observe(&u->service_state->prefill, p->choice.missing, took);
}

void fleet_on_cache_location(struct fleet *f, fleet_cache_location_fn fn, void *arg)
{
	f->on_cache_location = fn;
	f->on_cache_location_arg = arg;
}

void fleet_peer_cache_location(struct fleet *f, uint64_t part, uint64_t id_hash, int64_t now)
{
	locality_record_peer_prefill(f->locality, part, id_hash, now);
}

void fleet_done(struct fleet *f, const struct fleet_pick *p, bool prefilled, int64_t now)
{
	struct fleet_upstream *u = fleet_find(f, p->upstream);

	if (!u)
		return;
	u->own_running -= u->own_running > 0;
	if (!prefilled)
		subtract_pending_prefill(u, p);
	load_remove_request(f->load, p->upstream, 1, now);
}

void fleet_record_latency(struct fleet *f, tab_handle h, int64_t us, int64_t now)
{
	struct fleet_upstream *u = fleet_find(f, h);

	if (!u)
		return;
	pace_add_sample(&u->latency, us, now);
	pace_update_baseline(&u->service_state->call_latency, us);
}

static void apply_load(struct fleet *f, struct fleet_upstream *u, uint32_t running,
		       uint32_t waiting, int64_t age, int64_t now)
{
	struct load_report report = {
		.epoch = MAX(u->started, 1),
		/* The latest observation wins, whichever instance made it. */
		.seq = (uint64_t)(now - age),
		.age = age,
		.running_tokens =
			running, /* in requests, like load_add_request() and load_remove_request() here */
		.queued_tokens = waiting,
		.running = running,
		.queued = waiting,
		.slots = u->slots,
	};

	load_apply_report(f->load, u->handle, &report, now);
	fleet_see_load(f, u, age, now);
}

void fleet_on_load(struct fleet *f, fleet_load_fn fn, void *arg)
{
	f->on_load = fn;
	f->on_load_arg = arg;
}

void fleet_record_load(struct fleet *f, tab_handle h, const struct edge_response *a, int64_t now)
{
	struct fleet_upstream *u = fleet_find(f, h);
	uint32_t waiting = (uint32_t)MAX(a->waiting, 0);

	if (!u || a->running < 0)
		return;
	apply_load(f, u, (uint32_t)a->running, waiting, 0, now);
	if (f->on_load)
		f->on_load(f->on_load_arg, u->id_hash, (uint32_t)a->running, waiting);
}

void fleet_peer_load(struct fleet *f, uint64_t id_hash, uint32_t running, uint32_t waiting,
		     int64_t age, int64_t now)
{
	struct fleet_upstream *u = g_hash_table_lookup(f->by_hash, &id_hash);

	if (!u)
		return;
	u->last_output = MAX(u->last_output, now - age);
	fleet_cold_answered(f, u, now - age, now);
	apply_load(f, u, running, waiting, age, now);
}

void fleet_output(struct fleet *f, tab_handle h, int64_t now)
{
	struct fleet_upstream *u = fleet_find(f, h);

	if (!u)
		return;
	u->last_output = MAX(u->last_output, now);
	fleet_cold_answered(f, u, now, now);
}

bool fleet_has_output_since(const struct fleet *f, tab_handle h, int64_t time)
{
	const struct fleet_upstream *u = fleet_find(f, h);

	return u && u->last_output > time;
}

void fleet_result(struct fleet *f, tab_handle h, enum member_result result, int64_t now)
{
	struct fleet_upstream *u = fleet_find(f, h);

	member_result(f->member, h, result, 0, now);
	if (!u)
		return;
	switch (result) {
	case MEMBER_CONNECT_FAILED:
		fleet_cold_unreachable(f, u, now);
		if (++u->connect_failures >= UNREACHABLE_FAILURES)
			set_unreachable(u, true, "connect", now);
		break;
	case MEMBER_OK:
	case MEMBER_OVERLOADED:
	case MEMBER_ERROR:
		u->connect_failures = 0;
		u->domain_state->last_response = now;
		fleet_cold_answered(f, u, INT64_MAX, now);
		set_unreachable(u, false, "answered", now);
		report_domain(u->domain_state, u->domain);
		break;
	case MEMBER_BROKEN:
	case MEMBER_TIMED_OUT:
		break;
	}
}

void fleet_mark_unreachable(struct fleet *f, tab_handle h, int64_t now)
{
	struct fleet_upstream *u = fleet_find(f, h);

	if (!u)
		return;
	http_idle_expire(u->idle, INT64_MAX);
	fleet_cold_unreachable(f, u, now);
	set_unreachable(u, true, "unacknowledged", now);
}

const char *fleet_id(const struct fleet *f, tab_handle h)
{
	const struct fleet_upstream *u = fleet_find(f, h);

	return u ? u->id : NULL;
}

bool fleet_get_process(const struct fleet *f, tab_handle h, uint64_t *started)
{
	const struct fleet_upstream *u = fleet_find(f, h);

	*started = u ? u->started : 0;
	return u && !u->draining;
}

const char *fleet_addr(const struct fleet *f, tab_handle h)
{
	const struct fleet_upstream *u = fleet_find(f, h);

	return u ? u->addr : NULL;
}

struct http_conn *fleet_conn_take(struct fleet *f, tab_handle h, bool repeatable, int64_t now)
{
	struct fleet_upstream *u = fleet_find(f, h);

	return u ? http_idle_pop(u->idle, repeatable ? INT64_MAX : IDLE_MAX, now) : NULL;
}

void fleet_conn_put(struct fleet *f, tab_handle h, struct http_conn *conn, int64_t idle,
		    uint32_t max_conns, int64_t now)
{
	struct fleet_upstream *u = fleet_find(f, h);
	/* Half of this instance's share is left to requests in progress. */
	uint32_t max_idle = max_conns ? MAX(max_conns / f->instances / 2, 1U) : IDLE_CONNS_MAX;

	idle = idle > 0 ? idle - IDLE_MARGIN : IDLE_MAX;
	if (!u || u->draining || idle <= 0)
		http_conn_free(conn);
	else
		http_idle_push(u->idle, conn, idle, MIN(max_idle, IDLE_CONNS_MAX), now);
}

uint32_t fleet_usable_count(const struct fleet *f, const char *service)
{
	g_autofree tab_handle *usable = g_new(tab_handle, FLEET_MAX);

	return member_usable(f->member, service, usable, FLEET_MAX);
}

void fleet_stats(const struct fleet *f, struct fleet_stats *out)
{
	GHashTableIter it;
	gpointer p;

	*out = (struct fleet_stats){ 0 };
	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct fleet_upstream *u = p;
		const struct member_entry *m = member_get(f->member, u->handle);

		out->idle += http_idle_count(u->idle);
		out->running += u->own_running;
		out->n_unreachable += u->unreachable;
		out->cold += u->reported_cold;
		out->evacuated += u->domain_state->evacuated;
		out->most_body_bytes = MAX(out->most_body_bytes, u->body_bytes);
		out->ejected += m && m->state == MEMBER_EJECTED;
	}
}

uint32_t fleet_count(const struct fleet *f)
{
	return g_hash_table_size(f->upstreams);
}

tab_handle fleet_next_probe(struct fleet *f, int64_t now, const char **service)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fleet_upstream *u = p;
		const struct member_entry *m = member_get(f->member, u->handle);

		if (!m || m->state != MEMBER_EJECTED || u->domain_state->evacuated ||
		    now - u->probe_started < PROBE_INTERVAL || fleet_cold_wait(f, u, now) ||
		    notices_hold_off_left(f->notices, u->id_hash, now))
			continue;
		u->probe_started = now;
		*service = u->service;
		return u->handle;
	}
	return 0;
}
