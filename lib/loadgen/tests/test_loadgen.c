#include <glib.h>
#include <string.h>

#include "loadgen/loadgen.h"

#define USER 0x1234

static void feed_token(struct loadgen_stream *s, uint64_t i)
{
	char token[24];
	g_autofree char *data = NULL;

	loadgen_expected_token(USER, i, token, sizeof(token));
	data = g_strdup_printf("{\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}", token);
	g_assert_true(loadgen_stream_event(s, data));
}

/* Guards against accepting a truncated, repeated or mixed-up stream as correct. */
static void test_stream_faults(void)
{
	struct loadgen_stream s = { .user = USER, .max_tokens = 3 };

	feed_token(&s, 0);
	feed_token(&s, 1);
	g_assert_cmpint(loadgen_stream_end(&s), ==, LOADGEN_TRUNCATED);
	feed_token(&s, 2);
	g_assert_cmpint(loadgen_stream_end(&s), ==, LOADGEN_TRUNCATED);
	g_assert_false(loadgen_stream_event(&s, "[DONE]"));
	g_assert_cmpint(loadgen_stream_end(&s), ==, LOADGEN_GOOD);

	s = (struct loadgen_stream){ .user = USER, .max_tokens = 3 };
	feed_token(&s, 0);
	feed_token(&s, 0);
	g_assert_cmpint(loadgen_stream_end(&s), ==, LOADGEN_DUPLICATED);

	s = (struct loadgen_stream){ .user = USER + 1, .max_tokens = 3 };
	feed_token(&s, 0);
	g_assert_cmpint(loadgen_stream_end(&s), ==, LOADGEN_MIXED_UP);

	s = (struct loadgen_stream){ .user = USER, .max_tokens = 3 };
	g_assert_false(loadgen_stream_event(&s, "{\"choices\":3}"));
	g_assert_false(loadgen_stream_event(&s, "{"));
	g_assert_cmpint(loadgen_stream_end(&s), ==, LOADGEN_MALFORMED);
}

/* Guards against accepting an incorrect response that is not a stream. */
static void test_completion_faults(void)
{
	g_autofree char *text = loadgen_expected_text(USER, 4);
	g_autofree char *body = g_strdup_printf(
		"{\"choices\":[{\"message\":{\"content\":\"%s\"}}],\"usage\":{\"prompt_tokens\":9,"
		"\"prompt_tokens_details\":{\"cached_tokens\":7}}}",
		text);
	struct loadgen_usage u = { 0 };

	g_assert_cmpint(loadgen_check_completion(body, USER, 4, &u), ==, LOADGEN_GOOD);
	g_assert_cmpuint(u.prompt, ==, 9);
	g_assert_cmpuint(u.cached, ==, 7);
	g_assert_cmpint(loadgen_check_completion(body, USER, 5, &u), ==, LOADGEN_TRUNCATED);
	g_assert_cmpint(loadgen_check_completion(body, USER, 3, &u), ==, LOADGEN_DUPLICATED);
	g_assert_cmpint(loadgen_check_completion(body, USER + 1, 4, &u), ==, LOADGEN_MIXED_UP);
	g_assert_cmpint(loadgen_check_completion("[]", USER, 4, &u), ==, LOADGEN_MALFORMED);
}

/* Guards against missing a second run or a response to another call. */
static void test_plain_faults(void)
{
	const char *good = "{\"key\":\"k1\",\"run\":1,\"echo\":\"{\\\"n\\\":1}\"}";

	g_assert_cmpint(loadgen_check_plain(good, "k1", "{\"n\":1}"), ==, LOADGEN_GOOD);
	g_assert_cmpint(loadgen_check_plain("{\"key\":\"k1\",\"run\":1,\"echo\":{\"n\":1}}", "k1",
					    "{\"n\":1}"),
			==, LOADGEN_GOOD);
	g_assert_cmpint(loadgen_check_plain(good, "k2", "{\"n\":1}"), ==, LOADGEN_MIXED_UP);
	g_assert_cmpint(loadgen_check_plain(good, "k1", "{\"n\":2}"), ==, LOADGEN_MIXED_UP);
	g_assert_cmpint(loadgen_check_plain("{\"key\":\"k1\",\"run\":2,\"echo\":{\"n\":1}}", "k1",
					    "{\"n\":1}"),
			==, LOADGEN_DUPLICATED);
	g_assert_cmpint(loadgen_check_plain("x", NULL, NULL), ==, LOADGEN_MALFORMED);
}

/* Guards against a full sample that ignores later values. */
static void test_samples_bounded(void)
{
	struct loadgen_samples s;

	loadgen_samples_init(&s);
	for (int i = 0; i < 1000000; i++)
		loadgen_samples_add(&s, i);
	g_assert_cmpuint(s.n, ==, 1000000);
	g_assert_cmpuint(s.values->len, <=, 200000);
	g_assert_cmpfloat(loadgen_samples_quantile(&s, 0.95), >, 940000);
	g_assert_cmpfloat(loadgen_samples_quantile(&s, 0.95), <, 960000);
	loadgen_samples_clear(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/loadgen/stream-faults", test_stream_faults);
	g_test_add_func("/loadgen/whole-faults", test_completion_faults);
	g_test_add_func("/loadgen/plain-faults", test_plain_faults);
	g_test_add_func("/loadgen/samples-bounded", test_samples_bounded);
	return g_test_run();
}
