#include <math.h>
#include <string.h>

#include "conf/conf_parse.h"

void conf_error_set(struct conf_error *err, const char *where, const char *message)
{
	if (!err)
		return;
	g_strlcpy(err->where, where, sizeof(err->where));
	g_strlcpy(err->message, message, sizeof(err->message));
}

static int parse_bool(const char *text, bool *out)
{
	if (strcmp(text, "yes") == 0 || strcmp(text, "true") == 0)
		*out = true;
	else if (strcmp(text, "no") == 0 || strcmp(text, "false") == 0)
		*out = false;
	else
		return -EINVAL;
	return 0;
}

static int parse_number(const struct conf_field *f, const char *text, double *out)
{
	char *end;

	*out = g_ascii_strtod(text, &end);
	if (end == text || *end != '\0' || !isfinite(*out) || *out < f->min || *out > f->max)
		return -ERANGE;
	if (f->type != CONF_FIELD_REAL && f->type != CONF_FIELD_MSEC && *out != floor(*out))
		return -ERANGE;
	return 0;
}

static int set_number(const struct conf_field *f, const char *text, void *out)
{
	double v;
	int rc = parse_number(f, text, &v);

	if (rc < 0)
		return rc;
	switch (f->type) {
	case CONF_FIELD_REAL:
		*(double *)out = v;
		break;
	case CONF_FIELD_MSEC:
		*(int64_t *)out = (int64_t)(v * (double)USEC_PER_MSEC);
		break;
	case CONF_FIELD_U64:
		*(uint64_t *)out = (uint64_t)v;
		break;
	case CONF_FIELD_U32:
		*(uint32_t *)out = (uint32_t)v;
		break;
	default:
		*(uint16_t *)out = (uint16_t)v;
		break;
	}
	return 0;
}

static int set_list(const char *text, GStrv *out)
{
	*out = g_strsplit(text, ",", -1);
	for (guint i = 0; (*out)[i]; i++) {
		if (*g_strstrip((*out)[i]) == '\0')
			return -EINVAL;
	}
	return 0;
}

/* "IPv4:port" or "[IPv6]:port"; with port 0 the system chooses a free port. */
static bool address_valid(const char *text)
{
	const char *colon = strrchr(text, ':');
	g_autofree char *host = NULL;
	guint64 port;
	size_t len;

	if (!colon || !g_ascii_isdigit(colon[1]) ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, G_MAXUINT16, &port, NULL))
		return false;
	len = (size_t)(colon - text);
	if (len > 2 && text[0] == '[' && colon[-1] == ']')
		host = g_strndup(text + 1, len - 2);
	else if (!memchr(text, ':', len))
		host = g_strndup(text, len);
	return host && g_hostname_is_ip_address(host);
}

static int set_addresses(const char *text, GStrv *out)
{
	int rc = set_list(text, out);

	for (guint i = 0; rc == 0 && (*out)[i]; i++) {
		if (!address_valid((*out)[i]))
			rc = -EINVAL;
	}
	return rc;
}

static int set_field(const struct conf_field *f, const char *text, void *out)
{
	switch (f->type) {
	case CONF_FIELD_STRING:
		*(char **)out = g_strdup(text);
		return 0;
	case CONF_FIELD_LIST:
		return set_list(text, out);
	case CONF_FIELD_ADDRESS:
		*(char **)out = g_strdup(text);
		return address_valid(text) ? 0 : -EINVAL;
	case CONF_FIELD_ADDRESSES:
		return set_addresses(text, out);
	case CONF_FIELD_BOOL:
		return parse_bool(text, out);
	case CONF_FIELD_RANK:
		return err_rank_parse(text, out);
	case CONF_FIELD_LOG_LEVEL:
		return log_level_parse(text, out);
	default:
		return set_number(f, text, out);
	}
}

static void describe_expected(const struct conf_field *f, char *buf, size_t len)
{
	switch (f->type) {
	case CONF_FIELD_BOOL:
		g_strlcpy(buf, "expected yes or no", len);
		break;
	case CONF_FIELD_LIST:
		g_strlcpy(buf, "expected names separated by commas", len);
		break;
	case CONF_FIELD_ADDRESS:
		g_strlcpy(buf, "expected IP:PORT", len);
		break;
	case CONF_FIELD_ADDRESSES:
		g_strlcpy(buf, "expected IP:PORT, several separated by commas", len);
		break;
	case CONF_FIELD_RANK:
		g_strlcpy(buf, "expected urgent, normal or batch", len);
		break;
	case CONF_FIELD_LOG_LEVEL:
		g_strlcpy(buf, "expected error, warn, info or debug", len);
		break;
	default:
		g_snprintf(buf, len, "expected a number from %g to %g", f->min, f->max);
		break;
	}
}

static const struct conf_field *find_field(const struct conf_field *fields, size_t n,
					   const char *name)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(fields[i].name, name) == 0)
			return &fields[i];
	}
	return NULL;
}

static int check_keys(GKeyFile *file, const char *group, const char *where,
		      const struct conf_field *fields, size_t n, struct conf_error *err)
{
	g_auto(GStrv) keys = g_key_file_get_keys(file, group, NULL, NULL);

	for (guint i = 0; keys && keys[i]; i++) {
		g_autofree char *location = NULL;

		if (find_field(fields, n, keys[i]))
			continue;
		location = g_strdup_printf("%s.%s", where, keys[i]);
		conf_error_set(err, location, "unknown field");
		return -EINVAL;
	}
	return 0;
}

static int parse_field(GKeyFile *file, const char *group, const char *where,
		       const struct conf_field *f, void *out, struct conf_error *err)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *given = g_key_file_get_string(file, group, f->name, &error);
	g_autofree char *location = g_strdup_printf("%s.%s", where, f->name);
	const char *text = given ? given : f->default_text;
	char expected[120];

	/* A value that can't be decoded is an error and doesn't get the default. */
	if (g_error_matches(error, G_KEY_FILE_ERROR, G_KEY_FILE_ERROR_INVALID_VALUE) ||
	    g_error_matches(error, G_KEY_FILE_ERROR, G_KEY_FILE_ERROR_UNKNOWN_ENCODING)) {
		conf_error_set(err, location, "expected UTF-8 text without invalid escapes");
		return -EINVAL;
	}
	if (!text || (given && *given == '\0')) {
		conf_error_set(err, location, "a value is required");
		return -EINVAL;
	}
	if (!given && *text == '\0')
		return 0;
	if (set_field(f, text, (char *)out + f->offset) == 0)
		return 0;
	describe_expected(f, expected, sizeof(expected));
	conf_error_set(err, location, expected);
	return -EINVAL;
}

int conf_fields_parse(GKeyFile *file, const char *group, const char *where,
		      const struct conf_field *fields, size_t n_fields, void *out,
		      struct conf_error *err)
{
	int rc = check_keys(file, group, where, fields, n_fields, err);

	for (size_t i = 0; rc == 0 && i < n_fields; i++)
		rc = parse_field(file, group, where, &fields[i], out, err);
	return rc;
}

void conf_fields_clear(const struct conf_field *fields, size_t n_fields, void *out)
{
	for (size_t i = 0; i < n_fields; i++) {
		char **field = (char **)(void *)((char *)out + fields[i].offset);

		if (fields[i].type == CONF_FIELD_STRING || fields[i].type == CONF_FIELD_ADDRESS)
			g_clear_pointer(field, g_free);
		else if (fields[i].type == CONF_FIELD_LIST ||
			 fields[i].type == CONF_FIELD_ADDRESSES)
			g_clear_pointer((GStrv *)(void *)field, g_strfreev);
	}
}
