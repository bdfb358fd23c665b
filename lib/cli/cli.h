/**
 * DOC: cli
 *
 * Commands of the command line program for operators. They edit configuration objects in the
 * platform, query instances through their operator listeners, search log files and send single
 * requests. All calls block, since the program runs a single command.
 *
 * Results are appended to cli.out, which the program prints on standard output when the command
 * ends. Errors, warnings and notes go to standard error, one line each, starting with the program's
 * name.
 *
 * Functions that return int return an exit code unless they say otherwise.
 */
#ifndef CLI_CLI_H
#define CLI_CLI_H

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"
#include "conf/conf.h"

/** enum cli_exit - exit codes of the program */
enum cli_exit {
	CLI_OK,
	CLI_REFUSED, /* edit refused and not written, nothing found, or error response */
	CLI_USAGE, /* invalid command line or unreadable file */
	CLI_CONFLICT, /* conflict with a concurrent edit; the object was not written */
	CLI_UNREACHABLE, /* platform or an instance; the object was not written */
	CLI_OUTCOME_UNKNOWN, /* the write or request may have taken effect */
};

/** struct cli - global options and the output */
struct cli {
	char *platform_url; /* NULL: not given */
	char **operator_urls; /* operator listeners of instances, NULL: not given */
	char *token; /* bearer token for operator listeners, NULL: not given */
	char *ca_file; /* PEM file of trusted certificates, NULL: system's certificates */
	bool force; /* allow edits that conf_check_edit() finds harmful */
	char *edit_file; /* new text of the object, "-": standard input, NULL: not given */
	char *base_file; /* text that edit_file was edited from, NULL: not given */
	GString *out; /* text for standard output */
};

/** cli_error() - prints one line on standard error; returns @code */
int cli_error(int code, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/**
 * cli_read_file() - reads @path ("-": standard input)
 *
 * Returns the content, to be freed by the caller, or NULL after it printed an error.
 */
char *cli_read_file(const char *path);

/* Configuration objects; the platform has them under the keys "config/KEY". */

/** struct cli_edit - edit of a configuration object; texts are owned */
struct cli_edit {
	const char *key; /* without "config/", borrowed */
	char *text; /* new text, NULL: delete the object */
	char *base_text; /* text that the edit started from, NULL: none or unknown */
	uint64_t base_version; /* version that the edit started from, 0: no object */
};

/** cli_config_list() - prints key and version of each object whose key starts with @prefix */
int cli_config_list(struct cli *c, const char *prefix);

/** cli_config_get() - prints the object: a comment with its version, then its text */
int cli_config_get(struct cli *c, const char *key);

/**
 * cli_config_set() - writes an object
 * @fields: changes as NAME=VALUE, NULL-terminated; not used if --file gives the new text
 * @must_be_new: refuse if the object exists
 */
int cli_config_set(struct cli *c, const char *key, char **fields, bool must_be_new);

int cli_config_delete(struct cli *c, const char *key);

/**
 * cli_config_check() - validates without writing
 *
 * Validates the edit of @key by --file; without @key or --file, all objects in the platform.
 */
int cli_config_check(struct cli *c, const char *key);

/** cli_config_import() - writes those objects of file @path that differ from the platform */
int cli_config_import(struct cli *c, const char *path);

/**
 * cli_set_fields() - sets fields in the text of an object
 * @fields: NAME=VALUE, NULL-terminated; an empty VALUE removes the field
 *
 * Returns the new text, to be freed by the caller, or NULL with @err set.
 */
char *cli_set_fields(const char *text, char **fields, struct conf_error *err);

/**
 * cli_strip_version() - removes the version comment that cli_config_get() prints before the text
 *
 * Returns the version, 0 if there is none.
 */
uint64_t cli_strip_version(char *text);

/* Views of instances, through their operator listeners. */

/** cli_status() - prints the status of each instance and whether configurations differ */
int cli_status(struct cli *c);

/** cli_metrics() - prints the metrics of all instances */
int cli_metrics(struct cli *c);

/** struct cli_event_filter - events to print; a member that is NULL matches any event */
struct cli_event_filter {
	char *request;
	char *chat;
	char *upstream;
	char *account;
	gint64 since; /* HLC stamp; only events after it */
};

/** cli_events() - prints the matching events of all instances as one event log */
int cli_events(struct cli *c, const struct cli_event_filter *f);

/**
 * cli_merge_events() - merges event pages into one event log
 * @texts: pages of instances; an entry may be NULL
 *
 * Appends the lines that match the strings of @f to @out, in the order of their HLC stamps.
 */
void cli_merge_events(GPtrArray *texts, const struct cli_event_filter *f, GString *out);

/**
 * cli_trace() - prints the log lines that explain what happened to a request
 * @id: request ID
 * @files: log files of instances, NULL-terminated
 *
 * Lines are ordered by time. Lines about the request start with "*". The others report changes
 * around that time at the instances that handled it: of its upstreams, the configuration, the store
 * or the process.
 */
int cli_trace(struct cli *c, const char *id, char **files);

/** struct cli_send_options - options of a chat request; strings that are not given are NULL */
struct cli_send_options {
	char *caller_url; /* caller listener of an instance */
	char *api_key;
	char *model;
	char *profile;
	char *chat; /* chat key */
	char *idempotency_key;
	gint max_tokens;
	gboolean stream;
};

/** cli_send() - sends @message as a chat request; prints the status, headers and text */
int cli_send(struct cli *c, const struct cli_send_options *s, const char *message);

/** struct cli_explain_options - head of the request to explain; members may be NULL */
struct cli_explain_options {
	char *host;
	char *account; /* client account, instead of an API key; borrowed */
	char **headers; /* "NAME: VALUE" */
	gboolean json;
};

/**
 * cli_explain() - prints where the instance at --operator would send a request for @path now
 *
 * Returns CLI_OK if it would be served, CLI_REFUSED if it would be refused, and CLI_UNREACHABLE if
 * the instance can't be asked.
 */
int cli_explain(struct cli *c, const struct cli_explain_options *e, const char *path);

/**
 * cli_session_new() - HTTP session with a timeout and the trusted certificates of @c
 *
 * If ca_file can't be read, it prints an error and uses the system's certificates.
 */
SoupSession *cli_session_new(struct cli *c);

#endif
