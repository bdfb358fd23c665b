/*
 * The router instance on the platform: replicas of two software versions in one service, whose
 * streams don't fit together.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "base/base.h"
#include "site_case.h"
#include "site_store.h"

#define OLD "v1"
#define NEW "v1.1"

/* A deployment whose chat replicas have two versions, three of each. */
static struct site *start_site(void)
{
	struct site *s = case_site();

	for (int i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf("chat-new-%d", i);
		struct site_replica *r = site_replica_add(s, id, "chat", "z-a");

		r->build = NEW;
		site_replica_set_state(r, "ready");
	}
	site_run_for(1500);
	return s;
}

static const char *build_of(const struct site_replica *r)
{
	return r->build ? r->build : OLD;
}

/* Number of chat replicas of @build that got requests since their counts were taken as @before. */
static uint32_t reached(const struct site *s, const uint32_t *before, const char *build)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->replicas->len; i++) {
		const struct site_replica *r = s->replicas->pdata[i];

		n += strcmp(r->service, "chat") == 0 && strcmp(build_of(r), build) == 0 &&
		     r->requests > before[i];
	}
	return n;
}

static void count_requests(const struct site *s, uint32_t *out)
{
	for (guint i = 0; i < s->replicas->len; i++)
		out[i] = ((struct site_replica *)s->replicas->pdata[i])->requests;
}

/* Guards against a stream that goes on at another software version within one response. */
static void test_resumed(void)
{
	struct site *s = start_site();
	uint32_t n_resumed = 0;

	for (int i = 0; i < 20; i++) {
		g_autofree char *id = g_strdup_printf("any-version-%d", i);
		uint32_t before[32];
		struct site_call *c;
		uint32_t n_old;
		uint32_t n_new;

		count_requests(s, before);
		case_fault_all(s, "chat", SITE_FAULT_TRUNCATE, 1);
		c = case_call(s, "/stream/x", id, NULL);
		n_old = reached(s, before, OLD);
		n_new = reached(s, before, NEW);
		n_resumed += n_old + n_new > 1;
		g_assert_true(!n_old || !n_new);
		site_call_free(c);
	}
	g_assert_cmpuint(n_resumed, >, 0);
	site_free(s);
}

/* Guards against a caller that waits for its deadline although its stream can't go on. */
static void test_none_left(void)
{
	struct site *s = case_site();
	struct site_replica *r = case_replica(s, "chat-0");
	int64_t start;
	struct site_call *c;

	case_replica(s, "chat-1")->build = NEW;
	case_replica(s, "chat-2")->build = NEW;
	site_replica_set_state(case_replica(s, "chat-1"), "draining");
	site_replica_set_state(case_replica(s, "chat-2"), "draining");
	site_run_for(1500);
	r->fault = SITE_FAULT_TRUNCATE;
	r->faults_left = 1;
	/* The other version becomes available, and the first one leaves, while the stream runs. */
	r->event_gap_ms = 700;
	c = site_send(case_instance(s, 0), "POST", "/stream/x",
		      "X-Turmerichinge-Request-Id: any-left\r\n"
		      "X-Turmerichinge-Deadline-Ms: 7000\r\n" AUTH,
		      "{}");
	site_run_for(300);
	site_replica_set_state(case_replica(s, "chat-1"), "ready");
	site_replica_set_state(case_replica(s, "chat-2"), "ready");
	site_replica_set_state(r, "draining");
	start = g_get_monotonic_time();
	site_call_wait(c);
	g_assert_false(c->done);
	g_assert_cmpint(g_get_monotonic_time() - start, <, 4 * USEC_PER_SEC);
	g_assert_cmpuint(case_replica(s, "chat-1")->requests, ==, 0);
	g_assert_cmpuint(case_replica(s, "chat-2")->requests, ==, 0);
	site_call_free(c);
	site_free(s);
}

