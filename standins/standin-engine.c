/*
 * Stand-in of a model engine: continuous batching with slots, prefill and decode speeds, a prefix
 * cache of limited size, priorities, SSE, cancellation by disconnect, resumption at an offset, late
 * load reports, late and missing cache events, orders with fencing numbers, and faults injected by
 * an admin route.
 *
 * The output is a function of the last message or the prompt: token i is " wN" with
 * N = hash_pair(hash_str(text), i) % 10000, so that callers can check the response.
 */
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/base.h"
#include "eng/eng.h"
#include "eng/eng_echo.h"
#include "eng/eng_wire.h"
#include "engine/orders.h"

#define TICK_MSEC	  5
#define BYTES_PER_TOKEN	  4
#define MAX_EVENTS	  65536
#define MAX_OUTPUT_TOKENS 100000

/* One completion request; owned by the engine's queue or batch. */
struct job {
	struct list_head node; /* in engine.queue or engine.batch */
	SoupServerMessage *msg; /* owned reference */
	char *model;
	char *id; /* request id, may be NULL */
	uint64_t seed; /* hash of the last message or the prompt */
	GArray *prefixes; /* uint64_t: hash of the messages up to and including each one */
	GArray *lengths; /* uint32_t: tokens of that prefix */
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t max_tokens;
	uint32_t emitted; /* index of the next token */
	uint32_t resume_at; /* number of tokens that the caller already has */
	int priority; /* lower runs first */
	bool stream;
	bool chat;
	bool crash; /* crashes the engine after its prefill and opt_crash_tokens tokens */
	bool cancelled; /* the caller disconnected */
	double prefill_left; /* tokens */
	double credit; /* tokens that may be emitted now */
	GString *text; /* output of a request without stream */
};

struct engine {
	SoupServer *server;
	GMainLoop *loop;
	GSocketAddress *address;
	struct list_head queue; /* waiting, by priority, then arrival */
	struct list_head batch; /* running, at most slots */
	uint32_t n_queue;
	uint32_t n_batch;
	GHashTable *cache; /* prefix hash -> struct cache_entry */
	struct list_head lru; /* newest first */
	uint64_t cache_used; /* tokens */
	GQueue events; /* owned strings "MICROSECONDS SEQ store|evict HASH": cache events */
	uint64_t event_seq;
	struct load_report reported; /* snapshot that is sent as the load report */
	int64_t reported_at; /* time of its snapshot */
	struct load_report next; /* snapshot that replaces it after the lag */
	int64_t next_at; /* time of its snapshot */
	uint64_t epoch; /* changes at each restart */
	uint64_t seq; /* of the latest snapshot */
	int64_t down_until; /* microseconds; connections are refused until then */
	int64_t frozen_until; /* microseconds; no progress until then */
	int resume_status; /* of a plain response to resumed requests; 0: none */
	int drop_percent; /* of completion and load requests; their connection is closed */
	struct rng rng;
	uint64_t n_requests;
	uint64_t n_done;
	uint64_t n_prompt_tokens;
	uint64_t n_cached_tokens;
	uint64_t n_output_tokens;
	uint64_t n_crashes;
	uint64_t n_cancelled;
	uint64_t max_load_tokens; /* most queued and running tokens in a snapshot */
};

struct cache_entry {
	struct list_head node;
	uint64_t hash;
	uint32_t tokens; /* of this message alone */
};

static struct engine engine;

static char *opt_listen = "127.0.0.1:0";
static int opt_slots = 16;
static double opt_prefill = 8000;
static double opt_decode = 50;
static int opt_cache_tokens = 200000;
static int opt_max_queue = 64;
static int opt_lag_ms = 1000;
static int opt_event_lag_ms = 500;
static int opt_event_gap_percent = 5;
static int opt_restart_ms = 1500;
static char *opt_crash_mark = "crash-the-engine";
static int opt_crash_tokens;
static gboolean opt_crash_exit;
static gboolean opt_ignore_fencing;
static char *opt_model;
static int opt_load_ms = 1000;
static gint64 opt_seed = 1;

