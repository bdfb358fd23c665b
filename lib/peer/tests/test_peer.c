/* Tests of the transport over loopback, with any free port. */
#include <gio/gio.h>
#include <string.h>

#include "base/base.h"
#include "gossip/gossip.h"
#include "peer/peer.h"

/** struct end - one transport; a frame starts with the sender's address, padded to 32 bytes */
struct end {
	struct peer *peer;
	char address[32];
	uint32_t n_frames;
	uint32_t n_lost;
	size_t last_len;
};

static const char *on_sender(void *arg, const void *frame, size_t len)
{
	if (len < 32 || strncmp(frame, "127.0.0.1:", 10) != 0)
		return NULL;
	return frame;
}

static int on_frame(void *arg, const char *address, const void *frame, size_t len)
{
	struct end *e = arg;

	e->n_frames++;
	e->last_len = len;
	return 0;
}

static void on_lost(void *arg, const char *address)
{
	((struct end *)arg)->n_lost++;
}

static void end_open(struct end *e)
{
	struct peer_events events = { e, on_sender, on_frame, on_lost };
	g_autoptr(GError) error = NULL;

	memset(e, 0, sizeof(*e));
	e->peer = peer_new("127.0.0.1:0", 1, &events, &error);
	g_assert_no_error(error);
	g_snprintf(e->address, sizeof(e->address), "127.0.0.1:%u", peer_port(e->peer));
}

static void end_close(struct end *e)
{
	peer_free(e->peer);
	while (g_main_context_iteration(NULL, FALSE))
		;
}

static void end_send(struct end *from, const struct end *to, size_t len)
{
	static char frame[GOSSIP_FIRST_FRAME_MAX * 4];

	memcpy(frame, from->address, sizeof(from->address));
	peer_send(from->peer, to->address, frame, len);
}

static gboolean on_time(gpointer arg)
{
	*(bool *)arg = true;
	return G_SOURCE_REMOVE;
}

/* Runs the loop until *@n is at least @want; fails after ten seconds. */
static void wait_for(const uint32_t *n, uint32_t want)
{
	bool late = false;
	guint id = g_timeout_add_seconds(10, on_time, &late);

	while (*n < want && !late)
		g_main_context_iteration(NULL, TRUE);
	g_assert_cmpuint(*n, >=, want);
	if (!late)
		g_source_remove(id);
}

/* Guards against frames that are cut, joined or lost, and a second connection for the way back. */
static void test_both_ways(void)
{
	struct end a;
	struct end b;
	struct peer_stats s;

	end_open(&a);
	end_open(&b);
	end_send(&a, &b, 64);
	end_send(&a, &b, GOSSIP_FIRST_FRAME_MAX * 4);
	wait_for(&b.n_frames, 2);
	g_assert_cmpuint(b.last_len, ==, GOSSIP_FIRST_FRAME_MAX * 4);
	end_send(&b, &a, 100);
	wait_for(&a.n_frames, 1);
	peer_stats(b.peer, &s);
	g_assert_cmpuint(s.connects, ==, 0);
	g_assert_cmpuint(s.connections, ==, 1);
	end_close(&a);
	end_close(&b);
}

/* Guards against frames that pass a cut link in either direction, and a cut that can't be healed. */
static void test_block(void)
{
	struct end a;
	struct end b;
	uint32_t got;

	end_open(&a);
	end_open(&b);
	end_send(&a, &b, 64);
	wait_for(&b.n_frames, 1);
	peer_block(b.peer, a.address, true);
	wait_for(&a.n_lost, 1);
	got = b.n_frames;
	end_send(&a, &b, 64);
	wait_for(&a.n_lost, 2);
	g_assert_cmpuint(b.n_frames, ==, got);
	end_send(&b, &a, 64);
	g_assert_cmpuint(a.n_frames, ==, 0);
	peer_block(b.peer, a.address, false);
	end_send(&b, &a, 64);
	wait_for(&a.n_frames, 1);
	end_close(&a);
	end_close(&b);
}

static GSocketConnection *raw_connect(const struct end *to)
{
	g_autoptr(GSocketClient) client = g_socket_client_new();

	return g_socket_client_connect_to_host(client, to->address, 0, NULL, NULL);
}

static uint32_t stat_of(const struct end *e, size_t offset)
{
	struct peer_stats s;

	peer_stats(e->peer, &s);
	return (uint32_t) * (const uint64_t *)(const void *)((const char *)&s + offset);
}

static void wait_stat(struct end *e, size_t offset, uint32_t want)
{
	bool late = false;
	guint id = g_timeout_add_seconds(10, on_time, &late);

	while (stat_of(e, offset) < want && !late)
		g_main_context_iteration(NULL, TRUE);
	g_assert_cmpuint(stat_of(e, offset), >=, want);
	if (!late)
		g_source_remove(id);
}

/* Guards against garbage, half-sent frames and idle connections that keep memory or block others. */
static void test_bad_input(void)
{
	struct end a;
	struct end b;
	GSocketConnection *idle[PEER_UNKNOWN_MAX + 20];
	g_autoptr(GSocketConnection) garbage = NULL;
	g_autoptr(GSocketConnection) half = NULL;
	static const char bytes[] = "GET / HTTP/1.1\r\n\r\n";
	static const char part[] = { 0, 0, 0, 100, 'x' };

	end_open(&a);
	end_open(&b);
	garbage = raw_connect(&b);
	g_output_stream_write(g_io_stream_get_output_stream(G_IO_STREAM(garbage)), bytes,
			      sizeof(bytes), NULL, NULL);
	wait_stat(&b, G_STRUCT_OFFSET(struct peer_stats, garbage), 1);
	half = raw_connect(&b);
	g_output_stream_write(g_io_stream_get_output_stream(G_IO_STREAM(half)), part, sizeof(part),
			      NULL, NULL);
	wait_stat(&b, G_STRUCT_OFFSET(struct peer_stats, timeouts), 1);
	for (guint i = 0; i < G_N_ELEMENTS(idle); i++) {
		idle[i] = raw_connect(&b);
		g_main_context_iteration(NULL, FALSE);
	}
	wait_stat(&b, G_STRUCT_OFFSET(struct peer_stats, refused), 1);
	end_send(&b, &a, 64);
	wait_for(&a.n_frames, 1);
	for (guint i = 0; i < G_N_ELEMENTS(idle); i++)
		g_object_unref(idle[i]);
	end_close(&a);
	end_close(&b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peer/both-ways", test_both_ways);
	g_test_add_func("/peer/block", test_block);
	g_test_add_func("/peer/bad-input", test_bad_input);
	return g_test_run();
}
