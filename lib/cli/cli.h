/**
 * DOC: cli
 *
 * The operators' program: edits of configuration objects in the platform and views of instances.
 * All calls block; the program has one thing to do.
 *
 * Results are written to standard output, errors to standard error, each as one line that starts
 * with the program's name.
 */
#ifndef CLI_CLI_H
#define CLI_CLI_H

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "conf/conf.h"

/* Exit codes of the program. */
enum cli_exit {
	CLI_OK,
	CLI_REFUSED, /* invalid or harmful edit, nothing was written */
	CLI_USAGE,
	CLI_CONFLICT, /* another edit was faster, nothing was written */
	CLI_UNREACHABLE, /* platform or instance; nothing was written */
	CLI_OUTCOME_UNKNOWN, /* the write may have taken effect */
};

struct cli {
	char *platform_url; /* URL, NULL: not given */
	char **operator_urls; /* URLs, NULL: none */
	char *token; /* of the operators' listeners */
	char *ca_file; /* PEM file of trusted certificates, NULL: the system's */
	bool force; /* allow harmful edits */
	char *edit_file; /* text of an edit, "-": standard input, NULL: not given */
	char *base_file; /* text that the edit in file started from, NULL: not given */
	GString *out; /* what is to be printed on standard output */
};

/** cli_error() - prints one line on standard error; returns @code */
int cli_error(int code, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/** cli_read_file() - content of @path ("-": standard input), owned; NULL after an error message */
char *cli_read_file(const char *path);

/* edit: configuration objects in the platform, under the keys "config/KEY" */

/** struct cli_edit - one write of a configuration object */
struct cli_edit {
	const char *key; /* without "config/" */
	char *text; /* NULL: delete */
	char *base_text; /* text that the edit started from, NULL: none */
	uint64_t base_version; /* 0: the object did not exist */
};

/** cli_config_list() - prints key and version of all objects whose key starts with @prefix */
int cli_config_list(struct cli *c, const char *prefix);

/** cli_config_get() - prints the version as a comment and the text of the object */
int cli_config_get(struct cli *c, const char *key);

/** cli_config_set() - writes the text of the option --file, or changes fields given as NAME=VALUE */
int cli_config_set(struct cli *c, const char *key, char **fields, bool must_be_new);

int cli_config_delete(struct cli *c, const char *key);

/** cli_config_check() - checks all objects of the platform, or the edit of @key by --file */
int cli_config_check(struct cli *c, const char *key);

/** cli_config_import() - writes all groups of a configuration file that differ from the platform */
int cli_config_import(struct cli *c, const char *path);

/** cli_set_fields() - @text with fields set as given by NAME=VALUE (no value: removed); owned */
char *cli_set_fields(const char *text, char **fields, struct conf_error *err);

/** cli_strip_version() - removes the comment that cli_config_get() adds; returns its version or 0 */
uint64_t cli_strip_version(char *text);

/* view: instances by their operators' listeners */

int cli_status(struct cli *c);
int cli_metrics(struct cli *c);

/** struct cli_event_filter - which events are printed; NULL: any */
struct cli_event_filter {
	char *request;
	char *chat;
	char *upstream;
	char *account;
	gint64 since; /* stamp */
};

int cli_events(struct cli *c, const struct cli_event_filter *f);

/** cli_merge_events() - appends the lines of @texts that match @f to @out in the order of stamps */
void cli_merge_events(GPtrArray *texts, const struct cli_event_filter *f, GString *out);

/* trace: log files of instances */

/**
 * cli_trace() - prints the lines about request @id of all @files (NULL-ended) in order of time
 *
 * Its own lines are marked by "*"; the others tell what changed around it at the same instances:
 * its upstreams, the configuration, the store, the process.
 */
int cli_trace(struct cli *c, const char *id, char **files);

/* send: one chat request */

struct cli_send_options {
	char *caller_url; /* URL of a caller listener */
	char *api_key; /* API key */
	char *model;
	char *profile;
	char *chat;
	char *idempotency_key;
	gint max_tokens;
	gboolean stream;
};

int cli_send(struct cli *c, const struct cli_send_options *s, const char *message);

/** cli_session_new() - session with a timeout and the trusted certificates of @c */
SoupSession *cli_session_new(struct cli *c);

#endif
