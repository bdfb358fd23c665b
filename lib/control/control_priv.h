/**
 * DOC: control_priv
 *
 * State of the control task. Only the control task uses it, except for constant fields and for
 * those that a comment assigns to the front task or to the lock.
 */
#ifndef CONTROL_CONTROL_PRIV_H
#define CONTROL_CONTROL_PRIV_H

#include <gio/gio.h>

#include "admit/heavy.h"
#include "control/control.h"
#include "control/control_claim.h"
#include "control/control_orders.h"
#include "control/watch.h"
#include "gossip/gossip.h"
#include "peer/peer.h"
#include "plat/plat.h"

/** struct watch_call - callback argument of a watch's platform call, one at a time */
struct watch_call {
	struct control *control;
	enum watch_op op;
};

/**
 * struct control_gate - whether messages to the front task may still run callbacks
 *
 * Each message has a reference, since it may be delivered after control_free() closed the gate.
 */
struct control_gate {
	bool open; /* used only in the front task */
};

void control_gate_unref(struct control_gate *g);

struct control {
	const struct conf_settings *settings; /* borrowed */
	struct evt_ring *ring; /* borrowed */
	struct task *front; /* borrowed */
	struct task *task; /* the control task */
	struct control_events events;
	struct control_gate *gate; /* a reference */

	struct gossip *gossip;
	struct peer *peer; /* NULL: peers.listen is unset or failed */
	bool peer_failed; /* its listener could not be opened yet */
	struct plat *plat; /* NULL: no platform */
	struct control_claims *claims;
	struct control_orders *orders;
	GArray *live_hashes; /* uint64_t id hashes of the live instances, this one included */
	struct watch config_watch;
	struct watch list_watch; /* of the platform's list of upstream instances */
	struct watch_call config_call;
	struct watch_call list_call;
	char *barrier_key; /* of the object last written for WATCH_BARRIER */
	GHashTable *list_states; /* owned upstream id in the last list -> 1: live, 2: leaving */
	struct heavy *heavy; /* token cost by account */
	GSource *tick;
	GFileMonitor *monitor; /* of the configuration file */
	char *address; /* of the peer listener */
	uint64_t file_version; /* of the objects last read from the file */
	int64_t next_account_report;
	bool ready_sent;
	bool watching; /* this instance is a watcher of the platform */
	uint32_t n_all; /* live instances, as last sent to the front task */
	uint32_t n_domain; /* those of them in the own failure domain */

	/* Used only in the front task: */
	GHashTable *reported; /* owned hash of an upstream's id -> owned struct reported */

	GMutex lock;
	/* Under the lock: uint64_t id hashes of the other live instances in the own failure
	 * domain. */
	GArray *domain_hashes;
	uint64_t self_hash; /* of the own id, constant */
	GString *status; /* under the lock: status text, rewritten each tick */

	struct ctr *ctr_frames_sent;
	struct ctr *ctr_bytes_sent;
	struct ctr *ctr_bytes_received;
	struct ctr *ctr_frames_dropped;
	struct ctr *ctr_platform_calls;
	struct ctr *ctr_config_applied;
	struct ctr *ctr_config_stale;
	struct ctr *ctr_repairs;
	struct ctr *ctr_instances;
	struct ctr *ctr_invalid_frames;
};

/* control_events.c: events of gossip and messages to the front task */
struct gossip_events control_gossip_events(struct control *c);
void control_notify_ready(struct control *c);
void control_notify_instances(struct control *c);

/* control_plat.c: calls of the platform */
void control_plat_tick(struct control *c, int64_t now);
void control_plat_watch(struct control *c, int64_t now);

/* control_file.c: file mode */
void control_file_read(struct control *c);
void control_file_watch(struct control *c);

void control_record_event(struct control *c, enum evt_kind kind, const char *upstream,
			  const char *text);

#endif
