#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "feed/feed.h"
#include "relay/fleet.h"

/*
 * Simulates a large fleet in virtual time: many instances send a few requests a second each to many
 * engines, and learn of the load from others only through the feed. Checks the load limit: of the
 * requests in any 5 s at most 3% go to an engine that then has more requests than twice the mean of
 * its service plus 3. Also checks how many of the prefilled tokens another engine had cached.
 */
#define MS		    USEC_PER_MSEC
#define INSTANCES	    195U
#define ENGINES		    156U
#define DOMAINS		    5U
#define SLOTS		    12U
#define KINDS		    3U
#define DURATION	    (12 * USEC_PER_SEC)
#define TICK		    (100 * MS)
#define FRAME_DELAY	    (1 * MS)
#define LIMIT_FACTOR	    2.0 /* times the mean of the service */
#define LIMIT_TOLERANCE	    3.0 /* requests above that */
#define OVER_LIMIT_FRACTION 0.03 /* of the requests in a window may exceed the limit */
#define LIMIT_WINDOW	    (5 * USEC_PER_SEC)
/* Target: less than a tenth of the prefilled tokens were cached by another engine. */
#define REPEATED_FRACTION	0.1
#define OVER_LIMIT_MIN		20U /* fewer requests over the limit in a window are allowed */
#define PREFILL_TIME		(USEC_PER_MSEC / 38.1) /* microseconds for one prompt token */
#define TRANSFER_COST		0.2 /* time to transfer a token, relative to its prefill */
#define DECODE_STEP_TIME	(4.43 * USEC_PER_MSEC) /* decodes one token of each running request */
#define DECODE_STEP_PER_REQUEST (0.0194 * USEC_PER_MSEC) /* added by each running request */

/* A kind of requests, as in the deployment that the test models. */
struct kind {
	double rate; /* requests per second of the whole fleet */
	uint32_t chats;
	uint32_t prefix_tokens; /* shared by several chats */
	uint32_t n_prefixes;
	uint32_t chat_tokens; /* shared by the requests of a chat */
	uint32_t request_tokens; /* of one request alone */
	double output_tokens; /* mean */
};

static const struct kind kinds[KINDS] = {
	{ 292, 863, 2520, 4, 6100, 580, 52 },
	{ 353, 695, 341, 15, 1700, 360, 23 },
	{ 122, 240, 103, 39, 500, 110, 280 },
};

/* The load of one run, optionally with a hot chat for part of the time. */
struct load_case {
	double factor; /* times the baseline rate */
	double hot_fraction; /* fraction of the requests of hot_kind that are for one chat */
	uint32_t hot_kind;
	int64_t hot_from; /* microseconds since the start */
	int64_t hot_to;
};

enum event_type {
	REQUEST_END,
	PREFILL_DONE,
	FRAME_ARRIVAL,
	REQUEST_ARRIVAL,
	FEED_TICK
};

struct event {
	int64_t at;
	uint64_t seq; /* orders events of the same time */
	enum event_type type;
	uint32_t index; /* of the request, or of the instance that ticks or sends the frame */
	uint32_t to; /* instance that receives the frame */
	GBytes *frame;
};

struct req {
	uint32_t instance;
	uint32_t engine;
	uint32_t kind;
	struct call *call;
	struct fleet_pick pick;
	int64_t sent_at;
};

struct engine {
	char id[16];
	uint32_t running;
	int64_t prefill_until; /* prompts are prefilled one after the other */
	GHashTable *parts; /* set of cached prefix parts */
};

struct world {
	int64_t now;
	int64_t start;
	struct rng rng;
	const struct load_case *load;
	struct cat_config *config;
	struct cat_route *routes[KINDS];
	struct instance {
		struct world *w;
		struct fleet *fleet;
		struct feed *feed;
		char address[32];
		char domain[8];
	} instances[INSTANCES];
	struct engine engines[ENGINES];
	GSequence *events;
	uint64_t seq;
	GHashTable *engine_by_id; /* id -> index + 1 */
	GArray *arrivals; /* of struct arrival */
	uint64_t n_requests;
	double prefill_tokens;
	double transferred_tokens;
	double repeated_tokens; /* prefilled although some engine had them cached */
	GHashTable *parts; /* set of prefix parts that some engine has cached */
	uint64_t feed_bytes;
};

struct arrival {
	int64_t at;
	bool over_limit;
};

