/* Request ids in the responses of a server; used by the stand-ins of engines and services. */
#ifndef ENG_ENG_ECHO_H
#define ENG_ENG_ECHO_H

#include <libsoup/soup.h>

/**
 * eng_echo_request_id() - copies the request id of each request to its response
 *
 * Without it the client opens a new connection for each request: on a reused one it couldn't detect
 * a second copy of an earlier response.
 */
void eng_echo_request_id(SoupServer *server);

#endif
