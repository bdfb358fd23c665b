#include <json-glib/json-glib.h>
#include <string.h>

#include "loadgen/loadgen_run.h"

#define MAX_TURNS	  8 /* of a chat, before a new one replaces it */
#define FIRST_RETRY_DELAY (100 * USEC_PER_MSEC)
#define MAX_RETRY_DELAY	  (2 * USEC_PER_SEC)
/* Extra time after the deadline in which the refusal by an instance may still arrive. */
#define DEADLINE_GRACE (10 * USEC_PER_SEC)
#define MAX_HEADERS    20 /* names and values, with the final NULL */

/* One call with all its attempts. */
struct loadgen_job {
	struct loadgen_run *run;
	const struct loadgen_kind *kind;
	uint32_t kind_index;
	uint32_t account;
	struct loadgen_chat *chat; /* NULL: plain call */
	char *path;
	char *body; /* NULL: GET */
	char *user; /* last user message, NULL: plain call */
	char *key; /* idempotency key, NULL: none */
	bool stream;
	uint32_t attempts;
	uint32_t target; /* index of the last attempt's target */
	int64_t started; /* monotonic time in microseconds, as the next two */
	int64_t first_token; /* time of the first token of any attempt, 0: none */
	int64_t last_token;
	int64_t retry_after; /* microseconds, of the last refusal; 0: none */
	bool all_not_run; /* every attempt so far reported not-run or was not sent */
	GCancellable *cancel;
	guint retry_timer; /* 0: none */
	guint limit_timer; /* time limit of the call, 0: none */
	struct loadgen_stream check; /* of the current attempt */
	char text[64]; /* number in a header; unused */
};

void loadgen_get_tallies(struct loadgen_run *r, uint32_t kind, uint32_t account,
			 struct loadgen_tally *tallies[5])
{
	tallies[0] = &r->total;
	tallies[1] = &r->ranks[r->o->mix.kinds[kind].rank];
	tallies[2] = &r->kinds[kind];
	tallies[3] = &r->accounts[account];
	tallies[4] = NULL;
}

void loadgen_count(struct loadgen_run *r, uint32_t kind, uint32_t account, enum loadgen_count c,
		   uint64_t n)
{
	struct loadgen_tally *tallies[5];

	loadgen_get_tallies(r, kind, account, tallies);
	for (int i = 0; tallies[i]; i++)
		tallies[i]->counts[c] += n;
}

static void job_count(struct loadgen_job *j, enum loadgen_count c, uint64_t n)
{
	loadgen_count(j->run, j->kind_index, j->account, c, n);
}

static void add_sample(struct loadgen_job *j, size_t offset, int64_t usec)
{
	struct loadgen_tally *tallies[5];

	loadgen_get_tallies(j->run, j->kind_index, j->account, tallies);
	for (int i = 0; tallies[i]; i++)
		loadgen_samples_add((void *)((char *)tallies[i] + offset),
				    (double)usec / USEC_PER_MSEC);
}

