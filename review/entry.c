/*
 * Driver of the case of the unreadable entry: entry KIND RECORD. Another writer puts an entry that
 * can't be read among those of the replicas; then the replicas of a service are replaced one after
 * the other. KIND says what the entry holds: bytes (no UTF-8) or surrogate (half of a character). With
 * KIND large there are two entries of nearly 1 MB each, of which nothing is unreadable.
 */
#include <stdlib.h>
#include <string.h>

#include "record.h"
#include "tests/site_case.h"
#include "tests/site_store.h"

#define N_INSTANCES 4U /* two in each failure domain */
#define N_REPLICAS  3U /* of the service that is replaced */
#define DRAIN_US    (2 * G_USEC_PER_SEC) /* bounds.drain_ms */
#define LINGER_US   (1500 * 1000) /* a replica serves on for drain_ms and this long */
#define GAP_US	    (1 * G_USEC_PER_SEC) /* between the replacements of two replicas */
#define SEND_US	    (50 * 1000) /* between two requests */
#define WORK_MS	    100U
#define LARGE_BYTES (1000U * 1000U) /* of a text in the entry; value_bytes is 1,048,576 */
#define CALLS_MAX   2000U

enum stage {
	STAGE_SERVING,
	STAGE_DRAINING,
	STAGE_GONE
};

struct old_replica {
	struct site_replica *replica;
	enum stage stage;
	gint64 changed_at;
	guint late; /* requests sent later than drain_ms after the store's acknowledgement */
};

struct call_slot {
	struct site_call *call; /* NULL: ended */
	char id[32];
	gint64 sent_at;
};

struct run {
	struct site *site;
	struct old_replica old[N_REPLICAS];
	struct call_slot calls[CALLS_MAX];
	guint n_calls;
	gint64 replaced_at; /* time at which the last old replica went; 0: not yet */
	guint late;
	guint served_after; /* of the requests sent after replaced_at */
	guint failed_after;
	guint late_lost;
	guint exits;
};

/* A text of printable characters that hardly shrinks when it is packed. */
static char *large_text(guint32 seed)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	char *text = g_malloc(LARGE_BYTES + 1);

	for (guint i = 0; i < LARGE_BYTES; i++) {
		char c = (char)g_rand_int_range(rand, '#', '~');

		text[i] = c == '\\' ? '!' : c;
	}
	text[LARGE_BYTES] = '\0';
	return text;
}

static void put_entry(struct run *r, const char *name, const char *spec)
{
	site_store_put(r->site->store, "servers", name, spec);
	record_line("another writer has put servers/%s of %zu bytes: %.60s", name, strlen(spec),
		    spec);
}

/* The second of the entries is put while the readers of the store still wait after the first. */
static void put_large_entries(struct run *r)
{
	/* A replica joins; the readers fetch the changes of the next half second together. */
	site_replica_add(r->site, "chat-new", "chat", "z-c");
	site_run_for(50);
	for (guint32 i = 1; i <= 2; i++) {
		g_autofree char *text = large_text(i);
		g_autofree char *spec = g_strdup_printf("{\"slots\":\"%s\"}", text);
		g_autofree char *name = g_strdup_printf("other-writer-%u", i);

		put_entry(r, name, spec);
	}
}

static char *entry_spec(const char *kind)
{
	g_autoptr(GString) s = g_string_new("{\"service\":\"shop\",\"addr\":\"127.0.0.1:9\",");

	if (strcmp(kind, "surrogate") == 0) {
		g_string_append(s, "\"version\":\"\\ud83d\"");
	} else {
		g_string_append(s, "\"version\":\"\xff\xfe\x80\"");
	}
	g_string_append_c(s, '}');
	return g_strdup(s->str);
}

static bool is_running(const struct site_instance *i)
{
	return i->process && g_subprocess_get_identifier(i->process);
}

/* Like the platform: a process that has ended is restarted. */
static void watch_instances(struct run *r)
{
	for (guint i = 0; i < N_INSTANCES; i++) {
		struct site_instance *n = case_instance(r->site, i);

		if (is_running(n))
			continue;
		r->exits++;
		record_line("instance %s has ended: signal %d", n->name,
			    g_subprocess_get_if_signaled(n->process)
				    ? g_subprocess_get_term_sig(n->process)
				    : 0);
		site_instance_start(n);
	}
}

static struct site_instance *instance_of(const struct run *r, guint call)
{
	return case_instance(r->site, call % N_INSTANCES);
}

static void send_call(struct run *r)
{
	struct site_instance *n = instance_of(r, r->n_calls);
	struct call_slot *c = &r->calls[r->n_calls];
	g_autofree char *headers = NULL;

	if (r->n_calls >= CALLS_MAX)
		return;
	g_snprintf(c->id, sizeof(c->id), "once-%u", r->n_calls++);
	headers = g_strdup_printf("X-Turmerichinge-Request-Id: %s\r\n"
				  "X-Turmerichinge-Deadline-Ms: 1500\r\n" AUTH,
				  c->id);
	c->sent_at = g_get_monotonic_time();
	c->call = site_send(n, "POST", "/once/x", headers, "{}");
}

