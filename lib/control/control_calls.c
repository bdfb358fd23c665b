/* Claims: calls from the front task and their answers back to it. */
#include "control/control_priv.h"

/** struct claim_call - a call on its way to the control task and back; owned by whoever has it */
struct claim_call {
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
	control_claim_fn fn;
	void *arg;
	struct control_claim_reply reply; /* strings owned */
};

static void call_free(struct claim_call *call)
{
	g_free(call->account);
	g_free(call->key);
	g_free(call->content_type);
	g_free(call->reply.content_type);
	g_clear_pointer(&call->body, g_bytes_unref);
	g_clear_pointer(&call->reply.body, g_bytes_unref);
	control_gate_unref(call->gate);
	g_free(call);
}

static void deliver(void *state, void *p)
{
	struct claim_call *call = p;

	if (call->fn && call->gate->open)
		call->fn(call->arg, &call->reply);
	call_free(call);
}

/* In the control task. */
static void on_reply(void *arg, const struct control_claim_reply *r)
{
	struct claim_call *call = arg;

	call->reply = *r;
	call->reply.content_type = g_strdup(r->content_type);
	call->reply.body = r->body ? g_bytes_ref(r->body) : NULL;
	task_post(call->control->front, deliver, call);
}

static void make(void *state, void *p)
{
	struct claim_call *call = p;

	control_claims_make(call->control->claims, call->account, call->key, call->fingerprint,
			    call->deadline, on_reply, call);
}

void control_claim(struct control *c, const char *account, const char *key, uint64_t fingerprint,
		   int64_t deadline, control_claim_fn fn, void *arg)
{
	struct claim_call *call = g_new0(struct claim_call, 1);

	call->control = c;
	call->gate = g_atomic_rc_box_acquire(c->gate);
	call->account = g_strdup(account);
	call->key = g_strdup(key);
	call->fingerprint = fingerprint;
	call->deadline = deadline;
	call->fn = fn;
	call->arg = arg;
	task_post(c->task, make, call);
}

static void outcome(void *state, void *p)
{
	struct claim_call *call = p;

	control_claims_report_outcome(call->control->claims, call->claim, call->verdict,
				      call->status, call->content_type, call->body, on_reply, call);
}

void control_report_outcome(struct control *c, uint64_t claim, enum verdict v, int status,
			    const char *content_type, GBytes *body, control_claim_fn fn, void *arg)
{
	struct claim_call *call = g_new0(struct claim_call, 1);

	call->control = c;
	call->gate = g_atomic_rc_box_acquire(c->gate);
	call->claim = claim;
	call->verdict = v;
	call->status = status;
	call->content_type = g_strdup(content_type);
	call->body = body ? g_bytes_ref(body) : NULL;
	call->fn = fn;
	call->arg = arg;
	task_post(c->task, outcome, call);
}
