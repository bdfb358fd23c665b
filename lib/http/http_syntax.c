#include "http/http_syntax.h"

#include <glib.h>
#include <string.h>

/* 0 stands for any digit, and 1 for one from 1 to 5: the class of a status (RFC 9110, 15). */
static const char status_line[] = "HTTP/0.0 100";

void http_syntax_init(struct http_syntax *s, bool response)
{
	*s = (struct http_syntax){
		.state = response ? HTTP_SYNTAX_STATUS_LINE : HTTP_SYNTAX_REQUEST_LINE,
	};
}

void http_syntax_expect_chunks(struct http_syntax *s)
{
	s->state = HTTP_SYNTAX_CHUNK_SIZE;
	s->chunk_left = 0;
	s->has_size = false;
}

static bool is_space(char ch)
{
	return ch == ' ' || ch == '\t';
}

/* In reason phrases and values (RFC 9110, 5.5); other control bytes are invalid. */
static bool is_text(char ch)
{
	return ch == '\t' || !g_ascii_iscntrl(ch);
}

/* In names of fields (RFC 9110, 5.6.2). */
static bool is_token(char ch)
{
	return g_ascii_isalnum(ch) || (ch && strchr("!#$%&'*+-.^_`|~", ch));
}

static enum http_syntax_state check_status_line(struct http_syntax *s, char ch)
{
	char expected = status_line[s->pos++];
	bool ok = ch == expected;

	if (expected == '0')
		ok = g_ascii_isdigit(ch);
	else if (expected == '1')
		ok = ch >= '1' && ch <= '5';
	if (!ok)
		return HTTP_SYNTAX_INVALID;
	return status_line[s->pos] ? HTTP_SYNTAX_STATUS_LINE : HTTP_SYNTAX_AFTER_STATUS;
}

/* A line ends with CRLF or a single LF, but not with a single CR (RFC 9112, 2.2). */
static enum http_syntax_state check_text(enum http_syntax_state state, char ch)
{
	if (ch == '\r')
		return HTTP_SYNTAX_LINE_LF;
	if (ch == '\n')
		return HTTP_SYNTAX_FIELD_START;
	return is_text(ch) ? state : HTTP_SYNTAX_INVALID;
}

static enum http_syntax_state check_after_status(char ch)
{
	if (ch == ' ')
		return HTTP_SYNTAX_REASON;
	return ch == '\r' || ch == '\n' ? check_text(HTTP_SYNTAX_REASON, ch) : HTTP_SYNTAX_INVALID;
}

/* http-parser checks the parts of the line. Empty lines may come before it (RFC 9112, 2.2). */
static enum http_syntax_state check_request_line(struct http_syntax *s, char ch)
{
	if (ch == '\n' && !s->pos)
		return HTTP_SYNTAX_REQUEST_LINE;
	if (ch == '\t')
		return HTTP_SYNTAX_INVALID;
	s->pos += ch != '\r';
	return check_text(HTTP_SYNTAX_REQUEST_LINE, ch);
}

static enum http_syntax_state check_line_lf(const struct http_syntax *s, char ch)
{
	if (ch != '\n')
		return HTTP_SYNTAX_INVALID;
	return s->pos ? HTTP_SYNTAX_FIELD_START : HTTP_SYNTAX_REQUEST_LINE;
}

static enum http_syntax_state check_field_start(struct http_syntax *s, char ch)
{
	if (ch == '\r')
		return HTTP_SYNTAX_HEAD_LF;
	if (ch == '\n')
		return HTTP_SYNTAX_BODY;
	if (is_space(ch) && s->has_field)
		return HTTP_SYNTAX_FIELD_VALUE;
	s->has_field = true;
	return is_token(ch) ? HTTP_SYNTAX_FIELD_NAME : HTTP_SYNTAX_INVALID;
}

static enum http_syntax_state check_field_name(char ch)
{
	if (ch == ':')
		return HTTP_SYNTAX_FIELD_VALUE;
	return is_token(ch) ? HTTP_SYNTAX_FIELD_NAME : HTTP_SYNTAX_INVALID;
}

