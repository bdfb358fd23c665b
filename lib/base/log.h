/**
 * DOC: log
 *
 * Logger: one line per call on standard error, "TIME PROCESS LEVEL prefix: message". TIME is the
 * time of day in UTC with microseconds. Each module passes its own fixed prefix, for example
 * "place".
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

enum log_level {
	LOG_ERROR,
	LOG_WARN,
	LOG_INFO,
	LOG_DEBUG,
};

/** log_set_level() - suppresses lines less severe than @level; LOG_INFO at first */
void log_set_level(enum log_level level);

/** log_set_name() - name of the process, printed in each line; the string must stay valid */
void log_set_name(const char *name);

/** log_level_parse() - sets @level from "error", "warn", "info" or "debug"; 0 or -EINVAL */
int log_level_parse(const char *name, enum log_level *level);

/** log_line() - writes one line; use the macros below */
void log_line(enum log_level level, const char *prefix, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#define log_error(prefix, ...) log_line(LOG_ERROR, prefix, __VA_ARGS__)
#define log_warn(prefix, ...)  log_line(LOG_WARN, prefix, __VA_ARGS__)
#define log_info(prefix, ...)  log_line(LOG_INFO, prefix, __VA_ARGS__)
#define log_debug(prefix, ...) log_line(LOG_DEBUG, prefix, __VA_ARGS__)

/** log_library_messages() - logs GLib's warnings as lines, in place of blocking writes to stderr */
void log_library_messages(void);

#endif
