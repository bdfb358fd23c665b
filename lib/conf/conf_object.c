#include <string.h>

#include "conf/conf_parse.h"

#define KEY_MAX_BYTES	    128 /* with the prefix */
#define SHARE_SUM_TOLERANCE 1e-9 /* for rounding errors */

#define FIELD(type, struct_type, member, name, def, min, max)                                      \
	{                                                                                          \
		name, CONF_FIELD_##type, offsetof(struct struct_type, member), def, min, max       \
	}

/* Without a ranks object lib/front uses the same defaults. */
static const struct conf_field ranks_fields[] = {
	FIELD(REAL, conf_ranks, share[RANK_URGENT], "urgent", "0.8", 0, 1),
	FIELD(REAL, conf_ranks, share[RANK_NORMAL], "normal", "0.15", 0, 1),
	FIELD(REAL, conf_ranks, share[RANK_BATCH], "batch", "0.05", 0, 1),
};

static const struct conf_field service_fields[] = {
	FIELD(BOOL, conf_service, plain, "plain", "no", 0, 0),
	FIELD(STRING, conf_service, model, "model", "", 0, 0),
	FIELD(LIST, conf_service, profiles, "profiles", NULL, 0, 0),
	FIELD(REAL, conf_service, load_bound, "load_bound", "1.5", 1.01, 100),
	FIELD(U64, conf_service, queue_bytes, "queue_bytes", "67108864", 1, 1e12),
	FIELD(U32, conf_service, queue_count, "queue_count", "4096", 1, 1e6),
};

static const struct conf_field profile_fields[] = {
	FIELD(RANK, conf_profile, rank, "rank", NULL, 0, 0),
	FIELD(MSEC, conf_profile, window, "window_ms", NULL, 1, CONF_MAX_MSEC),
	FIELD(REAL, conf_profile, weight, "weight", "1", 0, 1e6),
	FIELD(BOOL, conf_profile, repeatable, "repeatable", "yes", 0, 0),
	FIELD(BOOL, conf_profile, finish, "finish", "no", 0, 0),
	FIELD(U32, conf_profile, max_attempts, "max_attempts", "3", 1, 10),
	FIELD(MSEC, conf_profile, deadline, "deadline_ms", "120000", 1, CONF_MAX_MSEC),
};

static const struct conf_field account_fields[] = {
	FIELD(STRING, conf_account, key, "key", NULL, 0, 0),
	FIELD(REAL, conf_account, weight, "weight", "1", 0.001, 1e6),
};

static const struct conf_field upstream_fields[] = {
	FIELD(STRING, conf_upstream, service, "service", NULL, 0, 0),
	FIELD(STRING, conf_upstream, host, "host", NULL, 0, 0),
	FIELD(U16, conf_upstream, port, "port", NULL, 1, 65535),
	FIELD(STRING, conf_upstream, failure_domain, "failure_domain", NULL, 0, 0),
	FIELD(REAL, conf_upstream, capacity, "capacity", "1", 0.001, 1e6),
	FIELD(BOOL, conf_upstream, fencing, "fencing", "no", 0, 0),
	FIELD(BOOL, conf_upstream, drain, "drain", "no", 0, 0),
};

static const struct conf_field model_fields[] = {
	FIELD(STRING, conf_model, service, "service", NULL, 0, 0),
	FIELD(STRING, conf_model, version, "version", NULL, 0, 0),
	FIELD(LIST, conf_model, adapters, "adapters", "", 0, 0),
	FIELD(STRING, conf_model, role, "role", "", 0, 0),
	FIELD(U32, conf_model, replicas, "replicas", NULL, 0, 4096),
	FIELD(U32, conf_model, min_ready, "min_ready", "1", 0, 4096),
};

struct kind_info {
	const char *prefix;
	const struct conf_field *fields;
	size_t n_fields;
	size_t size; /* bytes of the struct */
	ptrdiff_t name_offset; /* of the member for the name in the key, -1: no name */
};

