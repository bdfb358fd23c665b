/*
 * The router instance on the platform: what replicas announce in their responses, that they are
 * leaving or that they want no requests for some time.
 */
#include <glib.h>
#include <string.h>

#include "base/base.h"
#include "site_case.h"

static uint32_t next_id;

/* Sends a request, whatever its outcome; returns the first replica of @service that got it. */
static struct site_replica *send_one(struct site *s, const char *path, const char *service)
{
	g_autofree char *id = g_strdup_printf("n-%u", next_id++);
	uint32_t before[16] = { 0 };

	for (guint i = 0; i < s->replicas->len; i++)
		before[i] = ((struct site_replica *)s->replicas->pdata[i])->requests;
	site_call_free(case_call(s, path, id, NULL));
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		if (r->requests > before[i] && strcmp(r->service, service) == 0)
			return r;
	}
	g_assert_not_reached();
}

/* Sends 40 requests, each of which has to succeed; returns how many @r got. */
static uint32_t reached(struct site *s, const char *path, const struct site_replica *r)
{
	uint32_t before = r->requests;

	for (int i = 0; i < 40; i++) {
		g_autofree char *id = g_strdup_printf("n-%u", next_id++);

		case_expect(s, path, id, 200, 1);
	}
	return r->requests - before;
}

/* Guards against requests to a replica after a response that says that it is leaving. */
static void test_leaving(void)
{
	struct site *s = case_site();
	struct site_replica *r = send_one(s, "/read/x", "shop");
	struct site_replica *chat = send_one(s, "/stream/x", "chat");

	r->leaving = true;
	g_assert_true(send_one(s, "/read/x", "shop") == r);
	g_assert_cmpuint(reached(s, "/read/x", r), ==, 0);
	/* An entry of the same process doesn't withdraw what it has said. */
	site_replica_remove(r);
	site_run_for(500);
	site_replica_set_state(r, "ready");
	site_run_for(500);
	g_assert_cmpuint(reached(s, "/read/x", r), ==, 0);
	chat->leaving = true;
	g_assert_true(send_one(s, "/stream/x", "chat") == chat);
	g_assert_cmpuint(reached(s, "/stream/x", chat), ==, 0);
	site_free(s);
}

/* Guards against a replica that gets no requests after its restart, as it was leaving before. */
static void test_leaving_restarted(void)
{
	struct site *s = case_site();
	struct site_replica *r = send_one(s, "/read/x", "shop");

	for (guint i = 0; i < s->replicas->len; i++)
		((struct site_replica *)s->replicas->pdata[i])->leaving = true;
	for (int i = 0; i < 3; i++)
		send_one(s, "/read/x", "shop");
	case_expect(s, "/read/x", "refused", 503, 0);
	r->leaving = false;
	r->born++;
	site_replica_set_state(r, "ready");
	site_run_for(500);
	g_assert_cmpuint(reached(s, "/read/x", r), ==, 40);
	site_free(s);
}

/* Guards against requests to a replica that says that it is leaving in an error or a refusal. */
static void test_leaving_by_failure(void)
{
	static const enum site_fault faults[] = { SITE_FAULT_ERROR, SITE_FAULT_SHED };

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct site *s = case_site();
		struct site_replica *r = send_one(s, "/read/x", "shop");

		r->leaving = true;
		r->fault = faults[i];
		r->faults_left = 1;
		g_assert_true(send_one(s, "/once/x", "shop") == r);
		g_assert_cmpuint(reached(s, "/read/x", r), ==, 0);
		site_free(s);
	}
}

/* Guards against requests that wait, or reach a replica, when all replicas are leaving. */
static void test_all_leaving(void)
{
	struct site *s = case_site();

	for (int i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf("shop-%d", i);

		case_replica(s, id)->leaving = true;
	}
	for (int i = 0; i < 3; i++)
		send_one(s, "/read/x", "shop");
	case_expect(s, "/read/x", "refused", 503, 0);
	case_expect(s, "/once/x", "refused-once", 503, 0);
	site_free(s);
}

