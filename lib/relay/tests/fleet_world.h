/* A table of three upstreams of one service, each in a failure domain of its own. */
#ifndef RELAY_TESTS_FLEET_WORLD_H
#define RELAY_TESTS_FLEET_WORLD_H

#include <string.h>

#include "relay/fleet.h"

struct world {
	struct fleet *fleet;
	struct cat_config *config;
	struct call *call;
	int64_t now;
};

static inline void add(struct world *w, const char *id, const char *domain, bool draining,
		       uint64_t version)
{
	struct fleet_entry e = { .id = id,
				 .service = "shop",
				 .addr = "127.0.0.1:1",
				 .domain = domain,
				 .draining = draining,
				 .version = version,
				 .started = 1,
				 .slots = 6 };

	fleet_set(w->fleet, &e, "test", w->now);
}

static inline void world_new_with(struct world *w, bool by_cost)
{
	struct fleet_params p = { "z-a", 1, 8, by_cost };

	memset(w, 0, sizeof(*w));
	w->now = 1000 * USEC_PER_SEC;
	w->fleet = fleet_new(&p);
	w->config = cat_config_new(1);
	w->call = call_new(w->config);
	w->call->service = "shop";
	add(w, "a", "z-a", false, 10);
	add(w, "b", "z-b", false, 10);
	add(w, "c", "z-c", false, 10);
	fleet_list_complete(w->fleet);
	w->now += 5 * USEC_PER_SEC;
	fleet_tick(w->fleet, w->now);
}

static inline void world_new(struct world *w)
{
	world_new_with(w, false);
}

/* Errors until this instance ejects @h. */
static inline void eject(struct world *w, tab_handle h)
{
	for (int i = 0; i < 10; i++)
		fleet_result(w->fleet, h, MEMBER_ERROR, w->now);
	fleet_tick(w->fleet, w->now);
}

static inline void world_clear(struct world *w)
{
	call_free(w->call);
	cat_config_unref(w->config);
	fleet_free(w->fleet);
}

#endif