#define KIND(prefix, kind, member)                                                                 \
	{                                                                                          \
		prefix, kind##_fields, G_N_ELEMENTS(kind##_fields), sizeof(struct conf_##kind),    \
			offsetof(struct conf_##kind, member)                                       \
	}

static const struct kind_info kinds[CONF_KIND_COUNT] = {
	[CONF_RANKS] = { "ranks", ranks_fields, G_N_ELEMENTS(ranks_fields),
			 sizeof(struct conf_ranks), -1 },
	[CONF_SERVICE] = KIND("service", service, name),
	[CONF_PROFILE] = KIND("profile", profile, name),
	[CONF_ACCOUNT] = KIND("account", account, name),
	[CONF_UPSTREAM] = KIND("upstream", upstream, id),
	[CONF_MODEL] = KIND("model", model, name),
};

static bool name_valid(const char *name)
{
	if (*name == '\0')
		return false;
	for (const char *p = name; *p; p++) {
		if (!g_ascii_isalnum(*p) && !strchr("-_.:", *p))
			return false;
	}
	return true;
}

int conf_key_kind(const char *key, enum conf_kind *kind, struct conf_error *err)
{
	for (int k = 0; strlen(key) <= KEY_MAX_BYTES && k < CONF_KIND_COUNT; k++) {
		size_t len = strlen(kinds[k].prefix);

		if (strncmp(key, kinds[k].prefix, len) != 0)
			continue;
		*kind = k;
		if (kinds[k].name_offset < 0 ? key[len] == '\0'
					     : key[len] == '/' && name_valid(key + len + 1))
			return 0;
	}
	conf_error_set(err, key,
		       "expected ranks, service/NAME, profile/NAME, account/NAME, "
		       "upstream/ID or model/NAME");
	return -EINVAL;
}

static int check_ranks(const struct conf_ranks *r, struct conf_error *err)
{
	double sum = r->share[RANK_URGENT] + r->share[RANK_NORMAL] + r->share[RANK_BATCH];

	if (sum <= 1.0 + SHARE_SUM_TOLERANCE)
		return 0;
	conf_error_set(err, "ranks", "the shares must sum to at most 1");
	return -EINVAL;
}

static int check_upstream(const struct conf_upstream *u, const char *key, struct conf_error *err)
{
	g_autofree char *location = g_strdup_printf("%s.host", key);

	if (g_hostname_is_ip_address(u->host))
		return 0;
	conf_error_set(err, location, "expected an IP address");
	return -EINVAL;
}

static int check_model(const struct conf_model *m, const char *key, struct conf_error *err)
{
	g_autofree char *location = g_strdup_printf("%s.min_ready", key);

	if (m->min_ready <= m->replicas)
		return 0;
	conf_error_set(err, location, "must not exceed replicas");
	return -EINVAL;
}

static int check_value(enum conf_kind kind, const char *key, const void *value,
		       struct conf_error *err)
{
	if (kind == CONF_RANKS)
		return check_ranks(value, err);
	if (kind == CONF_UPSTREAM)
		return check_upstream(value, key, err);
	if (kind == CONF_MODEL)
		return check_model(value, key, err);
	return 0;
}

static void set_name(const struct kind_info *info, const char *key, void *value)
{
	if (info->name_offset < 0)
		return;
	*(char **)(void *)((char *)value + info->name_offset) = g_strdup(strchr(key, '/') + 1);
}

int conf_value_parse(enum conf_kind kind, const char *key, const char *text, void **value,
		     struct conf_error *err)
{
	const struct kind_info *info = &kinds[kind];
	g_autoptr(GKeyFile) file = g_key_file_new();
	/* GKeyFile accepts fields in a group only. */
	g_autofree char *doc = g_strconcat("[o]\n", text, NULL);
	g_autoptr(GError) error = NULL;
	g_auto(GStrv) groups = NULL;
	int rc;

	if (!g_key_file_load_from_data(file, doc, (gsize)-1, G_KEY_FILE_NONE, &error)) {
		conf_error_set(err, key, error->message);
		return -EINVAL;
	}
	groups = g_key_file_get_groups(file, NULL);
	if (g_strv_length(groups) != 1) {
		conf_error_set(err, key, "expected fields only, no groups");
		return -EINVAL;
	}
	*value = g_malloc0(info->size);
	set_name(info, key, *value);
	rc = conf_fields_parse(file, "o", key, info->fields, info->n_fields, *value, err);
	if (rc == 0)
		rc = check_value(kind, key, *value, err);
	if (rc == 0 && kind == CONF_SERVICE) {
		struct conf_service *v = *value;

		if (!v->model)
			v->model = g_strdup(v->name);
	}
	if (rc < 0) {
		conf_value_free(kind, *value);
		*value = NULL;
	}
	return rc;
}

void conf_value_free(enum conf_kind kind, void *value)
{
	const struct kind_info *info = &kinds[kind];

	if (!value)
		return;
	conf_fields_clear(info->fields, info->n_fields, value);
	if (info->name_offset >= 0)
		g_free(*(char **)(void *)((char *)value + info->name_offset));
	g_free(value);
}
