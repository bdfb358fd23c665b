/**
 * DOC: place_move
 *
 * Decides whether to transfer a chat's KV cache from one engine to another by export and import, or
 * to repeat the prefill there.
 */
#ifndef PLACE_PLACE_MOVE_H
#define PLACE_PLACE_MOVE_H

#include <stdbool.h>

/** struct place_move - inputs of the decision */
struct place_move {
	double tokens; /* of context cached at the source */
	double bytes_per_token; /* of the KV cache */
	double link_rate; /* bytes per second available to the transfer between the engines */
	double setup_time; /* microseconds for export request, import request and first byte */
	double prefill_rate; /* tokens per second at the target */
	double prefill_wait; /* microseconds until the target's prefill would start */
	double use_probability; /* of the context at the target; 1 if a request waits for it */
	bool concurrent_export; /* the export runs without stopping decoding at the source */
	double stall_time; /* microseconds that streams at the source stop if not concurrent */
};

/** struct place_move_cost - expected microseconds of both ways, and which one to take */
struct place_move_cost {
	double transfer; /* until the context is usable at the target */
	double recompute; /* prefill instead, times use_probability */
	bool move; /* the transfer is cheaper by the margin, see place_move.c */
};

/** place_move_decide() - compares both costs; a rate of 0 makes the cost INFINITY */
void place_move_decide(const struct place_move *m, struct place_move_cost *out);

/** place_move_break_even_tokens() - least tokens for which to transfer, INFINITY if none */
double place_move_break_even_tokens(const struct place_move *m);

#endif
