/**
 * DOC: control
 *
 * The control task: owns the peer sockets, the platform client and the gossip, claim, lease and
 * order state of an instance. The front task reports its observations to it and receives changes
 * through struct control_events.
 *
 * All functions are called from the front task; all callbacks run in its main context.
 */
#ifndef CONTROL_CONTROL_H
#define CONTROL_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "conf/conf.h"
#include "place/load.h"
#include "poison/poison.h"

/** struct control_upstream - state and load of an upstream as one instance observed them */
struct control_upstream {
	uint64_t id_hash;
	uint64_t observer; /* hash of the observing instance's id, 0: report of load only */
	int state; /* enum member_state; ignore it in a report of load only */
	struct load_report load; /* newest report of the upstream; epoch 0: none */
};

enum control_claim_result {
	CONTROL_CLAIM_GRANTED, /* send the call now; control_report_outcome() when it ends */
	CONTROL_CLAIM_DONE, /* ran before: the reply has the stored outcome */
	CONTROL_CLAIM_OPEN, /* an earlier attempt may have run: refuse with REFUSAL_CLAIM_OPEN */
	CONTROL_CLAIM_MISMATCH, /* key of another request: REFUSAL_KEY_REUSED */
	CONTROL_CLAIM_UNAVAILABLE, /* never granted, not run: REFUSAL_CLAIM_UNAVAILABLE */
};

/** struct control_claim_reply - result of a claim or of a reported outcome; borrowed */
struct control_claim_reply {
	enum control_claim_result result;
	uint64_t claim; /* id for control_report_outcome() if granted */
	/* The stored outcome: */
	int status; /* HTTP status */
	char *content_type; /* may be NULL */
	GBytes *body; /* NULL: too large to be stored */
};

typedef void (*control_claim_fn)(void *arg, const struct control_claim_reply *reply);

/** struct control_events - callbacks to the front task; all must be set */
struct control_events {
	void *arg;
	/* A newer version of a configuration object was applied; @text NULL: deleted. */
	void (*config)(void *arg, const char *key, uint64_t version, const char *text);
	/* State of an upstream in the platform's list. */
	void (*listed)(void *arg, const char *upstream_id, bool leaving, uint64_t version);
	/* State or load of an upstream as another instance observed it. */
	void (*upstream)(void *arg, const struct control_upstream *u);
	/* A new or changed poison record, of this or another instance. */
	void (*poison)(void *arg, const struct poison_record *m);
	/* Token cost rate of a high-usage client account, summed over all instances. */
	void (*account_rate)(void *arg, uint64_t account, double tokens_per_second);
	/* Number of live instances in all and in the own failure domain, this one included. */
	void (*instances)(void *arg, uint32_t n_all, uint32_t n_domain);
	/* The configuration is complete; called once, with @configured true. */
	void (*ready)(void *arg, bool configured);
};

struct control;

/**
 * control_new() - starts the task; the settings and the ring must outlive it
 * @front: the task whose main context runs the callbacks
 *
 * Without a platform and peers in the settings it only reads and watches the configuration file.
 */
struct control *control_new(const struct conf_settings *s, struct evt_ring *ring,
			    struct task *front, const struct control_events *events);
void control_free(struct control *c);

/** control_reload() - reads the configuration file again (SIGHUP) */
void control_reload(struct control *c);

/**
 * control_report_upstream() - reports this instance's observation of an upstream
 *
 * May be called often; unchanged observations are dropped or limited in rate.
 */
void control_report_upstream(struct control *c, const struct control_upstream *u);

/** control_report_poison() - reports a new or changed poison record */
void control_report_poison(struct control *c, const struct poison_record *m);

/** control_add_usage() - adds @tokens of cost at this instance to @account, a hash */
void control_add_usage(struct control *c, uint64_t account, double tokens);

/**
 * control_claim() - claims an at-most-once call before it is sent
 * @account: client account, the scope of @key
 * @key: idempotency key as sent by the caller
 * @fingerprint: hash of the request
 *
 * @fn is called once, with CONTROL_CLAIM_UNAVAILABLE if the claim can't be made by @deadline
 * (microseconds of the monotonic clock).
 */
void control_claim(struct control *c, const char *account, const char *key, uint64_t fingerprint,
		   int64_t deadline, control_claim_fn fn, void *arg);

/**
 * control_report_outcome() - reports that the claimed call ended
 * @v: VERDICT_NOT_RUN releases the key, VERDICT_RAN stores the response, VERDICT_MAY_HAVE_RUN
 *     leaves the claim open until it expires
 * @fn: called when the outcome is stored or a time limit has passed, see
 *     control_claims_report_outcome(); may be NULL
 */
void control_report_outcome(struct control *c, uint64_t claim, enum verdict v, int status,
			    const char *content_type, GBytes *body, control_claim_fn fn, void *arg);

/** control_probe_position() - position of this instance in the rendezvous order of @upstream, an id
 *  hash, over the live instances of its failure domain; for member_probe_due() */
uint32_t control_probe_position(struct control *c, uint64_t upstream);

/**
 * control_apply_config() - applies an object that the platform stored as @version for an operator
 *
 * Takes effect here immediately and spreads to the peers, even if the platform fails right after.
 */
void control_apply_config(struct control *c, const char *key, uint64_t version, const char *text);

/** control_block_peer() - blocks or unblocks all traffic with "IP:port", for fault tests */
void control_block_peer(struct control *c, const char *address, bool block);

/** control_status() - appends "name value" lines for the operators' status page */
void control_status(struct control *c, GString *out);

#endif
