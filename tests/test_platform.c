/* The platform client with the platform stand-in, over loopback sockets. */
#include <libsoup/soup.h>
#include <string.h>

#include "base/base.h"
#include "control/control_claim.h"
#include "plat/plat.h"

#define WAIT_LIMIT (20 * G_USEC_PER_SEC)

struct fixture {
	GSubprocess *process;
	char *url;
	char *admin_url;
	SoupSession *session;
	struct plat *plat;
};

static char *read_listen_url(GDataInputStream *in, const char *label)
{
	g_autofree char *line = g_data_input_stream_read_line(in, NULL, NULL, NULL);

	g_assert_nonnull(line);
	g_assert_true(g_str_has_prefix(line, label));
	return g_strdup_printf("http://%s", line + strlen(label) + 1);
}

/* @data: the stand-in's limit of writes per second as text, NULL: 400 */
static void setup(struct fixture *f, gconstpointer data)
{
	const char *build = g_getenv("BUILD") ? g_getenv("BUILD") : "build";
	g_autofree char *path = g_build_filename(build, "bin", "standin-platform", NULL);
	g_autoptr(GDataInputStream) in = NULL;

	f->process = g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL, path, "--listen",
				      "127.0.0.1:0", "--admin-listen", "127.0.0.1:0",
				      "--write-rate", data ? data : "400", NULL);
	g_assert_nonnull(f->process);
	in = g_data_input_stream_new(g_subprocess_get_stdout_pipe(f->process));
	f->admin_url = read_listen_url(in, "admin");
	f->url = read_listen_url(in, "listening");
	f->session = soup_session_new();
	f->plat = plat_new(f->url, USEC_PER_SEC);
}

static void teardown(struct fixture *f, gconstpointer data)
{
	plat_free(f->plat);
	/* Lets libsoup release the calls that plat_free() cancelled. */
	for (int i = 0; i < 100; i++) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(100);
	}
	g_object_unref(f->session);
	g_subprocess_force_exit(f->process);
	g_subprocess_wait(f->process, NULL, NULL);
	g_object_unref(f->process);
	g_free(f->url);
	g_free(f->admin_url);
}

static void post_admin(struct fixture *f, const char *path)
{
	g_autofree char *url = g_strconcat(f->admin_url, path, NULL);
	g_autoptr(SoupMessage) msg = soup_message_new("POST", url);
	g_autoptr(GBytes) body = soup_session_send_and_read(f->session, msg, NULL, NULL);

	g_assert_nonnull(body);
	g_assert_cmpuint(soup_message_get_status(msg), ==, 200);
}

struct outcome {
	bool done;
	enum plat_result result;
	uint64_t version;
	uint32_t n_objects;
	/* first object */
	char key[32];
	char value[32];
	bool deleted;
};

static void on_reply(void *arg, const struct plat_reply *r)
{
	struct outcome *o = arg;

	o->done = true;
	o->result = r->result;
	o->version = r->version;
	o->n_objects = r->n_objects;
	if (r->n_objects == 0)
		return;
	g_strlcpy(o->key, r->objects[0].key, sizeof(o->key));
	o->deleted = !r->objects[0].value;
	if (!o->deleted) {
		gsize len;
		const char *data = g_bytes_get_data(r->objects[0].value, &len);

		memcpy(o->value, data, MIN(len, sizeof(o->value) - 1));
	}
}

static void wait_for(struct outcome *o)
{
	int64_t limit = g_get_monotonic_time() + WAIT_LIMIT;

	while (!o->done && g_get_monotonic_time() < limit)
		g_main_context_iteration(NULL, TRUE);
	g_assert_true(o->done);
}

static struct outcome put(struct fixture *f, const char *key, uint64_t if_version, const char *text)
{
	g_autoptr(GBytes) value = g_bytes_new(text, strlen(text));
	struct outcome o = { 0 };

	plat_put(f->plat, key, if_version, value, on_reply, &o);
	wait_for(&o);
	return o;
}

static struct outcome get(struct fixture *f, const char *key)
{
	struct outcome o = { 0 };

	plat_get(f->plat, key, on_reply, &o);
	wait_for(&o);
	return o;
}

