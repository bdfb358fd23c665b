#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "front/front_priv.h"

#define CONN_KEY "front-conn"
/* A connection is not evicted before: its first request may be under way. */
#define IDLE_MIN (200 * USEC_PER_MSEC)
/* A connection that was accepted late in a shutdown has this long to send its first request. */
#define FIRST_REQUEST_WAIT USEC_PER_SEC
/* An unfinished body or an unread answer without progress for this time may be evicted. */
#define STOPPED_MIN USEC_PER_SEC
/* A body or an unread answer that is slower than SLOW_RATE for this time may be evicted. */
#define SLOW_MIN    (3 * USEC_PER_SEC)
#define SLOW_RATE   1024 /* bytes a second */
#define EVICT_BATCH 16U /* connections that are closed at once when descriptors run short */

/* How soon a connection is evicted, first to last. */
enum evict_class {
	EVICT_IDLE,
	EVICT_BODY,
	EVICT_OUTPUT,
	EVICT_SLOW, /* a body or an unread answer */
	EVICT_NEVER,
};

static void on_stream_closed(gpointer arg, GObject *stream)
{
	struct front_conn *c = arg;

	g_object_set_data(G_OBJECT(c->address), CONN_KEY, NULL);
	g_object_unref(c->address);
	g_object_unref(c->socket);
	list_del(&c->node);
	list_del(&c->state_node);
	c->front->n_conns--;
	ctr_set(c->front->ctr.caller_connections, c->front->n_conns);
	g_free(c);
}

static uint64_t group_of(GSocketAddress *address)
{
	GInetAddress *ip;

	if (!G_IS_INET_SOCKET_ADDRESS(address))
		return 0;
	ip = g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address));
	return hash_bytes(g_inet_address_to_bytes(ip), g_inet_address_get_native_size(ip));
}

static void conn_new(struct front *f, GSocketConnection *stream, GSocketAddress *address)
{
	struct front_conn *c = g_new0(struct front_conn, 1);

	c->front = f;
	c->address = g_object_ref(address);
	c->socket = g_object_ref(g_socket_connection_get_socket(stream));
	c->group = group_of(address);
	c->moved_at = g_get_monotonic_time();
	g_object_set_data(G_OBJECT(address), CONN_KEY, c);
	g_object_weak_ref(G_OBJECT(stream), on_stream_closed, c);
	list_add_tail(&c->node, &f->conns);
	list_add_tail(&c->state_node, &f->conns_by_state);
	f->n_conns++;
	ctr_set(f->ctr.caller_connections, f->n_conns);
}

struct front_conn *front_conn_of(SoupServerMessage *msg)
{
	GSocketAddress *address = soup_server_message_get_remote_address(msg);

	return address ? g_object_get_data(G_OBJECT(address), CONN_KEY) : NULL;
}

void front_conn_moved(struct front_conn *c, enum front_conn_state state, size_t bytes)
{
	int64_t now = g_get_monotonic_time();
	int64_t limit = now + SLOW_MIN;

	c->moved_at = now;
	list_del(&c->node);
	list_add_tail(&c->node, &c->front->conns);
	if (c->state == state) {
		c->slow_at = MIN(c->slow_at + (int64_t)bytes * USEC_PER_SEC / SLOW_RATE, limit);
		return;
	}
	c->state = state;
	c->slow_at = limit;
	list_del(&c->state_node);
	list_add_tail(&c->state_node, &c->front->conns_by_state);
}

bool front_conn_expects_request(struct front *f, int64_t now)
{
	struct list_head *pos;

	list_for_each (pos, &f->conns) {
		struct front_conn *c = list_entry(pos, struct front_conn, node);

		if (c->state != FRONT_CONN_IDLE)
			continue;
		if (!c->had_request && now - f->closed_at < FIRST_REQUEST_WAIT)
			return true;
		if (g_socket_get_available_bytes(c->socket) > 0)
			return true;
	}
	return false;
}

static enum evict_class class_of(const struct front_conn *c, int64_t now)
{
	int64_t age = now - c->moved_at;

