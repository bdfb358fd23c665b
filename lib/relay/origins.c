#include "relay/origins.h"

#include <string.h>

#define STREAMS_MAX 16384U /* some 100 bytes each */
#define BUILDS_MAX  256U

struct stream {
	uint64_t id_hash;
	uint64_t build_hash;
	uint64_t service_hash; /* 0: reported by another instance */
	int64_t at;
	bool told; /* to the other instances */
};

struct build {
	char *service;
	char *build;
	uint64_t service_hash;
	uint64_t build_hash;
	int64_t listed_at; /* last time; 0: only recorded */
	bool recorded;
};

struct origins {
	GHashTable *streams; /* id_hash -> struct stream in order */
	GQueue order; /* of owned struct stream, oldest first */
	GPtrArray *builds; /* of owned struct build */
	int64_t started_at; /* 0: the list isn't complete */
	int64_t listed_full_at; /* last time that a listed build had no room; 0: never */
	bool has_records; /* some instance has recorded builds; none has at a first start */
	bool recorded_full; /* a recorded build had no room */
};

static void build_free(gpointer p)
{
	struct build *b = p;

	g_free(b->service);
	g_free(b->build);
	g_free(b);
}

struct origins *origins_new(void)
{
	struct origins *o = g_new0(struct origins, 1);

	o->streams = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&o->order);
	o->builds = g_ptr_array_new_with_free_func(build_free);
	return o;
}

void origins_free(struct origins *o)
{
	if (!o)
		return;
	g_hash_table_unref(o->streams);
	g_queue_clear_full(&o->order, g_free);
	g_ptr_array_unref(o->builds);
	g_free(o);
}

void origins_start(struct origins *o, int64_t now)
{
	if (!o->started_at)
		o->started_at = now;
}

static struct build *get_build(struct origins *o, const char *service, const char *name)
{
	struct build *b;

	for (guint i = 0; i < o->builds->len; i++) {
		b = o->builds->pdata[i];
		if (strcmp(b->service, service) == 0 && strcmp(b->build, name) == 0)
			return b;
	}
	if (o->builds->len >= BUILDS_MAX)
		return NULL;
	b = g_new0(struct build, 1);
	b->service = g_strdup(service);
	b->build = g_strdup(name);
	b->service_hash = hash_str(service);
	b->build_hash = hash_str(name);
	g_ptr_array_add(o->builds, b);
	return b;
}

/* Whether this instance has seen the list for as long as a stream can last. */
static bool remembers(const struct origins *o, int64_t now)
{
	return o->started_at && now - o->started_at >= ORIGIN_MEMORY;
}

static bool was_listed(const struct build *b, int64_t now)
{
	return b->listed_at && now - b->listed_at < ORIGIN_MEMORY;
}

/* Whether a stream that goes on may be of this build. */
static bool may_have_streams(const struct origins *o, const struct build *b, int64_t now)
{
	return was_listed(b, now) || (b->recorded && !remembers(o, now));
}

static void remove_unused_builds(struct origins *o, int64_t now)
{
	for (guint i = o->builds->len; i > 0; i--) {
		if (!may_have_streams(o, o->builds->pdata[i - 1], now))
			g_ptr_array_remove_index_fast(o->builds, i - 1);
	}
}

/* Whether a build that may have begun a stream isn't kept, for lack of room. */
static bool lacks_builds(const struct origins *o, int64_t now)
{
	return (o->listed_full_at && now - o->listed_full_at < ORIGIN_MEMORY) ||
	       (o->recorded_full && !remembers(o, now));
}

void origins_listed(struct origins *o, const char *service, const char *build, int64_t now)
{
	struct build *b = get_build(o, service, build);

	if (!b) {
		remove_unused_builds(o, now);
		b = get_build(o, service, build);
	}
	if (b)
		b->listed_at = now;
	else
		o->listed_full_at = now;
}

void origins_set_records(struct origins *o, const struct origin_build *list, uint32_t n)
{
	o->recorded_full = false;
	o->has_records = n > 0;
	for (guint i = 0; i < o->builds->len; i++)
		((struct build *)o->builds->pdata[i])->recorded = false;
	for (uint32_t i = 0; i < n; i++) {
		struct build *b = get_build(o, list[i].service, list[i].build);

		if (b)
			b->recorded = true;
		else
			o->recorded_full = true;
	}
}

