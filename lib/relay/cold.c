/* Cold upstreams: what counts as cold, and which instances send to them (lib/coldstart). */
#include "relay/fleet_priv.h"
#include "trace/trace.h"

/* The first list of instances may lack some that start at the same time. */
#define PEERS_SETTLE_TIME (2 * USEC_PER_SEC)
/*
 * An entry that arrives this soon after evidence without a list version may have been written before
 * it: the way of an entry through the store and a peer takes up to that long.
 */
#define ENTRY_DELAY (2 * USEC_PER_SEC)
/* A failed connect to an upstream with output this recent is a fault of the path. */
#define OUTPUT_RECENT (1 * USEC_PER_SEC)
/*
 * Without news of an upstream that doesn't respond, all instances that don't send to it while it is
 * cold try it again at up to this multiple of the time in which they would send one request each at
 * the rate of the senders.
 */
#define RETRY_SPREAD 4

static bool is_limited(const struct fleet_upstream *u)
{
	return u->service_state->cold_share.senders > 0;
}

static bool is_settled(const struct fleet *f, int64_t now)
{
	return f->peers && now - f->peers_since >= PEERS_SETTLE_TIME;
}

static void choose_sender(const struct fleet *f, struct fleet_upstream *u)
{
	u->sends_cold = f->peers && coldstart_is_sender((const uint64_t *)f->peers->data,
							f->peers->len, f->self, hash_str(u->id),
							u->service_state->cold_share.senders);
}

static void trace_cold(const struct fleet_upstream *u, const char *reason, int64_t now)
{
	char id[96];

	trace(COLD, trace_sanitize(id, sizeof(id), u->id), u->reported_cold ? "cold" : "warm",
	      reason, (int)(MAX(u->cold.until - now, 0) / USEC_PER_MSEC), u->sends_cold);
}

static void begin_cold(const struct fleet *f, struct fleet_upstream *u, const char *reason,
		       int64_t now)
{
	choose_sender(f, u);
	coldstart_begin(&u->cold, &u->service_state->cold_share, f->self, hash_str(u->id), now);
	u->reported_cold = true;
	trace_cold(u, reason, now);
}

static void set_cold(const struct fleet *f, struct fleet_upstream *u, int64_t left,
		     const char *reason, int64_t now)
{
	coldstart_set(&u->cold, left, now);
	if (!is_limited(u) || left <= 0 || u->reported_cold)
		return;
	begin_cold(f, u, reason, now);
}

void fleet_set_cold_bound(struct fleet *f, const char *service, const struct coldstart_bound *b,
			  int64_t time)
{
	struct fleet_service *s = fleet_service_of(f, service);
	GHashTableIter it;
	gpointer p;

	s->cold_share = coldstart_share(b);
	s->cold_time = CLAMP(time, 0, COLDSTART_TIME_MAX);
	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		if (((struct fleet_upstream *)p)->service_state == s)
			choose_sender(f, p);
	}
}

void fleet_set_peers(struct fleet *f, uint64_t self, const uint64_t *instances, uint32_t n,
		     int64_t now)
{
	GHashTableIter it;
	gpointer p;

	if (!f->peers) {
		f->peers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		f->peers_since = now;
	}
	g_array_set_size(f->peers, 0);
	g_array_append_vals(f->peers, instances, n);
	f->self = self;
	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fleet_upstream *u = p;

		if (u->reported_cold || coldstart_is_cold(&u->cold, now))
			choose_sender(f, u);
	}
}

void fleet_set_cold(struct fleet *f, uint64_t id_hash, int64_t left, int64_t now)
{
	struct fleet_upstream *u = g_hash_table_lookup(f->by_hash, &id_hash);

	if (!u)
		return;
	u->unanswered = false;
	set_cold(f, u, left, "response", now);
	u->entries_count_at = left > 0 ? now + ENTRY_DELAY : 0;
}

/* Whether the entry may have been written before @u became cold. */
static bool is_entry_outdated(const struct fleet_upstream *u, int64_t now)
{
	return u->unanswered || now < u->entries_count_at ||
	       u->version <= u->domain_state->taken_back_version;
}

void fleet_cold_entry(struct fleet *f, struct fleet_upstream *u, int64_t left, bool is_new,
		      int64_t now)
{
	u->unanswered &= !is_new;
	if (is_new)
		set_cold(f, u, MAX(left, u->service_state->cold_time), "started", now);
	else if (left > u->cold.until - now || (left >= 0 && !is_entry_outdated(u, now)))
		set_cold(f, u, left, "entry", now);
}

void fleet_cold_suspect(struct fleet *f, struct fleet_upstream *u, const char *reason, int64_t now)
{
	int64_t left = MAX(u->cold.until - now, u->service_state->cold_time);

	if (is_limited(u))
		set_cold(f, u, left, reason, now);
}

/* Time between two attempts at @u of this instance, which doesn't send to it while it is cold. */
static int64_t retry_interval(const struct fleet *f, const struct fleet_upstream *u)
{
	const struct coldstart_share *share = &u->service_state->cold_share;
	double round = (double)f->instances * (double)share->spacing / share->senders;
	double fraction = (double)(hash_pair(f->self, hash_str(u->id)) >> 32) / (double)UINT32_MAX;

	return u->service_state->cold_time +
	       MIN((int64_t)(RETRY_SPREAD * fraction * round), COLDSTART_TIME_MAX);
}

void fleet_cold_unreachable(struct fleet *f, struct fleet_upstream *u, int64_t now)
{
	if (!is_limited(u) || now - u->last_output < OUTPUT_RECENT)
		return;
	fleet_cold_suspect(f, u, "unreachable", now);
	u->unanswered = true;
	u->failed_at = now;
	u->retry_at = now + retry_interval(f, u);
}

void fleet_cold_answered(struct fleet *f, struct fleet_upstream *u, int64_t at, int64_t now)
{
	if (!u->unanswered || at <= u->failed_at)
		return;
	u->unanswered = false;
	set_cold(f, u, u->service_state->cold_time, "answered", now);
	u->entries_count_at = now + ENTRY_DELAY;
}

void fleet_cold_sent(const struct fleet *f, struct fleet_upstream *u, int64_t now)
{
	coldstart_sent(&u->cold, &u->service_state->cold_share, now);
	if (is_limited(u) && u->unanswered)
		u->retry_at = now + retry_interval(f, u);
}

int64_t fleet_cold_wait(const struct fleet *f, const struct fleet_upstream *u, int64_t now)
{
	bool may_send = u->sends_cold || (u->unanswered && now >= u->retry_at);

	if (!is_limited(u))
		return 0;
	return coldstart_wait(&u->cold, may_send && is_settled(f, now), now);
}

void fleet_cold_tick(struct fleet *f, struct fleet_upstream *u, int64_t now)
{
	/* How long it stays cold after its first response isn't known before that. */
	if (u->unanswered && is_limited(u))
		u->cold.until = MAX(u->cold.until, now + u->service_state->cold_time);
	if (coldstart_is_cold(&u->cold, now)) {
		/* It turned cold before the configuration had a limit. */
		if (is_limited(u) && !u->reported_cold)
			begin_cold(f, u, "limit", now);
		return;
	}
	if (!u->reported_cold)
		return;
	u->reported_cold = false;
	member_begin_slow_start(f->member, u->handle, now);
	trace_cold(u, "time", now);
}
