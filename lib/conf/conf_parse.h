/* Parsing of object and settings texts; private to conf. */
#ifndef CONF_CONF_PARSE_H
#define CONF_CONF_PARSE_H

#include "conf/conf.h"

/* Sets @err if it is not NULL. */
void conf_error_set(struct conf_error *err, const char *where, const char *message);

/* Sets @kind from the prefix of @key; 0, or -EINVAL with @err set if the key is invalid. */
int conf_key_kind(const char *key, enum conf_kind *kind, struct conf_error *err);

/* Parses @text into a new struct of @kind, owned by the caller; 0, or -EINVAL with @err set. */
int conf_value_parse(enum conf_kind kind, const char *key, const char *text, void **value,
		     struct conf_error *err);

void conf_value_free(enum conf_kind kind, void *value);

/* Maximum of durations, milliseconds: one day. */
#define CONF_MAX_MSEC 864e5

enum conf_field_type {
	CONF_FIELD_STRING,
	CONF_FIELD_LIST, /* GStrv, separated by commas */
	CONF_FIELD_ADDRESS, /* string "IP:port" */
	CONF_FIELD_ADDRESSES, /* GStrv of "IP:port", separated by commas */
	CONF_FIELD_BOOL,
	CONF_FIELD_REAL,
	CONF_FIELD_MSEC, /* int64_t microseconds, written in milliseconds */
	CONF_FIELD_U64,
	CONF_FIELD_U32,
	CONF_FIELD_U16,
	CONF_FIELD_RANK,
	CONF_FIELD_LOG_LEVEL,
};

/* Destination and permitted values of a field of an INI group. */
struct conf_field {
	const char *name;
	enum conf_field_type type;
	size_t offset; /* in the destination struct */
	const char *default_text; /* NULL: the field is required; "": optional without default */
	double min; /* for numbers, inclusive */
	double max; /* for numbers, inclusive */
};

/*
 * Parses @group of @file into @out as described by @fields; rejects unknown fields. Returns 0, or
 * -EINVAL with the location in @err set to "WHERE.field" and @out partly set.
 */
int conf_fields_parse(GKeyFile *file, const char *group, const char *where,
		      const struct conf_field *fields, size_t n_fields, void *out,
		      struct conf_error *err);

/*
 * Rejects duplicate groups and duplicate fields in a group: GKeyFile would merge the groups and use
 * the last value of a field.
 */
int conf_check_duplicates(const char *text, const char *where, struct conf_error *err);

/* Frees the strings and lists in @out that @fields describe. */
void conf_fields_clear(const struct conf_field *fields, size_t n_fields, void *out);

#endif
