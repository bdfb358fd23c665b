/* Selects the upstream of an attempt. */
#include <errno.h>
#include <string.h>

#include "relay/fleet_priv.h"

/*
 * The chats that prefer a new upstream are still cached at their former ones. After this time it
 * has received them.
 */
#define NEW_UPSTREAM_TIME (20 * USEC_PER_SEC)
/*
 * Connect backoff: an unreachable upstream gets one attempt per interval. Requests that only it
 * could serve are refused immediately in between, and its recovery is still noticed soon.
 */
#define UNREACHABLE_RETRY_INTERVAL (500 * USEC_PER_MSEC)

static bool is_among(const tab_handle *list, uint32_t n, tab_handle h)
{
	for (uint32_t i = 0; i < n; i++) {
		if (list[i] == h)
			return true;
	}
	return false;
}

/* Whether @u has the software version with hash @build; 0: any version will do. */
static bool is_of_build(const struct fleet_upstream *u, uint64_t build)
{
	return !build || u->build_hash == build;
}

bool fleet_has_build(const struct fleet *f, const char *service, uint64_t build)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct fleet_upstream *u = p;

		if (!u->draining && g_strcmp0(u->service, service) == 0 && is_of_build(u, build))
			return true;
	}
	return false;
}

static bool is_in_connect_backoff(const struct fleet_upstream *u, int64_t now)
{
	return u->unreachable && now - u->last_attempt < UNREACHABLE_RETRY_INTERVAL;
}

/* Whether its failure domain is partitioned and has had an attempt in the last interval. */
static bool is_in_partition_backoff(const struct fleet_upstream *u, int64_t now)
{
	return fleet_is_partitioned(u->domain_state) &&
	       now - u->domain_state->last_attempt < UNREACHABLE_RETRY_INTERVAL;
}

static bool is_held_off(const struct fleet *f, const struct fleet_upstream *u, int64_t now)
{
	return notices_hold_off_left(f->notices, u->id_hash, now) > 0;
}

/* Whether what is under way to @u leaves room for @c: it may read slowly, or not at all. */
static bool has_room(const struct fleet *f, const struct fleet_upstream *u, const struct call *c)
{
	return membudget_share_fits(&f->memory, u->body_bytes, c->body->len);
}

static void fill_candidate(const struct fleet *f, const struct fleet_upstream *u, int64_t now,
			   struct locality_candidate *out, int64_t *age)
{
	const struct member_entry *m = member_get(f->member, u->handle);
	struct load_estimate v;

	load_estimate(f->load, u->handle, now, &v);
	*age = v.age;
	*out = (struct locality_candidate){
		.id_hash = u->id_hash,
		/* The unit of load is requests here, see apply_load(). */
		.running = MAX(v.tokens, (double)u->own_running),
		.pending_tokens = u->pending_prefill,
		.weight = m ? m->weight : 1,
		.slots = u->slots,
		.call_latency = pace_estimate(&u->latency, now),
		.same_domain = g_strcmp0(u->domain, f->domain) == 0,
		.is_new = u->added_at && now - u->added_at < NEW_UPSTREAM_TIME,
		.unreachable = u->unreachable || fleet_is_partitioned(u->domain_state),
	};
}

/* Appends listed upstreams that can't get this request but may have its prompt cached. */
static uint32_t add_transfer_sources(struct fleet *f, const struct call *c, uint32_t n, int64_t now)
{
	uint32_t total = n;
	GHashTableIter it;
	gpointer p;
	int64_t age;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p) && total < G_N_ELEMENTS(f->handles)) {
		const struct fleet_upstream *u = p;
		const struct member_entry *m = member_get(f->member, u->handle);

		if (g_strcmp0(u->service, c->service) != 0 || is_among(f->handles, n, u->handle) ||
		    !m ||
		    (m->state != MEMBER_LEAVING && m->state != MEMBER_LIVE &&
		     m->state != MEMBER_JOINING))
			continue;
		fill_candidate(f, u, now, &f->candidates[total], &age);
		f->candidates[total].source_only = true;
		f->candidates[total].weight = 1;
		f->handles[total++] = u->handle;
	}
	return total;
}

/*
 * When attempts at all healthy upstreams have failed, upstreams ejected for errors or in partition
 * backoff may still respond. Upstreams that are leaving or evacuated or hold off get no requests.
 */
static uint32_t add_last_resorts(struct fleet *f, const struct call *c, uint64_t build,
				 const tab_handle *avoid, uint32_t n_avoid, int64_t now)
{
	uint32_t n = 0;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &p) && n < FLEET_MAX) {
		const struct fleet_upstream *u = p;
		const struct member_entry *m = member_get(f->member, u->handle);

		if (g_strcmp0(u->service, c->service) != 0 || !m || m->state == MEMBER_LEAVING ||
		    m->state == MEMBER_REMOVED || u->domain_state->evacuated ||
		    !is_of_build(u, build) || is_among(avoid, n_avoid, u->handle) ||
		    is_in_connect_backoff(u, now) || is_held_off(f, u, now) ||
		    fleet_cold_wait(f, u, now))
			continue;
		if (!has_room(f, u, c))
			continue;
		fill_candidate(f, u, now, &f->candidates[n], &f->load_ages[n]);
		f->handles[n++] = u->handle;
	}
	return n;
}

