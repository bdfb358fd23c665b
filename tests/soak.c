#include "soak.h"

#include <glib.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/base.h"
#include "site.h"
#include "soak_evacuation.h"
#include "soak_restore.h"

#define CALL_TIMEOUT_US (12 * USEC_PER_SEC) /* longer than every route timeout and process pause */
#define MIN_FAULTS	6U /* a run lasts longer if it has fewer */
/* First seed with hung and unterminated responses; lower seeds must replay the same faults. */
#define FIRST_FLOOD_SEED 600
/*
 * First seed with the faults of real machines; odd ones from here on play planned work only, so that
 * each request must get its answer.
 */
#define FIRST_MACHINE_SEED 1000
/* First seed with evacuations and cold replicas. */
#define FIRST_EVACUATION_SEED 1200
/* First seed in which the store returns from older copies. */
#define FIRST_RESTORE_SEED  1400
#define RESTORE_AWAY_MS	    500U /* at most; the store is away before it returns */
#define WRITE_AGAIN_MS	    1000U /* at most; the operator and the replicas write again after it */
#define SIGNALS_MAX	    4U /* in a series */
#define LIMITED_FDS	    160U /* descriptors of some instances */
#define IDLE_CALLERS	    250U /* that connect to one instance and send nothing */
#define IDLE_FLOOD_MS	    2000U
#define LOST_SLACK_US	    (200 * USEC_PER_MSEC) /* a request may cross the close of its connection */
#define FAULT_INTERVAL_MS   400 /* average */
#define RECOVERY_TIMEOUT_US (15 * USEC_PER_SEC) /* from the last fault until all is served */
#define DRAIN_BOUND_US	    (2 * USEC_PER_SEC) /* a draining replica gets no new requests after it */
#define QUIET_TIME_US	    (3 * USEC_PER_SEC) /* without faults, so that the bounds apply */

enum route {
	ROUTE_READ,
	ROUTE_ONCE,
	ROUTE_STREAM,
	ROUTE_STREAM_ONCE,
	ROUTE_COUNT,
};

static const char *const route_paths[] = { "/read/x", "/once/x", "/stream/x", "/streamonce/x" };

struct soak;

/* Sends one request after the other, and reuses its connection while that is open. */
struct soak_caller {
	struct soak *soak;
	struct http_conn *conn; /* NULL: none */
	struct site_instance *instance; /* that conn is connected to */
	enum route route;
	char *id;
	uint32_t n_events; /* expected in a stream */
	int64_t sent_at;
	int status; /* 0: no response headers yet */
	bool busy;
	bool keep_alive;
	bool sealed;
	GString *body;
};

/* What the soak has done to an instance. */
struct soak_instance {
	bool may_end; /* was sent SIGTERM or SIGKILL */
	GSubprocess *stopping; /* earlier process, which still stops; NULL: none */
};

struct soak {
	const struct soak_params *params;
	struct soak_result *out;
	struct site *site;
	struct rng rng;
	struct soak_caller *callers;
	struct soak_instance *instances; /* in the order of site->instances */
	GPtrArray *not_run_ids; /* of requests reported as not run */
	uint32_t n_ids;
	int64_t last_fault_at; /* unresponsiveness is allowed for CALL_TIMEOUT_US after it */
	bool stopping; /* no new requests */
};

