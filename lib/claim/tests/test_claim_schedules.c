/*
 * Runs the claims of several instances against a model of callers, the store and an upstream. The
 * model's steps are explored exhaustively within small budgets of faults, and at random.
 */
#include <string.h>

#include "claim/claim.h"
#include "claim/claim_shard.h"

#define MAX_INSTANCES 3
#define MAX_ATTEMPTS  12
#define MAX_REQUESTS  64
#define MAX_CALLS     3
#define RETENTION     1000 /* microseconds of the model's clock */
#define DEADLINE      60 /* microseconds from a claim to its deadline */

/* Faulty variants of an instance, each without one rule; the tests show that checks detect them. */
enum mutation {
	MUTATION_NONE,
	MUTATION_NO_READ_BACK, /* regards a write without a response as successful */
	MUTATION_RESEND, /* sends again when the upstream's response is lost */
	MUTATION_NO_SEND_CHECK, /* sends a granted call without claim_may_send() */
};

struct world_params {
	enum mutation mutation;
	int n_instances;
	int n_calls;
	int n_attempts; /* per call */
	bool same_instance; /* all attempts go to the first instance */
	int faults; /* this and the following: maximum number of these steps in a run */
	int crashes;
	int pauses;
	int jumps; /* of the clock while an instance is paused, see STEP_JUMP */
	int ticks;
};

enum attempt_state {
	ATTEMPT_UNUSED,
	ATTEMPT_CLAIMING,
	ATTEMPT_GRANTED,
	ATTEMPT_SENT,
	ATTEMPT_ENDING, /* its outcome is being stored */
	ATTEMPT_OVER,
};

struct attempt {
	struct world *world;
	int call;
	int instance;
	uint32_t epoch; /* start number of the instance */
	enum attempt_state state;
	uint64_t id;
	bool refused; /* the caller got the reply "not run" */
	bool open; /* the caller got the reply "may have run" */
	int runs;
	int64_t ran_at;
};

struct request {
	bool used;
	bool applied; /* by the store; the response is not delivered yet */
	bool late; /* its response was reported as lost, but the store may still apply it */
	bool put;
	int instance;
	uint32_t epoch;
	uint32_t token;
	uint64_t if_version;
	GBytes *value; /* of a write, or of the response to a read */
	enum plat_result result;
	uint64_t version;
};

struct instance {
	struct world *world;
	struct claim *claim; /* NULL after a crash */
	uint32_t epoch;
	bool paused;
};

struct world {
	struct world_params params;
	int64_t now;
	uint64_t version;
	GBytes *value;
	struct instance instances[MAX_INSTANCES];
	struct request requests[MAX_REQUESTS];
	struct attempt attempts[MAX_ATTEMPTS];
	int n_attempts;
	int n_started[MAX_CALLS];
	int faults;
	int crashes;
	int pauses;
	int jumps;
	int ticks;
	const char *violation; /* NULL: none */
};

static bool is_running(const struct world *w, int instance, uint32_t epoch)
{
	const struct instance *i = &w->instances[instance];

	return i->claim && i->epoch == epoch;
}

static struct request *add_request(struct instance *i, bool put, uint32_t token)
{
	struct world *w = i->world;

	for (int n = 0; n < MAX_REQUESTS; n++) {
		struct request *r = &w->requests[n];

		if (r->used)
			continue;
		memset(r, 0, sizeof(*r));
		r->used = true;
		r->put = put;
		r->instance = (int)(i - w->instances);
		r->epoch = i->epoch;
		r->token = token;
		return r;
	}
	g_assert_not_reached();
}

static void on_get(void *arg, uint32_t token, const char *key)
{
	add_request(arg, false, token);
}

static void on_put(void *arg, uint32_t token, const char *key, uint64_t if_version, GBytes *value)
{
	struct request *r = add_request(arg, true, token);

	r->if_version = if_version;
	r->value = g_bytes_ref(value);
}

