/*
 * The router instance on the platform: parts of prompts that crash the replicas after some output,
 * wherever they stand in a prompt, beside sound requests that share their other parts or a replica.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "site_case.h"

#define DEADLY_PART "dead01"
#define SOUND_PART  "beef02"
#define PREFILL_MS  50U
#define N_EVENTS    14U
#define GAP_MS	    20U
#define CRASHES_MAX 5U /* from the first crash until all instances refuse the part */
/* Requests that are refused for longer than the quarantine after the last crash. */
#define REFUSALS       14U
#define REFUSAL_GAP_MS 5000U
/* Rows are told again every five seconds. */
#define RESTART_SETTLE_MS 6000U
/* A replica is back, and the instances have heard of its crash. */
#define SETTLE_MS (SITE_RESTART_MS + 300U)

/* Two instances, three replicas of each service. */
static struct site *deadly_site(uint32_t deadly_events)
{
	struct site *s = case_site();

	site_instance_add(s, "z-b");
	site_wait_ready(s);
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		r->prefill_ms = PREFILL_MS;
		r->n_events = N_EVENTS;
		r->event_gap_ms = GAP_MS;
	}
	s->deadly_text = DEADLY_PART;
	s->deadly_events = deadly_events;
	/* The instances exchange digests. */
	site_run_for(1000);
	return s;
}

/* Sends a request with the prompt "FIRST,@part,CHAT,own part" to instance @i. */
static struct site_call *send_parts(struct site *s, guint i, const char *route, const char *id,
				    const char *part)
{
	g_autofree char *path = g_strdup_printf("/%s/x", route);
	g_autofree char *headers = g_strdup_printf(
		"X-Turmerichinge-Request-Id: %s\r\nX-Turmerichinge-Deadline-Ms: 6000\r\n" AUTH
		"X-Turmerichinge-Prompt-Prefix: aa01:200,%s:300,c0de03:100,%x:50\r\n",
		id, part, g_str_hash(id));
	g_autofree char *body = g_strdup_printf("{\"id\":\"%s\"}", id);

	return site_send(case_instance(s, i), "POST", path, headers, body);
}

static bool is_whole(const struct site_call *c, const char *id)
{
	g_autofree char *last = g_strdup_printf("id: %u\ndata: %s-%u\n\n", N_EVENTS, id, N_EVENTS);

	return c->status == 200 && c->done && g_str_has_suffix(c->body->str, last);
}

static void expect_sound(struct site *s, guint instance, const char *id)
{
	struct site_call *c = send_parts(s, instance, "streamonce", id, SOUND_PART);

	site_call_wait(c);
	g_assert_cmpint(c->status, ==, 200);
	g_assert_true(is_whole(c, id));
	site_call_free(c);
}

/* One request with the deadly part, then a sound one with the same chat at another instance. */
static void play_round(struct site *s, const char *route, uint32_t round)
{
	g_autofree char *id = g_strdup_printf("deadly-%u", round);
	g_autofree char *sound = g_strdup_printf("sound-%u", round);
	struct site_call *c = send_parts(s, round % 2, route, id, DEADLY_PART);

	site_call_wait(c);
	g_assert_false(is_whole(c, id));
	site_call_free(c);
	site_run_for(SETTLE_MS);
	expect_sound(s, (round + 1) % 2, sound);
}

static void play(struct site *s, const char *route)
{
	uint32_t reached;

	for (uint32_t i = 0; i < 6; i++)
		play_round(s, route, i);
	g_assert_cmpuint(s->crashes, <=, CRASHES_MAX);
	reached = s->deadly_requests;
	for (uint32_t i = 6; i < 9; i++)
		play_round(s, route, i);
	g_assert_cmpuint(s->deadly_requests, ==, reached);
	site_free(s);
}

/* Guards against a part that is never found since its replicas crash after the first event. */
static void test_first_event(void)
{
	play(deadly_site(1), "streamonce");
}

static void test_tenth_event(void)
{
	play(deadly_site(10), "streamonce");
}

/* Guards against a stream with the part that is resumed at one replica after the other. */
static void test_resumable(void)
{
	play(deadly_site(3), "stream");
}

