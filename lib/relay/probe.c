#include "relay/probe.h"

#include <string.h>

#define PROBE_TIMEOUT (1 * USEC_PER_SEC) /* health endpoints respond in a few milliseconds */
#define PROBES_MAX    16U /* concurrent */

struct probe {
	struct list_head link;
	struct probes *owner;
	struct http_conn *conn; /* owned */
	tab_handle upstream;
	uint64_t id_hash; /* of the upstream at the start of the probe */
	uint32_t timer;
	int status; /* of the response; 0: no response yet */
};

struct probes {
	struct relay *relay;
	struct list_head open; /* of struct probe */
	uint32_t n_open;
	struct ctr *started;
};

static void probe_free(struct probe *p)
{
	list_del(&p->link);
	p->owner->n_open--;
	if (p->timer)
		timer_cancel(p->owner->relay->timers, p->timer);
	http_conn_free(p->conn);
	g_free(p);
}

static void finish_probe(struct probe *p, enum member_result result)
{
	fleet_result(p->owner->relay->fleet, p->upstream, result, g_get_monotonic_time());
	probe_free(p);
}

static void on_head(void *arg, struct http_head *h)
{
	struct probe *p = arg;
	const struct relay *r = p->owner->relay;
	struct edge_response resp;

	p->status = h->status;
	r->params.upstreams->decode(r->params.upstreams, h, &resp);
	if (resp.leaving && !resp.wrong_instance)
		fleet_set_leaving(r->fleet, p->id_hash, g_get_monotonic_time());
	if (resp.cold_left >= 0)
		fleet_set_cold(r->fleet, p->id_hash, resp.cold_left, g_get_monotonic_time());
	if (resp.hold_off)
		fleet_hold_off(r->fleet, p->id_hash, resp.hold_off, g_get_monotonic_time());
}

static void on_body(void *arg, const char *data, size_t len)
{
}

static void on_end(void *arg)
{
	struct probe *p = arg;

	finish_probe(p, p->status == 200 ? MEMBER_OK : MEMBER_ERROR);
}

static void on_closed(void *arg, enum http_close_reason reason)
{
	finish_probe(arg, reason == HTTP_CLOSE_REFUSED || reason == HTTP_CLOSE_CONNECT_FAILED
				  ? MEMBER_CONNECT_FAILED
				  : MEMBER_BROKEN);
}

static void on_timeout(void *arg, int64_t now)
{
	struct probe *p = arg;

	p->timer = 0;
	finish_probe(p, MEMBER_TIMED_OUT);
}

static const struct http_ops ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
};

static void start_probe(struct probes *s, tab_handle h, const char *path, int64_t now)
{
	const char *addr = fleet_addr(s->relay->fleet, h);
	g_autofree char *request = g_strdup_printf(
		"GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, addr);
	struct probe *p = g_new0(struct probe, 1);

	ctr_add(s->started, 1);
	p->owner = s;
	p->upstream = h;
	p->id_hash = fleet_id_hash(s->relay->fleet, h);
	list_add_tail(&p->link, &s->open);
	s->n_open++;
	p->conn = http_conn_open(addr, &ops, p);
	if (!p->conn) {
		probe_free(p);
		return;
	}
	http_conn_write(p->conn, request, strlen(request));
	p->timer = timer_subscribe(s->relay->timers, now + PROBE_TIMEOUT, 0, on_timeout, p);
}

struct probes *probes_new(struct relay *r)
{
	struct probes *p = g_new0(struct probes, 1);

	p->relay = r;
	list_init(&p->open);
	p->started = ctr_get("probes_total");
	return p;
}

void probes_free(struct probes *p)
{
	struct list_head *pos;
	struct list_head *tmp;

	if (!p)
		return;
	list_for_each_safe (pos, tmp, &p->open)
		probe_free(list_entry(pos, struct probe, link));
	g_free(p);
}

void probes_tick(struct probes *p, int64_t now)
{
	const char *service = NULL;
	tab_handle h;

	while (p->n_open < PROBES_MAX &&
	       (h = fleet_next_probe(p->relay->fleet, now, &service)) != 0) {
		const struct cat_service *s =
			p->relay->config ? cat_config_service(p->relay->config, service) : NULL;

		if (s && s->health_path)
			start_probe(p, h, s->health_path, now);
	}
}