static GOptionEntry entries[] = {
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &opt_listen, "Address", "IP:PORT" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt_slots, "Batch slots", "N" },
	{ "prefill", 0, 0, G_OPTION_ARG_DOUBLE, &opt_prefill, "Prefill rate, tokens/s", "R" },
	{ "decode", 0, 0, G_OPTION_ARG_DOUBLE, &opt_decode, "Decode rate per stream, tokens/s",
	  "R" },
	{ "cache-tokens", 0, 0, G_OPTION_ARG_INT, &opt_cache_tokens, "Prefix cache, tokens", "N" },
	{ "max-queue", 0, 0, G_OPTION_ARG_INT, &opt_max_queue, "Limit of queued requests", "N" },
	{ "lag-ms", 0, 0, G_OPTION_ARG_INT, &opt_lag_ms, "Lag of load reports", "MS" },
	{ "event-lag-ms", 0, 0, G_OPTION_ARG_INT, &opt_event_lag_ms, "Lag of cache events", "MS" },
	{ "event-gap", 0, 0, G_OPTION_ARG_INT, &opt_event_gap_percent, "Lost cache events",
	  "PERCENT" },
	{ "restart-ms", 0, 0, G_OPTION_ARG_INT, &opt_restart_ms, "Downtime after a crash", "MS" },
	{ "crash-mark", 0, 0, G_OPTION_ARG_STRING, &opt_crash_mark, "Crash on a body with TEXT",
	  "TEXT" },
	{ "crash-tokens", 0, 0, G_OPTION_ARG_INT, &opt_crash_tokens,
	  "Output before the crash on such a body", "N" },
	{ "crash-exit", 0, 0, G_OPTION_ARG_NONE, &opt_crash_exit, "End the process at a crash",
	  NULL },
	{ "ignore-fencing", 0, 0, G_OPTION_ARG_NONE, &opt_ignore_fencing, "Accept stale orders",
	  NULL },
	{ "model", 0, 0, G_OPTION_ARG_STRING, &opt_model, "Model at the start", "NAME@VERSION" },
	{ "load-ms", 0, 0, G_OPTION_ARG_INT, &opt_load_ms, "Duration of a cold load", "MS" },
	{ "seed", 0, 0, G_OPTION_ARG_INT64, &opt_seed, "Seed of random faults", "N" },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static void add_cache_event(const char *action, uint64_t hash)
{
	engine.event_seq++;
	if (rng_below(&engine.rng, 100) < (uint64_t)opt_event_gap_percent)
		return;
	g_queue_push_tail(&engine.events,
			  g_strdup_printf("%" G_GINT64_FORMAT " %" G_GUINT64_FORMAT
					  " %s %016" G_GINT64_MODIFIER "x",
					  g_get_monotonic_time(), engine.event_seq, action, hash));
	while (engine.events.length > MAX_EVENTS)
		g_free(g_queue_pop_head(&engine.events));
}

static void cache_evict(struct cache_entry *entry)
{
	add_cache_event("evict", entry->hash);
	engine.cache_used -= entry->tokens;
	list_del(&entry->node);
	g_hash_table_remove(engine.cache, &entry->hash);
}

static void cache_touch(uint64_t hash, uint32_t tokens)
{
	struct cache_entry *entry = g_hash_table_lookup(engine.cache, &hash);

	if (!entry) {
		entry = g_new0(struct cache_entry, 1);
		entry->hash = hash;
		entry->tokens = tokens;
		list_init(&entry->node);
		g_hash_table_insert(engine.cache, &entry->hash, entry);
		engine.cache_used += tokens;
		add_cache_event("store", hash);
	}
	list_del(&entry->node);
	list_add(&entry->node, &engine.lru);
	while (engine.cache_used > (uint64_t)opt_cache_tokens && engine.lru.prev != &entry->node)
		cache_evict(list_entry(engine.lru.prev, struct cache_entry, node));
}

