#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet_world.h"

#include "listen/listen.h"

static const char *choose(struct world *w, const tab_handle *avoid, uint32_t n, tab_handle *h)
{
	struct fleet_pick pick;

	if (fleet_choose(w->fleet, w->call, avoid, n, w->now, &pick) < 0)
		return "none";
	if (h)
		*h = pick.upstream;
	return fleet_id(w->fleet, pick.upstream);
}

/* Excludes one upstream after the other until @id is chosen. */
static tab_handle handle_of(struct world *w, const char *id)
{
	tab_handle handles[8];
	uint32_t n = 0;

	while (n < 8 && strcmp(choose(w, handles, n, &handles[n]), id) != 0)
		n++;
	g_assert_cmpuint(n, <, 8);
	return handles[n];
}

/*
 * Guards against a refusal while upstreams are alive: the only healthy one was partitioned, and
 * upstreams ejected for errors were not tried (incident inc-2a5d on brazos-punt).
 */
static void test_last_resort(void)
{
	struct world w;
	tab_handle a;
	tab_handle bc[2];

	world_new(&w);
	a = handle_of(&w, "a");
	bc[0] = handle_of(&w, "b");
	bc[1] = handle_of(&w, "c");
	eject(&w, a);
	g_assert_cmpuint(fleet_usable_count(w.fleet, "shop"), ==, 2);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), !=, "a");
	g_assert_cmpstr(choose(&w, bc, 2, NULL), ==, "a");
	world_clear(&w);
}

/*
 * Guards against requests that wait for a connect timeout although their only upstream is known to
 * be unreachable (incident inc-2a5d on brazos-punt: each refusal took 300 ms).
 */
static void test_connect_backoff(void)
{
	struct world w;
	struct fleet_pick pick;

	world_new(&w);
	fleet_remove(w.fleet, "b", 20, "test", w.now);
	fleet_remove(w.fleet, "c", 20, "test", w.now);
	for (int i = 0; i < 3; i++) {
		g_assert_cmpint(fleet_choose(w.fleet, w.call, NULL, 0, w.now, &pick), ==,
				i < 2 ? 0 : -ENOENT);
		if (i == 2)
			break;
		fleet_sent(w.fleet, &pick, w.now);
		fleet_done(w.fleet, &pick, false, w.now);
		fleet_result(w.fleet, pick.upstream, MEMBER_CONNECT_FAILED, w.now);
	}
	/* Longer than UNREACHABLE_RETRY_INTERVAL. */
	w.now += 600 * USEC_PER_MSEC;
	g_assert_cmpint(fleet_choose(w.fleet, w.call, NULL, 0, w.now, &pick), ==, 0);
	fleet_sent(w.fleet, &pick, w.now);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "none");
	fleet_done(w.fleet, &pick, false, w.now);
	fleet_result(w.fleet, pick.upstream, MEMBER_OK, w.now);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "a");
	world_clear(&w);
}

static void send_unacknowledged(struct world *w, tab_handle h, const char *expected)
{
	struct fleet_pick pick = { .upstream = h };

	g_assert_cmpstr(fleet_id(w->fleet, h), ==, expected);
	fleet_sent(w->fleet, &pick, w->now);
	fleet_mark_unreachable(w->fleet, h, w->now);
	fleet_done(w->fleet, &pick, false, w->now);
}

/* Guards against sending further requests to a host that acknowledges no data. */
static void test_unacknowledged(void)
{
	struct world w;
	tab_handle h = 0;

	world_new(&w);
	h = handle_of(&w, "a");
	send_unacknowledged(&w, h, "a");
	for (int i = 0; i < 5; i++)
		g_assert_cmpstr(choose(&w, NULL, 0, NULL), !=, "a");
	fleet_result(w.fleet, h, MEMBER_BROKEN, w.now);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), !=, "a");
	w.now += 600 * USEC_PER_MSEC;
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "a");
	fleet_result(w.fleet, h, MEMBER_OK, w.now);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "a");
	world_clear(&w);
}

/* Whether any of 32 requests that avoid @avoid would go to @id. */
static bool gets_requests(struct world *w, tab_handle avoid, const char *id)
{
	bool found = false;

	for (int i = 0; i < 32; i++) {
		g_free(w->call->id);
		w->call->id = g_strdup_printf("call-%d", i);
		found |= strcmp(choose(w, &avoid, 1, NULL), id) == 0;
	}
	return found;
}

/*
 * Guards against a delayed request for each upstream of a partitioned failure domain, where each is
 * detected as unreachable by a separate attempt.
 */
