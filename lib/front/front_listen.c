#include <string.h>

#include "front/front_priv.h"

#define LISTEN_BACKLOG 1024 /* connections */

GSocketAddress *front_parse_address(const char *text)
{
	g_autoptr(GSocketConnectable) parsed = g_network_address_parse(text, 0, NULL);
	GNetworkAddress *a = parsed ? G_NETWORK_ADDRESS(parsed) : NULL;

	if (!a)
		return NULL;
	return g_inet_socket_address_new_from_string(g_network_address_get_hostname(a),
						     g_network_address_get_port(a));
}

static int set_listen_error(struct conf_error *err, const char *setting, const char *value,
			    const char *reason)
{
	g_snprintf(err->where, sizeof(err->where), "%s %s", setting, value);
	g_strlcpy(err->message, reason, sizeof(err->message));
	return -EADDRNOTAVAIL;
}

/* libsoup's own listener has a backlog of 10, too short for a burst of new connections. */
static GSocket *open_listener(GSocketAddress *address, GError **error)
{
	g_autoptr(GSocket) s = g_socket_new(g_socket_address_get_family(address),
					    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);

	if (!s)
		return NULL;
	g_socket_set_listen_backlog(s, LISTEN_BACKLOG);
	if (!g_socket_bind(s, address, TRUE, error) || !g_socket_listen(s, error))
		return NULL;
	return g_steal_pointer(&s);
}

static int load_certificate(struct front *f, struct conf_error *err)
{
	g_autoptr(GError) error = NULL;

	if (!f->settings->tls_cert)
		return 0;
	f->certificate = g_tls_certificate_new_from_files(
		f->settings->tls_cert,
		f->settings->tls_key ? f->settings->tls_key : f->settings->tls_cert, &error);
	if (f->certificate)
		return 0;
	return set_listen_error(err, "callers.tls_cert", f->settings->tls_cert, error->message);
}

int front_listen_callers(struct front *f, struct conf_error *err)
{
	g_autoptr(GSocketAddress) address = front_parse_address(f->settings->caller_listen);
	g_autoptr(GError) error = NULL;

	if (!address)
		return set_listen_error(err, "callers.listen", f->settings->caller_listen,
					"expected IP:PORT");
	if (load_certificate(f, err) < 0)
		return -EINVAL;
	f->caller_server = soup_server_new("server-header", "turmerichinge", "tls-certificate",
					   f->certificate, NULL);
	f->caller_listener = open_listener(address, &error);
	/* A SoupServer without a listener of its own closes each connection after one request. */
	if (!f->caller_listener ||
	    !soup_server_listen_socket(f->caller_server, f->caller_listener,
				       f->certificate ? SOUP_SERVER_LISTEN_HTTPS : 0, &error))
		return set_listen_error(err, "callers.listen", f->settings->caller_listen,
					error->message);
	return 0;
}

int front_listen_operators(struct front *f, struct conf_error *err)
{
	g_autoptr(GSocketAddress) address = front_parse_address(f->settings->operator_listen);
	g_autoptr(GError) error = NULL;

	if (!address)
		return set_listen_error(err, "operators.listen", f->settings->operator_listen,
					"expected IP:PORT");
	f->operator_server = soup_server_new("server-header", "turmerichinge", "tls-certificate",
					     f->certificate, NULL);
	if (!soup_server_listen(f->operator_server, address,
				f->certificate ? SOUP_SERVER_LISTEN_HTTPS : 0, &error))
		return set_listen_error(err, "operators.listen", f->settings->operator_listen,
					error->message);
	return 0;
}
