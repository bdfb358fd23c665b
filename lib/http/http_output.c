#include "http/http_output.h"

#include <errno.h>
#include <sys/socket.h>

#define KEPT_BYTES 16384U /* a larger buffer is freed once it is sent */

void http_output_init(struct http_output *o)
{
	*o = (struct http_output){ .copied = g_byte_array_new() };
}

static void drop_shared(struct http_output *o)
{
	g_clear_pointer(&o->shared, g_byte_array_unref);
	o->shared_sent = 0;
}

void http_output_clear(struct http_output *o)
{
	g_clear_pointer(&o->copied, g_byte_array_unref);
	drop_shared(o);
}

size_t http_output_size(const struct http_output *o)
{
	return o->copied->len + (o->shared ? o->shared->len - o->shared_sent : 0);
}

static void append_copy(struct http_output *o, const void *data, size_t len)
{
	g_byte_array_append(o->copied, data, (guint)len);
	o->copied_most = MAX(o->copied_most, o->copied->len);
}

/* Output after shared bytes has to follow a copy of them. */
static void copy_shared(struct http_output *o)
{
	if (!o->shared)
		return;
	append_copy(o, o->shared->data + o->shared_sent, o->shared->len - o->shared_sent);
	drop_shared(o);
}

void http_output_append(struct http_output *o, const void *data, size_t len)
{
	copy_shared(o);
	append_copy(o, data, len);
}

void http_output_share(struct http_output *o, GByteArray *bytes)
{
	copy_shared(o);
	o->shared = g_byte_array_ref(bytes);
}

/* Emptying an array keeps its memory. */
static void trim(struct http_output *o)
{
	if (o->copied->len || o->copied_most <= KEPT_BYTES)
		return;
	g_byte_array_unref(o->copied);
	o->copied = g_byte_array_new();
	o->copied_most = 0;
}

ssize_t http_output_send(int fd, const void *data, size_t len)
{
	ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

	if (n >= 0)
		return n;
	return errno == EAGAIN || errno == EINTR ? 0 : -errno;
}

static ssize_t send_shared(struct http_output *o, int fd)
{
	size_t left = o->shared->len - o->shared_sent;
	ssize_t n = http_output_send(fd, o->shared->data + o->shared_sent, left);

	if (n > 0)
		o->shared_sent += (size_t)n;
	if (n == (ssize_t)left)
		drop_shared(o);
	return n;
}

int http_output_flush(struct http_output *o, int fd)
{
	ssize_t n = 0;

	if (o->copied->len) {
		n = http_output_send(fd, o->copied->data, o->copied->len);
		if (n > 0)
			g_byte_array_remove_range(o->copied, 0, (guint)n);
	}
	if (n >= 0 && !o->copied->len && o->shared)
		n = send_shared(o, fd);
	if (n < 0) {
		g_byte_array_set_size(o->copied, 0);
		drop_shared(o);
	}
	trim(o);
	return (int)MIN(n, 0);
}
