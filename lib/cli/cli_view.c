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

/* Gets @page from the operator listener at @url; owned, NULL after it printed an error. */
static char *fetch_page(struct cli *c, SoupSession *session, const char *url, const char *page)
{
	g_autofree char *full_url =
		g_strconcat(url, g_str_has_suffix(url, "/") ? "" : "/", page, NULL);
	g_autofree char *authorization = g_strconcat("Bearer ", c->token ? c->token : "", NULL);
	g_autoptr(SoupMessage) msg = soup_message_new("GET", full_url);
	g_autoptr(GError) error = NULL;
	g_autoptr(GBytes) body = NULL;
	gsize len;
	const char *data;

	if (!msg) {
		cli_error(0, "--operator %s: expected an HTTP URL", url);
		return NULL;
	}
	soup_message_headers_replace(soup_message_get_request_headers(msg), "Authorization",
				     authorization);
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
 * Gets @page from all instances, in the order of the options. An entry is NULL, and *failed is set,
 * if that instance did not return the page. Returns NULL after it printed an error if no instance
 * was given.
 */
static GPtrArray *fetch_pages(struct cli *c, const char *page, bool *failed)
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
		char *text = fetch_page(c, session, c->operator_urls[i], page);

		*failed = *failed || !text;
		g_ptr_array_add(pages, text);
	}
	g_object_unref(session);
	return pages;
}

/* Value of the line "NAME VALUE" in a status page, owned; NULL if there is none. */
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

/*
 * Prints how many instances were reached, and how many different configurations they have: 1 if all
 * of them have the same configuration in force.
 */
static void print_summary(struct cli *c, GPtrArray *pages)
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
	g_autoptr(GPtrArray) pages = fetch_pages(c, "status", &failed);

	if (!pages)
		return CLI_USAGE;
	for (guint i = 0; i < pages->len; i++)
		print_status(c, c->operator_urls[i], pages->pdata[i]);
	print_summary(c, pages);
	return failed ? CLI_UNREACHABLE : CLI_OK;
}

int cli_metrics(struct cli *c)
{
	bool failed;
	g_autoptr(GPtrArray) pages = fetch_pages(c, "metrics", &failed);

	if (!pages)
		return CLI_USAGE;
	for (guint i = 0; i < pages->len; i++) {
		if (pages->pdata[i])
			g_string_append_printf(c->out, "# %s\n%s", c->operator_urls[i],
					       (char *)pages->pdata[i]);
	}
	return failed ? CLI_UNREACHABLE : CLI_OK;
}

struct event_line {
	uint64_t stamp; /* hybrid logical clock, see hlc.h */
	guint position; /* order in the input, for equal stamps */
	char **columns; /* owned, N_COLUMNS strings */
};

static void event_line_clear(gpointer p)
{
	g_strfreev(((struct event_line *)p)->columns);
}

static gint compare_by_time(gconstpointer a, gconstpointer b)
{
	const struct event_line *x = a;
	const struct event_line *y = b;

	if (x->stamp != y->stamp)
		return x->stamp < y->stamp ? -1 : 1;
	return (x->position > y->position) - (x->position < y->position);
}

static bool matches_filter(char **columns, const struct cli_event_filter *f)
{
	return (!f->request || strcmp(columns[COLUMN_REQUEST], f->request) == 0) &&
	       (!f->chat || strcmp(columns[COLUMN_CHAT], f->chat) == 0) &&
	       (!f->upstream || strcmp(columns[COLUMN_UPSTREAM], f->upstream) == 0) &&
	       (!f->account || strcmp(columns[COLUMN_ACCOUNT], f->account) == 0);
}

static void add_event_lines(GArray *lines, const char *text, const struct cli_event_filter *f)
{
	g_auto(GStrv) texts = g_strsplit(text, "\n", -1);

	for (guint i = 0; texts[i]; i++) {
		struct event_line line = { 0, lines->len, g_strsplit(texts[i], "\t", N_COLUMNS) };

		if (g_strv_length(line.columns) == N_COLUMNS && matches_filter(line.columns, f)) {
			line.stamp = g_ascii_strtoull(line.columns[COLUMN_STAMP], NULL, 10);
			g_array_append_val(lines, line);
		} else {
			g_strfreev(line.columns);
		}
	}
}

void cli_merge_events(GPtrArray *texts, const struct cli_event_filter *f, GString *out)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct event_line));

	g_array_set_clear_func(lines, event_line_clear);
	for (guint i = 0; i < texts->len; i++) {
		if (texts->pdata[i])
			add_event_lines(lines, texts->pdata[i], f);
	}
	g_array_sort(lines, compare_by_time);
	for (guint i = 0; i < lines->len; i++) {
		const struct event_line *line = &g_array_index(lines, struct event_line, i);
		int64_t ms = hlc_wall_ms(line->stamp);
		g_autoptr(GDateTime) datetime = g_date_time_new_from_unix_utc(ms / 1000);
		g_autofree char *time = datetime ? g_date_time_format(datetime, "%Y-%m-%dT%H:%M:%S")
						 : g_strdup("-");
		g_autofree char *joined = g_strjoinv("\t", line->columns);

		g_string_append_printf(out, "%s.%03dZ\t%s\n", time, (int)(ms % 1000), joined);
	}
	g_array_unref(lines);
}

int cli_events(struct cli *c, const struct cli_event_filter *f)
{
	g_autofree char *page =
		g_strdup_printf("events?since=%" G_GUINT64_FORMAT, (uint64_t)MAX(f->since, 0));
	bool failed;
	g_autoptr(GPtrArray) pages = fetch_pages(c, page, &failed);

	if (!pages)
		return CLI_USAGE;
	cli_merge_events(pages, f, c->out);
	return failed ? CLI_UNREACHABLE : CLI_OK;
}
