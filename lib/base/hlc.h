/**
 * DOC: hlc
 *
 * Hybrid logical clock (Kulkarni et al.): 44 bits of milliseconds and 20 bits of a logical
 * counter, so that stamps of different processes order events by cause.
 */
#ifndef BASE_HLC_H
#define BASE_HLC_H

#include <stdint.h>

struct hlc {
	uint64_t last; /* largest stamp given out or received */
};

/** hlc_now() - stamp of a local event at wall time @wall_us (microseconds) */
uint64_t hlc_now(struct hlc *c, int64_t wall_us);

/**
 * hlc_receive() - stamp of the receipt of a message stamped @remote
 *
 * A @remote stamp more than a minute ahead of @wall_us is not taken over, so that one instance
 * with a wrong clock can't move the clocks of all.
 */
uint64_t hlc_receive(struct hlc *c, int64_t wall_us, uint64_t remote);

/** hlc_wall_ms() - the millisecond part of @stamp */
int64_t hlc_wall_ms(uint64_t stamp);

#endif
