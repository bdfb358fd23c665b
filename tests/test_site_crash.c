/*
 * The router instance on the platform: requests that crash the replicas which begin to answer them,
 * by a part of the prompt or as a whole, beside sound requests.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "site_case.h"

#define DEADLY_PART "dead01"
#define FIRST_PART  "aa01"
#define PREFILL_MS  250U /* longer than crashes that count as one */

/* Two instances, three replicas of each service. */
static struct site *crash_site(void)
{
	struct site *s = case_site();

	site_instance_add(s, "z-b");
	site_wait_ready(s);
	for (guint i = 0; i < s->replicas->len; i++)
		((struct site_replica *)s->replicas->pdata[i])->prefill_ms = PREFILL_MS;
	/* The instances exchange digests. */
	site_run_for(1000);
	return s;
}

static char *prompt_headers(const char *id, const char *first, const char *part)
{
	return g_strdup_printf("X-Turmerichinge-Request-Id: %s\r\n"
			       "X-Turmerichinge-Deadline-Ms: 4000\r\n" AUTH
			       "X-Turmerichinge-Prompt-Prefix: %s:200,%s:300,%x:50\r\n",
			       id, first, part, g_str_hash(id));
}

static struct site_call *send_parts(struct site *s, guint instance, const char *id,
				    const char *first, const char *part)
{
	g_autofree char *headers = prompt_headers(id, first, part);
	g_autofree char *body = g_strdup_printf("{\"id\":\"%s\"}", id);

	return site_send(case_instance(s, instance), "POST", "/stream/x", headers, body);
}

static struct site_call *send_prompt(struct site *s, guint instance, const char *id,
				     const char *part)
{
	return send_parts(s, instance, id, FIRST_PART, part);
}

static void expect_whole(struct site_call *c, const char *id)
{
	g_autofree char *last = g_strdup_printf("id: 5\ndata: %s-5\n\n", id);

	site_call_wait(c);
	g_assert_cmpint(c->status, ==, 200);
	g_assert_true(c->done);
	g_assert_true(g_str_has_suffix(c->body->str, last));
	site_call_free(c);
}

/* One sound request with the first part at each instance; returns when they are answered. */
static void expect_sound(struct site *s, const char *part, uint32_t round)
{
	struct site_call *calls[2];
	char *ids[2];

	for (guint i = 0; i < 2; i++) {
		ids[i] = g_strdup_printf("sound-%u-%u", round, i);
		calls[i] = send_prompt(s, i, ids[i], part);
	}
	for (guint i = 0; i < 2; i++) {
		expect_whole(calls[i], ids[i]);
		g_free(ids[i]);
	}
}

static void send_deadly(struct site *s, uint32_t round)
{
	g_autofree char *id = g_strdup_printf("deadly-%u", round);
	struct site_call *c = send_prompt(s, round % 2, id, DEADLY_PART);

	site_call_wait(c);
	g_assert_true(c->status == 502 || c->status == 503);
	site_call_free(c);
	/* The replicas are back, and the instances have heard of the crash. */
	site_run_for(SITE_RESTART_MS + 400);
}

/* Guards against requests that crash one replica after the other by a part of their prompts. */
static void test_deadly_part(void)
{
	struct site *s = crash_site();
	uint32_t reached;

	s->deadly_text = DEADLY_PART;
	for (uint32_t i = 0; i < 6; i++) {
		send_deadly(s, i);
		expect_sound(s, "beef02", i);
	}
	g_assert_cmpuint(s->crashes, <=, 5);
	reached = s->deadly_requests;
	for (uint32_t i = 6; i < 10; i++) {
		send_deadly(s, i);
		expect_sound(s, "beef02", i);
	}
	g_assert_cmpuint(s->deadly_requests, ==, reached);
	site_free(s);
}

/* Guards against a crash that looks like the end of an answer without a length. */
static void test_unframed(void)
{
	struct site *s = crash_site();

	s->deadly_text = DEADLY_PART;
	s->unframed = true;
	for (uint32_t i = 0; i < 8; i++)
		send_deadly(s, i);
	g_assert_cmpuint(s->crashes, <=, 5);
	expect_sound(s, "beef02", 0);
	site_free(s);
}

