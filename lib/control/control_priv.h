/**
 * DOC: control_priv
 *
 * State of the control task. All of it belongs to the control task unless a comment says that it
 * is under the lock or belongs to the front task.
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

/** struct control_call - a platform call under way */
struct control_call {
	struct control *control;
	enum watch_op op;
};

/** struct control_gate - shared by the messages to the front task; closed by control_free() */
struct control_gate {
	bool open; /* the front task's */
};

void control_gate_unref(struct control_gate *g);

struct control {
	const struct conf_settings *settings; /* borrowed */
	struct evt_ring *ring; /* borrowed */
	struct task *front; /* borrowed */
	struct task *task; /* this task */
	struct control_events events;
	struct control_gate *gate; /* a reference */

	struct gossip *gossip;
	struct peer *peer; /* NULL: no peers */
	struct plat *plat; /* NULL: file mode */
	struct control_claims *claims;
	struct control_orders *orders;
	GArray *live; /* uint64_t hashes of the live instances, this one included */
	struct watch config;
	struct watch list;
	struct control_call config_call; /* one at a time */
	struct control_call list_call;
	char *fence_key; /* object written to learn the platform's version */
	GHashTable *listed; /* owned ids of the last instance list -> leaving or not, plus 1 */
	struct heavy *heavy;
	GSource *tick;
	GFileMonitor *monitor;
	char *address; /* of the peer listener */
	uint64_t file_version; /* version given to the objects of the file last read */
	int64_t next_accounts;
	bool ready; /* told to the front task */
	bool was_watcher;
	uint32_t n_all;
	uint32_t n_domain;

	/* The front task's. */
	GHashTable *told; /* upstream's id hash -> struct told */

	GMutex lock;
	GArray *domain; /* under the lock: uint64_t hashes of the domain's other live instances */
	uint64_t self; /* hash of the own id, constant */
	GString *status; /* under the lock: text of the last tick */

	struct ctr *ctr_frames_sent;
	struct ctr *ctr_bytes_sent;
	struct ctr *ctr_bytes_received;
	struct ctr *ctr_frames_dropped;
	struct ctr *ctr_platform_calls;
	struct ctr *ctr_config_applied;
	struct ctr *ctr_config_stale;
	struct ctr *ctr_repairs;
	struct ctr *ctr_instances;
	struct ctr *ctr_garbage;
};

/* control_gossip_events.c: what gossip tells, as messages to the front task */
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
