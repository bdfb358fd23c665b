#include "base/tab.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#define TAB_INDEX_BITS 20
#define TAB_INDEX_MASK ((1U << TAB_INDEX_BITS) - 1)
#define TAB_GEN_MASK   0xfffU
#define TAB_FIRST_SIZE 16U /* slots */

void tab_init(struct tab *t, size_t entry_size, uint32_t limit)
{
	memset(t, 0, sizeof(*t));
	t->entry_size = entry_size;
	t->limit = MIN(limit, TAB_INDEX_MASK);
}

void tab_clear(struct tab *t)
{
	g_free(t->entries);
	g_free(t->gens);
	g_free(t->free_slots);
	tab_init(t, t->entry_size, t->limit);
}

static int tab_grow(struct tab *t)
{
	uint32_t n = MIN(t->limit, MAX(TAB_FIRST_SIZE, t->capacity * 2));

	if (n <= t->capacity)
		return -ENOSPC;
	t->entries = g_realloc_n(t->entries, n, t->entry_size);
	t->gens = g_realloc_n(t->gens, n, sizeof(*t->gens));
	t->free_slots = g_realloc_n(t->free_slots, n, sizeof(*t->free_slots));
	for (uint32_t i = n; i > t->capacity; i--) {
		t->gens[i - 1] = 0;
		t->free_slots[t->n_free++] = i - 1;
	}
	t->capacity = n;
	return 0;
}

static tab_handle tab_handle_of(const struct tab *t, uint32_t i)
{
	return ((uint32_t)t->gens[i] << TAB_INDEX_BITS) | i;
}

int tab_add(struct tab *t, tab_handle *h)
{
	uint32_t i;

	if (t->n_free == 0 && tab_grow(t) < 0)
		return -ENOSPC;
	i = t->free_slots[--t->n_free];
	t->gens[i] = (t->gens[i] + 1) & TAB_GEN_MASK;
	memset(t->entries + i * t->entry_size, 0, t->entry_size);
	t->n_used++;
	*h = tab_handle_of(t, i);
	return 0;
}

void *tab_get(const struct tab *t, tab_handle h)
{
	uint32_t i = h & TAB_INDEX_MASK;

	if (h == 0 || i >= t->capacity || !(t->gens[i] & 1) || tab_handle_of(t, i) != h)
		return NULL;
	return t->entries + i * t->entry_size;
}

void tab_del(struct tab *t, tab_handle h)
{
	uint32_t i = h & TAB_INDEX_MASK;

	if (!tab_get(t, h))
		return;
	t->gens[i] = (t->gens[i] + 1) & TAB_GEN_MASK;
	t->free_slots[t->n_free++] = i;
	t->n_used--;
}

void *tab_at(const struct tab *t, uint32_t i, tab_handle *h)
{
	if (i >= t->capacity || !(t->gens[i] & 1))
		return NULL;
	if (h)
		*h = tab_handle_of(t, i);
	return t->entries + i * t->entry_size;
}