static void cache_clear(void)
{
	while (!list_empty(&engine.lru))
		cache_evict(list_entry(engine.lru.prev, struct cache_entry, node));
}

/* Tokens of the longest cached prefix of @j. */
static uint32_t cache_match(const struct job *j)
{
	uint32_t tokens = 0;

	for (guint i = 0; i < j->prefixes->len; i++) {
		if (!g_hash_table_contains(engine.cache, &g_array_index(j->prefixes, uint64_t, i)))
			break;
		tokens = g_array_index(j->lengths, uint32_t, i);
	}
	return tokens;
}

static void cache_store(const struct job *j)
{
	uint32_t start = 0;

	for (guint i = 0; i < j->prefixes->len; i++) {
		uint32_t end = g_array_index(j->lengths, uint32_t, i);

		cache_touch(g_array_index(j->prefixes, uint64_t, i), end - start);
		start = end;
	}
}

static double job_tokens(const struct job *j)
{
	return j->prompt_tokens - j->cached_tokens + j->max_tokens;
}

static void snapshot_load(int64_t now)
{
	struct list_head *pos;
	struct load_report *r = &engine.next;

	memset(r, 0, sizeof(*r));
	r->epoch = engine.epoch;
	r->seq = ++engine.seq;
	r->slots = (uint32_t)opt_slots;
	r->prefill_rate = opt_prefill;
	r->decode_rate = opt_decode;
	r->running = engine.n_batch;
	r->queued = engine.n_queue;
	list_for_each (pos, &engine.queue)
		r->queued_tokens += job_tokens(list_entry(pos, struct job, node));
	list_for_each (pos, &engine.batch)
		r->running_tokens += job_tokens(list_entry(pos, struct job, node));
	engine.max_load_tokens =
		MAX(engine.max_load_tokens, (uint64_t)(r->queued_tokens + r->running_tokens));
	engine.next_at = now;
}

static char *load_text(void)
{
	struct load_report r = engine.reported;

	r.age = g_get_monotonic_time() - engine.reported_at;
	return eng_format_load(&r);
}

static void add_load_header(SoupServerMessage *msg)
{
	g_autofree char *text = load_text();

	soup_message_headers_replace(soup_server_message_get_response_headers(msg), ENG_HEADER_LOAD,
				     text);
}

static void job_free(struct job *j)
{
	list_del(&j->node);
	if (j->msg) {
		g_signal_handlers_disconnect_by_data(j->msg, j);
		g_object_unref(j->msg);
	}
	g_free(j->id);
	g_free(j->model);
	g_array_unref(j->prefixes);
	g_array_unref(j->lengths);
	g_string_free(j->text, TRUE);
	g_free(j);
}

static void crash(void);

static void add_token(GString *s, const struct job *j, uint32_t i)
{
	g_string_append_printf(s, " w%u", (unsigned)(hash_pair(j->seed, i) % 10000));
}

static void add_event(GString *out, const struct job *j, uint32_t i)
{
	if (j->chat)
		g_string_append(out, "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{"
				     "\"index\":0,\"delta\":{\"content\":\"");
	else
		g_string_append(out, "data: {\"object\":\"text_completion\",\"choices\":[{"
				     "\"index\":0,\"text\":\"");
	add_token(out, j, i);
	g_string_append(out, j->chat ? "\"}}]}\n\n" : "\"}]}\n\n");
}

static void finish_stream(struct job *j, GString *out)
{
	SoupMessageBody *body = soup_server_message_get_response_body(j->msg);

	g_string_append(out, ENG_STREAM_END);
	soup_message_body_append(body, SOUP_MEMORY_COPY, out->str, out->len);
	soup_message_body_complete(body);
	soup_server_message_unpause(j->msg);
}

