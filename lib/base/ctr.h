/**
 * DOC: ctr
 *
 * Counters and gauges of a process. Each is registered on first use under its name with optional
 * labels and is then accessed by a pointer to an atomic integer.
 */
#ifndef BASE_CTR_H
#define BASE_CTR_H

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

struct ctr {
	_Atomic int64_t value;
};

/**
 * ctr_get() - counter of @name, created on first use; never fails
 * @name: "requests_total" or with labels "requests_total{rank=\"urgent\"}"; ctr_print() puts
 *         "turmerichinge_" in front
 *
 * The pointer stays valid until the process ends. Thread-safe.
 */
struct ctr *ctr_get(const char *name);

static inline void ctr_add(struct ctr *c, int64_t n)
{
	atomic_fetch_add_explicit(&c->value, n, memory_order_relaxed);
}

static inline void ctr_set(struct ctr *c, int64_t n)
{
	atomic_store_explicit(&c->value, n, memory_order_relaxed);
}

static inline int64_t ctr_value(const struct ctr *c)
{
	/* The cast drops const, which atomic_load_explicit() of C11 doesn't accept. */
	return atomic_load_explicit(&((struct ctr *)(uintptr_t)c)->value, memory_order_relaxed);
}

/** ctr_print() - appends all counters and gauges to @out as Prometheus text, sorted by name */
void ctr_print(GString *out);

#endif