static void chat_reset(struct loadgen_run *r, struct loadgen_chat *chat)
{
	g_free(chat->key);
	g_clear_pointer(&chat->context, g_free);
	chat->key =
		g_strdup_printf("c%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, r->o->seed, r->n_jobs);
	chat->turn = 0;
	if (chat->history)
		g_string_truncate(chat->history, 0);
	else
		chat->history = g_string_new(NULL);
}

/* Ends a turn; the chat continues after a pause, or a new chat replaces it. */
static void chat_turn_ended(struct loadgen_job *j, bool ok)
{
	struct loadgen_chat *chat = j->chat;
	struct loadgen_run *r = j->run;
	g_autofree char *response = NULL;

	chat->busy = false;
	chat->ready_at = g_get_monotonic_time() +
			 (int64_t)rng_exp(&r->rng, r->o->pause * (double)USEC_PER_SEC);
	if (!ok || ++chat->turn >= MAX_TURNS) {
		chat_reset(r, chat);
		return;
	}
	response = loadgen_expected_text(hash_str(j->user), j->kind->max_tokens);
	g_string_append_printf(chat->history,
			       "{\"role\":\"user\",\"content\":\"%s\"},"
			       "{\"role\":\"assistant\",\"content\":\"%s\"},",
			       j->user, response);
}

static void record_key(struct loadgen_job *j, enum loadgen_count outcome)
{
	struct loadgen_key_result result = { g_strdup(j->key), LOADGEN_OUTCOME_UNSURE,
					     j->kind_index, j->account };

	if (outcome == LOADGEN_N_OK)
		result.outcome = LOADGEN_OUTCOME_RAN;
	else if (j->all_not_run)
		result.outcome = LOADGEN_OUTCOME_NOT_RUN;
	g_array_append_val(j->run->keys, result);
}

static void count_service(struct loadgen_job *j, int64_t now)
{
	int64_t until = j->stream && j->first_token ? j->first_token : now;
	struct loadgen_tally *tallies[5];

	add_sample(j, offsetof(struct loadgen_tally, total_ms), now - j->started);
	job_count(j, LOADGEN_N_TOKENS, j->kind->max_tokens);
	if (until - j->started > j->kind->window) {
		job_count(j, LOADGEN_N_LATE, 1);
		return;
	}
	job_count(j, LOADGEN_N_IN_WINDOW, 1);
	loadgen_get_tallies(j->run, j->kind_index, j->account, tallies);
	for (int i = 0; tallies[i]; i++)
		tallies[i]->weight_served += j->kind->weight;
}

static void job_free(struct loadgen_job *j)
{
	g_hash_table_remove(j->run->jobs, j);
	g_clear_handle_id(&j->retry_timer, g_source_remove);
	g_clear_handle_id(&j->limit_timer, g_source_remove);
	g_object_unref(j->cancel);
	g_free(j->path);
	g_free(j->body);
	g_free(j->user);
	g_free(j->key);
	g_free(j);
}

static void job_finish(struct loadgen_job *j, enum loadgen_count outcome, const char *reason)
{
	if (outcome == LOADGEN_N_LOST || outcome == LOADGEN_N_REJECTED)
		log_warn("loadgen", "call %s %s of %s ended as %s after %u attempts: %s",
			 j->kind->profile,
			 j->key	   ? j->key
			 : j->chat ? j->chat->key
				   : "-",
			 j->run->o->mix.accounts[j->account].name,
			 outcome == LOADGEN_N_LOST ? "lost" : "rejected", j->attempts, reason);
	job_count(j, outcome, 1);
	if (outcome == LOADGEN_N_OK)
		count_service(j, g_get_monotonic_time());
	if (j->key)
		record_key(j, outcome);
	if (j->chat)
		chat_turn_ended(j, outcome == LOADGEN_N_OK);
	job_free(j);
}

static void attempt_start(struct loadgen_job *j);

static gboolean on_retry(gpointer arg)
{
	struct loadgen_job *j = arg;

	j->retry_timer = 0;
	attempt_start(j);
	return G_SOURCE_REMOVE;
}

/* Schedules the next attempt, or ends the call as @outcome after the last one. */
static void job_retry(struct loadgen_job *j, enum loadgen_count outcome, const char *reason)
{
	int64_t delay = MIN(FIRST_RETRY_DELAY << (j->attempts - 1), MAX_RETRY_DELAY);

	if (g_cancellable_is_cancelled(j->cancel)) {
		job_finish(j, LOADGEN_N_LOST, "no response when cancelled");
		return;
	}
	if (j->attempts >= j->run->o->max_attempts) {
		job_finish(j, j->all_not_run ? LOADGEN_N_REFUSED : outcome, reason);
		return;
	}
	if (j->retry_after > 0)
		delay = MIN(j->retry_after, MAX_RETRY_DELAY);
	delay += (int64_t)((double)delay * rng_unit(&j->run->rng));
	j->retry_timer = g_timeout_add((guint)(delay / USEC_PER_MSEC), on_retry, j);
}

/* Returns the code in an error body, owned by the caller; sets @j->retry_after. */
static char *parse_refusal(struct loadgen_job *j, const char *body)
{
	g_autoptr(JsonNode) root = json_from_string(body ? body : "", NULL);
	JsonObject *o = root && JSON_NODE_HOLDS_OBJECT(root) ? json_node_get_object(root) : NULL;
	JsonNode *n = o ? json_object_get_member(o, "error") : NULL;

	j->retry_after = 0;
	if (!n || !JSON_NODE_HOLDS_OBJECT(n))
		return g_strdup("no error body");
	o = json_node_get_object(n);
	j->retry_after =
		json_object_get_int_member_with_default(o, "retry_after_ms", 0) * USEC_PER_MSEC;
	return g_strdup(json_object_get_string_member_with_default(o, "code", "no code"));
}

/* Increments the count of @name in @t. */
static void count_name(GHashTable *t, const char *name)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(t, name));

	g_hash_table_replace(t, g_strdup(name), GUINT_TO_POINTER(n + 1));
}

