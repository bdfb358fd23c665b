#include "base/hlc.h"

#define HLC_LOGICAL_BITS 20
#define HLC_MAX_AHEAD_MS 60000

uint64_t hlc_now(struct hlc *c, int64_t wall_us)
{
	uint64_t wall = (uint64_t)(wall_us / 1000) << HLC_LOGICAL_BITS;

	c->last = wall > c->last ? wall : c->last + 1;
	return c->last;
}

uint64_t hlc_receive(struct hlc *c, int64_t wall_us, uint64_t remote)
{
	if (hlc_wall_ms(remote) <= wall_us / 1000 + HLC_MAX_AHEAD_MS && remote > c->last)
		c->last = remote;
	return hlc_now(c, wall_us);
}

int64_t hlc_wall_ms(uint64_t stamp)
{
	return (int64_t)(stamp >> HLC_LOGICAL_BITS);
}
