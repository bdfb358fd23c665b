#include "soak_restore.h"

#include "site_case.h"

#define CHANGES 8 /* that the store loses */

void soak_restore(struct site *s, uint32_t away_ms, uint32_t write_ms, soak_run_fn run, void *arg)
{
	site_store_mode(s, SITE_STORE_RESET);
	run(arg, away_ms);
	site_store_restore(s);
	site_store_mode(s, SITE_STORE_OK);
	run(arg, write_ms);
	site_write_again(s);
}

void soak_write_and_restore(struct site *s, struct site_replica *r, soak_run_fn run, void *arg)
{
	site_store_copy(s);
	for (int i = 0; i < CHANGES; i++) {
		site_publish(s);
		site_replica_set_state(r, i % 2 ? "ready" : "draining");
	}
	run(arg, 1000);
	soak_restore(s, 300, 300, run, arg);
	site_route(s, "restored", "idempotent", "shop",
		   ",\"timeout_ms\":3000,\"goal_ms\":200,\"max_attempts\":2");
	site_publish(s);
}

uint32_t soak_lacking_route(struct site *s)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->instances->len; i++) {
		struct site_call *c =
			site_request(s->instances->pdata[i], "GET", "/restored/x", AUTH, NULL);

		n += c->status == 404;
		site_call_free(c);
	}
	return n;
}
