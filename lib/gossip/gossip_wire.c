/**
 * DOC: gossip_wire
 *
 * Frame: a msgpack array with the header, then one msgpack array per record ([kind, fields...]),
 * then 16 bytes of HMAC-SHA256 with the peer key over all preceding bytes. Every length is bounded,
 * and a frame is accepted completely or not at all.
 */
#include <math.h>
#include <msgpack.h>
#include <string.h>

#include "gossip/gossip_priv.h"

#define HEADER_FIELD_COUNT 15
#define RECORD_FIELDS_MAX  (2 + 2 * GOSSIP_ACCOUNTS_MAX)

static void hmac(const struct gossip *g, const void *body, size_t len, uint8_t *out)
{
	GHmac *h = g_hmac_new(G_CHECKSUM_SHA256, g->hmac_key, g->hmac_key_len);
	uint8_t digest[32];
	gsize n = sizeof(digest);

	g_hmac_update(h, body, (gssize)len);
	g_hmac_get_digest(h, digest, &n);
	g_hmac_unref(h);
	memcpy(out, digest, G_HMAC_BYTES);
}

GBytes *g_wire_sign(const struct gossip *g, const void *body, size_t len)
{
	uint8_t *frame = g_malloc(len + G_HMAC_BYTES);

	memcpy(frame, body, len);
	hmac(g, body, len, frame + len);
	return g_bytes_new_take(frame, len + G_HMAC_BYTES);
}

int g_wire_verify(const struct gossip *g, const void *frame, size_t len, size_t *body_len)
{
	uint8_t expected[G_HMAC_BYTES];
	const uint8_t *got = frame;
	uint8_t diff = 0;

	if (len <= G_HMAC_BYTES || len > GOSSIP_FRAME_MAX)
		return -EBADMSG;
	hmac(g, frame, len - G_HMAC_BYTES, expected);
	/* Compares in constant time. */
	for (size_t i = 0; i < G_HMAC_BYTES; i++)
		diff |= expected[i] ^ got[len - G_HMAC_BYTES + i];
	*body_len = len - G_HMAC_BYTES;
	return diff ? -EACCES : 0;
}

size_t g_wire_size(const struct g_out *o)
{
	return ((msgpack_sbuffer *)o->buffer)->size + G_HMAC_BYTES;
}

static void put_uint(struct g_out *o, uint64_t v)
{
	msgpack_pack_uint64(o->packer, v);
}

static void put_str(struct g_out *o, const char *s, size_t len)
{
	msgpack_pack_str(o->packer, len);
	msgpack_pack_str_body(o->packer, s, len);
}

static void put_record(struct g_out *o, enum g_record_kind kind, size_t fields)
{
	msgpack_pack_array(o->packer, fields + 1);
	put_uint(o, kind);
}

/* Rounds a number of tokens or a rate to an integer; 0 if out of range. */
static uint64_t round_uint(double v)
{
	return v > 0 && v < 1e15 ? (uint64_t)(v + 0.5) : 0;
}

void g_wire_header(struct g_out *o, const struct g_header *h)
{
	msgpack_pack_array(o->packer, HEADER_FIELD_COUNT);
	put_uint(o, G_PROTOCOL);
	put_str(o, h->id, strlen(h->id));
	put_str(o, h->address, strlen(h->address));
	put_uint(o, h->incarnation);
	put_uint(o, h->stamp);
	put_uint(o, h->domain);
	put_uint(o, h->flags);
	put_uint(o, h->conf_digest);
	put_uint(o, h->member_digest);
	put_uint(o, h->leaving_poison_digest);
	put_uint(o, h->root);
	put_uint(o, h->root_seq);
	put_uint(o, h->distance);
	put_uint(o, h->children);
	put_uint(o, h->platform_contact);
}

void g_wire_conf(struct g_out *o, const char *key, uint64_t version, const char *text)
{
	put_record(o, G_RECORD_CONF, 3);
	put_str(o, key, strlen(key));
	put_uint(o, version);
	if (text)
		put_str(o, text, strlen(text));
	else
		msgpack_pack_nil(o->packer);
}

void g_wire_leaving(struct g_out *o, const struct g_leaving_flag *m)
{
	put_record(o, G_RECORD_LEAVING, 3);
	put_str(o, m->id, strlen(m->id));
	put_uint(o, m->version);
	put_uint(o, m->leaving);
}

