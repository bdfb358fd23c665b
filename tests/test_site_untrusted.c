/*
 * The router instance on the platform and callers that nobody controls: bodies that stop short of
 * their end, are sent byte by byte or are far over the limit, callers that don't read and upstreams
 * that don't. The limits of memory, descriptors and body size are lowered, so that a small crowd
 * exceeds them. Each test checks only what doesn't depend on the speed of the machine.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process.h"
#include "site_case.h"

#define MEMORY_MB 64U
#define MAX_FDS	  512U
#define MAX_BODY  (2U * 1024U * 1024U)

/* Memory that AddressSanitizer needs: a quarantine, set to 8 MB, and its shadow and redzones. */
#ifdef __SANITIZE_ADDRESS__
#define SANITIZER_KIB (40U * 1024U)
#else
#define SANITIZER_KIB 0U
#endif

#define LARGE_CALLERS	60U
#define LARGE_CHUNK	60000U
#define LARGE_CHUNKS	32U
#define TINY_CALLERS	40U
#define TINY_BYTES	(256U * 1024U)
#define STAYING_CALLERS 400U
#define STAYING_BYTES	200000U
#define OVER_BYTES	(6U * 1024U * 1024U)
#define SLOW_READERS	160U
#define ANSWER_CHUNK	16384U
#define SLOW_UPSTREAM	40U
#define TRICKLING	600U
#define TRICKLE_MS	500U
#define MIX_EACH	20U
#define PIPELINED	3000000U
#define HEADER_CALLERS	400U
#define HEADER_LINES	7600U
#define SMALL_TRICKLING 700U
#define SMALL_FDS	2048U /* descriptors that let memory run short first */
#define SMALL_ANNOUNCED 28600U
#define SMALL_SENT	27000U
#define TINY_TRICKLING	120U
#define TINY_ANNOUNCED	3000U
#define TINY_SENT	500U
#define SMALL_AGE_MS	5000U
#define ORDINARY_CALLS	30U
#define STOP_ROUNDS	250U /* of 100 ms */
#define SLOW_HOLDING	600U
#define JAMMED		40U
#define HEAD_CALLERS	1900U
#define HEAD_LIMIT	32768U
#define HEAD_SENT	30000U
#define HEAD_TIMEOUT_MS 60000U
#define LARGE_ORDINARY	102400U
#define RECEIVE_BYTES	4096 /* receive buffer of a caller that doesn't read */
#define SEND_PIECE	65536U
#define ROUNDS_MAX	20000U
#define IDLE_ROUNDS_MAX 300U /* rounds without a byte sent: what is left isn't accepted */

/* A crowd of callers that send the same bytes, don't read, and stay. */
struct crowd {
	GByteArray *bytes; /* owned */
	GArray *members; /* owned, of struct crowd_member */
};

struct crowd_member {
	int fd; /* -1: the router has closed the connection */
	guint sent;
};

static struct site *untrusted_site_with(guint fds, guint header_bytes)
{
	struct site *s = site_new();
	struct site_instance *i;

	s->more_services = ",{\"name\":\"mixed\",\"health_path\":\"/health\",\"max_conns\":100}";
	s->max_body_bytes = MAX_BODY;
	if (header_bytes) {
		s->max_header_bytes = header_bytes;
		s->header_timeout_ms = HEAD_TIMEOUT_MS;
	}
	site_add_defaults(s);
	i = site_instance_add(s, "z-a");
	site_wait_ready(s);
	i->max_fds = fds;
	i->memory_mb = MEMORY_MB;
	site_instance_signal(i, SIGKILL);
	site_instance_wait_exit(i);
	site_instance_start(i);
	site_wait_ready(s);
	return s;
}

static struct site *untrusted_site_of(guint fds)
{
	return untrusted_site_with(fds, 0);
}

static struct site *untrusted_site(void)
{
	return untrusted_site_of(MAX_FDS);
}

static void add_text(GByteArray *b, const char *text)
{
	g_byte_array_append(b, (const guint8 *)text, (guint)strlen(text));
}

static void add_filler(GByteArray *b, guint n)
{
	guint from = b->len;

	g_byte_array_set_size(b, from + n);
	memset(b->data + from, 'x', n);
}

static GByteArray *head_of(const char *path, const char *framing)
{
	GByteArray *b = g_byte_array_new();
	g_autofree char *text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: " SITE_HOST "\r\n" AUTH
						"X-Turmerichinge-Deadline-Ms: 8000\r\n%s\r\n",
						path, framing);

	add_text(b, text);
	return b;
}

