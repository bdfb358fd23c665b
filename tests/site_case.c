#include "site_case.h"

#include <string.h>

struct site *case_site(void)
{
	struct site *s = site_new();

	site_add_defaults(s);
	site_instance_add(s, "z-a");
	site_wait_ready(s);
	return s;
}

struct site_instance *case_instance(struct site *s, guint i)
{
	return s->instances->pdata[i];
}

struct site_replica *case_replica(struct site *s, const char *id)
{
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		if (strcmp(r->id, id) == 0)
			return r;
	}
	g_assert_not_reached();
}

void case_fault_all(struct site *s, const char *service, enum site_fault fault, uint32_t times)
{
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		if (strcmp(r->service, service) != 0)
			continue;
		r->fault = fault;
		r->faults_left = times;
	}
}

struct site_call *case_call(struct site *s, const char *path, const char *id, const char *extra)
{
	g_autofree char *headers = g_strdup_printf(
		"X-Turmerichinge-Request-Id: %s\r\nX-Turmerichinge-Deadline-Ms: 4000\r\n" AUTH "%s",
		id, extra ? extra : "");

	return site_request(case_instance(s, 0), strstr(path, "read") ? "GET" : "POST", path,
			    headers, strstr(path, "read") ? NULL : "{}");
}

uint32_t case_runs(struct site *s, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(s->run_counts, id));
}

void case_expect(struct site *s, const char *path, const char *id, int status, uint32_t runs)
{
	struct site_call *c = case_call(s, path, id, NULL);

	g_assert_cmpint(c->status, ==, status);
	g_assert_cmpuint(case_runs(s, id), ==, runs);
	site_call_free(c);
}

void case_set_raw(struct site *s, const char *service, const char *raw, const char *raw_resumed,
		  enum site_raw_end end)
{
	for (guint i = 0; i < s->replicas->len; i++) {
		struct site_replica *r = s->replicas->pdata[i];

		r->raw = raw;
		r->raw_resumed = raw_resumed;
		r->raw_end = end;
	}
	case_fault_all(s, service, SITE_FAULT_RAW, 1);
}

void case_warm_up(struct site *s)
{
	case_fault_all(s, "shop", SITE_FAULT_NONE, 0);
	case_fault_all(s, "chat", SITE_FAULT_NONE, 0);
	for (int i = 0; i < 6; i++) {
		site_call_free(case_call(s, "/read/x", "fill", NULL));
		site_call_free(case_call(s, "/stream/x", "fill", NULL));
	}
}
