#include "harness.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/base.h"

#define WAIT_LIMIT (60 * USEC_PER_SEC)
#define READ_BYTES 8192

static const char base_conf[] = "[ranks]\nurgent=0.8\nnormal=0.15\nbatch=0.05\n"
				"[profile question]\nrank=urgent\nwindow_ms=30000\n"
				"[profile note]\nrank=normal\nwindow_ms=30000\n"
				"[profile rewrite]\nrank=batch\nwindow_ms=60000\nfinish=yes\n"
				"[profile lookup]\nrank=urgent\nwindow_ms=30000\n"
				"[profile booking]\nrank=urgent\nwindow_ms=30000\nrepeatable=no\n"
				"[service yard]\nprofiles=question,note,rewrite\nload_bound=1.5\n"
				"[service desk]\nplain=yes\nprofiles=lookup,booking\nload_bound=2\n"
				"[account alder]\nkey=key-alder\n"
				"[account birch]\nkey=key-birch\n";

struct harness *harness_new(void)
{
	struct harness *h = g_new0(struct harness, 1);

	h->dir = g_dir_make_tmp("turmerichinge-XXXXXX", NULL);
	h->conf = g_string_new(base_conf);
	h->session = soup_session_new_with_options("max-conns", 2000, "max-conns-per-host", 2000,
						   "timeout", 0, NULL);
	return h;
}

static void remove_dir(const char *path)
{
	g_autoptr(GDir) dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *file = g_build_filename(path, name, NULL);

		g_unlink(file);
	}
	g_rmdir(path);
}

void harness_free(struct harness *h)
{
	for (uint32_t i = 0; i < h->n_procs; i++) {
		struct harness_proc *p = &h->procs[i];

		/* A test may have left the process stopped by SIGSTOP. */
		g_subprocess_send_signal(p->process, SIGCONT);
		g_subprocess_force_exit(p->process);
		g_subprocess_wait(p->process, NULL, NULL);
		g_object_unref(p->process);
		g_free(p->name);
		g_free(p->settings_path);
		g_free(p->settings);
	}
	g_object_unref(h->session);
	g_string_free(h->conf, TRUE);
	remove_dir(h->dir);
	g_free(h->dir);
	g_free(h);
}

uint16_t harness_free_port(void)
{
	g_autoptr(GSocket) s = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
					    G_SOCKET_PROTOCOL_TCP, NULL);
	g_autoptr(GSocketAddress) any = g_inet_socket_address_new_from_string("127.0.0.1", 0);
	g_autoptr(GSocketAddress) bound = NULL;

	g_assert_true(g_socket_bind(s, any, FALSE, NULL));
	bound = g_socket_get_local_address(s, NULL);
	return g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
}

/* Child setup: a failed assertion aborts the test without harness_free(); the kernel then kills the
 * child processes. */
static void set_up_process(gpointer fds)
{
	rlim_t n = GPOINTER_TO_UINT(fds);
	struct rlimit limit = { n, n };

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (n)
		setrlimit(RLIMIT_NOFILE, &limit);
}

static struct harness_proc *spawn(struct harness *h, const char *name, const char *const *argv,
				  uint32_t max_fds)
{
	struct harness_proc *p = &h->procs[h->n_procs++];
	g_autoptr(GSubprocessLauncher) l =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDOUT_SILENCE);
	g_autofree char *log = g_strdup_printf("%s/%s.log", h->dir, name);
	g_autoptr(GError) error = NULL;

	g_assert_cmpuint(h->n_procs, <=, HARNESS_MAX_PROCS);
	g_subprocess_launcher_set_child_setup(l, set_up_process, GUINT_TO_POINTER(max_fds), NULL);
	if (!g_getenv("HARNESS_VERBOSE"))
		g_subprocess_launcher_set_stderr_file_path(l, log);
	p->process = g_subprocess_launcher_spawnv(l, argv, &error);
	g_assert_no_error(error);
	p->name = g_strdup(name);
	return p;
}

static bool accepts_connections(uint16_t port)
{
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection) conn =
		g_socket_client_connect_to_host(client, "127.0.0.1", port, NULL, NULL);

	return conn != NULL;
}

static void wait_accepts_connections(uint16_t port)
{
	int64_t limit = g_get_monotonic_time() + WAIT_LIMIT;

	while (!accepts_connections(port)) {
		g_assert_cmpint(g_get_monotonic_time(), <, limit);
		g_usleep(10000);
	}
}

static char *program_path(const char *program)
{
	const char *build = g_getenv("BUILD");

	return g_strdup_printf("%s/bin/%s", build ? build : "build", program);
}

