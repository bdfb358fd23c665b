/* Three instance processes with the platform stand-in: configuration changes, once-only requests,
 * network partitions and restarts. */
#include <signal.h>
#include <string.h>

#include "base/base.h"
#include "harness.h"

#define N_INSTANCES 3

static const char *const operator_headers[] = { "Authorization", "Bearer secret", NULL };
static const char *const alder_headers[] = { "Authorization", "Bearer key-alder", NULL };

struct fleet {
	struct harness *h;
	struct harness_proc *platform;
	struct harness_proc *service[2];
	struct harness_proc *engine[2];
	struct harness_proc *instance[N_INSTANCES];
	uint16_t peer_port[N_INSTANCES];
	char *operators; /* options of the command line program */
};

static const char *const domains[N_INSTANCES] = { "a", "b", "c" };

/* Runs the command line program with @args; returns its exit status. */
static int run_cli(struct fleet *f, const char *const *args)
{
	const char *build = g_getenv("BUILD");
	g_autofree char *program = g_strdup_printf("%s/bin/turmerichinge", build ? build : "build");
	g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u", f->platform->port);
	g_autoptr(GPtrArray) argv = g_ptr_array_new();
	g_autoptr(GSubprocess) p = NULL;

	g_ptr_array_add(argv, program);
	g_ptr_array_add(argv, "--platform");
	g_ptr_array_add(argv, url);
	for (guint i = 0; args[i]; i++)
		g_ptr_array_add(argv, (char *)args[i]);
	g_ptr_array_add(argv, NULL);
	p = g_subprocess_newv((const char *const *)argv->pdata, G_SUBPROCESS_FLAGS_STDOUT_SILENCE,
			      NULL);
	g_assert_true(g_subprocess_wait(p, NULL, NULL));
	return g_subprocess_get_exit_status(p);
}

static void start_instance(struct fleet *f, int i)
{
	g_autofree char *id = g_strdup_printf("%s1", domains[i]);
	g_autofree char *extra = g_strdup_printf(
		"[platform]\nurl=http://127.0.0.1:%u\n[peers]\nkey=fleet\nlisten=127.0.0.1:%u\n"
		"seeds=127.0.0.1:%u,127.0.0.1:%u,127.0.0.1:%u\n",
		f->platform->port, f->peer_port[i], f->peer_port[0], f->peer_port[1],
		f->peer_port[2]);

	f->instance[i] = harness_start_instance(f->h, id, domains[i], extra);
}

static struct fleet *fleet_new(void)
{
	struct fleet *f = g_new0(struct fleet, 1);
	g_autofree char *path = NULL;
	const char *import[] = { "config", "import", NULL, "--force", NULL };
	static const char *const engine_args[] = { "--decode", "100", "--restart-ms", "500", NULL };

	f->h = harness_new();
	f->platform = harness_start(f->h, "standin-platform", "platform", NULL);
	for (int i = 0; i < 2; i++) {
		g_autofree char *s = g_strdup_printf("s%d", i);
		g_autofree char *e = g_strdup_printf("e%d", i);

		f->service[i] = harness_add_upstream(f->h, "standin-service", s, "desk", "a", NULL);
		f->engine[i] =
			harness_add_upstream(f->h, "standin-engine", e, "yard", "b", engine_args);
	}
	harness_write_conf(f->h);
	path = g_build_filename(f->h->dir, "conf.ini", NULL);
	import[2] = path;
	g_assert_cmpint(run_cli(f, import), ==, 0);
	for (int i = 0; i < N_INSTANCES; i++)
		f->peer_port[i] = harness_free_port();
	for (int i = 0; i < N_INSTANCES; i++)
		start_instance(f, i);
	for (int i = 0; i < N_INSTANCES; i++)
		harness_wait_ready(f->h, f->instance[i]);
	return f;
}

static void fleet_free(struct fleet *f)
{
	harness_free(f->h);
	g_free(f);
}

