/*
 * The router instance on the platform: the command that tells where a request would go now and why,
 * without sending it.
 */
#include <glib.h>
#include <string.h>

#include "cli/cli.h"
#include "site_case.h"
#include "site_store.h"

#define PROMPT "X-Turmerichinge-Prompt-Prefix: aa01:200,bb02:3000,cc03:50"

struct answer {
	int code;
	char *out; /* owned, standard output */
	char *err; /* owned, standard error */
};

static void answer_clear(struct answer *a)
{
	g_free(a->out);
	g_free(a->err);
}

/*
 * Asks the first instance with the options @args, NULL-terminated. The store and the replicas run in
 * this process, so it goes on while the command runs.
 */
static void on_done(GObject *p, GAsyncResult *result, gpointer arg)
{
	struct answer *a = arg;

	g_assert_true(g_subprocess_communicate_utf8_finish(G_SUBPROCESS(p), result, &a->out,
							   &a->err, NULL));
	g_assert_true(g_subprocess_get_if_exited(G_SUBPROCESS(p)));
	a->code = g_subprocess_get_exit_status(G_SUBPROCESS(p));
}

static bool is_done(void *arg)
{
	return ((struct answer *)arg)->code >= 0;
}

static struct answer ask(struct site *s, const char *path, const char *const *args)
{
	const char *build = g_getenv("BUILD");
	const struct site_instance *i = case_instance(s, 0);
	g_autofree char *program = g_strdup_printf("%s/bin/turmerichinge", build ? build : "build");
	g_autofree char *url = g_strdup_printf("http://%s:%u", i->ip, i->metrics_port);
	g_autoptr(GPtrArray) argv = g_ptr_array_new();
	g_autoptr(GSubprocess) p = NULL;
	struct answer a = { .code = -1 };
	const char *const first[] = { program, "explain", path, "-o", url, "--host", SITE_HOST };

	for (size_t k = 0; k < G_N_ELEMENTS(first); k++)
		g_ptr_array_add(argv, (char *)first[k]);
	for (size_t k = 0; args && args[k]; k++)
		g_ptr_array_add(argv, (char *)args[k]);
	g_ptr_array_add(argv, NULL);
	p = g_subprocess_newv((const char *const *)argv->pdata,
			      G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE,
			      NULL);
	g_assert_nonnull(p);
	g_subprocess_communicate_utf8_async(p, NULL, NULL, on_done, &a);
	site_run_until(is_done, &a);
	g_test_message("%s: %d\n%s%s", path, a.code, a.out, a.err);
	return a;
}

static void expect(struct site *s, const char *path, const char *const *args, int code,
		   const char *text)
{
	struct answer a = ask(s, path, args);

	g_assert_cmpint(a.code, ==, code);
	g_assert_nonnull(strstr(code == CLI_USAGE ? a.err : a.out, text));
	g_assert_null(strstr(a.out, SITE_KEY));
	g_assert_null(strstr(a.err, SITE_KEY));
	/* Bad input gets one line. */
	if (code == CLI_USAGE)
		g_assert_true(strchr(a.err, '\n') == a.err + strlen(a.err) - 1);
	answer_clear(&a);
}

/* Counters and gauges that don't follow the time. */
static char *counters(struct site *s)
{
	struct site_instance at = *case_instance(s, 0);
	GString *out = g_string_new(NULL);
	g_auto(GStrv) lines = NULL;
	struct site_call *c;

	at.port = at.metrics_port;
	c = site_request(&at, "GET", "/metrics", NULL, NULL);
	lines = g_strsplit(c->body->str, "\n", -1);
	site_call_free(c);
	for (guint i = 0; lines[i]; i++) {
		if (strstr(lines[i], "request") || strstr(lines[i], "attempt") ||
		    strstr(lines[i], "retries") || strstr(lines[i], "repeat") ||
		    strstr(lines[i], "connections"))
			g_string_append_printf(out, "%s\n", lines[i]);
	}
	return g_string_free(out, FALSE);
}

static const char *const account[] = { "--account", "account-one", NULL };
static const char *const prompt[] = { "--account", "account-one",
				      "-H",	   PROMPT,
				      "-H",	   "X-Turmerichinge-Length-Hint: 120",
				      "-H",	   "X-Turmerichinge-Token-Counts: 3250,400",
				      NULL };

