#include "base/evt.h"

#include <string.h>

struct evt_entry {
	uint64_t stamp; /* of the hybrid logical clock */
	enum evt_kind kind;
	char *fields; /* owned; members of the evt_note, separated by tabs; "-" if unset */
};

struct evt_ring {
	GMutex lock;
	struct hlc clock;
	char *process; /* owned; printed in each line */
	struct evt_entry *entries; /* owned; capacity entries */
	uint32_t capacity;
	uint64_t n_added; /* since the start; the newest entry is at (n_added - 1) % capacity */
};

static const char *const kind_names[EVT_COUNT] = {
#define X(name, text) text,
	EVT_TABLE(X)
#undef X
};

struct evt_ring *evt_ring_new(uint32_t capacity, const char *process)
{
	struct evt_ring *r = g_new0(struct evt_ring, 1);

	g_mutex_init(&r->lock);
	r->process = g_strdup(process);
	r->capacity = capacity;
	r->entries = g_new0(struct evt_entry, capacity);
	return r;
}

void evt_ring_free(struct evt_ring *r)
{
	if (!r)
		return;
	for (uint32_t i = 0; i < r->capacity; i++)
		g_free(r->entries[i].fields);
	g_free(r->entries);
	g_free(r->process);
	g_mutex_clear(&r->lock);
	g_free(r);
}

static const char *or_dash(const char *s)
{
	return s && *s ? s : "-";
}

void evt_add(struct evt_ring *r, int64_t wall_us, enum evt_kind kind, const struct evt_note *note)
{
	struct evt_entry *entry;
	char *fields;

	if (!r)
		return;
	fields = g_strdup_printf("%s\t%s\t%s\t%s\t%s", or_dash(note->request), or_dash(note->chat),
				 or_dash(note->upstream), or_dash(note->account),
				 or_dash(note->text));
	g_mutex_lock(&r->lock);
	entry = &r->entries[r->n_added++ % r->capacity];
	g_free(entry->fields);
	entry->fields = fields;
	entry->kind = kind;
	entry->stamp = hlc_now(&r->clock, wall_us);
	g_mutex_unlock(&r->lock);
}

uint64_t evt_stamp(struct evt_ring *r, int64_t wall_us)
{
	uint64_t stamp;

	g_mutex_lock(&r->lock);
	stamp = hlc_now(&r->clock, wall_us);
	g_mutex_unlock(&r->lock);
	return stamp;
}

void evt_receive(struct evt_ring *r, int64_t wall_us, uint64_t remote)
{
	g_mutex_lock(&r->lock);
	hlc_receive(&r->clock, wall_us, remote);
	g_mutex_unlock(&r->lock);
}

void evt_print(struct evt_ring *r, uint64_t since, GString *out)
{
	uint64_t first;

	g_mutex_lock(&r->lock);
	first = r->n_added > r->capacity ? r->n_added - r->capacity : 0;
	for (uint64_t i = first; i < r->n_added; i++) {
		const struct evt_entry *entry = &r->entries[i % r->capacity];

		if (entry->stamp > since)
			g_string_append_printf(out, "%" G_GUINT64_FORMAT "\t%s\t%s\t%s\n",
					       entry->stamp, r->process, kind_names[entry->kind],
					       entry->fields);
	}
	g_mutex_unlock(&r->lock);
}
