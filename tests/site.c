#include "site.h"

#include "listen/listen.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "site_priv.h"
#include "site_store.h"

#define FIRST_PORT		  20000
#define LAST_PORT		  31000
#define DEFAULT_MAX_BODY_BYTES	  65536U
#define DEFAULT_MAX_HEADER_BYTES  8192U
#define DEFAULT_HEADER_TIMEOUT_MS 1000U
#define WAIT_LIMIT_S		  20 /* only reached when a test fails */

static void replica_clear(gpointer p)
{
	site_replica_free(p);
}

static void instance_clear(gpointer p)
{
	struct site_instance *i = p;

	if (i->process) {
		g_subprocess_force_exit(i->process);
		g_subprocess_wait(i->process, NULL, NULL);
		g_object_unref(i->process);
	}
	if (i->store_proxy)
		site_proxy_free(i->store_proxy);
	g_free(i->name);
	g_free(i->domain);
	g_free(i->ip);
	g_free(i->settings);
	g_free(i->log);
	g_free(i);
}

/* Returns a port that is free now; does not return it again before it wraps around. */
static uint16_t free_port(struct site *s)
{
	for (;;) {
		g_autofree char *addr = g_strdup_printf("127.0.0.1:%u", s->next_port);
		int fd = listen_open(addr);
		uint16_t port = s->next_port++;

		if (s->next_port > LAST_PORT)
			s->next_port = FIRST_PORT;
		if (fd >= 0) {
			close(fd);
			return port;
		}
	}
}

struct site *site_new(void)
{
	struct site *s = g_new0(struct site, 1);

