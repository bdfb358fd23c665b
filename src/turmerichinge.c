/*
 * The operators' program: edits the configuration in the platform, shows the state, timeline and
 * counters of instances, and sends single requests.
 */
#include <stdio.h>
#include <string.h>

#include "base/base.h"
#include "cli/cli.h"

static const char summary[] =
	"Commands:\n"
	"  profile list | get NAME | set NAME FIELD=VALUE... | check [NAME]\n"
	"  upstream list | add ID FIELD=VALUE... | drain ID | undrain ID | remove ID\n"
	"  config list | get KEY | set KEY FIELD=VALUE... | delete KEY | check [KEY] | import "
	"FILE\n"
	"  status | metrics | events\n"
	"  send MESSAGE\n"
	"  trace REQUEST-ID LOG-FILE...\n"
	"\n"
	"\"set\" and \"add\" take the whole text with --file FILE instead of fields; an empty "
	"VALUE\n"
	"removes a field. KEY is ranks, service/NAME, profile/NAME, account/NAME or upstream/ID.\n"
	"The token is taken from TURMERICHINGE_TOKEN if --token is not given.\n"
	"Exit codes: 0 done, 1 refused, 2 usage, 3 conflict, 4 unreachable, 5 may be written.";

struct args {
	struct cli cli;
	struct cli_event_filter filter;
	struct cli_send_options send;
	gboolean force;
	gboolean version;
	char **words;
};

static int usage(const char *text)
{
	return cli_error(CLI_USAGE, "%s, see --help", text);
}

/* "get", "set" and so on of the objects whose keys start with @kind and a slash. */
static int edit_command(struct args *a, const char *kind, const char *verb, char **rest)
{
	const char *name = rest[0];
	g_autofree char *key = *kind && name ? g_strconcat(kind, "/", name, NULL) : g_strdup(name);
	g_autofree char *prefix = *kind ? g_strconcat(kind, "/", NULL) : g_strdup("");

	if (strcmp(verb, "list") == 0)
		return cli_config_list(&a->cli, prefix);
	if (strcmp(verb, "check") == 0)
		return cli_config_check(&a->cli, key);
	if (!name)
		return usage("a name is expected");
	if (strcmp(verb, "get") == 0)
		return cli_config_get(&a->cli, key);
	if (strcmp(verb, "set") == 0)
		return cli_config_set(&a->cli, key, rest + 1, false);
	if (strcmp(verb, "delete") == 0 || strcmp(verb, "remove") == 0)
		return cli_config_delete(&a->cli, key);
	return usage("unknown command");
}

static int upstream_command(struct args *a, const char *verb, char **rest)
{
	static char *const drain[] = { "drain=yes", NULL };
	static char *const undrain[] = { "drain=", NULL };
	g_autofree char *key = rest[0] ? g_strconcat("upstream/", rest[0], NULL) : NULL;

	if (key && strcmp(verb, "add") == 0)
		return cli_config_set(&a->cli, key, rest + 1, true);
	if (key && strcmp(verb, "drain") == 0)
		return cli_config_set(&a->cli, key, (char **)drain, false);
	if (key && strcmp(verb, "undrain") == 0)
		return cli_config_set(&a->cli, key, (char **)undrain, false);
	return edit_command(a, "upstream", verb, rest);
}

static int run_command(struct args *a)
{
	char **w = a->words;

	if (!w || !w[0])
		return usage("a command is expected");
	if (strcmp(w[0], "status") == 0)
		return cli_status(&a->cli);
	if (strcmp(w[0], "metrics") == 0)
		return cli_metrics(&a->cli);
	if (strcmp(w[0], "events") == 0)
		return cli_events(&a->cli, &a->filter);
	if (!w[1])
		return usage("an argument is expected");
	if (strcmp(w[0], "trace") == 0)
		return w[2] ? cli_trace(&a->cli, w[1], w + 2) : usage("a log file is expected");
	if (strcmp(w[0], "send") == 0)
		return cli_send(&a->cli, &a->send, w[1]);
	if (strcmp(w[0], "profile") == 0)
		return edit_command(a, "profile", w[1], w + 2);
	if (strcmp(w[0], "upstream") == 0)
		return upstream_command(a, w[1], w + 2);
	if (strcmp(w[0], "config") == 0 && strcmp(w[1], "import") == 0)
		return w[2] ? cli_config_import(&a->cli, w[2]) : usage("a file is expected");
	if (strcmp(w[0], "config") == 0)
		return edit_command(a, "", w[1], w + 2);
	return usage("unknown command");
}

