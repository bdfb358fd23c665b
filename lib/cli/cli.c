#include "cli/cli.h"

#include <stdio.h>

#define HTTP_TIMEOUT_SECONDS 120
#define MAX_STDIN_BYTES	     (1 << 20)

int cli_error(int code, const char *fmt, ...)
{
	g_autofree char *text = NULL;
	va_list ap;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	fprintf(stderr, "turmerichinge: %s\n", text);
	return code;
}

char *cli_read_file(const char *path)
{
	g_autoptr(GError) error = NULL;
	char *text = NULL;
	size_t n;

	if (g_strcmp0(path, "-") != 0) {
		if (!g_file_get_contents(path, &text, NULL, &error))
			cli_error(CLI_USAGE, "%s", error->message);
		return text;
	}
	text = g_malloc0(MAX_STDIN_BYTES + 1);
	n = fread(text, 1, MAX_STDIN_BYTES, stdin);
	text[n] = '\0';
	return text;
}

SoupSession *cli_session_new(struct cli *c)
{
	SoupSession *s = soup_session_new_with_options("timeout", HTTP_TIMEOUT_SECONDS, NULL);
	g_autoptr(GTlsDatabase) db = NULL;
	g_autoptr(GError) error = NULL;

	if (!c->ca_file)
		return s;
	db = g_tls_file_database_new(c->ca_file, &error);
	if (db)
		soup_session_set_tls_database(s, db);
	else
		cli_error(CLI_USAGE, "%s: %s", c->ca_file, error->message);
	return s;
}
