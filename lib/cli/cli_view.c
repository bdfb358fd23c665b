#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

/* Columns of an event line, see evt_print(). */
enum {
	COLUMN_STAMP,
	COLUMN_PROCESS,
	COLUMN_KIND,
	COLUMN_REQUEST,
	COLUMN_CHAT,
	COLUMN_UPSTREAM,
	COLUMN_ACCOUNT,
	COLUMN_TEXT,
	N_COLUMNS,
};

/* Answer of an operators' listener, owned; NULL after an error message. */
static char *get_page(struct cli *c, SoupSession *session, const char *url, const char *page)
{
	g_autofree char *full = g_strconcat(url, g_str_has_suffix(url, "/") ? "" : "/", page, NULL);
	g_autofree char *bearer = g_strconcat("Bearer ", c->token ? c->token : "", NULL);
	g_autoptr(SoupMessage) msg = soup_message_new("GET", full);
	g_autoptr(GError) error = NULL;
	g_autoptr(GBytes) body = NULL;
	gsize len;
	const char *data;

	if (!msg) {
		cli_error(0, "--operator %s: expected an HTTP URL", url);
		return NULL;
	}
	soup_message_headers_replace(soup_message_get_request_headers(msg), "Authorization",
				     bearer);
	body = soup_session_send_and_read(session, msg, NULL, &error);
	if (!body) {
		cli_error(0, "%s: %s", url, error->message);
		return NULL;
	}
	if (soup_message_get_status(msg) != SOUP_STATUS_OK) {
		cli_error(0, "%s: status %u%s", url, soup_message_get_status(msg),
			  soup_message_get_status(msg) == SOUP_STATUS_UNAUTHORIZED
				  ? ", the token is wrong"
				  : "");
		return NULL;
	}
	data = g_bytes_get_data(body, &len);
	return g_strndup(data ? data : "", len);
}

/*
 * Pages of all instances, NULL for one that can't be reached; *failed is set then. NULL after an
 * error message if no instance was given.
 */
static GPtrArray *get_pages(struct cli *c, const char *page, bool *failed)
{
	SoupSession *session;
	GPtrArray *pages;

	*failed = false;
	if (!c->operator_urls || !c->operator_urls[0]) {
		cli_error(0, "--operator URL is required");
		return NULL;
	}
	session = cli_session_new(c);
	pages = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; c->operator_urls[i]; i++) {
		char *text = get_page(c, session, c->operator_urls[i], page);

		*failed = *failed || !text;
		g_ptr_array_add(pages, text);
	}
	g_object_unref(session);
	return pages;
}

/* Value of the line "name value" in a status page, owned; NULL if there is none. */
static char *page_value(const char *page, const char *name)
{
	g_auto(GStrv) lines = g_strsplit(page, "\n", -1);
	size_t len = strlen(name);

	for (guint i = 0; lines[i]; i++) {
		if (strncmp(lines[i], name, len) == 0 && lines[i][len] == ' ')
			return g_strdup(lines[i] + len + 1);
	}
	return NULL;
}

static void print_status(struct cli *c, const char *url, const char *page)
{
	g_autofree char *instance = page ? page_value(page, "instance") : NULL;
	g_autofree char *version = page ? page_value(page, "config_version") : NULL;
	g_autofree char *digest = page ? page_value(page, "config_digest") : NULL;
	g_auto(GStrv) lines = page ? g_strsplit(page, "\n", -1) : NULL;

	if (!page) {
		g_string_append_printf(c->out, "%s unreachable\n", url);
		return;
	}
	g_string_append_printf(c->out, "%s config_version %s digest %s\n",
			       instance ? instance : url, version ? version : "-",
			       digest ? digest : "-");
	for (guint i = 0; lines[i]; i++) {
		if (*lines[i])
			g_string_append_printf(c->out, "  %s\n", lines[i]);
	}
}

/* Whether all reachable instances have the same configuration in force. */
static void print_agreement(struct cli *c, GPtrArray *pages)
{
	g_autoptr(GHashTable) digests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	guint n = 0;

	for (guint i = 0; i < pages->len; i++) {
		char *digest =
			pages->pdata[i] ? page_value(pages->pdata[i], "config_digest") : NULL;

		n += pages->pdata[i] != NULL;
		if (digest)
			g_hash_table_add(digests, digest);
	}
	g_string_append_printf(c->out, "%u of %u instances reached, %u configurations in force\n",
			       n, pages->len, g_hash_table_size(digests));
}

