/**
 * DOC: control_orders
 *
 * Connects the leases and the reconcilers of the model objects to the platform and the engines:
 * one lease "lease/model/NAME" per object "model/NAME", held by one instance of the fleet, which
 * reads the states of the engines and gives the orders. Runs in the control task: all calls and
 * callbacks are in the main context that was the thread default at control_orders_new().
 */
#ifndef CONTROL_CONTROL_ORDERS_H
#define CONTROL_CONTROL_ORDERS_H

#include <glib.h>

#include "base/base.h"
#include "conf/conf.h"
#include "plat/plat.h"

struct control_orders;

/**
 * control_orders_new() - leases and orders over @plat
 * @plat: borrowed; NULL (file mode): nothing runs. Must be freed before control_orders_free().
 * @instance: id of this instance
 * @nonce: number of this start of the process
 * @ring: borrowed, gets EVT_LEASE and EVT_ORDER
 */
struct control_orders *control_orders_new(struct plat *plat, const char *instance, uint64_t nonce,
					  struct evt_ring *ring);

/** control_orders_free() - orders under way end as unknown; libsoup lets go of their calls in the
 *  next iterations of the main context */
void control_orders_free(struct control_orders *o);

/** control_orders_set_list_state() - an upstream is listed as leaving, or as live */
void control_orders_set_list_state(struct control_orders *o, const char *upstream, bool leaving);

/**
 * control_orders_tick() - advances leases and gives orders that are due
 * @ids: hashes of the @n live instances, this one among them
 */
void control_orders_tick(struct control_orders *o, const struct conf_store *store,
			 const uint64_t *ids, uint32_t n, int64_t now);

/** control_orders_status() - appends a line for each model */
void control_orders_status(const struct control_orders *o, GString *out);

#endif