static void finish_response(struct job *j)
{
	g_autofree char *body = NULL;
	g_autofree char *head = NULL;

	if (j->chat)
		head = g_strdup_printf("\"object\":\"chat.completion\",\"choices\":[{\"index\":0,"
				       "\"message\":{\"role\":\"assistant\",\"content\":\"%s\"},"
				       "\"finish_reason\":\"length\"}]",
				       j->text->str);
	else
		head = g_strdup_printf("\"object\":\"text_completion\",\"choices\":[{\"index\":0,"
				       "\"text\":\"%s\",\"finish_reason\":\"length\"}]",
				       j->text->str);
	body = g_strdup_printf("{\"id\":\"%s\",\"model\":\"%s\",%s,\"usage\":{\"prompt_tokens\":%u,"
			       "\"completion_tokens\":%u,\"prompt_tokens_details\":{"
			       "\"cached_tokens\":%u}}}",
			       j->id ? j->id : "", j->model, head, j->prompt_tokens, j->max_tokens,
			       j->cached_tokens);
	soup_server_message_set_status(j->msg, 200, NULL);
	add_load_header(j->msg);
	soup_server_message_set_response(j->msg, "application/json", SOUP_MEMORY_COPY, body,
					 strlen(body));
	soup_server_message_unpause(j->msg);
}

static void start_stream(struct job *j)
{
	SoupMessageHeaders *h = soup_server_message_get_response_headers(j->msg);

	soup_server_message_set_status(j->msg, 200, NULL);
	soup_message_headers_set_encoding(h, SOUP_ENCODING_CHUNKED);
	soup_message_headers_set_content_type(h, ENG_STREAM_TYPE, NULL);
	soup_message_body_set_accumulate(soup_server_message_get_response_body(j->msg), FALSE);
}

static void set_cached_header(struct job *j)
{
	char text[48];

	g_snprintf(text, sizeof(text), "%u/%u", j->cached_tokens, j->prompt_tokens);
	soup_message_headers_replace(soup_server_message_get_response_headers(j->msg),
				     "X-Cached-Tokens", text);
}

static void admit_jobs(void)
{
	while (engine.n_batch < (uint32_t)opt_slots && !list_empty(&engine.queue)) {
		struct job *j = list_entry(engine.queue.next, struct job, node);

		list_del(&j->node);
		engine.n_queue--;
		list_add_tail(&j->node, &engine.batch);
		engine.n_batch++;
		j->cached_tokens = MIN(cache_match(j), j->prompt_tokens);
		j->prefill_left = j->prompt_tokens - j->cached_tokens;
		engine.n_prompt_tokens += j->prompt_tokens;
		engine.n_cached_tokens += j->cached_tokens;
		cache_store(j);
		set_cached_header(j);
		if (j->stream) {
			add_load_header(j->msg);
			start_stream(j);
		}
	}
}

/* Emits the tokens that @j has credit for; returns true if it finished. */
static bool job_emit(struct job *j)
{
	g_autoptr(GString) out = g_string_new(NULL);

	while (j->credit >= 1 && j->emitted < j->max_tokens) {
		if (j->stream)
			add_event(out, j, j->emitted);
		else
			add_token(j->text, j, j->emitted);
		j->emitted++;
		j->credit -= 1;
		engine.n_output_tokens++;
	}
	if (j->emitted < j->max_tokens) {
		if (j->stream && out->len > 0) {
			soup_message_body_append(soup_server_message_get_response_body(j->msg),
						 SOUP_MEMORY_COPY, out->str, out->len);
			soup_server_message_unpause(j->msg);
		}
		return false;
	}
	if (j->stream)
		finish_stream(j, out);
	else
		finish_response(j);
	return true;
}

/*
 * Advances @j by @dt seconds; true: it ended. @prefill: prefill tokens left in this tick, which
 * jobs use up in batch order; the decode rate is per job.
 */
static bool step_job(struct job *j, double dt, double *prefill)
{
	if (j->cancelled) {
		engine.n_cancelled++;
		return true;
	}
	if (j->prefill_left > 0) {
		double amount = MIN(*prefill, j->prefill_left);

		j->prefill_left -= amount;
		*prefill -= amount;
		if (j->prefill_left > 0)
			return false;
		j->credit = 1;
	}
	if (j->crash && j->emitted >= j->resume_at + (uint32_t)opt_crash_tokens) {
		crash();
		return false;
	}
	j->credit += dt * opt_decode;
	if (!job_emit(j))
		return false;
	engine.n_done++;
	return true;
}

