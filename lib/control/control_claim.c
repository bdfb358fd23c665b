#include "control/control_claim.h"

#include <string.h>

#include "claim/claim.h"

/* Longest wait for an outcome to be stored, since retries come within seconds. After it the result
 * is CONTROL_CLAIM_OPEN, though lib/claim continues to store the outcome. */
#define OUTCOME_TIMEOUT (5 * USEC_PER_SEC)

/* Callback argument of a store call: lib/claim makes one call per shard at a time. */
struct shard_call {
	struct control_claims *owner;
	uint32_t token; /* the shard */
};

struct control_claims {
	struct claim *claim;
	struct plat *plat; /* borrowed, NULL: no platform */
	struct shard_call *shard_calls; /* owned, by token */
	GSource *timer; /* owned, fires at claim_next() */
	GHashTable *waiters; /* set of owned struct waiter, one per call without a reply */
};

struct waiter {
	control_claim_fn fn; /* may be NULL */
	void *arg;
};

static void rearm_timer(struct control_claims *c)
{
	int64_t next = claim_next(c->claim);

	g_source_set_ready_time(c->timer, next == INT64_MAX ? -1 : next);
}

static void update_metrics(const struct control_claims *c)
{
	/* In the order of enum claim_result. */
	static const char *const names[] = { "granted",	    "done",   "open",	 "mismatch",
					     "unavailable", "stored", "given_up" };
	const struct claim_stats *s = claim_stats(c->claim);

	for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autofree char *name = g_strdup_printf("claims_total{result=\"%s\"}", names[i]);

		ctr_set(ctr_get(name), (int64_t)s->results[i]);
	}
	ctr_set(ctr_get("claim_store_reads_total"), (int64_t)s->reads);
	ctr_set(ctr_get("claim_store_writes_total"), (int64_t)s->writes);
	ctr_set(ctr_get("claim_store_conflicts_total"), (int64_t)s->conflicts);
	ctr_set(ctr_get("claim_store_unknown_total"), (int64_t)s->unconfirmed);
	ctr_set(ctr_get("claim_settled_total"), (int64_t)s->resolved);
	ctr_set(ctr_get("claim_expired_total"), (int64_t)s->expired);
	ctr_set(ctr_get("claim_trimmed_total"), (int64_t)s->trimmed);
	ctr_set(ctr_get("claim_shard_full_total"), (int64_t)s->full);
	ctr_set(ctr_get("claim_shard_malformed_total"), (int64_t)s->malformed);
}

static gboolean on_timer(gpointer arg)
{
	struct control_claims *c = arg;

	g_source_set_ready_time(c->timer, -1);
	claim_advance(c->claim, g_get_monotonic_time(), g_get_real_time());
	rearm_timer(c);
	update_metrics(c);
	return G_SOURCE_CONTINUE;
}

static gboolean timer_dispatch(GSource *source, GSourceFunc fn, gpointer arg)
{
	return fn(arg);
}

static void on_get_reply(void *arg, const struct plat_reply *r)
{
	struct shard_call *s = arg;
	GBytes *value = r->n_objects > 0 ? r->objects[0].value : NULL;

	claim_store_reply(s->owner->claim, s->token, r->result, r->version, value,
			  g_get_monotonic_time(), g_get_real_time());
	rearm_timer(s->owner);
}

static void on_put_reply(void *arg, const struct plat_reply *r)
{
	struct shard_call *s = arg;

	claim_store_reply(s->owner->claim, s->token, r->result, r->version, NULL,
			  g_get_monotonic_time(), g_get_real_time());
	rearm_timer(s->owner);
}

static void store_get(void *arg, uint32_t token, const char *key)
{
	struct control_claims *c = arg;

	plat_get(c->plat, key, on_get_reply, &c->shard_calls[token]);
}

static void store_put(void *arg, uint32_t token, const char *key, uint64_t if_version,
		      GBytes *value)
{
	struct control_claims *c = arg;

	plat_put(c->plat, key, if_version, value, on_put_reply, &c->shard_calls[token]);
}

