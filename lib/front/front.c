#include "front/front.h"

#include <string.h>

#include "front/front_priv.h"

#define CONN_BYTES	131072U /* memory that a connection of a caller may need for its head */
#define CONNS_MIN	64U
#define BODIES_MIN	4U
#define EVENT_RING_SIZE 65536 /* events */
/* Requests in progress are ended this long before the limit of a shutdown. */
#define STOP_MARGIN	      (400 * USEC_PER_MSEC)
#define TICK_PERIOD	      (20 * USEC_PER_MSEC)
#define CAPACITY_PERIOD	      (100 * USEC_PER_MSEC)
#define MEMBER_PERIOD	      (200 * USEC_PER_MSEC)
#define PROBE_TIMEOUT	      USEC_PER_SEC
#define IDLE_CONNS_MAX	      4096 /* kept to one upstream */
#define EJECT_FRACTION	      (1.0 / 3.0) /* of a service's upstreams, at most */
#define SLOW_START	      (10 * USEC_PER_SEC) /* until a new upstream has its full weight */
#define PLACE_WIDTH	      3 /* candidates compared by expected time to first token */
#define INITIAL_OUTPUT_TOKENS 64.0 /* assumed response length before the first response */
#define RETRY_RATIO	      0.1 /* retries per first attempt */
#define RETRY_BURST	      20 /* retries that one upstream or account can accumulate */
#define RETRY_BASE_DELAY      (50 * USEC_PER_MSEC)
#define RETRY_MAX_DELAY	      (2 * USEC_PER_SEC)
#define POISON_CAPACITY	      4096 /* request fingerprints and prompt parts */
/* Refusals aren't sent to peers, so callers that change instances have to be refused without. */
#define POISON_QUARANTINE (600 * USEC_PER_SEC)
/* The record of a crash that another instance detected takes two or three gossip rounds. */
#define POISON_SUSPECT_WAIT (2 * USEC_PER_SEC)

void front_record_event(struct front *f, enum evt_kind kind, const struct front_request *r,
			const char *text)
{
	const struct member_entry *m = r ? member_get(f->member, r->upstream) : NULL;
	struct evt_note note = {
		.request = r ? r->id : NULL,
		.chat = r ? r->chat_key : NULL,
		.upstream = m ? m->id : NULL,
		.account = r ? r->account : NULL,
		.text = text,
	};

	evt_add(f->ring, g_get_real_time(), kind, &note);
}

static void service_free(gpointer p)
{
	struct front_service *s = p;

	place_free(s->place);
	admit_free(s->admit);
	g_free(s->name);
	g_free(s);
}

static void fill_admit_params(struct front *f, const struct conf_service *c, struct admit_params *p)
{
	static const double default_share[RANK_COUNT] = { 0.8, 0.15, 0.05 };
	const struct conf_ranks *ranks = conf_ranks(f->conf);

	memset(p, 0, sizeof(*p));
	memcpy(p->share, ranks ? ranks->share : default_share, sizeof(p->share));
	p->queue_bytes = c->queue_bytes;
	p->queue_count = c->queue_count;
	p->seed = hash_str(f->settings->instance);
}

struct front_service *front_service_get(struct front *f, const char *name)
{
	return g_hash_table_lookup(f->services, name);
}

static void update_service(struct front *f, const struct conf_service *c)
{
	struct front_service *s = front_service_get(f, c->name);
	struct admit_params admit;

	fill_admit_params(f, c, &admit);
	if (s) {
		place_set_bound(s->place, c->load_bound);
		admit_set_params(s->admit, &admit);
		return;
	}
	s = g_new0(struct front_service, 1);
	s->name = g_strdup(c->name);
	s->place = place_new(&(struct place_params){
		.load_bound = c->load_bound,
		.max_compared = PLACE_WIDTH,
		.seed = hash_str(c->name),
	});
	s->admit = admit_new(&admit);
	for (int rank = 0; rank < RANK_COUNT; rank++)
		s->mean_output_tokens[rank] = INITIAL_OUTPUT_TOKENS;
	g_hash_table_insert(f->services, s->name, s);
}

