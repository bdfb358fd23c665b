/**
 * DOC: peer
 *
 * TCP transport of the frames of lib/gossip and lib/feed: each frame is sent as its length in 4
 * bytes, big-endian, and its bytes. Sending a frame opens a connection to the peer if there is
 * none; a connection serves both directions. Frames that can't be sent are dropped, since gossip
 * and feed repair missing state.
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
#define PEER_CONNECTIONS_MAX  1024 /* more incoming connections are refused */
#define PEER_FRAME_TIMEOUT_S  5 /* for the first frame, and for the rest of a partial one */
#define PEER_IDLE_TIMEOUT_S   15 /* without a frame in either direction */

/** struct peer_events - callbacks to the owner; all members must be set */
struct peer_events {
	void *arg;
	/* Returns the listener address of the frame's sender, borrowed; NULL: invalid frame. */
	const char *(*sender_address)(void *arg, const void *frame, size_t len);
	/* A frame from @address was received; a negative result closes the connection. */
	int (*receive)(void *arg, const char *address, const void *frame, size_t len);
	/* The connection failed or could not be opened: frames for @address may be lost. */
	void (*disconnected)(void *arg, const char *address);
};

/** struct peer_stats - totals, and current numbers of connections */
struct peer_stats {
	uint64_t connects; /* outgoing connection attempts */
	uint64_t connect_failures;
	uint64_t frames_dropped; /* not connected, disconnected, blocked, or queue full */
	uint64_t invalid_frames; /* connections closed because of an invalid frame */
	uint64_t refused; /* incoming connections over a limit */
	uint64_t timeouts; /* connections closed without a complete frame in time */
	uint32_t connections;
	uint32_t unidentified; /* have sent no valid frame yet */
};

/** struct peer - listener of this instance and its connections with all peers */
struct peer;

/**
 * peer_new() - listens on @listen ("IP:port"; port 0: any)
 * @seed: for the jitter of reconnects
 *
 * Returns NULL with @rc set to a negative errno number.
 */
struct peer *peer_new(const char *listen, uint64_t seed, const struct peer_events *e, int *rc);

/** peer_free() - closes all connections; the main context must run again to free cancelled calls */
void peer_free(struct peer *p);

/** peer_port() - port that the listener is bound to */
uint16_t peer_port(const struct peer *p);

/**
 * peer_send() - queues a frame for the listener at @address
 *
 * Connects if there is no connection; drops the frame while a failed connect is in backoff.
 */
void peer_send(struct peer *p, const char *address, const void *frame, size_t len);

/** peer_close_if_idle() - closes the connections with @address unless a frame follows in 1 s */
void peer_close_if_idle(struct peer *p, const char *address);

/** peer_block() - blocks or unblocks all traffic with @address, for fault tests */
void peer_block(struct peer *p, const char *address, bool block);

void peer_stats(const struct peer *p, struct peer_stats *out);

#endif
