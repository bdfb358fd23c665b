/* Fixed-seed fuzzing of the parsers of data from callers, upstreams and the platform. */
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/base.h"
#include "eng/eng.h"
#include "front/front_priv.h"
#include "http/http.h"
#include "place/place.h"
#include "plat/plat_wire.h"

#define ROUNDS	       50000
#define MAX_MUTATIONS  5
#define CHUNKED_ROUNDS 5000
#define SEED	       20261

static const char *const load_corpus[] = {
	"17 3 250 1200 900 4 2 16 8000 50.0",
	"1 1 0 0 0 0 0 0 0 0",
	"18446744073709551615 18446744073709551615 1e3 1e3 1e3 999999 1 1 1 1",
};

static const char *const list_corpus[] = {
	"{\"version\": 7, \"objects\": [{\"key\": \"config/a\", \"version\": 3, \"value\": "
	"\"a2V5PTE=\"}, {\"key\": \"config/b\", \"version\": 7, \"value\": null}]}",
	"{\"version\": 0, \"objects\": []}",
};

static const char *const stream_corpus[] = {
	"data: {\"choices\":[]}\n\ndata: [DONE]\n\n",
	"data: a\ndata: b\n\n\n\n: comment\n\n",
};

#define CHUNKED_HEAD "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

static const char *const chunked_corpus[] = {
	CHUNKED_HEAD "5\r\nhello\r\n1\r\nx\r\n0\r\n\r\n",
	CHUNKED_HEAD
	"1\r\na\r\n1\r\nb\r\n1;e=f\r\nc\r\n0\r\nTrailer: t\r\n\r\nGET / HTTP/1.1\r\n\r\n",
	CHUNKED_HEAD "ffffffffffffffff\r\nshort",
	"POST /b HTTP/1.1\r\nContent-Length: 9\r\n\r\n8 bytes.",
};

static const char *const fragments[] = {
	"-1",	" ",   "\"",  "{",   "}",  "[", "]",	    ":",     ",",    "\n",
	"\n\n", "nan", "inf", "0x1", "\\", "=", "\xff\xfe", "1e400", "null", "99999999999999999999"
};

/* Returns a text of @corpus after up to MAX_MUTATIONS insertions, deletions or byte changes. */
static char *mutate(struct rng *rng, const char *const *corpus, size_t n_corpus)
{
	GString *s = g_string_new(corpus[rng_below(rng, n_corpus)]);
	uint64_t n = rng_below(rng, MAX_MUTATIONS + 1);

	for (uint64_t i = 0; i < n && s->len > 0; i++) {
		gssize at = (gssize)rng_below(rng, s->len);

		switch (rng_below(rng, 3)) {
		case 0:
			g_string_insert(s, at, fragments[rng_below(rng, G_N_ELEMENTS(fragments))]);
			break;
		case 1:
			g_string_erase(s, at, (gssize)rng_below(rng, s->len - (gsize)at) + 1);
			break;
		default:
			s->str[at] = (char)(rng_below(rng, 255) + 1);
			break;
		}
	}
	return g_string_free(s, FALSE);
}

/* Bounds no tighter than those of eng_parse_load(). */
static bool in_range(double v)
{
	return v >= 0 && v < 1e12;
}

/* Guards against placement by load reports with negative, infinite or overflowed numbers. */
static void test_load(void)
{
	struct rng rng;
	uint64_t valid = 0;

	rng_seed(&rng, SEED);
	for (int i = 0; i < ROUNDS; i++) {
		g_autofree char *text = mutate(&rng, load_corpus, G_N_ELEMENTS(load_corpus));
		g_autofree char *formatted = NULL;
		struct load_report r;
		struct load_report r2;

		if (eng_parse_load(text, &r) < 0)
			continue;
		valid++;
		g_assert_null(strchr(text, '-'));
		g_assert_cmpint(r.age, >=, 0);
		g_assert_true(in_range(r.queued_tokens) && in_range(r.running_tokens) &&
			      in_range(r.prefill_rate) && in_range(r.decode_rate));
		g_assert_cmpuint(r.running, <=, 1000000);
		g_assert_cmpuint(r.queued, <=, 1000000);
		g_assert_cmpuint(r.slots, <=, 1000000);
		formatted = eng_format_load(&r);
		g_assert_cmpint(eng_parse_load(formatted, &r2), ==, 0);
		g_assert_cmpuint(r2.epoch, ==, r.epoch);
		g_assert_cmpuint(r2.running, ==, r.running);
	}
	g_assert_cmpuint(valid, >, ROUNDS / 100);
}

