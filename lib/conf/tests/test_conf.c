#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "conf/conf.h"

static const struct {
	const char *key;
	const char *text;
} base_objects[] = {
	{ "ranks", "urgent=0.8\nnormal=0.15\nbatch=0.05\n" },
	{ "profile/question", "rank=urgent\nwindow_ms=5000\n" },
	{ "profile/spare", "rank=batch\nwindow_ms=5000\n" },
	{ "service/yard", "profiles=question\n" },
	{ "account/ledger", "key=k1\n" },
	{ "upstream/y1", "service=yard\nhost=127.0.0.1\nport=7001\nfailure_domain=a\n" },
	{ "upstream/y2", "service=yard\nhost=127.0.0.1\nport=7002\nfailure_domain=b\n" },
};

static struct conf_store *base_store(void)
{
	struct conf_store *s = conf_store_new();

	for (guint i = 0; i < G_N_ELEMENTS(base_objects); i++)
		g_assert_cmpint(
			conf_apply(s, base_objects[i].key, i + 1, base_objects[i].text, NULL), ==,
			1);
	g_assert_cmpint(conf_check_all(s, NULL), ==, 0);
	return s;
}

/* Guards against accepting an invalid value, and against errors without the right location. */
static void test_parse_errors(void)
{
	static const struct {
		const char *key;
		const char *text;
		const char *where;
	} cases[] = {
		{ "profile/p", "rank=urgent\n", "profile/p.window_ms" },
		{ "profile/p", "rank=fast\nwindow_ms=1\n", "profile/p.rank" },
		{ "profile/p", "rank=urgent\nwindow_ms=-1\n", "profile/p.window_ms" },
		{ "profile/p", "rank=urgent\nwindow_ms=1\nmax_attempts=1.5\n",
		  "profile/p.max_attempts" },
		{ "profile/p", "rank=urgent\nwindow_ms=1\nweight=nan\n", "profile/p.weight" },
		{ "profile/p", "rank=urgent\nwindow_ms=1\ncolour=red\n", "profile/p.colour" },
		{ "profile/p", "rank=urgent\nwindow_ms=1\nweight=\\q\n", "profile/p.weight" },
		{ "profile/p", "rank=urgent\nwindow_ms=1\n[more]\n", "profile/p" },
		{ "profile/p p", "", "profile/p p" },
		{ "profile/", "", "profile/" },
		{ "prof", "", "prof" },
		{ "ranks", "urgent=0.9\nnormal=0.2\nbatch=0\n", "ranks" },
		{ "service/s", "profiles=a,,b\n", "service/s.profiles" },
		{ "upstream/u", "service=s\nhost=example.org\nport=1\nfailure_domain=a\n",
		  "upstream/u.host" },
		{ "upstream/u", "service=s\nhost=127.0.0.1\nport=70000\nfailure_domain=a\n",
		  "upstream/u.port" },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct conf_error err = { 0 };

		g_assert_cmpint(conf_check_object(cases[i].key, cases[i].text, &err), ==, -EINVAL);
		g_assert_cmpstr(err.where, ==, cases[i].where);
		g_assert_cmpuint(strlen(err.message), >, 0);
	}
}

/* Guards against wrong units and defaults. */
static void test_parse_values(void)
{
	struct conf_store *s = base_store();
	const struct conf_profile *p = conf_profile(s, "question");
	const struct conf_service *v = conf_service_by_model(s, "yard");

	g_assert_cmpint(p->window, ==, 5 * USEC_PER_SEC);
	g_assert_cmpint(p->deadline, ==, 120 * USEC_PER_SEC);
	g_assert_true(p->repeatable);
	g_assert_false(p->finish);
	g_assert_cmpstr(v->profiles[0], ==, "question");
	g_assert_cmpstr(conf_account_by_key(s, "k1")->name, ==, "ledger");
	g_assert_null(conf_account_by_key(s, "k2"));
	conf_store_free(s);
}

struct change {
	const char *key;
	uint64_t version;
	const char *text;
};

