/**
 * DOC: call
 *
 * A caller's request in a form independent of the protocol, and the two vtables (edges) that
 * translate between it and a protocol: one for callers, one for upstreams. The callers' edge also
 * looks up route, account and service. Edges neither choose an upstream nor decide on retries.
 */
#ifndef RELAY_CALL_H
#define RELAY_CALL_H

#include <glib.h>

#include "base/base.h"
#include "catalog/catalog.h"
#include "http/http.h"
#include "locality/locality.h"

/** struct call - one request of a caller; immutable after its body was read */
struct call {
	struct cat_config *config; /* owned reference, in force when the request was accepted */
	const struct cat_route *route; /* borrowed from config */
	const struct cat_account *account; /* borrowed from config, NULL: public route */
	const char *service; /* borrowed from route */
	char *id; /* request id from the caller, "" if it sent none */
	char *resume_after; /* id of the last event that the caller received, NULL: none */
	char *resumes; /* id of the request that brought its first event, NULL: not stated */
	char *method;
	char *target;
	struct http_head *head; /* owned, as received from the caller */
	GByteArray *body; /* owned */
	int rank; /* 0: most urgent */
	int64_t arrived; /* time at which the head was complete, microseconds */
	int64_t deadline; /* time at which the caller stops waiting; INT64_MAX: none given */
	struct locality_part
		parts[LOCALITY_MAX_PARTS]; /* first prefix parts of the prompt, in order */
	uint32_t n_parts;
	uint32_t output_hint; /* output tokens that the caller expects; 0: not stated */
	uint32_t max_output; /* output tokens at most; 0: not stated */
	GArray *part_ids; /* owned, uint64_t: ids of all parts of the prompt, in order */
};

struct call *call_new(struct cat_config *config);
void call_free(struct call *c);

/** call_is_repeatable() - whether it is safe to run it more than once */
bool call_is_repeatable(const struct call *c);

/** call_locality() - fills in the placement request for @c; borrows from @c */
void call_locality(const struct call *c, struct locality_request *out);

/** struct edge_attempt - parameters of one attempt at an upstream */
struct edge_attempt {
	const char *upstream; /* id of the upstream that has to run the request */
	int64_t left; /* microseconds until the deadline; INT64_MAX: no deadline */
	/* Id of the last event that the caller received, NULL: start of the stream. */
	const char *resume_after;
	const char *transfer_source_addr; /* IP:PORT to fetch prefix parts from, or NULL */
};

/** struct edge_response - head of an upstream's response */
struct edge_response {
	int status;
	bool not_run; /* the upstream states that the request did not run and will not run */
	bool wrong_instance; /* another upstream now uses the address */
	bool implies_not_run; /* callers read the status as not_run, whatever the headers say */
	bool leaving; /* the upstream is leaving and wants no further requests */
	int64_t hold_off; /* microseconds in which it wants no requests; 0: none */
	const char *request_id; /* id of the request it responds to, NULL: none; borrowed */
	bool sealed; /* has the seal, a header that an upstream sets on each complete response */
	bool encoded; /* a content coding was applied to the application's body */
	bool events; /* the body is a stream of server-sent events */
	int32_t running; /* requests that the upstream runs, -1: no load reported */
	int32_t waiting; /* requests queued there */
	int32_t work_time_percent; /* processing time in % of the baseline; 0: not reported */
	int64_t cold_left; /* microseconds for which the upstream stays cold; -1: not reported */
	int64_t idle_timeout; /* microseconds, keep-alive time of the upstream; 0: not reported */
};

/** struct edge_caller - protocol of callers */
struct edge_caller {
	/*
	 * Fills in @out from @h, using out->config. Returns REFUSAL_NONE or the reason for refusing
	 * the request; then only the id of @out is valid.
	 */
	enum refusal (*decode)(const struct edge_caller *e, const struct http_head *h,
			       struct call *out);
	/* Whether header @name of an upstream's response is forwarded to the caller. */
	bool (*passes)(const struct edge_caller *e, const char *name);
};

/** struct edge_upstream - protocol of upstreams */
struct edge_upstream {
	/* Appends the head of the request, including the final empty line. */
	void (*encode)(const struct edge_upstream *e, const struct call *c,
		       const struct edge_attempt *s, GString *out);
	void (*decode)(const struct edge_upstream *e, const struct http_head *h,
		       struct edge_response *out);
};

#endif
