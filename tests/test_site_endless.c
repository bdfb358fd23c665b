/*
 * The router instance on the platform: replicas that send bytes without end, in each part of a
 * response, until the instance closes the connection.
 */
#include <glib.h>
#include <string.h>

#include "process.h"
#include "site_case.h"

/* The smallest instances of the users' deployments have 160 MB. */
#define MAX_RSS_KIB (64U * 1024U)
#define N_CALLS	    8U /* at the faulty replica, at the same time */
#define DEADLINE_MS 2500U
/* A caller gets a final answer, or its connection is closed, so long after its deadline. */
#define SLACK_US     (1000 * G_TIME_SPAN_MILLISECOND)
#define SOUND_GAP_MS 100U

#define HEAD                                                                                       \
	"HTTP/1.1 200 X\r\nX-Turmerichinge-Request-Id: $\r\n"                                      \
	"X-Turmerichinge-Reply-Seal: seal-1\r\n"
#define STREAM	HEAD "Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

/* 256 bytes */
#define PAD_64	"pad-pad-pad-pad-pad-pad-pad-pad-pad-pad-pad-pad-pad-pad-pad-pad-"
#define PAD_256 PAD_64 PAD_64 PAD_64 PAD_64

struct flood {
	const char *name;
	const char *start; /* '$' stands for the request id */
	const char *piece; /* repeated until the connection is closed */
};

static const struct flood plain_floods[] = {
	{ "bytes of no protocol", "", "bytes of no answer " },
	{ "empty lines before the head", "", "\r\n\r\n\r\n\r\n" },
	{ "a status line", "HTTP/1.1 200 ", PAD_256 },
	{ "headers", "HTTP/1.1 200 X\r\n", "x: y\r\n" },
	{ "headers without a value", "HTTP/1.1 200 X\r\n", "a:\r\n" },
	{ "a header name", "HTTP/1.1 200 X\r\n", "name-name-name-" },
	{ "a header value", "HTTP/1.1 200 X\r\nx: ", PAD_256 },
	{ "a folded header", "HTTP/1.1 200 X\r\nx: y\r\n", " folded\r\n" },
	{ "interim responses", "", "HTTP/1.1 102 X\r\n\r\n" },
	{ "responses to other requests", "",
	  "HTTP/1.1 200 X\r\nX-Turmerichinge-Request-Id: other\r\nContent-Length: 0\r\n\r\n" },
	{ "a body with a length", HEAD "Content-Length: 1000000000000\r\n\r\n", PAD_256 },
	{ "a body without a length", HEAD "\r\n", PAD_256 },
	{ "an error's body", "HTTP/1.1 500 X\r\nX-Turmerichinge-Request-Id: $\r\n\r\n", PAD_256 },
	{ "large chunks", HEAD CHUNKED, "100\r\n" PAD_256 "\r\n" },
	{ "one chunk", HEAD CHUNKED "ffffffffff\r\n", PAD_256 },
	{ "chunks of a byte", HEAD CHUNKED, "1\r\nx\r\n" },
	{ "digits of a chunk's size", HEAD CHUNKED, "0000000000000000" },
	{ "a chunk's extension", HEAD CHUNKED "1;", PAD_256 },
	{ "trailers", HEAD CHUNKED "1\r\nx\r\n0\r\n", "x: y\r\n" },
	{ "a trailer", HEAD CHUNKED "1\r\nx\r\n0\r\nx: ", PAD_256 },
	{ "bytes after the response", HEAD "Content-Length: 1\r\n\r\nx", PAD_256 },
};

