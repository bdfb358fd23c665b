#include "http/http_addr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>

#include "http/http.h"

int http_addr_parse(const char *addr, struct http_sockaddr *out)
{
	const char *colon = addr ? strrchr(addr, ':') : NULL;
	g_autofree char *ip = NULL;
	guint64 port;

	if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
		return -EINVAL;
	memset(out, 0, sizeof(*out));
	if (*addr == '[' && colon[-1] == ']') {
		ip = g_strndup(addr + 1, (gsize)(colon - addr) - 2);
		out->len = sizeof(out->in6);
		out->in6.sin6_family = AF_INET6;
		out->in6.sin6_port = htons((uint16_t)port);
		return inet_pton(AF_INET6, ip, &out->in6.sin6_addr) == 1 ? 0 : -EINVAL;
	}
	ip = g_strndup(addr, (gsize)(colon - addr));
	out->len = sizeof(out->in);
	out->in.sin_family = AF_INET;
	out->in.sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &out->in.sin_addr) == 1 ? 0 : -EINVAL;
}

bool http_addr_is_valid(const char *addr)
{
	struct http_sockaddr sa;

	return http_addr_parse(addr, &sa) == 0 && sa.any.sa_family == AF_INET &&
	       sa.in.sin_port != 0;
}
