#include "conf/conf.h"

#include <string.h>

#include "conf/conf_parse.h"

struct conf_store {
	GTree *objects; /* borrowed key -> owned struct conf_object */
	GHashTable *accounts_by_key; /* API key -> struct conf_account, both borrowed */
	GHashTable *services_by_model; /* model -> struct conf_service, both borrowed */
	uint64_t version; /* highest version of all objects */
	uint64_t digest; /* sum of the hashes of (key, version) */
};

static void object_free(gpointer p)
{
	struct conf_object *o = p;

	conf_value_free(o->kind, o->value);
	g_free(o->key);
	g_free(o->text);
	g_free(o);
}

static gint key_compare(gconstpointer a, gconstpointer b, gpointer unused)
{
	return strcmp(a, b);
}

struct conf_store *conf_store_new(void)
{
	struct conf_store *s = g_new0(struct conf_store, 1);

	s->objects = g_tree_new_full(key_compare, NULL, NULL, object_free);
	s->accounts_by_key = g_hash_table_new(g_str_hash, g_str_equal);
	s->services_by_model = g_hash_table_new(g_str_hash, g_str_equal);
	return s;
}

void conf_store_free(struct conf_store *s)
{
	if (!s)
		return;
	g_hash_table_unref(s->accounts_by_key);
	g_hash_table_unref(s->services_by_model);
	g_tree_unref(s->objects);
	g_free(s);
}

static gboolean index_add(gpointer key, gpointer p, gpointer arg)
{
	struct conf_store *s = arg;
	struct conf_object *o = p;

	if (!o->value)
		return FALSE;
	if (o->kind == CONF_ACCOUNT) {
		struct conf_account *a = o->value;

		g_hash_table_insert(s->accounts_by_key, a->key, a);
	} else if (o->kind == CONF_SERVICE) {
		struct conf_service *v = o->value;

		if (!v->plain)
			g_hash_table_insert(s->services_by_model, v->model, v);
	}
	return FALSE;
}

static void rebuild_indexes(struct conf_store *s)
{
	g_hash_table_remove_all(s->accounts_by_key);
	g_hash_table_remove_all(s->services_by_model);
	g_tree_foreach(s->objects, index_add, s);
}

static uint64_t object_hash(const struct conf_object *o)
{
	return hash_pair(hash_str(o->key), o->version);
}

/*
 * Replaces value @old (NULL: none) of an index; false if the index must be rebuilt because the name
 * changed, was removed or is used by two objects. Rebuilding it for each of 21,000 accounts made
 * the first load quadratic.
 */
static bool index_replace(GHashTable *index, const char *old_name, const void *old,
			  const char *name, void *value)
{
	if (!name || (old_name && strcmp(old_name, name) != 0))
		return false;
	if (g_hash_table_lookup(index, name) != old)
		return false;
	g_hash_table_replace(index, (gpointer)name, value);
	return true;
}

static bool index_update(struct conf_store *s, const struct conf_object *o, const void *old)
{
	if (o->kind == CONF_ACCOUNT) {
		const struct conf_account *prev = old;
		struct conf_account *a = o->value;

		return index_replace(s->accounts_by_key, prev ? prev->key : NULL, old,
				     a ? a->key : NULL, a);
	}
	if (o->kind == CONF_SERVICE) {
		const struct conf_service *prev = old;
		struct conf_service *v = o->value;

		return index_replace(s->services_by_model, prev ? prev->model : NULL, old,
				     v ? v->model : NULL, v);
	}
	return true;
}

/* Sets the value in force of @o; takes ownership of @value. */
static void object_set_value(struct conf_store *s, struct conf_object *o, void *value)
{
	void *old = o->value;

	o->value = value;
	if (!index_update(s, o, old))
		rebuild_indexes(s);
	conf_value_free(o->kind, old);
}

static struct conf_object *object_new(struct conf_store *s, const char *key, enum conf_kind kind)
{
	struct conf_object *o = g_new0(struct conf_object, 1);

	o->key = g_strdup(key);
	o->kind = kind;
	g_tree_insert(s->objects, o->key, o);
	s->digest += object_hash(o);
	return o;
}

int conf_apply(struct conf_store *s, const char *key, uint64_t version, const char *text,
	       struct conf_error *err)
{
	enum conf_kind kind;
	struct conf_object *o;
	void *value = NULL;
	int rc;

