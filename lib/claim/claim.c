#include "claim/claim.h"

#include <string.h>

#include "claim/claim_shard.h"

#define MAX_BACKOFF_SHIFT 5

enum op_kind {
	OP_CLAIM,
	OP_OUTCOME,
	OP_RELEASE, /* removes the own record: the call did not run */
};

/* A change of a record that is to be brought into its shard. */
struct op {
	struct list_head node; /* in shard->ops, oldest first */
	enum op_kind kind;
	struct claim_record *record; /* owned; the record to store */
	int64_t due; /* earliest time of the write */
	int64_t deadline; /* when the caller is told that it failed */
	void *call;
	bool answered; /* the caller was told; the op goes on to leave no open record behind */
	bool in_flight; /* part of the write that is under way */
	bool doubtful; /* a write with it may still take effect while the version is @doubt */
	uint64_t doubt;
};

enum phase {
	PHASE_IDLE,
	PHASE_READING,
	PHASE_WRITING,
};

struct shard {
	struct list_head node; /* in claim->active while there are ops or a copy of the content */
	char *name; /* key of the object, owned */
	enum phase phase;
	GHashTable *records; /* content at @version; NULL: not known */
	uint64_t version;
	int64_t known_at; /* when the content was current */
	GHashTable *draft; /* content being written */
	int64_t retry_at; /* no call of the store before */
	uint32_t failures; /* calls of the store that failed in a row */
	struct list_head ops;
};

/* A granted claim whose outcome is not reported yet. */
struct held {
	uint64_t id;
	struct claim_record *record; /* owned */
	int64_t deadline;
};

struct claim {
	struct claim_params params;
	struct claim_ops ops;
	void *arg;
	struct shard *shards; /* params.shards of them */
	struct list_head active; /* of struct shard */
	GHashTable *held; /* id -> struct held */
	uint64_t next_seq;
	uint32_t n_pending;
	struct claim_stats stats;
};

void claim_params_default(struct claim_params *p, uint64_t nonce)
{
	*p = (struct claim_params){
		.nonce = nonce,
		.shards = CLAIM_SHARDS,
		/* Claims gather while a call of the store is under way; waiting longer saved no
		 * write at up to 400 calls a second (bench store-claim-grouped). */
		.claim_delay = 0,
		.outcome_delay = 0,
		/* An older copy would answer "may have run" after the outcome was stored. */
		.copy_max_age = 0,
		.backoff = 20 * USEC_PER_MSEC,
		.retention = CLAIM_RETENTION,
		.max_deadline = CLAIM_MAX_DEADLINE,
		.max_body = 16 * 1024,
		.max_shard = 900 * 1024,
		.max_pending = 4096,
	};
}

static void held_free(gpointer arg)
{
	struct held *h = arg;

	claim_record_free(h->record);
	g_free(h);
}

struct claim *claim_new(const struct claim_params *p, const struct claim_ops *ops, void *arg)
{
	struct claim *c = g_new0(struct claim, 1);

	c->params = *p;
	c->ops = *ops;
	c->arg = arg;
	c->held = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, held_free);
	list_init(&c->active);
	c->shards = g_new0(struct shard, p->shards);
	for (uint32_t i = 0; i < p->shards; i++) {
		c->shards[i].name = g_strdup_printf("claim/%u-%03u", p->shards, i);
		list_init(&c->shards[i].node);
		list_init(&c->shards[i].ops);
	}
	return c;
}

static void op_free(struct claim *c, struct op *o)
{
	list_del(&o->node);
	claim_record_free(o->record);
	g_free(o);
	c->n_pending--;
}

