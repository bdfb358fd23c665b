#include "bench.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static struct bench_scenario *scenarios; /* sorted by name */
static const char *current_scenario;
static gboolean hide_observed;

void bench_register(struct bench_scenario *s)
{
	struct bench_scenario **link = &scenarios;

	while (*link && strcmp((*link)->name, s->name) < 0)
		link = &(*link)->next;
	s->next = *link;
	*link = s;
}

void bench_print(const char *metric, double value)
{
	printf("%s.%s %.6g\n", current_scenario, metric, value);
}

void bench_observed(const char *metric, double value)
{
	if (!hide_observed)
		printf("%s.%s %.6g observed\n", current_scenario, metric, value);
}

static void list_scenarios(void)
{
	for (const struct bench_scenario *s = scenarios; s; s = s->next)
		printf("%-32s %s\n", s->name, s->help);
}

static int run_scenarios(const char *prefix, uint64_t seed)
{
	int n = 0;

	for (const struct bench_scenario *s = scenarios; s; s = s->next) {
		if (prefix && !g_str_has_prefix(s->name, prefix))
			continue;
		current_scenario = s->name;
		s->run(seed);
		fflush(stdout);
		n++;
	}
	return n;
}

int main(int argc, char **argv)
{
	g_autoptr(GOptionContext) context =
		g_option_context_new("- measures policies in virtual time");
	g_autoptr(GError) error = NULL;
	g_autofree char *prefix = NULL;
	gint64 seed = 1;
	gboolean list = FALSE;
	GOptionEntry entries[] = {
		{ "scenario", 's', 0, G_OPTION_ARG_STRING, &prefix,
		  "Run scenarios with this prefix", "NAME" },
		{ "seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed of all random choices", "N" },
		{ "list", 'l', 0, G_OPTION_ARG_NONE, &list, "List the scenarios", NULL },
		{ "stable", 0, 0, G_OPTION_ARG_NONE, &hide_observed,
		  "Leave out figures that depend on the machine's speed", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "bench: %s\n", error->message);
		return 2;
	}
	if (list) {
		list_scenarios();
		return 0;
	}
	if (run_scenarios(prefix, (uint64_t)seed) == 0) {
		fprintf(stderr, "bench: no scenario has the prefix \"%s\"\n", prefix ? prefix : "");
		return 2;
	}
	return 0;
}
