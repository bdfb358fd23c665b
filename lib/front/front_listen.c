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
	g_strlcpy(err->expected, why, sizeof(err->expected));
	return -EADDRNOTAVAIL;
}

static GIOStream *wrap_tls(struct front *f, GSocketConnection *conn)
{
	GIOStream *io;

	if (!f->certificate)
		return G_IO_STREAM(g_object_ref(conn));
	io = g_tls_server_connection_new(G_IO_STREAM(conn), f->certificate, NULL);
	return io;
}

/*
 * The listener is apart from the SoupServer, because soup_server_disconnect() would also close
 * connections with requests in flight when a graceful shutdown stops listening.
 */
static gboolean on_incoming(GSocketService *service, GSocketConnection *conn, GObject *source,
			    gpointer arg)
{
	struct front *f = arg;
	g_autoptr(GSocketAddress) local = g_socket_connection_get_local_address(conn, NULL);
	g_autoptr(GSocketAddress) remote = g_socket_connection_get_remote_address(conn, NULL);
	g_autoptr(GIOStream) io = wrap_tls(f, conn);

	g_socket_set_option(g_socket_connection_get_socket(conn), 6 /* IPPROTO_TCP */,
			    1 /* TCP_NODELAY */, 1, NULL);
	if (io)
		soup_server_accept_iostream(f->callers, io, local, remote, NULL);
	return TRUE;
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
	g_autoptr(GSocketAddress) at = front_address(f->settings->listen);
	g_autoptr(GError) error = NULL;

	if (!at)
		return listen_failed(err, "callers.listen", f->settings->listen,
				     "expected IP:PORT");
	if (load_certificate(f, err) < 0)
		return -EINVAL;
	f->callers = soup_server_new("server-header", "turmerichinge", NULL);
	f->listener = g_socket_service_new();
	g_socket_listener_set_backlog(G_SOCKET_LISTENER(f->listener), LISTEN_BACKLOG);
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(f->listener), at, G_SOCKET_TYPE_STREAM,
					   G_SOCKET_PROTOCOL_TCP, NULL, NULL, &error))
		return listen_failed(err, "callers.listen", f->settings->listen, error->message);
	g_signal_connect(f->listener, "incoming", G_CALLBACK(on_incoming), f);
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
