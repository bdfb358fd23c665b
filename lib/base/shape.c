#include "base/shape.h"

/* Bytes of the scalar at @p, 0 if it is cut, a container or a type that frames don't use. */
static size_t scalar_size(const uint8_t *p, size_t left)
{
	static const uint8_t fixed[] = { 2, 3, 5, 9 }; /* uint8 to uint64 */
	size_t head = 1;
	size_t n = 0;

	if (p[0] <= 0x7f || p[0] == 0xc0)
		return 1;
	if (p[0] >= 0xcc && p[0] <= 0xcf)
		return fixed[p[0] - 0xcc] <= left ? fixed[p[0] - 0xcc] : 0;
	if (p[0] >= 0xa0 && p[0] <= 0xbf)
		n = p[0] & 0x1f;
	else if (p[0] >= 0xd9 && p[0] <= 0xdb)
		head += (size_t)1 << (p[0] - 0xd9); /* str8 to str32 */
	else if (p[0] >= 0xc4 && p[0] <= 0xc6)
		head += (size_t)1 << (p[0] - 0xc4); /* bin8 to bin32 */
	else
		return 0;
	if (head > left)
		return 0;
	for (size_t i = 1; i < head; i++)
		n = n << 8 | p[i];
	return n <= left - head ? head + n : 0;
}

/* Bytes of the array at @p with all that is in it, 0 if it is none or not whole. */
static size_t array_size(const uint8_t *p, size_t left, uint32_t depth)
{
	size_t at = 1;
	uint32_t n;

	if (!depth || !left)
		return 0;
	if (p[0] >= 0x90 && p[0] <= 0x9f) {
		n = p[0] & 0x0f;
	} else if (p[0] == 0xdc && left >= 3) {
		n = (uint32_t)p[1] << 8 | p[2];
		at = 3;
	} else {
		return 0;
	}
	for (; n > 0; n--) {
		size_t size = at < left ? scalar_size(p + at, left - at) : 0;

		if (!size)
			size = array_size(p + at, left - at, depth - 1);
		if (!size)
			return 0;
		at += size;
	}
	return at;
}

bool shape_valid(const void *data, size_t len, uint32_t depth)
{
	const uint8_t *p = data;
	size_t at = 0;

	while (at < len) {
		size_t size = array_size(p + at, len - at, depth);

		if (!size)
			return false;
		at += size;
	}
	return true;
}