/* Counts the request as late if a replica answered it that had been leaving for too long. */
static void check_late(struct run *r, const struct call_slot *c)
{
	for (guint i = 0; i < N_REPLICAS; i++) {
		struct old_replica *o = &r->old[i];
		g_autofree char *by = g_strdup_printf("answer to %s by %s", c->id, o->replica->id);

		if (o->stage == STAGE_SERVING || strcmp(c->call->body->str, by) != 0)
			continue;
		if (c->sent_at <= o->changed_at + DRAIN_US)
			continue;
		o->late++;
		r->late++;
		record_line("%s, sent %.3f s after the store had acknowledged that %s is draining, "
			    "ran there",
			    c->id, (double)(c->sent_at - o->changed_at) / G_USEC_PER_SEC,
			    o->replica->id);
	}
}

static void end_calls(struct run *r)
{
	for (guint i = 0; i < r->n_calls; i++) {
		struct call_slot *c = &r->calls[i];
		bool served;

		if (!c->call || (!c->call->done && !c->call->closed))
			continue;
		served = c->call->done && c->call->status == 200;
		if (served && !r->replaced_at)
			check_late(r, c);
		record_line("%s: sent to %s %.3f s ago, status %d, %s, runs %u%s%s", c->id,
			    instance_of(r, i)->name,
			    (double)(g_get_monotonic_time() - c->sent_at) / G_USEC_PER_SEC,
			    c->call->status,
			    c->call->done ? "answered" : "closed without an answer",
			    case_runs(r->site, c->id), served ? ": " : "",
			    served ? c->call->body->str : "");
		if (c->call->status == 502 && r->late)
			r->late_lost++;
		if (r->replaced_at && c->sent_at > r->replaced_at) {
			r->served_after += served;
			r->failed_after += !served;
		}
		site_call_free(c->call);
		c->call = NULL;
	}
}

static void run_for(struct run *r, gint64 us)
{
	gint64 end = g_get_monotonic_time() + us;
	gint64 next = 0;

	while (g_get_monotonic_time() < end) {
		if (g_get_monotonic_time() >= next) {
			send_call(r);
			next = g_get_monotonic_time() + SEND_US;
		}
		site_run_for(2);
		end_calls(r);
		watch_instances(r);
	}
}

/* A release: the new replica starts first, the old one drains, serves on and exits. */
static void replace(struct run *r, guint i)
{
	struct old_replica *o = &r->old[i];
	g_autofree char *id = g_strdup_printf("shop-new-%u", i);

	site_replica_add(r->site, id, "shop", o->replica->domain)->work_ms = WORK_MS;
	record_line("%s has started and is in the store", id);
	run_for(r, GAP_US);
	site_replica_set_state(o->replica, "draining");
	o->stage = STAGE_DRAINING;
	o->changed_at = g_get_monotonic_time();
	record_line("the store has acknowledged that %s is draining", o->replica->id);
	run_for(r, DRAIN_US + LINGER_US);
	record_line("%s exits; late requests that it ran: %u", o->replica->id, o->late);
	site_replica_stop(o->replica);
	site_replica_remove(o->replica);
	o->stage = STAGE_GONE;
}

static void play(struct run *r, const char *kind)
{
	struct site *s = r->site;

	for (guint i = 0; i < N_REPLICAS; i++) {
		g_autofree char *id = g_strdup_printf("shop-%u", i);

		r->old[i].replica = case_replica(s, id);
		r->old[i].replica->work_ms = WORK_MS;
	}
	run_for(r, 3 * G_USEC_PER_SEC);
	if (has_trouble() && strcmp(kind, "large") == 0) {
		put_large_entries(r);
	} else if (has_trouble()) {
		g_autofree char *spec = entry_spec(kind);

		put_entry(r, "other-writer-1", spec);
	}
	run_for(r, 3 * G_USEC_PER_SEC);
	for (guint i = 0; i < N_REPLICAS; i++)
		replace(r, i);
	r->replaced_at = g_get_monotonic_time();
	run_for(r, 4 * G_USEC_PER_SEC);
	record_line("requests sent later than drain_ms after the acknowledgement that ran at the "
		    "leaving replica: %u; of those then in progress, ended with 502: %u",
		    r->late, r->late_lost);
	record_line("after the release: %u served, %u not served; instances that ended by "
		    "themselves: %u",
		    r->served_after, r->failed_after, r->exits);
}

int main(int argc, char **argv)
{
	static struct run run;
	struct run *r = &run;
	static const char *const domains[N_INSTANCES] = { "z-a", "z-b", "z-a", "z-b" };
	bool broken;

	if (argc != 3 || !record_open(argv[2]))
		return NOT_RUN;
	r->site = site_new();
	site_add_defaults(r->site);
	for (guint i = 0; i < N_INSTANCES; i++)
		site_instance_add(r->site, domains[i]);
	site_wait_ready(r->site);
	record_line("%u instances are ready", N_INSTANCES);
	play(r, argv[1]);
	broken = r->late > 0;
	site_free(r->site);
	return record_verdict("DRAIN", broken);
}
