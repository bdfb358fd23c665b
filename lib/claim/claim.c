#include "claim/claim.h"

#include <string.h>

#include "claim/claim_shard.h"

#define MAX_BACKOFF_SHIFT 5 /* times that the backoff is doubled */

enum op_kind {
	OP_CLAIM,
	OP_OUTCOME,
	OP_RELEASE, /* removes the attempt's own record: the call did not run */
};

/* Pending change of one record of a shard. */
struct op {
	struct list_head node; /* in shard->ops, oldest first */
	enum op_kind kind;
	struct claim_record *record; /* owned; the record to store or remove */
	int64_t due; /* earliest time of a store call for it */
	int64_t reply_by; /* a failure is reported at this time; of a claim: the call's deadline */
	void *call; /* passed to the reply callback */
	bool replied; /* the caller has its reply; the op goes on to leave no open record behind */
	bool in_flight; /* part of the write in progress */
	bool unconfirmed; /* a write of it got no valid response and may still take effect */
	uint64_t unconfirmed_version; /* if_version of that write */
};

enum phase {
	PHASE_IDLE,
	PHASE_READING, /* waits for the response to a read */
	PHASE_WRITING, /* waits for the response to a write */
};

struct shard {
	struct list_head node; /* in claim->active while there are ops or a copy of the content */
	char *name; /* key of the object, owned */
	enum phase phase;
	GHashTable *records; /* copy of the content at @version; NULL: no copy */
	uint64_t version;
	int64_t confirmed_at; /* time of the last read or write that confirmed @records */
	GHashTable *draft; /* content being written; NULL: none */
	int64_t retry_at; /* no store call before this time */
	uint32_t failures; /* consecutive failed store calls */
	struct list_head ops;
};

/* Granted claim whose outcome is not reported yet. */
struct granted_claim {
	uint64_t id;
	struct claim_record *record; /* owned */
	int64_t deadline;
};

struct claim {
	struct claim_params params;
	struct claim_ops ops;
	void *arg;
	struct shard *shards; /* params.shards of them */
	struct list_head active; /* shards with ops or a copy of the content */
	GHashTable *granted; /* id -> struct granted_claim */
	uint64_t last_seq; /* of the attempts */
	uint32_t n_pending; /* ops of all shards */
	struct claim_stats stats;
};

void claim_params_default(struct claim_params *p, uint64_t nonce)
{
	*p = (struct claim_params){
		.nonce = nonce,
		.shards = CLAIM_SHARDS,
		/* Claims are batched while a store call is in progress; a delay on top saved no
		 * write at up to 400 calls/s (bench store-claim-grouped). */
		.claim_delay = 0,
		.outcome_delay = 0,
		/* With an older copy the reply could be "may have run" after the outcome was
		 * stored. */
		.copy_max_age = 0,
		.backoff = 20 * USEC_PER_MSEC,
		.retention = CLAIM_RETENTION,
		.max_deadline = CLAIM_MAX_DEADLINE,
		.max_body = 16 * 1024,
		.max_shard = 900 * 1024,
		.max_pending = 4096,
	};
}

static void granted_free(gpointer arg)
{
	struct granted_claim *g = arg;

	claim_record_free(g->record);
	g_free(g);
}

struct claim *claim_new(const struct claim_params *p, const struct claim_ops *ops, void *arg)
{
	struct claim *c = g_new0(struct claim, 1);

	c->params = *p;
	c->ops = *ops;
	c->arg = arg;
	c->granted = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, granted_free);
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
	g_hash_table_unref(c->granted);
	g_free(c->shards);
	g_free(c);
}

static void send_reply(struct claim *c, void *call, const struct claim_reply *r)
{
	c->stats.results[r->result]++;
	c->ops.reply(c->arg, call, r);
}

/* Replies to the caller of @o, unless it already has its reply. */
static void reply_result(struct claim *c, struct op *o, enum claim_result result)
{
	struct claim_reply r = { .result = result };

	if (o->replied)
		return;
	o->replied = true;
	send_reply(c, o->call, &r);
}

static void reply_stored(struct claim *c, struct op *o, const struct claim_record *found)
{
	struct claim_reply r = { .result = CLAIM_DONE,
				 .status = found->status,
				 .content_type = found->content_type,
				 .body = found->body };

	if (o->replied)
		return;
	o->replied = true;
	send_reply(c, o->call, &r);
}

static void grant(struct claim *c, struct op *o)
{
	struct granted_claim *g = g_new0(struct granted_claim, 1);
	struct claim_reply r = { .result = CLAIM_GRANTED, .id = o->record->attempt.seq };

	g->id = r.id;
	g->record = claim_record_dup(o->record);
	g->deadline = o->reply_by;
	g_hash_table_insert(c->granted, &g->id, g);
	o->replied = true;
	send_reply(c, o->call, &r);
}