static void violation(struct soak *s, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

static void violation(struct soak *s, const char *fmt, ...)
{
	va_list ap;

	if (s->out->violation[0])
		return;
	va_start(ap, fmt);
	vsnprintf(s->out->violation, sizeof(s->out->violation), fmt, ap);
	va_end(ap);
}

static uint32_t random_below(struct soak *s, uint32_t n)
{
	return (uint32_t)rng_below(&s->rng, n);
}

static void check_success(struct soak *s, const struct soak_caller *c)
{
	g_autoptr(GString) expected = g_string_new(NULL);

	if (!c->sealed)
		violation(s, "%s: a success without the replica's seal header", c->id);
	/* SITE_FAULT_EARLY_RESPONSE sends this complete body on every route, also for streams. */
	if (g_str_equal(c->body->str, "early"))
		return;
	if (c->route == ROUTE_READ || c->route == ROUTE_ONCE) {
		g_string_printf(expected, "answer to %s by ", c->id);
		if (!g_str_has_prefix(c->body->str, expected->str))
			violation(s, "%s: unexpected body: %.60s", c->id, c->body->str);
		return;
	}
	for (uint32_t i = 1; i <= c->n_events; i++)
		g_string_append_printf(expected, "id: %u\ndata: %s-%u\n\n", i, c->id, i);
	if (strcmp(expected->str, c->body->str) != 0)
		violation(s, "%s: a stream that looks complete has unexpected events: %.200s",
			  c->id, c->body->str);
}

static bool means_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

static bool has_machine_faults(const struct soak *s)
{
	return s->params->seed >= FIRST_MACHINE_SEED;
}

/* Whether the run has planned work only: stops, reloads, changes of the configuration and list. */
static bool is_planned(const struct soak *s)
{
	return has_machine_faults(s) && s->params->seed % 2 == 1;
}

static void check_lost(struct soak *s, const struct soak_caller *c)
{
	bool passed_on = g_hash_table_contains(s->site->run_counts, c->id);
	int64_t age = g_get_monotonic_time() - c->sent_at;

	if (passed_on || age > LOST_SLACK_US)
		violation(s, "%s: no complete answer by %s, status %d, %s, after %d ms", c->id,
			  c->instance->name, c->status, passed_on ? "passed on" : "not passed on",
			  (int)(age / USEC_PER_MSEC));
}

static void finish_request(struct soak_caller *c, bool complete)
{
	struct soak *s = c->soak;

	c->busy = false;
	if (!complete && is_planned(s))
		check_lost(s, c);
	if (complete && c->status == 200) {
		s->out->served++;
		check_success(s, c);
	} else if (complete && means_not_run(c->status)) {
		s->out->refused++;
		g_ptr_array_add(s->not_run_ids, g_strdup(c->id));
	} else {
		s->out->failed++;
		if (complete && (c->status == 401 || c->status == 404))
			violation(s, "%s: refused with %d although its key and route are valid",
				  c->id, c->status);
	}
}

static void drop_conn(struct soak_caller *c)
{
	http_conn_free(c->conn);
	c->conn = NULL;
}

static void on_head(void *owner, struct http_head *h)
{
	struct soak_caller *c = owner;

	/* An interim response. */
	if (h->status / 100 == 1)
		return;
	c->status = h->status;
	c->keep_alive = h->keep_alive;
	c->sealed = http_head_get(h, "X-Turmerichinge-Reply-Seal") != NULL;
}

static void on_body(void *owner, const char *data, size_t len)
{
	g_string_append_len(((struct soak_caller *)owner)->body, data, (gssize)len);
}

static void on_end(void *owner)
{
	struct soak_caller *c = owner;

	if (c->busy && c->status == 0) {
		http_conn_read_next(c->conn);
		return;
	}
	if (!c->busy) {
		violation(c->soak, "response without a request: %d", c->status);
		return;
	}
	finish_request(c, true);
	if (c->keep_alive)
		http_conn_read_next(c->conn);
	else
		drop_conn(c);
}

static void on_closed(void *owner, enum http_close_reason why)
{
	struct soak_caller *c = owner;

	drop_conn(c);
	if (c->busy)
		finish_request(c, false);
}

static const struct http_ops caller_ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
};

static struct site_instance *any_instance(struct soak *s)
{
	return s->site->instances->pdata[random_below(s, s->site->instances->len)];
}

static void send_request(struct soak *s, struct soak_caller *c)
{
	g_autofree char *text = NULL;
	bool once;

	if (!c->conn) {
		g_autofree char *addr = NULL;

		c->instance = any_instance(s);
		addr = g_strdup_printf("127.0.0.1:%u", c->instance->port);
		c->conn = http_conn_open(addr, &caller_ops, c);
		if (!c->conn)
			return;
	}
	c->route = (enum route)random_below(s, ROUTE_COUNT);
	once = c->route == ROUTE_ONCE || c->route == ROUTE_STREAM_ONCE;
	g_free(c->id);
	c->id = g_strdup_printf("%s-%" G_GUINT64_FORMAT "-%u", once ? "once" : "any",
				s->params->seed, s->n_ids++);
	c->status = 0;
	c->busy = true;
	c->sent_at = g_get_monotonic_time();
	g_string_truncate(c->body, 0);
	s->out->requests++;
	text = g_strdup_printf("%s %s HTTP/1.1\r\nHost: " SITE_HOST
			       "\r\nX-Turmerichinge-Request-Id: %s\r\n"
			       "X-Turmerichinge-Deadline-Ms: 6000\r\n"
			       "X-Turmerichinge-Prompt-Prefix: a%u:500,b%u:900,c%u:50\r\n"
			       "Authorization: Bearer " SITE_KEY "\r\nContent-Length: 2\r\n\r\n{}",
			       c->route == ROUTE_READ ? "GET" : "POST", route_paths[c->route],
			       c->id, random_below(s, 3), random_below(s, 12), s->n_ids);
	http_conn_write(c->conn, text, strlen(text));
}

