/* Tests of the control task: file mode, peers without a platform, and the schedule of watchers. */
#include <glib/gstdio.h>
#include <string.h>

#include "base/base.h"
#include "control/control.h"
#include "control/watch.h"

/** struct fixture - one control task and what its callbacks reported */
struct fixture {
	struct conf_settings s;
	struct evt_ring *ring;
	struct task *front;
	struct control *control;
	char *seeds[2];
	uint64_t version; /* of the object "ranks" */
	char text[64]; /* of the object "ranks" */
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
	struct fixture *f = arg;

	if (strcmp(key, "ranks") != 0)
		return;
	g_assert_cmpuint(version, >, f->version);
	f->version = version;
	g_strlcpy(f->text, text ? text : "deleted", sizeof(f->text));
}

static void on_listed(void *arg, const char *id, bool leaving, uint64_t version)
{
	((struct fixture *)arg)->n_listed++;
}

static void on_upstream(void *arg, const struct control_upstream *u)
{
}

static void on_poison(void *arg, const struct poison_record *m)
{
}

static void on_account(void *arg, uint64_t account, double rate)
{
}

static void on_instances(void *arg, uint32_t n_all, uint32_t n_domain)
{
	((struct fixture *)arg)->n_all = n_all;
}

static void on_ready(void *arg, bool configured)
{
	((struct fixture *)arg)->ready = configured;
}

static void write_file(const struct fixture *f, const char *text)
{
	g_autoptr(GError) error = NULL;

	g_file_set_contents(f->file, text, -1, &error);
	g_assert_no_error(error);
}

static void fixture_open(struct fixture *f, const char *id, const char *platform, const char *seed,
			 const char *file)
{
	struct control_events events = { f,	    on_config,	on_listed,    on_upstream,
					 on_poison, on_account, on_instances, on_ready };

	memset(f, 0, sizeof(*f));
	f->s.instance = (char *)id;
	f->s.failure_domain = "a";
	f->s.peer_listen = "127.0.0.1:0";
	f->s.peer_key = "secret";
	f->s.control_bytes_per_second = 14000;
	f->s.platform_url = (char *)platform;
	f->seeds[0] = (char *)seed;
	f->s.peer_seeds = f->seeds;
	if (file) {
		f->dir = g_dir_make_tmp("control-XXXXXX", NULL);
		f->file = g_build_filename(f->dir, "config.ini", NULL);
		f->s.config_file = f->file;
		write_file(f, file);
	}
	f->ring = evt_ring_new(1024, id);
	f->front = task_new_here(f);
	f->control = control_new(&f->s, f->ring, f->front, &events);
}

static void fixture_close(struct fixture *f)
{
	control_free(f->control);
	while (g_main_context_iteration(NULL, FALSE))
		;
	task_free(f->front);
	evt_ring_free(f->ring);
	if (f->file) {
		g_unlink(f->file);
		g_rmdir(f->dir);
	}
	g_free(f->file);
	g_free(f->dir);
}

/* Runs the loop until @text contains @part; fails after 20 seconds. */
static void wait_text(const char *text, const char *part)
{
	for (int i = 0; i < 2000 && strstr(text, part) == NULL; i++) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		g_usleep(10000);
	}
	g_assert_nonnull(strstr(text, part));
}

/* Runs the loop until *@flag is set; fails after 20 seconds. */
static void wait_flag(const bool *flag)
{
	for (int i = 0; i < 2000 && !*flag; i++) {
		while (g_main_context_iteration(NULL, FALSE))
			;
		g_usleep(10000);
	}
	g_assert_true(*flag);
}

/* Waits for an event of @f whose text contains @part; fails after 20 seconds. */
static void wait_event(struct fixture *f, const char *part)
{
	g_autoptr(GString) events = g_string_new(NULL);

	for (int i = 0; i < 2000 && !strstr(events->str, part); i++) {
		g_usleep(10000);
		g_string_truncate(events, 0);
		evt_print(f->ring, 0, events);
	}
	g_assert_nonnull(strstr(events->str, part));
}

