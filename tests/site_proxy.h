/**
 * DOC: site_proxy
 *
 * Loopback proxy between two parts of the stand-in site, which spoils connections from outside:
 * delays, resets, silence, bytes that pass one way only.
 */
#ifndef TESTS_SITE_PROXY_H
#define TESTS_SITE_PROXY_H

#include <stdint.h>

#define SITE_PROXY_MODES(X)                                                                        \
	X(PASS, "pass")                                                                            \
	X(DELAY, "delay") /* each piece is held for a while */                                     \
	X(BLACKHOLE, "silent") /* open connections stay open and carry nothing; new ones hang */   \
	X(NO_RESPONSES, "no_answers") /* bytes pass towards the target only */                     \
	X(RESET, "reset") /* open connections are reset, and new ones */

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

/** site_proxy_set() - changes the mode; what was held by a silent one is lost with a reset */
void site_proxy_set(struct site_proxy *x, enum site_proxy_mode mode, uint32_t delay_ms);

const char *site_proxy_mode_name(enum site_proxy_mode mode);

#endif
