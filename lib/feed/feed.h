/**
 * DOC: feed
 *
 * Versioned objects that a few instances read from a store and all instances share.
 *
 * In each failure domain the first instance by capacity and rendezvous hash reads the store; the
 * others hear of changes from the readers of their own and of another domain. An instance that has
 * heard of no reader with a working store for a while reads the store itself. So the store's cost
 * grows with the number of domains, and an instance that the store refuses stays up to date.
 *
 * An instance that starts asks the store only who the others are, and takes everything from them.
 * Where nobody can be found, as at the first start of a site, it reads the store after a time that
 * is drawn for it, and greets the others of its domain.
 *
 * While a wait for changes is without an answer, nothing tells a quiet store from a path that is
 * cut. So a reader checks the store with cheap calls, and says how old its last proof is.
 *
 * Instances exchange digests: for each kind the revision of the newest change, and how long ago
 * that was confirmed by the store. Whoever lacks a change asks for all changes since the revision
 * up to which it knows everything. Each object carries its revision, and an older one never
 * replaces a newer one.
 *
 * The load of upstreams travels along: each instance tells its readers what it saw in answers, and
 * the readers tell everyone, so that the bound on load holds although each instance sends only a
 * small part of the requests. So does the news which upstream has read a prompt away from its home, so
 * that others go there or copy from there.
 *
 * The library owns no socket, clock or store; time, frames and objects come in.
 */
#ifndef FEED_FEED_H
#define FEED_FEED_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FEED_KINDS_MAX 3U /* most kinds of objects */
#define FEED_FRAME_MAX (1536U * 1024U) /* bytes; an object of 1 MB fits */

/** struct feed_instance - an instance that takes part */
struct feed_instance {
	const char *address; /* IP:PORT of its peer listener */
	const char *domain; /* failure domain */
	uint32_t capacity; /* the largest read the store; Mbit/s of the link */
};

/** struct feed_load - load of an upstream as some instance saw it */
struct feed_load {
	uint64_t key; /* of the upstream and its start */
	uint32_t running; /* requests there */
	uint32_t waiting;
	int64_t age; /* microseconds since it was seen */
	uint32_t hops; /* instances that passed it on since */
};

/** struct feed_cache_location - an upstream that has read a prompt which others would not look for there */
struct feed_cache_location {
	uint64_t part; /* the last part of the prompt that was read */
	uint64_t upstream; /* hash of the upstream and its start */
	uint32_t tokens; /* up to that part; the longest ones are told first */
	uint32_t hops; /* instances that passed it on since */
};

/** struct feed_ops - what the owner is told and asked to do */
struct feed_ops {
	/* An object is new or changed; @text NULL: deleted. @source: "store" or "peer" */
	void (*object)(void *arg, uint32_t kind, const char *name, const char *text,
		       uint64_t revision, const char *source);
	/* Whether the owner should read the store itself. */
	void (*read_store)(void *arg, bool on, const char *reason);
	/* Another instance saw this load, later than what is known here. */
	void (*load)(void *arg, const struct feed_load *l);
	/* Makes a cheap call to the store; feed_check_finished() tells whether it was answered. */
	void (*check_store)(void *arg);
	/* Sends a frame to the instance at @address. */
	void (*send)(void *arg, const char *address, const void *frame, size_t len);
	/*
	 * Asks the store, by a cheap call, for a list of the instances that may be some seconds old;
	 * feed_find_finished() tells the end. NULL: there is no such call.
	 */
	void (*find_instances)(void *arg);
	/* All of @kind is known for the first time; NULL: the owner need not know. */
	void (*kind_complete)(void *arg, uint32_t kind);
	/* Another instance had this prompt read; NULL: the owner need not know. */
	void (*cache_location)(void *arg, const struct feed_cache_location *h);
};

/** struct feed_params - own place; strings are copied */
struct feed_params {
	const char *address; /* of the own peer listener */
	const char *domain;
	uint32_t capacity;
	uint32_t n_kinds;
	uint64_t seed;
	int64_t heartbeat; /* microseconds between two writes of the owner of an entry that can lapse */
};

struct feed;

struct feed *feed_new(const struct feed_params *p, const struct feed_ops *ops, void *arg,
		      int64_t now);
void feed_free(struct feed *f);

/** feed_set_instances() - all known instances, the own one may be among them */
void feed_set_instances(struct feed *f, const struct feed_instance *list, uint32_t n);

/** feed_instance_count() - number of known instances with the own one */
uint32_t feed_instance_count(const struct feed *f);

/** feed_tick() - call ten times a second */
void feed_tick(struct feed *f, int64_t now);

/**
 * feed_set_store_state() - whether the own watches of the store work
 *
 * After an outage in which entries may have lapsed, objects that the store no longer has stay in force
 * for two seconds from its return: their owners may not have reached it yet.
 */
void feed_set_store_state(struct feed *f, bool ok, int64_t now);

/** feed_check_finished() - the call of feed_ops.check_store ended; @ok: the store answered it */
void feed_check_finished(struct feed *f, bool ok, int64_t now);

/** feed_find_finished() - the call of feed_ops.find_instances ended, and what it told was set */
void feed_find_finished(struct feed *f, int64_t now);

/** feed_put() - the store has this object; @text NULL: it was deleted at @revision */
void feed_put(struct feed *f, uint32_t kind, const char *name, const char *text, uint64_t revision,
	      int64_t now);

/** feed_list_begin() - the store's whole list of @kind follows by feed_put() */
void feed_list_begin(struct feed *f, uint32_t kind, int64_t now);

/** feed_complete() - everything of @kind up to @revision was given; @list: it was a whole list */
void feed_complete(struct feed *f, uint32_t kind, uint64_t revision, bool list, int64_t now);

/** feed_report_load() - this instance saw the load of an upstream; the others are told */
void feed_report_load(struct feed *f, uint64_t key, uint32_t running, uint32_t waiting,
		      int64_t now);

/** feed_report_cache_location() - an upstream has read a prompt away from its home; the others are told */
void feed_report_cache_location(struct feed *f, uint64_t part, uint64_t upstream, uint32_t tokens,
				int64_t now);

/** feed_sender() - address of the instance that sent @frame, or NULL; valid until the next call */
const char *feed_sender(struct feed *f, const void *frame, size_t len);

/** feed_receive() - a frame arrived; 0 or -EBADMSG */
int feed_receive(struct feed *f, const void *frame, size_t len, int64_t now);

/** feed_disconnected() - the connection to @address broke or was not made */
void feed_disconnected(struct feed *f, const char *address, int64_t now);

/** feed_confirmation_age() - microseconds since the store last confirmed what is known; INT64_MAX: never */
int64_t feed_confirmation_age(const struct feed *f, int64_t now);

/** feed_is_store_reader() - whether this instance reads the store */
bool feed_is_store_reader(const struct feed *f);

#endif
