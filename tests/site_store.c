#include "site_store.h"

#include "listen/listen.h"

#include <glib-unix.h>
#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_HISTORY_CHANGES 1000U /* in the event history */

struct object {
	char *kind;
	char *name;
	char *spec; /* JSON */
	uint64_t revision;
	uint64_t create_revision;
};

/* An entry of the event history that watches receive. */
struct change {
	char *kind;
	char *json; /* the event */
	uint64_t revision;
};

/* Each instance has its own port, so that the calls of one of them can be rejected. */
struct store_port {
	struct site_store *store;
	uint16_t port;
	int fd;
	guint source;
};

struct site_store {
	GPtrArray *ports; /* of struct store_port, owned */
	GPtrArray *conns; /* of struct store_conn, owned */
	GPtrArray *objects; /* of struct object */
	GPtrArray *copy; /* of struct object; NULL: none was kept */
	uint64_t copy_revision;
	uint32_t era; /* number of restores, plus one */
	GQueue changes; /* of struct change, oldest first */
	uint64_t revision;
	uint64_t oldest; /* watches from an older revision get 410 */
	enum site_store_mode mode;
	uint16_t rejected_port; /* calls at this port get no response; 0: none */
	const char *hung_kind; /* calls about it get no response, borrowed; NULL: none */
	uint32_t calls;
};

struct store_conn {
	struct site_store *store;
	struct http_conn *conn;
	uint16_t port; /* local port */
	char *method;
	char *target;
	GString *body;
	char *watch_kind; /* NULL: no watch is open */
	uint64_t watch_from;
	guint timer;
};

static void object_free(gpointer p)
{
	struct object *o = p;

	g_free(o->kind);
	g_free(o->name);
	g_free(o->spec);
	g_free(o);
}

static void change_free(struct change *c)
{
	g_free(c->kind);
	g_free(c->json);
	g_free(c);
}

static void conn_free(gpointer p)
{
	struct store_conn *c = p;

	http_conn_free(c->conn);
	if (c->timer)
		g_source_remove(c->timer);
	g_free(c->method);
	g_free(c->target);
	g_free(c->watch_kind);
	g_string_free(c->body, TRUE);
	g_free(c);
}

static void drop_conn(struct store_conn *c)
{
	g_ptr_array_remove(c->store->conns, c);
}

static void respond(struct store_conn *c, int status, const char *json)
{
	g_autofree char *text =
		g_strdup_printf("HTTP/1.1 %d X\r\n%sStore-Era: %u\r\nContent-Type: "
				"application/json\r\nContent-Length: %zu\r\n\r\n%s",
				status, c->store->mode == SITE_STORE_MALFORMED ? "X Y: 1\r\n" : "",
				c->store->era, strlen(json), json);

	http_conn_write(c->conn, text, strlen(text));
	http_conn_read_next(c->conn);
}

static char *object_json(const struct object *o)
{
	return g_strdup_printf(
		"{\"metadata\":{\"name\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
		",\"create_rev\":%" G_GUINT64_FORMAT
		",\"finalizers\":[],\"deleting\":false},\"spec\":%s,\"status\":null}",
		o->name, o->revision, o->create_revision, o->spec);
}

/* Watch response with all changes of @kind after @from; NULL if there are none. */
static char *events_json(const struct site_store *s, const char *kind, uint64_t from)
{
	g_autoptr(GString) out = g_string_new("{\"events\":[");
	uint32_t n = 0;

	for (GList *l = s->changes.head; l; l = l->next) {
		const struct change *c = l->data;

		if (c->revision > from && strcmp(c->kind, kind) == 0)
			g_string_append_printf(out, "%s%s", n++ ? "," : "", c->json);
	}
	g_string_append_printf(out, "],\"current_rev\":%" G_GUINT64_FORMAT "}", s->revision);
	return n ? g_strdup(out->str) : NULL;
}

