/*
 * The known objects: newer ones replace older ones. Deletions are deferred after an outage, and what
 * may be an earlier state after the store has returned from an older copy.
 */
#include "feed/feed_priv.h"

#include "base/base.h"

#define DELETION_RETENTION (60 * USEC_PER_SEC) /* for which deltas include a deletion */
/* See feed_set_store_state(). */
#define DELETION_GRACE (2 * USEC_PER_SEC)
/*
 * Added to the expiry time of entries: after both, the store has removed the entries of the copy
 * whose owners have gone, and the removals have been received.
 */
#define SETTLE_MARGIN (5 * USEC_PER_SEC)
/*
 * A copy is at most some seconds old. Within this time after a return, another one may be from a
 * copy of before the first, in which an earlier state can have a higher number than a later one.
 */
#define COPY_AGE_MAX (60 * USEC_PER_SEC)
/*
 * An instance whose state began with a list doesn't know what was deleted shortly before it, and
 * its peers may not know it yet: store readers defer deletions for DELETION_GRACE, and they arrive
 * within another two seconds.
 */
#define FIRST_LIST_TIME (DELETION_GRACE + 2 * USEC_PER_SEC)

void feed_object_free(gpointer p)
{
	struct object *o = p;

	g_free(o->name);
	g_free(o->text);
	g_free(o->last_text);
	g_free(o->deferred_text);
	g_bytes_unref(o->packed);
	g_free(o);
}

