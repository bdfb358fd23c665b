/**
 * DOC: gossip_send
 *
 * Builds frames: records in the order of their priority, up to the byte limit.
 */
#include <msgpack.h>
#include <string.h>

#include "gossip/gossip_priv.h"

#define MEMBER_FRAME_BYTES	(16 * 1024) /* a frame of the member table ends at this size */
#define URGENT_DEBT_BYTES	4096 /* that urgent records in one frame may exceed the limit by */
#define ACCOUNTS_MIN_BYTES	1024 /* account records are sent if more is left of the limit */
#define LOAD_RESERVE_FRACTION	0.25 /* of the burst, not used by load records */
#define MEMBER_RESERVE_FRACTION 0.1 /* same by member and health records */
#define MEMBER_MIN_BYTES	512 /* no urgent frame for member records with less space */

void g_token_bucket_refill(struct g_token_bucket *b, int64_t now)
{
	double dt = (double)(now - b->refilled_at) / (double)USEC_PER_SEC;

	if (dt <= 0)
		return;
	b->tokens = MIN(b->burst, b->tokens + b->rate * dt);
	b->refilled_at = now;
}

struct g_out g_out_begin(struct gossip *g, struct g_link *l, uint32_t flags, int64_t now)
{
	struct g_out o = { .link = l };
	struct g_header h = { 0 };
	msgpack_sbuffer *buffer = msgpack_sbuffer_new();

	o.buffer = buffer;
	o.packer = msgpack_packer_new(buffer, msgpack_sbuffer_write);
	g_strlcpy(h.id, g->params.id, sizeof(h.id));
	/* A neighbour that has responded has the address. */
	if (!l || !l->has_header)
		g_strlcpy(h.address, g->params.address, sizeof(h.address));
	h.incarnation = g->incarnation;
	h.stamp = hlc_now(&g->clock, now + g->wall_offset);
	h.domain = g->domain;
	h.flags = flags;
	if (g->configured)
		h.flags |= G_FLAG_CONFIGURED;
	if (l && l->peer == g->parent)
		h.flags |= G_FLAG_PARENT;
	if (l && l->selected && !(flags & G_FLAG_UNLINK))
		h.flags |= G_FLAG_SELECTED;
	h.conf_digest = conf_digest(g->store);
	h.member_digest = g->member_digest;
	h.leaving_poison_digest = g->leaving_poison_digest;
	h.root = g->root;
	h.root_seq = g->root_seq;
	h.distance = g->distance;
	h.children = g_link_count_children(g);
	h.platform_contact = g->platform_contact;
	g_wire_header(&o, &h);
	return o;
}

