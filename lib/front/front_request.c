#include <stdlib.h>
#include <string.h>

#include "front/front_priv.h"

#define NOT_READY_RETRY USEC_PER_SEC /* Retry-After of an instance that takes no new work */
#define MAX_DEADLINE	(24 * 3600 * USEC_PER_SEC) /* largest accepted X-Deadline-Ms */

static void request_free(struct front_request *r)
{
	list_del(&r->node);
	r->front->n_requests--;
	ctr_set(r->front->ctr.requests_open, r->front->n_requests);
	if (r->timer_source)
		g_source_remove(r->timer_source);
	front_input_clear(&r->in);
	g_free(r->chat_key);
	g_free(r->account);
	g_free(r->service);
	g_free(r->method);
	g_free(r->path);
	g_free(r->content_type);
	g_free(r->idempotency_key);
	g_free(r->response_type);
	front_request_release(r);
	g_byte_array_unref(r->response_body);
	g_free(r);
}

void front_request_finish(struct front_request *r)
{
	r->state = FRONT_FINISHED;
	front_record_event(r->front, EVT_VERDICT, r, err_verdict_name(r->verdict));
	log_debug("front", "request %s of account %s ended as %s with status %d after %u attempts",
		  r->id, r->account, err_verdict_name(r->verdict), r->status, r->n_attempts);
	if (!r->msg) {
		request_free(r);
		return;
	}
	/* What is left is the answer, which the caller reads. */
	front_request_release_body(r);
	front_message_moved(r->msg, FRONT_CONN_OUTPUT);
}

static void on_caller_disconnected(struct front_request *r)
{
	struct front_service *s = front_service_get(r->front, r->service);

	ctr_add(r->front->ctr.callers_left, 1);
	switch (r->state) {
	case FRONT_QUEUED:
		if (s)
			admit_cancel(s->admit, r->ticket);
		break;
	case FRONT_RUNNING:
		/* The outcome of a once-only call is stored even if its caller disconnects. */
		if (r->once_only)
			return;
		front_attempt_abandon(r);
		break;
	case FRONT_WAITING:
		front_crash_check_remove_request(r);
		break;
	default:
		return;
	}
	front_request_finish(r);
}

void front_request_stop(struct front_request *r)
{
	struct front_service *s = front_service_get(r->front, r->service);

	switch (r->state) {
	case FRONT_CLAIMING:
		/* on_claim() ends the request. */
		if (r->msg) {
			r->refused = true;
			front_refuse_message_later(r->front, r->msg, REFUSAL_NOT_READY, NULL,
						   NOT_READY_RETRY);
			soup_server_message_unpause(r->msg);
		}
		return;
	case FRONT_QUEUED:
		if (s)
			admit_cancel(s->admit, r->ticket);
		break;
	case FRONT_RUNNING:
		front_attempt_abandon(r);
		break;
	case FRONT_WAITING:
		front_crash_check_remove_request(r);
		if (r->timer_source)
			g_source_remove(r->timer_source);
		r->timer_source = 0;
		break;
	default:
		return;
	}
	r->last_failure = r->verdict == VERDICT_NOT_RUN ? REFUSAL_NOT_READY : REFUSAL_STOPPED;
	r->retry_after = r->verdict == VERDICT_NOT_RUN ? NOT_READY_RETRY : 0;
	front_request_fail(r);
}

/* libsoup finished the message: the response was written, or the caller disconnected. */
static void on_finished(SoupServerMessage *msg, gpointer arg)
{
	struct front_request *r = arg;

	g_signal_handlers_disconnect_by_data(msg, r);
	g_clear_object(&r->msg);
	if (r->state == FRONT_FINISHED)
		request_free(r);
	else
		on_caller_disconnected(r);
}

static const char *request_header(SoupServerMessage *msg, const char *name)
{
	return soup_message_headers_get_one(soup_server_message_get_request_headers(msg), name);
}

static const struct conf_account *find_account(struct front *f, SoupServerMessage *msg)
{
	const char *auth = request_header(msg, "Authorization");

	if (!auth || !g_str_has_prefix(auth, "Bearer "))
		return NULL;
	return conf_account_by_key(f->conf, auth + strlen("Bearer "));
}

static void set_account(struct front_request *r, const struct conf_account *a)
{
	gsize len;
	const void *body = g_bytes_get_data(r->body, &len);

	r->account = g_strdup(a->name);
	r->account_hash = hash_str(a->name);
	r->account_weight = a->weight;
	r->fingerprint = hash_pair(r->account_hash, hash_bytes(body, len));
}