static void poll_callers(struct soak *s)
{
	int64_t now = g_get_monotonic_time();

	for (uint32_t i = 0; i < s->params->callers; i++) {
		struct soak_caller *c = &s->callers[i];

		if (!c->busy && !s->stopping && random_below(s, 8) == 0)
			send_request(s, c);
		if (!c->busy || now - c->sent_at < CALL_TIMEOUT_US)
			continue;
		/* A fault may have paused the process; otherwise it must have responded by now. */
		if (now - s->last_fault_at > CALL_TIMEOUT_US)
			violation(s, "%s: no response after %d s", c->id,
				  (int)(CALL_TIMEOUT_US / USEC_PER_SEC));
		finish_request(c, false);
		drop_conn(c);
	}
}

/* No process ends unless it was told to. */
static void check_processes(struct soak *s)
{
	for (guint i = 0; i < s->site->instances->len; i++) {
		struct site_instance *n = s->site->instances->pdata[i];

		if (n->process && !s->instances[i].may_end && site_instance_has_exited(n))
			violation(s, "%s ended by itself", n->name);
	}
}

/* Runs the callers and the simulated members for @ms. */
static void run_callers(struct soak *s, uint32_t ms)
{
	int64_t end = g_get_monotonic_time() + (int64_t)ms * USEC_PER_MSEC;

	while (g_get_monotonic_time() < end) {
		poll_callers(s);
		check_processes(s);
		site_run_for(5);
	}
}

static struct site_replica *any_replica(struct soak *s)
{
	return s->site->replicas->pdata[random_below(s, s->site->replicas->len)];
}

static gboolean resume_process(gpointer arg)
{
	struct site_instance *i = arg;

	if (i->process)
		site_instance_signal(i, SIGCONT);
	return G_SOURCE_REMOVE;
}

static struct soak_instance *soak_instance_of(struct soak *s, const struct site_instance *i)
{
	guint index = 0;

	g_assert_true(g_ptr_array_find(s->site->instances, i, &index));
	return &s->instances[index];
}

static void start(struct soak *s, struct site_instance *i)
{
	site_instance_start(i);
	soak_instance_of(s, i)->may_end = false;
}

static void kill_instance(struct soak *s, struct site_instance *i)
{
	soak_instance_of(s, i)->may_end = true;
	site_instance_signal(i, SIGKILL);
}

static void restart(struct soak *s, struct site_instance *i)
{
	site_instance_wait_exit(i);
	start(s, i);
}

static void stop_and_start(struct soak *s, struct site_instance *i)
{
	/* Callers continue to use their connections during the shutdown. */
	soak_instance_of(s, i)->may_end = true;
	site_instance_signal(i, SIGCONT);
	site_instance_signal(i, SIGTERM);
	run_callers(s, 300 + random_below(s, 3000));
	if (!site_instance_wait_exit(i))
		violation(s, "%s did not exit in order (status 0) after SIGTERM", i->name);
	start(s, i);
}

static void fault_instance(struct soak *s, uint32_t kind)
{
	struct site_instance *i = any_instance(s);

	switch (kind) {
	case 0:
		kill_instance(s, i);
		restart(s, i);
		break;
	case 1:
		site_instance_signal(i, SIGSTOP);
		g_timeout_add(200 + random_below(s, 1500), resume_process, i);
		break;
	case 2:
		site_instance_signal(i, SIGHUP);
		break;
	default:
		stop_and_start(s, i);
	}
}

/* Waits for the end of an earlier process of the instance. */
static void await_stopping(struct soak *s, struct site_instance *i)
{
	struct soak_instance *n = soak_instance_of(s, i);
	GSubprocess *now = i->process;

	if (!n->stopping)
		return;
	i->process = n->stopping;
	n->stopping = NULL;
	if (!site_instance_wait_exit(i))
		violation(s, "%s did not exit in order (status 0) while another one started",
			  i->name);
	i->process = now;
}

/* A new process starts on the addresses of one that still stops. */
static void replace_instance(struct soak *s, struct site_instance *i)
{
	struct soak_instance *n = soak_instance_of(s, i);

	await_stopping(s, i);
	n->stopping = g_steal_pointer(&i->process);
	g_subprocess_send_signal(n->stopping, SIGTERM);
	start(s, i);
}

