/**
 * DOC: signals
 *
 * Signals of a daemon that arrive before its handlers are installed.
 */
#ifndef BASE_SIGNALS_H
#define BASE_SIGNALS_H

#include <stdbool.h>

/**
 * signals_hold() - keeps SIGTERM, SIGINT and SIGHUP pending and ignores SIGPIPE
 *
 * For the start of main(), before any thread exists.
 */
void signals_hold(void);

/** signals_is_stop_pending() - whether SIGTERM or SIGINT is held */
bool signals_is_stop_pending(void);

/** signals_release() - delivers pending and later signals; their handlers must be installed */
void signals_release(void);

#endif