/* Guards against an instance that learns only from crashes of its own requests. */
static void test_deadly_part_elsewhere(void)
{
	struct site *s = crash_site();
	uint32_t reached;

	s->deadly_text = DEADLY_PART;
	for (uint32_t i = 0; i < 3; i++)
		send_deadly(s, 2 * i);
	g_assert_cmpuint(s->crashes, <=, 5);
	reached = s->deadly_requests;
	for (uint32_t i = 0; i < 3; i++)
		send_deadly(s, 2 * i + 1);
	g_assert_cmpuint(s->deadly_requests, ==, reached);
	expect_sound(s, "beef02", 0);
	site_free(s);
}

/* Guards against a first part that is blamed where no request with it has produced output. */
static void test_first_part_elsewhere(void)
{
	struct site *s = crash_site();

	s->deadly_text = "dead0";
	for (guint i = 0; i < 3; i++) {
		g_autofree char *first = g_strdup_printf("aa%02x", i);
		g_autofree char *deadly = g_strdup_printf("dead0%u", i);

		expect_whole(send_parts(s, 0, "before", first, "beef02"), "before");
		/* Output of the last two seconds would speak for the part by itself. */
		site_run_for(2500);
		for (guint k = 0; k < 3; k++) {
			g_autofree char *id = g_strdup_printf("deadly-%u-%u", i, k);
			struct site_call *c = send_parts(s, 0, id, first, deadly);

			site_call_wait(c);
			site_call_free(c);
			site_run_for(SITE_RESTART_MS + 400);
		}
		expect_whole(send_parts(s, 1, "after", first, "beef03"), "after");
	}
	site_free(s);
}

/* Guards against a single request that comes again after each crash. */
static void test_deadly_request(void)
{
	struct site *s = crash_site();

	s->deadly_text = "/deadly";
	for (uint32_t i = 0; i < 8; i++) {
		g_autofree char *headers =
			g_strdup_printf("X-Turmerichinge-Request-Id: d-%u\r\n"
					"X-Turmerichinge-Deadline-Ms: 4000\r\n" AUTH,
					i);
		struct site_call *c = site_request(case_instance(s, i % 2), "POST",
						   "/streamonce/deadly", headers, "{}");

		g_assert_true(c->status == 502 || c->status == 503);
		site_call_free(c);
		site_run_for(SITE_RESTART_MS + 400);
	}
	g_assert_cmpuint(s->crashes, <=, 3);
	case_expect(s, "/streamonce/sound", "sound", 200, 1);
	site_free(s);
}

/* Guards against requests that are refused since many replicas crashed at once with them. */
static void test_many_crash(void)
{
	struct site *s = crash_site();
	struct site_call *calls[6];

	for (guint i = 0; i < G_N_ELEMENTS(calls); i++) {
		g_autofree char *id = g_strdup_printf("lost-%u", i);

		calls[i] = send_prompt(s, i % 2, id, "beef02");
	}
	site_run_for(PREFILL_MS / 2);
	for (guint i = 0; i < s->replicas->len; i++)
		site_replica_crash(s->replicas->pdata[i]);
	for (guint i = 0; i < G_N_ELEMENTS(calls); i++) {
		site_call_wait(calls[i]);
		site_call_free(calls[i]);
	}
	site_run_for(SITE_RESTART_MS + 400);
	for (uint32_t i = 0; i < 3; i++)
		expect_sound(s, "beef02", i);
	site_free(s);
}

/* Guards against a broken connection that counts as a crash of a replica that is alive. */
static void test_broken_connections(void)
{
	struct site *s = crash_site();

	case_fault_all(s, "shop", SITE_FAULT_CLOSE, 100);
	for (uint32_t i = 0; i < 5; i++) {
		g_autofree char *id = g_strdup_printf("once-broken-%u", i);
		struct site_call *c = case_call(s, "/once/x", id, NULL);

		g_assert_cmpint(c->status, ==, 502);
		site_call_free(c);
		site_run_for(300);
	}
	case_fault_all(s, "shop", SITE_FAULT_NONE, 0);
	/* Until the replicas that were taken out are back. */
	site_run_for(2000);
	case_expect(s, "/once/x", "once-after", 200, 1);
	site_free(s);
}

