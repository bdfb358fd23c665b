/**
 * DOC: standin-platform
 *
 * Stand-in for the platform's object API: objects under one version counter, conditional updates,
 * lists, long-poll watches, a delayed instance list, rate limits, counters per kind of call, and
 * faults that are injected by an admin route. The wire format is described in plat/plat.h.
 *
 * GET /admin/counters            counters as JSON
 * POST /admin/instance           id=ID&state=live|leaving|gone: sets one entry of the instance list
 * POST /admin/fault              query parameters; omitted ones keep their value:
 *   outage=none|refuse|close|hang|error   refused or closed connections; no response; 503
 *   for_ms=N                     ends the outage after N ms
 *   delay_ms=N                   each response is delayed by N ms
 *   lose_writes=N                the next N writes take effect and their connection is closed
 *   late_writes=N                the next N writes take effect delay_ms after their arrival and
 *                                their connection is closed
 *   list_lag_ms=N                changes appear in the instance list after N ms
 *   clear=1                      ends all faults first
 */
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "plat/plat_wire.h"

#define VALUE_MAX_BYTES	      (1024 * 1024)
#define KEY_MAX_BYTES	      256
#define TOMBSTONES_MAX	      65536
#define WATCH_TIMEOUT_SECONDS 20
#define DEFAULT_WRITE_RATE    400 /* calls per second */
#define DEFAULT_READ_RATE     2000 /* calls per second */
#define BURST_SECONDS	      0.25 /* of the rate: capacity of a bucket */
#define DISCONNECT_DELAY_MS   20 /* lets the response to the admin call be sent first */

#define CALL_TABLE(X)                                                                              \
	X(GET, "get")                                                                              \
	X(LIST, "list")                                                                            \
	X(WATCH, "watch")                                                                          \
	X(INSTANCES, "instances")                                                                  \
	X(PUT, "put")                                                                              \
	X(DELETE, "delete")                                                                        \
	X(CONFLICT, "conflict")                                                                    \
	X(LIMITED, "rate_limited")                                                                 \
	X(REFUSED, "refused_by_fault")                                                             \
	X(LOST, "answers_lost")

enum call_kind {
#define X(name, text) CALL_##name,
	CALL_TABLE(X)
#undef X
	CALL_COUNT,
};

static const char *const call_names[] = {
#define X(name, text) text,
	CALL_TABLE(X)
#undef X
};

enum outage {
	OUTAGE_NONE,
	OUTAGE_REFUSE,
	OUTAGE_CLOSE,
	OUTAGE_HANG,
	OUTAGE_ERROR,
	OUTAGE_COUNT,
};

static const char *const outage_names[] = { "none", "refuse", "close", "hang", "error" };

struct object {
	char *key; /* owned */
	uint64_t version;
	GBytes *value; /* owned, NULL: deleted */
};

struct instance {
	char *id; /* owned */
	uint64_t version;
	char *state; /* owned: live, leaving or gone */
	char *old_state; /* owned: listed until @changed_at + list_lag_ms; NULL: not listed */
	gint64 changed_at; /* monotonic time of the last change, microseconds */
};

struct bucket {
	double rate; /* tokens per second */
	double tokens;
	gint64 last; /* monotonic time of the last call, microseconds */
	gint64 second; /* current second of the monotonic clock */
	gint64 in_second; /* calls in it */
	gint64 peak; /* most calls in one second */
};

struct platform {
	GTree *objects; /* key -> struct object */
	GQueue tombstones; /* keys, owned, oldest first */
	uint64_t version; /* of the newest write */
	uint64_t pruned_version; /* tombstones up to this version may be missing */
	GHashTable *instances; /* id -> struct instance */
	GBytes *live; /* value of a live instance */
	GBytes *leaving; /* value of a leaving instance */
	GList *watches; /* of struct pending: watches without a response yet */
	GList *hung; /* of struct pending: closed when the outage ends */
	struct bucket reads;
	struct bucket writes;
	gint64 calls[CALL_COUNT];
	enum outage outage;
	guint outage_timer;
	gint64 delay_ms;
	gint64 lose_writes;
	gint64 late_writes;
	gint64 list_lag_ms;
	SoupServer *server;
	GInetSocketAddress *address; /* of @server; reused to listen after an outage */
	bool separate_admin; /* admin routes have a listener of their own */
};

