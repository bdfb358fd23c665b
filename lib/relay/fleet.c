#include "relay/fleet.h"

#include <math.h>
#include <string.h>

#include "http/http_idle.h"
#include "locality/pace.h"
#include "locality/prefill.h"
#include "place/load.h"
#include "trace/trace.h"

#define FLEET_MAX      1024U /* upstreams; the target deployment has 670 */
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
#define IDLE_MAX       (5 * USEC_PER_SEC)
#define IDLE_MARGIN    (500 * USEC_PER_MSEC)
#define IDLE_CONNS_MAX 16U /* to one upstream */
/*
 * The chats that prefer a new upstream are still cached at their former ones. After this time it
 * has received them.
 */
#define NEW_UPSTREAM_TIME (20 * USEC_PER_SEC)
/*
 * Connect backoff: an unreachable upstream gets one attempt per interval. Requests that only it
 * could serve are refused immediately in between, and its recovery is still noticed soon.
 */
#define UNREACHABLE_FAILURES	   2U /* consecutive failed connects */
#define UNREACHABLE_RETRY_INTERVAL (500 * USEC_PER_MSEC)
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

/* Reachability of one failure domain from this instance. */
struct fleet_domain {
	uint32_t n_unreachable; /* upstreams */
	int64_t unreachable_at; /* time at which the latest one became unreachable */
	int64_t last_response;
	int64_t last_attempt;
	bool reported_partitioned; /* state in the last domain log line */
};

struct fleet_upstream {
	tab_handle handle;
	char *id;
	char *service;
	char *addr;
	char *domain;
	struct fleet_domain *domain_state; /* borrowed */
	struct fleet_service *service_state; /* borrowed */
	uint64_t version; /* of the newest entry applied */
	uint64_t started;
	uint64_t id_hash; /* of id and started */
	uint32_t slots;
	uint32_t own_running; /* requests of this instance in progress */
	double pending_prefill; /* prompt tokens sent by this instance whose prefill is not done */
	int64_t added_at; /* time at which it was added or restarted; 0: with the initial list */
	bool draining;
	int64_t probe_started; /* start of the current probe interval */
	uint32_t connect_failures; /* consecutive */
	int64_t last_attempt;
	int64_t last_output; /* of any response, as far as known */
	enum member_state reported_state; /* state in the last health log line */
	bool unreachable; /* connects fail, or its host acknowledges no data */
	struct http_idle *idle; /* owned */
	struct pace latency; /* of calls without a prompt */
};

/* What this instance learned about the upstreams of one service. */
struct fleet_service {
	double call_latency; /* baseline of calls without a prompt, microseconds (pace.h); 0: unknown */
	struct prefill_model prefill;
	double pending_prefill; /* prompt tokens sent by this instance whose prefill is not done */
};

struct fleet {
	char *domain;
	struct member *member;
	struct load *load;
	struct locality *locality;
	GHashTable *upstreams; /* handle -> owned struct fleet_upstream */
	GHashTable *by_id; /* id -> borrowed struct fleet_upstream */
	GHashTable *by_hash; /* id_hash -> borrowed struct fleet_upstream */
	/* The next two have few entries, which are kept until fleet_free(). */
	GHashTable *services; /* name -> owned struct fleet_service */
	GHashTable *domains; /* name -> owned struct fleet_domain */
	fleet_load_fn on_load; /* NULL: none */
	void *on_load_arg;
	fleet_cache_location_fn on_cache_location; /* NULL: none */
	void *on_cache_location_arg;
	bool list_complete; /* the initial list is complete; upstreams added later count as new */
	/*
	 * id -> owned list version of the removal. Entries up to that version are dropped, so that
	 * a late outdated one does not restore the upstream.
	 */
	GHashTable *removed;
	uint32_t instances;
	/* Scratch space of fleet_choose(): upstreams that take requests, then transfer sources. */
	tab_handle handles[FLEET_MAX + FLEET_MAX];
	struct locality_candidate candidates[FLEET_MAX + FLEET_MAX];
};

static void upstream_free(gpointer p)
{
	struct fleet_upstream *u = p;

	http_idle_free(u->idle);
	g_free(u->id);
	g_free(u->service);
	g_free(u->addr);
	g_free(u->domain);
	g_free(u);
}

struct fleet *fleet_new(const struct fleet_params *p)
{
	struct fleet *f = g_new0(struct fleet, 1);
	struct member_params mp = { p->seed, EJECT_FRACTION, SLOW_START };
	struct locality_params lp = { LOAD_BOUND, LOAD_TOLERANCE, CACHE_LOCATIONS_MAX,
				      EARLY_SHED_FRACTION };