	rc = conf_key_kind(key, &kind, err);
	if (rc < 0)
		return rc;
	o = g_tree_lookup(s->objects, key);
	if (o && version <= o->version)
		return 0;
	rc = text ? conf_value_parse(kind, key, text, &value, err) : 0;
	if (!o)
		o = object_new(s, key, kind);
	s->digest -= object_hash(o);
	o->version = version;
	s->digest += object_hash(o);
	s->version = MAX(s->version, version);
	g_free(o->text);
	o->text = g_strdup(text);
	o->deleted = !text;
	if (rc < 0)
		return rc;
	object_set_value(s, o, value);
	return 1;
}

int conf_check_object(const char *key, const char *text, struct conf_error *err)
{
	enum conf_kind kind;
	void *value;
	int rc;

	rc = conf_key_kind(key, &kind, err);
	if (rc == 0)
		rc = conf_value_parse(kind, key, text, &value, err);
	if (rc == 0)
		conf_value_free(kind, value);
	return rc;
}

/* Returns the body of @group as text, so that file groups and platform objects share a parser. */
static char *group_to_text(GKeyFile *file, const char *group)
{
	g_auto(GStrv) keys = g_key_file_get_keys(file, group, NULL, NULL);
	GString *out = g_string_new(NULL);

	for (guint i = 0; keys && keys[i]; i++) {
		g_autofree char *value = g_key_file_get_value(file, group, keys[i], NULL);

		g_string_append_printf(out, "%s=%s\n", keys[i], value);
	}
	return g_string_free(out, FALSE);
}

int conf_load_file(struct conf_store *s, const char *path, uint64_t version, struct conf_error *err)
{
	g_autoptr(GKeyFile) file = g_key_file_new();
	g_autoptr(GError) error = NULL;
	g_auto(GStrv) groups = NULL;
	g_autofree char *content = NULL;
	gsize len;

	if (!g_file_get_contents(path, &content, &len, &error) ||
	    !g_key_file_load_from_data(file, content, len, G_KEY_FILE_NONE, &error)) {
		conf_error_set(err, path, error->message);
		return -EINVAL;
	}
	if (conf_check_duplicates(content, path, err) < 0)
		return -EINVAL;
	groups = g_key_file_get_groups(file, NULL);
	for (guint i = 0; groups[i]; i++) {
		g_autofree char *key = g_strdelimit(g_strdup(groups[i]), " ", '/');
		g_autofree char *text = group_to_text(file, groups[i]);
		int rc = conf_apply(s, key, version, text, err);

		if (rc < 0)
			return rc;
	}
	return 0;
}

uint64_t conf_version(const struct conf_store *s)
{
	return s->version;
}

uint64_t conf_digest(const struct conf_store *s)
{
	return s->digest;
}

const struct conf_object *conf_get(const struct conf_store *s, const char *key)
{
	return g_tree_lookup(s->objects, key);
}

struct each_arg {
	conf_each_fn fn;
	void *arg;
};

static gboolean each_object(gpointer key, gpointer o, gpointer p)
{
	const struct each_arg *e = p;

	e->fn(e->arg, o);
	return FALSE;
}

void conf_each(const struct conf_store *s, conf_each_fn fn, void *arg)
{
	struct each_arg e = { fn, arg };

	g_tree_foreach(s->objects, each_object, &e);
}

static const void *find_value(const struct conf_store *s, const char *prefix, const char *name)
{
	g_autofree char *key = g_strdup_printf("%s/%s", prefix, name);
	const struct conf_object *o = conf_get(s, key);

	return o ? o->value : NULL;
}

const struct conf_ranks *conf_ranks(const struct conf_store *s)
{
	const struct conf_object *o = conf_get(s, "ranks");

	return o ? o->value : NULL;
}

const struct conf_service *conf_service(const struct conf_store *s, const char *name)
{
	return find_value(s, "service", name);
}

const struct conf_service *conf_service_by_model(const struct conf_store *s, const char *model)
{
	return g_hash_table_lookup(s->services_by_model, model);
}

const struct conf_profile *conf_profile(const struct conf_store *s, const char *name)
{
	return find_value(s, "profile", name);
}

const struct conf_account *conf_account_by_key(const struct conf_store *s, const char *api_key)
{
	return g_hash_table_lookup(s->accounts_by_key, api_key);
}

const struct conf_upstream *conf_upstream(const struct conf_store *s, const char *id)
{
	return find_value(s, "upstream", id);
}
