/*
 * Plays engines that prefill long prompts, queue, slow down or hang, in virtual time, and checks
 * which of their requests are given up. The load: a service starts with empty prefix caches, and
 * chats of 10,000 tokens share its engines with short prompts.
 */
#include <glib.h>
#include <string.h>

#include "base/base.h"
#include "relay/fleet.h"
#include "relay/inactivity.h"

#define MS	     USEC_PER_MSEC
#define ENGINES	     12U
#define INSTANCES    6U /* that know nothing of each other's requests */
#define LONG_CHATS   83U
#define LONG_TOKENS  10000U /* shared by the requests of a long chat */
#define SHORT_TOKENS 700U
#define OWN_TOKENS   1300U /* of one long request alone */
#define LONG_RATE    32 /* requests per second */
#define SHORT_RATE   64
#define DURATION     (16 * USEC_PER_SEC)
#define REQUEST_TIME (26 * MS) /* to the first event, besides prefill */
#define MAX_REQUESTS 4096U

/* When a request counts as hung. */
enum policy {
	POLICY_LEARNED,
	POLICY_FIXED, /* the time that any prompt gets */
	POLICY_OMNISCIENT, /* gives up only at a hung engine */
};

struct engine_case {
	double tokens_per_ms;
	int64_t slow_every; /* microseconds; 0: never */
	int64_t slow_for;
	double slow_factor;
	int64_t hangs_at; /* engine 0, microseconds since the start; 0: never */
};

struct req {
	struct call *call;
	struct fleet_pick pick;
	uint32_t instance;
	uint32_t engine;
	double left; /* microseconds of work until the first event */
	int64_t sent_at;
	bool has_prefix; /* the shared part was cached when the work began */
	bool done;
};

struct outcome {
	uint32_t sent;
	uint32_t given_up; /* at sound engines */
	uint32_t given_up_hung;
	int64_t longest_hung; /* until the request at the hung engine was given up */
	double shared_tokens; /* prefilled tokens of shared parts */
};

struct world {
	const struct engine_case *engines;
	enum policy policy;
	struct cat_config *config;
	struct cat_route route_long;
	struct cat_route route_short;
	struct fleet *fleets[INSTANCES];
	GQueue queue[ENGINES]; /* of borrowed struct req; the head is being prefilled */
	bool cached[ENGINES][2 * LONG_CHATS];
	struct req requests[MAX_REQUESTS];
	uint32_t n;
	struct rng rng;
	int64_t start;
	int64_t now;
	struct outcome out;
};

static bool is_hung(const struct world *w, uint32_t engine)
{
	return engine == 0 && w->engines->hangs_at && w->now - w->start >= w->engines->hangs_at;
}

static uint32_t chat_of(const struct req *q)
{
	return (uint32_t)q->call->parts[0].id - 1;
}

static void send_attempt(struct world *w, struct req *q, const tab_handle *avoid, uint32_t n_avoid)
{
	struct fleet *f = w->fleets[q->instance];
	const char *id;

	g_assert_cmpint(fleet_choose(f, q->call, avoid, n_avoid, w->now, &q->pick), ==, 0);
	id = fleet_id(f, q->pick.upstream);
	q->engine = (uint32_t)g_ascii_strtoull(id + 1, NULL, 10);
	q->sent_at = w->now;
	q->left = 0;
	fleet_sent(f, &q->pick, w->now);
	g_queue_push_tail(&w->queue[q->engine], q);
	w->out.sent++;
}

static void new_request(struct world *w, bool is_long)
{
	struct req *q = &w->requests[w->n++];
	g_autofree char *id = g_strdup_printf("r%u", w->n);
	uint32_t chat = (uint32_t)rng_below(&w->rng, LONG_CHATS) + (is_long ? 0 : LONG_CHATS);

	g_assert_cmpuint(w->n, <, MAX_REQUESTS);
	q->instance = (uint32_t)rng_below(&w->rng, INSTANCES);
	q->call = call_new(w->config);
	g_free(q->call->id);
	q->call->id = g_steal_pointer(&id);
	q->call->route = is_long ? &w->route_long : &w->route_short;
	q->call->service = "llm";
	q->call->parts[0] =
		(struct locality_part){ chat + 1, is_long ? LONG_TOKENS : SHORT_TOKENS };
	q->call->parts[1] =
		(struct locality_part){ 1000000 + w->n, is_long ? OWN_TOKENS : OWN_TOKENS / 10 };
	q->call->n_parts = 2;
	send_attempt(w, q, NULL, 0);
}