static void finish_watch(struct store_conn *c, int status, const char *json)
{
	g_clear_pointer(&c->watch_kind, g_free);
	if (c->timer)
		g_source_remove(c->timer);
	c->timer = 0;
	respond(c, status, json);
}

static void notify_watches(struct site_store *s)
{
	for (guint i = 0; i < s->conns->len; i++) {
		struct store_conn *c = s->conns->pdata[i];
		g_autofree char *json =
			c->watch_kind ? events_json(s, c->watch_kind, c->watch_from) : NULL;

		if (json && (s->mode == SITE_STORE_OK || s->mode == SITE_STORE_MALFORMED))
			finish_watch(c, 200, json);
	}
}

static void add_change(struct site_store *s, const struct object *o, bool deleted)
{
	struct change *c = g_new0(struct change, 1);
	g_autofree char *json = object_json(o);

	c->kind = g_strdup(o->kind);
	c->revision = s->revision;
	c->json =
		g_strdup_printf("{\"deleted\":%s,\"object\":%s}", deleted ? "true" : "false", json);
	g_queue_push_tail(&s->changes, c);
	if (s->changes.length > MAX_HISTORY_CHANGES)
		change_free(g_queue_pop_head(&s->changes));
	notify_watches(s);
}

static struct object *find(const struct site_store *s, const char *kind, const char *name)
{
	for (guint i = 0; i < s->objects->len; i++) {
		struct object *o = s->objects->pdata[i];

		if (strcmp(o->kind, kind) == 0 && strcmp(o->name, name) == 0)
			return o;
	}
	return NULL;
}

void site_store_put(struct site_store *s, const char *kind, const char *name, const char *spec)
{
	struct object *o = find(s, kind, name);

	if (o && strcmp(o->spec, spec) == 0)
		return;
	if (!o) {
		o = g_new0(struct object, 1);
		o->kind = g_strdup(kind);
		o->name = g_strdup(name);
		o->create_revision = s->revision + 1;
		g_ptr_array_add(s->objects, o);
	}
	g_free(o->spec);
	o->spec = g_strdup(spec);
	o->revision = ++s->revision;
	add_change(s, o, false);
}

const char *site_store_get(const struct site_store *s, const char *kind, const char *name)
{
	const struct object *o = find(s, kind, name);

	return o ? o->spec : NULL;
}

void site_store_delete(struct site_store *s, const char *kind, const char *name)
{
	struct object *o = find(s, kind, name);

	if (!o)
		return;
	s->revision++;
	add_change(s, o, true);
	g_ptr_array_remove(s->objects, o);
}

static void list(struct store_conn *c, const char *kind)
{
	struct site_store *s = c->store;
	g_autoptr(GString) out = g_string_new("{\"items\":[");
	uint32_t n = 0;

	for (guint i = 0; i < s->objects->len; i++) {
		const struct object *o = s->objects->pdata[i];
		g_autofree char *json = NULL;

		if (strcmp(o->kind, kind) != 0)
			continue;
		json = object_json(o);
		g_string_append_printf(out, "%s%s", n++ ? "," : "", json);
	}
	g_string_append_printf(out, "],\"has_more\":false,\"current_rev\":%" G_GUINT64_FORMAT "}",
			       s->revision);
	respond(c, 200, out->str);
}

static void get_one(struct store_conn *c, const char *kind, const char *name)
{
	const struct object *o = find(c->store, kind, name);
	g_autofree char *json = o ? object_json(o) : NULL;

	respond(c, o ? 200 : 404, o ? json : "{}");
}

static gboolean on_watch_timeout(gpointer arg)
{
	struct store_conn *c = arg;
	g_autofree char *json = g_strdup_printf(
		"{\"events\":[],\"current_rev\":%" G_GUINT64_FORMAT "}", c->store->revision);

	c->timer = 0;
	finish_watch(c, 200, json);
	return G_SOURCE_REMOVE;
}

