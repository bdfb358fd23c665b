/**
 * DOC: shape
 *
 * Checks the lengths in msgpack bytes before they are unpacked: msgpack-c makes room for as many
 * elements as the head of an array claims, so that a few bytes could claim all memory.
 */
#ifndef BASE_SHAPE_H
#define BASE_SHAPE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * shape_valid() - whether @len bytes at @data are whole arrays, nested @depth deep at the most
 *
 * Elements are arrays, unsigned numbers, strings, byte strings or nil; an array has 65,535
 * elements at the most, and as many as it claims.
 */
bool shape_valid(const void *data, size_t len, uint32_t depth);

#endif
