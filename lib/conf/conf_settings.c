#include <string.h>

#include "conf/conf_parse.h"

#define FIELD(type, member, name, def, min, max)                                                   \
	{                                                                                          \
		name, CONF_FIELD_##type, offsetof(struct conf_settings, member), def, min, max     \
	}

static const struct conf_field instance_fields[] = {
	FIELD(STRING, instance, "id", NULL, 0, 0),
	FIELD(STRING, failure_domain, "failure_domain", NULL, 0, 0),
	FIELD(LOG_LEVEL, log_level, "log_level", "info", 0, 0),
	FIELD(STRING, config_file, "config_file", "", 0, 0),
	FIELD(MSEC, shutdown_delay, "shutdown_delay_ms", "1000", 0, 6e5),
	FIELD(MSEC, shutdown_limit, "shutdown_limit_ms", "600000", 0, CONF_MAX_MSEC),
	FIELD(U64, memory_bytes, "memory_bytes", "1073741824", 3.3e7, 1e13),
};

static const struct conf_field caller_fields[] = {
	FIELD(ADDRESS, caller_listen, "listen", NULL, 0, 0),
	FIELD(STRING, tls_cert, "tls_cert", "", 0, 0),
	FIELD(STRING, tls_key, "tls_key", "", 0, 0),
	FIELD(U64, max_body_bytes, "max_body_bytes", "4194304", 1024, 1e9),
	FIELD(U64, stream_buffer_bytes, "stream_buffer_bytes", "16384", 1024, 1e8),
	FIELD(MSEC, stream_stall, "stream_stall_ms", "60000", 1000, CONF_MAX_MSEC),
};

static const struct conf_field operator_fields[] = {
	FIELD(ADDRESS, operator_listen, "listen", NULL, 0, 0),
	FIELD(STRING, operator_token, "token", NULL, 0, 0),
};

static const struct conf_field peer_fields[] = {
	FIELD(ADDRESS, peer_listen, "listen", "", 0, 0),
	FIELD(ADDRESSES, peer_seeds, "seeds", "", 0, 0),
	FIELD(STRING, peer_key, "key", "", 0, 0),
	FIELD(U32, control_bytes_per_second, "control_bytes_per_second", "14000", 500, 1e7),
};

static const struct conf_field platform_fields[] = {
	FIELD(STRING, platform_url, "url", "", 0, 0),
};

struct settings_group {
	const char *name;
	const struct conf_field *fields;
	size_t n_fields;
};

#define GROUP(name, fields)                                                                        \
	{                                                                                          \
		name, fields, G_N_ELEMENTS(fields)                                                 \
	}

static const struct settings_group groups[] = {
	GROUP("instance", instance_fields),  GROUP("callers", caller_fields),
	GROUP("operators", operator_fields), GROUP("peers", peer_fields),
	GROUP("platform", platform_fields),
};

static int check_groups(GKeyFile *file, const char *path, struct conf_error *err)
{
	g_auto(GStrv) names = g_key_file_get_groups(file, NULL);

	for (guint i = 0; names[i]; i++) {
		bool known = false;
		g_autofree char *location = g_strdup_printf("%s: [%s]", path, names[i]);

		for (guint j = 0; j < G_N_ELEMENTS(groups); j++)
			known = known || strcmp(groups[j].name, names[i]) == 0;
		if (!known) {
			conf_error_set(err, location, "unknown group");
			return -EINVAL;
		}
	}
	return 0;
}

static int settings_error(const char *path, const char *field, const char *message,
			  struct conf_error *err)
{
	g_autofree char *location = g_strdup_printf("%s: %s", path, field);

	conf_error_set(err, location, message);
	return -EINVAL;
}

static bool url_valid(const char *url)
{
	g_autoptr(GUri) uri = g_uri_parse(url, G_URI_FLAGS_NONE, NULL);
	const char *host = uri ? g_uri_get_host(uri) : NULL;

	if (!host || *host == '\0')
		return false;
	return strcmp(g_uri_get_scheme(uri), "http") == 0 ||
	       strcmp(g_uri_get_scheme(uri), "https") == 0;
}

/* Checks the platform URL, and fields that require other fields. */
static int check_dependencies(const struct conf_settings *s, const char *path,
			      struct conf_error *err)
{
	if (!s->platform_url && !s->config_file)
		return settings_error(path, "platform.url",
				      "a value is required when instance.config_file is not set",
				      err);
	if (s->platform_url && !url_valid(s->platform_url))
		return settings_error(path, "platform.url", "expected an http or https URL", err);
	if (s->peer_listen && !s->peer_key)
		return settings_error(path, "peers.key",
				      "a value is required when peers.listen is set", err);
	if (s->tls_key && !s->tls_cert)
		return settings_error(path, "callers.tls_cert",
				      "a value is required when callers.tls_key is set", err);
	return 0;
}

struct conf_settings *conf_settings_load(const char *path, struct conf_error *err)
{
	g_autoptr(GKeyFile) file = g_key_file_new();
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	struct conf_settings *s;
	gsize len;
	int rc;

	if (!g_file_get_contents(path, &text, &len, &error) ||
	    !g_key_file_load_from_data(file, text, len, G_KEY_FILE_NONE, &error)) {
		conf_error_set(err, path, error->message);
		return NULL;
	}
	if (conf_check_duplicates(text, path, err) < 0)
		return NULL;
	s = g_new0(struct conf_settings, 1);
	rc = check_groups(file, path, err);
	for (guint i = 0; rc == 0 && i < G_N_ELEMENTS(groups); i++) {
		g_autofree char *location = g_strdup_printf("%s: %s", path, groups[i].name);

		rc = conf_fields_parse(file, groups[i].name, location, groups[i].fields,
				       groups[i].n_fields, s, err);
	}
	if (rc == 0)
		rc = check_dependencies(s, path, err);
	if (rc < 0)
		g_clear_pointer(&s, conf_settings_free);
	return s;
}

void conf_settings_free(struct conf_settings *s)
{
	if (!s)
		return;
	for (guint i = 0; i < G_N_ELEMENTS(groups); i++)
		conf_fields_clear(groups[i].fields, groups[i].n_fields, s);
	g_free(s);
}