static struct harness_call *send_booking(struct fleet *f, int i, const char *key, const char *body)
{
	const char *headers[] = { "Authorization",
				  "Bearer key-alder",
				  "X-Profile",
				  "booking",
				  "Idempotency-Key",
				  key,
				  "X-Deadline-Ms",
				  "8000",
				  NULL };

	return harness_send(f->h, f->instance[i]->port, "POST", "/s/desk/book", body, headers);
}

static int64_t count_runs(struct fleet *f, const char *key)
{
	return harness_get_integer(f->h, f->service[0]->port, "/admin/runs", key) +
	       harness_get_integer(f->h, f->service[1]->port, "/admin/runs", key);
}

static void set_platform_fault(struct fleet *f, const char *fault)
{
	g_autofree char *path = g_strdup_printf("/admin/fault?%s", fault);
	struct harness_call *c = harness_call(f->h, f->platform->port, "POST", path, NULL, NULL);

	g_assert_cmpint(c->status, ==, 200);
	harness_call_free(c);
}

/* Guards against a booking that runs twice when the caller retries it through another instance with
 * the same idempotency key, and against a key that is accepted with another body. */
static void test_once_only_repeat(void)
{
	struct fleet *f = fleet_new();
	struct harness_call *c = send_booking(f, 0, "k1", "pole 7");
	g_autofree char *first = NULL;

	harness_wait(c);
	g_assert_cmpint(c->status, ==, 200);
	g_assert_cmpstr(harness_header(c, "X-Verdict"), ==, "ran");
	first = g_strdup(c->body->str);
	harness_call_free(c);
	for (int i = 0; i < N_INSTANCES; i++) {
		c = send_booking(f, i, "k1", "pole 7");
		harness_wait(c);
		g_assert_cmpint(c->status, ==, 200);
		g_assert_cmpstr(c->body->str, ==, first);
		harness_call_free(c);
	}
	c = send_booking(f, 1, "k1", "another pole");
	harness_wait(c);
	g_assert_cmpint(c->status, ==, 409);
	harness_call_free(c);
	g_assert_cmpint(count_runs(f, "k1"), ==, 1);
	fleet_free(f);
}

/* Guards against a booking that runs twice, or a wrong verdict "not-run", when the platform's
 * responses to writes are lost. */
static void test_once_only_lost_answers(void)
{
	struct fleet *f = fleet_new();

	for (int n = 0; n < 12; n++) {
		g_autofree char *key = g_strdup_printf("lost-%d", n);
		bool not_run = false;

		set_platform_fault(f, "lose_writes=2");
		for (int i = 0; i < N_INSTANCES; i++) {
			struct harness_call *c = send_booking(f, i, key, "pole");

			harness_wait(c);
			not_run = strcmp(harness_header(c, "X-Verdict"), "not-run") == 0;
			if (not_run && i == 0)
				g_assert_cmpint(count_runs(f, key), ==, 0);
			harness_call_free(c);
		}
		g_assert_cmpint(count_runs(f, key), <=, 1);
		if (not_run)
			g_assert_cmpint(count_runs(f, key), ==, 0);
	}
	fleet_free(f);
}

/* Guards against a booking that runs twice after its instance was killed or stopped by SIGSTOP. */
static void test_once_only_kill(void)
{
	struct fleet *f = fleet_new();
	static const int signals[] = { SIGKILL, SIGSTOP };

	for (int n = 0; n < 2; n++) {
		for (int delay_ms = 0; delay_ms < 30; delay_ms += 6) {
			g_autofree char *key = g_strdup_printf("kill-%d-%d", n, delay_ms);
			struct harness_call *c = send_booking(f, 0, key, "pole");
			struct harness_call *retry;

			harness_run_for((uint32_t)delay_ms);
			g_subprocess_send_signal(f->instance[0]->process, signals[n]);
			retry = send_booking(f, 1, key, "pole");
			harness_wait(retry);
			harness_call_free(retry);
			if (signals[n] == SIGSTOP)
				g_subprocess_send_signal(f->instance[0]->process, SIGCONT);
			else
				start_instance(f, 0);
			harness_wait(c);
			harness_call_free(c);
			harness_wait_ready(f->h, f->instance[0]);
			retry = send_booking(f, 2, key, "pole");
			harness_wait(retry);
			harness_call_free(retry);
			g_assert_cmpint(count_runs(f, key), <=, 1);
		}
	}
	fleet_free(f);
}