/* A chunked request of @n chunks of @size bytes, without its end. */
static GByteArray *chunked(guint n, guint size)
{
	GByteArray *b = head_of("/once/x", "Transfer-Encoding: chunked\r\n");
	g_autofree char *line = g_strdup_printf("%x\r\n", size);

	for (guint i = 0; i < n; i++) {
		add_text(b, line);
		add_filler(b, size);
		add_text(b, "\r\n");
	}
	return b;
}

/* A request that announces @length bytes, with the first @n of them. */
static GByteArray *announced(const char *path, guint length, guint n)
{
	g_autofree char *line = g_strdup_printf("Content-Length: %u\r\n", length);
	GByteArray *b = head_of(path, line);

	add_filler(b, n);
	return b;
}

static int connect_caller(uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(port) };
	int bytes = RECEIVE_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	g_assert_cmpint(fd, >=, 0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0)
		g_assert_cmpint(errno, ==, EINPROGRESS);
	return fd;
}

/* Takes over @bytes. */
static struct crowd *crowd_new(struct site *s, guint n, GByteArray *bytes)
{
	struct crowd *c = g_new0(struct crowd, 1);

	c->bytes = bytes;
	c->members = g_array_new(FALSE, TRUE, sizeof(struct crowd_member));
	for (guint k = 0; k < n; k++) {
		struct crowd_member m = { connect_caller(case_instance(s, 0)->port), 0 };

		g_array_append_val(c->members, m);
	}
	return c;
}

static void crowd_free(struct crowd *c)
{
	for (guint k = 0; k < c->members->len; k++) {
		struct crowd_member *m = &g_array_index(c->members, struct crowd_member, k);

		if (m->fd >= 0)
			close(m->fd);
	}
	g_array_unref(c->members);
	g_byte_array_unref(c->bytes);
	g_free(c);
}

/* Sends one piece of each member; returns whether a byte was sent, with @left set if more is due. */
static bool crowd_send(struct crowd *c, bool *left)
{
	bool moved = false;

	for (guint k = 0; k < c->members->len; k++) {
		struct crowd_member *m = &g_array_index(c->members, struct crowd_member, k);
		guint due = c->bytes->len - m->sent;
		ssize_t n;

		if (m->fd < 0 || !due)
			continue;
		n = send(m->fd, c->bytes->data + m->sent, MIN(due, SEND_PIECE),
			 MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n > 0) {
			m->sent += (guint)n;
			moved = true;
		} else if (n < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
			close(m->fd);
			m->fd = -1;
		}
		*left = *left || m->fd >= 0;
	}
	return moved;
}

/* Sends as much as the router accepts; the members stay connected. */
static void crowds_run(struct crowd **crowds, guint n)
{
	guint idle = 0;
	bool left = true;

	for (guint round = 0; left && idle < IDLE_ROUNDS_MAX && round < ROUNDS_MAX; round++) {
		bool moved = false;

		left = false;
		for (guint k = 0; k < n; k++)
			moved |= crowd_send(crowds[k], &left);
		idle = moved ? 0 : idle + 1;
		site_run_for(moved ? 1 : 10);
	}
	/* Lets the router read what its sockets hold. */
	site_run_for(500);
}

/* What must hold while the crowd is there, with an ordinary request at @path. */
static void check_with(struct site *s, const char *path, guint max_fds)
{
	struct site_instance *i = case_instance(s, 0);
	struct site_call *c;
	guint fds;
	uint64_t kib;

	g_assert_false(site_instance_has_exited(i));
	fds = process_count_fds(i->process);
	c = case_call(s, path, "ordinary-1", NULL);
	kib = process_peak_kib(i->process);
	g_test_message("peak %" G_GUINT64_FORMAT " KiB, %u descriptors, status %d", kib, fds,
		       c->status);
	g_assert_true(c->done);
	g_assert_cmpint(c->status, ==, 200);
	site_call_free(c);
	g_assert_cmpuint(kib, <=, MEMORY_MB * 1024U + SANITIZER_KIB);
	g_assert_cmpuint(fds, <=, max_fds);
	g_assert_false(site_instance_has_exited(i));
}

static void check(struct site *s, const char *path)
{
	check_with(s, path, MAX_FDS);
}

