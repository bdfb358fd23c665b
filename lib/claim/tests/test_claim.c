#include <string.h>

#include "claim/claim.h"
#include "claim/claim_shard.h"

#define FUZZ_ROUNDS 20000

/* An instance and a fake store with one shard object. The store responds immediately, unless
 * hold_response is set. */
struct bench {
	struct claim *claim;
	uint64_t version;
	GBytes *value;
	int64_t now;
	enum plat_result next_result; /* result of the next write */
	bool reads_fail;
	bool lose_response; /* the next write takes effect, but the response is @next_result */
	bool hold_response; /* responses to writes wait for deliver_held_response() */
	uint32_t held_token;
	int writes;
	int results[CLAIM_NOT_STORED + 1];
	struct claim_reply last;
	char body[64];
};

static void on_get(void *arg, uint32_t token, const char *key)
{
	struct bench *b = arg;
	g_autoptr(GBytes) value = b->value ? g_bytes_ref(b->value) : NULL;

	if (b->reads_fail) {
		claim_store_reply(b->claim, token, PLAT_UNREACHABLE, 0, NULL, b->now, b->now);
		return;
	}
	claim_store_reply(b->claim, token, value ? PLAT_OK : PLAT_NOT_FOUND, b->version, value,
			  b->now, b->now);
}

static void on_put(void *arg, uint32_t token, const char *key, uint64_t if_version, GBytes *value)
{
	struct bench *b = arg;
	enum plat_result result = b->next_result;

	b->writes++;
	b->next_result = PLAT_OK;
	g_assert_cmpuint(if_version, ==, b->version);
	if (result == PLAT_OK || b->lose_response) {
		g_bytes_unref(b->value);
		b->value = g_bytes_ref(value);
		b->version++;
	}
	b->lose_response = false;
	if (b->hold_response) {
		b->held_token = token;
		return;
	}
	claim_store_reply(b->claim, token, result, b->version, NULL, b->now, b->now);
}

static void deliver_held_response(struct bench *b)
{
	b->hold_response = false;
	claim_store_reply(b->claim, b->held_token, PLAT_OK, b->version, NULL, b->now, b->now);
}

static void on_reply(void *arg, void *call, const struct claim_reply *r)
{
	struct bench *b = arg;
	gsize len = 0;
	const void *data = r->body ? g_bytes_get_data(r->body, &len) : NULL;

	b->results[r->result]++;
	b->last = *r;
	memset(b->body, 0, sizeof(b->body));
	if (data)
		memcpy(b->body, data, MIN(len, sizeof(b->body) - 1));
}

static void bench_init(struct bench *b, uint64_t nonce, uint32_t max_shard)
{
	static const struct claim_ops ops = { .get = on_get, .put = on_put, .reply = on_reply };
	struct claim_params p;

	claim_params_default(&p, nonce);
	p.shards = 1;
	p.max_body = 32;
	if (max_shard > 0)
		p.max_shard = max_shard;
	b->claim = claim_new(&p, &ops, b);
}

static void bench_clear(struct bench *b)
{
	claim_free(b->claim);
	g_bytes_unref(b->value);
}

static void run_for(struct bench *b, int64_t time)
{
	int64_t end = b->now + time;

	while (claim_next(b->claim) <= end) {
		b->now = MAX(b->now, claim_next(b->claim));
		claim_advance(b->claim, b->now, b->now);
	}
	b->now = end;
}

static void make_claim(struct bench *b, const char *key, uint64_t fingerprint)
{
	claim_make(b->claim, "acme", key, fingerprint, b->now + 5 * USEC_PER_SEC, b->now, b->now,
		   NULL);
}

/* Reports the outcome of the call that was granted by the last reply. */
static void end_call(struct bench *b, enum verdict v, const char *text)
{
	g_autoptr(GBytes) body = g_bytes_new(text, strlen(text));

	claim_report_outcome(b->claim, b->last.id, v, 201, "text/plain", body,
			     b->now + 5 * USEC_PER_SEC, b->now, NULL);
}

/* Guards against a retry that gets no response or a wrong one, or runs again. */
static void test_retry(void)
{
	struct bench b = { .now = 1000 };

	bench_init(&b, 1, 0);
	make_claim(&b, "k", 7);
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.last.result, ==, CLAIM_GRANTED);
	end_call(&b, VERDICT_RAN, "booked");
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.last.result, ==, CLAIM_STORED);
	make_claim(&b, "k", 7);
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.last.result, ==, CLAIM_DONE);
	g_assert_cmpint(b.last.status, ==, 201);
	g_assert_cmpstr(b.body, ==, "booked");
	make_claim(&b, "k", 8);
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.last.result, ==, CLAIM_MISMATCH);
	bench_clear(&b);
}

/*
 * Guards against "may have run" for a retry that arrives while the outcome is being written: the
 * retry waits for the write, also while a write of the shard for another key is in progress.
 */