static gint by_time(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct event *x = a;
	const struct event *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static void push(struct world *w, int64_t at, enum event_type type, uint32_t index, uint32_t to,
		 GBytes *frame)
{
	struct event *e = g_new0(struct event, 1);

	*e = (struct event){ at, w->seq++, type, index, to, frame };
	g_sequence_insert_sorted(w->events, e, by_time, NULL);
}

static void on_object(void *arg, uint32_t kind, const char *name, const char *text,
		      uint64_t revision, const char *source)
{
}

static void on_read_store(void *arg, bool on, const char *reason)
{
	struct instance *n = arg;

	feed_set_store_state(n->feed, on, n->w->now);
}

static void on_peer_load(void *arg, const struct feed_load *l)
{
	struct instance *n = arg;

	fleet_peer_load(n->fleet, l->key, l->running, l->waiting, l->age, n->w->now);
}

static void on_peer_cache_location(void *arg, const struct feed_cache_location *h)
{
	struct instance *n = arg;

	fleet_peer_cache_location(n->fleet, h->part, h->upstream, n->w->now);
}

static void on_check(void *arg)
{
	struct instance *n = arg;

	feed_check_finished(n->feed, true, n->w->now);
}

static void on_send(void *arg, const char *address, const void *data, size_t len)
{
	struct instance *n = arg;
	uint32_t to;

	g_assert_cmpint(sscanf(address, "10.0.0.%u:70", &to), ==, 1);
	n->w->feed_bytes += len;
	push(n->w, n->w->now + FRAME_DELAY, FRAME_ARRIVAL, (uint32_t)(n - n->w->instances), to,
	     g_bytes_new(data, len));
}

static const struct feed_ops feed_ops = {
	.object = on_object,
	.read_store = on_read_store,
	.load = on_peer_load,
	.cache_location = on_peer_cache_location,
	.check_store = on_check,
	.send = on_send,
};

static void on_own_load(void *arg, uint64_t id_hash, uint32_t running, uint32_t waiting)
{
	struct instance *n = arg;

	feed_report_load(n->feed, id_hash, running, waiting, n->w->now);
}

static void on_own_cache_location(void *arg, uint64_t part, uint64_t id_hash, uint32_t tokens)
{
	struct instance *n = arg;

	feed_report_cache_location(n->feed, part, id_hash, tokens, n->w->now);
}

static void add_engines(struct world *w, struct fleet *f)
{
	for (uint32_t i = 0; i < ENGINES; i++) {
		g_autofree char *domain = g_strdup_printf("d%u", i % DOMAINS);
		struct fleet_entry e = { .id = w->engines[i].id,
					 .service = "yard",
					 .addr = "127.0.0.1:1",
					 .domain = domain,
					 .version = 1,
					 .started = 1,
					 .slots = SLOTS };

		fleet_set(f, &e, "test", w->now);
	}
	fleet_list_complete(f);
}

static void start_instance(struct world *w, uint32_t i)
{
	struct instance *n = &w->instances[i];
	/* 15 instances have links of 200 Mbit/s, the others 20; feed prefers fast store readers. */
	struct feed_params fp = {
		n->address, n->domain, i < 15 ? 200 : 20, 1, i + 1, 1200 * MS, 0
	};
	struct feed_instance list[INSTANCES];
	struct fleet_params p = { n->domain, i, INSTANCES, false };

	n->w = w;
	n->feed = feed_new(&fp, &feed_ops, n, w->now);
	for (uint32_t k = 0; k < INSTANCES; k++)
		list[k] = (struct feed_instance){ w->instances[k].address, w->instances[k].domain,
						  k < 15 ? 200 : 20 };
	feed_set_instances(n->feed, list, INSTANCES);
	n->fleet = fleet_new(&p);
	fleet_on_load(n->fleet, on_own_load, n);
	fleet_on_cache_location(n->fleet, on_own_cache_location, n);
	add_engines(w, n->fleet);
	push(w, w->now + (int64_t)rng_below(&w->rng, TICK), FEED_TICK, i, 0, NULL);
}

static void world_new(struct world *w, const struct load_case *load, uint64_t seed)
{
	memset(w, 0, sizeof(*w));
	w->now = 1000 * USEC_PER_SEC;
	w->load = load;
	rng_seed(&w->rng, seed);
	w->config = cat_config_new(1);
	w->events = g_sequence_new(g_free);
	w->arrivals = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	w->engine_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	w->parts = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	for (uint32_t i = 0; i < KINDS; i++) {
		w->routes[i] = g_new0(struct cat_route, 1);
		w->routes[i]->name = g_strdup_printf("kind-%u", i);
	}
	for (uint32_t i = 0; i < ENGINES; i++) {
		snprintf(w->engines[i].id, sizeof(w->engines[i].id), "e-%u-%u", (unsigned int)seed,
			 i);
		w->engines[i].parts =
			g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
		g_hash_table_insert(w->engine_by_id, w->engines[i].id, GUINT_TO_POINTER(i + 1));
	}
	for (uint32_t i = 0; i < INSTANCES; i++) {
		snprintf(w->instances[i].address, sizeof(w->instances[i].address), "10.0.0.%u:70",
			 i);
		snprintf(w->instances[i].domain, sizeof(w->instances[i].domain), "d%u",
			 i % DOMAINS);
	}
	for (uint32_t i = 0; i < INSTANCES; i++)
		start_instance(w, i);
	/* The instances know each other and the engines before the first request. */
	w->start = w->now + 5 * USEC_PER_SEC;
	push(w, w->start, REQUEST_ARRIVAL, 0, 0, NULL);
}

static void req_free(struct req *q)
{
	call_free(q->call);
	g_free(q);
}

static struct req **open_reqs; /* indexed by request number */

static void world_clear(struct world *w)
{
	GSequenceIter *it = g_sequence_get_begin_iter(w->events);

	for (; !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it)) {
		struct event *e = g_sequence_get(it);

		if (e->type == FRAME_ARRIVAL)
			g_bytes_unref(e->frame);
		if (e->type == REQUEST_END)
			req_free(open_reqs[e->index]);
	}
	g_sequence_free(w->events);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		feed_free(w->instances[i].feed);
		fleet_free(w->instances[i].fleet);
	}
	for (uint32_t i = 0; i < ENGINES; i++)
		g_hash_table_unref(w->engines[i].parts);
	for (uint32_t i = 0; i < KINDS; i++) {
		g_free(w->routes[i]->name);
		g_free(w->routes[i]);
	}
	g_hash_table_unref(w->engine_by_id);
	g_hash_table_unref(w->parts);
	g_array_unref(w->arrivals);
	cat_config_unref(w->config);
	g_clear_pointer(&open_reqs, g_free);
}

