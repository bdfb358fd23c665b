#include "site_proxy.h"

#include <errno.h>
#include <glib-unix.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.h"
#include "listen/listen.h"

#define CHUNK_BYTES    16384
#define FLUSH_CHECK_MS 5

struct pipe_end {
	struct pair *pair;
	int fd; /* -1: closed */
	guint source; /* watches fd for input */
	GQueue pending; /* of struct chunk, to be sent to fd */
	guint timer;
	bool at_end; /* the other end sent EOF */
};

struct chunk {
	gint64 due; /* monotonic time, microseconds */
	gsize len;
	char data[];
};

/* One proxied connection; ends[0] is the client, ends[1] the target. */
struct pair {
	struct site_proxy *proxy;
	struct pipe_end ends[2];
};

struct site_proxy {
	int fd;
	guint source;
	uint16_t target;
	enum site_proxy_mode mode;
	uint32_t delay_ms;
	GPtrArray *pairs; /* of struct pair, owned */
};

const char *site_proxy_mode_name(enum site_proxy_mode mode)
{
	static const char *const names[] = {
#define X(name, text) text,
		SITE_PROXY_MODES(X)
#undef X
	};

	return names[mode];
}

static void close_end(struct pipe_end *e, bool reset)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };
	struct chunk *p;

	if (e->source)
		g_source_remove(e->source);
	if (e->timer)
		g_source_remove(e->timer);
	e->source = 0;
	e->timer = 0;
	while ((p = g_queue_pop_head(&e->pending)))
		g_free(p);
	if (e->fd < 0)
		return;
	if (reset)
		setsockopt(e->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(e->fd);
	e->fd = -1;
}

static void pair_free(gpointer arg)
{
	struct pair *p = arg;

	close_end(&p->ends[0], true);
	close_end(&p->ends[1], true);
	g_free(p);
}

static gboolean on_flush_timer(gpointer arg);

/* Sends the due chunks to @e and starts a timer if others are pending. */
static void flush_due(struct pipe_end *e)
{
	struct chunk *p;

	while ((p = g_queue_peek_head(&e->pending)) && p->due <= g_get_monotonic_time()) {
		/* Chunks are small; a short write means that the peer does not read: reset. */
		if (p->len && send(e->fd, p->data, p->len, MSG_NOSIGNAL) != (gssize)p->len) {
			g_ptr_array_remove(e->pair->proxy->pairs, e->pair);
			return;
		}
		g_free(g_queue_pop_head(&e->pending));
	}
	if (p && !e->timer)
		e->timer = g_timeout_add(FLUSH_CHECK_MS, on_flush_timer, e);
	if (!p && e->at_end)
		shutdown(e->fd, SHUT_WR);
}

static gboolean on_flush_timer(gpointer arg)
{
	struct pipe_end *e = arg;

	e->timer = 0;
	flush_due(e);
	return G_SOURCE_REMOVE;
}

static gboolean on_readable(gint fd, GIOCondition cond, gpointer arg)
{
	struct pipe_end *from = arg;
	struct pair *pair = from->pair;
	struct site_proxy *x = pair->proxy;
	struct pipe_end *to = &pair->ends[from == &pair->ends[0]];
	struct chunk *p = g_malloc(sizeof(*p) + CHUNK_BYTES);
	ssize_t n = recv(fd, p->data, CHUNK_BYTES, 0);
	bool dropped = x->mode == SITE_PROXY_BLACKHOLE ||
		       (x->mode == SITE_PROXY_NO_RESPONSES && from == &pair->ends[1]);

	if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
		g_free(p);
		return G_SOURCE_CONTINUE;
	}
	if (n < 0 || dropped) {
		g_free(p);
		if (n > 0)
			return G_SOURCE_CONTINUE;
		from->source = 0;
		if (n < 0)
			g_ptr_array_remove(x->pairs, pair);
		return G_SOURCE_REMOVE;
	}
	if (n == 0) {
		g_free(p);
		from->source = 0;
		to->at_end = true;
		flush_due(to);
		return G_SOURCE_REMOVE;
	}
	p->len = (gsize)n;
	p->due = g_get_monotonic_time() +
		 (x->mode == SITE_PROXY_DELAY ? (gint64)x->delay_ms * 1000 : 0);
	g_queue_push_tail(&to->pending, p);
	flush_due(to);
	return G_SOURCE_CONTINUE;
}

static int connect_to(uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
		close(fd);
		return -1;
	}
	g_unix_set_fd_nonblocking(fd, TRUE, NULL);
	return fd;
}

static gboolean on_accept(gint fd, GIOCondition cond, gpointer arg)
{
	struct site_proxy *x = arg;
	int sock = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct pair *p;

	if (sock < 0)
		return G_SOURCE_CONTINUE;
	p = g_new0(struct pair, 1);
	p->proxy = x;
	for (int i = 0; i < 2; i++) {
		p->ends[i].pair = p;
		p->ends[i].fd = -1;
		g_queue_init(&p->ends[i].pending);
	}
	p->ends[0].fd = sock;
	g_ptr_array_add(x->pairs, p);
	if (x->mode == SITE_PROXY_BLACKHOLE)
		return G_SOURCE_CONTINUE;
	p->ends[1].fd = x->mode == SITE_PROXY_RESET ? -1 : connect_to(x->target);
	if (p->ends[1].fd < 0) {
		g_ptr_array_remove(x->pairs, p);
		return G_SOURCE_CONTINUE;
	}
	for (int i = 0; i < 2; i++)
		p->ends[i].source = g_unix_fd_add(p->ends[i].fd, G_IO_IN, on_readable, &p->ends[i]);
	return G_SOURCE_CONTINUE;
}

struct site_proxy *site_proxy_new(uint16_t port, uint16_t target)
{
	struct site_proxy *x = g_new0(struct site_proxy, 1);
	g_autofree char *addr = g_strdup_printf("127.0.0.1:%u", port);

	x->target = target;
	x->pairs = g_ptr_array_new_with_free_func(pair_free);
	x->fd = listen_open(addr);
	g_assert_cmpint(x->fd, >=, 0);
	x->source = g_unix_fd_add(x->fd, G_IO_IN, on_accept, x);
	return x;
}

void site_proxy_free(struct site_proxy *x)
{
	g_source_remove(x->source);
	close(x->fd);
	g_ptr_array_unref(x->pairs);
	g_free(x);
}

void site_proxy_set(struct site_proxy *x, enum site_proxy_mode mode, uint32_t delay_ms)
{
	bool dropped_data = x->mode == SITE_PROXY_BLACKHOLE || x->mode == SITE_PROXY_NO_RESPONSES;

	x->mode = mode;
	x->delay_ms = delay_ms;
	if (mode == SITE_PROXY_RESET || dropped_data)
		g_ptr_array_set_size(x->pairs, 0);
}
