/*
 * Driver of the cases of crashing prompts: prompt PARTS CRASH PLAN RECORD. Requests whose prompts hold a certain
 * part crash the replicas that begin to answer them, beside sound requests that share their caller
 * and their other parts. PARTS: parts of each prompt; the last but one is the one that crashes.
 * CRASH: head or event, what the replica has sent of its answer when it crashes. PLAN: steady, one
 * request with the part a second; or restart, a batch of them every ten seconds, and one of the
 * instances is stopped and started a minute after the part was found.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "record.h"
#include "tests/site_case.h"

#define N_INSTANCES	3U
#define N_REPLICAS	6U
#define RUN_US		(40 * G_USEC_PER_SEC)
#define LONG_RUN_US	(100 * G_USEC_PER_SEC) /* with a restart */
#define BATCH_US	(10 * G_USEC_PER_SEC) /* between two batches */
#define BATCH		8U /* requests with the part, sent to one instance at once */
#define FIRST_DEADLY_US (2 * G_USEC_PER_SEC)
#define RESTART_AT_US	(73 * G_USEC_PER_SEC)
#define RESTARTED	2U /* instance, which gets the batch 9 s later */
#define DEADLY_US	(1 * G_USEC_PER_SEC) /* between two requests with the part */
#define SOUND_US	(200 * 1000) /* between two sound ones */
#define PREFILL_MS	150U
#define EVENT_GAP_MS	200U
#define RESTART_MS	2500U /* a replica is back after some seconds */
#define STABLE_US	(3 * G_USEC_PER_SEC) /* bounds.stable_ms */
#define CRASHES_TOLD	5U /* the rule counts from the fifth crash */
#define ARRIVALS_MAX	3U /* that the rule allows */
#define CALLS_MAX	1000U
#define ANSWER_DELAY_US (20 * 1000) /* from what was sent to the crash */

struct call_slot {
	struct site_call *call; /* NULL: ended */
	char id[32];
	bool deadly;
	guint runs; /* at replicas */
	gint64 reached_at[N_REPLICAS]; /* 0: it has not reached this replica */
	bool crashed[N_REPLICAS];
};

struct run {
	struct site *site;
	struct site_replica *replicas[N_REPLICAS];
	struct call_slot calls[CALLS_MAX];
	guint n_calls;
	guint n_parts;
	bool after_event; /* replicas crash after the first event, not after the head */
	bool restarts; /* the plan is restart */
	guint n_batches;
	struct site_instance *stopped; /* from its SIGTERM until it is sent requests again */
	gint64 back_at; /* time from which it is; 0: it has not exited */
	guint crashes;
	gint64 fifth_at;
	guint late; /* arrivals later than stable_ms after the fifth crash */
	guint sound;
	guint sound_cut; /* sound requests that a replica had begun, or that got 502 */
	guint sound_refused;
};

static bool has_restart(void)
{
	return has_trouble() && g_strcmp0(g_getenv("RESTART"), "0") != 0;
}

static char *prompt(const struct run *r, const char *id, bool deadly)
{
	g_autoptr(GString) s = g_string_new("aa01:200");
	const char *part = deadly ? "dead01" : "beef02";

	/* The part before the last names the chat, and chats are spread over the replicas. */
	if (r->restarts)
		return g_strdup_printf("aa01:200,%s:300,c%u:100,%x:50", part,
				       r->n_calls % N_REPLICAS, g_str_hash(id));
	for (guint i = 0; i + 3 < r->n_parts; i++)
		g_string_append_printf(s, ",f%02x:20", i);
	g_string_append_printf(s, ",%s:300,%x:50", part, g_str_hash(id));
	return g_strdup(s->str);
}

static void send_call(struct run *r, guint instance, bool deadly)
{
	struct site_instance *n = case_instance(r->site, instance % N_INSTANCES);
	struct call_slot *c = &r->calls[r->n_calls];
	g_autofree char *parts = NULL;
	g_autofree char *headers = NULL;

	if (r->n_calls >= CALLS_MAX || n == r->stopped)
		return;
	g_snprintf(c->id, sizeof(c->id), "%s-%03u", deadly ? "deadly" : "sound", r->n_calls++);
	c->deadly = deadly;
	parts = prompt(r, c->id, deadly);
	headers = g_strdup_printf("X-Turmerichinge-Request-Id: %s\r\n"
				  "X-Turmerichinge-Deadline-Ms: 5000\r\n" AUTH
				  "X-Turmerichinge-Prompt-Prefix: %s\r\n",
				  c->id, parts);
	c->call = site_send(n, "POST", "/streamonce/x", headers, c->id);
}

static gboolean on_back(gpointer arg)
{
	struct site_replica *r = arg;

	r->born++;
	site_replica_start(r);
	site_replica_set_state(r, "ready");
	return G_SOURCE_REMOVE;
}

static void crash(struct run *r, struct site_replica *p, const struct call_slot *c)
{
	if (p->fd < 0)
		return;
	r->crashes++;
	record_line("crash %u: %s by %s", r->crashes, p->id, c->id);
	if (r->crashes == CRASHES_TOLD)
		r->fifth_at = g_get_monotonic_time();
	site_replica_stop(p);
	g_string_truncate(p->last_headers, 0);
	g_timeout_add(RESTART_MS, on_back, p);
}

/* Counts the arrivals of a request with the part that the rule counts. */
static void count_arrivals(struct run *r, struct call_slot *c)
{
	guint runs = case_runs(r->site, c->id);
	gint64 now = g_get_monotonic_time();

	if (runs == c->runs)
		return;
	if (r->fifth_at && now > r->fifth_at + STABLE_US) {
		r->late += runs - c->runs;
		record_line("%s reached a replica %.3f s after the fifth crash", c->id,
			    (double)(now - r->fifth_at) / G_USEC_PER_SEC);
	}
	c->runs = runs;
}