void g_out_send(struct gossip *g, struct g_out *o, const char *address, bool state, int64_t now)
{
	msgpack_sbuffer *buffer = o->buffer;
	g_autoptr(GBytes) frame = g_wire_sign(g, buffer->data, buffer->size);
	/* Each frame is preceded by 4 bytes of length. */
	size_t len = g_bytes_get_size(frame) + 4;
	struct g_token_bucket *b = state ? &g->state_byte_limit : &g->byte_limit;

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

static void put_entry(struct gossip *g, struct g_out *o, enum g_class c, uint32_t i, int64_t now)
{
	const struct conf_object *obj;

	switch (c) {
	case G_CONF:
		obj = conf_get(g->store, g_array_index(g->conf, struct g_conf_entry, i).key);
		g_wire_conf(o, obj->key, obj->version, obj->text);
		g->stats.objects_sent++;
		break;
	case G_LEAVING:
		g_wire_leaving(o, &g_array_index(g->leaving_flags, struct g_leaving_flag, i));
		break;
	case G_POISON:
		g_wire_poison(o, &g_array_index(g->poison, struct poison_record, i));
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

/* Whether an entry is pending for this link; if none is, updates complete_seq. */
static bool class_pending(struct gossip *g, struct g_link *l, enum g_class c)
{
	if (g_class_all_sent(g, l, c))
		return false;
	for (uint32_t i = 0; i < g->changes[c].n; i++) {
		if (g_entry_pending(g, l, c, i))
			return true;
	}
	l->sent[c].complete_seq = g->changes[c].last_seq;
	return false;
}

/* Adds pending entries from the cursor on while the frame is below @limit bytes. */
static void put_class(struct gossip *g, struct g_out *o, enum g_class c, size_t limit, int64_t now)
{
	struct g_link *l = o->link;
	struct g_sent *s = &l->sent[c];
	bool from_start = s->cursor == 0;

	if (g_class_all_sent(g, l, c))
		return;
	for (uint32_t i = s->cursor; i < g->changes[c].n; i++) {
		if (!g_entry_pending(g, l, c, i))
			continue;
		if (g_wire_size(o) >= limit) {
			s->cursor = i;
			return;
		}
		put_entry(g, o, c, i, now);
		g_entry_mark_sent(g, l, c, i);
	}
	s->cursor = 0;
	if (from_start)
		s->complete_seq = g->changes[c].last_seq;
}

static size_t positive(double v)
{
	return v > 0 ? (size_t)v : 0;
}

static void put_accounts(struct gossip *g, struct g_out *o)
{
	struct gossip_account accounts[GOSSIP_ACCOUNTS_MAX];
	uint32_t n;

	if (o->link->peer == g->parent) {
		g_accounts_sum(g, accounts, &n);
		if (n)
			g_wire_accounts(o, G_RECORD_ACCOUNTS_UP, accounts, n);
	} else if (g_link_in_tree(g, o->link) && g->n_total_accounts) {
		g_wire_accounts(o, G_RECORD_ACCOUNTS_DOWN, g->total_accounts, g->n_total_accounts);
	}
}

static void put_load(struct gossip *g, struct g_out *o, int64_t now)
{
	struct g_link *l = o->link;
	uint32_t n_tree = 0;
	double left;

	if (l->sent[G_LOAD].cursor == 0 && now < l->load_at + G_LOAD_PERIOD)
		return;
	/* All links of the tree share the bytes. */
	for (guint i = 0; i < g->links->len; i++)
		n_tree += g_link_in_tree(g, g->links->pdata[i]);
	if (l->sent[G_LOAD].cursor == 0)
		l->load_at = now;
	left = (g->byte_limit.tokens - g->byte_limit.burst * LOAD_RESERVE_FRACTION) /
	       MAX(n_tree, 1);
	put_class(g, o, G_LOAD, g_wire_size(o) + positive(left - (double)g_wire_size(o)), now);
}

static void put_urgent(struct gossip *g, struct g_out *o, int64_t now)
{
	double tokens = g->byte_limit.tokens;
	size_t limit =
		positive(MAX(tokens, tokens + g->byte_limit.burst > 0 ? URGENT_DEBT_BYTES : 0));

	put_class(g, o, G_CONF, limit, now);
	put_class(g, o, G_LEAVING, limit, now);
	put_class(g, o, G_POISON, limit, now);
	if (now < o->link->member_at + G_MEMBER_GAP)
		return;
	o->link->member_at = now;
	put_class(g, o, G_MEMBER, positive(tokens - g->byte_limit.burst * MEMBER_RESERVE_FRACTION),
		  now);
}

static bool urgent_pending(struct gossip *g, struct g_link *l, int64_t now)
{
	double tokens = g->byte_limit.tokens;

	/* A frame without space for a record would only use up more of the limit. */
	if (now < l->urgent_at + G_URGENT_GAP || tokens + g->byte_limit.burst <= 0)
		return false;
	if (class_pending(g, l, G_CONF) || class_pending(g, l, G_LEAVING) ||
	    class_pending(g, l, G_POISON))
		return true;
	return tokens > g->byte_limit.burst * MEMBER_RESERVE_FRACTION + MEMBER_MIN_BYTES &&
	       now >= l->member_at + G_MEMBER_GAP && class_pending(g, l, G_MEMBER);
}

void g_send_frame(struct gossip *g, struct g_link *l, uint32_t flags, int64_t now)
{
	struct g_out o = g_out_begin(g, l, flags ? flags : G_FLAG_LINK, now);

	g_token_bucket_refill(&g->byte_limit, now);
	if (!(flags & (G_FLAG_UNLINK | G_FLAG_LEAVE))) {
		put_urgent(g, &o, now);
		put_class(g, &o, G_HEALTH,
			  positive(g->byte_limit.tokens -
				   g->byte_limit.burst * MEMBER_RESERVE_FRACTION),
			  now);
		if (g->byte_limit.tokens > ACCOUNTS_MIN_BYTES &&
		    now >= l->accounts_at + G_ACCOUNTS_PERIOD) {
			put_accounts(g, &o);
			l->accounts_at = now;
		}
		if (g_link_in_tree(g, l))
			put_load(g, &o, now);
	}
	g_out_send(g, &o, l->address, false, now);
}

void g_send_urgent(struct gossip *g, int64_t now)
{
	g_token_bucket_refill(&g->byte_limit, now);
	for (guint i = 0; i < g->links->len; i++) {
		struct g_link *l = g->links->pdata[i];
		struct g_out o;

		if (!urgent_pending(g, l, now))
			continue;
		l->urgent_at = now;
		o = g_out_begin(g, l, G_FLAG_LINK, now);
		g_token_bucket_refill(&g->byte_limit, now);
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

	g_token_bucket_refill(&g->state_byte_limit, now);
	if (g->state_byte_limit.tokens <= 0)
		return;
	do {
		struct g_out o = g_out_begin(g, l, l ? G_FLAG_LINK : 0, now);

		for (; i < g->members->len && g_wire_size(&o) < MEMBER_FRAME_BYTES; i++)
			g_wire_member(&o, &((const struct g_member *)g->members->pdata[i])->inst);
		g_out_send(g, &o, address, true, now);
	} while (i < g->members->len);
}

void g_send_pull(struct gossip *g, struct g_link *l, int64_t now)
{
	struct g_out o = g_out_begin(g, l, G_FLAG_LINK, now);

	g_wire_pull(&o, g->conf_buckets, g->pull_bucket);
	g_out_send(g, &o, l->address, true, now);
}
