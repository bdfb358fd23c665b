/**
 * DOC: evt
 *
 * Event log: each process has a bounded ring of typed events, stamped by a hybrid logical clock.
 * The command line program merges the rings of all processes by stamp.
 */
#ifndef BASE_EVT_H
#define BASE_EVT_H

#include <glib.h>
#include <stdint.h>

#include "base/hlc.h"

/*
 * name, text in the output of evt_print()
 *
 * MEMBER: state of an instance, or of an upstream in the list of upstreams; PEER: connections to
 * peers and contact with the platform; LEASE: a model's lease gained or lost; ORDER: result of an
 * order to an engine; VERDICT: verdict of a request, where ATTEMPT is about one attempt.
 */
#define EVT_TABLE(X)                                                                               \
	X(START, "start")                                                                          \
	X(STOP, "stop")                                                                            \
	X(CONFIG, "config")                                                                        \
	X(MEMBER, "member")                                                                        \
	X(PEER, "peer")                                                                            \
	X(LEASE, "lease")                                                                          \
	X(ORDER, "order")                                                                          \
	X(CLAIM, "claim")                                                                          \
	X(ADMIT, "admit")                                                                          \
	X(REFUSE, "refuse")                                                                        \
	X(ATTEMPT, "attempt")                                                                      \
	X(VERDICT, "verdict")                                                                      \
	X(POISON, "poison")

enum evt_kind {
#define X(name, text) EVT_##name,
	EVT_TABLE(X)
#undef X
	EVT_COUNT,
};

/** struct evt_note - fields of an event; unset members are NULL */
struct evt_note {
	const char *request; /* request id */
	const char *chat;
	const char *upstream;
	const char *account;
	const char *text; /* short free text without line breaks */
};

struct evt_ring;

/** evt_ring_new() - ring of the newest @capacity events of @process; thread-safe */
struct evt_ring *evt_ring_new(uint32_t capacity, const char *process);

/** evt_ring_free() - frees the ring */
void evt_ring_free(struct evt_ring *r);

/** evt_add() - records an event at @wall_us (microseconds since the epoch); @r may be NULL */
void evt_add(struct evt_ring *r, int64_t wall_us, enum evt_kind kind, const struct evt_note *note);

/** evt_stamp() - stamp for a message that is about to be sent */
uint64_t evt_stamp(struct evt_ring *r, int64_t wall_us);

/** evt_receive() - updates the clock from the stamp of a received message, see hlc_receive() */
void evt_receive(struct evt_ring *r, int64_t wall_us, uint64_t remote);

/**
 * evt_print() - appends the events stamped after @since, one per line, oldest first
 *
 * Line format: stamp (decimal), process, kind, request, chat, upstream, account and text, separated
 * by tabs; an unset member is printed as "-".
 */
void evt_print(struct evt_ring *r, uint64_t since, GString *out);

#endif
