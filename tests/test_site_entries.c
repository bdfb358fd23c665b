/*
 * The router instances on the platform: entries of another writer in the list of replicas that can't
 * be read or used, beside good ones, at instances that read the store and at those that don't.
 */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <arpa/inet.h>
#include <msgpack.h>
#include <netinet/in.h>
#include <unistd.h>

#include "feed/feed_wire.h"
#include "site_case.h"
#include "site_store.h"

#define N_INSTANCES  4U /* two in each failure domain, one of which reads the store */
#define FOLLOW_MS    2000U /* drain_ms: a change must be in force everywhere by then */
#define NESTED	     250000U
#define LARGE	     1000000U
#define KIND_SERVERS 1U /* index of the kind in frames between instances */

/* Fields that could be a replica's. */
#define GOOD "\"service\":\"shop\",\"addr\":\"127.0.0.1:9\",\"zone\":\"z-a\",\"state\":\"ready\""

static const char *const odd_specs[] = {
	"null",
	"[]",
	"7",
	"\"text\"",
	"{}",
	"{\"service\":\"shop\"}",
	"{\"service\":7,\"addr\":[],\"zone\":{},\"state\":true}",
	"{\"service\":\"shop\",\"addr\":\"127.0.0.1:9\",\"zone\":\"z-a\",\"state\":\"unknown\"}",
	"{\"service\":\"shop\",\"addr\":\"127.0.0.1:0\",\"zone\":\"z-a\",\"state\":\"ready\"}",
	"{\"service\":\"shop\",\"addr\":\"127.0.0.1:65536\",\"zone\":\"z-a\",\"state\":\"ready\"}",
	"{\"service\":\"shop\",\"addr\":\"127.0.0.1:-1\",\"zone\":\"z-a\",\"state\":\"ready\"}",
	"{\"service\":\"shop\",\"addr\":\"127.0.0.1:99999999999999999999\",\"zone\":\"z-a\","
	"\"state\":\"ready\"}",
	"{\"service\":\"shop\",\"addr\":\"127.0.0.1\",\"zone\":\"z-a\",\"state\":\"ready\"}",
	"{\"service\":\"shop\",\"addr\":\"999.0.0.1:80\",\"zone\":\"z-a\",\"state\":\"ready\"}",
	"{\"service\":\"shop\",\"addr\":\"\",\"zone\":\"z-a\",\"state\":\"ready\"}",
	"{" GOOD ",\"slots\":1e999}",
	"{" GOOD ",\"slots\":-1}",
	"{" GOOD ",\"slots\":99999999999999999999}",
	"{" GOOD ",\"slots\":1e300,\"seq\":1e300,\"cold_left_ms\":1e300}",
	"{" GOOD ",\"born\":1e300}",
	"{" GOOD ",\"born\":-1e300}",
	"{" GOOD ",\"seq\":\"many\"}",
	"{" GOOD ",\"version\":\"\xff\xfe\"}",
	"{\"service\":\"sh\xff\",\"addr\":\"127.0.0.1:9\",\"zone\":\"z-a\",\"state\":\"ready\"}",
	"{\"service\":\"shop\",\"addr\":\"127.0.0.1:9\",\"zone\":\"\\ud800\",\"state\":\"ready\"}",
	"{\"service\":\"shop\",\"addr\":\"127.0.0.1:9\\u0000\",\"zone\":\"z-a\",\"state\":"
	"\"ready\"}",
	"{\"serv\xc3\":\"shop\",\"addr\":\"127.0.0.1:9\",\"zone\":\"z-a\",\"state\":\"ready\"}",
	"{" GOOD ",\"slots\":NaN}",
	"{" GOOD ",\"slots\":\xff}",
};

static char *nested_spec(char open, char close)
{
	GString *s = g_string_new("{\"slots\":");

	for (uint32_t i = 0; i < NESTED; i++)
		g_string_append(s, open == '{' ? "{\"a\":" : "[");
	g_string_append_c(s, '1');
	for (uint32_t i = 0; i < NESTED; i++)
		g_string_append_c(s, close);
	g_string_append(s, "," GOOD "}");
	return g_string_free(s, FALSE);
}

/* An entry with LARGE printable characters, which hardly shrink when they are compressed. */
static char *large_spec(const char *field, guint32 seed)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	g_autoptr(GString) text = g_string_sized_new(LARGE);

	for (uint32_t i = 0; i < LARGE; i++) {
		char c = (char)g_rand_int_range(rand, '#', '~');

		g_string_append_c(text, c == '\\' ? '!' : c);
	}
	return g_strdup_printf("{" GOOD ",\"%s\":\"%s\"}", field, text->str);
}