/* Guards against an error of a replica that counts as output of a deadly part. */
static void test_error_is_no_output(void)
{
	struct site *s = crash_site();

	s->deadly_text = DEADLY_PART;
	for (uint32_t i = 0; i < 8; i++) {
		g_autofree char *id = g_strdup_printf("error-%u", i);
		struct site_call *c;

		send_deadly(s, i);
		case_fault_all(s, "chat", SITE_FAULT_ERROR, 1);
		c = send_prompt(s, i % 2, id, DEADLY_PART);
		site_call_wait(c);
		site_call_free(c);
		case_fault_all(s, "chat", SITE_FAULT_NONE, 0);
	}
	g_assert_cmpuint(s->crashes, <=, 5);
	site_free(s);
}

/* Guards against a response that is joined from two runs after a repeat was granted too early. */
static void test_joined_plain_response(void)
{
	struct site *s = case_site();
	struct site_replica *slow = case_replica(s, "shop-0");
	g_autofree char *half = g_strnfill(300000, 'p');
	g_autofree char *raw = g_strdup_printf("HTTP/1.1 200 X\r\nX-Turmerichinge-Request-Id: $\r\n"
					       "X-Turmerichinge-Reply-Seal: seal-1\r\n"
					       "Content-Length: 400000\r\n\r\n%s",
					       half);
	struct site_call *c;

	site_replica_set_state(case_replica(s, "shop-1"), "draining");
	site_replica_set_state(case_replica(s, "shop-2"), "draining");
	site_run_for(1500);
	slow->fault = SITE_FAULT_RAW;
	slow->faults_left = 1;
	slow->raw = raw;
	slow->raw_end = SITE_RAW_KEEP;
	slow->raw_delay_ms = 1000;
	c = site_send(
		case_instance(s, 0), "GET", "/read/x",
		"X-Turmerichinge-Request-Id: joined\r\nX-Turmerichinge-Deadline-Ms: 2900\r\n" AUTH,
		NULL);
	site_run_for(1200);
	site_replica_set_state(case_replica(s, "shop-1"), "ready");
	site_call_wait(c);
	g_assert_false(c->status == 200 && c->done);
	site_call_free(c);
	site_free(s);
}

/* Guards against a restarted instance that doesn't know which parts are quarantined. */
static void test_restarted_instance(void)
{
	struct site *s = crash_site();
	struct site_instance *one = case_instance(s, 0);
	uint32_t reached;

	s->deadly_text = DEADLY_PART;
	for (uint32_t i = 0; i < 5; i++)
		send_deadly(s, i);
	reached = s->deadly_requests;
	site_instance_signal(one, SIGKILL);
	site_instance_wait_exit(one);
	site_instance_start(one);
	site_wait_ready(s);
	site_run_for(1500);
	for (uint32_t i = 0; i < 6; i++)
		send_deadly(s, 20 + 2 * i);
	g_assert_cmpuint(s->deadly_requests - reached, <=, 3);
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crash/deadly-part", test_deadly_part);
	g_test_add_func("/crash/unframed", test_unframed);
	g_test_add_func("/crash/deadly-part-elsewhere", test_deadly_part_elsewhere);
	g_test_add_func("/crash/first-part-elsewhere", test_first_part_elsewhere);
	g_test_add_func("/crash/deadly-request", test_deadly_request);
	g_test_add_func("/crash/many-at-once", test_many_crash);
	g_test_add_func("/crash/broken-connections", test_broken_connections);
	g_test_add_func("/crash/error-is-no-output", test_error_is_no_output);
	g_test_add_func("/crash/joined-plain-response", test_joined_plain_response);
	g_test_add_func("/crash/restarted-instance", test_restarted_instance);
	return g_test_run();
}