/* A request without a response yet: a watch, or delayed or hung by a fault. */
struct pending {
	struct platform *p;
	SoupServerMessage *msg; /* owned reference */
	bool finished; /* the caller disconnected */
	bool drop_connection; /* close the connection without a response */
	bool late; /* apply the write after the delay */
	char *name; /* prefix of a watch, key of a late write */
	uint64_t after; /* of a watch: version that the caller has */
	guint timer;
};

static void object_free(gpointer arg)
{
	struct object *o = arg;

	g_free(o->key);
	g_bytes_unref(o->value);
	g_free(o);
}

static void instance_free(gpointer arg)
{
	struct instance *i = arg;

	g_free(i->id);
	g_free(i->state);
	g_free(i->old_state);
	g_free(i);
}

static void on_finished(SoupServerMessage *msg, gpointer arg)
{
	struct pending *w = arg;

	w->finished = true;
}

static struct pending *pending_new(struct platform *p, SoupServerMessage *msg, const char *name)
{
	struct pending *w = g_new0(struct pending, 1);

	w->p = p;
	w->msg = g_object_ref(msg);
	w->name = g_strdup(name);
	g_signal_connect(msg, "finished", G_CALLBACK(on_finished), w);
	g_signal_connect(msg, "disconnected", G_CALLBACK(on_finished), w);
	soup_server_message_pause(msg);
	return w;
}

static void pending_free(struct pending *w)
{
	g_clear_handle_id(&w->timer, g_source_remove);
	g_signal_handlers_disconnect_by_data(w->msg, w);
	g_object_unref(w->msg);
	g_free(w->name);
	g_free(w);
}

static void close_connection(SoupServerMessage *msg)
{
	GSocket *s = soup_server_message_get_socket(msg);

	soup_server_message_set_status(msg, 503, NULL);
	if (s)
		g_socket_shutdown(s, TRUE, TRUE, NULL);
}

static void respond_error(SoupServerMessage *msg, guint status, const char *where, const char *text)
{
	char *json = g_strdup_printf("{\"error\":\"%s\",\"field\":\"%s\"}", text, where);

	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_TAKE, json,
					 strlen(json));
}

static void set_etag(SoupServerMessage *msg, uint64_t version)
{
	g_autofree char *tag = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"", version);

	soup_message_headers_replace(soup_server_message_get_response_headers(msg), "ETag", tag);
}

/* Adds an entry to a list; @key and @value are borrowed. */
static void add_object(GArray *list, char *key, uint64_t version, GBytes *value)
{
	struct plat_object entry = { .key = key, .version = version, .value = value };

	g_array_append_val(list, entry);
}

static void respond_list(SoupServerMessage *msg, GArray *list, uint64_t version)
{
	char *text = plat_wire_format_list((const struct plat_object *)(void *)list->data,
					   list->len, version);

	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_TAKE, text,
					 strlen(text));
}

/* Adds the objects under @prefix newer than @after; tombstones only if @after is set. */
static void list_objects(struct platform *p, const char *prefix, uint64_t after, GArray *list)
{
	for (GTreeNode *at = g_tree_lower_bound(p->objects, prefix); at;
	     at = g_tree_node_next(at)) {
		const struct object *o = g_tree_node_value(at);

		if (!g_str_has_prefix(o->key, prefix))
			break;
		if (o->version <= after || (!o->value && after == 0))
			continue;
		add_object(list, o->key, o->version, o->value);
	}
}

