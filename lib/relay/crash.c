#include "relay/crash.h"

#include "trace/trace.h"

/* A refused connect is answered within a round trip, which takes 2 ms between failure domains. */
#define CHECK_TIMEOUT  (100 * USEC_PER_MSEC)
#define KEYS_MAX       16384U /* a crash may find many requests with long prompts in flight */
#define CLEAR_KEYS_MAX 4096U /* of them, keys without a crash */
/* Peers are told that a key is still refused; a fraction of its quarantine after a refusal. */
#define REFUSAL_RESEND (5 * USEC_PER_SEC)
#define LOGGED_MAX     4096U
#define RECORDS_MAX    64U /* collected in one call */
#define ROUNDS_MAX     16U /* calls in a tick */

/* One connect that tells whether an upstream crashed. */
struct check {
	struct list_head link;
	struct crashes *owner;
	struct http_conn *conn; /* owned */
	tab_handle handle;
	uint64_t upstream; /* hash of its id */
	uint64_t started; /* start number of its process */
	uint32_t timer;
	struct list_head waiting; /* of struct crash_track */
	struct list_head closed; /* of struct closed_attempt */
};

/* An attempt that ended with its connection, during the check whether it is complete. */
struct closed_attempt {
	struct list_head link;
	struct poison_request keys;
};

enum check_result {
	CHECK_ALIVE,
	CHECK_CRASHED,
	CHECK_UNKNOWN,
};

struct crashes {
	struct relay *relay;
	struct poison *poison;
	GHashTable *logged; /* key -> state and number of crashes in its last log line */
	struct list_head in_flight; /* of struct crash_track */
	struct list_head checks; /* of struct check */
	bool changed; /* crashes were attributed since the attempts in flight were checked */
	relay_crash_fn report;
	void *report_arg;
	struct ctr *n_checks;
};

struct crashes *crashes_new(struct relay *r)
{
	struct crashes *s = g_new0(struct crashes, 1);
	struct poison_params p = { .capacity = KEYS_MAX,
				   .clear_capacity = CLEAR_KEYS_MAX,
				   .refusal_resend = REFUSAL_RESEND,
				   .count_same_upstream = true };

	s->relay = r;
	s->poison = poison_new(&p);
	s->logged = g_hash_table_new(NULL, NULL);
	list_init(&s->in_flight);
	list_init(&s->checks);
	s->n_checks = ctr_get("crash_checks_total");
	return s;
}

static void check_free(struct check *c)
{
	struct list_head *pos;
	struct list_head *tmp;

	list_for_each_safe (pos, tmp, &c->closed) {
		struct closed_attempt *a = list_entry(pos, struct closed_attempt, link);

		g_free((uint64_t *)a->keys.parts);
		g_free(a);
	}
	list_del(&c->link);
	if (c->timer)
		timer_cancel(c->owner->relay->timers, c->timer);
	http_conn_free(c->conn);
	g_free(c);
}

void crashes_free(struct crashes *s)
{
	struct list_head *pos;
	struct list_head *tmp;

	if (!s)
		return;
	list_for_each_safe (pos, tmp, &s->checks)
		check_free(list_entry(pos, struct check, link));
	poison_free(s->poison);
	g_hash_table_unref(s->logged);
	g_free(s);
}

static uint64_t fingerprint(const struct call *c)
{
	uint64_t h = hash_pair(hash_str(c->account ? c->account->name : NULL), hash_str(c->method));

	h = hash_pair(h, hash_str(c->target));
	h = hash_pair(h, hash_bytes(c->body->data, c->body->len));
	for (guint i = 0; i < c->part_ids->len; i++)
		h = hash_pair(h, g_array_index(c->part_ids, uint64_t, i));
	return h;
}