/* Guards against a once-only request that runs, or a chat that fails, during a platform outage. */
static void test_platform_outage(void)
{
	struct fleet *f = fleet_new();
	g_autofree char *chat = harness_chat_body("yard", "during the outage", 10, true);
	struct harness_call *c;

	g_subprocess_send_signal(f->platform->process, SIGKILL);
	for (int i = 0; i < N_INSTANCES; i++) {
		c = harness_call(f->h, f->instance[i]->port, "POST", "/v1/chat/completions", chat,
				 alder_headers);
		g_assert_true(harness_stream_is_complete(c->body->str, "during the outage", 10));
		harness_call_free(c);
		c = send_booking(f, i, "outage", "pole");
		harness_wait(c);
		g_assert_cmpint(c->status, ==, 503);
		g_assert_cmpstr(harness_header(c, "X-Verdict"), ==, "not-run");
		harness_call_free(c);
	}
	g_assert_cmpint(count_runs(f, "outage"), ==, 0);
	/* An instance that starts during the outage gets its configuration from its peers. */
	g_subprocess_send_signal(f->instance[2]->process, SIGKILL);
	start_instance(f, 2);
	harness_wait_ready(f->h, f->instance[2]);
	c = harness_call(f->h, f->instance[2]->port, "POST", "/v1/chat/completions", chat,
			 alder_headers);
	g_assert_true(harness_stream_is_complete(c->body->str, "during the outage", 10));
	harness_call_free(c);
	fleet_free(f);
}

struct status_condition {
	struct fleet *f;
	const char *text; /* expected in the /status page of each instance */
};

static bool all_statuses_contain(void *arg)
{
	struct status_condition *a = arg;
	bool all = true;

	for (int i = 0; i < N_INSTANCES; i++) {
		struct harness_call *c = harness_call(a->f->h, a->f->instance[i]->operator_port,
						      "GET", "/status", NULL, operator_headers);

		all = all && strstr(c->body->str, a->text);
		harness_call_free(c);
	}
	return all;
}

/* Guards against a drain that an instance doesn't apply, and requests sent to a drained engine. */
static void test_drain_all_instances(void)
{
	struct fleet *f = fleet_new();
	static const char *const drain[] = { "upstream", "drain", "e0", NULL };
	struct status_condition drained = { f, "upstream.e0 state=leaving" };
	g_autofree char *chat = harness_chat_body("yard", "elsewhere", 5, true);
	int64_t before;

	g_assert_cmpint(run_cli(f, drain), ==, 0);
	harness_wait_until(all_statuses_contain, &drained);
	before = harness_get_integer(f->h, f->engine[0]->port, "/admin/stats", "requests");
	for (int n = 0; n < 12; n++) {
		struct harness_call *c =
			harness_call(f->h, f->instance[n % N_INSTANCES]->port, "POST",
				     "/v1/chat/completions", chat, alder_headers);

		g_assert_true(harness_stream_is_complete(c->body->str, "elsewhere", 5));
		harness_call_free(c);
	}
	g_assert_cmpint(harness_get_integer(f->h, f->engine[0]->port, "/admin/stats", "requests"),
			==, before);
	fleet_free(f);
}

/* Guards against truncated streams and failed requests during a rolling restart of all
 * instances. */
static void test_rolling_restart(void)
{
	struct fleet *f = fleet_new();
	g_autofree char *chat = harness_chat_body("yard", "through a restart", 120, true);

	for (int i = 0; i < N_INSTANCES; i++) {
		struct harness_call *c = harness_send(f->h, f->instance[i]->port, "POST",
						      "/v1/chat/completions", chat, alder_headers);

		harness_run_for(200);
		g_subprocess_send_signal(f->instance[i]->process, SIGTERM);
		harness_wait(c);
		g_assert_true(harness_stream_is_complete(c->body->str, "through a restart", 120));
		harness_call_free(c);
		g_assert_true(g_subprocess_wait(f->instance[i]->process, NULL, NULL));
		g_assert_cmpint(g_subprocess_get_exit_status(f->instance[i]->process), ==, 0);
		start_instance(f, i);
		harness_wait_ready(f->h, f->instance[i]);
	}
	fleet_free(f);
}

