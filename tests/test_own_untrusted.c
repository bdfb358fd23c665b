/*
 * An instance on its own interface and callers outside its limits. Each test checks that the process
 * lives, that its memory and its descriptors stay within what its settings state, and that an
 * ordinary request and the operators get an answer while the callers stay connected.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/base.h"
#include "harness.h"
#include "process.h"

#define KIB		1024U
#define MEMORY_BYTES	100663296U /* memory_bytes of the settings */
#define MAX_BODY_BYTES	2097152U /* max_body_bytes of the settings */
#define FEW_FDS		256U /* limit of descriptors of the instance */
#define SPARE_FDS	8U /* of FEW_FDS, not used at the end */
#define BODY_BYTES	1900000U /* of one caller, inside max_body_bytes */
#define CHUNK_BYTES	60000U
#define N_CALLERS	128U
#define N_TINY		8U /* callers with chunks of one byte */
#define TINY_CHUNKS	150000U
#define N_OVER		64U
#define OVER_BYTES	4194304U /* sent without an announcement, twice the limit */
#define ANNOUNCED_BYTES 67108864U
#define N_READERS	64U
#define ANSWER_BYTES	1000000U
#define N_MANY		400U
#define MAX_CALLERS	512U
#define TRICKLE_MS	500U /* between two chunks of one caller */
#define STEADY_BYTES	1024U /* of a chunk each TRICKLE_MS, twice the lowest rate */
#define STEADY_CHUNKS	14U
#define HEAD_LINES	14000U
#define LINE_BYTES	60000U
#define FULL_LINES	240U
#define FULL_LINE	120U
#define ORDINARY_LINE	8192U
#define EXCESS_LINE	49152U
#define SMALL_RCVBUF	4096
#define IDLE_ROUNDS	60U /* of ROUND_MS without progress until all callers have stopped */
#define ROUND_MS	50U
#define MAX_ROUNDS	4000U
/* Of the sanitizer's shadow memory, red zones and freed blocks that it keeps. */
#ifdef __SANITIZE_ADDRESS__
#define SANITIZER_BYTES (192U * 1024U * KIB)
#else
#define SANITIZER_BYTES 0U
#endif

struct crowd {
	struct harness *h;
	struct harness_proc *i;
	struct caller {
		int fd; /* -1: the instance has closed the connection */
		const GString *text; /* borrowed */
		gsize sent;
	} callers[MAX_CALLERS];
	uint32_t n;
	guint timer; /* of on_trickle(), until crowd_check() has checked; 0: none */
};

static struct crowd *crowd_new(uint32_t fds)
{
	static const char *const delay[] = { "--delay-ms", "1", NULL };
	struct crowd *c = g_new0(struct crowd, 1);

	c->h = harness_new();
	harness_add_upstream(c->h, "standin-engine", "e1", "yard", "a", NULL);
	harness_add_upstream(c->h, "standin-service", "d1", "desk", "a", delay);
	harness_write_conf(c->h);
	c->h->instance_settings = "memory_bytes=100663296\n";
	c->h->caller_settings = "max_body_bytes=2097152\n";
	c->h->instance_fds = fds;
	c->i = harness_start_instance(c->h, "a1", "a", NULL);
	harness_wait_ready(c->h, c->i);
	return c;
}

static void add_caller(struct crowd *c, const GString *text)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons(c->i->port) };
	struct caller *k = &c->callers[c->n++];
	int size = SMALL_RCVBUF;

	g_assert_cmpuint(c->n, <=, MAX_CALLERS);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	k->text = text;
	k->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(k->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (connect(k->fd, (struct sockaddr *)&sa, sizeof(sa)) < 0)
		g_assert_cmpint(errno, ==, EINPROGRESS);
}

static void add_callers(struct crowd *c, const GString *text, uint32_t n)
{
	for (uint32_t k = 0; k < n; k++)
		add_caller(c, text);
}

