#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "conf/conf.h"

#define ROUNDS	      20000
#define FILE_ROUNDS   400
#define MAX_MUTATIONS 6
#define SEED	      20260

static const char settings[] =
	"[instance]\nid=i\nfailure_domain=a\n[callers]\nlisten=127.0.0.1:1\n"
	"[operators]\nlisten=[::1]:2\ntoken=t\n[platform]\nurl=http://127.0.0.1:3/\n";

static const char *const corpus[] = {
	"rank=urgent\nwindow_ms=5000\nweight=2\nrepeatable=no\nfinish=yes\nmax_attempts=2\n",
	"service=yard\nhost=127.0.0.1\nport=7001\nfailure_domain=a\ncapacity=1.5\ndrain=no\n",
	"profiles=a,b,c\nload_bound=1.5\nqueue_bytes=1000000\nqueue_count=10\nmodel=m\n",
	"urgent=0.8\nnormal=0.15\nbatch=0.05\n",
	"key=k1\nweight=1e3\n# comment\nname[de]=x\n",
	settings,
	"[profile p]\nrank=batch\nwindow_ms=1\n[service s]\nprofiles=p\n",
};

static const char *const keys[] = { "profile/p", "upstream/u", "service/s", "ranks", "account/a" };

static const char *const fragments[] = {
	"=",	    "\n",  "[",	   "]",	   "#", "\\", ",",  "-1",    "1e9",	     "nan",
	"\xff\xfe", "\\s", "\r\n", "rank", " ", "0x", "\t", "[o]\n", "window_ms=1\n"
};

/* Returns a text of the corpus after random insertions, deletions, byte changes and appends. */
static char *mutate(struct rng *rng)
{
	GString *s = g_string_new(corpus[rng_below(rng, G_N_ELEMENTS(corpus))]);
	uint64_t n = rng_below(rng, MAX_MUTATIONS + 1);

	for (uint64_t i = 0; i < n && s->len > 0; i++) {
		gssize pos = (gssize)rng_below(rng, s->len);

		switch (rng_below(rng, 4)) {
		case 0:
			g_string_insert(s, pos, fragments[rng_below(rng, G_N_ELEMENTS(fragments))]);
			break;
		case 1:
			g_string_erase(s, pos, (gssize)rng_below(rng, s->len - (gsize)pos) + 1);
			break;
		case 2:
			s->str[pos] = (char)(rng_below(rng, 255) + 1);
			break;
		default:
			g_string_append(s, corpus[rng_below(rng, G_N_ELEMENTS(corpus))]);
			break;
		}
	}
	return g_string_free(s, FALSE);
}

/*
 * Guards against a text from the platform or a peer that crashes the parser, and against an invalid
 * text that conf_apply() accepts.
 */
static void test_objects(void)
{
	struct conf_store *s = conf_store_new();
	struct rng rng;
	uint64_t valid = 0;

	rng_seed(&rng, SEED);
	for (uint64_t i = 1; i <= ROUNDS; i++) {
		const char *key = keys[rng_below(&rng, G_N_ELEMENTS(keys))];
		g_autofree char *text = mutate(&rng);
		struct conf_error err = { 0 };
		int checked = conf_check_object(key, text, &err);
		int rc = conf_apply(s, key, i, text, NULL);

		g_assert_cmpint(rc == 1, ==, checked == 0);
		g_assert_cmpint(err.where[0] != '\0', ==, checked != 0);
		g_assert_cmpstr(conf_get(s, key)->text, ==, text);
		conf_check_edit(s, key, text, rng_below(&rng, 2), &err);
		valid += checked == 0;
	}
	/* If mutations left no text valid, only the parser's first checks would be tested. */
	g_assert_cmpuint(valid, >, ROUNDS / 100);
	conf_store_free(s);
}

/* Guards against a malformed key that passes the check and indexes the table of kinds. */
static void test_keys(void)
{
	struct rng rng;

	rng_seed(&rng, SEED);
	for (int i = 0; i < ROUNDS; i++) {
		g_autofree char *key = mutate(&rng);

		if (rng_below(&rng, 2))
			memcpy(key, "profile/", MIN(strlen(key), strlen("profile/")));
		conf_check_object(key, corpus[0], NULL);
	}
}

/* Guards against a merge of malformed texts that crashes or returns text that doesn't parse. */
static void test_merge3(void)
{
	struct rng rng;

	rng_seed(&rng, SEED);
	for (int i = 0; i < ROUNDS; i++) {
		g_autofree char *base = mutate(&rng);
		g_autofree char *mine = mutate(&rng);
		g_autofree char *theirs = mutate(&rng);
		struct conf_error err = { 0 };
		g_autofree char *out = conf_merge3(base, mine, theirs, &err);
		g_autofree char *again = out ? conf_merge3(out, out, out, NULL) : NULL;

		g_assert_true(out || err.where[0] != '\0');
		g_assert_cmpstr(again, ==, out);
	}
}

/* Guards against a settings or configuration file that crashes the daemon at start. */
static void test_files(void)
{
	g_autofree char *path = g_build_filename(g_get_tmp_dir(), "conf-XXXXXX", NULL);
	int fd = g_mkstemp(path);
	struct rng rng;

	g_assert_cmpint(fd, >=, 0);
	g_close(fd, NULL);
	rng_seed(&rng, SEED);
	for (int i = 0; i < FILE_ROUNDS; i++) {
		struct conf_store *s = conf_store_new();
		g_autofree char *text = mutate(&rng);
		struct conf_error err = { 0 };

		g_assert_true(g_file_set_contents(path, text, -1, NULL));
		conf_settings_free(conf_settings_load(path, &err));
		if (conf_load_file(s, path, 1, &err) == 0)
			conf_check_all(s, &err);
		conf_store_free(s);
	}
	g_unlink(path);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/conf-fuzz/objects", test_objects);
	g_test_add_func("/conf-fuzz/keys", test_keys);
	g_test_add_func("/conf-fuzz/merge3", test_merge3);
	g_test_add_func("/conf-fuzz/files", test_files);
	return g_test_run();
}
