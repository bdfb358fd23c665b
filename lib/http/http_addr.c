#include "http/http_addr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>

#include "http/http.h"

int http_addr_parse(const char *addr, struct sockaddr_in *out)
{
	const char *colon = addr ? strrchr(addr, ':') : NULL;
	g_autofree char *ip = NULL;
	guint64 port;

	if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
		return -EINVAL;
	ip = g_strndup(addr, (gsize)(colon - addr));
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1 ? 0 : -EINVAL;
}

bool http_addr_is_valid(const char *addr)
{
	struct sockaddr_in sa;

	return http_addr_parse(addr, &sa) == 0 && sa.sin_port != 0;
}
