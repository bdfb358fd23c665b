#include "control/control.h"

#include <string.h>

struct control {
	const struct conf_settings *settings; /* borrowed */
	struct evt_ring *ring; /* borrowed */
	struct task *front; /* borrowed */
	struct control_events events;
	uint64_t file_version; /* version given to the objects of the file last read */
};

struct config_msg {
	struct control *control;
	char *key;
	uint64_t version;
	char *text;
};

static void deliver_config(void *state, void *p)
{
	struct config_msg *m = p;

	m->control->events.config(m->control->events.arg, m->key, m->version, m->text);
	g_free(m->key);
	g_free(m->text);
	g_free(m);
}

static void post_object(void *arg, const struct conf_object *o)
{
	struct control *c = arg;
	struct config_msg *m = g_new0(struct config_msg, 1);

	m->control = c;
	m->key = g_strdup(o->key);
	m->version = o->version;
	m->text = g_strdup(o->text);
	task_post(c->front, deliver_config, m);
}

static void deliver_ready(void *state, void *p)
{
	struct control *c = p;

	c->events.ready(c->events.arg, true);
}

void control_reload(struct control *c)
{
	struct conf_store *s = conf_store_new();
	struct conf_error err = { 0 };
	uint64_t version = c->file_version + 1;

	if (conf_load_file(s, c->settings->config_file, version, &err) < 0) {
		log_error("control", "configuration is refused: %s: %s", err.where, err.expected);
	} else {
		c->file_version = version;
		conf_each(s, post_object, c);
		task_post(c->front, deliver_ready, c);
	}
	conf_store_free(s);
}

struct control *control_new(const struct conf_settings *s, struct evt_ring *ring,
			    struct task *front, const struct control_events *events)
{
	struct control *c = g_new0(struct control, 1);

	c->settings = s;
	c->ring = ring;
	c->front = front;
	c->events = *events;
	if (s->config_file)
		control_reload(c);
	return c;
}

void control_free(struct control *c)
{
	g_free(c);
}

void control_saw_upstream(struct control *c, const struct control_upstream *u)
{
}

void control_saw_poison(struct control *c, const struct poison_mark *m)
{
}

void control_used(struct control *c, uint64_t account, double tokens)
{
}

struct claim_msg {
	control_claim_fn fn;
	void *arg;
};

static void deliver_unavailable(void *state, void *p)
{
	struct claim_msg *m = p;
	struct control_claim_reply reply = { .result = CONTROL_CLAIM_UNAVAILABLE };

	m->fn(m->arg, &reply);
	g_free(m);
}

void control_claim(struct control *c, const char *account, const char *key, uint64_t fingerprint,
		   int64_t deadline, control_claim_fn fn, void *arg)
{
	struct claim_msg *m = g_new(struct claim_msg, 1);

	m->fn = fn;
	m->arg = arg;
	task_post(c->front, deliver_unavailable, m);
}

void control_outcome(struct control *c, uint64_t claim, enum verdict v, int status,
		     const char *content_type, GBytes *body, control_claim_fn fn, void *arg)
{
}

uint32_t control_probe_position(struct control *c, uint64_t upstream)
{
	return 0;
}

void control_status(struct control *c, GString *out)
{
}
