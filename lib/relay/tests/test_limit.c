#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "feed/feed.h"
#include "relay/fleet.h"

/*
 * A large fleet in virtual time: many instances that each send a few requests a second to many
 * engines, and hear of each other's sends only by the feed. Judged is the promise on load: of the
 * requests of any five seconds at most 3 in 100 reach an engine that holds over twice the mean of
 * its service and three. Judged as well is what engines read although another one held it.
 */
#define MS	   USEC_PER_MSEC
#define INSTANCES  195U
#define ENGINES	   156U
#define DOMAINS	   5U
#define SLOTS	   12U
#define KINDS	   3U
#define LENGTH	   (12 * USEC_PER_SEC)
#define TICK	   (100 * MS)
#define FRAME_TIME (1 * MS)
#define CAP_FACTOR 2.0 /* the promise: times the mean */
#define CAP_SLACK  3.0
#define CAP_SHARE  0.03
#define CAP_WINDOW (5 * USEC_PER_SEC)
/* The target: of the tokens that engines read, less than a tenth were held by another one. */
#define AGAIN_SHARE  0.1
#define CAP_REQUESTS 20U /* fewer requests over the bound in a window are allowed */
#define READ_TIME    (USEC_PER_MSEC / 38.1) /* microseconds for one prompt token */
#define COPY_SHARE   0.2 /* time of a copied token against one that is read */
#define STEP_TIME    (4.43 * USEC_PER_MSEC) /* for one token of each running request */
#define STEP_EACH    (0.0194 * USEC_PER_MSEC) /* longer for each running request */

/* One kind of requests: rate, chats, prompt and output of the deployment that this stands for. */
struct kind {
	double rate; /* a second, of the whole fleet */
	uint32_t chats;
	uint32_t prefix; /* tokens that a few chats share */
	uint32_t prefixes;
	uint32_t own; /* tokens of the chat */
	uint32_t fresh; /* tokens of the request */
	double output; /* tokens, mean */
};

static const struct kind kinds[KINDS] = {
	{ 292, 863, 2520, 4, 6100, 580, 52 },
	{ 353, 695, 341, 15, 1700, 360, 23 },
	{ 122, 240, 103, 39, 500, 110, 280 },
};

/* A disturbance of the load. */
struct load_case {
	double factor; /* of the usual rate */
	double hot_share; /* of all requests goes to one chat */
	uint32_t hot_kind;
	int64_t hot_from; /* from the start */
	int64_t hot_to;
};

enum what {
	END,
	READ,
	FRAME,
	ARRIVE,
	FEED_TICK
};

struct event {
	int64_t at;
	uint64_t seq; /* keeps equal times in order */
	enum what what;
	uint32_t index; /* instance, or request */
	uint32_t to;
	GBytes *frame;
};

struct req {
	uint32_t instance;
	uint32_t engine;
	uint32_t kind;
	struct call *call;
	struct fleet_pick pick;
};

struct engine {
	char id[16];
	uint32_t running;
	int64_t read_until; /* prompts are read one after the other */
	GHashTable *parts; /* set of held parts */
};

struct world {
	int64_t now;
	int64_t start;
	struct rng rng;
	const struct load_case *load;
	struct cat_config *config;
	struct cat_route *routes[KINDS];
	struct node {
		struct world *w;
		struct fleet *fleet;
		struct feed *feed;
		char address[32];
		char domain[8];
	} nodes[INSTANCES];
	struct engine engines[ENGINES];
	GSequence *events;
	uint64_t seq;
	GHashTable *engine_by_id; /* id -> index + 1 */
	GArray *arrivals; /* of struct arrival */
	uint64_t n_requests;
	double read_tokens;
	double copied_tokens;
	double again_tokens; /* read although some engine held them */
	GHashTable *parts; /* set of parts that some engine has read */
	uint64_t feed_bytes;
};

struct arrival {
	int64_t at;
	bool over;
};