/* Responds to a watch if there are changes or @empty; returns whether it did. */
static bool respond_watch(struct platform *p, SoupServerMessage *msg, const char *prefix,
			  uint64_t after, bool empty)
{
	g_autoptr(GArray) list = g_array_new(FALSE, FALSE, sizeof(struct plat_object));

	list_objects(p, prefix, after, list);
	if (list->len == 0 && !empty)
		return false;
	respond_list(msg, list, p->version);
	return true;
}

static void finish_watch(struct pending *w, bool empty)
{
	if (!w->finished && !respond_watch(w->p, w->msg, w->name, w->after, empty))
		return;
	if (!w->finished)
		soup_server_message_unpause(w->msg);
	w->p->watches = g_list_remove(w->p->watches, w);
	pending_free(w);
}

static gboolean on_watch_timeout(gpointer arg)
{
	struct pending *w = arg;

	w->timer = 0;
	finish_watch(w, true);
	return G_SOURCE_REMOVE;
}

static void notify_watches(struct platform *p, const char *key)
{
	for (GList *at = p->watches; at;) {
		struct pending *w = at->data;

		at = at->next;
		if (w->finished || g_str_has_prefix(key, w->name))
			finish_watch(w, false);
	}
}

static void prune_tombstones(struct platform *p)
{
	while (g_queue_get_length(&p->tombstones) > TOMBSTONES_MAX) {
		g_autofree char *key = g_queue_pop_head(&p->tombstones);
		struct object *o = g_tree_lookup(p->objects, key);

		if (o && !o->value) {
			p->pruned_version = MAX(p->pruned_version, o->version);
			g_tree_remove(p->objects, key);
		}
	}
}

static void store_object(struct platform *p, const char *key, GBytes *value)
{
	struct object *o = g_new0(struct object, 1);

	o->key = g_strdup(key);
	o->version = ++p->version;
	o->value = value ? g_bytes_ref(value) : NULL;
	g_tree_replace(p->objects, o->key, o);
	if (!value)
		g_queue_push_tail(&p->tombstones, g_strdup(key));
	prune_tombstones(p);
	notify_watches(p, key);
}

static bool consume_token(struct bucket *b)
{
	gint64 now = g_get_monotonic_time();
	double burst = MAX(b->rate * BURST_SECONDS, 1.0);

	b->tokens =
		MIN(burst, b->tokens + b->rate * (double)(now - b->last) / (double)G_USEC_PER_SEC);
	b->last = now;
	if (now / G_USEC_PER_SEC != b->second) {
		b->second = now / G_USEC_PER_SEC;
		b->in_second = 0;
	}
	b->in_second++;
	b->peak = MAX(b->peak, b->in_second);
	if (b->tokens < 1.0)
		return false;
	b->tokens -= 1.0;
	return true;
}

static void apply_write(struct platform *p, SoupServerMessage *msg, const char *key)
{
	bool put = strcmp(soup_server_message_get_method(msg), "PUT") == 0;
	SoupMessageHeaders *h = soup_server_message_get_request_headers(msg);
	const char *match = soup_message_headers_get_one(h, "If-Match");
	SoupMessageBody *body = soup_server_message_get_request_body(msg);
	struct object *o = g_tree_lookup(p->objects, key);
	uint64_t current = o && o->value ? o->version : 0;
	g_autoptr(GBytes) value = put ? soup_message_body_flatten(body) : NULL;
	guint64 version;

	if (!match || !g_ascii_string_to_unsigned(match, 10, 0, G_MAXINT64, &version, NULL)) {
		respond_error(msg, 400, "If-Match", "expected a version");
		return;
	}
	if (value && g_bytes_get_size(value) > VALUE_MAX_BYTES) {
		respond_error(msg, 413, "body", "the value exceeds 1 MB");
		return;
	}
	if (version != current) {
		p->calls[CALL_CONFLICT]++;
		set_etag(msg, current);
		respond_error(msg, 412, "If-Match", "the version does not match");
		return;
	}
	if (!put && current == 0) {
		respond_error(msg, 404, "key", "no such object");
		return;
	}
	store_object(p, key, value);
	set_etag(msg, p->version);
	soup_server_message_set_status(msg, 200, NULL);
}