void claim_free(struct claim *c)
{
	if (!c)
		return;
	for (uint32_t i = 0; i < c->params.shards; i++) {
		struct shard *s = &c->shards[i];
		struct list_head *pos;
		struct list_head *tmp;

		list_for_each_safe (pos, tmp, &s->ops) {
			op_free(c, list_entry(pos, struct op, node));
		}
		g_clear_pointer(&s->records, g_hash_table_unref);
		g_clear_pointer(&s->draft, g_hash_table_unref);
		g_free(s->name);
	}
	g_hash_table_unref(c->held);
	g_free(c->shards);
	g_free(c);
}

static void reply(struct claim *c, void *call, const struct claim_reply *r)
{
	c->stats.results[r->result]++;
	c->ops.reply(c->arg, call, r);
}

/* Tells the caller of @o how it ended, unless it was told before. */
static void answer(struct claim *c, struct op *o, enum claim_result result)
{
	struct claim_reply r = { .result = result };

	if (o->answered)
		return;
	o->answered = true;
	reply(c, o->call, &r);
}

static void answer_stored(struct claim *c, struct op *o, const struct claim_record *found)
{
	struct claim_reply r = { .result = CLAIM_DONE,
				 .status = found->status,
				 .content_type = found->content_type,
				 .body = found->body };

	if (o->answered)
		return;
	o->answered = true;
	reply(c, o->call, &r);
}

static void grant(struct claim *c, struct op *o)
{
	struct held *h = g_new0(struct held, 1);
	struct claim_reply r = { .result = CLAIM_GRANTED, .id = o->record->attempt.seq };

	h->id = r.id;
	h->record = claim_record_dup(o->record);
	h->deadline = o->deadline;
	g_hash_table_insert(c->held, &h->id, h);
	o->answered = true;
	reply(c, o->call, &r);
}

static struct shard *shard_of(struct claim *c, const struct claim_key *k)
{
	return &c->shards[hash_pair(k->account, k->key) % c->params.shards];
}

static void add_op(struct claim *c, enum op_kind kind, struct claim_record *record, int64_t due,
		   int64_t deadline, void *call)
{
	struct op *o = g_new0(struct op, 1);
	struct shard *s = shard_of(c, &record->key);

	o->kind = kind;
	o->record = record;
	o->due = due;
	o->deadline = deadline;
	o->call = call;
	list_add_tail(&o->node, &s->ops);
	if (list_empty(&s->node))
		list_add_tail(&s->node, &c->active);
	c->n_pending++;
}

void claim_make(struct claim *c, const char *account, const char *key, uint64_t fingerprint,
		int64_t deadline, int64_t now, int64_t wall, void *call)
{
	struct claim_record *r;
	int64_t until = MIN(deadline, now + c->params.max_deadline);

	if (c->n_pending >= c->params.max_pending || deadline <= now) {
		reply(c, call, &(struct claim_reply){ .result = CLAIM_UNAVAILABLE });
		return;
	}
	r = g_new0(struct claim_record, 1);
	r->key.account = hash_str(account);
	r->key.key = hash_str(key);
	r->fingerprint = fingerprint;
	r->attempt.nonce = c->params.nonce;
	r->attempt.seq = ++c->next_seq;
	/* The age counts from the last time at which the call may be sent. */
	r->wall_deadline = MAX(wall, 0) + (until - now);
	add_op(c, OP_CLAIM, r, now + c->params.claim_delay, until, call);
}

bool claim_may_send(const struct claim *c, uint64_t id, int64_t now)
{
	const struct held *h = g_hash_table_lookup(c->held, &id);

	return h && now < h->deadline;
}

