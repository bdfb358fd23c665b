/**
 * DOC: hlc
 *
 * Hybrid logical clock (Kulkarni et al.): 44 bits of milliseconds since the epoch and 20 bits of
 * a logical counter. Stamps of different processes follow the causal order of their events.
 */
#ifndef BASE_HLC_H
#define BASE_HLC_H

#include <stdint.h>

struct hlc {
	uint64_t last; /* largest stamp issued or accepted */
};

/** hlc_now() - stamp of a local event at wall time @wall_us (microseconds since the epoch) */
uint64_t hlc_now(struct hlc *c, int64_t wall_us);

/**
 * hlc_receive() - stamp for the receipt of a message that has the stamp @remote
 *
 * A @remote stamp more than a minute ahead of @wall_us is ignored, so that an instance with a
 * wrong clock can't advance the clocks of all others.
 */
uint64_t hlc_receive(struct hlc *c, int64_t wall_us, uint64_t remote);

/** hlc_wall_ms() - the millisecond part of @stamp */
int64_t hlc_wall_ms(uint64_t stamp);

#endif