/* Takes over @bytes. */
static void play(guint n, GByteArray *bytes)
{
	struct site *s = untrusted_site();
	struct crowd *c = crowd_new(s, n, bytes);

	crowds_run(&c, 1);
	check(s, "/read/x");
	crowd_free(c);
	site_free(s);
}

/* Guards against memory that grows with the number of bodies that stop short of their end. */
static void test_large_chunks(void)
{
	play(LARGE_CALLERS, chunked(LARGE_CHUNKS, LARGE_CHUNK));
}

/* Guards against a cost of tiny chunks that is far above the bytes they hold. */
static void test_tiny_chunks(void)
{
	play(TINY_CALLERS, chunked(TINY_BYTES, 1));
}

/* Guards against memory for announced bodies whose last byte never comes. */
static void test_announced_short(void)
{
	play(LARGE_CALLERS, announced("/once/x", MAX_BODY, MAX_BODY - 1));
}

/* Guards against memory for bodies that are announced as far over the limit. */
static void test_over_announced(void)
{
	play(LARGE_CALLERS, announced("/once/x", 32 * MAX_BODY, OVER_BYTES));
}

/* Guards against memory for bodies over the limit that are just sent. */
static void test_over_sent(void)
{
	play(LARGE_CALLERS, chunked(OVER_BYTES / LARGE_CHUNK, LARGE_CHUNK));
}

/* Guards against many callers at once that each stay far inside the limit and don't end. */
static void test_many_stay(void)
{
	play(STAYING_CALLERS, chunked(STAYING_BYTES / 1000, 1000));
}

/* Answers of @service don't end: the stand-in sends more as the router reads. */
static void set_endless(struct site *s, const char *service, const char *piece)
{
	for (guint k = 0; k < s->replicas->len; k++) {
		struct site_replica *r = s->replicas->pdata[k];

		if (strcmp(r->service, service) != 0)
			continue;
		r->raw = "HTTP/1.1 200 X\r\nX-Turmerichinge-Request-Id: $\r\n"
			 "X-Turmerichinge-Reply-Seal: seal-1\r\nTransfer-Encoding: chunked\r\n\r\n";
		r->flood_piece = piece;
		r->fault = SITE_FAULT_FLOOD;
		r->faults_left = G_MAXUINT32;
	}
}

/* One chunk of a body; the caller frees it. */
static char *long_chunk(void)
{
	g_autofree char *filler = g_strnfill(ANSWER_CHUNK, 'x');

	return g_strdup_printf("%x\r\n%s\r\n", ANSWER_CHUNK, filler);
}

/* Guards against unread answers of many callers, each of which is bounded. */
static void test_slow_readers(void)
{
	struct site *s = untrusted_site();
	g_autofree char *piece = long_chunk();
	struct crowd *c = crowd_new(s, SLOW_READERS, announced("/once/x", 2, 2));

	set_endless(s, "shop", piece);
	crowds_run(&c, 1);
	site_run_for(2000);
	check(s, "/stream/x");
	crowd_free(c);
	site_free(s);
}

static void set_deaf(struct site *s, bool on)
{
	for (guint k = 0; k < s->replicas->len; k++) {
		struct site_replica *r = s->replicas->pdata[k];

		if (strcmp(r->service, "shop") == 0)
			site_replica_set_deaf(r, on);
	}
}

/* Guards against whole bodies that pile up for upstreams that don't read them. */
static void test_slow_upstream(void)
{
	struct site *s = untrusted_site();
	struct crowd *c = crowd_new(s, SLOW_UPSTREAM, announced("/once/x", MAX_BODY, MAX_BODY));

	set_deaf(s, true);
	crowds_run(&c, 1);
	check(s, "/stream/x");
	crowd_free(c);
	site_free(s);
}

