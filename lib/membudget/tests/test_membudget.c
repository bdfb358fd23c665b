#include <errno.h>
#include <glib.h>

#include "membudget/membudget.h"

#define N    8
#define KIB  ((size_t)1024)
#define SEC  G_USEC_PER_SEC
#define BIG  (100 * KIB)
#define ADDR 7U

static struct membudget_hold holds[N];
static int yielded[N];
static int n_yielded;

static void on_yield(struct membudget_hold *h)
{
	yielded[n_yielded++] = (int)(h - holds);
	membudget_close(h);
}

static struct membudget *make(void)
{
	struct membudget_params p = {
		.limit = 400 * KIB, .reserve = 100 * KIB, .small = 32 * KIB, .stall = SEC
	};

	n_yielded = 0;
	return membudget_new(&p);
}

static void open_at(struct membudget *b, int i, enum membudget_kind k, uint64_t group, int64_t now)
{
	membudget_open(b, &holds[i], k, group, on_yield, now);
}

static void end(struct membudget *b, int n)
{
	for (int i = 0; i < n; i++)
		membudget_close(&holds[i]);
	membudget_free(b);
}

/* Guards against a body that grows on while one that has stopped keeps its memory. */
static void test_stopped_first(void)
{
	struct membudget *b = make();

	for (int i = 0; i < 4; i++)
		open_at(b, i, MEMBUDGET_BODY, (uint64_t)i, 0);
	g_assert_cmpint(membudget_charge(&holds[0], 2 * BIG, 2 * SEC), ==, 0);
	g_assert_cmpint(membudget_charge(&holds[1], BIG, SEC / 2), ==, 0);
	g_assert_cmpint(membudget_charge(&holds[2], BIG, 2 * SEC), ==, 0);
	g_assert_cmpint(n_yielded, ==, 1);
	g_assert_cmpint(yielded[0], ==, 1);
	end(b, 4);
}

/* Guards against ordinary small requests that are refused, or yield, because of large ones. */
static void test_reserve(void)
{
	struct membudget *b = make();

	for (int i = 0; i < 5; i++)
		open_at(b, i, MEMBUDGET_BODY, (uint64_t)i, 0);
	for (int i = 0; i < 3; i++)
		g_assert_cmpint(membudget_charge(&holds[i], BIG, 0), ==, 0);
	g_assert_cmpint(membudget_charge(&holds[3], 20 * KIB, 0), ==, 0);
	g_assert_cmpint(n_yielded, ==, 0);
	/* The small one keeps its memory although it has stopped. */
	g_assert_cmpint(membudget_charge(&holds[4], 33 * KIB, 5 * SEC), ==, 0);
	g_assert_cmpint(n_yielded, ==, 1);
	g_assert_cmpint(yielded[0], <, 3);
	end(b, 5);
}

/* Guards against a crowd from one address that drives out the one body of another address. */
static void test_many_before_one(void)
{
	struct membudget *b = make();

	open_at(b, 0, MEMBUDGET_BODY, 1, 0);
	open_at(b, 1, MEMBUDGET_BODY, ADDR, 0);
	open_at(b, 2, MEMBUDGET_BODY, ADDR, 0);
	g_assert_cmpint(membudget_charge(&holds[0], 120 * KIB, 0), ==, 0);
	g_assert_cmpint(membudget_charge(&holds[1], BIG, 0), ==, 0);
	g_assert_cmpint(membudget_charge(&holds[2], 50 * KIB, 0), ==, 0);
	g_assert_cmpint(membudget_charge(&holds[0], 50 * KIB, 0), ==, 0);
	g_assert_cmpint(n_yielded, ==, 1);
	g_assert_cmpint(yielded[0], ==, 1);
	end(b, 3);
}

/* Guards against a request that was passed on and is ended for the memory of others. */
static void test_requests_stay(void)
{
	struct membudget *b = make();

	for (int i = 0; i < 4; i++)
		open_at(b, i, MEMBUDGET_BODY, (uint64_t)i, 0);
	for (int i = 0; i < 3; i++) {
		g_assert_cmpint(membudget_charge(&holds[i], BIG, 0), ==, 0);
		membudget_set_kind(&holds[i], MEMBUDGET_REQUEST);
	}
	g_assert_cmpint(membudget_charge(&holds[3], BIG, 9 * SEC), ==, -ENOMEM);
	g_assert_cmpint(n_yielded, ==, 0);
	g_assert_cmpuint(holds[3].bytes, ==, 0);
	g_assert_false(membudget_fits(b, BIG));
	g_assert_true(membudget_fits(b, 20 * KIB));
	end(b, 4);
}

