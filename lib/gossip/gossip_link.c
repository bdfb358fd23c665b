/**
 * DOC: gossip_link
 *
 * The overlay and the tree. An instance draws its successor and its predecessor on the ring of the
 * hashes in its failure domain, so that each domain is connected, the peer of its domain with the
 * highest rendezvous weight, and the one of all other domains. A drawn peer answers, so a link
 * serves both ends. Bulk rows travel only along a spanning tree of the links.
 */
#include <string.h>

#include "gossip/gossip_priv.h"

#define CHILDREN_MAX 2 /* of one instance in the tree, if its neighbours have another way */
#define RECENT	     8 /* ticks that the root's number may lag */

struct g_link *g_link_find(const struct gossip *g, uint64_t peer)
{
	for (guint i = 0; i < g->links->len; i++) {
		struct g_link *l = g->links->pdata[i];

		if (l->peer == peer)
			return l;
	}
	return NULL;
}

void g_link_free(void *p)
{
	struct g_link *l = p;

	g_sent_clear(l);
	g_free(l->address);
	g_free(l);
}

struct g_link *g_link_get_or_add(struct gossip *g, const struct gossip_instance *i, int64_t now)
{
	struct g_link *l = g_link_find(g, i->hash);

	if (l) {
		if (strcmp(l->address, i->address) != 0) {
			g_free(l->address);
			l->address = g_strdup(i->address);
		}
		return l;
	}
	l = g_new0(struct g_link, 1);
	l->peer = i->hash;
	l->address = g_strdup(i->address);
	l->domain = i->domain;
	l->created = now;
	l->heard = now;
	l->next_frame = now;
	/* The digests show whether the peer lacks an object or a member. */
	g_class_assume_sent(g, l, G_CONF);
	g_class_assume_sent(g, l, G_MEMBER);
	g_ptr_array_add(g->links, l);
	return l;
}

/* Same weight from both ends, so that many draws meet in one link. */
static uint64_t link_weight(uint64_t a, uint64_t b)
{
	return a < b ? hash_pair(a, b) : hash_pair(b, a);
}

struct draw {
	const struct gossip_instance *next; /* smallest hash above the own, else the smallest */
	const struct gossip_instance *prev;
	const struct gossip_instance *chord;
	const struct gossip_instance *remote;
};

static void draw_one(const struct gossip *g, struct draw *d, const struct gossip_instance *i)
{
	uint64_t w = link_weight(g->self, i->hash);
	const struct gossip_instance **best = i->domain == g->domain ? &d->chord : &d->remote;

	if (!*best || w > link_weight(g->self, (*best)->hash))
		*best = i;
	if (i->domain != g->domain)
		return;
	/* Distances on the ring wrap around. */
	if (!d->next || i->hash - g->self < d->next->hash - g->self)
		d->next = i;
	if (!d->prev || g->self - i->hash < g->self - d->prev->hash)
		d->prev = i;
}

static void link_drop(struct gossip *g, guint i, int64_t now)
{
	struct g_link *l = g->links->pdata[i];
	g_autofree char *address = g_strdup(l->address);

	g_send_frame(g, l, G_FLAG_UNLINK, now);
	if (g->pull_peer == l->peer)
		g->pull_peer = 0;
	g_ptr_array_remove_index_fast(g->links, i);
	g->events.unlink(g->events.arg, address);
}

static void draw_link(struct gossip *g, const struct gossip_instance *i, int64_t now)
{
	struct g_link *l;

	if (!i)
		return;
	l = g_link_get_or_add(g, i, now);
	if (!l->drawn && now >= l->held_until)
		l->heard = now;
	l->drawn = true;
}

void g_link_select(struct gossip *g, int64_t now)
{
	struct draw d = { 0 };

	for (guint i = 1; i < g->members->len; i++) {
		const struct g_member *m = g->members->pdata[i];

		if (m->inst.state != GOSSIP_DEAD)
			draw_one(g, &d, &m->inst);
	}
	for (guint i = 0; i < g->links->len; i++)
		((struct g_link *)g->links->pdata[i])->drawn = false;
	draw_link(g, d.next, now);
	draw_link(g, d.prev, now);
	draw_link(g, d.chord, now);
	draw_link(g, d.remote, now);
	g->overlay_changed = false;
	g->drawn_at = now;
}

static bool peer_dead(const struct gossip *g, const struct g_link *l)
{
	const struct g_member *m = g_member_find(g, l->peer);

	return !m || m->inst.state == GOSSIP_DEAD;
}

