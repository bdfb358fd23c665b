/**
 * DOC: feed
 *
 * Distributes versioned objects from the configuration store: a few instances read the store and
 * pass the changes on to all others.
 *
 * In each failure domain one store reader is chosen, by the largest capacity, then by rendezvous
 * hash. The other instances receive changes from the store readers of their own and of one other
 * domain. An instance that gets no confirmation from any store reader for a while reads the store
 * itself. So the load on the store grows with the number of domains, not of instances, and an
 * instance that the store refuses stays up to date.
 *
 * A starting instance asks the store only for the list of instances and gets all objects from
 * them. If it finds none, as at the first start of a deployment, it reads the store after a random
 * delay and sends an initial digest to the other instances of its domain.
 *
 * While a watch request is pending, an idle store and a partitioned network look the same. So a
 * store reader checks the store with cheap calls and advertises the age of its last response.
 *
 * Instances exchange digests: for each kind the revision of the newest change, and the time since
 * the store confirmed it. An instance that lacks a change pulls all changes after its complete
 * revision, the one up to which it has every change. Each object carries its revision, and an older
 * one never replaces a newer one.
 *
 * The store may return from an older copy, which begins a new era: see base/revision.h. For a while
 * an object of that copy may be an earlier state of a known one, so the known one stays unless the
 * two show that theirs is the later state, or the store gives it a higher revision than before.
 * Owners then write again what was lost; at the end of that time the store is right. Objects that
 * the copy lacks are not taken for deleted until their owners had time to write them again.
 * Objects of a versioned kind are ordered by a version of their own, so the store's revisions don't
 * matter for them.
 *
 * Digests also carry upstream loads: each instance reports to its store readers the loads that it
 * observed in responses, and the store readers forward them to all instances, so that the load
 * bound holds although each instance sends only a small fraction of the requests. Cache locations
 * (upstreams that have a prompt in their prefix cache where others may not expect it) are
 * distributed the same way, so that other instances transfer the KV cache from there. So are
 * crashes of upstreams with the keys of requests that they are attributed to (lib/poison), and the
 * software versions of streams while a service has several.
 *
 * The library owns no socket, clock or store: the caller passes in time, frames and objects.
 */
#ifndef FEED_FEED_H
#define FEED_FEED_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FEED_KINDS_MAX 4U /* object kinds */
#define FEED_NAME_MAX  256U /* bytes, of an object; without a NUL */
#define FEED_FRAME_MAX (1536U * 1024U) /* bytes; fits an object of 1 MB */

/** struct feed_instance - an instance that exchanges frames with the others */
struct feed_instance {
	const char *address; /* IP:PORT of its peer listener */
	const char *domain; /* failure domain */
	uint32_t capacity; /* Mbit/s of its link; the largest in a domain reads the store */
};

/** struct feed_load - load of an upstream as observed by some instance */
struct feed_load {
	uint64_t key; /* hash of the upstream and its start time */
	uint32_t running; /* requests */
	uint32_t waiting; /* requests */
	int64_t age; /* microseconds since the observation */
	uint32_t hops; /* transmissions between instances so far */
};

/** struct feed_cache_location - an upstream that has a prompt cached */
struct feed_cache_location {
	uint64_t part; /* hash of the last cached prefix part */
	uint64_t upstream; /* hash of the upstream and its start time */
	uint32_t tokens; /* rank: rows with the largest number are sent first (locality.h) */
	uint32_t hops; /* transmissions between instances so far */
};

/** struct feed_crash - a crash attributed to a key of requests, or output that clears crashes */
struct feed_crash {
	uint64_t key;
	uint64_t crash; /* hash of the crash; 0: a request with the key produced output */
	int64_t age; /* microseconds */
	uint32_t hops; /* transmissions between instances so far */
	bool is_part; /* kind of the key */
	uint32_t progress; /* output before the crash, see lib/poison */
	int64_t refused_age; /* microseconds since a request with the key was refused; -1: none */
};

/** struct feed_ops - callbacks to the owner */
struct feed_ops {
	/*
	 * An object is new or changed; @text NULL: deleted. @source: "store", "peer", or "lapsed"
	 * for a deletion that was deferred after an outage
	 */
	void (*object)(void *arg, uint32_t kind, const char *name, const char *text,
		       uint64_t revision, const char *source);
	/* Starts or stops reading the store directly; @reason: for the log */
	void (*read_store)(void *arg, bool on, const char *reason);
	/* Another instance reported a load that is newer than the known one. */
	void (*load)(void *arg, const struct feed_load *l);
	/* Makes a cheap call to the store; the owner ends it with feed_check_finished(). */
	void (*check_store)(void *arg);
	/* Sends a frame to the instance at @address. */
	void (*send)(void *arg, const char *address, const void *frame, size_t len);
	/*
	 * Requests the list of instances from the store by a cheap call; the list may be some
	 * seconds old. The owner ends it with feed_find_finished(). NULL: not supported
	 */
	void (*find_instances)(void *arg);
	/* All objects of @kind are known for the first time; NULL: not needed */
	void (*kind_complete)(void *arg, uint32_t kind);
	/* Another instance reported a cache location; NULL: not needed */
	void (*cache_location)(void *arg, const struct feed_cache_location *l);
	/* Another instance reported a crash or output of a key; NULL: not needed */
	void (*crash)(void *arg, const struct feed_crash *c);
	/*
	 * Another instance reported the stream that request @id began, and the software version
	 * that writes it, both as hashes; NULL: not needed
	 */
	void (*stream)(void *arg, uint64_t id, uint64_t build);
	/*
	 * An object that differs from the known one was dropped, as its @revision isn't newer than
	 * @known; NULL: not needed
	 */
	void (*older)(void *arg, uint32_t kind, const char *name, uint64_t revision, uint64_t known,
		      const char *source);
	/*
	 * Compares two states of an object by what they say of themselves, either of which may have
	 * been deleted since: negative if @a is the earlier one, positive if it is the later one,
	 * 0: unknown. NULL: always unknown
	 */
	int (*compare)(void *arg, uint32_t kind, const char *a, const char *b);
	/*
	 * The store began a new era, as it or a peer (@source) states; not called for the first one
	 * that a starting instance learns. NULL: not needed
	 */
	void (*era)(void *arg, uint32_t era, uint32_t previous, const char *source);
};

