/* The known objects: newer ones replace older ones, and deletions are deferred after an outage. */
#include "feed/feed_priv.h"

#include "base/base.h"

#define DELETION_RETENTION (60 * USEC_PER_SEC) /* for which deltas include a deletion */
/* See feed_set_store_state(). */
#define DELETION_GRACE (2 * USEC_PER_SEC)

void feed_object_free(gpointer p)
{
	struct object *o = p;

	g_free(o->name);
	g_free(o->text);
	g_bytes_unref(o->packed);
	g_free(o);
}

bool feed_is_starting(const struct feed *f)
{
	for (uint32_t i = 0; i < f->n_kinds; i++) {
		if (!f->kinds[i].complete_revision)
			return true;
	}
	return false;
}

static struct object *find_object(const struct kind *k, const char *name)
{
	return g_hash_table_lookup(k->objects, name);
}

static void report_older(const struct feed *f, uint32_t kind, const struct object *o,
			 const char *text, uint64_t revision, const char *source)
{
	if (f->ops->older && g_strcmp0(text, o->text) != 0)
		f->ops->older(f->arg, kind, o->name, revision, o->revision, source);
}

bool feed_apply_object(struct feed *f, uint32_t kind, const char *name, const char *text,
		       uint64_t revision, const char *source, int64_t now)
{
	struct kind *k = &f->kinds[kind];
	struct object *o = find_object(k, name);

	if (o && revision <= o->revision) {
		report_older(f, kind, o, text, revision, source);
		return false;
	}
	if (!o && !text)
		return false;
	if (!o) {
		o = g_new0(struct object, 1);
		o->name = g_strdup(name);
		g_hash_table_insert(k->objects, o->name, o);
	}
	g_free(o->text);
	g_clear_pointer(&o->packed, g_bytes_unref);
	o->text = g_strdup(text);
	o->revision = revision;
	o->deleted_at = now;
	o->deferred_revision = 0;
	o->listed = true;
	k->newest_revision = MAX(k->newest_revision, revision);
	f->ops->object(f->arg, kind, o->name, text, revision, source);
	return true;
}

void feed_expedite_digests(struct feed *f)
{
	f->next_digest_at = 0;
}

/*
 * Applies a deletion, or defers it soon after an outage of the store; see feed_set_store_state().
 * The object was deleted after @present_revision: at @revision, or if a list showed the deletion,
 * at or before it.
 */
static void apply_deletion(struct feed *f, uint32_t kind, struct object *o,
			   uint64_t present_revision, uint64_t revision, int64_t now)
{
	int64_t deferred_until = f->outage_ended_at ? f->outage_ended_at + DELETION_GRACE : 0;

	if (!o->text || revision < o->revision)
		return;
	if (now >= deferred_until) {
		/* A deletion gets the revision of the list or event that showed it. */
		if (feed_apply_object(f, kind, o->name, NULL, MAX(revision, o->revision + 1),
				      "store", now))
			feed_expedite_digests(f);
		return;
	}
	o->deferred_revision = revision;
	o->present_revision = present_revision;
	o->deferred_until = deferred_until;
}

void feed_put(struct feed *f, uint32_t kind, const char *name, const char *text, uint64_t revision,
	      int64_t now)
{
	struct object *o = find_object(&f->kinds[kind], name);

	if (!text) {
		if (o)
			apply_deletion(f, kind, o, revision - 1, revision, now);
		return;
	}
	if (o) {
		o->listed = true;
		o->deferred_revision = 0;
	}
	if (feed_apply_object(f, kind, name, text, revision, "store", now))
		feed_expedite_digests(f);
}

void feed_end_outage(struct feed *f, int64_t now)
{
	int64_t start = f->outage_started_at;

	if (!feed_is_starting(f) && now - start >= f->min_outage && f->outage_ended_at <= start)
		f->outage_ended_at = now;
}

void feed_list_begin(struct feed *f, uint32_t kind, int64_t now)
{
	GHashTableIter it;
	gpointer p;

	/* Before the list is applied: objects missing there may have expired in the outage. */
	if (!f->store_ok)
		feed_end_outage(f, now);
	g_hash_table_iter_init(&it, f->kinds[kind].objects);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct object *)p)->listed = false;
}

static void delete_unlisted(struct feed *f, uint32_t kind, uint64_t revision, int64_t now)
{
	g_autoptr(GList) all = g_hash_table_get_values(f->kinds[kind].objects);

	for (GList *l = all; l; l = l->next) {
		struct object *o = l->data;

		if (!o->listed && !o->deferred_revision)
			apply_deletion(f, kind, o, f->kinds[kind].complete_revision, revision, now);
	}
}

void feed_advance_complete(struct feed *f, uint32_t kind, uint64_t revision)
{
	struct kind *k = &f->kinds[kind];
	bool first = !k->complete_revision && revision;

	k->complete_revision = MAX(k->complete_revision, revision);
	if (first && f->ops->kind_complete)
		f->ops->kind_complete(f->arg, kind);
}

void feed_complete(struct feed *f, uint32_t kind, uint64_t revision, bool list, int64_t now)
{
	if (list)
		delete_unlisted(f, kind, revision, now);
	feed_advance_complete(f, kind, revision);
}

void feed_end_deferred_deletions(struct feed *f, int64_t now)
{
	for (uint32_t i = 0; i < f->n_kinds; i++) {
		g_autoptr(GList) all = g_hash_table_get_values(f->kinds[i].objects);

		for (GList *l = all; l; l = l->next) {
			struct object *o = l->data;

			if (o->deferred_revision && now >= o->deferred_until &&
			    feed_apply_object(f, i, o->name, NULL,
					      MAX(o->deferred_revision, o->revision + 1), "lapsed",
					      now))
				feed_expedite_digests(f);
			else if (!o->text && now - o->deleted_at > DELETION_RETENTION)
				g_hash_table_remove(f->kinds[i].objects, o->name);
		}
	}
}

uint64_t feed_delta_revision(const struct kind *k)
{
	uint64_t up_to = k->complete_revision;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, k->objects);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct object *o = p;

		if (o->deferred_revision)
			up_to = MIN(up_to, o->present_revision);
	}
	return up_to;
}
