/*
 * Driver of the case of endless bytes: flood RECORD. One of three engine replicas gets into trouble: the
 * bodies of its streams go on with bytes that are no answer, without end. Meanwhile callers send plain
 * requests to another service that last longer than the timeout of their route.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "record.h"
#include "tests/site_case.h"
#include "tests/site_store.h"

#define N_INSTANCES  3U
#define N_STREAMS    96U /* at the first instance at once; a replica has 64 slots */
#define N_EVENTS     120U /* of a sound stream, which lasts 12 s */
#define EVENT_GAP_MS 100U
#define SEND_BYTES   65536U /* of one send call of the replica in trouble */
#define HEAD_BYTES   4096U
#define WORK_MS	     2000U /* longer than timeout_ms */
#define TIMEOUT_US   (800 * 1000) /* timeout_ms of the plain route */
#define SLACK_US     (500 * 1000) /* that the rule adds */
#define PLAIN_US     (250 * 1000) /* between two plain requests */
#define N_PLAIN	     100U
#define CALM_US	     (3 * G_USEC_PER_SEC)
#define SOUND_US     (2 * G_USEC_PER_SEC) /* from the streams to the trouble */
#define FLOOD_US     (8 * G_USEC_PER_SEC)
#define LATE_MIN     8U /* requests without a final answer, and over a quarter, break the rule */
#define AFTER_US     (4 * G_USEC_PER_SEC)

struct plain {
	struct site_call *call; /* NULL: ended */
	char id[32];
	gint64 sent_at;
	gint64 took; /* until the answer or the close; 0: neither yet */
	int status;
};

struct run {
	struct site *site;
	int streams[N_STREAMS]; /* sockets of their callers */
	gint leave; /* the callers of the streams leave; atomic */
	gint n_flooded; /* streams at the replica in trouble; atomic */
	gint trouble; /* it is in trouble now; atomic */
	struct plain plain[N_PLAIN];
	guint n_plain;
	guint late; /* without a final answer SLACK_US after timeout_ms */
	gint64 slowest;
};

static void publish(struct site *s)
{
	g_autofree char *spec = g_strdup_printf(
		"{\"version\":%" G_GUINT64_FORMAT ",\"routes\":["
		"{\"name\":\"once\",\"host\":\"" SITE_HOST "\",\"path_prefix\":\"/once/\","
		"\"kind\":\"non_idempotent\",\"service\":\"shop\",\"priority\":2,\"public\":false,"
		"\"timeout_ms\":800,\"goal_ms\":100,\"max_attempts\":1},"
		"{\"name\":\"stream\",\"host\":\"" SITE_HOST "\",\"path_prefix\":\"/stream/\","
		"\"kind\":\"stream\",\"service\":\"chat\",\"priority\":0,\"public\":false,"
		"\"timeout_ms\":15000,\"goal_ms\":250,\"max_attempts\":2,\"resumable\":true,"
		"\"gap_aim_ms\":250}],\"services\":["
		"{\"name\":\"chat\",\"health_path\":\"/health\",\"max_conns\":370},"
		"{\"name\":\"shop\",\"health_path\":\"/health\",\"max_conns\":110}],"
		"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
		"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[%s]}",
		s->config_version += 2, s->keys->str);

	site_store_put(s->store, "config", "main", spec);
}

struct flooded {
	struct run *run;
	int fd;
};

static bool send_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

/* Value of the header @name in @head, up to the end of its line; the caller frees it. */
static char *header_value(const char *head, const char *name)
{
	const char *at = strstr(head, name);

	return at ? g_strndup(at + strlen(name), strcspn(at + strlen(name), "\r")) : g_strdup("");
}

/* Sound events, until the replica is in trouble. */
static bool send_events(const struct flooded *c, const char *id)
{
	for (guint i = 1; !g_atomic_int_get(&c->run->trouble); i++) {
		g_autofree char *event = g_strdup_printf("id: %u\ndata: %s-%u\n\n", i, id, i);

		if (!send_all(c->fd, event, strlen(event)))
			return false;
		g_usleep(EVENT_GAP_MS * 1000);
	}
	return true;
}