/* Status of a request that takes the stream of request @began up after its second event. */
static int take_up(const struct site_instance *i, const char *id, const char *began)
{
	g_autofree char *headers =
		g_strdup_printf("X-Turmerichinge-Request-Id: %s\r\nResumes: %s\r\n"
				"Last-Event-Id: 2\r\nX-Turmerichinge-Deadline-Ms: 4000\r\n" AUTH,
				id, began);
	struct site_call *c = site_request(i, "POST", "/stream/x", headers, "{}");
	int status = c->status;

	site_call_free(c);
	return status;
}

static bool has_begun(void *arg)
{
	const struct site_call *c = arg;

	return c->status && strstr(c->body->str, "id: 2");
}

/* Begins a stream at @i, whose caller leaves within it; returns the version that began it. */
static const char *begin(struct site *s, const struct site_instance *i, const char *id)
{
	g_autofree char *headers = g_strdup_printf("X-Turmerichinge-Request-Id: %s\r\n"
						   "X-Turmerichinge-Deadline-Ms: 4000\r\n" AUTH,
						   id);
	uint32_t before[32];
	struct site_call *c;
	const char *build;

	count_requests(s, before);
	c = site_send(i, "POST", "/stream/x", headers, "{}");
	site_run_until(has_begun, c);
	build = reached(s, before, OLD) ? OLD : NEW;
	g_assert_cmpuint(reached(s, before, OLD) + reached(s, before, NEW), ==, 1);
	g_assert_cmpint(c->status, ==, 200);
	site_call_free(c);
	return build;
}

static void set_gaps(struct site *s, uint32_t ms)
{
	for (guint i = 0; i < s->replicas->len; i++)
		((struct site_replica *)s->replicas->pdata[i])->event_gap_ms = ms;
}

/* Guards against a stream that goes on at another version in a further request of its caller. */
static void test_taken_up(void)
{
	struct site *s = start_site();
	uint32_t n[2] = { 0, 0 };

	site_instance_add(s, "z-b");
	site_wait_ready(s);
	site_run_for(1500);
	set_gaps(s, 60);
	for (int i = 0; i < 16; i++) {
		g_autofree char *id = g_strdup_printf("any-first-%d", i);
		g_autofree char *again = g_strdup_printf("any-again-%d", i);
		const char *build = begin(s, case_instance(s, 0), id);
		uint32_t before[32];

		/* Until the other instance has heard of the stream. */
		site_run_for(700);
		count_requests(s, before);
		g_assert_cmpint(take_up(case_instance(s, 1), again, id), ==, 200);
		g_assert_cmpuint(reached(s, before, build), ==, 1);
		g_assert_cmpuint(reached(s, before, OLD) + reached(s, before, NEW), ==, 1);
		n[strcmp(build, OLD) == 0]++;
	}
	g_assert_cmpuint(n[0], >, 0);
	g_assert_cmpuint(n[1], >, 0);
	site_free(s);
}

/* Guards against a stream that nobody knows and that goes on at any version. */
static void test_unknown(void)
{
	struct site *s = start_site();

	for (int i = 0; i < 8; i++) {
		g_autofree char *id = g_strdup_printf("any-unknown-%d", i);

		g_assert_cmpint(take_up(case_instance(s, 0), id, "any-nobody-knows"), ==, 503);
		g_assert_cmpuint(case_runs(s, id), ==, 0);
	}
	site_free(s);
}

static void kill_all(struct site *s)
{
	for (guint i = 0; i < s->instances->len; i++) {
		site_instance_signal(case_instance(s, i), SIGKILL);
		site_instance_wait_exit(case_instance(s, i));
	}
}

static void start_all(struct site *s)
{
	for (guint i = 0; i < s->instances->len; i++)
		site_instance_start(case_instance(s, i));
	site_wait_ready(s);
}

/*
 * Guards against a stream that goes on at the other version after all instances have restarted, and
 * the replicas of the version that began it have left.
 */
