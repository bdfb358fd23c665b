/* Orders of several instance processes to engine stand-ins: a rolling model update during which the
 * model's lease passes to another instance. */
#include <signal.h>
#include <string.h>

#include "base/base.h"
#include "harness.h"

#define N 3 /* instances, and engines that are not drained */

static const char *const operator_headers[] = { "Authorization", "Bearer secret", NULL };

struct fleet {
	struct harness *h;
	struct harness_proc *platform;
	struct harness_proc *engine[N + 1]; /* the last one is drained */
	struct harness_proc *instance[N];
	int stopped; /* index of the instance stopped by SIGSTOP, -1: none */
	int lease_holder; /* index of the instance that holds the model's lease */
};

static char *get_page(struct fleet *f, uint16_t port, const char *path)
{
	struct harness_call *c = harness_call(f->h, port, "GET", path, NULL, operator_headers);
	char *text = g_strdup(c->body->str);

	harness_call_free(c);
	return text;
}

static void import_conf(struct fleet *f)
{
	const char *build = g_getenv("BUILD");
	g_autofree char *program = g_strdup_printf("%s/bin/turmerichinge", build ? build : "build");
	g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u", f->platform->port);
	g_autofree char *path = g_build_filename(f->h->dir, "conf.ini", NULL);
	const char *argv[] = {
		program, "--platform", url, "config", "import", path, "--force", NULL
	};
	g_autoptr(GSubprocess) p = NULL;

	harness_write_conf(f->h);
	p = g_subprocess_newv(argv, G_SUBPROCESS_FLAGS_STDOUT_SILENCE, NULL);
	g_assert_true(g_subprocess_wait(p, NULL, NULL));
	g_assert_cmpint(g_subprocess_get_exit_status(p), ==, 0);
}

/* True if the /state page of engine @i, with its log of the orders that ran, contains @part. */
static bool ran(struct fleet *f, int i, const char *part)
{
	g_autofree char *text = get_page(f, f->engine[i]->port, "/state");

	return strstr(text, part) != NULL;
}

static bool any_load_started(void *arg)
{
	struct fleet *f = arg;

	return ran(f, 0, "\"load\"") || ran(f, 1, "\"load\"") || ran(f, 2, "\"load\"");
}

static bool all_updated(void *arg)
{
	struct fleet *f = arg;

	for (int i = 0; i < N; i++) {
		g_autofree char *text = get_page(f, f->engine[i]->port, "/state");

		if (!strstr(text, "\"version\":\"2\",\"adapters\"") ||
		    !strstr(text, "\"state\":\"ready\""))
			return false;
	}
	return true;
}

static bool find_lease_holder(void *arg)
{
	struct fleet *f = arg;

	for (int i = 0; i < N; i++) {
		g_autofree char *text =
			i == f->stopped ? g_strdup("")
					: get_page(f, f->instance[i]->operator_port, "/status");

		if (strstr(text, "model.yard held=1")) {
			f->lease_holder = i;
			return true;
		}
	}
	return false;
}

/* Checks the order log of engine @i: fencing numbers never decrease and there is exactly one load.
 * @from, @to: start and end of the load in monotonic time, us. */
static void check_order_log(struct fleet *f, int i, int64_t *from, int64_t *to)
{
	g_autofree char *text = get_page(f, f->engine[i]->port, "/state");
	const char *at = strstr(text, "\"orders\":[");
	const char *load = strstr(at, "\"kind\":\"load\"");
	int64_t last_fence = 0;

	g_assert_nonnull(load);
	g_assert_null(strstr(load + 1, "\"kind\":\"load\""));
	*from = g_ascii_strtoll(strstr(load, "\"from\":") + 7, NULL, 10);
	*to = g_ascii_strtoll(strstr(load, "\"to\":") + 5, NULL, 10);
	while ((at = strstr(at, "\"fencing\":"))) {
		int64_t fence = g_ascii_strtoll(at + 10, NULL, 10);

		g_assert_cmpint(fence, >=, last_fence);
		last_fence = fence;
		at++;
	}
}

/* Guards against a rolling update that loads two engines at the same time (fewer than min_ready
 * would be ready), an order that runs twice, an order of a former lease holder after one of its
 * successor, and a load on a drained engine. */
static void test_rolling_update_with_takeover(void)
{
	struct fleet f = { .stopped = -1 };
	uint16_t peer[N];
	int64_t from[N];
	int64_t to[N];

	f.h = harness_new();
	f.platform = harness_start(f.h, "standin-platform", "platform", NULL);
	for (int i = 0; i <= N; i++) {
		static const char *const args[] = { "--model", "yard@1", NULL };
		g_autofree char *id = g_strdup_printf("e%d", i);

		f.engine[i] = harness_add_upstream(f.h, "standin-engine", id, "yard", "a",
						   i < N ? args : NULL);
		g_string_append(f.h->conf, i < N ? "fencing=yes\n" : "fencing=yes\ndrain=yes\n");
	}
	g_string_append(f.h->conf,
			"[model yard]\nservice=yard\nversion=2\nreplicas=3\nmin_ready=2\n");
	import_conf(&f);
	for (int i = 0; i < N; i++)
		peer[i] = harness_free_port();
	for (int i = 0; i < N; i++) {
		g_autofree char *id = g_strdup_printf("i%d", i);
		g_autofree char *extra = g_strdup_printf(
			"[platform]\nurl=http://127.0.0.1:%u\n[peers]\nkey=fleet\n"
			"listen=127.0.0.1:%u\nseeds=127.0.0.1:%u,127.0.0.1:%u,127.0.0.1:%u\n",
			f.platform->port, peer[i], peer[0], peer[1], peer[2]);

		f.instance[i] = harness_start_instance(f.h, id, "a", extra);
	}
	harness_wait_until(any_load_started, &f);
	harness_wait_until(find_lease_holder, &f);
	f.stopped = f.lease_holder;
	g_subprocess_send_signal(f.instance[f.stopped]->process, SIGSTOP);
	harness_wait_until(find_lease_holder, &f);
	g_assert_cmpint(f.lease_holder, !=, f.stopped);
	g_subprocess_send_signal(f.instance[f.stopped]->process, SIGCONT);
	harness_wait_until(all_updated, &f);
	for (int i = 0; i < N; i++)
		check_order_log(&f, i, &from[i], &to[i]);
	for (int i = 0; i < N; i++)
		for (int j = 0; j < i; j++)
			g_assert_true(to[i] <= from[j] || to[j] <= from[i]);
	g_assert_false(ran(&f, N, "\"kind\":\"load\""));
	g_assert_true(ran(&f, N, "\"draining\":true"));
	harness_free(f.h);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/orders/roll-with-takeover", test_rolling_update_with_takeover);
	return g_test_run();
}
