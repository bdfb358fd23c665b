/**
 * DOC: gossip_send
 *
 * Builds frames: the most important rows first, up to what the byte limit leaves.
 */
#include <msgpack.h>
#include <string.h>

#include "gossip/gossip_priv.h"

#define MEMBER_FRAME   (16 * 1024) /* bytes of a frame of the whole member table */
#define URGENT_DEBT    4096 /* bytes that urgent rows may take beyond the limit in one frame */
#define HEAVY_MIN      1024 /* tokens that must be left for heavy account rows */
#define LOAD_RESERVE   0.25 /* part of the burst that load rows leave to others */
#define MEMBER_RESERVE 0.1
#define MEMBER_ROOM    512 /* bytes that an urgent frame of instance rows should hold */

void g_token_bucket_refill(struct g_token_bucket *b, int64_t now)
{
	double dt = (double)(now - b->at) / (double)USEC_PER_SEC;

	if (dt <= 0)
		return;
	b->tokens = MIN(b->burst, b->tokens + b->rate * dt);
	b->at = now;
}

struct g_out g_out_begin(struct gossip *g, struct g_link *l, uint32_t flags, int64_t now)
{
	struct g_out o = { .link = l };
	struct g_header h = { 0 };
	msgpack_sbuffer *buffer = msgpack_sbuffer_new();

	o.buffer = buffer;
	o.packer = msgpack_packer_new(buffer, msgpack_sbuffer_write);
	g_strlcpy(h.id, g->params.id, sizeof(h.id));
	/* A neighbour that has answered knows the address. */
	if (!l || !l->has_head)
		g_strlcpy(h.address, g->params.address, sizeof(h.address));
	h.incarnation = g->incarnation;
	h.stamp = hlc_now(&g->clock, now + g->wall);
	h.domain = g->domain;
	h.flags = flags;
	if (g->configured)
		h.flags |= G_FLAG_CONFIGURED;
	if (l && l->peer == g->parent)
		h.flags |= G_FLAG_PARENT;
	if (l && l->drawn && !(flags & G_FLAG_UNLINK))
		h.flags |= G_FLAG_SELECTED;
	h.conf_digest = conf_digest(g->store);
	h.member_digest = g->member_digest;
	h.mark_digest = g->mark_digest;
	h.root = g->root;
	h.root_seq = g->root_seq;
	h.distance = g->distance;
	h.children = g_link_count_children(g);
	h.contact = g->contact;
	g_wire_header(&o, &h);
	return o;
}

void g_out_send(struct gossip *g, struct g_out *o, const char *address, bool state, int64_t now)
{
	msgpack_sbuffer *buffer = o->buffer;
	g_autoptr(GBytes) frame = g_wire_sign(g, buffer->data, buffer->size);
	/* 4 bytes of length go ahead of each frame. */
	size_t len = g_bytes_get_size(frame) + 4;
	struct g_token_bucket *b = state ? &g->state_bucket : &g->bucket;

	g_token_bucket_refill(b, now);
	b->tokens -= (double)len;
	g->stats.frames_sent++;
	g->stats.bytes_sent += len;
	if (state)
		g->stats.state_bytes_sent += len;
	msgpack_packer_free(o->packer);
	msgpack_sbuffer_free(buffer);
	g->events.send(g->events.arg, address, g_bytes_get_data(frame, NULL),
		       g_bytes_get_size(frame));
}

static void put_row(struct gossip *g, struct g_out *o, enum g_class c, uint32_t i, int64_t now)
{
	const struct conf_object *obj;

	switch (c) {
	case G_CONF:
		obj = conf_get(g->store, g_array_index(g->conf, struct g_conf_entry, i).key);
		g_wire_conf(o, obj->key, obj->version, obj->text);
		g->stats.objects_sent++;
		break;
	case G_LEAVING:
		g_wire_leaving(o, &g_array_index(g->marks, struct g_leaving_flag, i));
		break;
	case G_POISON:
		g_wire_poison(o, &g_array_index(g->poison, struct poison_mark, i));
		break;
	case G_MEMBER:
		g_wire_member(o, &((const struct g_member *)g->members->pdata[i])->inst);
		break;
	case G_HEALTH:
		g_wire_health(o, &g_array_index(g->health, struct g_health, i));
		break;
	case G_LOAD:
		g_wire_load(o, &g_array_index(g->load, struct g_load, i), now);
		g->stats.load_records_sent++;
		break;
	case G_CLASS_COUNT:
		break;
	}
}

/* Whether a row waits for this link; if none does, the class is done. */
static bool class_due(struct gossip *g, struct g_link *l, enum g_class c)
{
	if (g_class_all_sent(g, l, c))
		return false;
	for (uint32_t i = 0; i < g->rows[c].n; i++) {
		if (g_entry_pending(g, l, c, i))
			return true;
	}
	l->sent[c].done = g->rows[c].last;
	return false;
}

/* Sends waiting rows from the cursor on while the frame is below @limit. */
static void put_class(struct gossip *g, struct g_out *o, enum g_class c, size_t limit, int64_t now)
{
	struct g_link *l = o->link;
	struct g_sent *s = &l->sent[c];
	bool whole = s->cursor == 0;

	if (g_class_all_sent(g, l, c))
		return;
	for (uint32_t i = s->cursor; i < g->rows[c].n; i++) {
		if (!g_entry_pending(g, l, c, i))
			continue;
		if (g_wire_size(o) >= limit) {
			s->cursor = i;
			return;
		}
		put_row(g, o, c, i, now);
		g_entry_mark_sent(g, l, c, i);
	}
	s->cursor = 0;
	if (whole)
		s->done = g->rows[c].last;
}