static void test_domain_partition(void)
{
	struct world w;
	tab_handle a;
	tab_handle e;

	world_new(&w);
	add(&w, "d", "z-b", false, 10);
	add(&w, "e", "z-b", false, 10);
	/* The upstreams d and e pass the joining state and their slow start. */
	for (int i = 0; i < 10; i++) {
		w.now += USEC_PER_SEC;
		fleet_tick(w.fleet, w.now);
	}
	a = handle_of(&w, "a");
	e = handle_of(&w, "e");
	send_unacknowledged(&w, handle_of(&w, "b"), "b");
	g_assert_true(gets_requests(&w, a, "e"));
	send_unacknowledged(&w, handle_of(&w, "d"), "d");
	g_assert_false(gets_requests(&w, a, "e"));
	/* The domain gets one attempt per interval until it responds. */
	w.now += 600 * USEC_PER_MSEC;
	g_assert_true(gets_requests(&w, a, "e"));
	fleet_sent(w.fleet, &(struct fleet_pick){ .upstream = e }, w.now);
	g_assert_false(gets_requests(&w, a, "b"));
	fleet_done(w.fleet, &(struct fleet_pick){ .upstream = e }, false, w.now);
	fleet_result(w.fleet, e, MEMBER_OK, w.now);
	g_assert_true(gets_requests(&w, a, "e"));
	/* With no other upstream left, an upstream of the domain is chosen despite its partition. */
	send_unacknowledged(&w, e, "e");
	g_assert_cmpstr(choose(&w, (tab_handle[]){ a, handle_of(&w, "c") }, 2, NULL), !=, "none");
	world_clear(&w);
}

/* Guards against new requests to a leaving upstream, even as the last resort. */
static void test_leaving(void)
{
	struct world w;

	world_new(&w);
	add(&w, "a", "z-a", true, 11);
	add(&w, "b", "z-b", true, 11);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "c");
	fleet_remove(w.fleet, "c", 12, "test", w.now);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "none");
	world_clear(&w);
}

static uint64_t hash_of(const char *id, uint64_t started)
{
	return hash_pair(hash_str(id), started);
}

/* Guards against requests to an upstream that said in a response that it is leaving. */
static void test_leaving_by_response(void)
{
	struct world w;
	tab_handle a;
	struct fleet_entry restarted = { .id = "a",
					 .service = "shop",
					 .addr = "127.0.0.1:1",
					 .domain = "z-a",
					 .version = 30,
					 .started = 2,
					 .slots = 6 };

	world_new(&w);
	a = handle_of(&w, "a");
	/* A late response of an earlier process says nothing about the current one. */
	fleet_set_leaving(w.fleet, hash_of("a", 0), w.now);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "a");
	fleet_set_leaving(w.fleet, hash_of("a", 1), w.now);
	g_assert_false(gets_requests(&w, 0, "a"));
	add(&w, "a", "z-a", false, 11);
	g_assert_false(gets_requests(&w, 0, "a"));
	fleet_remove(w.fleet, "a", 12, "test", w.now);
	w.now += 60 * USEC_PER_SEC;
	fleet_tick(w.fleet, w.now);
	add(&w, "a", "z-a", false, 13);
	g_assert_false(gets_requests(&w, 0, "a"));
	fleet_set_leaving(w.fleet, hash_of("b", 1), w.now);
	fleet_set_leaving(w.fleet, hash_of("c", 1), w.now);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "none");
	g_assert_cmpuint(fleet_usable_count(w.fleet, "shop"), ==, 0);
	for (int i = 0; i < 10; i++)
		fleet_result(w.fleet, a, MEMBER_ERROR, w.now);
	w.now += 5 * USEC_PER_SEC;
	fleet_tick(w.fleet, w.now);
	g_assert_cmpuint(fleet_next_probe(w.fleet, w.now, &(const char *){ NULL }), ==, 0);
	fleet_set(w.fleet, &restarted, "test", w.now);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "a");
	world_clear(&w);
}

