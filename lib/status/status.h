/**
 * DOC: status
 *
 * A small HTTP server for load balancers, monitoring and operators. Each path has a function that
 * writes the response; other paths get 404. Methods and bodies of requests are ignored.
 */
#ifndef STATUS_STATUS_H
#define STATUS_STATUS_H

#include <glib.h>

#include "http/http.h"

/** typedef status_fn - appends the response body to @body and returns the HTTP status */
typedef int (*status_fn)(void *arg, GString *body);

/** typedef status_query_fn - the same for request @h, as JSON */
typedef int (*status_query_fn)(void *arg, const struct http_head *h, GString *body);

struct status;

/** status_new() - listens on @addr ("IP:PORT"); NULL with @rc set to a negative errno */
struct status *status_new(const char *addr, int *rc);
void status_free(struct status *s);

/** status_add_page() - serves @path by calling @fn; @path and @arg must outlive @s */
void status_add_page(struct status *s, const char *path, status_fn fn, void *arg);

/** status_add_query() - serves all paths that begin with @prefix by calling @fn */
void status_add_query(struct status *s, const char *prefix, status_query_fn fn, void *arg);

/** status_metrics_page() - a status_fn that prints all counters and histograms of the process */
int status_metrics_page(void *arg, GString *body);

#endif