/* Guards against forms that are bounded one by one, but not together. */
static void test_mix(void)
{
	struct site *s = untrusted_site();
	g_autofree char *piece = long_chunk();
	struct crowd *crowds[6];

	crowds[0] = crowd_new(s, MIX_EACH, chunked(LARGE_CHUNKS, LARGE_CHUNK));
	crowds[1] = crowd_new(s, MIX_EACH, chunked(TINY_BYTES / 2, 1));
	crowds[2] = crowd_new(s, MIX_EACH, announced("/once/x", MAX_BODY, MAX_BODY - 1));
	crowds[3] = crowd_new(s, MIX_EACH, chunked(OVER_BYTES / LARGE_CHUNK, LARGE_CHUNK));
	crowds[4] = crowd_new(s, MIX_EACH, announced("/mixed/x", 2, 2));
	crowds[5] = crowd_new(s, MIX_EACH, announced("/once/x", MAX_BODY, MAX_BODY));
	site_route(s, "mixed", "non_idempotent", "mixed",
		   ",\"timeout_ms\":8000,\"goal_ms\":200,\"max_attempts\":1");
	site_replica_add(s, "mixed-0", "mixed", "z-a");
	site_publish(s);
	site_run_for(500);
	set_endless(s, "mixed", piece);
	set_deaf(s, true);
	crowds_run(crowds, G_N_ELEMENTS(crowds));
	check(s, "/stream/x");
	for (guint k = 0; k < G_N_ELEMENTS(crowds); k++)
		crowd_free(crowds[k]);
	site_free(s);
}

/* Sends one chunk of one byte from each member. */
static gboolean on_trickle(gpointer arg)
{
	struct crowd *c = arg;

	for (guint k = 0; k < c->members->len; k++) {
		struct crowd_member *m = &g_array_index(c->members, struct crowd_member, k);

		if (m->fd >= 0 && send(m->fd, "1\r\nx\r\n", 6, MSG_NOSIGNAL | MSG_DONTWAIT) < 0 &&
		    errno != EAGAIN) {
			close(m->fd);
			m->fd = -1;
		}
	}
	return G_SOURCE_CONTINUE;
}

/* Guards against bodies fed byte by byte that keep all descriptors, so that nobody else is served. */
static void test_trickling(void)
{
	struct site *s = untrusted_site();
	struct crowd *c = crowd_new(s, TRICKLING, chunked(1, 1));
	guint timer = g_timeout_add(TRICKLE_MS, on_trickle, c);

	crowds_run(&c, 1);
	check(s, "/read/x");
	g_source_remove(timer);
	crowd_free(c);
	site_free(s);
}

static void add_texts(GByteArray *b, const char *text, guint n)
{
	for (guint k = 0; k < n; k++)
		add_text(b, text);
}

/* Guards against refusals that pile up for one caller that sends on and doesn't read. */
static void test_pipelined(void)
{
	GByteArray *b = g_byte_array_new();

	add_texts(b, "GET / HTTP/1.1\r\n\r\n", PIPELINED);
	play(1, b);
}

/* Guards against header lines that cost more than the bytes they count for. */
static void test_header_lines(void)
{
	GByteArray *b = head_of("/once/x", "Transfer-Encoding: chunked\r\n");

	g_byte_array_set_size(b, b->len - 2);
	add_texts(b, "a:\r\n", HEADER_LINES);
	add_text(b, "\r\n1\r\nx\r\n");
	play(HEADER_CALLERS, b);
}

/* Sends one byte of the body from each member. */
static gboolean on_byte(gpointer arg)
{
	struct crowd *c = arg;

	for (guint k = 0; k < c->members->len; k++) {
		struct crowd_member *m = &g_array_index(c->members, struct crowd_member, k);

		if (m->fd >= 0 && send(m->fd, "x", 1, MSG_NOSIGNAL | MSG_DONTWAIT) < 0 &&
		    errno != EAGAIN) {
			close(m->fd);
			m->fd = -1;
		}
	}
	return G_SOURCE_CONTINUE;
}

/* Members whose connection the router has not closed. */
static guint crowd_connected(const struct crowd *c)
{
	guint n = 0;

	for (guint k = 0; k < c->members->len; k++) {
		struct pollfd p = { g_array_index(c->members, struct crowd_member, k).fd, POLLRDHUP,
				    0 };

		n += p.fd >= 0 && poll(&p, 1, 0) == 0;
	}
	return n;
}

/* Ordinary requests are served while some of @crowd stay, rather than once all have left. */
static void call_often(struct site *s, const char *path, const struct crowd *crowd)
{
	for (guint k = 0; k < ORDINARY_CALLS; k++) {
		g_autofree char *id = g_strdup_printf("ordinary-%u", k);
		struct site_call *x = case_call(s, path, id, NULL);

		g_assert_true(x->done);
		g_assert_cmpint(x->status, ==, 200);
		site_call_free(x);
	}
	g_test_message("%u of %u callers are connected", crowd_connected(crowd),
		       crowd->members->len);
	g_assert_cmpuint(crowd_connected(crowd), >, 0);
}

