#include <glib.h>
#include <string.h>

#include "base/base.h"
#include "base/json_text.h"

static char *repair(const char *text)
{
	return g_string_free(json_text_repair(text, strlen(text)), FALSE);
}

/* Guards against a value that can't be read and costs the whole document. */
static void test_repair(void)
{
	static const struct {
		const char *text;
		const char *expected;
	} cases[] = {
		{ "{\"a\":[1,-2.5e3,true,false,null,\"x\"]}",
		  "{\"a\":[1,-2.5e3,true,false,null,\"x\"]}" },
		{ "{\"a\":\"\xff\",\"b\":1}", "{\"a\":null,\"b\":1}" },
		{ "{\"a\xff\" : 1,\"b\":2}", "{\"\" : 1,\"b\":2}" },
		{ "{\"a\":\"\\ud800\",\"b\":\"\\ud83d\\ude00\"}",
		  "{\"a\":null,\"b\":\"\\ud83d\\ude00\"}" },
		{ "{\"a\":\"\\udc00x\",\"b\":\"\\u00\"}", "{\"a\":null,\"b\":null}" },
		{ "{\"a\":\"\\u0000\",\"b\":\"\\x\"}", "{\"a\":null,\"b\":null}" },
		{ "{\"a\":\"\\\"}\\\\\",\"b\":1}", "{\"a\":\"\\\"}\\\\\",\"b\":1}" },
		{ "[1e999,-1e999,1e308]", "[null,null,1e308]" },
		{ "[99999999999999999999,9223372036854775807]", "[null,9223372036854775807]" },
		{ "[0.1000000000000000000000000000000000000000]", "[null]" },
		{ "[NaN,inf,\xff\xfe,'x',undefined]", "[null,null,null,null,null]" },
		{ "[1e,1.2.3,--1,0x10]", "[null,null,null,null]" },
		{ "{\"a\":\"open", "{\"a\":null" },
		{ "", "" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *out = repair(cases[i].text);

		g_assert_cmpstr(out, ==, cases[i].expected);
	}
}

/* Guards against a stack overflow by a nested value, and a long text that is passed on. */
static void test_nested(void)
{
	g_autoptr(GString) s = g_string_new("{\"a\":");
	g_autofree char *long_text = g_strnfill(JSON_TEXT_STRING_MAX, 'x');
	g_autofree char *with_long = g_strdup_printf("[\"%s\",1]", long_text);
	g_autofree char *out = NULL;
	g_autofree char *out_long = repair(with_long);

	for (int i = 0; i < 300000; i++)
		g_string_append(s, i % 2 ? "[" : "{\"x\":\"]\",\"y\":");
	for (int i = 299999; i >= 0; i--)
		g_string_append(s, i % 2 ? "]" : "}");
	g_string_append(s, ",\"b\":2}");
	g_assert_false(json_text_is_readable(s->str, s->len));
	out = repair(s->str);
	g_assert_true(json_text_is_readable(out, strlen(out)));
	g_assert_true(g_str_has_suffix(out, ",\"b\":2}"));
	g_assert_cmpuint(strlen(out), <, 1000);
	g_assert_cmpstr(out_long, ==, "[null,1]");
	g_assert_true(json_text_is_readable("[[\"[[[\"]]", 9));
	/* A comment may hide the end of a string, and with it brackets. */
	g_assert_false(json_text_is_readable("/*\"*/[]", 8));
	g_assert_false(json_text_is_readable("['\"',1]", 7));
}

/* Guards against reads past the end of damaged texts. */
static void test_damaged(void)
{
	static const char sample[] =
		"{\"items\":[{\"metadata\":{\"name\":\"a\\u00e4\\ud83d\\ude00\","
		"\"revision\":12},\"spec\":{\"slots\":1.5e2,\"x\":[true]}}]}";
	struct rng rng;

	rng_seed(&rng, 7);
	for (int i = 0; i < 50000; i++) {
		size_t len = rng_below(&rng, sizeof(sample));
		g_autofree char *text = g_memdup2(sample, MAX(len, 1));
		g_autoptr(GString) out = NULL;

		for (uint64_t k = rng_below(&rng, 6); k > 0 && len; k--)
			text[rng_below(&rng, len)] = (char)rng_next(&rng);
		json_text_is_readable(text, len);
		out = json_text_repair(text, len);
		g_assert_true(g_utf8_validate(out->str, (gssize)out->len, NULL));
		g_assert_true(json_text_is_readable(out->str, out->len));
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/json-text/repair", test_repair);
	g_test_add_func("/json-text/nested", test_nested);
	g_test_add_func("/json-text/damaged", test_damaged);
	return g_test_run();
}
