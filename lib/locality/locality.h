/**
 * DOC: locality
 *
 * Chooses the upstream of a request by what its prefix cache probably contains. A prompt is an
 * ordered list of parts that requests share; a cached part can be reused only where all parts
 * before it are cached too.
 *
 * Weighted rendezvous hashing orders the upstreams by the chat, the last part that is shared beyond
 * this request. The first in that order is the chat's preferred upstream, so instances agree on it
 * without shared state; they report prefills at other upstreams to each other
 * (locality_choice.report_part). Among the upstreams under the load bound the one with the least
 * expected time to the first token is chosen. The bound is that of consistent hashing with bounded
 * loads (Mirrokni et al.), counted in requests.
 *
 * Loads are some hundred milliseconds old, and all instances see the same ones. To keep instances
 * from leaving an upstream and returning to it all at the same moment, each request is checked
 * against a limit drawn at random from a range below the bound, as in random early detection (Floyd
 * and Jacobson): the closer an upstream is to the bound, the fewer requests it gets.
 */
#ifndef LOCALITY_LOCALITY_H
#define LOCALITY_LOCALITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Prefix parts of a prompt that are considered; longer prompts are truncated. */
#define LOCALITY_MAX_PARTS 16U

/** struct locality_part - one part of a prompt */
struct locality_part {
	uint64_t id;
	uint32_t tokens;
};

/** struct locality_candidate - one usable upstream or transfer source */
struct locality_candidate {
	uint64_t id_hash; /* hash of the upstream's ID and process start */
	double running; /* estimated requests in progress there, of all instances */
	double pending_tokens; /* estimated prompt tokens that were sent there, not yet prefilled */
	double weight; /* 0 to 1; below 1 in slow start or while it doesn't respond */
	uint32_t slots; /* requests that it runs concurrently; 0: unknown */
	double call_latency; /* estimate for a call without a prompt, microseconds; 0: unknown */
	double wait; /* expected microseconds until a slot is free (lib/cost) */
	double speed; /* time it takes relative to the typical upstream; 0: unknown */
	bool same_domain; /* in the failure domain of this instance */
	bool source_only; /* accepts no new requests, but can be a transfer source */
	bool unreachable; /* no KV transfer from it is possible now */
	bool is_new; /* joined recently: chats of other instances are not cached there yet */
};

/** struct locality_request - input of a placement */
struct locality_request {
	const struct locality_part *parts;
	uint32_t n_parts; /* 0: no prompt, the least loaded upstream is chosen */
	double call_latency; /* baseline of the service (pace.h), microseconds; 0: unknown */
	/*
	 * Expected microseconds to make the output at the typical upstream (lib/cost); 0: unknown,
	 * the choice then doesn't consider wait, speed and output.
	 */
	double output_time;
	uint64_t seed; /* differs between requests; randomizes ties, sources and early shedding */
};

enum locality_reason {
	LOCALITY_PREFERRED, /* preferred upstream of the chat */
	LOCALITY_CACHED, /* another upstream has the shared parts cached */
	LOCALITY_MOVED, /* the preferred upstream is over the bound or slower */
	LOCALITY_LOAD, /* no prompt: the least loaded */
	LOCALITY_FULL, /* all refused by the bound or early shedding: the least loaded */
};

struct locality_choice {
	uint32_t index; /* of the candidate */
	enum locality_reason reason;
	/*
	 * Prompt tokens to prefill there. A token that a new preferred upstream can transfer
	 * counts a fifth, the cost of the transfer.
	 */
	double missing;
	double unconfirmed; /* prompt tokens that this instance has not seen prefilled there */
	int32_t source; /* transfer source: candidate with parts that may be missing; -1: none */
	/*
	 * Part whose cache location is to be reported to other instances after the prefill: the
	 * chat, if they don't expect it there; an earlier part with no known location; or the chat,
	 * if they probably expect it there but nobody has seen it. 0: none.
	 */
	uint64_t report_part;
	uint32_t report_tokens; /* of the prompt up to that part; in the last case an eighth */
};

struct locality_params {
	double load_bound; /* maximum ratio of an upstream's requests to the service's mean */
	double tolerance; /* requests allowed over the bound, for small means */
	uint32_t max_entries; /* parts with recorded locations; rounded up to a power of two */
	double early; /* early shedding starts this fraction below the bound; 0 to 1 */
};

struct locality;

struct locality *locality_new(const struct locality_params *p);
void locality_free(struct locality *l);

/**
 * locality_choose() - chooses among @n candidates, at least one of which accepts requests
 *
 * Sets a transfer source if another candidate probably has so many more tokens cached that a KV
 * transfer is cheaper than a prefill.
 */
void locality_choose(struct locality *l, const struct locality_request *r,
		     const struct locality_candidate *c, uint32_t n, int64_t now,
		     struct locality_choice *out);

/** struct locality_weighing - what locality_choose() compares of one candidate */
struct locality_weighing {
	bool preferred; /* preferred upstream of the chat */
	bool within_bound; /* one more request stays under the load bound drawn for this request */
	uint32_t
		cached_parts; /* leading parts of the prompt that this instance saw prefilled there */
	double missing; /* as in struct locality_choice */
	double time; /* expected delay there in microseconds; 0 without a prompt */
	double load; /* relative load, compared without a prompt and if none is within the bound */
};

/**
 * locality_weigh() - what locality_choose() would compare of each of the @n candidates
 * @out: array of @n
 *
 * Changes nothing that a later choice depends on.
 */
void locality_weigh(struct locality *l, const struct locality_request *r,
		    const struct locality_candidate *c, uint32_t n, int64_t now,
		    struct locality_weighing *out);

/** locality_record_prefill() - records that @id_hash prefilled the parts of @r */
void locality_record_prefill(struct locality *l, const struct locality_request *r, uint64_t id_hash,
			     int64_t now);

/**
 * locality_record_peer_prefill() - records a peer's report of a prefill
 *
 * The peer reports that @id_hash prefilled @part and all parts before it.
 */
void locality_record_peer_prefill(struct locality *l, uint64_t part, uint64_t id_hash, int64_t now);

/** locality_reason_name() - name in log lines */
const char *locality_reason_name(enum locality_reason r);

/** locality_chat_key() - hash that determines the preferred upstream of @r; 0 without a prompt */
uint64_t locality_chat_key(const struct locality_request *r);

#endif
