/**
 * DOC: json_text
 *
 * Checks and repairs JSON texts of other writers before they are parsed. json-glib parses nested
 * values recursively, so a deeply nested text overflows the stack, and it rejects a whole document
 * for a single string that is no UTF-8.
 */
#ifndef BASE_JSON_TEXT_H
#define BASE_JSON_TEXT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Nested arrays and objects that a text may have; documents of this project have eight. */
#define JSON_TEXT_DEPTH_MAX 32U

/**
 * json_text_is_readable() - whether no value is nested deeper than JSON_TEXT_DEPTH_MAX
 *
 * Also false for what json-glib reads beside JSON, such as comments: a quotation mark in one would
 * hide brackets.
 */
bool json_text_is_readable(const char *text, size_t len);

/**
 * json_text_repair() - copies @text, with null for each value that can't be read
 *
 * These are values nested too deeply, strings that are no UTF-8, have half of a surrogate pair or
 * exceed JSON_TEXT_STRING_MAX bytes, numbers that no double or 64-bit integer holds, and words other
 * than true, false and null. A name like that becomes empty. The rest of the document is unchanged;
 * it may still be malformed.
 */
GString *json_text_repair(const char *text, size_t len);

#define JSON_TEXT_STRING_MAX 65536U

#endif