/* Guards against an event count that depends on where the stream is split into chunks. */
static void test_events(void)
{
	struct rng rng;

	rng_seed(&rng, SEED);
	for (int i = 0; i < ROUNDS; i++) {
		g_autofree char *text = mutate(&rng, stream_corpus, G_N_ELEMENTS(stream_corpus));
		size_t len = strlen(text);
		/* bytes of complete events in the whole text, before the split and after these */
		size_t whole;
		size_t before;
		size_t after;
		uint32_t n = eng_count_events(text, len, &whole);
		size_t split = rng_below(&rng, len + 1);
		uint32_t first = eng_count_events(text, split, &before);
		uint32_t second = eng_count_events(text + before, len - before, &after);

		g_assert_cmpuint(whole, <=, len);
		g_assert_cmpuint(before, <=, split);
		g_assert_cmpuint(first + second, ==, n);
		g_assert_cmpuint(before + after, ==, whole);
	}
}

/* Guards against a platform response that crashes an instance or is partially applied. */
static void test_platform_list(void)
{
	struct rng rng;
	uint64_t valid = 0;

	rng_seed(&rng, SEED);
	for (int i = 0; i < ROUNDS; i++) {
		g_autofree char *text = mutate(&rng, list_corpus, G_N_ELEMENTS(list_corpus));
		struct plat_list list;
		struct plat_list list2;
		g_autofree char *formatted = NULL;

		if (plat_wire_parse_list(text, strlen(text), &list) < 0) {
			g_assert_null(list.objects);
			g_assert_cmpuint(list.n_objects, ==, 0);
			continue;
		}
		valid++;
		for (uint32_t k = 0; k < list.n_objects; k++)
			g_assert_nonnull(list.objects[k].key);
		formatted = plat_wire_format_list(list.objects, list.n_objects, list.version);
		g_assert_cmpint(plat_wire_parse_list(formatted, strlen(formatted), &list2), ==, 0);
		g_assert_cmpuint(list2.n_objects, ==, list.n_objects);
		g_assert_cmpuint(list2.version, ==, list.version);
		plat_wire_list_clear(&list);
		plat_wire_list_clear(&list2);
	}
	g_assert_cmpuint(valid, >, ROUNDS / 100);
}

/* Guards against a version parsed from a text that is not a number, quoted or unquoted. A text with
 * a '0' passes, because the number may have leading zeros. */
static void test_platform_version(void)
{
	static const char *const corpus[] = { "\"123\"", "123", "W/\"9\"" };
	struct rng rng;

	rng_seed(&rng, SEED);
	for (int i = 0; i < ROUNDS; i++) {
		g_autofree char *text = mutate(&rng, corpus, G_N_ELEMENTS(corpus));
		g_autofree char *plain = NULL;
		g_autofree char *quoted = NULL;
		uint64_t version;

		if (plat_wire_parse_version(text, &version) < 0)
			continue;
		plain = g_strdup_printf("%" G_GUINT64_FORMAT, version);
		quoted = g_strdup_printf("\"%s\"", plain);
		g_assert_true(strcmp(text, plain) == 0 || strcmp(text, quoted) == 0 ||
			      strchr(text, '0'));
	}
}

/* Guards against placement by a hint that was altered, expired, or made for another chat or with
 * another key. */
static void test_hint(void)
{
	struct rng rng;

	rng_seed(&rng, SEED);
	for (int i = 0; i < ROUNDS; i++) {
		uint64_t chat = rng_next(&rng);
		uint64_t upstream = rng_next(&rng);
		g_autofree char *token =
			place_hint_encode("fleet", chat, upstream, 1234, USEC_PER_SEC);
		const char *corpus[] = { token };
		g_autofree char *text = mutate(&rng, corpus, 1);
		uint64_t id = 0;
		double tokens = 0;
		int rc = place_hint_decode("fleet", text, chat, 0, &id, &tokens);

		if (strcmp(text, token) == 0) {
			g_assert_cmpint(rc, ==, 0);
			g_assert_cmpuint(id, ==, upstream);
			g_assert_cmpfloat(tokens, ==, 1234);
		} else {
			g_assert_cmpint(rc, ==, -EBADMSG);
		}
		g_assert_cmpint(place_hint_decode("fleet", token, chat + 1, 0, &id, &tokens), ==,
				-EBADMSG);
		g_assert_cmpint(place_hint_decode("other", token, chat, 0, &id, &tokens), ==,
				-EBADMSG);
		g_assert_cmpint(place_hint_decode("fleet", token, chat, USEC_PER_SEC, &id, &tokens),
				==, -ETIME);
	}
}