/* An ordinary request with a body of @n bytes that must be served. */
static void call_large(struct site *s, guint n)
{
	g_autofree char *body = g_strnfill(n, 'x');
	struct site_call *c = site_request(case_instance(s, 0), "POST", "/once/x",
					   "X-Turmerichinge-Request-Id: large-1\r\n"
					   "X-Turmerichinge-Deadline-Ms: 8000\r\n" AUTH,
					   body);

	g_assert_true(c->done);
	g_test_message("%u bytes: status %d", n, c->status);
	g_assert_cmpint(c->status, ==, 200);
	site_call_free(c);
}

/* Guards against small bodies that use the whole budget and are fed a byte at a time. */
static void test_small_trickling(void)
{
	struct site *s = untrusted_site_of(SMALL_FDS);
	struct crowd *crowds[2];
	guint timers[2];

	crowds[0] =
		crowd_new(s, SMALL_TRICKLING, announced("/once/x", SMALL_ANNOUNCED, SMALL_SENT));
	timers[0] = g_timeout_add(TRICKLE_MS, on_byte, crowds[0]);
	crowds_run(crowds, 1);
	crowds[1] = crowd_new(s, TINY_TRICKLING, announced("/once/x", TINY_ANNOUNCED, TINY_SENT));
	timers[1] = g_timeout_add(TRICKLE_MS, on_byte, crowds[1]);
	crowds_run(crowds + 1, 1);
	site_run_for(SMALL_AGE_MS);
	call_large(s, LARGE_ORDINARY);
	call_often(s, "/read/x", crowds[0]);
	g_assert_cmpuint(process_peak_kib(case_instance(s, 0)->process), <=,
			 MEMORY_MB * 1024U + SANITIZER_KIB);
	for (guint k = 0; k < G_N_ELEMENTS(crowds); k++) {
		g_source_remove(timers[k]);
		crowd_free(crowds[k]);
	}
	site_free(s);
}

/*
 * Guards against callers that don't read and keep all descriptors, so that nobody else is served,
 * and against upstreams that count as failed because the router has no descriptor left.
 */
static void test_slow_holding(void)
{
	struct site *s = untrusted_site();
	g_autofree char *piece = long_chunk();
	g_autofree char *log = NULL;
	GByteArray *request = g_byte_array_new();
	struct crowd *c;

	site_route(s, "hold", "non_idempotent", "shop",
		   ",\"timeout_ms\":60000,\"goal_ms\":200,\"max_attempts\":1");
	site_publish(s);
	site_run_for(500);
	set_endless(s, "shop", piece);
	add_text(request, "POST /hold/x HTTP/1.1\r\nHost: " SITE_HOST "\r\n" AUTH
			  "X-Turmerichinge-Deadline-Ms: 60000\r\nContent-Length: 2\r\n\r\nxx");
	c = crowd_new(s, SLOW_HOLDING, request);
	crowds_run(&c, 1);
	site_run_for(2500);
	call_often(s, "/stream/x", c);
	check(s, "/stream/x");
	log = site_instance_log(case_instance(s, 0));
	g_assert_null(strstr(log, "path=lost"));
	g_assert_null(strstr(log, "cause=connect"));
	crowd_free(c);
	site_free(s);
}

/* Guards against one upstream whose requests use the whole budget, so that others get none. */
static void test_one_upstream(void)
{
	struct site *s = untrusted_site();
	GByteArray *request = g_byte_array_new();
	g_autofree char *head =
		g_strdup_printf("POST /jam/x HTTP/1.1\r\nHost: " SITE_HOST "\r\n" AUTH
				"X-Turmerichinge-Deadline-Ms: 60000\r\nContent-Length: %u\r\n\r\n",
				MAX_BODY);
	struct crowd *c;

	site_route(s, "jam", "non_idempotent", "mixed",
		   ",\"timeout_ms\":60000,\"goal_ms\":200,\"max_attempts\":1");
	site_replica_add(s, "mixed-0", "mixed", "z-a");
	site_publish(s);
	site_run_for(500);
	site_replica_set_deaf(s->replicas->pdata[s->replicas->len - 1], true);
	add_text(request, head);
	add_filler(request, MAX_BODY);
	c = crowd_new(s, JAMMED, request);
	crowds_run(&c, 1);
	call_large(s, MAX_BODY);
	check(s, "/stream/x");
	g_assert_cmpuint(crowd_connected(c), >, 0);
	crowd_free(c);
	site_free(s);
}

