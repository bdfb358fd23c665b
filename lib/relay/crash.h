/**
 * DOC: crash
 *
 * Detects crashes of upstreams and refuses requests that cause them (lib/poison). When an attempt
 * breaks off, also after output, one connect to the upstream tells a crash (the connection is
 * refused) from a broken connection; all requests that failed there wait for the result. Private to
 * relay.
 */
#ifndef RELAY_CRASH_H
#define RELAY_CRASH_H

#include "poison/poison.h"
#include "relay/relay_priv.h"

#define CRASH_OUTPUT_BYTES 4096U

struct crashes;

struct crashes *crashes_new(struct relay *r);
void crashes_free(struct crashes *s);

/** crashes_tick() - reports changed records to peers; call about ten times a second */
void crashes_tick(struct crashes *s, int64_t now);

/** struct crash_track_ops - callbacks to the request that owns a track */
struct crash_track_ops {
	/* The check that crash_check() started is complete; @alive: the upstream can be connected to. */
	void (*checked)(void *owner, bool alive);
	/* The attempt in progress has no output yet, and its request is now quarantined. */
	void (*quarantined)(void *owner);
};

/** struct crash_track - a request and its current attempt; zero before crash_track_init() */
struct crash_track {
	struct list_head link; /* in the attempts in flight */
	struct list_head wait_link; /* in the requests that wait for a check */
	struct poison_request keys; /* with an owned array of parts */
	const struct crash_track_ops *ops;
	void *owner;
	uint64_t upstream; /* hash of its id; valid if in_flight */
	tab_handle handle;
	bool in_flight;
	uint32_t progress; /* output of the attempt */
	bool waiting;
};

void crash_track_init(struct crash_track *t, const struct call *c,
		      const struct crash_track_ops *ops, void *owner);

/** crash_track_clear() - ends the attempt, if any, and releases the track */
void crash_track_clear(struct crashes *s, struct crash_track *t, int64_t now);

/**
 * crash_is_quarantined() - whether the request must not be sent
 *
 * If so, sets @retry_after to the microseconds after which the caller may send it again.
 */
bool crash_is_quarantined(struct crashes *s, struct crash_track *t, int64_t now,
			  int64_t *retry_after);

/** crash_preview() - time for which @c would be refused now; 0: not at all. Changes nothing. */
int64_t crash_preview(const struct crashes *s, const struct call *c, int64_t now);

/** crash_attempt_sent() - the request was sent to @upstream on an established connection */
void crash_attempt_sent(struct crashes *s, struct crash_track *t, tab_handle upstream, int64_t now);

/**
 * crash_attempt_output() - output arrived
 * @progress: all output of the attempt so far, in events or in CRASH_OUTPUT_BYTES of a plain body
 */
void crash_attempt_output(struct crashes *s, struct crash_track *t, uint32_t progress, int64_t now);

/** crash_attempt_ended() - the attempt ended, and no check is needed; @complete: with a response */
void crash_attempt_ended(struct crashes *s, struct crash_track *t, bool complete, int64_t now);

/**
 * crash_attempt_closed() - the attempt ended with its connection, without another mark of its end
 *
 * It counts as complete unless a check shows that the upstream crashed; the owner doesn't wait.
 */
void crash_attempt_closed(struct crashes *s, struct crash_track *t, int64_t now);

/**
 * crash_check() - the connection of the attempt was closed: checks whether the upstream crashed
 *
 * Returns true if a check was started: ops->checked() follows, unless crash_attempt_ended() is
 * called before. Returns false, and ends the attempt, if the upstream is leaving or was removed.
 */
bool crash_check(struct crashes *s, struct crash_track *t, int64_t now);

/** crashes_set_report() - see relay_on_crash() */
void crashes_set_report(struct crashes *s, relay_crash_fn fn, void *arg);

/** crashes_peer_report() - see relay_peer_crash() */
void crashes_peer_report(struct crashes *s, const struct relay_crash *c, int64_t now);

#endif
