/**
 * DOC: timer
 *
 * Timer service. Modules subscribe periodic or one-shot callbacks; the owner of the clock (the
 * daemon's main loop, or a test in virtual time) calls timer_advance().
 */
#ifndef BASE_TIMER_H
#define BASE_TIMER_H

#include <stdint.h>

struct timer_svc;

/** typedef timer_fn - callback; @now is the current time in microseconds */
typedef void (*timer_fn)(void *arg, int64_t now);

/** timer_svc_new() - service without subscriptions; free with timer_svc_free() */
struct timer_svc *timer_svc_new(void);

/** timer_svc_free() - frees the service and all subscriptions */
void timer_svc_free(struct timer_svc *s);

/**
 * timer_subscribe() - calls @fn at time @first and then every @period microseconds
 *
 * Returns a positive id for timer_cancel(). With a @period of 0 @fn is called once.
 */
uint32_t timer_subscribe(struct timer_svc *s, int64_t first, int64_t period, timer_fn fn,
			 void *arg);

/** timer_cancel() - ends a subscription; an unknown id is ignored */
void timer_cancel(struct timer_svc *s, uint32_t id);

/** timer_next() - time of the next callback, INT64_MAX if there is none */
int64_t timer_next(const struct timer_svc *s);

/**
 * timer_advance() - calls all callbacks due at or before @now
 *
 * A periodic callback that missed several periods is called once, not once per missed period.
 */
void timer_advance(struct timer_svc *s, int64_t now);

#endif