void crash_track_init(struct crash_track *t, const struct call *c,
		      const struct crash_track_ops *ops, void *owner)
{
	uint64_t *parts;

	*t = (struct crash_track){ .ops = ops, .owner = owner };
	t->keys.fingerprint = fingerprint(c);
	/* The last part belongs to this request or its session only. */
	if (c->part_ids->len < 2)
		return;
	t->keys.n_parts = c->part_ids->len - 1;
	parts = g_new(uint64_t, t->keys.n_parts);
	for (uint32_t i = 0; i < t->keys.n_parts; i++)
		parts[i] = hash_pair(g_array_index(c->part_ids, uint64_t, i), 0);
	t->keys.parts = parts;
}

void crash_track_clear(struct crashes *s, struct crash_track *t, int64_t now)
{
	crash_attempt_ended(s, t, false, now);
	g_free((uint64_t *)t->keys.parts);
	t->keys = (struct poison_request){ 0 };
}

bool crash_is_quarantined(struct crashes *s, struct crash_track *t, int64_t now,
			  int64_t *retry_after)
{
	if (poison_get_state(s->poison, &t->keys, now) != POISON_QUARANTINED)
		return false;
	*retry_after = poison_retry_after(s->poison, &t->keys, now);
	return true;
}

int64_t crash_preview(const struct crashes *s, const struct call *c, int64_t now)
{
	struct crash_track t;
	int64_t left;

	crash_track_init(&t, c, NULL, NULL);
	left = poison_preview(s->poison, &t.keys, now);
	g_free((uint64_t *)t.keys.parts);
	return left;
}

void crash_attempt_sent(struct crashes *s, struct crash_track *t, tab_handle upstream, int64_t now)
{
	t->handle = upstream;
	t->upstream = hash_str(fleet_id(s->relay->fleet, upstream));
	t->in_flight = true;
	t->progress = 0;
	list_add_tail(&t->link, &s->in_flight);
	poison_attempt_started(s->poison, &t->keys, t->upstream, now);
}

void crash_attempt_output(struct crashes *s, struct crash_track *t, uint32_t progress, int64_t now)
{
	uint32_t old = t->progress;

	if (!t->in_flight || progress <= old)
		return;
	t->progress = progress;
	if (!old || progress / POISON_PROGRESS_MARGIN > old / POISON_PROGRESS_MARGIN)
		poison_attempt_progress(s->poison, &t->keys, t->upstream, progress, now);
}

void crash_attempt_ended(struct crashes *s, struct crash_track *t, bool complete, int64_t now)
{
	if (t->waiting)
		list_del(&t->wait_link);
	t->waiting = false;
	if (!t->in_flight)
		return;
	t->in_flight = false;
	list_del(&t->link);
	if (complete)
		poison_attempt_completed(s->poison, &t->keys, t->upstream, now);
	else
		poison_attempt_aborted(s->poison, &t->keys, t->upstream, now);
}

enum key_state {
	KEY_CLEARED,
	KEY_SUSPECTED,
	KEY_QUARANTINED
};

static enum key_state key_state(struct crashes *s, const struct poison_record *r, int64_t now)
{
	if (poison_is_quarantined(s->poison, r, now))
		return KEY_QUARANTINED;
	return r->crashes[0] ? KEY_SUSPECTED : KEY_CLEARED;
}

/* Logs a record if its state or the number of crashes changed. */
static void trace_record(struct crashes *s, const struct poison_record *r, int64_t now)
{
	static const char *const names[] = { "cleared", "suspected", "quarantined" };
	enum key_state state = key_state(s, r, now);
	gpointer key = (gpointer)(uintptr_t)hash_pair(r->key, r->is_part);
	uint32_t n = 0;
	guint line;

	while (n < POISON_CRASHES_MAX && r->crashes[n])
		n++;
	line = (state + 1) * (POISON_CRASHES_MAX + 1) + n;
	if (GPOINTER_TO_UINT(g_hash_table_lookup(s->logged, key)) == line)
		return;
	if (g_hash_table_size(s->logged) >= LOGGED_MAX)
		g_hash_table_remove_all(s->logged);
	g_hash_table_insert(s->logged, key, GUINT_TO_POINTER(line));
	trace(SUSPECT, r->key, r->is_part ? "part" : "request", names[state], n);
}

