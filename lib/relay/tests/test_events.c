#include <errno.h>
#include <glib.h>
#include <string.h>

#include "relay/events.h"

static void collect(void *arg, const char *data, size_t len)
{
	g_string_append_printf(arg, "[%.*s]", (int)len, data);
}

/* Guards against events that are split or merged when reads end at any byte of the stream. */
static void test_any_split(void)
{
	static const char text[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\n\r\n";

	for (size_t step = 1; step < sizeof(text); step++) {
		g_autoptr(GString) got = g_string_new(NULL);
		struct events e;

		events_init(&e);
		for (size_t i = 0; i < sizeof(text) - 1; i += step)
			g_assert_cmpint(events_feed(&e, text + i, MIN(step, sizeof(text) - 1 - i),
						    collect, got),
					==, 0);
		g_assert_cmpstr(got->str, ==,
				"[id: 1\ndata: a\n\n][id: 2\ndata: b\n\n][id: 3\r\ndata: c\n\r\n]");
		g_assert_cmpuint(e.n_forwarded, ==, 3);
		events_clear(&e);
	}
}

/* Guards against duplicate or truncated events when a stream resumes at another upstream. */
static void test_resumed_stream(void)
{
	g_autoptr(GString) got = g_string_new(NULL);
	struct events e;
	static const char first[] = "id: 7\ndata: a\n\nid: 8\ndata: b\n\nid: 9\nda";
	static const char second[] = "id: 8\ndata: b\n\nid: 9\ndata: c\n\n";

	events_init(&e);
	events_set_last_id(&e, "6");
	events_feed(&e, first, sizeof(first) - 1, collect, got);
	g_assert_cmpint(e.last_id, ==, 8);
	g_assert_true(events_is_within_event(&e));
	events_start_response(&e);
	events_feed(&e, second, sizeof(second) - 1, collect, got);
	g_assert_cmpstr(got->str, ==,
			"[id: 7\ndata: a\n\n][id: 8\ndata: b\n\n][id: 9\ndata: c\n\n]");
	g_assert_false(events_is_within_event(&e));
	events_clear(&e);
}

/* Feeds @text in reads of @step bytes; the events that came out, each in brackets. */
static char *events_of(struct events *e, const char *text, size_t len, size_t step)
{
	GString *got = g_string_new(NULL);

	for (size_t i = 0; i < len; i += step)
		g_assert_cmpint(events_feed(e, text + i, MIN(step, len - i), collect, got), ==, 0);
	return g_string_free(got, FALSE);
}

/* Guards against events that wait for other line ends, and against false ends within one. */
static void test_line_ends(void)
{
	static const struct {
		const char *text;
		const char *events;
		bool within;
	} cases[] = {
		{ "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
		  "[id: 1\rdata: a\r\r][id: 2\rdata: b\r\r]", false },
		{ "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		  "[id: 1\r\ndata: a\r\n\r\n][id: 2\r\ndata: b\r\n\r\n]", false },
		{ "id: 1\ndata: a\n\n\n\nid: 2\n\n\n", "[id: 1\ndata: a\n\n][\n\nid: 2\n\n]",
		  false },
		{ "id: 1\r\ndata: a\r\n\r", "", true },
		{ "id: 1\ndata: a\n", "", true },
		{ ": c\n\nid: 1\n\n: c", "[: c\n\n][id: 1\n\n]", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (size_t step = 1; step <= strlen(cases[i].text); step++) {
			struct events e;
			g_autofree char *got = NULL;

			events_init(&e);
			got = events_of(&e, cases[i].text, strlen(cases[i].text), step);
			g_assert_cmpstr(got, ==, cases[i].events);
			g_assert_true(events_is_within_event(&e) == cases[i].within);
			events_clear(&e);
		}
	}
}

/* Guards against an event that never ends because its data holds a zero byte. */
static void test_zero_byte(void)
{
	static const char text[] = "id: 1\ndata: \0\n\nid: 2\n\n";
	struct events e;

	events_init(&e);
	g_free(events_of(&e, text, sizeof(text) - 1, 3));
	g_assert_cmpuint(e.n_forwarded, ==, 2);
	g_assert_cmpint(e.last_id, ==, 2);
	events_clear(&e);
}

/* Guards against a byte order mark that hides the first id, or lands in the middle of a stream. */
static void test_byte_order_mark(void)
{
	static const char first[] = "\xEF\xBB\xBFid: 1\ndata: a\n\nid";
	static const char second[] = "\xEF\xBB\xBFid: 2\ndata: b\n\n";
	struct events e;
	g_autofree char *got = NULL;
	g_autofree char *rest = NULL;

	events_init(&e);
	got = events_of(&e, first, sizeof(first) - 1, 1);
	g_assert_cmpstr(got, ==, "[\xEF\xBB\xBFid: 1\ndata: a\n\n]");
	g_assert_cmpint(e.last_id, ==, 1);
	events_start_response(&e);
	rest = events_of(&e, second, sizeof(second) - 1, 1);
	g_assert_cmpstr(rest, ==, "[id: 2\ndata: b\n\n]");
	events_clear(&e);
}

/* Guards against a resume after an event without an id, which the next upstream would repeat. */
static void test_unnumbered(void)
{
	static const char text[] = "id: 1\ndata: a\n\ndata: b\n\n";
	static const char next[] = "id: 2\ndata: c\n\n: comment\n\n";
	struct events e;

	events_init(&e);
	g_free(events_of(&e, text, sizeof(text) - 1, 1));
	g_assert_false(events_can_resume(&e));
	g_free(events_of(&e, next, sizeof(next) - 1, 1));
	g_assert_true(events_can_resume(&e));
	events_clear(&e);
	/* The caller's own position says nothing about events without ids. */
	events_init(&e);
	events_set_last_id(&e, "5");
	g_free(events_of(&e, "data: b\n\n", 9, 9));
	g_assert_false(events_can_resume(&e));
	events_clear(&e);
}

/* Guards against a resumed stream that begins with an event of unknown position, as an error. */
static void test_unplaced(void)
{
	static const char replay[] = "id: 1\ndata: a\n\ndata: x\n\nid: 2\ndata: b\n\ndata: y\n\n";
	static const char error[] = "event: error\ndata: {}\n\n";
	g_autoptr(GString) got = g_string_new(NULL);
	g_autofree char *rest = NULL;
	struct events e;

	events_init(&e);
	g_free(events_of(&e, replay, 15, 15));
	g_assert_cmpint(e.last_id, ==, 1);
	events_start_response(&e);
	g_assert_cmpint(events_feed(&e, error, sizeof(error) - 1, collect, got), ==, -EPROTO);
	g_assert_cmpuint(got->len, ==, 0);
	events_start_response(&e);
	rest = events_of(&e, replay, sizeof(replay) - 1, 4);
	g_assert_cmpstr(rest, ==, "[id: 2\ndata: b\n\n][data: y\n\n]");
	events_clear(&e);
}

/* Guards against unbounded memory use by an event without an end. */
static void test_unterminated(void)
{
	g_autoptr(GString) got = g_string_new(NULL);
	g_autofree char *big = g_strnfill(1 << 20, 'x');
	struct events e;

	events_init(&e);
	g_assert_cmpint(events_feed(&e, big, 1 << 20, collect, got), ==, 0);
	g_assert_cmpint(events_feed(&e, big, 1 << 20, collect, got), ==, -E2BIG);
	events_clear(&e);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/events/any-split", test_any_split);
	g_test_add_func("/events/resume", test_resumed_stream);
	g_test_add_func("/events/line-ends", test_line_ends);
	g_test_add_func("/events/zero-byte", test_zero_byte);
	g_test_add_func("/events/byte-order-mark", test_byte_order_mark);
	g_test_add_func("/events/unnumbered", test_unnumbered);
	g_test_add_func("/events/unplaced", test_unplaced);
	g_test_add_func("/events/endless", test_unterminated);
	return g_test_run();
}
