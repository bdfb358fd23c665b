#include "relay/relay.h"

#include "listen/listen.h"
#include "relay/budget.h"
#include "relay/caller.h"
#include "relay/crash.h"
#include "relay/probe.h"
#include "relay/relay_priv.h"
#include "trace/trace.h"

/*
 * A starting instance accepts connections once it can serve them: a refusal would cost callers one
 * of their few retries. Until then they wait in the listen backlog, for START_WAIT_MAX at most:
 * callers give up a request that is not read within a third of a second to a second.
 */
#define START_WAIT_MAX	     (600 * USEC_PER_MSEC)
#define START_CHECK_INTERVAL (10 * USEC_PER_MSEC)
#define TICK_INTERVAL	     (100 * USEC_PER_MSEC)
#define GAUGE_INTERVAL	     (1 * USEC_PER_SEC) /* monitoring polls every few seconds */
#define MAX_POLL_MS	     1000 /* longest wait of the main loop between two checks of the timers */
/*
 * A load balancer that probes once a second and needs two failed probes still sends callers for
 * this long after the shutdown started.
 */
#define DRAIN_ACCEPT_TIME (2500 * USEC_PER_MSEC)
/* The last requests are ended this long before the process would be killed. */
#define DRAIN_MARGIN (400 * USEC_PER_MSEC)
/* The same for connections with output that their callers have not received. */
#define DRAIN_END_MARGIN (200 * USEC_PER_MSEC)
#define MIN_LOGGED_PAUSE (500 * USEC_PER_MSEC) /* shorter pauses of the process are not logged */

struct timer_source {
	GSource source;
	struct relay *relay;
};

static gboolean timers_prepare(GSource *source, gint *timeout)
{
	struct relay *r = ((struct timer_source *)source)->relay;
	int64_t next = timer_next(r->timers);
	int64_t now = g_source_get_time(source);

	*timeout = next <= now ? 0
			       : (gint)MIN((next - now + USEC_PER_MSEC - 1) / USEC_PER_MSEC,
					   MAX_POLL_MS);
	return next <= now;
}

static gboolean timers_check(GSource *source)
{
	struct relay *r = ((struct timer_source *)source)->relay;

	return timer_next(r->timers) <= g_source_get_time(source);
}