static void report_record(struct crashes *s, const struct poison_record *r, int64_t now)
{
	struct relay_crash c = { .key = r->key, .is_part = r->is_part, .refused_age = -1 };

	if (r->refused_at)
		c.refused_age = MAX(now - r->refused_at, 0);

	for (uint32_t i = 0; i < POISON_CRASHES_MAX && r->crashes[i]; i++) {
		c.crash = r->crashes[i];
		c.age = MAX(now - r->crashed_at[i], 0);
		c.progress = r->progress[i];
		s->report(s->report_arg, &c);
	}
	if (r->begun_at) {
		c.crash = 0;
		c.progress = 0;
		c.refused_age = -1;
		c.age = MAX(now - r->begun_at, 0);
		s->report(s->report_arg, &c);
	}
}

/*
 * Ends the attempts in flight that are quarantined now. Called from the tick only: other rows of
 * the same frame may attribute the crashes to another key.
 */
static void end_quarantined(struct crashes *s, int64_t now)
{
	struct list_head *pos;
	struct list_head *tmp;

	list_for_each_safe (pos, tmp, &s->in_flight) {
		struct crash_track *t = list_entry(pos, struct crash_track, link);

		if (!t->progress && !t->waiting &&
		    poison_get_state(s->poison, &t->keys, now) == POISON_QUARANTINED)
			t->ops->quarantined(t->owner);
	}
}

void crashes_tick(struct crashes *s, int64_t now)
{
	struct poison_record records[RECORDS_MAX];
	bool changed = s->changed;
	uint32_t n = RECORDS_MAX;

	for (uint32_t round = 0; round < ROUNDS_MAX && n == RECORDS_MAX; round++) {
		n = poison_collect_records(s->poison, records, RECORDS_MAX, now);
		for (uint32_t i = 0; i < n; i++) {
			trace_record(s, &records[i], now);
			if (s->report)
				report_record(s, &records[i], now);
		}
	}
	s->changed = false;
	if (changed)
		end_quarantined(s, now);
}

static void trace_crash(const struct check *c)
{
	const struct list_head *pos;
	char id[96];
	uint32_t in_flight = 0;
	uint32_t begun = 0;

	list_for_each (pos, &c->owner->in_flight) {
		const struct crash_track *t = list_entry(pos, struct crash_track, link);

		in_flight += t->upstream == c->upstream;
		begun += t->upstream == c->upstream && t->progress;
	}
	trace(CRASH, trace_sanitize(id, sizeof(id), fleet_id(c->owner->relay->fleet, c->handle)),
	      in_flight, begun);
}

/* What an attempt that ended with its connection means for its keys; it is not in flight any more. */
static void finish_closed(struct check *c, struct closed_attempt *a, enum check_result result,
			  int64_t now)
{
	struct poison *p = c->owner->poison;

	if (result == CHECK_ALIVE)
		poison_attempt_completed(p, &a->keys, c->upstream, now);
	else
		poison_attempt_aborted(p, &a->keys, c->upstream, now);
}

static void finish_check(struct check *c, enum check_result result)
{
	struct list_head *pos;
	struct crashes *s = c->owner;
	int64_t now = g_get_monotonic_time();

	/* A request that fails there from now on starts a new check. */
	list_del(&c->link);
	if (result == CHECK_CRASHED) {
		trace_crash(c);
		poison_upstream_crashed(s->poison, c->upstream, c->started, now);
		s->changed = true;
	}
	list_for_each (pos, &c->closed)
		finish_closed(c, list_entry(pos, struct closed_attempt, link), result, now);
	while (!list_empty(&c->waiting)) {
		struct crash_track *t = list_entry(c->waiting.next, struct crash_track, wait_link);

		crash_attempt_ended(s, t, false, now);
		t->ops->checked(t->owner, result == CHECK_ALIVE);
	}
	check_free(c);
}