int cli_status(struct cli *c)
{
	bool failed;
	g_autoptr(GPtrArray) pages = get_pages(c, "status", &failed);

	if (!pages)
		return CLI_USAGE;
	for (guint i = 0; i < pages->len; i++)
		print_status(c, c->operator_urls[i], pages->pdata[i]);
	print_agreement(c, pages);
	return failed ? CLI_UNREACHABLE : CLI_OK;
}

int cli_metrics(struct cli *c)
{
	bool failed;
	g_autoptr(GPtrArray) pages = get_pages(c, "metrics", &failed);

	if (!pages)
		return CLI_USAGE;
	for (guint i = 0; i < pages->len; i++) {
		if (pages->pdata[i])
			g_string_append_printf(c->out, "# %s\n%s", c->operator_urls[i],
					       (char *)pages->pdata[i]);
	}
	return failed ? CLI_UNREACHABLE : CLI_OK;
}

struct line {
	uint64_t stamp;
	guint index; /* keeps the order of equal stamps */
	char **columns; /* owned */
};

static void line_clear(gpointer p)
{
	g_strfreev(((struct line *)p)->columns);
}

static gint compare_lines(gconstpointer a, gconstpointer b)
{
	const struct line *x = a;
	const struct line *y = b;

	if (x->stamp != y->stamp)
		return x->stamp < y->stamp ? -1 : 1;
	return (x->index > y->index) - (x->index < y->index);
}

static bool matches(char **columns, const struct cli_event_filter *f)
{
	return (!f->request || strcmp(columns[COLUMN_REQUEST], f->request) == 0) &&
	       (!f->chat || strcmp(columns[COLUMN_CHAT], f->chat) == 0) &&
	       (!f->upstream || strcmp(columns[COLUMN_UPSTREAM], f->upstream) == 0) &&
	       (!f->account || strcmp(columns[COLUMN_ACCOUNT], f->account) == 0);
}

static void add_lines(GArray *rows, const char *text, const struct cli_event_filter *f)
{
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);

	for (guint i = 0; lines[i]; i++) {
		struct line row = { 0, rows->len, g_strsplit(lines[i], "\t", N_COLUMNS) };

		if (g_strv_length(row.columns) == N_COLUMNS && matches(row.columns, f)) {
			row.stamp = g_ascii_strtoull(row.columns[COLUMN_STAMP], NULL, 10);
			g_array_append_val(rows, row);
		} else {
			g_strfreev(row.columns);
		}
	}
}

void cli_merge_events(GPtrArray *texts, const struct cli_event_filter *f, GString *out)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct line));

	g_array_set_clear_func(rows, line_clear);
	for (guint i = 0; i < texts->len; i++) {
		if (texts->pdata[i])
			add_lines(rows, texts->pdata[i], f);
	}
	g_array_sort(rows, compare_lines);
	for (guint i = 0; i < rows->len; i++) {
		const struct line *row = &g_array_index(rows, struct line, i);
		int64_t ms = hlc_wall_ms(row->stamp);
		g_autoptr(GDateTime) at = g_date_time_new_from_unix_utc(ms / 1000);
		g_autofree char *time =
			at ? g_date_time_format(at, "%Y-%m-%dT%H:%M:%S") : g_strdup("-");
		g_autofree char *line = g_strjoinv("\t", row->columns);

		g_string_append_printf(out, "%s.%03dZ\t%s\n", time, (int)(ms % 1000), line);
	}
	g_array_unref(rows);
}

int cli_events(struct cli *c, const struct cli_event_filter *f)
{
	g_autofree char *page =
		g_strdup_printf("events?since=%" G_GUINT64_FORMAT, (uint64_t)MAX(f->since, 0));
	bool failed;
	g_autoptr(GPtrArray) pages = get_pages(c, page, &failed);

	if (!pages)
		return CLI_USAGE;
	cli_merge_events(pages, f, c->out);
	return failed ? CLI_UNREACHABLE : CLI_OK;
}
