#include <stdio.h>

#include "loadgen/loadgen_run.h"

struct group {
	const char *name;
	struct loadgen_tally *tallies;
	uint32_t n;
};

#define N_GROUPS 3

static void list_groups(struct loadgen_run *r, struct group out[N_GROUPS])
{
	out[0] = (struct group){ "ranks", r->ranks, RANK_COUNT };
	out[1] = (struct group){ "kinds", r->kinds, r->o->mix.n_kinds };
	out[2] = (struct group){ "accounts", r->accounts, r->o->mix.n_accounts };
}

static void name_counts_json(GString *out, const char *title, GHashTable *t)
{
	GHashTableIter it;
	gpointer name;
	gpointer n;
	bool first = true;

	g_string_append_printf(out, ",\"%s\":{", title);
	g_hash_table_iter_init(&it, t);
	while (g_hash_table_iter_next(&it, &name, &n)) {
		g_string_append_printf(out, "%s\"%s\":%u", first ? "" : ",", (const char *)name,
				       GPOINTER_TO_UINT(n));
		first = false;
	}
	g_string_append_c(out, '}');
}

static void name_counts_text(GString *out, const char *title, GHashTable *t)
{
	GHashTableIter it;
	gpointer name;
	gpointer n;

	g_hash_table_iter_init(&it, t);
	while (g_hash_table_iter_next(&it, &name, &n))
		g_string_append_printf(out, "%s %s: %u\n", title, (const char *)name,
				       GPOINTER_TO_UINT(n));
}

static char *report_json(struct loadgen_run *r, bool failed, double seconds)
{
	GString *out = g_string_new(NULL);
	struct group groups[N_GROUPS];

	list_groups(r, groups);
	g_string_append_printf(out,
			       "{\"mix\":\"%s\",\"seed\":%" G_GUINT64_FORMAT
			       ",\"seconds\":%.3f,\"clean\":%s,\"counters_compared\":%s,"
			       "\"skipped\":%" G_GUINT64_FORMAT ",\"total\":",
			       r->o->mix.name, r->o->seed, seconds, failed ? "false" : "true",
			       r->o->services && !r->counters_failed ? "true" : "false",
			       r->n_skipped);
	loadgen_tally_json(&r->total, out);
	for (int g = 0; g < N_GROUPS; g++) {
		g_string_append_printf(out, ",\"%s\":[", groups[g].name);
		for (uint32_t i = 0; i < groups[g].n; i++) {
			if (i > 0)
				g_string_append_c(out, ',');
			loadgen_tally_json(&groups[g].tallies[i], out);
		}
		g_string_append_c(out, ']');
	}
	name_counts_json(out, "instances", r->instances);
	name_counts_json(out, "errors", r->errors);
	g_string_append(out, "}\n");
	return g_string_free(out, FALSE);
}

static void print_text(struct loadgen_run *r, bool failed, double seconds)
{
	GString *out = g_string_new(NULL);
	struct group groups[N_GROUPS];

	list_groups(r, groups);
	loadgen_tally_text(&r->total, out);
	for (int g = 0; g < N_GROUPS; g++) {
		for (uint32_t i = 0; i < groups[g].n; i++) {
			if (groups[g].tallies[i].counts[LOADGEN_N_SENT] > 0)
				loadgen_tally_text(&groups[g].tallies[i], out);
		}
	}
	name_counts_text(out, "responses of instance", r->instances);
	name_counts_text(out, "attempts ended by", r->errors);
	g_string_append_printf(out, "%.1f seconds, %.1f requests/s, %.1f tokens/s\n", seconds,
			       (double)r->total.counts[LOADGEN_N_OK] / seconds,
			       (double)r->total.counts[LOADGEN_N_TOKENS] / seconds);
	if (r->n_skipped > 0)
		g_string_append_printf(out,
				       "%" G_GUINT64_FORMAT " arrivals were dropped because all "
				       "chats were in flight; raise --chats\n",
				       r->n_skipped);
	if (r->counters_failed)
		g_string_append(out, "the services' counters were not compared\n");
	g_string_append(out, failed ? "FAILED\n" : "clean: nothing lost, duplicated or mixed up\n");
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
}

void loadgen_report(struct loadgen_run *r)
{
	bool failed = loadgen_tally_failed(&r->total) || r->counters_failed ||
		      r->total.counts[LOADGEN_N_OK] == 0;
	double seconds = (double)(g_get_monotonic_time() - r->started) / USEC_PER_SEC;
	g_autofree char *json = report_json(r, failed, seconds);
	g_autoptr(GError) error = NULL;

	print_text(r, failed, seconds);
	r->exit_code = failed ? 1 : 0;
	if (r->o->json && !g_file_set_contents(r->o->json, json, -1, &error)) {
		log_error("loadgen", "the report can't be written: %s", error->message);
		r->exit_code = 2;
	}
}