static gboolean on_delayed(gpointer arg)
{
	struct pending *w = arg;

	w->timer = 0;
	if (w->late)
		apply_write(w->p, w->msg, w->name);
	if (!w->finished) {
		if (w->drop_connection)
			close_connection(w->msg);
		soup_server_message_unpause(w->msg);
	}
	pending_free(w);
	return G_SOURCE_REMOVE;
}

static void delay_response(struct platform *p, SoupServerMessage *msg, const char *key,
			   bool drop_connection, bool late)
{
	struct pending *w;

	if (p->delay_ms <= 0 && !late) {
		if (drop_connection)
			close_connection(msg);
		return;
	}
	w = pending_new(p, msg, key);
	w->drop_connection = drop_connection;
	w->late = late;
	w->timer = g_timeout_add((guint)MAX(p->delay_ms, 1), on_delayed, w);
}

static void serve_write(struct platform *p, SoupServerMessage *msg, const char *key)
{
	bool late = p->late_writes > 0;
	bool drop_connection = late || p->lose_writes > 0;

	if (late)
		p->late_writes--;
	else if (drop_connection)
		p->lose_writes--;
	if (drop_connection)
		p->calls[CALL_LOST]++;
	if (!late)
		apply_write(p, msg, key);
	delay_response(p, msg, key, drop_connection, late);
}

static void serve_object(struct platform *p, SoupServerMessage *msg, const char *key)
{
	const char *method = soup_server_message_get_method(msg);
	struct object *o = g_tree_lookup(p->objects, key);

	if (strlen(key) > KEY_MAX_BYTES) {
		respond_error(msg, 400, "key", "expected at most 256 bytes");
	} else if (strcmp(method, "PUT") == 0 || strcmp(method, "DELETE") == 0) {
		p->calls[strcmp(method, "PUT") == 0 ? CALL_PUT : CALL_DELETE]++;
		serve_write(p, msg, key);
	} else if (strcmp(method, "GET") != 0) {
		soup_server_message_set_status(msg, 405, NULL);
	} else {
		p->calls[CALL_GET]++;
		if (o && o->value) {
			gsize len;
			const char *data = g_bytes_get_data(o->value, &len);

			set_etag(msg, o->version);
			soup_server_message_set_status(msg, 200, NULL);
			soup_server_message_set_response(msg, "application/octet-stream",
							 SOUP_MEMORY_COPY, data, len);
		} else {
			respond_error(msg, 404, "key", "no such object");
		}
		delay_response(p, msg, key, false, false);
	}
}

static void serve_list(struct platform *p, SoupServerMessage *msg, GHashTable *query)
{
	const char *prefix = query ? g_hash_table_lookup(query, "prefix") : NULL;
	g_autoptr(GArray) list = g_array_new(FALSE, FALSE, sizeof(struct plat_object));

	p->calls[CALL_LIST]++;
	list_objects(p, prefix ? prefix : "", 0, list);
	respond_list(msg, list, p->version);
	delay_response(p, msg, NULL, false, false);
}

static void serve_watch(struct platform *p, SoupServerMessage *msg, GHashTable *query)
{
	const char *prefix = query ? g_hash_table_lookup(query, "prefix") : NULL;
	const char *text = query ? g_hash_table_lookup(query, "after") : NULL;
	struct pending *w;
	guint64 after;

	p->calls[CALL_WATCH]++;
	if (!prefix || !text ||
	    !g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, &after, NULL)) {
		respond_error(msg, 400, "after", "expected prefix and after=VERSION");
		return;
	}
	if (after < p->pruned_version) {
		respond_error(msg, 410, "after", "deletions after this version are forgotten");
		return;
	}
	if (respond_watch(p, msg, prefix, after, false)) {
		delay_response(p, msg, NULL, false, false);
		return;
	}
	w = pending_new(p, msg, prefix);
	w->after = after;
	w->timer = g_timeout_add_seconds(WATCH_TIMEOUT_SECONDS, on_watch_timeout, w);
	p->watches = g_list_prepend(p->watches, w);
}