/* Guards against a conditional write that overwrites a newer version or creates an object twice. */
static void test_versions(struct fixture *f, gconstpointer data)
{
	struct outcome a = put(f, "profile/a b", 0, "one");
	struct outcome o;

	g_assert_cmpint(a.result, ==, PLAT_OK);
	g_assert_cmpint(put(f, "profile/a b", 0, "two").result, ==, PLAT_CONFLICT);
	g_assert_cmpint(put(f, "profile/a b", a.version, "three").result, ==, PLAT_OK);
	g_assert_cmpint(put(f, "profile/a b", a.version, "four").result, ==, PLAT_CONFLICT);
	o = get(f, "profile/a b");
	g_assert_cmpstr(o.value, ==, "three");
	g_assert_cmpuint(o.version, ==, a.version + 1);
	plat_delete(f->plat, "profile/a b", o.version, on_reply, memset(&a, 0, sizeof(a)));
	wait_for(&a);
	g_assert_cmpint(a.result, ==, PLAT_OK);
	g_assert_cmpint(get(f, "profile/a b").result, ==, PLAT_NOT_FOUND);
}

/* Guards against pending watches that block other calls, don't report a deletion or report objects
 * with another key prefix. */
static void test_watch(struct fixture *f, gconstpointer data)
{
	struct outcome watches[12] = { 0 };
	struct outcome other = { 0 };
	struct outcome a = put(f, "account/x", 0, "1");

	for (guint i = 0; i < G_N_ELEMENTS(watches); i++)
		plat_watch(f->plat, "account/", a.version, on_reply, &watches[i]);
	plat_watch(f->plat, "zebra/", a.version, on_reply, &other);
	g_assert_cmpstr(get(f, "account/x").value, ==, "1");
	plat_delete(f->plat, "account/x", a.version, on_reply, &a);
	for (guint i = 0; i < G_N_ELEMENTS(watches); i++) {
		wait_for(&watches[i]);
		g_assert_cmpint(watches[i].result, ==, PLAT_OK);
		g_assert_cmpstr(watches[i].key, ==, "account/x");
		g_assert_true(watches[i].deleted);
	}
	g_assert_false(other.done);
}

/* Guards against a write that is reported as without effect although its response was lost or late
 * or the platform hung; only a refused connection proves that there was none. */
static void test_faults(struct fixture *f, gconstpointer data)
{
	struct outcome a;

	post_admin(f, "/admin/fault?lose_writes=1");
	g_assert_cmpint(put(f, "k", 0, "lost").result, ==, PLAT_UNKNOWN);
	g_assert_cmpstr(get(f, "k").value, ==, "lost");
	post_admin(f, "/admin/fault?delay_ms=1500");
	g_assert_cmpint(put(f, "slow", 0, "slow").result, ==, PLAT_UNKNOWN);
	post_admin(f, "/admin/fault?clear=1");
	g_assert_cmpstr(get(f, "slow").value, ==, "slow");
	post_admin(f, "/admin/fault?outage=hang");
	g_assert_cmpint(put(f, "hung", 0, "x").result, ==, PLAT_UNKNOWN);
	post_admin(f, "/admin/fault?outage=refuse");
	g_usleep(200000);
	g_assert_cmpint(put(f, "refused", 0, "x").result, ==, PLAT_UNREACHABLE);
	post_admin(f, "/admin/fault?clear=1");
	a = get(f, "hung");
	g_assert_cmpint(a.result, ==, PLAT_NOT_FOUND);
	post_admin(f, "/admin/fault?late_writes=1&delay_ms=300");
	g_assert_cmpint(put(f, "late", 0, "x").result, ==, PLAT_UNKNOWN);
	post_admin(f, "/admin/fault?clear=1");
	g_assert_cmpstr(get(f, "late").value, ==, "x");
}