	s->dir = g_dir_make_tmp("turmerichinge-site-XXXXXX", NULL);
	/* Concurrent test runs start from different ports. */
	s->next_port = (uint16_t)(FIRST_PORT + (getpid() * 97) % 10000);
	s->replicas = g_ptr_array_new_with_free_func(replica_clear);
	s->instances = g_ptr_array_new_with_free_func(instance_clear);
	s->run_counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->routes = g_string_new(NULL);
	s->keys = g_string_new("{\"name\":\"account-one\",\"api_keys\":[\"" SITE_KEY "\"]}");
	s->config_version = 3;
	s->store = site_store_new();
	return s;
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

void site_free(struct site *s)
{
	g_ptr_array_unref(s->instances);
	g_ptr_array_unref(s->replicas);
	site_store_free(s->store);
	g_hash_table_unref(s->run_counts);
	g_string_free(s->routes, TRUE);
	g_string_free(s->keys, TRUE);
	g_free(s->config);
	if (!s->keep_dir)
		remove_dir(s->dir);
	g_free(s->dir);
	g_free(s);
}

/* A write that changes only the number of writes leaves the entry as it is. */
static bool is_same_entry(const char *a, const char *b)
{
	const char *seq = strstr(a, "\"seq\":");

	g_assert_nonnull(seq);
	return b && strncmp(a, b, (size_t)(seq - a)) == 0;
}

void site_replica_set_state(struct site_replica *r, const char *state)
{
	struct site_store *store = r->site->store;
	g_autofree char *spec = g_strdup_printf(
		"{\"service\":\"%s\",\"addr\":\"127.0.0.1:%u\",\"zone\":\"%s\",\"version\":\"%s\","
		"\"slots\":64,\"state\":\"%s\",\"cold_left_ms\":%u,\"born\":"
		"%" G_GUINT64_FORMAT ",\"seq\":%" G_GUINT64_FORMAT "}",
		r->service, r->proxy ? r->proxy_port : r->port, r->domain,
		r->build ? r->build : "v1", state, r->cold_ms, r->born, ++r->seq);

	if (state != r->state) {
		g_free(r->state);
		r->state = g_strdup(state);
	}
	if (!is_same_entry(spec, site_store_get(store, "servers", r->id)))
		site_store_put(store, "servers", r->id, spec);
}

struct site_replica *site_replica_add(struct site *s, const char *id, const char *service,
				      const char *domain)
{
	struct site_replica *r = site_replica_new(s, id, service, domain, free_port(s));

	g_ptr_array_add(s->replicas, r);
	if (s->use_proxies) {
		r->proxy_port = free_port(s);
		r->proxy = site_proxy_new(r->proxy_port, r->port);
	}
	site_replica_set_state(r, "ready");
	return r;
}

void site_replica_remove(struct site_replica *r)
{
	g_clear_pointer(&r->state, g_free);
	site_store_delete(r->site->store, "servers", r->id);
}

void site_route(struct site *s, const char *name, const char *kind, const char *service,
		const char *extra)
{
	g_string_append_printf(
		s->routes,
		"%s{\"name\":\"%s\",\"host\":\"" SITE_HOST "\",\"path_prefix\":\"/%s/\","
		"\"kind\":\"%s\",\"service\":\"%s\",\"priority\":1,\"public\":false%s}",
		s->routes->len ? "," : "", name, name, kind, service, extra);
}

void site_publish(struct site *s)
{
	const char *more = s->more_of_services ? s->more_of_services : "";
	g_autofree char *spec = g_strdup_printf(
		"{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[%s],\"services\":["
		"{\"name\":\"chat\",\"health_path\":\"/health\",\"max_conns\":100,"
		"\"engine\":{\"slots\":64,\"stride\":4}%s},"
		"{\"name\":\"shop\",\"health_path\":\"/health\",\"max_conns\":100%s}%s],"
		"\"limits\":{\"max_header_bytes\":%u,\"max_body_bytes\":%u,"
		"\"header_timeout_ms\":%u,\"idle_timeout_ms\":5000},\"tenants\":[%s]}",
		s->config_version += 2, s->routes->str, more, more,
		s->more_services ? s->more_services : "",
		s->max_header_bytes ? s->max_header_bytes : DEFAULT_MAX_HEADER_BYTES,
		s->max_body_bytes ? s->max_body_bytes : DEFAULT_MAX_BODY_BYTES,
		s->header_timeout_ms ? s->header_timeout_ms : DEFAULT_HEADER_TIMEOUT_MS,
		s->keys->str);

	site_store_put(s->store, "config", "main", spec);
	g_free(s->config);
	s->config = g_steal_pointer(&spec);
}

void site_add_defaults(struct site *s)
{
	static const char *const domains[] = { "z-a", "z-b", "z-c" };

	site_route(s, "read", "idempotent", "shop",
		   ",\"timeout_ms\":3000,\"goal_ms\":200,\"max_attempts\":2");
	site_route(s, "once", "non_idempotent", "shop",
		   ",\"timeout_ms\":3000,\"goal_ms\":200,\"max_attempts\":1");
	site_route(s, "stream", "stream", "chat",
		   ",\"timeout_ms\":8000,\"goal_ms\":500,\"max_attempts\":2,\"resumable\":true,"
		   "\"gap_aim_ms\":100");
	site_route(s, "streamonce", "stream", "chat",
		   ",\"timeout_ms\":8000,\"goal_ms\":500,\"max_attempts\":1,\"resumable\":false,"
		   "\"gap_aim_ms\":100");
	for (int i = 0; i < 3; i++) {
		g_autofree char *shop = g_strdup_printf("shop-%d", i);
		g_autofree char *chat = g_strdup_printf("chat-%d", i);

		site_replica_add(s, shop, "shop", domains[i]);
		site_replica_add(s, chat, "chat", domains[i]);
	}
	site_publish(s);
}

void site_store_mode(struct site *s, enum site_store_mode mode)
{
	site_store_set_mode(s->store, mode);
}

void site_store_reject_instance(struct site *s, const struct site_instance *i)
{
	site_store_set_rejected_port(s->store, i ? i->store_port : 0);
}

void site_store_expire_history(struct site *s)
{
	site_store_drop_history(s->store);
}

void site_store_copy(struct site *s)
{
	site_store_keep_copy(s->store);
}

void site_store_restore(struct site *s)
{
	site_store_restore_copy(s->store);
}

void site_write_again(struct site *s)
{
	site_store_put(s->store, "config", "main", s->config);
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		if (r->state)
			site_replica_set_state(r, r->state);
		else
			site_store_delete(s->store, "servers", r->id);
	}
}

uint32_t site_store_calls(const struct site *s)
{
	return site_store_call_count(s->store);
}