struct harness_proc *harness_start(struct harness *h, const char *program, const char *name,
				   const char *const *args)
{
	g_autofree char *path = program_path(program);
	uint16_t port = harness_free_port();
	g_autofree char *listen = g_strdup_printf("127.0.0.1:%u", port);
	g_autoptr(GPtrArray) argv = g_ptr_array_new();
	struct harness_proc *p;

	g_ptr_array_add(argv, path);
	g_ptr_array_add(argv, "--listen");
	g_ptr_array_add(argv, listen);
	for (guint i = 0; args && args[i]; i++)
		g_ptr_array_add(argv, (char *)args[i]);
	g_ptr_array_add(argv, NULL);
	p = spawn(h, name, (const char *const *)argv->pdata, 0);
	p->port = port;
	wait_accepts_connections(port);
	return p;
}

struct harness_proc *harness_add_upstream(struct harness *h, const char *program, const char *id,
					  const char *service, const char *domain,
					  const char *const *args)
{
	struct harness_proc *p = harness_start(h, program, id, args);

	g_string_append_printf(h->conf,
			       "[upstream %s]\nservice=%s\nhost=127.0.0.1\nport=%u\n"
			       "failure_domain=%s\n",
			       id, service, p->port, domain);
	return p;
}

void harness_write_conf(struct harness *h)
{
	g_autofree char *path = g_build_filename(h->dir, "conf.ini", NULL);

	g_assert_true(g_file_set_contents(path, h->conf->str, -1, NULL));
}

static char *format_settings(const struct harness *h, const struct harness_proc *p,
			     const char *domain, const char *extra)
{
	bool from_file = !extra || !strstr(extra, "[platform]");

	return g_strdup_printf(
		"[instance]\nid=%s\nfailure_domain=%s\nlog_level=debug\nshutdown_delay_ms=200\n"
		"%s%s%s%s\n[callers]\nlisten=127.0.0.1:%u\n%s[operators]\nlisten=127.0.0.1:%u\n"
		"token=secret\n%s",
		p->name, domain, h->instance_settings ? h->instance_settings : "",
		from_file ? "config_file=" : "", from_file ? h->dir : "",
		from_file ? "/conf.ini" : "", p->port, h->caller_settings ? h->caller_settings : "",
		p->operator_port, extra ? extra : "");
}

static struct harness_proc *spawn_instance(struct harness *h, const char *id, const char *settings)
{
	g_autofree char *path = program_path("turmerichinged");
	const char *argv[] = { path, settings, NULL };
	struct harness_proc *p = spawn(h, id, argv, h->instance_fds);

	p->settings_path = g_strdup(settings);
	return p;
}

struct harness_proc *harness_start_instance(struct harness *h, const char *id, const char *domain,
					    const char *extra)
{
	g_autofree char *settings = g_strdup_printf("%s/%s.ini", h->dir, id);
	struct harness_proc ports = { .name = (char *)id,
				      .port = harness_free_port(),
				      .operator_port = harness_free_port() };
	g_autofree char *text = format_settings(h, &ports, domain, extra);
	struct harness_proc *p;

	g_assert_true(g_file_set_contents(settings, text, -1, NULL));
	p = spawn_instance(h, id, settings);
	p->port = ports.port;
	p->operator_port = ports.operator_port;
	wait_accepts_connections(p->port);
	return p;
}

struct harness_proc *harness_start_waiting(struct harness *h, const char *id, const char *domain)
{
	g_autofree char *settings = g_strdup_printf("%s/%s.ini", h->dir, id);
	struct harness_proc *p;

	g_assert_cmpint(mkfifo(settings, 0600), ==, 0);
	p = spawn_instance(h, id, settings);
	p->port = harness_free_port();
	p->operator_port = harness_free_port();
	p->settings = format_settings(h, p, domain, NULL);
	/* A pipe without a reader can't be opened. */
	do {
		harness_run_for(1);
		p->settings_fd = open(settings, O_WRONLY | O_NONBLOCK | O_CLOEXEC);
	} while (p->settings_fd < 0 && g_subprocess_get_identifier(p->process));
	g_assert_cmpint(p->settings_fd, >=, 0);
	return p;
}

void harness_give_settings(struct harness_proc *p)
{
	size_t len = strlen(p->settings);

	g_assert_cmpint(write(p->settings_fd, p->settings, len), ==, len);
	close(p->settings_fd);
}

void harness_wait_ready(struct harness *h, struct harness_proc *p)
{
	int64_t limit = g_get_monotonic_time() + WAIT_LIMIT;
	int status = 0;

	while (status != 200) {
		struct harness_call *c = harness_call(h, p->port, "GET", "/readyz", NULL, NULL);

		status = c->status;
		harness_call_free(c);
		g_assert_cmpint(g_get_monotonic_time(), <, limit);
		harness_run_for(20);
	}
}

static void on_read(GObject *source, GAsyncResult *res, gpointer arg)
{
	struct harness_call *c = arg;
	g_autoptr(GBytes) data = g_input_stream_read_bytes_finish(c->in, res, NULL);

	if (!data || g_bytes_get_size(data) == 0) {
		c->failed = !data;
		c->done = true;
		return;
	}
	g_string_append_len(c->body, g_bytes_get_data(data, NULL), (gssize)g_bytes_get_size(data));
	g_input_stream_read_bytes_async(c->in, READ_BYTES, G_PRIORITY_DEFAULT, c->cancellable,
					on_read, c);
}

