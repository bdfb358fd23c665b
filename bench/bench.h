/**
 * DOC: bench
 *
 * Benchmark program: seeded scenarios that run library code in virtual time and print results as
 * lines "scenario.metric value". Scenarios run in the order of their names, and the same seed gives
 * the same lines except those marked observed, so that two runs can be diffed.
 */
#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

#include <stdbool.h>
#include <stdint.h>

/** struct bench_scenario - a scenario, registered with BENCH_SCENARIO() */
struct bench_scenario {
	const char *name; /* "area-case", for example "routing-steady" */
	const char *help; /* one sentence */
	void (*run)(uint64_t seed);
	struct bench_scenario *next;
};

void bench_register(struct bench_scenario *s);

/** bench_print() - prints a result of the running scenario */
void bench_print(const char *metric, double value);

/** bench_observed() - like bench_print(), for results that depend on the machine's speed */
void bench_observed(const char *metric, double value);

#define BENCH_SCENARIO(ident, text_name, text_help)                                                \
	static void ident(uint64_t seed);                                                          \
	static struct bench_scenario ident##_scenario = { text_name, text_help, ident, 0 };        \
	__attribute__((constructor)) static void ident##_register(void)                            \
	{                                                                                          \
		bench_register(&ident##_scenario);                                                 \
	}                                                                                          \
	static void ident(uint64_t seed)

#endif
