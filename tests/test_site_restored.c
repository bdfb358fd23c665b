/* The router instance on the platform: the store returns from an older copy. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "base/base.h"
#include "site_case.h"

#define IN_FORCE_MS 2000U /* after which a change that the store acknowledged is in force */

static uint32_t next_id;

/* A deployment with three instances, one in each failure domain. */
static struct site *start_site(void)
{
	struct site *s = site_new();

	site_add_defaults(s);
	site_instance_add(s, "z-a");
	site_instance_add(s, "z-b");
	site_instance_add(s, "z-c");
	site_wait_ready(s);
	site_run_for(1500);
	return s;
}

/* Status of a request to the instance. */
static int status_at(const struct site_instance *i, const char *path)
{
	g_autofree char *headers = g_strdup_printf("X-Turmerichinge-Request-Id: r-%u\r\n"
						   "X-Turmerichinge-Deadline-Ms: 1500\r\n" AUTH,
						   next_id++);
	struct site_call *c = site_request(i, "GET", path, headers, NULL);
	int status = c->status;

	site_call_free(c);
	return status;
}

static void add_route(struct site *s, const char *name)
{
	site_route(s, name, "idempotent", "shop",
		   ",\"timeout_ms\":3000,\"goal_ms\":200,\"max_attempts\":2");
	site_publish(s);
}

static void expect_at_all(struct site *s, const char *path, int status)
{
	for (guint i = 0; i < s->instances->len; i++)
		g_assert_cmpint(status_at(case_instance(s, i), path), ==, status);
}

/* The store is away for a moment and returns as it was when the copy was kept. */
static void restore(struct site *s)
{
	site_store_mode(s, SITE_STORE_RESET);
	site_run_for(400);
	site_store_restore(s);
	site_store_mode(s, SITE_STORE_OK);
}

/* Guards against a change that is ignored as its revision was given out before the restore. */
static void test_config(void)
{
	struct site *s = start_site();

	site_store_copy(s);
	for (int i = 0; i < 6; i++)
		site_publish(s);
	add_route(s, "before");
	site_run_for(IN_FORCE_MS);
	expect_at_all(s, "/before/x", 200);
	restore(s);
	site_write_again(s);
	add_route(s, "after");
	site_run_for(IN_FORCE_MS);
	expect_at_all(s, "/after/x", 200);
	expect_at_all(s, "/before/x", 200);
	site_free(s);
}

/* Number of requests that @r got while each instance was sent @n. */
static uint32_t reached(struct site *s, const struct site_replica *r, uint32_t n)
{
	uint32_t before = r->requests;

	for (uint32_t k = 0; k < n; k++)
		expect_at_all(s, "/read/x", 200);
	return r->requests - before;
}

/* Guards against requests to a replica whose leaving has a revision given out before the restore. */
static void test_draining(void)
{
	struct site *s = start_site();
	struct site_replica *first = case_replica(s, "shop-0");
	struct site_replica *second = case_replica(s, "shop-1");

	site_store_copy(s);
	for (int i = 0; i < 6; i++)
		site_publish(s);
	site_replica_set_state(second, "draining");
	site_replica_set_state(second, "ready");
	site_replica_set_state(first, "draining");
	site_run_for(IN_FORCE_MS);
	g_assert_cmpuint(reached(s, first, 20), ==, 0);
	restore(s);
	/* The copy has the replica as ready. */
	site_run_for(300);
	g_assert_cmpuint(reached(s, first, 20), ==, 0);
	site_write_again(s);
	site_replica_set_state(second, "draining");
	site_run_for(IN_FORCE_MS);
	g_assert_cmpuint(reached(s, first, 20), ==, 0);
	g_assert_cmpuint(reached(s, second, 20), ==, 0);
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/restored/config", test_config);
	g_test_add_func("/restored/draining", test_draining);
	return g_test_run();
}