void claim_report_outcome(struct claim *c, uint64_t id, enum verdict v, int status,
			  const char *content_type, GBytes *body, int64_t give_up, int64_t now,
			  void *call)
{
	struct held *h = g_hash_table_lookup(c->held, &id);
	struct claim_record *r;

	if (!h || v == VERDICT_MAY_HAVE_RUN) {
		reply(c, call,
		      &(struct claim_reply){ .result = h ? CLAIM_STORED : CLAIM_NOT_STORED });
		g_hash_table_remove(c->held, &id);
		return;
	}
	r = claim_record_dup(h->record);
	g_hash_table_remove(c->held, &id);
	r->state = CLAIM_STATE_DONE_NO_BODY;
	r->status = CLAMP(status, 0, 999);
	if (body && g_bytes_get_size(body) <= c->params.max_body) {
		r->state = CLAIM_STATE_DONE;
		r->body = g_bytes_ref(body);
		if (content_type && g_utf8_validate(content_type, -1, NULL))
			r->content_type = g_strdup(content_type);
	}
	add_op(c, v == VERDICT_RAN ? OP_OUTCOME : OP_RELEASE, r, now + c->params.outcome_delay,
	       give_up, call);
}

/* What a pass over the ops of a shard does with one op. */
enum step {
	STEP_DROP, /* the op is done */
	STEP_WAIT, /* it stays for a later pass */
	STEP_CHANGE, /* it changed the draft */
};

/* The own record is in the shard. */
static enum step claim_landed(struct claim *c, struct op *o, GHashTable *draft, int64_t now)
{
	if (o->doubtful)
		c->stats.resolved++;
	o->doubtful = false;
	if (!o->answered && now < o->deadline) {
		grant(c, o);
		return STEP_DROP;
	}
	/* It was not granted in time and never will be, so the key must not stay taken. */
	answer(c, o, CLAIM_UNAVAILABLE);
	o->kind = OP_RELEASE;
	if (!draft)
		return STEP_WAIT;
	g_hash_table_remove(draft, &o->record->key);
	return STEP_CHANGE;
}

static enum step claim_absent(struct claim *c, struct shard *s, struct op *o, GHashTable *draft,
			      bool full)
{
	/* A conditional write can't take effect any more once the version has moved on. */
	if (s->version > o->doubt)
		o->doubtful = false;
	if (full)
		answer(c, o, CLAIM_UNAVAILABLE);
	if (o->answered && !o->doubtful)
		return STEP_DROP;
	if (!draft || g_hash_table_contains(draft, &o->record->key))
		return STEP_WAIT;
	/* An abandoned write that may be late is made void by any other write. */
	if (!o->answered) {
		struct claim_record *r = claim_record_dup(o->record);

		g_hash_table_insert(draft, &r->key, r);
	}
	return STEP_CHANGE;
}

/* Whether the end of a call of this instance with the key is still to be written. */
static bool end_pending(const struct shard *s, const struct claim_key *k)
{
	const struct list_head *pos;

	list_for_each (pos, &s->ops) {
		const struct op *o = list_entry(pos, struct op, node);

		if (o->kind != OP_CLAIM && o->record->key.account == k->account &&
		    o->record->key.key == k->key)
			return true;
	}
	return false;
}

static enum step step_claim(struct claim *c, struct shard *s, struct op *o, GHashTable *draft,
			    int64_t now, bool full)
{
	const struct claim_record *found = g_hash_table_lookup(s->records, &o->record->key);

	if (!found)
		return claim_absent(c, s, o, draft, full);
	if (claim_attempt_equal(&found->attempt, &o->record->attempt))
		return claim_landed(c, o, draft, now);
	/* An open record would be told as "may have run" although the outcome is known here. */
	if (end_pending(s, &o->record->key))
		return STEP_WAIT;
	if (found->fingerprint != o->record->fingerprint)
		answer(c, o, CLAIM_MISMATCH);
	else if (found->state == CLAIM_STATE_OPEN)
		answer(c, o, CLAIM_OPEN);
	else
		answer_stored(c, o, found);
	return STEP_DROP;
}

static enum step step_end(struct claim *c, struct shard *s, struct op *o, GHashTable *draft)
{
	const struct claim_record *found = g_hash_table_lookup(s->records, &o->record->key);
	bool own = found && claim_attempt_equal(&found->attempt, &o->record->attempt);
	struct claim_record *r;