/* Guards against requests and probes to an upstream that wants none for some time. */
static void test_hold_off(void)
{
	struct world w;
	tab_handle a;
	struct fleet_entry moved = { .id = "b",
				     .service = "shop",
				     .addr = "127.0.0.1:2",
				     .domain = "z-b",
				     .version = 30,
				     .started = 1,
				     .slots = 6 };

	world_new(&w);
	a = handle_of(&w, "a");
	fleet_hold_off(w.fleet, hash_of("a", 1), 4 * USEC_PER_SEC, w.now);
	/* A shorter one does not end the first one. */
	fleet_hold_off(w.fleet, hash_of("a", 1), USEC_PER_SEC, w.now);
	for (int i = 0; i < 10; i++)
		fleet_result(w.fleet, a, MEMBER_OVERLOADED, w.now);
	fleet_tick(w.fleet, w.now);
	g_assert_cmpuint(fleet_usable_count(w.fleet, "shop"), ==, 3);
	g_assert_false(gets_requests(&w, 0, "a"));
	g_assert_cmpint(fleet_hold_off_left(w.fleet, "shop", w.now), ==, 0);
	w.now += 3999 * USEC_PER_MSEC;
	g_assert_false(gets_requests(&w, 0, "a"));
	w.now += USEC_PER_MSEC;
	g_assert_true(gets_requests(&w, 0, "a"));
	/* Without another upstream the request is refused, with the earliest end. */
	fleet_hold_off(w.fleet, hash_of("a", 1), 4 * USEC_PER_SEC, w.now);
	fleet_hold_off(w.fleet, hash_of("b", 1), 2 * USEC_PER_SEC, w.now);
	fleet_hold_off(w.fleet, hash_of("c", 1), 3 * USEC_PER_SEC, w.now);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "none");
	g_assert_cmpint(fleet_hold_off_left(w.fleet, "shop", w.now), ==, 2 * USEC_PER_SEC);
	fleet_set_leaving(w.fleet, hash_of("b", 1), w.now);
	g_assert_cmpint(fleet_hold_off_left(w.fleet, "shop", w.now), ==, 3 * USEC_PER_SEC);
	/* It lasts if the entry is lost and comes back, but not for a restarted process. */
	fleet_remove(w.fleet, "c", 12, "test", w.now);
	add(&w, "c", "z-c", false, 13);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "none");
	moved.id = "c";
	moved.started = 2;
	moved.version = 14;
	fleet_set(w.fleet, &moved, "test", w.now);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "c");
	world_clear(&w);
}

/* Guards against a hold-off that outlives the address for which it was announced. */
static void test_hold_off_moved(void)
{
	struct world w;
	struct fleet_entry moved = { .id = "a",
				     .service = "shop",
				     .addr = "127.0.0.1:2",
				     .domain = "z-a",
				     .version = 30,
				     .started = 1,
				     .slots = 6 };

	world_new(&w);
	fleet_hold_off(w.fleet, hash_of("a", 1), 4 * USEC_PER_SEC, w.now);
	g_assert_false(gets_requests(&w, 0, "a"));
	fleet_set(w.fleet, &moved, "test", w.now);
	g_assert_true(gets_requests(&w, 0, "a"));
	world_clear(&w);
}

/* Guards against probes of an ejected upstream that wants no requests. */
static void test_hold_off_probes(void)
{
	struct world w;
	tab_handle a;
	const char *service = NULL;

	world_new(&w);
	a = handle_of(&w, "a");
	eject(&w, a);
	w.now += 5 * USEC_PER_SEC;
	fleet_hold_off(w.fleet, hash_of("a", 1), 4 * USEC_PER_SEC, w.now);
	g_assert_cmpuint(fleet_next_probe(w.fleet, w.now, &service), ==, 0);
	w.now += 4 * USEC_PER_SEC;
	g_assert_cmpuint(fleet_next_probe(w.fleet, w.now, &service), ==, a);
	world_clear(&w);
}

/* Guards against a load that piles up at one upstream when most of its service hold off. */
static void test_hold_off_balance(void)
{
	static const char *const ids[] = { "d", "e", "f", "g", "h" };
	struct world w;
	uint32_t n_d = 0;

	world_new(&w);
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		add(&w, ids[i], "z-a", false, 10);
	for (int i = 0; i < 10; i++) {
		w.now += USEC_PER_SEC;
		fleet_tick(w.fleet, w.now);
	}
	for (const char *id = "abcfgh"; *id; id++) {
		char name[2] = { *id, 0 };

		fleet_hold_off(w.fleet, hash_of(name, 1), 10 * USEC_PER_SEC, w.now);
	}
	for (int i = 0; i < 40; i++) {
		struct fleet_pick pick;

		g_free(w.call->id);
		w.call->id = g_strdup_printf("call-%d", i);
		g_assert_cmpint(fleet_choose(w.fleet, w.call, NULL, 0, w.now, &pick), ==, 0);
		fleet_sent(w.fleet, &pick, w.now);
		n_d += strcmp(fleet_id(w.fleet, pick.upstream), "d") == 0;
		w.now += USEC_PER_MSEC;
	}
	g_assert_cmpuint(n_d, >=, 15);
	g_assert_cmpuint(n_d, <=, 25);
	world_clear(&w);
}