static void on_reply(void *arg, void *call, const struct claim_reply *r)
{
	struct attempt *a = call;

	switch (r->result) {
	case CLAIM_GRANTED:
		a->state = ATTEMPT_GRANTED;
		a->id = r->id;
		return;
	case CLAIM_UNAVAILABLE:
		a->refused = true;
		break;
	case CLAIM_OPEN:
		a->open = true;
		break;
	case CLAIM_MISMATCH:
		a->world->violation = "the same request was refused as another one";
		break;
	case CLAIM_DONE:
		if (r->status != 200 + a->call)
			a->world->violation = "a retry got another call's response";
		break;
	default:
		break;
	}
	a->state = ATTEMPT_OVER;
}

static void start_instance(struct world *w, int n)
{
	static const struct claim_ops ops = { .get = on_get, .put = on_put, .reply = on_reply };
	struct instance *i = &w->instances[n];
	struct claim_params p;

	claim_params_default(&p, (uint64_t)n + 100 * ++i->epoch);
	p.shards = 1;
	p.claim_delay = p.outcome_delay = p.copy_max_age = 0;
	p.backoff = 1;
	p.retention = RETENTION;
	p.max_deadline = DEADLINE;
	i->world = w;
	i->claim = claim_new(&p, &ops, i);
}

static void world_init(struct world *w, const struct world_params *p)
{
	memset(w, 0, sizeof(*w));
	w->params = *p;
	w->now = 10;
	w->faults = p->faults;
	w->crashes = p->crashes;
	w->pauses = p->pauses;
	w->jumps = p->jumps;
	w->ticks = p->ticks;
	for (int n = 0; n < p->n_instances; n++)
		start_instance(w, n);
}

static void drop_request(struct request *r)
{
	g_bytes_unref(r->value);
	memset(r, 0, sizeof(*r));
}

static void world_clear(struct world *w)
{
	for (int n = 0; n < MAX_INSTANCES; n++)
		claim_free(w->instances[n].claim);
	for (int n = 0; n < MAX_REQUESTS; n++)
		drop_request(&w->requests[n]);
	g_bytes_unref(w->value);
}

/* Delivers the response to the instance, or reports it as lost. */
static void deliver(struct world *w, struct request *r, bool lost)
{
	struct instance *i = &w->instances[r->instance];
	enum plat_result result = lost ? PLAT_UNKNOWN : r->result;
	g_autoptr(GBytes) value = r->value && !r->put ? g_bytes_ref(r->value) : NULL;
	uint32_t token = r->token;
	uint64_t version = r->version;
	bool receiver_running = is_running(w, r->instance, r->epoch);

	if (lost && r->put && w->params.mutation == MUTATION_NO_READ_BACK) {
		result = PLAT_OK;
		version = r->if_version + 1;
	}
	if (!r->late)
		drop_request(r);
	if (receiver_running)
		claim_store_reply(i->claim, token, result, version, value, w->now, w->now);
}

static void apply_request(struct world *w, struct request *r)
{
	r->applied = true;
	if (!r->put) {
		r->result = w->value ? PLAT_OK : PLAT_NOT_FOUND;
		r->value = w->value ? g_bytes_ref(w->value) : NULL;
	} else if (r->if_version != w->version) {
		r->result = PLAT_CONFLICT;
	} else {
		r->result = PLAT_OK;
		g_bytes_unref(w->value);
		w->value = g_bytes_ref(r->value);
		w->version++;
	}
	r->version = w->version;
}

enum step_kind {
	STEP_ATTEMPT, /* an attempt of a call reaches an instance */
	STEP_APPLY, /* the store applies a request */
	STEP_DELIVER, /* the store's response reaches the instance */
	STEP_LOSE_BEFORE, /* the request is lost */
	STEP_LOSE_AFTER, /* the response is lost */
	STEP_LATE, /* the response is reported as lost before the request is applied */
	STEP_LATE_APPLY, /* the store applies such a request */
	STEP_SEND, /* the granted call is sent and gets a response */
	STEP_SEND_LOST, /* the upstream's response is lost */
	STEP_SEND_REFUSED, /* the upstream responds that the call did not run */
	STEP_TICK, /* the clock advances to the next timer */
	STEP_CRASH,
	STEP_RESTART,
	STEP_PAUSE,
	STEP_RESUME,
	STEP_JUMP, /* the clock advances past all deadlines */
	STEP_EXPIRE, /* the clock advances past the retention of records */
};

struct step {
	enum step_kind kind;
	int n;
};

#define MAX_STEPS 128

