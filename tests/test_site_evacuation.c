/*
 * The router instance on the platform: a zone that the operator evacuates gets no requests within
 * evac_ms at each instance, also while the store or an instance fails, and gets them again later.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "site_case.h"
#include "site_store.h"

#define EVAC_MS	    5000U
#define N_INSTANCES 4U /* two in each of two zones, one of which reads the store */
#define N_CALLS	    12U /* through each instance; each of three replicas gets some */

#define EARLY_GAP_MS 5U

static uint32_t n_calls; /* for the request ids */

static struct site *evacuation_site(void)
{
	struct site *s = site_new();

	s->more_settings = "bounds.evac_ms=5000\n";
	site_add_defaults(s);
	for (guint i = 0; i < N_INSTANCES; i++)
		site_instance_add(s, i % 2 ? "z-b" : "z-a");
	site_wait_ready(s);
	site_run_for(1500);
	return s;
}

static bool has_line(const struct site_instance *i, const char *text)
{
	g_autofree char *log = site_instance_log(i);

	return log && strstr(log, text) != NULL;
}

/* Waits until each running instance logged @text; fails after EVAC_MS. */
static void expect_logged(struct site *s, const char *text)
{
	gint64 end = g_get_monotonic_time() + EVAC_MS * 1000;

	for (guint i = 0; i < N_INSTANCES; i++) {
		while (case_instance(s, i)->process && !has_line(case_instance(s, i), text)) {
			g_assert_cmpint(g_get_monotonic_time(), <, end);
			site_run_for(20);
		}
	}
}

static struct site_call *call_at(struct site *s, guint instance, const char *method,
				 const char *path)
{
	g_autofree char *headers = g_strdup_printf("X-Turmerichinge-Request-Id: e-%u\r\n"
						   "X-Turmerichinge-Deadline-Ms: 2000\r\n" AUTH,
						   ++n_calls);

	return site_request(case_instance(s, instance), method, path, headers,
			    strcmp(method, "POST") == 0 ? "{}" : NULL);
}

/* Sends calls through all instances; each must be served. Returns the requests at @id. */
static uint32_t requests_at(struct site *s, const char *id)
{
	uint32_t before = case_replica(s, id)->requests;

	for (guint i = 0; i < N_INSTANCES; i++) {
		for (uint32_t k = 0; k < N_CALLS; k++) {
			struct site_call *c = call_at(s, i, "GET", "/read/x");

			g_assert_cmpint(c->status, ==, 200);
			site_call_free(c);
		}
	}
	return case_replica(s, id)->requests - before;
}

#define IN_FORCE   "event=evacuation domain=z-a state=in_force"
#define TAKEN_BACK "event=evacuation domain=z-a state=taken_back"

/* Guards against requests to an evacuated zone after the bound, and against one left out for good. */
static void test_in_force(void)
{
	struct site *s = evacuation_site();

	g_assert_cmpuint(requests_at(s, "shop-0"), >, 0);
	site_store_put(s->store, "evacuations", "z-a", "{}");
	expect_logged(s, IN_FORCE);
	g_assert_cmpuint(requests_at(s, "shop-0"), ==, 0);
	site_store_delete(s->store, "evacuations", "z-a");
	expect_logged(s, TAKEN_BACK);
	g_assert_cmpuint(requests_at(s, "shop-0"), >, 0);
	site_free(s);
}

/* Guards against streams that are broken off, or resumed elsewhere, when their zone is evacuated. */
static void test_in_progress(void)
{
	struct site *s = evacuation_site();
	struct site_call *calls[N_INSTANCES * 3];

	for (int i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf("chat-%d", i);

		case_replica(s, id)->event_gap_ms = 100;
		case_replica(s, id)->n_events = 30;
	}
	for (guint i = 0; i < G_N_ELEMENTS(calls); i++) {
		g_autofree char *headers =
			g_strdup_printf("X-Turmerichinge-Request-Id: s-%u\r\n"
					"X-Turmerichinge-Deadline-Ms: 8000\r\n" AUTH,
					i);

		calls[i] = site_send(case_instance(s, i % N_INSTANCES), "POST", "/stream/x",
				     headers, "{}");
	}
	site_run_for(500);
	g_assert_cmpuint(case_replica(s, "chat-0")->requests, >, 0);
	site_store_put(s->store, "evacuations", "z-a", "{}");
	expect_logged(s, IN_FORCE);
	for (guint i = 0; i < G_N_ELEMENTS(calls); i++) {
		g_autofree char *id = g_strdup_printf("s-%u", i);

		site_call_wait(calls[i]);
		g_assert_cmpint(calls[i]->status, ==, 200);
		g_assert_true(calls[i]->done);
		g_assert_cmpuint(case_runs(s, id), ==, 1);
		site_call_free(calls[i]);
	}
	site_free(s);
}

