/* Tests of the control task: file mode, peers without a platform, and when watchers call. */
#include <glib/gstdio.h>
#include <string.h>

#include "base/base.h"
#include "control/control.h"
#include "control/watch.h"

/** struct end - one control task and what it told */
struct end {
	struct conf_settings s;
	struct evt_ring *ring;
	struct task *front;
	struct control *control;
	char *seeds[2];
	uint64_t version; /* of "ranks" */
	char text[64];
	bool ready;
	uint32_t n_all;
	uint32_t n_listed;
	uint32_t n_replies;
	enum control_claim_result claim;
	char *dir;
	char *file;
};

static void on_config(void *arg, const char *key, uint64_t version, const char *text)
{
	struct end *e = arg;

	if (strcmp(key, "ranks") != 0)
		return;
	g_assert_cmpuint(version, >, e->version);
	e->version = version;
	g_strlcpy(e->text, text ? text : "deleted", sizeof(e->text));
}

static void on_listed(void *arg, const char *id, bool leaving, uint64_t version)
{
	((struct end *)arg)->n_listed++;
}

static void on_upstream(void *arg, const struct control_upstream *u)
{
}

static void on_poison(void *arg, const struct poison_mark *m)
{
}

static void on_account(void *arg, uint64_t account, double rate)
{
}

static void on_instances(void *arg, uint32_t n_all, uint32_t n_domain)
{
	((struct end *)arg)->n_all = n_all;
}

static void on_ready(void *arg, bool configured)
{
	((struct end *)arg)->ready = configured;
}

static void end_write(const struct end *e, const char *text)
{
	g_autoptr(GError) error = NULL;

	g_file_set_contents(e->file, text, -1, &error);
	g_assert_no_error(error);
}

static void end_open(struct end *e, const char *id, const char *platform, const char *seed,
		     const char *file)
{
	struct control_events events = { e,	    on_config,	on_listed,    on_upstream,
					 on_poison, on_account, on_instances, on_ready };

	memset(e, 0, sizeof(*e));
	e->s.instance = (char *)id;
	e->s.failure_domain = "a";
	e->s.peer_listen = "127.0.0.1:0";
	e->s.peer_key = "secret";
	e->s.control_bytes_per_second = 14000;
	e->s.platform_url = (char *)platform;
	e->seeds[0] = (char *)seed;
	e->s.peer_seeds = e->seeds;
	if (file) {
		e->dir = g_dir_make_tmp("control-XXXXXX", NULL);
		e->file = g_build_filename(e->dir, "config.ini", NULL);
		e->s.config_file = e->file;
		end_write(e, file);
	}
	e->ring = evt_ring_new(1024, id);
	e->front = task_new_here(e);
	e->control = control_new(&e->s, e->ring, e->front, &events);
}

static void end_close(struct end *e)
{
	control_free(e->control);
	while (g_main_context_iteration(NULL, FALSE))
		;
	task_free(e->front);
	evt_ring_free(e->ring);
	if (e->file) {
		g_unlink(e->file);
		g_rmdir(e->dir);
	}
	g_free(e->file);
	g_free(e->dir);
}

/* Runs the loop until *@text is @want; fails after 20 seconds. */
static void wait_text(const char *text, const char *want)
{
	for (int i = 0; i < 2000 && strstr(text, want) == NULL; i++) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		g_usleep(10000);
	}
	g_assert_nonnull(strstr(text, want));
}

static void wait_flag(const bool *flag)
{
	for (int i = 0; i < 2000 && !*flag; i++) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		g_usleep(10000);
	}
	g_assert_true(*flag);
}

/* Waits for an event of @e whose text holds @want; fails after 20 seconds. */
static void wait_event(struct end *e, const char *want)
{
	g_autoptr(GString) events = g_string_new(NULL);

	for (int i = 0; i < 2000 && !strstr(events->str, want); i++) {
		g_usleep(10000);
		g_string_truncate(events, 0);
		evt_print(e->ring, 0, events);
	}
	g_assert_nonnull(strstr(events->str, want));
}