/* Outcome of a call whose last attempt was refused. Earlier attempts may have run. */
static enum loadgen_count refused_outcome(const struct loadgen_job *j, bool not_run)
{
	if (j->all_not_run)
		return LOADGEN_N_REFUSED;
	if (j->key)
		return LOADGEN_N_UNSURE;
	return not_run && !j->kind->must_finish ? LOADGEN_N_REFUSED : LOADGEN_N_LOST;
}

static void handle_refusal(struct loadgen_job *j, const struct loadgen_response *response,
			   bool not_run)
{
	g_autofree char *code = parse_refusal(j, response->body);

	count_name(j->run->errors, code);
	if (strcmp(code, "deadline") == 0)
		job_finish(j, j->kind->must_finish ? LOADGEN_N_LOST : LOADGEN_N_EXPIRED, code);
	else if (response->status == 429)
		job_finish(j, refused_outcome(j, not_run), code);
	else if (strcmp(code, "claim_open") == 0)
		job_retry(j, LOADGEN_N_UNSURE, code);
	else if (response->status < 500)
		job_finish(j, LOADGEN_N_REJECTED, code);
	else
		job_retry(j, refused_outcome(j, not_run), code);
}

static enum loadgen_fault check_response(struct loadgen_job *j,
					 const struct loadgen_response *response)
{
	uint64_t user = hash_str(j->user);
	struct loadgen_usage usage = { 0 };
	enum loadgen_fault fault;

	if (!j->chat)
		return loadgen_check_plain(response->body, j->key, j->body);
	if (!response->body) {
		fault = loadgen_stream_end(&j->check);
		usage = j->check.usage;
	} else {
		fault = loadgen_check_completion(response->body, user, j->kind->max_tokens, &usage);
	}
	job_count(j, LOADGEN_N_PROMPT_TOKENS, usage.prompt);
	job_count(j, LOADGEN_N_CACHED_TOKENS, usage.cached);
	return fault;
}

static void handle_response(struct loadgen_job *j, const struct loadgen_response *response)
{
	switch (check_response(j, response)) {
	case LOADGEN_GOOD:
		job_finish(j, LOADGEN_N_OK, NULL);
		break;
	case LOADGEN_DUPLICATED:
		job_count(j, LOADGEN_N_DUPLICATED, 1);
		job_finish(j, j->chat ? LOADGEN_N_LOST : LOADGEN_N_OK, "repeated or excess tokens");
		break;
	case LOADGEN_MIXED_UP:
		job_count(j, LOADGEN_N_MIXED_UP, 1);
		job_finish(j, LOADGEN_N_LOST, "the response belongs to another request");
		break;
	case LOADGEN_TRUNCATED:
		job_count(j, LOADGEN_N_TRUNCATED, 1);
		job_retry(j, LOADGEN_N_LOST, "the response is truncated");
		break;
	default:
		job_count(j, LOADGEN_N_MALFORMED, 1);
		job_retry(j, LOADGEN_N_LOST, "the response can't be read");
		break;
	}
}

static void record_headers(struct loadgen_job *j, const struct loadgen_response *response)
{
	const char *instance = soup_message_headers_get_one(response->headers, "X-Instance");
	const char *context = soup_message_headers_get_one(response->headers, "X-Context");

	if (instance)
		count_name(j->run->instances, instance);
	if (context && j->chat) {
		g_free(j->chat->context);
		j->chat->context = g_strdup(context);
	}
}

