/* The software version that began a stream; see origins.h. */
#include "relay/request_priv.h"

#define RETRY_AFTER (300 * USEC_PER_MSEC)

void request_begin_stream(struct request *q, int64_t now)
{
	const struct call *c = q->call;
	const char *id = c->resume_after && c->resumes ? c->resumes : c->id;

	if (q->stream_begun)
		return;
	q->stream_begun = true;
	if (!q->build)
		q->build = q->attempt_build;
	if (*id)
		origins_begin(fleet_origins(q->relay->fleet), c->service, hash_str(id), q->build,
			      now);
}

void request_end_stream(struct request *q)
{
	const struct call *c = q->call;
	const char *id = c->resume_after && c->resumes ? c->resumes : c->id;

	origins_end(fleet_origins(q->relay->fleet), hash_str(id));
}

bool request_find_origin(struct request *q, int64_t now, struct request_refusal *refusal)
{
	const struct call *c = q->call;
	const struct origins *o = fleet_origins(q->relay->fleet);

	if (!c->resume_after || !call_is_repeatable(c) || c->route->kind != CAT_STREAM)
		return true;
	q->build = c->resumes ? origins_find(o, c->service, hash_str(c->resumes), now)
			      : origins_only_build(o, c->service, now);
	if (!q->build)
		*refusal = (struct request_refusal){ REFUSAL_STREAM_UNKNOWN, RETRY_AFTER };
	else if (!fleet_has_build(q->relay->fleet, c->service, q->build))
		*refusal = (struct request_refusal){ REFUSAL_VERSION_GONE, RETRY_AFTER };
	return refusal->reason == REFUSAL_NONE;
}
