/**
 * DOC: notice
 *
 * What upstreams have announced in their responses to this instance: that they are leaving, or that
 * they want no requests from it for some time. Keyed by the hash of an upstream's id and process start: a restarted process begins without notices,
 * and an entry that leaves the list and returns keeps them. Private to relay.
 */
#ifndef RELAY_NOTICE_H
#define RELAY_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

struct notices;

struct notices *notices_new(void);
void notices_free(struct notices *n);

/** notices_set_leaving() - process @key is leaving; returns false if that was known */
bool notices_set_leaving(struct notices *n, uint64_t key, int64_t now);
bool notices_is_leaving(const struct notices *n, uint64_t key);

/**
 * notices_hold_off() - process @key wants no requests until @end
 *
 * An earlier announcement of a later end stays valid.
 */
void notices_hold_off(struct notices *n, uint64_t key, int64_t end, int64_t now);

/** notices_hold_off_left() - microseconds until its hold-off ends; 0: none */
int64_t notices_hold_off_left(const struct notices *n, uint64_t key, int64_t now);

/** notices_end_hold_off() - process @key has another address: its hold-off doesn't apply there */
void notices_end_hold_off(struct notices *n, uint64_t key);

/** notices_keep() - process @key is still listed, so that its notices don't expire */
void notices_keep(struct notices *n, uint64_t key, int64_t now);

/** notices_expire() - drops the notices of processes that have not been listed for a while */
void notices_expire(struct notices *n, int64_t now);

#endif