static void test_retry_before_outcome(void)
{
	struct bench b = { .now = 1000 };
	uint64_t id;

	bench_init(&b, 1, 0);
	make_claim(&b, "k", 7);
	run_for(&b, USEC_PER_SEC);
	end_call(&b, VERDICT_RAN, "booked");
	make_claim(&b, "k", 7);
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.results[CLAIM_OPEN], ==, 0);
	g_assert_cmpint(b.last.result, ==, CLAIM_DONE);
	g_assert_cmpstr(b.body, ==, "booked");

	make_claim(&b, "k2", 7);
	run_for(&b, USEC_PER_SEC);
	id = b.last.id;
	b.hold_response = true;
	make_claim(&b, "other", 7);
	run_for(&b, USEC_PER_SEC);
	b.last.id = id;
	end_call(&b, VERDICT_RAN, "booked");
	make_claim(&b, "k2", 7);
	deliver_held_response(&b);
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.results[CLAIM_OPEN], ==, 0);
	g_assert_cmpint(b.results[CLAIM_DONE], ==, 2);
	bench_clear(&b);
}

/* Guards against "may have run" for a retry that arrives right after a call that did not run. */
static void test_retry_before_release(void)
{
	struct bench b = { .now = 1000 };

	bench_init(&b, 1, 0);
	make_claim(&b, "k", 7);
	run_for(&b, USEC_PER_SEC);
	end_call(&b, VERDICT_NOT_RUN, "");
	make_claim(&b, "k", 7);
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.results[CLAIM_OPEN], ==, 0);
	g_assert_cmpint(b.results[CLAIM_GRANTED], ==, 2);
	bench_clear(&b);
}

/* Guards against storing a large response in the shard, and against "not run" for its call. */
static void test_large_response(void)
{
	struct bench b = { .now = 1000 };

	bench_init(&b, 1, 0);
	make_claim(&b, "k", 7);
	run_for(&b, USEC_PER_SEC);
	end_call(&b, VERDICT_RAN, "an answer that is longer than the thirty-two bytes kept");
	run_for(&b, USEC_PER_SEC);
	make_claim(&b, "k", 7);
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.last.result, ==, CLAIM_DONE);
	g_assert_null(b.last.body);
	bench_clear(&b);
}

/* Guards against a key that stays claimed after a call that did not run, or is released after one
 * that may have run. */
static void test_release(void)
{
	struct bench b = { .now = 1000 };

	bench_init(&b, 1, 0);
	make_claim(&b, "k", 7);
	run_for(&b, USEC_PER_SEC);
	end_call(&b, VERDICT_NOT_RUN, "");
	run_for(&b, USEC_PER_SEC);
	make_claim(&b, "k", 7);
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.results[CLAIM_GRANTED], ==, 2);
	end_call(&b, VERDICT_MAY_HAVE_RUN, "");
	make_claim(&b, "k", 7);
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.last.result, ==, CLAIM_OPEN);
	bench_clear(&b);
}

/* Guards against one write per call when calls arrive together, and against two grants of a key. */
static void test_batch(void)
{
	struct bench b = { .now = 1000 };

	bench_init(&b, 1, 0);
	for (int i = 0; i < 20; i++) {
		g_autofree char *key = g_strdup_printf("k%d", i / 2);

		make_claim(&b, key, 7);
	}
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.writes, ==, 1);
	g_assert_cmpint(b.results[CLAIM_GRANTED], ==, 10);
	g_assert_cmpint(b.results[CLAIM_OPEN], ==, 10);
	bench_clear(&b);
}

/* Guards against refusing a claim whose write took effect although its response was lost. */
static void test_lost_response(void)
{
	struct bench b = { .now = 1000, .next_result = PLAT_UNKNOWN, .lose_response = true };

	bench_init(&b, 1, 0);
	make_claim(&b, "k", 7);
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.last.result, ==, CLAIM_GRANTED);
	g_assert_cmpint(b.writes, ==, 1);
	g_assert_cmpuint(claim_stats(b.claim)->resolved, ==, 1);
	bench_clear(&b);
}

/* Guards against a key that stays claimed after its caller got the reply "not run". */
static void test_abandoned(void)
{
	struct bench b = { .now = 1000 };

	bench_init(&b, 1, 0);
	make_claim(&b, "other", 7);
	run_for(&b, USEC_PER_SEC);
	b.next_result = PLAT_UNKNOWN;
	b.lose_response = true;
	make_claim(&b, "k", 7);
	claim_advance(b.claim, b.now, b.now);
	b.reads_fail = true;
	run_for(&b, 6 * USEC_PER_SEC);
	g_assert_cmpint(b.last.result, ==, CLAIM_UNAVAILABLE);
	b.reads_fail = false;
	run_for(&b, 6 * USEC_PER_SEC);
	make_claim(&b, "k", 7);
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.last.result, ==, CLAIM_GRANTED);
	bench_clear(&b);
}

