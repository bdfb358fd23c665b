/**
 * DOC: control
 *
 * The control task: owns the peer sockets, the platform client and the gossip, claim, lease and
 * order state of an instance. The front task hands it what it saw and gets typed messages back.
 *
 * All functions are called from the front task. All callbacks of struct control_events run in the
 * front task's main context.
 */
#ifndef CONTROL_CONTROL_H
#define CONTROL_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "conf/conf.h"
#include "place/load.h"
#include "poison/poison.h"

/** struct control_upstream - what is known of an upstream, as told between instances */
struct control_upstream {
	uint64_t id_hash;
	uint64_t observer; /* hash of the id of the instance that observed @state, 0: load only */
	int state; /* enum member_state as that instance sees it */
	struct load_report load; /* its newest report; epoch 0: none */
};

enum control_claim_result {
	CONTROL_CLAIM_GRANTED, /* send the call now; report the outcome with control_report_outcome() */
	CONTROL_CLAIM_DONE, /* ran before: the stored outcome is in the message */
	CONTROL_CLAIM_OPEN, /* may have run: refuse with REFUSAL_CLAIM_OPEN */
	CONTROL_CLAIM_MISMATCH, /* the key was used with another request: REFUSAL_KEY_REUSED */
	CONTROL_CLAIM_UNAVAILABLE, /* surely not recorded and not run: REFUSAL_CLAIM_UNAVAILABLE */
};

/** struct control_claim_reply - answer to control_claim() */
struct control_claim_reply {
	enum control_claim_result result;
	uint64_t claim; /* id for control_report_outcome() if granted */
	int status; /* HTTP status of the stored outcome */
	char *content_type; /* of the stored outcome, owned */
	GBytes *body; /* of the stored outcome, owned */
};

typedef void (*control_claim_fn)(void *arg, const struct control_claim_reply *reply);

/** struct control_events - what the front task is told */
struct control_events {
	void *arg;
	/* A configuration object of a newer version; @text NULL: deleted. */
	void (*config)(void *arg, const char *key, uint64_t version, const char *text);
	/* State of an upstream in the platform's list. */
	void (*listed)(void *arg, const char *upstream_id, bool leaving, uint64_t version);
	void (*upstream)(void *arg, const struct control_upstream *u);
	void (*poison)(void *arg, const struct poison_mark *m);
	/* Fleet-wide token cost rate of a client account. */
	void (*account_rate)(void *arg, uint64_t account, double tokens_per_second);
	/* Live instances in all and in the own failure domain, this one included. */
	void (*instances)(void *arg, uint32_t n_all, uint32_t n_domain);
	/* Position of this instance in the rendezvous order of each upstream changed. */
	void (*ready)(void *arg, bool configured);
};

struct control;

/**
 * control_new() - starts the task; the settings and the ring must outlive it
 * @front: the task whose main context runs the callbacks
 *
 * Without platform and peers in the settings it only reads the configuration file and watches it.
 */
struct control *control_new(const struct conf_settings *s, struct evt_ring *ring,
			    struct task *front, const struct control_events *events);
void control_free(struct control *c);

/** control_reload() - reads the configuration file again (SIGHUP) */
void control_reload(struct control *c);

/** control_report_upstream() - the front task's own view of an upstream changed */
void control_report_upstream(struct control *c, const struct control_upstream *u);

/** control_report_poison() - a new or changed mark */
void control_report_poison(struct control *c, const struct poison_mark *m);

/** control_add_usage() - @account used @tokens at this instance */
void control_add_usage(struct control *c, uint64_t account, double tokens);

/**
 * control_claim() - claims a once-only call before it is sent
 * @account: client account, part of the key's name
 * @key: idempotency key as sent by the caller
 * @fingerprint: hash of the request
 *
 * @fn is called once, in the front task. It is called with CONTROL_CLAIM_UNAVAILABLE if the claim
 * can't be made by @deadline (microseconds, monotonic clock).
 */
void control_claim(struct control *c, const char *account, const char *key, uint64_t fingerprint,
		   int64_t deadline, control_claim_fn fn, void *arg);

/**
 * control_report_outcome() - the claimed call ended
 * @v: VERDICT_NOT_RUN releases the key, VERDICT_RAN stores the answer, VERDICT_MAY_HAVE_RUN
 *     leaves the claim open for ever
 * @fn: called when the outcome is stored or given up, may be NULL
 */
void control_report_outcome(struct control *c, uint64_t claim, enum verdict v, int status,
			    const char *content_type, GBytes *body, control_claim_fn fn, void *arg);

/** control_probe_position() - place of this instance in the rendezvous order of @upstream's id hash
 *  over the live instances of its failure domain; 0 and 1 probe */
uint32_t control_probe_position(struct control *c, uint64_t upstream);

/**
 * control_apply_config() - an object that the platform accepted as @version for an operator
 *
 * Puts it in force here and at the peers at once, even if the platform fails right after.
 */
void control_apply_config(struct control *c, const char *key, uint64_t version, const char *text);

/** control_block_peer() - cuts or heals all traffic with the peer at "IP:port", for fault tests */
void control_block_peer(struct control *c, const char *address, bool on);

/** control_status() - appends lines "name value" about the task for the operators' status page */
void control_status(struct control *c, GString *out);

#endif