static enum http_syntax_state check_chunk_size(struct http_syntax *s, char ch)
{
	if (g_ascii_isxdigit(ch)) {
		if (s->chunk_left > UINT64_MAX >> 4)
			return HTTP_SYNTAX_INVALID;
		s->chunk_left = s->chunk_left << 4 | (uint64_t)g_ascii_xdigit_value(ch);
		s->has_size = true;
		return HTTP_SYNTAX_CHUNK_SIZE;
	}
	if (!s->has_size)
		return HTTP_SYNTAX_INVALID;
	if (ch == '\r')
		return HTTP_SYNTAX_CHUNK_LF;
	if (ch == ';')
		return HTTP_SYNTAX_CHUNK_EXTENSION;
	return is_space(ch) ? HTTP_SYNTAX_CHUNK_SPACE : HTTP_SYNTAX_INVALID;
}

static enum http_syntax_state check_chunk_space(char ch)
{
	if (ch == ';')
		return HTTP_SYNTAX_CHUNK_EXTENSION;
	return is_space(ch) ? HTTP_SYNTAX_CHUNK_SPACE : HTTP_SYNTAX_INVALID;
}

static enum http_syntax_state check_chunk_extension(char ch)
{
	if (ch == '\r')
		return HTTP_SYNTAX_CHUNK_LF;
	return is_text(ch) ? HTTP_SYNTAX_CHUNK_EXTENSION : HTTP_SYNTAX_INVALID;
}

static enum http_syntax_state check_chunk_lf(struct http_syntax *s, char ch)
{
	if (ch != '\n')
		return HTTP_SYNTAX_INVALID;
	s->has_field = false;
	return s->chunk_left ? HTTP_SYNTAX_CHUNK_DATA : HTTP_SYNTAX_FIELD_START;
}

static enum http_syntax_state check_chunk_data_lf(struct http_syntax *s, char ch)
{
	if (ch != '\n')
		return HTTP_SYNTAX_INVALID;
	http_syntax_expect_chunks(s);
	return HTTP_SYNTAX_CHUNK_SIZE;
}

static enum http_syntax_state check_byte(struct http_syntax *s, char ch)
{
	switch (s->state) {
	case HTTP_SYNTAX_STATUS_LINE:
		return check_status_line(s, ch);
	case HTTP_SYNTAX_AFTER_STATUS:
		return check_after_status(ch);
	case HTTP_SYNTAX_REASON:
	case HTTP_SYNTAX_FIELD_VALUE:
		return check_text(s->state, ch);
	case HTTP_SYNTAX_REQUEST_LINE:
		return check_request_line(s, ch);
	case HTTP_SYNTAX_LINE_LF:
		return check_line_lf(s, ch);
	case HTTP_SYNTAX_FIELD_START:
		return check_field_start(s, ch);
	case HTTP_SYNTAX_FIELD_NAME:
		return check_field_name(ch);
	case HTTP_SYNTAX_HEAD_LF:
		return ch == '\n' ? HTTP_SYNTAX_BODY : HTTP_SYNTAX_INVALID;
	case HTTP_SYNTAX_CHUNK_SIZE:
		return check_chunk_size(s, ch);
	case HTTP_SYNTAX_CHUNK_SPACE:
		return check_chunk_space(ch);
	case HTTP_SYNTAX_CHUNK_EXTENSION:
		return check_chunk_extension(ch);
	case HTTP_SYNTAX_CHUNK_LF:
		return check_chunk_lf(s, ch);
	case HTTP_SYNTAX_CHUNK_DATA: /* after its last byte */
		return ch == '\r' ? HTTP_SYNTAX_CHUNK_DATA_LF : HTTP_SYNTAX_INVALID;
	case HTTP_SYNTAX_CHUNK_DATA_LF:
		return check_chunk_data_lf(s, ch);
	case HTTP_SYNTAX_BODY:
		return HTTP_SYNTAX_BODY;
	case HTTP_SYNTAX_INVALID:
		break;
	}
	return HTTP_SYNTAX_INVALID;
}

static bool is_line_end(enum http_syntax_state before, enum http_syntax_state state)
{
	return state != before && (state == HTTP_SYNTAX_FIELD_START || state == HTTP_SYNTAX_BODY);
}

size_t http_syntax_check(struct http_syntax *s, const char *data, size_t len)
{
	size_t i = 0;

	if (s->state == HTTP_SYNTAX_BODY)
		return len;
	while (i < len) {
		enum http_syntax_state before = s->state;

		if (before == HTTP_SYNTAX_CHUNK_DATA && s->chunk_left) {
			size_t n = (size_t)MIN(s->chunk_left, len - i);

			s->chunk_left -= n;
			i += n;
			continue;
		}
		s->state = check_byte(s, data[i]);
		if (s->state == HTTP_SYNTAX_INVALID)
			return i;
		i++;
		if (is_line_end(before, s->state))
			return i;
	}
	return len;
}
