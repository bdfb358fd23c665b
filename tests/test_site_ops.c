/*
 * The router instance on the platform: failures of the platform's store, and what logs and metrics
 * show of a failure.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "site_case.h"

static bool all_have_version(void *arg)
{
	const struct site *s = arg;
	g_autofree char *expected =
		g_strdup_printf("event=config version=%" G_GUINT64_FORMAT, s->config_version);

	for (guint i = 0; i < s->instances->len; i++) {
		g_autofree char *log = site_instance_log(s->instances->pdata[i]);

		if (!log || !strstr(log, expected))
			return false;
	}
	return true;
}

static void add_instances(struct site *s)
{
	site_instance_add(s, "z-a");
	site_instance_add(s, "z-b");
	site_instance_add(s, "z-c");
	site_wait_ready(s);
	/* Until the instances have discovered each other. */
	site_run_for(3500);
}

/* Guards against outdated keys and routes at an instance whose calls the store rejects. */
static void test_store_rejects_one(void)
{
	struct site *s = case_site();

	add_instances(s);
	for (guint i = 0; i < s->instances->len; i++) {
		site_store_reject_instance(s, case_instance(s, i));
		site_publish(s);
		site_run_until(all_have_version, s);
		site_store_reject_instance(s, NULL);
		site_run_for(300);
	}
	site_free(s);
}

/* Guards against a store outage that stops service, or changes that are missed after it. */
static void test_store_outage(void)
{
	static const enum site_store_mode modes[] = { SITE_STORE_RESET, SITE_STORE_503,
						      SITE_STORE_HANG };
	struct site *s = case_site();

	for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
		g_autofree char *id = g_strdup_printf("once-%zu", i);

		site_store_mode(s, modes[i]);
		site_run_for(500);
		case_expect(s, "/once/x", id, 200, 1);
		site_publish(s);
		site_store_mode(s, SITE_STORE_OK);
		site_run_until(all_have_version, s);
	}
	site_store_expire_history(s);
	site_publish(s);
	site_run_until(all_have_version, s);
	site_free(s);
}

/*
 * Guards against live replicas that are removed because their entries expired during an outage of
 * the store: the first list after the outage was applied without a delay.
 */
static void test_entries_expire(void)
{
	struct site *s = case_site();
	struct site_call *c;

	site_run_for(3000);
	site_store_mode(s, SITE_STORE_RESET);
	site_run_for(2000);
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		if (strcmp(r->service, "shop") == 0)
			site_replica_remove(r);
	}
	site_store_mode(s, SITE_STORE_OK);
	site_run_for(1200);
	case_expect(s, "/once/x", "once-lapsed", 200, 1);
	/* Replicas that are still missing after two seconds are removed. */
	site_run_for(4000);
	c = case_call(s, "/once/x", "once-gone", NULL);
	g_assert_cmpint(c->status, ==, 503);
	site_call_free(c);
	site_free(s);
}

static bool logged_malformed(void *arg)
{
	g_autofree char *log = site_instance_log(arg);

	return log && strstr(log, "event=store_answer_bad watch=config object=main") &&
	       strstr(log, "event=store_answer_bad watch=servers object=shop-0");
}

/* Guards against a malformed configuration or entry that makes valid ones be discarded. */
static void test_malformed_objects(void)
{
	struct site *s = case_site();
	char *routes = g_strdup(s->routes->str);

	g_string_assign(s->routes, "{\"name\":\"r\",\"host\":7}");
	site_publish(s);
	site_replica_set_state(case_replica(s, "shop-0"), "confused");
	site_run_until(logged_malformed, case_instance(s, 0));
	case_expect(s, "/once/x", "once-1", 200, 1);
	g_string_assign(s->routes, routes);
	g_free(routes);
	site_publish(s);
	site_run_until(all_have_version, s);
	site_free(s);
}

/* An instance may log an entry after its response, so tests wait for the entry. */
static bool log_contains(const struct site_instance *i, const char *text)
{
	g_autofree char *log = site_instance_log(i);

	return log && strstr(log, text);
}

