#include "claim/claim_shard.h"

#include <msgpack.h>
#include <string.h>

#include "base/base.h"

#define SHARD_FORMAT  1 /* version of the stored format */
#define RECORD_FIELDS 10

static guint key_hash(gconstpointer p)
{
	const struct claim_key *k = p;

	return (guint)hash_pair(k->account, k->key);
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	const struct claim_key *x = a;
	const struct claim_key *y = b;

	return x->account == y->account && x->key == y->key;
}

void claim_record_free(void *record)
{
	struct claim_record *r = record;

	g_free(r->content_type);
	g_bytes_unref(r->body);
	g_free(r);
}

struct claim_record *claim_record_dup(const struct claim_record *r)
{
	struct claim_record *d = g_memdup2(r, sizeof(*r));

	d->content_type = g_strdup(r->content_type);
	d->body = r->body ? g_bytes_ref(r->body) : NULL;
	return d;
}

GHashTable *claim_records_new(void)
{
	return g_hash_table_new_full(key_hash, key_equal, NULL, claim_record_free);
}

GHashTable *claim_records_copy(GHashTable *records)
{
	GHashTable *copy = claim_records_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct claim_record *r = claim_record_dup(value);

		g_hash_table_insert(copy, &r->key, r);
	}
	return copy;
}

static gint compare_key(gconstpointer a, gconstpointer b)
{
	const struct claim_record *x = *(const struct claim_record *const *)a;
	const struct claim_record *y = *(const struct claim_record *const *)b;

	if (x->key.account != y->key.account)
		return x->key.account < y->key.account ? -1 : 1;
	return x->key.key < y->key.key ? -1 : x->key.key > y->key.key;
}

static gint compare_deadline(gconstpointer a, gconstpointer b)
{
	const struct claim_record *x = *(const struct claim_record *const *)a;
	const struct claim_record *y = *(const struct claim_record *const *)b;

	return x->wall_deadline < y->wall_deadline   ? -1
	       : x->wall_deadline > y->wall_deadline ? 1
						     : compare_key(a, b);
}

static GPtrArray *sorted_records(GHashTable *records, GCompareFunc compare)
{
	GPtrArray *list = g_ptr_array_sized_new(g_hash_table_size(records));
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, records);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(list, value);
	g_ptr_array_sort(list, compare);
	return list;
}

static void pack_record(msgpack_packer *pk, const struct claim_record *r)
{
	gsize len = 0;
	const void *body = r->body ? g_bytes_get_data(r->body, &len) : NULL;
	size_t type_len = r->content_type ? strlen(r->content_type) : 0;

	msgpack_pack_array(pk, RECORD_FIELDS);
	msgpack_pack_uint64(pk, r->key.account);
	msgpack_pack_uint64(pk, r->key.key);
	msgpack_pack_uint64(pk, r->fingerprint);
	msgpack_pack_uint64(pk, r->attempt.nonce);
	msgpack_pack_uint64(pk, r->attempt.seq);
	msgpack_pack_uint8(pk, (uint8_t)r->state);
	msgpack_pack_int64(pk, r->wall_deadline);
	msgpack_pack_int(pk, r->status);
	msgpack_pack_str(pk, type_len);
	msgpack_pack_str_body(pk, r->content_type ? r->content_type : "", type_len);
	msgpack_pack_bin(pk, len);
	msgpack_pack_bin_body(pk, body ? body : "", len);
}

GBytes *claim_records_format(GHashTable *records)
{
	g_autoptr(GPtrArray) list = sorted_records(records, compare_key);
	msgpack_sbuffer buf;
	msgpack_packer pk;
	GBytes *value;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 2);
	msgpack_pack_uint8(&pk, SHARD_FORMAT);
	msgpack_pack_array(&pk, list->len);
	for (guint i = 0; i < list->len; i++)
		pack_record(&pk, list->pdata[i]);
	value = g_bytes_new(buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	return value;
}

/*
 * Position of a msgpack parser within the bounds of a value. msgpack-c isn't used for parsing, as
 * it allocates memory for the element count in an array's header before it checks the input: a few
 * bytes could allocate gigabytes.
 */
struct cursor {
	const uint8_t *at;
	size_t left;
	bool failed; /* stays set: later reads return 0 */
};

static uint64_t read_be(struct cursor *c, size_t n)
{
	uint64_t v = 0;

	if (c->failed || c->left < n) {
		c->failed = true;
		return 0;
	}
	for (size_t i = 0; i < n; i++)
		v = v << 8 | c->at[i];
	c->at += n;
	c->left -= n;
	return v;
}

