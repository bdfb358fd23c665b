#include "peer/peer.h"

#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#include "base/base.h"
#include "gossip/gossip.h"
#include "listen/listen.h"

#define SWEEP_MS	  500 /* interval of the timeout checks */
#define CONNECT_TIMEOUT_S 2
#define BACKOFF_FIRST	  (200 * USEC_PER_MSEC) /* before a jitter of 0.5 to 1.5 times */
#define BACKOFF_MAX	  (5 * USEC_PER_SEC) /* likewise */
#define CLOSE_DELAY	  (1 * USEC_PER_SEC) /* of peer_close_if_idle() */
#define READ_BYTES	  16384 /* of one read call */
#define PREFIX_BYTES	  4 /* length of a frame */

/** struct conn - one TCP connection; pending callbacks hold a reference */
struct conn {
	struct peer *peer; /* NULL: closed */
	GSocketConnection *socket; /* owned */
	GCancellable *cancel;
	char *address; /* of the peer's listener; NULL: not identified yet */
	GByteArray *in; /* received bytes, not parsed yet */
	GQueue out; /* GBytes with length prefix, the first is being written */
	size_t out_bytes;
	int64_t last_frame_at; /* last complete frame, sent or received; at first: opening */
	int64_t partial_since; /* start of a partially received frame; 0: none */
};

/** struct dest - a peer that frames are sent to */
struct dest {
	struct conn *conn; /* that frames are sent on, borrowed; NULL: none */
	bool connecting;
	bool blocked;
	uint32_t failures; /* consecutive failed connection attempts */
	int64_t next_attempt_at; /* end of the backoff */
	GQueue pending; /* GBytes with length prefix, queued while connecting */
	size_t pending_bytes;
};

/** struct attempt - a connection attempt in progress */
struct attempt {
	struct peer *peer; /* NULL: freed by peer_free() */
	char *address;
	GCancellable *cancel;
};

struct peer {
	struct peer_events events;
	struct listener *listener; /* owned */
	GSocketClient *client;
	GHashTable *dests; /* owned address -> struct dest */
	GPtrArray *conns; /* of struct conn, one reference each */
	GPtrArray *attempts; /* of struct attempt, borrowed */
	GSource *sweep;
	struct rng rng;
	struct peer_stats stats;
	uint16_t port;
};

static void bytes_unref(gpointer p)
{
	g_bytes_unref(p);
}

static void conn_clear(gpointer arg)
{
	struct conn *c = arg;

	g_queue_clear_full(&c->out, bytes_unref);
	g_byte_array_unref(c->in);
	g_object_unref(c->cancel);
	g_object_unref(c->socket);
	g_free(c->address);
}

static void conn_unref(struct conn *c)
{
	g_rc_box_release_full(c, conn_clear);
}

static struct dest *dest_get(struct peer *p, const char *address)
{
	struct dest *d = g_hash_table_lookup(p->dests, address);

	if (!d) {
		d = g_new0(struct dest, 1);
		g_queue_init(&d->pending);
		g_hash_table_insert(p->dests, g_strdup(address), d);
	}
	return d;
}

static void dest_drop_pending(struct peer *p, struct dest *d)
{
	p->stats.frames_dropped += d->pending.length;
	g_queue_clear_full(&d->pending, bytes_unref);
	d->pending_bytes = 0;
}

static void dest_free(gpointer arg)
{
	struct dest *d = arg;

	g_queue_clear_full(&d->pending, bytes_unref);
	g_free(d);
}

static struct conn *conn_find(const struct peer *p, const char *address)
{
	for (guint i = 0; i < p->conns->len; i++) {
		struct conn *c = p->conns->pdata[i];

		if (c->address && strcmp(c->address, address) == 0)
			return c;
	}
	return NULL;
}

static void conn_close(struct conn *c, bool notify)
{
	struct peer *p = c->peer;
	struct dest *d = c->address ? g_hash_table_lookup(p->dests, c->address) : NULL;

	c->peer = NULL;
	g_cancellable_cancel(c->cancel);
	g_io_stream_close(G_IO_STREAM(c->socket), NULL, NULL);
	g_ptr_array_remove_fast(p->conns, c);
	if (d && d->conn == c) {
		p->stats.frames_dropped += c->out.length;
		/* Frames continue without a reconnect if there is another connection. */
		d->conn = conn_find(p, c->address);
		if (notify)
			p->events.disconnected(p->events.arg, c->address);
	}
	conn_unref(c);
}