static const char *const body_corpus[] = {
	"{\"model\":\"m\",\"stream\":true,\"max_tokens\":5,\"messages\":[{\"role\":\"system\","
	"\"content\":\"s\"},{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":\"t\"}]}]}",
	"{\"model\":\"m\",\"prompt\":\"hello\",\"max_completion_tokens\":7}",
};

/* Guards against a request body that crashes an instance, or is accepted without a model or a token
 * limit. */
static void test_body(void)
{
	struct rng rng;
	uint64_t valid = 0;

	rng_seed(&rng, SEED);
	for (int i = 0; i < ROUNDS; i++) {
		g_autofree char *text = mutate(&rng, body_corpus, G_N_ELEMENTS(body_corpus));
		struct front_input in;
		const char *field = NULL;

		if (front_input_parse(text, strlen(text), &in, &field) == REFUSAL_NONE) {
			valid++;
			g_assert_nonnull(in.model);
			g_assert_true(in.max_tokens >= 1 && in.max_tokens <= 1e6);
			g_assert_true(in.prompt_tokens >= 0);
			g_assert_true(in.prefix_tokens <= in.prompt_tokens);
			g_assert_true(in.history_tokens <= in.prompt_tokens);
		} else {
			g_assert_nonnull(field);
		}
		front_input_clear(&in);
	}
	g_assert_cmpuint(valid, >, ROUNDS / 100);
}

/* What came through a connection in one round. */
struct chunked_round {
	struct http_conn *conn; /* owned; NULL: closed */
	size_t body;
};

static void on_chunked_head(void *owner, struct http_head *h)
{
}

static void on_chunked_body(void *owner, const char *data, size_t len)
{
	struct chunked_round *r = owner;

	r->body += len;
}

static void on_chunked_end(void *owner)
{
	struct chunked_round *r = owner;

	http_conn_read_next(r->conn);
}

static void on_chunked_closed(void *owner, enum http_close_reason why)
{
	struct chunked_round *r = owner;

	g_clear_pointer(&r->conn, http_conn_free);
}

static const struct http_ops chunked_ops = {
	.head = on_chunked_head,
	.body = on_chunked_body,
	.end = on_chunked_end,
	.closed = on_chunked_closed,
};

static void send_in_pieces(struct rng *rng, int fd, const char *text)
{
	size_t len = strlen(text);

	for (size_t at = 0; at < len;) {
		size_t piece = rng_below(rng, 40) + 1;
		size_t n = MIN(piece, len - at);

		if (send(fd, text + at, n, MSG_NOSIGNAL) < 0)
			return;
		at += n;
		while (g_main_context_iteration(NULL, FALSE))
			;
	}
}

/* Guards against a caller's chunks that make more of a body than was sent, or end the process. */
static void test_chunked(void)
{
	size_t total = 0;
	struct rng rng;

	rng_seed(&rng, SEED);
	for (int i = 0; i < CHUNKED_ROUNDS; i++) {
		g_autofree char *text = mutate(&rng, chunked_corpus, G_N_ELEMENTS(chunked_corpus));
		struct chunked_round r = { NULL, 0 };
		int fds[2];

		g_assert_cmpint(
			socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds), ==,
			0);
		r.conn = http_conn_accept(fds[0], &chunked_ops, &r);
		g_assert_nonnull(r.conn);
		send_in_pieces(&rng, fds[1], text);
		close(fds[1]);
		while (g_main_context_iteration(NULL, FALSE))
			;
		g_assert_cmpuint(r.body, <=, strlen(text));
		total += r.body;
		http_conn_free(r.conn);
	}
	g_assert_cmpuint(total, >, CHUNKED_ROUNDS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fuzz/load", test_load);
	g_test_add_func("/fuzz/events", test_events);
	g_test_add_func("/fuzz/platform-list", test_platform_list);
	g_test_add_func("/fuzz/platform-version", test_platform_version);
	g_test_add_func("/fuzz/hint", test_hint);
	g_test_add_func("/fuzz/body", test_body);
	g_test_add_func("/fuzz/chunked", test_chunked);
	return g_test_run();
}
