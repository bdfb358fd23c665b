#include "record.h"

#include <stdarg.h>
#include <stdio.h>

static FILE *out;
static gint64 opened_at;

gboolean record_open(const char *path)
{
	out = fopen(path, "w");
	opened_at = g_get_monotonic_time();
	return out != NULL;
}

void record_line(const char *format, ...)
{
	va_list ap;

	fprintf(out, "%8.3f  ", (double)(g_get_monotonic_time() - opened_at) / G_USEC_PER_SEC);
	va_start(ap, format);
	vfprintf(out, format, ap);
	va_end(ap);
	fputc('\n', out);
	fflush(out);
}

int record_verdict(const char *rule, gboolean broken)
{
	record_line("%s %s", rule, broken ? "broken" : "held");
	fclose(out);
	return broken ? RULE_BROKEN : RULE_HELD;
}

gboolean has_trouble(void)
{
	return g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
}
