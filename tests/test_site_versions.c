/*
 * The router instance on the platform: replicas of two software versions in one service, whose
 * streams don't fit together.
 */
#include <glib.h>
#include <string.h>

#include "base/base.h"
#include "site_case.h"

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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/versions/resumed", test_resumed);
	g_test_add_func("/versions/none-left", test_none_left);
	return g_test_run();
}