static struct front_request *request_new(struct front *f, SoupServerMessage *msg,
					 const struct conf_account *account)
{
	struct front_request *r = g_new0(struct front_request, 1);

	r->front = f;
	r->msg = g_object_ref(msg);
	r->body = front_message_take_body(msg, r);
	r->method = g_strdup(soup_server_message_get_method(msg));
	r->content_type = g_strdup(request_header(msg, "Content-Type"));
	r->idempotency_key = g_strdup(request_header(msg, "Idempotency-Key"));
	r->response_body = g_byte_array_new();
	r->arrived_at = g_get_monotonic_time();
	r->verdict = VERDICT_NOT_RUN;
	g_snprintf(r->id, sizeof(r->id), "%016" G_GINT64_MODIFIER "x",
		   hash_pair(hash_str(f->settings->instance),
			     hash_pair((uint64_t)g_get_real_time(), ++f->request_serial)));
	set_account(r, account);
	list_add_tail(&r->node, &f->requests);
	f->n_requests++;
	ctr_set(f->ctr.requests_open, f->n_requests);
	ctr_add(f->ctr.requests, 1);
	soup_server_message_pause(msg);
	g_signal_connect(msg, "finished", G_CALLBACK(on_finished), r);
	return r;
}

/* Parses chat key, deadline and hint; returns the name of the invalid header or NULL. */
static const char *parse_headers(struct front_request *r, const struct conf_profile *p)
{
	const char *chat = request_header(r->msg, "X-Chat");
	const char *deadline = request_header(r->msg, "X-Deadline-Ms");
	const char *hint = request_header(r->msg, "X-Context");
	int64_t timeout = p->deadline;
	char *end;

	if (deadline) {
		errno = 0;
		timeout = g_ascii_strtoll(deadline, &end, 10);
		if (errno || *end != '\0' || timeout <= 0 || timeout > MAX_DEADLINE / USEC_PER_MSEC)
			return "X-Deadline-Ms";
		timeout *= USEC_PER_MSEC;
	}
	r->deadline = r->arrived_at + timeout;
	r->deadline_from_caller = deadline != NULL;
	if (chat) {
		r->chat_key = g_strdup(chat);
		r->chat_hash = hash_pair(r->account_hash, hash_str(chat));
	}
	if (hint && r->chat_hash && r->front->settings->peer_key)
		place_hint_decode(r->front->settings->peer_key, hint, r->chat_hash,
				  g_get_real_time(), &r->hint, &r->hint_tokens);
	return NULL;
}

static const struct conf_profile *find_profile(struct front_request *r,
					       const struct conf_service *s)
{
	const char *name = request_header(r->msg, "X-Profile");

	if (!name)
		name = s->profiles[0];
	else if (!g_strv_contains((const char *const *)s->profiles, name))
		return NULL;
	return conf_profile(r->front->conf, name);
}

/*
 * Expected tokens of the response. The request has only a limit; the mean of earlier responses of
 * the rank is the better estimate.
 */
static double expected_output_tokens(const struct front_request *r, const struct front_service *s)
{
	return r->plain ? 0 : MIN(r->in.max_tokens, s->mean_output_tokens[r->rank]);
}

/* Expected microseconds from the send to the end of the response. */
static double expected_service_time(const struct front_request *r, double output,
				    const struct load_estimate *v)
{
	double cached_tokens = r->in.history_tokens * (r->chat_hash ? 1 : 0);

	if (r->plain)
		return 0;
	return ((r->in.prompt_tokens - cached_tokens) / v->prefill_rate + output / v->decode_rate) *
	       (double)USEC_PER_SEC;
}

/* Refuses a request that could not be queued; a claim that it has is released first. */
static void refuse_not_queued(struct front_request *r, const struct admit_refusal *why)
{
	r->last_failure = why->reason;
	r->retry_after = why->retry_after;
	front_request_fail(r);
}

void front_request_enqueue(struct front_request *r, bool resumed)
{
	struct front *f = r->front;
	struct front_service *s = front_service_get(f, r->service);
	struct load_estimate v;
	struct admit_refusal why = { REFUSAL_NO_UPSTREAM, USEC_PER_SEC };
	tab_handle any_upstream = 0;
	double output;

	if (!s || (member_usable(f->member, r->service, &any_upstream, 1) == 0 && !resumed)) {
		refuse_not_queued(r, &why);
		return;
	}
	output = expected_output_tokens(r, s);
	load_estimate(f->load, any_upstream, r->arrived_at, &v);
	r->state = FRONT_QUEUED;
	if (admit_add(s->admit,
		      &(struct admit_request){ .owner = r,
					       .rank = r->rank,
					       .account = r->account_hash,
					       .account_weight = r->account_weight,
					       .cost_tokens =
						       r->plain ? 1 : r->in.prompt_tokens + output,
					       .output_tokens = output,
					       .bytes = g_bytes_get_size(r->body) + sizeof(*r),
					       .window_end = r->arrived_at + r->window,
					       .deadline = r->deadline,
					       .service_time = expected_service_time(r, output, &v),
					       .finish = r->finish,
					       .once_only = r->once_only,
					       .resumed = resumed },
		      g_get_monotonic_time(), &r->ticket, &why) < 0) {
		r->ticket = 0;
		refuse_not_queued(r, &why);
		return;
	}
	front_dispatch(f, s);
}

