#include "control_fleet.h"

#include <string.h>

#include "gossip/gossip_priv.h"

#define TICK	       (100 * USEC_PER_MSEC)
#define POLL_TIMEOUT   (30 * USEC_PER_SEC) /* long polls are answered without a change */
#define CALL_TIMEOUT   (1 * USEC_PER_SEC) /* if the platform is unreachable */
#define PLATFORM_DELAY (3 * USEC_PER_MSEC) /* of a response */
#define LIST_PERIOD    (2 * USEC_PER_SEC)
#define UPSTREAM_SEED  77 /* of the hashes that stand for upstream ids */
#define ACCOUNT_SEED   99 /* of the hashes that stand for account names */

static const char peer_key[] = "fleet key of the measurements";

/** struct call - pending call to the platform */
struct call {
	struct fleet_node *node;
	uint32_t starts; /* of @node when the call began */
	struct watch *watch;
	enum watch_op op;
	uint64_t after;
	bool ok;
	uint64_t version;
	uint64_t read_version; /* the response holds the changes up to this version */
	struct sim_event *timeout;
};

struct frame {
	struct fleet *fleet;
	struct fleet_node *from;
	struct fleet_node *to;
	GBytes *bytes;
};

static uint64_t version_of(GHashTable *t, const char *key)
{
	return t ? GPOINTER_TO_SIZE(g_hash_table_lookup(t, key)) : 0;
}

static void version_set(GHashTable *t, const char *key, uint64_t version)
{
	g_hash_table_insert(t, g_strdup(key), GSIZE_TO_POINTER(version));
}

static void on_config(void *arg, const struct conf_object *o)
{
	struct fleet_node *n = arg;

	if (o->version < version_of(n->in_force, o->key))
		n->fleet->reverts++;
	version_set(n->in_force, o->key, o->version);
	if (n->fleet->changed_key && strcmp(o->key, n->fleet->changed_key) == 0 &&
	    o->version == n->fleet->changed_version)
		n->in_force_at = sim_now(n->fleet->sim);
}

/* Baseline: applies each received object without comparing versions. */
static void naive_apply(struct fleet_node *n, const char *key, uint64_t version)
{
	if (version < version_of(n->last_received, key))
		n->fleet->reverts_naive++;
	version_set(n->last_received, key, version);
}

static void naive_receive(void *arg, const struct g_header *h, const struct g_record *record)
{
	if (record->kind == G_RECORD_CONF)
		naive_apply(arg, record->key, record->version);
}

static bool same_partition(const struct fleet_node *a, const struct fleet_node *b)
{
	return a->partition == b->partition;
}

static void frame_free(void *p)
{
	struct frame *f = p;

	g_bytes_unref(f->bytes);
	g_free(f);
}

static void frame_arrives(void *p, int64_t now)
{
	struct frame *f = p;
	struct g_header h = { 0 };
	const char *from;
	gsize len;
	const void *data = g_bytes_get_data(f->bytes, &len);

	if (!f->to->up || !same_partition(f->from, f->to))
		return;
	if (f->fleet->p.max_lag)
		g_wire_parse(data, len - G_HMAC_BYTES, &h, naive_receive, f->to);
	gossip_receive(f->to->g, data, len, now, now, &from);
}

static void on_send(void *arg, const char *address, const void *bytes, size_t len)
{
	struct fleet_node *n = arg;
	struct fleet *f = n->fleet;
	struct fleet_node *to = g_hash_table_lookup(f->by_address, address);
	struct sim_link link = { .delay = 500, .jitter = 500, .loss = f->p.loss };
	struct frame *m;

	f->frames++;
	f->largest_frame = MAX(f->largest_frame, (uint32_t)len);
	if (!to || !to->up || !same_partition(n, to))
		return;
	if (n->domain != to->domain)
		link.delay = f->p.regions && n->domain % 2 != to->domain % 2 ? 30 * USEC_PER_MSEC
									     : 1 * USEC_PER_MSEC;
	m = g_new0(struct frame, 1);
	m->fleet = f;
	m->from = n;
	m->to = to;
	m->bytes = g_bytes_new(bytes, len);
	sim_send(f->sim, &link, frame_arrives, m, frame_free);
}

static void on_unlink(void *arg, const char *address)
{
}

static void on_instance(void *arg, const struct gossip_instance *i)
{
	struct fleet_node *n = arg;

	n->probed_stale = true;
}

