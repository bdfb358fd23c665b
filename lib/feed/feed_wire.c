#include "feed/feed_wire.h"

#include <errno.h>
#include <string.h>

#include "base/base.h"

#define HEADER_FIELDS 3U
#define FRAME_DEPTH   3U /* nested arrays: frame, list, element */

static void pack_str(msgpack_packer *p, const char *s, size_t n)
{
	msgpack_pack_str(p, n);
	msgpack_pack_str_body(p, s, n);
}

static void pack_header(msgpack_packer *p, enum feed_frame_type type, const char *address,
			uint32_t fields)
{
	msgpack_pack_array(p, HEADER_FIELDS + fields);
	msgpack_pack_uint8(p, FEED_WIRE_VERSION);
	msgpack_pack_uint8(p, (uint8_t)type);
	pack_str(p, address, strlen(address));
}

static void pack_crash(msgpack_packer *p, const struct feed_crash *c)
{
	uint32_t n = c->refused_age >= 0 ? 7 : c->progress ? 6 : 5;

	msgpack_pack_array(p, n);
	msgpack_pack_uint64(p, c->key);
	msgpack_pack_uint64(p, c->crash);
	msgpack_pack_uint32(p, (uint32_t)(c->age / 1000));
	msgpack_pack_uint32(p, c->hops);
	msgpack_pack_uint8(p, c->is_part);
	if (n > 5)
		msgpack_pack_uint16(p, (uint16_t)MIN(c->progress, FEED_PROGRESS_MAX));
	if (n > 6)
		msgpack_pack_uint32(p, (uint32_t)(c->refused_age / 1000));
}

void feed_wire_digest(msgpack_sbuffer *out, const char *address, const struct feed_digest *d)
{
	msgpack_packer p;

	msgpack_packer_init(&p, out, msgpack_sbuffer_write);
	pack_header(&p, FEED_DIGEST, address, 6);
	msgpack_pack_uint32(&p, d->age_ms);
	msgpack_pack_array(&p, d->n_kinds);
	for (uint32_t i = 0; i < d->n_kinds; i++)
		msgpack_pack_uint64(&p, d->newest_revision[i]);
	msgpack_pack_array(&p, d->n_loads);
	for (uint32_t i = 0; i < d->n_loads; i++) {
		msgpack_pack_array(&p, 5);
		msgpack_pack_uint64(&p, d->loads[i].key);
		msgpack_pack_uint32(&p, d->loads[i].running);
		msgpack_pack_uint32(&p, d->loads[i].waiting);
		msgpack_pack_uint32(&p, (uint32_t)(d->loads[i].age / 1000));
		msgpack_pack_uint32(&p, d->loads[i].hops);
	}
	msgpack_pack_array(&p, d->n_locations);
	for (uint32_t i = 0; i < d->n_locations; i++) {
		msgpack_pack_array(&p, 4);
		msgpack_pack_uint64(&p, d->locations[i].part);
		msgpack_pack_uint64(&p, d->locations[i].upstream);
		msgpack_pack_uint32(&p, d->locations[i].tokens);
		msgpack_pack_uint32(&p, d->locations[i].hops);
	}
	msgpack_pack_array(&p, d->n_crashes);
	for (uint32_t i = 0; i < d->n_crashes; i++)
		pack_crash(&p, &d->crashes[i]);
	msgpack_pack_array(&p, d->n_streams);
	for (uint32_t i = 0; i < d->n_streams; i++) {
		msgpack_pack_array(&p, 3);
		msgpack_pack_uint64(&p, d->streams[i].part);
		msgpack_pack_uint64(&p, d->streams[i].upstream);
		msgpack_pack_uint32(&p, d->streams[i].hops);
	}
}

void feed_wire_pull(msgpack_sbuffer *out, const char *address, uint32_t kind, uint64_t since)
{
	msgpack_packer p;

	msgpack_packer_init(&p, out, msgpack_sbuffer_write);
	pack_header(&p, FEED_PULL, address, 2);
	msgpack_pack_uint32(&p, kind);
	msgpack_pack_uint64(&p, since);
}

void feed_wire_delta(msgpack_sbuffer *out, const char *address, uint32_t kind, uint64_t since,
		     uint64_t up_to, uint32_t n)
{
	msgpack_packer p;

	msgpack_packer_init(&p, out, msgpack_sbuffer_write);
	pack_header(&p, FEED_DELTA, address, 4);
	msgpack_pack_uint32(&p, kind);
	msgpack_pack_uint64(&p, since);
	msgpack_pack_uint64(&p, up_to);
	msgpack_pack_array(&p, n);
}

