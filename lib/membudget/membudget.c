#include "membudget/membudget.h"

#include <errno.h>
#include <glib.h>

/* Defaults: share of the process's memory, and shares of the limit. */
#define MEMORY_FRACTION	 3
#define RESERVE_FRACTION 4
#define OUTPUT_FRACTION	 8
#define SHARE_FRACTION	 4
#define SMALL_BYTES	 ((size_t)32 * 1024)
#define STALL		 G_USEC_PER_SEC
/* Ordinary callers send a small body within it, a rate of 16 KiB per second. */
#define SLOW (2 * G_USEC_PER_SEC)
/* Capacity of a body doubles up to this size and grows by steps of it above. */
#define STEP_MIN   1024U
#define STEP_BYTES ((size_t)64 * 1024)
/* Unread output of one reader while all of them use more than their share. */
#define OUTPUT_SHORT_BYTES ((size_t)16 * 1024)

struct membudget {
	struct membudget_params params;
	struct list_head holds;
	GHashTable *groups; /* owned: group -> struct group */
	size_t held[MEMBUDGET_KIND_COUNT];
	bool small_over; /* small bodies use more than their reserve; kept by choose() */
	uint64_t yielded;
};

/* Holds of callers with the same address. */
struct group {
	uint64_t key;
	size_t bytes;
	uint32_t holds;
};

/* How soon a hold yields: those of the highest class first. */
enum yield_class {
	YIELD_NEVER,
	YIELD_SMALL_GROWING, /* only if it is the hold that is being charged */
	YIELD_SMALL_SLOW, /* growing, but for longer than ordinary callers take */
	YIELD_OUTPUT,
	YIELD_SMALL_STOPPED,
	YIELD_LARGE_GROWING,
	YIELD_SMALL_SLOW_OVER, /* while small bodies use more than their reserve */
	YIELD_SMALL_STOPPED_OVER,
	YIELD_LARGE_STOPPED,
};

void membudget_params_for(size_t memory, struct membudget_params *out)
{
	*out = (struct membudget_params){ .small = SMALL_BYTES, .slow = SLOW, .stall = STALL };
	membudget_set_limit(memory / MEMORY_FRACTION, out);
}

void membudget_set_limit(size_t limit, struct membudget_params *p)
{
	p->limit = limit;
	p->reserve = limit / RESERVE_FRACTION;
	p->share = limit / SHARE_FRACTION;
}

bool membudget_share_fits(const struct membudget_params *p, size_t held, size_t bytes)
{
	size_t reserve = bytes <= p->small ? 0 : p->share / RESERVE_FRACTION;
	size_t most = p->share - reserve;

	return !p->share || !held || (held <= most && bytes <= most - held);
}

struct membudget *membudget_new(const struct membudget_params *p)
{
	struct membudget *b = g_new0(struct membudget, 1);

	b->params = *p;
	list_init(&b->holds);
	b->groups = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return b;
}

void membudget_free(struct membudget *b)
{
	if (!b)
		return;
	g_hash_table_unref(b->groups);
	g_free(b);
}

static struct group *group_of(const struct membudget_hold *h)
{
	return g_hash_table_lookup(h->budget->groups, &h->group);
}

void membudget_open(struct membudget *b, struct membudget_hold *h, enum membudget_kind kind,
		    uint64_t group, void (*yield)(struct membudget_hold *h), int64_t now)
{
	struct group *g;

	*h = (struct membudget_hold){
		.budget = b, .kind = kind, .group = group, .moved_at = now, .yield = yield
	};
	if (!b)
		return;
	list_add_tail(&h->link, &b->holds);
	g = group_of(h);
	if (!g) {
		g = g_new0(struct group, 1);
		g->key = group;
		g_hash_table_insert(b->groups, &g->key, g);
	}
	g->holds++;
}

static void add_bytes(struct membudget_hold *h, size_t bytes)
{
	h->bytes += bytes;
	h->budget->held[h->kind] += bytes;
	group_of(h)->bytes += bytes;
}

static void remove_bytes(struct membudget_hold *h, size_t bytes)
{
	h->bytes -= bytes;
	h->budget->held[h->kind] -= bytes;
	group_of(h)->bytes -= bytes;
}

void membudget_close(struct membudget_hold *h)
{
	struct group *g;

	if (!h->budget)
		return;
	remove_bytes(h, h->bytes);
	g = group_of(h);
	if (--g->holds == 0)
		g_hash_table_remove(h->budget->groups, &h->group);
	list_del(&h->link);
	h->budget = NULL;
}

void membudget_set_kind(struct membudget_hold *h, enum membudget_kind kind)
{
	if (h->budget) {
		h->budget->held[h->kind] -= h->bytes;
		h->budget->held[kind] += h->bytes;
	}
	h->kind = kind;
}

static size_t total(const struct membudget *b)
{
	size_t n = 0;

	for (int k = 0; k < MEMBUDGET_KIND_COUNT; k++)
		n += b->held[k];
	return n;
}

static bool has_room(const struct membudget_hold *h, size_t bytes)
{
	const struct membudget *b = h->budget;
	bool small = h->bytes + bytes <= b->params.small;
	size_t limit = b->params.limit - (small ? 0 : b->params.reserve);
	size_t used = total(b);

	return used <= limit && bytes <= limit - used;
}

static enum yield_class class_of(const struct membudget_hold *h, int64_t now)
{
	const struct membudget_params *p = &h->budget->params;
	bool stopped = now - h->moved_at >= p->stall;
	bool over = h->budget->small_over;

