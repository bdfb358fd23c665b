#include "member/member.h"

#include <glib.h>
#include <string.h>

#define MEMBER_LIMIT 4096

struct member {
	struct member_params params;
	struct tab rows; /* struct member_row */
	GHashTable *by_id; /* id borrowed from the row -> handle */
};

static const char *const state_names[MEMBER_STATE_COUNT] = {
#define X(name, text) text,
	MEMBER_STATE_TABLE(X)
#undef X
};

struct member *member_new(const struct member_params *p)
{
	struct member *m = g_new0(struct member, 1);

	m->params = *p;
	tab_init(&m->rows, sizeof(struct member_row), MEMBER_LIMIT);
	m->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return m;
}

static void row_clear(struct member_row *r)
{
	g_free(r->id);
	g_free(r->service);
	g_free(r->failure_domain);
	g_free(r->health);
}

void member_free(struct member *m)
{
	if (!m)
		return;
	for (uint32_t i = 0; i < m->rows.capacity; i++) {
		struct member_row *r = tab_at(&m->rows, i, NULL);

		if (r)
			row_clear(r);
	}
	g_hash_table_unref(m->by_id);
	tab_clear(&m->rows);
	g_free(m);
}

tab_handle member_find(const struct member *m, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(m->by_id, id));
}

tab_handle member_set(struct member *m, const struct member_info *info, int64_t now)
{
	tab_handle h = member_find(m, info->id);
	struct member_row *r;

	if (!h) {
		if (tab_add(&m->rows, &h) < 0)
			return 0;
		r = tab_get(&m->rows, h);
		r->handle = h;
		r->id = g_strdup(info->id);
		r->id_hash = hash_str(info->id);
		r->state = MEMBER_LIVE;
		r->weight = 1;
		g_hash_table_insert(m->by_id, r->id, GUINT_TO_POINTER(h));
	}
	r = tab_get(&m->rows, h);
	g_free(r->service);
	g_free(r->failure_domain);
	r->service = g_strdup(info->service);
	r->failure_domain = g_strdup(info->failure_domain);
	r->capacity = info->capacity;
	return h;
}

static void set_mark(struct member *m, tab_handle h, uint64_t version, bool *mark, bool value)
{
	struct member_row *r = tab_get(&m->rows, h);

	if (!r || version < r->mark_version)
		return;
	r->mark_version = version;
	*mark = value;
	r->state = r->drained || r->listed_leaving ? MEMBER_LEAVING : MEMBER_LIVE;
}

void member_drain(struct member *m, tab_handle h, bool drain, uint64_t version, int64_t now)
{
	struct member_row *r = tab_get(&m->rows, h);

	if (r)
		set_mark(m, h, version, &r->drained, drain);
}

void member_listed(struct member *m, tab_handle h, bool leaving, uint64_t version, int64_t now)
{
	struct member_row *r = tab_get(&m->rows, h);

	if (r)
		set_mark(m, h, version, &r->listed_leaving, leaving);
}

void member_remove(struct member *m, tab_handle h, int64_t now)
{
	struct member_row *r = tab_get(&m->rows, h);

	if (!r)
		return;
	g_hash_table_remove(m->by_id, r->id);
	row_clear(r);
	tab_del(&m->rows, h);
}

void member_result(struct member *m, tab_handle h, enum member_result r, int64_t latency,
		   int64_t now)
{
}

void member_epoch(struct member *m, tab_handle h, uint64_t epoch, int64_t now)
{
	struct member_row *r = tab_get(&m->rows, h);

	if (r)
		r->epoch = MAX(r->epoch, epoch);
}

void member_peer_view(struct member *m, tab_handle h, uint64_t peer, enum member_state state,
		      uint64_t epoch, int64_t now)
{
}

void member_tick(struct member *m, int64_t now)
{
}

const struct member_row *member_get(const struct member *m, tab_handle h)
{
	return tab_get(&m->rows, h);
}

uint32_t member_usable(const struct member *m, const char *service, tab_handle *out, uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->rows.capacity && n < max; i++) {
		const struct member_row *r = tab_at(&m->rows, i, NULL);

		if (r && r->state == MEMBER_LIVE && strcmp(r->service, service) == 0)
			out[n++] = r->handle;
	}
	return n;
}

const struct member_row *member_at(const struct member *m, uint32_t i)
{
	return tab_at(&m->rows, i, NULL);
}

uint32_t member_slots(const struct member *m)
{
	return m->rows.capacity;
}

bool member_probe_due(struct member *m, tab_handle h, uint32_t position, int64_t now)
{
	return false;
}

const char *member_state_name(enum member_state s)
{
	return state_names[s];
}
