/**
 * DOC: front
 *
 * The front task: callers' and operators' listeners, the request path, and the decision state of an
 * instance. Everything runs on the main context of the thread that calls front_new().
 */
#ifndef FRONT_FRONT_H
#define FRONT_FRONT_H

#include "base/base.h"
#include "conf/conf.h"

struct front;

/**
 * front_new() - opens the listeners and starts the control task
 * @s: borrowed, must outlive the front
 * @err: filled on failure with the address that can't be used
 *
 * Returns NULL on failure.
 */
struct front *front_new(const struct conf_settings *s, struct conf_error *err);
void front_free(struct front *f);

/** front_reload() - reads the configuration file again */
void front_reload(struct front *f);

/**
 * front_shutdown() - takes no new work, finishes what is in flight, then calls @done
 *
 * /readyz answers 503 at once; the listener closes after the settings' delay; requests in flight
 * are finished up to the settings' limit.
 */
void front_shutdown(struct front *f, void (*done)(void *arg), void *arg);

#endif
