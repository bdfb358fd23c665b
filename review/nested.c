/*
 * Driver of the case of the nested entry: nested RECORD. Another writer puts an entry among those of
 * the replicas, one field of which holds arrays nested 250,000 deep. Callers keep their connections
 * open and send one request after the other.
 */
#include <stdlib.h>
#include <string.h>

#include "kept.h"
#include "record.h"
#include "tests/site_store.h"

#define N_INSTANCES   3U
#define CALLERS	      8U /* to each instance */
#define N_KEPT	      (N_INSTANCES * CALLERS)
#define WORK_MS	      150U
#define CALM_US	      (4 * G_USEC_PER_SEC)
#define AFTER_US      (10 * G_USEC_PER_SEC)
#define RESTART_US    (300 * 1000) /* a process that has ended is restarted after a short delay */
#define NESTED_ARRAYS 250000U /* 500 KB; value_bytes is 1 MB */
#define CUT_MAX	      3U /* that the rule allows a machine */

struct run {
	struct site *site;
	struct kept kept[N_KEPT];
	gint64 ended_at[N_INSTANCES]; /* 0: running */
	guint cut[N_INSTANCES]; /* requests passed on, whose kept connection closed unanswered */
	guint n_sent;
	guint served;
	guint served_late; /* in the last five seconds */
	guint exits;
};

static char *nested_spec(void)
{
	GString *s = g_string_new("{\"service\":\"shop\",\"addr\":\"127.0.0.1:9\",\"slots\":");

	for (guint i = 0; i < NESTED_ARRAYS; i++)
		g_string_append_c(s, '[');
	for (guint i = 0; i < NESTED_ARRAYS; i++)
		g_string_append_c(s, ']');
	g_string_append_c(s, '}');
	return g_string_free(s, FALSE);
}

/* Like the platform: restarts a process that has ended. */
static void watch_instance(struct run *r, guint i)
{
	struct site_instance *n = case_instance(r->site, i);
	gint64 now = g_get_monotonic_time();

	if (g_subprocess_get_identifier(n->process))
		return;
	if (!r->ended_at[i]) {
		r->ended_at[i] = now;
		r->exits++;
		record_line("%s has ended by itself, signal %d", n->name,
			    g_subprocess_get_if_signaled(n->process)
				    ? g_subprocess_get_term_sig(n->process)
				    : 0);
	} else if (now - r->ended_at[i] >= RESTART_US) {
		r->ended_at[i] = 0;
		site_instance_start(n);
	}
}

static void note_cut(struct run *r, guint at)
{
	const struct kept *k = &r->kept[at];

	/* A kept connection has carried a request before; a replica has run this one. */
	if (!k->served || !case_runs(r->site, k->id))
		return;
	r->cut[at / CALLERS]++;
	record_line("%s of %s: passed on and run, its kept connection closed without an answer",
		    k->id, k->instance->name);
}

static void drive_caller(struct run *r, guint at, bool counts)
{
	struct kept *k = &r->kept[at];
	char id[32];

	if (k->cut) {
		note_cut(r, at);
		k->cut = false;
	}
	if (!k->conn) {
		kept_open(k, case_instance(r->site, at / CALLERS));
		return;
	}
	if (k->busy)
		return;
	if (k->status == 200) {
		r->served++;
		r->served_late += counts;
	}
	g_snprintf(id, sizeof(id), "once-%u", r->n_sent++);
	kept_send(k, "/once/x", id, "");
}

static void run_for(struct run *r, gint64 us, bool counts)
{
	gint64 end = g_get_monotonic_time() + us;

	while (g_get_monotonic_time() < end) {
		for (guint i = 0; i < N_KEPT; i++)
			drive_caller(r, i, counts);
		for (guint i = 0; i < N_INSTANCES; i++)
			watch_instance(r, i);
		site_run_for(5);
	}
}

static bool is_broken(const struct run *r)
{
	bool broken = false;

	for (guint i = 0; i < N_INSTANCES; i++) {
		record_line("%s: %u requests passed on from kept connections and not answered (%u "
			    "are allowed)",
			    case_instance(r->site, i)->name, r->cut[i], CUT_MAX);
		broken |= r->cut[i] > CUT_MAX;
	}
	return broken;
}

int main(int argc, char **argv)
{
	static struct run run;
	struct run *r = &run;
	static const char *const domains[N_INSTANCES] = { "z-a", "z-b", "z-c" };
	bool broken;

	if (argc != 2 || !record_open(argv[1]))
		return NOT_RUN;
	r->site = site_new();
	site_add_defaults(r->site);
	for (guint i = 0; i < r->site->replicas->len; i++)
		((struct site_replica *)r->site->replicas->pdata[i])->work_ms = WORK_MS;
	for (guint i = 0; i < N_INSTANCES; i++)
		site_instance_add(r->site, domains[i]);
	site_wait_ready(r->site);
	record_line("%u instances are ready", N_INSTANCES);
	run_for(r, CALM_US, false);
	record_line("%u requests served", r->served);
	if (has_trouble()) {
		g_autofree char *spec = nested_spec();

		site_store_put(r->site->store, "servers", "other-writer-1", spec);
		record_line("another writer has put servers/other-writer-1 of %zu bytes: %.70s...",
			    strlen(spec), spec);
	}
	run_for(r, AFTER_US / 2, false);
	run_for(r, AFTER_US / 2, true);
	record_line("processes that ended by themselves: %u; requests served in the last %d s: %u",
		    r->exits, (int)(AFTER_US / 2 / G_USEC_PER_SEC), r->served_late);
	broken = is_broken(r);
	for (guint i = 0; i < N_KEPT; i++)
		kept_close(&r->kept[i]);
	site_free(r->site);
	return record_verdict("LOST", broken);
}
