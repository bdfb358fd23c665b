/**
 * DOC: call
 *
 * A request as the request path knows it, free of any protocol, and the two vtables through which a
 * protocol reads and writes it: one towards callers, one towards upstreams. An edge translates and
 * decides nothing.
 */
#ifndef RELAY_CALL_H
#define RELAY_CALL_H

#include <glib.h>

#include "base/base.h"
#include "catalog/catalog.h"
#include "http/http.h"
#include "locality/locality.h"

/** struct call - one request of a caller; immutable once its body is read */
struct call {
	struct cat_config *config; /* owned reference, the version it was accepted under */
	const struct cat_route *route; /* of config */
	const struct cat_account *account; /* of config, NULL: public route */
	const char *service; /* of route */
	char *id; /* the caller's request id, "" if it sent none */
	char *resume_after; /* event that the caller has, NULL: none */
	char *method;
	char *target;
	struct http_head *head; /* owned, as the caller sent it */
	GByteArray *body; /* owned */
	int rank; /* 0: most urgent */
	int64_t arrived; /* time of the head's last byte, microseconds */
	int64_t deadline; /* time at which nobody waits any more; INT64_MAX: none given */
	struct locality_part parts[LOCALITY_MAX_PARTS]; /* of the prompt, in order */
	uint32_t n_parts;
};

struct call *call_new(struct cat_config *config);
void call_free(struct call *c);

/** call_is_repeatable() - whether it may run more than once */
bool call_is_repeatable(const struct call *c);

/** call_locality() - what placement needs of it; borrows from @c */
void call_locality(const struct call *c, struct locality_request *out);

/** struct edge_send - one attempt at an upstream */
struct edge_send {
	const char *upstream; /* id of the instance that has to run it */
	int64_t left; /* microseconds until nobody waits for the answer; INT64_MAX: unknown */
	const char *resume_after; /* the last event that the caller has, NULL: from the start */
	const char
		*fetch_from; /* address of an upstream to copy parts of the prompt from, or NULL */
};

/** struct edge_answer - head of an upstream's answer */
struct edge_answer {
	int status;
	bool not_run; /* the upstream says that the request did not run and will not */
	bool wrong_instance; /* another instance has the address */
	const char *request_id; /* that the answer belongs to, NULL: not told; borrowed */
	bool sealed; /* carries the mark that every whole answer of an upstream has */
	bool encoded; /* the body is not what the upstream's application made */
	bool events; /* the body is a stream of events */
	int32_t running; /* load at the upstream, -1: not told */
	int32_t waiting;
	int32_t work_percent; /* time that work takes there now, 100: as usual; 0: not told */
	int64_t idle_timeout; /* microseconds that the upstream keeps the connection; 0: not told */
};

/** struct edge_caller - how callers speak */
struct edge_caller {
	/*
	 * Fills @out from @h under out->config. Returns REFUSAL_NONE, or why the request can't be
	 * taken; then only the id of @out is valid.
	 */
	enum refusal (*decode)(const struct edge_caller *e, const struct http_head *h,
			       struct call *out);
	/* Whether header @name of an upstream's answer goes to the caller. */
	bool (*passes)(const struct edge_caller *e, const char *name);
};

/** struct edge_upstream - how upstreams speak */
struct edge_upstream {
	/* Appends the head of the request, up to and with the empty line. */
	void (*encode)(const struct edge_upstream *e, const struct call *c,
		       const struct edge_send *s, GString *out);
	void (*decode)(const struct edge_upstream *e, const struct http_head *h,
		       struct edge_answer *out);
};

#endif