/* Guards against a part that crashes replicas sooner or later and clears itself in between. */
static void test_any_event(void)
{
	static const uint32_t events[] = { 1, 8, 0, 4, 10, 2, 7, 9, 3 };
	struct site *s = deadly_site(0);
	uint32_t reached = 0;

	for (uint32_t i = 0; i < G_N_ELEMENTS(events); i++) {
		s->deadly_events = events[i];
		if (i == CRASHES_MAX)
			reached = s->deadly_requests;
		play_round(s, "streamonce", i);
	}
	g_assert_cmpuint(s->crashes, <=, CRASHES_MAX);
	g_assert_cmpuint(s->deadly_requests, ==, reached);
	site_free(s);
}

/* Guards against a crash after an event that looks like the end of a stream without a length. */
static void test_unframed(void)
{
	struct site *s = deadly_site(2);

	s->unframed = true;
	play(s, "streamonce");
}

/* The replica of the model engines that has most connections. */
static struct site_replica *busiest_replica(struct site *s)
{
	struct site_replica *best = NULL;

	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		if (strcmp(r->service, "chat") == 0 && (!best || r->conns->len > best->conns->len))
			best = r;
	}
	return best;
}

/* Requests without failures, which fill the retry budgets of the instances. */
static void fill_budgets(struct site *s)
{
	for (guint i = 0; i < 8; i++) {
		struct site_call *calls[8];

		for (guint k = 0; k < G_N_ELEMENTS(calls); k++) {
			g_autofree char *id = g_strdup_printf("fill-%u-%u", i, k);

			calls[k] = send_parts(s, k % 2, "stream", id, SOUND_PART);
		}
		for (guint k = 0; k < G_N_ELEMENTS(calls); k++) {
			site_call_wait(calls[k]);
			site_call_free(calls[k]);
		}
	}
}

/*
 * Guards against sound streams that are refused or given up since they were in progress at replicas
 * that crashed for another reason.
 */
static void test_bystanders(void)
{
	struct site *s = deadly_site(0);
	uint32_t runs = 0;

	s->deadly_text = NULL;
	fill_budgets(s);
	for (guint i = 0; i < 4; i++) {
		struct site_call *calls[4];
		char *ids[G_N_ELEMENTS(calls)];

		for (guint k = 0; k < G_N_ELEMENTS(calls); k++) {
			ids[k] = g_strdup_printf("bystander-%u-%u", i, k);
			calls[k] = send_parts(s, k % 2, "stream", ids[k], SOUND_PART);
		}
		site_run_for(PREFILL_MS + 3 * GAP_MS);
		site_replica_crash(busiest_replica(s));
		for (guint k = 0; k < G_N_ELEMENTS(calls); k++) {
			site_call_wait(calls[k]);
			g_assert_true(is_whole(calls[k], ids[k]));
			runs += case_runs(s, ids[k]);
			site_call_free(calls[k]);
			g_free(ids[k]);
		}
		site_run_for(SETTLE_MS);
	}
	/* Each crash met streams, which were resumed. */
	g_assert_cmpuint(runs, >=, 4 * 4 + 4);
	expect_sound(s, 0, "after-0");
	expect_sound(s, 1, "after-1");
	site_free(s);
}

/* A prompt of @n parts with @part at @place; the last one is of the request only. */
static char *long_prompt(uint32_t n, uint32_t place, const char *part, const char *id)
{
	g_autoptr(GString) s = g_string_new(NULL);

	for (uint32_t i = 0; i + 1 < n; i++) {
		if (i == place)
			g_string_append_printf(s, "%s:20,", part);
		else
			g_string_append_printf(s, "f%04x:20,", i);
	}
	g_string_append_printf(s, "%x:50", g_str_hash(id));
	return g_strdup(s->str);
}

static struct site_call *send_prompt(struct site *s, guint i, const char *id, const char *prompt)
{
	g_autofree char *headers = g_strdup_printf(
		"X-Turmerichinge-Request-Id: %s\r\nX-Turmerichinge-Deadline-Ms: 6000\r\n" AUTH
		"X-Turmerichinge-Prompt-Prefix: %s\r\n",
		id, prompt);

	return site_send(case_instance(s, i), "POST", "/streamonce/x", headers, id);
}

