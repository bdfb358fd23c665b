#include "stand.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define ROUTER_IP      "127.0.0.1"
#define ROUTER_NAME    "front-a-1"
#define ROUTER_FDS     4100 /* limits.max_fds of the settings */
#define PORT_RANGE     8
#define READY_S	       10.0
#define STOP_S	       10.0
#define CONNS_MAX      512 /* above max_conns */
#define RESTART_S      2.0 /* default */
#define OBJECTS_MAX    64
#define STORE_DELAY_S  0.004
#define WATCH_STEP_S   0.01
#define FIRST_PORT     20000
#define LAST_PORT      31000
#define HEAD_BYTES_MAX (256U * 1024U)
#define READ_BYTES     65536U
#define SETTINGS_BYTES 4096
#define CONFIG_BYTES   16384
#define FIRST_REVISION 100
#define FIRST_BORN     1796650000000U

struct object {
	char kind[64];
	char name[64];
	char *spec; /* owned JSON */
	uint64_t revision;
	bool deleted;
};

struct replica {
	char id[64];
	char service[64];
	uint16_t port;
	int fd; /* listening socket */
	stand_answer_fn answer;
	uint64_t born; /* start of its process */
	pthread_mutex_t lock;
	int conns[CONNS_MAX]; /* open connections; -1: unused */
	bool crashed; /* until it listens again */
};

struct replica_conn {
	struct replica *replica;
	int fd;
};

static struct {
	pthread_mutex_t lock;
	struct object objects[OBJECTS_MAX];
	int n_objects;
	uint64_t revision;
	uint16_t port;
	int fd;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER, .revision = FIRST_REVISION, .fd = -1 };

static struct {
	pid_t pid;
	uint16_t callers;
	uint16_t ready;
	uint16_t first; /* of its port range */
	char settings[128];
} router;

static double restart_s = RESTART_S;

static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

double stand_now(void)
{
	static struct timespec start;
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	if (!start.tv_sec)
		start = t;
	return (double)(t.tv_sec - start.tv_sec) + (double)(t.tv_nsec - start.tv_nsec) / 1e9;
}

void stand_sleep(double s)
{
	struct timespec t = { (time_t)s, (long)((s - (double)(time_t)s) * 1e9) };

	nanosleep(&t, NULL);
}

void stand_record(const char *format, ...)
{
	static FILE *file;
	const char *path = getenv("RECORD");
	va_list args;

	pthread_mutex_lock(&record_lock);
	if (!file)
		file = fopen(path ? path : "record.txt", "w");
	if (file) {
		fprintf(file, "%8.3f ", stand_now());
		va_start(args, format);
		vfprintf(file, format, args);
		va_end(args);
		fputc('\n', file);
		fflush(file);
	}
	pthread_mutex_unlock(&record_lock);
}

bool stand_has_trouble(void)
{
	const char *v = getenv("TROUBLE");

	return !v || strcmp(v, "0") != 0;
}

void stand_thread(void *(*fn)(void *arg), void *arg)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, (size_t)256 * 1024);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&t, &attr, fn, arg) != 0)
		abort();
	pthread_attr_destroy(&attr);
}

