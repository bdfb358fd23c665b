/* The router instance on the platform: the store returns from an older copy. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "base/base.h"
#include "site_case.h"
#include "site_store.h"

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

/* Guards against an older configuration at an instance that starts while the store has that one. */
static void test_start(void)
{
	struct site *s = start_site();
	struct site_instance *i = case_instance(s, 1);

	site_store_copy(s);
	add_route(s, "before");
	site_run_for(IN_FORCE_MS);
	site_instance_signal(i, SIGKILL);
	site_instance_wait_exit(i);
	restore(s);
	site_instance_start(i);
	site_wait_ready(s);
	site_run_for(1000);
	expect_at_all(s, "/before/x", 200);
	site_write_again(s);
	add_route(s, "after");
	site_run_for(IN_FORCE_MS);
	expect_at_all(s, "/after/x", 200);
	site_free(s);
}

/* Guards against a store reader that starts and takes a leaving replica of the copy for ready. */
static void test_start_draining(void)
{
	struct site *s = start_site();
	struct site_replica *r = case_replica(s, "shop-0");
	struct site_instance *i = case_instance(s, 0);

	site_store_copy(s);
	site_replica_set_state(r, "draining");
	site_run_for(IN_FORCE_MS);
	restore(s);
	site_run_for(300);
	site_instance_signal(i, SIGKILL);
	site_instance_wait_exit(i);
	site_instance_start(i);
	site_wait_ready(s);
	g_assert_cmpuint(reached(s, r, 20), ==, 0);
	site_free(s);
}

/* Guards against an instance that was stopped and passes on, or keeps, the state of before. */
static void test_stopped(void)
{
	struct site *s = start_site();
	struct site_replica *r = case_replica(s, "shop-0");

	for (guint k = 0; k < s->instances->len; k++) {
		struct site_instance *i = case_instance(s, k);

		site_store_copy(s);
		for (int n = 0; n < 4; n++)
			site_publish(s);
		site_replica_set_state(r, "draining");
		site_run_for(1000);
		site_instance_signal(i, SIGSTOP);
		restore(s);
		site_write_again(s);
		site_publish(s);
		site_run_for(1000);
		site_instance_signal(i, SIGCONT);
		site_run_for(IN_FORCE_MS);
		g_assert_cmpuint(reached(s, r, 10), ==, 0);
		site_replica_set_state(r, "ready");
		site_run_for(IN_FORCE_MS);
		g_assert_cmpuint(reached(s, r, 20), >, 0);
	}
	site_free(s);
}

/* Guards against changes that are ignored after a second return while the first isn't settled. */
static void test_twice(void)
{
	struct site *s = start_site();
	struct site_replica *r = case_replica(s, "shop-0");

	site_store_copy(s);
	for (int n = 0; n < 6; n++)
		site_publish(s);
	for (int n = 0; n < 2; n++) {
		site_replica_set_state(r, n ? "draining" : "ready");
		add_route(s, n ? "second" : "first");
		site_run_for(700);
		restore(s);
		site_run_for(200);
	}
	site_write_again(s);
	add_route(s, "third");
	site_run_for(IN_FORCE_MS);
	expect_at_all(s, "/first/x", 200);
	expect_at_all(s, "/second/x", 200);
	expect_at_all(s, "/third/x", 200);
	g_assert_cmpuint(reached(s, r, 20), ==, 0);
	site_free(s);
}

/* Guards against a replica that isn't used because the copy was kept before it registered. */
static void test_missing_replica(void)
{
	struct site *s = start_site();
	struct site_replica *r;

	for (int i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf("shop-%d", i);

		site_replica_set_state(case_replica(s, id), "draining");
	}
	site_store_copy(s);
	r = site_replica_add(s, "shop-new", "shop", "z-a");
	site_run_for(IN_FORCE_MS);
	g_assert_cmpuint(reached(s, r, 5), ==, 15);
	restore(s);
	site_run_for(1000);
	g_assert_cmpuint(reached(s, r, 5), ==, 15);
	site_write_again(s);
	for (int i = 0; i < 6; i++) {
		site_run_for(500);
		g_assert_cmpuint(reached(s, r, 5), ==, 15);
	}
	site_free(s);
}

/* Guards against an instance whose entry is lost, or that of an earlier process, for good. */
static void test_own_entry(void)
{
	struct site *s = start_site();
	struct site_instance *i;
	int64_t start;

	site_store_copy(s);
	i = site_instance_add(s, "z-a");
	site_wait_ready(s);
	site_run_for(IN_FORCE_MS);
	g_assert_nonnull(site_store_get(s->store, "turmerichinge-instances", i->name));
	restore(s);
	g_assert_null(site_store_get(s->store, "turmerichinge-instances", i->name));
	start = g_get_monotonic_time();
	while (!site_store_get(s->store, "turmerichinge-instances", i->name) &&
	       g_get_monotonic_time() - start < 4 * USEC_PER_SEC)
		site_run_for(50);
	g_assert_nonnull(site_store_get(s->store, "turmerichinge-instances", i->name));
	add_route(s, "after");
	site_run_for(IN_FORCE_MS);
	expect_at_all(s, "/after/x", 200);
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/restored/config", test_config);
	g_test_add_func("/restored/draining", test_draining);
	g_test_add_func("/restored/start", test_start);
	g_test_add_func("/restored/start-draining", test_start_draining);
	g_test_add_func("/restored/stopped", test_stopped);
	g_test_add_func("/restored/twice", test_twice);
	g_test_add_func("/restored/missing-replica", test_missing_replica);
	g_test_add_func("/restored/own-entry", test_own_entry);
	return g_test_run();
}
