#include "loadgen/loadgen.h"

#include <string.h>

/* Profiles, windows, weights and API keys match the settings in examples/. */
static const struct loadgen_mix mixes[] = {
	{
		.name = "brazos",
		.model = "model-yard",
		.service = "shop-desk",
		.kinds = {
			{ "question", RANK_URGENT, 0.35, false, false, false, 0.5, 24, 40, 200,
			  5 * USEC_PER_SEC, 30 * USEC_PER_SEC, 3 },
			{ "note", RANK_NORMAL, 0.25, false, false, false, 1, 48, 60, 200,
			  10 * USEC_PER_SEC, 60 * USEC_PER_SEC, 2 },
			{ "appraisal", RANK_BATCH, 0.2, false, false, false, 0, 128, 200, 400,
			  120 * USEC_PER_SEC, 600 * USEC_PER_SEC, 1 },
			{ "booking", RANK_URGENT, 0.1, true, true, false, 0, 0, 0, 0,
			  5 * USEC_PER_SEC, 30 * USEC_PER_SEC, 5 },
			{ "lookup", RANK_NORMAL, 0.1, true, false, false, 0, 0, 0, 0,
			  5 * USEC_PER_SEC, 30 * USEC_PER_SEC, 1 },
		},
		.n_kinds = 5,
		.accounts = {
			{ "ledger", "example-brazos-ledger", 30 },
			{ "field-office", "example-brazos-field-office", 22 },
			{ "surveys", "example-brazos-surveys", 16 },
			{ "planning", "example-brazos-planning", 9 },
			{ "audit", "example-brazos-audit", 7 },
			{ "rail-desk", "example-brazos-rail-desk", 5 },
			{ "harbor", "example-brazos-harbor", 4 },
			{ "portal", "example-brazos-portal", 3 },
			{ "partner", "example-brazos-partner", 2 },
			{ "training", "example-brazos-training", 2 },
		},
		.n_accounts = 10,
	},
	{
		.name = "kaardikoda",
		.model = "turmeric-pool",
		.service = "order-desk",
		.kinds = {
			{ "preview", RANK_URGENT, 0.35, false, false, false, 1, 32, 40, 300,
			  3 * USEC_PER_SEC, 30 * USEC_PER_SEC, 2 },
			{ "edit", RANK_NORMAL, 0.25, false, false, false, 0.3, 48, 80, 300,
			  10 * USEC_PER_SEC, 60 * USEC_PER_SEC, 1 },
			{ "rewrite", RANK_BATCH, 0.2, false, false, true, 0.5, 256, 300, 300,
			  300 * USEC_PER_SEC, 0, 4 },
			{ "print-order", RANK_NORMAL, 0.1, true, true, false, 0, 0, 0, 0,
			  10 * USEC_PER_SEC, 30 * USEC_PER_SEC, 5 },
			{ "order-lookup", RANK_NORMAL, 0.1, true, false, false, 0, 0, 0, 0,
			  5 * USEC_PER_SEC, 30 * USEC_PER_SEC, 1 },
		},
		.n_kinds = 5,
		.accounts = {
			{ "atlas", "example-kaardikoda-atlas", 40 },
			{ "linnaplaan", "example-kaardikoda-linnaplaan", 20 },
			{ "matkarajad", "example-kaardikoda-matkarajad", 12 },
			{ "koolikaart", "example-kaardikoda-koolikaart", 8 },
			{ "sadam", "example-kaardikoda-sadam", 6 },
			{ "mets", "example-kaardikoda-mets", 4 },
			{ "teed", "example-kaardikoda-teed", 4 },
			{ "veekogud", "example-kaardikoda-veekogud", 2 },
			{ "postiljon", "example-kaardikoda-postiljon", 2 },
			{ "arhiiv", "example-kaardikoda-arhiiv", 2 },
		},
		.n_accounts = 10,
	},
};

int loadgen_mix_get(const char *name, struct loadgen_mix *m)
{
	for (guint i = 0; i < G_N_ELEMENTS(mixes); i++) {
		if (strcmp(mixes[i].name, name) == 0) {
			*m = mixes[i];
			return 0;
		}
	}
	return -ENOENT;
}

int loadgen_mix_scale(struct loadgen_mix *m, const char *text)
{
	const char *eq = strchr(text, '=');
	g_autofree char *name = eq ? g_strndup(text, (gsize)(eq - text)) : NULL;
	char *end;
	double factor = eq ? g_ascii_strtod(eq + 1, &end) : 0;
	int rc = -EINVAL;

	if (!eq || end == eq + 1 || *end != '\0' || !(factor >= 0 && factor <= 1e6))
		return -EINVAL;
	for (uint32_t i = 0; i < m->n_kinds; i++) {
		if (strcmp(m->kinds[i].profile, name) == 0) {
			m->kinds[i].share *= factor;
			rc = 0;
		}
	}
	for (uint32_t i = 0; i < m->n_accounts; i++) {
		if (strcmp(m->accounts[i].name, name) == 0) {
			m->accounts[i].share *= factor;
			rc = 0;
		}
	}
	return rc;
}
