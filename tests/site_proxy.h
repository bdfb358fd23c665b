/**
 * DOC: site_proxy
 *
 * Loopback proxy between two members of the test deployment, which injects network faults: delays,
 * resets, dropped data in one or both directions.
 */
#ifndef TESTS_SITE_PROXY_H
#define TESTS_SITE_PROXY_H

#include <stdint.h>

#define SITE_PROXY_MODES(X)                                                                        \
	X(PASS, "pass")                                                                            \
	X(DELAY, "delay") /* forwards each chunk of data after a delay */                          \
	X(BLACKHOLE, "silent") /* open connections carry no data; new ones hang */                 \
	X(NO_RESPONSES, "no_answers") /* forwards data towards the target only */                  \
	X(RESET, "reset") /* resets open and new connections */

enum site_proxy_mode {
#define X(name, text) SITE_PROXY_##name,
	SITE_PROXY_MODES(X)
#undef X
	SITE_PROXY_MODE_COUNT,
};

struct site_proxy;

/** site_proxy_new() - listens on @port and connects to @target, both on loopback */
struct site_proxy *site_proxy_new(uint16_t port, uint16_t target);
void site_proxy_free(struct site_proxy *x);

/**
 * site_proxy_set() - changes the mode; resets all connections if the new mode is RESET or the old
 * one drops data
 */
void site_proxy_set(struct site_proxy *x, enum site_proxy_mode mode, uint32_t delay_ms);

const char *site_proxy_mode_name(enum site_proxy_mode mode);

#endif