bool stand_send(int fd, const void *data, size_t len)
{
	const char *p = data;

	while (len > 0) {
		ssize_t n = send(fd, p, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		p += n;
		len -= (size_t)n;
	}
	return true;
}

bool stand_send_text(int fd, const char *text)
{
	return stand_send(fd, text, strlen(text));
}

void http_in_init(struct http_in *in, int fd)
{
	*in = (struct http_in){ .fd = fd };
}

void http_in_free(struct http_in *in)
{
	free(in->buf);
	in->buf = NULL;
}

static bool fill(struct http_in *in)
{
	ssize_t n;

	if (in->pos > 0) {
		memmove(in->buf, in->buf + in->pos, in->len - in->pos);
		in->len -= in->pos;
		in->pos = 0;
	}
	if (in->len + READ_BYTES + 1 > in->size) {
		in->size = in->len + 2 * READ_BYTES;
		in->buf = realloc(in->buf, in->size);
		if (!in->buf)
			abort();
	}
	n = recv(in->fd, in->buf + in->len, READ_BYTES, 0);
	if (n <= 0)
		return false;
	in->len += (size_t)n;
	in->buf[in->len] = '\0';
	return true;
}

/* Reads up to the end of @mark. */
static char *read_until(struct http_in *in, const char *mark)
{
	for (;;) {
		size_t have = in->len - in->pos;
		char *end = have ? memmem(in->buf + in->pos, have, mark, strlen(mark)) : NULL;

		if (end) {
			size_t n = (size_t)(end - (in->buf + in->pos)) + strlen(mark);
			char *text = strndup(in->buf + in->pos, n);

			in->pos += n;
			return text;
		}
		if (have > HEAD_BYTES_MAX || !fill(in))
			return NULL;
	}
}

char *http_in_head(struct http_in *in)
{
	return read_until(in, "\r\n\r\n");
}

char *http_in_line(struct http_in *in)
{
	return read_until(in, "\n");
}

bool http_in_body(struct http_in *in, size_t n, char *out)
{
	while (n > 0) {
		size_t have = in->len - in->pos;
		size_t part = have < n ? have : n;

		if (part == 0) {
			if (!fill(in))
				return false;
			continue;
		}
		if (out) {
			memcpy(out, in->buf + in->pos, part);
			out += part;
		}
		in->pos += part;
		n -= part;
	}
	return true;
}

/* Whether the name of the header line @line is @name; the white space around it doesn't count. */
static bool is_header(const char *line, const char *name, const char **value)
{
	size_t len = strlen(name);

	line += strspn(line, " \t");
	if (strncasecmp(line, name, len) != 0)
		return false;
	line += len;
	line += strspn(line, " \t");
	if (*line != ':')
		return false;
	line++;
	*value = line + strspn(line, " \t");
	return true;
}

bool stand_header(const char *head, const char *name, char *out, size_t size)
{
	const char *line = strstr(head, "\r\n");

	while (line && line[2] != '\r' && line[2]) {
		const char *value;

		line += 2;
		if (is_header(line, name, &value)) {
			snprintf(out, size, "%.*s", (int)strcspn(value, "\r\n"), value);
			return true;
		}
		line = strstr(line, "\r\n");
	}
	return false;
}

static int open_socket(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd >= 0)
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static struct sockaddr_in loopback(uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(port) };

	inet_pton(AF_INET, ROUTER_IP, &sa.sin_addr);
	return sa;
}