/* Guards against an evacuation that some instances miss because the store fails right after it. */
static void test_store_down(void)
{
	struct site *s = evacuation_site();

	site_store_put(s->store, "evacuations", "z-a", "{}");
	site_run_for(50);
	site_store_mode(s, SITE_STORE_RESET);
	expect_logged(s, IN_FORCE);
	g_assert_cmpuint(requests_at(s, "shop-0"), ==, 0);
	/* It stays in force in the outage, and is taken back after it. */
	site_run_for(3000);
	g_assert_cmpuint(requests_at(s, "shop-0"), ==, 0);
	site_store_delete(s->store, "evacuations", "z-a");
	site_store_mode(s, SITE_STORE_OK);
	expect_logged(s, TAKEN_BACK);
	g_assert_cmpuint(requests_at(s, "shop-0"), >, 0);
	site_free(s);
}

/*
 * Sends calls to all instances for @ms, from before their listeners open. Each must be refused or
 * get no response yet. Returns the number of refusals.
 */
static uint32_t early_refusals(struct site *s, uint32_t ms)
{
	gint64 end = g_get_monotonic_time() + ms * 1000;
	g_autoptr(GPtrArray) calls = g_ptr_array_new();
	uint32_t refused = 0;

	for (uint32_t n = 0; g_get_monotonic_time() < end; n++) {
		g_autofree char *headers =
			g_strdup_printf("X-Turmerichinge-Request-Id: early-%u\r\n"
					"X-Turmerichinge-Deadline-Ms: 2000\r\n" AUTH,
					n);

		g_ptr_array_add(calls, site_send(case_instance(s, n % N_INSTANCES), "GET",
						 "/read/x", headers, NULL));
		site_run_for(EARLY_GAP_MS);
	}
	for (guint i = 0; i < calls->len; i++) {
		struct site_call *c = calls->pdata[i];

		g_assert_cmpint(c->status, !=, 200);
		refused += c->status == 503;
		site_call_free(c);
	}
	return refused;
}

/* Sends calls to @i, from before its listener opens, until one is served. */
static void send_until_ready(struct site *s, struct site_instance *i)
{
	gint64 end = g_get_monotonic_time() + EVAC_MS * 1000;
	int status = 0;

	while (status != 200) {
		struct site_call *c = site_send(i, "GET", "/read/x", AUTH, NULL);

		g_assert_cmpint(g_get_monotonic_time(), <, end);
		site_call_wait(c);
		status = c->status;
		site_call_free(c);
	}
	site_wait_ready(s);
}

static int ready_status(const struct site_instance *i)
{
	struct site_instance at = *i;
	struct site_call *c;
	int status;

	at.port = i->ready_port;
	c = site_request(&at, "GET", "/ready", NULL, NULL);
	status = c->status;
	site_call_free(c);
	return status;
}

static void restart_all(struct site *s)
{
	for (guint i = 0; i < N_INSTANCES; i++)
		site_instance_signal(case_instance(s, i), SIGKILL);
	for (guint i = 0; i < N_INSTANCES; i++) {
		struct site_instance *n = case_instance(s, i);

		site_instance_wait_exit(n);
		/* The new process writes from the start of the file. */
		unlink(n->log);
		site_instance_start(n);
	}
}

/*
 * Guards against an instance that sends requests, or is ready, while it knows the upstreams but not
 * the evacuations: all restart, and the store answers only about the other kinds at first.
 */
static void test_start_unknown(void)
{
	struct site *s = evacuation_site();
	uint32_t before;

	site_store_put(s->store, "evacuations", "z-a", "{}");
	expect_logged(s, IN_FORCE);
	site_store_set_hung_kind(s->store, "evacuations");
	restart_all(s);
	before = case_replica(s, "shop-0")->requests;
	g_assert_cmpuint(early_refusals(s, 2500), >, 0);
	for (guint i = 0; i < N_INSTANCES; i++) {
		g_assert_true(has_line(case_instance(s, i), "event=upstream id=shop-0"));
		g_assert_cmpint(ready_status(case_instance(s, i)), ==, 503);
	}
	site_store_set_hung_kind(s->store, NULL);
	site_wait_ready(s);
	expect_logged(s, IN_FORCE);
	g_assert_cmpuint(requests_at(s, "shop-0"), ==, 0);
	g_assert_cmpuint(case_replica(s, "shop-0")->requests, ==, before);
	site_free(s);
}