/*
 * Guards against treating prompts as cached at an upstream that has restarted: no KV transfer from
 * their actual cache location would be made.
 */
static void test_restart_empties_cache(void)
{
	struct world w;
	struct fleet_pick pick;
	g_autofree char *home = NULL; /* preferred upstream of the chat; is restarted */
	double missing;

	world_new(&w);
	w.call->n_parts = 3;
	for (uint32_t i = 0; i < 3; i++)
		w.call->parts[i] = (struct locality_part){ 10 + i, 1000 };
	g_assert_cmpint(fleet_choose(w.fleet, w.call, NULL, 0, w.now, &pick), ==, 0);
	home = g_strdup(fleet_id(w.fleet, pick.upstream));
	missing = pick.choice.missing;
	fleet_set(w.fleet,
		  &(struct fleet_entry){ .id = home,
					 .service = "shop",
					 .addr = "127.0.0.1:1",
					 .domain = "z-a",
					 .version = 20,
					 .started = 2,
					 .slots = 6 },
		  "test", w.now);
	/* After its slow start it has its full weight, but still counts as new. */
	w.now += 3 * USEC_PER_SEC;
	fleet_tick(w.fleet, w.now);
	/* Looks for another chat that prefers the restarted upstream. */
	for (uint32_t i = 0; i < 100; i++) {
		w.call->parts[1].id = 1000 + i;
		g_assert_cmpint(fleet_choose(w.fleet, w.call, NULL, 0, w.now, &pick), ==, 0);
		if (strcmp(fleet_id(w.fleet, pick.upstream), home) == 0)
			break;
	}
	g_assert_cmpstr(fleet_id(w.fleet, pick.upstream), ==, home);
	g_assert_cmpfloat(pick.choice.missing, >, missing);
	g_assert_cmpuint(pick.source, !=, 0);
	world_clear(&w);
}

/* Guards against late outdated entries that restore a leaving or removed upstream. */
static void test_outdated_entries(void)
{
	struct world w;

	world_new(&w);
	add(&w, "a", "z-a", true, 20);
	add(&w, "a", "z-a", false, 15);
	fleet_remove(w.fleet, "b", 20, "test", w.now);
	add(&w, "b", "z-b", false, 19);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "c");
	add(&w, "b", "z-b", false, 21);
	g_assert_cmpuint(fleet_count(w.fleet), ==, 3);
	world_clear(&w);
}

static void on_closed(void *owner, enum http_close_reason why)
{
	*(bool *)owner = true;
}

static const struct http_ops conn_ops = { .closed = on_closed };

/*
 * Guards against a new connection for each request where an instance uses an upstream only every
 * few seconds, and against requests that can't be sent again on a connection with a long idle time.
 */
static void test_idle_connections(void)
{
	struct world w;
	struct http_conn *c;
	tab_handle h = 0;
	bool closed = false;
	int listener = listen_open("127.0.0.1:0");
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);
	g_autofree char *addr = NULL;

	g_assert_cmpint(getsockname(listener, (struct sockaddr *)&sa, &len), ==, 0);
	addr = g_strdup_printf("127.0.0.1:%u", ntohs(sa.sin_port));
	world_new(&w);
	choose(&w, NULL, 0, &h);
	c = http_conn_open(addr, &conn_ops, &closed);
	g_assert_nonnull(c);
	/* The idle timeout of the upstream is 10 s. */
	fleet_conn_put(w.fleet, h, c, 10 * USEC_PER_SEC, 0, w.now);
	/* Longer than IDLE_MAX. */
	w.now += 7 * USEC_PER_SEC;
	fleet_tick(w.fleet, w.now);
	g_assert_null(fleet_conn_take(w.fleet, h, false, w.now));
	c = fleet_conn_take(w.fleet, h, true, w.now);
	g_assert_nonnull(c);
	fleet_conn_put(w.fleet, h, c, 10 * USEC_PER_SEC, 0, w.now);
	w.now += 2 * USEC_PER_SEC;
	c = fleet_conn_take(w.fleet, h, false, w.now);
	g_assert_nonnull(c);
	fleet_conn_put(w.fleet, h, c, 10 * USEC_PER_SEC, 0, w.now);
	/* IDLE_MARGIN before the upstream closes it, the connection is closed. */
	w.now += 9600 * USEC_PER_MSEC;
	g_assert_null(fleet_conn_take(w.fleet, h, true, w.now));
	world_clear(&w);
	close(listener);
}