static void on_listed(void *arg, const char *id, bool leaving, uint64_t version)
{
}

static void on_upstream(void *arg, const struct gossip_upstream *u)
{
}

static void on_poison(void *arg, const struct poison_record *m)
{
}

static void on_account(void *arg, const struct gossip_account *a)
{
}

static void response_arrives(void *p, int64_t now);

static void call_respond(struct call *c, bool ok, int64_t delay)
{
	c->ok = ok;
	c->read_version = c->node->fleet->version;
	c->version = c->read_version;
	sim_at(c->node->fleet->sim, sim_now(c->node->fleet->sim) + delay, response_arrives, c);
}

/* A lagging read returns the state at a random time within the last max_lag microseconds. */
static void call_apply_lag(struct call *c, int64_t now)
{
	struct fleet *f = c->node->fleet;
	int64_t when = now - (int64_t)rng_below(sim_rng(f->sim), (uint64_t)f->p.max_lag);

	while (c->read_version > 0 &&
	       ((struct fleet_change_record *)f->changes->pdata[c->read_version - 1])->at > when)
		c->read_version--;
	c->version = c->read_version;
}

static void poll_timed_out(void *p, int64_t now)
{
	struct call *c = p;
	struct fleet *f = c->node->fleet;

	g_ptr_array_remove_fast(f->polls, c);
	call_respond(c, f->platform_up, 0);
}

static bool platform_reachable(const struct fleet_node *n)
{
	return n->fleet->platform_up && !n->no_platform;
}

static void call_start(struct fleet_node *n, struct watch *w, enum watch_op op, int64_t now)
{
	struct fleet *f = n->fleet;
	struct call *c = g_new0(struct call, 1);

	c->node = n;
	c->starts = n->starts;
	c->watch = w;
	c->op = op;
	c->after = w->version;
	if (!platform_reachable(n)) {
		call_respond(c, false, CALL_TIMEOUT);
		return;
	}
	f->calls++;
	f->calls_in_second[MIN(now / USEC_PER_SEC, FLEET_CALL_SECONDS - 1)]++;
	if (op == WATCH_POLL && c->after >= f->version) {
		c->timeout = sim_at(f->sim, now + POLL_TIMEOUT, poll_timed_out, c);
		g_ptr_array_add(f->polls, c);
		return;
	}
	call_respond(c, true, PLATFORM_DELAY);
	/* A write returns the newest version. */
	if (f->p.max_lag && op != WATCH_BARRIER)
		call_apply_lag(c, now);
}

/* Newest state of each key up to c->read_version; a poll omits keys unchanged since c->after. */
static GArray *call_objects(const struct call *c)
{
	struct fleet *f = c->node->fleet;
	g_autoptr(GHashTable) done = g_hash_table_new(g_str_hash, g_str_equal);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct watch_object));
	uint64_t from = c->op == WATCH_POLL ? c->after : 0;

	for (uint64_t v = c->read_version; v > from; v--) {
		const struct fleet_change_record *r = f->changes->pdata[v - 1];
		struct watch_object o = { r->key, r->version, r->text };

		if (!g_hash_table_add(done, r->key))
			continue;
		if (r->text || c->op == WATCH_POLL)
			g_array_append_val(out, o);
	}
	return out;
}

static void watch_platform(struct fleet_node *n, int64_t now)
{
	bool watcher;
	enum watch_op op;

	watcher = n->fleet->p.all_watch || gossip_is_watcher(n->g, now) ||
		  gossip_should_read_platform(n->g, now);
	op = watch_next(&n->config, watcher, gossip_configured(n->g), now);
	if (op != WATCH_NONE)
		call_start(n, &n->config, op, now);
	op = watch_next(&n->list, watcher, true, now);
	if (op != WATCH_NONE)
		call_start(n, &n->list, op, now);
}