/* Sends what the connection accepts now; returns whether that was anything. */
static bool push(struct caller *k)
{
	gsize left = k->text->len - k->sent;
	ssize_t n;

	if (k->fd < 0 || left == 0)
		return false;
	n = send(k->fd, k->text->str + k->sent, MIN(left, CHUNK_BYTES), MSG_NOSIGNAL);
	if (n > 0)
		k->sent += (gsize)n;
	if (n < 0 && errno != EAGAIN && errno != ENOTCONN) {
		close(k->fd);
		k->fd = -1;
	}
	return n > 0;
}

/* Until all callers have sent their texts, or the instance reads no more of them. */
static void push_all(struct crowd *c)
{
	uint32_t idle = 0;

	for (uint32_t round = 0; round < MAX_ROUNDS && idle < IDLE_ROUNDS; round++) {
		bool moved = false;

		for (uint32_t k = 0; k < c->n; k++)
			moved |= push(&c->callers[k]);
		idle = moved ? 0 : idle + 1;
		if (!moved)
			harness_run_for(ROUND_MS);
	}
}

static bool has_exited(const struct harness_proc *p)
{
	return g_subprocess_get_identifier(p->process) == NULL;
}

static uint64_t peak_memory(const struct harness_proc *p)
{
	return process_peak_kib(p->process) * KIB;
}

static void check_ordinary_request(struct crowd *c)
{
	static const char *const alder[] = { "Authorization", "Bearer key-alder", NULL };
	static const char *const operator[] = { "Authorization", "Bearer secret", NULL };
	g_autofree char *body = harness_chat_body("yard", "an ordinary request", 8, false);
	struct harness_call *call =
		harness_call(c->h, c->i->port, "POST", "/v1/chat/completions", body, alder);
	struct harness_call *status =
		harness_call(c->h, c->i->operator_port, "GET", "/status", NULL, operator);

	g_assert_cmpint(call->status, ==, 200);
	g_assert_cmpint(status->status, ==, 200);
	harness_call_free(call);
	harness_call_free(status);
}

static void crowd_check(struct crowd *c, uint32_t max_fds)
{
	uint32_t n_open = 0;

	push_all(c);
	harness_run_for(ROUND_MS);
	g_assert_false(has_exited(c->i));
	for (uint32_t k = 0; k < c->n; k++)
		n_open += c->callers[k].fd >= 0;
	g_test_message("%u of %u callers open, peak memory %" G_GUINT64_FORMAT
		       " KiB, %u descriptors",
		       n_open, c->n, peak_memory(c->i) / KIB, process_count_fds(c->i->process));
	g_assert_cmpuint(peak_memory(c->i), <=, (uint64_t)MEMORY_BYTES + SANITIZER_BYTES);
	g_assert_cmpuint(process_count_fds(c->i->process), <=, max_fds);
	check_ordinary_request(c);
	g_assert_false(has_exited(c->i));
	g_assert_cmpuint(peak_memory(c->i), <=, (uint64_t)MEMORY_BYTES + SANITIZER_BYTES);
	g_assert_cmpuint(process_count_fds(c->i->process), <=, max_fds);
	if (c->timer)
		g_source_remove(c->timer);
	for (uint32_t k = 0; k < c->n; k++)
		if (c->callers[k].fd >= 0)
			close(c->callers[k].fd);
	harness_free(c->h);
	g_free(c);
}

static GString *new_head(const char *path, const char *field)
{
	GString *s = g_string_new(NULL);

	g_string_append_printf(s,
			       "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-alder\r\n"
			       "Content-Type: application/json\r\n%s\r\n\r\n",
			       path, field);
	return s;
}

static void append_fill(GString *s, gsize n)
{
	gsize len = s->len;

	g_string_set_size(s, len + n);
	memset(s->str + len, 'x', n);
}

/* A chunked body of @bytes in chunks of @chunk; the last one lacks its last byte. */
static GString *chunked_text(gsize bytes, gsize chunk)
{
	GString *s = new_head("/v1/chat/completions", "Transfer-Encoding: chunked");

	for (gsize n = 0; n < bytes; n += chunk) {
		g_string_append_printf(s, "%zx\r\n", chunk);
		append_fill(s, chunk);
		g_string_append(s, "\r\n");
	}
	g_string_truncate(s, s->len - 3);
	return s;
}

