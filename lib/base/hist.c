#include "base/hist.h"

#include <string.h>

#include "base/base.h"

/* Finite bounds from 1 ms to 131 s: above every default timeout; a configured one may be longer. */
#define N_BUCKETS (HIST_BUCKETS - 1)

struct hist {
	char *name;
	char *labels; /* "" or 'kind="stream",' */
	uint64_t counts[N_BUCKETS + 1]; /* per bucket; the last has no upper bound */
	uint64_t total; /* number of values */
	int64_t sum; /* of the values, microseconds */
};

static GPtrArray *hists;

struct hist *hist_get(const char *name, const char *labels)
{
	struct hist *h;

	if (!hists)
		hists = g_ptr_array_new();
	for (guint i = 0; i < hists->len; i++) {
		h = hists->pdata[i];
		if (g_str_equal(h->name, name) && g_str_equal(h->labels, labels))
			return h;
	}
	h = g_new0(struct hist, 1);
	h->name = g_strdup(name);
	h->labels = g_strdup(labels);
	g_ptr_array_add(hists, h);
	return h;
}

uint32_t hist_bucket(int64_t value, int64_t unit)
{
	uint32_t i = 0;

	while (i < N_BUCKETS && value > (unit << i))
		i++;
	return i;
}

void hist_add(struct hist *h, int64_t us)
{
	h->counts[hist_bucket(us, USEC_PER_MSEC)]++;
	h->total++;
	h->sum += us;
}

void hist_print(GString *out)
{
	for (guint i = 0; hists && i < hists->len; i++) {
		const struct hist *h = hists->pdata[i];
		uint64_t cumulative = 0;

		for (uint32_t b = 0; b < N_BUCKETS; b++) {
			cumulative += h->counts[b];
			g_string_append_printf(
				out, "turmerichinge_%s_bucket{%sle=\"%g\"} %" G_GUINT64_FORMAT "\n",
				h->name, h->labels, 0.001 * (double)(1U << b), cumulative);
		}
		g_string_append_printf(
			out, "turmerichinge_%s_bucket{%sle=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
			h->name, h->labels, h->total);
		/* Without the comma at the end of the labels. */
		g_string_append_printf(out, "turmerichinge_%s_sum{%.*s} %g\n", h->name,
				       (int)MAX((int)strlen(h->labels) - 1, 0), h->labels,
				       (double)h->sum / USEC_PER_SEC);
		g_string_append_printf(out, "turmerichinge_%s_count{%.*s} %" G_GUINT64_FORMAT "\n",
				       h->name, (int)MAX((int)strlen(h->labels) - 1, 0), h->labels,
				       h->total);
	}
}
