#include "http/http_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

/*
 * The kernel closes an unresponsive connection after 7 s. That is longer than idle connections are
 * kept by default (IDLE_MAX in lib/relay/fleet.c), so that on a broken path the sender of a request
 * times out first and resets the connection, which discards unacknowledged bytes. After a close by
 * the kernel there is nothing left to reset, and the request could still reach the peer.
 */
#define KEEPALIVE_IDLE_S     1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     6
#define USER_TIMEOUT_MS	     7000

void http_socket_set_options(int fd)
{
	int one = 1;
	int idle = KEEPALIVE_IDLE_S;
	int interval = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;
	int timeout = USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

enum http_peer http_socket_peer(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLRDHUP };

	if (poll(&p, 1, 0) > 0 && (p.revents & (POLLHUP | POLLERR)))
		return HTTP_PEER_GONE;
	return p.revents ? HTTP_PEER_HALF_CLOSED : HTTP_PEER_SENDS;
}
