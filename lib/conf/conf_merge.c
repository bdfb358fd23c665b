#include <string.h>

#include "conf/conf_parse.h"

/* GKeyFile accepts fields in a group only, so the text of an object is parsed as this group. */
#define GROUP "o"

/* Parses the text of an object; NULL with @err set to @where on failure. */
static GKeyFile *parse_text(const char *text, const char *where, struct conf_error *err)
{
	g_autoptr(GKeyFile) file = g_key_file_new();
	/* Carriage returns are line ends, not data; GKeyFile keeps them if no line feed follows. */
	g_auto(GStrv) pieces = g_strsplit(text ? text : "", "\r", -1);
	g_autofree char *body = g_strjoinv("", pieces);
	g_autofree char *doc = g_strconcat("[" GROUP "]\n", body, NULL);
	g_autoptr(GError) error = NULL;

	if (g_key_file_load_from_data(file, doc, (gsize)-1, G_KEY_FILE_KEEP_COMMENTS, &error))
		return g_steal_pointer(&file);
	conf_error_set(err, where, error->message);
	return NULL;
}

/* Applies the change of field @name from @base to @mine to @out, which starts as theirs. */
static int merge_field(GKeyFile *base, GKeyFile *mine, GKeyFile *out, const char *name,
		       struct conf_error *err)
{
	g_autofree char *b = g_key_file_get_value(base, GROUP, name, NULL);
	g_autofree char *m = g_key_file_get_value(mine, GROUP, name, NULL);
	g_autofree char *t = g_key_file_get_value(out, GROUP, name, NULL);

	if (g_strcmp0(m, b) == 0 || g_strcmp0(m, t) == 0)
		return 0;
	if (g_strcmp0(t, b) != 0) {
		g_autofree char *text = g_strdup_printf("changed by both: mine %s, theirs %s",
							m ? m : "(removed)", t ? t : "(removed)");

		conf_error_set(err, name, text);
		return -EINVAL;
	}
	if (m)
		g_key_file_set_value(out, GROUP, name, m);
	else
		g_key_file_remove_key(out, GROUP, name, NULL);
	return 0;
}

static int merge_fields(GKeyFile *base, GKeyFile *mine, GKeyFile *out, struct conf_error *err)
{
	GKeyFile *sources[] = { base, mine };
	int rc = 0;

	for (guint i = 0; i < G_N_ELEMENTS(sources); i++) {
		g_auto(GStrv) names = g_key_file_get_keys(sources[i], GROUP, NULL, NULL);

		for (guint j = 0; rc == 0 && names && names[j]; j++)
			rc = merge_field(base, mine, out, names[j], err);
	}
	return rc;
}

/* Returns the text of @file without its group line; any text before that line is kept. */
static char *to_text(GKeyFile *file)
{
	g_autofree char *doc = g_key_file_to_data(file, NULL, NULL);
	char *line = strstr(doc, "[" GROUP "]\n");

	if (!line)
		return g_strdup("");
	*line = '\0';
	return g_strconcat(doc, line + strlen("[" GROUP "]\n"), NULL);
}

char *conf_merge3(const char *base, const char *mine, const char *theirs, struct conf_error *err)
{
	g_autoptr(GKeyFile) b = NULL;
	g_autoptr(GKeyFile) m = NULL;
	g_autoptr(GKeyFile) t = NULL;

	if (!mine || !theirs) {
		conf_error_set(err, mine ? "theirs" : "mine",
			       "the object is deleted by one edit and changed by the other");
		return NULL;
	}
	b = parse_text(base, "base", err);
	m = b ? parse_text(mine, "mine", err) : NULL;
	t = m ? parse_text(theirs, "theirs", err) : NULL;
	if (!t || merge_fields(b, m, t, err) < 0)
		return NULL;
	return to_text(t);
}