static gint by_name(gconstpointer x, gconstpointer y)
{
	const struct origin_build *a = x;
	const struct origin_build *b = y;
	int order = strcmp(a->service, b->service);

	return order ? order : strcmp(a->build, b->build);
}

uint32_t origins_list_builds(const struct origins *o, int64_t now, struct origin_build *out,
			     uint32_t max)
{
	uint32_t n = 0;

	for (guint i = 0; i < o->builds->len && n < max; i++) {
		const struct build *b = o->builds->pdata[i];

		if (may_have_streams(o, b, now))
			out[n++] = (struct origin_build){ b->service, b->build };
	}
	qsort(out, n, sizeof(*out), by_name);
	return n;
}

uint64_t origins_only_build(const struct origins *o, const char *service, int64_t now)
{
	const struct build *only = NULL;
	uint64_t service_hash = hash_str(service);

	if (lacks_builds(o, now))
		return 0;
	for (guint i = 0; i < o->builds->len; i++) {
		const struct build *b = o->builds->pdata[i];

		if (b->service_hash != service_hash || !may_have_streams(o, b, now))
			continue;
		if (only)
			return 0;
		only = b;
	}
	/* Records without this build tell that there were others before the start. */
	if (!only || (o->has_records && !only->recorded && !remembers(o, now)))
		return 0;
	return only->build_hash;
}

void origins_end(struct origins *o, uint64_t id_hash)
{
	struct stream *s = g_hash_table_lookup(o->streams, &id_hash);

	if (s)
		s->told = true;
}

static void remove_oldest(struct origins *o)
{
	struct stream *s = g_queue_pop_head(&o->order);

	g_hash_table_remove(o->streams, &s->id_hash);
	g_free(s);
}

static void remove_expired(struct origins *o, int64_t now)
{
	const struct stream *s;

	while ((s = g_queue_peek_head(&o->order)) && now - s->at >= ORIGIN_MEMORY)
		remove_oldest(o);
}

static void add_stream(struct origins *o, const struct stream *new)
{
	struct stream *s;

	remove_expired(o, new->at);
	if (g_hash_table_contains(o->streams, &new->id_hash))
		return;
	if (o->order.length >= STREAMS_MAX)
		remove_oldest(o);
	s = g_memdup2(new, sizeof(*new));
	g_queue_push_tail(&o->order, s);
	g_hash_table_insert(o->streams, &s->id_hash, s);
}

void origins_add(struct origins *o, uint64_t id_hash, uint64_t build_hash, int64_t now)
{
	add_stream(o, &(struct stream){ id_hash, build_hash, 0, now, true });
}

void origins_begin(struct origins *o, const char *service, uint64_t id_hash, uint64_t build_hash,
		   int64_t now)
{
	add_stream(o, &(struct stream){ id_hash, build_hash, hash_str(service), now, false });
}

uint64_t origins_find(const struct origins *o, const char *service, uint64_t id_hash, int64_t now)
{
	const struct stream *s = g_hash_table_lookup(o->streams, &id_hash);

	if (s && now - s->at < ORIGIN_MEMORY)
		return s->build_hash;
	return origins_only_build(o, service, now);
}

/* Set of the hashes of services with one build that every instance knows as the only one. */
static GHashTable *find_single_services(const struct origins *o, int64_t now)
{
	GHashTable *set = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (guint i = 0; i < o->builds->len; i++) {
		struct build *b = o->builds->pdata[i];

		if (origins_only_build(o, b->service, now))
			g_hash_table_add(set, &b->service_hash);
	}
	return set;
}

static bool has_several_builds(const struct origins *o, int64_t now)
{
	for (guint i = 0; i < o->builds->len; i++) {
		const struct build *b = o->builds->pdata[i];

		if (may_have_streams(o, b, now) && !origins_only_build(o, b->service, now))
			return true;
	}
	return false;
}

uint32_t origins_collect(struct origins *o, int64_t now, struct origin *out, uint32_t max)
{
	g_autoptr(GHashTable) single = NULL;
	uint32_t n = 0;

	remove_expired(o, now);
	if (!has_several_builds(o, now))
		return 0;
	single = find_single_services(o, now);
	for (GList *l = o->order.tail; l && n < max; l = l->prev) {
		struct stream *s = l->data;

		if (s->told || g_hash_table_contains(single, &s->service_hash))
			continue;
		s->told = true;
		out[n++] = (struct origin){ s->id_hash, s->build_hash };
	}
	return n;
}