/* Returns a listening socket at @port, -1: it is in use. */
static int listen_at(uint16_t port)
{
	struct sockaddr_in sa = loopback(port);
	int fd = open_socket();
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0 && listen(fd, 512) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Returns a listening socket at the next port that is free. */
static int listen_next(uint16_t *port)
{
	static uint16_t next;
	int fd = -1;

	if (!next)
		next = (uint16_t)(FIRST_PORT + (getpid() * 97) % (LAST_PORT - FIRST_PORT));
	while (fd < 0) {
		fd = listen_at(next);
		*port = next;
		next = next < LAST_PORT ? next + 1 : FIRST_PORT;
	}
	return fd;
}

static uint16_t free_port(void)
{
	uint16_t port;

	close(listen_next(&port));
	return port;
}

static int connect_to(uint16_t port)
{
	struct sockaddr_in sa = loopback(port);
	int fd = open_socket();

	if (fd >= 0 && connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return fd;
	if (fd >= 0)
		close(fd);
	return -1;
}

int stand_connect(void)
{
	return connect_to(router.callers);
}

/* Called with the lock held, as are the other functions on objects. */
static struct object *find_object(const char *kind, const char *name)
{
	for (int i = 0; i < store.n_objects; i++) {
		struct object *o = &store.objects[i];

		if (strcmp(o->kind, kind) == 0 && strcmp(o->name, name) == 0)
			return o;
	}
	return NULL;
}

static void put_object(const char *kind, const char *name, const char *spec)
{
	struct object *o = find_object(kind, name);

	if (!o) {
		if (store.n_objects == OBJECTS_MAX)
			abort();
		o = &store.objects[store.n_objects++];
		snprintf(o->kind, sizeof(o->kind), "%s", kind);
		snprintf(o->name, sizeof(o->name), "%s", name);
	} else if (!o->deleted && strcmp(o->spec, spec) == 0) {
		return;
	}
	free(o->spec);
	o->spec = strdup(spec);
	o->deleted = false;
	o->revision = ++store.revision;
}

static void print_object(FILE *out, const struct object *o)
{
	fprintf(out,
		"{\"metadata\":{\"name\":\"%s\",\"revision\":%llu,\"create_rev\":%d,"
		"\"finalizers\":[],\"deleting\":false},\"spec\":%s,\"status\":null}",
		o->name, (unsigned long long)o->revision, FIRST_REVISION, o->spec);
}

/* The spec in the body of a write, which is the last member at its level. */
static char *spec_of(const char *body)
{
	const char *from = strstr(body, "\"spec\":");
	size_t i = 0;
	int depth = 0;

	if (!from)
		return NULL;
	from += strlen("\"spec\":");
	do {
		depth += from[i] == '{';
		depth -= from[i] == '}';
		i++;
	} while (depth > 0 && from[i]);
	return strndup(from, i);
}

static int write_object(const char *method, const char *kind, const char *name, const char *body)
{
	struct object *o = find_object(kind, name);
	bool exists = o && !o->deleted;
	char *spec;

	if (strcmp(method, "DELETE") == 0) {
		if (!exists)
			return 404;
		o->deleted = true;
		o->revision = ++store.revision;
		return 200;
	}
	if (strcmp(method, "POST") == 0 && exists)
		return 409;
	if (strcmp(method, "PUT") == 0 && !exists)
		return 404;
	spec = spec_of(body);
	if (!spec)
		return 400;
	put_object(kind, name, spec);
	free(spec);
	return 200;
}

/* Prints the changes of @kind after @since; returns their number. */
static int print_events(FILE *out, const char *kind, uint64_t since)
{
	int n = 0;

	for (int i = 0; i < store.n_objects; i++) {
		const struct object *o = &store.objects[i];

		if (strcmp(o->kind, kind) != 0 || o->revision <= since)
			continue;
		fprintf(out, "%s{\"deleted\":%s,\"object\":", n++ ? "," : "",
			o->deleted ? "true" : "false");
		print_object(out, o);
		fputc('}', out);
	}
	return n;
}

static void print_list(FILE *out, const char *kind)
{
	int n = 0;

	fprintf(out, "{\"items\":[");
	for (int i = 0; i < store.n_objects; i++) {
		if (store.objects[i].deleted || strcmp(store.objects[i].kind, kind) != 0)
			continue;
		fprintf(out, "%s", n++ ? "," : "");
		print_object(out, &store.objects[i]);
	}
	fprintf(out, "],\"has_more\":false,\"current_rev\":%llu}",
		(unsigned long long)store.revision);
}

/* Waits for changes of @kind, for @wait_ms at most. */
static void watch(FILE *out, const char *kind, uint64_t since, unsigned long wait_ms)
{
	double end = stand_now() + (double)wait_ms / 1000;
	bool found = false;

	while (!found) {
		char *text = NULL;
		size_t len = 0;
		FILE *events = open_memstream(&text, &len);
		uint64_t revision;

		pthread_mutex_lock(&store.lock);
		found = print_events(events, kind, since) > 0 || stand_now() >= end;
		revision = store.revision;
		pthread_mutex_unlock(&store.lock);
		fclose(events);
		if (found)
			fprintf(out, "{\"events\":[%s],\"current_rev\":%llu}", text,
				(unsigned long long)revision);
		free(text);
		if (!found)
			stand_sleep(WATCH_STEP_S);
	}
}

/* Value of @key in the query @q; 0: none. */
static unsigned long query_number(const char *q, const char *key)
{
	const char *p = q ? strstr(q, key) : NULL;

	return p ? strtoul(p + strlen(key), NULL, 10) : 0;
}

static int get_one(FILE *out, const char *kind, const char *name)
{
	const struct object *o = find_object(kind, name);

	if (!o || o->deleted) {
		fprintf(out, "{}");
		return 404;
	}
	print_object(out, o);
	return 200;
}

/* Name in the metadata of a body, or that of the path. */
static void name_of(const char *path_name, const char *body, char *out, size_t size)
{
	const char *p = body ? strstr(body, "\"name\":\"") : NULL;

	if (*path_name || !p) {
		snprintf(out, size, "%s", path_name);
		return;
	}
	p += strlen("\"name\":\"");
	snprintf(out, size, "%.*s", (int)strcspn(p, "\""), p);
}

static int handle_call(FILE *out, const char *method, char *path, const char *body)
{
	char *query = strchr(path, '?');
	char kind[64] = "";
	char path_name[64] = "";
	char name[64];
	int status = 200;

	if (query)
		*query++ = '\0';
	if (sscanf(path, "/objects/%63[^/]/%63s", kind, path_name) < 1)
		return 400;
	if (query && strstr(query, "watch=")) {
		watch(out, kind, query_number(query, "watch="), query_number(query, "wait_ms="));
		return 200;
	}
	pthread_mutex_lock(&store.lock);
	if (strcmp(method, "GET") != 0) {
		name_of(path_name, body, name, sizeof(name));
		status = write_object(method, kind, name, body);
		fprintf(out, "{}");
	} else if (*path_name) {
		status = get_one(out, kind, path_name);
	} else {
		print_list(out, kind);
	}
	pthread_mutex_unlock(&store.lock);
	return status;
}

/* Reads the body that @head announces; returns an owned text, NULL: the input ended. */
static char *read_body(struct http_in *in, const char *head, size_t *len)
{
	char text[32];
	char *body;

	*len = stand_header(head, "Content-Length", text, sizeof(text)) ? strtoul(text, NULL, 10)
									: 0;
	body = calloc(1, *len + 1);
	if (body && http_in_body(in, *len, body))
		return body;
	free(body);
	return NULL;
}

static bool answer_call(int fd, const char *head, const char *body)
{
	char method[16];
	char path[512];
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	char start[160];
	int status = 400;
	bool ok;

	stand_sleep(STORE_DELAY_S);
	if (sscanf(head, "%15s %511s", method, path) == 2)
		status = handle_call(out, method, path, body);
	fclose(out);
	snprintf(start, sizeof(start),
		 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
		 status, len);
	ok = stand_send_text(fd, start) && stand_send(fd, text, len);
	free(text);
	return ok;
}

static void *serve_store(void *arg)
{
	struct http_in in;
	char *head;
	bool open = true;

	http_in_init(&in, (int)(intptr_t)arg);
	while (open && (head = http_in_head(&in))) {
		size_t len;
		char *body = read_body(&in, head, &len);

		open = body && answer_call(in.fd, head, body);
		free(body);
		free(head);
	}
	close(in.fd);
	http_in_free(&in);
	return NULL;
}

static void *accept_store(void *arg)
{
	for (;;) {
		int fd = accept(store.fd, NULL, NULL);

		if (fd >= 0)
			stand_thread(serve_store, (void *)(intptr_t)fd);
	}
	return NULL;
}

static bool answer_health(int fd, const struct replica *r)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nX-Turmerichinge-Instance-Id: %s\r\n"
		 "Content-Length: 0\r\n\r\n",
		 r->id);
	return stand_send_text(fd, text);
}

