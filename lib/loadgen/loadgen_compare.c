#include "loadgen/loadgen.h"

#include <stdio.h>
#include <string.h>

#define REQUEST_TIMEOUT_SECONDS 60
#define PROMPT_WORDS		40
/* To one target before the other target's block; 4 times as many in the concurrent phases. */
#define BLOCK_REQUESTS 50

/* Results of one phase at one target. */
struct side {
	const char *name;
	const char *address;
	struct loadgen_samples first_ms;
	struct loadgen_samples gap_ms;
	struct loadgen_samples total_ms;
	uint64_t ok;
	uint64_t failed;
	uint64_t tokens;
	int64_t busy; /* total duration of this side's blocks, microseconds */
};

struct compare {
	const struct loadgen_compare *o;
	GMainLoop *loop;
	SoupSession *session;
	struct rng rng;
	struct side *side; /* target of the current block */
	bool stream;
	uint32_t to_start; /* requests of the block that are not started yet */
	uint32_t in_flight;
	uint64_t n; /* requests started; numbers them */
};

struct request {
	struct compare *compare;
	struct loadgen_stream check;
	int64_t started; /* monotonic time in microseconds, as the next one */
	int64_t last_token;
	GCancellable *cancel;
	guint limit_timer;
};

static void request_start(struct compare *c);

static gboolean on_time_limit(gpointer arg)
{
	struct request *r = arg;

	r->limit_timer = 0;
	g_cancellable_cancel(r->cancel);
	return G_SOURCE_REMOVE;
}

static double msec(int64_t usec)
{
	return (double)usec / USEC_PER_MSEC;
}

static void on_event(void *arg, const char *data)
{
	struct request *r = arg;
	struct side *s = r->compare->side;
	int64_t now = g_get_monotonic_time();

	if (!loadgen_stream_event(&r->check, data))
		return;
	s->tokens++;
	if (r->check.n_tokens == 1)
		loadgen_samples_add(&s->first_ms, msec(now - r->started));
	else
		loadgen_samples_add(&s->gap_ms, msec(now - r->last_token));
	r->last_token = now;
}

static void on_end(void *arg, const struct loadgen_response *response)
{
	struct request *r = arg;
	struct compare *c = r->compare;
	struct loadgen_usage usage = { 0 };
	bool ok = response->status == 200 && response->complete;

	if (ok && response->body)
		ok = loadgen_check_completion(response->body, r->check.user, r->check.max_tokens,
					      &usage) == LOADGEN_GOOD;
	else if (ok)
		ok = loadgen_stream_end(&r->check) == LOADGEN_GOOD;
	if (ok) {
		c->side->ok++;
		loadgen_samples_add(&c->side->total_ms, msec(g_get_monotonic_time() - r->started));
	} else if (c->side->failed++ == 0) {
		log_warn("loadgen", "a request to %s failed with status %d: %s", c->side->address,
			 response->status,
			 response->error ? response->error : "incorrect response");
	}
	g_clear_handle_id(&r->limit_timer, g_source_remove);
	g_object_unref(r->cancel);
	g_free(r);
	c->in_flight--;
	if (c->to_start > 0)
		request_start(c);
	else if (c->in_flight == 0)
		g_main_loop_quit(c->loop);
}

static const struct loadgen_call_ops request_ops = { on_event, on_end };

static void request_start(struct compare *c)
{
	struct request *r = g_new0(struct request, 1);
	g_autofree char *url = g_strdup_printf("http://%s/v1/chat/completions", c->side->address);
	g_autofree char *bearer = g_strconcat("Bearer ", c->o->api_key, NULL);
	const char *headers[] = { "Authorization", bearer, c->o->profile ? "X-Profile" : NULL,
				  c->o->profile, NULL };
	g_autofree char *body = NULL;
	GString *user = g_string_new(NULL);

	g_string_append_printf(user, "request %" G_GUINT64_FORMAT, c->n++);
	for (int i = 0; i < PROMPT_WORDS; i++)
		g_string_append_printf(user, " t%u", (unsigned)rng_below(&c->rng, 5000));
	r->compare = c;
	r->check.user = hash_str(user->str);
	r->check.max_tokens = c->stream ? c->o->tokens : c->o->short_tokens;
	body = g_strdup_printf("{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%u,"
			       "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
			       c->o->model, c->stream ? "true" : "false", r->check.max_tokens,
			       user->str);
	g_string_free(user, TRUE);
	r->cancel = g_cancellable_new();
	r->limit_timer = g_timeout_add_seconds(REQUEST_TIMEOUT_SECONDS, on_time_limit, r);
	r->started = g_get_monotonic_time();
	c->to_start--;
	c->in_flight++;
	/* Can't fail: the addresses were validated before the first block. */
	loadgen_call(c->session, "POST", url, headers, body, false, r->cancel, &request_ops, r);
}

static void run_block(struct compare *c, struct side *s, bool stream, uint32_t n,
		      uint32_t concurrency)
{
	int64_t started = g_get_monotonic_time();

	/* A server may close connections that are idle during the other side's block. */
	soup_session_abort(c->session);
	c->side = s;
	c->stream = stream;
	c->to_start = n;
	while (c->to_start > 0 && c->in_flight < concurrency)
		request_start(c);
	g_main_loop_run(c->loop);
	s->busy += g_get_monotonic_time() - started;
}