/* Answers a stream, and in trouble goes on with empty comments: no event, no output, no end. */
static gpointer flood(gpointer arg)
{
	g_autofree struct flooded *c = arg;
	char head[HEAD_BYTES + 1];
	ssize_t n = recv(c->fd, head, HEAD_BYTES, 0);
	g_autoptr(GString) comments = g_string_new(NULL);
	g_autofree char *id = NULL;
	g_autofree char *start = NULL;

	head[MAX(n, 0)] = '\0';
	id = header_value(head, "X-Turmerichinge-Request-Id: ");
	start = g_strdup_printf("HTTP/1.1 200 OK\r\nX-Turmerichinge-Request-Id: %s\r\n"
				"X-Turmerichinge-Reply-Seal: seal-1\r\n"
				"X-Turmerichinge-Server-Load: %d,0,64\r\n"
				"Content-Type: text/event-stream\r\n\r\n",
				id, g_atomic_int_add(&c->run->n_flooded, *id != '\0') + 1);
	while (comments->len < SEND_BYTES)
		g_string_append(comments, ":\n\n");
	if (*id) {
		bool open = send_all(c->fd, start, strlen(start)) && send_events(c, id);

		while (open)
			open = send_all(c->fd, comments->str, comments->len);
	}
	close(c->fd);
	return NULL;
}