static bool answer_wrong_instance(int fd, const char *id)
{
	char text[320];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 421 Misdirected Request\r\nX-Turmerichinge-Request-Id: %s\r\n"
		 "X-Turmerichinge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		 id);
	return stand_send_text(fd, text);
}

static bool serve_request(struct http_in *in, struct replica *r, const char *head)
{
	struct stand_request q = { .process = r, .replica = r->id, .head = head };
	char expected[96];
	char *body = read_body(in, head, &q.body_len);
	bool open;

	if (!body)
		return false;
	q.body = body;
	sscanf(head, "%*s %255s", q.path);
	if (!stand_header(head, "X-Turmerichinge-Request-Id", q.id, sizeof(q.id)))
		q.id[0] = '\0';
	if (strcmp(q.path, "/health") == 0)
		open = answer_health(in->fd, r);
	else if (stand_header(head, "X-Turmerichinge-Expect-Instance", expected,
			      sizeof(expected)) &&
		 strcmp(expected, r->id) != 0)
		open = answer_wrong_instance(in->fd, q.id);
	else
		open = r->answer(in->fd, &q);
	free(body);
	return open;
}

/* Replaces @old in the list of connections by @fd; false: there is no @old. */
static bool replace_conn(struct replica *r, int old, int fd)
{
	bool found = false;

	pthread_mutex_lock(&r->lock);
	for (int i = 0; i < CONNS_MAX && !found && !(r->crashed && fd >= 0); i++) {
		found = r->conns[i] == old;
		if (found)
			r->conns[i] = fd;
	}
	pthread_mutex_unlock(&r->lock);
	return found;
}

