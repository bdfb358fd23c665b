#include <http_parser.h>
#include <string.h>

#include "http/http_head.h"

#define STRING_KEPT_BYTES 1024U

struct http_head *http_head_new(void)
{
	struct http_head *h = g_new0(struct http_head, 1);

	h->strings = g_string_sized_new(512);
	h->target = g_string_new(NULL);
	h->fields = g_array_sized_new(FALSE, FALSE, sizeof(struct http_field), 16);
	return h;
}

void http_head_free(struct http_head *h)
{
	if (!h)
		return;
	g_string_free(h->strings, TRUE);
	g_string_free(h->target, TRUE);
	g_array_unref(h->fields);
	g_free(h);
}

bool http_head_at(const struct http_head *h, uint32_t i, const char **name, const char **value)
{
	const struct http_field *f;

	if (i >= h->fields->len)
		return false;
	f = &g_array_index(h->fields, struct http_field, i);
	*name = h->strings->str + f->name;
	*value = h->strings->str + f->value;
	return true;
}

const char *http_head_get(const struct http_head *h, const char *name)
{
	const char *n;
	const char *v;

	for (uint32_t i = 0; http_head_at(h, i, &n, &v); i++) {
		if (g_ascii_strcasecmp(n, name) == 0)
			return v;
	}
	return NULL;
}

void http_head_add(struct http_head *h, const char *name, const char *value)
{
	struct http_field f;

	f.name = (uint32_t)h->strings->len;
	g_string_append_len(h->strings, name, (gssize)strlen(name) + 1);
	f.value = (uint32_t)h->strings->len;
	g_string_append_len(h->strings, value, (gssize)strlen(value) + 1);
	g_array_append_val(h->fields, f);
}

size_t http_head_bytes(const struct http_head *h)
{
	return h->strings->allocated_len + h->target->allocated_len +
	       h->fields->len * sizeof(struct http_field);
}

bool http_head_has_unknown_coding(const struct http_head *h, bool chunked)
{
	const char *name;
	const char *value;
	uint32_t n = 0;

	for (uint32_t i = 0; http_head_at(h, i, &name, &value); i++) {
		if (g_ascii_strcasecmp(name, "Transfer-Encoding") != 0)
			continue;
		if (g_ascii_strcasecmp(value, "chunked") != 0)
			return true;
		n++;
	}
	return n != (chunked ? 1 : 0);
}

void http_string_shrink(GString **s)
{
	if ((*s)->allocated_len <= STRING_KEPT_BYTES)
		return;
	g_string_free(*s, TRUE);
	*s = g_string_new(NULL);
}

bool http_is_hop_by_hop_header(const char *name)
{
	static const char *const names[] = {
		"connection",
		"keep-alive",
		"proxy-connection",
		"transfer-encoding",
		"te",
		"trailer",
		"upgrade",
		"content-length",
		"expect",
		"proxy-authenticate",
		"proxy-authorization",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (g_ascii_strcasecmp(name, names[i]) == 0)
			return true;
	}
	return false;
}

const char *http_reason_phrase(int status)
{
	return http_status_str((enum http_status)status);
}