/* Heads for @path with a long header, which @end may complete. */
static void play_heads(const char *path, const char *framing, const char *end)
{
	struct site *s = untrusted_site_with(SMALL_FDS, HEAD_LIMIT);
	GByteArray *b = head_of(path, framing);
	struct crowd *c;

	g_byte_array_set_size(b, b->len - 2);
	add_text(b, "a: ");
	add_filler(b, HEAD_SENT);
	add_text(b, end);
	c = crowd_new(s, HEAD_CALLERS, b);
	crowds_run(&c, 1);
	check_with(s, "/read/x", SMALL_FDS);
	crowd_free(c);
	site_free(s);
}

/* Guards against memory for heads that are not complete, beyond what each is charged for. */
static void test_unfinished_heads(void)
{
	play_heads("/once/x", "Content-Length: 2\r\n", "");
}

/* Guards against memory of the last head that stays with each idle connection. */
static void test_idle_heads(void)
{
	play_heads("/nowhere/x", "Content-Length: 0\r\n", "\r\n\r\n");
}

/* Guards against a refusal at the end of a shutdown that doesn't say when to come again. */
static void test_stop(void)
{
	struct site *s = untrusted_site();
	struct crowd *c = crowd_new(s, 1, announced("/once/x", 2000, 1));
	int fd = g_array_index(c->members, struct crowd_member, 0).fd;
	guint timer = g_timeout_add(TRICKLE_MS, on_byte, c);
	char answer[2048] = "";

	crowds_run(&c, 1);
	site_instance_signal(case_instance(s, 0), SIGTERM);
	for (guint k = 0; k < STOP_ROUNDS; k++) {
		if (recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT) > 0)
			break;
		site_run_for(100);
	}
	g_assert_nonnull(strstr(answer, " 503 "));
	g_assert_nonnull(strstr(answer, "Retry-After: "));
	g_source_remove(timer);
	crowd_free(c);
	site_free(s);
}

/* Guards against a limit that a single request meets which is inside the configured limits. */
static void test_calm(void)
{
	struct site *s = untrusted_site();
	g_autofree char *body = g_strnfill(MAX_BODY, 'x');
	struct site_call *c;

	for (guint k = 0; k < 4; k++) {
		g_autofree char *headers =
			g_strdup_printf("X-Turmerichinge-Request-Id: once-%u\r\n"
					"X-Turmerichinge-Deadline-Ms: 8000\r\n" AUTH,
					k);

		c = site_request(case_instance(s, 0), "POST", "/once/x", headers, body);
		g_assert_true(c->done);
		g_assert_cmpint(c->status, ==, 200);
		site_call_free(c);
	}
	check(s, "/read/x");
	site_free(s);
}

int main(int argc, char **argv)
{
	const char *options = g_getenv("ASAN_OPTIONS");
	g_autofree char *with_quarantine = g_strdup_printf(
		"%s%squarantine_size_mb=8", options ? options : "", options ? ":" : "");

	g_setenv("ASAN_OPTIONS", with_quarantine, TRUE);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/untrusted/large-chunks", test_large_chunks);
	g_test_add_func("/untrusted/tiny-chunks", test_tiny_chunks);
	g_test_add_func("/untrusted/announced-short", test_announced_short);
	g_test_add_func("/untrusted/over-announced", test_over_announced);
	g_test_add_func("/untrusted/over-sent", test_over_sent);
	g_test_add_func("/untrusted/many-stay", test_many_stay);
	g_test_add_func("/untrusted/slow-readers", test_slow_readers);
	g_test_add_func("/untrusted/slow-upstream", test_slow_upstream);
	g_test_add_func("/untrusted/mix", test_mix);
	g_test_add_func("/untrusted/trickling", test_trickling);
	g_test_add_func("/untrusted/pipelined", test_pipelined);
	g_test_add_func("/untrusted/header-lines", test_header_lines);
	g_test_add_func("/untrusted/small-trickling", test_small_trickling);
	g_test_add_func("/untrusted/slow-holding", test_slow_holding);
	g_test_add_func("/untrusted/one-upstream", test_one_upstream);
	g_test_add_func("/untrusted/unfinished-heads", test_unfinished_heads);
	g_test_add_func("/untrusted/idle-heads", test_idle_heads);
	g_test_add_func("/untrusted/stop", test_stop);
	g_test_add_func("/untrusted/calm", test_calm);
	return g_test_run();
}