/* Guards against a stand-in whose list_lag_ms fault doesn't delay changes of the instance list. */
static void test_instances(struct fixture *f, gconstpointer data)
{
	struct outcome o = { 0 };

	post_admin(f, "/admin/instance?id=e1&state=live");
	post_admin(f, "/admin/fault?list_lag_ms=60000");
	post_admin(f, "/admin/instance?id=e1&state=leaving");
	plat_list_instances(f->plat, on_reply, &o);
	wait_for(&o);
	g_assert_cmpstr(o.value, ==, "live");
	post_admin(f, "/admin/fault?list_lag_ms=0");
	plat_list_instances(f->plat, on_reply, memset(&o, 0, sizeof(o)));
	wait_for(&o);
	g_assert_cmpstr(o.value, ==, "leaving");
}

/* Guards against a write above the rate limit that takes effect although it was refused. */
static void test_rate(struct fixture *f, gconstpointer data)
{
	int limited = 0;

	for (int i = 0; i < 30; i++) {
		g_autofree char *key = g_strdup_printf("r%d", i);
		struct outcome a = put(f, key, 0, "x");

		if (a.result == PLAT_RATE_LIMITED) {
			limited++;
			g_assert_cmpint(get(f, key).result, ==, PLAT_NOT_FOUND);
		}
	}
	g_assert_cmpint(limited, >, 0);
}

struct claim_outcome {
	bool done;
	enum control_claim_result result;
	uint64_t claim;
	int status;
	char body[16];
};

static void on_claim(void *arg, const struct control_claim_reply *r)
{
	struct claim_outcome *o = arg;

	o->done = true;
	o->result = r->result;
	o->claim = r->claim;
	o->status = r->status;
	if (r->body)
		memcpy(o->body, g_bytes_get_data(r->body, NULL),
		       MIN(g_bytes_get_size(r->body), sizeof(o->body) - 1));
}

static struct claim_outcome claim_key(struct control_claims *c, const char *key)
{
	struct claim_outcome o = { 0 };
	int64_t limit = g_get_monotonic_time() + 4 * USEC_PER_SEC;

	control_claims_make(c, "acme", key, 7, limit, on_claim, &o);
	while (!o.done)
		g_main_context_iteration(NULL, TRUE);
	return o;
}

/* Guards against a claim on one key that is granted to two instances, and a lost outcome, with the
 * real platform client. */
static void test_claims(struct fixture *f, gconstpointer data)
{
	struct plat *other = plat_new(f->url, USEC_PER_SEC);
	struct control_claims *a = control_claims_new(f->plat, 1);
	struct control_claims *b = control_claims_new(other, 2);
	g_autoptr(GBytes) body = g_bytes_new("booked", 6);
	struct claim_outcome o;
	struct claim_outcome out = { 0 };

	post_admin(f, "/admin/fault?lose_writes=1");
	o = claim_key(a, "k");
	g_assert_cmpint(o.result, ==, CONTROL_CLAIM_GRANTED);
	g_assert_true(control_claims_may_send(a, o.claim));
	g_assert_cmpint(claim_key(b, "k").result, ==, CONTROL_CLAIM_OPEN);
	control_claims_report_outcome(a, o.claim, VERDICT_RAN, 201, NULL, body, on_claim, &out);
	while (!out.done)
		g_main_context_iteration(NULL, TRUE);
	g_assert_cmpint(out.result, ==, CONTROL_CLAIM_DONE);
	o = claim_key(b, "k");
	g_assert_cmpint(o.result, ==, CONTROL_CLAIM_DONE);
	g_assert_cmpint(o.status, ==, 201);
	g_assert_cmpstr(o.body, ==, "booked");
	post_admin(f, "/admin/fault?outage=refuse");
	g_usleep(100000);
	g_assert_cmpint(claim_key(b, "k2").result, ==, CONTROL_CLAIM_UNAVAILABLE);
	post_admin(f, "/admin/fault?clear=1");
	plat_free(other);
	control_claims_free(b);
	plat_free(g_steal_pointer(&f->plat));
	control_claims_free(a);
}

#define ADD(path, data, fn) g_test_add(path, struct fixture, data, setup, fn, teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/platform/versions", NULL, test_versions);
	ADD("/platform/watch", NULL, test_watch);
	ADD("/platform/faults", NULL, test_faults);
	ADD("/platform/instances", NULL, test_instances);
	ADD("/platform/rate", "4", test_rate);
	ADD("/platform/claims", NULL, test_claims);
	return g_test_run();
}