/* All keys share one version counter, so that no two changes have the same version. */
static const struct change changes[] = {
	{ "account/a", 1, "key=k1\n" }, { "account/a", 4, "key=k4\n" },
	{ "account/a", 9, NULL },	{ "account/b", 2, "key=k2\n" },
	{ "account/b", 7, "nonsense" }, { "account/c", 3, "key=k3\n" },
	{ "account/c", 5, NULL },	{ "account/c", 8, "key=k8\n" },
	{ "ranks", 6, "urgent=0.5\n" },
};

static void append_object(void *arg, const struct conf_object *o)
{
	g_string_append_printf(arg, "%s@%" G_GUINT64_FORMAT " %s\n", o->key, o->version,
			       o->deleted ? "-" : o->text);
}

static char *dump(const struct conf_store *s)
{
	GString *out = g_string_new(NULL);

	conf_each(s, append_object, out);
	return g_string_free(out, FALSE);
}

/* Guards against a merge result that depends on the order or number of deliveries. */
static void test_merge_any_order(void)
{
	g_autofree char *expected = NULL;
	uint64_t digest = 0;
	struct rng rng;

	rng_seed(&rng, 11);
	for (int round = 0; round < 200; round++) {
		struct conf_store *s = conf_store_new();
		uint64_t last = 0;
		bool applied[G_N_ELEMENTS(changes)] = { false };
		guint n_applied = 0;
		g_autofree char *got = NULL;

		while (n_applied < G_N_ELEMENTS(changes)) {
			guint i = (guint)rng_below(&rng, G_N_ELEMENTS(changes));

			conf_apply(s, changes[i].key, changes[i].version, changes[i].text, NULL);
			n_applied += !applied[i];
			applied[i] = true;
			g_assert_cmpuint(conf_version(s), >=, last);
			last = conf_version(s);
		}
		got = dump(s);
		if (!expected) {
			expected = g_strdup(got);
			digest = conf_digest(s);
		}
		g_assert_cmpstr(got, ==, expected);
		g_assert_cmpuint(conf_digest(s), ==, digest);
		g_assert_null(conf_account_by_key(s, "k1"));
		g_assert_nonnull(conf_account_by_key(s, "k8"));
		conf_store_free(s);
	}
}

/* Guards against replacing the value in force by an older version or an invalid newer one. */
static void test_merge_monotonic(void)
{
	struct conf_store *s = conf_store_new();
	struct conf_error err = { 0 };

	g_assert_cmpint(conf_apply(s, "account/a", 5, "key=k5\n", NULL), ==, 1);
	g_assert_cmpint(conf_apply(s, "account/a", 4, "key=k4\n", NULL), ==, 0);
	g_assert_cmpint(conf_apply(s, "account/a", 5, "key=other\n", NULL), ==, 0);
	g_assert_nonnull(conf_account_by_key(s, "k5"));
	g_assert_cmpint(conf_apply(s, "account/a", 8, "key=\n", &err), ==, -EINVAL);
	g_assert_cmpstr(err.where, ==, "account/a.key");
	/* The invalid text is stored with its version; the valid value stays in force. */
	g_assert_cmpuint(conf_get(s, "account/a")->version, ==, 8);
	g_assert_cmpstr(conf_get(s, "account/a")->text, ==, "key=\n");
	g_assert_nonnull(conf_account_by_key(s, "k5"));
	g_assert_cmpint(conf_apply(s, "account/a", 7, "key=k7\n", NULL), ==, 0);
	g_assert_nonnull(conf_account_by_key(s, "k5"));
	g_assert_cmpint(conf_apply(s, "account/a", 9, NULL, NULL), ==, 1);
	g_assert_null(conf_account_by_key(s, "k5"));
	g_assert_cmpint(conf_apply(s, "account/a", 8, "key=k8\n", NULL), ==, 0);
	g_assert_null(conf_account_by_key(s, "k8"));
	conf_store_free(s);
}