static double mean_running(const struct world *w)
{
	double sum = 0;

	for (uint32_t i = 0; i < ENGINES; i++)
		sum += w->engines[i].running;
	return sum / ENGINES;
}

static bool has_cached(const struct engine *e, uint64_t part)
{
	return g_hash_table_contains(e->parts, &part);
}

/* Prefills @c at @e with KV transfer from @source (NULL: none); returns the cost in tokens. */
static double prefill_prompt(struct world *w, struct engine *e, const struct engine *source,
			     const struct call *c)
{
	double tokens = 0;
	bool cached = true;
	bool transferred = source != NULL;

	for (uint32_t i = 0; i < c->n_parts; i++) {
		uint64_t *part = g_new(uint64_t, 1);

		cached = cached && has_cached(e, c->parts[i].id);
		transferred = transferred && has_cached(source, c->parts[i].id);
		if (!cached && transferred) {
			tokens += c->parts[i].tokens * TRANSFER_COST;
			w->transferred_tokens += c->parts[i].tokens;
		} else if (!cached) {
			tokens += c->parts[i].tokens;
			w->prefill_tokens += c->parts[i].tokens;
			if (g_hash_table_contains(w->parts, &c->parts[i].id))
				w->repeated_tokens += c->parts[i].tokens;
		}
		g_hash_table_add(w->parts, g_memdup2(&c->parts[i].id, sizeof(uint64_t)));
		*part = c->parts[i].id;
		g_hash_table_add(e->parts, part);
	}
	return tokens;
}

/* The popularity of chats falls slowly with their number. */
static uint32_t draw_chat(struct world *w, uint32_t kind)
{
	const struct load_case *l = w->load;
	int64_t t = w->now - w->start;
	double u = rng_unit(&w->rng);

	if (kind == l->hot_kind && t >= l->hot_from && t < l->hot_to &&
	    rng_unit(&w->rng) < l->hot_fraction)
		return 7; /* the hot chat */
	/* Density proportional to x^-0.3. */
	return (uint32_t)((double)kinds[kind].chats * pow(u, 1 / 0.7));
}

static struct call *draw_call(struct world *w, uint32_t kind)
{
	const struct kind *k = &kinds[kind];
	struct call *c = call_new(w->config);
	uint32_t chat = draw_chat(w, kind);

