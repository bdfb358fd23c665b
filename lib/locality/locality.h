/**
 * DOC: locality
 *
 * Chooses the upstream of a request by what is likely to be in the upstreams' prompt memory. A
 * prompt is an ordered list of parts that requests share; a part is reused where all parts before
 * it are held as well.
 *
 * The upstreams are ordered by weighted rendezvous hashing on the chat, the last part that outlives
 * the request, so that instances agree on a chat's home without shared state; they tell each
 * other of chats that are read elsewhere (locality_choice.report_part). Among the upstreams under the load
 * bound the least expected time to the first token wins. The bound is that of
 * consistent hashing with bounded loads (Mirrokni et al.), counted in requests.
 *
 * Loads are some hundred milliseconds old, and all instances see the same ones. So that they don't
 * all leave an upstream at the same moment and come back at the same moment, a request meets a
 * bound that is drawn for it from the last part below the real one, as in random early detection
 * (Floyd and Jacobson): the fuller an upstream is, the fewer requests it gets.
 */
#ifndef LOCALITY_LOCALITY_H
#define LOCALITY_LOCALITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Parts of one prompt that are told apart; longer prompts are cut. */
#define LOCALITY_MAX_PARTS 16U

/** struct locality_part - one part of a prompt */
struct locality_part {
	uint64_t id;
	uint32_t tokens;
};

/** struct locality_candidate - one usable upstream */
struct locality_candidate {
	uint64_t id_hash; /* of the upstream and its start */
	double running; /* requests there, of all instances, as estimated */
	double pending_tokens; /* prompt tokens sent there and not yet read, as estimated */
	double weight; /* 0 to 1, below 1 while it starts slowly or is in doubt */
	uint32_t slots; /* requests that it runs at once; 0: unknown */
	double call_latency; /* microseconds that a call without a prompt takes there; 0: unknown */
	bool same_domain; /* in the failure domain of this instance */
	bool source_only; /* takes no new requests but may still hold prompts */
	bool unreachable; /* nothing can be copied from it now */
	bool is_new; /* joined a short time ago: other instances' chats are not there yet */
};

/** struct locality_request - what placement needs to know */
struct locality_request {
	const struct locality_part *parts;
	uint32_t n_parts; /* 0: no prompt, the least loaded upstream is chosen */
	double call_latency; /* microseconds that a call without a prompt usually takes; 0: unknown */
	uint64_t seed; /* breaks ties of requests without a prompt */
};

enum locality_reason {
	LOCALITY_PREFERRED, /* first in the order of the chat */
	LOCALITY_CACHED, /* another upstream holds the parts */
	LOCALITY_MOVED, /* the home is over the bound or slower */
	LOCALITY_LOAD, /* no prompt: the least loaded */
	LOCALITY_FULL, /* all are over the bound: the least loaded */
};

struct locality_choice {
	uint32_t index; /* of the candidate */
	enum locality_reason reason;
	double missing; /* prompt tokens that it has to read or fetch */
	int32_t source; /* candidate that holds parts which the chosen one may lack; -1: none */
	/*
	 * Part whose place other instances should be told once it is read: the chat, if they would not
	 * look for it there, or a part before it that nobody is known to hold. 0: none.
	 */
	uint64_t report_part;
	uint32_t report_tokens; /* of the prompt up to that part */
};

struct locality_params {
	double bound; /* requests at an upstream over the mean of its service */
	double slack; /* requests over the bound that are allowed, for small means */
	uint32_t rows; /* parts whose upstreams are remembered, rounded up to a power of two */
	double early; /* part of the bound, below it, in which requests yield more and more; 0 to 1 */
};

struct locality;

struct locality *locality_new(const struct locality_params *p);
void locality_free(struct locality *l);

/**
 * locality_choose() - decides among @n candidates, at least one of which takes requests
 *
 * The choice names a source where another candidate probably holds so many tokens more that
 * copying them between engines is cheaper than reading them again.
 */
void locality_choose(struct locality *l, const struct locality_request *r,
		     const struct locality_candidate *c, uint32_t n, int64_t now,
		     struct locality_choice *out);

/** locality_record_prefill() - @id_hash has read the parts of @r */
void locality_record_prefill(struct locality *l, const struct locality_request *r, uint64_t id_hash,
			     int64_t now);

/** locality_record_peer_prefill() - another instance says that @id_hash has read @part and all parts before it */
void locality_record_peer_prefill(struct locality *l, uint64_t part, uint64_t id_hash, int64_t now);

/** locality_reason_name() - word for log lines */
const char *locality_reason_name(enum locality_reason r);

/** locality_chat_key() - hash that the chat of @r is placed by; 0 without a prompt */
uint64_t locality_chat_key(const struct locality_request *r);

#endif
