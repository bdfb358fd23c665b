#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "relay/fleet.h"

struct world {
	struct fleet *fleet;
	struct cat_config *config;
	struct call *call;
	int64_t now;
};

static void add(struct world *w, const char *id, const char *domain, bool draining,
		uint64_t version)
{
	struct fleet_entry e = { .id = id,
				 .service = "shop",
				 .addr = "127.0.0.1:1",
				 .domain = domain,
				 .draining = draining,
				 .version = version,
				 .started = 1,
				 .slots = 6 };

	fleet_set(w->fleet, &e, "test", w->now);
}

static void world_new(struct world *w)
{
	struct fleet_params p = { "z-a", 1, 8 };

	memset(w, 0, sizeof(*w));
	w->now = 1000 * USEC_PER_SEC;
	w->fleet = fleet_new(&p);
	w->config = cat_config_new(1);
	w->call = call_new(w->config);
	w->call->service = "shop";
	add(w, "a", "z-a", false, 10);
	add(w, "b", "z-b", false, 10);
	add(w, "c", "z-c", false, 10);
	fleet_list_complete(w->fleet);
	w->now += 5 * USEC_PER_SEC;
	fleet_tick(w->fleet, w->now);
}

static void world_clear(struct world *w)
{
	call_free(w->call);
	cat_config_unref(w->config);
	fleet_free(w->fleet);
}

static const char *choose(struct world *w, const tab_handle *avoid, uint32_t n, tab_handle *h)
{
	struct fleet_pick pick;

	if (fleet_choose(w->fleet, w->call, avoid, n, w->now, &pick) < 0)
		return "none";
	if (h)
		*h = pick.upstream;
	return fleet_id(w->fleet, pick.upstream);
}

static tab_handle handle_of(struct world *w, const char *id)
{
	tab_handle tried[8];
	uint32_t n = 0;

	while (n < 8 && strcmp(choose(w, tried, n, &tried[n]), id) != 0)
		n++;
	g_assert_cmpuint(n, <, 8);
	return tried[n];
}

/*
 * Guards against a refusal while upstreams are alive: the only one that counted as healthy was cut
 * off, and those taken out for their errors were not asked (incident inc-2a5d on brazos-punt).
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
	for (int i = 0; i < 10; i++)
		fleet_result(w.fleet, a, MEMBER_ERROR, w.now);
	fleet_tick(w.fleet, w.now);
	g_assert_cmpuint(fleet_usable_count(w.fleet, "shop"), ==, 2);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), !=, "a");
	g_assert_cmpstr(choose(&w, bc, 2, NULL), ==, "a");
	world_clear(&w);
}

/*
 * Guards against requests that wait for a connect timeout although it is known that their only
 * upstream can't be reached (incident inc-2a5d on brazos-punt: 300 ms for each refusal).
 */
static void test_dark(void)
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
	w.now += 600 * USEC_PER_MSEC;
	g_assert_cmpint(fleet_choose(w.fleet, w.call, NULL, 0, w.now, &pick), ==, 0);
	fleet_sent(w.fleet, &pick, w.now);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "none");
	fleet_done(w.fleet, &pick, false, w.now);
	fleet_result(w.fleet, pick.upstream, MEMBER_OK, w.now);
	g_assert_cmpstr(choose(&w, NULL, 0, NULL), ==, "a");
	world_clear(&w);
}

static void send_and_lose(struct world *w, tab_handle h, const char *expected)
{
	struct fleet_pick pick = { .upstream = h };

	g_assert_cmpstr(fleet_id(w->fleet, h), ==, expected);
	fleet_sent(w->fleet, &pick, w->now);
	fleet_mark_unreachable(w->fleet, h, w->now);
	fleet_done(w->fleet, &pick, false, w->now);
}

