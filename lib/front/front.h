/**
 * DOC: front
 *
 * The front task of an instance: the HTTP servers for callers and operators, the request path, and
 * the state of admission, placement, retry and poison detection. Everything runs in the main
 * context of the thread that calls front_new().
 */
#ifndef FRONT_FRONT_H
#define FRONT_FRONT_H

#include "base/base.h"
#include "conf/conf.h"

struct front;

/**
 * front_new() - opens the listeners and starts the control task
 * @s: borrowed, must outlive the front
 * @err: on failure, the setting that failed and the reason
 *
 * Returns NULL on failure, with @rc set to a negative errno number: -EADDRINUSE or -EADDRNOTAVAIL if
 * a listener's address may become available.
 */
struct front *front_new(const struct conf_settings *s, int *rc, struct conf_error *err);
void front_free(struct front *f);

/** front_reload() - reloads the configuration file */
void front_reload(struct front *f);

/**
 * front_shutdown() - shuts down gracefully, then calls @done
 *
 * /readyz returns 503 immediately. The listener for callers closes after the shutdown_delay of the
 * settings; requests in flight then have up to shutdown_limit to complete.
 */
void front_shutdown(struct front *f, void (*done)(void *arg), void *arg);

#endif