static void serve_instances(struct platform *p, SoupServerMessage *msg)
{
	g_autoptr(GArray) list = g_array_new(FALSE, FALSE, sizeof(struct plat_object));
	gint64 now = g_get_monotonic_time();
	GHashTableIter it;
	gpointer value;

	p->calls[CALL_INSTANCES]++;
	g_hash_table_iter_init(&it, p->instances);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct instance *i = value;
		bool lagging = now < i->changed_at + p->list_lag_ms * 1000;
		const char *state = lagging ? i->old_state : i->state;

		if (!state || strcmp(state, "gone") == 0)
			continue;
		add_object(list, i->id, i->version,
			   strcmp(state, "live") == 0 ? p->live : p->leaving);
	}
	respond_list(msg, list, p->version);
	delay_response(p, msg, NULL, false, false);
}

/* Applies the current outage to the request; returns false if there is none. */
static bool apply_outage(struct platform *p, SoupServerMessage *msg)
{
	if (p->outage == OUTAGE_NONE)
		return false;
	p->calls[CALL_REFUSED]++;
	if (p->outage == OUTAGE_HANG)
		p->hung = g_list_prepend(p->hung, pending_new(p, msg, NULL));
	else if (p->outage == OUTAGE_ERROR)
		respond_error(msg, 503, "platform", "out of service");
	else
		close_connection(msg);
	return true;
}

static void on_api(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
		   gpointer arg)
{
	struct platform *p = arg;
	const char *method = soup_server_message_get_method(msg);
	bool write = strcmp(method, "PUT") == 0 || strcmp(method, "DELETE") == 0;

	if (apply_outage(p, msg))
		return;
	if (!consume_token(write ? &p->writes : &p->reads)) {
		p->calls[CALL_LIMITED]++;
		respond_error(msg, 429, "rate", "too many calls");
		return;
	}
	if (g_str_has_prefix(path, "/v1/objects/") && path[strlen("/v1/objects/")] != '\0')
		serve_object(p, msg, path + strlen("/v1/objects/"));
	else if (strcmp(path, "/v1/objects") == 0 && !write)
		serve_list(p, msg, query);
	else if (strcmp(path, "/v1/watch") == 0 && !write)
		serve_watch(p, msg, query);
	else if (strcmp(path, "/v1/instances") == 0 && !write)
		serve_instances(p, msg);
	else
		respond_error(msg, 404, "path", "no such route");
}

static void on_counters(SoupServer *server, SoupServerMessage *msg, const char *path,
			GHashTable *query, gpointer arg)
{
	struct platform *p = arg;
	GString *out = g_string_new("{");
	gsize len;

	for (int i = 0; i < CALL_COUNT; i++)
		g_string_append_printf(out, "\"%s\":%" G_GINT64_FORMAT ",", call_names[i],
				       p->calls[i]);
	g_string_append_printf(out,
			       "\"version\":%" G_GUINT64_FORMAT ",\"waiting_watches\":%u,"
			       "\"peak_reads_per_second\":%" G_GINT64_FORMAT
			       ",\"peak_writes_per_second\":%" G_GINT64_FORMAT "}\n",
			       p->version, g_list_length(p->watches), p->reads.peak,
			       p->writes.peak);
	len = out->len;
	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_TAKE,
					 g_string_free(out, FALSE), len);
}

static const char *query_text(GHashTable *query, const char *name)
{
	return query ? g_hash_table_lookup(query, name) : NULL;
}

