/* Addresses of upstreams; private to http. */
#ifndef HTTP_HTTP_ADDR_H
#define HTTP_HTTP_ADDR_H

#include <netinet/in.h>

struct http_sockaddr {
	union {
		struct sockaddr any;
		struct sockaddr_in in;
		struct sockaddr_in6 in6;
	};
	socklen_t len;
};

/* Parses "IP:PORT" or "[IPv6]:PORT"; returns 0 or -EINVAL. Port 0 is allowed. */
int http_addr_parse(const char *addr, struct http_sockaddr *out);

#endif
