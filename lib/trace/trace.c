#include "trace/trace.h"

#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/base.h"

#define BUFFER_BYTES	    262144U /* about one second of lines at the busiest instance */
#define LINE_BYTES	    1024 /* fields of a line; what is longer is truncated */
#define FLUSH_BYTES	    4096U /* flushes immediately from this size on */
#define FLUSH_MS	    50U /* batches lines to save system calls */
#define DROP_REPORT_SECONDS 1

struct kind_state {
	double tokens; /* lines that may be written now */
	int64_t refilled_at; /* monotonic, microseconds */
	uint32_t dropped; /* since the last report */
	struct ctr *count;
};

static const char *const kind_names[] = {
#define X(name, event, rate, fields) event,
	TRACE_TABLE(X)
#undef X
};

static const double kind_rates[] = {
#define X(name, event, rate, fields) rate,
	TRACE_TABLE(X)
#undef X
};

/* One per process, like standard output itself. */
static struct {
	struct kind_state kinds[TRACE_COUNT];
	GString *buffer;
	char *instance;
	int fd; /* -1: no output */
	guint flush_timer;
	int64_t reported_at; /* of dropped lines; monotonic, microseconds */
	uint64_t dropped; /* since the start */
	double sampling; /* fraction, 0 to 1 */
} log_state = { .fd = -1, .sampling = 1 };

void trace_init(const char *instance, int fd)
{
	g_free(log_state.instance);
	log_state.instance = g_strdup(instance);
	log_state.fd = fd;
	if (!log_state.buffer)
		log_state.buffer = g_string_sized_new(FLUSH_BYTES);
	for (int i = 0; i < TRACE_COUNT; i++) {
		g_autofree char *name =
			g_strdup_printf("events_total{event=\"%s\"}", kind_names[i]);

		log_state.kinds[i].count = ctr_get(name);
		log_state.kinds[i].tokens = kind_rates[i];
	}
}

void trace_set_sampling(double fraction)
{
	log_state.sampling = fraction;
}

bool trace_is_sampled(const char *id)
{
	if (log_state.sampling >= 1)
		return true;
	/* The upper 53 bits of the hash as a fraction of 1. */
	return (double)(hash_str(id) >> 11) * 0x1.0p-53 < log_state.sampling;
}

uint64_t trace_dropped_count(void)
{
	return log_state.dropped;
}

void trace_flush(void)
{
	GString *b = log_state.buffer;
	size_t done = 0;

	if (!b || log_state.fd < 0)
		return;
	/* A writable pipe accepts PIPE_BUF bytes without blocking, even without O_NONBLOCK. */
	while (done < b->len) {
		struct pollfd p = { .fd = log_state.fd, .events = POLLOUT };
		ssize_t n;

		if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT))
			break;
		n = write(log_state.fd, b->str + done, MIN(b->len - done, PIPE_BUF));
		if (n <= 0)
			break;
		done += (size_t)n;
	}
	g_string_erase(b, 0, (gssize)done);
}

static void append_line(enum trace_kind kind, const char *text)
{
	g_string_append_printf(
		log_state.buffer,
		"t=%" G_GINT64_FORMAT " up=%" G_GINT64_FORMAT " instance=%s event=%s %s\n",
		g_get_real_time() / USEC_PER_MSEC, g_get_monotonic_time() / USEC_PER_MSEC,
		log_state.instance, kind_names[kind], text);
}

static void report_dropped(int64_t now)
{
	if (now - log_state.reported_at < DROP_REPORT_SECONDS * USEC_PER_SEC)
		return;
	log_state.reported_at = now;
	for (int i = 0; i < TRACE_COUNT; i++) {
		struct kind_state *k = &log_state.kinds[i];
		char text[128];

		if (!k->dropped)
			continue;
		snprintf(text, sizeof(text), "dropped_event=%s lines=%u", kind_names[i],
			 k->dropped);
		k->dropped = 0;
		append_line(TRACE_LINES_DROPPED, text);
	}
}

static gboolean on_flush_timer(gpointer arg)
{
	log_state.flush_timer = 0;
	trace_flush();
	return G_SOURCE_REMOVE;
}

static bool take_token(struct kind_state *k, double rate, int64_t now)
{
	k->tokens += (double)(now - k->refilled_at) * rate / USEC_PER_SEC;
	k->tokens = MIN(k->tokens, rate);
	k->refilled_at = now;
	if (k->tokens < 1)
		return false;
	k->tokens -= 1;
	return true;
}

void trace_line(enum trace_kind kind, const char *fields, ...)
{
	struct kind_state *k = &log_state.kinds[kind];
	int64_t now = g_get_monotonic_time();
	char text[LINE_BYTES];
	va_list ap;

	if (k->count)
		ctr_add(k->count, 1);
	if (log_state.fd < 0)
		return;
	report_dropped(now);
	if (!take_token(k, kind_rates[kind], now) ||
	    log_state.buffer->len + LINE_BYTES > BUFFER_BYTES) {
		k->dropped++;
		log_state.dropped++;
		return;
	}
	va_start(ap, fields);
	vsnprintf(text, sizeof(text), fields, ap);
	va_end(ap);
	append_line(kind, text);
	if (log_state.buffer->len >= FLUSH_BYTES)
		trace_flush();
	else if (!log_state.flush_timer)
		log_state.flush_timer = g_timeout_add(FLUSH_MS, on_flush_timer, NULL);
}

const char *trace_sanitize(char *buf, size_t size, const char *text)
{
	size_t n = 0;

	if (!text || !*text)
		return "-";
	for (; text[n] && n + 1 < size; n++)
		buf[n] = (text[n] <= ' ' || text[n] == '"' || text[n] == 0x7f) ? '_' : text[n];
	buf[n] = '\0';
	return buf;
}

static GLogWriterOutput on_library_message(GLogLevelFlags level, const GLogField *fields, gsize n,
					   gpointer arg)
{
	const char *domain = NULL;
	const char *message = NULL;
	char name[32];
	char text[256];

	/* The process ends: whoever started it should see why. */
	if (level & G_LOG_LEVEL_ERROR)
		return g_log_writer_standard_streams(level, fields, n, arg);
	if (level > G_LOG_LEVEL_WARNING)
		return G_LOG_WRITER_HANDLED;
	for (gsize i = 0; i < n; i++) {
		if (g_str_equal(fields[i].key, "GLIB_DOMAIN"))
			domain = fields[i].value;
		else if (g_str_equal(fields[i].key, "MESSAGE"))
			message = fields[i].value;
	}
	trace(LIBRARY, trace_sanitize(name, sizeof(name), domain),
	      trace_sanitize(text, sizeof(text), message));
	return G_LOG_WRITER_HANDLED;
}

void trace_library_messages(void)
{
	g_log_set_writer_func(on_library_message, NULL, NULL);
}
