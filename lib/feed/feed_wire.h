/* Frames between instances; private to feed. */
#ifndef FEED_FEED_WIRE_H
#define FEED_FEED_WIRE_H

#include <msgpack.h>

#include "feed/feed.h"

/* Frames are msgpack arrays: version, type, address of the sender, then the fields of the type. */
#define FEED_WIRE_VERSION 4

enum feed_frame_type {
	/*
	 * Confirmation age in ms; revision of the newest change of each kind; loads: key, running,
	 * waiting, age in ms, hops; cache locations: part, upstream, tokens, hops; crashes: key, crash,
	 * age in ms, hops, 1 for the key of a prompt part or 0; only if they matter the progress,
	 * and the ms since a request with the key was refused; streams: id, build, hops
	 */
	FEED_DIGEST,
	FEED_PULL, /* kind, revision up to which all changes are known */
	/*
	 * Kind, revisions since and up to, objects: name, revision, and the text as a string, or
	 * compressed as binary data, or nil if it was deleted
	 */
	FEED_DELTA,
	FEED_FRAME_TYPES,
};

#define FEED_ADDRESS_MAX 64U /* bytes, including a NUL */
#define FEED_AGE_NEVER	 UINT32_MAX /* instead of ms: no confirmation so far */
/* Larger progress is sent as this one: output that is longer than all others is seldom needed. */
#define FEED_PROGRESS_MAX UINT16_MAX

struct feed_object {
	const char *name; /* not NUL-terminated */
	size_t name_len;
	const char *text; /* NULL: deleted; not NUL-terminated */
	size_t text_len;
	bool is_packed; /* text is the output of feed_pack() */
	uint64_t revision;
};

/* A parsed frame; its pointers are valid until feed_wire_clear(). */
struct feed_message {
	msgpack_unpacked unpacked;
	enum feed_frame_type type;
	char address[FEED_ADDRESS_MAX];
	uint32_t age_ms;
	uint64_t newest_revision[FEED_KINDS_MAX];
	uint32_t n_kinds;
	const msgpack_object *loads; /* checked by feed_wire_load() */
	uint32_t n_loads;
	const msgpack_object *locations; /* checked by feed_wire_cache_location() */
	uint32_t n_locations;
	const msgpack_object *streams; /* checked by feed_wire_stream() */
	uint32_t n_streams;
	const msgpack_object *crashes; /* checked by feed_wire_crash() */
	uint32_t n_crashes;
	uint32_t kind;
	uint64_t since;
	uint64_t up_to;
	const msgpack_object *objects; /* checked by feed_wire_object() */
	uint32_t n_objects;
};

/* Contents of a digest; all pointers are borrowed. */
struct feed_digest {
	uint32_t age_ms; /* since the last confirmation; FEED_AGE_NEVER: none so far */
	const uint64_t *newest_revision; /* revision of the newest change of each kind */
	uint32_t n_kinds;
	const struct feed_load *loads;
	uint32_t n_loads;
	const struct feed_cache_location *locations;
	uint32_t n_locations;
	const struct feed_cache_location *streams; /* part: the stream, upstream: its build */
	uint32_t n_streams;
	const struct feed_crash *crashes;
	uint32_t n_crashes;
};

void feed_wire_digest(msgpack_sbuffer *out, const char *address, const struct feed_digest *d);
void feed_wire_pull(msgpack_sbuffer *out, const char *address, uint32_t kind, uint64_t since);
/* Writes the header of a delta; @n objects follow by feed_wire_add_object(). */
void feed_wire_delta(msgpack_sbuffer *out, const char *address, uint32_t kind, uint64_t since,
		     uint64_t up_to, uint32_t n);
void feed_wire_add_object(msgpack_sbuffer *out, const struct feed_object *o);

/* Parses a frame; 0 or -EBADMSG. Free @m with feed_wire_clear() in both cases. */
int feed_wire_parse(const void *frame, size_t len, struct feed_message *m);
/* These parse element @i of a list in @m; 0 or -EBADMSG. */
int feed_wire_load(const struct feed_message *m, uint32_t i, struct feed_load *out);
int feed_wire_cache_location(const struct feed_message *m, uint32_t i,
			     struct feed_cache_location *out);
int feed_wire_stream(const struct feed_message *m, uint32_t i, struct feed_cache_location *out);
int feed_wire_crash(const struct feed_message *m, uint32_t i, struct feed_crash *out);
int feed_wire_object(const struct feed_message *m, uint32_t i, struct feed_object *out);

void feed_wire_clear(struct feed_message *m);

#endif