static void shed_next(struct site_replica *r, const char *retry_after)
{
	r->fault = SITE_FAULT_SHED;
	r->faults_left = 1;
	r->retry_after = retry_after;
}

/* Guards against requests to a replica within the Retry-After of its refusal. */
static void test_retry_after(void)
{
	struct site *s = case_site();
	struct site_replica *r = send_one(s, "/read/x", "shop");
	uint32_t before;
	int64_t end;

	shed_next(r, "2.5");
	send_one(s, "/once/x", "shop");
	end = g_get_monotonic_time() + 2500 * USEC_PER_MSEC;
	g_assert_cmpuint(r->faults_left, ==, 0);
	before = r->requests;
	while (g_get_monotonic_time() < end - 500 * USEC_PER_MSEC) {
		g_autofree char *id = g_strdup_printf("n-%u", next_id++);

		case_expect(s, "/read/x", id, 200, 1);
		g_assert_cmpuint(r->requests, ==, before);
	}
	while (g_get_monotonic_time() < end)
		site_run_for(100);
	g_assert_cmpuint(reached(s, "/read/x", r), >, 0);
	site_free(s);
}

/* Guards against a hold-off by a Retry-After that is no number, or of a replica that ran. */
static void test_invalid_retry_after(void)
{
	static const char *const values[] = { "Fri, 31 Dec 2027 23:59:59 GMT", "-3", "nan", "" };
	struct site *s = case_site();
	struct site_replica *r = send_one(s, "/read/x", "shop");

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		shed_next(r, values[i]);
		g_assert_true(send_one(s, "/once/x", "shop") != NULL);
		g_assert_cmpuint(r->faults_left, ==, 0);
		g_assert_cmpuint(reached(s, "/read/x", r), >, 0);
	}
	site_free(s);
}

/* Guards against requests that wait for a replica, or come again too early, if all hold off. */
static void test_all_retry_after(void)
{
	struct site *s = case_site();
	struct site_call *c;
	int64_t start;

	for (int i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf("shop-%d", i);

		shed_next(case_replica(s, id), i == 1 ? "6" : "60");
	}
	for (int i = 0; i < 3; i++)
		site_call_free(case_call(s, "/read/x", "shed", NULL));
	start = g_get_monotonic_time();
	for (int i = 0; i < 20; i++) {
		g_autofree char *id = g_strdup_printf("held-%d", i);

		c = case_call(s, i % 2 ? "/once/x" : "/read/x", id, NULL);
		g_assert_cmpint(c->status, ==, 503);
		g_assert_nonnull(c->retry_after);
		g_assert_cmpfloat(g_ascii_strtod(c->retry_after, NULL), >, 1);
		g_assert_cmpfloat(g_ascii_strtod(c->retry_after, NULL), <=, 6.5);
		g_assert_cmpuint(case_runs(s, id), ==, 0);
		site_call_free(c);
	}
	/* None waited for its deadline, which is 4 s. */
	g_assert_cmpint(g_get_monotonic_time() - start, <, 4 * USEC_PER_SEC);
	while (g_get_monotonic_time() < start + 6 * USEC_PER_SEC)
		site_run_for(100);
	g_assert_cmpuint(reached(s, "/read/x", case_replica(s, "shop-1")), ==, 40);
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/notices/leaving", test_leaving);
	g_test_add_func("/notices/leaving-restarted", test_leaving_restarted);
	g_test_add_func("/notices/leaving-by-failure", test_leaving_by_failure);
	g_test_add_func("/notices/all-leaving", test_all_leaving);
	g_test_add_func("/notices/retry-after", test_retry_after);
	g_test_add_func("/notices/invalid-retry-after", test_invalid_retry_after);
	g_test_add_func("/notices/all-retry-after", test_all_retry_after);
	return g_test_run();
}