	if (o->kind == OP_RELEASE ? !own : own && found->state != CLAIM_STATE_OPEN) {
		answer(c, o, CLAIM_STORED);
		return STEP_DROP;
	}
	if (!own) {
		answer(c, o, CLAIM_NOT_STORED);
		return STEP_DROP;
	}
	if (!draft)
		return STEP_WAIT;
	if (o->kind == OP_RELEASE) {
		g_hash_table_remove(draft, &o->record->key);
	} else {
		r = claim_record_dup(o->record);
		g_hash_table_replace(draft, &r->key, r);
	}
	return STEP_CHANGE;
}

/*
 * Settles each op by what the shard holds, and brings the others into @draft unless it is NULL.
 * Returns whether a write is needed. The callbacks may add ops, which are taken by the same pass.
 */
static bool pass(struct claim *c, struct shard *s, GHashTable *draft, int64_t now, bool full)
{
	struct list_head *pos;
	struct list_head *tmp;
	bool changed = false;

	list_for_each_safe (pos, tmp, &s->ops) {
		struct op *o = list_entry(pos, struct op, node);
		enum step step = o->kind == OP_CLAIM ? step_claim(c, s, o, draft, now, full)
						     : step_end(c, s, o, draft);

		o->in_flight = step == STEP_CHANGE;
		changed = changed || step == STEP_CHANGE;
		if (step == STEP_DROP)
			op_free(c, o);
		/* The callback of a dropped op may have added one behind @tmp's old place. */
		tmp = step == STEP_DROP ? tmp : pos->next;
	}
	return changed;
}

static void start_read(struct claim *c, struct shard *s)
{
	s->phase = PHASE_READING;
	c->stats.reads++;
	c->ops.get(c->arg, (uint32_t)(s - c->shards), s->name);
}

/* The value of the draft, cut to the size limit; NULL if it can't be. */
static GBytes *format_draft(struct claim *c, struct shard *s)
{
	GBytes *value = claim_records_format(s->draft);
	size_t size = g_bytes_get_size(value);

	if (size <= c->params.max_shard)
		return value;
	g_bytes_unref(value);
	/* Frees a quarter at once, so that the next writes need no trimming. */
	c->stats.trimmed += claim_records_trim(s->draft, size - c->params.max_shard / 4 * 3);
	value = claim_records_format(s->draft);
	if (g_bytes_get_size(value) <= c->params.max_shard)
		return value;
	g_bytes_unref(value);
	return NULL;
}

static void clear_in_flight(struct shard *s)
{
	struct list_head *pos;

	list_for_each (pos, &s->ops) {
		list_entry(pos, struct op, node)->in_flight = false;
	}
}

/* Settles what can be settled and writes the rest. */
static void start_write(struct claim *c, struct shard *s, int64_t now, int64_t wall)
{
	g_autoptr(GBytes) value = NULL;
	bool full = false;

	for (;;) {
		g_clear_pointer(&s->draft, g_hash_table_unref);
		s->draft = claim_records_copy(s->records);
		if (!pass(c, s, s->draft, now, full)) {
			g_clear_pointer(&s->draft, g_hash_table_unref);
			return;
		}
		c->stats.expired += claim_records_expire(s->draft, wall - c->params.retention);
		value = format_draft(c, s);
		if (value || full)
			break;
		c->stats.full++;
		full = true;
	}
	if (!value) {
		/* Only ends of calls are left, which hardly grow a shard; try again later. */
		clear_in_flight(s);
		g_clear_pointer(&s->draft, g_hash_table_unref);
		s->retry_at = now + (c->params.backoff << MAX_BACKOFF_SHIFT);
		return;
	}
	s->phase = PHASE_WRITING;
	c->stats.writes++;
	c->ops.put(c->arg, (uint32_t)(s - c->shards), s->name, s->version, value);
}