static void add_step(struct step *steps, int *count, enum step_kind kind, int n)
{
	g_assert_cmpint(*count, <, MAX_STEPS);
	steps[*count].kind = kind;
	steps[(*count)++].n = n;
}

static void request_steps(const struct world *w, int n, struct step *s, int *count)
{
	const struct request *r = &w->requests[n];

	if (r->late) {
		add_step(s, count, STEP_LATE_APPLY, n);
		return;
	}
	if (!r->applied) {
		add_step(s, count, STEP_APPLY, n);
	} else if (!w->instances[r->instance].paused) {
		add_step(s, count, STEP_DELIVER, n);
	}
	if (w->faults == 0 || w->instances[r->instance].paused)
		return;
	if (r->applied) {
		add_step(s, count, STEP_LOSE_AFTER, n);
	} else if (r->put) {
		add_step(s, count, STEP_LATE, n);
	} else {
		add_step(s, count, STEP_LOSE_BEFORE, n);
	}
}

static int64_t next_timer(const struct world *w)
{
	int64_t next = INT64_MAX;

	for (int n = 0; n < w->params.n_instances; n++) {
		if (w->instances[n].claim && !w->instances[n].paused)
			next = MIN(next, claim_next(w->instances[n].claim));
	}
	return next;
}

static void attempt_steps(const struct world *w, int n, struct step *s, int *count)
{
	const struct attempt *a = &w->attempts[n];

	if (a->state != ATTEMPT_GRANTED || !is_running(w, a->instance, a->epoch) ||
	    w->instances[a->instance].paused)
		return;
	add_step(s, count, STEP_SEND, n);
	if (w->faults == 0)
		return;
	add_step(s, count, STEP_SEND_LOST, n);
	add_step(s, count, STEP_SEND_REFUSED, n);
}

static void instance_steps(const struct world *w, int n, struct step *s, int *count)
{
	const struct instance *i = &w->instances[n];

	if (!i->claim) {
		add_step(s, count, STEP_RESTART, n);
		return;
	}
	if (w->crashes > 0)
		add_step(s, count, STEP_CRASH, n);
	if (i->paused) {
		add_step(s, count, STEP_RESUME, n);
		if (w->jumps > 0) {
			add_step(s, count, STEP_JUMP, n);
			add_step(s, count, STEP_EXPIRE, n);
		}
	} else if (w->pauses > 0) {
		add_step(s, count, STEP_PAUSE, n);
	}
}

static int list_steps(const struct world *w, struct step *s)
{
	int count = 0;

	for (int n = 0; n < MAX_REQUESTS; n++) {
		if (w->requests[n].used)
			request_steps(w, n, s, &count);
	}
	for (int n = 0; n < w->n_attempts; n++)
		attempt_steps(w, n, s, &count);
	for (int n = 0; n < w->params.n_calls; n++) {
		if (w->n_started[n] < w->params.n_attempts && w->n_attempts < MAX_ATTEMPTS)
			add_step(s, &count, STEP_ATTEMPT, n);
	}
	for (int n = 0; n < w->params.n_instances; n++)
		instance_steps(w, n, s, &count);
	if (w->ticks > 0 && next_timer(w) != INT64_MAX)
		add_step(s, &count, STEP_TICK, 0);
	return count;
}

static void advance(struct world *w)
{
	for (int n = 0; n < w->params.n_instances; n++) {
		if (w->instances[n].claim && !w->instances[n].paused)
			claim_advance(w->instances[n].claim, w->now, w->now);
	}
}

static void start_attempt(struct world *w, int call)
{
	struct attempt *a = &w->attempts[w->n_attempts++];
	g_autofree char *key = g_strdup_printf("key-%d", call);
	int instance =
		w->params.same_instance ? 0 : (call + w->n_started[call]) % w->params.n_instances;
	struct instance *i = &w->instances[instance];

	w->n_started[call]++;
	a->world = w;
	a->call = call;
	a->instance = instance;
	a->epoch = i->epoch;
	a->state = ATTEMPT_OVER;
	if (!i->claim || i->paused)
		return;
	a->state = ATTEMPT_CLAIMING;
	claim_make(i->claim, "account", key, 77, w->now + DEADLINE, w->now, w->now, a);
	claim_advance(i->claim, w->now, w->now);
}