/* Guards against broken references, duplicate API keys, and harmful edits without force. */
static void test_check_edit(void)
{
	static const struct {
		const char *key;
		const char *text;
		int rc;
		int forced;
	} cases[] = {
		{ "account/new", "key=k2\n", 0, 0 },
		{ "account/new", "key=k1\n", -EINVAL, -EINVAL },
		{ "account/ledger", "key=k1\nweight=2\n", 0, 0 },
		{ "account/ledger", NULL, -EPERM, 0 },
		{ "account/absent", NULL, -EINVAL, -EINVAL },
		{ "account/new", "key=k2\nweight=1\nweight=2\n", -EINVAL, -EINVAL },
		{ "profile/question", NULL, -EINVAL, -EINVAL },
		{ "profile/spare", NULL, 0, 0 },
		{ "service/yard", "profiles=question,absent\n", -EINVAL, -EINVAL },
		{ "service/yard", NULL, -EINVAL, -EINVAL },
		{ "service/other", "profiles=question\nmodel=yard\n", -EINVAL, -EINVAL },
		{ "upstream/y3", "service=absent\nhost=127.0.0.1\nport=1\nfailure_domain=a\n",
		  -EINVAL, -EINVAL },
		{ "upstream/y3", "service=yard\nhost=127.0.0.1\nport=7001\nfailure_domain=a\n",
		  -EPERM, 0 },
		{ "upstream/y1", NULL, 0, 0 },
		{ "ranks", "urgent=0.9\nnormal=0.1\nbatch=0\n", -EPERM, 0 },
		{ "ranks", "urgent=0.9\nnormal=0.2\nbatch=0\n", -EINVAL, -EINVAL },
		{ "ranks", NULL, -EPERM, 0 },
	};
	struct conf_store *s = base_store();

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct conf_error err = { 0 };

		g_test_message("case %u: %s", i, cases[i].key);
		g_assert_cmpint(conf_check_edit(s, cases[i].key, cases[i].text, false, &err), ==,
				cases[i].rc);
		g_assert_true((cases[i].rc == 0) == (err.where[0] == '\0'));
		g_assert_cmpint(conf_check_edit(s, cases[i].key, cases[i].text, true, &err), ==,
				cases[i].forced);
	}
	conf_store_free(s);
}

/* Guards against removing the last upstream in use of a service without force. */
static void test_last_upstream(void)
{
	struct conf_store *s = base_store();
	const char *drained =
		"service=yard\nhost=127.0.0.1\nport=7002\nfailure_domain=b\ndrain=yes\n";

	g_assert_cmpint(conf_check_edit(s, "upstream/y2", drained, false, NULL), ==, 0);
	g_assert_cmpint(conf_apply(s, "upstream/y2", 100, drained, NULL), ==, 1);
	g_assert_cmpint(conf_check_edit(s, "upstream/y1", NULL, false, NULL), ==, -EPERM);
	g_assert_cmpint(
		conf_check_edit(
			s, "upstream/y1",
			"service=yard\nhost=127.0.0.1\nport=7001\nfailure_domain=a\ndrain=yes\n",
			false, NULL),
		==, -EPERM);
	/* Deleting an upstream that is drained already is harmless. */
	g_assert_cmpint(conf_check_edit(s, "upstream/y2", NULL, false, NULL), ==, 0);
	conf_store_free(s);
}

/* Guards against a merge that loses a change or resolves a conflict silently. */
static void test_merge3(void)
{
	static const struct {
		const char *base;
		const char *mine;
		const char *theirs;
		const char *expected; /* NULL: conflict */
		const char *where;
	} cases[] = {
		{ "a=1\nb=1\n", "a=2\nb=1\n", "a=1\nb=3\n", "a=2\nb=3\n", NULL },
		{ "a=1\n", "a=2\n", "a=2\n", "a=2\n", NULL },
		{ "a=1\n", "a=2\n", "a=3\n", NULL, "a" },
		{ "a=1\nb=1\n", "b=1\n", "a=1\nb=2\n", "b=2\n", NULL },
		{ "a=1\nb=1\n", "b=1\n", "a=2\nb=1\n", NULL, "a" },
		{ "a=1\n", "a=1\nc=3\n", "a=1\nd=4\n", "a=1\nd=4\nc=3\n", NULL },
		{ NULL, "a=1\n", "b=2\n", "b=2\na=1\n", NULL },
		{ "a=1\n", NULL, "a=2\n", NULL, "mine" },
		{ "a=1\n", "a=2\n", NULL, NULL, "theirs" },
		{ "a=1\n", "a=2\nb", "a=1\n", NULL, "mine" },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct conf_error err = { 0 };
		g_autofree char *got =
			conf_merge3(cases[i].base, cases[i].mine, cases[i].theirs, &err);

		g_test_message("case %u", i);
		g_assert_cmpstr(got, ==, cases[i].expected);
		if (cases[i].where)
			g_assert_cmpstr(err.where, ==, cases[i].where);
	}
}