/* Guards against a restarted instance that is ready before it knows the evacuation. */
static void test_restart(void)
{
	struct site *s = evacuation_site();
	struct site_instance *last = case_instance(s, N_INSTANCES - 1);
	uint32_t before;

	site_store_put(s->store, "evacuations", "z-a", "{}");
	expect_logged(s, IN_FORCE);
	site_instance_signal(last, SIGKILL);
	site_instance_wait_exit(last);
	/* The new process writes from the start of the file. */
	unlink(last->log);
	site_instance_start(last);
	before = case_replica(s, "shop-0")->requests;
	/* Also from the moment at which its listener opens. */
	send_until_ready(s, last);
	expect_logged(s, IN_FORCE);
	g_assert_cmpuint(requests_at(s, "shop-0"), ==, 0);
	g_assert_cmpuint(case_replica(s, "shop-0")->requests, ==, before);
	site_free(s);
}

/* Guards against an entry that is left in force when it was put and taken back within a second. */
static void test_put_and_deleted(void)
{
	struct site *s = evacuation_site();

	for (int i = 0; i < 5; i++) {
		site_store_put(s->store, "evacuations", "z-a", "{}");
		site_run_for(i * 60U);
		site_store_delete(s->store, "evacuations", "z-a");
	}
	site_run_for(2000);
	g_assert_cmpuint(requests_at(s, "shop-0"), >, 0);
	site_free(s);
}

/* Guards against an evacuation that isn't in force, or ends, because of what its entry contains. */
static void test_odd_entries(void)
{
	static const char *const specs[] = {
		"null", "[]", "7", "\"text\"", "{\"later\":[1,{}],\"text\":\"\\u0000\"}",
	};
	struct site *s = evacuation_site();

	site_store_put(s->store, "evacuations", "z-unknown", "{}");
	site_store_put(s->store, "evacuations", "z-a", "null");
	expect_logged(s, IN_FORCE);
	g_assert_cmpuint(requests_at(s, "shop-0"), ==, 0);
	for (guint i = 0; i < N_INSTANCES; i++)
		g_assert_true(has_line(case_instance(s, i), "watch=evacuations object=z-a"));
	for (guint i = 0; i < G_N_ELEMENTS(specs); i++) {
		site_store_put(s->store, "evacuations", "z-a", specs[i]);
		site_run_for(500);
		g_assert_cmpuint(requests_at(s, "shop-0"), ==, 0);
	}
	g_assert_cmpuint(requests_at(s, "shop-1"), >, 0);
	for (guint i = 0; i < N_INSTANCES; i++)
		g_assert_false(has_line(case_instance(s, i), TAKEN_BACK));
	site_store_delete(s->store, "evacuations", "z-a");
	expect_logged(s, TAKEN_BACK);
	g_assert_cmpuint(requests_at(s, "shop-0"), >, 0);
	site_free(s);
}

static bool refusal_logged(void *arg)
{
	site_run_for(20);
	return has_line(arg, "reason=evacuated");
}

/* Guards against a request that waits, or is refused without a reason, if no zone is left. */
static void test_all_evacuated(void)
{
	struct site *s = evacuation_site();
	gint64 start;
	struct site_call *c;

	site_store_put(s->store, "evacuations", "z-b", "{}");
	site_store_put(s->store, "evacuations", "z-c", "{}");
	site_store_put(s->store, "evacuations", "z-a", "{}");
	expect_logged(s, IN_FORCE);
	expect_logged(s, "event=evacuation domain=z-c state=in_force");
	start = g_get_monotonic_time();
	c = call_at(s, 0, "POST", "/once/x");
	g_assert_cmpint(g_get_monotonic_time() - start, <, G_USEC_PER_SEC / 2);
	g_assert_cmpint(c->status, ==, 503);
	g_assert_nonnull(c->retry_after);
	site_run_until(refusal_logged, case_instance(s, 0));
	site_call_free(c);
	site_store_delete(s->store, "evacuations", "z-a");
	expect_logged(s, TAKEN_BACK);
	g_assert_cmpuint(requests_at(s, "shop-0"), >, 0);
	site_free(s);
}

/* Guards against a further watch in a deployment whose settings have no evacuations. */
static void test_not_followed(void)
{
	struct site *s = case_site();

	site_store_put(s->store, "evacuations", "z-a", "{}");
	site_run_for(1500);
	g_assert_false(has_line(case_instance(s, 0), "event=evacuation"));
	g_assert_false(has_line(case_instance(s, 0), "evacuations"));
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/evacuated/in-force", test_in_force);
	g_test_add_func("/evacuated/in-progress", test_in_progress);
	g_test_add_func("/evacuated/store-down", test_store_down);
	g_test_add_func("/evacuated/start-unknown", test_start_unknown);
	g_test_add_func("/evacuated/restart", test_restart);
	g_test_add_func("/evacuated/put-and-deleted", test_put_and_deleted);
	g_test_add_func("/evacuated/odd-entries", test_odd_entries);
	g_test_add_func("/evacuated/all", test_all_evacuated);
	g_test_add_func("/evacuated/not-followed", test_not_followed);
	return g_test_run();
}