bool feed_is_versioned(const struct feed *f, uint32_t kind)
{
	return f->versioned_kinds >> kind & 1U;
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

static void clear_deferred_change(struct object *o)
{
	o->deferred_revision = 0;
	g_clear_pointer(&o->deferred_text, g_free);
}

/*
 * A state of @revision replaces what was deferred. A deferred deletion at a later revision stays:
 * a peer that doesn't know of the deletion yet may send a state from before it.
 */
static void replace_deferred_change(struct object *o, uint64_t revision)
{
	if (o->deferred_text || revision >= o->deferred_revision)
		clear_deferred_change(o);
}

static void defer_change(struct object *o, const char *text, uint64_t revision, int64_t until)
{
	clear_deferred_change(o);
	o->deferred_revision = revision;
	o->deferred_text = g_strdup(text);
	o->deferred_until = until;
}

/*
 * Whether an object with a later revision than the known one may be from the copy that the store
 * returned from. Then the store gave it no higher number than the known one had, unless the copy
 * may be from before an earlier return.
 */
static bool may_be_of_copy(const struct feed *f, uint32_t kind, const struct object *o,
			   const char *text, uint64_t revision)
{
	return text && !feed_is_versioned(f, kind) && !revision_is_confirmed(revision) &&
	       revision_era(revision) != revision_era(o->revision) &&
	       (f->mixed_copies || revision_number(revision) <= revision_number(o->revision));
}

/* Whether @text may be an earlier state than the known one, which a deletion may have ended. */
static bool may_be_earlier(const struct feed *f, uint32_t kind, const struct object *o,
			   const char *text, int64_t now)
{
	const char *known = o->text ? o->text : o->last_text;

	if (now >= f->unsettled_until)
		return false;
	return !f->ops->compare || !known || f->ops->compare(f->arg, kind, text, known) <= 0;
}

/*
 * Whether @text is no change: the store still has the known state in a later era, or it is the
 * change that is known, which the first list of the era couldn't confirm.
 */
static bool is_same_state(const struct object *o, const char *text, uint64_t revision)
{
	return g_strcmp0(text, o->text) == 0 &&
	       (revision_era(revision) != revision_era(o->revision) ||
		revision_confirm(revision) == revision_confirm(o->revision));
}

static void set_text(struct object *o, const char *text)
{
	if (!text && o->text) {
		g_free(o->last_text);
		o->last_text = g_steal_pointer(&o->text);
	}
	g_free(o->text);
	g_clear_pointer(&o->packed, g_bytes_unref);
	o->text = g_strdup(text);
	if (text)
		g_clear_pointer(&o->last_text, g_free);
}

static struct object *add_object(struct kind *k, const char *name)
{
	struct object *o = g_new0(struct object, 1);

	o->name = g_strdup(name);
	g_hash_table_insert(k->objects, o->name, o);
	return o;
}

/* Keeps the deletion of an unknown object: the copy of the store may still have the object. */
static void add_deleted(struct kind *k, const char *name, uint64_t revision, int64_t now)
{
	struct object *o = add_object(k, name);

	o->revision = revision;
	o->deleted_at = now;
	k->newest_revision = MAX(k->newest_revision, revision);
}

/*
 * Whether the known state, which the store had in a later era, may be an earlier one than @text
 * that a peer knows from before; the counterpart of may_be_of_copy().
 */
static bool known_may_be_of_copy(const struct feed *f, uint32_t kind, const struct object *o,
				 const char *text, uint64_t revision, int64_t now)
{
	return o->text && !feed_is_versioned(f, kind) && !revision_is_confirmed(o->revision) &&
	       revision_era(revision) < revision_era(o->revision) &&
	       revision_number(o->revision) <= revision_number(revision) &&
	       now < f->unsettled_until && g_strcmp0(text, o->text) != 0 &&
	       (!text || !f->ops->compare || f->ops->compare(f->arg, kind, o->text, text) <= 0);
}

/* Replaces a state that may be of the copy by a peer's, until the store is settled. */
static void replace_copy(struct feed *f, uint32_t kind, struct object *o, const char *text,
			 const char *source, int64_t now)
{
	struct kind *k = &f->kinds[kind];
	g_autofree char *copy = g_strdup(o->text);
	uint64_t revision = o->revision;

	set_text(o, text);
	o->revision = revision_confirm(revision);
	o->deleted_at = now;
	defer_change(o, copy, revision, f->unsettled_until);
	k->newest_revision = MAX(k->newest_revision, o->revision);
	f->ops->object(f->arg, kind, o->name, text, o->revision, source);
}

bool feed_apply_object(struct feed *f, uint32_t kind, const char *name, const char *text,
		       uint64_t revision, const char *source, int64_t now)
{
	struct kind *k = &f->kinds[kind];
	struct object *o = find_object(k, name);

	if (o && known_may_be_of_copy(f, kind, o, text, revision, now)) {
		replace_copy(f, kind, o, text, source, now);
		return true;
	}
	if (o && revision <= o->revision) {
		report_older(f, kind, o, text, revision, source);
		return false;
	}
	if (!o && !text) {
		if (!feed_is_versioned(f, kind))
			add_deleted(k, name, revision, now);
		return false;
	}
	if (o && text && is_same_state(o, text, revision)) {
		replace_deferred_change(o, revision);
		if (revision_is_confirmed(revision)) {
			o->revision = revision;
			k->newest_revision = MAX(k->newest_revision, revision);
		}
		return false;
	}
	if (o && may_be_of_copy(f, kind, o, text, revision)) {
		if (may_be_earlier(f, kind, o, text, now)) {
			report_older(f, kind, o, text, revision, source);
			defer_change(o, text, revision, f->unsettled_until);
			return false;
		}
		/* Others may lack the known state, which shows that this one is later. */
		revision = revision_confirm(revision);
	}
	if (!o)
		o = add_object(k, name);
	set_text(o, text);
	o->revision = revision;
	o->deleted_at = now;
	replace_deferred_change(o, revision);
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
 * The store deleted an object that is known as deleted. Other instances may have it from the copy
 * of the store, in force or deferred, and no longer read the store: they need the new revision.
 */
static void confirm_deletion(struct feed *f, uint32_t kind, struct object *o, uint64_t revision,
			     int64_t now)
{
	struct kind *k = &f->kinds[kind];

	if (revision <= o->revision)
		return;
	o->revision = revision;
	o->deleted_at = now;
	k->newest_revision = MAX(k->newest_revision, revision);
	feed_expedite_digests(f);
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
	uint64_t step = revision_next_step(MAX(o->revision, f->kinds[kind].complete_revision));

	if (revision < MAX(o->revision, o->deferred_revision))
		return;
	/* What was deferred has been deleted too. */
	clear_deferred_change(o);
	if (!o->text) {
		confirm_deletion(f, kind, o, revision, now);
		return;
	}
	if (now >= deferred_until) {
		/*
		 * A deletion gets the revision of the list or event that showed it. An event may have
		 * that of the object's last change, which peers have passed already.
		 */
		if (revision < step && f->kinds[kind].complete_revision)
			feed_advance_complete(f, kind, step, now);
		if (feed_apply_object(f, kind, o->name, NULL, MAX(revision, step), "store", now))
			feed_expedite_digests(f);
		return;
	}
	defer_change(o, NULL, revision, deferred_until);
	o->present_revision = present_revision;
}

void feed_set_era(struct feed *f, uint32_t era, const char *source, int64_t now)
{
	uint32_t previous = f->era;

	if (era <= previous)
		return;
	f->era = era;
	f->copy_max = UINT64_MAX;
	for (uint32_t i = 0; i < f->n_kinds; i++)
		f->kinds[i].has_earlier_eras |= f->kinds[i].complete_revision != 0;
	/* A starting instance can't know how long ago the era began. */
	f->unsettled_until = now + f->expiry_time + SETTLE_MARGIN;
	if (feed_is_starting(f))
		return;
	f->mixed_copies = f->era_began_at && now - f->era_began_at < COPY_AGE_MAX;
	f->era_began_at = now;
	f->outage_ended_at = now;
	if (f->ops->era)
		f->ops->era(f->arg, era, previous, source);
}

/* Whether a response of an earlier era of the store came late; learns of a new era. */
static bool is_of_earlier_era(struct feed *f, uint32_t kind, uint64_t revision, int64_t now)
{
	if (feed_is_versioned(f, kind))
		return false;
	feed_set_era(f, revision_era(revision), "store", now);
	return revision_era(revision) < f->era;
}

/* Revision of an object that the store has, confirmed if the copy can't have it. */
static uint64_t confirm_revision(const struct feed *f, uint32_t kind, uint64_t revision)
{
	if (feed_is_versioned(f, kind) || !revision || revision_number(revision) <= f->copy_max)
		return revision;
	return revision_confirm(revision);
}

void feed_put(struct feed *f, uint32_t kind, const char *name, const char *text, uint64_t revision,
	      int64_t now)
{
	struct object *o = find_object(&f->kinds[kind], name);

	if (revision && is_of_earlier_era(f, kind, revision, now))
		return;
	revision = confirm_revision(f, kind, revision);
	if (!text) {
		if (o && !feed_is_versioned(f, kind))
			apply_deletion(f, kind, o, revision - 1, revision, now);
		return;
	}
	if (o) {
		o->listed = true;
		/* It wasn't deleted, or exists again. */
		if (o->deferred_revision && !o->deferred_text)
			clear_deferred_change(o);
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

		if (!o->listed && (o->text ? !o->deferred_revision || o->deferred_text
					   : o->deferred_revision != 0))
			apply_deletion(f, kind, o, f->kinds[kind].complete_revision, revision, now);
	}
}

void feed_advance_complete(struct feed *f, uint32_t kind, uint64_t revision, int64_t now)
{
	struct kind *k = &f->kinds[kind];
	bool first = !k->complete_revision && revision;

	k->complete_revision = MAX(k->complete_revision, revision);
	if (first) {
		k->first_revision = revision;
		k->first_until = now + FIRST_LIST_TIME;
	}
	if (first && f->ops->kind_complete)
		f->ops->kind_complete(f->arg, kind);
}

void feed_complete(struct feed *f, uint32_t kind, uint64_t revision, bool list, int64_t now)
{
	if (feed_is_versioned(f, kind)) {
		feed_advance_complete(f, kind, MAX(f->kinds[kind].newest_revision, 1), now);
		return;
	}
	if (is_of_earlier_era(f, kind, revision, now))
		return;
	/* The store's revision at some time after it returned is at least that of the copy. */
	f->copy_max = MIN(f->copy_max, revision_number(revision));
	revision = revision_confirm(revision);
	if (list)
		delete_unlisted(f, kind, revision, now);
	feed_advance_complete(f, kind, revision, now);
}

/*
 * Revision of a deferred change. Peers have pulled all changes up to the complete revision, so an
 * earlier state of the store that turned out to be right needs a newer one.
 */
static uint64_t revision_of_deferred(const struct kind *k, const struct object *o, uint64_t step)
{
	if (o->deferred_text)
		return MAX(o->deferred_revision, step);
	return MAX(o->deferred_revision, o->revision + 1);
}

/*
 * Whether the deferred change of @o is over. A state of the store comes into force only if its
 * changes were known after that time: while the store can't be read, or this process was stopped,
 * the owner may have changed or removed it.
 */
static bool is_deferral_over(const struct feed *f, const struct kind *k, const struct object *o,
			     int64_t now)
{
	if (now < o->deferred_until)
		return false;
	if (!o->deferred_text)
		return true;
	return (f->store_ok || !k->pull_sent_at) &&
	       feed_confirmation_age(f, now) <= now - MAX(o->deferred_until, f->unsettled_until);
}

static void end_deferred_changes(struct feed *f, uint32_t kind, int64_t now)
{
	struct kind *k = &f->kinds[kind];
	g_autoptr(GList) all = g_hash_table_get_values(k->objects);
	uint64_t step = revision_next_step(MAX(k->complete_revision, k->newest_revision));
	bool used_step = false;

	for (GList *l = all; l; l = l->next) {
		struct object *o = l->data;
		g_autofree char *text = NULL;

		if (o->deferred_revision && is_deferral_over(f, k, o, now)) {
			text = g_strdup(o->deferred_text);
			used_step |= text != NULL;
			if (feed_apply_object(f, kind, o->name, text,
					      revision_of_deferred(k, o, step), "lapsed", now))
				feed_expedite_digests(f);
		} else if (!o->text && !o->deferred_revision &&
			   now - o->deleted_at > DELETION_RETENTION) {
			g_hash_table_remove(k->objects, o->name);
		}
	}
	if (used_step)
		feed_advance_complete(f, kind, step, now);
}

void feed_end_deferred_changes(struct feed *f, int64_t now)
{
	for (uint32_t i = 0; i < f->n_kinds; i++)
		end_deferred_changes(f, i, now);
}

uint64_t feed_delta_revision(const struct kind *k)
{
	uint64_t up_to = k->complete_revision;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, k->objects);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct object *o = p;

		if (o->deferred_revision && !o->deferred_text)
			up_to = MIN(up_to, o->present_revision);
	}
	return up_to;
}
