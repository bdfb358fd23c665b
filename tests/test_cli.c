/* Runs the command line program against the stand-in of the platform, as processes on loopback. */
#include <glib.h>
#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <string.h>

#include "cli/cli.h"

struct fixture {
	GSubprocess *platform;
	char *platform_url;
	char *admin_url; /* control listener of the stand-in, injects faults */
	char *dir; /* temporary folder */
	char *out; /* standard output of the last command */
};

static char *program(const char *name)
{
	const char *build = g_getenv("BUILD") ? g_getenv("BUILD") : "build";

	return g_build_filename(build, "bin", name, NULL);
}

static char *read_address(GDataInputStream *in, const char *label)
{
	g_autofree char *line = g_data_input_stream_read_line(in, NULL, NULL, NULL);

	g_assert_nonnull(line);
	g_assert_true(g_str_has_prefix(line, label));
	return g_strdup_printf("http://%s", line + strlen(label) + 1);
}

/* Runs the program with @args, separated by single spaces; returns its exit code. */
static int run(struct fixture *f, const char *args)
{
	g_autofree char *path = program("turmerichinge");
	g_autofree char *line = g_strdup_printf("%s --platform %s %s", path, f->platform_url, args);
	g_auto(GStrv) argv = g_strsplit(line, " ", -1);
	g_autoptr(GSubprocess) p = g_subprocess_newv(
		(const char *const *)argv,
		G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE, NULL);

	g_assert_nonnull(p);
	g_free(f->out);
	g_assert_true(g_subprocess_communicate_utf8(p, NULL, NULL, &f->out, NULL, NULL));
	g_test_message("%s: %s", args, f->out);
	g_assert_true(g_subprocess_get_if_exited(p));
	return g_subprocess_get_exit_status(p);
}

static void setup(struct fixture *f, gconstpointer data)
{
	g_autofree char *path = program("standin-platform");
	g_autoptr(GDataInputStream) in = NULL;

	f->platform = g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL, path, "--listen",
				       "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", NULL);
	g_assert_nonnull(f->platform);
	in = g_data_input_stream_new(g_subprocess_get_stdout_pipe(f->platform));
	f->admin_url = read_address(in, "admin");
	f->platform_url = read_address(in, "listening");
	f->dir = g_dir_make_tmp("cli-XXXXXX", NULL);
	f->out = NULL;
	g_assert_cmpint(run(f, "config import examples/brazos/config.ini"), ==, CLI_OK);
}

static void teardown(struct fixture *f, gconstpointer data)
{
	g_autofree char *mine = g_build_filename(f->dir, "mine", NULL);
	g_autofree char *base = g_build_filename(f->dir, "base", NULL);

	g_subprocess_force_exit(f->platform);
	g_subprocess_wait(f->platform, NULL, NULL);
	g_object_unref(f->platform);
	g_unlink(mine);
	g_unlink(base);
	g_rmdir(f->dir);
	g_free(f->dir);
	g_free(f->platform_url);
	g_free(f->admin_url);
	g_free(f->out);
}

static void inject_fault(struct fixture *f, const char *query)
{
	g_autofree char *url = g_strconcat(f->admin_url, "/admin/fault?", query, NULL);
	g_autoptr(SoupSession) session = soup_session_new();
	g_autoptr(SoupMessage) msg = soup_message_new("POST", url);
	g_autoptr(GBytes) body = soup_session_send_and_read(session, msg, NULL, NULL);

	g_assert_nonnull(body);
	g_assert_cmpuint(soup_message_get_status(msg), ==, 200);
}

/* Writes the output of the last command to file @name in f->dir, with @from replaced by @to. */
static void save_output(struct fixture *f, const char *name, const char *from, const char *to)
{
	g_autofree char *path = g_build_filename(f->dir, name, NULL);
	g_auto(GStrv) parts = g_strsplit(f->out, from, 2);
	g_autofree char *text = g_strjoinv(to, parts);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
}

