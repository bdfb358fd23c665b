/**
 * DOC: place
 *
 * Chooses the upstream for a request. Candidates are ordered by weighted rendezvous hashing on the
 * chat key, so that all instances prefer the same upstream without shared state. Of the first
 * candidates and the hinted one, if they are under the load bound, the one with the least expected
 * time to first token is chosen.
 *
 * The bound of an upstream e: load(e) / capacity(e) <= max(c * mean, largest single request), with
 * c = place_params.load_bound and the mean over all candidates. docs/routing.md gives the worst
 * case with delayed reports.
 */
#ifndef PLACE_PLACE_H
#define PLACE_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "place/load.h"

/** struct place_candidate - one usable upstream */
struct place_candidate {
	tab_handle upstream;
	uint64_t id_hash;
	double capacity; /* relative to the other candidates */
	double weight; /* 0 to 1, below 1 in slow start or while unresponsive */
	struct load_estimate load;
};

/** struct place_request - properties of a request that decide its placement */
struct place_request {
	uint64_t chat; /* hash of the chat key, 0: none */
	uint64_t prefix; /* hash of the shared prefix (system prompt, template), 0: none */
	double prompt_tokens;
	double prefix_tokens; /* length of the shared prefix */
	double history_tokens; /* of earlier turns, reusable where they are cached */
	double output_tokens; /* expected */
	uint64_t account; /* hash of the client account, 0: unknown; hint rates are per account */
	uint64_t hint; /* id_hash of the upstream named by the caller's hint, 0: none */
	double hint_tokens; /* reusable at the hinted upstream */
	int64_t hint_issued_at; /* time when the hint was issued, 0: unknown */
	const tab_handle *avoid; /* upstreams of earlier attempts */
	uint32_t n_avoid;
};

enum place_reason {
	PLACE_PREFERRED, /* highest rendezvous score of those not avoided */
	PLACE_HINTED, /* by the hint or a record of this instance */
	PLACE_DISPLACED, /* the preferred upstream was over the bound or slower */
	PLACE_NONE, /* wait: no candidate under the bound, or a warm upstream is worth the wait */
};

struct place_choice {
	tab_handle upstream; /* 0 if reason is PLACE_NONE */
	enum place_reason reason;
	double reuse_tokens; /* of the prompt, expected to be cached */
	double first_token_time; /* expected microseconds until the first token */
	double cost_tokens; /* uncached prompt plus expected output */
};

struct place_params {
	double load_bound; /* c, largest load relative to the mean */
	uint32_t max_compared; /* candidates compared by expected time */
	uint64_t seed; /* of the keys of requests without chat and prefix */
};

struct place;

struct place *place_new(const struct place_params *p);
void place_free(struct place *p);

/** place_set_bound() - changes place_params.load_bound */
void place_set_bound(struct place *p, double load_bound);

/** place_choose() - chooses among the @n candidates @c, whose weights may be scaled */
void place_choose(struct place *p, const struct place_request *r, struct place_candidate *c,
		  uint32_t n, int64_t now, struct place_choice *out);

/**
 * place_record_context() - records that @tokens of the request's context are cached at @id_hash
 *
 * Without effect for a chat at its preferred upstream, which needs no record.
 */
void place_record_context(struct place *p, const struct place_request *r, uint64_t id_hash,
			  double tokens, int64_t now);

/** place_context_evicted() - cache event: @id_hash evicted the context of @chat */
void place_context_evicted(struct place *p, uint64_t chat, uint64_t id_hash);

/**
 * place_events_lost() - cache events of @id_hash were lost
 * @lost_fraction: of its events since the last call, 0 to 1
 *
 * Records and hints of that upstream count less; the reduction halves every 30 seconds.
 */
void place_events_lost(struct place *p, uint64_t id_hash, double lost_fraction, int64_t now);

/** place_upstream_restarted() - @id_hash restarted: records and dated hints before @now are void */
void place_upstream_restarted(struct place *p, uint64_t id_hash, int64_t now);

/** place_displaced_count() - number of recorded displaced chats */
uint32_t place_displaced_count(const struct place *p);

/** place_spread() - how many of @n candidates the chats with shared prefix @prefix use */
uint32_t place_spread(const struct place *p, uint64_t prefix, uint32_t n);

/** place_bytes() - memory of @p in bytes */
size_t place_bytes(const struct place *p);

#define PLACE_HINT_LENGTH 52 /* characters of a token; other lengths are rejected before decoding */

/**
 * place_hint_encode() - returns a hint token of upstream, tokens, expiry and HMAC
 *
 * The calling function frees it.
 */
char *place_hint_encode(const char *fleet_key, uint64_t chat, uint64_t id_hash, double tokens,
			int64_t expires_wall);

/** place_hint_decode() - 0, -EBADMSG if malformed, forged or of another chat, -ETIME if expired */
int place_hint_decode(const char *fleet_key, const char *token, uint64_t chat, int64_t now_wall,
		      uint64_t *id_hash, double *tokens);

#endif