void stand_set_restart(double s)
{
	restart_s = s;
}

bool stand_crash(const struct stand_request *q)
{
	struct replica *r = q->process;
	bool first;

	pthread_mutex_lock(&r->lock);
	first = !r->crashed;
	r->crashed = true;
	for (int i = 0; i < CONNS_MAX && first; i++) {
		if (r->conns[i] >= 0)
			shutdown(r->conns[i], SHUT_RDWR);
	}
	if (first)
		shutdown(r->fd, SHUT_RDWR);
	pthread_mutex_unlock(&r->lock);
	return first;
}

static void *serve_replica(void *arg)
{
	struct replica_conn *c = arg;
	struct http_in in;
	char *head;
	bool open = true;

	http_in_init(&in, c->fd);
	while (open && (head = http_in_head(&in))) {
		open = serve_request(&in, c->replica, head);
		free(head);
	}
	replace_conn(c->replica, in.fd, -1);
	close(in.fd);
	http_in_free(&in);
	free(c);
	return NULL;
}

static void publish(const struct replica *r)
{
	char spec[512];

	snprintf(spec, sizeof(spec),
		 "{\"service\":\"%s\",\"addr\":\"" ROUTER_IP ":%u\",\"zone\":\"zone-a\","
		 "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,"
		 "\"seq\":1,\"born\":%llu}",
		 r->service, r->port, (unsigned long long)r->born);
	pthread_mutex_lock(&store.lock);
	put_object("servers", r->id, spec);
	pthread_mutex_unlock(&store.lock);
}

/* After a crash it listens again at the same port, as a new process under the same id. */
static void restart(struct replica *r)
{
	close(r->fd);
	stand_sleep(restart_s);
	pthread_mutex_lock(&r->lock);
	r->fd = listen_at(r->port);
	r->crashed = false;
	r->born += (uint64_t)(restart_s * 1000);
	pthread_mutex_unlock(&r->lock);
	if (r->fd < 0)
		abort();
	publish(r);
}

static void *accept_replica(void *arg)
{
	struct replica *r = arg;

	for (;;) {
		int fd = accept(r->fd, NULL, NULL);
		struct replica_conn *c;

		if (fd < 0) {
			restart(r);
			continue;
		}
		if (!replace_conn(r, -1, fd)) {
			close(fd);
			continue;
		}
		c = calloc(1, sizeof(*c));
		if (!c)
			abort();
		c->replica = r;
		c->fd = fd;
		stand_thread(serve_replica, c);
	}
	return NULL;
}

void stand_replica(const char *id, const char *service, stand_answer_fn answer)
{
	struct replica *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	snprintf(r->id, sizeof(r->id), "%s", id);
	snprintf(r->service, sizeof(r->service), "%s", service);
	r->answer = answer;
	r->born = FIRST_BORN;
	pthread_mutex_init(&r->lock, NULL);
	for (int i = 0; i < CONNS_MAX; i++)
		r->conns[i] = -1;
	r->fd = listen_next(&r->port);
	publish(r);
	stand_thread(accept_replica, r);
}

