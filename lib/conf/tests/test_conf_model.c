#include <glib.h>

#include "conf/conf.h"

static int check(const char *text)
{
	struct conf_error err = { 0 };

	return conf_check_object("model/yard", text, &err);
}

/*
 * Guards against accepting a desired state that can't be reached, or one without a version or a
 * valid number of replicas, which could leave no replica in service.
 */
static void test_model(void)
{
	g_assert_cmpint(check("service = s\nversion = 2\nreplicas = 6\nmin_ready = 5"), ==, 0);
	g_assert_cmpint(check("service = s\nversion = 2\nreplicas = 6\nadapters = a, b"), ==, 0);
	g_assert_cmpint(check("service = s\nversion = 2\nreplicas = 6\nmin_ready = 7"), ==,
			-EINVAL);
	g_assert_cmpint(check("service = s\nversion = 2"), ==, -EINVAL);
	g_assert_cmpint(check("service = s\nreplicas = 2"), ==, -EINVAL);
	g_assert_cmpint(check("service = s\nversion = 2\nreplicas = many"), ==, -EINVAL);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/conf/model", test_model);
	return g_test_run();
}