static void write_settings(const struct site_instance *i)
{
	g_autofree char *memory = i->memory_mb
					  ? g_strdup_printf("limits.memory_mb=%u\n", i->memory_mb)
					  : g_strdup("");
	g_autofree char *text = g_strdup_printf(
		"node=%s\nrole=router\nclass=front\nip=%s\nzone=%s\nregion=r\n"
		"listen.front=%s:%u\nlisten.ready=%s:%u\nport_range=%u,%u\n"
		"limits.link_mbps=1000.0\nbounds.grace_s=8\nbeat_ms=1200\nbounds.retry_ratio=0.2\n"
		"bounds.retry_slack=56\nprovider.addr=127.0.0.1:%u\nlater.field=ignored\n%s%s",
		i->name, i->ip, i->domain, i->ip, i->port, i->ip, i->ready_port, i->metrics_port,
		i->metrics_port + 8, i->store_proxy ? i->store_proxy_port : i->store_port, memory,
		i->more_settings);

	g_assert_true(g_file_set_contents(i->settings, text, -1, NULL));
}

struct site_instance *site_instance_add(struct site *s, const char *domain)
{
	struct site_instance *i = g_new0(struct site_instance, 1);

	i->name = g_strdup_printf("router-%u", s->instances->len + 1);
	i->domain = g_strdup(domain);
	i->more_settings = s->more_settings ? s->more_settings : "";
	i->ip = g_strdup("127.0.0.1");
	i->port = free_port(s);
	i->ready_port = free_port(s);
	i->metrics_port = free_port(s);
	s->next_port += 8; /* rest of its port_range */
	i->store_port = free_port(s);
	i->settings = g_strdup_printf("%s/%s.conf", s->dir, i->name);
	i->log = g_strdup_printf("%s/%s.log", s->dir, i->name);
	site_store_listen(s->store, i->store_port);
	if (s->use_proxies) {
		i->store_proxy_port = free_port(s);
		i->store_proxy = site_proxy_new(i->store_proxy_port, i->store_port);
	}
	g_ptr_array_add(s->instances, i);
	site_instance_start(i);
	return i;
}

/* Instances must not outlive a failed test. */
static void set_up_process(gpointer arg)
{
	const struct site_instance *i = arg;
	struct rlimit limit = { i->max_fds, i->max_fds };

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (i->max_fds)
		setrlimit(RLIMIT_NOFILE, &limit);
}

static void spawn(struct site_instance *i)
{
	const char *build = g_getenv("BUILD");
	g_autofree char *program =
		g_strdup_printf("%s/bin/turmerichinge-platform", build ? build : "build");
	g_autoptr(GSubprocessLauncher) launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	g_autoptr(GError) error = NULL;

	g_subprocess_launcher_set_stdout_file_path(launcher, i->log);
	g_subprocess_launcher_set_child_setup(launcher, set_up_process, i, NULL);
	g_subprocess_launcher_setenv(launcher, "TURMERICHINGE_BOOT", i->settings, TRUE);
	g_clear_object(&i->process);
	i->process = g_subprocess_launcher_spawn(launcher, &error, program, NULL);
	g_assert_no_error(error);
}

void site_instance_start(struct site_instance *i)
{
	write_settings(i);
	spawn(i);
}

void site_instance_start_with(struct site_instance *i, const char *settings, gsize len)
{
	g_assert_true(g_file_set_contents(i->settings, settings, (gssize)len, NULL));
	spawn(i);
}

void site_instance_start_waiting(struct site_instance *i)
{
	g_unlink(i->settings);
	g_assert_cmpint(mkfifo(i->settings, 0600), ==, 0);
	spawn(i);
	/* A pipe without a reader can't be opened. */
	do {
		site_run_for(1);
		i->settings_fd = open(i->settings, O_WRONLY | O_NONBLOCK | O_CLOEXEC);
	} while (i->settings_fd < 0 && !site_instance_has_exited(i));
	g_assert_cmpint(i->settings_fd, >=, 0);
}

void site_instance_give_settings(struct site_instance *i)
{
	g_autofree char *text = NULL;
	gsize len;

	write_settings(i);
	g_assert_true(g_file_get_contents(i->settings, &text, &len, NULL));
	if (!site_instance_has_exited(i))
		g_assert_cmpint(write(i->settings_fd, text, len), ==, len);
	close(i->settings_fd);
}

void site_instance_signal(struct site_instance *i, int signal)
{
	g_subprocess_send_signal(i->process, signal);
}

