/**
 * DOC: gossip_link
 *
 * The overlay and the tree. An instance selects up to four neighbours: its successor and its
 * predecessor on the ring of the id hashes of its failure domain, so that each domain is connected,
 * and the peers with the highest rendezvous weight inside and outside of its domain. A selected
 * peer sends frames back, so a link serves both ends. Load and account records travel only along a
 * spanning tree of the links.
 */
#include <string.h>

#include "gossip/gossip_priv.h"

#define CHILDREN_MAX	 2 /* of one instance, if its neighbours have another path to the root */
#define ROOT_SEQ_LAG_MAX 8 /* ticks that the root_seq of a parent may lag */

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
	l->last_received = now;
	l->next_frame = now;
	/* The digests show whether the peer lacks an object or a member. */
	g_class_assume_sent(g, l, G_CONF);
	g_class_assume_sent(g, l, G_MEMBER);
	g_ptr_array_add(g->links, l);
	return l;
}

/* The weight is the same from both ends, so that both often select the same link. */
static uint64_t link_weight(uint64_t a, uint64_t b)
{
	return a < b ? hash_pair(a, b) : hash_pair(b, a);
}

struct selection {
	const struct gossip_instance *next; /* next higher hash; wraps around to the lowest */
	const struct gossip_instance *prev; /* next lower hash; wraps around to the highest */
	const struct gossip_instance *chord; /* highest weight in the own domain */
	const struct gossip_instance *remote; /* highest weight in other domains */
};

static void consider_peer(const struct gossip *g, struct selection *s,
			  const struct gossip_instance *i)
{
	uint64_t w = link_weight(g->self, i->hash);
	const struct gossip_instance **best = i->domain == g->domain ? &s->chord : &s->remote;

	if (!*best || w > link_weight(g->self, (*best)->hash))
		*best = i;
	if (i->domain != g->domain)
		return;
	/* Distances on the ring wrap around. */
	if (!s->next || i->hash - g->self < s->next->hash - g->self)
		s->next = i;
	if (!s->prev || g->self - i->hash < g->self - s->prev->hash)
		s->prev = i;
}

static void link_remove(struct gossip *g, guint i, int64_t now)
{
	struct g_link *l = g->links->pdata[i];
	g_autofree char *address = g_strdup(l->address);

	g_send_frame(g, l, G_FLAG_UNLINK, now);
	if (g->pull_peer == l->peer)
		g->pull_peer = 0;
	g_ptr_array_remove_index_fast(g->links, i);
	g->events.unlink(g->events.arg, address);
}

static void select_link(struct gossip *g, const struct gossip_instance *i, int64_t now)
{
	struct g_link *l;

	if (!i)
		return;
	l = g_link_get_or_add(g, i, now);
	/* On a link that neither end kept the peer may have stopped sending. */
	if (!l->selected && now >= l->keep_until)
		l->last_received = now;
	l->selected = true;
}

void g_link_select(struct gossip *g, int64_t now)
{
	struct selection s = { 0 };

	for (guint i = 1; i < g->members->len; i++) {
		const struct g_member *m = g->members->pdata[i];

		if (m->inst.state != GOSSIP_DEAD)
			consider_peer(g, &s, &m->inst);
	}
	for (guint i = 0; i < g->links->len; i++)
		((struct g_link *)g->links->pdata[i])->selected = false;
	select_link(g, s.next, now);
	select_link(g, s.prev, now);
	select_link(g, s.chord, now);
	select_link(g, s.remote, now);
	g->overlay_changed = false;
	g->selected_at = now;
}

static bool peer_dead(const struct gossip *g, const struct g_link *l)
{
	const struct g_member *m = g_member_find(g, l->peer);

	return !m || m->inst.state == GOSSIP_DEAD;
}

void g_link_tick(struct gossip *g, int64_t now)
{
	if (g->overlay_changed && now >= g->selected_at + G_SELECT_GAP)
		g_link_select(g, now);
	for (guint i = g->links->len; i > 0; i--) {
		struct g_link *l = g->links->pdata[i - 1];

		if (peer_dead(g, l) || (!l->selected && now >= l->keep_until))
			link_remove(g, i - 1, now);
		else if (now - l->last_received >= G_INACTIVITY_TIMEOUT)
			g_member_suspect(g, l->peer, now);
	}
}