static char *status_line(struct end *e, const char *name)
{
	g_autoptr(GString) out = g_string_new(NULL);
	g_auto(GStrv) lines = NULL;
	char *found = NULL;

	control_status(e->control, out);
	lines = g_strsplit(out->str, "\n", -1);
	for (guint i = 0; lines[i] && !found; i++) {
		if (g_str_has_prefix(lines[i], name) && lines[i][strlen(name)] == ' ')
			found = g_strdup(lines[i] + strlen(name) + 1);
	}
	return found;
}

/* The address is known once the task has started. */
static char *wait_address(struct end *e)
{
	char *a = NULL;

	for (int i = 0; i < 1000 && !a; i++) {
		g_usleep(10000);
		a = status_line(e, "control_peer_address");
	}
	g_assert_nonnull(a);
	return a;
}

static void on_claim(void *arg, const struct control_claim_reply *r)
{
	struct end *e = arg;

	e->n_replies++;
	e->claim = r->result;
}

/* Guards against a broken file that replaces the configuration in force, a change of the file that
 * is missed, and a claim that is granted without a platform. */
static void test_file(void)
{
	struct end e;
	g_autoptr(GString) events = g_string_new(NULL);

	end_open(&e, "one", NULL, NULL, "[ranks]\nurgent=0.5\n");
	wait_flag(&e.ready);
	g_assert_nonnull(strstr(e.text, "0.5"));
	end_write(&e, "[ranks]\nurgent=7\n");
	control_reload(e.control);
	g_usleep(100000);
	end_write(&e, "[ranks]\nurgent=0.25\n");
	wait_text(e.text, "0.25");
	end_write(&e, "[ranks]\nurgent=0.125\n");
	control_reload(e.control);
	wait_text(e.text, "0.125");
	control_claim(e.control, "acme", "key", 1, g_get_monotonic_time() + USEC_PER_SEC, on_claim,
		      &e);
	for (int i = 0; i < 500 && e.n_replies == 0; i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(10000);
	}
	g_assert_cmpuint(e.n_replies, ==, 1);
	g_assert_cmpint(e.claim, ==, CONTROL_CLAIM_UNAVAILABLE);
	evt_print(e.ring, 0, events);
	g_assert_nonnull(strstr(events->str, "ranks version"));
	end_close(&e);
}

/* Guards against an instance that does not start while the platform is down, that takes no change
 * from its peers then, or that keeps hearing a peer that it is cut off from. */
static void test_peers_without_platform(void)
{
	struct end a;
	struct end b;
	g_autofree char *seed = NULL;

	end_open(&a, "one", NULL, NULL, "[ranks]\nurgent=0.5\n");
	seed = wait_address(&a);
	/* Nobody listens on port 1. */
	end_open(&b, "two", "http://127.0.0.1:1", seed, NULL);
	g_assert_false(b.ready);
	wait_flag(&b.ready);
	wait_text(b.text, "0.5");
	g_assert_cmpuint(b.version, ==, a.version);
	end_write(&a, "[ranks]\nurgent=0.25\n");
	control_reload(a.control);
	wait_text(b.text, "0.25");
	control_block_peer(b.control, seed, true);
	/* The control task cuts the peer off; a change before that may still come through. */
	wait_event(&b, "is lost");
	end_write(&a, "[ranks]\nurgent=0.125\n");
	control_reload(a.control);
	wait_text(a.text, "0.125");
	g_usleep(300000);
	while (g_main_context_iteration(NULL, FALSE))
		;
	g_assert_nonnull(strstr(b.text, "0.25"));
	control_block_peer(b.control, seed, false);
	wait_text(b.text, "0.125");
	end_close(&a);
	end_close(&b);
}

/* Guards against an object of an operator that waits for the platform's watch, and for a stale one
 * that replaces it. */
static void test_offer(void)
{
	struct end e;

	end_open(&e, "one", NULL, NULL, "[ranks]\nurgent=0.5\n");
	wait_flag(&e.ready);
	control_offer(e.control, "ranks", e.version - 1, "urgent=0.1\n");
	control_offer(e.control, "ranks", e.version + 5, "urgent=0.75\n");
	wait_text(e.text, "0.75");
	end_close(&e);
}

