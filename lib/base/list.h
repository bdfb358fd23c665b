/**
 * DOC: list
 *
 * Intrusive doubly linked circular list. The head node isn't part of an entry.
 */
#ifndef BASE_LIST_H
#define BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

struct list_head {
	struct list_head *next;
	struct list_head *prev;
};

/* Structure of type @type whose list node @member is at @ptr. */
#define list_entry(ptr, type, member) ((type *)(void *)((char *)(ptr)-offsetof(type, member)))

#define list_for_each(pos, head) for (pos = (head)->next; pos != (head); pos = pos->next)

/* The loop body may remove @pos; @tmp is its successor. */
#define list_for_each_safe(pos, tmp, head)                                                         \
	for (pos = (head)->next, tmp = pos->next; pos != (head); pos = tmp, tmp = pos->next)

static inline void list_init(struct list_head *h)
{
	h->next = h;
	h->prev = h;
}

static inline bool list_empty(const struct list_head *h)
{
	return h->next == h;
}

/** list_add() - inserts @n after @h: at the front, if @h is the head */
static inline void list_add(struct list_head *n, struct list_head *h)
{
	n->next = h->next;
	n->prev = h;
	h->next->prev = n;
	h->next = n;
}

/** list_add_tail() - inserts @n before @h: at the end, if @h is the head */
static inline void list_add_tail(struct list_head *n, struct list_head *h)
{
	list_add(n, h->prev);
}

/** list_del() - removes @n and makes it an empty list, so that a second call has no effect */
static inline void list_del(struct list_head *n)
{
	n->prev->next = n->next;
	n->next->prev = n->prev;
	list_init(n);
}

#endif
