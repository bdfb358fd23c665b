/* Messages whose syntax is no valid one, and sound ones of an unusual form (RFC 9110, RFC 9112). */
#include "http_peer.h"

#define OK_LINE	     "HTTP/1.1 200 OK\r\n"
#define CHUNKED_HEAD OK_LINE "Transfer-Encoding: chunked\r\n\r\n"

/* Fails the test if the head of the response @text is accepted, in one part or byte by byte. */
static void expect_malformed(const char *text, size_t len)
{
	g_autofree char *log = log_of_response(text, len, false);
	g_autofree char *log_by_byte = log_of_bytes(text, len);
	g_autofree char *shown = g_strescape(text, NULL);
	g_autofree char *shown_log = g_strescape(log, NULL);

	if (strcmp(log, "closed malformed;") == 0 && strcmp(log_by_byte, log) == 0)
		return;
	g_test_message("\"%s\" gave: %s", shown, shown_log);
	g_test_fail();
}

/* Guards against a status line that is none by RFC 9112, 4, and still makes a response. */
static void test_malformed_status_line(void)
{
	static const char *const lines[] = {
		"HTTP/1.1 000 X",     "HTTP/1.1 099 X",
		"HTTP/1.1 600 X",     "HTTP/1.1 999 X",
		"HTTP/1.1 20 OK",     "HTTP/1.1 2 OK",
		"HTTP/1.1 0200 OK",   "HTTP/1.1 2000 OK",
		"HTTP/1.1 20",	      "HTTP/1.1 2 0 OK",
		"HTTP/1.1 200OK",     "HTTP/1.1 200-OK",
		"HTTP/1.1 -20 OK",    "HTTP/1.1  200 OK",
		"HTTP/1.1\t200 OK",   "HTTP/1.1 OK",
		"HTTP/1.1",	      "HTTP/1.12 200 OK",
		"HTTP/1. 1 200 OK",   "HTTP/11 200 OK",
		"http/1.1 200 OK",    " HTTP/1.1 200 OK",
		"\r\nHTTP/1.1 200 X", "200 OK",
		"HTTP/1.1 200 \x01",  "HTTP/1.1 200 O\x7fK",
		"HTTP/1.1 200 OK\rX", "HTTP/1.1 200\rX",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		g_autofree char *plain =
			g_strconcat(lines[i], "\r\nContent-Length: 3\r\n\r\nabc", NULL);
		g_autofree char *before =
			g_strconcat(lines[i], "\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabc", NULL);

		expect_malformed(plain, strlen(plain));
		expect_malformed(before, strlen(before));
	}
}

/* Guards against a line in the head that is no field by RFC 9112, 5, and is passed on or left out. */
static void test_malformed_field(void)
{
	static const char *const lines[] = {
		"X Y: 1",
		"X-Y : 1",
		"X\tY: 1",
		"X-Y\t: 1",
		"X\x01Y: 1",
		"X\x7fY: 1",
		"X\x80Y: 1",
		"X(Y): 1",
		"X\"Y: 1",
		": 1",
		"X",
		"X\r: 1",
		"X: a\x01",
		"X: a\x7f",
		"X: a\rb",
		"X: a\r\rY: 1",
		"Content-Length : 3",
		"Content Length: 3",
		"Transfer-Encoding : chunked",
		"Transfer-Encoding\t: chunked",
		"Transfer Encoding: chunked",
	};
	static const char nul[] = "HTTP/1.1 200 OK\r\nX: a\0b\r\nContent-Length: 3\r\n\r\nabc";
	static const char nul_in_name[] =
		"HTTP/1.1 200 OK\r\nX\0Y: a\r\nContent-Length: 3\r\n\r\nabc";
	static const char folded_first[] = "HTTP/1.1 200 OK\r\n X: 1\r\n\r\nabc";
	static const char cr_at_end[] = "HTTP/1.1 200 OK\r\nX: 1\r\n\rXabc";

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		g_autofree char *first = g_strconcat("HTTP/1.1 200 OK\r\n", lines[i],
						     "\r\nContent-Length: 3\r\n\r\nabc", NULL);
		g_autofree char *last = g_strconcat("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
						    lines[i], "\r\n\r\nabc", NULL);
		g_autofree char *only =
			g_strconcat("HTTP/1.1 200 OK\r\n", lines[i], "\r\n\r\nabc", NULL);

		expect_malformed(first, strlen(first));
		expect_malformed(last, strlen(last));
		expect_malformed(only, strlen(only));
	}
	expect_malformed(nul, sizeof(nul) - 1);
	expect_malformed(nul_in_name, sizeof(nul_in_name) - 1);
	expect_malformed(folded_first, sizeof(folded_first) - 1);
	expect_malformed(cr_at_end, sizeof(cr_at_end) - 1);
}