/* Guards against further requests that are sent over a path which acknowledges nothing. */
static void test_path_lost(void)
{
	struct world w;
	tab_handle h = 0;

	world_new(&w);
	h = handle_of(&w, "a");
	send_and_lose(&w, h, "a");
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

/* Whether any of many requests, which all avoid @avoid, would go to @id. */
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
 * Guards against each upstream of a domain that is cut off being found out by a request of its own,
 * which then comes late.
 */
static void test_domain_cut(void)
{
	struct world w;
	tab_handle a;
	tab_handle e;

	world_new(&w);
	add(&w, "d", "z-b", false, 10);
	add(&w, "e", "z-b", false, 10);
	for (int i = 0; i < 10; i++) {
		w.now += USEC_PER_SEC;
		fleet_tick(w.fleet, w.now);
	}
	a = handle_of(&w, "a");
	e = handle_of(&w, "e");
	send_and_lose(&w, handle_of(&w, "b"), "b");
	g_assert_true(gets_requests(&w, a, "e"));
	send_and_lose(&w, handle_of(&w, "d"), "d");
	g_assert_false(gets_requests(&w, a, "e"));
	/* One after the other is tried until the domain answers. */
	w.now += 600 * USEC_PER_MSEC;
	g_assert_true(gets_requests(&w, a, "e"));
	fleet_sent(w.fleet, &(struct fleet_pick){ .upstream = e }, w.now);
	g_assert_false(gets_requests(&w, a, "b"));
	fleet_done(w.fleet, &(struct fleet_pick){ .upstream = e }, false, w.now);
	fleet_result(w.fleet, e, MEMBER_OK, w.now);
	g_assert_true(gets_requests(&w, a, "e"));
	/* When nothing else is left, one behind a cut that was not tried itself beats a refusal. */
	send_and_lose(&w, e, "e");
	g_assert_cmpstr(choose(&w, (tab_handle[]){ a, handle_of(&w, "c") }, 2, NULL), !=, "none");
	world_clear(&w);
}

/* Guards against new work for an upstream that leaves, even as the last resort. */
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

/*
 * Guards against prompts that are taken for held at a restarted upstream: nothing would be copied
 * from where they are.
 */
static void test_restart_forgets(void)
{
	struct world w;
	struct fleet_pick pick;
	g_autofree char *home = NULL;
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
	/* It starts slowly, and is still new when it has its full weight. */
	w.now += 3 * USEC_PER_SEC;
	fleet_tick(w.fleet, w.now);
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

/* Guards against old entries that arrive late and bring back what left. */
static void test_old_entries(void)
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

static void on_closed(void *owner, enum http_close why)
{
	*(bool *)owner = true;
}

static const struct http_ops conn_ops = { .closed = on_closed };

/*
 * Guards against a new connection for each request where an instance meets an upstream every few
 * seconds only, and against requests that can't be sent again on a connection that was idle for long.
 */
static void test_idle_connections(void)
{
	struct world w;
	struct http_conn *c;
	tab_handle h = 0;
	bool closed = false;
	int listener = http_listen("127.0.0.1:0");
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);
	g_autofree char *addr = NULL;

	g_assert_cmpint(getsockname(listener, (struct sockaddr *)&sa, &len), ==, 0);
	addr = g_strdup_printf("127.0.0.1:%u", ntohs(sa.sin_port));
	world_new(&w);
	choose(&w, NULL, 0, &h);
	c = http_conn_open(addr, &conn_ops, &closed);
	g_assert_nonnull(c);
	/* The upstream keeps it for ten seconds. */
	fleet_conn_put(w.fleet, h, c, 10 * USEC_PER_SEC, 0, w.now);
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
	/* Closed before the upstream does it. */
	w.now += 9600 * USEC_PER_MSEC;
	g_assert_null(fleet_conn_take(w.fleet, h, true, w.now));
	world_clear(&w);
	close(listener);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/last-resort", test_last_resort);
	g_test_add_func("/fleet/dark", test_dark);
	g_test_add_func("/fleet/path-lost", test_path_lost);
	g_test_add_func("/fleet/domain-cut", test_domain_cut);
	g_test_add_func("/fleet/leaving", test_leaving);
	g_test_add_func("/fleet/restart-forgets", test_restart_forgets);
	g_test_add_func("/fleet/old-entries", test_old_entries);
	g_test_add_func("/fleet/idle-connections", test_idle_connections);
	return g_test_run();
}