static struct shard *shard_of(struct claim *c, const struct claim_key *k)
{
	return &c->shards[hash_pair(k->account, k->key) % c->params.shards];
}

/* Takes ownership of @record. */
static void add_op(struct claim *c, enum op_kind kind, struct claim_record *record, int64_t due,
		   int64_t reply_by, void *call)
{
	struct op *o = g_new0(struct op, 1);
	struct shard *s = shard_of(c, &record->key);

	o->kind = kind;
	o->record = record;
	o->due = due;
	o->reply_by = reply_by;
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
	int64_t capped_deadline = MIN(deadline, now + c->params.max_deadline);

	if (c->n_pending >= c->params.max_pending || deadline <= now) {
		send_reply(c, call, &(struct claim_reply){ .result = CLAIM_UNAVAILABLE });
		return;
	}
	r = g_new0(struct claim_record, 1);
	r->key.account = hash_str(account);
	r->key.key = hash_str(key);
	r->fingerprint = fingerprint;
	r->attempt.nonce = c->params.nonce;
	r->attempt.seq = ++c->last_seq;
	/* A record's age counts from the last time at which its call may be sent. */
	r->wall_deadline = MAX(wall, 0) + (capped_deadline - now);
	add_op(c, OP_CLAIM, r, now + c->params.claim_delay, capped_deadline, call);
}

bool claim_may_send(const struct claim *c, uint64_t id, int64_t now)
{
	const struct granted_claim *g = g_hash_table_lookup(c->granted, &id);

	return g && now < g->deadline;
}

void claim_report_outcome(struct claim *c, uint64_t id, enum verdict v, int status,
			  const char *content_type, GBytes *body, int64_t reply_by, int64_t now,
			  void *call)
{
	struct granted_claim *g = g_hash_table_lookup(c->granted, &id);
	struct claim_record *r;

	if (!g || v == VERDICT_MAY_HAVE_RUN) {
		send_reply(c, call,
			   &(struct claim_reply){ .result = g ? CLAIM_STORED : CLAIM_NOT_STORED });
		g_hash_table_remove(c->granted, &id);
		return;
	}
	r = claim_record_dup(g->record);
	g_hash_table_remove(c->granted, &id);
	r->state = CLAIM_STATE_DONE_NO_BODY;
	r->status = CLAMP(status, 0, 999);
	if (body && g_bytes_get_size(body) <= c->params.max_body) {
		r->state = CLAIM_STATE_DONE;
		r->body = g_bytes_ref(body);
		if (content_type && g_utf8_validate(content_type, -1, NULL))
			r->content_type = g_strdup(content_type);
	}
	add_op(c, v == VERDICT_RAN ? OP_OUTCOME : OP_RELEASE, r, now + c->params.outcome_delay,
	       reply_by, call);
}

/* What process_ops() does with one op. */
enum step {
	STEP_DONE, /* completed; the op is freed */
	STEP_WAIT, /* kept for a later process_ops() */
	STEP_CHANGE, /* needs a write of the draft */
};

/* The shard has the record of this attempt. */
static enum step claim_recorded(struct claim *c, struct op *o, GHashTable *draft, int64_t now)
{
	if (o->unconfirmed)
		c->stats.resolved++;
	o->unconfirmed = false;
	if (!o->replied && now < o->reply_by) {
		grant(c, o);
		return STEP_DONE;
	}
	/* Too late, or refused before: remove the record, so that the key can be claimed again. */
	reply_result(c, o, CLAIM_UNAVAILABLE);
	o->kind = OP_RELEASE;
	if (!draft)
		return STEP_WAIT;
	g_hash_table_remove(draft, &o->record->key);
	return STEP_CHANGE;
}

/* The shard has no record of the key. */
static enum step claim_not_recorded(struct claim *c, struct shard *s, struct op *o,
				    GHashTable *draft, bool full)
{
	/* A conditional write can no longer take effect once the version has changed. */
	if (s->version > o->unconfirmed_version)
		o->unconfirmed = false;
	if (full)
		reply_result(c, o, CLAIM_UNAVAILABLE);
	if (o->replied && !o->unconfirmed)
		return STEP_DONE;
	if (!draft || g_hash_table_contains(draft, &o->record->key))
		return STEP_WAIT;
	/* If the caller already has its reply, a write without the record changes the version, so
	 * that the unconfirmed write can't take effect later. */
	if (!o->replied) {
		struct claim_record *r = claim_record_dup(o->record);

		g_hash_table_insert(draft, &r->key, r);
	}
	return STEP_CHANGE;
}