static void on_instance(SoupServer *server, SoupServerMessage *msg, const char *path,
			GHashTable *query, gpointer arg)
{
	static const char *const states[] = { "live", "leaving", "gone", NULL };
	struct platform *p = arg;
	const char *id = query_text(query, "id");
	const char *state = query_text(query, "state");
	struct instance *i;

	if (!id || !state || !g_strv_contains(states, state)) {
		respond_error(msg, 400, "state", "expected id and state=live, leaving or gone");
		return;
	}
	i = g_hash_table_lookup(p->instances, id);
	if (!i) {
		i = g_new0(struct instance, 1);
		i->id = g_strdup(id);
		g_hash_table_insert(p->instances, i->id, i);
	}
	g_free(i->old_state);
	i->old_state = i->state;
	i->state = g_strdup(state);
	i->changed_at = g_get_monotonic_time();
	i->version = ++p->version;
	soup_server_message_set_status(msg, 200, NULL);
}

static void close_hung(struct platform *p)
{
	while (p->hung) {
		struct pending *w = p->hung->data;

		p->hung = g_list_delete_link(p->hung, p->hung);
		if (!w->finished) {
			close_connection(w->msg);
			soup_server_message_unpause(w->msg);
		}
		pending_free(w);
	}
}

static void set_outage(struct platform *p, enum outage outage);

static gboolean on_outage_end(gpointer arg)
{
	struct platform *p = arg;

	p->outage_timer = 0;
	set_outage(p, OUTAGE_NONE);
	return G_SOURCE_REMOVE;
}

static gboolean on_disconnect(gpointer arg)
{
	struct platform *p = arg;

	if (p->outage == OUTAGE_REFUSE) {
		close_hung(p);
		soup_server_disconnect(p->server);
	}
	return G_SOURCE_REMOVE;
}

static void set_outage(struct platform *p, enum outage outage)
{
	g_autoptr(GError) error = NULL;

	p->outage = outage;
	if (outage == OUTAGE_NONE)
		close_hung(p);
	if (outage == OUTAGE_REFUSE)
		g_timeout_add(DISCONNECT_DELAY_MS, on_disconnect, p);
	else if (!soup_server_get_listeners(p->server) &&
		 !soup_server_listen(p->server, G_SOCKET_ADDRESS(p->address), 0, &error))
		g_printerr("standin-platform: cannot listen again: %s\n", error->message);
}

static int parse_outage(const char *text)
{
	for (int i = 0; i < OUTAGE_COUNT; i++) {
		if (strcmp(text, outage_names[i]) == 0)
			return i;
	}
	return -1;
}

static bool set_number(GHashTable *query, const char *name, gint64 *out)
{
	const char *text = query_text(query, name);
	guint64 n;

	if (!text)
		return true;
	if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT32, &n, NULL))
		return false;
	*out = (gint64)n;
	return true;
}

static void on_fault(SoupServer *server, SoupServerMessage *msg, const char *path,
		     GHashTable *query, gpointer arg)
{
	struct platform *p = arg;
	const char *outage = query_text(query, "outage");
	int kind = outage ? parse_outage(outage) : (int)p->outage;
	gint64 for_ms = 0;

	if (query_text(query, "clear")) {
		p->delay_ms = p->lose_writes = p->late_writes = p->list_lag_ms = 0;
		kind = outage ? kind : OUTAGE_NONE;
	}
	if (kind < 0 || !set_number(query, "for_ms", &for_ms) ||
	    !set_number(query, "delay_ms", &p->delay_ms) ||
	    !set_number(query, "lose_writes", &p->lose_writes) ||
	    !set_number(query, "late_writes", &p->late_writes) ||
	    !set_number(query, "list_lag_ms", &p->list_lag_ms)) {
		respond_error(msg, 400, "fault", "expected a known outage and numbers");
		return;
	}
	if (kind == OUTAGE_REFUSE && for_ms == 0 && !p->separate_admin) {
		respond_error(msg, 400, "for_ms",
			      "expected with outage=refuse without --admin-listen");
		return;
	}
	if (kind != (int)p->outage || for_ms > 0) {
		g_clear_handle_id(&p->outage_timer, g_source_remove);
		set_outage(p, (enum outage)kind);
		if (for_ms > 0)
			p->outage_timer = g_timeout_add((guint)for_ms, on_outage_end, p);
	}
	soup_server_message_set_status(msg, 200, NULL);
}