	f->domain = g_strdup(p->domain);
	f->member = member_new(&mp);
	f->load = load_new();
	f->locality = locality_new(&lp);
	f->upstreams = g_hash_table_new_full(NULL, NULL, NULL, upstream_free);
	f->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	f->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	f->removed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->domains = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
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
	g_free(f->domain);
	g_free(f);
}

void fleet_set_instances(struct fleet *f, uint32_t n)
{
	f->instances = MAX(n, 1U);
	load_set_instances(f->load, f->instances);
}

static struct fleet_upstream *find_upstream(const struct fleet *f, tab_handle h)
{
	return g_hash_table_lookup(f->upstreams, GUINT_TO_POINTER(h));
}

static void trace_entry(const struct fleet_upstream *u, const char *state, const char *source)
{
	char id[96];
	char service[64];
	char addr[64];
	char version[24];

	g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT, u->version);
	trace(UPSTREAM, trace_sanitize(id, sizeof(id), u->id),
	      trace_sanitize(service, sizeof(service), u->service),
	      trace_sanitize(addr, sizeof(addr), u->addr), state, source, version);
}

static struct fleet_domain *get_domain(struct fleet *f, const char *name)
{
	struct fleet_domain *d = g_hash_table_lookup(f->domains, name ? name : "");

	if (!d) {
		d = g_new0(struct fleet_domain, 1);
		g_hash_table_insert(f->domains, g_strdup(name ? name : ""), d);
	}
	return d;
}

static struct fleet_service *get_service(struct fleet *f, const char *name)
{
	struct fleet_service *s = g_hash_table_lookup(f->services, name);

	if (!s) {
		s = g_new0(struct fleet_service, 1);
		prefill_model_init(&s->prefill);
		g_hash_table_insert(f->services, g_strdup(name), s);
	}
	return s;
}

static bool is_partitioned(const struct fleet_domain *d)
{
	return d->n_unreachable >= PARTITION_UPSTREAMS && d->last_response < d->unreachable_at;
}

static void report_domain(struct fleet_domain *d, const char *name)
{
	bool partitioned = is_partitioned(d);
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
	u->domain_state = get_domain(f, name);
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
	u->service_state = get_service(f, name);
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
	u = find_upstream(f, h);
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
	bool changed;

	if ((u && e->version < u->version) || (removed && e->version <= *removed))
		return;
	if (!u && g_hash_table_size(f->upstreams) >= FLEET_MAX) {
		char id[96];

		trace(UPSTREAM, trace_sanitize(id, sizeof(id), e->id), "-", "-", "table_full",
		      source, "-");
		return;
	}
	changed = !u || u->draining != e->draining || u->started != e->started ||
		  g_strcmp0(u->addr, e->addr) != 0;
	if (!u)
		u = add_upstream(f, e, now);
	if (!u)
		return;
	g_hash_table_remove(f->removed, e->id);
	if (g_strcmp0(u->addr, e->addr) != 0 || u->started != e->started)
		http_idle_expire(u->idle, INT64_MAX);
	u->version = e->version;
	u->draining = e->draining;
	u->slots = e->slots;
	set_service(f, u, e->service);
	set_string(&u->addr, e->addr);
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
	u->id_hash = hash_pair(hash_str(u->id), u->started);
	g_hash_table_replace(f->by_hash, &u->id_hash, u);
	member_set_list_state(f->member, u->handle, e->draining, e->version, now);
	if (changed)
		trace_entry(u, e->draining ? "draining" : "ready", source);
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

void fleet_tick(struct fleet *f, int64_t now)
{
	g_autoptr(GList) upstreams = NULL;

	member_tick(f->member, now);
	upstreams = g_hash_table_get_values(f->upstreams);
	for (GList *l = upstreams; l; l = l->next) {
		struct fleet_upstream *u = l->data;
		const struct member_entry *m = member_get(f->member, u->handle);

		if (m)
			report_health(u, m, now);
		http_idle_expire(u->idle, now);
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

static bool is_in_connect_backoff(const struct fleet_upstream *u, int64_t now)
{
	return u->unreachable && now - u->last_attempt < UNREACHABLE_RETRY_INTERVAL;
}

/* Whether its failure domain is partitioned and has had an attempt in the last interval. */
static bool is_in_partition_backoff(const struct fleet_upstream *u, int64_t now)
{
	return is_partitioned(u->domain_state) &&
	       now - u->domain_state->last_attempt < UNREACHABLE_RETRY_INTERVAL;
}

static void fill_candidate(const struct fleet *f, const struct fleet_upstream *u, int64_t now,
			   struct locality_candidate *out, int64_t *age)
{
	const struct member_entry *m = member_get(f->member, u->handle);
	struct load_estimate v;

	load_estimate(f->load, u->handle, now, &v);
	*age = v.age;
	*out = (struct locality_candidate){
		.id_hash = u->id_hash,
		/* The unit of load is requests here, see apply_load(). */
		.running = MAX(v.tokens, (double)u->own_running),
		.pending_tokens = u->pending_prefill,
		.weight = m ? m->weight : 1,
		.slots = u->slots,
		.call_latency = pace_estimate(&u->latency, now),
		.same_domain = g_strcmp0(u->domain, f->domain) == 0,
		.is_new = u->added_at && now - u->added_at < NEW_UPSTREAM_TIME,
		.unreachable = u->unreachable || is_partitioned(u->domain_state),
	};
}

/* Appends listed upstreams that can't get this request but may have its prompt cached. */
static uint32_t add_transfer_sources(struct fleet *f, const struct call *c, uint32_t n, int64_t now)
{
	uint32_t total = n;
	GHashTableIter it;
	gpointer p;
	int64_t age;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p) && total < G_N_ELEMENTS(f->handles)) {
		const struct fleet_upstream *u = p;
		const struct member_entry *m = member_get(f->member, u->handle);

		if (g_strcmp0(u->service, c->service) != 0 || is_among(f->handles, n, u->handle) ||
		    !m ||
		    (m->state != MEMBER_LEAVING && m->state != MEMBER_LIVE &&
		     m->state != MEMBER_JOINING))
			continue;
		fill_candidate(f, u, now, &f->candidates[total], &age);
		f->candidates[total].source_only = true;
		f->candidates[total].weight = 1;
		f->handles[total++] = u->handle;
	}
	return total;
}

/*
 * When attempts at all healthy upstreams have failed, upstreams ejected for errors or in partition
 * backoff may still respond. Leaving upstreams get no requests.
 */
static uint32_t add_last_resorts(struct fleet *f, const struct call *c, const tab_handle *avoid,
				 uint32_t n_avoid, int64_t now)
{
	uint32_t n = 0;
	GHashTableIter it;
	gpointer p;
	int64_t age;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p) && n < FLEET_MAX) {
		const struct fleet_upstream *u = p;
		const struct member_entry *m = member_get(f->member, u->handle);

		if (g_strcmp0(u->service, c->service) != 0 || !m || m->state == MEMBER_LEAVING ||
		    m->state == MEMBER_REMOVED || is_among(avoid, n_avoid, u->handle) ||
		    is_in_connect_backoff(u, now))
			continue;
		fill_candidate(f, u, now, &f->candidates[n], &age);
		f->handles[n++] = u->handle;
	}
	return n;
}

