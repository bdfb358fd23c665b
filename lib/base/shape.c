#include "base/shape.h"

/* Bytes of the scalar at @p; 0 if truncated, a container or a type that frames don't use. */
static size_t scalar_size(const uint8_t *p, size_t left)
{
	static const uint8_t uint_sizes[] = { 2, 3, 5, 9 }; /* bytes, with the type byte */
	size_t header_len = 1;
	size_t n = 0;

	if (p[0] <= 0x7f || p[0] == 0xc0) /* positive fixint, nil */
		return 1;
	if (p[0] >= 0xcc && p[0] <= 0xcf) /* uint8 to uint64 */
		return uint_sizes[p[0] - 0xcc] <= left ? uint_sizes[p[0] - 0xcc] : 0;
	if (p[0] >= 0xa0 && p[0] <= 0xbf) /* fixstr */
		n = p[0] & 0x1f;
	else if (p[0] >= 0xd9 && p[0] <= 0xdb)
		header_len += (size_t)1 << (p[0] - 0xd9); /* str8 to str32 */
	else if (p[0] >= 0xc4 && p[0] <= 0xc6)
		header_len += (size_t)1 << (p[0] - 0xc4); /* bin8 to bin32 */
	else
		return 0;
	if (header_len > left)
		return 0;
	for (size_t i = 1; i < header_len; i++)
		n = n << 8 | p[i];
	return n <= left - header_len ? header_len + n : 0;
}

/* Bytes of the array at @p with its elements; 0 if no array, malformed or nested too deep. */
static size_t array_size(const uint8_t *p, size_t left, uint32_t depth)
{
	size_t pos = 1;
	uint32_t n;

	if (!depth || !left)
		return 0;
	if (p[0] >= 0x90 && p[0] <= 0x9f) { /* fixarray */
		n = p[0] & 0x0f;
	} else if (p[0] == 0xdc && left >= 3) { /* array16 */
		n = (uint32_t)p[1] << 8 | p[2];
		pos = 3;
	} else {
		return 0;
	}
	for (; n > 0; n--) {
		size_t size = pos < left ? scalar_size(p + pos, left - pos) : 0;

		if (!size)
			size = array_size(p + pos, left - pos, depth - 1);
		if (!size)
			return 0;
		pos += size;
	}
	return pos;
}

bool shape_valid(const void *data, size_t len, uint32_t depth)
{
	const uint8_t *p = data;
	size_t pos = 0;

	while (pos < len) {
		size_t size = array_size(p + pos, len - pos, depth);

		if (!size)
			return false;
		pos += size;
	}
	return true;
}
