/*
 * Finds the log lines that explain what happened to one request: lines about the request, and lines
 * about changes of the state that its routing decisions used.
 */
#include <string.h>

#include "cli/cli.h"

/* The state that a routing decision uses is at most a few seconds old. */
#define CONTEXT_BEFORE_MS 5000
#define CONTEXT_AFTER_MS  1000

struct line {
	int64_t time_ms; /* wall time */
	const char *text; /* borrowed from the content of the file */
};

/* Value of field @name in @line, owned; NULL if it has none. */
static char *field_value(const char *line, const char *name)
{
	g_autofree char *key = g_strdup_printf(" %s=", name);
	const char *p = strstr(line, key);

	if (!p)
		return NULL;
	p += strlen(key);
	return g_strndup(p, strcspn(p, " \n"));
}

static bool parse_time(const char *line, int64_t *time_ms)
{
	const char *p = strstr(line, "t=");

	/* A log collector may put a prefix before the line. */
	while (p && p != line && p[-1] != ' ')
		p = strstr(p + 1, "t=");
	if (!p)
		return false;
	*time_ms = g_ascii_strtoll(p + 2, NULL, 10);
	return *time_ms > 0;
}

static void add_lines(GArray *lines, char *text)
{
	char *save = NULL;

	for (char *s = strtok_r(text, "\n", &save); s; s = strtok_r(NULL, "\n", &save)) {
		struct line l = { .text = s };

		if (parse_time(s, &l.time_ms))
			g_array_append_val(lines, l);
	}
}

static gint compare_by_time(gconstpointer a, gconstpointer b)
{
	const struct line *x = a;
	const struct line *y = b;

	return x->time_ms < y->time_ms ? -1 : x->time_ms > y->time_ms;
}

static bool is_about_request(const char *line, const char *id)
{
	g_autofree char *req = field_value(line, "req");

	return req && strcmp(req, id) == 0;
}

/* Whether @line reports a change that may have affected a decision on the request. */
static bool is_related_change(const char *line, GHashTable *upstreams, GHashTable *instances)
{
	static const char *const events[] = { "config", "store_lost",	"store_back",
					      "peer",	"store_reader", "draining",
					      "start",	"stop",		"paused" };
	g_autofree char *event = field_value(line, "event");
	g_autofree char *instance = field_value(line, "instance");
	g_autofree char *id = field_value(line, "id");

	if (!event || !instance || !g_hash_table_contains(instances, instance))
		return false;
	/* Only lines about one upstream have the field id (upstream, health, reach). */
	if (id)
		return g_hash_table_contains(upstreams, id);
	for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
		if (strcmp(event, events[i]) == 0)
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

		if (!is_about_request(l->text, id))
			continue;
		first = first ? first : l->time_ms;
		last = l->time_ms;
		upstream = field_value(l->text, "upstream");
		instance = field_value(l->text, "instance");
		if (upstream)
			g_hash_table_add(upstreams, upstream);
		if (instance)
			g_hash_table_add(instances, instance);
	}
	for (guint i = 0; first && i < lines->len; i++) {
		const struct line *l = &g_array_index(lines, struct line, i);
		bool own = is_about_request(l->text, id);

		if (own || (l->time_ms >= first - CONTEXT_BEFORE_MS &&
			    l->time_ms <= last + CONTEXT_AFTER_MS &&
			    is_related_change(l->text, upstreams, instances)))
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
	g_array_sort(lines, compare_by_time);
	print_lines(lines, id, c->out);
	if (c->out->len == before)
		return cli_error(
			CLI_REFUSED,
			"no line about request %s; those of a request that succeeds on the "
			"first attempt may be left out by sampling",
			id);
	return CLI_OK;
}
