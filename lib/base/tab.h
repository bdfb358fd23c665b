/**
 * DOC: tab
 *
 * Table of fixed-size rows that are named by small handles. A handle carries the generation of
 * its slot, so that a handle kept past the removal of its row finds nothing.
 */
#ifndef BASE_TAB_H
#define BASE_TAB_H

#include <stddef.h>
#include <stdint.h>

/* 20 bits of slot index and 12 bits of generation; 0 is no handle. */
typedef uint32_t tab_handle;

struct tab {
	size_t row_size; /* bytes of one row */
	unsigned char *rows; /* owned, capacity * row_size bytes */
	uint16_t *gens; /* owned, odd while the slot is in use */
	uint32_t *free_slots; /* owned stack of unused slots */
	uint32_t n_free;
	uint32_t capacity;
	uint32_t limit; /* largest number of rows */
	uint32_t n_used;
};

/** tab_init() - prepares a table of at most @limit rows of @row_size bytes */
void tab_init(struct tab *t, size_t row_size, uint32_t limit);

/** tab_clear() - frees the memory of @t; handles become void */
void tab_clear(struct tab *t);

/** tab_add() - takes a zeroed row; returns 0 with @h set, or -ENOSPC */
int tab_add(struct tab *t, tab_handle *h);

/** tab_get() - row of @h or NULL; valid until the next tab_add() */
void *tab_get(const struct tab *t, tab_handle h);

/** tab_del() - gives the row of @h back; an unknown handle is ignored */
void tab_del(struct tab *t, tab_handle h);

/** tab_at() - row in slot @i or NULL if unused, for iteration up to t->capacity */
void *tab_at(const struct tab *t, uint32_t i, tab_handle *h);

#endif