/** struct feed_params - settings of this instance; strings are copied */
struct feed_params {
	const char *address; /* IP:PORT of this instance's peer listener */
	const char *domain; /* failure domain */
	uint32_t capacity; /* Mbit/s of this instance's link */
	uint32_t n_kinds;
	uint64_t seed; /* of the random delays; should differ between instances */
	int64_t heartbeat; /* microseconds; interval at which owners renew their entries */
	uint32_t versioned_kinds; /* bit mask, see feed_put() */
};

struct feed;

struct feed *feed_new(const struct feed_params *p, const struct feed_ops *ops, void *arg,
		      int64_t now);
void feed_free(struct feed *f);

/** feed_set_instances() - replaces the list of known instances; it may include this one */
void feed_set_instances(struct feed *f, const struct feed_instance *list, uint32_t n);

/** feed_instance_count() - number of known instances, including this one */
uint32_t feed_instance_count(const struct feed *f);

/** feed_tick() - does the periodic work; call ten times a second */
void feed_tick(struct feed *f, int64_t now);

/**
 * feed_set_store_state() - @ok: this instance's watches of the store work
 *
 * Entries are objects that expire unless their owners renew them. After an outage in which entries
 * may have expired, deletions are deferred until two seconds after its end: the owners may not have
 * renewed their entries yet.
 */
void feed_set_store_state(struct feed *f, bool ok, int64_t now);

/** feed_check_finished() - the call by feed_ops.check_store ended; @ok: the store responded */
void feed_check_finished(struct feed *f, bool ok, int64_t now);

/** feed_find_finished() - the call by feed_ops.find_instances ended; its list is already set */
void feed_find_finished(struct feed *f, int64_t now);

/**
 * feed_set_era() - the store has begun @era; an earlier or the known one is ignored
 *
 * feed_put() and feed_complete() imply it by the era of their revisions.
 */
void feed_set_era(struct feed *f, uint32_t era, const char *source, int64_t now);

/**
 * feed_put() - the store has this object; @text NULL: it was deleted at @revision
 * @revision: made by revision_make(); one of an earlier era is ignored. Of a versioned kind: the
 *	version of the object, which rises with each change, and deletions are ignored. 0: it comes
 *	from a list that may be old, so everything else replaces it
 */
void feed_put(struct feed *f, uint32_t kind, const char *name, const char *text, uint64_t revision,
	      int64_t now);

/** feed_list_begin() - the store's complete list of @kind follows by feed_put() */
void feed_list_begin(struct feed *f, uint32_t kind, int64_t now);

/**
 * feed_complete() - all changes of @kind up to @revision were passed; @list: as a complete list
 *
 * Of a versioned kind @revision and @list have no meaning.
 */
void feed_complete(struct feed *f, uint32_t kind, uint64_t revision, bool list, int64_t now);

/** feed_report_load() - this instance observed the load of an upstream; reports it to the others */
void feed_report_load(struct feed *f, uint64_t key, uint32_t running, uint32_t waiting,
		      int64_t now);

/**
 * feed_report_cache_location() - an upstream has a prompt cached, where others may not expect it;
 * reports it to them
 */
void feed_report_cache_location(struct feed *f, uint64_t part, uint64_t upstream, uint32_t tokens,
				int64_t now);

/**
 * feed_report_crash() - this instance attributed a crash to a key, or saw output of it
 *
 * Crashes that are known already, from this or another instance, and output of keys without a crash
 * are ignored.
 */
void feed_report_crash(struct feed *f, const struct feed_crash *c, int64_t now);

/** feed_report_stream() - request @id began a stream of software version @build; both hashes */
void feed_report_stream(struct feed *f, uint64_t id, uint64_t build, int64_t now);

/** feed_stream_room() - how many calls of feed_report_stream() now lead to reports that are sent in time */
uint32_t feed_stream_room(const struct feed *f);

/** feed_sender() - address of the instance that sent @frame, or NULL; valid until the next call */
const char *feed_sender(struct feed *f, const void *frame, size_t len);

/** feed_receive() - handles a frame of another instance; 0 or -EBADMSG */
int feed_receive(struct feed *f, const void *frame, size_t len, int64_t now);

/** feed_disconnected() - the connection to @address was closed or could not be made */
void feed_disconnected(struct feed *f, const char *address, int64_t now);

/**
 * feed_confirmation_age() - microseconds since the store last confirmed the known state;
 * INT64_MAX: never
 */
int64_t feed_confirmation_age(const struct feed *f, int64_t now);

/** feed_is_store_reader() - whether this instance reads the store */
bool feed_is_store_reader(const struct feed *f);

#endif