	g_free(c->id);
	c->id = g_strdup_printf("r%" G_GUINT64_FORMAT, w->n_requests);
	c->service = "yard";
	c->route = w->routes[kind];
	c->n_parts = 3;
	c->parts[0] = (struct locality_part){ hash_pair(kind + 1, chat % k->n_prefixes),
					      k->prefix_tokens };
	c->parts[1] = (struct locality_part){ hash_pair(kind + 101, chat), k->chat_tokens };
	c->parts[2] = (struct locality_part){ hash_pair(1001, w->n_requests), k->request_tokens };
	return c;
}

static uint32_t draw_kind(struct world *w)
{
	double sum = 0;
	double u;
	uint32_t kind = 0;

	for (uint32_t i = 0; i < KINDS; i++)
		sum += kinds[i].rate;
	u = rng_unit(&w->rng) * sum;
	while (kind + 1 < KINDS && u >= kinds[kind].rate)
		u -= kinds[kind++].rate;
	return kind;
}

static void send_request(struct world *w)
{
	struct req *q = g_new0(struct req, 1);
	struct instance *n;
	struct engine *e;
	struct arrival a;
	uint32_t source = 0;
	double tokens;
	double step;
	int64_t first;

	q->kind = draw_kind(w);
	q->instance = (uint32_t)rng_below(&w->rng, INSTANCES);
	q->call = draw_call(w, q->kind);
	n = &w->instances[q->instance];
	g_assert_cmpint(fleet_choose(n->fleet, q->call, NULL, 0, w->now, &q->pick), ==, 0);
	q->engine = GPOINTER_TO_UINT(g_hash_table_lookup(w->engine_by_id,
							 fleet_id(n->fleet, q->pick.upstream))) -
		    1;
	if (q->pick.source)
		source = GPOINTER_TO_UINT(
			g_hash_table_lookup(w->engine_by_id, fleet_id(n->fleet, q->pick.source)));
	q->sent_at = w->now;
	fleet_sent(n->fleet, &q->pick, w->now);
	e = &w->engines[q->engine];
	e->running++;
	a = (struct arrival){ w->now,
			      e->running > LIMIT_FACTOR * mean_running(w) + LIMIT_TOLERANCE };
	g_array_append_val(w->arrivals, a);
	tokens = prefill_prompt(w, e, source ? &w->engines[source - 1] : NULL, q->call);
	e->prefill_until = MAX(e->prefill_until, w->now) + (int64_t)(tokens * PREFILL_TIME);
	step = DECODE_STEP_TIME + DECODE_STEP_PER_REQUEST * e->running;
	first = e->prefill_until + (int64_t)step;
	open_reqs = g_renew(struct req *, open_reqs, w->n_requests + 1);
	open_reqs[w->n_requests] = q;
	push(w, first, PREFILL_DONE, (uint32_t)w->n_requests, 0, NULL);
	push(w, first + (int64_t)(step * rng_exp(&w->rng, kinds[q->kind].output_tokens)),
	     REQUEST_END, (uint32_t)w->n_requests, 0, NULL);
	w->n_requests++;
}

/* Callers send bursts of 3 requests on average; the rate varies by 15% with a period of 11 s. */
static void on_arrivals(struct world *w)
{
	double t = (double)(w->now - w->start) / USEC_PER_SEC;
	double rate = w->load->factor * (1 + 0.15 * sin(2 * G_PI * t / 11));
	double sum = 0;

	for (uint32_t i = 0; i < KINDS; i++)
		sum += kinds[i].rate;
	do {
		send_request(w);
	} while (rng_unit(&w->rng) < 2.0 / 3);
	push(w, w->now + (int64_t)rng_exp(&w->rng, 3 * USEC_PER_SEC / (rate * sum)),
	     REQUEST_ARRIVAL, 0, 0, NULL);
}

static void on_prefill_done(struct world *w, struct req *q)
{
	struct instance *n = &w->instances[q->instance];
	struct engine *e = &w->engines[q->engine];
	struct edge_response a = { .status = 200,
				   .running = (int32_t)MIN(e->running, SLOTS),
				   .waiting = (int32_t)(e->running - MIN(e->running, SLOTS)) };

	fleet_record_load(n->fleet, q->pick.upstream, &a, w->now);
	fleet_prefill_done(n->fleet, &q->pick, q->call, w->now - q->sent_at, w->now);
}

static void on_request_end(struct world *w, struct req *q)
{
	struct instance *n = &w->instances[q->instance];

	fleet_done(n->fleet, &q->pick, true, w->now);
	fleet_result(n->fleet, q->pick.upstream, MEMBER_OK, w->now);
	w->engines[q->engine].running--;
	req_free(q);
}

