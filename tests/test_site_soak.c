/* Short runs of the fault soak, and the seeds that failed once. */
#include <glib.h>

#include "soak.h"

/* Seeds that reported a violation once, with the cause. */
static const struct {
	uint64_t seed;
	const char *cause;
} failed_seeds[] = {
	{ 108, "the check mistook a replica's plain early response for a truncated stream" },
	{ 113, "the same" },
};

static void run_seed(gconstpointer arg)
{
	/* 6 s with faults, 3 instances, 8 callers. */
	struct soak_params p = { GPOINTER_TO_UINT(arg), 6, 3, 8, false };
	struct soak_result r;

	soak_run(&p, &r);
	g_test_message("%u requests, %u served, %u refused, %u failed, %u faults", r.requests,
		       r.served, r.refused, r.failed, r.faults);
	g_assert_cmpstr(r.violation, ==, "");
	/* A run without requests or faults checks nothing. */
	g_assert_cmpuint(r.served, >, 0);
	g_assert_cmpuint(r.faults, >, 5);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/soak/short-1", GUINT_TO_POINTER(1), run_seed);
	g_test_add_data_func("/soak/short-2", GUINT_TO_POINTER(2), run_seed);
	g_test_add_data_func("/soak/floods-600", GUINT_TO_POINTER(600), run_seed);
	g_test_add_data_func("/soak/planned-1001", GUINT_TO_POINTER(1001), run_seed);
	g_test_add_data_func("/soak/machines-1002", GUINT_TO_POINTER(1002), run_seed);
	g_test_add_data_func("/soak/restored-1420", GUINT_TO_POINTER(1420), run_seed);
	for (guint i = 0; i < G_N_ELEMENTS(failed_seeds); i++) {
		g_autofree char *name =
			g_strdup_printf("/soak/failed-%u", (unsigned int)failed_seeds[i].seed);

		if (failed_seeds[i].seed)
			g_test_add_data_func(name, GUINT_TO_POINTER(failed_seeds[i].seed),
					     run_seed);
	}
	return g_test_run();
}
