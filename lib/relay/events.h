/**
 * DOC: events
 *
 * Splits a stream of events (text/event-stream) into whole events, so that a stream can be cut and
 * resumed between two of them.
 */
#ifndef RELAY_EVENTS_H
#define RELAY_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct events {
	GString *rest; /* owned, the start of an event that is not whole yet */
	size_t scanned; /* bytes of rest that were searched for the end */
	bool has_last;
	int64_t last; /* id of the last event that was passed on, valid if has_last */
	uint32_t n_forwarded;
};

/** typedef events_fn - a whole event with its empty line; must not clear the stream */
typedef void (*events_fn)(void *arg, const char *data, size_t len);

void events_init(struct events *e);
void events_clear(struct events *e);

/** events_set_last_id() - the caller already has the events up to @id; ignored unless a number */
void events_set_last_id(struct events *e, const char *id);

/**
 * events_feed() - takes bytes of the stream and passes whole events to @fn
 *
 * An event whose id is not above the last one passed is dropped: a resumed stream may repeat it.
 * Returns 0, or -E2BIG if an event exceeds 1 MiB.
 */
int events_feed(struct events *e, const char *data, size_t len, events_fn fn, void *arg);

/** events_drop_partial() - drops the start of an event that did not arrive whole; returns its length */
size_t events_drop_partial(struct events *e);

#endif