static void run_event(struct world *w, const struct event *e)
{
	/* Of FEED_TICK only; the index of other events may be a request. */
	struct instance *n = &w->instances[e->index % INSTANCES];
	gsize len;
	const void *data;

	switch (e->type) {
	case REQUEST_ARRIVAL:
		on_arrivals(w);
		break;
	case PREFILL_DONE:
		on_prefill_done(w, open_reqs[e->index]);
		break;
	case REQUEST_END:
		on_request_end(w, open_reqs[e->index]);
		break;
	case FRAME_ARRIVAL:
		data = g_bytes_get_data(e->frame, &len);
		g_assert_cmpint(feed_receive(w->instances[e->to].feed, data, len, w->now), ==, 0);
		g_bytes_unref(e->frame);
		break;
	case FEED_TICK:
		feed_tick(n->feed, w->now);
		fleet_tick(n->fleet, w->now);
		push(w, w->now + TICK, FEED_TICK, e->index, 0, NULL);
		break;
	}
}

/* The largest fraction over the limit in any window with at least OVER_LIMIT_MIN such requests. */
static double worst_fraction(const struct world *w)
{
	const struct arrival *a = (const struct arrival *)(void *)w->arrivals->data;
	uint32_t over_limit = 0;
	uint32_t first = 0;
	double worst = 0;

	for (uint32_t i = 0; i < w->arrivals->len; i++) {
		over_limit += a[i].over_limit;
		while (a[first].at < a[i].at - LIMIT_WINDOW)
			over_limit -= a[first++].over_limit;
		if (a[i].at - a[0].at >= LIMIT_WINDOW && over_limit >= OVER_LIMIT_MIN)
			worst = MAX(worst, (double)over_limit / (i - first + 1));
	}
	return worst;
}

static void run_case(const struct load_case *load, uint64_t seed)
{
	g_autofree struct world *w = g_new0(struct world, 1);
	double worst;

	world_new(w, load, seed);
	while (w->now < w->start + DURATION) {
		GSequenceIter *it = g_sequence_get_begin_iter(w->events);
		struct event e = *(struct event *)g_sequence_get(it);

		g_sequence_remove(it);
		w->now = e.at;
		run_event(w, &e);
	}
	worst = worst_fraction(w);
	g_test_message("seed %u: worst share over the limit %.4f; %u requests, %.0f tokens read by "
		       "prefill, %.0f of them repeatedly, %.0f transferred, %.0f feed bytes per "
		       "second and instance",
		       (unsigned int)seed, worst, w->arrivals->len, w->prefill_tokens,
		       w->repeated_tokens, w->transferred_tokens,
		       (double)w->feed_bytes / INSTANCES /
			       ((double)(w->now - 1000 * USEC_PER_SEC) / USEC_PER_SEC));
	g_assert_cmpfloat(worst, <=, OVER_LIMIT_FRACTION);
	g_assert_cmpfloat(w->repeated_tokens, <=, REPEATED_FRACTION * w->prefill_tokens);
	world_clear(w);
}

/*
 * Guards against engines that exceed the load limit while others are idle, from a cold start on,
 * and against repeated prefill of prompts whose cache location only one instance has recorded.
 */
static void test_baseline_load(void)
{
	static const struct load_case baseline = { .factor = 1 };

	for (uint64_t seed = 1; seed <= 2; seed++)
		run_case(&baseline, seed);
}

/* Guards against loads over the limit if all instances place a burst by the same outdated loads. */
static void test_burst(void)
{
	static const struct load_case burst = { .factor = 1.7 };

	run_case(&burst, 3);
}

/*
 * Guards against a hot chat that overloads one engine after the other: its preferred upstream got
 * most of the requests until all instances knew the load, then all switched to the same next one.
 */
static void test_hot_chat(void)
{
	static const struct load_case hot[] = {
		{ 0.75, 0.45, 0, 3 * USEC_PER_SEC, 9 * USEC_PER_SEC },
		{ 0.75, 0.37, 1, 3 * USEC_PER_SEC, 9 * USEC_PER_SEC },
		{ 1, 0.28, 0, 5 * USEC_PER_SEC, 11 * USEC_PER_SEC },
	};

	for (uint32_t i = 0; i < G_N_ELEMENTS(hot); i++)
		run_case(&hot[i], 4 + i);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limit/usual", test_baseline_load);
	g_test_add_func("/limit/burst", test_burst);
	g_test_add_func("/limit/hot-chat", test_hot_chat);
	return g_test_run();
}
