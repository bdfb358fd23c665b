#include "base/json_text.h"

#include <errno.h>
#include <math.h>
#include <string.h>

#define NUMBER_BYTES_MAX 32U
#define ESCAPE_BYTES	 6U /* of \uXXXX */

/* End of the string that starts at @i with a quotation mark, behind its last one; @len if open. */
static size_t string_end(const char *s, size_t len, size_t i)
{
	for (i++; i < len && s[i] != '"'; i++) {
		if (s[i] == '\\')
			i++;
	}
	return MIN(i + 1, len);
}

/* Characters between values. */
static bool is_structural(char c)
{
	return c && strchr(" \t\r\n,:[]{}\"", c);
}

/* Characters that JSON has outside strings. */
static bool is_json(char c)
{
	return g_ascii_isalnum(c) || is_structural(c) || c == '+' || c == '-' || c == '.';
}

bool json_text_is_readable(const char *text, size_t len)
{
	uint32_t depth = 0;
	size_t i = 0;

	while (i < len) {
		if (text[i] == '"') {
			i = string_end(text, len, i);
			continue;
		}
		if (text[i] == '[' || text[i] == '{')
			depth++;
		else if ((text[i] == ']' || text[i] == '}') && depth > 0)
			depth--;
		if (depth > JSON_TEXT_DEPTH_MAX || !is_json(text[i]))
			return false;
		i++;
	}
	return true;
}

/* The code unit of the escape \uXXXX at @s, -1 if it is none. */
static int code_unit(const char *s, size_t len)
{
	int v = 0;

	if (len < ESCAPE_BYTES || s[0] != '\\' || s[1] != 'u')
		return -1;
	for (size_t i = 2; i < ESCAPE_BYTES; i++) {
		int digit = g_ascii_xdigit_value(s[i]);

		if (digit < 0)
			return -1;
		v = v * 16 + digit;
	}
	return v;
}

static bool is_valid_escape(const char *s, size_t len, size_t *used)
{
	int unit = code_unit(s, len);

	*used = 2;
	if (len < 2)
		return false;
	if (s[1] != 'u')
		return strchr("\"\\/bfnrt", s[1]) != NULL;
	*used = ESCAPE_BYTES;
	/* A NUL would end the string early. */
	if (unit <= 0 || (unit >= 0xdc00 && unit <= 0xdfff))
		return false;
	if (unit < 0xd800 || unit > 0xdbff)
		return true;
	*used = 2 * ESCAPE_BYTES;
	unit = code_unit(s + ESCAPE_BYTES, len - ESCAPE_BYTES);
	return unit >= 0xdc00 && unit <= 0xdfff;
}

/* Whether a string, given with its quotation marks, can be read. */
static bool is_valid_string(const char *s, size_t len)
{
	size_t used;

	if (len < 2 || len > JSON_TEXT_STRING_MAX || s[len - 1] != '"' ||
	    !g_utf8_validate(s, (gssize)len, NULL))
		return false;
	for (size_t i = 1; i + 1 < len; i += used) {
		used = 1;
		if (s[i] == '\\' && !is_valid_escape(s + i, len - 1 - i, &used))
			return false;
	}
	return true;
}

static bool is_valid_number(const char *s, size_t len)
{
	char text[NUMBER_BYTES_MAX + 1];
	char *end;
	gint64 unused;

	if (len > NUMBER_BYTES_MAX || memchr(s, 0, len))
		return false;
	memcpy(text, s, len);
	text[len] = '\0';
	if (strpbrk(text, ".eE"))
		return isfinite(g_ascii_strtod(text, &end)) && !*end;
	return g_ascii_string_to_signed(text, 10, INT64_MIN, INT64_MAX, &unused, NULL);
}

static bool is_valid_word(const char *s, size_t len)
{
	static const char *const words[] = { "true", "false", "null" };

	for (size_t i = 0; i < G_N_ELEMENTS(words); i++) {
		if (strlen(words[i]) == len && memcmp(words[i], s, len) == 0)
			return true;
	}
	return false;
}

/* Appends the string from @i to @end, or what stands for it. */
static void append_string(GString *out, const char *s, size_t len, size_t i, size_t end)
{
	size_t next = end;

	if (is_valid_string(s + i, end - i)) {
		g_string_append_len(out, s + i, (gssize)(end - i));
		return;
	}
	while (next < len && g_ascii_isspace(s[next]))
		next++;
	g_string_append(out, next < len && s[next] == ':' ? "\"\"" : "null");
}

/* Appends the number or word at @i, or null in its stead; returns its end. */
static size_t append_word(GString *out, const char *s, size_t len, size_t i)
{
	bool number = s[i] == '-' || g_ascii_isdigit(s[i]);
	size_t end = i;
	bool valid;

	while (end < len && !is_structural(s[end]))
		end++;
	valid = number ? is_valid_number(s + i, end - i) : is_valid_word(s + i, end - i);
	if (valid)
		g_string_append_len(out, s + i, (gssize)(end - i));
	else
		g_string_append(out, "null");
	return end;
}

GString *json_text_repair(const char *text, size_t len)
{
	GString *out = g_string_sized_new(len);
	size_t depth = 0;
	size_t i = 0;

	while (i < len) {
		char c = text[i];
		bool skipped = depth > JSON_TEXT_DEPTH_MAX;

		if (c == '"') {
			size_t end = string_end(text, len, i);

			if (!skipped)
				append_string(out, text, len, i, end);
			i = end;
			continue;
		}
		if (!is_structural(c) && !skipped) {
			i = append_word(out, text, len, i);
			continue;
		}
		if (c == '[' || c == '{') {
			if (++depth == JSON_TEXT_DEPTH_MAX + 1)
				g_string_append(out, "null");
		} else if ((c == ']' || c == '}') && depth > 0) {
			depth--;
		}
		if (!skipped && depth <= JSON_TEXT_DEPTH_MAX)
			g_string_append_c(out, c);
		i++;
	}
	return out;
}
