/**
 * DOC: events
 *
 * Splits a stream of server-sent events (text/event-stream) into complete events, so that a stream
 * can be interrupted between two events and resumed.
 */
#ifndef RELAY_EVENTS_H
#define RELAY_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct events {
	GString *partial; /* owned, received bytes of an incomplete event */
	size_t line; /* start of the line in partial that is searched for its end */
	size_t scanned; /* bytes of partial already searched */
	bool in_event; /* partial has a line before that one that isn't empty */
	bool at_start; /* no event of the current response was complete yet */
	bool resumed; /* the current response continues that of another attempt */
	bool placed; /* the position of its events is known */
	bool replayed; /* its last numbered event was one that the caller has */
	bool has_last_id;
	bool has_unnumbered; /* an event without an id was forwarded after the last one with one */
	int64_t last_id; /* id of the last event that the caller received, valid if has_last_id */
	uint32_t n_forwarded; /* events, without comments */
};

/** typedef events_fn - gets a complete event with its empty line; must not call events_clear() */
typedef void (*events_fn)(void *arg, const char *data, size_t len);

void events_init(struct events *e);
void events_clear(struct events *e);

/** events_set_last_id() - id of the caller's last event; ignored if @id is NULL or not a number */
void events_set_last_id(struct events *e, const char *id);

/**
 * events_feed() - parses bytes of the stream and passes each complete event to @fn
 *
 * Lines end with LF, CR LF or CR. Drops events whose id is not above @e->last_id: a resumed stream
 * may repeat them. Returns 0, -E2BIG if an incomplete event exceeds 1 MiB, or -EPROTO if a resumed
 * stream begins with an event without an id: it can't be told whether the caller has it.
 */
int events_feed(struct events *e, const char *data, size_t len, events_fn fn, void *arg);

/** events_is_within_event() - whether the bytes fed so far end within an event */
bool events_is_within_event(const struct events *e);

/** events_can_resume() - whether the last event passed on has an id at which to resume */
bool events_can_resume(const struct events *e);

/** events_start_response() - another attempt's response follows; discards an incomplete event */
void events_start_response(struct events *e);

#endif
