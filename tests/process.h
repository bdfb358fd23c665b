/**
 * DOC: process
 *
 * What the kernel tells about a process under test.
 */
#ifndef TESTS_PROCESS_H
#define TESTS_PROCESS_H

#include <gio/gio.h>
#include <stdint.h>

/** process_peak_kib() - peak resident memory of the running process @p in KiB */
uint64_t process_peak_kib(GSubprocess *p);

/** process_count_fds() - open descriptors of the running process @p */
uint32_t process_count_fds(GSubprocess *p);

#endif