static void conn_write(struct conn *c);

static void on_written(GObject *source, GAsyncResult *result, gpointer arg)
{
	struct conn *c = arg;
	bool ok = g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, NULL, NULL);

	if (c->peer && !ok) {
		conn_close(c, true);
	} else if (c->peer) {
		GBytes *done = g_queue_pop_head(&c->out);

		c->out_bytes -= g_bytes_get_size(done);
		c->last_frame_at = g_get_monotonic_time();
		g_bytes_unref(done);
		if (c->out.length > 0)
			conn_write(c);
	}
	conn_unref(c);
}

static void conn_write(struct conn *c)
{
	GOutputStream *out = g_io_stream_get_output_stream(G_IO_STREAM(c->socket));
	gsize len;
	const void *data = g_bytes_get_data(c->out.head->data, &len);

	g_output_stream_write_all_async(out, data, len, G_PRIORITY_DEFAULT, c->cancel, on_written,
					g_rc_box_acquire(c));
}

static void conn_queue(struct conn *c, GBytes *frame)
{
	if (c->out_bytes + g_bytes_get_size(frame) > PEER_QUEUE_BYTES_MAX) {
		c->peer->stats.frames_dropped++;
		return;
	}
	c->out_bytes += g_bytes_get_size(frame);
	g_queue_push_tail(&c->out, g_bytes_ref(frame));
	if (c->out.length == 1)
		conn_write(c);
}

static bool address_blocked(const struct peer *p, const char *address)
{
	const struct dest *d = g_hash_table_lookup(p->dests, address);

	return d && d->blocked;
}

/* The first valid frame identifies the peer. */
static bool conn_identify(struct conn *c, const void *frame, size_t len)
{
	struct peer *p = c->peer;
	const char *address = p->events.sender_address(p->events.arg, frame, len);
	struct dest *d;

	if (!address)
		return false;
	c->address = g_strdup(address);
	d = dest_get(p, address);
	if (!d->conn)
		d->conn = c;
	return true;
}

static bool receive_frame(struct conn *c, const uint8_t *frame, size_t len)
{
	struct peer *p = c->peer;

	if (!c->address && !conn_identify(c, frame, len)) {
		p->stats.invalid_frames++;
		return false;
	}
	if (address_blocked(p, c->address))
		return false;
	c->last_frame_at = g_get_monotonic_time();
	if (p->events.receive(p->events.arg, c->address, frame, len) < 0) {
		p->stats.invalid_frames++;
		return false;
	}
	return true;
}

/* Passes all complete frames to the owner; false: the connection must be closed. */
static bool conn_parse(struct conn *c)
{
	size_t at = 0;
	bool ok = true;

	while (ok && c->in->len - at >= PREFIX_BYTES) {
		uint32_t len;

		memcpy(&len, c->in->data + at, PREFIX_BYTES);
		len = GUINT32_FROM_BE(len);
		if (len == 0 || len > (c->address ? GOSSIP_FRAME_MAX : GOSSIP_FIRST_FRAME_MAX)) {
			c->peer->stats.invalid_frames++;
			return false;
		}
		if (c->in->len - at - PREFIX_BYTES < len)
			break;
		ok = receive_frame(c, c->in->data + at + PREFIX_BYTES, len);
		/* The owner may have closed this connection by peer_block(). */
		if (!c->peer)
			return true;
		at += PREFIX_BYTES + len;
		c->partial_since = 0;
	}
	g_byte_array_remove_range(c->in, 0, (guint)at);
	if (c->in->len > 0 && c->partial_since == 0)
		c->partial_since = g_get_monotonic_time();
	return ok;
}

static void conn_read(struct conn *c);

static void on_read(GObject *source, GAsyncResult *result, gpointer arg)
{
	struct conn *c = arg;
	g_autoptr(GBytes) bytes =
		g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, NULL);

	if (c->peer) {
		gsize len = 0;
		const void *data = bytes ? g_bytes_get_data(bytes, &len) : NULL;
		bool ok = len > 0;

		if (ok) {
			g_byte_array_append(c->in, data, (guint)len);
			ok = conn_parse(c);
		}
		if (c->peer && ok)
			conn_read(c);
		else if (c->peer)
			conn_close(c, true);
	}
	conn_unref(c);
}

static void conn_read(struct conn *c)
{
	g_input_stream_read_bytes_async(g_io_stream_get_input_stream(G_IO_STREAM(c->socket)),
					READ_BYTES, G_PRIORITY_DEFAULT, c->cancel, on_read,
					g_rc_box_acquire(c));
}