/* If most of a service is new, as in a new deployment, no older upstream has its prompts cached. */
static void clear_new_majority(struct locality_candidate *cand, uint32_t n)
{
	uint32_t n_new = 0;

	for (uint32_t i = 0; i < n; i++)
		n_new += cand[i].is_new;
	for (uint32_t i = 0; i < n && 2 * n_new > n; i++)
		cand[i].is_new = false;
}

/*
 * Expected time to the first event if what is not known to be cached is not, and the other
 * instances have as many prompt tokens pending as this one, spread evenly over the @n upstreams.
 */
static int64_t expected_first_event(const struct fleet *f, const struct fleet_service *s,
				    const struct fleet_pick *p)
{
	double others = s->pending_prefill * (f->instances - 1) / p->candidates;

	return (int64_t)prefill_model_time(&s->prefill,
					   p->choice.unconfirmed + p->pending_prefill + others);
}

enum fleet_block fleet_block_of(const struct fleet *f, const struct fleet_upstream *u, int64_t now)
{
	const struct member_entry *m = member_get(f->member, u->handle);

	if (!m || m->state == MEMBER_REMOVED)
		return FLEET_BLOCK_GONE;
	if (u->domain_state->evacuated)
		return FLEET_BLOCK_EVACUATED;
	if (m->state == MEMBER_LEAVING)
		return FLEET_BLOCK_DRAINING;
	if (is_held_off(f, u, now))
		return FLEET_BLOCK_HELD_OFF;
	if (is_in_connect_backoff(u, now))
		return FLEET_BLOCK_UNREACHABLE;
	if (fleet_cold_wait(f, u, now))
		return FLEET_BLOCK_COLD;
	if (m->state == MEMBER_EJECTED)
		return FLEET_BLOCK_EJECTED;
	if (is_in_partition_backoff(u, now))
		return FLEET_BLOCK_PARTITION;
	if (m->state == MEMBER_JOINING)
		return FLEET_BLOCK_JOINING;
	return fleet_knows_evacuations(f) ? FLEET_BLOCK_OTHER : FLEET_BLOCK_STARTING;
}

static int choose(struct fleet *f, const struct call *c, uint64_t build, const tab_handle *avoid,
		  uint32_t n_avoid, int64_t now, struct fleet_pick *out,
		  struct locality_weighing *weighed)
{
	struct locality_request req;
	const struct fleet_service *service = fleet_service_of(f, c->service);
	uint32_t n = member_usable(f->member, c->service, f->handles, FLEET_MAX);
	uint32_t n_cand = 0;
	uint32_t total;
	uint32_t chosen;

	for (uint32_t i = 0; i < n; i++) {
		const struct fleet_upstream *u = fleet_find(f, f->handles[i]);

		if (!u || !is_of_build(u, build) || u->domain_state->evacuated ||
		    is_among(avoid, n_avoid, f->handles[i]) || is_in_connect_backoff(u, now) ||
		    is_in_partition_backoff(u, now) || is_held_off(f, u, now) ||
		    fleet_cold_wait(f, u, now))
			continue;
		if (!has_room(f, u, c))
			continue;
		f->handles[n_cand] = f->handles[i];
		fill_candidate(f, u, now, &f->candidates[n_cand], &f->load_ages[n_cand]);
		n_cand++;
	}
	if (!n_cand)
		n_cand = add_last_resorts(f, c, build, avoid, n_avoid, now);
	if (!n_cand || !fleet_knows_evacuations(f))
		return -ENOENT;
	call_locality(c, &req);
	req.call_latency = service->call_latency;
	clear_new_majority(f->candidates, n_cand);
	fleet_apply_cost(f, c, n_cand, now, &req);
	total = req.n_parts ? add_transfer_sources(f, c, n_cand, now) : n_cand;
	locality_choose(f->locality, &req, f->candidates, total, now, &out->choice);
	if (weighed)
		locality_weigh(f->locality, &req, f->candidates, total, now, weighed);
	chosen = out->choice.index;
	out->upstream = f->handles[chosen];
	out->source = out->choice.source >= 0 ? f->handles[out->choice.source] : 0;
	out->id_hash = f->candidates[chosen].id_hash;
	out->candidates = n_cand;
	out->running = f->candidates[chosen].running;
	out->load_age = f->load_ages[chosen];
	out->pending_prefill = f->candidates[chosen].pending_tokens;
	out->first_event = expected_first_event(f, service, out);
	return 0;
}

int fleet_choose(struct fleet *f, const struct call *c, const tab_handle *avoid, uint32_t n_avoid,
		 int64_t now, struct fleet_pick *out)
{
	return choose(f, c, 0, avoid, n_avoid, now, out, NULL);
}

int fleet_choose_build(struct fleet *f, const struct call *c, uint64_t build,
		       const tab_handle *avoid, uint32_t n_avoid, int64_t now,
		       struct fleet_pick *out)
{
	return choose(f, c, build, avoid, n_avoid, now, out, NULL);
}

int fleet_choose_weighed(struct fleet *f, const struct call *c, const tab_handle *avoid,
			 uint32_t n_avoid, int64_t now, struct fleet_pick *out,
			 struct locality_weighing *weighed)
{
	return choose(f, c, 0, avoid, n_avoid, now, out, weighed);
}
