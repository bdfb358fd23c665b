#include "feed/feed_pack.h"

#include <gio/gio.h>
#include <stdbool.h>
#include <string.h>

#define LEVEL	     1 /* fastest; configurations shrink to a sixth */
#define BUFFER_BYTES 16384U

/* Returns false on malformed input, or if the output exceeds @max bytes. */
static bool convert(GConverter *c, const char *in, size_t len, size_t max, GByteArray *out)
{
	GConverterResult result = G_CONVERTER_CONVERTED;
	guint8 buf[BUFFER_BYTES];

	while (result != G_CONVERTER_FINISHED) {
		gsize n_read = 0;
		gsize n_written = 0;

		result = g_converter_convert(c, in, len, buf, sizeof(buf), G_CONVERTER_INPUT_AT_END,
					     &n_read, &n_written, NULL);
		if (result == G_CONVERTER_ERROR || out->len + n_written > max)
			return false;
		g_byte_array_append(out, buf, (guint)n_written);
		in += n_read;
		len -= n_read;
	}
	return len == 0;
}

GBytes *feed_pack(const char *text, size_t len)
{
	g_autoptr(GZlibCompressor) z = g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB, LEVEL);
	GByteArray *out = g_byte_array_new();

	convert(G_CONVERTER(z), text, len, G_MAXUINT, out);
	return g_byte_array_free_to_bytes(out);
}

char *feed_unpack(const void *data, size_t len, size_t max)
{
	g_autoptr(GZlibDecompressor) z = g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
	g_autoptr(GByteArray) out = g_byte_array_new();

	if (!convert(G_CONVERTER(z), data, len, max, out) || memchr(out->data, 0, out->len))
		return NULL;
	return g_strndup((const char *)out->data, out->len);
}
