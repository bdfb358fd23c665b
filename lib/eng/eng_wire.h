/* Names and formats of the upstream protocol; private to eng, front's stand-ins excepted. */
#ifndef ENG_ENG_WIRE_H
#define ENG_ENG_WIRE_H

#include "eng/eng.h"

#define ENG_HEADER_LOAD	       "X-Load" /* load report, see eng_parse_load() */
#define ENG_HEADER_PRIORITY    "X-Priority" /* 0 is the most urgent */
#define ENG_HEADER_RESUME      "X-Resume-Events" /* events of the stream to leave out */
#define ENG_HEADER_REQUEST_ID  "X-Request-Id"
#define ENG_HEADER_IDEMPOTENCY "Idempotency-Key"
#define ENG_HEADER_VERDICT     "X-Verdict" /* "not-run" on a refusal by the upstream */
#define ENG_PATH_LOAD	       "/load"
#define ENG_STREAM_TYPE	       "text/event-stream"
#define ENG_STREAM_END	       "data: [DONE]\n\n"

#endif