static void watch(struct store_conn *c, const char *kind, const char *query)
{
	const char *from = strstr(query, "watch=");
	const char *wait = strstr(query, "wait_ms=");
	g_autofree char *json = NULL;

	c->watch_from = from ? strtoull(from + 6, NULL, 10) : 0;
	/* A revision of an earlier era may not have been given out again yet. */
	if (c->watch_from < c->store->oldest || c->watch_from > c->store->revision) {
		respond(c, 410, "{\"error\":\"history\"}");
		return;
	}
	json = events_json(c->store, kind, c->watch_from);
	if (json) {
		respond(c, 200, json);
		return;
	}
	c->watch_kind = g_strdup(kind);
	c->timer =
		g_timeout_add(wait ? (guint)strtoul(wait + 8, NULL, 10) : 0, on_watch_timeout, c);
}

static void write_call(struct store_conn *c, const char *kind, const char *name)
{
	struct site_store *s = c->store;
	g_autoptr(JsonParser) parser = json_parser_new();
	g_autofree char *spec = NULL;
	JsonObject *o;
	const struct object *existing;
	const char *name_in_body;

	if (strcmp(c->method, "DELETE") == 0) {
		site_store_delete(s, kind, name);
		respond(c, 200, "{}");
		return;
	}
	g_assert_true(json_parser_load_from_data(parser, c->body->str, -1, NULL));
	o = json_node_get_object(json_parser_get_root(parser));
	spec = json_to_string(json_object_get_member(o, "spec"), FALSE);
	name_in_body =
		json_object_get_string_member(json_object_get_object_member(o, "metadata"), "name");
	existing = strcmp(c->method, "POST") == 0 ? find(s, kind, name_in_body) : NULL;
	if (existing) {
		g_autofree char *json = object_json(existing);

		respond(c, 409, json);
		return;
	}
	site_store_put(s, kind, name_in_body, spec);
	if (s->mode == SITE_STORE_DROP_WRITE_RESPONSES)
		drop_conn(c);
	else
		respond(c, 200, "{}");
}

static void close_without_response(struct store_conn *c)
{
	drop_conn(c);
}

static void on_head(void *owner, struct http_head *h)
{
	struct store_conn *c = owner;

	g_free(c->method);
	g_free(c->target);
	c->method = g_strdup(h->method);
	c->target = g_strdup(h->target->str);
	g_string_truncate(c->body, 0);
}

static void on_body(void *owner, const char *data, size_t len)
{
	g_string_append_len(((struct store_conn *)owner)->body, data, (gssize)len);
}

static void on_end(void *owner)
{
	struct store_conn *c = owner;
	struct site_store *s = c->store;
	g_auto(GStrv) halves = g_strsplit(c->target, "?", 2);
	g_auto(GStrv) path = g_strsplit(halves[0], "/", 4);
	const char *kind = path[1] && path[2] ? path[2] : "";

	s->calls++;
	if (s->mode == SITE_STORE_HANG || g_strcmp0(s->hung_kind, kind) == 0)
		return;
	if (s->mode == SITE_STORE_RESET || (s->rejected_port && s->rejected_port == c->port)) {
		close_without_response(c);
		return;
	}
	if (s->mode == SITE_STORE_503) {
		respond(c, 503, "{}");
		return;
	}
	if (strcmp(c->method, "GET") != 0)
		write_call(c, kind, path[3]);
	else if (halves[1] && strstr(halves[1], "watch="))
		watch(c, kind, halves[1]);
	else if (path[3])
		get_one(c, kind, path[3]);
	else
		list(c, kind);
}

static void on_closed(void *owner, enum http_close_reason why)
{
	drop_conn(owner);
}

static const struct http_ops ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
};

static gboolean on_accept(gint fd, GIOCondition cond, gpointer arg)
{
	struct store_port *p = arg;
	struct site_store *s = p->store;
	int sock = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct store_conn *c;

	if (sock < 0)
		return G_SOURCE_CONTINUE;
	c = g_new0(struct store_conn, 1);
	c->store = s;
	c->port = p->port;
	c->body = g_string_new(NULL);
	c->conn = http_conn_accept(sock, &ops, c);
	g_ptr_array_add(s->conns, c);
	return G_SOURCE_CONTINUE;
}

