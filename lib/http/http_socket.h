/* Options and state of TCP sockets; private to http. */
#ifndef HTTP_HTTP_SOCKET_H
#define HTTP_HTTP_SOCKET_H

#include "http/http.h"

/* Sends without delay, and notices a path or peer that doesn't respond. */
void http_socket_set_options(int fd);

enum http_peer http_socket_peer(int fd);

#endif
