#include "relay/events.h"

#include <errno.h>
#include <string.h>

#define MAX_EVENT_BYTES (1U << 20) /* events of token streams are far smaller */

/* A byte order mark is allowed at the start of a stream only. */
#define BOM "\xEF\xBB\xBF"

void events_init(struct events *e)
{
	*e = (struct events){ .partial = g_string_new(NULL) };
	events_start_response(e);
}

void events_clear(struct events *e)
{
	if (e->partial)
		g_string_free(e->partial, TRUE);
	e->partial = NULL;
}

/* Accepts only decimal integers: other ids have no order and can't mark a position. */
static bool parse_id(const char *text, size_t len, int64_t *out)
{
	g_autofree char *s = g_strndup(text, len);

	return g_ascii_string_to_signed(g_strstrip(s), 10, INT64_MIN, INT64_MAX, out, NULL);
}

void events_set_last_id(struct events *e, const char *id)
{
	if (id && parse_id(id, strlen(id), &e->last_id))
		e->has_last_id = true;
}

/*
 * Length of the line end (LF, CR LF or CR) at @i, 0 if there is none or its second byte may still
 * arrive. After a line that ended with a single CR, a CR is complete by itself.
 */
static size_t line_end_len(const GString *s, size_t i, bool after_cr)
{
	if (s->str[i] == '\n')
		return 1;
	if (s->str[i] != '\r')
		return 0;
	if (i + 1 < s->len)
		return s->str[i + 1] == '\n' ? 2 : 1;
	return after_cr ? 1 : 0;
}

/* End of the line that starts at @i, without its line end; @s->len if there is none yet. */
static size_t find_line_end(struct events *e, size_t i)
{
	const GString *s = e->partial;
	size_t end = MAX(i, e->scanned);

	while (end < s->len && s->str[end] != '\n' && s->str[end] != '\r')
		end++;
	e->scanned = end;
	return end;
}

/*
 * Length of the event at the start of @e->partial with its empty line and with empty lines before
 * it, 0 if it is incomplete.
 */
static size_t complete_event_len(struct events *e)
{
	const GString *s = e->partial;

	for (;;) {
		size_t i = e->line;
		size_t end = find_line_end(e, i);
		bool after_cr = end == i && i > 0 && s->str[i - 1] == '\r';
		size_t n = end < s->len ? line_end_len(s, end, after_cr) : 0;

		if (n == 0)
			return 0;
		e->line = end + n;
		if (end > i)
			e->in_event = true;
		else if (e->in_event)
			return end + n;
	}
}

/* What the lines of an event say about its position in the stream. */
struct event_lines {
	bool has_id;
	bool has_fields; /* lines other than comments */
	int64_t id;
};

static void read_lines(const char *data, size_t len, struct event_lines *out)
{
	const char *end = data + len;

	*out = (struct event_lines){ 0 };
	while (data < end) {
		size_t n = 0;

		while (data + n < end && data[n] != '\n' && data[n] != '\r')
			n++;
		if (n > 0 && data[0] != ':')
			out->has_fields = true;
		if (n > 3 && memcmp(data, "id:", 3) == 0)
			out->has_id = parse_id(data + 3, n - 3, &out->id);
		data += n + 1;
	}
}

/*
 * Whether the caller gets the event; a negative error if that can't be told. In a resumed response
 * an event without an id belongs to the numbered event before it.
 */
static int is_new_event(struct events *e, const struct event_lines *l)
{
	if (l->has_id) {
		e->replayed = e->has_last_id && l->id <= e->last_id;
		e->placed = true;
		return !e->replayed;
	}
	if (!l->has_fields)
		return 1;
	return e->placed ? !e->replayed : -EPROTO;
}

/* Passes on the complete event of @n bytes at the start of @e->partial; returns 0 or -EPROTO. */
static int forward_event(struct events *e, size_t n, events_fn fn, void *arg)
{
	const char *data = e->partial->str;
	size_t bom = e->at_start && g_str_has_prefix(data, BOM) ? strlen(BOM) : 0;
	struct event_lines lines;
	int rc;

	e->at_start = false;
	read_lines(data + bom, n - bom, &lines);
	rc = is_new_event(e, &lines);
	if (rc <= 0)
		return rc;
	if (lines.has_id) {
		e->has_last_id = true;
		e->last_id = lines.id;
	}
	if (lines.has_fields) {
		e->has_unnumbered = !lines.has_id;
		e->n_forwarded++;
	}
	if (!e->resumed)
		bom = 0;
	fn(arg, data + bom, n - bom);
	return 0;
}

static void start_event(struct events *e)
{
	e->line = 0;
	e->scanned = 0;
	e->in_event = false;
}

int events_feed(struct events *e, const char *data, size_t len, events_fn fn, void *arg)
{
	size_t n;
	int rc;

	g_string_append_len(e->partial, data, (gssize)len);
	while ((n = complete_event_len(e)) > 0) {
		start_event(e);
		rc = forward_event(e, n, fn, arg);
		if (rc < 0)
			return rc;
		g_string_erase(e->partial, 0, (gssize)n);
	}
	return e->partial->len > MAX_EVENT_BYTES ? -E2BIG : 0;
}

bool events_is_within_event(const struct events *e)
{
	for (size_t i = 0; i < e->partial->len; i++) {
		if (e->partial->str[i] != '\n' && e->partial->str[i] != '\r')
			return true;
	}
	return false;
}

bool events_can_resume(const struct events *e)
{
	return e->has_last_id && !e->has_unnumbered;
}

void events_start_response(struct events *e)
{
	g_string_truncate(e->partial, 0);
	start_event(e);
	e->at_start = true;
	e->resumed = e->n_forwarded > 0;
	e->placed = !e->resumed;
	e->replayed = false;
}
