#include <glib.h>
#include <stdio.h>

#include "base/base.h"
#include "member/member.h"

#define S USEC_PER_SEC
#define N 6U

static struct member *make(tab_handle *h, uint32_t n)
{
	struct member *m = member_new(&(struct member_params){
		.seed = 1, .eject_fraction = 1.0 / 3, .slow_start = 10 * S });

	for (uint32_t i = 0; i < n; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "e%u", i);
		h[i] = member_set(m, &(struct member_info){ id, "pool", "d0", 1 }, S);
	}
	return m;
}

static enum member_state state(const struct member *m, tab_handle h)
{
	return member_get(m, h)->state;
}

static uint32_t usable(const struct member *m)
{
	tab_handle out[64];

	return member_usable(m, "pool", out, 64);
}

static void results(struct member *m, tab_handle h, enum member_result r, int n, int64_t now)
{
	for (int i = 0; i < n; i++)
		member_result(m, h, r, 1000, now);
}

/* Guards against requests to a failed upstream, and against ejection beyond its recovery. */
static void test_eject_return(void)
{
	tab_handle h[N];
	struct member *m = make(h, N);

	results(m, h[0], MEMBER_CONNECT_FAILED, 3, 2 * S);
	g_assert_cmpint(state(m, h[0]), ==, MEMBER_EJECTED);
	g_assert_cmpuint(usable(m), ==, N - 1);
	results(m, h[0], MEMBER_OK, 9, 4 * S);
	g_assert_cmpint(state(m, h[0]), ==, MEMBER_EJECTED);
	results(m, h[0], MEMBER_OK, 9, 6 * S);
	g_assert_cmpint(state(m, h[0]), ==, MEMBER_LIVE);
	g_assert_cmpfloat(member_get(m, h[0])->weight, <, 0.2);
	member_tick(m, 20 * S);
	g_assert_cmpfloat(member_get(m, h[0])->weight, ==, 1);
	member_free(m);
}

/* Guards against a flapping upstream that returns just as quickly each time. */
static void test_flap_damping(void)
{
	tab_handle h[N];
	struct member *m = make(h, N);
	int64_t out[5];
	int64_t now = 2 * S;

	for (int k = 0; k < 5; k++) {
		int64_t from = now;

		results(m, h[0], MEMBER_BROKEN, 3, now);
		g_assert_cmpint(state(m, h[0]), ==, MEMBER_EJECTED);
		while (state(m, h[0]) == MEMBER_EJECTED)
			results(m, h[0], MEMBER_OK, 4, now += S / 2);
		out[k] = now - from;
	}
	g_assert_cmpint(out[4], >, 6 * out[0]);
	member_free(m);
}

/* Guards against upstreams that get no requests anyway, but use up the ejections of the others. */
static void test_excluded(void)
{
	tab_handle h[N];
	struct member *m = make(h, N);

	/* Half of the service is excluded after two of them were ejected: one more may be. */
	results(m, h[0], MEMBER_CONNECT_FAILED, 3, 2 * S);
	results(m, h[1], MEMBER_CONNECT_FAILED, 3, 2 * S);
	for (uint32_t i = 0; i < N / 2; i++)
		member_set_excluded(m, h[i], true);
	results(m, h[3], MEMBER_CONNECT_FAILED, 3, 2 * S);
	results(m, h[4], MEMBER_CONNECT_FAILED, 3, 2 * S);
	g_assert_cmpint(state(m, h[3]), ==, MEMBER_EJECTED);
	/* A third of the three others. */
	g_assert_cmpint(state(m, h[4]), !=, MEMBER_EJECTED);
	member_free(m);
}

/* Guards against ejecting most of a service because of an overload or a wrong view. */
static void test_limit_and_fail_open(void)
{
	tab_handle h[N];
	struct member *m = make(h, N);
	uint32_t ejected = 0;

	for (uint32_t i = 0; i < N - 1; i++)
		results(m, h[i], MEMBER_TIMED_OUT, 5, 2 * S);
	for (uint32_t i = 0; i < N; i++)
		ejected += state(m, h[i]) == MEMBER_EJECTED;
	g_assert_cmpuint(ejected, ==, N / 3);
	g_assert_cmpuint(usable(m), ==, N - N / 3);
	/* All are unhealthy: all are used except the one drained by an operator. */
	results(m, h[N - 1], MEMBER_TIMED_OUT, 5, 2 * S);
	g_assert_cmpuint(usable(m), ==, N);
	member_set_drain(m, h[0], true, 7, 2 * S);
	g_assert_cmpuint(usable(m), ==, N - 1);
	/* An overloaded upstream is not unhealthy. */
	results(m, h[1], MEMBER_OVERLOADED, 50, 60 * S);
	member_tick(m, 60 * S);
	g_assert_cmpint(state(m, h[1]), ==, MEMBER_LIVE);
	member_free(m);
}

