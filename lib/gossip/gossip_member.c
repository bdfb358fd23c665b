/**
 * DOC: gossip_member
 *
 * Instance membership. Neighbours in the overlay monitor each other's frames. An inactive one is
 * suspected, which is replicated to all instances, and is dead unless it refutes with a higher
 * incarnation in time. So no heartbeat travels further than one link, and the traffic doesn't grow
 * with the number of instances.
 */
#include <string.h>

#include "gossip/gossip_priv.h"

struct g_member *g_member_find(const struct gossip *g, uint64_t hash)
{
	uint32_t i = GPOINTER_TO_UINT(g_hash_table_lookup(g->member_index, &hash));

	return i ? g->members->pdata[i - 1] : NULL;
}

void g_member_free(void *p)
{
	struct g_member *m = p;

	g_free(m->inst.id);
	g_free(m->inst.address);
	g_free(m);
}

/* Dead instances add 0 like unknown ones, since their entries are removed at different times. */
static uint32_t member_digest(const struct gossip_instance *i)
{
	if (i->state == GOSSIP_DEAD)
		return 0;
	return (uint32_t)hash_pair(hash_pair(i->hash, i->incarnation), i->state);
}

static struct g_member *member_add(struct gossip *g, const struct gossip_instance *i)
{
	struct g_member *m = g_new0(struct g_member, 1);
	uint64_t *key = g_new(uint64_t, 1);

	m->inst = *i;
	m->inst.id = g_strdup(i->id);
	m->inst.address = g_strdup(i->address);
	m->inst.incarnation = 0;
	m->inst.state = GOSSIP_DEAD;
	g_ptr_array_add(g->members, m);
	*key = i->hash;
	g_hash_table_insert(g->member_index, key, GUINT_TO_POINTER(g->members->len));
	return m;
}

static uint32_t member_index(const struct gossip *g, uint64_t hash)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(g->member_index, &hash)) - 1;
}

static void member_set(struct gossip *g, struct g_member *m, uint64_t incarnation,
		       enum gossip_state state, uint64_t source, int64_t now)
{
	bool is_live = state != GOSSIP_DEAD;
	bool was_live = m->inst.state != GOSSIP_DEAD && m->inst.incarnation != 0;

	g->member_digest -= member_digest(&m->inst);
	m->inst.incarnation = incarnation;
	m->inst.state = state;
	m->state_since = now;
	g->member_digest += member_digest(&m->inst);
	g_entry_changed(g, G_MEMBER, member_index(g, m->inst.hash), source);
	if (is_live != was_live)
		g->overlay_changed = true;
	g->events.instance(g->events.arg, &m->inst);
}

/* Refutes an entry in which this instance is dead or suspected, or has a higher incarnation, which
 * is from an earlier start. */
static void refute(struct gossip *g, const struct gossip_instance *i, int64_t now)
{
	struct g_member *self = g->members->pdata[0];

	if (g->leaving || i->incarnation < self->inst.incarnation)
		return;
	if (i->incarnation == self->inst.incarnation && i->state == GOSSIP_ALIVE)
		return;
	g->incarnation = i->incarnation + 1;
	member_set(g, self, g->incarnation, GOSSIP_ALIVE, 0, now);
}

bool g_member_apply(struct gossip *g, const struct gossip_instance *i, uint64_t source, int64_t now)
{
	struct g_member *m;

	if (i->hash == g->self) {
		refute(g, i, now);
		return false;
	}
	m = g_member_find(g, i->hash);
	if (!m) {
		if (g->members->len >= G_ENTRIES_MAX || i->state == GOSSIP_DEAD)
			return false;
		m = member_add(g, i);
		g->member_added_at = now;
	} else if (i->incarnation < m->inst.incarnation ||
		   (i->incarnation == m->inst.incarnation && i->state <= m->inst.state)) {
		return false;
	}
	/* After a restart the address or the failure domain may be different. */
	if (i->incarnation > m->inst.incarnation) {
		g_free(m->inst.address);
		m->inst.address = g_strdup(i->address);
		m->inst.domain = i->domain;
	}
	/* A report that a live instance is dead only makes it suspected, so that it can refute:
	 * after a partition each side has the other recorded as dead. */
	if (i->state == GOSSIP_DEAD && source != i->hash && m->inst.state != GOSSIP_DEAD) {
		if (m->inst.state == GOSSIP_SUSPECT && i->incarnation == m->inst.incarnation)
			return false;
		member_set(g, m, i->incarnation, GOSSIP_SUSPECT, source, now);
		return true;
	}
	member_set(g, m, i->incarnation, i->state, source, now);
	return true;
}

void g_member_suspect(struct gossip *g, uint64_t hash, int64_t now)
{
	struct g_member *m = g_member_find(g, hash);

	if (m && m->inst.state == GOSSIP_ALIVE)
		member_set(g, m, m->inst.incarnation, GOSSIP_SUSPECT, 0, now);
}

static void member_remove(struct gossip *g, guint i)
{
	struct g_member *m = g->members->pdata[i];
	struct g_member *last = g->members->pdata[g->members->len - 1];
	uint64_t *key = g_new(uint64_t, 1);

	g_hash_table_remove(g->member_index, &m->inst.hash);
	*key = last->inst.hash;
	if (last != m)
		g_hash_table_replace(g->member_index, key, GUINT_TO_POINTER(i + 1));
	else
		g_free(key);
	g_ptr_array_remove_index_fast(g->members, i);
	/* The moved entry takes a new number, since links store numbers by index. */
	if (last != m)
		g_entry_changed(g, G_MEMBER, i, 0);
	g->changes[G_MEMBER].n = g->members->len;
}

void g_member_tick(struct gossip *g, int64_t now)
{
	for (guint i = g->members->len; i > 1; i--) {
		struct g_member *m = g->members->pdata[i - 1];

		if (m->inst.state == GOSSIP_SUSPECT && now - m->state_since >= G_SUSPECT_TIMEOUT)
			member_set(g, m, m->inst.incarnation, GOSSIP_DEAD, 0, now);
		else if (m->inst.state == GOSSIP_DEAD && now - m->state_since >= G_DEAD_RETENTION)
			member_remove(g, i - 1);
	}
}

uint32_t g_member_position(const struct gossip *g, uint64_t hash, bool with_suspects)
{
	uint64_t own = hash_pair(g->self, hash);
	uint32_t position = 0;

	for (guint i = 1; i < g->members->len; i++) {
		const struct g_member *m = g->members->pdata[i];

		if (m->inst.domain != g->domain || m->inst.state == GOSSIP_DEAD)
			continue;
		if (m->inst.state == GOSSIP_SUSPECT && !with_suspects)
			continue;
		position += hash_pair(m->inst.hash, hash) > own;
	}
	return position;
}

void gossip_count_live(const struct gossip *g, uint32_t *n_all, uint32_t *n_domain)
{
	*n_all = 1;
	*n_domain = 1;
	for (guint i = 1; i < g->members->len; i++) {
		const struct g_member *m = g->members->pdata[i];

		if (m->inst.state == GOSSIP_DEAD)
			continue;
		(*n_all)++;
		*n_domain += m->inst.domain == g->domain;
	}
}

uint32_t gossip_position(const struct gossip *g, uint64_t hash)
{
	return g_member_position(g, hash, false);
}

void gossip_each(const struct gossip *g, void (*fn)(void *arg, const struct gossip_instance *i),
		 void *arg)
{
	for (guint i = 0; i < g->members->len; i++)
		fn(arg, &((const struct g_member *)g->members->pdata[i])->inst);
}