/* Guards against framing of a chunked body that is none by RFC 9112, 7.1, and loses or adds bytes. */
static void test_malformed_chunks(void)
{
	static const char *const bodies[] = {
		"3\r\nabcd\r\n0\r\n\r\n",
		"3\r\nabcXX0\r\n\r\n",
		"3\r\nabc\rX0\r\n\r\n",
		"3\r\nabc\n0\r\n\r\n",
		"3\r\nabc0\r\n\r\n",
		"3\rXabc\r\n0\r\n\r\n",
		"3\nabc\r\n0\r\n\r\n",
		"3 \r\nabc\r\n0\r\n\r\n",
		"3 x\r\nabc\r\n0\r\n\r\n",
		"3;a\x01\r\nabc\r\n0\r\n\r\n",
		"3;a\nb\r\nabc\r\n0\r\n\r\n",
		"3;a\rb\r\nabc\r\n0\r\n\r\n",
		"0x3\r\nabc\r\n0\r\n\r\n",
		"+3\r\nabc\r\n0\r\n\r\n",
		" 3\r\nabc\r\n0\r\n\r\n",
		"\r\n3\r\nabc\r\n0\r\n\r\n",
		";a\r\nabc\r\n0\r\n\r\n",
		"10000000000000003\r\nabc\r\n0\r\n\r\n",
		"3\r\nabc\r\n0\rX\r\n",
		"3\r\nabc\r\n0\r\n\rX",
		"3\r\nabc\r\n0\r\nX Y: 1\r\n\r\n",
		"3\r\nabc\r\n0\r\nX : 1\r\n\r\n",
		"3\r\nabc\r\n0\r\nX\x01: 1\r\n\r\n",
		"3\r\nabc\r\n0\r\nX: \x01\r\n\r\n",
		"3\r\nabc\r\n0\r\n X: 1\r\n\r\n",
		"3\r\nabc\r\n0\r\nX: 1\rY: 2\r\n\r\n",
		"3\r\nabc\r\n0\r\nX\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		g_autofree char *text = g_strconcat(
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", bodies[i], NULL);
		g_autofree char *log = log_of_response(text, strlen(text), false);
		g_autofree char *log_by_byte = log_of_bytes(text, strlen(text));
		g_autofree char *shown = g_strescape(bodies[i], NULL);

		if (!strstr(log, "end;") && g_str_has_suffix(log, "closed malformed;") &&
		    !strstr(log_by_byte, "end;") &&
		    g_str_has_suffix(log_by_byte, "closed malformed;"))
			continue;
		g_test_message("\"%s\" gave: %s", shown, log);
		g_test_fail();
	}
}