static void on_end(void *arg, const struct loadgen_response *response)
{
	struct loadgen_job *j = arg;
	const char *verdict = NULL;
	bool not_run;

	if (response->headers) {
		verdict = soup_message_headers_get_one(response->headers, "X-Verdict");
		record_headers(j, response);
	}
	not_run = response->not_sent || g_strcmp0(verdict, err_verdict_name(VERDICT_NOT_RUN)) == 0;
	/* An attempt without a response may have run. */
	j->all_not_run = j->all_not_run && not_run;
	j->retry_after = 0;
	if (response->status >= 200 && response->status < 300 && response->complete) {
		handle_response(j, response);
	} else if (response->status >= 400 && response->complete) {
		handle_refusal(j, response, not_run);
	} else {
		count_name(j->run->errors, "transport");
		if (response->status != 0)
			job_count(j, LOADGEN_N_TRUNCATED, 1);
		job_retry(j, LOADGEN_N_LOST,
			  response->error ? response->error : "unexpected status");
	}
}

static void on_event(void *arg, const char *data)
{
	struct loadgen_job *j = arg;
	int64_t now = g_get_monotonic_time();

	if (!loadgen_stream_event(&j->check, data))
		return;
	if (j->first_token == 0) {
		j->first_token = now;
		add_sample(j, offsetof(struct loadgen_tally, first_ms), now - j->started);
	} else if (j->check.n_tokens > 1) {
		add_sample(j, offsetof(struct loadgen_tally, gap_ms), now - j->last_token);
	}
	j->last_token = now;
}

static const struct loadgen_call_ops job_ops = { on_event, on_end };

/* Picks a random target; for a retry another one, as a load balancer or a caller would. */
static uint32_t pick_target(struct loadgen_job *j)
{
	uint32_t n = g_strv_length(j->run->o->targets);

	if (j->attempts == 0 || n == 1)
		return (uint32_t)rng_below(&j->run->rng, n);
	return (j->target + 1 + (uint32_t)rng_below(&j->run->rng, n - 1)) % n;
}

static void attempt_start(struct loadgen_job *j)
{
	const struct loadgen_options *o = j->run->o;
	const char *headers[MAX_HEADERS] = { NULL };
	g_autofree char *bearer = g_strconcat("Bearer ", o->mix.accounts[j->account].key, NULL);
	g_autofree char *deadline = NULL;
	g_autofree char *attempt = NULL;
	g_autofree char *url = NULL;
	int64_t remaining = j->started + j->kind->deadline - g_get_monotonic_time();
	int n = 0;

	if (j->kind->deadline && remaining <= 0) {
		job_finish(j, LOADGEN_N_EXPIRED, "the deadline passed");
		return;
	}
	j->target = pick_target(j);
	if (j->attempts++ > 0)
		job_count(j, LOADGEN_N_RETRIED, 1);
	url = g_strdup_printf("http://%s%s", o->targets[j->target], j->path);
	attempt = g_strdup_printf("%u", j->attempts);
	deadline = g_strdup_printf("%" G_GINT64_FORMAT, remaining / USEC_PER_MSEC + 1);
#define ADD(name, value) (headers[n++] = (name), headers[n++] = (value))
	ADD("Authorization", bearer);
	ADD("X-Profile", j->kind->profile);
	ADD("X-Attempt", attempt);
	if (j->kind->deadline)
		ADD("X-Deadline-Ms", deadline);
	if (j->key)
		ADD("Idempotency-Key", j->key);
	if (j->chat)
		ADD("X-Chat", j->chat->key);
	if (j->chat && j->chat->context)
		ADD("X-Context", j->chat->context);
#undef ADD
	j->check = (struct loadgen_stream){ .user = hash_str(j->user),
					    .max_tokens = j->kind->max_tokens };
	if (loadgen_call(j->run->session, j->body ? "POST" : "GET", url, headers, j->body,
			 j->key != NULL, j->cancel, &job_ops, j) < 0)
		job_finish(j, LOADGEN_N_REJECTED, "malformed target");
}