static gboolean timers_dispatch(GSource *source, GSourceFunc fn, gpointer arg)
{
	struct relay *r = ((struct timer_source *)source)->relay;

	timer_advance(r->timers, g_get_monotonic_time());
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs timer_funcs = {
	timers_prepare, timers_check, timers_dispatch, NULL, NULL, NULL
};

static void on_accept(void *arg, int fd)
{
	caller_accept(arg, fd);
}

static bool on_make_room(void *arg)
{
	return caller_make_room(arg, g_get_monotonic_time());
}

static void on_start_check(void *arg, int64_t now)
{
	struct relay *r = arg;
	bool can_serve = r->config && fleet_has_list(r->fleet) && fleet_knows_evacuations(r->fleet);

	if (!can_serve && now - r->started_at < START_WAIT_MAX && listener_is_open(r->listener))
		return;
	timer_cancel(r->timers, r->start_timer);
	r->start_timer = 0;
	listener_start(r->listener);
}

static void drain_tick(struct relay *r, int64_t now)
{
	int64_t since = now - r->drain_started_at;
	enum caller_drain how = CALLER_DRAIN_IDLE;

	if (since < DRAIN_ACCEPT_TIME)
		return;
	/* Closing the listener would reset the connections that wait. */
	listener_stop(r->listener);
	r->last_end = r->drain_started_at + r->params.grace - DRAIN_MARGIN;
	if (since > r->params.grace - DRAIN_END_MARGIN)
		how = CALLER_DRAIN_ALL;
	else if (since > r->params.grace - DRAIN_MARGIN)
		how = CALLER_DRAIN_REQUESTS;
	caller_drain_all(r, how);
	if (list_empty(&r->callers) && r->drain_done) {
		void (*done)(void *arg) = r->drain_done;

		r->drain_done = NULL;
		done(r->drain_arg);
	}
}

static void update_budget_gauge(const struct relay *r, const char *service)
{
	g_autofree char *name = g_strdup_printf("retries_left{service=\"%s\"}", service);

	ctr_set(ctr_get(name), (int64_t)retry_available(r->retry, hash_str(service)));
}

static void update_memory_gauges(const struct relay *r)
{
	static const char *const names[MEMBUDGET_KIND_COUNT] = { "memory_bodies_bytes",
								 "memory_requests_bytes",
								 "memory_output_bytes" };
	struct membudget_stats s;

	if (!r->memory)
		return;
	membudget_stats(r->memory, &s);
	for (int k = 0; k < MEMBUDGET_KIND_COUNT; k++)
		ctr_set(ctr_get(names[k]), (int64_t)s.held[k]);
	ctr_set(ctr_get("memory_limit_bytes"), (int64_t)s.limit);
	ctr_set(ctr_get("memory_yields_total"), (int64_t)s.yielded);
}

static void on_gauges(void *arg, int64_t now)
{
	struct relay *r = arg;
	struct fleet_stats s;
	GHashTableIter it;
	gpointer service;

	fleet_stats(r->fleet, &s);
	ctr_set(r->counters.conns_idle, s.idle);
	ctr_set(r->counters.attempts_open, s.running);
	ctr_set(r->counters.paths_lost, s.n_unreachable);
	ctr_set(r->counters.upstreams_ejected, s.ejected);
	ctr_set(r->counters.upstreams_evacuated, s.evacuated);
	update_memory_gauges(r);
	ctr_set(ctr_get("upstream_body_bytes_most"), (int64_t)s.most_body_bytes);
	ctr_set(r->counters.upstreams_cold, s.cold);
	if (!r->config)
		return;
	g_hash_table_iter_init(&it, r->config->services);
	while (g_hash_table_iter_next(&it, &service, NULL))
		update_budget_gauge(r, service);
}

static void on_tick(void *arg, int64_t now)
{
	struct relay *r = arg;

	if (r->last_tick && now - r->last_tick > MIN_LOGGED_PAUSE)
		trace(PAUSED, (int)((now - r->last_tick) / USEC_PER_MSEC));
	r->last_tick = now;
	fleet_tick(r->fleet, now);
	probes_tick(r->probes, now);
	crashes_tick(r->crashes, now);
	caller_tick(r, now);
	caller_relieve(r, now);
	if (r->draining)
		drain_tick(r, now);
}

static struct retry *make_retry(const struct relay_params *p)
{
	struct retry_params rp;

	budget_params(p->retry_ratio, p->retry_slack, p->instances, p->seed, &rp);
	return retry_new(&rp);
}

static void init_counters(struct relay *r)
{
	struct relay_counters *n = &r->counters;

	n->requests = ctr_get("requests_total");
	n->repeats = ctr_get("repeats_total");
	n->requests_open = ctr_get("requests_open");
	n->conns_idle = ctr_get("connections_idle");
	n->attempts_open = ctr_get("attempts_open");
	n->paths_lost = ctr_get("paths_lost");
	n->upstreams_ejected = ctr_get("upstreams_ejected");
	n->upstreams_cold = ctr_get("upstreams_cold");
	n->upstreams_evacuated = ctr_get("upstreams_evacuated");
	for (int k = 0; k < CAT_KIND_COUNT; k++) {
		g_autofree char *labels =
			g_strdup_printf("kind=\"%s\",", cat_kind_name((enum cat_kind)k));

		n->total[k] = hist_get("request_seconds", labels);
		n->first_output[k] = hist_get("first_output_seconds", labels);
	}
}

struct relay *relay_new(const struct relay_params *p, int *rc)
{
	struct relay *r;
	struct fleet_params fp = { p->domain, p->seed, p->instances, p->place_by_cost };
	struct listener_params lp = { .addr = p->listen,
				      .accepted = on_accept,
				      .make_room = on_make_room };

	r = g_new0(struct relay, 1);
	lp.arg = r;
	r->listener = listener_new(&lp, rc);
	if (!r->listener) {
		g_free(r);
		return NULL;
	}
	r->params = *p;
	r->params.listen = g_strdup(p->listen);
	r->params.domain = g_strdup(p->domain);
	list_init(&r->callers);
	r->memory = p->memory.limit ? membudget_new(&p->memory) : NULL;
	r->fleet = fleet_new(&fp);
	fleet_set_memory(r->fleet, &p->memory);
	r->retry = make_retry(p);
	r->timers = timer_svc_new();
	r->timer_source = g_source_new(&timer_funcs, sizeof(struct timer_source));
	((struct timer_source *)r->timer_source)->relay = r;
	g_source_attach(r->timer_source, g_main_context_get_thread_default());
	r->started_at = g_get_monotonic_time();
	r->start_timer =
		timer_subscribe(r->timers, r->started_at, START_CHECK_INTERVAL, on_start_check, r);
	init_counters(r);
	r->probes = probes_new(r);
	r->crashes = crashes_new(r);
	timer_subscribe(r->timers, g_get_monotonic_time(), TICK_INTERVAL, on_tick, r);
	timer_subscribe(r->timers, g_get_monotonic_time(), GAUGE_INTERVAL, on_gauges, r);
	return r;
}

void relay_free(struct relay *r)
{
	if (!r)
		return;
	caller_drain_all(r, CALLER_DRAIN_ALL);
	listener_free(r->listener);
	probes_free(r->probes);
	crashes_free(r->crashes);
	g_source_destroy(r->timer_source);
	g_source_unref(r->timer_source);
	timer_svc_free(r->timers);
	retry_free(r->retry);
	fleet_free(r->fleet);
	cat_config_unref(r->config);
	membudget_free(r->memory);
	g_free((char *)r->params.listen);
	g_free((char *)r->params.domain);
	g_free(r);
}

static void set_cold_bounds(struct relay *r)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, r->config->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cat_service *s = p;
		struct coldstart_bound b = { s->cold_rate, r->params.cold_factor,
					     r->params.cold_slack };

		fleet_set_cold_bound(r->fleet, s->name, &b, s->cold_time);
	}
}