void g_wire_poison(struct g_out *o, const struct poison_record *m)
{
	bool has_progress = false;

	for (uint32_t i = 0; i < POISON_CRASHES_MAX; i++)
		has_progress |= m->progress[i] > 0;
	put_record(o, G_RECORD_POISON, 3 + (has_progress ? 3 : 2) * POISON_CRASHES_MAX);
	put_uint(o, m->key);
	put_uint(o, m->is_part);
	put_uint(o, (uint64_t)MAX(m->begun_at, 0));
	for (uint32_t i = 0; i < POISON_CRASHES_MAX; i++) {
		put_uint(o, m->crashes[i]);
		put_uint(o, (uint64_t)MAX(m->crashed_at[i], 0));
	}
	for (uint32_t i = 0; has_progress && i < POISON_CRASHES_MAX; i++)
		put_uint(o, m->progress[i]);
}

void g_wire_member(struct g_out *o, const struct gossip_instance *i)
{
	put_record(o, G_RECORD_MEMBER, 5);
	put_str(o, i->id, strlen(i->id));
	put_str(o, i->address, strlen(i->address));
	put_uint(o, i->domain);
	put_uint(o, i->incarnation);
	put_uint(o, i->state);
}

void g_wire_health(struct g_out *o, const struct g_health *h)
{
	put_record(o, G_RECORD_HEALTH, 5);
	put_uint(o, h->upstream);
	put_uint(o, h->observer);
	put_uint(o, h->version);
	put_uint(o, h->epoch);
	put_uint(o, (uint64_t)h->state);
}

void g_wire_load(struct g_out *o, const struct g_load *l, int64_t now)
{
	const struct load_report *r = &l->report;

	put_record(o, G_RECORD_LOAD, 10);
	put_uint(o, l->upstream);
	put_uint(o, r->epoch);
	put_uint(o, r->seq);
	/* Age in units of 10 ms. */
	put_uint(o, (uint64_t)CLAMP((now - l->made_at) / (10 * USEC_PER_MSEC), 0, 65535));
	put_uint(o, round_uint(r->queued_tokens));
	put_uint(o, round_uint(r->running_tokens));
	put_uint(o, r->running);
	put_uint(o, r->queued);
	put_uint(o, r->slots);
	/* Rates change slowly: 16 bits each are enough. */
	put_uint(o, MIN(round_uint(r->prefill_rate), 65535) << 16 |
			    MIN(round_uint(r->decode_rate), 65535));
}

void g_wire_pull(struct g_out *o, const uint32_t *buckets, uint32_t first)
{
	uint8_t bytes[G_CONF_DIGEST_BYTES];

	for (uint32_t i = 0; i < G_CONF_BUCKETS; i++) {
		uint32_t le = GUINT32_TO_LE(buckets[i]);

		memcpy(bytes + i * 4, &le, 4);
	}
	put_record(o, G_RECORD_PULL, 2);
	put_uint(o, first);
	msgpack_pack_bin(o->packer, sizeof(bytes));
	msgpack_pack_bin_body(o->packer, bytes, sizeof(bytes));
}

void g_wire_pull_end(struct g_out *o, uint32_t next)
{
	put_record(o, G_RECORD_PULL_END, 1);
	put_uint(o, next);
}

void g_wire_accounts(struct g_out *o, enum g_record_kind kind,
		     const struct gossip_account *accounts, uint32_t n)
{
	put_record(o, kind, (size_t)n * 2);
	for (uint32_t i = 0; i < n; i++) {
		put_uint(o, accounts[i].account);
		put_uint(o, round_uint(accounts[i].rate));
	}
}

/** struct g_field_reader - reads the fields of one array in order */
struct g_field_reader {
	const msgpack_object *fields;
	uint32_t n;
	uint32_t at; /* next field */
	bool invalid; /* a field is missing, of a wrong type or out of bounds */
};

static const msgpack_object *next_field(struct g_field_reader *r, msgpack_object_type type)
{
	const msgpack_object *o = r->at < r->n ? &r->fields[r->at++] : NULL;

	if (o && o->type == type)
		return o;
	r->invalid = true;
	return NULL;
}

static uint64_t read_uint(struct g_field_reader *r, uint64_t max)
{
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (!o)
		return 0;
	r->invalid |= o->via.u64 > max;
	return o->via.u64;
}

/* Copies a string of printable ASCII without spaces into @out, which has @max + 1 bytes. */
static void read_str(struct g_field_reader *r, char *out, size_t max)
{
	const msgpack_object *o = next_field(r, MSGPACK_OBJECT_STR);

	out[0] = '\0';
	if (!o)
		return;
	if (o->via.str.size > max) {
		r->invalid = true;
		return;
	}
	for (uint32_t i = 0; i < o->via.str.size; i++) {
		out[i] = o->via.str.ptr[i];
		r->invalid |= out[i] < 0x21 || out[i] > 0x7e;
	}
	out[o->via.str.size] = '\0';
}

