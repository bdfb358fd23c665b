#include <sys/socket.h>
#include <unistd.h>

#include "front/front_priv.h"

static int set_listen_error(struct conf_error *err, const char *setting, const char *value,
			    const char *reason, int rc)
{
	g_snprintf(err->where, sizeof(err->where), "%s %s", setting, value);
	g_strlcpy(err->message, reason, sizeof(err->message));
	return rc;
}

/*
 * Connections of a SoupServer stay open between requests only if it has a listener. It gets one that
 * the network can't reach: a local socket whose name the kernel chooses.
 */
static int add_placeholder_listener(SoupServer *server)
{
	static const struct sockaddr unnamed = { .sa_family = AF_UNIX };
	g_autoptr(GSocket) placeholder = NULL;
	int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0)
		return -errno;
	if (bind(fd, &unnamed, sizeof(unnamed.sa_family)) == 0 && listen(fd, 0) == 0)
		placeholder = g_socket_new_from_fd(fd, NULL);
	if (!placeholder) {
		close(fd);
		return -EIO;
	}
	return soup_server_listen_socket(server, placeholder, 0, NULL) ? 0 : -EIO;
}

static int open_listener(SoupServer *server, const char *setting, const struct listener_params *p,
			 struct listener **out, struct conf_error *err)
{
	int rc;

	*out = listener_new(p, &rc);
	if (!*out)
		return set_listen_error(err, setting, p->addr,
					rc == -EINVAL ? "expected IP:PORT" : g_strerror(-rc), rc);
	if (add_placeholder_listener(server) < 0)
		return set_listen_error(err, setting, p->addr, "no socket is available", -EIO);
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
	struct listener_params p = { .addr = f->settings->caller_listen,
				     .accepted = front_accept_caller,
				     .make_room = front_conn_make_room,
				     .arg = f };

	f->caller_server = soup_server_new("server-header", "turmerichinge", NULL);
	return open_listener(f->caller_server, "callers.listen", &p, &f->caller_listener, err);
}

int front_listen_operators(struct front *f, struct conf_error *err)
{
	struct listener_params p = { .addr = f->settings->operator_listen,
				     .accepted = front_accept_operator,
				     .arg = f,
				     .uses_reserve = true };

	if (load_certificate(f, err) < 0)
		return -EINVAL;
	f->operator_server = soup_server_new("server-header", "turmerichinge", NULL);
	return open_listener(f->operator_server, "operators.listen", &p, &f->operator_listener,
			     err);
}