static double work_of(struct world *w, struct req *q)
{
	double tokens = q->call->parts[1].tokens;

	q->has_prefix = w->cached[q->engine][chat_of(q)];
	if (!q->has_prefix) {
		tokens += q->call->parts[0].tokens;
		w->out.shared_tokens += q->call->parts[0].tokens;
	}
	return (double)REQUEST_TIME + tokens / w->engines->tokens_per_ms * (double)MS;
}

static void run_engine(struct world *w, uint32_t e)
{
	const struct engine_case *c = w->engines;
	struct req *q = g_queue_peek_head(&w->queue[e]);
	struct fleet *f;
	bool slow =
		c->slow_every && (w->now - w->start + e * 200 * MS) % c->slow_every < c->slow_for;

	if (!q || is_hung(w, e))
		return;
	if (q->left <= 0)
		q->left = work_of(w, q);
	q->left -= (double)MS / (slow ? c->slow_factor : 1);
	if (q->left > 0)
		return;
	g_queue_pop_head(&w->queue[e]);
	w->cached[e][chat_of(q)] = true;
	q->done = true;
	f = w->fleets[q->instance];
	fleet_prefill_done(f, &q->pick, q->call, w->now - q->sent_at, w->now);
	fleet_done(f, &q->pick, true, w->now);
	fleet_result(f, q->pick.upstream, MEMBER_OK, w->now);
	fleet_output(f, q->pick.upstream, w->now);
}

static int64_t time_limit(const struct world *w, const struct req *q)
{
	switch (w->policy) {
	case POLICY_LEARNED:
		return inactivity_first_output(q->call->route, q->pick.first_event,
					       fleet_has_output_since(w->fleets[q->instance],
								      q->pick.upstream,
								      q->sent_at));
	case POLICY_FIXED:
		return inactivity_first_output(q->call->route, 0, false);
	case POLICY_OMNISCIENT:
		break;
	}
	return is_hung(w, q->engine) ? inactivity_first_output(q->call->route, 0, false)
				     : INT64_MAX;
}

static void check_timeout(struct world *w, struct req *q)
{
	struct fleet *f = w->fleets[q->instance];
	tab_handle tried = q->pick.upstream;

	if (q->done || w->now - q->sent_at <= time_limit(w, q))
		return;
	if (is_hung(w, q->engine)) {
		w->out.given_up_hung++;
		w->out.longest_hung = MAX(w->out.longest_hung, w->now - q->sent_at);
	} else {
		w->out.given_up++;
	}
	g_queue_remove(&w->queue[q->engine], q);
	fleet_done(f, &q->pick, false, w->now);
	fleet_result(f, tried, MEMBER_TIMED_OUT, w->now);
	send_attempt(w, q, &tried, 1);
}

static void step(struct world *w)
{
	w->now += MS;
	if (rng_below(&w->rng, 1000) < LONG_RATE)
		new_request(w, true);
	if (rng_below(&w->rng, 1000) < SHORT_RATE)
		new_request(w, false);
	for (uint32_t e = 0; e < ENGINES; e++)
		run_engine(w, e);
	for (uint32_t i = 0; i < w->n; i++)
		check_timeout(w, &w->requests[i]);
	for (uint32_t i = 0; i < INSTANCES && w->now % (100 * MS) == 0; i++)
		fleet_tick(w->fleets[i], w->now);
}

static struct fleet *start_instance(struct world *w, uint64_t seed)
{
	struct fleet_params p = { "d", seed, INSTANCES, false };
	struct fleet *f = fleet_new(&p);

	for (uint32_t i = 0; i < ENGINES; i++) {
		g_autofree char *id = g_strdup_printf("e%u", i);
		struct fleet_entry e = { .id = id,
					 .service = "llm",
					 .addr = "127.0.0.1:1",
					 .domain = "d",
					 .version = 1,
					 .started = 1,
					 .slots = 64 };

		fleet_set(f, &e, "test", w->now);
	}
	fleet_list_complete(f);
	fleet_tick(f, w->now);
	return f;
}

