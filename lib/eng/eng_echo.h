/* What a server of the engine protocol owes each answer; used by the stand-ins. */
#ifndef ENG_ENG_ECHO_H
#define ENG_ENG_ECHO_H

#include <libsoup/soup.h>

/**
 * eng_echo_request_id() - names in the answer the request that it belongs to
 *
 * Without it the client opens a new connection for each request: on a kept one it could not tell a
 * second copy of an earlier answer.
 */
void eng_echo_request_id(SoupServer *server);

#endif