/* If most of a service is new, as in a new deployment, no older upstream has its prompts cached. */
static void clear_new_majority(struct locality_candidate *cand, uint32_t n)
{
	uint32_t n_new = 0;

	for (uint32_t i = 0; i < n; i++)
		n_new += cand[i].is_new;
	for (uint32_t i = 0; i < n && 2 * n_new > n; i++)
		cand[i].is_new = false;
}

/*
 * Expected time to the first event if what is not known to be cached is not, and the other
 * instances have as many prompt tokens pending as this one, spread evenly over the @n upstreams.
 */
static int64_t expected_first_event(const struct fleet *f, const struct fleet_service *s,
				    const struct fleet_pick *p)
{
	double others = s->pending_prefill * (f->instances - 1) / p->candidates;

	return (int64_t)prefill_model_time(&s->prefill,
					   p->choice.unconfirmed + p->pending_prefill + others);
}

int fleet_choose(struct fleet *f, const struct call *c, const tab_handle *avoid, uint32_t n_avoid,
		 int64_t now, struct fleet_pick *out)
{
	struct locality_request req;
	const struct fleet_service *service = get_service(f, c->service);
	int64_t age;
	uint32_t n = member_usable(f->member, c->service, f->handles, FLEET_MAX);
	uint32_t n_cand = 0;
	uint32_t total;
	uint32_t chosen;

	for (uint32_t i = 0; i < n; i++) {
		const struct fleet_upstream *u = find_upstream(f, f->handles[i]);

		if (!u || is_among(avoid, n_avoid, f->handles[i]) ||
		    is_in_connect_backoff(u, now) || is_in_partition_backoff(u, now))
			continue;
		f->handles[n_cand] = f->handles[i];
		fill_candidate(f, u, now, &f->candidates[n_cand++], &age);
	}
	if (!n_cand)
		n_cand = add_last_resorts(f, c, avoid, n_avoid, now);
	if (!n_cand)
		return -ENOENT;
	call_locality(c, &req);
	req.call_latency = service->call_latency;
	clear_new_majority(f->candidates, n_cand);
	total = req.n_parts ? add_transfer_sources(f, c, n_cand, now) : n_cand;
	locality_choose(f->locality, &req, f->candidates, total, now, &out->choice);
	chosen = out->choice.index;
	out->upstream = f->handles[chosen];
	out->source = out->choice.source >= 0 ? f->handles[out->choice.source] : 0;
	out->id_hash = f->candidates[chosen].id_hash;
	out->candidates = n_cand;
	out->running = f->candidates[chosen].running;
	/* Called again only for the load age. */
	fill_candidate(f, find_upstream(f, out->upstream), now, &f->candidates[chosen],
		       &out->load_age);
	out->pending_prefill = f->candidates[chosen].pending_tokens;
	out->first_event = expected_first_event(f, service, out);
	return 0;
}