static uint32_t count_lines(const struct site_instance *i, const char *text)
{
	g_autofree char *log = site_instance_log(i);
	uint32_t n = 0;

	for (const char *p = strstr(log, text); p; p = strstr(p + 1, text))
		n++;
	return n;
}

/* State of the entry that expect_followed() changes. */
static bool draining;

/* Changes the state of a good entry, and checks that each instance takes the change in time. */
static void expect_followed(struct site *s, const char *after)
{
	const char *state = draining ? "ready" : "draining";
	g_autofree char *line =
		g_strdup_printf("event=upstream id=shop-1 service=shop addr=127.0.0.1:%u state=%s",
				case_replica(s, "shop-1")->port, state);
	gint64 end = g_get_monotonic_time() + FOLLOW_MS * 1000;
	uint32_t before[N_INSTANCES];

	draining = !draining;
	for (guint i = 0; i < N_INSTANCES; i++)
		before[i] = count_lines(case_instance(s, i), line);
	site_replica_set_state(case_replica(s, "shop-1"), state);
	for (;;) {
		uint32_t behind = 0;

		for (guint i = 0; i < N_INSTANCES; i++)
			behind += count_lines(case_instance(s, i), line) <= before[i];
		if (!behind)
			return;
		if (g_get_monotonic_time() > end) {
			g_test_message("%u instances are behind after %.200s", behind, after);
			g_test_fail();
			return;
		}
		site_run_for(50);
	}
}

/* A call through each instance is served at the first attempt. */
static void expect_served(struct site *s, uint32_t round)
{
	for (guint i = 0; i < N_INSTANCES; i++) {
		for (guint k = 0; k < 3; k++) {
			g_autofree char *id = g_strdup_printf("once-%u-%u-%u", round, i, k);
			g_autofree char *headers =
				g_strdup_printf("X-Turmerichinge-Request-Id: %s\r\n"
						"X-Turmerichinge-Deadline-Ms: 2000\r\n" AUTH,
						id);
			struct site_call *c =
				site_request(case_instance(s, i), "POST", "/once/x", headers, "{}");

			g_assert_cmpint(c->status, ==, 200);
			site_call_free(c);
		}
	}
}

static struct site *entries_site(void)
{
	struct site *s = case_site();

	draining = false;
	for (guint i = 1; i < N_INSTANCES; i++)
		site_instance_add(s, i % 2 ? "z-b" : "z-a");
	site_wait_ready(s);
	site_run_for(1500);
	return s;
}

static void check_alive(struct site *s)
{
	for (guint i = 0; i < N_INSTANCES; i++) {
		g_autofree char *log = site_instance_log(case_instance(s, i));

		g_assert_nonnull(g_subprocess_get_identifier(case_instance(s, i)->process));
		g_assert_null(strstr(log, "upstream=odd"));
		g_assert_null(strstr(log, "event=upstream id=odd"));
	}
}

/* Puts one odd entry, after which good ones are followed, and calls are served. */
static void play_entry(struct site *s, uint32_t n, const char *spec)
{
	g_autofree char *name = g_strdup_printf("odd-%u", n);

	site_store_put(s->store, "servers", name, spec);
	expect_followed(s, spec);
	expect_served(s, n);
}

/* Instances that start while the odd entries stand in the list are ready, and follow it. */
static void restart_instances(struct site *s)
{
	for (guint i = 0; i < N_INSTANCES; i += 3) {
		struct site_instance *n = case_instance(s, i);

		site_instance_signal(n, SIGKILL);
		site_instance_wait_exit(n);
		/* The new process writes from the start of the file. */
		unlink(n->log);
		site_instance_start(n);
		site_wait_ready(s);
		site_run_for(1500);
		expect_followed(s, "a restart");
	}
	expect_served(s, 1000);
}

/* Guards against an entry that can't be used and ends processes, or stops them from following. */
static void test_odd_fields(void)
{
	struct site *s = entries_site();

	for (uint32_t i = 0; i < G_N_ELEMENTS(odd_specs); i++)
		play_entry(s, i, odd_specs[i]);
	restart_instances(s);
	check_alive(s);
	site_free(s);
}

static void test_nested(void)
{
	struct site *s = entries_site();
	g_autofree char *arrays = nested_spec('[', ']');
	g_autofree char *objects = nested_spec('{', '}');

	play_entry(s, 0, arrays);
	play_entry(s, 1, objects);
	restart_instances(s);
	check_alive(s);
	site_free(s);
}

