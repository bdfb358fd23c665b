/* Names and formats of the upstream protocol; private to eng and the stand-ins. */
#ifndef ENG_ENG_WIRE_H
#define ENG_ENG_WIRE_H

#include "eng/eng.h"

#define ENG_HEADER_LOAD	       "X-Load" /* load report, see eng_parse_load() */
#define ENG_HEADER_PRIORITY    "X-Priority" /* 0 is the most urgent */
#define ENG_HEADER_RESUME      "X-Resume-Events" /* events at the start of the stream to skip */
#define ENG_HEADER_REQUEST_ID  "X-Request-Id"
#define ENG_HEADER_IDEMPOTENCY "Idempotency-Key"
#define ENG_HEADER_VERDICT     "X-Verdict" /* "not-run" on a refusal by the upstream */
#define ENG_PATH_LOAD	       "/load"
#define ENG_PATH_ORDERS	       "/orders"
#define ENG_PATH_STATE	       "/state"
#define ENG_CODE_STALE_FENCE   "stale_fence" /* error.code of a refused order */
#define ENG_CODE_STALE_STATE   "stale_state"
#define ENG_STREAM_TYPE	       "text/event-stream"
#define ENG_STREAM_END	       "data: [DONE]\n\n"

/* JSON body of an order, owned by the caller. */
char *eng_wire_format_order(const char *id, const struct order *o, uint64_t fence);

/* Result of an order, from its response; @fence: 0 if the response has no fencing number. */
enum order_result eng_wire_order_result(unsigned int status, const char *body, size_t len,
					uint64_t *fence);

/* Parses the JSON of a state report; 0 or -EINVAL. */
int eng_wire_parse_state(const char *body, size_t len, struct order_engine *e, uint64_t *fence);

#endif