uint32_t g_link_count_children(const struct gossip *g)
{
	uint32_t n = 0;

	for (guint i = 0; i < g->links->len; i++) {
		const struct g_link *l = g->links->pdata[i];

		n += l->has_header && l->header.flags & G_FLAG_PARENT;
	}
	return n;
}

bool g_link_in_tree(const struct gossip *g, const struct g_link *l)
{
	return l->peer == g->parent || (l->has_header && l->header.flags & G_FLAG_PARENT);
}

static bool root_usable(const struct gossip *g, uint64_t root, uint64_t seq)
{
	const struct g_member *m = g_member_find(g, root);

	if (root == g->expired_root && seq <= g->expired_seq)
		return false;
	return m && m->inst.state != GOSSIP_DEAD;
}

/* The lowest of this instance and the roots that neighbours report, with its newest root_seq. */
static void select_root(struct gossip *g, uint64_t *root, uint64_t *seq)
{
	*root = g->self;
	*seq = 0;
	for (guint i = 0; i < g->links->len; i++) {
		const struct g_link *l = g->links->pdata[i];

		if (!l->has_header || !root_usable(g, l->header.root, l->header.root_seq))
			continue;
		if (l->header.root < *root) {
			*root = l->header.root;
			*seq = l->header.root_seq;
		} else if (l->header.root == *root && *root != g->self) {
			*seq = MAX(*seq, l->header.root_seq);
		}
	}
}

static bool parent_usable(const struct gossip *g, const struct g_link *l)
{
	const struct g_header *h = &l->header;

	/* A recent root_seq shows that the path to the root still exists: no loop persists. */
	return l->has_header && h->root == g->root && !(h->flags & G_FLAG_PARENT) &&
	       h->root_seq + ROOT_SEQ_LAG_MAX >= g->root_seq;
}

/* Cost of a neighbour as parent: those with CHILDREN_MAX other children last, then by distance to
 * the root, then the current parent first. */
static uint64_t parent_cost(const struct gossip *g, const struct g_link *l)
{
	bool is_parent = l->peer == g->parent;
	bool full = l->header.children >= CHILDREN_MAX + (uint32_t)is_parent;

	return (uint64_t)full << 32 | (uint64_t)l->header.distance << 1 | !is_parent;
}

/* Selects the nearest neighbour below CHILDREN_MAX: an instance with many children would have to
 * send each load record to all of them. */
static void select_parent(struct gossip *g)
{
	struct g_link *current = g->parent ? g_link_find(g, g->parent) : NULL;
	const struct g_link *best = NULL;

	if (current && !parent_usable(g, current))
		current = NULL;
	for (guint i = 0; i < g->links->len; i++) {
		const struct g_link *l = g->links->pdata[i];

		/* Excludes the own subtree, which is farther from the root than this instance. */
		if (!parent_usable(g, l) ||
		    (current && l->header.distance > current->header.distance + 1))
			continue;
		if (!best || parent_cost(g, l) < parent_cost(g, best))
			best = l;
	}
	/* At random, so that the children of a full parent don't all leave in the same tick. */
	if (current && best != current && rng_below(&g->rng, 2))
		best = current;
	g->parent = best ? best->peer : 0;
	g->distance = best ? best->header.distance + 1 : UINT16_MAX;
}

/* Called every G_TICK. */
void g_tree_tick(struct gossip *g, int64_t now)
{
	uint64_t root;
	uint64_t seq;

	select_root(g, &root, &seq);
	if (root == g->self) {
		if (g->root != g->self)
			g->n_total_accounts = 0;
		g->root = g->self;
		g->root_seq = MAX(g->root_seq + 1, (uint64_t)((now + g->wall_offset) / G_TICK));
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
		g->expired_root = root;
		g->expired_seq = g->root_seq;
	}
	select_parent(g);
}
