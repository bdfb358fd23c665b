#include "http/http_watch.h"

#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Maximum number of sockets served per main loop iteration; later iterations serve the others. */
#define READY_MAX 64

/* The sockets of one thread. Created with the first watch, freed with the last. */
struct watch_set {
	GSource source; /* must be the first member */
	int epoll_fd;
	uint32_t n_watches;
	/* Sockets of the current dispatch; NULL: already served, or removed by a callback. */
	struct http_watch *ready[READY_MAX];
	int n_ready;
};

static GPrivate thread_set;

static uint32_t to_epoll(GIOCondition c)
{
	return (c & G_IO_IN ? EPOLLIN : 0U) | (c & G_IO_OUT ? EPOLLOUT : 0U);
}

static GIOCondition from_epoll(uint32_t e)
{
	GIOCondition c = 0;

	if (e & EPOLLIN)
		c |= G_IO_IN;
	if (e & EPOLLOUT)
		c |= G_IO_OUT;
	if (e & EPOLLHUP)
		c |= G_IO_HUP;
	if (e & EPOLLERR)
		c |= G_IO_ERR;
	return c;
}

static gboolean dispatch(GSource *source, GSourceFunc fn, gpointer arg)
{
	struct watch_set *s = (struct watch_set *)source;
	struct epoll_event events[READY_MAX];
	int n = epoll_wait(s->epoll_fd, events, READY_MAX, 0);

	s->n_ready = MAX(n, 0);
	for (int i = 0; i < s->n_ready; i++)
		s->ready[i] = events[i].data.ptr;
	for (int i = 0; i < s->n_ready; i++) {
		struct http_watch *w = s->ready[i];

		s->ready[i] = NULL;
		if (w)
			w->ready(w, from_epoll(events[i].events));
	}
	s->n_ready = 0;
	return G_SOURCE_CONTINUE;
}

static void finalize(GSource *source)
{
	close(((struct watch_set *)source)->epoll_fd);
}

static GSourceFuncs source_funcs = { NULL, NULL, dispatch, finalize, NULL, NULL };

/* Returns the set of this thread, created at first use; on failure NULL with errno set. */
static struct watch_set *get_thread_set(void)
{
	struct watch_set *s = g_private_get(&thread_set);
	GSource *source;
	int fd;

	if (s)
		return s;
	fd = epoll_create1(EPOLL_CLOEXEC);
	if (fd < 0)
		return NULL;
	source = g_source_new(&source_funcs, sizeof(struct watch_set));
	s = (struct watch_set *)source;
	s->epoll_fd = fd;
	g_source_add_unix_fd(source, fd, G_IO_IN);
	g_source_attach(source, g_main_context_get_thread_default());
	g_private_set(&thread_set, s);
	return s;
}

static void free_set_if_empty(struct watch_set *s)
{
	if (s->n_watches > 0)
		return;
	g_private_set(&thread_set, NULL);
	g_source_destroy(&s->source);
	g_source_unref(&s->source);
}

int http_watch_add(struct http_watch *w, int fd, GIOCondition events)
{
	struct watch_set *s = get_thread_set();
	struct epoll_event e = { .events = to_epoll(events), .data = { .ptr = w } };
	int rc = 0;

	if (!s)
		return -errno;
	if (epoll_ctl(s->epoll_fd, EPOLL_CTL_ADD, fd, &e) < 0) {
		rc = -errno;
		free_set_if_empty(s);
		return rc;
	}
	s->n_watches++;
	w->set = s;
	w->fd = fd;
	return 0;
}

void http_watch_modify(struct http_watch *w, GIOCondition events)
{
	struct epoll_event e = { .events = to_epoll(events), .data = { .ptr = w } };

	/* Can fail only if the socket is not in the set. */
	if (w->set && epoll_ctl(w->set->epoll_fd, EPOLL_CTL_MOD, w->fd, &e) < 0)
		g_critical("http: watch events of socket %d not changed: %s", w->fd,
			   g_strerror(errno));
}

void http_watch_remove(struct http_watch *w)
{
	struct watch_set *s = w->set;

	if (!s)
		return;
	epoll_ctl(s->epoll_fd, EPOLL_CTL_DEL, w->fd, NULL);
	for (int i = 0; i < s->n_ready; i++) {
		if (s->ready[i] == w)
			s->ready[i] = NULL;
	}
	w->set = NULL;
	s->n_watches--;
	/* During a dispatch GLib holds its own reference to the source. */
	free_set_if_empty(s);
}
