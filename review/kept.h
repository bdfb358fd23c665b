/**
 * DOC: kept
 *
 * A caller that sends one request after the other on a connection that it keeps open.
 */
#ifndef REVIEW_KEPT_H
#define REVIEW_KEPT_H

#include "tests/site_case.h"

struct kept {
	const struct site_instance *instance;
	struct http_conn *conn; /* owned; NULL: closed */
	char id[32]; /* of the current or last request */
	int status; /* of its response; 0: none yet */
	bool busy; /* a request was sent, and its response is not complete */
	bool cut; /* the connection was closed while busy */
	guint served; /* complete responses on the connection */
};

/** kept_open() - opens the connection of @k to @i */
void kept_open(struct kept *k, const struct site_instance *i);
void kept_close(struct kept *k);

/** kept_send() - sends a request on the open connection; @extra: header lines or "" */
void kept_send(struct kept *k, const char *path, const char *id, const char *extra);

#endif