/* Guards against an explanation that sends the request, or counts it, or shows an API key. */
static void test_served(void)
{
	struct site *s = case_site();
	static const char *const json[] = { "--account", "account-one", "--json", NULL };
	g_autofree char *before = NULL;
	g_autofree char *after = NULL;

	case_expect(s, "/once/x", "once-1", 200, 1);
	site_run_for(1200); /* gauges are renewed once a second */
	before = counters(s);
	g_assert_nonnull(strstr(before, "requests_total 1\n"));
	expect(s, "/once/x", account, CLI_OK, "served: upstream shop-");
	expect(s, "/once/x", account, CLI_OK, "service shop account account-one");
	expect(s, "/once/x", json, CLI_OK, "\"outcome\":\"served\"");
	expect(s, "/stream/x", prompt, CLI_OK, "prompt 3 parts 3250 tokens, length hint 120");
	expect(s, "/stream/x", prompt, CLI_OK, "preferred");
	site_run_for(1200);
	after = counters(s);
	g_assert_cmpstr(before, ==, after);
	for (guint i = 0; i < s->replicas->len; i++) {
		const struct site_replica *r = s->replicas->pdata[i];

		g_assert_cmpuint(r->requests, ==,
				 strcmp(r->service, "shop") == 0 && r->requests ? 1 : 0);
	}
	site_free(s);
}

/* Guards against an explanation that names another replica than the next request goes to. */
static void test_true(void)
{
	struct site *s = case_site();

	for (int i = 0; i < 10; i++) {
		g_autofree char *id = g_strdup_printf("s-%d", i);
		g_autofree char *extra =
			g_strdup_printf("X-Turmerichinge-Prompt-Prefix: aa01:200,%d:3000,%d:50",
					i % 3 + 1, i + 100);
		g_autofree char *header = g_strdup_printf("%s\r\n", extra);
		g_autofree char *request_id = g_strdup_printf("X-Turmerichinge-Request-Id: %s", id);
		const char *const args[] = { "--account", "account-one", "-H", extra,
					     "-H",	  request_id,	 NULL };
		struct answer a = ask(s, "/stream/x", args);
		uint32_t before[16] = { 0 };
		struct site_call *c;
		bool found = false;

		g_assert_cmpint(a.code, ==, CLI_OK);
		for (guint k = 0; k < s->replicas->len; k++)
			before[k] = ((struct site_replica *)s->replicas->pdata[k])->requests;
		c = case_call(s, "/stream/x", id, header);
		g_assert_cmpint(c->status, ==, 200);
		site_call_free(c);
		for (guint k = 0; k < s->replicas->len; k++) {
			const struct site_replica *r = s->replicas->pdata[k];
			g_autofree char *text =
				g_strdup_printf("served: upstream %s, placed ", r->id);

			if (r->requests != before[k])
				found |= g_str_has_prefix(a.out, text);
		}
		g_assert_true(found);
		answer_clear(&a);
	}
	site_free(s);
}

static bool is_evacuated(void *arg)
{
	g_autofree char *log = site_instance_log(arg);

	return log && strstr(log, "event=evacuation domain=z-c state=in_force");
}

/* Guards against a refusal that isn't foreseen, or is explained by another reason. */
static void test_refused(void)
{
	struct site *s = site_new();
	static const char *const domains[] = { "z-a", "z-b", "z-c" };

	s->more_settings = "bounds.evac_ms=5000\n";
	site_add_defaults(s);
	site_instance_add(s, "z-a");
	site_wait_ready(s);

	expect(s, "/nowhere/x", account, CLI_REFUSED, "refused: status 404 no_route");
	expect(s, "/once/x", NULL, CLI_REFUSED, "refused: status 401 unknown_account");
	site_store_put(s->store, "evacuations", domains[0], "{}");
	site_store_put(s->store, "evacuations", domains[1], "{}");
	site_store_put(s->store, "evacuations", domains[2], "{}");
	site_run_until(is_evacuated, case_instance(s, 0));
	expect(s, "/once/x", account, CLI_REFUSED, "refused: status 503 evacuated");
	expect(s, "/once/x", account, CLI_REFUSED, "retry after 2");
	expect(s, "/once/x", account, CLI_REFUSED, "shop-0 in z-a (live): no candidate, evacuated");
	site_free(s);
}

/* Guards against bad input that is answered by an explanation of another request, or by nothing. */
static void test_bad_input(void)
{
	static const char *const unknown[] = { "--account", "nobody", NULL };
	static const char *const key[] = { "-H", "Authorization: Bearer " SITE_KEY, NULL };
	static const char *const no_value[] = { "-H", "nonsense", NULL };
	static const char *const forged[] = { "-H", "A: b\r\nAuthorization: c", NULL };
	struct site *s = case_site();

	expect(s, "/once/x", unknown, CLI_USAGE, "no client account of this name");
	expect(s, "/once/x", key, CLI_USAGE, "an API key is not accepted");
	expect(s, "/once/x", no_value, CLI_USAGE, "expected NAME: VALUE");
	expect(s, "/once/x", forged, CLI_USAGE, "expected NAME: VALUE");
	expect(s, "once/x", account, CLI_USAGE, "a path that begins with /");
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/site/explain-served", test_served);
	g_test_add_func("/site/explain-true", test_true);
	g_test_add_func("/site/explain-refused", test_refused);
	g_test_add_func("/site/explain-bad-input", test_bad_input);
	return g_test_run();
}
