/* Which software version began a stream. */
#include <glib.h>

#include "base/base.h"
#include "relay/origins.h"

#define SEC USEC_PER_SEC

static uint64_t only(const struct origins *o, int64_t now)
{
	return origins_only_build(o, "chat", now);
}

/* An instance that has seen build @build for longer than a stream lasts; returns the time. */
static int64_t start(struct origins *o, const char *build)
{
	int64_t now = 1000 * SEC;

	origins_listed(o, "chat", build, now);
	origins_start(o, now);
	for (int i = 0; i < 40; i++)
		origins_listed(o, "chat", build, now += SEC);
	return now;
}

/* Guards against streams that are refused although their service has a single build. */
static void test_single(void)
{
	struct origins *o = origins_new();
	int64_t now = start(o, "v1");

	g_assert_cmpuint(only(o, now), ==, hash_str("v1"));
	g_assert_cmpuint(origins_find(o, "chat", 7, now), ==, hash_str("v1"));
	g_assert_cmpuint(origins_only_build(o, "other", now), ==, 0);
	origins_free(o);
}

/* Guards against an unknown stream that goes on at either build, also when the old one has gone. */
static void test_several(void)
{
	struct origins *o = origins_new();
	int64_t now = start(o, "v1");

	origins_listed(o, "chat", "v2", now);
	g_assert_cmpuint(origins_find(o, "chat", 7, now), ==, 0);
	origins_add(o, 7, hash_str("v1"), now);
	g_assert_cmpuint(origins_find(o, "chat", 7, now), ==, hash_str("v1"));
	/* Only v2 is listed from now on. */
	for (int i = 0; i < 29; i++)
		origins_listed(o, "chat", "v2", now += SEC);
	g_assert_cmpuint(only(o, now), ==, 0);
	g_assert_cmpuint(origins_find(o, "chat", 7, now), ==, hash_str("v1"));
	for (int i = 0; i < 2; i++)
		origins_listed(o, "chat", "v2", now += SEC);
	g_assert_cmpuint(only(o, now), ==, hash_str("v2"));
	origins_free(o);
}

/* Guards against an instance that starts and takes the builds listed then for all there were. */
static void test_start(void)
{
	struct origin_build one[] = { { "chat", "v1" } };
	struct origin_build two[] = { { "chat", "v1" }, { "chat", "v2" } };
	struct origin_build list[8];
	struct origins *o = origins_new();
	int64_t now = 1000 * SEC;

	origins_listed(o, "chat", "v2", now);
	origins_start(o, now);
	/* Nothing is recorded: the first start of all. */
	g_assert_cmpuint(only(o, now), ==, hash_str("v2"));
	/* The servers of the other build have just left. */
	origins_set_records(o, one, 1);
	g_assert_cmpuint(only(o, now), ==, 0);
	origins_set_records(o, two, 2);
	g_assert_cmpuint(only(o, now), ==, 0);
	g_assert_cmpuint(origins_list_builds(o, now, list, 8), ==, 2);
	g_assert_cmpstr(list[0].build, ==, "v1");
	g_assert_cmpstr(list[1].build, ==, "v2");
	origins_set_records(o, two + 1, 1);
	g_assert_cmpuint(only(o, now), ==, hash_str("v2"));
	/* A record of others that is out of date doesn't count against own knowledge. */
	origins_set_records(o, two, 2);
	for (int i = 0; i < 31; i++)
		origins_listed(o, "chat", "v2", now += SEC);
	g_assert_cmpuint(only(o, now), ==, hash_str("v2"));
	g_assert_cmpuint(origins_list_builds(o, now, list, 8), ==, 1);
	origins_free(o);
}