/* Whether an outcome or release of the key by this instance is still to be written. */
static bool outcome_pending(const struct shard *s, const struct claim_key *k)
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
		return claim_not_recorded(c, s, o, draft, full);
	if (claim_attempt_equal(&found->attempt, &o->record->attempt))
		return claim_recorded(c, o, draft, now);
	/* The reply to an open record would be "may have run", but its outcome is known here. */
	if (outcome_pending(s, &o->record->key))
		return STEP_WAIT;
	if (found->fingerprint != o->record->fingerprint)
		reply_result(c, o, CLAIM_MISMATCH);
	else if (found->state == CLAIM_STATE_OPEN)
		reply_result(c, o, CLAIM_OPEN);
	else
		reply_stored(c, o, found);
	return STEP_DONE;
}

static enum step step_outcome(struct claim *c, struct shard *s, struct op *o, GHashTable *draft)
{
	const struct claim_record *found = g_hash_table_lookup(s->records, &o->record->key);
	bool own = found && claim_attempt_equal(&found->attempt, &o->record->attempt);
	struct claim_record *r;

	if (o->kind == OP_RELEASE ? !own : own && found->state != CLAIM_STATE_OPEN) {
		reply_result(c, o, CLAIM_STORED);
		return STEP_DONE;
	}
	if (!own) {
		reply_result(c, o, CLAIM_NOT_STORED);
		return STEP_DONE;
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
 * Completes each op that the shard's records decide and applies the others to @draft, unless it is
 * NULL. @full: refuses claims that are not recorded. Returns whether a write is needed. Ops that
 * the reply callbacks append are processed too, or left for a later call.
 */
static bool process_ops(struct claim *c, struct shard *s, GHashTable *draft, int64_t now, bool full)
{
	struct list_head *pos;
	struct list_head *tmp;
	bool changed = false;

	list_for_each_safe (pos, tmp, &s->ops) {
		struct op *o = list_entry(pos, struct op, node);
		enum step step = o->kind == OP_CLAIM ? step_claim(c, s, o, draft, now, full)
						     : step_outcome(c, s, o, draft);

		o->in_flight = step == STEP_CHANGE;
		changed = changed || step == STEP_CHANGE;
		if (step == STEP_DONE)
			op_free(c, o);
		/* A callback may have appended an op: read the next one again, if @pos exists. */
		tmp = step == STEP_DONE ? tmp : pos->next;
	}
	return changed;
}

static void start_read(struct claim *c, struct shard *s)
{
	s->phase = PHASE_READING;
	c->stats.reads++;
	c->ops.get(c->arg, (uint32_t)(s - c->shards), s->name);
}

/* Formats the draft, without its oldest bodies if it exceeds max_shard; NULL if it still does. */
static GBytes *format_draft(struct claim *c, struct shard *s)
{
	GBytes *value = claim_records_format(s->draft);
	size_t size = g_bytes_get_size(value);

	if (size <= c->params.max_shard)
		return value;
	g_bytes_unref(value);
	/* Trims to three quarters of the limit, so that the next writes need no trimming. */
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

/* Completes the ops that need no write and starts one write for the others. */
static void start_write(struct claim *c, struct shard *s, int64_t now, int64_t wall)
{
	g_autoptr(GBytes) value = NULL;
	bool full = false;

	for (;;) {
		g_clear_pointer(&s->draft, g_hash_table_unref);
		s->draft = claim_records_copy(s->records);
		if (!process_ops(c, s, s->draft, now, full)) {
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
		/* Only outcomes and releases are left, which hardly grow a shard; retry later. */
		clear_in_flight(s);
		g_clear_pointer(&s->draft, g_hash_table_unref);
		s->retry_at = now + (c->params.backoff << MAX_BACKOFF_SHIFT);
		return;
	}
	s->phase = PHASE_WRITING;
	c->stats.writes++;
	c->ops.put(c->arg, (uint32_t)(s - c->shards), s->name, s->version, value);
}

/* Earliest time of the shard's next store call; INT64_MAX: none, or a call is in progress. */
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
	if (s->records && now - s->confirmed_at <= c->params.copy_max_age)
		start_write(c, s, now, wall);
	else
		start_read(c, s);
}

static void drop_copy(struct shard *s)
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
	drop_copy(s);
	if (result == PLAT_NOT_FOUND) {
		s->records = claim_records_new();
		version = 0;
	} else if (result == PLAT_OK && value) {
		s->records = claim_records_parse(value);
		/* A malformed shard is never overwritten: it may contain claims. */
		c->stats.malformed += !s->records;
	}
	if (!s->records) {
		back_off(c, s, now);
		return;
	}
	s->version = version;
	s->confirmed_at = now;
	s->failures = 0;
	s->retry_at = 0;
	start_write(c, s, now, wall);
}

static void mark_unconfirmed(struct shard *s)
{
	struct list_head *pos;

	list_for_each (pos, &s->ops) {
		struct op *o = list_entry(pos, struct op, node);

		if (!o->in_flight)
			continue;
		o->unconfirmed = true;
		o->unconfirmed_version = s->version;
	}
}

static void write_done(struct claim *c, struct shard *s, enum plat_result result, uint64_t version,
		       int64_t now)
{
	if (result == PLAT_OK) {
		g_clear_pointer(&s->records, g_hash_table_unref);
		s->records = g_steal_pointer(&s->draft);
		s->version = version;
		s->confirmed_at = now;
		s->failures = 0;
		s->retry_at = 0;
		process_ops(c, s, NULL, now, false);
		return;
	}
	if (result == PLAT_CONFLICT) {
		c->stats.conflicts++;
	} else {
		/* The write may still take effect. The other results (PLAT_NOT_FOUND,
		 * PLAT_RATE_LIMITED, PLAT_UNREACHABLE) mean that it did not and won't. */
		if (result == PLAT_UNKNOWN || result == PLAT_MALFORMED) {
			c->stats.unconfirmed++;
			mark_unconfirmed(s);
		}
		back_off(c, s, now);
	}
	drop_copy(s);
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

/* Replies to callers whose reply_by time has passed. Frees their claims, unless a write of them is
 * in flight or unconfirmed. */
static void expire_ops(struct claim *c, struct shard *s, int64_t now)
{
	struct list_head *pos;
	struct list_head *tmp;

	list_for_each_safe (pos, tmp, &s->ops) {
		struct op *o = list_entry(pos, struct op, node);

		if (o->replied || o->reply_by > now)
			continue;
		reply_result(c, o, o->kind == OP_CLAIM ? CLAIM_UNAVAILABLE : CLAIM_NOT_STORED);
		tmp = pos->next;
		if (o->kind == OP_CLAIM && !o->in_flight && !o->unconfirmed)
			op_free(c, o);
	}
}

void claim_advance(struct claim *c, int64_t now, int64_t wall)
{
	struct list_head *pos;
	struct list_head *tmp;

	list_for_each_safe (pos, tmp, &c->active) {
		struct shard *s = list_entry(pos, struct shard, node);

		expire_ops(c, s, now);
		run_shard(c, s, now, wall);
		/* Frees the copy of an idle shard to bound memory. */
		if (s->phase == PHASE_IDLE && list_empty(&s->ops) &&
		    now - s->confirmed_at > c->params.copy_max_age)
			drop_copy(s);
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
		return s->records ? s->confirmed_at + c->params.copy_max_age + 1 : next;
	list_for_each (pos, &s->ops) {
		const struct op *o = list_entry(pos, struct op, node);

		if (!o->replied)
			next = MIN(next, o->reply_by);
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

/* A sum, so that the order of the records in the table doesn't matter. */
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

	h = hash_pair(h, (uint64_t)(o->replied | o->in_flight << 1 | o->unconfirmed << 2));
	h = hash_pair(h, o->unconfirmed ? o->unconfirmed_version : 0);
	return hash_pair(h, (uint64_t)(MAX(o->due - now, 0) + (o->reply_by > now ? 1 : 0)));
}

uint64_t claim_digest(const struct claim *c, int64_t now)
{
	uint64_t h = c->last_seq;
	GHashTableIter it;
	gpointer value;
	uint64_t sum = 0;

	g_hash_table_iter_init(&it, c->granted);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct granted_claim *g = value;

		sum += hash_pair(g->id, g->deadline > now);
	}
	for (uint32_t i = 0; i < c->params.shards; i++) {
		const struct shard *s = &c->shards[i];
		struct list_head *pos;

		h = hash_pair(h, hash_pair((uint64_t)s->phase, s->version));
		h = hash_pair(h, digest_records(s->records));
		h = hash_pair(h, digest_records(s->draft));
		h = hash_pair(h, s->records && now - s->confirmed_at <= c->params.copy_max_age);
		h = hash_pair(h, (uint64_t)MAX(s->retry_at - now, 0) + s->failures);
		list_for_each (pos, &s->ops) {
			h = hash_pair(h, digest_op(list_entry(pos, struct op, node), now));
		}
	}
	return hash_pair(h, sum);
}