static void run_at_upstream(struct world *w, struct attempt *a)
{
	a->runs++;
	a->ran_at = w->now;
	for (int n = 0; n < w->n_attempts; n++) {
		const struct attempt *b = &w->attempts[n];

		if (b != a && b->call == a->call && b->runs > 0 && w->now - b->ran_at < RETENTION)
			w->violation = "the call ran twice";
	}
	if (a->runs > 1)
		w->violation = "one attempt ran twice";
	if (a->refused)
		w->violation = "a call ran that was refused as not run";
}

static void send_call(struct world *w, struct attempt *a, enum step_kind kind)
{
	struct claim *c = w->instances[a->instance].claim;
	enum verdict v = VERDICT_RAN;
	g_autoptr(GBytes) body = g_bytes_new("ok", 2);

	if (!claim_may_send(c, a->id, w->now) && w->params.mutation != MUTATION_NO_SEND_CHECK) {
		a->refused = true;
		v = VERDICT_NOT_RUN;
	} else if (kind == STEP_SEND_REFUSED) {
		v = VERDICT_NOT_RUN;
		a->refused = true;
	} else {
		run_at_upstream(w, a);
		if (kind == STEP_SEND_LOST)
			v = VERDICT_MAY_HAVE_RUN;
		if (kind == STEP_SEND_LOST && w->params.mutation == MUTATION_RESEND)
			run_at_upstream(w, a);
	}
	a->state = ATTEMPT_ENDING;
	claim_report_outcome(c, a->id, v, 200 + a->call, "text/plain", body, w->now + DEADLINE,
			     w->now, a);
	claim_advance(c, w->now, w->now);
}

static void step_request(struct world *w, enum step_kind kind, struct request *r)
{
	switch (kind) {
	case STEP_APPLY:
		apply_request(w, r);
		break;
	case STEP_LATE_APPLY:
		apply_request(w, r);
		drop_request(r);
		break;
	case STEP_DELIVER:
		deliver(w, r, false);
		break;
	default:
		w->faults--;
		r->late = kind == STEP_LATE;
		deliver(w, r, true);
		break;
	}
}

static void step_instance(struct world *w, enum step_kind kind, int n)
{
	struct instance *i = &w->instances[n];

	switch (kind) {
	case STEP_CRASH:
		w->crashes--;
		g_clear_pointer(&i->claim, claim_free);
		i->paused = false;
		break;
	case STEP_RESTART:
		start_instance(w, n);
		break;
	case STEP_PAUSE:
		w->pauses--;
		i->paused = true;
		break;
	case STEP_RESUME:
		i->paused = false;
		advance(w);
		break;
	default:
		w->jumps--;
		w->now += kind == STEP_JUMP ? 2 * DEADLINE : RETENTION + 2 * DEADLINE;
		advance(w);
		break;
	}
}

/* Executes one step of those that list_steps() found. */
static void world_step(struct world *w, const struct step *s)
{
	switch (s->kind) {
	case STEP_ATTEMPT:
		start_attempt(w, s->n);
		break;
	case STEP_SEND:
	case STEP_SEND_LOST:
	case STEP_SEND_REFUSED:
		w->faults -= s->kind != STEP_SEND;
		send_call(w, &w->attempts[s->n], s->kind);
		break;
	case STEP_TICK:
		w->ticks--;
		w->now = MAX(w->now + 1, next_timer(w));
		advance(w);
		break;
	case STEP_CRASH:
	case STEP_RESTART:
	case STEP_PAUSE:
	case STEP_RESUME:
	case STEP_JUMP:
	case STEP_EXPIRE:
		step_instance(w, s->kind, s->n);
		break;
	default:
		step_request(w, s->kind, &w->requests[s->n]);
		break;
	}
}

static uint64_t digest_request(const struct request *r)
{
	uint64_t h = hash_pair(r->token, r->if_version);
	gsize len = 0;
	const void *data = r->value ? g_bytes_get_data(r->value, &len) : NULL;

	h = hash_pair(h, (uint64_t)(r->applied | r->late << 1 | r->put << 2));
	h = hash_pair(h, hash_pair((uint64_t)r->instance, r->epoch));
	h = hash_pair(h, hash_pair((uint64_t)r->result, r->version));
	return hash_pair(h, hash_bytes(data ? data : "", len));
}

