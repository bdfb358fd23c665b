/**
 * DOC: tab
 *
 * Table of fixed-size entries that are addressed by handles. A handle contains the generation of
 * its slot, so that the lookup of a handle whose entry was removed returns NULL. The generation
 * wraps around: a stale handle matches again at the 2048th reuse of its slot.
 */
#ifndef BASE_TAB_H
#define BASE_TAB_H

#include <stddef.h>
#include <stdint.h>

/* 20 bits of slot index and 12 bits of generation; 0 is never a valid handle. */
typedef uint32_t tab_handle;

struct tab {
	size_t entry_size; /* bytes */
	unsigned char *entries; /* owned; capacity * entry_size bytes */
	uint16_t *gens; /* owned; generation per slot, odd while the slot is in use */
	uint32_t *free_slots; /* owned; stack of the indices of unused slots */
	uint32_t n_free;
	uint32_t capacity; /* allocated slots */
	uint32_t limit; /* maximum of capacity */
	uint32_t n_used;
};

/**
 * tab_init() - prepares a table of at most @limit entries of @entry_size bytes
 *
 * A @limit above 1,048,575 (2^20 - 1) is reduced to that.
 */
void tab_init(struct tab *t, size_t entry_size, uint32_t limit);

/** tab_clear() - removes all entries and frees their memory; all handles become invalid */
void tab_clear(struct tab *t);

/** tab_add() - adds a zeroed entry and sets @h; returns 0 or -ENOSPC */
int tab_add(struct tab *t, tab_handle *h);

/** tab_get() - entry of @h or NULL; valid until the next tab_add() */
void *tab_get(const struct tab *t, tab_handle h);

/** tab_del() - removes the entry of @h; an invalid handle is ignored */
void tab_del(struct tab *t, tab_handle h);

/**
 * tab_at() - entry in slot @i, or NULL if the slot is unused; sets @h unless it is NULL
 *
 * For iteration over all slots below t->capacity.
 */
void *tab_at(const struct tab *t, uint32_t i, tab_handle *h);

#endif