	switch (c->state) {
	case FRONT_CONN_IDLE:
		return age >= IDLE_MIN ? EVICT_IDLE : EVICT_NEVER;
	case FRONT_CONN_BODY:
		if (age >= STOPPED_MIN)
			return EVICT_BODY;
		return now >= c->slow_at ? EVICT_SLOW : EVICT_NEVER;
	case FRONT_CONN_OUTPUT:
		if (age >= STOPPED_MIN)
			return EVICT_OUTPUT;
		return now >= c->slow_at ? EVICT_SLOW : EVICT_NEVER;
	case FRONT_CONN_BUSY:
	case FRONT_CONN_CLOSING:
		break;
	}
	return EVICT_NEVER;
}

/* libsoup reads the end of the connection in the next iteration and releases the descriptor. */
static void evict(struct front_conn *c)
{
	ctr_add(c->front->ctr.caller_evicted, 1);
	front_conn_moved(c, FRONT_CONN_CLOSING, 0);
	g_socket_shutdown(c->socket, TRUE, TRUE, NULL);
}

/* Evicts up to @n slow connections, those first that have been in their state for the longest time. */
static uint32_t evict_slow(struct front *f, uint32_t n, int64_t now)
{
	struct list_head *pos;
	struct list_head *tmp;
	uint32_t done = 0;

	list_for_each_safe (pos, tmp, &f->conns_by_state) {
		struct front_conn *c = list_entry(pos, struct front_conn, state_node);

		if (done == n)
			break;
		if (class_of(c, now) != EVICT_SLOW)
			continue;
		evict(c);
		done++;
	}
	return done;
}

/* Evicts up to @n connections of @class, those without progress for the longest time first. */
static uint32_t evict_class(struct front *f, enum evict_class class, uint32_t n, int64_t now)
{
	struct list_head *pos;
	struct list_head *tmp;
	uint32_t done = 0;

	list_for_each_safe (pos, tmp, &f->conns) {
		struct front_conn *c = list_entry(pos, struct front_conn, node);

		if (done == n)
			break;
		if (class_of(c, now) != class)
			continue;
		evict(c);
		done++;
	}
	return done;
}

static void evict_some(struct front *f, uint32_t n)
{
	int64_t now = g_get_monotonic_time();
	uint32_t done = 0;

	for (int class = EVICT_IDLE; class < EVICT_SLOW && done < n; class ++)
		done += evict_class(f, class, n - done, now);
	done += evict_slow(f, n - done, now);
	if (!done || now < f->next_evict_line)
		return;
	f->next_evict_line = now + USEC_PER_SEC;
	log_warn("front", "%u of %u connections of callers are closed to accept others", done,
		 f->n_conns);
}

bool front_conn_make_room(void *arg)
{
	evict_some(arg, EVICT_BATCH);
	return false;
}

/* Wraps @stream if there is a certificate; NULL on failure. */
static GIOStream *wrap_stream(struct front *f, GSocketConnection *stream)
{
	if (!f->certificate)
		return g_object_ref(G_IO_STREAM(stream));
	return g_tls_server_connection_new(G_IO_STREAM(stream), f->certificate, NULL);
}

/* Hands the accepted socket @fd to @server. */
static void accept_socket(struct front *f, SoupServer *server, int fd)
{
	g_autoptr(GSocket) socket = g_socket_new_from_fd(fd, NULL);
	g_autoptr(GSocketConnection) stream = NULL;
	g_autoptr(GSocketAddress) local = NULL;
	g_autoptr(GSocketAddress) remote = NULL;
	g_autoptr(GIOStream) wrapped = NULL;

	if (!socket) {
		close(fd);
		return;
	}
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	stream = g_socket_connection_factory_create_connection(socket);
	local = g_socket_get_local_address(socket, NULL);
	remote = g_socket_get_remote_address(socket, NULL);
	/* The caller may have left already. */
	if (!local || !remote)
		return;
	wrapped = wrap_stream(f, stream);
	if (!wrapped)
		return;
	if (server == f->caller_server)
		conn_new(f, stream, remote);
	soup_server_accept_iostream(server, wrapped, local, remote, NULL);
}

void front_accept_caller(void *arg, int fd)
{
	struct front *f = arg;

	if (f->n_conns >= f->max_conns)
		evict_some(f, 1);
	accept_socket(f, f->caller_server, fd);
}

void front_accept_operator(void *arg, int fd)
{
	struct front *f = arg;

	accept_socket(f, f->operator_server, fd);
}