static void on_sent(GObject *source, GAsyncResult *res, gpointer arg)
{
	struct harness_call *c = arg;

	c->in = soup_session_send_finish(SOUP_SESSION(source), res, NULL);
	if (!c->in) {
		c->failed = true;
		c->done = true;
		return;
	}
	c->status = (int)soup_message_get_status(c->msg);
	g_input_stream_read_bytes_async(c->in, READ_BYTES, G_PRIORITY_DEFAULT, c->cancellable,
					on_read, c);
}

struct harness_call *harness_send(struct harness *h, uint16_t port, const char *method,
				  const char *path, const char *body, const char *const *headers)
{
	struct harness_call *c = g_new0(struct harness_call, 1);
	g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	g_autoptr(GBytes) bytes = body ? g_bytes_new(body, strlen(body)) : NULL;

	c->msg = soup_message_new(method, url);
	c->cancellable = g_cancellable_new();
	c->body = g_string_new(NULL);
	soup_message_add_flags(c->msg, SOUP_MESSAGE_NEW_CONNECTION);
	for (guint i = 0; headers && headers[i]; i += 2)
		soup_message_headers_replace(soup_message_get_request_headers(c->msg), headers[i],
					     headers[i + 1]);
	if (bytes)
		soup_message_set_request_body_from_bytes(c->msg, "application/json", bytes);
	soup_session_send_async(h->session, c->msg, G_PRIORITY_DEFAULT, c->cancellable, on_sent, c);
	return c;
}

/* Makes g_main_context_iteration() return so that the condition is checked again. */
static gboolean on_poll_timer(gpointer arg)
{
	return G_SOURCE_CONTINUE;
}

void harness_wait_until(bool (*condition)(void *arg), void *arg)
{
	int64_t limit = g_get_monotonic_time() + WAIT_LIMIT;
	guint poll_timer = g_timeout_add(10, on_poll_timer, NULL);

	while (!condition(arg)) {
		g_main_context_iteration(NULL, TRUE);
		g_assert_cmpint(g_get_monotonic_time(), <, limit);
	}
	g_source_remove(poll_timer);
}

static bool call_done(void *arg)
{
	return ((struct harness_call *)arg)->done;
}

void harness_wait(struct harness_call *call)
{
	harness_wait_until(call_done, call);
}

struct harness_call *harness_call(struct harness *h, uint16_t port, const char *method,
				  const char *path, const char *body, const char *const *headers)
{
	struct harness_call *c = harness_send(h, port, method, path, body, headers);

	harness_wait(c);
	return c;
}

void harness_call_free(struct harness_call *call)
{
	if (!call->done) {
		g_cancellable_cancel(call->cancellable);
		harness_wait(call);
	}
	g_clear_object(&call->in);
	g_object_unref(call->msg);
	g_object_unref(call->cancellable);
	g_string_free(call->body, TRUE);
	g_free(call);
}

const char *harness_header(const struct harness_call *call, const char *name)
{
	const char *v =
		soup_message_headers_get_one(soup_message_get_response_headers(call->msg), name);

	return v ? v : "";
}

int64_t harness_get_integer(struct harness *h, uint16_t port, const char *path, const char *name)
{
	struct harness_call *c = harness_call(h, port, "GET", path, NULL, NULL);
	g_autofree char *key = g_strdup_printf("\"%s\":", name);
	const char *at = strstr(c->body->str, key);
	int64_t v = at ? g_ascii_strtoll(at + strlen(key), NULL, 10) : 0;

	harness_call_free(c);
	return v;
}

char *harness_chat_body(const char *model, const char *text, int max_tokens, bool stream)
{
	return g_strdup_printf("{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":"
			       "\"%s\"}],\"max_tokens\":%d,\"stream\":%s}",
			       model, text, max_tokens, stream ? "true" : "false");
}

bool harness_stream_is_complete(const char *body, const char *text, int max_tokens)
{
	static const char field[] = "\"content\":\"";
	const char *at = body;
	uint64_t seed = hash_str(text);

	for (int i = 0; i < max_tokens; i++) {
		g_autofree char *expected =
			g_strdup_printf(" w%u\"", (unsigned)(hash_pair(seed, (uint64_t)i) % 10000));

		at = strstr(at, field);
		if (!at)
			return false;
		at += strlen(field);
		if (!g_str_has_prefix(at, expected))
			return false;
	}
	if (strstr(at, field))
		return false;
	return g_str_has_suffix(body, "data: [DONE]\n\n");
}

static gboolean on_timeout(gpointer arg)
{
	*(bool *)arg = true;
	return G_SOURCE_REMOVE;
}

void harness_run_for(uint32_t msec)
{
	bool elapsed = false;

	g_timeout_add(msec, on_timeout, &elapsed);
	while (!elapsed)
		g_main_context_iteration(NULL, TRUE);
}
