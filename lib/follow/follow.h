/**
 * DOC: follow
 *
 * Decides how all objects of one kind in a versioned store are followed: list them, wait for
 * changes, list again where the store has dropped the history or a wait broke off, and how soon
 * after a failure. The calls themselves and their format belong to the owner.
 *
 * Time comes in by the timer service and by arguments.
 */
#ifndef FOLLOW_FOLLOW_H
#define FOLLOW_FOLLOW_H

#include <glib.h>

#include "base/base.h"

/** struct follow_ops - what the owner is asked to do and told */
struct follow_ops {
	/*
	 * Start one call; its end is told by follow_page(), follow_wait_finished(), follow_history_expired() or
	 * follow_call_failed(), not before these return. False: it can't be started.
	 */
	bool (*list)(void *arg, const char *after);
	bool (*wait)(void *arg, uint64_t revision, uint32_t wait_ms);
	/* A whole list begins. */
	void (*list_begin)(void *arg);
	/* Everything up to @revision was given; @list: by a whole list */
	void (*complete)(void *arg, uint64_t revision, bool list);
	/* The store answers again after @away microseconds, or no longer does. */
	void (*state)(void *arg, bool ok, const char *reason, int64_t away);
};

struct follow;

/** follow_new() - the first list starts with the next turn of @timers */
struct follow *follow_new(const struct follow_ops *ops, void *arg, struct timer_svc *timers,
			  uint64_t seed, int64_t now);
void follow_free(struct follow *f);

/**
 * follow_page_begin() / follow_page_end() - a page of a list came, complete at @revision
 * @last: name after which the next page starts, NULL: this was the last one
 *
 * The objects of the page are given between the two.
 */
void follow_page_begin(struct follow *f, uint64_t revision, int64_t now);
void follow_page_end(struct follow *f, const char *last, int64_t now);

/** follow_wait_finished() - a wait ended and its @n changes up to @revision were given */
void follow_wait_finished(struct follow *f, uint64_t revision, uint32_t n, int64_t now);

/** follow_history_expired() - the store no longer has the history that a wait asked for */
void follow_history_expired(struct follow *f, int64_t now);

/** follow_call_failed() - a call was refused or not answered */
void follow_call_failed(struct follow *f, const char *reason, int64_t now);

/** follow_is_synced() - whether a list was given and the last call was answered */
bool follow_is_synced(const struct follow *f);

/** follow_revision() - revision up to which everything is known */
uint64_t follow_revision(const struct follow *f);

#endif
