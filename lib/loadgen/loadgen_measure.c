#include "loadgen/loadgen.h"

#include <string.h>

/* Above this number, reservoir sampling (algorithm R) bounds the memory. */
#define MAX_SAMPLES 200000

static const char *const count_names[LOADGEN_N_COUNT] = {
#define X(name, text) text,
	LOADGEN_COUNT_TABLE(X)
#undef X
};

void loadgen_samples_init(struct loadgen_samples *s)
{
	memset(s, 0, sizeof(*s));
	s->values = g_array_new(FALSE, FALSE, sizeof(float));
}

void loadgen_samples_clear(struct loadgen_samples *s)
{
	if (s->values)
		g_array_unref(s->values);
	s->values = NULL;
}

void loadgen_samples_add(struct loadgen_samples *s, double value)
{
	float v = (float)value;
	uint64_t index;

	s->sorted = false;
	s->n++;
	if (s->values->len < MAX_SAMPLES) {
		g_array_append_val(s->values, v);
		return;
	}
	index = rng_below(&s->rng, s->n);
	if (index < MAX_SAMPLES)
		g_array_index(s->values, float, index) = v;
}

static gint compare_float(gconstpointer a, gconstpointer b)
{
	float x = *(const float *)a;
	float y = *(const float *)b;

	return (x > y) - (x < y);
}

double loadgen_samples_quantile(struct loadgen_samples *s, double q)
{
	guint index;

	if (s->values->len == 0)
		return 0;
	if (!s->sorted)
		g_array_sort(s->values, compare_float);
	s->sorted = true;
	index = (guint)(q * (double)s->values->len);
	return (double)g_array_index(s->values, float, MIN(index, s->values->len - 1));
}

void loadgen_tally_init(struct loadgen_tally *t, const char *name)
{
	memset(t, 0, sizeof(*t));
	t->name = name;
	loadgen_samples_init(&t->first_ms);
	loadgen_samples_init(&t->gap_ms);
	loadgen_samples_init(&t->total_ms);
}

void loadgen_tally_clear(struct loadgen_tally *t)
{
	loadgen_samples_clear(&t->first_ms);
	loadgen_samples_clear(&t->gap_ms);
	loadgen_samples_clear(&t->total_ms);
}

static double served_fraction(const struct loadgen_tally *t)
{
	return t->weight_offered > 0 ? t->weight_served / t->weight_offered : 0;
}

static void samples_text(GString *out, const char *name, struct loadgen_samples *s)
{
	if (s->n == 0)
		return;
	g_string_append_printf(
		out, "  %-10s p50 %.2f p95 %.2f p99 %.2f ms (%" G_GUINT64_FORMAT ")\n", name,
		loadgen_samples_quantile(s, 0.5), loadgen_samples_quantile(s, 0.95),
		loadgen_samples_quantile(s, 0.99), s->n);
}

void loadgen_tally_text(struct loadgen_tally *t, GString *out)
{
	g_string_append_printf(out, "%s: service %.4f\n ", t->name, served_fraction(t));
	for (int i = 0; i < LOADGEN_N_COUNT; i++) {
		if (t->counts[i] > 0)
			g_string_append_printf(out, " %s %" G_GUINT64_FORMAT, count_names[i],
					       t->counts[i]);
	}
	g_string_append_c(out, '\n');
	samples_text(out, "first", &t->first_ms);
	samples_text(out, "gap", &t->gap_ms);
	samples_text(out, "total", &t->total_ms);
}

static void samples_json(GString *out, const char *name, struct loadgen_samples *s)
{
	g_string_append_printf(out, ",\"%s\":{\"p50\":%.3f,\"p95\":%.3f,\"p99\":%.3f}", name,
			       loadgen_samples_quantile(s, 0.5), loadgen_samples_quantile(s, 0.95),
			       loadgen_samples_quantile(s, 0.99));
}

void loadgen_tally_json(struct loadgen_tally *t, GString *out)
{
	g_string_append_printf(out, "{\"name\":\"%s\",\"service\":%.6f", t->name,
			       served_fraction(t));
	for (int i = 0; i < LOADGEN_N_COUNT; i++)
		g_string_append_printf(out, ",\"%s\":%" G_GUINT64_FORMAT, count_names[i],
				       t->counts[i]);
	samples_json(out, "first_ms", &t->first_ms);
	samples_json(out, "gap_ms", &t->gap_ms);
	samples_json(out, "total_ms", &t->total_ms);
	g_string_append_c(out, '}');
}

bool loadgen_tally_failed(const struct loadgen_tally *t)
{
	const uint64_t *c = t->counts;

	return c[LOADGEN_N_LOST] + c[LOADGEN_N_DUPLICATED] + c[LOADGEN_N_MIXED_UP] +
		       c[LOADGEN_N_REJECTED] + c[LOADGEN_N_FALSE_NOT_RUN] + c[LOADGEN_N_FALSE_RAN] >
	       0;
}
