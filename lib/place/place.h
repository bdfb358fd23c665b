/**
 * DOC: place
 *
 * Chooses the upstream for a request. Candidates are ordered by weighted rendezvous hashing on the
 * chat key, so that all instances agree without shared state; among the first candidates under the
 * load bound and the hinted one, the least expected time to first token wins.
 *
 * The bound: load(e) / capacity(e) <= max(c * mean, largest single request), with the mean over all
 * candidates. docs/routing.md gives the worst case with lagged reports.
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
	double capacity; /* relative */
	double weight; /* 0 to 1, below 1 in slow start */
	struct load_estimate load;
};

/** struct place_request - what placement needs to know of a request */
struct place_request {
	uint64_t chat; /* hash of the chat key, 0: none */
	uint64_t prefix; /* hash of the shared prefix (system prompt, template), 0: none */
	double prompt_tokens;
	double prefix_tokens; /* length of the shared prefix */
	double history_tokens; /* tokens of earlier turns that a warm upstream could reuse */
	double output_tokens; /* expected */
	uint64_t account; /* hash of the client account, 0: unknown; tells who returns hints */
	uint64_t hint; /* id_hash of the upstream named by the caller's hint, 0: none */
	double hint_tokens; /* reusable there */
	int64_t hint_issued_at; /* time when the hint was issued, 0: unknown */
	const tab_handle *avoid; /* upstreams already tried */
	uint32_t n_avoid;
};

enum place_reason {
	PLACE_PREFERRED, /* first choice of the hash */
	PLACE_HINTED, /* where the hint says the context is */
	PLACE_DISPLACED, /* the first choice was over the bound or slower */
	PLACE_NONE, /* no candidate under the bound: the request has to wait */
};

struct place_choice {
	tab_handle upstream; /* 0 if reason is PLACE_NONE */
	enum place_reason reason;
	double reuse_tokens; /* expected */
	double first_token_time; /* expected microseconds */
	double cost_tokens; /* prompt not reused plus expected output */
};

struct place_params {
	double load_bound; /* c */
	uint32_t max_compared; /* candidates that are compared by expected time */
	uint64_t seed;
};

struct place;

struct place *place_new(const struct place_params *p);
void place_free(struct place *p);

/** place_set_bound() - changes c */
void place_set_bound(struct place *p, double load_bound);

/** place_choose() - decides; @c may be reordered */
void place_choose(struct place *p, const struct place_request *r, struct place_candidate *c,
		  uint32_t n, int64_t now, struct place_choice *out);

/** place_record_context() - the request ran at @id_hash, which now holds @tokens of its context */
void place_record_context(struct place *p, const struct place_request *r, uint64_t id_hash,
			  double tokens, int64_t now);

/** place_context_evicted() - a cache event: @id_hash dropped the context of @chat */
void place_context_evicted(struct place *p, uint64_t chat, uint64_t id_hash);

/**
 * place_events_lost() - cache events of @id_hash were lost
 * @part: lost part of its events since the last call, 0 to 1
 *
 * What is recorded of that upstream counts less until events arrive without gaps again.
 */
void place_events_lost(struct place *p, uint64_t id_hash, double part, int64_t now);

/** place_upstream_restarted() - @id_hash started anew: it holds no context from before @now */
void place_upstream_restarted(struct place *p, uint64_t id_hash, int64_t now);

/** place_displaced_count() - displaced chats that are remembered */
uint32_t place_displaced_count(const struct place *p);

/** place_spread() - candidates that chats with shared prefix @prefix are spread over, of @n */
uint32_t place_spread(const struct place *p, uint64_t prefix, uint32_t n);

/** place_bytes() - memory of @p in bytes */
size_t place_bytes(const struct place *p);

#define PLACE_HINT_LENGTH 52 /* characters of a token; all others are refused unread */

/** place_hint_encode() - token for the caller, owned by the caller: upstream, tokens, expiry, HMAC */
char *place_hint_encode(const char *fleet_key, uint64_t chat, uint64_t id_hash, double tokens,
			int64_t expires_wall);

/** place_hint_decode() - 0, -EBADMSG if forged or for another chat, -ETIME if expired */
int place_hint_decode(const char *fleet_key, const char *token, uint64_t chat, int64_t now_wall,
		      uint64_t *id_hash, double *tokens);

#endif