/* Guards against a check that is left out where a response follows others, or answers HEAD. */
static void test_malformed_later(void)
{
	static const char *const before[] = {
		OK_LINE "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 103 X\r\nX: 1\r\n\r\n",
		"HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n",
		CHUNKED_HEAD "0\r\nX: 1\r\n\r\n",
	};
	static const char *const malformed[] = {
		"HTTP/1.1 000 X\r\n\r\n",
		"\r\nHTTP/1.1 200 OK\r\n\r\n",
		OK_LINE "X Y: 1\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(before) * G_N_ELEMENTS(malformed); i++) {
		struct peer p = { 0 };

		peer_new_upstream(&p);
		peer_write(&p, before[i / G_N_ELEMENTS(malformed)]);
		for (int n = 0; n < 1000 && !strstr(p.log->str, "end;"); n++) {
			run_main_loop();
			g_usleep(100);
		}
		http_conn_read_next(p.conn);
		if (i % 2)
			http_conn_expect_no_body(p.conn);
		g_string_truncate(p.log, 0);
		peer_write(&p, malformed[i % G_N_ELEMENTS(malformed)]);
		peer_close(&p, false);
		g_assert_cmpstr(p.log->str, ==, "closed malformed;");
		peer_clear(&p);
	}
}

/* Guards against a request of the same forms that is passed on. */
static void test_malformed_requests(void)
{
	static const char *const requests[] = {
		"GET /a HTTP/1.1\r\nX Y: 1\r\n\r\n",
		"GET /a HTTP/1.1\r\nX : 1\r\n\r\n",
		"GET /a HTTP/1.1\r\nX\x01: 1\r\n\r\n",
		"GET /a HTTP/1.1\r\nX: \x7f\r\n\r\n",
		"GET /a HTTP/1.1\r\n X: 1\r\n\r\n",
		"GET /a HTTP/1.1\r\nX: 1\r\n\rX",
		"GET /a HTTP/1.1\rXHost: h\r\n\r\n",
		"GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a\fb HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET\t/a HTTP/1.1\r\nHost: h\r\n\r\n",
		"\r \nGET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nContent Length: 3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a\nb\r\nabc\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: 1\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		struct peer p = { 0 };
		g_autofree char *shown = g_strescape(requests[i], NULL);

		peer_new_caller(&p);
		peer_write(&p, requests[i]);
		if (strstr(p.log->str, "end;") ||
		    !g_str_has_suffix(p.log->str, "closed malformed;")) {
			g_test_message("\"%s\" gave: %s", shown, p.log->str);
			g_test_fail();
		}
		peer_clear(&p);
	}
}

/* Guards against a sound response of an unusual form that counts as malformed. */
static void test_unusual_responses(void)
{
	static const char *const texts[] = {
		"HTTP/1.1 200\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 \r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 \t \r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 \xc3\xa9t\xe9 200: (x)\tok\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\nContent-Length: 3\n\nabc",
		"HTTP/1.1 200\nContent-Length: 3\r\n\nabc",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.2 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		OK_LINE "cOnTeNt-lEnGtH:3\r\n\r\nabc",
		OK_LINE "Content-Length: \t 3  \r\n\r\nabc",
		OK_LINE "Content-Length:\r\n 3\r\n\r\nabc",
		OK_LINE "Content-Length: 0003\r\n\r\nabc",
		OK_LINE "X: \r\nY:\r\nZ: \t\r\nContent-Length: 3\r\n\r\nabc",
		OK_LINE "!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 3\r\n\r\nabc",
		OK_LINE "X: \x80\xff \"a\tb\": ;,\r\nContent-Length: 3\r\n\r\nabc",
		CHUNKED_HEAD "3\r\nabc\r\n0\r\n\r\n",
		OK_LINE "Transfer-Encoding: \tCHUNKED \r\n\r\n0003\r\nabc\r\n000\r\n\r\n",
		CHUNKED_HEAD "3;a;b=1;c=\"x\t\xc3\xa9;\"\r\nabc\r\n0;d\r\n\r\n",
		CHUNKED_HEAD
		"3 ;a = 1\r\nabc\r\n0\r\nT: \xff\r\nU:\t1 \r\n 2\r\nContent-Length: 9\r\n\r\n",
		CHUNKED_HEAD "3\r\nabc\r\n0\r\nT: 1\n\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		g_autofree char *log = log_of_response(texts[i], strlen(texts[i]), false);
		g_autofree char *log_by_byte = log_of_bytes(texts[i], strlen(texts[i]));

		g_assert_cmpstr(log, ==, "head 200;body abc;end;closed eof;");
		g_assert_cmpstr(log_by_byte, ==, "head 200;body abc;end;closed eof;");
	}
}