/* Guards against a record that is deleted while its call may still be sent. */
static void test_long_deadline(void)
{
	struct bench b = { .now = 1000 };
	int64_t deadline = b.now + CLAIM_MAX_DEADLINE - USEC_PER_SEC;

	bench_init(&b, 1, 0);
	claim_make(b.claim, "acme", "k", 7, deadline, b.now, b.now, NULL);
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.last.result, ==, CLAIM_GRANTED);
	b.now = deadline + CLAIM_RETENTION - 1;
	make_claim(&b, "other", 7);
	run_for(&b, USEC_PER_SEC / 2);
	make_claim(&b, "k", 7);
	run_for(&b, USEC_PER_SEC / 2);
	g_assert_cmpint(b.last.result, ==, CLAIM_OPEN);
	bench_clear(&b);
}

/* Guards against a full shard that refuses claims forever, loses one, or exceeds its size limit. */
static void test_full(void)
{
	struct bench b = { .now = 1000 };
	int granted;

	bench_init(&b, 1, 2000);
	for (int i = 0; i < 60; i++) {
		g_autofree char *key = g_strdup_printf("k%d", i);

		granted = b.results[CLAIM_GRANTED];
		make_claim(&b, key, 7);
		run_for(&b, USEC_PER_SEC);
		if (b.results[CLAIM_GRANTED] > granted)
			end_call(&b, VERDICT_RAN, "thirty-two bytes of an answer..");
		run_for(&b, 6 * USEC_PER_SEC);
		g_assert_cmpuint(g_bytes_get_size(b.value), <=, 2000);
	}
	g_assert_cmpuint(claim_stats(b.claim)->trimmed, >, 0);
	g_assert_cmpint(b.results[CLAIM_UNAVAILABLE], >, 0);
	make_claim(&b, "k0", 7);
	run_for(&b, USEC_PER_SEC);
	g_assert_cmpint(b.last.result, ==, CLAIM_DONE);
	b.now += CLAIM_RETENTION + 10 * USEC_PER_SEC;
	granted = b.results[CLAIM_GRANTED];
	make_claim(&b, "fresh", 7);
	run_for(&b, 6 * USEC_PER_SEC);
	make_claim(&b, "fresh2", 7);
	run_for(&b, 6 * USEC_PER_SEC);
	g_assert_cmpint(b.results[CLAIM_GRANTED], >, granted);
	bench_clear(&b);
}

/* Guards against overwriting a malformed shard object, which would lose its claims. */
static void test_malformed(void)
{
	struct bench b = { .now = 1000, .version = 4 };

	b.value = g_bytes_new("nonsense", 8);
	bench_init(&b, 1, 0);
	make_claim(&b, "k", 7);
	run_for(&b, 10 * USEC_PER_SEC);
	g_assert_cmpint(b.last.result, ==, CLAIM_UNAVAILABLE);
	g_assert_cmpint(b.writes, ==, 0);
	g_assert_cmpuint(claim_stats(b.claim)->malformed, >, 0);
	bench_clear(&b);
}

/* Guards against a crash of the parser on a corrupted or truncated shard object. */
static void test_fuzz(void)
{
	struct bench b = { .now = 1000 };
	const char *good;
	gsize len;
	struct rng r;

	bench_init(&b, 1, 0);
	for (int i = 0; i < 3; i++) {
		g_autofree char *key = g_strdup_printf("k%d", i);

		make_claim(&b, key, 7);
		run_for(&b, USEC_PER_SEC);
		end_call(&b, VERDICT_RAN, "booked");
		run_for(&b, USEC_PER_SEC);
	}
	good = g_bytes_get_data(b.value, &len);
	rng_seed(&r, 9);
	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		g_autofree char *text = g_memdup2(good, len);
		size_t size = rng_below(&r, 4) ? len : rng_below(&r, len);
		g_autoptr(GBytes) value = NULL;
		GHashTable *records;

		for (uint64_t n = 1 + rng_below(&r, 4); n > 0; n--)
			text[rng_below(&r, len)] = (char)rng_next(&r);
		value = g_bytes_new(text, size);
		records = claim_records_parse(value);
		if (records)
			g_hash_table_unref(records);
	}
	bench_clear(&b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim/retry", test_retry);
	g_test_add_func("/claim/repeat-before-outcome", test_retry_before_outcome);
	g_test_add_func("/claim/repeat-before-release", test_retry_before_release);
	g_test_add_func("/claim/large-answer", test_large_response);
	g_test_add_func("/claim/release", test_release);
	g_test_add_func("/claim/group", test_batch);
	g_test_add_func("/claim/lost-answer", test_lost_response);
	g_test_add_func("/claim/abandoned", test_abandoned);
	g_test_add_func("/claim/long-deadline", test_long_deadline);
	g_test_add_func("/claim/full", test_full);
	g_test_add_func("/claim/malformed", test_malformed);
	g_test_add_func("/claim/fuzz", test_fuzz);
	return g_test_run();
}
