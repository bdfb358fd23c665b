/**
 * DOC: place_move
 *
 * Whether to move a chat's KV cache from one engine to another by export and import, or to compute
 * the prompt again there.
 */
#ifndef PLACE_PLACE_MOVE_H
#define PLACE_PLACE_MOVE_H

#include <stdbool.h>

/** struct place_move - what a move would take */
struct place_move {
	double tokens; /* reusable context at the source */
	double bytes_per_token; /* of the KV cache */
	double link_rate; /* bytes per second between the engines, shared part */
	double setup_time; /* microseconds for the export order, the import order and the first byte */
	double prefill_rate; /* tokens per second at the target */
	double prefill_wait; /* microseconds until the target's prefill would start */
	double use_probability; /* that the context is used at the target: 1 for a request that waits */
	bool concurrent_export; /* the export goes on at the source beside decoding, without stopping it */
	double stall_time; /* microseconds that other streams at the source wait if it does not copy */
};

/** struct place_move_cost - both ways in microseconds of the target and the caller */
struct place_move_cost {
	double transfer; /* until the context is usable at the target */
	double recompute;
	bool move; /* the transfer is the cheaper way */
};

/** place_move_decide() - compares both ways; a rate of zero means that the way is closed */
void place_move_decide(const struct place_move *m, struct place_move_cost *out);

/** place_move_break_even_tokens() - context from which on a move pays, INFINITY if it never does */
double place_move_break_even_tokens(const struct place_move *m);

#endif