/* Guards against unread output that grows with the number of slow readers. */
static void test_output(void)
{
	struct membudget *b = make();
	struct membudget_stats s;

	open_at(b, 0, MEMBUDGET_OUTPUT, 0, 0);
	open_at(b, 1, MEMBUDGET_BODY, 1, 0);
	g_assert_cmpuint(membudget_output_limit(b, 256 * KIB), ==, 256 * KIB);
	g_assert_cmpint(membudget_set(&holds[0], 60 * KIB, 0), ==, 0);
	g_assert_cmpuint(membudget_output_limit(b, 256 * KIB), ==, 16 * KIB);
	g_assert_cmpint(membudget_set(&holds[0], 10 * KIB, 0), ==, 0);
	g_assert_cmpuint(membudget_output_limit(b, 256 * KIB), ==, 256 * KIB);
	membudget_stats(b, &s);
	g_assert_cmpuint(s.held[MEMBUDGET_OUTPUT], ==, 10 * KIB);
	end(b, 2);
}

/* Guards against array growth that doubles unseen, and memory for bytes that never come. */
static void test_step(void)
{
	g_assert_cmpuint(membudget_step(1, 0), ==, KIB);
	g_assert_cmpuint(membudget_step(1, 300), ==, 300);
	g_assert_cmpuint(membudget_step(3000, 0), ==, 4 * KIB);
	g_assert_cmpuint(membudget_step(65 * KIB, 0), ==, 128 * KIB);
	g_assert_cmpuint(membudget_step(65 * KIB, 4096 * KIB), ==, 128 * KIB);
	g_assert_cmpuint(membudget_step(4095 * KIB, 4096 * KIB), ==, 4096 * KIB);
}

/* Guards against one upstream that gets requests for the whole budget and reads none of them. */
static void test_share(void)
{
	struct membudget_params p;

	membudget_params_for(3 * 1600 * KIB, &p);
	g_assert_cmpuint(p.share, ==, 400 * KIB);
	g_assert_true(membudget_share_fits(&p, 0, 1000 * KIB));
	g_assert_true(membudget_share_fits(&p, 200 * KIB, 100 * KIB));
	g_assert_false(membudget_share_fits(&p, 200 * KIB, 101 * KIB));
	/* Small bodies have a reserve. */
	g_assert_true(membudget_share_fits(&p, 380 * KIB, 20 * KIB));
	g_assert_false(membudget_share_fits(&p, 380 * KIB, 21 * KIB));
	g_assert_false(membudget_share_fits(&p, 1000 * KIB, 1));
	p = (struct membudget_params){ 0 };
	g_assert_true(membudget_share_fits(&p, 1000 * KIB, 1000 * KIB));
}

/* Guards against a large body that is refused while slow small ones use more than their reserve. */
static void test_small_over(void)
{
	struct membudget_params p = { .limit = 400 * KIB,
				      .reserve = 50 * KIB,
				      .small = 32 * KIB,
				      .slow = SEC,
				      .stall = SEC };
	struct membudget *b = membudget_new(&p);
	int64_t now = 2 * SEC;

	n_yielded = 0;
	for (int i = 0; i < 4; i++)
		open_at(b, i, MEMBUDGET_BODY, (uint64_t)i, 0);
	for (int i = 0; i < 2; i++) {
		g_assert_cmpint(membudget_charge(&holds[i], 30 * KIB, 0), ==, 0);
		membudget_touch(&holds[i], now);
	}
	/* Large ones, of which one grows. */
	g_assert_cmpint(membudget_charge(&holds[2], 240 * KIB, now), ==, 0);
	g_assert_cmpint(membudget_charge(&holds[3], 40 * KIB, now), ==, 0);
	g_assert_cmpint(membudget_charge(&holds[3], 40 * KIB, now), ==, 0);
	g_assert_cmpint(n_yielded, ==, 1);
	g_assert_cmpint(yielded[0], <, 2);
	/* What is left is inside the reserve, and stays. */
	g_assert_cmpint(membudget_charge(&holds[3], 40 * KIB, now), ==, 0);
	g_assert_cmpint(n_yielded, ==, 2);
	g_assert_cmpint(yielded[1], ==, 2);
	end(b, 4);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/membudget/stopped-first", test_stopped_first);
	g_test_add_func("/membudget/reserve", test_reserve);
	g_test_add_func("/membudget/many-before-one", test_many_before_one);
	g_test_add_func("/membudget/requests-stay", test_requests_stay);
	g_test_add_func("/membudget/output", test_output);
	g_test_add_func("/membudget/step", test_step);
	g_test_add_func("/membudget/share", test_share);
	g_test_add_func("/membudget/small-over", test_small_over);
	return g_test_run();
}
