/**
 * DOC: peer
 *
 * TCP transport of gossip frames: a frame is 4 bytes of length, most significant first, and its
 * bytes. A connection to a peer is made when there is something to send and serves both
 * directions. Frames that can't be sent are dropped, since gossip repairs what is missing.
 *
 * Runs on the main context that was the thread default at peer_new().
 */
#ifndef PEER_PEER_H
#define PEER_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PEER_QUEUE_BYTES_MAX  (2 * 1024 * 1024) /* unsent bytes for one peer */
#define PEER_UNIDENTIFIED_MAX 128 /* connections that have sent no valid frame yet */
#define PEER_CONNECTIONS_MAX  1024
#define PEER_FRAME_TIMEOUT_S  5 /* time for the first frame, and for the rest of any frame */
#define PEER_IDLE_TIMEOUT_S   15 /* without a frame either way */

/** struct peer_events - what the owner is asked and told; all members must be set */
struct peer_events {
	void *arg;
	/* Address of the listener of the frame's sender, NULL for garbage. */
	const char *(*sender_address)(void *arg, const void *frame, size_t len);
	/* A frame of @address; a negative number closes the connection. */
	int (*receive)(void *arg, const char *address, const void *frame, size_t len);
	/* The connection broke or could not be made: frames for @address may be lost. */
	void (*disconnected)(void *arg, const char *address);
};

/** struct peer_stats - totals, and sizes now */
struct peer_stats {
	uint64_t connects;
	uint64_t connect_failures;
	uint64_t frames_dropped; /* no connection, or the queue is full */
	uint64_t invalid_frames; /* connections closed for a bad frame */
	uint64_t refused; /* too many connections */
	uint64_t timeouts; /* connections closed for a frame that did not come whole */
	uint32_t connections;
	uint32_t unidentified;
};

struct peer;

/**
 * peer_new() - listens on @listen ("IP:port"; port 0: any)
 * @seed: of the jitter of reconnects
 *
 * Returns NULL with @error set.
 */
struct peer *peer_new(const char *listen, uint64_t seed, const struct peer_events *e,
		      GError **error);

/** peer_free() - closes all; the main context must run once more to let go of cancelled calls */
void peer_free(struct peer *p);

/** peer_port() - port of the listener */
uint16_t peer_port(const struct peer *p);

/** peer_send() - queues a frame for the listener at @address and connects if need be */
void peer_send(struct peer *p, const char *address, const void *frame, size_t len);

/** peer_close_if_idle() - the connection to @address is closed soon unless it is used again */
void peer_close_if_idle(struct peer *p, const char *address);

/** peer_block() - cuts all traffic with @address, for fault tests */
void peer_block(struct peer *p, const char *address, bool block);

void peer_stats(const struct peer *p, struct peer_stats *out);

#endif