static gint by_time(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct event *x = a;
	const struct event *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static void push(struct world *w, int64_t at, enum what what, uint32_t index, uint32_t to,
		 GBytes *frame)
{
	struct event *e = g_new0(struct event, 1);

	*e = (struct event){ at, w->seq++, what, index, to, frame };
	g_sequence_insert_sorted(w->events, e, by_time, NULL);
}

static void on_object(void *arg, uint32_t kind, const char *name, const char *text,
		      uint64_t revision, const char *source)
{
}

static void on_read_store(void *arg, bool on, const char *reason)
{
	struct node *n = arg;

	feed_store_state(n->feed, on, n->w->now);
}

static void on_peer_load(void *arg, const struct feed_load *l)
{
	struct node *n = arg;

	fleet_peer_load(n->fleet, l->key, l->running, l->waiting, l->age, n->w->now);
}

static void on_peer_held(void *arg, const struct feed_held *h)
{
	struct node *n = arg;

	fleet_peer_held(n->fleet, h->part, h->upstream, n->w->now);
}

static void on_check(void *arg)
{
	struct node *n = arg;

	feed_checked(n->feed, true, n->w->now);
}

static void on_send(void *arg, const char *address, const void *data, size_t len)
{
	struct node *n = arg;
	uint32_t to;

	g_assert_cmpint(sscanf(address, "10.0.0.%u:70", &to), ==, 1);
	n->w->feed_bytes += len;
	push(n->w, n->w->now + FRAME_TIME, FRAME, (uint32_t)(n - n->w->nodes), to,
	     g_bytes_new(data, len));
}

static const struct feed_ops feed_ops = {
	.object = on_object,
	.read_store = on_read_store,
	.load = on_peer_load,
	.held = on_peer_held,
	.check_store = on_check,
	.send = on_send,
};

static void on_own_load(void *arg, uint64_t id_hash, uint32_t running, uint32_t waiting)
{
	struct node *n = arg;

	feed_note_load(n->feed, id_hash, running, waiting, n->w->now);
}

static void on_own_held(void *arg, uint64_t part, uint64_t id_hash, uint32_t tokens)
{
	struct node *n = arg;

	feed_note_held(n->feed, part, id_hash, tokens, n->w->now);
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
	fleet_settled(f);
}

static void start_node(struct world *w, uint32_t i)
{
	struct node *n = &w->nodes[i];
	struct feed_params fp = { n->address, n->domain, i < 15 ? 200 : 20, 1, i + 1, 1200 * MS };
	struct feed_instance list[INSTANCES];
	struct fleet_params p = { n->domain, i, INSTANCES };

	n->w = w;
	n->feed = feed_new(&fp, &feed_ops, n, w->now);
	for (uint32_t k = 0; k < INSTANCES; k++)
		list[k] = (struct feed_instance){ w->nodes[k].address, w->nodes[k].domain,
						  k < 15 ? 200 : 20 };
	feed_set_instances(n->feed, list, INSTANCES);
	n->fleet = fleet_new(&p);
	fleet_on_load(n->fleet, on_own_load, n);
	fleet_on_held(n->fleet, on_own_held, n);
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
		snprintf(w->nodes[i].address, sizeof(w->nodes[i].address), "10.0.0.%u:70", i);
		snprintf(w->nodes[i].domain, sizeof(w->nodes[i].domain), "d%u", i % DOMAINS);
	}
	for (uint32_t i = 0; i < INSTANCES; i++)
		start_node(w, i);
	/* The instances know each other and the engines before the first request. */
	w->start = w->now + 5 * USEC_PER_SEC;
	push(w, w->start, ARRIVE, 0, 0, NULL);
}

static void req_free(struct req *q)
{
	call_free(q->call);
	g_free(q);
}

static struct req **open_reqs; /* by number of the request */

static void world_clear(struct world *w)
{
	GSequenceIter *it = g_sequence_get_begin_iter(w->events);

	for (; !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it)) {
		struct event *e = g_sequence_get(it);

		if (e->what == FRAME)
			g_bytes_unref(e->frame);
		if (e->what == END)
			req_free(open_reqs[e->index]);
	}
	g_sequence_free(w->events);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		feed_free(w->nodes[i].feed);
		fleet_free(w->nodes[i].fleet);
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

static bool holds(const struct engine *e, uint64_t part)
{
	return g_hash_table_contains(e->parts, &part);
}