/* Guards against an import that writes unchanged objects, or objects that the check rejects. */
static void test_import(struct fixture *f, gconstpointer data)
{
	g_autofree char *before = NULL;

	g_assert_cmpint(run(f, "config check"), ==, CLI_OK);
	g_assert_cmpint(run(f, "config list"), ==, CLI_OK);
	before = g_strdup(f->out);
	g_assert_cmpint(run(f, "config import examples/brazos/config.ini"), ==, CLI_OK);
	g_assert_cmpint(run(f, "config list"), ==, CLI_OK);
	g_assert_cmpstr(f->out, ==, before);
	g_assert_cmpint(run(f, "profile list"), ==, CLI_OK);
	g_assert_nonnull(strstr(f->out, "profile/appraisal "));
	g_assert_null(strstr(f->out, "account/"));
}

/* Guards against losing one of two concurrent edits. */
static void test_concurrent_edits(struct fixture *f, gconstpointer data)
{
	g_autofree char *mine = g_strdup_printf(
		"profile set question --file %s/mine --base %s/base", f->dir, f->dir);
	g_autofree char *stale = g_strdup_printf("profile set question --file %s/mine", f->dir);

	g_assert_cmpint(run(f, "profile get question"), ==, CLI_OK);
	save_output(f, "base", "weight=3", "weight=3");
	save_output(f, "mine", "weight=3", "weight=4");
	g_assert_cmpint(run(f, "profile set question window_ms=6000"), ==, CLI_OK);
	g_assert_cmpint(run(f, stale), ==, CLI_CONFLICT);
	g_assert_cmpint(run(f, mine), ==, CLI_OK);
	g_assert_cmpint(run(f, "profile get question"), ==, CLI_OK);
	g_assert_nonnull(strstr(f->out, "weight=4"));
	g_assert_nonnull(strstr(f->out, "window_ms=6000"));

	/* Edits of the same field: both versions are printed and the object is not written. */
	save_output(f, "base", "weight=4", "weight=4");
	save_output(f, "mine", "weight=4", "weight=5");
	g_assert_cmpint(run(f, "profile set question weight=6"), ==, CLI_OK);
	g_assert_cmpint(run(f, mine), ==, CLI_CONFLICT);
	g_assert_nonnull(strstr(f->out, "weight=5"));
	g_assert_nonnull(strstr(f->out, "weight=6"));
	g_assert_cmpint(run(f, "profile get question"), ==, CLI_OK);
	g_assert_nonnull(strstr(f->out, "weight=6"));
}

/* Guards against a write that is repeated or reported as failed when its response is lost. */
static void test_lost_responses(struct fixture *f, gconstpointer data)
{
	g_autofree char *version = NULL;

	inject_fault(f, "lose_writes=1");
	g_assert_cmpint(run(f, "profile set note weight=8"), ==, CLI_OK);
	version = g_strdup(strrchr(f->out, ' '));
	g_assert_cmpint(run(f, "profile get note"), ==, CLI_OK);
	g_assert_nonnull(strstr(f->out, "weight=8"));
	g_assert_nonnull(strstr(f->out, version));

	/* The write takes effect after the program loaded the object to find out the outcome. */
	inject_fault(f, "late_writes=1&delay_ms=200");
	g_assert_cmpint(run(f, "profile set note weight=9"), ==, CLI_OK);
	inject_fault(f, "clear=1");
	g_assert_cmpint(run(f, "profile get note"), ==, CLI_OK);
	g_assert_nonnull(strstr(f->out, "weight=9"));

	inject_fault(f, "lose_writes=1");
	g_assert_cmpint(run(f, "upstream remove model-yard-1"), ==, CLI_OK);
	g_assert_cmpint(run(f, "upstream list"), ==, CLI_OK);
	g_assert_null(strstr(f->out, "model-yard-1 "));
}

/* Guards against a harmful edit without --force and an invalid edit being written. */
static void test_harmful_edits(struct fixture *f, gconstpointer data)
{
	g_assert_cmpint(run(f, "upstream drain shop-desk-1"), ==, CLI_OK);
	g_assert_cmpint(run(f, "upstream remove shop-desk-2"), ==, CLI_OK);
	g_assert_cmpint(run(f, "upstream drain shop-desk-3"), ==, CLI_REFUSED);
	g_assert_nonnull(strstr(f->out, "--force"));
	g_assert_cmpint(run(f, "upstream drain shop-desk-3 --force"), ==, CLI_OK);
	g_assert_cmpint(run(f, "upstream undrain shop-desk-1"), ==, CLI_OK);
	g_assert_cmpint(run(f, "account list"), ==, CLI_USAGE);
	g_assert_cmpint(run(f, "config set account/new key=example-brazos-audit"), ==, CLI_REFUSED);
	g_assert_nonnull(strstr(f->out, "account/new.key"));
	g_assert_cmpint(run(f, "config set ranks batch=0"), ==, CLI_REFUSED);
	g_assert_cmpint(run(f, "upstream add model-yard-2 service=model-yard"), ==, CLI_REFUSED);
	g_assert_cmpint(run(f, "profile get absent"), ==, CLI_REFUSED);
}