static size_t positive(double v)
{
	return v > 0 ? (size_t)v : 0;
}

static void put_heavy(struct gossip *g, struct g_out *o)
{
	struct gossip_account rows[GOSSIP_ACCOUNTS_MAX];
	uint32_t n;

	if (o->link->peer == g->parent) {
		g_accounts_sum(g, rows, &n);
		if (n)
			g_wire_accounts(o, G_RECORD_ACCOUNTS_UP, rows, n);
	} else if (g_link_in_tree(g, o->link) && g->n_total) {
		g_wire_accounts(o, G_RECORD_ACCOUNTS_DOWN, g->total, g->n_total);
	}
}

static void put_load(struct gossip *g, struct g_out *o, int64_t now)
{
	struct g_link *l = o->link;
	uint32_t n_tree = 0;
	double left;

	if (l->sent[G_LOAD].cursor == 0 && now < l->load_at + G_LOAD_PERIOD)
		return;
	for (guint i = 0; i < g->links->len; i++)
		n_tree += g_link_in_tree(g, g->links->pdata[i]);
	if (l->sent[G_LOAD].cursor == 0)
		l->load_at = now;
	left = (g->bucket.tokens - g->bucket.burst * LOAD_RESERVE) / MAX(n_tree, 1);
	put_class(g, o, G_LOAD, g_wire_size(o) + positive(left - (double)g_wire_size(o)), now);
}

static void put_urgent(struct gossip *g, struct g_out *o, int64_t now)
{
	double tokens = g->bucket.tokens;
	size_t limit = positive(MAX(tokens, tokens + g->bucket.burst > 0 ? URGENT_DEBT : 0));

	put_class(g, o, G_CONF, limit, now);
	put_class(g, o, G_LEAVING, limit, now);
	put_class(g, o, G_POISON, limit, now);
	if (now < o->link->member_at + G_MEMBER_GAP)
		return;
	o->link->member_at = now;
	put_class(g, o, G_MEMBER, positive(tokens - g->bucket.burst * MEMBER_RESERVE), now);
}

static bool urgent_due(struct gossip *g, struct g_link *l, int64_t now)
{
	double tokens = g->bucket.tokens;

	/* A frame that has no room for a row would only use up more of the limit. */
	if (now < l->urgent_at + G_URGENT_GAP || tokens + g->bucket.burst <= 0)
		return false;
	if (class_due(g, l, G_CONF) || class_due(g, l, G_LEAVING) || class_due(g, l, G_POISON))
		return true;
	return tokens > g->bucket.burst * MEMBER_RESERVE + MEMBER_ROOM &&
	       now >= l->member_at + G_MEMBER_GAP && class_due(g, l, G_MEMBER);
}

void g_send_frame(struct gossip *g, struct g_link *l, uint32_t flags, int64_t now)
{
	struct g_out o = g_out_begin(g, l, flags ? flags : G_FLAG_LINK, now);

	g_token_bucket_refill(&g->bucket, now);
	if (!(flags & (G_FLAG_UNLINK | G_FLAG_LEAVE))) {
		put_urgent(g, &o, now);
		put_class(g, &o, G_HEALTH,
			  positive(g->bucket.tokens - g->bucket.burst * MEMBER_RESERVE), now);
		if (g->bucket.tokens > HEAVY_MIN && now >= l->heavy_at + G_ACCOUNTS_PERIOD) {
			put_heavy(g, &o);
			l->heavy_at = now;
		}
		if (g_link_in_tree(g, l))
			put_load(g, &o, now);
	}
	g_out_send(g, &o, l->address, false, now);
}

void g_send_urgent(struct gossip *g, int64_t now)
{
	g_token_bucket_refill(&g->bucket, now);
	for (guint i = 0; i < g->links->len; i++) {
		struct g_link *l = g->links->pdata[i];
		struct g_out o;

		if (!urgent_due(g, l, now))
			continue;
		l->urgent_at = now;
		o = g_out_begin(g, l, G_FLAG_LINK, now);
		g_token_bucket_refill(&g->bucket, now);
		put_urgent(g, &o, now);
		g_out_send(g, &o, l->address, false, now);
	}
}

void g_send_member(struct gossip *g, const char *address, uint32_t flags, uint64_t about,
		   int64_t now)
{
	struct g_out o = g_out_begin(g, NULL, flags, now);
	const struct g_member *m = g_member_find(g, about);

	if (m)
		g_wire_member(&o, &m->inst);
	g_out_send(g, &o, address, false, now);
}

void g_send_members(struct gossip *g, struct g_link *l, const char *address, int64_t now)
{
	guint i = 0;

	g_token_bucket_refill(&g->state_bucket, now);
	if (g->state_bucket.tokens <= 0)
		return;
	do {
		struct g_out o = g_out_begin(g, l, l ? G_FLAG_LINK : 0, now);

		for (; i < g->members->len && g_wire_size(&o) < MEMBER_FRAME; i++)
			g_wire_member(&o, &((const struct g_member *)g->members->pdata[i])->inst);
		g_out_send(g, &o, address, true, now);
	} while (i < g->members->len);
}

void g_send_pull(struct gossip *g, struct g_link *l, int64_t now)
{
	struct g_out o = g_out_begin(g, l, G_FLAG_LINK, now);

	g_wire_pull(&o, g->buckets, g->pull_bucket);
	g_out_send(g, &o, l->address, true, now);
}