/* Tokens of @c that @e has to read, and which it copies from @source (NULL: none). */
static double read_prompt(struct world *w, struct engine *e, const struct engine *source,
			  const struct call *c)
{
	double tokens = 0;
	bool held = true;
	bool copied = source != NULL;

	for (uint32_t i = 0; i < c->n_parts; i++) {
		uint64_t *part = g_new(uint64_t, 1);

		held = held && holds(e, c->parts[i].id);
		copied = copied && holds(source, c->parts[i].id);
		if (!held && copied) {
			tokens += c->parts[i].tokens * COPY_SHARE;
			w->copied_tokens += c->parts[i].tokens;
		} else if (!held) {
			tokens += c->parts[i].tokens;
			w->read_tokens += c->parts[i].tokens;
			if (g_hash_table_contains(w->parts, &c->parts[i].id))
				w->again_tokens += c->parts[i].tokens;
		}
		g_hash_table_add(w->parts, g_memdup2(&c->parts[i].id, sizeof(uint64_t)));
		*part = c->parts[i].id;
		g_hash_table_add(e->parts, part);
	}
	return tokens;
}

/* Popularity of chats falls off slowly with their number. */
static uint32_t draw_chat(struct world *w, uint32_t kind)
{
	const struct load_case *l = w->load;
	int64_t t = w->now - w->start;
	double u = rng_unit(&w->rng);

	if (kind == l->hot_kind && t >= l->hot_from && t < l->hot_to &&
	    rng_unit(&w->rng) < l->hot_share)
		return 7;
	/* Density x^-0.3. */
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
	c->parts[0] = (struct locality_part){ hash_pair(kind + 1, chat % k->prefixes), k->prefix };
	c->parts[1] = (struct locality_part){ hash_pair(kind + 101, chat), k->own };
	c->parts[2] = (struct locality_part){ hash_pair(1001, w->n_requests), k->fresh };
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

static void send_one(struct world *w)
{
	struct req *q = g_new0(struct req, 1);
	struct node *n;
	struct engine *e;
	struct arrival a;
	uint32_t source = 0;
	double tokens;
	double step;
	int64_t first;

	q->kind = draw_kind(w);
	q->instance = (uint32_t)rng_below(&w->rng, INSTANCES);
	q->call = draw_call(w, q->kind);
	n = &w->nodes[q->instance];
	g_assert_cmpint(fleet_choose(n->fleet, q->call, NULL, 0, w->now, &q->pick), ==, 0);
	q->engine = GPOINTER_TO_UINT(g_hash_table_lookup(w->engine_by_id,
							 fleet_id(n->fleet, q->pick.upstream))) -
		    1;
	if (q->pick.source)
		source = GPOINTER_TO_UINT(
			g_hash_table_lookup(w->engine_by_id, fleet_id(n->fleet, q->pick.source)));
	fleet_sent(n->fleet, &q->pick, w->now);
	e = &w->engines[q->engine];
	e->running++;
	a = (struct arrival){ w->now, e->running > CAP_FACTOR * mean_running(w) + CAP_SLACK };
	g_array_append_val(w->arrivals, a);
	tokens = read_prompt(w, e, source ? &w->engines[source - 1] : NULL, q->call);
	e->read_until = MAX(e->read_until, w->now) + (int64_t)(tokens * READ_TIME);
	step = STEP_TIME + STEP_EACH * e->running;
	first = e->read_until + (int64_t)step;
	open_reqs = g_renew(struct req *, open_reqs, w->n_requests + 1);
	open_reqs[w->n_requests] = q;
	push(w, first, READ, (uint32_t)w->n_requests, 0, NULL);
	push(w, first + (int64_t)(step * rng_exp(&w->rng, kinds[q->kind].output)), END,
	     (uint32_t)w->n_requests, 0, NULL);
	w->n_requests++;
}

/* Callers send in clumps of three on average, and the rate swings by 15% every 11 seconds. */
static void arrive(struct world *w)
{
	double t = (double)(w->now - w->start) / USEC_PER_SEC;
	double rate = w->load->factor * (1 + 0.15 * sin(2 * G_PI * t / 11));
	double sum = 0;

	for (uint32_t i = 0; i < KINDS; i++)
		sum += kinds[i].rate;
	do {
		send_one(w);
	} while (rng_unit(&w->rng) < 2.0 / 3);
	push(w, w->now + (int64_t)rng_exp(&w->rng, 3 * USEC_PER_SEC / (rate * sum)), ARRIVE, 0, 0,
	     NULL);
}

static void on_read(struct world *w, struct req *q)
{
	struct node *n = &w->nodes[q->instance];
	struct engine *e = &w->engines[q->engine];
	struct edge_response a = { .status = 200,
				   .running = (int32_t)MIN(e->running, SLOTS),
				   .waiting = (int32_t)(e->running - MIN(e->running, SLOTS)) };

	fleet_load(n->fleet, q->pick.upstream, &a, w->now);
	fleet_read(n->fleet, &q->pick, q->call, w->now);
}

static void on_end(struct world *w, struct req *q)
{
	struct node *n = &w->nodes[q->instance];

	fleet_done(n->fleet, &q->pick, true, w->now);
	fleet_result(n->fleet, q->pick.upstream, MEMBER_OK, w->now);
	w->engines[q->engine].running--;
	req_free(q);
}

static void run_event(struct world *w, const struct event *e)
{
	struct node *n = &w->nodes[e->index % INSTANCES];
	gsize len;
	const void *data;

	switch (e->what) {
	case ARRIVE:
		arrive(w);
		break;
	case READ:
		on_read(w, open_reqs[e->index]);
		break;
	case END:
		on_end(w, open_reqs[e->index]);
		break;
	case FRAME:
		data = g_bytes_get_data(e->frame, &len);
		g_assert_cmpint(feed_frame(w->nodes[e->to].feed, data, len, w->now), ==, 0);
		g_bytes_unref(e->frame);
		break;
	case FEED_TICK:
		feed_tick(n->feed, w->now);
		fleet_tick(n->fleet, w->now);
		push(w, w->now + TICK, FEED_TICK, e->index, 0, NULL);
		break;
	}
}

/* The largest share of requests over the bound in any window, with enough of them to count. */
static double worst_share(const struct world *w)
{
	const struct arrival *a = (const struct arrival *)(void *)w->arrivals->data;
	uint32_t over = 0;
	uint32_t first = 0;
	double worst = 0;

	for (uint32_t i = 0; i < w->arrivals->len; i++) {
		over += a[i].over;
		while (a[first].at < a[i].at - CAP_WINDOW)
			over -= a[first++].over;
		if (a[i].at - a[0].at >= CAP_WINDOW && over >= CAP_REQUESTS)
			worst = MAX(worst, (double)over / (i - first + 1));
	}
	return worst;
}

static void play(const struct load_case *load, uint64_t seed)
{
	g_autofree struct world *w = g_new0(struct world, 1);
	double worst;

	world_new(w, load, seed);
	while (w->now < w->start + LENGTH) {
		GSequenceIter *it = g_sequence_get_begin_iter(w->events);
		struct event e = *(struct event *)g_sequence_get(it);

		g_sequence_remove(it);
		w->now = e.at;
		run_event(w, &e);
	}
	worst = worst_share(w);
	g_test_message("seed %u: worst share over the bound %.4f; %u requests, %.0f tokens read, "
		       "%.0f of them again, %.0f copied, %.0f feed bytes a second and instance",
		       (unsigned int)seed, worst, w->arrivals->len, w->read_tokens, w->again_tokens,
		       w->copied_tokens,
		       (double)w->feed_bytes / INSTANCES /
			       ((double)(w->now - 1000 * USEC_PER_SEC) / USEC_PER_SEC));
	g_assert_cmpfloat(worst, <=, CAP_SHARE);
	g_assert_cmpfloat(w->again_tokens, <=, AGAIN_SHARE * w->read_tokens);
	world_clear(w);
}

/*
 * Guards against engines that get more than the bound while others are idle, from a cold start, and
 * against prompts that are read again because only one instance knows who has read them.
 */
static void test_usual(void)
{
	static const struct load_case usual = { .factor = 1 };

	for (uint64_t seed = 1; seed <= 2; seed++)
		play(&usual, seed);
}

/* Guards against a burst that all instances place by the same old loads. */
static void test_burst(void)
{
	static const struct load_case burst = { .factor = 1.7 };

	play(&burst, 3);
}

/*
 * Guards against one chat with a large part of the traffic: its home got most of it until the load
 * was known everywhere, and then all instances turned to the same next engine.
 */
static void test_hot_chat(void)
{
	static const struct load_case hot[] = {
		{ 0.75, 0.45, 0, 3 * USEC_PER_SEC, 9 * USEC_PER_SEC },
		{ 0.75, 0.37, 1, 3 * USEC_PER_SEC, 9 * USEC_PER_SEC },
		{ 1, 0.28, 0, 5 * USEC_PER_SEC, 11 * USEC_PER_SEC },
	};

	for (uint32_t i = 0; i < G_N_ELEMENTS(hot); i++)
		play(&hot[i], 4 + i);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limit/usual", test_usual);
	g_test_add_func("/limit/burst", test_burst);
	g_test_add_func("/limit/hot-chat", test_hot_chat);
	return g_test_run();
}