/* Guards against requests to unreachable upstreams beyond the ejection limit in a partition. */
static void test_unreachable_beyond_limit(void)
{
	tab_handle h[N];
	struct member *m = make(h, N);
	uint32_t full = 0;

	for (int64_t now = 2 * S; now < 6 * S; now += S / 2) {
		for (uint32_t i = 0; i < N; i++)
			results(m, h[i], i < 4 ? MEMBER_CONNECT_FAILED : MEMBER_OK, 1, now);
	}
	for (uint32_t i = 0; i < N; i++)
		full += state(m, h[i]) != MEMBER_EJECTED && member_get(m, h[i])->weight > 0.5;
	g_assert_cmpuint(full, ==, 2);
	member_free(m);
}

/*
 * Guards against ejecting replicas one after the other for application errors that occur on every
 * replica (incident inc-341a on kaardikoda-tartu), and against missing a failing one among them.
 */
static void test_application_errors(void)
{
	tab_handle h[N];
	struct member *m = make(h, 3);
	uint32_t ejections = 0;
	struct rng rng;

	rng_seed(&rng, 5);
	for (int64_t now = 2 * S; now < 600 * S; now += S / 4) {
		uint32_t at = (uint32_t)rng_below(&rng, 3);
		bool was_out = state(m, h[at]) == MEMBER_EJECTED;

		results(m, h[at], rng_unit(&rng) < 0.14 ? MEMBER_ERROR : MEMBER_OK, 1, now);
		ejections += !was_out && state(m, h[at]) == MEMBER_EJECTED;
	}
	g_assert_cmpuint(ejections, <=, 1);
	for (int64_t now = 600 * S; now < 610 * S; now += S / 4) {
		for (uint32_t i = 0; i < 3; i++) {
			double error_rate = i ? 0.14 : 0.6;

			results(m, h[i], rng_unit(&rng) < error_rate ? MEMBER_ERROR : MEMBER_OK, 1,
				now);
		}
		if (state(m, h[0]) == MEMBER_EJECTED)
			break;
	}
	g_assert_cmpint(state(m, h[0]), ==, MEMBER_EJECTED);
	member_free(m);
}

/* Guards against a path that fails half of the time, never three times in a row. */
static void test_partial_failure(void)
{
	tab_handle h[N];
	struct member *m = make(h, N);
	int64_t now = 2 * S;
	int n = 0;

	results(m, h[0], MEMBER_OK, 1, now);
	while (state(m, h[0]) != MEMBER_EJECTED && n < 100)
		member_result(m, h[0], n++ % 2 ? MEMBER_BROKEN : MEMBER_OK, 1000, now += S / 4);
	/* 100 requests/s over 9 instances and 10 engines are about one per second for each pair. */
	g_assert_cmpint(n, <=, 12);
	member_free(m);
}

/*
 * Guards against peers' views ejecting an upstream that this instance can reach, and against late
 * detection of one that fails in this failure domain only.
 */
static void test_peer_views(void)
{
	tab_handle h[N];
	struct member *m = make(h, N);

	member_set_epoch(m, h[0], 3, 2 * S);
	for (uint64_t peer = 1; peer < 20; peer++)
		member_peer_view(m, h[0], peer, MEMBER_EJECTED, 3, 2 * S);
	g_assert_cmpint(state(m, h[0]), ==, MEMBER_LIVE);
	/* The failing views raise the number of probers from two to four. */
	g_assert_true(member_probe_due(m, h[0], 3, 9 * S / 2) ||
		      member_probe_due(m, h[0], 3, 5 * S));
	results(m, h[0], MEMBER_CONNECT_FAILED, 2, 5 * S);
	g_assert_cmpint(state(m, h[0]), ==, MEMBER_EJECTED);
	/* A view of a previous epoch is dropped. */
	member_set_epoch(m, h[1], 3, 2 * S);
	member_peer_view(m, h[1], 1, MEMBER_EJECTED, 2, 5 * S);
	results(m, h[1], MEMBER_CONNECT_FAILED, 2, 5 * S);
	g_assert_cmpint(state(m, h[1]), ==, MEMBER_SUSPECT);
	member_free(m);
}

