/* Tests of the transport over loopback, with any free port. */
#include <gio/gio.h>
#include <string.h>

#include "base/base.h"
#include "gossip/gossip.h"
#include "peer/peer.h"

/** struct endpoint - one transport; a frame starts with the sender's address, padded to 32 bytes */
struct endpoint {
	struct peer *peer;
	char address[32];
	uint32_t n_frames;
	uint32_t n_disconnected;
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
	struct endpoint *e = arg;

	e->n_frames++;
	e->last_len = len;
	return 0;
}

static void on_disconnected(void *arg, const char *address)
{
	((struct endpoint *)arg)->n_disconnected++;
}

static void endpoint_open(struct endpoint *e)
{
	struct peer_events events = { e, on_sender, on_frame, on_disconnected };
	int rc;

	memset(e, 0, sizeof(*e));
	e->peer = peer_new("127.0.0.1:0", 1, &events, &rc);
	g_assert_cmpint(rc, ==, 0);
	g_snprintf(e->address, sizeof(e->address), "127.0.0.1:%u", peer_port(e->peer));
}

static void endpoint_close(struct endpoint *e)
{
	peer_free(e->peer);
	while (g_main_context_iteration(NULL, FALSE))
		;
}

static void endpoint_send(struct endpoint *from, const struct endpoint *to, size_t len)
{
	static char frame[GOSSIP_FIRST_FRAME_MAX * 4];

	memcpy(frame, from->address, sizeof(from->address));
	peer_send(from->peer, to->address, frame, len);
}

static gboolean on_timeout(gpointer arg)
{
	*(bool *)arg = true;
	return G_SOURCE_REMOVE;
}

/* Runs the main loop until *@n is at least @min; fails after ten seconds. */
static void wait_for(const uint32_t *n, uint32_t min)
{
	bool timed_out = false;
	guint id = g_timeout_add_seconds(10, on_timeout, &timed_out);

	while (*n < min && !timed_out)
		g_main_context_iteration(NULL, TRUE);
	g_assert_cmpuint(*n, >=, min);
	if (!timed_out)
		g_source_remove(id);
}

/* Guards against truncated, merged or lost frames, and one connection for each direction. */
static void test_both_ways(void)
{
	struct endpoint a;
	struct endpoint b;
	struct peer_stats s;

	endpoint_open(&a);
	endpoint_open(&b);
	endpoint_send(&a, &b, 64);
	endpoint_send(&a, &b, GOSSIP_FIRST_FRAME_MAX * 4);
	wait_for(&b.n_frames, 2);
	g_assert_cmpuint(b.last_len, ==, GOSSIP_FIRST_FRAME_MAX * 4);
	endpoint_send(&b, &a, 100);
	wait_for(&a.n_frames, 1);
	peer_stats(b.peer, &s);
	g_assert_cmpuint(s.connects, ==, 0);
	g_assert_cmpuint(s.connections, ==, 1);
	endpoint_close(&a);
	endpoint_close(&b);
}

/* Guards against frames that pass a blocked link in either direction, and failure to unblock it. */
static void test_block_and_unblock(void)
{
	struct endpoint a;
	struct endpoint b;
	uint32_t n_before;

	endpoint_open(&a);
	endpoint_open(&b);
	endpoint_send(&a, &b, 64);
	wait_for(&b.n_frames, 1);
	peer_block(b.peer, a.address, true);
	wait_for(&a.n_disconnected, 1);
	n_before = b.n_frames;
	endpoint_send(&a, &b, 64);
	wait_for(&a.n_disconnected, 2);
	g_assert_cmpuint(b.n_frames, ==, n_before);
	endpoint_send(&b, &a, 64);
	g_assert_cmpuint(a.n_frames, ==, 0);
	peer_block(b.peer, a.address, false);
	endpoint_send(&b, &a, 64);
	wait_for(&a.n_frames, 1);
	endpoint_close(&a);
	endpoint_close(&b);
}

static GSocketConnection *raw_connect(const struct endpoint *to)
{
	g_autoptr(GSocketClient) client = g_socket_client_new();

	return g_socket_client_connect_to_host(client, to->address, 0, NULL, NULL);
}

/* @offset: of a uint64_t member of struct peer_stats */
static uint32_t stat_of(const struct endpoint *e, size_t offset)
{
	struct peer_stats s;

	peer_stats(e->peer, &s);
	return (uint32_t) * (const uint64_t *)(const void *)((const char *)&s + offset);
}

static void wait_for_stat(struct endpoint *e, size_t offset, uint32_t min)
{
	bool timed_out = false;
	guint id = g_timeout_add_seconds(10, on_timeout, &timed_out);

	while (stat_of(e, offset) < min && !timed_out)
		g_main_context_iteration(NULL, TRUE);
	g_assert_cmpuint(stat_of(e, offset), >=, min);
	if (!timed_out)
		g_source_remove(id);
}

/* Guards against bad or partial frames and idle connections that hold memory or stop valid ones. */
static void test_bad_input(void)
{
	struct endpoint a;
	struct endpoint b;
	GSocketConnection *idle[PEER_UNIDENTIFIED_MAX + 20];
	g_autoptr(GSocketConnection) invalid = NULL;
	g_autoptr(GSocketConnection) partial = NULL;
	static const char http_request[] = "GET / HTTP/1.1\r\n\r\n";
	static const char partial_frame[] = { 0, 0, 0, 100, 'x' };

	endpoint_open(&a);
	endpoint_open(&b);
	invalid = raw_connect(&b);
	g_output_stream_write(g_io_stream_get_output_stream(G_IO_STREAM(invalid)), http_request,
			      sizeof(http_request), NULL, NULL);
	wait_for_stat(&b, G_STRUCT_OFFSET(struct peer_stats, invalid_frames), 1);
	partial = raw_connect(&b);
	g_output_stream_write(g_io_stream_get_output_stream(G_IO_STREAM(partial)), partial_frame,
			      sizeof(partial_frame), NULL, NULL);
	wait_for_stat(&b, G_STRUCT_OFFSET(struct peer_stats, timeouts), 1);
	for (guint i = 0; i < G_N_ELEMENTS(idle); i++) {
		idle[i] = raw_connect(&b);
		g_main_context_iteration(NULL, FALSE);
	}
	wait_for_stat(&b, G_STRUCT_OFFSET(struct peer_stats, refused), 1);
	endpoint_send(&b, &a, 64);
	wait_for(&a.n_frames, 1);
	for (guint i = 0; i < G_N_ELEMENTS(idle); i++)
		g_object_unref(idle[i]);
	endpoint_close(&a);
	endpoint_close(&b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peer/both-ways", test_both_ways);
	g_test_add_func("/peer/block", test_block_and_unblock);
	g_test_add_func("/peer/bad-input", test_bad_input);
	return g_test_run();
}