static void response_arrives(void *p, int64_t now)
{
	struct call *c = p;
	struct fleet_node *n = c->node;
	bool ok = c->ok && !n->no_platform;

	if (n->up && n->starts == c->starts) {
		if (ok && c->watch == &n->config && c->op != WATCH_BARRIER) {
			g_autoptr(GArray) objects = call_objects(c);
			const struct watch_object *o = (const void *)objects->data;

			if (n->fleet->p.max_lag) {
				for (guint i = 0; i < objects->len; i++)
					naive_apply(n, o[i].key, o[i].version);
			}
			watch_apply(&n->config, n->g, c->op, o, objects->len, c->version, now);
		}
		watch_done(c->watch, c->op, ok, c->version, now);
		if (ok && c->op == WATCH_BARRIER)
			gossip_require_platform(n->g);
		else if (!ok || n->config.listed)
			gossip_set_platform_reachable(n->g, ok, now);
		watch_platform(n, now);
	}
	g_free(c);
}

static void complete_polls(struct fleet *f, bool ok)
{
	for (guint i = 0; i < f->polls->len; i++) {
		struct call *c = f->polls->pdata[i];

		sim_cancel(c->timeout);
		call_respond(c, ok, PLATFORM_DELAY);
	}
	g_ptr_array_set_size(f->polls, 0);
}

uint64_t fleet_change(struct fleet *f, const char *key, const char *text)
{
	struct fleet_change_record *r = g_new0(struct fleet_change_record, 1);

	r->key = g_strdup(key);
	r->text = g_strdup(text);
	r->version = ++f->version;
	r->at = sim_now(f->sim);
	g_ptr_array_add(f->changes, r);
	f->changed_key = r->key;
	f->changed_version = r->version;
	complete_polls(f, true);
	return r->version;
}

void fleet_set_platform(struct fleet *f, bool up)
{
	f->platform_up = up;
	if (!up)
		complete_polls(f, false);
}

/* Reports a load of upstream @u; the values only have to differ and to have a typical size. */
static void report_load(struct fleet_node *n, uint32_t u, int64_t now)
{
	int64_t phase = (int64_t)u * 1000 % USEC_PER_SEC;
	uint64_t seq = (uint64_t)((now + USEC_PER_SEC - phase) / USEC_PER_SEC);
	uint64_t h = hash_pair(u, seq);
	struct gossip_upstream v = { .id_hash = hash_pair(u, UPSTREAM_SEED), .state = 1 };

	v.load.epoch = 1 + u % 3;
	v.load.seq = seq;
	v.load.age = (now - phase) % USEC_PER_SEC;
	v.load.queued_tokens = (double)(h % 20000);
	v.load.running_tokens = (double)(20000 + (h >> 16) % 60000);
	v.load.running = 8 + (uint32_t)(h >> 32) % 24;
	v.load.queued = (uint32_t)(h >> 40) % 6;
	v.load.slots = 32;
	v.load.prefill_rate = 9000;
	v.load.decode_rate = 40;
	gossip_report_upstream(n->g, &v, now);
}

static void report_loads_and_accounts(struct fleet_node *n, int64_t now)
{
	struct gossip_account accounts[GOSSIP_ACCOUNTS_MAX];
	uint32_t n_accounts = MIN(n->fleet->p.n_accounts, GOSSIP_ACCOUNTS_MAX);

	if (n->probed_stale) {
		g_array_set_size(n->probed, 0);
		for (uint32_t u = 0; u < n->fleet->p.n_upstreams; u++) {
			if (gossip_position(n->g, hash_pair(u, UPSTREAM_SEED)) < 2)
				g_array_append_val(n->probed, u);
		}
		n->probed_stale = false;
	}
	for (guint i = 0; i < n->probed->len; i++)
		report_load(n, g_array_index(n->probed, uint32_t, i), now);
	for (uint32_t i = 0; i < n_accounts; i++) {
		/* The first 8 accounts are the same at all instances. */
		uint64_t a = i < 8 ? i : hash_pair(n->index, i) % n->fleet->p.n_accounts;

		accounts[i].account = hash_pair(a, ACCOUNT_SEED);
		accounts[i].rate = 1000.0 / (i + 1);
	}
	gossip_report_accounts(n->g, accounts, n_accounts, now);
}

/* Whether @n reaches the platform or an instance with @version of @key or newer. */
static bool newer_reachable(const struct fleet_node *n, const char *key, uint64_t version)
{
	const struct fleet *f = n->fleet;

	if (platform_reachable(n))
		return true;
	for (uint32_t i = 0; i < f->p.n; i++) {
		const struct fleet_node *o = f->nodes->pdata[i];

		if (o != n && o->up && same_partition(n, o) &&
		    version_of(o->in_force, key) >= version)
			return true;
	}
	return false;
}