static void update_service_object(void *arg, const struct conf_object *o)
{
	if (o->kind == CONF_SERVICE && o->value)
		update_service(arg, o->value);
}

static void update_upstream(struct front *f, const struct conf_object *o, int64_t now)
{
	const struct conf_upstream *u = o->value;
	const char *id = strchr(o->key, '/') + 1;
	tab_handle h = member_find(f->member, id);
	uint64_t hash = hash_str(id);

	if (!u) {
		member_remove(f->member, h, now);
		return;
	}
	h = member_set(f->member,
		       &(struct member_info){ .id = u->id,
					      .service = u->service,
					      .failure_domain = u->failure_domain,
					      .capacity = u->capacity },
		       now);
	if (!h) {
		log_error("member", "the table of upstreams is full; upstream %s is ignored", id);
		return;
	}
	g_hash_table_insert(f->upstreams_by_hash, g_memdup2(&hash, sizeof(hash)),
			    GUINT_TO_POINTER(h));
	member_set_drain(f->member, h, u->drain, o->version, now);
}

static void on_config(void *arg, const char *key, uint64_t version, const char *text)
{
	struct front *f = arg;
	struct conf_error err = { 0 };
	int rc = conf_apply(f->conf, key, version, text, &err);
	const struct conf_object *o = rc == 1 ? conf_get(f->conf, key) : NULL;

	if (rc < 0) {
		ctr_add(f->ctr.config_objects_refused, 1);
		log_error("conf",
			  "configuration object %s of version %" G_GUINT64_FORMAT
			  " is refused: %s: %s",
			  key, version, err.where, err.message);
	}
	if (!o)
		return;
	if (o->kind == CONF_UPSTREAM)
		update_upstream(f, o, g_get_monotonic_time());
	else if (o->kind == CONF_SERVICE && o->value)
		update_service(f, o->value);
	else if (o->kind == CONF_RANKS)
		conf_each(f->conf, update_service_object, f);
}

static void on_upstream_list_state(void *arg, const char *upstream_id, bool leaving,
				   uint64_t version)
{
	struct front *f = arg;

	member_set_list_state(f->member, member_find(f->member, upstream_id), leaving, version,
			      g_get_monotonic_time());
}

static void on_peer_upstream(void *arg, const struct control_upstream *u)
{
	struct front *f = arg;
	tab_handle h = GPOINTER_TO_UINT(g_hash_table_lookup(f->upstreams_by_hash, &u->id_hash));
	int64_t now = g_get_monotonic_time();

	if (!h)
		return;
	if (u->observer)
		member_peer_view(f->member, h, u->observer, u->state, u->load.epoch, now);
	if (u->load.epoch)
		load_apply_report(f->load, h, &u->load, now);
}

static void on_peer_poison(void *arg, const struct poison_record *m)
{
	struct front *f = arg;

	if (poison_merge_record(f->poison, m, g_get_real_time()))
		front_record_event(f, EVT_POISON, NULL, "a peer's mark was taken over");
}

static void set_account_rate(gpointer key, gpointer value, gpointer arg)
{
	const struct account_rate {
		uint64_t account;
		double rate;
	} *update = arg;
	struct front_service *s = value;

	admit_set_fleet_rate(s->admit, update->account, update->rate, g_get_monotonic_time());
}

static void on_account_rate(void *arg, uint64_t account, double tokens_per_second)
{
	struct front *f = arg;
	struct {
		uint64_t account;
		double rate;
	} update = { account, tokens_per_second };

	g_hash_table_foreach(f->services, set_account_rate, &update);
}

static void on_instance_counts(void *arg, uint32_t n_all, uint32_t n_domain)
{
	struct front *f = arg;

	f->n_instances = MAX(n_all, 1);
	f->n_domain_instances = MAX(n_domain, 1);
	load_set_instances(f->load, f->n_instances);
}