static void on_claim(void *arg, const struct control_claim_reply *reply)
{
	struct front_request *r = arg;

	if (reply->result == CONTROL_CLAIM_GRANTED)
		r->claim_id = reply->claim;
	if (!r->msg || r->refused) {
		if (r->claim_id)
			control_report_outcome(r->front->control, r->claim_id, VERDICT_NOT_RUN, 0,
					       NULL, NULL, NULL, NULL);
		front_request_finish(r);
		return;
	}
	switch (reply->result) {
	case CONTROL_CLAIM_GRANTED:
		front_record_event(r->front, EVT_CLAIM, r, "granted");
		front_request_enqueue(r, false);
		break;
	case CONTROL_CLAIM_DONE:
		front_record_event(r->front, EVT_CLAIM, r, "stored answer");
		front_reply_stored(r, reply->status, reply->content_type, reply->body);
		break;
	case CONTROL_CLAIM_OPEN:
		r->verdict = VERDICT_MAY_HAVE_RUN;
		front_refuse(r, REFUSAL_CLAIM_OPEN, NULL, 0);
		break;
	case CONTROL_CLAIM_MISMATCH:
		front_refuse(r, REFUSAL_KEY_REUSED, "Idempotency-Key", 0);
		break;
	case CONTROL_CLAIM_UNAVAILABLE:
		front_refuse(r, REFUSAL_CLAIM_UNAVAILABLE, NULL, USEC_PER_SEC);
		break;
	}
}

static void claim_or_enqueue(struct front_request *r)
{
	struct front *f = r->front;

	front_record_event(f, EVT_ADMIT, r, err_rank_name(r->rank));
	if (poison_get_state(f->poison, &r->poison, g_get_real_time()) == POISON_QUARANTINED) {
		front_refuse(r, REFUSAL_POISON, NULL, 0);
		return;
	}
	if (r->once_only && r->idempotency_key) {
		r->state = FRONT_CLAIMING;
		control_claim(f->control, r->account, r->idempotency_key, r->fingerprint,
			      r->deadline, on_claim, r);
		return;
	}
	front_request_enqueue(r, false);
}

/* A prompt part that crashes the upstreams of one service may be harmless at another one. */
static void set_poison_request(struct front_request *r)
{
	uint64_t service = hash_str(r->service);

	r->poison.fingerprint = r->fingerprint;
	if (!r->in.parts)
		return;
	for (guint i = 0; i < r->in.parts->len; i++) {
		uint64_t *part = &g_array_index(r->in.parts, uint64_t, i);

		*part = hash_pair(service, *part);
	}
	r->poison.parts = (const uint64_t *)(const void *)r->in.parts->data;
	r->poison.n_parts = r->in.parts->len;
}

/* Applies the settings of the service and the request's profile, then starts the request. */
static void start_request(struct front_request *r, const struct conf_service *s)
{
	const struct conf_profile *p = find_profile(r, s);
	const char *invalid_header;

	r->service = g_strdup(s->name);
	r->plain = s->plain;
	set_poison_request(r);
	if (!p) {
		front_refuse(r, REFUSAL_UNKNOWN_PROFILE, "X-Profile", 0);
		return;
	}
	r->rank = p->rank;
	r->window = p->window;
	r->finish = p->finish;
	r->max_attempts = MIN(p->max_attempts, FRONT_MAX_ATTEMPTS);
	r->once_only = !p->repeatable && strcmp(r->method, "GET") != 0;
	invalid_header = parse_headers(r, p);
	if (invalid_header) {
		ctr_add(r->front->ctr.bad_input, 1);
		front_refuse(r, REFUSAL_BAD_FIELD, invalid_header, 0);
		return;
	}
	claim_or_enqueue(r);
}

/* Checks made before a struct front_request is created; returns true if it was refused. */
static bool refuse_early(struct front *f, SoupServerMessage *msg,
			 const struct conf_account **account)
{
	/* The body was refused. */
	if (soup_server_message_get_status(msg) != 0)
		return true;
	if (!f->configured || f->stopping) {
		front_refuse_message_later(f, msg, REFUSAL_NOT_READY, NULL, NOT_READY_RETRY);
		return true;
	}
	*account = find_account(f, msg);
	if (!*account) {
		front_refuse_message(f, msg, REFUSAL_UNKNOWN_ACCOUNT, "Authorization");
		return true;
	}
	return false;
}

