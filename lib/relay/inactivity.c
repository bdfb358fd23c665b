#include "relay/inactivity.h"

#include "base/base.h"

/* First output, in multiples of the route's latency goal. */
#define FIRST_OUTPUT_GOALS 2.5
#define MIN_FIRST_OUTPUT   (400 * USEC_PER_MSEC) /* several times the slowest plain HTTP call */
/*
 * First event of a stream. Callers cancel after 2 s without one, and then it is not known whether
 * an upstream hung that sent nothing to others either.
 */
#define MIN_EVENT	(1 * USEC_PER_SEC)
#define MAX_EVENT_QUIET (1800 * USEC_PER_MSEC)
#define MAX_EVENT	(6 * USEC_PER_SEC)
/*
 * The expected time to the first event is a low estimate (prefill.h): engines prefill prompts in
 * turn with the tokens of other requests, and are slower for some hundred milliseconds at a time.
 */
#define EXPECTED_FACTOR 3.0
#define NEXT_EVENT_GAPS 4 /* multiples of the route's event_gap */

int64_t inactivity_first_output(const struct cat_route *r, int64_t expected, bool responsive)
{
	int64_t by_goal = (int64_t)(FIRST_OUTPUT_GOALS * (double)r->goal);
	int64_t by_work;

	if (r->kind != CAT_STREAM)
		return MAX(by_goal, MIN_FIRST_OUTPUT);
	by_work = MIN_EVENT + (int64_t)(EXPECTED_FACTOR * (double)expected);
	return MAX(by_goal, MIN(by_work, responsive ? MAX_EVENT : MAX_EVENT_QUIET));
}

int64_t inactivity_next_event(const struct cat_route *r)
{
	return MAX(NEXT_EVENT_GAPS * r->event_gap, MIN_EVENT);
}