static char *status_line(struct fixture *f, const char *name)
{
	g_autoptr(GString) out = g_string_new(NULL);
	g_auto(GStrv) lines = NULL;
	char *found = NULL;

	control_status(f->control, out);
	lines = g_strsplit(out->str, "\n", -1);
	for (guint i = 0; lines[i] && !found; i++) {
		if (g_str_has_prefix(lines[i], name) && lines[i][strlen(name)] == ' ')
			found = g_strdup(lines[i] + strlen(name) + 1);
	}
	return found;
}

/* Waits until the control task has started and has a listener address. */
static char *wait_address(struct fixture *f)
{
	char *a = NULL;

	for (int i = 0; i < 1000 && !a; i++) {
		g_usleep(10000);
		a = status_line(f, "control_peer_address");
	}
	g_assert_nonnull(a);
	return a;
}

static void on_claim(void *arg, const struct control_claim_reply *r)
{
	struct fixture *f = arg;

	f->n_replies++;
	f->claim = r->result;
}

/* Guards against an invalid file that replaces the configuration in force, a missed change of the
 * file, and a claim that is granted without a platform. */
static void test_file(void)
{
	struct fixture f;
	g_autoptr(GString) events = g_string_new(NULL);

	fixture_open(&f, "one", NULL, NULL, "[ranks]\nurgent=0.5\n");
	wait_flag(&f.ready);
	g_assert_nonnull(strstr(f.text, "0.5"));
	write_file(&f, "[ranks]\nurgent=7\n");
	control_reload(f.control);
	/* Time to read the invalid file before it is replaced. */
	g_usleep(100000);
	write_file(&f, "[ranks]\nurgent=0.25\n");
	wait_text(f.text, "0.25");
	write_file(&f, "[ranks]\nurgent=0.125\n");
	control_reload(f.control);
	wait_text(f.text, "0.125");
	control_claim(f.control, "acme", "key", 1, g_get_monotonic_time() + USEC_PER_SEC, on_claim,
		      &f);
	for (int i = 0; i < 500 && f.n_replies == 0; i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(10000);
	}
	g_assert_cmpuint(f.n_replies, ==, 1);
	g_assert_cmpint(f.claim, ==, CONTROL_CLAIM_UNAVAILABLE);
	evt_print(f.ring, 0, events);
	g_assert_nonnull(strstr(events->str, "ranks version"));
	fixture_close(&f);
}

/* Guards against an instance that does not start while the platform is down, that then applies no
 * change from its peers, or that still receives from a peer that is blocked. */
static void test_peers_without_platform(void)
{
	struct fixture a;
	struct fixture b;
	g_autofree char *seed = NULL;

	fixture_open(&a, "one", NULL, NULL, "[ranks]\nurgent=0.5\n");
	seed = wait_address(&a);
	/* The platform is unreachable: nothing listens on port 1. */
	fixture_open(&b, "two", "http://127.0.0.1:1", seed, NULL);
	g_assert_false(b.ready);
	wait_flag(&b.ready);
	wait_text(b.text, "0.5");
	g_assert_cmpuint(b.version, ==, a.version);
	write_file(&a, "[ranks]\nurgent=0.25\n");
	control_reload(a.control);
	wait_text(b.text, "0.25");
	control_block_peer(b.control, seed, true);
	/* Until the control task has blocked the peer, a change may still arrive. */
	wait_event(&b, "is lost");
	write_file(&a, "[ranks]\nurgent=0.125\n");
	control_reload(a.control);
	wait_text(a.text, "0.125");
	g_usleep(300000);
	while (g_main_context_iteration(NULL, FALSE))
		;
	g_assert_nonnull(strstr(b.text, "0.25"));
	control_block_peer(b.control, seed, false);
	wait_text(b.text, "0.125");
	fixture_close(&a);
	fixture_close(&b);
}