/* Whether @key was deleted at @version or later; a missing key is then not an older state. */
static bool deleted_since(const struct fleet_node *n, const char *key, uint64_t version)
{
	for (uint64_t v = n->fleet->version; v > 0 && v >= version; v--) {
		const struct fleet_change_record *r = n->fleet->changes->pdata[v - 1];

		if (strcmp(r->key, key) == 0 && !r->text)
			return true;
	}
	return false;
}

static void check_restart(struct fleet_node *n)
{
	GHashTableIter it;
	gpointer key;
	gpointer version;

	if (!n->in_force_before)
		return;
	g_hash_table_iter_init(&it, n->in_force_before);
	while (g_hash_table_iter_next(&it, &key, &version)) {
		if (version_of(n->in_force, key) >= GPOINTER_TO_SIZE(version))
			continue;
		/* Lists omit tombstones, so an instance that started from a list has none. */
		if (version_of(n->in_force, key) == 0 &&
		    deleted_since(n, key, GPOINTER_TO_SIZE(version)))
			continue;
		if (newer_reachable(n, key, GPOINTER_TO_SIZE(version)))
			n->fleet->restart_older++;
		else
			n->fleet->restart_older_unreachable++;
	}
}

static void node_tick(void *arg, int64_t now)
{
	struct fleet_node *n = arg;
	n->tick = sim_at(n->fleet->sim, now + TICK, node_tick, n);
	if (now / USEC_PER_SEC != (now - TICK) / USEC_PER_SEC)
		report_loads_and_accounts(n, now);
	gossip_tick(n->g, now, now);
	watch_platform(n, now);
	if (!n->was_configured && gossip_configured(n->g)) {
		n->was_configured = true;
		check_restart(n);
	}
}

static GHashTable *versions_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void fleet_start(struct fleet *f, uint32_t i)
{
	struct fleet_node *n = fleet_node(f, i);
	int64_t now = sim_now(f->sim);
	struct gossip_events e = { n,	      on_send,	   on_unlink, on_config, on_instance,
				   on_listed, on_upstream, on_poison, on_account };
	g_autofree char *domain = g_strdup_printf("domain-%u", n->domain);
	struct gossip_params p = { .id = n->id,
				   .failure_domain = domain,
				   .address = n->address,
				   .seeds = f->seeds,
				   .key = peer_key,
				   .incarnation = (uint64_t)now / 1000 + 1,
				   .seed = f->p.seed,
				   .bytes_per_second = f->p.bytes_per_second };

	if (n->up)
		return;
	n->starts++;
	f->restarts += n->starts > 1;
	n->up = true;
	n->was_configured = false;
	n->probed_stale = true;
	n->g = gossip_new(&p, &e, now, now);
	watch_init(&n->config, hash_pair(f->p.seed, i * 2 + n->starts * 1000), 0);
	watch_init(&n->list, hash_pair(f->p.seed, i * 2 + 1 + n->starts * 1000), LIST_PERIOD);
	n->in_force = versions_new();
	n->last_received = versions_new();
	n->tick = sim_at(f->sim, now + (int64_t)rng_below(sim_rng(f->sim), TICK), node_tick, n);
	memset(&n->stats_base, 0, sizeof(n->stats_base));
}

void fleet_stop(struct fleet *f, uint32_t i)
{
	struct fleet_node *n = fleet_node(f, i);

	if (!n->up)
		return;
	n->up = false;
	sim_cancel(n->tick);
	gossip_free(n->g);
	n->g = NULL;
	/* Objects come into force once the configuration is complete; only then can they revert. */
	if (n->was_configured) {
		g_clear_pointer(&n->in_force_before, g_hash_table_unref);
		n->in_force_before = g_steal_pointer(&n->in_force);
	}
	g_clear_pointer(&n->in_force, g_hash_table_unref);
	g_clear_pointer(&n->last_received, g_hash_table_unref);
	for (guint k = f->polls->len; k > 0; k--) {
		struct call *c = f->polls->pdata[k - 1];

		if (c->node == n) {
			sim_cancel(c->timeout);
			g_ptr_array_remove_index_fast(f->polls, k - 1);
			g_free(c);
		}
	}
}

struct fleet_node *fleet_node(struct fleet *f, uint32_t i)
{
	return f->nodes->pdata[i];
}