/* Blocks (@block "yes") or restores ("no") all links between instance @i and the others, in both
 * directions. */
static void set_partitioned(struct fleet *f, int i, const char *block)
{
	for (int a = 0; a < N_INSTANCES; a++) {
		for (int b = 0; b < N_INSTANCES; b++) {
			g_autofree char *path = g_strdup_printf(
				"/peers?address=127.0.0.1:%u&block=%s", f->peer_port[b], block);
			struct harness_call *c;

			if (a == b || (a != i && b != i))
				continue;
			c = harness_call(f->h, f->instance[a]->operator_port, "POST", path, NULL,
					 operator_headers);
			g_assert_cmpint(c->status, ==, 200);
			harness_call_free(c);
		}
	}
}

/* For is_partitioned(), whose only argument is the process. */
static struct harness *partition_harness;

static bool is_partitioned(void *arg)
{
	const struct harness_proc *p = arg;
	struct harness_call *c = harness_call(partition_harness, p->operator_port, "GET", "/status",
					      NULL, operator_headers);
	bool partitioned = strstr(c->body->str, "\ninstances 1\n") != NULL;

	harness_call_free(c);
	return partitioned;
}

/* Guards against a failure domain partitioned from its peers (not from the platform) that stops
 * serving, runs a booking twice, misses a configuration change, or reverts to an older
 * configuration after the partition ends. */
static void test_domain_partition(void)
{
	struct fleet *f = fleet_new();
	static const char *const drain[] = { "upstream", "drain", "e0", NULL };
	static const char *const undrain[] = { "upstream", "undrain", "e0", NULL };
	struct status_condition all_connected = { f, "instances 3\n" };
	struct status_condition drained = { f, "upstream.e0 state=leaving" };
	struct status_condition undrained = { f, "upstream.e0 state=live" };
	g_autofree char *chat = harness_chat_body("yard", "in a cut domain", 10, true);
	struct harness_call *c;

	harness_wait_until(all_statuses_contain, &all_connected);
	partition_harness = f->h;
	set_partitioned(f, 2, "yes");
	harness_wait_until(is_partitioned, f->instance[2]);
	c = harness_call(f->h, f->instance[2]->port, "POST", "/v1/chat/completions", chat,
			 alder_headers);
	g_assert_true(harness_stream_is_complete(c->body->str, "in a cut domain", 10));
	harness_call_free(c);
	for (int i = 0; i < N_INSTANCES; i++) {
		c = send_booking(f, i, "cut", "pole");
		harness_wait(c);
		g_assert_cmpint(c->status, ==, 200);
		harness_call_free(c);
	}
	g_assert_cmpint(count_runs(f, "cut"), ==, 1);
	g_assert_cmpint(run_cli(f, drain), ==, 0);
	harness_wait_until(all_statuses_contain, &drained);
	set_partitioned(f, 2, "no");
	all_connected.text = "instances 3\n";
	harness_wait_until(all_statuses_contain, &all_connected);
	g_assert_true(all_statuses_contain(&drained));
	g_assert_cmpint(run_cli(f, undrain), ==, 0);
	harness_wait_until(all_statuses_contain, &undrained);
	fleet_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/once-only-repeat", test_once_only_repeat);
	g_test_add_func("/fleet/once-only-lost-answers", test_once_only_lost_answers);
	g_test_add_func("/fleet/once-only-kill", test_once_only_kill);
	g_test_add_func("/fleet/platform-outage", test_platform_outage);
	g_test_add_func("/fleet/drain-everywhere", test_drain_all_instances);
	g_test_add_func("/fleet/rolling-restart", test_rolling_restart);
	g_test_add_func("/fleet/domain-cut", test_domain_partition);
	return g_test_run();
}