static void add_admin(SoupServer *s, struct platform *p)
{
	soup_server_add_handler(s, "/admin/counters", on_counters, p, NULL);
	soup_server_add_handler(s, "/admin/instance", on_instance, p, NULL);
	soup_server_add_handler(s, "/admin/fault", on_fault, p, NULL);
}

/* Listens on "IP:PORT" in @text; returns the bound address, or NULL after printing an error. */
static GInetSocketAddress *listen_on(SoupServer *s, const char *option, const char *text)
{
	g_autoptr(GSocketConnectable) c = g_network_address_parse(text, 0, NULL);
	g_autoptr(GSocketAddress) a = NULL;
	g_autoptr(GError) error = NULL;
	GSList *listeners;
	GSocketAddress *bound;

	if (c)
		a = g_inet_socket_address_new_from_string(
			g_network_address_get_hostname(G_NETWORK_ADDRESS(c)),
			g_network_address_get_port(G_NETWORK_ADDRESS(c)));
	if (!a) {
		g_printerr("standin-platform: --%s: expected IP:PORT\n", option);
		return NULL;
	}
	if (!soup_server_listen(s, a, 0, &error)) {
		g_printerr("standin-platform: --%s: %s\n", option, error->message);
		return NULL;
	}
	listeners = soup_server_get_listeners(s);
	bound = g_socket_get_local_address(listeners->data, NULL);
	g_slist_free(listeners);
	return G_INET_SOCKET_ADDRESS(bound);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer arg)
{
	return strcmp(a, b);
}

static void platform_init(struct platform *p, int write_rate, int read_rate)
{
	p->objects = g_tree_new_full(compare_keys, NULL, NULL, object_free);
	p->instances = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, instance_free);
	p->live = g_bytes_new_static("live", strlen("live"));
	p->leaving = g_bytes_new_static("leaving", strlen("leaving"));
	p->reads.rate = read_rate;
	p->writes.rate = write_rate;
	p->reads.last = p->writes.last = g_get_monotonic_time() - G_USEC_PER_SEC;
	p->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(p->server, "/v1", on_api, p, NULL);
	add_admin(p->server, p);
}

int main(int argc, char **argv)
{
	g_autoptr(GOptionContext) context = g_option_context_new("- stand-in for the object API");
	g_autoptr(GError) error = NULL;
	g_autofree char *listen = NULL;
	g_autofree char *admin_listen = NULL;
	gint write_rate = DEFAULT_WRITE_RATE;
	gint read_rate = DEFAULT_READ_RATE;
	struct platform p = { 0 };
	SoupServer *admin = NULL;
	GInetSocketAddress *admin_address = NULL;
	GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "Address of the API", "IP:PORT" },
		{ "admin-listen", 0, 0, G_OPTION_ARG_STRING, &admin_listen,
		  "Address of the admin routes alone, reachable also in an outage", "IP:PORT" },
		{ "write-rate", 0, 0, G_OPTION_ARG_INT, &write_rate, "Writes per second", "N" },
		{ "read-rate", 0, 0, G_OPTION_ARG_INT, &read_rate, "Reads per second", "N" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		g_printerr("standin-platform: %s\n", error->message);
		return 2;
	}
	if (write_rate < 1 || read_rate < 1) {
		g_printerr("standin-platform: --write-rate, --read-rate: expected at least 1\n");
		return 2;
	}
	platform_init(&p, write_rate, read_rate);
	p.address = listen_on(p.server, "listen", listen ? listen : "127.0.0.1:0");
	if (!p.address)
		return 2;
	if (admin_listen) {
		admin = soup_server_new(NULL, NULL);
		add_admin(admin, &p);
		admin_address = listen_on(admin, "admin-listen", admin_listen);
		if (!admin_address)
			return 2;
		p.separate_admin = true;
		printf("admin 127.0.0.1:%u\n", g_inet_socket_address_get_port(admin_address));
	}
	printf("listening 127.0.0.1:%u\n", g_inet_socket_address_get_port(p.address));
	fflush(stdout);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
