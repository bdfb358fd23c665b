/**
 * DOC: record
 *
 * What the drivers of the review's cases share: the file that records what was sent, answered and
 * run, and the exit codes.
 */
#ifndef REVIEW_RECORD_H
#define REVIEW_RECORD_H

#include <glib.h>

/* Exit codes of a driver. */
#define RULE_HELD   0
#define RULE_BROKEN 1
#define NOT_RUN	    2

/** record_open() - opens the file at @path; false: not possible */
gboolean record_open(const char *path);

/** record_line() - writes a line, preceded by the seconds since record_open() */
void record_line(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** record_verdict() - records the result of the check, closes the file, returns the exit code */
int record_verdict(const char *rule, gboolean broken);

/** has_trouble() - whether the disruption is played: TROUBLE is not 0 */
gboolean has_trouble(void);

#endif
