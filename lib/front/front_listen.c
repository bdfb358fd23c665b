#include <string.h>

#include "front/front_priv.h"

#define LISTEN_BACKLOG 1024

GSocketAddress *front_address(const char *text)
{
	g_autoptr(GSocketConnectable) at = g_network_address_parse(text, 0, NULL);
	GNetworkAddress *a = at ? G_NETWORK_ADDRESS(at) : NULL;

	if (!a)
		return NULL;
	return g_inet_socket_address_new_from_string(g_network_address_get_hostname(a),
						     g_network_address_get_port(a));
}

static int listen_failed(struct conf_error *err, const char *where, const char *address,
			 const char *why)
{
	g_snprintf(err->where, sizeof(err->where), "%s %s", where, address);
	g_strlcpy(err->message, why, sizeof(err->message));
	return -EADDRNOTAVAIL;
}

/* The library's own listener has a backlog of 10, too short for a burst of new connections. */
static GSocket *open_listener(GSocketAddress *at, GError **error)
{
	g_autoptr(GSocket) s = g_socket_new(g_socket_address_get_family(at), G_SOCKET_TYPE_STREAM,
					    G_SOCKET_PROTOCOL_TCP, error);

	if (!s)
		return NULL;
	g_socket_set_listen_backlog(s, LISTEN_BACKLOG);
	if (!g_socket_bind(s, at, TRUE, error) || !g_socket_listen(s, error))
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
	return listen_failed(err, "callers.tls_cert", f->settings->tls_cert, error->message);
}

int front_listen_callers(struct front *f, struct conf_error *err)
{
	g_autoptr(GSocketAddress) at = front_address(f->settings->caller_listen);
	g_autoptr(GError) error = NULL;

	if (!at)
		return listen_failed(err, "callers.listen", f->settings->caller_listen,
				     "expected IP:PORT");
	if (load_certificate(f, err) < 0)
		return -EINVAL;
	f->callers = soup_server_new("server-header", "turmerichinge", "tls-certificate",
				     f->certificate, NULL);
	f->listener = open_listener(at, &error);
	/* A SoupServer without a listener of its own closes each connection after one request. */
	if (!f->listener ||
	    !soup_server_listen_socket(f->callers, f->listener,
				       f->certificate ? SOUP_SERVER_LISTEN_HTTPS : 0, &error))
		return listen_failed(err, "callers.listen", f->settings->caller_listen,
				     error->message);
	return 0;
}

int front_listen_operators(struct front *f, struct conf_error *err)
{
	g_autoptr(GSocketAddress) at = front_address(f->settings->operator_listen);
	g_autoptr(GError) error = NULL;

	if (!at)
		return listen_failed(err, "operators.listen", f->settings->operator_listen,
				     "expected IP:PORT");
	f->operators = soup_server_new("server-header", "turmerichinge", "tls-certificate",
				       f->certificate, NULL);
	if (!soup_server_listen(f->operators, at, f->certificate ? SOUP_SERVER_LISTEN_HTTPS : 0,
				&error))
		return listen_failed(err, "operators.listen", f->settings->operator_listen,
				     error->message);
	return 0;
}