/* Guards against entries that exceed a frame and keep instances from all later changes. */
static void test_large(void)
{
	struct site *s = entries_site();
	const char *fields[] = { "slots", "addr", "note", "zone", "state", "note" };

	for (uint32_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		g_autofree char *spec = large_spec(fields[i], i);
		g_autofree char *name = g_strdup_printf("odd-%u", 100 + i);

		if (i % 2)
			play_entry(s, i, spec);
		else
			site_store_put(s->store, "servers", name, spec);
	}
	restart_instances(s);
	site_free(s);
}

/* Guards against a good entry that stays in use after another writer replaced it by an odd one. */
static void test_replaced(void)
{
	struct site *s = entries_site();
	g_autofree char *nested = nested_spec('[', ']');

	site_store_put(s->store, "servers", "shop-2", "{" GOOD ",\"slots\":\"\xff\"}");
	site_store_put(s->store, "servers", "shop-0", nested);
	site_run_for(FOLLOW_MS);
	site_replica_set_state(case_replica(s, "shop-1"), "ready");
	case_replica(s, "shop-2")->requests = 0;
	case_replica(s, "shop-0")->requests = 0;
	expect_served(s, 0);
	g_assert_cmpuint(case_replica(s, "shop-2")->requests, ==, 0);
	g_assert_cmpuint(case_replica(s, "shop-0")->requests, ==, 0);
	site_replica_set_state(case_replica(s, "shop-2"), "ready");
	site_run_for(FOLLOW_MS);
	expect_served(s, 1);
	site_free(s);
}

/* Connects to the listener for other instances. */
static int connect_peer(const struct site_instance *i)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)(i->metrics_port + 1)) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(inet_pton(AF_INET, i->ip, &sa.sin_addr), ==, 1);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	return fd;
}

static void send_frame(int fd, const msgpack_sbuffer *frame)
{
	uint32_t prefix = htonl((uint32_t)frame->size);
	size_t sent = 0;

	g_assert_cmpint(send(fd, &prefix, sizeof(prefix), MSG_NOSIGNAL), ==, sizeof(prefix));
	while (sent < frame->size) {
		ssize_t n = send(fd, frame->data + sent, frame->size - sent, MSG_NOSIGNAL);

		g_assert_cmpint(n, >, 0);
		sent += (size_t)n;
		site_run_for(1);
	}
}

/* A delta of another instance with one entry. */
static void send_entry(int fd, const char *address, const char *name, const char *spec,
		       uint64_t revision)
{
	struct feed_object o = { .name = name,
				 .name_len = strlen(name),
				 .text = spec,
				 .text_len = strlen(spec),
				 .revision = revision };
	msgpack_sbuffer frame;

	msgpack_sbuffer_init(&frame);
	feed_wire_delta(&frame, address, KIND_SERVERS, 0, 0, 1);
	feed_wire_add_object(&frame, &o);
	send_frame(fd, &frame);
	msgpack_sbuffer_destroy(&frame);
}

/* Guards against an instance that ends, or stops to follow, since another one passes on odd entries. */
static void test_from_peer(void)
{
	static const char address[] = "127.0.0.1:9";
	struct site *s = entries_site();
	g_autofree char *nested = nested_spec('[', ']');
	g_autofree char *large = large_spec("slots", 1);
	struct feed_digest d = { .age_ms = FEED_AGE_NEVER };
	msgpack_sbuffer hello;
	int fds[N_INSTANCES];

	msgpack_sbuffer_init(&hello);
	feed_wire_digest(&hello, address, &d);
	for (guint i = 0; i < N_INSTANCES; i++) {
		fds[i] = connect_peer(case_instance(s, i));
		send_frame(fds[i], &hello);
		site_run_for(100);
		for (uint32_t k = 0; k < G_N_ELEMENTS(odd_specs) + 2; k++) {
			g_autofree char *name = g_strdup_printf("odd-%u", k);
			const char *spec = k < G_N_ELEMENTS(odd_specs)	  ? odd_specs[k]
					   : k == G_N_ELEMENTS(odd_specs) ? nested
									  : large;

			send_entry(fds[i], address, name, spec, 1);
		}
	}
	site_run_for(1000);
	expect_followed(s, "entries of another instance");
	expect_served(s, 0);
	check_alive(s);
	for (guint i = 0; i < N_INSTANCES; i++)
		close(fds[i]);
	msgpack_sbuffer_destroy(&hello);
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entries/odd-fields", test_odd_fields);
	g_test_add_func("/entries/nested", test_nested);
	g_test_add_func("/entries/large", test_large);
	g_test_add_func("/entries/replaced", test_replaced);
	g_test_add_func("/entries/from-peer", test_from_peer);
	return g_test_run();
}