static void test_restarted(void)
{
	struct site *s = start_site();

	/* The builds are recorded. */
	site_run_for(3000);
	kill_all(s);
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		if (strcmp(r->service, "chat") == 0 && strcmp(build_of(r), OLD) == 0)
			site_replica_remove(r);
	}
	start_all(s);
	g_assert_cmpint(take_up(case_instance(s, 0), "any-r-1", "any-before"), ==, 503);
	g_assert_cmpuint(case_runs(s, "any-r-1"), ==, 0);
	/* New ones are known. */
	set_gaps(s, 60);
	begin(s, case_instance(s, 0), "any-r-2");
	g_assert_cmpint(take_up(case_instance(s, 0), "any-r-3", "any-r-2"), ==, 200);
	site_free(s);
}

/* Guards against streams that are refused after a restart although there was only one version. */
static void test_restarted_single(void)
{
	struct site *s = case_site();

	site_run_for(4000);
	kill_all(s);
	start_all(s);
	g_assert_cmpint(take_up(case_instance(s, 0), "any-s-1", "any-before"), ==, 200);
	site_free(s);
}

/* Whether the record of @i in the store names the build @build; also true if it has no record. */
static bool records_build(const struct site *s, const struct site_instance *i, const char *build)
{
	const char *text = site_store_get(s->store, "turmerichinge-instances", i->name);
	g_autofree char *quoted = g_strdup_printf("\"%s\"", build);

	g_assert_nonnull(text);
	return !strstr(text, "builds") || strstr(text, quoted);
}

/*
 * Guards against a record that an instance takes over from its earlier process and doesn't keep up
 * to date, since it doesn't read the store any more.
 */
static void test_taken_over_record(void)
{
	struct site *s = case_site();

	/* Each records as the only instance that runs. */
	site_run_for(3500);
	site_instance_signal(case_instance(s, 0), SIGKILL);
	site_instance_wait_exit(case_instance(s, 0));
	site_instance_add(s, "z-a");
	site_run_for(6000);
	site_instance_start(case_instance(s, 0));
	site_wait_ready(s);
	site_instance_signal(case_instance(s, 1), SIGKILL);
	site_instance_wait_exit(case_instance(s, 1));
	site_run_for(1000);
	site_instance_start(case_instance(s, 1));
	site_wait_ready(s);
	site_run_for(3500);
	g_assert_true(records_build(s, case_instance(s, 0), OLD));
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		r->build = NEW;
		site_replica_set_state(r, "ready");
	}
	site_run_for(3500);
	for (guint i = 0; i < s->instances->len; i++) {
		const struct site_instance *k = case_instance(s, i);

		g_test_message("%s: %s", k->name,
			       site_store_get(s->store, "turmerichinge-instances", k->name));
		g_assert_true(records_build(s, k, NEW));
	}
	site_free(s);
}

/*
 * Guards against a stream that is taken for one of the version that a replica had before it
 * restarted under its id, if its new entry arrives after the request was sent.
 */
static void test_replaced(void)
{
	struct site *s = case_site();
	struct site_replica *r = case_replica(s, "chat-0");
	struct site_call *c;

	site_replica_set_state(case_replica(s, "chat-1"), "draining");
	site_replica_set_state(case_replica(s, "chat-2"), "draining");
	site_run_for(1500);
	set_gaps(s, 60);
	r->prefill_ms = 1200;
	c = site_send(case_instance(s, 0), "POST", "/stream/x",
		      "X-Turmerichinge-Request-Id: any-replaced\r\n"
		      "X-Turmerichinge-Deadline-Ms: 4000\r\n" AUTH,
		      "{}");
	site_run_for(100);
	r->build = NEW;
	r->born++;
	site_replica_set_state(r, "ready");
	site_run_for(1300);
	g_assert_cmpint(c->status, ==, 200);
	site_call_free(c);
	site_replica_set_state(case_replica(s, "chat-1"), "ready");
	site_run_for(1000);
	r->prefill_ms = 0;
	g_assert_cmpint(take_up(case_instance(s, 0), "any-replaced-2", "any-replaced"), ==, 200);
	g_assert_cmpuint(case_replica(s, "chat-1")->requests, ==, 0);
	site_free(s);
}

