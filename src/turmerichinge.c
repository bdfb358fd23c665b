/*
 * Command line program for operators: edits the configuration in the platform, prints the status,
 * events and metrics of instances, explains a request from their logs or before it is sent, and sends
 * single requests.
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
	"  explain PATH\n"
	"\n"
	"\"set\" and \"add\" take the whole text with --file FILE instead of fields; an empty "
	"VALUE\n"
	"removes a field. KEY is ranks, service/NAME, profile/NAME, account/NAME or upstream/ID.\n"
	"The token is taken from TURMERICHINGE_TOKEN if --token is not given.\n"
	"Exit codes: 0 done, 1 refused, 2 usage, 3 conflict, 4 unreachable, 5 outcome "
	"unknown.";

struct options {
	struct cli cli;
	struct cli_event_filter event_filter;
	struct cli_send_options send;
	struct cli_explain_options explain;
	gboolean force; /* copied to cli.force, which is a bool */
	gboolean show_version;
	char **command; /* words of the command and its arguments */
};

static int usage_error(const char *text)
{
	return cli_error(CLI_USAGE, "%s, see --help", text);
}

/* Runs command @verb on objects of @kind ("profile", "upstream"); "": @args have full keys. */
static int edit_command(struct options *o, const char *kind, const char *verb, char **args)
{
	const char *name = args[0];
	g_autofree char *key = *kind && name ? g_strconcat(kind, "/", name, NULL) : g_strdup(name);
	g_autofree char *prefix = *kind ? g_strconcat(kind, "/", NULL) : g_strdup("");

	if (strcmp(verb, "list") == 0)
		return cli_config_list(&o->cli, prefix);
	if (strcmp(verb, "check") == 0)
		return cli_config_check(&o->cli, key);
	if (!name)
		return usage_error("a name is expected");
	if (strcmp(verb, "get") == 0)
		return cli_config_get(&o->cli, key);
	if (strcmp(verb, "set") == 0)
		return cli_config_set(&o->cli, key, args + 1, false);
	if (strcmp(verb, "delete") == 0 || strcmp(verb, "remove") == 0)
		return cli_config_delete(&o->cli, key);
	return usage_error("unknown command");
}

static int upstream_command(struct options *o, const char *verb, char **args)
{
	static char *const drain[] = { "drain=yes", NULL };
	static char *const undrain[] = { "drain=", NULL };
	g_autofree char *key = args[0] ? g_strconcat("upstream/", args[0], NULL) : NULL;

	if (key && strcmp(verb, "add") == 0)
		return cli_config_set(&o->cli, key, args + 1, true);
	if (key && strcmp(verb, "drain") == 0)
		return cli_config_set(&o->cli, key, (char **)drain, false);
	if (key && strcmp(verb, "undrain") == 0)
		return cli_config_set(&o->cli, key, (char **)undrain, false);
	return edit_command(o, "upstream", verb, args);
}

static int run_command(struct options *o)
{
	char **w = o->command;

	if (!w || !w[0])
		return usage_error("a command is expected");
	if (strcmp(w[0], "status") == 0)
		return cli_status(&o->cli);
	if (strcmp(w[0], "metrics") == 0)
		return cli_metrics(&o->cli);
	if (strcmp(w[0], "events") == 0)
		return cli_events(&o->cli, &o->event_filter);
	if (!w[1])
		return usage_error("an argument is expected");
	if (strcmp(w[0], "trace") == 0)
		return w[2] ? cli_trace(&o->cli, w[1], w + 2)
			    : usage_error("a log file is expected");
	if (strcmp(w[0], "explain") == 0)
		return cli_explain(&o->cli, &o->explain, w[1]);
	if (strcmp(w[0], "send") == 0)
		return cli_send(&o->cli, &o->send, w[1]);
	if (strcmp(w[0], "profile") == 0)
		return edit_command(o, "profile", w[1], w + 2);
	if (strcmp(w[0], "upstream") == 0)
		return upstream_command(o, w[1], w + 2);
	if (strcmp(w[0], "config") == 0 && strcmp(w[1], "import") == 0)
		return w[2] ? cli_config_import(&o->cli, w[2]) : usage_error("a file is expected");
	if (strcmp(w[0], "config") == 0)
		return edit_command(o, "", w[1], w + 2);
	return usage_error("unknown command");
}