static void on_connected(void *owner)
{
	finish_check(owner, CHECK_ALIVE);
}

static void on_closed(void *owner, enum http_close_reason reason)
{
	/* An upstream that resets connections, as beyond its limit, is alive. */
	finish_check(owner, reason == HTTP_CLOSE_REFUSED ? CHECK_CRASHED : CHECK_UNKNOWN);
}

static void on_timeout(void *arg, int64_t now)
{
	struct check *c = arg;

	c->timer = 0;
	finish_check(c, CHECK_UNKNOWN);
}

static const struct http_ops check_ops = {
	.closed = on_closed,
	.connected = on_connected,
};

static struct check *find_check(const struct crashes *s, uint64_t upstream)
{
	const struct list_head *pos;

	list_for_each (pos, &s->checks) {
		struct check *c = list_entry(pos, struct check, link);

		if (c->upstream == upstream)
			return c;
	}
	return NULL;
}

static struct check *start_check(struct crashes *s, const struct crash_track *t, int64_t now)
{
	struct fleet *f = s->relay->fleet;
	struct check *c;
	struct http_conn *conn;
	uint64_t started;

	/* A draining upstream ends by itself. */
	if (!fleet_get_process(f, t->handle, &started))
		return NULL;
	c = g_new0(struct check, 1);
	conn = http_conn_open(fleet_addr(f, t->handle), &check_ops, c);
	if (!conn) {
		g_free(c);
		return NULL;
	}
	ctr_add(s->n_checks, 1);
	c->owner = s;
	c->conn = conn;
	c->handle = t->handle;
	c->upstream = t->upstream;
	c->started = started;
	list_init(&c->waiting);
	list_init(&c->closed);
	list_add_tail(&c->link, &s->checks);
	c->timer = timer_subscribe(s->relay->timers, now + CHECK_TIMEOUT, 0, on_timeout, c);
	return c;
}

static struct check *get_check(struct crashes *s, const struct crash_track *t, int64_t now)
{
	struct check *c = find_check(s, t->upstream);

	return c ? c : start_check(s, t, now);
}

void crash_attempt_closed(struct crashes *s, struct crash_track *t, int64_t now)
{
	struct check *c = t->in_flight ? get_check(s, t, now) : NULL;
	struct closed_attempt *a;

	if (!c) {
		crash_attempt_ended(s, t, false, now);
		return;
	}
	a = g_new0(struct closed_attempt, 1);
	a->keys = t->keys;
	a->keys.parts = g_memdup2(t->keys.parts, t->keys.n_parts * sizeof(uint64_t));
	list_add_tail(&a->link, &c->closed);
	t->in_flight = false;
	list_del(&t->link);
}

bool crash_check(struct crashes *s, struct crash_track *t, int64_t now)
{
	struct check *c = t->in_flight ? get_check(s, t, now) : NULL;

	if (!c) {
		crash_attempt_ended(s, t, false, now);
		return false;
	}
	t->waiting = true;
	list_add_tail(&t->wait_link, &c->waiting);
	return true;
}

void crashes_set_report(struct crashes *s, relay_crash_fn fn, void *arg)
{
	s->report = fn;
	s->report_arg = arg;
}

void crashes_peer_report(struct crashes *s, const struct relay_crash *c, int64_t now)
{
	struct poison_record r = { .key = c->key, .is_part = c->is_part };

	if (c->crash) {
		r.crashes[0] = c->crash;
		r.crashed_at[0] = now - c->age;
		r.progress[0] = c->progress;
		r.refused_at = c->refused_age >= 0 ? now - c->refused_age : 0;
	} else {
		r.begun_at = now - c->age;
	}
	if (poison_merge_record(s->poison, &r, now) && c->crash)
		s->changed = true;
}