/* Guards against an operator's object that takes effect only after the next read of the platform,
 * and a stale object that replaces a newer one. */
static void test_apply_config(void)
{
	struct fixture f;

	fixture_open(&f, "one", NULL, NULL, "[ranks]\nurgent=0.5\n");
	wait_flag(&f.ready);
	control_apply_config(f.control, "ranks", f.version - 1, "urgent=0.1\n");
	control_apply_config(f.control, "ranks", f.version + 5, "urgent=0.75\n");
	wait_text(f.text, "0.75");
	fixture_close(&f);
}

static void ignore_send(void *arg, const char *address, const void *frame, size_t len)
{
}

static void ignore_unlink(void *arg, const char *address)
{
}

static void ignore_config(void *arg, const struct conf_object *o)
{
}

static void ignore_instance(void *arg, const struct gossip_instance *i)
{
}

static void ignore_upstream(void *arg, const struct gossip_upstream *u)
{
}

static void ignore_account(void *arg, const struct gossip_account *a)
{
}

static struct gossip *isolated_gossip(void)
{
	struct gossip_events e = {
		NULL,	   ignore_send,	    ignore_unlink, ignore_config, ignore_instance,
		on_listed, ignore_upstream, on_poison,	   ignore_account
	};
	struct gossip_params p = { .id = "one",
				   .failure_domain = "a",
				   .address = "x:1",
				   .key = "secret",
				   .incarnation = 1,
				   .bytes_per_second = 14000 };

	return gossip_new(&p, &e, 0, 0);
}

/* Guards against a lagging list that counts as complete or deletes an object newer than it. */
static void test_lagging_list(void)
{
	struct gossip *g = isolated_gossip();
	struct watch w;
	struct watch_object old = { "ranks", 3, "urgent=0.5\n" };
	const struct conf_store *s = gossip_store(g);

	watch_init(&w, 1, 0);
	g_assert_cmpint(watch_next(&w, true, false, 0), ==, WATCH_BARRIER);
	g_assert_cmpint(watch_next(&w, true, false, 0), ==, WATCH_NONE);
	watch_done(&w, WATCH_BARRIER, true, 9, 1);
	g_assert_cmpint(watch_next(&w, true, false, 1), ==, WATCH_LIST);
	gossip_apply_config(g, "account/new", 8, "key=k\n", 1);
	gossip_apply_config(g, "account/gone", 2, "key=l\n", 1);
	watch_apply(&w, g, WATCH_LIST, &old, 1, 5, 2);
	g_assert_false(gossip_configured(g));
	g_assert_false(conf_get(s, "account/new")->deleted);
	g_assert_true(conf_get(s, "account/gone")->deleted);
	watch_apply(&w, g, WATCH_POLL, NULL, 0, 9, 3);
	g_assert_true(gossip_configured(g));
	gossip_free(g);
}

/* Guards against an instance that never becomes ready, because it stops reading the configuration
 * when it is no longer a watcher. */
static void test_read_continues(void)
{
	struct watch w;

	watch_init(&w, 1, 0);
	g_assert_cmpint(watch_next(&w, true, false, 0), ==, WATCH_BARRIER);
	watch_done(&w, WATCH_BARRIER, true, 9, 1);
	g_assert_cmpint(watch_next(&w, false, false, 1), ==, WATCH_LIST);
	watch_done(&w, WATCH_LIST, true, 9, 2);
	g_assert_cmpint(watch_next(&w, false, true, 2), ==, WATCH_NONE);
}

/* Guards against calls without backoff while the platform fails. */
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
	g_test_add_func("/control/offer", test_apply_config);
	g_test_add_func("/control/lagging-list", test_lagging_list);
	g_test_add_func("/control/read-goes-on", test_read_continues);
	g_test_add_func("/control/backoff", test_backoff);
	return g_test_run();
}