static uint64_t world_digest(const struct world *w)
{
	uint64_t h = hash_pair(w->version, (uint64_t)w->now);
	uint64_t sum = 0;
	gsize len = 0;
	const void *data = w->value ? g_bytes_get_data(w->value, &len) : NULL;

	h = hash_pair(h, hash_bytes(data ? data : "", len));
	for (int n = 0; n < MAX_REQUESTS; n++)
		sum += w->requests[n].used ? digest_request(&w->requests[n]) : 0;
	h = hash_pair(h, sum);
	for (int n = 0; n < w->params.n_instances; n++) {
		const struct instance *i = &w->instances[n];

		h = hash_pair(h, i->claim ? claim_digest(i->claim, w->now) : 0);
		h = hash_pair(h, (uint64_t)i->epoch << 1 | i->paused);
	}
	for (int n = 0; n < w->n_attempts; n++) {
		const struct attempt *a = &w->attempts[n];

		h = hash_pair(h, (uint64_t)a->state << 8 | (uint64_t)a->runs << 2 |
					 (uint64_t)a->refused << 1 | a->open);
		h = hash_pair(h, a->id);
	}
	h = hash_pair(h, (uint64_t)(w->faults | w->crashes << 4 | w->pauses << 8 | w->jumps << 12));
	return hash_pair(h, (uint64_t)w->ticks);
}

#define MAX_DEPTH 200

struct explorer {
	const struct world_params *params;
	GHashTable *visited; /* digests */
	struct step path[MAX_DEPTH];
	struct world world;
	const char *violation;
	uint64_t states;
	uint64_t limit;
	int deepest;
};

static void replay(struct explorer *e, int depth)
{
	world_clear(&e->world);
	world_init(&e->world, e->params);
	for (int i = 0; i < depth; i++)
		world_step(&e->world, &e->path[i]);
}

/* Visits all states reachable from the current one, depth first; @depth steps led to it. */
static void visit(struct explorer *e, int depth)
{
	struct step steps[MAX_STEPS];
	uint64_t *digest = g_new(uint64_t, 1);
	int count;

	*digest = world_digest(&e->world);
	e->deepest = MAX(e->deepest, depth);
	if (!g_hash_table_add(e->visited, digest))
		return;
	e->states++;
	g_assert_cmpuint(e->states, <, e->limit);
	g_assert_cmpint(depth, <, MAX_DEPTH);
	count = list_steps(&e->world, steps);
	for (int i = 0; i < count && !e->violation; i++) {
		if (i > 0)
			replay(e, depth);
		e->path[depth] = steps[i];
		world_step(&e->world, &steps[i]);
		e->violation = e->world.violation;
		if (!e->violation)
			visit(e, depth + 1);
	}
}

/* Explores all schedules within the budgets; returns the violation found or NULL. */
static const char *explore(const struct world_params *p, uint64_t limit)
{
	struct explorer e = { .params = p, .limit = limit };

	e.visited = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	world_init(&e.world, p);
	visit(&e, 0);
	world_clear(&e.world);
	g_hash_table_unref(e.visited);
	g_test_message("%" G_GUINT64_FORMAT " states, longest schedule %d steps: %s", e.states,
		       e.deepest, e.violation ? e.violation : "no violation");
	return e.violation;
}

#define STATE_LIMIT 3000000

/* Guards against a call that runs twice or after "not run" in any schedule with lost responses. */
static void test_all_lost_responses(void)
{
	static const struct world_params p = {
		.n_instances = 2, .n_calls = 1, .n_attempts = 2, .faults = 2, .ticks = 3
	};
	struct world_params same = p;

	same.same_instance = true;
	g_assert_cmpstr(explore(&p, STATE_LIMIT), ==, NULL);
	g_assert_cmpstr(explore(&same, STATE_LIMIT), ==, NULL);
}

/* Guards against a call that runs twice or after "not run" when an instance restarts. */
static void test_all_crashes(void)
{
	static const struct world_params p = { .n_instances = 2,
					       .n_calls = 1,
					       .n_attempts = 2,
					       .faults = 1,
					       .crashes = 1,
					       .ticks = 2 };

	g_assert_cmpstr(explore(&p, STATE_LIMIT), ==, NULL);
}