/* Guards against a valid status without a reason phrase of its own that counts as malformed. */
static void test_unusual_statuses(void)
{
	for (int status = 100; status < 600; status++) {
		g_autofree char *text =
			g_strdup_printf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status);
		g_autofree char *log = log_of_response(text, strlen(text), false);
		g_autofree char *expected = g_strdup_printf("head %d;end;closed eof;", status);

		g_assert_cmpstr(log, ==, expected);
	}
}

/* Guards against white space that is no part of a value, or is lost from its middle. */
static void test_white_space_of_value(void)
{
	static const struct {
		const char *line;
		const char *value;
	} cases[] = {
		{ "X-Value:a", "a" },
		{ "X-Value: a", "a" },
		{ "X-Value: \t a", "a" },
		{ "X-Value: a ", "a" },
		{ "X-Value: a\t \t", "a" },
		{ "X-Value: a \t b ", "a \t b" },
		{ "X-Value: \"\xe9\t\" ", "\"\xe9\t\"" },
		{ "X-Value:", "" },
		{ "X-Value: \t", "" },
		{ "X-Value: a\r\n b", "a b" },
		{ "X-Value: a \r\n\tb\r\n c", "a \tb c" },
		{ "X-Value:\r\n a\r\n ", "a" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (int parts = 0; parts < 2; parts++) {
			struct peer p = { 0 };
			g_autofree char *text =
				g_strconcat("GET /a HTTP/1.1\r\n", cases[i].line, "\r\n\r\n", NULL);
			size_t len = strlen(text);
			char part[2] = "";

			peer_new_caller(&p);
			for (size_t n = 0; parts && n < len; n++) {
				part[0] = text[n];
				peer_write(&p, part);
			}
			if (!parts)
				peer_write(&p, text);
			g_assert_cmpstr(p.log->str, ==, "head GET /a;end;");
			g_assert_cmpstr(p.value, ==, cases[i].value);
			peer_clear(&p);
		}
	}
}

/*
 * Guards against a HTAB after a value that hides it from the parser: a length that counts as
 * malformed, chunks that are passed on undecoded, and a connection that is kept although it ends.
 */
static void test_tab_after_value(void)
{
	static const char *const texts[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 3\t\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nContent-Length:\t3 \t \r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\t\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked \t\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	};
	static const char closing[] =
		"HTTP/1.1 200 OK\r\nConnection: close\t\r\nContent-Length: 3\r\n\r\nabc";
	g_autofree char *log = log_of_response(closing, sizeof(closing) - 1, false);

	g_assert_cmpstr(log, ==, "head 200 close;body abc;end;closed eof;");
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		g_autofree char *kept = log_of_response(texts[i], strlen(texts[i]), false);
		g_autofree char *kept_by_byte = log_of_bytes(texts[i], strlen(texts[i]));

		g_assert_cmpstr(kept, ==, "head 200;body abc;end;closed eof;");
		g_assert_cmpstr(kept_by_byte, ==, "head 200;body abc;end;closed eof;");
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-syntax/malformed-status-line", test_malformed_status_line);
	g_test_add_func("/http-syntax/malformed-field", test_malformed_field);
	g_test_add_func("/http-syntax/malformed-chunks", test_malformed_chunks);
	g_test_add_func("/http-syntax/malformed-later", test_malformed_later);
	g_test_add_func("/http-syntax/malformed-requests", test_malformed_requests);
	g_test_add_func("/http-syntax/unusual-responses", test_unusual_responses);
	g_test_add_func("/http-syntax/unusual-statuses", test_unusual_statuses);
	g_test_add_func("/http-syntax/white-space-of-value", test_white_space_of_value);
	g_test_add_func("/http-syntax/tab-after-value", test_tab_after_value);
	return g_test_run();
}