void fleet_sent(struct fleet *f, const struct fleet_pick *p, int64_t now)
{
	struct fleet_upstream *u = find_upstream(f, p->upstream);

	if (!u)
		return;
	u->own_running++;
	u->last_attempt = now;
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
	struct fleet_upstream *u = find_upstream(f, p->upstream);
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
	struct fleet_upstream *u = find_upstream(f, p->upstream);

	if (!u)
		return;
	u->own_running -= u->own_running > 0;
	if (!prefilled)
		subtract_pending_prefill(u, p);
	load_remove_request(f->load, p->upstream, 1, now);
}

void fleet_record_latency(struct fleet *f, tab_handle h, int64_t us, int64_t now)
{
	struct fleet_upstream *u = find_upstream(f, h);

	if (!u)
		return;
	pace_add_sample(&u->latency, us, now);
	pace_update_baseline(&u->service_state->call_latency, us);
}

static void apply_load(struct fleet *f, const struct fleet_upstream *u, uint32_t running,
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
}

void fleet_on_load(struct fleet *f, fleet_load_fn fn, void *arg)
{
	f->on_load = fn;
	f->on_load_arg = arg;
}

void fleet_record_load(struct fleet *f, tab_handle h, const struct edge_response *a, int64_t now)
{
	const struct fleet_upstream *u = find_upstream(f, h);
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
	apply_load(f, u, running, waiting, age, now);
}

void fleet_output(struct fleet *f, tab_handle h, int64_t now)
{
	struct fleet_upstream *u = find_upstream(f, h);

	if (u)
		u->last_output = MAX(u->last_output, now);
}

bool fleet_has_output_since(const struct fleet *f, tab_handle h, int64_t time)
{
	const struct fleet_upstream *u = find_upstream(f, h);

	return u && u->last_output > time;
}

void fleet_result(struct fleet *f, tab_handle h, enum member_result result, int64_t now)
{
	struct fleet_upstream *u = find_upstream(f, h);

	member_result(f->member, h, result, 0, now);
	if (!u)
		return;
	switch (result) {
	case MEMBER_CONNECT_FAILED:
		if (++u->connect_failures >= UNREACHABLE_FAILURES)
			set_unreachable(u, true, "connect", now);
		break;
	case MEMBER_OK:
	case MEMBER_OVERLOADED:
	case MEMBER_ERROR:
		u->connect_failures = 0;
		u->domain_state->last_response = now;
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
	struct fleet_upstream *u = find_upstream(f, h);

	if (!u)
		return;
	http_idle_expire(u->idle, INT64_MAX);
	set_unreachable(u, true, "unacknowledged", now);
}

const char *fleet_id(const struct fleet *f, tab_handle h)
{
	const struct fleet_upstream *u = find_upstream(f, h);

	return u ? u->id : NULL;
}

bool fleet_get_process(const struct fleet *f, tab_handle h, uint64_t *started)
{
	const struct fleet_upstream *u = find_upstream(f, h);

	*started = u ? u->started : 0;
	return u && !u->draining;
}

const char *fleet_addr(const struct fleet *f, tab_handle h)
{
	const struct fleet_upstream *u = find_upstream(f, h);

	return u ? u->addr : NULL;
}

struct http_conn *fleet_conn_take(struct fleet *f, tab_handle h, bool repeatable, int64_t now)
{
	struct fleet_upstream *u = find_upstream(f, h);

	return u ? http_idle_pop(u->idle, repeatable ? INT64_MAX : IDLE_MAX, now) : NULL;
}

void fleet_conn_put(struct fleet *f, tab_handle h, struct http_conn *conn, int64_t idle,
		    uint32_t max_conns, int64_t now)
{
	struct fleet_upstream *u = find_upstream(f, h);
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

		if (!m || m->state != MEMBER_EJECTED || now - u->probe_started < PROBE_INTERVAL)
			continue;
		u->probe_started = now;
		*service = u->service;
		return u->handle;
	}
	return 0;
}