static GString *announced_text(gsize announced, gsize sent)
{
	g_autofree char *field = g_strdup_printf("Content-Length: %zu", announced);
	GString *s = new_head("/v1/chat/completions", field);

	append_fill(s, sent);
	return s;
}

/* A whole call; the stand-in's answer is as long as the request. */
static GString *long_answer_text(void)
{
	g_autofree char *field = g_strdup_printf("Content-Length: %u", ANSWER_BYTES);
	GString *s = new_head("/s/desk/echo", field);

	append_fill(s, ANSWER_BYTES);
	return s;
}

/* Guards against memory that grows with bodies in large chunks that never end. */
static void test_large_chunks(void)
{
	g_autoptr(GString) text = chunked_text(BODY_BYTES, CHUNK_BYTES);
	struct crowd *c = crowd_new(0);

	add_callers(c, text, N_CALLERS);
	crowd_check(c, N_CALLERS + N_MANY);
}

/* Guards against a buffer for each of many chunks of one byte. */
static void test_tiny_chunks(void)
{
	g_autoptr(GString) text = chunked_text(TINY_CHUNKS, 1);
	struct crowd *c = crowd_new(0);

	add_callers(c, text, N_TINY);
	crowd_check(c, N_CALLERS + N_MANY);
}

/* Guards against memory that grows with announced bodies that lack their last byte. */
static void test_announced_short(void)
{
	g_autoptr(GString) text = announced_text(BODY_BYTES, BODY_BYTES - 1);
	struct crowd *c = crowd_new(0);

	add_callers(c, text, N_CALLERS);
	crowd_check(c, N_CALLERS + N_MANY);
}

/* Guards against bodies that are read although they are announced over the limit. */
static void test_announced_over(void)
{
	g_autoptr(GString) text = announced_text(ANNOUNCED_BYTES, OVER_BYTES);
	struct crowd *c = crowd_new(0);

	add_callers(c, text, N_OVER);
	crowd_check(c, N_CALLERS + N_MANY);
}

/* Guards against bodies over the limit that are kept up to it. */
static void test_sent_over(void)
{
	g_autoptr(GString) text = chunked_text(OVER_BYTES, CHUNK_BYTES);
	struct crowd *c = crowd_new(0);

	add_callers(c, text, N_OVER);
	crowd_check(c, N_CALLERS + N_MANY);
}

/* Guards against callers that stay and take every descriptor. */
static void test_many(void)
{
	g_autoptr(GString) body = announced_text(BODY_BYTES, 2 * KIB);
	g_autoptr(GString) part_of_head = g_string_new("POST /v1/chat/completions HTTP/1.1\r\nX: ");
	g_autoptr(GString) nothing = g_string_new(NULL);
	const GString *texts[] = { body, part_of_head, nothing };
	struct crowd *c = crowd_new(FEW_FDS);

	for (uint32_t k = 0; k < N_MANY; k++)
		add_caller(c, texts[k % G_N_ELEMENTS(texts)]);
	crowd_check(c, FEW_FDS - SPARE_FDS);
}

/* Guards against memory that grows with answers that nobody reads. */
static void test_slow_readers(void)
{
	g_autoptr(GString) text = long_answer_text();
	struct crowd *c = crowd_new(0);

	add_callers(c, text, N_READERS);
	crowd_check(c, N_CALLERS + N_MANY);
}

/* Guards against a sum of what is bounded for each kind alone. */
static void test_mix(void)
{
	g_autoptr(GString) large = chunked_text(BODY_BYTES, CHUNK_BYTES);
	g_autoptr(GString) tiny = chunked_text(TINY_CHUNKS, 1);
	g_autoptr(GString) announced = announced_text(BODY_BYTES, BODY_BYTES - 1);
	g_autoptr(GString) over = chunked_text(OVER_BYTES, CHUNK_BYTES);
	g_autoptr(GString) answer = long_answer_text();
	const GString *texts[] = { large, announced, over, answer };
	struct crowd *c = crowd_new(FEW_FDS);

	add_callers(c, tiny, N_TINY);
	for (uint32_t k = 0; k < N_CALLERS; k++)
		add_caller(c, texts[k % G_N_ELEMENTS(texts)]);
	crowd_check(c, FEW_FDS - SPARE_FDS);
}

