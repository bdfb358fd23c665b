/**
 * DOC: gossip_conf
 *
 * Spread of configuration objects: a change is pushed to the neighbours at once; a neighbour whose
 * digest differs for longer than a push takes is asked for the objects of the buckets that differ.
 */
#include <string.h>

#include "gossip/gossip_priv.h"

#define PULL_TIMEOUT (1500 * USEC_PER_MSEC)
#define PULL_DELAY   (700 * USEC_PER_MSEC) /* a push under way needs no pull */
/*
 * After a complete answer a difference remains if the neighbour's objects are the older ones: it
 * has to ask then, and asking it again at once would use up the bytes of the answer to it.
 */
#define PULL_AGAIN   (1500 * USEC_PER_MSEC)
#define AGREE_MIN    (1500 * USEC_PER_MSEC) /* for three frames of each neighbour */
#define AGREE_MAX    (5 * USEC_PER_SEC)
#define ANSWER_BYTES (48 * 1024) /* of objects in one answer */

static uint32_t row_digest(const struct g_conf_row *r)
{
	return (uint32_t)hash_pair(r->key_hash, r->version);
}

static void mirror(struct gossip *g, const struct conf_object *o, uint64_t from)
{
	uint32_t i = GPOINTER_TO_UINT(g_hash_table_lookup(g->conf_index, o->key));
	struct g_conf_row *r;

	if (i == 0) {
		struct g_conf_row fresh = { .key = g_strdup(o->key), .key_hash = hash_str(o->key) };

		g_array_append_val(g->conf, fresh);
		i = g->conf->len;
		g_hash_table_insert(g->conf_index, (gpointer)fresh.key, GUINT_TO_POINTER(i));
	}
	r = &g_array_index(g->conf, struct g_conf_row, i - 1);
	if (r->version)
		g->buckets[r->key_hash % G_BUCKETS] -= row_digest(r);
	r->version = o->version;
	g->buckets[r->key_hash % G_BUCKETS] += row_digest(r);
	g_rows_changed(g, G_CONF, i - 1, from);
	if (g->configured)
		return;
	/* What a starting instance takes is no news: its neighbours have it or pull it. */
	for (guint k = 0; k < g->links->len; k++)
		g_rows_mark(g, g->links->pdata[k], G_CONF, i - 1);
}

int g_conf_apply(struct gossip *g, const char *key, uint64_t version, const char *text,
		 uint64_t from)
{
	struct conf_error err = { 0 };
	const struct conf_object *o;
	int rc = conf_apply(g->store, key, version, text, &err);

	if (rc == 0) {
		g->stats.objects_stale += from != 0;
		return 0;
	}
	o = conf_get(g->store, key);
	/* An invalid text is passed on under its version; an unknown key isn't stored at all. */
	if (!o || o->version != version)
		return rc;
	if (rc < 0)
		log_warn("gossip", "%s version %" G_GUINT64_FORMAT " is invalid: %s: %s", key,
			 version, err.where, err.message);
	mirror(g, o, from);
	g->events.config(g->events.arg, o);
	return rc;
}

/* Whether the peers' state can be taken for the platform's. */
bool g_conf_current(const struct gossip *g, int64_t now)
{
	int64_t wall = (now + g->wall) / USEC_PER_SEC;

	return g->platform_failed || wall - (int64_t)g->contact <= G_CONTACT_S;
}

/* A starting instance that took the state of one neighbour may still lack what another has. */
static bool neighbours_agree(const struct gossip *g, int64_t now)
{
	if (now - g->started < AGREE_MIN || g->fenced || !g_conf_current(g, now))
		return false;
	if (now - g->started >= AGREE_MAX)
		return true;
	for (guint i = 0; i < g->links->len; i++) {
		const struct g_link *l = g->links->pdata[i];

		if (!l->has_head || (l->head.flags & G_FLAG_CONFIGURED &&
				     l->head.conf_digest != conf_digest(g->store)))
			return false;
	}
	return true;
}

/* Called for each frame of a neighbour. */
void g_conf_compare(struct gossip *g, struct g_link *l, int64_t now)
{
	bool same = l->head.conf_digest == conf_digest(g->store);

	if (same) {
		l->conf_differs = 0;
		l->conf_pulled = 0;
		if (l->head.flags & G_FLAG_CONFIGURED && !g->configured)
			g->configured = neighbours_agree(g, now);
		if (g->pull_peer == l->peer)
			g->pull_peer = 0;
		return;
	}
	if (l->conf_differs == 0)
		l->conf_differs = now;
	if ((g->pull_peer && now < g->pull_until) ||
	    (l->conf_pulled && now - l->conf_pulled < PULL_AGAIN))
		return;
	/* A starting instance takes from whoever has something and doesn't wait. */
	if (g->configured && now - l->conf_differs < PULL_DELAY)
		return;
	if (l->head.conf_digest == 0)
		return;
	g->pull_peer = l->peer;
	g->pull_until = now + PULL_TIMEOUT;
	g->stats.repairs++;
	g_send_pull(g, l, now);
}

void g_conf_pulled(struct gossip *g, struct g_link *l, uint32_t next, int64_t now)
{
	if (g->pull_peer != l->peer)
		return;
	g->pull_bucket = next;
	g->pull_peer = 0;
	if (next == 0) {
		l->conf_pulled = now;
		return;
	}
	/* The answer was cut: goes on with the next buckets. */
	g->pull_peer = l->peer;
	g->pull_until = now + PULL_TIMEOUT;
	g_send_pull(g, l, now);
}

static void answer_bucket(struct gossip *g, struct g_out *o, uint32_t bucket)
{
	for (guint i = 0; i < g->conf->len; i++) {
		const struct g_conf_row *r = &g_array_index(g->conf, struct g_conf_row, i);
		const struct conf_object *c;

		if (r->key_hash % G_BUCKETS != bucket)
			continue;
		c = conf_get(g->store, r->key);
		g_wire_conf(o, c->key, c->version, c->text);
		g->stats.objects_sent++;
	}
}

void g_conf_answer(struct gossip *g, struct g_link *l, const struct g_news *n, int64_t now)
{
	struct g_out o;
	uint32_t b = n->bucket;

	g_bucket_fill(&g->state_bucket, now);
	if (g->state_bucket.tokens <= 0)
		return;
	o = g_out_begin(g, l, G_FLAG_LINK, now);
	for (; b < G_BUCKETS && g_wire_size(&o) < ANSWER_BYTES; b++) {
		uint32_t theirs;

		memcpy(&theirs, n->buckets + b * 4, 4);
		if (GUINT32_FROM_LE(theirs) != g->buckets[b])
			answer_bucket(g, &o, b);
	}
	g_wire_pulled(&o, b % G_BUCKETS);
	g_out_send(g, &o, l->address, true, now);
}