static gboolean on_tick(gpointer unused)
{
	static int64_t last;
	int64_t now = g_get_monotonic_time();
	double dt = last ? (double)(now - last) / 1e6 : 0;
	double prefill = dt * opt_prefill;
	struct list_head *pos;
	struct list_head *tmp;
	uint64_t epoch = engine.epoch;

	last = now;
	if (now < engine.frozen_until)
		return G_SOURCE_CONTINUE;
	admit_jobs();
	list_for_each_safe (pos, tmp, &engine.batch) {
		struct job *j = list_entry(pos, struct job, node);

		if (step_job(j, MIN(dt, 0.1), &prefill)) {
			engine.n_batch--;
			job_free(j);
		}
		if (epoch != engine.epoch)
			return G_SOURCE_CONTINUE;
	}
	if (now - engine.next_at >= opt_lag_ms * USEC_PER_MSEC) {
		engine.reported = engine.next;
		engine.reported_at = engine.next_at;
		snapshot_load(now);
	}
	return G_SOURCE_CONTINUE;
}

static void free_jobs(struct list_head *list)
{
	while (!list_empty(list))
		job_free(list_entry(list->next, struct job, node));
}

static void start_listening(void)
{
	g_autoptr(GError) error = NULL;

	if (!soup_server_listen(engine.server, engine.address, 0, &error)) {
		fprintf(stderr, "standin-engine: %s\n", error->message);
		exit(1);
	}
}

static gboolean on_restart(gpointer unused)
{
	engine.down_until = 0;
	start_listening();
	snapshot_load(g_get_monotonic_time());
	engine.reported = engine.next;
	engine.reported_at = engine.next_at;
	return G_SOURCE_REMOVE;
}

/* Drops all connections, jobs and the cache; restarts later, in a new epoch. */
static void crash(void)
{
	engine.n_crashes++;
	if (opt_crash_exit)
		_exit(70);
	engine.epoch++;
	engine.seq = 0;
	orders_restart();
	soup_server_disconnect(engine.server);
	free_jobs(&engine.queue);
	free_jobs(&engine.batch);
	engine.n_queue = 0;
	engine.n_batch = 0;
	cache_clear();
	engine.down_until = g_get_monotonic_time() + opt_restart_ms * USEC_PER_MSEC;
	g_timeout_add((guint)opt_restart_ms, on_restart, NULL);
}

static void refuse(SoupServerMessage *msg, int status, const char *text, bool not_run)
{
	g_autofree char *body = g_strdup_printf("{\"error\":{\"message\":\"%s\"}}", text);

	soup_server_message_set_status(msg, (guint)status, NULL);
	if (not_run)
		soup_message_headers_replace(soup_server_message_get_response_headers(msg),
					     ENG_HEADER_VERDICT, "not-run");
	add_load_header(msg);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_COPY, body,
					 strlen(body));
}

static void add_prefix(struct job *j, uint64_t *hash, const char *role, const char *text)
{
	*hash = hash_pair(*hash, hash_pair(hash_str(role), hash_str(text)));
	j->prompt_tokens += (uint32_t)(strlen(text) / BYTES_PER_TOKEN) + 1;
	g_array_append_val(j->prefixes, *hash);
	g_array_append_val(j->lengths, j->prompt_tokens);
}