void feed_wire_add_object(msgpack_sbuffer *out, const struct feed_object *o)
{
	msgpack_packer p;

	msgpack_packer_init(&p, out, msgpack_sbuffer_write);
	msgpack_pack_array(&p, 3);
	pack_str(&p, o->name, o->name_len);
	msgpack_pack_uint64(&p, o->revision);
	if (!o->text) {
		msgpack_pack_nil(&p);
	} else if (o->is_packed) {
		msgpack_pack_bin(&p, o->text_len);
		msgpack_pack_bin_body(&p, o->text, o->text_len);
	} else {
		pack_str(&p, o->text, o->text_len);
	}
}

static bool get_uint(const msgpack_object *o, uint64_t max, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return false;
	*out = o->via.u64;
	return true;
}

static bool parse_digest(const msgpack_object *f, struct feed_message *m)
{
	uint64_t age;

	if (!get_uint(&f[0], UINT32_MAX, &age) || f[1].type != MSGPACK_OBJECT_ARRAY ||
	    f[1].via.array.size > FEED_KINDS_MAX || f[2].type != MSGPACK_OBJECT_ARRAY ||
	    f[3].type != MSGPACK_OBJECT_ARRAY || f[4].type != MSGPACK_OBJECT_ARRAY ||
	    f[5].type != MSGPACK_OBJECT_ARRAY)
		return false;
	m->streams = f[5].via.array.ptr;
	m->n_streams = f[5].via.array.size;
	m->loads = f[2].via.array.ptr;
	m->n_loads = f[2].via.array.size;
	m->locations = f[3].via.array.ptr;
	m->n_locations = f[3].via.array.size;
	m->crashes = f[4].via.array.ptr;
	m->n_crashes = f[4].via.array.size;
	m->age_ms = (uint32_t)age;
	m->n_kinds = f[1].via.array.size;
	for (uint32_t i = 0; i < m->n_kinds; i++) {
		if (!get_uint(&f[1].via.array.ptr[i], UINT64_MAX, &m->newest_revision[i]))
			return false;
	}
	return true;
}

static bool parse_kind(const msgpack_object *o, struct feed_message *m)
{
	uint64_t kind;

	if (!get_uint(o, FEED_KINDS_MAX - 1, &kind))
		return false;
	m->kind = (uint32_t)kind;
	return true;
}

static bool parse_fields(const msgpack_object *f, struct feed_message *m)
{
	switch (m->type) {
	case FEED_DIGEST:
		return parse_digest(f, m);
	case FEED_PULL:
		return parse_kind(&f[0], m) && get_uint(&f[1], UINT64_MAX, &m->since);
	case FEED_DELTA:
		if (!parse_kind(&f[0], m) || !get_uint(&f[1], UINT64_MAX, &m->since) ||
		    !get_uint(&f[2], UINT64_MAX, &m->up_to) || f[3].type != MSGPACK_OBJECT_ARRAY)
			return false;
		m->objects = f[3].via.array.ptr;
		m->n_objects = f[3].via.array.size;
		return true;
	default:
		return false;
	}
}

int feed_wire_parse(const void *frame, size_t len, struct feed_message *m)
{
	static const uint32_t fields[] = { 6, 2, 4 }; /* after the header, by frame type */
	const msgpack_object *o;
	const msgpack_object *f;
	uint64_t version;
	uint64_t type;

	memset(m, 0, sizeof(*m));
	msgpack_unpacked_init(&m->unpacked);
	if (!shape_valid(frame, len, FRAME_DEPTH) ||
	    msgpack_unpack_next(&m->unpacked, frame, len, NULL) != MSGPACK_UNPACK_SUCCESS)
		return -EBADMSG;
	o = &m->unpacked.data;
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < HEADER_FIELDS)
		return -EBADMSG;
	f = o->via.array.ptr;
	if (!get_uint(&f[0], UINT8_MAX, &version) || version != FEED_WIRE_VERSION ||
	    !get_uint(&f[1], FEED_FRAME_TYPES - 1, &type) || f[2].type != MSGPACK_OBJECT_STR ||
	    !f[2].via.str.size || f[2].via.str.size >= sizeof(m->address))
		return -EBADMSG;
	m->type = (enum feed_frame_type)type;
	memcpy(m->address, f[2].via.str.ptr, f[2].via.str.size);
	if (o->via.array.size != HEADER_FIELDS + fields[type] ||
	    !parse_fields(f + HEADER_FIELDS, m))
		return -EBADMSG;
	return 0;
}

