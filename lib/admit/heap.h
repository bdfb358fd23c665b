/**
 * DOC: heap
 *
 * Intrusive binary min-heap; private to admit. Nodes with equal keys are removed in the order in
 * which they were added.
 */
#ifndef ADMIT_HEAP_H
#define ADMIT_HEAP_H

#include <stdbool.h>
#include <stdint.h>

struct heap_node {
	double key;
	uint32_t seq; /* insertion number, orders equal keys */
	uint32_t pos; /* index in heap.nodes plus 1, 0: not in a heap */
};

struct heap {
	struct heap_node **nodes; /* the array is owned, the nodes are not */
	uint32_t n;
	uint32_t capacity;
	uint32_t next_seq;
};

void heap_clear(struct heap *h);

/** heap_top() - returns the node with the smallest key, NULL if the heap is empty */
struct heap_node *heap_top(const struct heap *h);

void heap_add(struct heap *h, struct heap_node *n, double key);

/** heap_update() - changes the key of a node; no effect if it is not in a heap */
void heap_update(struct heap *h, struct heap_node *n, double key);

/** heap_del() - removes a node; no effect if it is not in a heap */
void heap_del(struct heap *h, struct heap_node *n);

#endif