/* Guards against a bound that a single caller inside the limits meets. */
static void test_longest_body(void)
{
	static const char *const alder[] = { "Authorization", "Bearer key-alder", NULL };
	g_autofree char *body = g_strnfill(MAX_BODY_BYTES, 'x');
	struct crowd *c = crowd_new(0);
	struct harness_call *call =
		harness_call(c->h, c->i->port, "POST", "/s/desk/echo", body, alder);

	g_assert_cmpint(call->status, ==, 200);
	g_assert_nonnull(strstr(call->body->str, body));
	harness_call_free(call);
	crowd_check(c, N_CALLERS + N_MANY);
}

/* Another chunk of one byte from each caller. */
static gboolean on_trickle(gpointer arg)
{
	static const char chunk[] = "1\r\nx\r\n";
	struct crowd *c = arg;

	for (uint32_t k = 0; k < c->n; k++) {
		struct caller *caller = &c->callers[k];

		if (caller->fd < 0 ||
		    send(caller->fd, chunk, strlen(chunk), MSG_NOSIGNAL | MSG_DONTWAIT) >= 0 ||
		    errno == EAGAIN)
			continue;
		close(caller->fd);
		caller->fd = -1;
	}
	return G_SOURCE_CONTINUE;
}

/* Guards against bodies that keep their descriptors for as long as a byte comes now and then. */
static void test_trickles(void)
{
	g_autoptr(GString) text = new_head("/v1/chat/completions", "Transfer-Encoding: chunked");
	struct crowd *c = crowd_new(FEW_FDS);

	g_string_append(text, "1\r\nx\r\n");
	add_callers(c, text, N_MANY);
	c->timer = g_timeout_add(TRICKLE_MS, on_trickle, c);
	crowd_check(c, FEW_FDS - SPARE_FDS);
}

/* Guards against a slow but steady body that has to yield with those that trickle. */
static void test_steady_body(void)
{
	g_autoptr(GString) trickle = new_head("/v1/chat/completions", "Transfer-Encoding: chunked");
	g_autoptr(GString) steady = new_head("/s/desk/echo", "Transfer-Encoding: chunked");
	g_autoptr(GString) chunk = g_string_new(NULL);
	struct crowd *c = crowd_new(FEW_FDS);
	char answer[16] = "";
	int fd;

	g_string_append(trickle, "1\r\nx\r\n");
	g_string_append_printf(chunk, "%x\r\n", STEADY_BYTES);
	append_fill(chunk, STEADY_BYTES);
	g_string_append(chunk, "\r\n");
	add_caller(c, steady);
	harness_run_for(ROUND_MS);
	g_assert_true(push(&c->callers[0]));
	fd = c->callers[0].fd;
	add_callers(c, trickle, N_MANY);
	c->callers[0].fd = -1; /* takes no part in the trickle */
	c->timer = g_timeout_add(TRICKLE_MS, on_trickle, c);
	for (uint32_t k = 0; k < STEADY_CHUNKS; k++) {
		for (uint32_t n = 1; n < c->n; n++)
			push(&c->callers[n]);
		g_assert_cmpint(send(fd, chunk->str, chunk->len, MSG_NOSIGNAL), ==, chunk->len);
		harness_run_for(TRICKLE_MS);
	}
	g_assert_cmpint(send(fd, "0\r\n\r\n", 5, MSG_NOSIGNAL), ==, 5);
	harness_run_for(TRICKLE_MS);
	g_assert_cmpint(recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT), >, 0);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200"));
	close(fd);
	crowd_check(c, FEW_FDS - SPARE_FDS);
}

/* A head of @lines header lines, and a byte of a body without end. */
static GString *many_lines_text(uint32_t lines)
{
	GString *s = new_head("/v1/chat/completions", "Transfer-Encoding: chunked");

	g_string_truncate(s, s->len - strlen("\r\n"));
	for (uint32_t k = 0; k < lines; k++)
		g_string_append(s, "a:\r\n");
	g_string_append(s, "\r\n1\r\nx\r\n");
	return s;
}

