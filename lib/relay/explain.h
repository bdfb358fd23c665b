/**
 * DOC: explain
 *
 * Where the relay would send a request now and why, without sending it. The request is decoded and
 * placed by the code that serves requests; no counter, budget, load or random stream changes.
 */
#ifndef RELAY_EXPLAIN_H
#define RELAY_EXPLAIN_H

#include "relay/fleet_explain.h"
#include "relay/relay.h"

/** struct explanation - what would happen to a request that arrived now */
struct explanation {
	uint64_t config_version; /* 0: no configuration yet */
	bool ready; /* see relay_is_ready() */
	enum refusal refusal; /* REFUSAL_NONE: it would be sent */
	int64_t retry_after; /* microseconds, if refused; 0: none */
	struct call *call; /* owned; NULL: the request could not be decoded */
	struct fleet_explanation fleet; /* valid if call is not NULL */
};

/** relay_explain() - explains the request with head @h and without a body */
void relay_explain(struct relay *r, const struct http_head *h, struct explanation *out);
void explanation_clear(struct explanation *e);

/** explanation_print() - appends @e as a JSON object, without API keys */
void explanation_print(const struct explanation *e, GString *out);

#endif