static uint64_t read_uint(struct cursor *c)
{
	uint8_t tag = (uint8_t)read_be(c, 1);

	if (tag < 0x80)
		return tag;
	if (tag >= 0xcc && tag <= 0xcf)
		return read_be(c, (size_t)1 << (tag - 0xcc));
	c->failed = true;
	return 0;
}

/* Reads the header of an array; returns the number of its elements. */
static uint64_t read_array_header(struct cursor *c)
{
	uint8_t tag = (uint8_t)read_be(c, 1);

	if ((tag & 0xf0) == 0x90)
		return tag & 0x0f;
	if (tag == 0xdc || tag == 0xdd)
		return read_be(c, tag == 0xdc ? 2 : 4);
	c->failed = true;
	return 0;
}

/* Reads a string (@len8_tag 0xd9) or binary data (0xc4): the tags of their forms with a one-byte
 * length, followed by those with two and four bytes. */
static const char *read_bytes(struct cursor *c, uint8_t len8_tag, size_t *len)
{
	uint8_t tag = (uint8_t)read_be(c, 1);
	const char *data;

	*len = 0;
	if (len8_tag == 0xd9 && (tag & 0xe0) == 0xa0)
		*len = tag & 0x1f;
	else if (tag >= len8_tag && tag <= len8_tag + 2)
		*len = read_be(c, (size_t)1 << (tag - len8_tag));
	else
		c->failed = true;
	if (c->failed || c->left < *len) {
		c->failed = true;
		return NULL;
	}
	data = (const char *)c->at;
	c->at += *len;
	c->left -= *len;
	return data;
}

static struct claim_record *parse_record(struct cursor *c)
{
	struct claim_record r = { 0 };
	uint64_t fields = read_array_header(c);
	uint64_t state;
	uint64_t deadline;
	uint64_t status;
	const char *type;
	const char *body;
	size_t type_len;
	size_t body_len;

	r.key.account = read_uint(c);
	r.key.key = read_uint(c);
	r.fingerprint = read_uint(c);
	r.attempt.nonce = read_uint(c);
	r.attempt.seq = read_uint(c);
	state = read_uint(c);
	deadline = read_uint(c);
	status = read_uint(c);
	type = read_bytes(c, 0xd9, &type_len);
	body = read_bytes(c, 0xc4, &body_len);
	if (c->failed || fields != RECORD_FIELDS || state >= CLAIM_STATE_COUNT ||
	    deadline > INT64_MAX || status > 999 || !g_utf8_validate(type, (gssize)type_len, NULL))
		return NULL;
	r.state = (enum claim_state)state;
	r.wall_deadline = (int64_t)deadline;
	r.status = (int)status;
	if (type_len > 0)
		r.content_type = g_strndup(type, type_len);
	if (r.state == CLAIM_STATE_DONE)
		r.body = g_bytes_new(body, body_len);
	return g_memdup2(&r, sizeof(r));
}

GHashTable *claim_records_parse(GBytes *value)
{
	GHashTable *records = claim_records_new();
	struct cursor c = { 0 };
	uint64_t n = 0;

	c.at = g_bytes_get_data(value, &c.left);
	if (read_array_header(&c) == 2 && read_uint(&c) == SHARD_FORMAT)
		n = read_array_header(&c);
	else
		c.failed = true;
	for (uint64_t i = 0; i < n && !c.failed; i++) {
		struct claim_record *r = parse_record(&c);

		if (r && !g_hash_table_contains(records, &r->key)) {
			g_hash_table_insert(records, &r->key, r);
			continue;
		}
		if (r)
			claim_record_free(r);
		c.failed = true;
	}
	if (!c.failed && c.left == 0)
		return records;
	g_hash_table_unref(records);
	return NULL;
}

uint32_t claim_records_expire(GHashTable *records, int64_t oldest)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct claim_record *r = value;

		if (r->wall_deadline >= oldest)
			continue;
		g_hash_table_iter_remove(&it);
		n++;
	}
	return n;
}

uint32_t claim_records_trim(GHashTable *records, size_t bytes)
{
	g_autoptr(GPtrArray) list = sorted_records(records, compare_deadline);
	uint32_t n = 0;

	for (guint i = 0; i < list->len && bytes > 0; i++) {
		struct claim_record *r = list->pdata[i];
		size_t size;

		if (r->state != CLAIM_STATE_DONE)
			continue;
		size = g_bytes_get_size(r->body);
		bytes -= MIN(bytes, size);
		g_clear_pointer(&r->body, g_bytes_unref);
		r->state = CLAIM_STATE_DONE_NO_BODY;
		n++;
	}
	return n;
}