int feed_wire_load(const struct feed_message *m, uint32_t i, struct feed_load *out)
{
	const msgpack_object *o = &m->loads[i];
	const msgpack_object *f;
	uint64_t v[4];

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 5)
		return -EBADMSG;
	f = o->via.array.ptr;
	if (!get_uint(&f[0], UINT64_MAX, &out->key))
		return -EBADMSG;
	for (int k = 0; k < 4; k++) {
		if (!get_uint(&f[1 + k], UINT32_MAX, &v[k]))
			return -EBADMSG;
	}
	out->running = (uint32_t)v[0];
	out->waiting = (uint32_t)v[1];
	out->age = (int64_t)v[2] * 1000;
	out->hops = (uint32_t)v[3];
	return 0;
}

int feed_wire_cache_location(const struct feed_message *m, uint32_t i,
			     struct feed_cache_location *out)
{
	const msgpack_object *o = &m->locations[i];
	const msgpack_object *f;
	uint64_t tokens;
	uint64_t hops;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 4)
		return -EBADMSG;
	f = o->via.array.ptr;
	if (!get_uint(&f[0], UINT64_MAX, &out->part) ||
	    !get_uint(&f[1], UINT64_MAX, &out->upstream) || !get_uint(&f[2], UINT32_MAX, &tokens) ||
	    !get_uint(&f[3], UINT32_MAX, &hops))
		return -EBADMSG;
	out->tokens = (uint32_t)tokens;
	out->hops = (uint32_t)hops;
	return 0;
}

int feed_wire_stream(const struct feed_message *m, uint32_t i, struct feed_cache_location *out)
{
	const msgpack_object *o = &m->streams[i];
	const msgpack_object *f;
	uint64_t hops;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 3)
		return -EBADMSG;
	f = o->via.array.ptr;
	if (!get_uint(&f[0], UINT64_MAX, &out->part) ||
	    !get_uint(&f[1], UINT64_MAX, &out->upstream) || !get_uint(&f[2], UINT32_MAX, &hops))
		return -EBADMSG;
	out->tokens = 0;
	out->hops = (uint32_t)hops;
	return 0;
}

int feed_wire_crash(const struct feed_message *m, uint32_t i, struct feed_crash *out)
{
	const msgpack_object *o = &m->crashes[i];
	const msgpack_object *f;
	uint64_t age;
	uint64_t hops;
	uint64_t is_part;
	uint64_t progress = 0;
	uint64_t refused_age = 0;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 5 || o->via.array.size > 7)
		return -EBADMSG;
	f = o->via.array.ptr;
	if (!get_uint(&f[0], UINT64_MAX, &out->key) || !get_uint(&f[1], UINT64_MAX, &out->crash) ||
	    !get_uint(&f[2], UINT32_MAX, &age) || !get_uint(&f[3], UINT32_MAX, &hops) ||
	    !get_uint(&f[4], 1, &is_part) ||
	    (o->via.array.size > 5 && !get_uint(&f[5], FEED_PROGRESS_MAX, &progress)) ||
	    (o->via.array.size > 6 && !get_uint(&f[6], UINT32_MAX, &refused_age)))
		return -EBADMSG;
	out->age = (int64_t)age * 1000;
	out->hops = (uint32_t)hops;
	out->is_part = is_part != 0;
	out->progress = (uint32_t)progress;
	out->refused_age = o->via.array.size > 6 ? (int64_t)refused_age * 1000 : -1;
	return 0;
}

int feed_wire_object(const struct feed_message *m, uint32_t i, struct feed_object *out)
{
	const msgpack_object *o = &m->objects[i];
	const msgpack_object *f;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 3)
		return -EBADMSG;
	f = o->via.array.ptr;
	if (f[0].type != MSGPACK_OBJECT_STR || !f[0].via.str.size ||
	    f[0].via.str.size > FEED_NAME_MAX || !get_uint(&f[1], UINT64_MAX, &out->revision))
		return -EBADMSG;
	out->name = f[0].via.str.ptr;
	out->name_len = f[0].via.str.size;
	out->text = NULL;
	out->text_len = 0;
	out->is_packed = f[2].type == MSGPACK_OBJECT_BIN;
	if (f[2].type == MSGPACK_OBJECT_NIL)
		return 0;
	if (f[2].type == MSGPACK_OBJECT_STR) {
		out->text = f[2].via.str.ptr;
		out->text_len = f[2].via.str.size;
	} else if (out->is_packed) {
		out->text = f[2].via.bin.ptr;
		out->text_len = f[2].via.bin.size;
	} else {
		return -EBADMSG;
	}
	return 0;
}

void feed_wire_clear(struct feed_message *m)
{
	msgpack_unpacked_destroy(&m->unpacked);
}
