#include "loadgen/loadgen.h"

#include <stdio.h>
#include <string.h>

#define DEFAULT_RATE	 20 /* arrivals per second */
#define DEFAULT_DURATION 30 /* seconds */
#define DEFAULT_CHATS	 400

struct args {
	struct loadgen_options run;
	struct loadgen_compare compare;
	char *mix;
	char **scale;
	char *base;
	char *api_key;
	char *profile;
	char *json;
	gint64 seed;
	gint chats;
	gint attempts;
	gint requests;
	gint concurrency;
	gint tokens;
	gint short_tokens;
	gboolean quiet;
	gboolean version;
};

static int usage_error(const char *text)
{
	fprintf(stderr, "loadgen: %s\n", text);
	return 2;
}

static int run_mix(struct args *a)
{
	if (loadgen_mix_get(a->mix ? a->mix : "brazos", &a->run.mix) < 0)
		return usage_error("--mix: expected brazos or kaardikoda");
	for (guint i = 0; a->scale && a->scale[i]; i++) {
		if (loadgen_mix_scale(&a->run.mix, a->scale[i]) < 0)
			return usage_error("--scale: expected NAME=FACTOR with a profile or a "
					   "client account of the mix");
	}
	if (a->run.rate <= 0 || a->run.duration <= 0 || a->chats < 1 || a->attempts < 1)
		return usage_error("--rate, --duration, --chats and --attempts must be positive");
	a->run.seed = (uint64_t)a->seed;
	a->run.chats = (uint32_t)a->chats;
	a->run.max_attempts = (uint32_t)a->attempts;
	a->run.quiet = a->quiet;
	a->run.json = a->json;
	return loadgen_run(&a->run);
}

static int run_compare(struct args *a)
{
	struct loadgen_mix mix;
	const char *name = a->mix ? a->mix : "brazos";

	if (loadgen_mix_get(name, &mix) < 0)
		return usage_error("--mix: expected brazos or kaardikoda");
	if (a->requests < 1 || a->concurrency < 1 || a->tokens < 1 || a->short_tokens < 1)
		return usage_error("--requests, --concurrency, --tokens and --short-tokens must "
				   "be positive");
	a->compare.base = a->base;
	a->compare.target = a->run.targets[0];
	a->compare.api_key = a->api_key ? a->api_key : mix.accounts[0].key;
	a->compare.profile = a->profile ? a->profile : mix.kinds[0].profile;
	a->compare.model = mix.model;
	a->compare.seed = (uint64_t)a->seed;
	a->compare.requests = (uint32_t)a->requests;
	a->compare.concurrency = (uint32_t)a->concurrency;
	a->compare.tokens = (uint32_t)a->tokens;
	a->compare.short_tokens = (uint32_t)a->short_tokens;
	a->compare.json = a->json;
	return loadgen_compare(&a->compare);
}

static void args_clear(struct args *a)
{
	g_strfreev(a->run.targets);
	g_strfreev(a->run.services);
	g_strfreev(a->scale);
	g_free(a->mix);
	g_free(a->base);
	g_free(a->api_key);
	g_free(a->profile);
	g_free(a->json);
}

static int parse(struct args *a, int *argc, char ***argv)
{
	g_autoptr(GOptionContext) context =
		g_option_context_new("- sends seeded load and checks each response");
	g_autoptr(GError) error = NULL;
	GOptionEntry common[] = {
		{ "target", 't', 0, G_OPTION_ARG_STRING_ARRAY, &a->run.targets,
		  "Caller listener; may be given several times", "IP:PORT" },
		{ "mix", 'm', 0, G_OPTION_ARG_STRING, &a->mix,
		  "Calls and client accounts: brazos (default) or kaardikoda", "NAME" },
		{ "seed", 's', 0, G_OPTION_ARG_INT64, &a->seed, "Seed of all random choices", "N" },
		{ "json", 'j', 0, G_OPTION_ARG_FILENAME, &a->json, "Write the report to FILE",
		  "FILE" },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &a->version, "Print the version", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionEntry load[] = {
		{ "rate", 'r', 0, G_OPTION_ARG_DOUBLE, &a->run.rate, "Arrivals per second", "N" },
		{ "duration", 'd', 0, G_OPTION_ARG_DOUBLE, &a->run.duration, "Seconds of arrivals",
		  "N" },
		{ "drain", 0, 0, G_OPTION_ARG_DOUBLE, &a->run.drain,
		  "Seconds to wait for responses after the last arrival", "N" },
		{ "chats", 'c', 0, G_OPTION_ARG_INT, &a->chats, "Concurrent chats", "N" },
		{ "pause", 0, 0, G_OPTION_ARG_DOUBLE, &a->run.pause,
		  "Mean seconds between turns of a chat", "N" },
		{ "attempts", 0, 0, G_OPTION_ARG_INT, &a->attempts, "Attempts per call", "N" },
		{ "scale", 0, 0, G_OPTION_ARG_STRING_ARRAY, &a->scale,
		  "Multiply the share of a profile or client account", "NAME=FACTOR" },
		{ "service", 0, 0, G_OPTION_ARG_STRING_ARRAY, &a->run.services,
		  "Plain service whose run counters are compared at the end", "IP:PORT" },
		{ "quiet", 'q', 0, G_OPTION_ARG_NONE, &a->quiet, "No progress lines", NULL },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionEntry compare[] = {
		{ "compare", 0, 0, G_OPTION_ARG_STRING, &a->base,
		  "Base that the first target is compared with", "IP:PORT" },
		{ "requests", 'n', 0, G_OPTION_ARG_INT, &a->requests,
		  "Requests of each kind and target", "N" },
		{ "concurrency", 0, 0, G_OPTION_ARG_INT, &a->concurrency,
		  "Requests in flight in the phases under load", "N" },
		{ "tokens", 0, 0, G_OPTION_ARG_INT, &a->tokens, "Tokens of a stream", "N" },
		{ "short-tokens", 0, 0, G_OPTION_ARG_INT, &a->short_tokens,
		  "Tokens of a short request", "N" },
		{ "api-key", 0, 0, G_OPTION_ARG_STRING, &a->api_key, "API key", "KEY" },
		{ "profile", 0, 0, G_OPTION_ARG_STRING, &a->profile, "Profile", "NAME" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};

	g_option_context_add_main_entries(context, common, NULL);
	g_option_context_add_main_entries(context, load, NULL);
	g_option_context_add_main_entries(context, compare, NULL);
	if (!g_option_context_parse(context, argc, argv, &error))
		return usage_error(error->message);
	if (*argc > 1)
		return usage_error("unexpected argument");
	if (!a->version && !a->run.targets)
		return usage_error("--target IP:PORT is required");
	return 0;
}

int main(int argc, char **argv)
{
	struct args a = {
		.run = { .rate = DEFAULT_RATE,
			 .duration = DEFAULT_DURATION,
			 .pause = 2,
			 .drain = 60 },
		.seed = 1,
		.chats = DEFAULT_CHATS,
		.attempts = 6,
		.requests = 400,
		.concurrency = 32,
		.tokens = 64,
		.short_tokens = 1,
	};
	int rc = parse(&a, &argc, &argv);

	log_set_name("loadgen");
	if (rc == 0 && a.version)
		printf("loadgen %s\n", TH_VERSION);
	else if (rc == 0)
		rc = a.base ? run_compare(&a) : run_mix(&a);
	args_clear(&a);
	return rc;
}