static void on_completion(SoupServer *server, SoupServerMessage *msg, const char *path,
			  GHashTable *query, gpointer arg)
{
	struct front *f = arg;
	const struct conf_account *account;
	const struct conf_service *s;
	struct front_request *r;
	const char *field;
	enum refusal reason;
	gsize len;
	const char *text;

	if (refuse_early(f, msg, &account))
		return;
	r = request_new(f, msg, account);
	r->path = g_strdup(path);
	text = g_bytes_get_data(r->body, &len);
	reason = strcmp(r->method, "POST") == 0
			 ? front_input_parse(text ? text : "", len, &r->in, &field)
			 : REFUSAL_NO_ROUTE;
	if (reason != REFUSAL_NONE) {
		ctr_add(f->ctr.bad_input, 1);
		front_refuse(r, reason, reason == REFUSAL_NO_ROUTE ? "method" : field, 0);
		return;
	}
	s = conf_service_by_model(f->conf, r->in.model);
	if (!s || s->plain) {
		front_refuse(r, REFUSAL_UNKNOWN_MODEL, "model", 0);
		return;
	}
	start_request(r, s);
}

static void on_no_route(SoupServer *server, SoupServerMessage *msg, const char *path,
			GHashTable *query, gpointer arg)
{
	if (soup_server_message_get_status(msg) == 0)
		front_refuse_message(arg, msg, REFUSAL_NO_ROUTE, "path");
}

/* Pass-through to a plain service: /s/SERVICE/PATH is sent as /PATH. */
static void on_service(SoupServer *server, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer arg)
{
	struct front *f = arg;
	const struct conf_account *account;
	const struct conf_service *s;
	struct front_request *r;
	g_auto(GStrv) parts = g_strsplit(path, "/", 4); /* "", "s", SERVICE, PATH */
	const char *q = g_uri_get_query(soup_server_message_get_uri(msg));

	/* libsoup also calls the handler of "/s" for "/status". */
	if (!g_str_has_prefix(path, "/s/")) {
		on_no_route(server, msg, path, query, arg);
		return;
	}
	if (refuse_early(f, msg, &account))
		return;
	r = request_new(f, msg, account);
	if (strcmp(r->method, "GET") != 0 && strcmp(r->method, "POST") != 0) {
		front_refuse(r, REFUSAL_NO_ROUTE, "method", 0);
		return;
	}
	s = g_strv_length(parts) >= 3 ? conf_service(f->conf, parts[2]) : NULL;
	if (!s || !s->plain) {
		front_refuse(r, REFUSAL_NO_ROUTE, "path", 0);
		return;
	}
	r->path = g_strdup_printf("/%s%s%s", parts[3] ? parts[3] : "", q ? "?" : "", q ? q : "");
	start_request(r, s);
}

static void on_alive(SoupServer *server, SoupServerMessage *msg, const char *path,
		     GHashTable *query, gpointer arg)
{
	soup_server_message_set_status(msg, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(msg, "text/plain", SOUP_MEMORY_STATIC, "alive\n", 6);
}

static void on_readiness(SoupServer *server, SoupServerMessage *msg, const char *path,
			 GHashTable *query, gpointer arg)
{
	struct front *f = arg;

	if (!f->configured || f->draining) {
		front_refuse_message_later(f, msg, REFUSAL_NOT_READY, NULL, NOT_READY_RETRY);
		return;
	}
	soup_server_message_set_status(msg, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(msg, "text/plain", SOUP_MEMORY_STATIC, "ready\n", 6);
}

static void on_headers(SoupServer *server, SoupServerMessage *msg, const char *path,
		       GHashTable *query, gpointer arg)
{
	front_message_begin(arg, msg);
}

/* libsoup calls only the handler with the longest match, so each path has its own early handler. */
static void add_route(struct front *f, const char *path, SoupServerCallback fn)
{
	soup_server_add_early_handler(f->caller_server, path, on_headers, f, NULL);
	soup_server_add_handler(f->caller_server, path, fn, f, NULL);
}

void front_add_routes(struct front *f)
{
	add_route(f, NULL, on_no_route);
	add_route(f, "/healthz", on_alive);
	add_route(f, "/readyz", on_readiness);
	add_route(f, "/v1/chat/completions", on_completion);
	add_route(f, "/v1/completions", on_completion);
	add_route(f, "/s", on_service);
}
