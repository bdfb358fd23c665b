/*
 * Runs the fault soak from the command line: soak [--seed N] [--runs N] [--seconds N]
 * [--instances N] [--callers N] [--verbose]. Prints a line for each seed, and keeps the logs of a
 * seed that violated a guarantee.
 */
#include <glib.h>
#include <stdio.h>

#include "soak.h"

int main(int argc, char **argv)
{
	g_autoptr(GOptionContext) context = g_option_context_new("- randomized fault soak");
	g_autoptr(GError) error = NULL;
	gint64 seed = 1;
	gint runs = 1;
	gint seconds = 15;
	gint instances = 3;
	gint callers = 12;
	gboolean verbose = FALSE;
	int failed = 0;
	GOptionEntry entries[] = {
		{ "seed", 0, 0, G_OPTION_ARG_INT64, &seed, "First seed", "N" },
		{ "runs", 0, 0, G_OPTION_ARG_INT, &runs, "Number of seeds", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "Time with faults, in seconds",
		  "N" },
		{ "instances", 0, 0, G_OPTION_ARG_INT, &instances, "Instances", "N" },
		{ "callers", 0, 0, G_OPTION_ARG_INT, &callers, "Concurrent requests", "N" },
		{ "verbose", 0, 0, G_OPTION_ARG_NONE, &verbose, "Print each fault", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "soak: %s\n", error->message);
		return 2;
	}
	for (gint i = 0; i < runs; i++) {
		struct soak_params p = { (uint64_t)(seed + i), (uint32_t)seconds,
					 (uint32_t)instances, (uint32_t)callers, verbose };
		struct soak_result r;

		soak_run(&p, &r);
		printf("seed %" G_GINT64_FORMAT ": %u requests, %u served, %u refused, %u failed, "
		       "%u faults: %s%s%s\n",
		       seed + i, r.requests, r.served, r.refused, r.failed, r.faults,
		       r.violation[0] ? "BROKEN " : "kept", r.violation, r.dir ? r.dir : "");
		fflush(stdout);
		failed += r.violation[0] != '\0';
		g_free(r.dir);
	}
	return failed ? 1 : 0;
}
