#include "relay/call.h"

struct call *call_new(struct cat_config *config)
{
	struct call *c = g_new0(struct call, 1);

	c->config = cat_config_ref(config);
	c->id = g_strdup("");
	c->body = g_byte_array_new();
	c->part_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	c->deadline = INT64_MAX;
	return c;
}

void call_free(struct call *c)
{
	if (!c)
		return;
	cat_config_unref(c->config);
	g_free(c->id);
	g_free(c->resume_after);
	g_free(c->resumes);
	g_free(c->method);
	g_free(c->target);
	http_head_free(c->head);
	g_byte_array_unref(c->body);
	g_array_unref(c->part_ids);
	g_free(c);
}

bool call_is_repeatable(const struct call *c)
{
	return c->route->kind == CAT_IDEMPOTENT ||
	       (c->route->kind == CAT_STREAM && c->route->resumable);
}

void call_locality(const struct call *c, struct locality_request *out)
{
	*out = (struct locality_request){ .parts = c->parts,
					  .n_parts = c->n_parts,
					  .seed = hash_str(c->id) };
}
