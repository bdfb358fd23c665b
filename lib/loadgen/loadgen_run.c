#include "loadgen/loadgen_run.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#define TICK_MS			2
#define COUNTER_TIMEOUT_SECONDS 10

static uint32_t pick_account(struct loadgen_run *r)
{
	const struct loadgen_mix *m = &r->o->mix;
	double sum = 0;
	double at;

	for (uint32_t i = 0; i < m->n_accounts; i++)
		sum += m->accounts[i].share;
	at = rng_unit(&r->rng) * sum;
	for (uint32_t i = 0; i < m->n_accounts; i++) {
		at -= m->accounts[i].share;
		if (at < 0)
			return i;
	}
	return m->n_accounts - 1;
}

static uint32_t pick_kind(struct loadgen_run *r)
{
	const struct loadgen_mix *m = &r->o->mix;
	double sum = 0;
	double at;

	for (uint32_t i = 0; i < m->n_kinds; i++)
		sum += m->kinds[i].share;
	at = rng_unit(&r->rng) * sum;
	for (uint32_t i = 0; i < m->n_kinds; i++) {
		at -= m->kinds[i].share;
		if (at < 0)
			return i;
	}
	return m->n_kinds - 1;
}

/*
 * Returns a chat of @kind and @account whose pause is over; else an unused slot for a new chat;
 * else the slot of another chat that is not in flight, which a new chat replaces; else NULL.
 */
static struct loadgen_chat *pick_chat(struct loadgen_run *r, uint32_t kind, uint32_t account)
{
	struct loadgen_chat *chosen = NULL;
	struct loadgen_chat *waiting = NULL;
	int64_t now = g_get_monotonic_time();
	uint32_t first = (uint32_t)rng_below(&r->rng, r->o->chats);

	for (uint32_t i = 0; i < r->o->chats; i++) {
		struct loadgen_chat *c = &r->chats[(first + i) % r->o->chats];

		if (!c->key) {
			chosen = chosen ? chosen : c;
		} else if (!c->busy) {
			if (c->kind == kind && c->account == account && c->ready_at <= now)
				return c;
			waiting = waiting ? waiting : c;
		}
	}
	chosen = chosen ? chosen : waiting;
	if (!chosen)
		return NULL;
	g_clear_pointer(&chosen->key, g_free);
	chosen->kind = kind;
	chosen->account = account;
	return chosen;
}

static void start_arrival(struct loadgen_run *r)
{
	uint32_t kind = pick_kind(r);
	uint32_t account = pick_account(r);
	struct loadgen_chat *chat = NULL;

	if (!r->o->mix.kinds[kind].plain) {
		chat = pick_chat(r, kind, account);
		if (!chat) {
			r->n_skipped++;
			return;
		}
	}
	loadgen_job_start(r, kind, account, chat);
}

static void on_counters(void *arg, const struct loadgen_response *response)
{
	struct loadgen_run *r = arg;
	g_autoptr(JsonNode) root = response->body ? json_from_string(response->body, NULL) : NULL;
	g_autoptr(GList) names = NULL;
	JsonObject *o;

	if (response->status != 200 || !root || !JSON_NODE_HOLDS_OBJECT(root)) {
		log_error("loadgen", "the counters of a service can't be read: %s",
			  response->error ? response->error : "malformed response");
		r->counters_failed = true;
	} else {
		o = json_node_get_object(root);
		names = json_object_get_members(o);
		for (GList *l = names; l; l = l->next) {
			gint64 n = json_object_get_int_member_with_default(o, l->data, 0);
			gint64 before = GPOINTER_TO_INT(g_hash_table_lookup(r->runs, l->data));

			g_hash_table_replace(r->runs, g_strdup(l->data),
					     GINT_TO_POINTER((gint)(n + before)));
		}
	}
	if (--r->n_pending_counters == 0)
		g_main_loop_quit(r->loop);
}

static const struct loadgen_call_ops counter_ops = { NULL, on_counters };

static void check_key(struct loadgen_run *r, const struct loadgen_key_result *k)
{
	gint n = GPOINTER_TO_INT(g_hash_table_lookup(r->runs, k->key));

	if (n > 1)
		loadgen_count(r, k->kind, k->account, LOADGEN_N_DUPLICATED, 1);
	if (n > 0 && k->outcome == LOADGEN_OUTCOME_NOT_RUN)
		loadgen_count(r, k->kind, k->account, LOADGEN_N_FALSE_NOT_RUN, 1);
	if (n == 0 && k->outcome == LOADGEN_OUTCOME_RAN)
		loadgen_count(r, k->kind, k->account, LOADGEN_N_FALSE_RAN, 1);
}

static gboolean cancel_counters(gpointer arg)
{
	g_cancellable_cancel(arg);
	return G_SOURCE_REMOVE;
}

