#include <glib.h>

#include "catalog/catalog.h"

static struct cat_route *add_route(struct cat_config *c, const char *name, const char *host,
				   const char *prefix)
{
	struct cat_route *r = cat_route_new();

	r->name = g_strdup(name);
	r->host = g_strdup(host);
	r->prefix = g_strdup(prefix);
	g_ptr_array_add(c->routes, r);
	return r;
}

static const char *route_name(const struct cat_config *c, const char *host, const char *path)
{
	const struct cat_route *r = cat_config_find_route(c, host, path);

	return r ? r->name : "none";
}

/* Guards against matching another host, a shorter prefix, or a part of a path segment. */
static void test_longest_prefix(void)
{
	struct cat_config *c = cat_config_new(1);

	add_route(c, "short", "a.example", "/x/");
	add_route(c, "long", "a.example", "/x/y/");
	add_route(c, "other", "b.example", "/x/y/z/");
	cat_config_seal(c);
	g_assert_cmpstr(route_name(c, "a.example", "/x/y/z"), ==, "long");
	g_assert_cmpstr(route_name(c, "A.Example:8080", "/x/z"), ==, "short");
	g_assert_cmpstr(route_name(c, "a.example", "/x"), ==, "none");
	g_assert_cmpstr(route_name(c, "a.example", "/xy/"), ==, "none");
	g_assert_cmpstr(route_name(c, "c.example", "/x/"), ==, "none");
	g_assert_cmpstr(route_name(c, NULL, "/x/"), ==, "none");
	cat_config_unref(c);
}

/* Guards against ignoring the weights, and against moving more chats than a change requires. */
static void test_split_by_weight(void)
{
	struct cat_config *c = cat_config_new(1);
	struct cat_route *before = add_route(c, "a", "h", "/a/");
	struct cat_route *after = add_route(c, "b", "h", "/b/");
	struct cat_route *none = add_route(c, "c", "h", "/c/");
	int first = 0; /* keys of service "one" */
	int back = 0; /* keys that move to "one" */

	cat_route_add_backend(before, "one", 90);
	cat_route_add_backend(before, "two", 10);
	cat_route_add_backend(after, "one", 80);
	cat_route_add_backend(after, "two", 20);
	cat_route_add_backend(none, "one", 0);
	for (uint64_t k = 0; k < 10000; k++) {
		bool one = g_str_equal(cat_route_pick_service(before, k), "one");

		first += one;
		/* No key may move to "one" when the weight of "one" drops. */
		back += !one && g_str_equal(cat_route_pick_service(after, k), "one");
	}
	g_assert_cmpint(first, >, 8800);
	g_assert_cmpint(first, <, 9200);
	g_assert_cmpint(back, ==, 0);
	g_assert_null(cat_route_pick_service(none, 1));
	cat_config_unref(c);
}

/* Guards against replacing a configuration by an older one, whichever source it comes from. */
static void test_no_older_version(void)
{
	struct cat_config *old = cat_config_new(4);
	struct cat_config *new = cat_config_new(9);

	g_assert_true(cat_config_replaces(NULL, old));
	g_assert_true(cat_config_replaces(old, new));
	g_assert_false(cat_config_replaces(new, old));
	g_assert_false(cat_config_replaces(new, new));
	cat_config_unref(old);
	cat_config_unref(new);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/catalog/longest-prefix", test_longest_prefix);
	g_test_add_func("/catalog/split", test_split_by_weight);
	g_test_add_func("/catalog/versions-rise", test_no_older_version);
	return g_test_run();
}