void stand_config(const char *routes)
{
	char spec[CONFIG_BYTES];

	snprintf(spec, sizeof(spec),
		 "{\"version\":7,\"routes\":[%s],\"services\":["
		 "{\"name\":\"model-yard\",\"health_path\":\"/health\",\"max_conns\":370},"
		 "{\"name\":\"shop-desk\",\"health_path\":\"/health\",\"max_conns\":110}],"
		 "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
		 "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
		 "{\"name\":\"" STAND_TENANT "\",\"api_keys\":[\"" STAND_KEY "\"]},"
		 "{\"name\":\"other\",\"api_keys\":[\"key-of-other\"]}]}",
		 routes);
	pthread_mutex_lock(&store.lock);
	put_object("config", "main", spec);
	pthread_mutex_unlock(&store.lock);
}

static bool write_settings(void)
{
	const char *dir = getenv("SCRATCH");
	FILE *f;

	snprintf(router.settings, sizeof(router.settings), "%s/boot.conf", dir ? dir : "/tmp");
	f = fopen(router.settings, "w");
	if (!f)
		return false;
	fprintf(f,
		"node=" ROUTER_NAME "\nrole=router\nclass=front\nserves=front\nip=" ROUTER_IP
		"\nzone=zone-a\nregion=region\nzones.zone-a=region\nlisten.front=" ROUTER_IP
		":%u\nlisten.ready=" ROUTER_IP ":%u\nport_range=%u,%u\nbootstrap=true\n"
		"limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
		"limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
		"discovery=platform\nentry=vip\nbeat_ms=1200\nbounds.stable_ms=3000\n"
		"bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.lost_slack_ms=200\n"
		"bounds.config_apply_ms=2000\nbounds.retry_ratio=0.2\n"
		"bounds.retry_window_s=10\nbounds.retry_slack=56\nprovider.addr=" ROUTER_IP
		":%u\nprovider.form=objects\n",
		router.callers, router.ready, router.first,
		(unsigned int)(router.first + PORT_RANGE), store.port);
	return fclose(f) == 0;
}

static void run_router(void)
{
	char program[] = "target/bin/turmerichinge-platform";
	char option[] = "--metrics-port";
	char port[] = "9464";
	char *args[] = { program, option, port, NULL };
	struct rlimit limit = { ROUTER_FDS, ROUTER_FDS };
	const char *log = getenv("ROUTER_LOG");

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	setrlimit(RLIMIT_NOFILE, &limit);
	setenv("TURMERICHINGE_BOOT", router.settings, 1);
	if (freopen(log ? log : "/dev/null", "w", stdout))
		execv(program, args);
	_exit(127);
}

static bool is_ready(void)
{
	int fd = connect_to(router.ready);
	char *line = NULL;
	struct http_in in;
	bool ready;

	if (fd < 0)
		return false;
	http_in_init(&in, fd);
	if (stand_send_text(fd, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
		line = http_in_line(&in);
	ready = line && strstr(line, " 200 ");
	free(line);
	http_in_free(&in);
	close(fd);
	return ready;
}

bool stand_start(void)
{
	double end = stand_now() + READY_S;

	signal(SIGPIPE, SIG_IGN);
	store.fd = listen_next(&store.port);
	stand_thread(accept_store, NULL);
	router.callers = free_port();
	router.ready = free_port();
	router.first = free_port();
	for (int i = 0; i < PORT_RANGE; i++)
		free_port();
	if (!write_settings())
		return false;
	router.pid = fork();
	if (router.pid == 0)
		run_router();
	while (stand_now() < end) {
		if (is_ready())
			return true;
		stand_sleep(0.05);
	}
	stand_record("the router is not ready");
	return false;
}

bool stand_stop(void)
{
	double end = stand_now() + STOP_S;
	bool ended = waitpid(router.pid, NULL, WNOHANG) != 0;

	if (ended)
		return false;
	kill(router.pid, SIGTERM);
	while (!ended && stand_now() < end) {
		stand_sleep(0.05);
		ended = waitpid(router.pid, NULL, WNOHANG) != 0;
	}
	if (!ended) {
		kill(router.pid, SIGKILL);
		waitpid(router.pid, NULL, 0);
	}
	return true;
}
