/**
 * DOC: heap
 *
 * Intrusive binary min-heap; private to admit. Nodes with equal keys leave in the order in which
 * they came.
 */
#ifndef ADMIT_HEAP_H
#define ADMIT_HEAP_H

#include <stdbool.h>
#include <stdint.h>

struct heap_node {
	double key;
	uint32_t seq; /* order of arrival among equal keys */
	uint32_t pos; /* index in the heap plus one, 0: not in a heap */
};

struct heap {
	struct heap_node **nodes; /* array owned, nodes not */
	uint32_t n;
	uint32_t size;
	uint32_t seq;
};

void heap_clear(struct heap *h);

/** heap_top() - the node with the smallest key, NULL if empty */
struct heap_node *heap_top(const struct heap *h);

void heap_add(struct heap *h, struct heap_node *n, double key);

/** heap_update() - changes the key of a node in the heap; ignored if it is in none */
void heap_update(struct heap *h, struct heap_node *n, double key);

/** heap_del() - removes a node; ignored if it is in no heap */
void heap_del(struct heap *h, struct heap_node *n);

#endif
