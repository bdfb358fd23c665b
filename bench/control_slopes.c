/* CPU time and memory per object of the control state, for docs/CAPACITY.md. */
#include <malloc.h>
#include <string.h>
#include <time.h>

#include "bench.h"
#include "gossip/gossip_priv.h"

#define OBJECTS	  22000
#define UPSTREAMS 4000
#define INSTANCES 2000
#define HMAC_RUNS 100

static void on_send(void *arg, const char *address, const void *frame, size_t len)
{
}

static void on_unlink(void *arg, const char *address)
{
}

static void on_config(void *arg, const struct conf_object *o)
{
}

static void on_instance(void *arg, const struct gossip_instance *i)
{
}

static void on_listed(void *arg, const char *id, bool leaving, uint64_t version)
{
}

static void on_upstream(void *arg, const struct gossip_upstream *u)
{
}

static void on_poison(void *arg, const struct poison_record *m)
{
}

static void on_account(void *arg, const struct gossip_account *a)
{
}

static struct gossip *gossip_without_peers(void)
{
	struct gossip_events e = { NULL,      on_send,	   on_unlink, on_config, on_instance,
				   on_listed, on_upstream, on_poison, on_account };
	struct gossip_params p = { .id = "entry-000",
				   .failure_domain = "a",
				   .address = "10.0.0.1:7000",
				   .key = "key",
				   .incarnation = 1,
				   .bytes_per_second = 14000 };

	return gossip_new(&p, &e, 0, 0);
}

static double cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec * 1e-3;
}

static double heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (double)(m.uordblks + m.hblkhd);
}

/** struct cost - CPU time and heap size at cost_begin() */
struct cost {
	double us;
	double bytes;
};

static void cost_begin(struct cost *s)
{
	s->us = cpu_us();
	s->bytes = heap_bytes();
}

static void cost_end(const struct cost *s, const char *what, double n)
{
	g_autofree char *us = g_strdup_printf("us_per_%s", what);
	g_autofree char *bytes = g_strdup_printf("bytes_per_%s", what);

	bench_observed(us, (cpu_us() - s->us) / n);
	bench_observed(bytes, (heap_bytes() - s->bytes) / n);
}

static void measure_objects(struct gossip *g)
{
	struct cost s;

	cost_begin(&s);
	for (uint32_t i = 0; i < OBJECTS; i++) {
		char key[32];
		char text[64];

		g_snprintf(key, sizeof(key), "account/client-%05u", i);
		g_snprintf(text, sizeof(text), "key=secret-of-client-%05u\nweight=1\n", i);
		gossip_apply_config(g, key, i + 1, text, 0);
	}
	cost_end(&s, "account", OBJECTS);
}

static void measure_records(struct gossip *g)
{
	struct gossip_upstream u = { .state = -1,
				     .load = { .epoch = 1,
					       .seq = 40000,
					       .queued_tokens = 9000,
					       .running_tokens = 70000,
					       .running = 20,
					       .queued = 3,
					       .slots = 32,
					       .prefill_rate = 9000,
					       .decode_rate = 40 } };
	struct cost s;

	cost_begin(&s);
	for (uint32_t i = 0; i < UPSTREAMS; i++) {
		u.id_hash = hash_pair(i, 5);
		gossip_report_upstream(g, &u, 0);
	}
	cost_end(&s, "load_row", UPSTREAMS);
	cost_begin(&s);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		char id[32];
		struct gossip_instance m = { .id = id, .address = (char *)"10.0.0.2:7000" };

		g_snprintf(id, sizeof(id), "entry-%05u", i + 1);
		m.hash = hash_str(id);
		m.domain = i % 4;
		m.incarnation = 1;
		g_member_apply(g, &m, 1, 0);
	}
	cost_end(&s, "instance_row", INSTANCES);
}

/* Encodes a full second of load records; signs and verifies frames of 1 KiB and 100 KiB. */
static void measure_frames(struct gossip *g)
{
	struct cost s;
	struct g_out o = g_out_begin(g, NULL, 0, 0);
	size_t body = 0;

	cost_begin(&s);
	for (guint i = 0; i < g->load->len; i++)
		g_wire_load(&o, &g_array_index(g->load, struct g_load, i), 0);
	cost_end(&s, "load_row_packed", g->load->len);
	bench_print("wire_bytes_per_load_row", (double)g_wire_size(&o) / g->load->len);
	g_out_send(g, &o, "x", false, 0);
	for (int k = 0; k < 2; k++) {
		static uint8_t bytes[100 * 1024];
		size_t len = k ? sizeof(bytes) : 1024;
		g_autoptr(GBytes) f = NULL;

		f = g_wire_sign(g, bytes, len);
		cost_begin(&s);
		for (int i = 0; i < HMAC_RUNS; i++)
			g_wire_verify(g, g_bytes_get_data(f, NULL), g_bytes_get_size(f), &body);
		bench_observed(k ? "us_hmac_100_kib" : "us_hmac_1_kib",
			       (cpu_us() - s.us) / HMAC_RUNS);
	}
}

BENCH_SCENARIO(control_slopes, "control-slopes",
	       "time and memory per object, instance row, load row and frame")
{
	struct gossip *g = gossip_without_peers();

	measure_objects(g);
	measure_records(g);
	measure_frames(g);
	gossip_free(g);
}
