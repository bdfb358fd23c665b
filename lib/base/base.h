/**
 * DOC: base
 *
 * Types that every library shares: verdicts and refusals, logger, counters, histograms, event
 * ring, hybrid logical clock, random numbers and hashes, lists, handle tables, timers and tasks.
 *
 * Times are int64_t microseconds. Functions that can fail return 0 or a negative errno number.
 */
#ifndef BASE_BASE_H
#define BASE_BASE_H

#include <errno.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/ctr.h"
#include "base/err.h"
#include "base/evt.h"
#include "base/hist.h"
#include "base/hlc.h"
#include "base/list.h"
#include "base/log.h"
#include "base/rng.h"
#include "base/shape.h"
#include "base/signals.h"
#include "base/tab.h"
#include "base/task.h"
#include "base/timer.h"

/* Version that the programs report (--version, status). */
#define TH_VERSION "0.1.0"

#define USEC_PER_MSEC INT64_C(1000)
#define USEC_PER_SEC  INT64_C(1000000)

#endif