/* Guards against memory that grows with header lines, which libsoup keeps as objects. */
static void test_many_lines(void)
{
	g_autoptr(GString) text = many_lines_text(HEAD_LINES);
	struct crowd *c = crowd_new(0);

	add_callers(c, text, N_MANY);
	crowd_check(c, 2 * N_MANY);
}

/* Guards against memory that grows with long header lines. */
static void test_long_lines(void)
{
	g_autofree char *value = g_strnfill(LINE_BYTES, 'x');
	g_autofree char *field = g_strdup_printf("Transfer-Encoding: chunked\r\nA: %s", value);
	g_autoptr(GString) text = new_head("/v1/chat/completions", field);
	struct crowd *c = crowd_new(0);

	g_string_append(text, "1\r\nx\r\n");
	add_callers(c, text, N_MANY);
	crowd_check(c, 2 * N_MANY);
}

/* Guards against a sum of heads inside the limit and of bodies. */
static void test_full_heads(void)
{
	g_autofree char *value = g_strnfill(FULL_LINE, 'x');
	g_autoptr(GString) field = g_string_new("Transfer-Encoding: chunked");
	g_autoptr(GString) text = NULL;
	struct crowd *c = crowd_new(0);

	for (uint32_t k = 0; k < FULL_LINES; k++)
		g_string_append_printf(field, "\r\nA: %s", value);
	text = new_head("/v1/chat/completions", field->str);
	g_string_append_printf(text, "%x\r\n", CHUNK_BYTES);
	append_fill(text, CHUNK_BYTES);
	g_string_append(text, "\r\n");
	add_callers(c, text, N_MANY);
	crowd_check(c, 2 * N_MANY);
}

/* Guards against a limit of heads that ordinary callers meet, and against one that is not stated. */
static void test_head_limit(void)
{
	g_autofree char *ordinary = g_strnfill(ORDINARY_LINE, 'x');
	g_autofree char *excess = g_strnfill(EXCESS_LINE, 'x');
	const char *headers[] = { "Authorization", "Bearer key-alder", "Cookie", ordinary, NULL };
	struct crowd *c = crowd_new(0);
	struct harness_call *call =
		harness_call(c->h, c->i->port, "POST", "/s/desk/echo", "{}", headers);

	g_assert_cmpint(call->status, ==, 200);
	harness_call_free(call);
	headers[3] = excess;
	call = harness_call(c->h, c->i->port, "POST", "/s/desk/echo", "{}", headers);
	g_assert_cmpint(call->status, ==, 431);
	harness_call_free(call);
	crowd_check(c, N_CALLERS + N_MANY);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* Without a bound, freed blocks that the sanitizer keeps exceed its allowance. */
	g_setenv("ASAN_OPTIONS", "quarantine_size_mb=16", FALSE);
	g_test_add_func("/own-untrusted/large-chunks", test_large_chunks);
	g_test_add_func("/own-untrusted/tiny-chunks", test_tiny_chunks);
	g_test_add_func("/own-untrusted/announced-short", test_announced_short);
	g_test_add_func("/own-untrusted/announced-over", test_announced_over);
	g_test_add_func("/own-untrusted/sent-over", test_sent_over);
	g_test_add_func("/own-untrusted/many", test_many);
	g_test_add_func("/own-untrusted/slow-readers", test_slow_readers);
	g_test_add_func("/own-untrusted/mix", test_mix);
	g_test_add_func("/own-untrusted/longest-body", test_longest_body);
	g_test_add_func("/own-untrusted/trickles", test_trickles);
	g_test_add_func("/own-untrusted/steady-body", test_steady_body);
	g_test_add_func("/own-untrusted/many-lines", test_many_lines);
	g_test_add_func("/own-untrusted/long-lines", test_long_lines);
	g_test_add_func("/own-untrusted/full-heads", test_full_heads);
	g_test_add_func("/own-untrusted/head-limit", test_head_limit);
	return g_test_run();
}