static GOptionGroup *events_group(struct options *o)
{
	GOptionGroup *g = g_option_group_new(
		"events", "Filters of events:", "Show filters of events", NULL, NULL);
	GOptionEntry entries[] = {
		{ "request", 0, 0, G_OPTION_ARG_STRING, &o->event_filter.request, "Request id",
		  "ID" },
		{ "upstream", 0, 0, G_OPTION_ARG_STRING, &o->event_filter.upstream, "Upstream id",
		  "ID" },
		{ "account", 0, 0, G_OPTION_ARG_STRING, &o->event_filter.account, "Client account",
		  "NAME" },
		{ "since", 0, 0, G_OPTION_ARG_INT64, &o->event_filter.since,
		  "Events after this HLC stamp", "STAMP" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};

	g_option_group_add_entries(g, entries);
	return g;
}

static GOptionGroup *send_group(struct options *o)
{
	GOptionGroup *g =
		g_option_group_new("send", "Options of send:", "Show options of send", NULL, NULL);
	GOptionEntry entries[] = {
		{ "caller", 0, 0, G_OPTION_ARG_STRING, &o->send.caller_url, "Caller listener",
		  "URL" },
		{ "key", 0, 0, G_OPTION_ARG_STRING, &o->send.api_key, "API key", "KEY" },
		{ "model", 0, 0, G_OPTION_ARG_STRING, &o->send.model, "Model", "NAME" },
		{ "profile", 0, 0, G_OPTION_ARG_STRING, &o->send.profile, "Profile", "NAME" },
		{ "idempotency-key", 0, 0, G_OPTION_ARG_STRING, &o->send.idempotency_key,
		  "Idempotency key", "KEY" },
		{ "max-tokens", 0, 0, G_OPTION_ARG_INT, &o->send.max_tokens,
		  "Response limit in tokens", "N" },
		{ "stream", 0, 0, G_OPTION_ARG_NONE, &o->send.stream, "Request a response stream",
		  NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};

	g_option_group_add_entries(g, entries);
	return g;
}

static GOptionGroup *explain_group(struct options *o)
{
	GOptionGroup *g = g_option_group_new("explain", "Options of explain (and --account):",
					     "Show options of explain", NULL, NULL);
	GOptionEntry entries[] = {
		{ "host", 0, 0, G_OPTION_ARG_STRING, &o->explain.host, "Host of the request",
		  "HOST" },
		{ "header", 'H', 0, G_OPTION_ARG_STRING_ARRAY, &o->explain.headers,
		  "Header of the request; may be given several times", "NAME: VALUE" },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &o->explain.json, "Print JSON", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};

	g_option_group_add_entries(g, entries);
	return g;
}

static int parse_options(struct options *o, int *argc, char ***argv)
{
	g_autoptr(GOptionContext) context =
		g_option_context_new("COMMAND... - operates a fleet of request routers");
	g_autoptr(GError) error = NULL;
	GOptionEntry entries[] = {
		{ "platform", 'p', 0, G_OPTION_ARG_STRING, &o->cli.platform_url,
		  "Object API of the platform", "URL" },
		{ "operator", 'o', 0, G_OPTION_ARG_STRING_ARRAY, &o->cli.operator_urls,
		  "Operators' listener of an instance; may be given several times", "URL" },
		{ "token", 't', 0, G_OPTION_ARG_STRING, &o->cli.token,
		  "Bearer token for the operators' listeners", "TOKEN" },
		{ "ca", 0, 0, G_OPTION_ARG_FILENAME, &o->cli.ca_file, "Trusted certificates",
		  "FILE" },
		{ "file", 'f', 0, G_OPTION_ARG_FILENAME, &o->cli.edit_file,
		  "Text of the object, - for standard input", "FILE" },
		{ "base", 0, 0, G_OPTION_ARG_FILENAME, &o->cli.base_file,
		  "Text that the edit in --file started from", "FILE" },
		{ "force", 0, 0, G_OPTION_ARG_NONE, &o->force, "Allow a harmful edit", NULL },
		{ "chat", 0, 0, G_OPTION_ARG_STRING, &o->send.chat, "Chat key of events and send",
		  "KEY" },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &o->show_version, "Print the version", NULL },
		{ G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &o->command, NULL, NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_add_group(context, events_group(o));
	g_option_context_add_group(context, send_group(o));
	g_option_context_add_group(context, explain_group(o));
	if (!g_option_context_parse(context, argc, argv, &error))
		return usage_error(error->message);
	if (!o->cli.token)
		o->cli.token = g_strdup(g_getenv("TURMERICHINGE_TOKEN"));
	o->event_filter.chat = g_strdup(o->send.chat);
	o->explain.account = o->event_filter.account;
	o->cli.force = o->force;
	return CLI_OK;
}

static void options_clear(struct options *o)
{
	char *strings[] = { o->cli.platform_url,     o->cli.token,
			    o->cli.ca_file,	     o->cli.edit_file,
			    o->cli.base_file,	     o->event_filter.request,
			    o->event_filter.chat,    o->event_filter.upstream,
			    o->event_filter.account, o->send.caller_url,
			    o->send.api_key,	     o->send.model,
			    o->send.profile,	     o->send.chat,
			    o->send.idempotency_key, o->explain.host };

	for (guint i = 0; i < G_N_ELEMENTS(strings); i++)
		g_free(strings[i]);
	g_strfreev(o->cli.operator_urls);
	g_strfreev(o->explain.headers);
	g_strfreev(o->command);
	g_string_free(o->cli.out, TRUE);
}

int main(int argc, char **argv)
{
	struct options o = { .send.max_tokens = 64 };
	int rc;

	o.cli.out = g_string_new(NULL);
	rc = parse_options(&o, &argc, &argv);
	if (rc == CLI_OK && o.show_version)
		printf("turmerichinge %s\n", TH_VERSION);
	else if (rc == CLI_OK)
		rc = run_command(&o);
	fputs(o.cli.out->str, stdout);
	options_clear(&o);
	return rc;
}