static void send_series(struct soak *s, struct site_instance *i)
{
	uint32_t n = 1 + random_below(s, SIGNALS_MAX);

	for (uint32_t k = 0; k < n; k++) {
		site_instance_signal(i, SIGHUP);
		run_callers(s, random_below(s, 10));
	}
}

/* Signals reach a process before it has read its settings. */
static void signal_at_start(struct soak *s, struct site_instance *i)
{
	soak_instance_of(s, i)->may_end = true;
	site_instance_signal(i, SIGTERM);
	if (!site_instance_wait_exit(i))
		violation(s, "%s did not exit in order (status 0) after SIGTERM", i->name);
	site_instance_start_waiting(i);
	soak_instance_of(s, i)->may_end = false;
	send_series(s, i);
	site_instance_give_settings(i);
}

static void planned_fault(struct soak *s, uint32_t kind)
{
	struct site_instance *i = any_instance(s);

	await_stopping(s, i);
	switch (kind) {
	case 0:
		stop_and_start(s, i);
		break;
	case 1:
		replace_instance(s, i);
		break;
	case 2:
		signal_at_start(s, i);
		break;
	default:
		send_series(s, i);
		site_publish(s->site);
	}
}

/* All or several instances lose power, and start again at once. */
static void kill_many(struct soak *s)
{
	guint n = s->site->instances->len;
	uint32_t keep = random_below(s, 2) ? 0 : random_below(s, n);

	for (guint k = keep; k < n; k++)
		kill_instance(s, s->site->instances->pdata[k]);
	for (guint k = keep; k < n; k++)
		restart(s, s->site->instances->pdata[k]);
}

static void on_idle_message(void *owner, struct http_head *h)
{
}

static void on_idle_body(void *owner, const char *data, size_t len)
{
}

static void on_idle_end(void *owner)
{
}

static void on_idle_closed(void *owner, enum http_close_reason why)
{
	struct http_conn **c = owner;

	http_conn_free(*c);
	*c = NULL;
}

static const struct http_ops idle_ops = {
	.head = on_idle_message,
	.body = on_idle_body,
	.end = on_idle_end,
	.closed = on_idle_closed,
};

/* Callers that connect to one instance and send nothing. */
static void flood_idle(struct soak *s, struct site_instance *i)
{
	struct http_conn *conns[IDLE_CALLERS];
	g_autofree char *addr = g_strdup_printf("127.0.0.1:%u", i->port);

	for (uint32_t k = 0; k < IDLE_CALLERS; k++)
		conns[k] = http_conn_open(addr, &idle_ops, &conns[k]);
	run_callers(s, IDLE_FLOOD_MS);
	for (uint32_t k = 0; k < IDLE_CALLERS; k++)
		http_conn_free(conns[k]);
}

static void machine_fault(struct soak *s, uint32_t kind)
{
	switch (kind) {
	case 0:
		kill_many(s);
		break;
	case 1:
		flood_idle(s, any_instance(s));
		break;
	default:
		planned_fault(s, kind);
	}
}

static void fault_store(struct soak *s, uint32_t kind)
{
	switch (kind) {
	case 0:
		site_store_mode(s->site, (enum site_store_mode)random_below(s, 5));
		break;
	case 1:
		site_store_reject_instance(s->site, any_instance(s));
		break;
	case 2:
		site_store_expire_history(s->site);
		break;
	default:
		site_proxy_set(any_instance(s)->store_proxy,
			       (enum site_proxy_mode)random_below(s, SITE_PROXY_MODE_COUNT),
			       20 + random_below(s, 200));
	}
}

static void fault_replica(struct soak *s, uint32_t kind)
{
	struct site_replica *r = any_replica(s);

	switch (kind) {
	case 0:
		r->fault = (enum site_fault)random_below(s, s->params->seed >= FIRST_FLOOD_SEED
								    ? SITE_FAULT_COUNT
								    : SITE_FAULT_TRUNCATE + 1);
		r->faults_left = 1 + random_below(s, 4);
		break;
	case 1:
		site_replica_stop(r);
		break;
	case 2:
		site_replica_start(r);
		break;
	default:
		site_proxy_set(r->proxy,
			       (enum site_proxy_mode)random_below(s, SITE_PROXY_MODE_COUNT),
			       20 + random_below(s, 200));
	}
}

static bool has_restores(const struct soak *s)
{
	return s->params->seed >= FIRST_RESTORE_SEED;
}

