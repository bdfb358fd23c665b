#include "base/ctr.h"

#include <string.h>

static GMutex ctr_lock;
static GHashTable *ctr_table; /* owned name -> struct ctr */

struct ctr *ctr_get(const char *name)
{
	struct ctr *c;

	g_mutex_lock(&ctr_lock);
	if (!ctr_table)
		ctr_table = g_hash_table_new(g_str_hash, g_str_equal);
	c = g_hash_table_lookup(ctr_table, name);
	if (!c) {
		c = g_new0(struct ctr, 1);
		g_hash_table_insert(ctr_table, g_strdup(name), c);
	}
	g_mutex_unlock(&ctr_lock);
	return c;
}

void ctr_print(GString *out)
{
	g_autoptr(GList) names = NULL;

	g_mutex_lock(&ctr_lock);
	if (ctr_table)
		names = g_list_sort(g_hash_table_get_keys(ctr_table), (GCompareFunc)strcmp);
	for (GList *l = names; l; l = l->next) {
		const struct ctr *c = g_hash_table_lookup(ctr_table, l->data);

		g_string_append_printf(out, "turmerichinge_%s %" G_GINT64_FORMAT "\n",
				       (const char *)l->data, ctr_value(c));
	}
	g_mutex_unlock(&ctr_lock);
}