/*
 * Guards against work that stays at an upstream after its run, and against an old report that
 * decides alone: with costs, an upstream that was full a while ago gets requests again.
 */
static void test_cost(void)
{
	struct world w;
	struct fleet_pick p;
	struct cost_run run = { 0 };
	struct fleet_work_end end = { .complete = true };
	struct edge_response full = { .running = 6, .waiting = 12 };
	const char *preferred;

	world_new_with(&w, true);
	w.call->parts[0] = (struct locality_part){ 11, 2000 };
	w.call->parts[1] = (struct locality_part){ 12, 100 };
	w.call->n_parts = 2;
	w.call->output_hint = 60;
	g_assert_cmpint(fleet_choose(w.fleet, w.call, NULL, 0, w.now, &p), ==, 0);
	preferred = fleet_id(w.fleet, p.upstream);
	fleet_sent(w.fleet, &p, w.now);
	fleet_work_start(w.fleet, &p, w.call, &run, w.now);
	g_assert_cmpfloat(run.left, >, 0);
	/* Comments between the events are no output, and don't split the time between them. */
	for (int i = 0; i < 18; i++)
		fleet_work_event(w.fleet, &p, w.call, &run, i % 2 == 1, w.now + i);
	g_assert_cmpuint(run.events, ==, 9);
	g_assert_cmpuint(run.n_timed, ==, 8);
	fleet_work_end(w.fleet, &p, w.call, &run, &end, w.now);
	g_assert_cmpfloat(run.left, ==, 0);
	fleet_done(w.fleet, &p, false, w.now);

	fleet_record_load(w.fleet, p.upstream, &full, w.now);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), !=, preferred);
	w.now += 4 * USEC_PER_SEC;
	w.call->output_hint = 0;
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), !=, preferred);
	w.call->output_hint = 60;
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, preferred);
	world_clear(&w);
}

/* Guards against placement by cost where nobody asked for it. */
static void test_cost_off(void)
{
	struct world w;
	struct fleet_pick p;
	struct cost_run run = { 0 };

	world_new(&w);
	w.call->parts[0] = (struct locality_part){ 11, 2000 };
	w.call->n_parts = 1;
	w.call->output_hint = 60;
	g_assert_cmpint(fleet_choose(w.fleet, w.call, NULL, 0, w.now, &p), ==, 0);
	fleet_work_start(w.fleet, &p, w.call, &run, w.now);
	g_assert_cmpfloat(run.left, ==, 0);
	world_clear(&w);
}

/* Guards against further requests for an upstream that reads none, until memory is short for all. */
static void test_body_share(void)
{
	static const guint8 body[100];
	struct membudget_params p = { .share = 1000, .small = 50 };
	struct world w;
	tab_handle h = 0;
	const char *first;

	world_new(&w);
	fleet_set_memory(w.fleet, &p);
	g_byte_array_append(w.call->body, body, sizeof(body));
	first = choose(&w, NULL, 0, &h);
	fleet_hold_body(w.fleet, h, 700);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), !=, first);
	for (int i = 0; i < 2; i++) {
		choose(&w, NULL, 0, &h);
		fleet_hold_body(w.fleet, h, 5000);
	}
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "none");
	/* A small body uses the reserve of the first one. */
	g_byte_array_set_size(w.call->body, 50);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, first);
	g_byte_array_set_size(w.call->body, 100);
	fleet_release_body(w.fleet, h, 5000);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, fleet_id(w.fleet, h));
	world_clear(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/last-resort", test_last_resort);
	g_test_add_func("/fleet/dark", test_connect_backoff);
	g_test_add_func("/fleet/path-lost", test_unacknowledged);
	g_test_add_func("/fleet/domain-cut", test_domain_partition);
	g_test_add_func("/fleet/leaving", test_leaving);
	g_test_add_func("/fleet/leaving-by-response", test_leaving_by_response);
	g_test_add_func("/fleet/hold-off", test_hold_off);
	g_test_add_func("/fleet/hold-off-moved", test_hold_off_moved);
	g_test_add_func("/fleet/hold-off-probes", test_hold_off_probes);
	g_test_add_func("/fleet/hold-off-balance", test_hold_off_balance);
	g_test_add_func("/fleet/restart-forgets", test_restart_empties_cache);
	g_test_add_func("/fleet/old-entries", test_outdated_entries);
	g_test_add_func("/fleet/body-share", test_body_share);
	g_test_add_func("/fleet/cost", test_cost);
	g_test_add_func("/fleet/cost-off", test_cost_off);
	g_test_add_func("/fleet/idle-connections", test_idle_connections);
	return g_test_run();
}