static const struct flood stream_floods[] = {
	{ "an event", STREAM "\r\n", "data: " PAD_64 "\n" },
	{ "a line", STREAM "\r\ndata: ", PAD_256 },
	{ "lines of an event", STREAM "\r\n", ":\n" },
	{ "empty lines", STREAM "\r\n", "\n\n\n\n" },
	{ "tiny comments", STREAM "\r\n", ":\n\n" },
	{ "tiny events", STREAM "\r\n", "id\n\n" },
	{ "tiny numbered events", STREAM "\r\n", "id:1\n\n" },
	{ "events", STREAM "\r\n", "data: " PAD_64 "\n\n" },
	{ "tiny comments in chunks", STREAM CHUNKED, "3\r\n:\n\n\r\n" },
	{ "chunks of a byte", STREAM CHUNKED, "1\r\n:\r\n" },
	{ "a chunk", STREAM CHUNKED "ffffffffff\r\n", ":\n\n" },
	{ "events without ids after one with an id", STREAM "\r\nid: 1\ndata: x\n\n",
	  "data: y\n\n" },
};

/* Not checked under AddressSanitizer, whose own memory would count. */
static void check_peak_rss(const struct site_instance *i)
{
#ifndef __SANITIZE_ADDRESS__
	g_assert_cmpuint(process_peak_kib(i->process), <, MAX_RSS_KIB);
#endif
}

static struct site_call *send_call(struct site *s, const char *path, const char *id)
{
	g_autofree char *headers = g_strdup_printf("X-Turmerichinge-Request-Id: %s\r\n"
						   "X-Turmerichinge-Deadline-Ms: %u\r\n" AUTH,
						   id, DEADLINE_MS);

	return site_send(case_instance(s, 0), "POST", path, headers, "{}");
}

static bool is_finished(const struct site_call *c)
{
	return c->done || c->closed;
}

/* Waits until the calls end, while a call to another service is served each SOUND_GAP_MS. */
static void wait_for_calls(struct site *s, struct site_call **calls, uint32_t round)
{
	gint64 end = g_get_monotonic_time() + DEADLINE_MS * 1000 + SLACK_US;
	uint32_t n = 0;

	for (;;) {
		g_autofree char *id = g_strdup_printf("sound-%u-%u", round, n++);
		struct site_call *sound = send_call(s, "/once/x", id);
		uint32_t left = 0;

		site_call_wait(sound);
		g_assert_cmpint(sound->status, ==, 200);
		site_call_free(sound);
		for (uint32_t i = 0; i < N_CALLS; i++)
			left += !is_finished(calls[i]);
		if (!left)
			break;
		g_assert_cmpint(g_get_monotonic_time(), <, end);
		site_run_for(SOUND_GAP_MS);
	}
}

/* Requests on @path whose only replica sends the floods, one after the other. */
static void play_floods(const char *path, const struct flood *floods, size_t n)
{
	struct site *s = case_site();
	struct site_replica *r = case_replica(s, "chat-0");

	site_replica_set_state(case_replica(s, "chat-1"), "draining");
	site_replica_set_state(case_replica(s, "chat-2"), "draining");
	site_run_for(1500);
	for (uint32_t k = 0; k < n; k++) {
		struct site_call *calls[N_CALLS];

		g_test_message("%s", floods[k].name);
		r->fault = SITE_FAULT_FLOOD;
		r->raw = floods[k].start;
		r->flood_piece = floods[k].piece;
		r->faults_left = 1000;
		for (uint32_t i = 0; i < N_CALLS; i++) {
			g_autofree char *id = g_strdup_printf("once-%u-%u", k, i);

			calls[i] = send_call(s, path, id);
		}
		wait_for_calls(s, calls, k);
		for (uint32_t i = 0; i < N_CALLS; i++)
			site_call_free(calls[i]);
		r->faults_left = 0;
		check_peak_rss(case_instance(s, 0));
		/* Until the replica, which was taken out, is back. */
		site_run_for(1500);
	}
	g_assert_cmpuint(s->duplicate_runs, ==, 0);
	site_free(s);
}

/* Guards against bytes without end that exhaust the memory of the process, or hold up its callers. */
static void test_plain(void)
{
	play_floods("/streamonce/x", plain_floods, G_N_ELEMENTS(plain_floods));
}

static void test_stream(void)
{
	play_floods("/streamonce/x", stream_floods, G_N_ELEMENTS(stream_floods));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/endless/plain", test_plain);
	g_test_add_func("/endless/stream", test_stream);
	return g_test_run();
}
