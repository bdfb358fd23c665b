#include <stdlib.h>
#include <string.h>

#include "front/front_priv.h"

/* Checks the operator token; sets status 401 if it is missing or wrong. */
static bool authorized(struct front *f, SoupServerMessage *msg)
{
	const char *received = soup_message_headers_get_one(
		soup_server_message_get_request_headers(msg), "Authorization");
	g_autofree char *expected = g_strdup_printf("Bearer %s", f->settings->operator_token);

	if (received && strlen(received) == strlen(expected)) {
		unsigned char diff = 0;

		/* The duration must not depend on where the strings differ. */
		for (size_t i = 0; expected[i]; i++)
			diff |= (unsigned char)(expected[i] ^ received[i]);
		if (diff == 0)
			return true;
	}
	soup_server_message_set_status(msg, SOUP_STATUS_UNAUTHORIZED, NULL);
	return false;
}

static void send_text(SoupServerMessage *msg, GString *text)
{
	soup_server_message_set_status(msg, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(msg, "text/plain", SOUP_MEMORY_COPY, text->str, text->len);
}

static void print_service(gpointer key, gpointer value, gpointer out)
{
	const struct front_service *s = value;

	for (int rank = 0; rank < RANK_COUNT; rank++)
		g_string_append_printf(out, "service.%s.%s queued=%u running=%u\n", s->name,
				       err_rank_name(rank), admit_queued_count(s->admit, rank),
				       admit_running_count(s->admit, rank));
	g_string_append_printf(out, "service.%s.limit %.1f\n", s->name, admit_limit(s->admit));
}

static void print_upstreams(struct front *f, GString *out)
{
	int64_t now = g_get_monotonic_time();

	for (uint32_t i = 0; i < member_slots(f->member); i++) {
		const struct member_entry *m = member_at(f->member, i);
		struct load_estimate v;

		if (!m)
			continue;
		load_estimate(f->load, m->handle, now, &v);
		g_string_append_printf(out,
				       "upstream.%s state=%s service=%s domain=%s weight=%.2f "
				       "tokens=%.0f own_tokens=%.0f own_requests=%u\n",
				       m->id, member_state_name(m->state), m->service,
				       m->failure_domain, m->weight, v.tokens, v.own_tokens,
				       v.own_requests);
	}
}

static void on_status(SoupServer *server, SoupServerMessage *msg, const char *path,
		      GHashTable *query, gpointer arg)
{
	struct front *f = arg;
	g_autoptr(GString) out = g_string_new(NULL);

	if (!authorized(f, msg))
		return;
	g_string_append_printf(out,
			       "instance %s\nfailure_domain %s\nversion %s\n"
			       "config_version %" G_GUINT64_FORMAT "\n"
			       "config_digest %016" G_GINT64_MODIFIER "x\n"
			       "ready %s\nrequests_open %u\ninstances %u\ninstances_domain %u\n",
			       f->settings->instance, f->settings->failure_domain, TH_VERSION,
			       conf_version(f->conf), conf_digest(f->conf),
			       f->configured && !f->draining ? "yes" : "no", f->n_requests,
			       f->n_instances, f->n_domain_instances);
	control_status(f->control, out);
	g_hash_table_foreach(f->services, print_service, out);
	print_upstreams(f, out);
	send_text(msg, out);
}

static void on_metrics(SoupServer *server, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer arg)
{
	g_autoptr(GString) out = g_string_new(NULL);

	if (!authorized(arg, msg))
		return;
	ctr_print(out);
	send_text(msg, out);
}

static void on_events(SoupServer *server, SoupServerMessage *msg, const char *path,
		      GHashTable *query, gpointer arg)
{
	struct front *f = arg;
	const char *since = query ? g_hash_table_lookup(query, "since") : NULL;
	g_autoptr(GString) out = g_string_new(NULL);

	if (!authorized(f, msg))
		return;
	evt_print(f->ring, since ? strtoull(since, NULL, 10) : 0, out);
	send_text(msg, out);
}

/* For fault tests. POST /peers?address=IP:PORT&block=yes|no blocks or unblocks a peer's traffic. */
static void on_peers(SoupServer *server, SoupServerMessage *msg, const char *path,
		     GHashTable *query, gpointer arg)
{
	struct front *f = arg;
	const char *address = query ? g_hash_table_lookup(query, "address") : NULL;
	const char *block = query ? g_hash_table_lookup(query, "block") : NULL;

	if (!authorized(f, msg))
		return;
	if (strcmp(soup_server_message_get_method(msg), "POST") != 0 || !address || !block) {
		soup_server_message_set_status(msg, SOUP_STATUS_BAD_REQUEST, NULL);
		return;
	}
	control_block_peer(f->control, address, strcmp(block, "yes") == 0);
	soup_server_message_set_status(msg, SOUP_STATUS_OK, NULL);
}

void front_add_operator_routes(struct front *f)
{
	soup_server_add_handler(f->operator_server, "/status", on_status, f, NULL);
	soup_server_add_handler(f->operator_server, "/metrics", on_metrics, f, NULL);
	soup_server_add_handler(f->operator_server, "/events", on_events, f, NULL);
	soup_server_add_handler(f->operator_server, "/peers", on_peers, f, NULL);
}