static struct conn *conn_new(struct peer *p, GSocketConnection *socket, const char *address)
{
	struct conn *c = g_rc_box_new0(struct conn);
	GSocket *s = g_socket_connection_get_socket(socket);

	c->peer = p;
	c->socket = g_object_ref(socket);
	c->cancel = g_cancellable_new();
	c->address = g_strdup(address);
	c->in = g_byte_array_new();
	g_queue_init(&c->out);
	c->last_frame_at = g_get_monotonic_time();
	g_socket_set_timeout(s, 0);
	g_socket_set_option(s, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	g_ptr_array_add(p->conns, c);
	conn_read(c);
	return c;
}

static uint32_t n_unidentified(const struct peer *p)
{
	uint32_t n = 0;

	for (guint i = 0; i < p->conns->len; i++)
		n += ((const struct conn *)p->conns->pdata[i])->address == NULL;
	return n;
}

static void on_incoming(void *arg, int fd)
{
	struct peer *p = arg;
	g_autoptr(GSocket) s = g_socket_new_from_fd(fd, NULL);
	g_autoptr(GSocketConnection) socket = NULL;

	if (!s) {
		close(fd);
		return;
	}
	if (p->conns->len >= PEER_CONNECTIONS_MAX || n_unidentified(p) >= PEER_UNIDENTIFIED_MAX) {
		p->stats.refused++;
		return;
	}
	socket = g_socket_connection_factory_create_connection(s);
	conn_new(p, socket, NULL);
}

static void connect_failed(struct peer *p, struct dest *d, const char *address)
{
	int64_t delay = MIN(BACKOFF_MAX, BACKOFF_FIRST << MIN(d->failures, 8));

	p->stats.connect_failures++;
	d->failures++;
	d->next_attempt_at =
		g_get_monotonic_time() + delay / 2 + (int64_t)rng_below(&p->rng, (uint64_t)delay);
	dest_drop_pending(p, d);
	p->events.disconnected(p->events.arg, address);
}

static void connect_succeeded(struct peer *p, struct dest *d, GSocketConnection *socket,
			      const char *address)
{
	GBytes *frame;

	d->failures = 0;
	d->conn = conn_new(p, socket, address);
	while ((frame = g_queue_pop_head(&d->pending))) {
		conn_queue(d->conn, frame);
		g_bytes_unref(frame);
	}
	d->pending_bytes = 0;
}

static void on_connected(GObject *source, GAsyncResult *result, gpointer arg)
{
	struct attempt *a = arg;
	g_autoptr(GSocketConnection) socket =
		g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, NULL);
	struct peer *p = a->peer;

	if (p) {
		struct dest *d = dest_get(p, a->address);

		g_ptr_array_remove_fast(p->attempts, a);
		d->connecting = false;
		if (!socket || d->blocked)
			connect_failed(p, d, a->address);
		else
			connect_succeeded(p, d, socket, a->address);
	}
	g_object_unref(a->cancel);
	g_free(a->address);
	g_free(a);
}

static void connect_start(struct peer *p, struct dest *d, const char *address)
{
	g_autoptr(GSocketConnectable) to = g_network_address_parse(address, 0, NULL);
	struct attempt *a;

	if (!to) {
		p->stats.connect_failures++;
		return;
	}
	a = g_new0(struct attempt, 1);
	a->peer = p;
	a->address = g_strdup(address);
	a->cancel = g_cancellable_new();
	g_ptr_array_add(p->attempts, a);
	d->connecting = true;
	p->stats.connects++;
	g_socket_client_connect_async(p->client, to, a->cancel, on_connected, a);
}

void peer_send(struct peer *p, const char *address, const void *frame, size_t len)
{
	struct dest *d = dest_get(p, address);
	uint8_t *bytes = g_malloc(PREFIX_BYTES + len);
	uint32_t prefix = GUINT32_TO_BE((uint32_t)len);
	g_autoptr(GBytes) framed = g_bytes_new_take(bytes, PREFIX_BYTES + len);

	memcpy(bytes, &prefix, PREFIX_BYTES);
	memcpy(bytes + PREFIX_BYTES, frame, len);
	if (!d->blocked && !d->conn && !d->connecting &&
	    g_get_monotonic_time() >= d->next_attempt_at)
		connect_start(p, d, address);
	if (d->conn && !d->blocked) {
		conn_queue(d->conn, framed);
	} else if (d->connecting && !d->blocked &&
		   d->pending_bytes + PREFIX_BYTES + len <= PEER_QUEUE_BYTES_MAX) {
		d->pending_bytes += PREFIX_BYTES + len;
		g_queue_push_tail(&d->pending, g_bytes_ref(framed));
	} else {
		p->stats.frames_dropped++;
	}
}