/* Compares how often each key ran at the services with the outcomes reported to callers. */
static void compare_counters(struct loadgen_run *r)
{
	g_autoptr(GCancellable) cancel = g_cancellable_new();
	guint timer;

	if (!r->o->services)
		return;
	for (guint i = 0; r->o->services[i]; i++) {
		g_autofree char *url = g_strdup_printf("http://%s/admin/runs", r->o->services[i]);

		if (loadgen_call(r->session, "GET", url, NULL, NULL, true, cancel, &counter_ops,
				 r) == 0)
			r->n_pending_counters++;
		else
			r->counters_failed = true;
	}
	timer = g_timeout_add_seconds(COUNTER_TIMEOUT_SECONDS, cancel_counters, cancel);
	if (r->n_pending_counters > 0)
		g_main_loop_run(r->loop);
	if (!g_cancellable_is_cancelled(cancel))
		g_source_remove(timer);
	/* If a service's counters are missing, a missing run proves nothing. */
	for (guint i = 0; !r->counters_failed && i < r->keys->len; i++)
		check_key(r, &g_array_index(r->keys, struct loadgen_key_result, i));
}

static gboolean on_tick(gpointer arg)
{
	struct loadgen_run *r = arg;
	int64_t now = g_get_monotonic_time();
	int64_t drain_end = r->last_arrival + (int64_t)(r->o->drain * (double)USEC_PER_SEC);

	while (r->next_arrival <= now && r->next_arrival < r->last_arrival) {
		start_arrival(r);
		r->next_arrival += (int64_t)rng_exp(&r->rng, (double)USEC_PER_SEC / r->o->rate);
	}
	if (now < r->last_arrival)
		return G_SOURCE_CONTINUE;
	if (now >= drain_end)
		loadgen_jobs_cancel(r);
	if (g_hash_table_size(r->jobs) > 0)
		return G_SOURCE_CONTINUE;
	g_main_loop_quit(r->loop);
	return G_SOURCE_REMOVE;
}

static gboolean on_progress(gpointer arg)
{
	struct loadgen_run *r = arg;
	const uint64_t *c = r->total.counts;

	fprintf(stderr,
		"t=%.0f sent=%" G_GUINT64_FORMAT " ok=%" G_GUINT64_FORMAT
		" refused=%" G_GUINT64_FORMAT " retried=%" G_GUINT64_FORMAT
		" late=%" G_GUINT64_FORMAT " lost=%" G_GUINT64_FORMAT " in_flight=%u\n",
		(double)(g_get_monotonic_time() - r->started) / USEC_PER_SEC, c[LOADGEN_N_SENT],
		c[LOADGEN_N_OK], c[LOADGEN_N_REFUSED], c[LOADGEN_N_RETRIED], c[LOADGEN_N_LATE],
		c[LOADGEN_N_LOST], g_hash_table_size(r->jobs));
	return G_SOURCE_CONTINUE;
}

static void run_init(struct loadgen_run *r, const struct loadgen_options *o)
{
	memset(r, 0, sizeof(*r));
	r->o = o;
	r->loop = g_main_loop_new(NULL, FALSE);
	r->session = loadgen_session_new();
	rng_seed(&r->rng, o->seed);
	r->chats = g_new0(struct loadgen_chat, o->chats);
	r->jobs = g_hash_table_new(NULL, NULL);
	r->keys = g_array_new(FALSE, FALSE, sizeof(struct loadgen_key_result));
	r->instances = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->errors = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	loadgen_tally_init(&r->total, "total");
	for (int i = 0; i < RANK_COUNT; i++)
		loadgen_tally_init(&r->ranks[i], err_rank_name(i));
	for (uint32_t i = 0; i < o->mix.n_kinds; i++)
		loadgen_tally_init(&r->kinds[i], o->mix.kinds[i].profile);
	for (uint32_t i = 0; i < o->mix.n_accounts; i++)
		loadgen_tally_init(&r->accounts[i], o->mix.accounts[i].name);
	r->started = g_get_monotonic_time();
	r->next_arrival = r->started;
	r->last_arrival = r->started + (int64_t)(o->duration * (double)USEC_PER_SEC);
}

static void run_clear(struct loadgen_run *r)
{
	for (uint32_t i = 0; i < r->o->chats; i++) {
		g_free(r->chats[i].key);
		g_free(r->chats[i].context);
		if (r->chats[i].history)
			g_string_free(r->chats[i].history, TRUE);
	}
	for (guint i = 0; i < r->keys->len; i++)
		g_free(g_array_index(r->keys, struct loadgen_key_result, i).key);
	loadgen_tally_clear(&r->total);
	for (int i = 0; i < RANK_COUNT; i++)
		loadgen_tally_clear(&r->ranks[i]);
	for (uint32_t i = 0; i < r->o->mix.n_kinds; i++)
		loadgen_tally_clear(&r->kinds[i]);
	for (uint32_t i = 0; i < r->o->mix.n_accounts; i++)
		loadgen_tally_clear(&r->accounts[i]);
	g_free(r->chats);
	g_array_unref(r->keys);
	g_hash_table_unref(r->jobs);
	g_hash_table_unref(r->instances);
	g_hash_table_unref(r->errors);
	g_hash_table_unref(r->runs);
	g_object_unref(r->session);
	g_main_loop_unref(r->loop);
}

int loadgen_run(const struct loadgen_options *o)
{
	struct loadgen_run r;
	guint progress = 0;

	run_init(&r, o);
	g_timeout_add(TICK_MS, on_tick, &r);
	if (!o->quiet)
		progress = g_timeout_add_seconds(1, on_progress, &r);
	g_main_loop_run(r.loop);
	if (progress)
		g_source_remove(progress);
	compare_counters(&r);
	loadgen_report(&r);
	run_clear(&r);
	return r.exit_code;
}
