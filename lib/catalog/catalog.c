#include "catalog/catalog.h"

#include <math.h>
#include <string.h>

#include "base/base.h"

const char *cat_kind_name(enum cat_kind k)
{
	static const char *const names[] = { "idempotent", "once", "stream" };

	return names[k];
}

static void clear_backend(gpointer p)
{
	g_free(((struct cat_backend *)p)->service);
}

struct cat_route *cat_route_new(void)
{
	struct cat_route *r = g_new0(struct cat_route, 1);

	r->backends = g_array_new(FALSE, TRUE, sizeof(struct cat_backend));
	g_array_set_clear_func(r->backends, clear_backend);
	r->max_attempts = 1;
	return r;
}

void cat_route_free(struct cat_route *r)
{
	if (!r)
		return;
	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_array_unref(r->backends);
	g_free(r);
}

void cat_route_add_backend(struct cat_route *r, const char *service, double weight)
{
	struct cat_backend b = { .service = g_strdup(service), .weight = weight };

	g_array_append_val(r->backends, b);
}

static void free_route(gpointer p)
{
	cat_route_free(p);
}

static void free_service(gpointer p)
{
	struct cat_service *s = p;

	g_free(s->name);
	g_free(s->health_path);
	g_free(s);
}

static void free_account(gpointer p)
{
	struct cat_account *a = p;

	g_free(a->name);
	g_free(a);
}

static void unref_array(gpointer p)
{
	g_ptr_array_unref(p);
}

struct cat_config *cat_config_new(uint64_t version)
{
	struct cat_config *c = g_new0(struct cat_config, 1);

	c->refs = 1;
	c->version = version;
	c->routes = g_ptr_array_new_with_free_func(free_route);
	c->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_array);
	c->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
	c->accounts = g_ptr_array_new_with_free_func(free_account);
	c->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

struct cat_config *cat_config_ref(struct cat_config *c)
{
	c->refs++;
	return c;
}

void cat_config_unref(struct cat_config *c)
{
	if (!c || --c->refs > 0)
		return;
	g_hash_table_unref(c->keys);
	g_hash_table_unref(c->hosts);
	g_hash_table_unref(c->services);
	g_ptr_array_unref(c->routes);
	g_ptr_array_unref(c->accounts);
	g_free(c);
}

/* Sorts the longest prefix first. */
static gint compare_prefix_length(gconstpointer a, gconstpointer b)
{
	const struct cat_route *x = *(const struct cat_route *const *)a;
	const struct cat_route *y = *(const struct cat_route *const *)b;
	size_t nx = strlen(x->prefix);
	size_t ny = strlen(y->prefix);

	return nx > ny ? -1 : nx < ny;
}

void cat_config_seal(struct cat_config *c)
{
	GHashTableIter it;
	gpointer list;

	for (guint i = 0; i < c->routes->len; i++) {
		struct cat_route *r = c->routes->pdata[i];
		char *host = g_ascii_strdown(r->host, -1);
		GPtrArray *host_routes = g_hash_table_lookup(c->hosts, host);

		if (host_routes) {
			g_free(host);
		} else {
			host_routes = g_ptr_array_new();
			g_hash_table_insert(c->hosts, host, host_routes);
		}
		g_ptr_array_add(host_routes, r);
	}
	g_hash_table_iter_init(&it, c->hosts);
	while (g_hash_table_iter_next(&it, NULL, &list))
		g_ptr_array_sort(list, compare_prefix_length);
}

const struct cat_route *cat_config_find_route(const struct cat_config *c, const char *host,
					      const char *path)
{
	size_t len = host ? strcspn(host, ":") : 0;
	g_autofree char *name = host ? g_ascii_strdown(host, (gssize)len) : NULL;
	const GPtrArray *host_routes = name ? g_hash_table_lookup(c->hosts, name) : NULL;

	for (guint i = 0; host_routes && i < host_routes->len; i++) {
		const struct cat_route *r = host_routes->pdata[i];

		if (strncmp(path, r->prefix, strlen(r->prefix)) == 0)
			return r;
	}
	return NULL;
}

const struct cat_account *cat_config_account(const struct cat_config *c, const char *key)
{
	return key ? g_hash_table_lookup(c->keys, key) : NULL;
}

const struct cat_service *cat_config_service(const struct cat_config *c, const char *name)
{
	return g_hash_table_lookup(c->services, name);
}

/* Weighted rendezvous hashing: a change of weights moves the fewest possible keys. */
const char *cat_route_pick_service(const struct cat_route *r, uint64_t key)
{
	const char *best = NULL;
	double best_score = 0;

	for (guint i = 0; i < r->backends->len; i++) {
		const struct cat_backend *b = &g_array_index(r->backends, struct cat_backend, i);
		/* The upper 53 bits of the hash as a uniform number in (0, 1) */
		double u = ((double)(hash_pair(key, hash_str(b->service)) >> 11) + 0.5) * 0x1.0p-53;
		double score = b->weight > 0 ? -b->weight / log(u) : 0;

		if (score > best_score) {
			best = b->service;
			best_score = score;
		}
	}
	return best;
}

bool cat_config_replaces(const struct cat_config *current, const struct cat_config *next)
{
	return !current || next->version > current->version;
}
