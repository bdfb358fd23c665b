#include "base/log.h"

#include <errno.h>
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>

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

void log_line(enum log_level level, const char *prefix, const char *fmt, ...)
{
	g_autoptr(GDateTime) now = NULL;
	g_autofree char *stamp = NULL;
	g_autofree char *text = NULL;
	va_list ap;

	if (level > log_max_level)
		return;
	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	now = g_date_time_new_now_utc();
	stamp = g_date_time_format(now, "%H:%M:%S.%f");
	/* One fprintf() call, so that lines of several threads don't interleave. */
	fprintf(stderr, "%s %s %s %s: %s\n", stamp, log_name, level_names[level], prefix, text);
}