	if (h->kind == MEMBUDGET_REQUEST)
		return YIELD_NEVER;
	if (h->kind == MEMBUDGET_OUTPUT)
		return YIELD_OUTPUT;
	if (h->bytes > p->small)
		return stopped ? YIELD_LARGE_STOPPED : YIELD_LARGE_GROWING;
	if (stopped)
		return over ? YIELD_SMALL_STOPPED_OVER : YIELD_SMALL_STOPPED;
	if (!p->slow || now - h->begun_at < p->slow)
		return YIELD_SMALL_GROWING;
	return over ? YIELD_SMALL_SLOW_OVER : YIELD_SMALL_SLOW;
}

/*
 * Whether @a yields before @b: by class; slow ones by the number of holds of their caller's address
 * and their age; others by the bytes of its caller's address, its own, its age.
 */
static bool yields_before(const struct membudget_hold *a, const struct membudget_hold *b,
			  int64_t now)
{
	enum yield_class x = class_of(a, now);
	enum yield_class y = class_of(b, now);
	bool slow = x == YIELD_SMALL_SLOW || x == YIELD_SMALL_SLOW_OVER;
	size_t of_a = group_of(a)->bytes;
	size_t of_b = group_of(b)->bytes;

	if (x != y)
		return x > y;
	if (slow && group_of(a)->holds != group_of(b)->holds)
		return group_of(a)->holds > group_of(b)->holds;
	if (slow)
		return a->begun_at < b->begun_at;
	if (of_a != of_b)
		return of_a > of_b;
	if (a->bytes != b->bytes)
		return a->bytes > b->bytes;
	return a->moved_at < b->moved_at;
}

static bool is_small_over(const struct membudget *b)
{
	size_t n = 0;
	struct list_head *pos;

	list_for_each (pos, &b->holds) {
		const struct membudget_hold *h = list_entry(pos, struct membudget_hold, link);

		if (h->kind == MEMBUDGET_BODY && h->bytes <= b->params.small)
			n += h->bytes;
	}
	return n > b->params.reserve;
}

/* The hold that yields so that @h can grow by @bytes; @h itself or NULL: it is refused. */
static struct membudget_hold *choose(struct membudget_hold *h, int64_t now)
{
	struct membudget *b = h->budget;
	struct membudget_hold *best = h->kind == MEMBUDGET_REQUEST ? NULL : h;
	struct list_head *pos;

	b->small_over = is_small_over(b);
	list_for_each (pos, &b->holds) {
		struct membudget_hold *o = list_entry(pos, struct membudget_hold, link);

		if (o == h || (h->owner && o->owner == h->owner))
			continue;
		if (!o->bytes || !o->yield || class_of(o, now) <= YIELD_SMALL_GROWING)
			continue;
		if (!best || yields_before(o, best, now))
			best = o;
	}
	return best;
}

void membudget_touch(struct membudget_hold *h, int64_t now)
{
	h->moved_at = now;
}

uint32_t membudget_group_holds(const struct membudget_hold *h)
{
	return h->budget ? group_of(h)->holds : 0;
}

int membudget_charge(struct membudget_hold *h, size_t bytes, int64_t now)
{
	struct membudget *b = h->budget;

	if (!b)
		return 0;
	/* It grows: a request on a connection that was idle doesn't count as stopped. */
	h->moved_at = now;
	if (!h->bytes)
		h->begun_at = now;
	while (!has_room(h, bytes)) {
		struct membudget_hold *v = choose(h, now);

		b->yielded++;
		if (!v || v == h)
			return -ENOMEM;
		v->yield(v);
	}
	add_bytes(h, bytes);
	return 0;
}

void membudget_force(struct membudget_hold *h, size_t bytes, int64_t now)
{
	if (!h->budget || bytes == h->bytes)
		return;
	if (!h->bytes)
		h->begun_at = now;
	if (bytes > h->bytes)
		add_bytes(h, bytes - h->bytes);
	else
		remove_bytes(h, h->bytes - bytes);
	h->moved_at = now;
}

int membudget_set(struct membudget_hold *h, size_t bytes, int64_t now)
{
	if (!h->budget || bytes == h->bytes)
		return 0;
	if (bytes > h->bytes)
		return membudget_charge(h, bytes - h->bytes, now);
	remove_bytes(h, h->bytes - bytes);
	h->moved_at = now;
	return 0;
}

bool membudget_fits(const struct membudget *b, size_t bytes)
{
	size_t firm;
	size_t limit;

	if (!b)
		return true;
	firm = b->held[MEMBUDGET_REQUEST] + b->held[MEMBUDGET_OUTPUT];
	limit = b->params.limit - (bytes <= b->params.small ? 0 : b->params.reserve);
	return firm <= limit && bytes <= limit - firm;
}

size_t membudget_output_limit(const struct membudget *b, size_t most)
{
	if (!b || b->held[MEMBUDGET_OUTPUT] <= b->params.limit / OUTPUT_FRACTION)
		return most;
	return MIN(most, OUTPUT_SHORT_BYTES);
}

size_t membudget_step(size_t len, size_t announced)
{
	size_t n = STEP_MIN;

	while (n < len && n < STEP_BYTES)
		n *= 2;
	if (n < len)
		n = (len + STEP_BYTES - 1) / STEP_BYTES * STEP_BYTES;
	return announced >= len && announced < n ? announced : n;
}

void membudget_stats(const struct membudget *b, struct membudget_stats *out)
{
	*out = (struct membudget_stats){ .limit = b->params.limit, .yielded = b->yielded };
	for (int k = 0; k < MEMBUDGET_KIND_COUNT; k++)
		out->held[k] = b->held[k];
}