static void read_header(struct g_field_reader *r, struct g_header *h)
{
	read_uint(r, UINT64_MAX);
	read_str(r, h->id, G_ID_MAX);
	read_str(r, h->address, G_ADDRESS_MAX);
	h->incarnation = read_uint(r, UINT64_MAX);
	h->stamp = read_uint(r, UINT64_MAX);
	h->domain = (uint32_t)read_uint(r, UINT32_MAX);
	h->flags = (uint32_t)read_uint(r, UINT32_MAX);
	h->conf_digest = read_uint(r, UINT64_MAX);
	h->member_digest = (uint32_t)read_uint(r, UINT32_MAX);
	h->leaving_poison_digest = (uint32_t)read_uint(r, UINT32_MAX);
	h->root = read_uint(r, UINT64_MAX);
	h->root_seq = read_uint(r, UINT64_MAX);
	h->distance = (uint32_t)read_uint(r, UINT16_MAX);
	h->children = (uint32_t)read_uint(r, UINT16_MAX);
	h->platform_contact = (uint32_t)read_uint(r, UINT32_MAX);
	r->invalid |= h->id[0] == '\0';
}

static void read_conf(struct g_field_reader *r, struct g_record *rec)
{
	const msgpack_object *text;

	read_str(r, rec->key, G_KEY_MAX);
	rec->version = read_uint(r, UINT64_MAX);
	text = r->at < r->n ? &r->fields[r->at++] : NULL;
	rec->text = NULL;
	if (text && text->type == MSGPACK_OBJECT_STR && text->via.str.size <= G_TEXT_MAX) {
		rec->text = text->via.str.size ? text->via.str.ptr : "";
		rec->text_len = text->via.str.size;
		r->invalid |= rec->text_len > 0 && memchr(rec->text, '\0', rec->text_len) != NULL;
	} else {
		r->invalid |= !text || text->type != MSGPACK_OBJECT_NIL;
	}
}

static void read_poison(struct g_field_reader *r, struct poison_record *m)
{
	bool has_progress;

	m->key = read_uint(r, UINT64_MAX);
	m->is_part = read_uint(r, 1);
	m->begun_at = (int64_t)read_uint(r, INT64_MAX);
	for (uint32_t i = 0; i < POISON_CRASHES_MAX; i++) {
		m->crashes[i] = read_uint(r, UINT64_MAX);
		m->crashed_at[i] = (int64_t)read_uint(r, INT64_MAX);
	}
	/* Only records of crashes after output have it. */
	has_progress = r->at < r->n;
	for (uint32_t i = 0; i < POISON_CRASHES_MAX; i++)
		m->progress[i] = has_progress ? (uint32_t)read_uint(r, UINT32_MAX) : 0;
}

static void read_member(struct g_field_reader *r, struct g_record *rec)
{
	read_str(r, rec->id, G_ID_MAX);
	read_str(r, rec->address, G_ADDRESS_MAX);
	rec->inst.id = rec->id;
	rec->inst.address = rec->address;
	rec->inst.hash = hash_str(rec->id);
	rec->inst.domain = (uint32_t)read_uint(r, UINT32_MAX);
	rec->inst.incarnation = read_uint(r, UINT64_MAX);
	rec->inst.state = (enum gossip_state)read_uint(r, GOSSIP_STATE_COUNT - 1);
	r->invalid |= rec->id[0] == '\0' || rec->address[0] == '\0';
}

static void read_health(struct g_field_reader *r, struct g_health *h)
{
	h->upstream = read_uint(r, UINT64_MAX);
	h->observer = read_uint(r, UINT64_MAX);
	h->version = read_uint(r, UINT64_MAX);
	h->epoch = read_uint(r, UINT64_MAX);
	h->state = (int)read_uint(r, 255);
}

static void read_load(struct g_field_reader *r, struct g_load *l)
{
	struct load_report *p = &l->report;
	uint64_t rates;

	l->upstream = read_uint(r, UINT64_MAX);
	p->epoch = read_uint(r, UINT64_MAX);
	p->seq = read_uint(r, UINT64_MAX);
	l->made_at = (int64_t)read_uint(r, 65535) * 10 * USEC_PER_MSEC;
	p->age = l->made_at;
	p->queued_tokens = (double)read_uint(r, UINT64_MAX);
	p->running_tokens = (double)read_uint(r, UINT64_MAX);
	p->running = (uint32_t)read_uint(r, UINT32_MAX);
	p->queued = (uint32_t)read_uint(r, UINT32_MAX);
	p->slots = (uint32_t)read_uint(r, UINT32_MAX);
	rates = read_uint(r, UINT32_MAX);
	p->prefill_rate = (double)(rates >> 16);
	p->decode_rate = (double)(rates & 0xffff);
}

