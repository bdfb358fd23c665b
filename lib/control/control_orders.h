/**
 * DOC: control_orders
 *
 * Runs a lease and a reconciler for each configuration object "model/NAME". The one instance that
 * holds the platform's lease "lease/model/NAME" queries the states of the engines and sends them
 * orders. All calls and callbacks are in the main context that was the thread default at
 * control_orders_new(), that of the control task.
 */
#ifndef CONTROL_CONTROL_ORDERS_H
#define CONTROL_CONTROL_ORDERS_H

#include <glib.h>

#include "base/base.h"
#include "conf/conf.h"
#include "plat/plat.h"

struct control_orders;

/**
 * control_orders_new() - leases and orders of models
 * @plat: stores the leases, borrowed; NULL (file mode): nothing runs. Must be freed before
 *     control_orders_free().
 * @instance: id of this instance
 * @nonce: differs at each start of the process
 * @ring: borrowed, receives EVT_LEASE and EVT_ORDER
 */
struct control_orders *control_orders_new(struct plat *plat, const char *instance, uint64_t nonce,
					  struct evt_ring *ring);

/** control_orders_free() - the result of orders in progress stays unknown; the main context must
 *  run again to free their calls */
void control_orders_free(struct control_orders *o);

/** control_orders_set_list_state() - state of an upstream in the platform's list */
void control_orders_set_list_state(struct control_orders *o, const char *upstream, bool leaving);

/**
 * control_orders_tick() - advances the leases, queries engines and sends due orders
 * @ids: id hashes of the @n live instances, this one included
 */
void control_orders_tick(struct control_orders *o, const struct conf_store *store,
			 const uint64_t *ids, uint32_t n, int64_t now);

/** control_orders_status() - appends lines for each model to the operators' status page */
void control_orders_status(const struct control_orders *o, GString *out);

#endif
