/* The start of an instance on its own interface: signals that arrive. */
#include <signal.h>

#include "base/base.h"
#include "harness.h"

static bool has_exited(void *arg)
{
	return g_subprocess_get_identifier(((struct harness_proc *)arg)->process) == NULL;
}

/* Guards against a process that is ended by a signal before it has installed its handlers. */
static void test_signals(void)
{
	static const int signals[] = { SIGHUP, SIGTERM };
	struct harness *h = harness_new();

	harness_add_upstream(h, "standin-engine", "e1", "yard", "a", NULL);
	harness_write_conf(h);
	for (size_t k = 0; k < G_N_ELEMENTS(signals); k++) {
		struct harness_proc *i = harness_start_waiting(h, k ? "a2" : "a1", "a");

		for (uint32_t n = 0; n < 3; n++) {
			g_subprocess_send_signal(i->process, signals[k]);
			harness_run_for(20);
		}
		g_assert_false(has_exited(i));
		harness_give_settings(i);
		if (signals[k] == SIGHUP) {
			harness_wait_ready(h, i);
			continue;
		}
		harness_wait_until(has_exited, i);
		g_assert_true(g_subprocess_get_successful(i->process));
	}
	harness_free(h);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/own-start/signals", test_signals);
	return g_test_run();
}
