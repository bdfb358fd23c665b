#include "claim/claim_shard.h"

#include <msgpack.h>
#include <string.h>

#include "base/base.h"

#define SHARD_FORMAT  1
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

static gint compare_age(gconstpointer a, gconstpointer b)
{
	const struct claim_record *x = *(const struct claim_record *const *)a;
	const struct claim_record *y = *(const struct claim_record *const *)b;

	return x->stamp < y->stamp ? -1 : x->stamp > y->stamp ? 1 : compare_key(a, b);
}

static GPtrArray *sorted(GHashTable *records, GCompareFunc compare)
{
	GPtrArray *rows = g_ptr_array_sized_new(g_hash_table_size(records));
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, records);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(rows, value);
	g_ptr_array_sort(rows, compare);
	return rows;
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
	msgpack_pack_int64(pk, r->stamp);
	msgpack_pack_int(pk, r->status);
	msgpack_pack_str(pk, type_len);
	msgpack_pack_str_body(pk, r->content_type ? r->content_type : "", type_len);
	msgpack_pack_bin(pk, len);
	msgpack_pack_bin_body(pk, body ? body : "", len);
}

GBytes *claim_records_format(GHashTable *records)
{
	g_autoptr(GPtrArray) rows = sorted(records, compare_key);
	msgpack_sbuffer buf;
	msgpack_packer pk;
	GBytes *value;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 2);
	msgpack_pack_uint8(&pk, SHARD_FORMAT);
	msgpack_pack_array(&pk, rows->len);
	for (guint i = 0; i < rows->len; i++)
		pack_record(&pk, rows->pdata[i]);
	value = g_bytes_new(buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	return value;
}

static bool get_u64(const msgpack_object *o, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = o->via.u64;
	return true;
}

static struct claim_record *parse_record(const msgpack_object *o)
{
	const msgpack_object *f = o->via.array.ptr;
	struct claim_record r = { 0 };
	uint64_t state;
	uint64_t stamp;
	uint64_t status;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != RECORD_FIELDS)
		return NULL;
	if (!get_u64(&f[0], &r.key.account) || !get_u64(&f[1], &r.key.key) ||
	    !get_u64(&f[2], &r.fingerprint) || !get_u64(&f[3], &r.attempt.nonce) ||
	    !get_u64(&f[4], &r.attempt.seq) || !get_u64(&f[5], &state) || !get_u64(&f[6], &stamp) ||
	    !get_u64(&f[7], &status))
		return NULL;
	if (state >= CLAIM_STATE_COUNT || stamp > INT64_MAX || status > 999 ||
	    f[8].type != MSGPACK_OBJECT_STR || f[9].type != MSGPACK_OBJECT_BIN ||
	    !g_utf8_validate(f[8].via.str.ptr, f[8].via.str.size, NULL))
		return NULL;
	r.state = (enum claim_state)state;
	r.stamp = (int64_t)stamp;
	r.status = (int)status;
	if (f[8].via.str.size > 0)
		r.content_type = g_strndup(f[8].via.str.ptr, f[8].via.str.size);
	if (r.state == CLAIM_STATE_DONE)
		r.body = g_bytes_new(f[9].via.bin.ptr, f[9].via.bin.size);
	return g_memdup2(&r, sizeof(r));
}

static GHashTable *parse_root(const msgpack_object *root)
{
	const msgpack_object *rows;
	GHashTable *records;

	if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size != 2 ||
	    root->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    root->via.array.ptr[0].via.u64 != SHARD_FORMAT)
		return NULL;
	rows = &root->via.array.ptr[1];
	if (rows->type != MSGPACK_OBJECT_ARRAY)
		return NULL;
	records = claim_records_new();
	for (uint32_t i = 0; i < rows->via.array.size; i++) {
		struct claim_record *r = parse_record(&rows->via.array.ptr[i]);

		if (!r || g_hash_table_contains(records, &r->key)) {
			if (r)
				claim_record_free(r);
			g_hash_table_unref(records);
			return NULL;
		}
		g_hash_table_insert(records, &r->key, r);
	}
	return records;
}

GHashTable *claim_records_parse(GBytes *value)
{
	GHashTable *records = NULL;
	msgpack_unpacked u;
	size_t at = 0;
	gsize len;
	const char *data = g_bytes_get_data(value, &len);

	if (len == 0)
		return NULL;
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, data, len, &at) == MSGPACK_UNPACK_SUCCESS && at == len)
		records = parse_root(&u.data);
	msgpack_unpacked_destroy(&u);
	return records;
}

uint32_t claim_records_expire(GHashTable *records, int64_t oldest)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, records);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct claim_record *r = value;

		if (r->stamp >= oldest)
			continue;
		g_hash_table_iter_remove(&it);
		n++;
	}
	return n;
}

uint32_t claim_records_trim(GHashTable *records, size_t bytes)
{
	g_autoptr(GPtrArray) rows = sorted(records, compare_age);
	uint32_t n = 0;

	for (guint i = 0; i < rows->len && bytes > 0; i++) {
		struct claim_record *r = rows->pdata[i];
		size_t size;

		if (r->state != CLAIM_STATE_DONE)
			continue;
		size = g_bytes_get_size(r->body);
		bytes -= MIN(bytes, size);
		g_clear_pointer(&r->body, g_bytes_unref);
		r->state = CLAIM_STATE_DONE_BARE;
		n++;
	}
	return n;
}
