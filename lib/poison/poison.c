#include "poison/poison.h"

#include <glib.h>

struct poison {
	struct poison_params params;
};

struct poison *poison_new(const struct poison_params *params)
{
	struct poison *p = g_new0(struct poison, 1);

	p->params = *params;
	return p;
}

void poison_free(struct poison *p)
{
	g_free(p);
}

enum poison_state poison_check(struct poison *p, uint64_t fingerprint, int64_t now)
{
	return POISON_CLEAR;
}

bool poison_may_send(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now)
{
	return true;
}

void poison_sent(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now)
{
}

void poison_ended(struct poison *p, uint64_t fingerprint, uint64_t upstream, int64_t now)
{
}

void poison_crashed(struct poison *p, uint64_t upstream, uint64_t epoch, int64_t now)
{
}

bool poison_merge(struct poison *p, const struct poison_mark *m, int64_t now)
{
	return false;
}

uint32_t poison_marks(struct poison *p, struct poison_mark *out, uint32_t max, int64_t now)
{
	return 0;
}