static struct outcome play(const struct engine_case *engines, enum policy policy)
{
	g_autofree struct world *w = g_new0(struct world, 1);

	w->engines = engines;
	w->policy = policy;
	w->config = cat_config_new(1);
	w->route_long = (struct cat_route){ .kind = CAT_STREAM, .goal = 500 * MS };
	w->route_short = (struct cat_route){ .kind = CAT_STREAM, .goal = 250 * MS };
	w->start = w->now = 1000 * USEC_PER_SEC;
	rng_seed(&w->rng, 7);
	for (uint32_t i = 0; i < ENGINES; i++)
		g_queue_init(&w->queue[i]);
	for (uint32_t i = 0; i < INSTANCES; i++)
		w->fleets[i] = start_instance(w, i + 1);
	while (w->now - w->start < DURATION)
		step(w);
	for (uint32_t i = 0; i < ENGINES; i++)
		g_queue_clear(&w->queue[i]);
	for (uint32_t i = 0; i < w->n; i++)
		call_free(w->requests[i].call);
	for (uint32_t i = 0; i < INSTANCES; i++)
		fleet_free(w->fleets[i]);
	cat_config_unref(w->config);
	return w->out;
}

/*
 * Guards against an engine with long prompts that is taken for a hung one: its requests are started
 * again elsewhere and prefilled twice, which slows all engines down.
 */
static void test_long_prompts(void)
{
	static const double speeds[] = { 30, 40, 157 }; /* tokens in a millisecond */

	for (uint32_t i = 0; i < G_N_ELEMENTS(speeds); i++) {
		struct engine_case c = { .tokens_per_ms = speeds[i] };
		struct outcome learned = play(&c, POLICY_LEARNED);
		struct outcome fixed = play(&c, POLICY_FIXED);
		struct outcome omniscient = play(&c, POLICY_OMNISCIENT);

		g_test_message("%.0f tokens/ms: given up %u learned, %u fixed; tokens %.0f, %.0f, "
			       "omniscient %.0f",
			       speeds[i], learned.given_up, fixed.given_up, learned.shared_tokens,
			       fixed.shared_tokens, omniscient.shared_tokens);
		g_assert_cmpuint(learned.given_up * 100, <=, learned.sent);
		g_assert_cmpuint(learned.given_up, <=, fixed.given_up);
		/* The load is heavy enough to show the difference. */
		g_assert_true(i > 0 || fixed.given_up > 5 * learned.given_up);
		g_assert_cmpfloat(learned.shared_tokens, <=, 1.05 * omniscient.shared_tokens);
	}
}

/* Guards against an engine that is given up because it is slower for some hundred milliseconds. */
static void test_slows_down(void)
{
	struct engine_case c = { .tokens_per_ms = 40,
				 .slow_every = 4 * USEC_PER_SEC,
				 .slow_for = 600 * MS,
				 .slow_factor = 2.5 };
	struct outcome learned = play(&c, POLICY_LEARNED);
	struct outcome omniscient = play(&c, POLICY_OMNISCIENT);

	g_assert_cmpuint(learned.given_up * 100, <=, learned.sent);
	g_assert_cmpfloat(learned.shared_tokens, <=, 1.05 * omniscient.shared_tokens);
}

/* Guards against requests that stay at a hung engine although their callers cancel after 2 s. */
static void test_hung(void)
{
	static const double speeds[] = { 30, 40, 157 };

	for (uint32_t i = 0; i < G_N_ELEMENTS(speeds); i++) {
		struct engine_case c = { .tokens_per_ms = speeds[i],
					 .hangs_at = 12 * USEC_PER_SEC };
		struct outcome learned = play(&c, POLICY_LEARNED);

		g_test_message("%.0f tokens/ms: longest %.2f s", speeds[i],
			       (double)learned.longest_hung / USEC_PER_SEC);
		g_assert_cmpuint(learned.given_up_hung, >, 0);
		g_assert_cmpint(learned.longest_hung, <, 2 * USEC_PER_SEC);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/inactivity/long-prompts", test_long_prompts);
	g_test_add_func("/inactivity/slows-down", test_slows_down);
	g_test_add_func("/inactivity/hung", test_hung);
	return g_test_run();
}