/* Earliest time at which the shard's ops want a call of the store. */
static int64_t shard_due(const struct shard *s)
{
	int64_t due = INT64_MAX;
	struct list_head *pos;

	if (s->phase != PHASE_IDLE)
		return INT64_MAX;
	list_for_each (pos, &s->ops) {
		due = MIN(due, list_entry(pos, struct op, node)->due);
	}
	return due == INT64_MAX ? due : MAX(due, s->retry_at);
}

static void run_shard(struct claim *c, struct shard *s, int64_t now, int64_t wall)
{
	if (shard_due(s) > now)
		return;
	if (s->records && now - s->known_at <= c->params.copy_max_age)
		start_write(c, s, now, wall);
	else
		start_read(c, s);
}

static void forget(struct shard *s)
{
	g_clear_pointer(&s->records, g_hash_table_unref);
	g_clear_pointer(&s->draft, g_hash_table_unref);
}

static void back_off(struct claim *c, struct shard *s, int64_t now)
{
	s->retry_at = now + (c->params.backoff << MIN(s->failures, MAX_BACKOFF_SHIFT));
	s->failures++;
}

static void read_done(struct claim *c, struct shard *s, enum plat_result result, uint64_t version,
		      GBytes *value, int64_t now, int64_t wall)
{
	forget(s);
	if (result == PLAT_NOT_FOUND) {
		s->records = claim_records_new();
		version = 0;
	} else if (result == PLAT_OK && value) {
		s->records = claim_records_parse(value);
		/* An unreadable shard is never overwritten: it may hold claims. */
		c->stats.malformed += !s->records;
	}
	if (!s->records) {
		back_off(c, s, now);
		return;
	}
	s->version = version;
	s->known_at = now;
	s->failures = 0;
	s->retry_at = 0;
	start_write(c, s, now, wall);
}

static void mark_doubtful(struct shard *s)
{
	struct list_head *pos;

	list_for_each (pos, &s->ops) {
		struct op *o = list_entry(pos, struct op, node);

		if (!o->in_flight)
			continue;
		o->doubtful = true;
		o->doubt = s->version;
	}
}

static void write_done(struct claim *c, struct shard *s, enum plat_result result, uint64_t version,
		       int64_t now)
{
	if (result == PLAT_OK) {
		g_clear_pointer(&s->records, g_hash_table_unref);
		s->records = g_steal_pointer(&s->draft);
		s->version = version;
		s->known_at = now;
		s->failures = 0;
		s->retry_at = 0;
		pass(c, s, NULL, now, false);
		return;
	}
	if (result == PLAT_CONFLICT) {
		c->stats.conflicts++;
	} else {
		/* NOT_FOUND and RATE_LIMITED are refusals; anything unclear may take effect yet. */
		if (result == PLAT_UNKNOWN || result == PLAT_MALFORMED) {
			c->stats.unconfirmed++;
			mark_doubtful(s);
		}
		back_off(c, s, now);
	}
	forget(s);
}

void claim_store_reply(struct claim *c, uint32_t token, enum plat_result result, uint64_t version,
		       GBytes *value, int64_t now, int64_t wall)
{
	struct shard *s = &c->shards[token];
	enum phase was = s->phase;

	s->phase = PHASE_IDLE;
	if (was == PHASE_READING) {
		read_done(c, s, result, version, value, now, wall);
	} else if (was == PHASE_WRITING) {
		write_done(c, s, result, version, now);
		clear_in_flight(s);
	}
	claim_advance(c, now, wall);
}

/* Tells callers whose time is up. */
static void pass_deadlines(struct claim *c, struct shard *s, int64_t now)
{
	struct list_head *pos;
	struct list_head *tmp;

	list_for_each_safe (pos, tmp, &s->ops) {
		struct op *o = list_entry(pos, struct op, node);

		if (o->answered || o->deadline > now)
			continue;
		answer(c, o, o->kind == OP_CLAIM ? CLAIM_UNAVAILABLE : CLAIM_NOT_STORED);
		tmp = pos->next;
		if (o->kind == OP_CLAIM && !o->in_flight && !o->doubtful)
			op_free(c, o);
	}
}