static bool parse_messages(struct job *j, JsonObject *o)
{
	uint64_t hash = hash_str(j->model);
	JsonNode *node = json_object_get_member(o, "messages");
	JsonArray *list = node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) : NULL;
	const char *prompt = string_member(o, "prompt");

	if (prompt) {
		add_prefix(j, &hash, "prompt", prompt);
		j->seed = hash_str(prompt);
		return true;
	}
	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonNode *item = json_array_get_element(list, i);
		JsonObject *m = JSON_NODE_HOLDS_OBJECT(item) ? json_node_get_object(item) : NULL;
		const char *role = string_member(m, "role");
		const char *text = string_member(m, "content");

		if (!role || !text)
			return false;
		add_prefix(j, &hash, role, text);
		j->seed = hash_str(text);
	}
	return j->prefixes->len > 0;
}

static struct job *job_new(SoupServerMessage *msg, JsonObject *o, const char *body)
{
	SoupMessageHeaders *h = soup_server_message_get_request_headers(msg);
	const char *priority = soup_message_headers_get_one(h, ENG_HEADER_PRIORITY);
	const char *resume = soup_message_headers_get_one(h, ENG_HEADER_RESUME);
	JsonNode *stream = json_object_get_member(o, "stream");
	struct job *j = g_new0(struct job, 1);

	list_init(&j->node);
	j->prefixes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	j->lengths = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	j->text = g_string_new(NULL);
	j->model = g_strdup(string_member(o, "model"));
	j->id = g_strdup(soup_message_headers_get_one(h, ENG_HEADER_REQUEST_ID));
	j->max_tokens = (uint32_t)CLAMP(int_member(o, "max_tokens", 16), 1, MAX_OUTPUT_TOKENS);
	j->chat = json_object_has_member(o, "messages");
	j->stream = stream && JSON_NODE_HOLDS_VALUE(stream) && json_node_get_boolean(stream);
	j->priority = priority ? atoi(priority) : 0;
	j->resume_at = resume ? (uint32_t)MIN(strtoul(resume, NULL, 10), j->max_tokens) : 0;
	j->emitted = j->resume_at;
	j->crash = strstr(body, opt_crash_mark) != NULL;
	if (!j->model || !parse_messages(j, o)) {
		job_free(j);
		return NULL;
	}
	/* The tokens that the caller already has are prefilled too. */
	j->prompt_tokens += j->resume_at;
	return j;
}

static void on_finished(SoupServerMessage *msg, gpointer arg)
{
	struct job *j = arg;

	j->cancelled = true;
}

static void enqueue(struct job *j)
{
	struct list_head *pos;

	list_for_each (pos, &engine.queue) {
		if (list_entry(pos, struct job, node)->priority > j->priority)
			break;
	}
	list_add_tail(&j->node, pos);
	engine.n_queue++;
}

static bool inject_drop(SoupServerMessage *msg)
{
	g_autoptr(GIOStream) conn = NULL;

	if (rng_below(&engine.rng, 100) >= (uint64_t)engine.drop_percent)
		return false;
	conn = soup_server_message_steal_connection(msg);
	g_io_stream_close(conn, NULL, NULL);
	return true;
}

/* Answers a resumed request with a response that is no stream. */
static bool inject_plain_response(SoupServerMessage *msg)
{
	static const char text[] = "no stream";

	if (!engine.resume_status ||
	    !soup_message_headers_get_one(soup_server_message_get_request_headers(msg),
					  ENG_HEADER_RESUME))
		return false;
	soup_server_message_set_status(msg, (guint)engine.resume_status, NULL);
	soup_server_message_set_response(msg, "text/plain", SOUP_MEMORY_STATIC, text, strlen(text));
	return true;
}

