/**
 * DOC: shape
 *
 * Validates the lengths in msgpack data before it is unpacked. msgpack-c allocates as many elements
 * as an array header declares, so a few malformed bytes could exhaust the memory.
 */
#ifndef BASE_SHAPE_H
#define BASE_SHAPE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * shape_valid() - whether the @len bytes at @data are a sequence of complete msgpack arrays
 *
 * Arrays may be nested at most @depth levels deep and have at most 65,535 elements each. Accepted
 * elements are the types that frames between instances use: arrays, unsigned integers, strings,
 * binary data and nil.
 */
bool shape_valid(const void *data, size_t len, uint32_t depth);

#endif
