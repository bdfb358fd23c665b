/* Failure domains that the operator evacuates. */
#include "relay/fleet_priv.h"
#include "trace/trace.h"

/* Failure domains; a deployment has a few, and an entry may name one that doesn't exist. */
#define DOMAINS_MAX 256U

static uint32_t count_upstreams(const struct fleet *f, const struct fleet_domain *d)
{
	uint32_t n = 0;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p))
		n += ((const struct fleet_upstream *)p)->domain_state == d;
	return n;
}

/* Applies a change of @d to its upstreams, which may become cold while they get no requests. */
static void update_upstreams(struct fleet *f, const struct fleet_domain *d, int64_t now)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fleet_upstream *u = p;

		if (u->domain_state != d)
			continue;
		member_set_excluded(f->member, u->handle, d->evacuated);
		if (!d->evacuated)
			fleet_cold_suspect(f, u, "evacuation", now);
	}
}

static void trace_evacuation(const struct fleet *f, const char *name, const char *state,
			     uint64_t version, const char *source)
{
	const struct fleet_domain *d = g_hash_table_lookup(f->domains, name);
	char domain[96];
	char revision[REVISION_TEXT_MAX];

	revision_text(revision, version);
	trace(EVACUATION, trace_sanitize(domain, sizeof(domain), name), state, revision, source,
	      d ? count_upstreams(f, d) : 0);
}

bool fleet_set_evacuated(struct fleet *f, const char *name, bool on, uint64_t version,
			 const char *source, int64_t now)
{
	struct fleet_domain *d;

	if (!g_hash_table_contains(f->domains, name) &&
	    g_hash_table_size(f->domains) >= DOMAINS_MAX) {
		trace_evacuation(f, name, "table_full", version, source);
		return false;
	}
	d = fleet_domain_of(f, name);
	if (version <= d->evacuation_version)
		return false;
	d->evacuation_version = version;
	if (on == d->evacuated)
		return true;
	d->evacuated = on;
	if (!on)
		d->taken_back_version = version;
	update_upstreams(f, d, now);
	trace_evacuation(f, name, on ? "in_force" : "taken_back", version, source);
	return true;
}

void fleet_expect_evacuations(struct fleet *f)
{
	f->expects_evacuations = true;
}

void fleet_evacuations_complete(struct fleet *f)
{
	f->evacuations_complete = true;
}

bool fleet_knows_evacuations(const struct fleet *f)
{
	return f->evacuations_complete || !f->expects_evacuations;
}

bool fleet_is_evacuated(const struct fleet *f, const char *service)
{
	bool found = false;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct fleet_upstream *u = p;

		if (u->draining || g_strcmp0(u->service, service) != 0)
			continue;
		if (!u->domain_state->evacuated)
			return false;
		found = true;
	}
	return found;
}
