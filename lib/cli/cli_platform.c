#include "cli/cli_platform.h"

#include <string.h>

#define KEY_PREFIX	 "config/"
#define CALL_TIMEOUT	 (5 * USEC_PER_SEC)
#define LOAD_ATTEMPTS	 5
#define LOAD_RETRY_DELAY (300 * USEC_PER_MSEC)

int cli_platform_open(struct cli_platform *p, struct cli *c)
{
	memset(p, 0, sizeof(*p));
	if (!c->platform_url)
		return cli_error(CLI_USAGE, "--platform URL is required");
	p->plat = plat_new(c->platform_url, CALL_TIMEOUT);
	if (!p->plat)
		return cli_error(CLI_USAGE, "--platform %s: expected an HTTP URL", c->platform_url);
	p->loop = g_main_loop_new(NULL, FALSE);
	return cli_platform_load(p);
}

void cli_platform_close(struct cli_platform *p)
{
	if (p->plat)
		plat_free(p->plat);
	/* libsoup frees cancelled calls in the next iterations of the main context. */
	while (p->loop && g_main_context_iteration(NULL, FALSE))
		;
	g_clear_pointer(&p->loop, g_main_loop_unref);
	conf_store_free(p->store);
}

const char *cli_platform_strerror(enum plat_result r)
{
	switch (r) {
	case PLAT_RATE_LIMITED:
		return "the platform limits the rate of calls";
	case PLAT_UNREACHABLE:
		return "the platform can't be reached";
	case PLAT_UNKNOWN:
		return "the platform's response was lost";
	case PLAT_MALFORMED:
		return "the platform's response can't be read";
	case PLAT_CONFLICT:
		return "the object was changed concurrently";
	default:
		return "unexpected response of the platform";
	}
}

static void on_list(void *arg, const struct plat_reply *reply)
{
	struct cli_platform *p = arg;

	p->last_result = reply->result;
	for (uint32_t i = 0; reply->result == PLAT_OK && i < reply->n_objects; i++) {
		const struct plat_object *o = &reply->objects[i];
		gsize len = 0;
		const char *data = o->value ? g_bytes_get_data(o->value, &len) : NULL;
		g_autofree char *text = data ? g_strndup(data, len) : g_strdup("");
		struct conf_error err = { 0 };

		if (!o->value || !g_str_has_prefix(o->key, KEY_PREFIX))
			continue;
		if (conf_apply(p->store, o->key + strlen(KEY_PREFIX), o->version, text, &err) < 0)
			cli_error(0, "warning: the platform's object is invalid: %s: %s", err.where,
				  err.message);
	}
	g_main_loop_quit(p->loop);
}

static bool is_transient(enum plat_result r)
{
	return r == PLAT_RATE_LIMITED || r == PLAT_UNREACHABLE || r == PLAT_UNKNOWN;
}

int cli_platform_load(struct cli_platform *p)
{
	for (int i = 0; i < LOAD_ATTEMPTS; i++) {
		if (i > 0)
			g_usleep(LOAD_RETRY_DELAY);
		conf_store_free(p->store);
		p->store = conf_store_new();
		plat_list(p->plat, KEY_PREFIX, on_list, p);
		g_main_loop_run(p->loop);
		if (!is_transient(p->last_result))
			break;
	}
	if (p->last_result == PLAT_OK || p->last_result == PLAT_NOT_FOUND)
		return CLI_OK;
	return cli_error(CLI_UNREACHABLE, "%s", cli_platform_strerror(p->last_result));
}

static void on_written(void *arg, const struct plat_reply *reply)
{
	struct cli_platform *p = arg;

	p->last_result = reply->result;
	p->written_version = reply->version;
	g_main_loop_quit(p->loop);
}

void cli_platform_write(struct cli_platform *p, const char *key, uint64_t version, const char *text)
{
	g_autofree char *full_key = g_strconcat(KEY_PREFIX, key, NULL);
	g_autoptr(GBytes) value = text ? g_bytes_new(text, strlen(text)) : NULL;

	if (text)
		plat_put(p->plat, full_key, version, value, on_written, p);
	else
		plat_delete(p->plat, full_key, version, on_written, p);
	g_main_loop_run(p->loop);
}