void g_link_tick(struct gossip *g, int64_t now)
{
	if (g->overlay_changed && now >= g->drawn_at + G_SELECT_GAP)
		g_link_select(g, now);
	for (guint i = g->links->len; i > 0; i--) {
		struct g_link *l = g->links->pdata[i - 1];

		if (peer_dead(g, l) || (!l->drawn && now >= l->held_until))
			link_drop(g, i - 1, now);
		else if (now - l->heard >= G_INACTIVITY_TIMEOUT)
			g_member_suspect(g, l->peer, now);
	}
}

uint32_t g_link_count_children(const struct gossip *g)
{
	uint32_t n = 0;

	for (guint i = 0; i < g->links->len; i++) {
		const struct g_link *l = g->links->pdata[i];

		n += l->has_head && l->head.flags & G_FLAG_PARENT;
	}
	return n;
}

bool g_link_in_tree(const struct gossip *g, const struct g_link *l)
{
	return l->peer == g->parent || (l->has_head && l->head.flags & G_FLAG_PARENT);
}

static bool root_usable(const struct gossip *g, uint64_t root, uint64_t seq)
{
	const struct g_member *m = g_member_find(g, root);

	if (root == g->lost_root && seq <= g->lost_seq)
		return false;
	return m && m->inst.state != GOSSIP_DEAD;
}

/* The lowest root that a neighbour knows, and its newest number. */
static void root_find(struct gossip *g, uint64_t *root, uint64_t *seq)
{
	*root = g->self;
	*seq = 0;
	for (guint i = 0; i < g->links->len; i++) {
		const struct g_link *l = g->links->pdata[i];

		if (!l->has_head || !root_usable(g, l->head.root, l->head.root_seq))
			continue;
		if (l->head.root < *root) {
			*root = l->head.root;
			*seq = l->head.root_seq;
		} else if (l->head.root == *root && *root != g->self) {
			*seq = MAX(*seq, l->head.root_seq);
		}
	}
}

static bool parent_usable(const struct gossip *g, const struct g_link *l)
{
	const struct g_header *h = &l->head;

	/* A recent number shows that the way to the root still exists, so that no loop lasts. */
	return l->has_head && h->root == g->root && !(h->flags & G_FLAG_PARENT) &&
	       h->root_seq + RECENT >= g->root_seq;
}

/* Rank of a neighbour as parent, the lowest is the best: one with room, then the nearest one. */
static uint64_t parent_rank(const struct gossip *g, const struct g_link *l)
{
	bool own = l->peer == g->parent;
	bool full = l->head.children >= CHILDREN_MAX + (uint32_t)own;

	return (uint64_t)full << 32 | (uint64_t)l->head.distance << 1 | !own;
}

/* The nearest neighbour with room for a child: an instance with many children would have to send
 * each load row to all of them. */
static void parent_find(struct gossip *g)
{
	struct g_link *own = g->parent ? g_link_find(g, g->parent) : NULL;
	const struct g_link *best = NULL;

	if (own && !parent_usable(g, own))
		own = NULL;
	for (guint i = 0; i < g->links->len; i++) {
		const struct g_link *l = g->links->pdata[i];

		/* Nobody in the own subtree is as near to the root as this instance. */
		if (!parent_usable(g, l) || (own && l->head.distance > own->head.distance + 1))
			continue;
		if (!best || parent_rank(g, l) < parent_rank(g, best))
			best = l;
	}
	/* The children of a full parent don't all leave at once. */
	if (own && best != own && rng_below(&g->rng, 2))
		best = own;
	g->parent = best ? best->peer : 0;
	g->distance = best ? best->head.distance + 1 : UINT16_MAX;
}

/* Called every tick of 500 ms. */
void g_tree_tick(struct gossip *g, int64_t now)
{
	uint64_t root;
	uint64_t seq;

	root_find(g, &root, &seq);
	if (root == g->self) {
		if (g->root != g->self)
			g->n_total = 0;
		g->root = g->self;
		g->root_seq = MAX(g->root_seq + 1, (uint64_t)((now + g->wall) / G_TICK));
		g->root_at = now;
		g->parent = 0;
		g->distance = 0;
		return;
	}
	if (root != g->root || seq > g->root_seq) {
		g->root = root;
		g->root_seq = seq;
		g->root_at = now;
	} else if (now - g->root_at >= G_ROOT_TIMEOUT) {
		g->lost_root = root;
		g->lost_seq = g->root_seq;
	}
	parent_find(g);
}
