#include "base/log.h"

#include <errno.h>
#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include "base/ctr.h"

static enum log_level log_max_level = LOG_INFO;
static const char *log_name = "";

static const char *const level_names[] = { "error", "warn", "info", "debug" };

void log_set_level(enum log_level level)
{
	log_max_level = level;
}

void log_set_name(const char *name)
{
	log_name = name;
}

int log_level_parse(const char *name, enum log_level *level)
{
	for (guint i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (g_strcmp0(name, level_names[i]) == 0) {
			*level = (enum log_level)i;
			return 0;
		}
	}
	return -EINVAL;
}

/*
 * Drops a line that standard error doesn't accept now: a reader that stalls must not stop the process.
 * A writable pipe accepts PIPE_BUF bytes without blocking. One write() for each line, so that those of
 * several threads don't interleave.
 */
static void write_line(const char *line, size_t len)
{
	struct pollfd p = { .fd = STDERR_FILENO, .events = POLLOUT };

	if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT) ||
	    write(STDERR_FILENO, line, MIN(len, PIPE_BUF)) < 0)
		ctr_add(ctr_get("log_lines_dropped_total"), 1);
}

void log_line(enum log_level level, const char *prefix, const char *fmt, ...)
{
	g_autoptr(GDateTime) now = NULL;
	g_autofree char *stamp = NULL;
	g_autofree char *text = NULL;
	g_autofree char *line = NULL;
	va_list ap;

	if (level > log_max_level)
		return;
	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	now = g_date_time_new_now_utc();
	stamp = g_date_time_format(now, "%H:%M:%S.%f");
	line = g_strdup_printf("%s %s %s %s: %s\n", stamp, log_name, level_names[level], prefix,
			       text);
	write_line(line, strlen(line));
}

static GLogWriterOutput on_library_message(GLogLevelFlags level, const GLogField *fields, gsize n,
					   gpointer arg)
{
	/* The process ends: whoever started it should see why. */
	if (level & G_LOG_LEVEL_ERROR)
		return g_log_writer_standard_streams(level, fields, n, arg);
	for (gsize i = 0; level <= G_LOG_LEVEL_WARNING && i < n; i++) {
		if (g_str_equal(fields[i].key, "MESSAGE"))
			log_warn("library", "%s", (const char *)fields[i].value);
	}
	return G_LOG_WRITER_HANDLED;
}

void log_library_messages(void)
{
	g_log_set_writer_func(on_library_message, NULL, NULL);
}
