/* CPU time and memory of placement at the deployment size expected in two years. */
#include "place/place_move.h"
#include "routing.h"

#define COST_REPLICAS	 670U
#define COST_INSTANCES	 390U
#define COST_CHOICES	 20000U
#define COST_REQUEST_GAP 58000 /* microseconds per instance: 6,700 requests/s over 390 */
#define COST_CHATS	 65536U

static void fill_candidates(struct load *l, struct place_candidate *c, struct rng *rnd)
{
	for (uint32_t i = 0; i < COST_REPLICAS; i++) {
		struct load_report r = { .epoch = 1,
					 .seq = 1,
					 .running_tokens = 60000 + rng_unit(rnd) * 20000,
					 .running = 60,
					 .slots = 128,
					 .prefill_rate = 40000,
					 .decode_rate = 32 };

		load_apply_report(l, i + 1, &r, USEC_PER_SEC);
		c[i] = (struct place_candidate){ .upstream = i + 1,
						 .id_hash = hash_pair(1, i),
						 .capacity = 1 + (i % 3) * .25,
						 .weight = 1 };
		load_estimate(l, i + 1, 2 * USEC_PER_SEC, &c[i].load);
	}
}

static void time_choices(struct place *p, struct load *l, struct place_candidate *c,
			 struct rng *rnd, bool estimate_loads)
{
	/* Virtual time; the second run starts after the first, which takes 1160 s. */
	int64_t start = (estimate_loads ? 2000 : 2) * USEC_PER_SEC;
	int64_t from = g_get_monotonic_time();
	uint64_t placed = 0;

	for (uint32_t k = 0; k < COST_CHOICES; k++) {
		struct place_request r = { .chat = rng_next(rnd) | 1,
					   .prefix = 1 + rng_below(rnd, 3000),
					   .prompt_tokens = 2500,
					   .prefix_tokens = 900,
					   .output_tokens = 250 };
		struct place_choice out;

		if (k % 4) {
			r.history_tokens = 2300;
			r.hint = c[rng_below(rnd, COST_REPLICAS)].id_hash;
			r.hint_tokens = 2300;
		}
		for (uint32_t i = 0; estimate_loads && i < COST_REPLICAS; i++)
			load_estimate(l, c[i].upstream, 2 * USEC_PER_SEC, &c[i].load);
		place_choose(p, &r, c, COST_REPLICAS, start + k * COST_REQUEST_GAP, &out);
		placed += out.upstream != 0;
	}
	bench_observed(estimate_loads ? "choice_with_views_us" : "choice_us",
		       (double)(g_get_monotonic_time() - from) / COST_CHOICES);
	bench_print(estimate_loads ? "placed_with_views" : "placed", (double)placed);
}

/* Fills the table of displaced chats and prints its bytes per chat. */
static void measure_state(struct place *p, struct place_candidate *c)
{
	size_t before = place_bytes(p);

	for (uint32_t k = 0; k < COST_CHATS; k++) {
		struct place_request r = { .chat = hash_pair(77, k),
					   .prompt_tokens = 2500,
					   .history_tokens = 2300,
					   .output_tokens = 250,
					   .hint = c[k % COST_REPLICAS].id_hash,
					   .hint_tokens = 2300 };
		struct place_choice out;

		place_choose(p, &r, c, COST_REPLICAS, 4000 * USEC_PER_SEC, &out);
	}
	bench_print("displaced_chats", place_displaced_count(p));
	bench_print("bytes_per_displaced_chat",
		    (double)(place_bytes(p) - before) / place_displaced_count(p));
	/* Only displaced chats have state. */
	bench_print("bytes_per_chat_at_home", 0);
	bench_print("hint_token_bytes", PLACE_HINT_LENGTH);
	bench_print("place_bytes_per_service", (double)place_bytes(p));
}

/* Prints the control traffic per instance by the frame model of docs/design.md: 4 links with 2
 * frames per second each, 60 bytes per frame and 20 bytes per load record and second, at most 64
 * records per frame. To that come probes of 200 bytes, at most 20 per second: two instances of a
 * domain probe each replica once per second. */
static void print_control_model(const char *name, double replicas, double instances_of_domain)
{
	g_autofree char *metric = g_strdup_printf("%s_control_bytes_per_s", name);
	double probes = MIN(20, replicas * 2 / instances_of_domain);

	bench_print(metric, 4 * (2 * 60 + MIN(replicas, 2 * 64) * 20) + probes * 200);
}

BENCH_SCENARIO(routing_670, "routing-670", "one placement among 670 replicas, bytes of state")
{
	struct place *p = place_new(&(struct place_params){ 1.5, 4, seed });
	struct place_candidate *c = g_new0(struct place_candidate, COST_REPLICAS);
	struct load *l = load_new();
	struct rng rnd;

	rng_seed(&rnd, seed);
	load_set_instances(l, COST_INSTANCES);
	fill_candidates(l, c, &rnd);
	time_choices(p, l, c, &rnd, false);
	time_choices(p, l, c, &rnd, true);
	place_free(p);
	p = place_new(&(struct place_params){ 1.5, 4, seed });
	measure_state(p, c);
	bench_print("load_bytes_per_replica", (double)load_bytes(l) / COST_REPLICAS);
	bench_print("instance_row_bytes_in_member_per_upstream", sizeof(struct member_entry));
	print_control_model("today", 12, 3);
	print_control_model("two_years", COST_REPLICAS, COST_INSTANCES / 4.0);
	load_free(l);
	place_free(p);
	g_free(c);
}

BENCH_SCENARIO(routing_move, "routing-move", "context from which on a move of KV cache pays")
{
	static const struct {
		const char *name;
		double link_rate; /* bytes per second */
		double prefill_rate;
	} cases[] = {
		{ "10gbit_prefill_10k", 1.25e9, 10000 },
		{ "10gbit_prefill_40k", 1.25e9, 40000 },
		{ "100gbit_prefill_10k", 12.5e9, 10000 },
		{ "100gbit_prefill_40k", 12.5e9, 40000 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct place_move m = { .bytes_per_token = 131072,
					.link_rate = cases[i].link_rate,
					.setup_time = 20 * USEC_PER_MSEC,
					.prefill_rate = cases[i].prefill_rate,
					.use_probability = 1,
					.concurrent_export = true };
		g_autofree char *certain = g_strdup_printf("%s.least_tokens", cases[i].name);
		g_autofree char *half_chance =
			g_strdup_printf("%s.least_tokens_half_chance", cases[i].name);

		bench_print(certain, place_move_break_even_tokens(&m));
		m.use_probability = .5;
		bench_print(half_chance, place_move_break_even_tokens(&m));
	}
}