static void on_ready(void *arg, bool configured)
{
	struct front *f = arg;

	if (configured && !f->configured)
		log_info("front",
			 "instance %s accepts requests under configuration version "
			 "%" G_GUINT64_FORMAT,
			 f->settings->instance, conf_version(f->conf));
	f->configured = configured;
}

/* Passes the summed slots and load of a service's usable upstreams to its admission. */
static void update_capacity(gpointer key, gpointer value, gpointer arg)
{
	struct front_service *s = value;
	struct front *f = arg;
	struct admit_capacity c = { .instances = f->n_instances };
	tab_handle usable[FRONT_MAX_UPSTREAMS];
	int64_t now = g_get_monotonic_time();
	uint32_t n = member_usable(f->member, s->name, usable, FRONT_MAX_UPSTREAMS);

	for (uint32_t i = 0; i < n; i++) {
		struct load_estimate v;

		load_estimate(f->load, usable[i], now, &v);
		c.slots += v.slots;
		c.running += v.running;
		c.queued += v.queued;
		if (v.age != INT64_MAX)
			c.age = MAX(c.age, v.age);
	}
	admit_set_capacity(s->admit, &c, now);
}

static void on_capacity_timer(void *arg, int64_t now)
{
	struct front *f = arg;

	g_hash_table_foreach(f->services, update_capacity, f);
	front_update_memory_counters(f);
}

struct probe {
	struct front *front;
	tab_handle upstream;
};

static void on_probed(void *arg, enum member_result result, int64_t latency,
		      const struct load_report *r)
{
	struct probe *p = arg;
	int64_t now = g_get_monotonic_time();

	if (r)
		front_apply_load_report(p->front, p->upstream, r);
	member_result(p->front->member, p->upstream, result, latency, now);
	g_free(p);
}

static void probe_upstream(struct front *f, const struct member_entry *m)
{
	const struct conf_upstream *u = conf_upstream(f->conf, m->id);
	struct probe *p;

	if (!u)
		return;
	p = g_new(struct probe, 1);
	p->front = f;
	p->upstream = m->handle;
	eng_probe(f->eng, u->host, u->port, PROBE_TIMEOUT, on_probed, p);
}

static void report_to_peers(struct front *f, const struct member_entry *m)
{
	struct control_upstream u = {
		.id_hash = m->id_hash,
		.observer = hash_str(f->settings->instance),
		.state = m->state,
	};

	load_latest_report(f->load, m->handle, g_get_monotonic_time(), &u.load);
	control_report_upstream(f->control, &u);
}

static void check_attempt_timeouts(struct front *f, int64_t now)
{
	struct list_head *pos;
	struct list_head *tmp;

	list_for_each_safe (pos, tmp, &f->requests)
		front_attempt_check_timeouts(list_entry(pos, struct front_request, node), now);
}

static void on_member_timer(void *arg, int64_t now)
{
	struct front *f = arg;
	struct poison_record records[16];
	uint32_t n;

	member_tick(f->member, now);
	for (uint32_t i = 0; i < member_slots(f->member); i++) {
		const struct member_entry *m = member_at(f->member, i);

		if (!m)
			continue;
		if (member_probe_due(f->member, m->handle,
				     control_probe_position(f->control, m->id_hash), now))
			probe_upstream(f, m);
		report_to_peers(f, m);
	}
	check_attempt_timeouts(f, now);
	n = poison_collect_records(f->poison, records, G_N_ELEMENTS(records), g_get_real_time());
	for (uint32_t i = 0; i < n; i++)
		control_report_poison(f->control, &records[i]);
}

static void dispatch_service(gpointer key, gpointer value, gpointer arg)
{
	front_dispatch(arg, value);
}

static void on_dispatch_timer(void *arg, int64_t now)
{
	struct front *f = arg;

	g_hash_table_foreach(f->services, dispatch_service, f);
}