static GOptionGroup *events_group(struct args *a)
{
	GOptionGroup *g = g_option_group_new(
		"events", "Filters of events:", "Show filters of events", NULL, NULL);
	GOptionEntry entries[] = {
		{ "request", 0, 0, G_OPTION_ARG_STRING, &a->filter.request, "Request id", "ID" },
		{ "upstream", 0, 0, G_OPTION_ARG_STRING, &a->filter.upstream, "Upstream id", "ID" },
		{ "account", 0, 0, G_OPTION_ARG_STRING, &a->filter.account, "Client account",
		  "NAME" },
		{ "since", 0, 0, G_OPTION_ARG_INT64, &a->filter.since, "Events after this stamp",
		  "STAMP" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};

	g_option_group_add_entries(g, entries);
	return g;
}

static GOptionGroup *send_group(struct args *a)
{
	GOptionGroup *g =
		g_option_group_new("send", "Options of send:", "Show options of send", NULL, NULL);
	GOptionEntry entries[] = {
		{ "caller", 0, 0, G_OPTION_ARG_STRING, &a->send.caller_url, "Caller listener",
		  "URL" },
		{ "key", 0, 0, G_OPTION_ARG_STRING, &a->send.api_key, "API key", "KEY" },
		{ "model", 0, 0, G_OPTION_ARG_STRING, &a->send.model, "Model", "NAME" },
		{ "profile", 0, 0, G_OPTION_ARG_STRING, &a->send.profile, "Profile", "NAME" },
		{ "idempotency-key", 0, 0, G_OPTION_ARG_STRING, &a->send.idempotency_key,
		  "Idempotency key", "KEY" },
		{ "max-tokens", 0, 0, G_OPTION_ARG_INT, &a->send.max_tokens, "Length of the answer",
		  "N" },
		{ "stream", 0, 0, G_OPTION_ARG_NONE, &a->send.stream, "Ask for a stream", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};

	g_option_group_add_entries(g, entries);
	return g;
}

static int parse(struct args *a, int *argc, char ***argv)
{
	g_autoptr(GOptionContext) context =
		g_option_context_new("COMMAND... - operates a fleet of request routers");
	g_autoptr(GError) error = NULL;
	GOptionEntry entries[] = {
		{ "platform", 'p', 0, G_OPTION_ARG_STRING, &a->cli.platform_url, "Object API",
		  "URL" },
		{ "operator", 'o', 0, G_OPTION_ARG_STRING_ARRAY, &a->cli.operator_urls,
		  "Operators' listener of an instance; may be given several times", "URL" },
		{ "token", 't', 0, G_OPTION_ARG_STRING, &a->cli.token,
		  "Token of the operators' listeners", "TOKEN" },
		{ "ca", 0, 0, G_OPTION_ARG_FILENAME, &a->cli.ca_file, "Trusted certificates",
		  "FILE" },
		{ "file", 'f', 0, G_OPTION_ARG_FILENAME, &a->cli.edit_file,
		  "Text of the object, - for standard input", "FILE" },
		{ "base", 0, 0, G_OPTION_ARG_FILENAME, &a->cli.base_file,
		  "Text that the edit in --file started from", "FILE" },
		{ "force", 0, 0, G_OPTION_ARG_NONE, &a->force, "Allow a harmful edit", NULL },
		{ "chat", 0, 0, G_OPTION_ARG_STRING, &a->send.chat, "Chat key of events and send",
		  "KEY" },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &a->version, "Print the version", NULL },
		{ G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &a->words, NULL, NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_add_group(context, events_group(a));
	g_option_context_add_group(context, send_group(a));
	if (!g_option_context_parse(context, argc, argv, &error))
		return usage(error->message);
	if (!a->cli.token)
		a->cli.token = g_strdup(g_getenv("TURMERICHINGE_TOKEN"));
	a->filter.chat = g_strdup(a->send.chat);
	a->cli.force = a->force;
	return CLI_OK;
}

static void args_clear(struct args *a)
{
	char *strings[] = { a->cli.platform_url, a->cli.token,	     a->cli.ca_file,
			    a->cli.edit_file,	 a->cli.base_file,   a->filter.request,
			    a->filter.chat,	 a->filter.upstream, a->filter.account,
			    a->send.caller_url,	 a->send.api_key,    a->send.model,
			    a->send.profile,	 a->send.chat,	     a->send.idempotency_key };

	for (guint i = 0; i < G_N_ELEMENTS(strings); i++)
		g_free(strings[i]);
	g_strfreev(a->cli.operator_urls);
	g_strfreev(a->words);
	g_string_free(a->cli.out, TRUE);
}

int main(int argc, char **argv)
{
	struct args a = { .send.max_tokens = 64 };
	int rc;

	a.cli.out = g_string_new(NULL);
	rc = parse(&a, &argc, &argv);
	if (rc == CLI_OK && a.version)
		printf("turmerichinge %s\n", TH_VERSION);
	else if (rc == CLI_OK)
		rc = run_command(&a);
	fputs(a.cli.out->str, stdout);
	args_clear(&a);
	return rc;
}
