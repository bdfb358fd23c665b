#include "soak_evacuation.h"

#include <glib.h>

#include "site_store.h"

#define DOMAIN		    "z-b"
#define EVACUATION_BOUND_MS 5000U /* bounds.evac_ms */
#define AFTER_BOUND_MS	    1000U
#define COLD_MS		    6000U
#define COLD_DELAY_MS	    2000U /* until all instances have the entry */
#define STEP_MS		    100U

void soak_evacuation_prepare(struct site *s)
{
	s->more_settings = "bounds.evac_ms=5000\nbounds.cold_over=1.5\nbounds.cold_slack=5\n";
	/* SOAK_COLD_BOUND: 4 x 1.5 + 5. */
	s->more_of_services = ",\"cold_s\":3,\"cold_per_s\":4";
}

void soak_set_evacuated(struct site *s, bool on)
{
	if (on)
		site_store_put(s->store, "evacuations", DOMAIN, "{}");
	else
		site_store_delete(s->store, "evacuations", DOMAIN);
}

static uint32_t requests_in_domain(const struct site *s)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->replicas->len; i++) {
		const struct site_replica *r = s->replicas->pdata[i];

		if (g_str_equal(r->domain, DOMAIN))
			n += r->requests;
	}
	return n;
}

uint32_t soak_evacuate(struct site *s, soak_run_fn run, void *arg)
{
	uint32_t before;
	uint32_t n;

	soak_set_evacuated(s, true);
	run(arg, EVACUATION_BOUND_MS);
	before = requests_in_domain(s);
	run(arg, AFTER_BOUND_MS);
	n = requests_in_domain(s) - before;
	soak_set_evacuated(s, false);
	return n;
}

uint32_t soak_cool(struct site_replica *r, soak_run_fn run, void *arg)
{
	uint32_t counts[(COLD_MS - COLD_DELAY_MS) / STEP_MS];
	const uint32_t second = 1000 / STEP_MS;
	uint32_t worst = 0;

	r->cold_ms = COLD_MS;
	site_replica_set_state(r, "ready");
	run(arg, COLD_DELAY_MS);
	for (uint32_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		counts[i] = r->requests;
		if (i >= second)
			worst = MAX(worst, counts[i] - counts[i - second]);
		run(arg, STEP_MS);
	}
	r->cold_ms = 0;
	site_replica_set_state(r, "ready");
	return worst;
}