static void add_words(GString *out, struct rng *rng, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		g_string_append_printf(out, " t%u", (unsigned)rng_below(rng, 5000));
}

static void make_chat_call(struct loadgen_job *j)
{
	struct loadgen_run *r = j->run;
	GString *user = g_string_new(NULL);
	GString *prefix = g_string_new("System prompt of");
	struct rng rng;

	/* Seeded by the kind only, so that all chats of a kind share the prefix. */
	rng_seed(&rng, hash_str(j->kind->profile));
	g_string_append_printf(prefix, " %s.", j->kind->profile);
	add_words(prefix, &rng, j->kind->system_words);
	g_string_append_printf(user, "Call %" G_GUINT64_FORMAT " of chat %s turn %u.", r->n_jobs,
			       j->chat->key, j->chat->turn);
	add_words(user, &r->rng, j->kind->user_words);
	j->stream = rng_unit(&r->rng) < j->kind->stream_fraction;
	j->path = g_strdup("/v1/chat/completions");
	j->body =
		g_strdup_printf("{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%u,\"messages\":["
				"{\"role\":\"system\",\"content\":\"%s\"},%s"
				"{\"role\":\"user\",\"content\":\"%s\"}]}",
				r->o->mix.model, j->stream ? "true" : "false", j->kind->max_tokens,
				prefix->str, j->chat->history->str, user->str);
	j->user = g_string_free(user, FALSE);
	g_string_free(prefix, TRUE);
}

static void make_plain_call(struct loadgen_job *j)
{
	struct loadgen_run *r = j->run;

	if (!j->kind->once_only) {
		j->path = g_strdup_printf("/s/%s/orders/%u", r->o->mix.service,
					  (unsigned)rng_below(&r->rng, 100000));
		return;
	}
	j->path = g_strdup_printf("/s/%s/orders", r->o->mix.service);
	j->key =
		g_strdup_printf("k%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, r->o->seed, r->n_jobs);
	j->body = g_strdup_printf("{\"order\":\"%s\",\"quantity\":%u}", j->key,
				  (unsigned)rng_below(&r->rng, 100) + 1);
}

static gboolean on_time_limit(gpointer arg)
{
	struct loadgen_job *j = arg;

	j->limit_timer = 0;
	if (j->retry_timer) {
		job_finish(j, LOADGEN_N_EXPIRED, "the deadline passed between two attempts");
		return G_SOURCE_REMOVE;
	}
	g_cancellable_cancel(j->cancel);
	return G_SOURCE_REMOVE;
}

void loadgen_job_start(struct loadgen_run *r, uint32_t kind, uint32_t account,
		       struct loadgen_chat *chat)
{
	struct loadgen_job *j = g_new0(struct loadgen_job, 1);
	struct loadgen_tally *tallies[5];

	r->n_jobs++;
	j->run = r;
	j->kind = &r->o->mix.kinds[kind];
	j->kind_index = kind;
	j->account = account;
	j->chat = chat;
	j->started = g_get_monotonic_time();
	j->all_not_run = true;
	j->cancel = g_cancellable_new();
	if (chat) {
		if (!chat->key)
			chat_reset(r, chat);
		chat->busy = true;
		make_chat_call(j);
	} else {
		make_plain_call(j);
	}
	if (j->kind->deadline)
		j->limit_timer =
			g_timeout_add((guint)((j->kind->deadline + DEADLINE_GRACE) / USEC_PER_MSEC),
				      on_time_limit, j);
	g_hash_table_add(r->jobs, j);
	job_count(j, LOADGEN_N_SENT, 1);
	loadgen_get_tallies(r, kind, account, tallies);
	for (int i = 0; tallies[i]; i++)
		tallies[i]->weight_offered += j->kind->weight;
	attempt_start(j);
}

void loadgen_jobs_cancel(struct loadgen_run *r)
{
	g_autoptr(GList) all = g_hash_table_get_keys(r->jobs);

	for (GList *l = all; l; l = l->next) {
		struct loadgen_job *j = l->data;

		if (j->retry_timer)
			job_finish(j, LOADGEN_N_LOST, "the run ended between two attempts");
		else
			g_cancellable_cancel(j->cancel);
	}
}