static bool logged_truncated(void *arg)
{
	return log_contains(arg, "event=ended req=s-cut");
}

static bool logged_refused(void *arg)
{
	return log_contains(arg, "event=ended req=once-refused");
}

/* Guards against failures without a cause in the log, and API keys in the log. */
static void test_log_causes(void)
{
	struct site *s = case_site();
	g_autofree char *log = NULL;

	case_fault_all(s, "shop", SITE_FAULT_CLOSE, 1);
	case_expect(s, "/once/x", "once-lost", 502, 1);
	case_fault_all(s, "shop", SITE_FAULT_NONE, 0);
	for (int i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf("shop-%d", i);

		site_replica_stop(case_replica(s, id));
	}
	case_expect(s, "/once/x", "once-refused", 503, 0);
	case_fault_all(s, "chat", SITE_FAULT_TRUNCATE, 5);
	site_call_free(case_call(s, "/streamonce/x", "s-cut", NULL));
	site_run_until(logged_truncated, case_instance(s, 0));
	log = site_instance_log(case_instance(s, 0));
	g_assert_nonnull(strstr(log, "event=attempt_failed req=once-lost attempt=1"));
	g_assert_nonnull(strstr(log, "verdict=may-have-run cause=closed"));
	g_assert_nonnull(strstr(log, "next=give_up denied=not_repeatable"));
	g_assert_nonnull(strstr(log, "event=refused req=once-refused route=once"));
	g_assert_nonnull(strstr(log, "reason=no_upstream"));
	g_assert_nonnull(strstr(log, "event=ended req=s-cut route=streamonce"));
	g_assert_nonnull(strstr(log, "outcome=closed"));
	g_assert_null(strstr(log, SITE_KEY));
	site_free(s);
}

/* Output of "turmerichinge trace" for @id; the caller frees it. */
static char *trace_output(struct site *s, const char *id)
{
	const char *build = g_getenv("BUILD");
	g_autofree char *program = g_strdup_printf("%s/bin/turmerichinge", build ? build : "build");
	g_autoptr(GSubprocess) p =
		g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL, program, "trace", id,
				 case_instance(s, 0)->log, case_instance(s, 1)->log, NULL);
	char *out = NULL;

	g_assert_true(g_subprocess_communicate_utf8(p, NULL, NULL, &out, NULL, NULL));
	g_assert_true(g_subprocess_get_successful(p));
	return out;
}

static bool all_removed(void *arg)
{
	g_autofree char *log = site_instance_log(arg);
	uint32_t n = 0;

	for (const char *p = log; p && (p = strstr(p, "service=shop")); p++) {
		const char *end = strchr(p, '\n');
		const char *gone = strstr(p, "state=gone");

		n += gone && gone < end;
	}
	return n == 3;
}

/* Guards against a trace command that does not find the cause of a failure by request id. */
static void test_trace_command(void)
{
	struct site *s = case_site();
	g_autofree char *lost = NULL;
	g_autofree char *refused = NULL;

	site_instance_add(s, "z-b");
	site_wait_ready(s);
	case_fault_all(s, "shop", SITE_FAULT_CLOSE, 1);
	case_expect(s, "/once/x", "once-lost", 502, 1);
	case_fault_all(s, "shop", SITE_FAULT_NONE, 0);
	for (int i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf("shop-%d", i);

		site_replica_remove(case_replica(s, id));
	}
	site_run_until(all_removed, case_instance(s, 0));
	case_expect(s, "/once/x", "once-refused", 503, 0);
	site_run_until(logged_refused, case_instance(s, 0));
	lost = trace_output(s, "once-lost");
	g_assert_nonnull(strstr(lost, "cause=closed"));
	g_assert_nonnull(strstr(lost, "outcome=upstream_error"));
	refused = trace_output(s, "once-refused");
	g_assert_nonnull(strstr(refused, "reason=no_upstream"));
	g_assert_null(strstr(refused, "once-lost"));
	site_free(s);
}