static enum control_claim_result map_result(enum claim_result r)
{
	switch (r) {
	case CLAIM_GRANTED:
		return CONTROL_CLAIM_GRANTED;
	case CLAIM_DONE:
	case CLAIM_STORED:
		return CONTROL_CLAIM_DONE;
	case CLAIM_MISMATCH:
		return CONTROL_CLAIM_MISMATCH;
	case CLAIM_UNAVAILABLE:
		return CONTROL_CLAIM_UNAVAILABLE;
	default:
		return CONTROL_CLAIM_OPEN;
	}
}

static void on_claim_reply(void *arg, void *call, const struct claim_reply *r)
{
	struct control_claims *c = arg;
	struct waiter w = *(struct waiter *)call;
	g_autofree char *type = g_strdup(r->content_type);
	struct control_claim_reply reply = { .result = map_result(r->result),
					     .claim = r->id,
					     .status = r->status,
					     .content_type = type,
					     .body = r->body };

	g_hash_table_remove(c->waiters, call);
	if (w.fn)
		w.fn(w.arg, &reply);
}

struct control_claims *control_claims_new(struct plat *plat, uint64_t nonce)
{
	static const struct claim_ops ops = { .get = store_get,
					      .put = store_put,
					      .reply = on_claim_reply };
	static GSourceFuncs funcs = { .dispatch = timer_dispatch };
	struct control_claims *c = g_new0(struct control_claims, 1);
	struct claim_params p;

	claim_params_default(&p, nonce);
	c->plat = plat;
	c->claim = claim_new(&p, &ops, c);
	c->shard_calls = g_new(struct shard_call, p.shards);
	for (uint32_t i = 0; i < p.shards; i++)
		c->shard_calls[i] = (struct shard_call){ .owner = c, .token = i };
	c->waiters = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	c->timer = g_source_new(&funcs, sizeof(GSource));
	g_source_set_callback(c->timer, on_timer, c, NULL);
	g_source_attach(c->timer, g_main_context_get_thread_default());
	update_metrics(c);
	return c;
}

void control_claims_free(struct control_claims *c)
{
	if (!c)
		return;
	g_source_destroy(c->timer);
	g_source_unref(c->timer);
	claim_free(c->claim);
	g_hash_table_unref(c->waiters);
	g_free(c->shard_calls);
	g_free(c);
}

static struct waiter *waiter_new(struct control_claims *c, control_claim_fn fn, void *arg)
{
	struct waiter *w = g_new(struct waiter, 1);

	w->fn = fn;
	w->arg = arg;
	g_hash_table_add(c->waiters, w);
	return w;
}

void control_claims_make(struct control_claims *c, const char *account, const char *key,
			 uint64_t fingerprint, int64_t deadline, control_claim_fn fn, void *arg)
{
	struct control_claim_reply refused = { .result = CONTROL_CLAIM_UNAVAILABLE };

	if (!c->plat) {
		fn(arg, &refused);
		return;
	}
	claim_make(c->claim, account, key, fingerprint, deadline, g_get_monotonic_time(),
		   g_get_real_time(), waiter_new(c, fn, arg));
	rearm_timer(c);
}

void control_claims_report_outcome(struct control_claims *c, uint64_t claim, enum verdict v,
				   int status, const char *content_type, GBytes *body,
				   control_claim_fn fn, void *arg)
{
	int64_t now = g_get_monotonic_time();

	claim_report_outcome(c->claim, claim, v, status, content_type, body, now + OUTCOME_TIMEOUT,
			     now, waiter_new(c, fn, arg));
	rearm_timer(c);
}

bool control_claims_may_send(const struct control_claims *c, uint64_t claim)
{
	return claim_may_send(c->claim, claim, g_get_monotonic_time());
}

void control_claims_status(const struct control_claims *c, GString *out)
{
	const struct claim_stats *s = claim_stats(c->claim);

	g_string_append_printf(out, "claim_granted %" G_GUINT64_FORMAT "\n",
			       s->results[CLAIM_GRANTED]);
	g_string_append_printf(out, "claim_unavailable %" G_GUINT64_FORMAT "\n",
			       s->results[CLAIM_UNAVAILABLE]);
	g_string_append_printf(out, "claim_store_unknown %" G_GUINT64_FORMAT "\n", s->unconfirmed);
	g_string_append_printf(out, "claim_shard_full %" G_GUINT64_FORMAT "\n", s->full);
}