void peer_close_if_idle(struct peer *p, const char *address)
{
	for (guint i = 0; i < p->conns->len; i++) {
		struct conn *c = p->conns->pdata[i];

		if (c->address && strcmp(c->address, address) == 0)
			c->last_frame_at = g_get_monotonic_time() -
					   PEER_IDLE_TIMEOUT_S * USEC_PER_SEC + CLOSE_DELAY;
	}
}

void peer_block(struct peer *p, const char *address, bool block)
{
	struct conn *c;

	dest_get(p, address)->blocked = block;
	dest_get(p, address)->next_attempt_at = 0;
	while (block && (c = conn_find(p, address)))
		conn_close(c, true);
}

#define UNUSED_DEST_KEEP (60 * USEC_PER_SEC) /* after the end of its last backoff */

static gboolean dest_is_unused(gpointer key, gpointer value, gpointer now)
{
	const struct dest *d = value;

	return !d->conn && !d->connecting && !d->blocked &&
	       d->next_attempt_at + UNUSED_DEST_KEEP < *(int64_t *)now;
}

static gboolean on_sweep(gpointer arg)
{
	struct peer *p = arg;
	int64_t now = g_get_monotonic_time();

	for (guint i = p->conns->len; i > 0; i--) {
		struct conn *c = p->conns->pdata[i - 1];
		bool timed_out = c->partial_since &&
				 now - c->partial_since > PEER_FRAME_TIMEOUT_S * USEC_PER_SEC;

		timed_out |=
			!c->address && now - c->last_frame_at > PEER_FRAME_TIMEOUT_S * USEC_PER_SEC;
		if (timed_out) {
			p->stats.timeouts++;
			conn_close(c, true);
		} else if (now - c->last_frame_at > PEER_IDLE_TIMEOUT_S * USEC_PER_SEC) {
			conn_close(c, c->out.length > 0);
		}
	}
	g_hash_table_foreach_remove(p->dests, dest_is_unused, &now);
	return G_SOURCE_CONTINUE;
}

struct peer *peer_new(const char *listen, uint64_t seed, const struct peer_events *e, int *rc)
{
	struct listener_params lp = { .addr = listen,
				      .accepted = on_incoming,
				      .uses_reserve = true };
	struct peer *p = g_new0(struct peer, 1);

	p->events = *e;
	p->client = g_socket_client_new();
	g_socket_client_set_enable_proxy(p->client, FALSE);
	g_socket_client_set_timeout(p->client, CONNECT_TIMEOUT_S);
	p->dests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, dest_free);
	p->conns = g_ptr_array_new();
	p->attempts = g_ptr_array_new();
	rng_seed(&p->rng, seed);
	lp.arg = p;
	p->listener = listener_new(&lp, rc);
	if (!p->listener) {
		peer_free(p);
		return NULL;
	}
	p->port = listener_port(p->listener);
	listener_start(p->listener);
	p->sweep = g_timeout_source_new(SWEEP_MS);
	g_source_set_callback(p->sweep, on_sweep, p, NULL);
	g_source_attach(p->sweep, g_main_context_get_thread_default());
	return p;
}

void peer_free(struct peer *p)
{
	if (!p)
		return;
	listener_free(p->listener);
	if (p->sweep) {
		g_source_destroy(p->sweep);
		g_source_unref(p->sweep);
	}
	for (guint i = 0; i < p->attempts->len; i++) {
		struct attempt *a = p->attempts->pdata[i];

		a->peer = NULL;
		g_cancellable_cancel(a->cancel);
	}
	while (p->conns->len > 0)
		conn_close(p->conns->pdata[0], false);
	g_ptr_array_unref(p->conns);
	g_ptr_array_unref(p->attempts);
	g_hash_table_unref(p->dests);
	g_object_unref(p->client);
	g_free(p);
}

uint16_t peer_port(const struct peer *p)
{
	return p->port;
}

void peer_stats(const struct peer *p, struct peer_stats *out)
{
	*out = p->stats;
	out->connections = p->conns->len;
	out->unidentified = n_unidentified(p);
}
