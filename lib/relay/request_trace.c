/* Log lines of a request. */
#include "relay/request_priv.h"
#include "trace/trace.h"

static int to_ms(int64_t us)
{
	return (int)CLAMP(us / USEC_PER_MSEC, -1, G_MAXINT);
}

static const char *version_text(const struct call *c, char *buf, size_t size)
{
	g_snprintf(buf, size, "%" G_GUINT64_FORMAT, c->config->version);
	return buf;
}

/* Version of the software of the upstream that was chosen last. */
static const char *build_text(const struct request *q, char *buf, size_t size)
{
	tab_handle h = q->n_tried ? q->tried[q->n_tried - 1] : 0;

	return trace_sanitize(buf, size, fleet_build(q->relay->fleet, h));
}

static void count_end(const struct request *q, const char *outcome)
{
	char name[128];

	g_snprintf(name, sizeof(name), "requests_ended_total{kind=\"%s\",outcome=\"%s\"}",
		   cat_kind_name(q->call->route->kind), outcome);
	ctr_add(ctr_get(name), 1);
}

void request_trace_end(const struct request *q, const char *outcome)
{
	const struct call *c = q->call;
	int64_t now = g_get_monotonic_time();
	bool first_attempt_ok = q->status / 100 == 2 && q->n_sends == 1;
	char id[96];
	char route[64];
	char account[64];
	char upstream[96];
	char version[24];

	count_end(q, outcome);
	hist_add(q->relay->counters.total[c->route->kind], now - c->arrived);
	if (q->first_output_at)
		hist_add(q->relay->counters.first_output[c->route->kind],
			 q->first_output_at - c->arrived);
	if (first_attempt_ok && g_str_equal(outcome, "whole") && !trace_is_sampled(c->id))
		return;
	trace(ENDED, trace_sanitize(id, sizeof(id), c->id),
	      trace_sanitize(route, sizeof(route), c->route->name),
	      trace_sanitize(account, sizeof(account), c->account ? c->account->name : NULL),
	      cat_kind_name(c->route->kind), q->status, outcome,
	      trace_sanitize(upstream, sizeof(upstream), q->upstream), q->n_sends,
	      to_ms(now - c->arrived),
	      q->first_output_at ? to_ms(q->first_output_at - c->arrived) : -1,
	      to_ms(q->longest_gap), q->events.n_forwarded,
	      version_text(c, version, sizeof(version)));
}

void request_trace_refused(const struct request *q, enum refusal reason, int64_t retry_after)
{
	const struct call *c = q->call;
	char id[96];
	char route[64];
	char account[64];
	char version[24];

	if (q->verdict == VERDICT_NOT_RUN)
		trace(REFUSED, trace_sanitize(id, sizeof(id), c->id),
		      trace_sanitize(route, sizeof(route), c->route->name),
		      trace_sanitize(account, sizeof(account),
				     c->account ? c->account->name : NULL),
		      q->status, err_refusal_code(reason), to_ms(retry_after),
		      version_text(c, version, sizeof(version)),
		      to_ms(g_get_monotonic_time() - c->arrived));
	request_trace_end(q, err_refusal_code(reason));
}

void request_trace_placed(const struct request *q, const struct fleet_pick *p, int64_t now)
{
	const struct call *c = q->call;
	char id[96];
	char upstream[96];
	char source[96];
	char version[24];
	char build[64];

	if (q->n_attempts <= 1 && !trace_is_sampled(c->id))
		return;
	trace(PLACED, trace_sanitize(id, sizeof(id), c->id), q->n_attempts,
	      trace_sanitize(upstream, sizeof(upstream), q->upstream),
	      locality_reason_name(p->choice.reason), p->candidates, (int)p->running,
	      p->load_age == INT64_MAX ? -1 : to_ms(p->load_age), (int)p->choice.missing,
	      trace_sanitize(source, sizeof(source), fleet_id(q->relay->fleet, p->source)),
	      to_ms(q->deadline - now), version_text(c, version, sizeof(version)),
	      build_text(q, build, sizeof(build)));
}

void request_trace_resumed(const struct request *q, const char *after)
{
	char id[96];
	char upstream[96];
	char build[64];

	trace(RESUMED, trace_sanitize(id, sizeof(id), q->call->id), q->n_attempts,
	      trace_sanitize(upstream, sizeof(upstream), q->upstream), after,
	      build_text(q, build, sizeof(build)));
}

void request_trace_taken_up(const struct request *q)
{
	const struct call *c = q->call;
	char id[96];
	char resumes[96];
	char after[64];
	char upstream[96];
	char build[64];

	trace(TAKEN_UP, trace_sanitize(id, sizeof(id), c->id),
	      trace_sanitize(resumes, sizeof(resumes), c->resumes),
	      trace_sanitize(after, sizeof(after), c->resume_after),
	      trace_sanitize(upstream, sizeof(upstream), q->upstream),
	      build_text(q, build, sizeof(build)));
}

void request_trace_failed(const struct request *q, enum verdict v, enum attempt_cause cause,
			  int status, const char *next, int64_t now)
{
	char id[96];
	char upstream[96];

	trace(ATTEMPT, trace_sanitize(id, sizeof(id), q->call->id), q->n_attempts,
	      trace_sanitize(upstream, sizeof(upstream), q->upstream), err_verdict_name(v),
	      attempt_cause_name(cause), status, q->attempt && attempt_conn_was_reused(q->attempt),
	      to_ms(now - q->call->arrived), next, q->denied);
}

void request_trace_caller_gone(const struct request *q, int64_t now)
{
	char id[96];
	char upstream[96];

	trace(CALLER_GONE, trace_sanitize(id, sizeof(id), q->call->id),
	      q->head_sent ? "streaming" : "waiting",
	      trace_sanitize(upstream, sizeof(upstream), q->upstream),
	      to_ms(now - q->call->arrived));
}