bool site_instance_has_exited(void *arg)
{
	struct site_instance *i = arg;

	return g_subprocess_get_identifier(i->process) == NULL;
}

bool site_instance_wait_exit(struct site_instance *i)
{
	bool ok;

	site_run_until(site_instance_has_exited, i);
	ok = g_subprocess_get_successful(i->process);
	g_clear_object(&i->process);
	return ok;
}

char *site_instance_log(const struct site_instance *i)
{
	char *text = NULL;

	g_file_get_contents(i->log, &text, NULL, NULL);
	return text;
}

void site_run_for(uint32_t ms)
{
	int64_t end = g_get_monotonic_time() + (int64_t)ms * 1000;

	while (g_get_monotonic_time() < end) {
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(500);
	}
}

void site_run_until(bool (*test)(void *arg), void *arg)
{
	int64_t end = g_get_monotonic_time() + WAIT_LIMIT_S * G_USEC_PER_SEC;

	while (!test(arg)) {
		g_assert_cmpint(g_get_monotonic_time(), <, end);
		if (!g_main_context_iteration(NULL, FALSE))
			g_usleep(500);
	}
}

static bool is_ready(const struct site_instance *i)
{
	struct site_instance at = *i;
	struct site_call *c;
	bool ok;

	at.port = i->ready_port;
	c = site_request(&at, "GET", "/ready", NULL, NULL);
	ok = c->status == 200;
	site_call_free(c);
	return ok;
}

static bool all_ready(void *arg)
{
	struct site *s = arg;

	site_run_for(20);
	for (guint i = 0; i < s->instances->len; i++) {
		struct site_instance *n = s->instances->pdata[i];

		if (n->process && !is_ready(n))
			return false;
	}
	return true;
}

void site_wait_ready(struct site *s)
{
	site_run_until(all_ready, s);
}

static void on_head(void *owner, struct http_head *h)
{
	struct site_call *c = owner;
	const char *name;
	const char *value;

	c->status = h->status;
	c->keep_alive = h->keep_alive;
	c->retry_after = g_strdup(http_head_get(h, "Retry-After"));
	for (uint32_t i = 0; http_head_at(h, i, &name, &value); i++)
		g_string_append_printf(c->headers, "%s: %s\n", name, value);
}

static void on_body(void *owner, const char *data, size_t len)
{
	struct site_call *c = owner;

	g_string_append_len(c->body, data, (gssize)len);
	c->n_pieces++;
}

static void on_end(void *owner)
{
	((struct site_call *)owner)->done = true;
}

static void on_closed(void *owner, enum http_close_reason why)
{
	struct site_call *c = owner;

	c->closed = true;
	http_conn_free(c->conn);
	c->conn = NULL;
}

static const struct http_ops call_ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
};

struct site_call *site_send(const struct site_instance *i, const char *method, const char *path,
			    const char *headers, const char *body)
{
	struct site_call *c = g_new0(struct site_call, 1);
	g_autofree char *addr = g_strdup_printf("%s:%u", i->ip, i->port);
	g_autoptr(GString) text = g_string_new(NULL);

	c->headers = g_string_new(NULL);
	c->body = g_string_new(NULL);
	g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: " SITE_HOST "\r\n%s", method, path,
			       headers ? headers : "");
	if (body)
		g_string_append_printf(text, "Content-Length: %zu\r\n", strlen(body));
	g_string_append_printf(text, "\r\n%s", body ? body : "");
	c->conn = http_conn_open(addr, &call_ops, c);
	g_assert_nonnull(c->conn);
	http_conn_write(c->conn, text->str, text->len);
	return c;
}

static bool is_finished(void *arg)
{
	const struct site_call *c = arg;

	return c->done || c->closed;
}

void site_call_wait(struct site_call *c)
{
	site_run_until(is_finished, c);
}

struct site_call *site_request(const struct site_instance *i, const char *method, const char *path,
			       const char *headers, const char *body)
{
	struct site_call *c = site_send(i, method, path, headers, body);

	site_call_wait(c);
	return c;
}

void site_call_free(struct site_call *c)
{
	if (!c)
		return;
	http_conn_free(c->conn);
	g_free(c->retry_after);
	g_string_free(c->headers, TRUE);
	g_string_free(c->body, TRUE);
	g_free(c);
}
