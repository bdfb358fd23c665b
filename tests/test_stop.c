/* A planned stop of an instance on its own interface, with requests in progress at its limit. */
#include <signal.h>
#include <string.h>

#include "base/base.h"
#include "harness.h"

#define N_CALLS 12U

static const char *const alder_headers[] = { "Authorization", "Bearer key-alder", NULL };
static const char *const booking_headers[] = { "Authorization", "Bearer key-alder", "X-Profile",
					       "booking", NULL };
static const char *const slow_engine[] = { "--decode", "2", "--slots", "3", NULL };
static const char *const slow_service[] = { "--delay-ms", "20000", "--slots", "3", NULL };

static bool has_exited(void *arg)
{
	return g_subprocess_get_identifier(((struct harness_proc *)arg)->process) == NULL;
}

static struct harness_call *send_call(struct harness *h, uint16_t port, uint32_t n)
{
	g_autofree char *body = harness_chat_body("yard", "stop me", 400, n % 4 == 3);

	switch (n % 4) {
	case 0:
		return harness_send(h, port, "GET", "/s/desk/lookup", NULL, alder_headers);
	case 1:
		return harness_send(h, port, "POST", "/s/desk/book", "{}", booking_headers);
	default:
		return harness_send(h, port, "POST", "/v1/chat/completions", body, alder_headers);
	}
}

/* Guards against requests that are cut with no answer at the limit of a planned stop. */
static void test_limit(void)
{
	struct harness *h = harness_new();
	struct harness_proc *i;
	struct harness_call *calls[N_CALLS];

	harness_add_upstream(h, "standin-engine", "e1", "yard", "a", slow_engine);
	harness_add_upstream(h, "standin-service", "d1", "desk", "a", slow_service);
	harness_write_conf(h);
	h->instance_settings = "shutdown_limit_ms=1500\n";
	i = harness_start_instance(h, "a1", "a", NULL);
	harness_wait_ready(h, i);
	for (uint32_t n = 0; n < N_CALLS; n++)
		calls[n] = send_call(h, i->port, n);
	harness_run_for(700);
	g_subprocess_send_signal(i->process, SIGTERM);
	for (uint32_t n = 0; n < N_CALLS; n++) {
		harness_wait(calls[n]);
		g_test_message("call %u: status %d, failed %d: %s", n, calls[n]->status,
			       calls[n]->failed, calls[n]->body->str);
		g_assert_false(calls[n]->failed);
		/* A stream that has begun ends with an error event. */
		if (calls[n]->status == 200)
			g_assert_nonnull(strstr(calls[n]->body->str, "\"stopped\""));
		else
			g_assert_true(calls[n]->status == 503 || calls[n]->status == 504);
		harness_call_free(calls[n]);
	}
	harness_wait_until(has_exited, i);
	g_assert_true(g_subprocess_get_successful(i->process));
	harness_free(h);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/shutdown/limit", test_limit);
	return g_test_run();
}