static int listen_at(uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 || listen(fd, SOMAXCONN) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

struct listener {
	struct run *run;
	int fd;
};

static gpointer accept_streams(gpointer arg)
{
	struct listener *l = arg;
	int fd;

	while ((fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		struct flooded *c = g_new0(struct flooded, 1);

		c->run = l->run;
		c->fd = fd;
		g_thread_unref(g_thread_new("flood", flood, c));
	}
	return NULL;
}

/* The callers of the streams read and discard whatever comes. */
static gpointer read_streams(gpointer arg)
{
	struct run *r = arg;
	struct pollfd fds[N_STREAMS];

	for (guint i = 0; i < N_STREAMS; i++)
		fds[i] = (struct pollfd){ .fd = r->streams[i], .events = POLLIN };
	while (!g_atomic_int_get(&r->leave)) {
		poll(fds, N_STREAMS, 50);
		for (guint i = 0; i < N_STREAMS; i++) {
			/* MSG_TRUNC discards the bytes of a TCP socket without a copy. */
			if ((fds[i].revents & (POLLIN | POLLHUP | POLLERR)) &&
			    recv(fds[i].fd, NULL, 1U << 20, MSG_TRUNC | MSG_DONTWAIT) == 0)
				fds[i].fd = -1;
		}
	}
	for (guint i = 0; i < N_STREAMS; i++)
		close(r->streams[i]);
	return NULL;
}

static bool send_streams(struct run *r)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(case_instance(r->site, 0)->port) };

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (guint i = 0; i < N_STREAMS; i++) {
		g_autofree char *text = g_strdup_printf(
			"POST /stream/x HTTP/1.1\r\nHost: " SITE_HOST "\r\n" AUTH
			"X-Turmerichinge-Request-Id: stream-%u\r\n"
			"X-Turmerichinge-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\n{}",
			i);

		r->streams[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (connect(r->streams[i], (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
		    !send_all(r->streams[i], text, strlen(text)))
			return false;
	}
	return true;
}

static void send_plain(struct run *r)
{
	struct plain *p = &r->plain[r->n_plain];
	g_autofree char *headers = NULL;

	if (r->n_plain >= N_PLAIN)
		return;
	g_snprintf(p->id, sizeof(p->id), "once-%u", r->n_plain++);
	headers = g_strdup_printf("X-Turmerichinge-Request-Id: %s\r\n"
				  "X-Turmerichinge-Deadline-Ms: 1500\r\n" AUTH,
				  p->id);
	p->sent_at = g_get_monotonic_time();
	p->call = site_send(case_instance(r->site, 0), "POST", "/once/x", headers, "{}");
}

static void poll_plain(struct run *r)
{
	for (guint i = 0; i < r->n_plain; i++) {
		struct plain *p = &r->plain[i];

		if (!p->call || (!p->call->done && !p->call->closed))
			continue;
		p->took = g_get_monotonic_time() - p->sent_at;
		p->status = p->call->status;
		g_clear_pointer(&p->call, site_call_free);
	}
}

static void run_for(struct run *r, gint64 us, bool sends)
{
	gint64 end = g_get_monotonic_time() + us;
	gint64 next = 0;

	while (g_get_monotonic_time() < end) {
		if (sends && g_get_monotonic_time() >= next) {
			send_plain(r);
			next = g_get_monotonic_time() + PLAIN_US;
		}
		site_run_for(2);
		poll_plain(r);
	}
}

static void count(struct run *r)
{
	gint64 now = g_get_monotonic_time();

	for (guint i = 0; i < r->n_plain; i++) {
		const struct plain *p = &r->plain[i];
		gint64 took = p->took ? p->took : now - p->sent_at;

		r->slowest = MAX(r->slowest, took);
		r->late += took > TIMEOUT_US + SLACK_US;
		record_line("%s: sent at %.3f s, %s after %.3f s, status %d, runs %u", p->id,
			    (double)(p->sent_at - r->plain[0].sent_at) / G_USEC_PER_SEC,
			    p->took ? "ended" : "no answer", (double)took / G_USEC_PER_SEC,
			    p->status, case_runs(r->site, p->id));
	}
}

int main(int argc, char **argv)
{
	static struct run run;
	struct run *r = &run;
	static const char *const domains[N_INSTANCES] = { "z-a", "z-b", "z-c" };
	struct listener listener = { .run = r, .fd = -1 };
	GThread *callers;
	bool broken;

	if (argc != 2 || !record_open(argv[1]))
		return NOT_RUN;
	r->site = site_new();
	site_add_defaults(r->site);
	publish(r->site);
	for (guint i = 0; i < r->site->replicas->len; i++) {
		struct site_replica *p = r->site->replicas->pdata[i];

		p->work_ms = WORK_MS;
		p->n_events = N_EVENTS;
		p->event_gap_ms = EVENT_GAP_MS;
	}
	for (guint i = 0; i < N_INSTANCES; i++)
		site_instance_add(r->site, domains[i]);
	site_wait_ready(r->site);
	record_line("%u instances are ready", N_INSTANCES);
	if (has_trouble()) {
		struct site_replica *p = case_replica(r->site, "chat-0");

		site_replica_stop(p);
		close(p->held_fd);
		p->held_fd = -1;
		listener.fd = listen_at(p->port);
		if (listener.fd < 0)
			return NOT_RUN;
		g_thread_unref(g_thread_new("replica", accept_streams, &listener));
		record_line("chat-0 will be in trouble");
	}
	run_for(r, CALM_US, true);
	if (!send_streams(r))
		return NOT_RUN;
	callers = g_thread_new("callers", read_streams, r);
	record_line("%u streams sent to %s", N_STREAMS, case_instance(r->site, 0)->name);
	run_for(r, SOUND_US, true);
	g_atomic_int_set(&r->trouble, 1);
	if (has_trouble())
		record_line("chat-0 is in trouble");
	run_for(r, FLOOD_US, true);
	record_line("streams at the replica in trouble: %d", g_atomic_int_get(&r->n_flooded));
	g_atomic_int_set(&r->leave, 1);
	g_thread_join(callers);
	record_line("the callers of the streams have left");
	run_for(r, AFTER_US, false);
	count(r);
	record_line("requests that last longer than timeout_ms: %u; without a final answer half a "
		    "second after it: %u; slowest: %.3f s",
		    r->n_plain, r->late, (double)r->slowest / G_USEC_PER_SEC);
	broken = r->late >= LATE_MIN && 4 * r->late > r->n_plain;
	site_free(r->site);
	return record_verdict("CONFIG", broken);
}