/* Guards against a take-up that goes on at a replica which turns out to have another version. */
static void test_replaced_taken_up(void)
{
	struct site *s = case_site();
	struct site_replica *r = case_replica(s, "chat-0");
	struct site_call *c;

	site_replica_set_state(case_replica(s, "chat-1"), "draining");
	site_replica_set_state(case_replica(s, "chat-2"), "draining");
	site_run_for(1500);
	set_gaps(s, 60);
	begin(s, case_instance(s, 0), "any-first");
	r->prefill_ms = 1200;
	c = site_send(case_instance(s, 0), "POST", "/stream/x",
		      "X-Turmerichinge-Request-Id: any-second\r\nResumes: any-first\r\n"
		      "Last-Event-Id: 2\r\nX-Turmerichinge-Deadline-Ms: 4000\r\n" AUTH,
		      "{}");
	site_run_for(100);
	r->build = NEW;
	r->born++;
	site_replica_set_state(r, "ready");
	site_call_wait(c);
	g_assert_cmpint(c->status, !=, 200);
	site_call_free(c);
	site_free(s);
}

/* Number of requests that replicas of @service got. */
static uint32_t service_requests(const struct site *s, const char *service)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->replicas->len; i++) {
		const struct site_replica *r = s->replicas->pdata[i];

		n += strcmp(r->service, service) == 0 ? r->requests : 0;
	}
	return n;
}

/* Guards against a stream that goes on at another service of its route than the one that began it. */
static void test_split_route(void)
{
	struct site *s = case_site();

	site_route(s, "split", "stream", "chat",
		   ",\"resumable\":true,\"timeout_ms\":4000,\"max_attempts\":2,\"backends\":["
		   "{\"service\":\"chat\",\"weight\":1},{\"service\":\"shop\",\"weight\":1}]");
	site_publish(s);
	site_run_for(1500);
	set_gaps(s, 60);
	for (int i = 0; i < 10; i++) {
		g_autofree char *id = g_strdup_printf("any-split-%d", i);
		g_autofree char *first =
			g_strdup_printf("X-Turmerichinge-Request-Id: "
					"%s\r\nX-Turmerichinge-Deadline-Ms: 4000\r\n" AUTH,
					id);
		g_autofree char *again = g_strdup_printf(
			"X-Turmerichinge-Request-Id: %s-again\r\nResumes: %s\r\n"
			"Last-Event-Id: 2\r\nX-Turmerichinge-Deadline-Ms: 4000\r\n" AUTH,
			id, id);
		uint32_t n_chat = service_requests(s, "chat");
		uint32_t n_shop = service_requests(s, "shop");
		struct site_call *c =
			site_send(case_instance(s, 0), "POST", "/split/stream", first, "{}");

		site_run_until(has_begun, c);
		g_assert_cmpint(c->status, ==, 200);
		site_call_free(c);
		n_chat = service_requests(s, "chat") - n_chat;
		n_shop = service_requests(s, "shop") - n_shop;
		g_assert_cmpuint(n_chat + n_shop, ==, 1);
		n_chat += service_requests(s, "chat");
		n_shop += service_requests(s, "shop");
		c = site_request(case_instance(s, 0), "POST", "/split/stream", again, "{}");
		g_assert_cmpint(c->status, ==, 200);
		site_call_free(c);
		g_assert_cmpuint(service_requests(s, "chat"), ==, n_chat);
		g_assert_cmpuint(service_requests(s, "shop"), ==, n_shop);
	}
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/versions/resumed", test_resumed);
	g_test_add_func("/versions/none-left", test_none_left);
	g_test_add_func("/versions/taken-up", test_taken_up);
	g_test_add_func("/versions/unknown", test_unknown);
	g_test_add_func("/versions/restarted", test_restarted);
	g_test_add_func("/versions/restarted-single", test_restarted_single);
	g_test_add_func("/versions/taken-over-record", test_taken_over_record);
	g_test_add_func("/versions/replaced", test_replaced);
	g_test_add_func("/versions/replaced-taken-up", test_replaced_taken_up);
	g_test_add_func("/versions/split-route", test_split_route);
	return g_test_run();
}
