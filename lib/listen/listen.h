/**
 * DOC: listen
 *
 * TCP listeners that stay within the process's limit of descriptors. Part of the descriptors is a
 * reserve for what accepted requests need: connections to upstreams, the store and peers.
 */
#ifndef LISTEN_LISTEN_H
#define LISTEN_LISTEN_H

#include <stdbool.h>
#include <stdint.h>

struct listener;

/** listen_open() - opens a listening socket on @addr; returns it or a negative errno number */
int listen_open(const char *addr);

/** typedef listener_fn - takes over the accepted, non-blocking socket @fd */
typedef void (*listener_fn)(void *arg, int fd);

/**
 * struct listener_params
 * @addr: "IP:PORT" or "[IP]:PORT"; port 0: any
 * @accepted: takes over a connection
 * @make_room: closes something if it can, as only the reserve of descriptors is left; or NULL
 * @uses_reserve: accepts connections while only the reserve of descriptors is left
 */
struct listener_params {
	const char *addr;
	listener_fn accepted;
	bool (*make_room)(void *arg);
	void *arg;
	bool uses_reserve;
};

/**
 * listener_new() - opens a listener; connections wait until listener_start()
 *
 * Returns NULL with @rc set to a negative errno number if the address can't be used.
 */
struct listener *listener_new(const struct listener_params *p, int *rc);

/** listener_start() - accepts connections, from the main context of the calling thread */
void listener_start(struct listener *l);

/** listener_stop() - accepts the connections that wait, and closes the listener */
void listener_stop(struct listener *l);

#define LISTEN_LEFT_MAX 64U

/**
 * listen_descriptors_left() - how many descriptors the process can still open
 *
 * Counts up to @most, at most LISTEN_LEFT_MAX.
 */
uint32_t listen_descriptors_left(uint32_t most);

/** listener_is_open() - false after listener_stop() */
bool listener_is_open(const struct listener *l);

/** listener_port() - port that it is bound to */
uint16_t listener_port(const struct listener *l);

/** listener_free() - closes it, with the connections that wait; NULL is allowed */
void listener_free(struct listener *l);

#endif