static void read_pull(struct g_field_reader *r, struct g_record *rec)
{
	const msgpack_object *o;

	rec->bucket = (uint32_t)read_uint(r, G_CONF_BUCKETS - 1);
	o = next_field(r, MSGPACK_OBJECT_BIN);
	if (o && o->via.bin.size == G_CONF_DIGEST_BYTES)
		rec->buckets = (const uint8_t *)o->via.bin.ptr;
	else
		r->invalid = true;
}

static void read_accounts(struct g_field_reader *r, struct g_record *rec)
{
	rec->n_accounts = (r->n - r->at) / 2;
	if (rec->n_accounts > GOSSIP_ACCOUNTS_MAX) {
		r->invalid = true;
		return;
	}
	for (uint32_t i = 0; i < rec->n_accounts; i++) {
		rec->accounts[i].account = read_uint(r, UINT64_MAX);
		rec->accounts[i].rate = (double)read_uint(r, UINT64_MAX);
	}
}

static void read_record(struct g_field_reader *r, struct g_record *rec)
{
	rec->kind = (enum g_record_kind)read_uint(r, G_RECORD_ACCOUNTS_DOWN);
	if (r->invalid)
		return;
	switch (rec->kind) {
	case G_RECORD_CONF:
		read_conf(r, rec);
		break;
	case G_RECORD_LEAVING:
		read_str(r, rec->id, G_ID_MAX);
		rec->version = read_uint(r, UINT64_MAX);
		rec->leaving = read_uint(r, 1) != 0;
		r->invalid |= rec->id[0] == '\0';
		break;
	case G_RECORD_POISON:
		read_poison(r, &rec->poison);
		break;
	case G_RECORD_MEMBER:
		read_member(r, rec);
		break;
	case G_RECORD_HEALTH:
		read_health(r, &rec->health);
		break;
	case G_RECORD_LOAD:
		read_load(r, &rec->load);
		break;
	case G_RECORD_PULL:
		read_pull(r, rec);
		break;
	case G_RECORD_PULL_END:
		rec->bucket = (uint32_t)read_uint(r, G_CONF_BUCKETS - 1);
		break;
	case G_RECORD_ACCOUNTS_UP:
	case G_RECORD_ACCOUNTS_DOWN:
		read_accounts(r, rec);
		break;
	}
	r->invalid |= r->at != r->n;
}

/* Parses the records after the header; with a NULL @fn it only checks them. */
static int read_records(msgpack_unpacked *u, const char *body, size_t len, size_t off,
			const struct g_header *h, g_record_fn fn, void *arg)
{
	struct g_record *rec = g_new0(struct g_record, 1);
	int rc = 0;

	while (off < len && rc == 0) {
		struct g_field_reader r;

		if (msgpack_unpack_next(u, body, len, &off) != MSGPACK_UNPACK_SUCCESS ||
		    u->data.type != MSGPACK_OBJECT_ARRAY ||
		    u->data.via.array.size > RECORD_FIELDS_MAX) {
			rc = -EBADMSG;
			break;
		}
		r = (struct g_field_reader){ u->data.via.array.ptr, u->data.via.array.size, 0,
					     false };
		read_record(&r, rec);
		if (r.invalid)
			rc = -EBADMSG;
		else if (fn)
			fn(arg, h, rec);
	}
	g_free(rec);
	return rc;
}

int g_wire_parse(const void *body, size_t len, struct g_header *h, g_record_fn fn, void *arg)
{
	msgpack_unpacked u;
	struct g_field_reader r;
	size_t off = 0;
	int rc = -EBADMSG;

	/* Depth 1: the elements of the arrays are scalars. */
	if (!shape_valid(body, len, 1))
		return -EBADMSG;
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, body, len, &off) != MSGPACK_UNPACK_SUCCESS ||
	    u.data.type != MSGPACK_OBJECT_ARRAY || u.data.via.array.size == 0)
		goto out;
	r = (struct g_field_reader){ u.data.via.array.ptr, u.data.via.array.size, 0, false };
	if (r.fields[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    r.fields[0].via.u64 != G_PROTOCOL) {
		rc = -EPROTO;
		goto out;
	}
	read_header(&r, h);
	if (r.invalid || r.at != r.n)
		goto out;
	rc = read_records(&u, body, len, off, h, NULL, NULL);
	if (rc == 0)
		rc = read_records(&u, body, len, off, h, fn, arg);
out:
	msgpack_unpacked_destroy(&u);
	return rc;
}