/* The next restore goes back to now, some seconds or faults earlier. */
static void keep_copy(struct soak *s)
{
	if (has_restores(s) && random_below(s, 3) == 0)
		site_store_copy(s->site);
}

static void run_for(void *arg, uint32_t ms)
{
	run_callers(arg, ms);
}

static void restore_store(struct soak *s)
{
	soak_restore(s->site, random_below(s, RESTORE_AWAY_MS), random_below(s, WRITE_AGAIN_MS),
		     run_for, s);
}

static bool has_evacuations(const struct soak *s)
{
	return s->params->seed >= FIRST_EVACUATION_SEED;
}

static void change_deployment(struct soak *s, uint32_t kind)
{
	struct site_replica *r = any_replica(s);

	if (has_evacuations(s) && random_below(s, 2))
		soak_set_evacuated(s->site, kind > 1);
	else if (kind == 0)
		site_publish(s->site);
	else
		site_replica_set_state(r, kind == 1 ? "draining" : "ready");
}

static void inject_fault(struct soak *s)
{
	uint32_t group = random_below(s, 10);
	uint32_t kind = random_below(s, 4);

	s->out->faults++;
	if (s->params->verbose)
		printf("fault %u: group %u kind %u\n", s->out->faults, group, kind);
	s->last_fault_at = g_get_monotonic_time();
	keep_copy(s);
	if (has_restores(s) && random_below(s, 5) == 0)
		restore_store(s);
	else if (is_planned(s) && group < 8)
		planned_fault(s, kind);
	else if (has_machine_faults(s) && !is_planned(s) && group < 4)
		machine_fault(s, kind);
	else if (group < 2)
		fault_instance(s, kind);
	else if (group < 4)
		fault_store(s, kind);
	else if (group < 8)
		fault_replica(s, kind);
	else
		change_deployment(s, kind);
}

static void clear_faults(struct soak *s)
{
	if (has_restores(s))
		restore_store(s);
	site_store_mode(s->site, SITE_STORE_OK);
	site_store_reject_instance(s->site, NULL);
	for (guint i = 0; i < s->site->instances->len; i++) {
		struct site_instance *n = s->site->instances->pdata[i];

		resume_process(n);
		site_proxy_set(n->store_proxy, SITE_PROXY_PASS, 0);
	}
	for (guint i = 0; i < s->site->replicas->len; i++) {
		struct site_replica *r = s->site->replicas->pdata[i];

		r->faults_left = 0;
		site_replica_start(r);
		site_proxy_set(r->proxy, SITE_PROXY_PASS, 0);
		site_replica_set_state(r, "ready");
	}
	if (has_evacuations(s))
		soak_set_evacuated(s->site, false);
	site_publish(s->site);
}

/* Whether each instance serves a request on each route. */
static bool all_routes_work(struct soak *s)
{
	for (guint i = 0; i < s->site->instances->len; i++) {
		for (int k = 0; k < ROUTE_COUNT; k++) {
			bool once = k == ROUTE_ONCE || k == ROUTE_STREAM_ONCE;
			g_autofree char *headers =
				g_strdup_printf("X-Turmerichinge-Request-Id: %s-well-%u\r\n"
						"X-Turmerichinge-Deadline-Ms: 3000\r\n"
						"Authorization: Bearer " SITE_KEY "\r\n",
						once ? "once" : "any", s->n_ids++);
			struct site_call *c = site_request(s->site->instances->pdata[i],
							   k == ROUTE_READ ? "GET" : "POST",
							   route_paths[k], headers, "{}");
			bool ok = c->status == 200 && c->done;

			site_call_free(c);
			if (!ok)
				return false;
		}
	}
	return true;
}

static void check_recovery(struct soak *s)
{
	int64_t end = g_get_monotonic_time() + RECOVERY_TIMEOUT_US;

	while (!all_routes_work(s)) {
		if (g_get_monotonic_time() > end) {
			violation(s, "not all requests are served %d s after the last fault",
				  (int)(RECOVERY_TIMEOUT_US / USEC_PER_SEC));
			return;
		}
		run_callers(s, 200);
	}
}

/* A replica gets no new requests from two seconds after its entry in the store says draining. */
static void check_draining(struct soak *s, struct site_replica *r)
{
	uint32_t before;

	site_replica_set_state(r, "draining");
	run_callers(s, DRAIN_BOUND_US / USEC_PER_MSEC);
	before = r->requests;
	run_callers(s, 1000);
	if (r->requests != before)
		violation(s, "%s got %u requests two seconds after its state became draining",
			  r->id, r->requests - before);
	site_replica_set_state(r, "ready");
}