static void add_objects(struct fleet *f)
{
	for (uint32_t i = 0; i < f->p.n_objects; i++) {
		g_autofree char *key = g_strdup_printf("account/client-%05u", i);
		g_autofree char *text = g_strdup_printf("key=secret-of-client-%05u\nweight=1\n", i);

		fleet_change(f, key, text);
	}
	for (uint32_t i = 0; i < f->p.n_upstreams; i++) {
		g_autofree char *key = g_strdup_printf("upstream/engine-%04u", i);
		g_autofree char *text = g_strdup_printf("service=model-yard\nhost=10.1.%u.%u\n"
							"port=8000\nfailure_domain=domain-%u\n",
							i / 250, i % 250, i % f->p.n_domains);

		fleet_change(f, key, text);
	}
}

struct fleet *fleet_new(const struct fleet_params *p)
{
	struct fleet *f = g_new0(struct fleet, 1);

	f->p = *p;
	f->sim = sim_new(p->seed);
	f->nodes = g_ptr_array_new();
	f->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	f->changes = g_ptr_array_new();
	f->polls = g_ptr_array_new();
	f->platform_up = true;
	for (uint32_t i = 0; i < p->n; i++) {
		struct fleet_node *n = g_new0(struct fleet_node, 1);

		n->fleet = f;
		n->index = i;
		n->domain = i % p->n_domains;
		n->id = g_strdup_printf("entry-%03u", i);
		n->address = g_strdup_printf("10.0.%u.%u:7000", i / 250, i % 250);
		n->probed = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		g_hash_table_insert(f->by_address, n->address, n);
		g_ptr_array_add(f->nodes, n);
		if (i < 3)
			f->seeds[i] = n->address;
	}
	add_objects(f);
	for (uint32_t i = 0; i < p->n; i++)
		fleet_start(f, i);
	return f;
}

void fleet_free(struct fleet *f)
{
	for (uint32_t i = 0; i < f->p.n; i++) {
		struct fleet_node *n = fleet_node(f, i);

		fleet_stop(f, i);
		g_clear_pointer(&n->in_force_before, g_hash_table_unref);
		g_array_unref(n->probed);
		g_free(n->id);
		g_free(n->address);
		g_free(n);
	}
	sim_free(f->sim);
	for (guint i = 0; i < f->changes->len; i++) {
		struct fleet_change_record *r = f->changes->pdata[i];

		g_free(r->key);
		g_free(r->text);
		g_free(r);
	}
	g_ptr_array_unref(f->changes);
	g_ptr_array_unref(f->polls);
	g_ptr_array_unref(f->nodes);
	g_hash_table_unref(f->by_address);
	g_free(f);
}

void fleet_run(struct fleet *f, int64_t us)
{
	sim_run(f->sim, sim_now(f->sim) + us);
}

uint32_t fleet_count_in_force(struct fleet *f, int64_t *last)
{
	uint32_t n = 0;

	*last = 0;
	for (uint32_t i = 0; i < f->p.n; i++) {
		const struct fleet_node *o = fleet_node(f, i);

		if (!o->up || version_of(o->in_force, f->changed_key) != f->changed_version)
			continue;
		*last = MAX(*last, o->in_force_at);
		n++;
	}
	return n;
}

void fleet_begin_measurement(struct fleet *f)
{
	for (uint32_t i = 0; i < f->p.n; i++) {
		struct fleet_node *n = fleet_node(f, i);

		if (n->up)
			gossip_stats(n->g, &n->stats_base);
	}
}

bool fleet_converged(struct fleet *f)
{
	g_autoptr(GHashTable) newest = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer key;
	gpointer value;

	for (guint i = 0; i < f->changes->len; i++)
		g_hash_table_replace(newest,
				     ((struct fleet_change_record *)f->changes->pdata[i])->key,
				     f->changes->pdata[i]);
	for (uint32_t i = 0; i < f->p.n; i++) {
		const struct fleet_node *n = fleet_node(f, i);

		if (!n->up)
			continue;
		g_hash_table_iter_init(&it, newest);
		while (g_hash_table_iter_next(&it, &key, &value)) {
			const struct fleet_change_record *r = value;
			const struct conf_object *o = conf_get(gossip_store(n->g), key);

			if (r->text ? (!o || o->version != r->version) : (o && !o->deleted))
				return false;
		}
	}
	return true;
}