/* Guards against streams that other instances don't hear of, and against reports for nothing. */
static void test_collect(void)
{
	struct origins *o = origins_new();
	int64_t now = start(o, "v1");
	struct origin list[8];

	origins_begin(o, "chat", 1, hash_str("v1"), now);
	origins_begin(o, "chat", 2, hash_str("v1"), now + 1);
	origins_add(o, 3, hash_str("v1"), now + 2);
	g_assert_cmpuint(origins_collect(o, now, list, 8), ==, 0);
	origins_listed(o, "chat", "v2", now + 3);
	g_assert_cmpuint(origins_collect(o, now + 3, list, 1), ==, 1);
	g_assert_cmpuint(list[0].id_hash, ==, 2);
	g_assert_cmpuint(origins_collect(o, now + 3, list, 8), ==, 1);
	g_assert_cmpuint(list[0].id_hash, ==, 1);
	g_assert_cmpuint(list[0].build_hash, ==, hash_str("v1"));
	g_assert_cmpuint(origins_collect(o, now + 3, list, 8), ==, 0);
	origins_free(o);
}

/*
 * Guards against reports of streams that have ended, which delay those of streams in progress when a
 * second build is listed: an instance that outlives the others didn't know them.
 */
static void test_ended(void)
{
	struct origins *o = origins_new();
	int64_t now = start(o, "v1");
	struct origin list[8];

	origins_begin(o, "chat", 1, hash_str("v1"), now);
	origins_begin(o, "chat", 2, hash_str("v1"), now);
	origins_end(o, 2);
	origins_end(o, 3);
	origins_listed(o, "chat", "v2", now);
	g_assert_cmpuint(origins_collect(o, now, list, 8), ==, 1);
	g_assert_cmpuint(list[0].id_hash, ==, 1);
	g_assert_cmpuint(origins_find(o, "chat", 2, now), ==, hash_str("v1"));
	origins_free(o);
}

/* Guards against a table that grows without bound, and against streams that it forgets too soon. */
static void test_bounded(void)
{
	struct origins *o = origins_new();
	int64_t now = start(o, "v1");

	origins_listed(o, "chat", "v2", now);
	for (uint64_t i = 1; i <= 100000; i++)
		origins_add(o, i, 5, now);
	g_assert_cmpuint(origins_find(o, "chat", 100000, now), ==, 5);
	g_assert_cmpuint(origins_find(o, "chat", 1, now), ==, 0);
	for (int i = 0; i < 300; i++) {
		g_autofree char *name = g_strdup_printf("b%d", i);

		origins_listed(o, "many", name, now);
	}
	origins_free(o);
}

/* Guards against builds that are overlooked once a process has seen many releases. */
static void test_many_releases(void)
{
	struct origins *o = origins_new();
	int64_t now = start(o, "v0");

	for (int i = 1; i <= 400; i++) {
		g_autofree char *name = g_strdup_printf("v%d", i);

		now += 100 * SEC;
		origins_listed(o, "chat", name, now);
		g_assert_cmpuint(only(o, now), ==, hash_str(name));
	}
	origins_listed(o, "chat", "next", now);
	g_assert_cmpuint(only(o, now), ==, 0);
	origins_free(o);
}

/* Guards against a stream that goes on at a wrong build while there are more than can be kept. */
static void test_too_many_builds(void)
{
	struct origins *o = origins_new();
	int64_t now = start(o, "v1");

	for (int i = 0; i < 300; i++) {
		g_autofree char *name = g_strdup_printf("b%d", i);

		origins_listed(o, "many", name, now);
	}
	origins_listed(o, "chat", "v2", now);
	g_assert_cmpuint(only(o, now), ==, 0);
	origins_free(o);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/origins/single", test_single);
	g_test_add_func("/origins/several", test_several);
	g_test_add_func("/origins/start", test_start);
	g_test_add_func("/origins/collect", test_collect);
	g_test_add_func("/origins/ended", test_ended);
	g_test_add_func("/origins/bounded", test_bounded);
	g_test_add_func("/origins/many-releases", test_many_releases);
	g_test_add_func("/origins/too-many-builds", test_too_many_builds);
	return g_test_run();
}