static void check_drain(struct soak *s)
{
	run_callers(s, QUIET_TIME_US / USEC_PER_MSEC);
	check_draining(s, any_replica(s));
}

/* Changes are in force in time although their revisions were given out before the restore. */
static void check_restored(struct soak *s)
{
	struct site_replica *r = any_replica(s);
	uint32_t n;

	soak_write_and_restore(s->site, r, run_for, s);
	check_draining(s, r);
	n = soak_lacking_route(s->site);
	if (n)
		violation(s, "%u instances don't have a route that was added 3 s before", n);
}

/* The bounds of what arrives at a cold replica and at an evacuated domain hold. */
static void check_evacuation(struct soak *s)
{
	struct site_replica *r = any_replica(s);
	uint32_t n = soak_cool(r, run_for, s);

	if (n > SOAK_COLD_BOUND)
		violation(s, "%s got %u requests in a second while it was cold", r->id, n);
	n = soak_evacuate(s->site, run_for, s);
	if (n)
		violation(s, "%u requests at an evacuated domain after the bound", n);
}

static void check_runs(struct soak *s)
{
	if (s->site->duplicate_runs)
		violation(s, "%u runs beyond the first of requests that may run only once",
			  s->site->duplicate_runs);
	for (guint i = 0; i < s->not_run_ids->len; i++) {
		if (g_hash_table_contains(s->site->run_counts, s->not_run_ids->pdata[i]))
			violation(s, "%s was refused as not run, but ran",
				  (const char *)s->not_run_ids->pdata[i]);
	}
}

static void start_deployment(struct soak *s)
{
	static const char *const domains[] = { "z-a", "z-b", "z-c" };
	struct site *site = site_new();

	s->site = site;
	site->use_proxies = true;
	if (has_evacuations(s))
		soak_evacuation_prepare(site);
	site_add_defaults(site);
	for (uint32_t i = 0; i < s->params->instances; i++)
		site_instance_add(site, domains[i % 3]);
	site_wait_ready(site);
	for (uint32_t i = 0; has_machine_faults(s) && i < s->params->instances; i += 2) {
		struct site_instance *n = site->instances->pdata[i];

		n->max_fds = LIMITED_FDS;
		kill_instance(s, n);
		restart(s, n);
	}
	site_wait_ready(site);
}

void soak_run(const struct soak_params *p, struct soak_result *out)
{
	struct soak s = { .params = p, .out = out };
	int64_t end;

	memset(out, 0, sizeof(*out));
	rng_seed(&s.rng, p->seed);
	s.not_run_ids = g_ptr_array_new_with_free_func(g_free);
	s.callers = g_new0(struct soak_caller, p->callers);
	s.instances = g_new0(struct soak_instance, p->instances);
	start_deployment(&s);
	for (uint32_t i = 0; i < p->callers; i++) {
		s.callers[i].soak = &s;
		s.callers[i].n_events = 5;
		s.callers[i].body = g_string_new(NULL);
	}
	run_callers(&s, 1000);
	if (has_restores(&s))
		site_store_copy(s.site);
	end = g_get_monotonic_time() + (int64_t)p->seconds * USEC_PER_SEC;
	/* One fault can take the whole time: a stopping instance waits for stalled streams. */
	while (g_get_monotonic_time() < end || out->faults < MIN_FAULTS) {
		inject_fault(&s);
		run_callers(&s, random_below(&s, 2 * FAULT_INTERVAL_MS));
	}
	for (guint i = 0; i < s.site->instances->len; i++)
		await_stopping(&s, s.site->instances->pdata[i]);
	clear_faults(&s);
	check_recovery(&s);
	check_drain(&s);
	if (has_evacuations(&s))
		check_evacuation(&s);
	if (has_restores(&s))
		check_restored(&s);
	s.stopping = true;
	/* The deadline of the last requests is 6 s (send_request). */
	run_callers(&s, 7000);
	check_runs(&s);
	for (uint32_t i = 0; i < p->callers; i++) {
		http_conn_free(s.callers[i].conn);
		g_free(s.callers[i].id);
		g_string_free(s.callers[i].body, TRUE);
	}
	out->dir = out->violation[0] ? g_strdup(s.site->dir) : NULL;
	s.site->keep_dir = out->dir != NULL;
	site_free(s.site);
	g_ptr_array_unref(s.not_run_ids);
	g_free(s.callers);
	g_free(s.instances);
}
