/**
 * DOC: http_watch
 *
 * Watches sockets for the main loop of a thread. All of them stand in one epoll set, which is a
 * single source of the loop: with a source each, every turn of the loop costs time for all idle
 * connections, of which an instance keeps some hundred.
 */
#ifndef HTTP_HTTP_WATCH_H
#define HTTP_HTTP_WATCH_H

#include <glib.h>

struct watch_set;

/** struct http_watch - a watched socket; first member of its owner */
struct http_watch {
	/* The socket is ready for @got; a hang-up or an error comes unasked. */
	void (*ready)(struct http_watch *w, GIOCondition got);
	struct watch_set *set; /* borrowed; NULL: not watched */
	int fd;
};

/** http_watch_add() - watches @fd for @events, G_IO_IN and G_IO_OUT; 0 or a negative errno */
int http_watch_add(struct http_watch *w, int fd, GIOCondition events);

/** http_watch_modify() - watches for @events from now on */
void http_watch_modify(struct http_watch *w, GIOCondition events);

/** http_watch_remove() - to be called before the socket is closed; no ready() comes after it */
void http_watch_remove(struct http_watch *w);

#endif