static void on_completion(SoupServer *server, SoupServerMessage *msg, const char *path,
			  GHashTable *query, gpointer unused)
{
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	g_autoptr(GBytes) bytes = soup_message_body_flatten(body);
	g_autofree char *text = g_strndup(g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonNode *root;
	struct job *j = NULL;

	if (inject_drop(msg) || inject_plain_response(msg))
		return;
	if (json_parser_load_from_data(parser, text, -1, NULL)) {
		root = json_parser_get_root(parser);
		if (root && JSON_NODE_HOLDS_OBJECT(root))
			j = job_new(msg, json_node_get_object(root), text);
	}
	if (!j) {
		refuse(msg, 400, "malformed request", true);
		return;
	}
	if (orders_loading()) {
		job_free(j);
		refuse(msg, 503, "the model is being loaded", true);
		return;
	}
	if (engine.n_queue >= (uint32_t)opt_max_queue) {
		job_free(j);
		refuse(msg, 429, "queue full", true);
		return;
	}
	engine.n_requests++;
	j->msg = g_object_ref(msg);
	g_signal_connect(msg, "finished", G_CALLBACK(on_finished), j);
	soup_server_message_pause(msg);
	enqueue(j);
}

static void respond_text(SoupServerMessage *msg, const char *type, const char *text)
{
	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(msg, type, SOUP_MEMORY_COPY, text, strlen(text));
}

static void on_load(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
		    gpointer unused)
{
	g_autofree char *text = load_text();

	if (!inject_drop(msg))
		respond_text(msg, "text/plain", text);
}

/* GET /events?after=SEQ: lines "SEQ store|evict HASH" older than --event-lag-ms, with gaps. */
static void on_events(SoupServer *server, SoupServerMessage *msg, const char *path,
		      GHashTable *query, gpointer unused)
{
	const char *after_text = query ? g_hash_table_lookup(query, "after") : NULL;
	uint64_t after = after_text ? strtoull(after_text, NULL, 10) : 0;
	int64_t until = g_get_monotonic_time() - opt_event_lag_ms * USEC_PER_MSEC;
	g_autoptr(GString) out = g_string_new(NULL);

	for (GList *l = engine.events.head; l; l = l->next) {
		char *fields;
		int64_t at = strtoll(l->data, &fields, 10);

		if (at <= until && strtoull(fields, NULL, 10) > after)
			g_string_append_printf(out, "%s\n", fields + 1);
	}
	respond_text(msg, "text/plain", out->str);
}

/*
 * POST /kv/export {"rows":[{"hash":...}]} returns the cached ones with their tokens;
 * POST /kv/import adds rows of that form to the cache.
 */
static void on_kv(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
		  gpointer unused)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonNode *root = body_json(msg, parser);
	JsonObject *o = root && JSON_NODE_HOLDS_OBJECT(root) ? json_node_get_object(root) : NULL;
	JsonNode *node = o ? json_object_get_member(o, "rows") : NULL;
	JsonArray *rows = node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) : NULL;
	bool import = strcmp(path, "/kv/import") == 0;
	g_autoptr(GString) out = g_string_new("{\"rows\":[");

	for (guint i = 0; rows && i < json_array_get_length(rows); i++) {
		JsonNode *item = json_array_get_element(rows, i);
		JsonObject *entry =
			JSON_NODE_HOLDS_OBJECT(item) ? json_node_get_object(item) : NULL;
		const char *text = string_member(entry, "hash");
		uint64_t hash = text ? strtoull(text, NULL, 16) : 0;
		struct cache_entry *cached = g_hash_table_lookup(engine.cache, &hash);

		if (import && entry)
			cache_touch(hash,
				    (uint32_t)CLAMP(int_member(entry, "tokens", 0), 0, 1000000));
		else if (cached)
			g_string_append_printf(
				out, "%s{\"hash\":\"%016" G_GINT64_MODIFIER "x\",\"tokens\":%u}",
				out->len > 9 ? "," : "", hash, cached->tokens);
	}
	g_string_append(out, "]}");
	respond_text(msg, "application/json", out->str);
}

static void on_order(SoupServer *server, SoupServerMessage *msg, const char *path,
		     GHashTable *query, gpointer unused)
{
	orders_post(msg);
}

static void on_state(SoupServer *server, SoupServerMessage *msg, const char *path,
		     GHashTable *query, gpointer unused)
{
	g_autofree char *text = orders_state(engine.epoch);

	respond_text(msg, "application/json", text);
}

static int query_int(GHashTable *query, const char *name)
{
	const char *text = query ? g_hash_table_lookup(query, name) : NULL;

	return text ? atoi(text) : 0;
}

