/* Parsing of object and settings texts; private to conf. */
#ifndef CONF_CONF_PARSE_H
#define CONF_CONF_PARSE_H

#include "conf/conf.h"

/* Fills @err if it is not NULL. */
void conf_error_set(struct conf_error *err, const char *where, const char *expected);

/* Kind of the object under @key; -EINVAL if the key is malformed. */
int conf_key_kind(const char *key, enum conf_kind *kind, struct conf_error *err);

/* Parses @text to a struct of @kind, owned by the caller. */
int conf_value_parse(enum conf_kind kind, const char *key, const char *text, void **value,
		     struct conf_error *err);

void conf_value_free(enum conf_kind kind, void *value);

/* A field of an INI group: where it is stored and what is allowed. */
enum conf_field_type {
	CONF_FIELD_STRING,
	CONF_FIELD_LIST, /* separated by commas */
	CONF_FIELD_ADDRESS, /* string "IP:port" */
	CONF_FIELD_ADDRESSES, /* list of them */
	CONF_FIELD_BOOL,
	CONF_FIELD_REAL,
	CONF_FIELD_MSEC, /* int64_t microseconds, written in milliseconds */
	CONF_FIELD_U64,
	CONF_FIELD_U32,
	CONF_FIELD_U16,
	CONF_FIELD_RANK,
	CONF_FIELD_LOG_LEVEL,
};

struct conf_field {
	const char *name;
	enum conf_field_type type;
	size_t offset; /* in the struct that is filled */
	const char *fallback; /* NULL: the field is required; "": may stay unset */
	double min; /* numbers only, inclusive */
	double max;
};

/* Fills @out from @group of @file by @fields; unknown keys are refused. */
int conf_fields_parse(GKeyFile *file, const char *group, const char *where,
		      const struct conf_field *fields, size_t n_fields, void *out,
		      struct conf_error *err);

/* Refuses @text if a group, or a field within a group, occurs twice: GKeyFile takes the last one. */
int conf_check_duplicates(const char *text, const char *where, struct conf_error *err);

/* Frees the strings and lists in @out that @fields describe. */
void conf_fields_clear(const struct conf_field *fields, size_t n_fields, void *out);

#endif
