/* Compression of long object texts in deltas; private to feed. */
#ifndef FEED_FEED_PACK_H
#define FEED_FEED_PACK_H

#include <glib.h>
#include <stddef.h>

/* Compresses @len bytes of @text; the caller frees the result with g_bytes_unref(). */
GBytes *feed_pack(const char *text, size_t len);

/*
 * Decompresses to a NUL-terminated text that the caller frees. Returns NULL if @data is malformed,
 * or if the text would be longer than @max bytes or contain a NUL.
 */
char *feed_unpack(const void *data, size_t len, size_t max);

#endif