void claim_advance(struct claim *c, int64_t now, int64_t wall)
{
	struct list_head *pos;
	struct list_head *tmp;

	list_for_each_safe (pos, tmp, &c->active) {
		struct shard *s = list_entry(pos, struct shard, node);

		pass_deadlines(c, s, now);
		run_shard(c, s, now, wall);
		/* The copy of an idle shard is dropped to bound the memory. */
		if (s->phase == PHASE_IDLE && list_empty(&s->ops) &&
		    now - s->known_at > c->params.copy_max_age)
			forget(s);
		tmp = pos->next;
		if (s->phase == PHASE_IDLE && list_empty(&s->ops) && !s->records)
			list_del(&s->node);
	}
}

static int64_t shard_next(const struct claim *c, const struct shard *s)
{
	int64_t next = shard_due(s);
	struct list_head *pos;

	if (s->phase == PHASE_IDLE && list_empty(&s->ops))
		return s->records ? s->known_at + c->params.copy_max_age + 1 : next;
	list_for_each (pos, &s->ops) {
		const struct op *o = list_entry(pos, struct op, node);

		if (!o->answered)
			next = MIN(next, o->deadline);
	}
	return next;
}

int64_t claim_next(const struct claim *c)
{
	int64_t next = INT64_MAX;
	struct list_head *pos;

	list_for_each (pos, &c->active) {
		next = MIN(next, shard_next(c, list_entry(pos, struct shard, node)));
	}
	return next;
}

const struct claim_stats *claim_stats(const struct claim *c)
{
	return &c->stats;
}

static uint64_t digest_record(const struct claim_record *r)
{
	uint64_t h = hash_pair(r->key.account, r->key.key);

	h = hash_pair(h, r->attempt.nonce);
	h = hash_pair(h, r->attempt.seq);
	return hash_pair(h, (uint64_t)r->state);
}

/* Sum over the records, so that their order in the table does not matter. */
static uint64_t digest_records(GHashTable *records)
{
	GHashTableIter it;
	gpointer value;
	uint64_t h = 1;

	if (!records)
		return 0;
	g_hash_table_iter_init(&it, records);
	while (g_hash_table_iter_next(&it, NULL, &value))
		h += digest_record(value);
	return h;
}

static uint64_t digest_op(const struct op *o, int64_t now)
{
	uint64_t h = hash_pair((uint64_t)o->kind, digest_record(o->record));

	h = hash_pair(h, (uint64_t)(o->answered | o->in_flight << 1 | o->doubtful << 2));
	h = hash_pair(h, o->doubtful ? o->doubt : 0);
	return hash_pair(h, (uint64_t)(MAX(o->due - now, 0) + (o->deadline > now ? 1 : 0)));
}

uint64_t claim_digest(const struct claim *c, int64_t now)
{
	uint64_t h = c->next_seq;
	GHashTableIter it;
	gpointer value;
	uint64_t sum = 0;

	g_hash_table_iter_init(&it, c->held);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct held *held = value;

		sum += hash_pair(held->id, held->deadline > now);
	}
	for (uint32_t i = 0; i < c->params.shards; i++) {
		const struct shard *s = &c->shards[i];
		struct list_head *pos;

		h = hash_pair(h, hash_pair((uint64_t)s->phase, s->version));
		h = hash_pair(h, digest_records(s->records));
		h = hash_pair(h, digest_records(s->draft));
		h = hash_pair(h, s->records && now - s->known_at <= c->params.copy_max_age);
		h = hash_pair(h, (uint64_t)MAX(s->retry_at - now, 0) + s->failures);
		list_for_each (pos, &s->ops) {
			h = hash_pair(h, digest_op(list_entry(pos, struct op, node), now));
		}
	}
	return hash_pair(h, sum);
}