/* Notes which replicas a request with the part has reached, and lets them crash. */
static void play_deadly(struct run *r, struct call_slot *c)
{
	gint64 answer_us =
		(PREFILL_MS + (r->after_event ? EVENT_GAP_MS : 0)) * 1000 + ANSWER_DELAY_US;

	count_arrivals(r, c);
	for (guint i = 0; i < N_REPLICAS; i++) {
		struct site_replica *p = r->replicas[i];

		if (!c->reached_at[i] && strstr(p->last_headers->str, c->id))
			c->reached_at[i] = g_get_monotonic_time();
		if (!c->reached_at[i] || c->crashed[i] || !has_trouble() ||
		    g_get_monotonic_time() - c->reached_at[i] < answer_us)
			continue;
		c->crashed[i] = true;
		crash(r, p, c);
	}
}

static void count_sound(struct run *r, const struct call_slot *c)
{
	r->sound++;
	if (c->call->status == 200 && c->call->done)
		return;
	if (c->call->status == 503)
		r->sound_refused++;
	else
		r->sound_cut++;
}

static void poll_calls(struct run *r)
{
	for (guint i = 0; i < r->n_calls; i++) {
		struct call_slot *c = &r->calls[i];

		if (!c->call)
			continue;
		if (c->deadly)
			play_deadly(r, c);
		if (!c->call->done && !c->call->closed)
			continue;
		if (!c->deadly)
			count_sound(r, c);
		record_line("%s: status %d, %s, %zu bytes, runs %u", c->id, c->call->status,
			    c->call->done ? "complete" : "cut", c->call->body->len,
			    case_runs(r->site, c->id));
		site_call_free(c->call);
		c->call = NULL;
	}
}

/* Planned work: SIGTERM, and a new start when the process has exited. */
static void play_restart(struct run *r, gint64 elapsed)
{
	struct site_instance *n = case_instance(r->site, RESTARTED);

	if (!r->stopped && !r->back_at && elapsed >= RESTART_AT_US && has_restart()) {
		record_line("%s gets SIGTERM", n->name);
		r->stopped = n;
		site_instance_signal(n, SIGTERM);
	} else if (r->stopped && !r->back_at && !g_subprocess_get_identifier(n->process)) {
		record_line("%s has exited and is started again", n->name);
		site_instance_start(n);
		r->back_at = g_get_monotonic_time() + G_USEC_PER_SEC;
	} else if (r->stopped && r->back_at && g_get_monotonic_time() >= r->back_at) {
		r->stopped = NULL;
	}
}

/* Sends the requests with the part that are due, and returns the time of the next ones. */
static gint64 send_deadly(struct run *r, gint64 now)
{
	if (!r->restarts) {
		send_call(r, r->n_calls, true);
		return now + DEADLY_US;
	}
	for (guint i = 0; i < BATCH; i++)
		send_call(r, r->n_batches, true);
	r->n_batches++;
	return now + BATCH_US;
}

static void play(struct run *r)
{
	gint64 start = g_get_monotonic_time();
	gint64 end = start + (r->restarts ? LONG_RUN_US : RUN_US);
	gint64 next_deadly = start + FIRST_DEADLY_US;
	gint64 next_sound = 0;

	while (g_get_monotonic_time() < end) {
		gint64 now = g_get_monotonic_time();

		if (r->restarts)
			play_restart(r, now - start);
		if (now >= next_deadly)
			next_deadly = send_deadly(r, now);
		if (now >= next_sound) {
			send_call(r, r->n_calls, false);
			next_sound = now + SOUND_US;
		}
		site_run_for(2);
		poll_calls(r);
	}
	record_line("crashes: %u; requests with the part that reached replicas later than "
		    "stable_ms after the fifth crash: %u (%u are allowed)",
		    r->crashes, r->late, ARRIVALS_MAX);
	record_line("sound requests: %u, of which %u were cut off and %u refused", r->sound,
		    r->sound_cut, r->sound_refused);
}

static void start(struct run *r)
{
	static const char *const domains[N_INSTANCES] = { "z-a", "z-b", "z-c" };
	struct site *s = site_new();

	r->site = s;
	site_add_defaults(s);
	for (guint i = 0; i < N_REPLICAS; i++) {
		g_autofree char *id = g_strdup_printf("chat-%u", i);

		r->replicas[i] = i < 3 ? case_replica(s, id)
				       : site_replica_add(s, id, "chat", domains[i % 3]);
		r->replicas[i]->prefill_ms = PREFILL_MS;
		r->replicas[i]->event_gap_ms = EVENT_GAP_MS;
	}
	for (guint i = 0; i < N_INSTANCES; i++)
		site_instance_add(s, domains[i]);
	site_wait_ready(s);
	site_run_for(1500);
	record_line("%u instances are ready", N_INSTANCES);
}

int main(int argc, char **argv)
{
	static struct run run;
	struct run *r = &run;

	if (argc != 5 || !record_open(argv[4]))
		return NOT_RUN;
	r->n_parts = (guint)strtoul(argv[1], NULL, 10);
	r->after_event = strcmp(argv[2], "event") == 0;
	r->restarts = strcmp(argv[3], "restart") == 0;
	start(r);
	play(r);
	site_free(r->site);
	return record_verdict("BUDGET", r->late > ARRIVALS_MAX);
}