/* Guards against a paused instance that sends after its record was deleted by age. */
static void test_all_pauses(void)
{
	static const struct world_params p = { .n_instances = 2,
					       .n_calls = 1,
					       .n_attempts = 2,
					       .faults = 1,
					       .pauses = 1,
					       .jumps = 1,
					       .ticks = 2 };

	g_assert_cmpstr(explore(&p, STATE_LIMIT), ==, NULL);
}

/* Guards against checks that don't detect a missing rule. */
static void test_mutations(void)
{
	struct world_params p = { .mutation = MUTATION_NO_READ_BACK,
				  .n_instances = 2,
				  .n_calls = 1,
				  .n_attempts = 2,
				  .faults = 1,
				  .pauses = 1,
				  .jumps = 1,
				  .ticks = 2 };

	g_assert_cmpstr(explore(&p, STATE_LIMIT), ==, "the call ran twice");
	p.mutation = MUTATION_RESEND;
	g_assert_cmpstr(explore(&p, STATE_LIMIT), ==, "one attempt ran twice");
	p.mutation = MUTATION_NO_SEND_CHECK;
	g_assert_cmpstr(explore(&p, STATE_LIMIT), ==, "the call ran twice");
}

#define SCHEDULES      10000
#define SCHEDULE_STEPS 300

struct totals {
	uint64_t runs;
	uint64_t refused;
	uint64_t open;
	uint64_t violations;
};

/* Picks a random step; ticks and attempts less often, or most deadlines would pass. */
static const struct step *pick_step(struct rng *r, const struct step *steps, int count)
{
	const struct step *s = &steps[rng_below(r, (uint64_t)count)];

	for (int i = 0; i < 4 && (s->kind == STEP_TICK || s->kind == STEP_ATTEMPT); i++)
		s = &steps[rng_below(r, (uint64_t)count)];
	return s;
}

static void random_schedule(const struct world_params *base, uint64_t seed, struct totals *t)
{
	struct world_params p = *base;
	struct world w;
	struct rng r;

	rng_seed(&r, seed);
	p.faults = (int)rng_below(&r, 12);
	p.crashes = (int)rng_below(&r, 3);
	p.pauses = (int)rng_below(&r, 3);
	p.jumps = (int)rng_below(&r, 2);
	p.ticks = 8;
	world_init(&w, &p);
	for (int i = 0; i < SCHEDULE_STEPS && !w.violation; i++) {
		struct step steps[MAX_STEPS];
		int count = list_steps(&w, steps);

		if (count == 0)
			break;
		world_step(&w, pick_step(&r, steps, count));
	}
	for (int n = 0; n < w.n_attempts; n++) {
		t->runs += (uint64_t)w.attempts[n].runs;
		t->refused += w.attempts[n].refused;
		t->open += w.attempts[n].open;
	}
	t->violations += w.violation != NULL;
	world_clear(&w);
}

/* Guards against a call that runs twice or after "not run", with three calls at three instances. */
static void test_random_schedules(void)
{
	static const struct world_params p = { .n_instances = 3, .n_calls = 3, .n_attempts = 4 };
	struct world_params mutated = p;
	struct totals t = { 0 };
	struct totals u = { 0 };

	mutated.mutation = MUTATION_NO_READ_BACK;
	for (uint64_t seed = 1; seed <= SCHEDULES; seed++) {
		random_schedule(&p, seed, &t);
		random_schedule(&mutated, seed, &u);
	}
	g_test_message("%" G_GUINT64_FORMAT " runs, %" G_GUINT64_FORMAT
		       " refused, %" G_GUINT64_FORMAT " open; without read-back %" G_GUINT64_FORMAT
		       " violations",
		       t.runs, t.refused, t.open, u.violations);
	g_assert_cmpuint(t.violations, ==, 0);
	g_assert_cmpuint(t.runs, >, SCHEDULES);
	g_assert_cmpuint(u.violations, >, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim/all/lost-answers", test_all_lost_responses);
	g_test_add_func("/claim/all/crashes", test_all_crashes);
	g_test_add_func("/claim/all/pauses", test_all_pauses);
	g_test_add_func("/claim/naive", test_mutations);
	g_test_add_func("/claim/random-schedules", test_random_schedules);
	return g_test_run();
}
