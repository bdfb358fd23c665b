#include "base/bucket.h"

#include <glib.h>

#include "base/base.h"

double bucket_refill(struct bucket *b, int64_t now)
{
	if (b->refilled_at)
		b->left += b->rate * (double)(now - b->refilled_at) / USEC_PER_SEC;
	b->left = MIN(b->left, b->burst);
	b->refilled_at = now;
	return b->left;
}
