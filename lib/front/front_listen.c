#include <unistd.h>

#include "front/front_priv.h"
#include "listen/listen.h"

static int set_listen_error(struct conf_error *err, const char *setting, const char *value,
			    const char *reason, int rc)
{
	g_snprintf(err->where, sizeof(err->where), "%s %s", setting, value);
	g_strlcpy(err->message, reason, sizeof(err->message));
	return rc;
}

/*
 * Opens @address for @server. libsoup's own listener has a backlog of 10, too short for a burst of
 * new connections. A SoupServer without a listener closes each connection after one request.
 */
static int open_listener(struct front *f, SoupServer *server, const char *setting,
			 const char *address, GSocket **out, struct conf_error *err)
{
	int fd = listen_open(address);
	g_autoptr(GError) error = NULL;

	if (fd < 0)
		return set_listen_error(err, setting, address,
					fd == -EINVAL ? "expected IP:PORT" : g_strerror(-fd), fd);
	*out = g_socket_new_from_fd(fd, &error);
	if (!*out) {
		close(fd);
		return set_listen_error(err, setting, address, error->message, -EIO);
	}
	if (!soup_server_listen_socket(server, *out, f->certificate ? SOUP_SERVER_LISTEN_HTTPS : 0,
				       &error))
		return set_listen_error(err, setting, address, error->message, -EIO);
	return 0;
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
	return set_listen_error(err, "callers.tls_cert", f->settings->tls_cert, error->message,
				-EINVAL);
}

int front_listen_callers(struct front *f, struct conf_error *err)
{
	if (load_certificate(f, err) < 0)
		return -EINVAL;
	f->caller_server = soup_server_new("server-header", "turmerichinge", "tls-certificate",
					   f->certificate, NULL);
	return open_listener(f, f->caller_server, "callers.listen", f->settings->caller_listen,
			     &f->caller_listener, err);
}

int front_listen_operators(struct front *f, struct conf_error *err)
{
	g_autoptr(GSocket) listener = NULL;

	f->operator_server = soup_server_new("server-header", "turmerichinge", "tls-certificate",
					     f->certificate, NULL);
	return open_listener(f, f->operator_server, "operators.listen",
			     f->settings->operator_listen, &listener, err);
}
