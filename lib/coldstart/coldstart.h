/**
 * DOC: coldstart
 *
 * Limits the requests to a cold upstream, one that has just started or was idle, summed over all
 * instances, without a message between them. While it is cold only a few instances send to it, those
 * that come first by rendezvous hashing of instance and upstream, and each of them keeps a minimum
 * spacing between its requests. The aim is well below the platform's bound, which so holds too while
 * the instances' lists of each other differ by a factor of two and requests arrive late.
 *
 * The library owns no clock: the caller passes in the time. What counts as evidence that an upstream
 * is cold or warm is decided in lib/relay.
 */
#ifndef COLDSTART_COLDSTART_H
#define COLDSTART_COLDSTART_H

#include <stdbool.h>
#include <stdint.h>

/* Longest cold time that is believed, in microseconds: a day. */
#define COLDSTART_TIME_MAX ((int64_t)86400 * 1000000)

/** struct coldstart_bound - what all instances together may send to one cold upstream */
struct coldstart_bound {
	double rate; /* requests per second that it takes; 0: no limit */
	double factor; /* of the rate that the platform tolerates */
	double slack; /* requests that it tolerates in addition, in any one second */
};

/** struct coldstart_share - what one instance may send to one cold upstream */
struct coldstart_share {
	uint32_t senders; /* instances that may send; 0: no limit */
	int64_t spacing; /* microseconds between two requests of a sender */
	int64_t first_within; /* microseconds over which the senders spread their first ones */
};

/** struct coldstart - one upstream as this instance sees it; zeroed: warm */
struct coldstart {
	int64_t until; /* cold before that time */
	int64_t next_at; /* earliest time of this instance's next request; valid while cold */
};

/** coldstart_share() - shares of a bound */
struct coldstart_share coldstart_share(const struct coldstart_bound *b);

/**
 * coldstart_is_sender() - whether instance @self may send to @upstream while it is cold
 * @instances: hashes of the known live instances; may include @self
 */
bool coldstart_is_sender(const uint64_t *instances, uint32_t n, uint64_t self, uint64_t upstream,
			 uint32_t senders);

/** coldstart_set() - the upstream stays cold for @left microseconds; 0: it is warm */
void coldstart_set(struct coldstart *c, int64_t left, int64_t now);

static inline bool coldstart_is_cold(const struct coldstart *c, int64_t now)
{
	return now < c->until;
}

/** coldstart_begin() - instance @self found that @upstream is cold, which it was not before */
void coldstart_begin(struct coldstart *c, const struct coldstart_share *share, uint64_t self,
		     uint64_t upstream, int64_t now);

/** coldstart_wait() - microseconds until this instance may send a request; 0: now */
int64_t coldstart_wait(const struct coldstart *c, bool is_sender, int64_t now);

/** coldstart_sent() - this instance sends a request now */
void coldstart_sent(struct coldstart *c, const struct coldstart_share *share, int64_t now);

#endif