static void side_init(struct side *s, const char *name, const char *address)
{
	memset(s, 0, sizeof(*s));
	s->name = name;
	s->address = address;
	loadgen_samples_init(&s->first_ms);
	loadgen_samples_init(&s->gap_ms);
	loadgen_samples_init(&s->total_ms);
}

static void side_clear(struct side *s)
{
	loadgen_samples_clear(&s->first_ms);
	loadgen_samples_clear(&s->gap_ms);
	loadgen_samples_clear(&s->total_ms);
}

static void add_line(GString *out, GString *json, const char *phase, const char *name, double base,
		     double target)
{
	g_string_append_printf(out, "%-10s %-18s base %12.3f  target %12.3f  diff %+12.3f  ratio ",
			       phase, name, base, target, target - base);
	if (base > 0)
		g_string_append_printf(out, "%.3f\n", target / base);
	else
		g_string_append(out, "-\n");
	g_string_append_printf(json, "%s\"%s.%s\":{\"base\":%.4f,\"target\":%.4f}",
			       json->len > 1 ? "," : "", phase, name, base, target);
}

static void add_quantile_lines(GString *out, GString *json, const char *phase, const char *name,
			       struct loadgen_samples *base, struct loadgen_samples *target)
{
	static const int percents[] = { 50, 95, 99 };

	for (guint i = 0; base->n > 0 && i < G_N_ELEMENTS(percents); i++) {
		g_autofree char *full = g_strdup_printf("%s_p%d_ms", name, percents[i]);
		double q = percents[i] / 100.0;

		add_line(out, json, phase, full, loadgen_samples_quantile(base, q),
			 loadgen_samples_quantile(target, q));
	}
}

static double per_second(uint64_t n, int64_t busy)
{
	return busy > 0 ? (double)n * (double)USEC_PER_SEC / (double)busy : 0;
}

/* Alternates blocks at both targets, so that changes of the machine's speed affect both. */
static uint64_t run_phase(struct compare *c, const char *phase, bool stream, uint32_t concurrency,
			  GString *out, GString *json)
{
	uint32_t block = MIN((uint32_t)BLOCK_REQUESTS * (concurrency > 1 ? 4 : 1), c->o->requests);
	struct side base;
	struct side target;
	uint64_t failed;

	side_init(&base, "base", c->o->base);
	side_init(&target, "target", c->o->target);
	for (uint32_t done = 0; done < c->o->requests; done += block) {
		bool swap = done / block % 2;

		run_block(c, swap ? &target : &base, stream, block, concurrency);
		run_block(c, swap ? &base : &target, stream, block, concurrency);
	}
	add_quantile_lines(out, json, phase, "first", &base.first_ms, &target.first_ms);
	add_quantile_lines(out, json, phase, "gap", &base.gap_ms, &target.gap_ms);
	add_quantile_lines(out, json, phase, "total", &base.total_ms, &target.total_ms);
	add_line(out, json, phase, "requests_per_s", per_second(base.ok, base.busy),
		 per_second(target.ok, target.busy));
	if (stream)
		add_line(out, json, phase, "tokens_per_s", per_second(base.tokens, base.busy),
			 per_second(target.tokens, target.busy));
	add_line(out, json, phase, "failed", (double)base.failed, (double)target.failed);
	failed = base.failed + target.failed;
	side_clear(&base);
	side_clear(&target);
	return failed;
}

static bool address_valid(const char *address)
{
	g_autofree char *url = g_strdup_printf("http://%s/", address);
	g_autoptr(GUri) uri = g_uri_parse(url, SOUP_HTTP_URI_FLAGS, NULL);

	return uri && g_uri_get_host(uri) && *g_uri_get_host(uri);
}

int loadgen_compare(const struct loadgen_compare *o)
{
	struct compare c = { .o = o };
	GString *out = g_string_new(NULL);
	GString *json = g_string_new("{");
	uint64_t failed = 0;
	int rc;

	if (!address_valid(o->base) || !address_valid(o->target)) {
		log_error("loadgen", "expected two addresses of the form IP:PORT");
		g_string_free(out, TRUE);
		g_string_free(json, TRUE);
		return 2;
	}
	c.loop = g_main_loop_new(NULL, FALSE);
	c.session = loadgen_session_new();
	rng_seed(&c.rng, o->seed);
	failed += run_phase(&c, "alone", true, 1, out, json);
	failed += run_phase(&c, "streams", true, o->concurrency, out, json);
	failed += run_phase(&c, "short", false, o->concurrency, out, json);
	fputs(out->str, stdout);
	g_string_append(json, "}\n");
	rc = failed > 0 ? 1 : 0;
	if (o->json && !g_file_set_contents(o->json, json->str, -1, NULL)) {
		log_error("loadgen", "the report can't be written to %s", o->json);
		rc = 2;
	}
	g_string_free(out, TRUE);
	g_string_free(json, TRUE);
	g_object_unref(c.session);
	g_main_loop_unref(c.loop);
	return rc;
}