static bool metrics_are_current(void *arg)
{
	struct site_instance at = *(struct site_instance *)arg;
	struct site_call *c;
	const char *age;
	bool ok;

	at.port = at.metrics_port;
	c = site_request(&at, "GET", "/metrics", NULL, NULL);
	age = strstr(c->body->str, "\nturmerichinge_news_age_ms ");
	/*
	 * A store reader renews its completeness confirmation every 400 ms; after 1100 ms without
	 * one, an instance reads the store itself (CONFIRMATION_AGE_MAX).
	 */
	ok = strstr(c->body->str, "turmerichinge_config_version 5\n") &&
	     strstr(c->body->str, "turmerichinge_connections_idle 1\n") && age &&
	     g_ascii_strtoll(strchr(age, ' '), NULL, 10) >= 0 &&
	     g_ascii_strtoll(strchr(age, ' '), NULL, 10) < 1100;
	site_call_free(c);
	return ok;
}

/* Guards against missing metrics that operators need. */
static void test_metrics(void)
{
	struct site *s = case_site();
	struct site_instance at = *case_instance(s, 0);
	struct site_call *c;

	case_expect(s, "/read/x", "r-1", 200, 1);
	site_run_until(metrics_are_current, case_instance(s, 0));
	at.port = at.metrics_port;
	c = site_request(&at, "GET", "/metrics", NULL, NULL);
	g_assert_cmpint(c->status, ==, 200);
	g_assert_nonnull(strstr(c->body->str, "requests_total 1"));
	g_assert_nonnull(strstr(c->body->str, "request_seconds_count{kind=\"idempotent\"} 1"));
	g_assert_nonnull(strstr(c->body->str, "store_calls_total"));
	g_assert_nonnull(strstr(c->body->str, "attempt_seconds_count{service=\"shop\"} 1"));
	g_assert_nonnull(strstr(c->body->str, "retries_left{service=\"shop\"} "));
	g_assert_nonnull(strstr(c->body->str, "paths_lost 0\n"));
	g_assert_nonnull(strstr(c->body->str,
				"requests_ended_total{kind=\"idempotent\",outcome=\"whole\"} 1"));
	g_assert_nonnull(strstr(c->body->str, "events_total{event=\"config\"} 1"));
	site_call_free(c);
	site_free(s);
}

static bool logged_in_force(void *arg)
{
	return log_contains(arg, "result=in_force");
}

static bool logged_upstream(void *arg)
{
	return log_contains(arg, "event=upstream id=shop-0");
}

static bool logged_store_lost(void *arg)
{
	return log_contains(arg, "event=store_lost watch=config");
}

/*
 * Guards against an outage of the store in which all instances call it for each kind of object: an
 * instance that has reached it for none asks for one kind until the store answers.
 */
static void test_outage_calls(void)
{
	struct site *s = case_site();
	struct site_instance *i;

	site_store_mode(s, SITE_STORE_503);
	site_instance_signal(case_instance(s, 0), SIGKILL);
	i = site_instance_add(s, "z-b");
	site_run_until(logged_store_lost, i);
	/* Longer than the longest delay between two calls. */
	site_run_for(1500);
	g_assert_false(log_contains(i, "event=store_lost watch=servers"));
	g_assert_false(log_contains(i, "event=store_lost watch=turmerichinge-instances"));
	site_store_mode(s, SITE_STORE_OK);
	site_run_until(logged_in_force, i);
	site_run_until(logged_upstream, i);
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/site/store-refuses-one", test_store_rejects_one);
	g_test_add_func("/site/entries-lapse", test_entries_expire);
	g_test_add_func("/site/store-outage", test_store_outage);
	g_test_add_func("/site/malformed-objects", test_malformed_objects);
	g_test_add_func("/site/log-tells", test_log_causes);
	g_test_add_func("/site/trace-command", test_trace_command);
	g_test_add_func("/site/metrics", test_metrics);
	g_test_add_func("/site/outage-calls", test_outage_calls);
	return g_test_run();
}
