/* File mode: reads the configuration from one INI file at the start, on a change and on reload. */
#include <string.h>

#include "control/control_priv.h"

struct file_read {
	struct control *control;
	struct conf_store *store; /* the objects of the file */
};

static void apply_object(void *arg, const struct conf_object *o)
{
	struct file_read *r = arg;
	const struct conf_object *old = conf_get(gossip_store(r->control->gossip), o->key);

	/* An unchanged object keeps its version, so that the event ring records only changes. */
	if (old && g_strcmp0(old->text, o->text) == 0)
		return;
	gossip_apply_config(r->control->gossip, o->key, o->version, o->text,
			    g_get_monotonic_time());
}

/* Adds a deletion to r->store for each object that the file no longer has. */
static void delete_missing(void *arg, const struct conf_object *o)
{
	struct file_read *r = arg;

	if (!o->deleted && !conf_get(r->store, o->key))
		conf_apply(r->store, o->key, r->control->file_version, NULL, NULL);
}

void control_file_read(struct control *c)
{
	struct file_read r = { c, conf_store_new() };
	struct conf_error err = { 0 };
	/* Wall time, so that after a restart the objects are newer than the peers' copies. */
	uint64_t version = MAX((uint64_t)g_get_real_time(), c->file_version + 1);

	if (conf_load_file(r.store, c->settings->config_file, version, &err) < 0) {
		log_error("control", "configuration is refused: %s: %s", err.where, err.message);
		control_record_event(c, EVT_CONFIG, NULL, "the configuration file is refused");
	} else {
		c->file_version = version;
		conf_each(gossip_store(c->gossip), delete_missing, &r);
		conf_each(r.store, apply_object, &r);
		gossip_config_complete(c->gossip);
		control_notify_ready(c);
	}
	conf_store_free(r.store);
}

static void on_changed(GFileMonitor *monitor, GFile *file, GFile *other, GFileMonitorEvent event,
		       gpointer arg)
{
	/* Editors rename a new file to this name, or write it in place and close it. */
	if (event == G_FILE_MONITOR_EVENT_CHANGES_DONE_HINT ||
	    event == G_FILE_MONITOR_EVENT_RENAMED || event == G_FILE_MONITOR_EVENT_CREATED)
		control_file_read(arg);
}

void control_file_watch(struct control *c)
{
	g_autoptr(GFile) file = g_file_new_for_path(c->settings->config_file);

	c->monitor = g_file_monitor_file(file, G_FILE_MONITOR_WATCH_MOVES, NULL, NULL);
	if (c->monitor)
		g_signal_connect(c->monitor, "changed", G_CALLBACK(on_changed), c);
}
