#include "listen/listen.h"

#include <errno.h>
#include <fcntl.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG	     512 /* connections that wait */
#define ACCEPT_BATCH 32U /* connections per iteration of the main loop */
#define WAITING_MAX  1024U /* accepted by listener_stop() */
#define PAUSE_MS     100U /* until it is tried again to accept */
/* Part of the limit of descriptors that callers may not use, and bounds of that reserve. */
#define RESERVE_FRACTION 8
#define RESERVE_MIN	 16
#define RESERVE_MAX	 512

struct listener {
	struct listener_params params; /* without addr */
	int fd; /* -1: closed */
	uint16_t port;
	GSource *source; /* owned, NULL: doesn't accept now */
	GSource *pause_timer; /* owned, NULL: not paused */
	bool is_short; /* few descriptors are left outside the reserve: checked before each accept */
};

/* Descriptors with this number or a higher one belong to the reserve. */
static int reserve_start(void)
{
	struct rlimit limit;
	rlim_t reserve;

	if (getrlimit(RLIMIT_NOFILE, &limit) < 0 || limit.rlim_cur > G_MAXINT)
		return G_MAXINT;
	reserve = CLAMP(limit.rlim_cur / RESERVE_FRACTION, RESERVE_MIN, RESERVE_MAX);
	return (int)(limit.rlim_cur > reserve ? limit.rlim_cur - reserve : 0);
}

/* The next descriptor that the kernel will assign; G_MAXINT: none is left. */
static int next_descriptor(const struct listener *l)
{
	int fd = fcntl(l->fd, F_DUPFD_CLOEXEC, 0);

	if (fd < 0)
		return G_MAXINT;
	close(fd);
	return fd;
}

/* Whether a connection may be accepted without use of the reserve. */
static bool has_room(struct listener *l)
{
	int reserve = reserve_start();
	int next = next_descriptor(l);
	bool full = next >= reserve;

	if (full && l->params.make_room && l->params.make_room(l->params.arg))
		next = next_descriptor(l);
	/* The one that was made free may have a low number, with all higher ones in use. */
	l->is_short = full || next >= reserve / 2;
	return next < reserve;
}

uint32_t listen_descriptors_left(uint32_t most)
{
	int fds[LISTEN_LEFT_MAX];
	uint32_t n = 0;

	while (n < MIN(most, LISTEN_LEFT_MAX) &&
	       (fds[n] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) >= 0)
		n++;
	for (uint32_t i = 0; i < n; i++)
		close(fds[i]);
	return n;
}

/* Takes over @s, which runs on the loop of the calling thread. */
static GSource *attach(GSource *s, GSourceFunc fn, struct listener *l)
{
	g_source_set_callback(s, fn, l, NULL);
	g_source_attach(s, g_main_context_get_thread_default());
	return s;
}

static void detach(GSource **s)
{
	if (!*s)
		return;
	g_source_destroy(*s);
	g_clear_pointer(s, g_source_unref);
}

static gboolean on_pause_end(gpointer arg)
{
	struct listener *l = arg;

	if (!l->params.uses_reserve && !has_room(l))
		return G_SOURCE_CONTINUE;
	detach(&l->pause_timer);
	listener_start(l);
	return G_SOURCE_REMOVE;
}

/* A listener that can't accept stays ready: watching it on would use a whole core. */
static void pause_accepting(struct listener *l)
{
	detach(&l->source);
	if (!l->pause_timer)
		l->pause_timer = attach(g_timeout_source_new(PAUSE_MS), on_pause_end, l);
}

/* Returns false if there is no connection or it can't be accepted. */
static bool accept_one(struct listener *l)
{
	int fd;

	if (l->is_short && !has_room(l)) {
		pause_accepting(l);
		return false;
	}
	fd = accept4(l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd >= 0) {
		/* All lower descriptors are in use. */
		l->is_short = l->is_short || (!l->params.uses_reserve && fd + 1 >= reserve_start());
		l->params.accepted(l->params.arg, fd);
		return true;
	}
	if (errno == ECONNABORTED || errno == EINTR)
		return true;
	if (errno != EAGAIN)
		pause_accepting(l);
	return false;
}

static gboolean on_ready(gint fd, GIOCondition cond, gpointer arg)
{
	struct listener *l = arg;

	for (uint32_t i = 0; i < ACCEPT_BATCH && accept_one(l); i++)
		;
	return G_SOURCE_CONTINUE;
}

static bool parse_address(const char *addr, struct sockaddr_storage *out, socklen_t *len)
{
	g_autoptr(GSocketConnectable) parsed = NULL;
	g_autoptr(GSocketAddress) address = NULL;
	GNetworkAddress *n;

	if (!addr || !strchr(addr, ':'))
		return false;
	parsed = g_network_address_parse(addr, 0, NULL);
	if (!parsed)
		return false;
	n = G_NETWORK_ADDRESS(parsed);
	address = g_inet_socket_address_new_from_string(g_network_address_get_hostname(n),
							g_network_address_get_port(n));
	if (!address)
		return false;
	*len = (socklen_t)g_socket_address_get_native_size(address);
	return g_socket_address_to_native(address, out, sizeof(*out), NULL);
}

int listen_open(const char *addr)
{
	struct sockaddr_storage sa;
	socklen_t len;
	int one = 1;
	int fd;
	int rc;

	if (!parse_address(addr, &sa, &len))
		return -EINVAL;
	fd = socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -errno;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, len) == 0 && listen(fd, BACKLOG) == 0)
		return fd;
	rc = -errno;
	close(fd);
	return rc;
}

static uint16_t get_port(int fd)
{
	g_autoptr(GSocketAddress) address = NULL;
	struct sockaddr_storage sa;
	socklen_t len = sizeof(sa);

	if (getsockname(fd, (struct sockaddr *)&sa, &len) < 0)
		return 0;
	address = g_socket_address_new_from_native(&sa, len);
	return address ? g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address)) : 0;
}

struct listener *listener_new(const struct listener_params *p, int *rc)
{
	struct listener *l;
	int fd = listen_open(p->addr);

	*rc = MIN(fd, 0);
	if (fd < 0)
		return NULL;
	l = g_new0(struct listener, 1);
	l->params = *p;
	l->params.addr = NULL;
	l->fd = fd;
	l->port = get_port(fd);
	return l;
}

void listener_start(struct listener *l)
{
	if (l->fd >= 0 && !l->source && !l->pause_timer)
		l->source =
			attach(g_unix_fd_source_new(l->fd, G_IO_IN), G_SOURCE_FUNC(on_ready), l);
}

static void close_listener(struct listener *l)
{
	if (l->fd < 0)
		return;
	detach(&l->source);
	detach(&l->pause_timer);
	close(l->fd);
	l->fd = -1;
}

void listener_stop(struct listener *l)
{
	if (l->fd < 0)
		return;
	for (uint32_t i = 0; i < WAITING_MAX && !l->pause_timer && accept_one(l); i++)
		;
	close_listener(l);
}

bool listener_is_open(const struct listener *l)
{
	return l->fd >= 0;
}

uint16_t listener_port(const struct listener *l)
{
	return l->port;
}

void listener_free(struct listener *l)
{
	if (!l)
		return;
	close_listener(l);
	g_free(l);
}