/* Requests that the limit of the shutdown would cut get an answer before it. */
static void stop_requests(struct front *f)
{
	struct list_head *pos;
	struct list_head *tmp;

	f->stopping = true;
	front_message_stop_all(f);
	log_warn("front", "shutdown limit reached with %u requests in flight", f->n_requests);
	list_for_each_safe (pos, tmp, &f->requests)
		front_request_stop(list_entry(pos, struct front_request, node));
}

static bool has_work(const struct front *f)
{
	return f->n_requests > 0 || !list_empty(&f->messages);
}

static void check_drained(struct front *f, int64_t now)
{
	void (*drained)(void *arg) = f->drained_fn;

	if (!drained || listener_is_open(f->caller_listener))
		return;
	front_message_stop_late(f, now);
	if (!f->stopping && has_work(f) && now >= f->drain_deadline - STOP_MARGIN)
		stop_requests(f);
	if (now < f->drain_deadline && (has_work(f) || front_conn_expects_request(f, now)))
		return;
	f->drained_fn = NULL;
	drained(f->drained_arg);
}

static gboolean on_tick(gpointer arg)
{
	struct front *f = arg;
	int64_t now = g_get_monotonic_time();

	timer_advance(f->timers, now);
	check_drained(f, now);
	return G_SOURCE_CONTINUE;
}

static void init_counters(struct front_counters *c)
{
#define X(member, name) c->member = ctr_get(name);
	FRONT_COUNTER_TABLE(X)
#undef X
	for (int i = 0; i < REFUSAL_COUNT; i++) {
		g_autofree char *name =
			g_strdup_printf("refused_total{reason=\"%s\"}", err_refusal_code(i));

		c->refused[i] = ctr_get(name);
	}
	for (int i = 0; i < RANK_COUNT; i++) {
		g_autofree char *all =
			g_strdup_printf("rank_served_total{rank=\"%s\"}", err_rank_name(i));
		g_autofree char *window =
			g_strdup_printf("rank_in_window_total{rank=\"%s\"}", err_rank_name(i));

		c->rank_served[i] = ctr_get(all);
		c->rank_in_window[i] = ctr_get(window);
	}
}

static void init_routing_state(struct front *f)
{
	uint64_t seed = hash_str(f->settings->instance);

	f->conf = conf_store_new();
	f->member = member_new(&(struct member_params){
		.seed = seed, .eject_fraction = EJECT_FRACTION, .slow_start = SLOW_START });
	f->load = load_new();
	f->retry = retry_new(&(struct retry_params){ .ratio = RETRY_RATIO,
						     .burst = RETRY_BURST,
						     .base_delay = RETRY_BASE_DELAY,
						     .max_delay = RETRY_MAX_DELAY,
						     .seed = seed });
	f->poison = poison_new(&(struct poison_params){ .capacity = POISON_CAPACITY,
							.quarantine = POISON_QUARANTINE,
							.suspect_wait = POISON_SUSPECT_WAIT });
	f->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	f->upstreams_by_hash = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	f->crash_checks = g_hash_table_new(NULL, NULL);
	f->n_instances = 1;
	f->n_domain_instances = 1;
}

static void start_timers(struct front *f)
{
	int64_t now = g_get_monotonic_time();

	f->timers = timer_svc_new();
	timer_subscribe(f->timers, now, CAPACITY_PERIOD, on_capacity_timer, f);
	timer_subscribe(f->timers, now, MEMBER_PERIOD, on_member_timer, f);
	timer_subscribe(f->timers, now, TICK_PERIOD, on_dispatch_timer, f);
	f->tick_source = g_timeout_add((guint)(TICK_PERIOD / USEC_PER_MSEC), on_tick, f);
}

static void start_control(struct front *f)
{
	struct control_events events = {
		.arg = f,
		.config = on_config,
		.listed = on_upstream_list_state,
		.upstream = on_peer_upstream,
		.poison = on_peer_poison,
		.account_rate = on_account_rate,
		.instances = on_instance_counts,
		.ready = on_ready,
	};

	f->control = control_new(f->settings, f->ring, f->task, &events);
}

