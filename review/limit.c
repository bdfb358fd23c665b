/*
 * Driver of the case of the raised limit: limit RECORD. The operator raises max_header_bytes in a
 * new configuration. Callers that keep their connections open send requests that it allows.
 */
#include <string.h>

#include "kept.h"
#include "record.h"
#include "tests/site_store.h"

#define N_INSTANCES  3U
#define CALLERS	     12U /* to each instance */
#define N_KEPT	     (N_INSTANCES * CALLERS)
#define LIMIT_BEFORE 8192U /* max_header_bytes */
#define LIMIT_AFTER  16384U
#define LONG_HEADER  10000U /* bytes, within the second limit */
#define WAIT_MS	     6000U /* bounds.config_apply_ms is 2,000 */
#define SMALL_ROUNDS 3U
#define ANSWER_MS    500U
#define DENIED_MAX   5U /* and one in 500, that the rule allows */

struct run {
	struct site *site;
	struct kept kept[N_KEPT];
	guint n_sent;
	guint denied;
};

static void publish(struct site *s, guint limit)
{
	g_autofree char *spec = g_strdup_printf(
		"{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[%s],\"services\":["
		"{\"name\":\"chat\",\"health_path\":\"/health\",\"max_conns\":100},"
		"{\"name\":\"shop\",\"health_path\":\"/health\",\"max_conns\":100}],"
		"\"limits\":{\"max_header_bytes\":%u,\"max_body_bytes\":65536,"
		"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[%s]}",
		s->config_version += 2, s->routes->str, limit, s->keys->str);

	site_store_put(s->store, "config", "main", spec);
	record_line("the store has acknowledged version %" G_GUINT64_FORMAT
		    " with max_header_bytes %u",
		    s->config_version, limit);
}

/* One request on each connection; returns when they are answered. */
static void send_round(struct run *r, const char *extra)
{
	for (guint i = 0; i < N_KEPT; i++) {
		char id[32];

		g_snprintf(id, sizeof(id), "once-%u", r->n_sent++);
		if (!r->kept[i].conn)
			kept_open(&r->kept[i], case_instance(r->site, i / CALLERS));
		kept_send(&r->kept[i], "/once/x", id, extra);
	}
	site_run_for(ANSWER_MS);
	for (guint i = 0; i < N_KEPT; i++) {
		const struct kept *k = &r->kept[i];

		record_line("%s to %s, %zu bytes of headers more than usual: status %d, runs %u",
			    k->id, k->instance->name, strlen(extra), k->status,
			    case_runs(r->site, k->id));
		r->denied += k->status / 100 == 4 && k->status != 408 && k->status != 429;
	}
}

int main(int argc, char **argv)
{
	static struct run run;
	struct run *r = &run;
	static const char *const domains[N_INSTANCES] = { "z-a", "z-b", "z-c" };
	g_autofree char *filler = g_strnfill(LONG_HEADER, 'x');
	g_autofree char *header = g_strdup_printf("X-Context: %s\r\n", filler);
	guint allowed;

	if (argc != 2 || !record_open(argv[1]))
		return NOT_RUN;
	r->site = site_new();
	site_add_defaults(r->site);
	publish(r->site, has_trouble() ? LIMIT_BEFORE : LIMIT_AFTER);
	for (guint i = 0; i < N_INSTANCES; i++)
		site_instance_add(r->site, domains[i]);
	site_wait_ready(r->site);
	record_line("%u instances are ready", N_INSTANCES);
	for (guint i = 0; i < N_KEPT; i++)
		kept_open(&r->kept[i], case_instance(r->site, i / CALLERS));
	send_round(r, "");
	if (has_trouble())
		publish(r->site, LIMIT_AFTER);
	for (guint i = 0; i < SMALL_ROUNDS; i++) {
		site_run_for(WAIT_MS / SMALL_ROUNDS);
		send_round(r, "");
	}
	send_round(r, header);
	allowed = DENIED_MAX + r->n_sent / 500;
	record_line("%u of %u requests got a 4xx of the system, %u are allowed", r->denied,
		    r->n_sent, allowed);
	for (guint i = 0; i < N_KEPT; i++)
		kept_close(&r->kept[i]);
	site_free(r->site);
	return record_verdict("DENIED", r->denied > allowed);
}