/* Plays prompts of @n parts with @deadly at @place, and sound ones with @sound in its stead. */
static void play_prompts(uint32_t n, uint32_t place, const char *deadly, const char *sound)
{
	struct site *s = deadly_site(1);
	uint32_t reached = 0;

	s->deadly_text = deadly;
	for (uint32_t i = 0; i < 8; i++) {
		g_autofree char *id = g_strdup_printf("deadly-%u", i);
		g_autofree char *sound_id = g_strdup_printf("sound-%u", i);
		g_autofree char *prompt = long_prompt(n, place, deadly, id);
		g_autofree char *sound_prompt = long_prompt(n, place, sound, sound_id);
		struct site_call *c;

		if (i == CRASHES_MAX)
			reached = s->deadly_requests;
		c = send_prompt(s, i % 2, id, prompt);
		site_call_wait(c);
		site_call_free(c);
		site_run_for(SETTLE_MS);
		c = send_prompt(s, (i + 1) % 2, sound_id, sound_prompt);
		site_call_wait(c);
		g_assert_true(is_whole(c, sound_id));
		site_call_free(c);
	}
	g_assert_cmpuint(s->crashes, <=, CRASHES_MAX);
	g_assert_cmpuint(s->deadly_requests, ==, reached);
	site_free(s);
}

/* Guards against a part that is never found since it comes after the first ones of a long prompt. */
static void test_late_part(void)
{
	play_prompts(20, 18, "dead01", "beef02");
}

static void test_middle_of_many(void)
{
	play_prompts(400, 300, "dead01", "beef02");
}

static void test_first_of_many(void)
{
	play_prompts(40, 0, "dead01", "beef02");
}

/* Guards against ids of more than 64 bits that are all taken for one, and sound ones refused for it. */
static void test_long_ids(void)
{
	play_prompts(4, 1, "00dead0123456789abcdef0123456789abcdef01",
		     "00beef0123456789abcdef0123456789abcdef02");
	play_prompts(4, 2, "ffffffffffffffffffffffffffffffffdead0001",
		     "ffffffffffffffffffffffffffffffffdead0002");
}

/* Guards against a part that isn't found since a part before it is malformed. */
static void test_after_malformed_part(void)
{
	play_prompts(4, 1, "x:1,dead01", "x:1,beef02");
}

static void send_refused(struct site *s, guint instance, const char *id)
{
	struct site_call *c = send_parts(s, instance, "streamonce", id, DEADLY_PART);

	site_call_wait(c);
	g_assert_cmpint(c->status, ==, 503);
	site_call_free(c);
}

/*
 * Guards against an instance that sends what the others have refused for over a minute, since it has
 * seen no request with the part, or has just started.
 */
static void test_refused_elsewhere(void)
{
	struct site *s = deadly_site(1);
	struct site_instance *other = case_instance(s, 1);
	uint32_t reached;

	for (uint32_t i = 0; i < CRASHES_MAX; i++)
		play_round(s, "streamonce", 2 * i);
	reached = s->deadly_requests;
	for (uint32_t i = 0; i < REFUSALS; i++) {
		g_autofree char *id = g_strdup_printf("refused-%u", i);

		send_refused(s, 0, id);
		site_run_for(REFUSAL_GAP_MS);
	}
	send_refused(s, 1, "other-0");
	site_instance_signal(other, SIGKILL);
	site_instance_wait_exit(other);
	site_instance_start(other);
	site_wait_ready(s);
	site_run_for(RESTART_SETTLE_MS);
	send_refused(s, 1, "other-1");
	expect_sound(s, 1, "sound-other");
	g_assert_cmpuint(s->deadly_requests, ==, reached);
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/deadly/first-event", test_first_event);
	g_test_add_func("/deadly/tenth-event", test_tenth_event);
	g_test_add_func("/deadly/resumable", test_resumable);
	g_test_add_func("/deadly/any-event", test_any_event);
	g_test_add_func("/deadly/unframed-event", test_unframed);
	g_test_add_func("/deadly/bystanders", test_bystanders);
	g_test_add_func("/deadly/late-part", test_late_part);
	g_test_add_func("/deadly/middle-of-many", test_middle_of_many);
	g_test_add_func("/deadly/first-of-many", test_first_of_many);
	g_test_add_func("/deadly/long-ids", test_long_ids);
	g_test_add_func("/deadly/after-malformed-part", test_after_malformed_part);
	g_test_add_func("/deadly/refused-elsewhere", test_refused_elsewhere);
	return g_test_run();
}
