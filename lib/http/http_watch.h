/**
 * DOC: http_watch
 *
 * Watches sockets in the main loop of a thread. All sockets of a thread are in one epoll set, which
 * is a single GSource: with one GSource per socket, each iteration of the main loop would take time
 * for every idle connection, and an instance has several hundred.
 */
#ifndef HTTP_HTTP_WATCH_H
#define HTTP_HTTP_WATCH_H

#include <glib.h>

struct watch_set;

/** struct http_watch - a watched socket, embedded as the first member of its owner */
struct http_watch {
	/* The socket is ready for @events; G_IO_HUP and G_IO_ERR are always reported. */
	void (*ready)(struct http_watch *w, GIOCondition events);
	struct watch_set *set; /* not owned; NULL: not watched */
	int fd;
};

/** http_watch_add() - watches @fd for @events (G_IO_IN, G_IO_OUT); returns 0 or a negative errno */
int http_watch_add(struct http_watch *w, int fd, GIOCondition events);

/** http_watch_modify() - replaces the events that are watched */
void http_watch_modify(struct http_watch *w, GIOCondition events);

/** http_watch_remove() - ends the ready() calls of @w; to be called before the socket is closed */
void http_watch_remove(struct http_watch *w);

#endif