/* Guards against new requests to a leaving upstream if only peers report it as leaving. */
static void test_leaving_by_peers(void)
{
	tab_handle h[N];
	struct member *m = make(h, N);

	member_peer_view(m, h[2], 11, MEMBER_LEAVING, 0, 3 * S);
	member_peer_view(m, h[2], 12, MEMBER_LIVE, 0, 3 * S);
	g_assert_cmpuint(usable(m), ==, N - 1);
	/* It doesn't become an own state, or two instances would renew each other's view. */
	g_assert_cmpint(state(m, h[2]), !=, MEMBER_LEAVING);
	member_peer_view(m, h[2], 11, MEMBER_LIVE, 0, 5 * S);
	g_assert_cmpuint(usable(m), ==, N);
	/* The view of a peer that no longer renews it expires. */
	member_peer_view(m, h[2], 11, MEMBER_LEAVING, 0, 6 * S);
	member_tick(m, 70 * S);
	g_assert_cmpuint(usable(m), ==, N);
	member_free(m);
}

/* Guards against an older version overriding a newer one, and one source hiding the other. */
static void test_flag_versions(void)
{
	tab_handle h[N];
	struct member *m = make(h, N);
	struct rng r;
	uint64_t newest[2] = { 0 };
	bool value[2] = { false };

	rng_seed(&r, 9);
	for (int k = 0; k < 5000; k++) {
		uint64_t version = 1 + rng_below(&r, 1000);
		/* Equal versions have equal values. */
		bool leaving = hash_pair(version, 1) & 1;

		if (rng_below(&r, 2)) {
			member_set_drain(m, h[0], leaving, version, 2 * S);
			if (version >= newest[0]) {
				newest[0] = version;
				value[0] = leaving;
			}
		} else {
			member_set_list_state(m, h[0], leaving, version, 2 * S);
			if (version >= newest[1]) {
				newest[1] = version;
				value[1] = leaving;
			}
		}
		g_assert_cmpint(state(m, h[0]) == MEMBER_LEAVING, ==, value[0] || value[1]);
	}
	member_free(m);
}

/* Guards against a new upstream with full load at once, or joining indefinitely without probes. */
static void test_joining(void)
{
	tab_handle h[N];
	struct member *m = make(h, N);
	tab_handle late = member_set(m, &(struct member_info){ "late", "pool", "d0", 1 }, 30 * S);

	g_assert_cmpint(state(m, late), ==, MEMBER_JOINING);
	g_assert_cmpuint(usable(m), ==, N);
	member_tick(m, 33 * S);
	g_assert_cmpint(state(m, late), ==, MEMBER_LIVE);
	g_assert_cmpfloat(member_get(m, late)->weight, <, 0.5);
	/* Removed with requests in flight: the entry is kept for their results, then freed. */
	member_remove(m, late, 40 * S);
	g_assert_cmpuint(usable(m), ==, N);
	member_result(m, late, MEMBER_OK, 1000, 45 * S);
	g_assert_nonnull(member_get(m, late));
	member_tick(m, 56 * S);
	g_assert_null(member_get(m, late));
	g_assert_cmpuint(member_find(m, "late"), ==, 0);
	member_free(m);
}

/* Guards against all instances probing all upstreams, and against exceeding the probe rate. */
static void test_probe_division(void)
{
	tab_handle h[60];
	struct member *m = make(h, 60);
	uint32_t n = 0;

	for (int64_t now = 2 * S; now < 12 * S; now += S / 10) {
		for (uint32_t i = 0; i < 60; i++) {
			n += member_probe_due(m, h[i], 0, now);
			g_assert_false(member_probe_due(m, h[i], 2, now));
		}
	}
	g_assert_cmpuint(n, >, 150);
	/* The burst, and ten seconds at the maximum rate. */
	g_assert_cmpuint(n, <=, 20 + 10 * 20);
	member_free(m);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/member/excluded", test_excluded);
	g_test_add_func("/member/eject-return", test_eject_return);
	g_test_add_func("/member/flap-damping", test_flap_damping);
	g_test_add_func("/member/limit-and-fail-open", test_limit_and_fail_open);
	g_test_add_func("/member/lost-beyond-limit", test_unreachable_beyond_limit);
	g_test_add_func("/member/errors-of-all", test_application_errors);
	g_test_add_func("/member/partial-failure", test_partial_failure);
	g_test_add_func("/member/peer-views", test_peer_views);
	g_test_add_func("/member/leaving-by-peers", test_leaving_by_peers);
	g_test_add_func("/member/mark-versions", test_flag_versions);
	g_test_add_func("/member/joining", test_joining);
	g_test_add_func("/member/probe-division", test_probe_division);
	return g_test_run();
}
