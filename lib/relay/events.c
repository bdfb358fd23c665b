#include "relay/events.h"

#include <errno.h>
#include <string.h>

#define MAX_EVENT_BYTES (1U << 20) /* events of token streams are far smaller */

void events_init(struct events *e)
{
	*e = (struct events){ .partial = g_string_new(NULL) };
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

/* Length of the event at the start of @e->partial with its empty line, 0 if it is incomplete. */
static size_t complete_event_len(struct events *e)
{
	const char *s = e->partial->str;

	for (size_t i = e->scanned; i + 1 < e->partial->len; i++) {
		if (s[i] != '\n')
			continue;
		if (s[i + 1] == '\n')
			return i + 2;
		if (s[i + 1] == '\r' && i + 2 < e->partial->len && s[i + 2] == '\n')
			return i + 3;
	}
	/* The empty line may be split over two reads. */
	e->scanned = e->partial->len > 2 ? e->partial->len - 2 : 0;
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

	g_string_append_len(e->partial, data, (gssize)len);
	while ((n = complete_event_len(e)) > 0) {
		int64_t id = 0;
		bool has_id = event_id(e->partial->str, n, &id);

		e->scanned = 0;
		if (!has_id || !e->has_last_id || id > e->last_id) {
			if (has_id) {
				e->has_last_id = true;
				e->last_id = id;
			}
			e->n_forwarded++;
			fn(arg, e->partial->str, n);
		}
		g_string_erase(e->partial, 0, (gssize)n);
	}
	return e->partial->len > MAX_EVENT_BYTES ? -E2BIG : 0;
}

size_t events_drop_partial(struct events *e)
{
	size_t n = e->partial->len;

	g_string_truncate(e->partial, 0);
	e->scanned = 0;
	return n;
}
