/**
 * DOC: gossip_conf
 *
 * Replication of configuration objects: a change is pushed to the neighbours immediately. If a
 * neighbour's digest differs for longer than a push takes, the objects of the buckets that differ
 * are pulled from it.
 */
#include <string.h>

#include "gossip/gossip_priv.h"

#define PULL_TIMEOUT (1500 * USEC_PER_MSEC) /* then another pull may start */
#define PULL_DELAY   (700 * USEC_PER_MSEC) /* a push in progress needs no pull */
/*
 * After a complete response the digests still differ if the neighbour's objects are older: then the
 * neighbour has to pull, and an immediate repeat of the pull would use up the bytes of the response
 * to it.
 */
#define PULL_REPEAT_DELAY   (1500 * USEC_PER_MSEC)
#define AGREE_MIN	    (1500 * USEC_PER_MSEC) /* time for three frames of each neighbour */
#define AGREE_MAX	    (5 * USEC_PER_SEC) /* then one neighbour is enough */
#define PULL_RESPONSE_BYTES (48 * 1024) /* then a response ends, after a whole bucket */

static uint32_t entry_digest(const struct g_conf_entry *e)
{
	return (uint32_t)hash_pair(e->key_hash, e->version);
}

static void update_entry(struct gossip *g, const struct conf_object *o, uint64_t source)
{
	uint32_t i = GPOINTER_TO_UINT(g_hash_table_lookup(g->conf_index, o->key));
	struct g_conf_entry *e;

	if (i == 0) {
		struct g_conf_entry fresh = { .key = g_strdup(o->key),
					      .key_hash = hash_str(o->key) };

		g_array_append_val(g->conf, fresh);
		i = g->conf->len;
		g_hash_table_insert(g->conf_index, (gpointer)fresh.key, GUINT_TO_POINTER(i));
	}
	e = &g_array_index(g->conf, struct g_conf_entry, i - 1);
	if (e->version)
		g->conf_buckets[e->key_hash % G_CONF_BUCKETS] -= entry_digest(e);
	e->version = o->version;
	g->conf_buckets[e->key_hash % G_CONF_BUCKETS] += entry_digest(e);
	g_entry_changed(g, G_CONF, i - 1, source);
	if (g->configured)
		return;
	/* A starting instance doesn't push objects: its neighbours have them or pull them. */
	for (guint k = 0; k < g->links->len; k++)
		g_entry_mark_sent(g, g->links->pdata[k], G_CONF, i - 1);
}

int g_conf_apply(struct gossip *g, const char *key, uint64_t version, const char *text,
		 uint64_t source)
{
	struct conf_error err = { 0 };
	const struct conf_object *o;
	int rc = conf_apply(g->store, key, version, text, &err);

	if (rc == 0) {
		g->stats.objects_stale += source != 0;
		return 0;
	}
	o = conf_get(g->store, key);
	/* An invalid text is replicated under its version; an unknown key isn't stored at all. */
	if (!o || o->version != version)
		return rc;
	if (rc < 0)
		log_warn("gossip", "%s version %" G_GUINT64_FORMAT " is invalid: %s: %s", key,
			 version, err.where, err.message);
	update_entry(g, o, source);
	g->events.config(g->events.arg, o);
	return rc;
}

/* Whether no newer objects than the peers' can be expected: the platform has responded to some
 * instance recently, or this one failed to reach it. */
bool g_conf_is_current(const struct gossip *g, int64_t now)
{
	int64_t wall = (now + g->wall_offset) / USEC_PER_SEC;

	return g->platform_failed ||
	       wall - (int64_t)g->platform_contact <= G_PLATFORM_CONTACT_MAX_AGE_S;
}

/* Whether a starting instance is complete: with the objects of one neighbour it may lack those of
 * another. */
static bool neighbours_agree(const struct gossip *g, int64_t now)
{
	if (now - g->started < AGREE_MIN || g->platform_required || !g_conf_is_current(g, now))
		return false;
	if (now - g->started >= AGREE_MAX)
		return true;
	for (guint i = 0; i < g->links->len; i++) {
		const struct g_link *l = g->links->pdata[i];

		if (!l->has_header || (l->header.flags & G_FLAG_CONFIGURED &&
				       l->header.conf_digest != conf_digest(g->store)))
			return false;
	}
	return true;
}

/* Called for each frame of a neighbour. */
void g_conf_compare(struct gossip *g, struct g_link *l, int64_t now)
{
	bool same = l->header.conf_digest == conf_digest(g->store);

	if (same) {
		l->conf_differs_since = 0;
		l->conf_pulled_at = 0;
		if (l->header.flags & G_FLAG_CONFIGURED && !g->configured)
			g->configured = neighbours_agree(g, now);
		if (g->pull_peer == l->peer)
			g->pull_peer = 0;
		return;
	}
	if (l->conf_differs_since == 0)
		l->conf_differs_since = now;
	if ((g->pull_peer && now < g->pull_deadline) ||
	    (l->conf_pulled_at && now - l->conf_pulled_at < PULL_REPEAT_DELAY))
		return;
	/* A starting instance pulls from any neighbour that has objects, without the delay. */
	if (g->configured && now - l->conf_differs_since < PULL_DELAY)
		return;
	if (l->header.conf_digest == 0)
		return;
	g->pull_peer = l->peer;
	g->pull_deadline = now + PULL_TIMEOUT;
	g->stats.repairs++;
	g_send_pull(g, l, now);
}

void g_conf_pull_done(struct gossip *g, struct g_link *l, uint32_t next, int64_t now)
{
	if (g->pull_peer != l->peer)
		return;
	g->pull_bucket = next;
	g->pull_peer = 0;
	if (next == 0) {
		l->conf_pulled_at = now;
		return;
	}
	/* The response was truncated: continues with the next buckets. */
	g->pull_peer = l->peer;
	g->pull_deadline = now + PULL_TIMEOUT;
	g_send_pull(g, l, now);
}

static void put_bucket(struct gossip *g, struct g_out *o, uint32_t bucket)
{
	for (guint i = 0; i < g->conf->len; i++) {
		const struct g_conf_entry *e = &g_array_index(g->conf, struct g_conf_entry, i);
		const struct conf_object *c;

		if (e->key_hash % G_CONF_BUCKETS != bucket)
			continue;
		c = conf_get(g->store, e->key);
		g_wire_conf(o, c->key, c->version, c->text);
		g->stats.objects_sent++;
	}
}

void g_conf_serve_pull(struct gossip *g, struct g_link *l, const struct g_record *rec, int64_t now)
{
	struct g_out o;
	uint32_t b = rec->bucket;

	g_token_bucket_refill(&g->state_byte_limit, now);
	if (g->state_byte_limit.tokens <= 0)
		return;
	o = g_out_begin(g, l, G_FLAG_LINK, now);
	for (; b < G_CONF_BUCKETS && g_wire_size(&o) < PULL_RESPONSE_BYTES; b++) {
		uint32_t theirs;

		memcpy(&theirs, rec->buckets + b * 4, 4);
		if (GUINT32_FROM_LE(theirs) != g->conf_buckets[b])
			put_bucket(g, &o, b);
	}
	g_wire_pull_end(&o, b % G_CONF_BUCKETS);
	g_out_send(g, &o, l->address, true, now);
}
