#include "eng/eng_wire.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Largest number of requests in a report; sums over all upstreams stay within 32 bits. */
#define MAX_REQUESTS 1000000

int eng_parse_load(const char *text, struct load_report *r)
{
	double age_ms;
	int used = 0;

	memset(r, 0, sizeof(*r));
	/* sscanf() takes a negative number for an unsigned field and wraps it. */
	if (strchr(text, '-'))
		return -EINVAL;
	/* NOLINTNEXTLINE(cert-err34-c): the count of fields and the ranges are checked below */
	if (sscanf(text, "%20" SCNu64 " %20" SCNu64 " %lf %lf %lf %9u %9u %9u %lf %lf%n", &r->epoch,
		   &r->seq, &age_ms, &r->queued_tokens, &r->running_tokens, &r->running, &r->queued,
		   &r->slots, &r->prefill_rate, &r->decode_rate, &used) != 10)
		return -EINVAL;
	if (r->running > MAX_REQUESTS || r->queued > MAX_REQUESTS || r->slots > MAX_REQUESTS)
		return -EINVAL;
	if (text[used] != '\0' || !(age_ms >= 0 && age_ms < 1e9) ||
	    !(r->queued_tokens >= 0 && r->queued_tokens < 1e12) ||
	    !(r->running_tokens >= 0 && r->running_tokens < 1e12) ||
	    !(r->prefill_rate >= 0 && r->prefill_rate < 1e9) ||
	    !(r->decode_rate >= 0 && r->decode_rate < 1e9))
		return -EINVAL;
	r->age = (int64_t)(age_ms * (double)USEC_PER_MSEC);
	return 0;
}

char *eng_format_load(const struct load_report *r)
{
	return g_strdup_printf("%" PRIu64 " %" PRIu64 " %" PRId64 " %.0f %.0f %u %u %u %.0f %.1f",
			       r->epoch, r->seq, r->age / USEC_PER_MSEC, r->queued_tokens,
			       r->running_tokens, r->running, r->queued, r->slots, r->prefill_rate,
			       r->decode_rate);
}

uint32_t eng_count_events(const char *data, size_t len, size_t *whole)
{
	const char *at = data;
	const char *end = data + len;
	uint32_t n = 0;

	while (at < end) {
		const char *sep = memmem(at, (size_t)(end - at), "\n\n", 2);

		if (!sep)
			break;
		at = sep + 2;
		n++;
	}
	*whole = (size_t)(at - data);
	return n;
}