/* A body of the longest length that is allowed fits beside as many others as BODIES_MIN. */
static struct membudget *new_budget(const struct conf_settings *s)
{
	struct membudget_params p;

	membudget_params_for(s->memory_bytes, &p);
	if (p.limit < BODIES_MIN * s->max_body_bytes) {
		p.limit = BODIES_MIN * s->max_body_bytes;
		p.reserve = s->max_body_bytes;
	}
	if (p.limit > s->memory_bytes)
		log_warn("front",
			 "callers may use %zu bytes, %u times max_body_bytes, which is more than "
			 "memory_bytes, %" G_GUINT64_FORMAT,
			 p.limit, BODIES_MIN, s->memory_bytes);
	return membudget_new(&p);
}

struct front *front_new(const struct conf_settings *s, int *rc, struct conf_error *err)
{
	struct front *f = g_new0(struct front, 1);

	f->settings = s;
	f->ring = evt_ring_new(EVENT_RING_SIZE, s->instance);
	f->task = task_new_here(f);
	list_init(&f->requests);
	list_init(&f->conns);
	list_init(&f->conns_by_state);
	list_init(&f->messages);
	f->budget = new_budget(s);
	f->max_conns = (uint32_t)CLAMP(s->memory_bytes / CONN_BYTES, CONNS_MIN, G_MAXUINT32);
	init_counters(&f->ctr);
	init_routing_state(f);
	f->eng = eng_new(IDLE_CONNS_MAX);
	/* Callers that connect are not reset again because the other address is in use. */
	*rc = front_listen_operators(f, err);
	if (*rc == 0)
		*rc = front_listen_callers(f, err);
	if (*rc < 0) {
		front_free(f);
		return NULL;
	}
	front_add_routes(f);
	front_add_operator_routes(f);
	start_control(f);
	start_timers(f);
	listener_start(f->operator_listener);
	listener_start(f->caller_listener);
	front_record_event(f, EVT_START, NULL, s->failure_domain);
	return f;
}

void front_free(struct front *f)
{
	if (!f)
		return;
	if (f->tick_source)
		g_source_remove(f->tick_source);
	timer_svc_free(f->timers);
	control_free(f->control);
	eng_free(f->eng);
	g_clear_object(&f->caller_server);
	g_clear_object(&f->operator_server);
	listener_free(f->caller_listener);
	listener_free(f->operator_listener);
	g_clear_object(&f->certificate);
	g_hash_table_unref(f->crash_checks);
	g_hash_table_unref(f->services);
	g_hash_table_unref(f->upstreams_by_hash);
	poison_free(f->poison);
	retry_free(f->retry);
	load_free(f->load);
	member_free(f->member);
	conf_store_free(f->conf);
	task_free(f->task);
	evt_ring_free(f->ring);
	membudget_free(f->budget);
	g_free(f);
}

void front_reload(struct front *f)
{
	control_reload(f->control);
}

static gboolean close_caller_listener(gpointer arg)
{
	struct front *f = arg;

	log_info("front", "closing the listener for callers, %u requests in flight", f->n_requests);
	listener_stop(f->caller_listener);
	f->closed_at = g_get_monotonic_time();
	return G_SOURCE_REMOVE;
}

void front_shutdown(struct front *f, void (*done)(void *arg), void *arg)
{
	if (f->draining)
		return;
	f->draining = true;
	f->drained_fn = done;
	f->drained_arg = arg;
	f->drain_deadline =
		g_get_monotonic_time() + f->settings->shutdown_delay + f->settings->shutdown_limit;
	front_record_event(f, EVT_STOP, NULL, "graceful shutdown");
	g_timeout_add((guint)(f->settings->shutdown_delay / USEC_PER_MSEC), close_caller_listener,
		      f);
}
