#include <fcntl.h>
#include <signal.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "base/base.h"
#include "trace/trace.h"

static int fds[2];

static char *read_all(void)
{
	GString *s = g_string_new(NULL);
	char buf[65536];
	ssize_t n;

	while ((n = read(fds[0], buf, sizeof(buf))) > 0)
		g_string_append_len(s, buf, n);
	return g_string_free(s, FALSE);
}

/* The read end is non-blocking; the write end blocks, as standard output usually does. */
static void open_pipe(void)
{
	g_assert_cmpint(pipe(fds), ==, 0);
	g_assert_cmpint(fcntl(fds[0], F_SETFL, O_NONBLOCK), ==, 0);
	trace_init("router-1", fds[1]);
}

static void close_pipe(void)
{
	trace_init("router-1", -1);
	close(fds[0]);
	close(fds[1]);
}

/* Guards against lines that can't be parsed, and values that break them. */
static void test_line(void)
{
	g_autofree char *text = NULL;
	char word[64];

	open_pipe();
	trace(PEER, trace_sanitize(word, sizeof(word), "a b\n\"c"), "lost");
	trace_flush();
	text = read_all();
	g_assert_true(g_str_has_prefix(text, "t="));
	g_assert_nonnull(strstr(text, " instance=router-1 event=peer addr=a_b__c state=lost\n"));
	g_assert_cmpstr(trace_sanitize(word, sizeof(word), NULL), ==, "-");
	g_assert_cmpstr(trace_sanitize(word, 4, "abcdef"), ==, "abc");
	close_pipe();
}

/* Guards against unlimited output, and against lines that are dropped without a report. */
static void test_limit(void)
{
	g_autofree char *text = NULL;
	uint64_t before;

	open_pipe();
	before = trace_dropped_count();
	for (int i = 0; i < 1000; i++)
		trace(PAUSED, i);
	g_assert_cmpuint(trace_dropped_count() - before, >=, 990);
	/* Dropped lines are reported once a second, with the next line. */
	g_usleep(1100000);
	trace(PAUSED, 7);
	trace_flush();
	text = read_all();
	g_assert_nonnull(strstr(text, "event=lines_dropped dropped_event=paused lines=9"));
	g_assert_nonnull(strstr(text, "event=paused stopped_ms=7\n"));
	close_pipe();
}

/* Guards against a process that blocks when standard output is not read. */
static void test_stalled_reader(void)
{
	int64_t written = 0;
	char word[256];

	open_pipe();
	memset(word, 'x', sizeof(word) - 1);
	word[sizeof(word) - 1] = '\0';
	/* Far more than the capacity of a pipe: a blocking write would never return. */
	for (int i = 0; i < 4000; i++) {
		trace(PLACED, word, 1U, word, "home", 1U, 1, 1, 1, word, 1, word, word);
		written++;
	}
	trace_flush();
	g_assert_cmpint(written, ==, 4000);
	close_pipe();
}

/* Guards against a process that ends when the reader closes standard output. */
static void test_broken_pipe(void)
{
	signal(SIGPIPE, SIG_IGN);
	open_pipe();
	close(fds[0]);
	trace(PEER, "gone", "lost");
	trace_flush();
	trace(PEER, "gone", "lost");
	trace_flush();
	/* For close_pipe(), which closes both. */
	fds[0] = dup(fds[1]);
	close_pipe();
}

/* Lines that earlier tests could not write. */
static void discard_buffer(void)
{
	size_t n;

	do {
		g_autofree char *text = NULL;

		trace_flush();
		text = read_all();
		n = strlen(text);
	} while (n > 0);
}

/* Guards against a process that hangs as nobody reads the warnings of libraries on standard error. */
static void test_library_messages(void)
{
	GLogLevelFlags fatal = g_log_set_always_fatal(G_LOG_FATAL_MASK);
	int stderr_copy = dup(STDERR_FILENO);
	g_autofree char *text = NULL;
	int full[2];

	g_assert_cmpint(pipe(full), ==, 0);
	g_assert_cmpint(fcntl(full[1], F_SETFL, O_NONBLOCK), ==, 0);
	while (write(full[1], "x", 1) == 1)
		;
	g_assert_cmpint(fcntl(full[1], F_SETFL, 0), ==, 0);
	open_pipe();
	discard_buffer();
	/* In place of that of GLib's tests. */
	g_log_set_default_handler(g_log_default_handler, NULL);
	trace_library_messages();
	dup2(full[1], STDERR_FILENO);
	for (int i = 0; i < 100; i++)
		g_log("some-library", G_LOG_LEVEL_WARNING, "warning %d", i);
	dup2(stderr_copy, STDERR_FILENO);
	g_log_set_always_fatal(fatal);
	trace_flush();
	text = read_all();
	g_assert_nonnull(strstr(text, "event=library domain=some-library text=warning_0\n"));
	g_assert_null(strstr(text, "text=warning_99\n"));
	close_pipe();
	close(full[0]);
	close(full[1]);
	close(stderr_copy);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/trace/line", test_line);
	g_test_add_func("/trace/limit", test_limit);
	g_test_add_func("/trace/stalled-reader", test_stalled_reader);
	g_test_add_func("/trace/broken-pipe", test_broken_pipe);
	g_test_add_func("/trace/library-messages", test_library_messages);
	return g_test_run();
}