static void port_free(gpointer arg)
{
	struct store_port *p = arg;

	g_source_remove(p->source);
	close(p->fd);
	g_free(p);
}

struct site_store *site_store_new(void)
{
	struct site_store *s = g_new0(struct site_store, 1);

	s->ports = g_ptr_array_new_with_free_func(port_free);
	s->conns = g_ptr_array_new_with_free_func(conn_free);
	s->objects = g_ptr_array_new_with_free_func(object_free);
	s->revision = 100;
	s->era = 1;
	g_queue_init(&s->changes);
	return s;
}

void site_store_listen(struct site_store *s, uint16_t port)
{
	struct store_port *p = g_new0(struct store_port, 1);
	g_autofree char *addr = g_strdup_printf("127.0.0.1:%u", port);

	p->store = s;
	p->port = port;
	p->fd = listen_open(addr);
	g_assert_cmpint(p->fd, >=, 0);
	p->source = g_unix_fd_add(p->fd, G_IO_IN, on_accept, p);
	g_ptr_array_add(s->ports, p);
}

void site_store_free(struct site_store *s)
{
	struct change *c;

	g_ptr_array_unref(s->ports);
	g_ptr_array_unref(s->conns);
	g_ptr_array_unref(s->objects);
	g_clear_pointer(&s->copy, g_ptr_array_unref);
	while ((c = g_queue_pop_head(&s->changes)))
		change_free(c);
	g_free(s);
}

/* Closes the connections accepted at @port; 0: all connections. */
static void close_conns(struct site_store *s, uint16_t port)
{
	for (guint i = s->conns->len; i > 0; i--) {
		struct store_conn *c = s->conns->pdata[i - 1];

		if (!port || c->port == port)
			close_without_response(c);
	}
}

void site_store_set_mode(struct site_store *s, enum site_store_mode mode)
{
	s->mode = mode;
	if (mode == SITE_STORE_RESET || mode == SITE_STORE_503)
		close_conns(s, 0);
	if (mode == SITE_STORE_OK)
		notify_watches(s);
}

void site_store_set_rejected_port(struct site_store *s, uint16_t port)
{
	s->rejected_port = port;
	if (port)
		close_conns(s, port);
}

void site_store_set_hung_kind(struct site_store *s, const char *kind)
{
	s->hung_kind = kind;
	if (!kind)
		close_conns(s, 0);
}

void site_store_drop_history(struct site_store *s)
{
	struct change *c;

	while ((c = g_queue_pop_head(&s->changes)))
		change_free(c);
	s->oldest = s->revision;
	close_conns(s, 0);
}

static GPtrArray *copy_objects(const GPtrArray *objects)
{
	GPtrArray *copy = g_ptr_array_new_with_free_func(object_free);

	for (guint i = 0; i < objects->len; i++) {
		const struct object *o = objects->pdata[i];
		struct object *c = g_memdup2(o, sizeof(*o));

		c->kind = g_strdup(o->kind);
		c->name = g_strdup(o->name);
		c->spec = g_strdup(o->spec);
		g_ptr_array_add(copy, c);
	}
	return copy;
}

void site_store_keep_copy(struct site_store *s)
{
	g_clear_pointer(&s->copy, g_ptr_array_unref);
	s->copy = copy_objects(s->objects);
	s->copy_revision = s->revision;
}

void site_store_restore_copy(struct site_store *s)
{
	g_ptr_array_unref(s->objects);
	s->objects = copy_objects(s->copy);
	s->revision = s->copy_revision;
	s->era++;
	site_store_drop_history(s);
}

uint32_t site_store_call_count(const struct site_store *s)
{
	return s->calls;
}
