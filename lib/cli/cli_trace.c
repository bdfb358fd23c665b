/*
 * Finds what the logs of instances say about one request: its own lines, and what changed around it
 * in the beliefs that decided it.
 */
#include <string.h>

#include "cli/cli.h"

/* Beliefs are a few seconds old at most when they decide. */
#define BEFORE_MS 5000
#define AFTER_MS  1000

struct line {
	int64_t at; /* wall time, ms */
	const char *text; /* borrowed from the file */
};

/* Value of field @name in @line, owned; NULL if it has none. */
static char *field(const char *line, const char *name)
{
	g_autofree char *key = g_strdup_printf(" %s=", name);
	const char *p = strstr(line, key);

	if (!p)
		return NULL;
	p += strlen(key);
	return g_strndup(p, strcspn(p, " \n"));
}

static bool line_time(const char *line, int64_t *at)
{
	const char *p = strstr(line, "t=");

	/* A collector may put something before the line. */
	while (p && p != line && p[-1] != ' ')
		p = strstr(p + 1, "t=");
	if (!p)
		return false;
	*at = g_ascii_strtoll(p + 2, NULL, 10);
	return *at > 0;
}

static void add_lines(GArray *lines, char *text)
{
	char *save = NULL;

	for (char *s = strtok_r(text, "\n", &save); s; s = strtok_r(NULL, "\n", &save)) {
		struct line l = { .text = s };

		if (line_time(s, &l.at))
			g_array_append_val(lines, l);
	}
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct line *x = a;
	const struct line *y = b;

	return x->at < y->at ? -1 : x->at > y->at;
}

static bool is_of(const char *line, const char *id)
{
	g_autofree char *req = field(line, "req");

	return req && strcmp(req, id) == 0;
}

/* Whether @line tells a change of belief that may have decided the request. */
static bool is_context(const char *line, GHashTable *upstreams, GHashTable *instances)
{
	static const char *const kinds[] = { "config", "store_lost",   "store_back",
					     "peer",   "store_reader", "draining",
					     "start",  "stop",	       "paused" };
	g_autofree char *event = field(line, "event");
	g_autofree char *instance = field(line, "instance");
	g_autofree char *id = field(line, "id");

	if (!event || !instance || !g_hash_table_contains(instances, instance))
		return false;
	if (id)
		return g_hash_table_contains(upstreams, id);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(event, kinds[i]) == 0)
			return true;
	}
	return false;
}

static void print_lines(GArray *lines, const char *id, GString *out)
{
	g_autoptr(GHashTable) upstreams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autoptr(GHashTable) instances =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	int64_t first = 0;
	int64_t last = 0;

	for (guint i = 0; i < lines->len; i++) {
		const struct line *l = &g_array_index(lines, struct line, i);
		char *upstream;
		char *instance;

		if (!is_of(l->text, id))
			continue;
		first = first ? first : l->at;
		last = l->at;
		upstream = field(l->text, "upstream");
		instance = field(l->text, "instance");
		if (upstream)
			g_hash_table_add(upstreams, upstream);
		if (instance)
			g_hash_table_add(instances, instance);
	}
	for (guint i = 0; first && i < lines->len; i++) {
		const struct line *l = &g_array_index(lines, struct line, i);
		bool own = is_of(l->text, id);

		if (own || (l->at >= first - BEFORE_MS && l->at <= last + AFTER_MS &&
			    is_context(l->text, upstreams, instances)))
			g_string_append_printf(out, "%c %s\n", own ? '*' : ' ', l->text);
	}
}

int cli_trace(struct cli *c, const char *id, char **files)
{
	g_autoptr(GPtrArray) texts = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GArray) lines = g_array_new(FALSE, FALSE, sizeof(struct line));
	size_t before = c->out->len;

	for (; *files; files++) {
		char *text = cli_read_file(*files);

		if (!text)
			return CLI_USAGE;
		g_ptr_array_add(texts, text);
		add_lines(lines, text);
	}
	g_array_sort(lines, by_time);
	print_lines(lines, id, c->out);
	if (c->out->len == before)
		return cli_error(CLI_REFUSED,
				 "no line about request %s; smooth requests may be sampled", id);
	return CLI_OK;
}
