/**
 * DOC: control_claim
 *
 * Runs lib/claim with the platform as its store. All calls and callbacks are in the main context
 * that was the thread default at control_claims_new(), that of the control task.
 */
#ifndef CONTROL_CONTROL_CLAIM_H
#define CONTROL_CONTROL_CLAIM_H

#include <glib.h>

#include "control/control.h"
#include "plat/plat.h"

struct control_claims;

/**
 * control_claims_new() - claims that are stored in @plat
 * @plat: borrowed; NULL (file mode) refuses all claims. Must be freed before the claims.
 * @nonce: differs between instances and between starts of the process
 */
struct control_claims *control_claims_new(struct plat *plat, uint64_t nonce);

/** control_claims_free() - drops all state; pending callbacks are not run */
void control_claims_free(struct control_claims *c);

/** control_claims_make() - see control_claim() */
void control_claims_make(struct control_claims *c, const char *account, const char *key,
			 uint64_t fingerprint, int64_t deadline, control_claim_fn fn, void *arg);

/**
 * control_claims_report_outcome() - see control_report_outcome()
 * @fn: may be NULL; the result is CONTROL_CLAIM_DONE if the outcome is stored, the key is released
 *      or @v is VERDICT_MAY_HAVE_RUN; CONTROL_CLAIM_OPEN if that failed or takes longer than 5 s:
 *      retries may find the claim open
 */
void control_claims_report_outcome(struct control_claims *c, uint64_t claim, enum verdict v,
				   int status, const char *content_type, GBytes *body,
				   control_claim_fn fn, void *arg);

/** control_claims_may_send() - whether a granted call may be sent now, see claim_may_send() */
bool control_claims_may_send(const struct control_claims *c, uint64_t claim);

/** control_claims_status() - appends "name value" lines for the operators' status page */
void control_claims_status(const struct control_claims *c, GString *out);

#endif
