/*
 * Daemon of an instance: loads its settings and runs the router until SIGTERM or SIGINT starts a
 * graceful shutdown. SIGHUP reloads the configuration file, if the settings have no platform.
 */
#include <gio/gio.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>

#include "base/base.h"
#include "conf/conf.h"
#include "front/front.h"

#define OPEN_RETRY   (100 * USEC_PER_MSEC)
#define OPEN_TIMEOUT (60 * USEC_PER_SEC)

struct daemon {
	struct front *front;
	GMainLoop *loop;
};

static void on_shutdown_complete(void *arg)
{
	g_main_loop_quit(arg);
}

static gboolean on_shutdown_signal(gpointer arg)
{
	struct daemon *d = arg;

	log_info("daemon", "starting graceful shutdown");
	front_shutdown(d->front, on_shutdown_complete, d->loop);
	return G_SOURCE_CONTINUE;
}

static gboolean on_reload_signal(gpointer arg)
{
	struct daemon *d = arg;

	log_info("daemon", "configuration is read again");
	front_reload(d->front);
	return G_SOURCE_CONTINUE;
}

static int check_settings(const struct conf_settings *s)
{
	struct conf_store *store = conf_store_new();
	struct conf_error err = { 0 };
	int rc = s->config_file ? conf_load_file(store, s->config_file, 1, &err) : 0;

	if (rc == 0 && s->config_file)
		rc = conf_check_all(store, &err);
	conf_store_free(store);
	if (rc < 0)
		fprintf(stderr, "turmerichinged: %s: %s: %s\n", s->config_file, err.where,
			err.message);
	return rc < 0 ? 1 : 0;
}

/*
 * Opens the front. An address that is in use, or isn't the machine's yet, is tried again. Returns NULL
 * with @rc 0 if the process is told to stop meanwhile.
 */
static struct front *open_front(const struct conf_settings *s, int *rc, struct conf_error *err)
{
	int64_t end = g_get_monotonic_time() + OPEN_TIMEOUT;
	struct front *f = front_new(s, rc, err);

	while (!f && (*rc == -EADDRINUSE || *rc == -EADDRNOTAVAIL) &&
	       g_get_monotonic_time() < end) {
		if (signals_is_stop_pending()) {
			*rc = 0;
			return NULL;
		}
		g_usleep(OPEN_RETRY);
		f = front_new(s, rc, err);
	}
	return f;
}

static int run(const struct conf_settings *s)
{
	struct conf_error err = { 0 };
	struct daemon d = { 0 };
	int rc;

	log_set_name(s->instance);
	log_set_level(s->log_level);
	log_library_messages();
	d.front = open_front(s, &rc, &err);
	if (!d.front && rc == 0)
		return 0;
	if (!d.front) {
		fprintf(stderr, "turmerichinged: %s: %s\n", err.where, err.message);
		return 1;
	}
	d.loop = g_main_loop_new(NULL, FALSE);
	g_unix_signal_add(SIGTERM, on_shutdown_signal, &d);
	g_unix_signal_add(SIGINT, on_shutdown_signal, &d);
	g_unix_signal_add(SIGHUP, on_reload_signal, &d);
	signals_release();
	log_info("daemon", "instance %s in failure domain %s listens on %s", s->instance,
		 s->failure_domain, s->caller_listen);
	g_main_loop_run(d.loop);
	front_free(d.front);
	g_main_loop_unref(d.loop);
	log_info("daemon", "instance %s exits", s->instance);
	return 0;
}

int main(int argc, char **argv)
{
	g_autoptr(GOptionContext) context = g_option_context_new("SETTINGS - router instance");
	g_autoptr(GError) error = NULL;
	gboolean show_version = FALSE;
	gboolean check_only = FALSE;
	struct conf_settings *s;
	struct conf_error err = { 0 };
	int rc;
	GOptionEntry entries[] = {
		{ "version", 0, 0, G_OPTION_ARG_NONE, &show_version, "Print the version", NULL },
		{ "check", 0, 0, G_OPTION_ARG_NONE, &check_only, "Check the settings and exit",
		  NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};

	signals_hold();
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "turmerichinged: %s\n", error->message);
		return 2;
	}
	if (show_version) {
		printf("turmerichinged %s\n", TH_VERSION);
		return 0;
	}
	if (argc != 2) {
		fprintf(stderr, "turmerichinged: one settings file is expected, see --help\n");
		return 2;
	}
	s = conf_settings_load(argv[1], &err);
	if (!s) {
		fprintf(stderr, "turmerichinged: %s: %s\n", err.where, err.message);
		return 1;
	}
	rc = check_only ? check_settings(s) : run(s);
	conf_settings_free(s);
	return rc;
}