static void drop_send(void *arg, const char *address, const void *frame, size_t len)
{
}

static void drop_unlink(void *arg, const char *address)
{
}

static void drop_config(void *arg, const struct conf_object *o)
{
}

static void drop_instance(void *arg, const struct gossip_instance *i)
{
}

static void drop_upstream(void *arg, const struct gossip_upstream *u)
{
}

static void drop_account(void *arg, const struct gossip_account *a)
{
}

static struct gossip *lone_gossip(void)
{
	struct gossip_events e = { NULL,	  drop_send,	 drop_unlink,
				   drop_config,	  drop_instance, on_listed,
				   drop_upstream, on_poison,	 drop_account };
	struct gossip_params p = { .id = "one",
				   .failure_domain = "a",
				   .address = "x:1",
				   .key = "secret",
				   .incarnation = 1,
				   .bytes_per_second = 14000 };

	return gossip_new(&p, &e, 0, 0);
}

/* Guards against a list that lags and is taken for complete, or that deletes what it can't know. */
static void test_lagging_list(void)
{
	struct gossip *g = lone_gossip();
	struct watch w;
	struct watch_object old = { "ranks", 3, "urgent=0.5\n" };
	const struct conf_store *s = gossip_store(g);

	watch_init(&w, 1, 0);
	g_assert_cmpint(watch_next(&w, true, false, 0), ==, WATCH_FENCE);
	g_assert_cmpint(watch_next(&w, true, false, 0), ==, WATCH_NONE);
	watch_done(&w, WATCH_FENCE, true, 9, 1);
	g_assert_cmpint(watch_next(&w, true, false, 1), ==, WATCH_LIST);
	gossip_config(g, "account/new", 8, "key=k\n", 1);
	gossip_config(g, "account/gone", 2, "key=l\n", 1);
	watch_take(&w, g, WATCH_LIST, &old, 1, 5, 2);
	g_assert_false(gossip_configured(g));
	g_assert_false(conf_get(s, "account/new")->deleted);
	g_assert_true(conf_get(s, "account/gone")->deleted);
	watch_take(&w, g, WATCH_POLL, NULL, 0, 9, 3);
	g_assert_true(gossip_configured(g));
	gossip_free(g);
}

/* Guards against an instance that stops reading half-way, and is never ready, because it is no longer
 * a watcher. */
static void test_read_goes_on(void)
{
	struct watch w;

	watch_init(&w, 1, 0);
	g_assert_cmpint(watch_next(&w, true, false, 0), ==, WATCH_FENCE);
	watch_done(&w, WATCH_FENCE, true, 9, 1);
	g_assert_cmpint(watch_next(&w, false, false, 1), ==, WATCH_LIST);
	watch_done(&w, WATCH_LIST, true, 9, 2);
	g_assert_cmpint(watch_next(&w, false, true, 2), ==, WATCH_NONE);
}

/* Guards against a platform that is called without pause while it fails. */
static void test_backoff(void)
{
	struct watch w;
	uint32_t calls = 0;

	watch_init(&w, 1, 0);
	for (int64_t now = 0; now < 60 * USEC_PER_SEC; now += 10 * USEC_PER_MSEC) {
		enum watch_op op = watch_next(&w, true, true, now);

		if (op == WATCH_NONE)
			continue;
		calls++;
		watch_done(&w, op, false, 0, now);
	}
	g_assert_cmpuint(calls, >=, 5);
	g_assert_cmpuint(calls, <=, 20);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_set_level(LOG_ERROR);
	g_test_add_func("/control/file", test_file);
	g_test_add_func("/control/peers-without-platform", test_peers_without_platform);
	g_test_add_func("/control/offer", test_offer);
	g_test_add_func("/control/lagging-list", test_lagging_list);
	g_test_add_func("/control/read-goes-on", test_read_goes_on);
	g_test_add_func("/control/backoff", test_backoff);
	return g_test_run();
}
