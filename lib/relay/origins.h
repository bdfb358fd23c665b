/**
 * DOC: origins
 *
 * Which software version (build) of a service began a stream. What two builds write doesn't fit
 * together, so a caller's stream goes on only at the build that began it. An instance knows that of
 * streams that it has passed on, and of those that others report while a service has several
 * builds. Of any other stream it knows only if the service had a single build for as long as a
 * stream can last.
 *
 * After a start, only what the instances have recorded in the store tells which builds there were
 * before. The record of an instance names all builds of that time, so builds that none of the
 * records names had no stream.
 *
 * Never reads the clock; times are monotonic, in microseconds.
 */
#ifndef RELAY_ORIGINS_H
#define RELAY_ORIGINS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/base.h"

/* Longer than a stream and the attempts of its caller to take it up. */
#define ORIGIN_MEMORY (30 * USEC_PER_SEC)

/** struct origin_build - a build of a service */
struct origin_build {
	const char *service;
	const char *build; /* "": the entries of its upstreams have no version */
};

struct origins;

struct origins *origins_new(void);
void origins_free(struct origins *o);

/** origins_start() - the upstreams that origins_listed() reported are all; later calls are ignored */
void origins_start(struct origins *o, int64_t now);

/** origins_listed() - upstreams of @service with @build are listed */
void origins_listed(struct origins *o, const char *service, const char *build, int64_t now);

/** origins_set_records() - the builds that all instances have recorded, or none */
void origins_set_records(struct origins *o, const struct origin_build *list, uint32_t n);

/**
 * origins_list_builds() - builds to record: those that may have begun a stream, by service and build
 *
 * Fills @out, which has room for @max; returns the number. The strings are borrowed.
 */
uint32_t origins_list_builds(const struct origins *o, int64_t now, struct origin_build *out,
			     uint32_t max);

/** origins_add() - the stream that request @id_hash began is of the build @build_hash */
void origins_add(struct origins *o, uint64_t id_hash, uint64_t build_hash, int64_t now);

/** origins_find() - hash of the build that began a stream; 0: unknown */
uint64_t origins_find(const struct origins *o, const char *service, uint64_t id_hash, int64_t now);

/** origins_only_build() - hash of the only build that may have begun a stream; 0: unknown */
uint64_t origins_only_build(const struct origins *o, const char *service, int64_t now);

/** origins_end() - the caller has the whole stream, so nobody needs to be told of it */
void origins_end(struct origins *o, uint64_t id_hash);

/** struct origin - the build of a stream, for other instances */
struct origin {
	uint64_t id_hash;
	uint64_t build_hash;
};

/**
 * origins_begin() - like origins_add(), for a stream that this instance passes on: others are told of
 * it while the service has several builds
 */
void origins_begin(struct origins *o, const char *service, uint64_t id_hash, uint64_t build_hash,
		   int64_t now);

/** origins_collect() - fills @out with streams that others are to be told of now; newest first */
uint32_t origins_collect(struct origins *o, int64_t now, struct origin *out, uint32_t max);

#endif
