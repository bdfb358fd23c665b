/* Connections that are closed as descriptors are short. */
#include "listen/listen.h"
#include "relay/caller_priv.h"
#include "trace/trace.h"

/* A request that is still being read keeps its connection for as long while descriptors are short. */
#define CROWDED_MIN (1 * USEC_PER_SEC)
/* Output that its caller doesn't read keeps its connection for as long while descriptors are short. */
#define STALLED_MIN (2 * USEC_PER_SEC)
/* Searches for a connection to close that requests may cause, and the period for it. */
#define ROOM_SEARCHES_MAX 16U
#define ROOM_PERIOD	  (10 * USEC_PER_MSEC)
/* Descriptors that are kept free of connections whose callers don't read: for upstreams. */
#define DESCRIPTORS_KEPT 16U

/* Time since when a connection may be closed; 0: it may not. */
typedef int64_t (*since_fn)(const struct caller *c, int64_t now);

/* Its request is still being read, for longer than callers on ordinary paths take. */
static int64_t slow_since(const struct caller *c, int64_t now)
{
	bool reading = c->state == CALLER_HEAD || c->state == CALLER_BODY;

	return reading && now - c->begun_at >= CROWDED_MIN ? c->begun_at : 0;
}

/* Its caller accepts no output. */
static int64_t stalled_since(const struct caller *c, int64_t now)
{
	return c->unsent && now - c->stalled_since >= STALLED_MIN ? c->stalled_since : 0;
}

/*
 * Of those that may be closed, except for that of request @but, the one for longest of the address
 * with the most connections.
 */
static struct caller *choose(const struct relay *r, since_fn since, const struct request *but,
			     int64_t now, uint32_t *n_holds)
{
	struct caller *best = NULL;
	struct list_head *pos;
	int64_t best_since = 0;

	*n_holds = 0;
	list_for_each (pos, &r->callers) {
		struct caller *c = list_entry(pos, struct caller, link);
		uint32_t n = membudget_group_holds(&c->hold);
		int64_t at = since(c, now);

		if (!at || (but && c->request == but) ||
		    (best && (n < *n_holds || (n == *n_holds && at >= best_since))))
			continue;
		best = c;
		best_since = at;
		*n_holds = n;
	}
	return best;
}

/* A connection has two holds: of its request and of its unread output. */
static void trace_crowded(uint32_t n_holds, const char *state, int64_t time)
{
	trace(CROWDED, n_holds / 2, state, (int)(time / USEC_PER_MSEC));
}

/* A refusal is sent if it fits the socket. */
static bool evict_slow(struct relay *r, int64_t now)
{
	uint32_t n;
	struct caller *c = choose(r, slow_since, NULL, now, &n);

	if (!c)
		return false;
	trace_crowded(n, c->state == CALLER_HEAD ? "head" : "body", now - c->begun_at);
	c->keep_alive = false;
	caller_write_refusal(c, 408, "too_slow", "other callers need the connection",
			     VERDICT_NOT_RUN, 0);
	caller_cut(c);
	return true;
}

/* Closing an idle connection loses nothing; @enough: others can be closed soon if none can yet. */
static bool evict_idle(struct relay *r, int64_t now, bool *enough)
{
	struct list_head *pos;
	uint32_t n = 0;

	list_for_each (pos, &r->callers) {
		struct caller *c = list_entry(pos, struct caller, link);

		/* Closing would drop the rest of a response to a slow caller. */
		if (!caller_is_idle(c) || http_conn_buffered(c->conn) > 0)
			continue;
		if (!n && now - c->state_since >= CALLER_IDLE_MIN) {
			caller_cut(c);
			return true;
		}
		if (++n >= DESCRIPTORS_KEPT)
			break;
	}
	*enough = n >= DESCRIPTORS_KEPT;
	return false;
}

static bool evict_stalled(struct relay *r, const struct request *but, int64_t now)
{
	uint32_t n;
	struct caller *c = choose(r, stalled_since, but, now, &n);

	if (!c)
		return false;
	trace_crowded(n, "unread_output", now - c->stalled_since);
	caller_reset(c);
	return true;
}

void caller_watch_output(struct caller *c, int64_t now)
{
	uint64_t sent = http_conn_sent(c->conn);

	c->unsent = http_conn_buffered(c->conn);
	if (!c->unsent || sent != c->sent)
		c->stalled_since = now;
	c->sent = sent;
	if (stalled_since(c, now))
		c->relay->has_stalled_callers = true;
}

static bool make_room(struct relay *r, const struct request *but, int64_t now)
{
	bool enough_idle;

	if (evict_idle(r, now, &enough_idle) || evict_slow(r, now))
		return true;
	return !enough_idle && evict_stalled(r, but, now);
}

bool caller_make_room(struct relay *r, int64_t now)
{
	return make_room(r, NULL, now);
}

bool caller_make_room_for(struct relay *r, const struct request *q, int64_t now)
{
	if (now - r->room_since >= ROOM_PERIOD) {
		r->room_since = now;
		r->room_searches = 0;
	}
	/* Each search looks at all callers. */
	if (r->room_searches >= ROOM_SEARCHES_MAX)
		return false;
	if (!make_room(r, q, now)) {
		r->room_searches = ROOM_SEARCHES_MAX;
		return false;
	}
	r->room_searches++;
	return true;
}

void caller_relieve(struct relay *r, int64_t now)
{
	bool enough_idle;

	/* Connections to upstreams use the reserve that the listener keeps. */
	if (!r->has_stalled_callers ||
	    listen_descriptors_left(DESCRIPTORS_KEPT) >= DESCRIPTORS_KEPT)
		return;
	if (!evict_idle(r, now, &enough_idle) && !enough_idle)
		evict_stalled(r, NULL, now);
}
