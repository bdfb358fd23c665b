#include "relay/events.h"

#include <errno.h>
#include <string.h>

#define EVENT_BYTES_MAX (1U << 20) /* far above any event of a token stream */

void events_init(struct events *e)
{
	*e = (struct events){ .rest = g_string_new(NULL) };
}

void events_clear(struct events *e)
{
	if (e->rest)
		g_string_free(e->rest, TRUE);
	e->rest = NULL;
}

/* The whole text has to be a number; others are no position that can be compared. */
static bool parse_id(const char *text, size_t len, int64_t *out)
{
	g_autofree char *s = g_strndup(text, len);

	return g_ascii_string_to_signed(g_strstrip(s), 10, INT64_MIN, INT64_MAX, out, NULL);
}

void events_set_last_id(struct events *e, const char *id)
{
	if (id && parse_id(id, strlen(id), &e->last))
		e->has_last = true;
}

/* Length of the event at the start of @e->rest with its empty line, 0 if it is not whole yet. */
static size_t whole_event(struct events *e)
{
	const char *s = e->rest->str;

	for (size_t i = e->scanned; i + 1 < e->rest->len; i++) {
		if (s[i] != '\n')
			continue;
		if (s[i + 1] == '\n')
			return i + 2;
		if (s[i + 1] == '\r' && i + 2 < e->rest->len && s[i + 2] == '\n')
			return i + 3;
	}
	/* The empty line may be split over two reads. */
	e->scanned = e->rest->len > 2 ? e->rest->len - 2 : 0;
	return 0;
}

static bool event_id(const char *data, size_t len, int64_t *id)
{
	const char *end = data + len;

	while (data < end) {
		const char *eol = memchr(data, '\n', (size_t)(end - data));
		size_t n = eol ? (size_t)(eol - data) : (size_t)(end - data);

		if (n > 3 && memcmp(data, "id:", 3) == 0)
			return parse_id(data + 3, n - 3, id);
		data += n + 1;
	}
	return false;
}

int events_feed(struct events *e, const char *data, size_t len, events_fn fn, void *arg)
{
	size_t n;

	g_string_append_len(e->rest, data, (gssize)len);
	while ((n = whole_event(e)) > 0) {
		int64_t id = 0;
		bool has_id = event_id(e->rest->str, n, &id);

		e->scanned = 0;
		if (!has_id || !e->has_last || id > e->last) {
			if (has_id) {
				e->has_last = true;
				e->last = id;
			}
			e->n_forwarded++;
			fn(arg, e->rest->str, n);
		}
		g_string_erase(e->rest, 0, (gssize)n);
	}
	return e->rest->len > EVENT_BYTES_MAX ? -E2BIG : 0;
}

size_t events_drop_partial(struct events *e)
{
	size_t n = e->rest->len;

	g_string_truncate(e->rest, 0);
	e->scanned = 0;
	return n;
}
