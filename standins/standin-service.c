/*
 * Stand-in of a plain service: responds to any call with JSON of the idempotency key, how often
 * that key ran, and the request body. Counts runs per key to detect calls that ran twice.
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

static GHashTable *runs; /* key -> number of runs */
static uint64_t epoch;
static uint32_t n_running;
static uint64_t n_calls;
static int drop_responses; /* number of next responses to drop after their call ran */

static char *opt_listen = "127.0.0.1:0";
static int opt_delay_ms = 20;
static int opt_slots = 32;

static GOptionEntry entries[] = {
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &opt_listen, "Address", "IP:PORT" },
	{ "delay-ms", 0, 0, G_OPTION_ARG_INT, &opt_delay_ms, "Duration of a call", "MS" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &opt_slots, "Calls that may run at once", "N" },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static char *load_text(void)
{
	static uint64_t seq;
	struct load_report r = {
		.epoch = epoch,
		.seq = seq,
		.running = n_running,
		.running_tokens = n_running, /* a call counts as one token */
		.slots = (uint32_t)opt_slots,
	};

	seq++;
	return eng_format_load(&r);
}

struct call {
	SoupServerMessage *msg; /* owned reference */
	char *key; /* idempotency key or NULL */
	char *body; /* request body */
};

static void json_set(JsonBuilder *b, const char *name, const char *value)
{
	json_builder_set_member_name(b, name);
	json_builder_add_string_value(b, value ? value : "");
}

static char *response_json(const struct call *c, int run)
{
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autoptr(JsonNode) root = NULL;

	json_builder_begin_object(b);
	json_set(b, "key", c->key);
	json_builder_set_member_name(b, "run");
	json_builder_add_int_value(b, run);
	json_set(b, "echo", c->body);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	return json_to_string(root, FALSE);
}

static void call_free(struct call *c)
{
	g_object_unref(c->msg);
	g_free(c->key);
	g_free(c->body);
	g_free(c);
}

static gboolean on_call_done(gpointer arg)
{
	struct call *c = arg;
	int run = c->key ? GPOINTER_TO_INT(g_hash_table_lookup(runs, c->key)) : 1;
	g_autofree char *response = response_json(c, run);
	g_autofree char *load = load_text();

	n_running--;
	if (drop_responses > 0) {
		GIOStream *conn = soup_server_message_steal_connection(c->msg);

		drop_responses--;
		g_io_stream_close(conn, NULL, NULL);
		g_object_unref(conn);
	} else {
		soup_server_message_set_status(c->msg, 200, NULL);
		soup_message_headers_replace(soup_server_message_get_response_headers(c->msg),
					     ENG_HEADER_LOAD, load);
		soup_server_message_set_response(c->msg, "application/json", SOUP_MEMORY_COPY,
						 response, strlen(response));
		soup_server_message_unpause(c->msg);
	}
	call_free(c);
	return G_SOURCE_REMOVE;
}

static void on_call(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
		    gpointer unused)
{
	struct call *c = g_new0(struct call, 1);
	g_autoptr(GBytes) bytes =
		soup_message_body_flatten(soup_server_message_get_request_body(msg));

	c->msg = g_object_ref(msg);
	c->key = g_strdup(soup_message_headers_get_one(soup_server_message_get_request_headers(msg),
						       ENG_HEADER_IDEMPOTENCY));
	c->body = g_strndup(g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));
	n_calls++;
	n_running++;
	if (c->key)
		g_hash_table_insert(
			runs, g_strdup(c->key),
			GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(runs, c->key)) + 1));
	soup_server_message_pause(msg);
	g_timeout_add((guint)opt_delay_ms, on_call_done, c);
}

static void on_load(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
		    gpointer unused)
{
	g_autofree char *text = load_text();

	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(msg, "text/plain", SOUP_MEMORY_COPY, text, strlen(text));
}

static void add_run(gpointer key, gpointer n, gpointer b)
{
	json_builder_set_member_name(b, key);
	json_builder_add_int_value(b, GPOINTER_TO_INT(n));
}

/* GET /admin/runs: runs per key; POST /admin/fault?drop=N: drops the next N responses */
static void on_admin(SoupServer *server, SoupServerMessage *msg, const char *path,
		     GHashTable *query, gpointer unused)
{
	const char *drop = query ? g_hash_table_lookup(query, "drop") : NULL;
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autoptr(JsonNode) root = NULL;
	g_autofree char *text = NULL;

	if (strcmp(path, "/admin/fault") == 0)
		drop_responses = drop ? atoi(drop) : 0;
	json_builder_begin_object(b);
	g_hash_table_foreach(runs, add_run, b);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	text = json_to_string(root, FALSE);
	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_COPY, text,
					 strlen(text));
}

int main(int argc, char **argv)
{
	g_autoptr(GOptionContext) context = g_option_context_new("- stand-in of a plain service");
	g_autoptr(GError) error = NULL;
	g_autoptr(GSocketConnectable) at = NULL;
	g_autoptr(GSocketAddress) address = NULL;
	g_autoptr(SoupServer) server = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) ||
	    !(at = g_network_address_parse(opt_listen, 0, &error))) {
		fprintf(stderr, "standin-service: %s\n", error->message);
		return 2;
	}
	address = g_inet_socket_address_new_from_string(
		g_network_address_get_hostname(G_NETWORK_ADDRESS(at)),
		g_network_address_get_port(G_NETWORK_ADDRESS(at)));
	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	epoch = (uint64_t)g_get_real_time();
	server = soup_server_new("server-header", "standin-service", NULL);
	eng_echo_request_id(server);
	soup_server_add_handler(server, NULL, on_call, NULL, NULL);
	soup_server_add_handler(server, ENG_PATH_LOAD, on_load, NULL, NULL);
	soup_server_add_handler(server, "/admin", on_admin, NULL, NULL);
	if (!soup_server_listen(server, address, 0, &error)) {
		fprintf(stderr, "standin-service: %s\n", error->message);
		return 1;
	}
	printf("listening on port %d\n", g_uri_get_port(soup_server_get_uris(server)->data));
	fflush(stdout);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}
