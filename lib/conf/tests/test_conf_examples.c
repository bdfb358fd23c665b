#include <glib.h>
#include <string.h>

#include "conf/conf.h"

static const struct {
	const char *dir;
	uint32_t n_instances;
	const char *model_service;
	uint32_t n_replicas;
	const char *once_profile; /* profile whose requests run at most once */
} deployments[] = {
	{ "examples/brazos", 9, "model-yard", 10, "booking" },
	{ "examples/kaardikoda", 8, "turmeric-pool", 12, "print-order" },
};

struct count {
	const char *service;
	uint32_t n_replicas;
	uint32_t n_accounts;
	GHashTable *domains; /* failure domains, borrowed */
};

static void count_object(void *arg, const struct conf_object *o)
{
	struct count *c = arg;
	const struct conf_upstream *u = o->value;

	c->n_accounts += o->kind == CONF_ACCOUNT;
	if (o->kind != CONF_UPSTREAM)
		return;
	c->n_replicas += strcmp(u->service, c->service) == 0;
	g_hash_table_add(c->domains, u->failure_domain);
}

/* Guards against an example configuration that is invalid or refers to a missing object. */
static void test_config(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(deployments); i++) {
		g_autofree char *path = g_build_filename(deployments[i].dir, "config.ini", NULL);
		struct conf_store *s = conf_store_new();
		struct conf_error err = { 0 };
		g_autoptr(GHashTable) domains = g_hash_table_new(g_str_hash, g_str_equal);
		struct count c = { deployments[i].model_service, 0, 0, domains };

		g_assert_cmpint(conf_load_file(s, path, 1, &err), ==, 0);
		g_assert_cmpint(conf_check_all(s, &err), ==, 0);
		conf_each(s, count_object, &c);
		g_assert_cmpuint(c.n_replicas, ==, deployments[i].n_replicas);
		g_assert_cmpuint(c.n_accounts, ==, 10);
		g_assert_cmpuint(g_hash_table_size(domains), ==, 3);
		g_assert_false(conf_profile(s, deployments[i].once_profile)->repeatable);
		conf_store_free(s);
	}
}

/* Guards against example settings that the daemon rejects, or two instances with the same id. */
static void test_settings(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(deployments); i++) {
		g_autoptr(GDir) dir = g_dir_open(deployments[i].dir, 0, NULL);
		g_autoptr(GHashTable) ids =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		const char *name;

		g_assert_nonnull(dir);
		while ((name = g_dir_read_name(dir))) {
			g_autofree char *path = g_build_filename(deployments[i].dir, name, NULL);
			struct conf_error err = { 0 };
			struct conf_settings *s;

			if (strcmp(name, "config.ini") == 0)
				continue;
			s = conf_settings_load(path, &err);
			g_assert_cmpstr(err.where, ==, "");
			g_assert_nonnull(s);
			g_assert_true(g_hash_table_add(ids, g_strdup(s->instance)));
			conf_settings_free(s);
		}
		g_assert_cmpuint(g_hash_table_size(ids), ==, deployments[i].n_instances);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/conf-examples/config", test_config);
	g_test_add_func("/conf-examples/settings", test_settings);
	return g_test_run();
}