static char *write_file(const char *text)
{
	char *path = g_build_filename(g_get_tmp_dir(), "conf-XXXXXX", NULL);
	int fd = g_mkstemp(path);

	g_assert_cmpint(fd, >=, 0);
	g_close(fd, NULL);
	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

#define VALID_SETTINGS                                                                             \
	"[instance]\nid=i1\nfailure_domain=a\nconfig_file=x.ini\n"                                 \
	"[callers]\nlisten=127.0.0.1:8080\n[operators]\nlisten=127.0.0.1:8081\ntoken=t\n"

/* Guards against a settings error without file, group, key or the expected value. */
static void test_settings_errors(void)
{
	static const struct {
		const char *extra;
		const char *where;
		const char *expected;
	} cases[] = {
		{ "[callers]\nlisten=here\n", "[callers]", "given twice" },
		{ "[peers]\nlisten=here\n", "peers.listen", "expected IP:PORT" },
		{ "[peers]\nlisten=127.0.0.1:70000\n", "peers.listen", "expected IP:PORT" },
		{ "[peers]\nlisten=127.0.0.1:1\n", "peers.key", "required" },
		{ "[peers]\nseeds=127.0.0.1:1,x\n", "peers.seeds", "IP:PORT" },
		{ "[peers]\ncontrol_bytes_per_second=1\n", "peers.control_bytes_per_second",
		  "from 500" },
		{ "[platform]\nurl=ftp://x/\n", "platform.url", "http" },
		{ "[platform]\ncolour=red\n", "platform.colour", "unknown field" },
		{ "[kitchen]\n", "[kitchen]", "unknown group" },
		{ "[platform]\nurl=http://127.0.0.1:1/\nurl=http://127.0.0.1:2/\n", "url",
		  "given twice" },
	};
	g_autofree char *valid = write_file(VALID_SETTINGS);
	struct conf_error err = { 0 };
	struct conf_settings *s = conf_settings_load(valid, &err);

	g_assert_nonnull(s);
	g_assert_cmpint(s->shutdown_delay, ==, USEC_PER_SEC);
	conf_settings_free(s);
	g_unlink(valid);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strconcat(VALID_SETTINGS, cases[i].extra, NULL);
		g_autofree char *path = write_file(text);

		g_test_message("case %u", i);
		g_assert_null(conf_settings_load(path, &err));
		g_assert_nonnull(strstr(err.where, path));
		g_assert_nonnull(strstr(err.where, cases[i].where));
		g_assert_nonnull(strstr(err.message, cases[i].expected));
		g_unlink(path);
	}
	g_assert_null(conf_settings_load("/nonexistent", &err));
	g_assert_nonnull(strstr(err.where, "/nonexistent"));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/conf/parse-errors", test_parse_errors);
	g_test_add_func("/conf/parse-values", test_parse_values);
	g_test_add_func("/conf/merge-any-order", test_merge_any_order);
	g_test_add_func("/conf/merge-monotonic", test_merge_monotonic);
	g_test_add_func("/conf/check-edit", test_check_edit);
	g_test_add_func("/conf/last-upstream", test_last_upstream);
	g_test_add_func("/conf/merge3", test_merge3);
	g_test_add_func("/conf/settings-errors", test_settings_errors);
	return g_test_run();
}
