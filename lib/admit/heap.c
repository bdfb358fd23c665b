#include "admit/heap.h"

#include <glib.h>

#define HEAP_INITIAL_CAPACITY 16U

static bool heap_before(const struct heap_node *a, const struct heap_node *b)
{
	if (a->key < b->key)
		return true;
	if (a->key > b->key)
		return false;
	return (int32_t)(a->seq - b->seq) < 0;
}

static void heap_set(struct heap *h, uint32_t i, struct heap_node *n)
{
	h->nodes[i] = n;
	n->pos = i + 1;
}

static void heap_sift_up(struct heap *h, uint32_t i)
{
	struct heap_node *n = h->nodes[i];

	while (i > 0 && heap_before(n, h->nodes[(i - 1) / 2])) {
		heap_set(h, i, h->nodes[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	heap_set(h, i, n);
}

static void heap_sift_down(struct heap *h, uint32_t i)
{
	struct heap_node *n = h->nodes[i];

	for (;;) {
		uint32_t c = 2 * i + 1;

		if (c >= h->n)
			break;
		if (c + 1 < h->n && heap_before(h->nodes[c + 1], h->nodes[c]))
			c++;
		if (!heap_before(h->nodes[c], n))
			break;
		heap_set(h, i, h->nodes[c]);
		i = c;
	}
	heap_set(h, i, n);
}

void heap_clear(struct heap *h)
{
	g_free(h->nodes);
	*h = (struct heap){ 0 };
}

struct heap_node *heap_top(const struct heap *h)
{
	return h->n ? h->nodes[0] : NULL;
}

void heap_add(struct heap *h, struct heap_node *n, double key)
{
	if (h->n == h->capacity) {
		h->capacity = MAX(HEAP_INITIAL_CAPACITY, h->capacity * 2);
		h->nodes = g_renew(struct heap_node *, h->nodes, h->capacity);
	}
	n->key = key;
	n->seq = h->next_seq++;
	heap_set(h, h->n, n);
	heap_sift_up(h, h->n++);
}

void heap_update(struct heap *h, struct heap_node *n, double key)
{
	bool up = key < n->key;

	if (!n->pos)
		return;
	n->key = key;
	if (up)
		heap_sift_up(h, n->pos - 1);
	else
		heap_sift_down(h, n->pos - 1);
}

void heap_del(struct heap *h, struct heap_node *n)
{
	uint32_t i = n->pos - 1;
	struct heap_node *last;

	if (!n->pos)
		return;
	n->pos = 0;
	last = h->nodes[--h->n];
	if (last == n)
		return;
	heap_set(h, i, last);
	heap_sift_up(h, i);
	heap_sift_down(h, last->pos - 1);
}