/* Guards against a hang or an exit code of success when the platform or instance is unreachable. */
static void test_unreachable(struct fixture *f, gconstpointer data)
{
	inject_fault(f, "outage=refuse");
	g_assert_cmpint(run(f, "profile list"), ==, CLI_UNREACHABLE);
	g_assert_cmpint(run(f, "--operator http://127.0.0.1:1 status"), ==, CLI_UNREACHABLE);
}

/* Guards against merged events that are out of order or don't match the filter. */
static void test_merge_events(void)
{
	struct cli_event_filter f = { .request = "r1" };
	g_autoptr(GPtrArray) pages = g_ptr_array_new();
	g_autoptr(GString) out = g_string_new(NULL);

	g_ptr_array_add(pages, "30\ta\tattempt\tr1\t-\tu1\t-\t-\n10\ta\tadmit\tr1\t-\t-\t-\t-\n"
			       "garbage\n");
	g_ptr_array_add(pages, NULL);
	g_ptr_array_add(pages, "20\tb\tclaim\tr1\t-\t-\t-\t-\n25\tb\tclaim\tr2\t-\t-\t-\t-\n");
	cli_merge_events(pages, &f, out);
	g_assert_cmpstr(out->str, ==,
			"1970-01-01T00:00:00.000Z\t10\ta\tadmit\tr1\t-\t-\t-\t-\n"
			"1970-01-01T00:00:00.000Z\t20\tb\tclaim\tr1\t-\t-\t-\t-\n"
			"1970-01-01T00:00:00.000Z\t30\ta\tattempt\tr1\t-\tu1\t-\t-\n");
}

/* Guards against a question that is put to no or several instances, or to one that isn't there. */
static void test_explain(struct fixture *f, gconstpointer data)
{
	g_autofree char *here = g_strdup_printf("explain /x --host h -o %s", f->platform_url);

	g_assert_cmpint(run(f, "explain"), ==, CLI_USAGE);
	g_assert_cmpint(run(f, "explain /x --host h"), ==, CLI_USAGE);
	g_assert_nonnull(strstr(f->out, "one --operator URL is required"));
	g_assert_cmpint(run(f, "explain /x --host h -o http://127.0.0.1:1 -o http://127.0.0.1:2"),
			==, CLI_USAGE);
	g_assert_cmpint(run(f, "explain /x -o http://127.0.0.1:1"), ==, CLI_USAGE);
	g_assert_cmpint(run(f, "explain x --host h -o http://127.0.0.1:1"), ==, CLI_USAGE);
	g_assert_cmpint(run(f, "explain /x --host h -o nonsense"), ==, CLI_USAGE);
	g_assert_cmpint(run(f, "explain /x --host h -H bad -o http://127.0.0.1:1"), ==, CLI_USAGE);
	g_assert_cmpint(run(f, "explain /x --host h -o http://127.0.0.1:1"), ==, CLI_UNREACHABLE);
	/* Another server has no such page. */
	g_assert_cmpint(run(f, here), ==, CLI_UNREACHABLE);
	g_assert_nonnull(strstr(f->out, "without an explanation"));
}

#define ADD(name, fn) g_test_add(name, struct fixture, NULL, setup, fn, teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/cli/import", test_import);
	ADD("/cli/race", test_concurrent_edits);
	ADD("/cli/lost-answers", test_lost_responses);
	ADD("/cli/harmful", test_harmful_edits);
	ADD("/cli/outage", test_unreachable);
	ADD("/cli/explain", test_explain);
	g_test_add_func("/cli/merge-events", test_merge_events);
	return g_test_run();
}
