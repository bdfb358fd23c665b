#include <errno.h>
#include <glib.h>

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
	g_assert_cmpuint(events_drop_partial(&e), >, 0);
	events_feed(&e, second, sizeof(second) - 1, collect, got);
	g_assert_cmpstr(got->str, ==,
			"[id: 7\ndata: a\n\n][id: 8\ndata: b\n\n][id: 9\ndata: c\n\n]");
	g_assert_cmpuint(events_drop_partial(&e), ==, 0);
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
	g_test_add_func("/events/endless", test_unterminated);
	return g_test_run();
}
