/* Addresses of upstreams; private to http. */
#ifndef HTTP_HTTP_ADDR_H
#define HTTP_HTTP_ADDR_H

#include <netinet/in.h>

/* Parses "IP:PORT" (IPv4); returns 0 or -EINVAL. Port 0 is allowed. */
int http_addr_parse(const char *addr, struct sockaddr_in *out);

#endif
