#include "base/err.h"

#include <errno.h>
#include <glib.h>

struct refusal_info {
	int status;
	const char *code;
	const char *text;
};

static const struct refusal_info refusals[REFUSAL_COUNT] = {
#define X(name, status, code, text) [REFUSAL_##name] = { status, code, text },
	REFUSAL_TABLE(X)
#undef X
};

static const char *const rank_names[RANK_COUNT] = { "urgent", "normal", "batch" };

const char *err_verdict_name(enum verdict v)
{
	switch (v) {
	case VERDICT_NOT_RUN:
		return "not-run";
	case VERDICT_RAN:
		return "ran";
	case VERDICT_MAY_HAVE_RUN:
		break;
	}
	return "may-have-run";
}

enum verdict err_verdict_max(enum verdict a, enum verdict b)
{
	return a > b ? a : b;
}

int err_refusal_status(enum refusal r)
{
	return refusals[r].status;
}

const char *err_refusal_code(enum refusal r)
{
	return refusals[r].code;
}

const char *err_refusal_text(enum refusal r)
{
	return refusals[r].text;
}

const char *err_rank_name(enum rank rank)
{
	return rank_names[rank];
}

int err_rank_parse(const char *name, enum rank *rank)
{
	for (int i = 0; i < RANK_COUNT; i++) {
		if (g_strcmp0(name, rank_names[i]) == 0) {
			*rank = i;
			return 0;
		}
	}
	return -EINVAL;
}
