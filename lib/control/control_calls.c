/* Claims: passes calls of the front task to the control task, and the replies back. */
#include "control/control_priv.h"

/** struct claim_msg - arguments of a call, then its reply; owned by the task that has it */
struct claim_msg {
	struct control *control;
	struct control_gate *gate;
	char *account;
	char *key;
	uint64_t fingerprint;
	int64_t deadline;
	uint64_t claim;
	enum verdict verdict;
	int status;
	char *content_type;
	GBytes *body;
	control_claim_fn fn; /* may be NULL */
	void *arg;
	struct control_claim_reply reply; /* owns content_type and body */
};

static void msg_free(struct claim_msg *msg)
{
	g_free(msg->account);
	g_free(msg->key);
	g_free(msg->content_type);
	g_free(msg->reply.content_type);
	g_clear_pointer(&msg->body, g_bytes_unref);
	g_clear_pointer(&msg->reply.body, g_bytes_unref);
	control_gate_unref(msg->gate);
	g_free(msg);
}

static void deliver(void *state, void *p)
{
	struct claim_msg *msg = p;

	if (msg->fn && msg->gate->open)
		msg->fn(msg->arg, &msg->reply);
	msg_free(msg);
}

/* Runs in the control task. */
static void on_reply(void *arg, const struct control_claim_reply *r)
{
	struct claim_msg *msg = arg;

	msg->reply = *r;
	msg->reply.content_type = g_strdup(r->content_type);
	msg->reply.body = r->body ? g_bytes_ref(r->body) : NULL;
	task_post(msg->control->front, deliver, msg);
}

static void make_claim(void *state, void *p)
{
	struct claim_msg *msg = p;

	control_claims_make(msg->control->claims, msg->account, msg->key, msg->fingerprint,
			    msg->deadline, on_reply, msg);
}

void control_claim(struct control *c, const char *account, const char *key, uint64_t fingerprint,
		   int64_t deadline, control_claim_fn fn, void *arg)
{
	struct claim_msg *msg = g_new0(struct claim_msg, 1);

	msg->control = c;
	msg->gate = g_atomic_rc_box_acquire(c->gate);
	msg->account = g_strdup(account);
	msg->key = g_strdup(key);
	msg->fingerprint = fingerprint;
	msg->deadline = deadline;
	msg->fn = fn;
	msg->arg = arg;
	task_post(c->task, make_claim, msg);
}

static void report_outcome(void *state, void *p)
{
	struct claim_msg *msg = p;

	control_claims_report_outcome(msg->control->claims, msg->claim, msg->verdict, msg->status,
				      msg->content_type, msg->body, on_reply, msg);
}

void control_report_outcome(struct control *c, uint64_t claim, enum verdict v, int status,
			    const char *content_type, GBytes *body, control_claim_fn fn, void *arg)
{
	struct claim_msg *msg = g_new0(struct claim_msg, 1);

	msg->control = c;
	msg->gate = g_atomic_rc_box_acquire(c->gate);
	msg->claim = claim;
	msg->verdict = v;
	msg->status = status;
	msg->content_type = g_strdup(content_type);
	msg->body = body ? g_bytes_ref(body) : NULL;
	msg->fn = fn;
	msg->arg = arg;
	task_post(c->task, report_outcome, msg);
}