/*
 * POST /admin/fault?crash=1&freeze=MS&drop=PERCENT&resume=STATUS: omitted ones become 0;
 * GET /admin/stats
 */
static void on_admin(SoupServer *server, SoupServerMessage *msg, const char *path,
		     GHashTable *query, gpointer unused)
{
	g_autofree char *text = NULL;

	if (strcmp(path, "/admin/fault") == 0) {
		engine.frozen_until =
			g_get_monotonic_time() + query_int(query, "freeze") * USEC_PER_MSEC;
		engine.drop_percent = query_int(query, "drop");
		engine.resume_status = query_int(query, "resume");
		if (query_int(query, "crash"))
			crash();
		else
			respond_text(msg, "application/json", "{\"ok\":true}");
		return;
	}
	text = g_strdup_printf(
		"{\"requests\":%" G_GUINT64_FORMAT ",\"done\":%" G_GUINT64_FORMAT
		",\"prompt_tokens\":%" G_GUINT64_FORMAT ",\"cached_tokens\":%" G_GUINT64_FORMAT
		",\"output_tokens\":%" G_GUINT64_FORMAT ",\"crashes\":%" G_GUINT64_FORMAT
		",\"cancelled\":%" G_GUINT64_FORMAT ",\"max_load_tokens\":%" G_GUINT64_FORMAT
		",\"running\":%u,\"queued\":%u}",
		engine.n_requests, engine.n_done, engine.n_prompt_tokens, engine.n_cached_tokens,
		engine.n_output_tokens, engine.n_crashes, engine.n_cancelled,
		engine.max_load_tokens, engine.n_batch, engine.n_queue);
	respond_text(msg, "application/json", text);
}

static void add_routes(SoupServer *s)
{
	eng_echo_request_id(s);
	soup_server_add_handler(s, "/v1/chat/completions", on_completion, NULL, NULL);
	soup_server_add_handler(s, "/v1/completions", on_completion, NULL, NULL);
	soup_server_add_handler(s, ENG_PATH_LOAD, on_load, NULL, NULL);
	soup_server_add_handler(s, "/events", on_events, NULL, NULL);
	soup_server_add_handler(s, "/kv", on_kv, NULL, NULL);
	soup_server_add_handler(s, "/orders", on_order, NULL, NULL);
	soup_server_add_handler(s, "/state", on_state, NULL, NULL);
	soup_server_add_handler(s, "/admin", on_admin, NULL, NULL);
}

int main(int argc, char **argv)
{
	g_autoptr(GOptionContext) context = g_option_context_new("- stand-in of a model engine");
	g_autoptr(GError) error = NULL;
	g_autoptr(GSocketConnectable) at = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "standin-engine: %s\n", error->message);
		return 2;
	}
	at = g_network_address_parse(opt_listen, 0, &error);
	if (!at) {
		fprintf(stderr, "standin-engine: --listen: %s\n", error->message);
		return 2;
	}
	list_init(&engine.queue);
	list_init(&engine.batch);
	list_init(&engine.lru);
	rng_seed(&engine.rng, (uint64_t)opt_seed);
	engine.cache = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	orders_init(opt_model, opt_load_ms, opt_ignore_fencing);
	engine.epoch = (uint64_t)g_get_real_time();
	engine.address = g_inet_socket_address_new_from_string(
		g_network_address_get_hostname(G_NETWORK_ADDRESS(at)),
		g_network_address_get_port(G_NETWORK_ADDRESS(at)));
	engine.server = soup_server_new("server-header", "standin-engine", NULL);
	add_routes(engine.server);
	on_restart(NULL);
	for (GSList *l = soup_server_get_uris(engine.server); l; l = l->next) {
		printf("listening on port %d\n", g_uri_get_port(l->data));
		fflush(stdout);
	}
	g_timeout_add(TICK_MSEC, on_tick, NULL);
	engine.loop = g_main_loop_new(NULL, FALSE);
	g_main_loop_run(engine.loop);
	return 0;
}