bool relay_set_config(struct relay *r, struct cat_config *c)
{
	if (!cat_config_replaces(r->config, c))
		return false;
	cat_config_unref(r->config);
	r->config = cat_config_ref(c);
	set_cold_bounds(r);
	return true;
}

struct cat_config *relay_config(const struct relay *r)
{
	return r->config;
}

struct fleet *relay_fleet(struct relay *r)
{
	return r->fleet;
}

struct timer_svc *relay_timers(struct relay *r)
{
	return r->timers;
}

void relay_set_instances(struct relay *r, uint32_t n)
{
	r->params.instances = MAX(n, 1U);
	fleet_set_instances(r->fleet, n);
	retry_set_burst(r->retry, budget_burst(r->params.retry_slack, r->params.instances));
}

void relay_on_crash(struct relay *r, relay_crash_fn fn, void *arg)
{
	crashes_set_report(r->crashes, fn, arg);
}

void relay_peer_crash(struct relay *r, const struct relay_crash *c)
{
	crashes_peer_report(r->crashes, c, g_get_monotonic_time());
}

bool relay_is_ready(const struct relay *r)
{
	return r->config && !r->draining && fleet_count(r->fleet) > 0 &&
	       fleet_knows_evacuations(r->fleet);
}

void relay_drain(struct relay *r, void (*done)(void *arg), void *arg)
{
	if (r->draining)
		return;
	r->draining = true;
	r->drain_started_at = g_get_monotonic_time();
	r->drain_done = done;
	r->drain_arg = arg;
}

uint32_t relay_open_requests(const struct relay *r)
{
	return r->n_open;
}
