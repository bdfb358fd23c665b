/**
 * DOC: revision
 *
 * Order of the changes of a store that may return from an older copy and then gives out revisions
 * again. A revision here is one number: the era of the store, which rises with each return, then
 * the store's own revision, then a step: 0 if it may be from the copy, 1 if it was given out in
 * that era, and more for changes that the store has no revision for. So each revision of an era is
 * newer than all of earlier ones.
 */
#ifndef BASE_REVISION_H
#define BASE_REVISION_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define REVISION_STEP_BITS   4U
#define REVISION_NUMBER_BITS 44U
#define REVISION_STEP_MAX    ((1U << REVISION_STEP_BITS) - 1U)
#define REVISION_NUMBER_MAX  ((UINT64_C(1) << REVISION_NUMBER_BITS) - 1U)
#define REVISION_ERA_MAX     UINT16_MAX
#define REVISION_TEXT_MAX    40U /* bytes of revision_text() */

/** revision_make() - revision @number of the store in @era; both within their limits */
static inline uint64_t revision_make(uint32_t era, uint64_t number)
{
	return (uint64_t)era << (REVISION_NUMBER_BITS + REVISION_STEP_BITS) |
	       number << REVISION_STEP_BITS;
}

static inline uint32_t revision_era(uint64_t revision)
{
	return (uint32_t)(revision >> (REVISION_NUMBER_BITS + REVISION_STEP_BITS));
}

static inline uint64_t revision_number(uint64_t revision)
{
	return revision >> REVISION_STEP_BITS & REVISION_NUMBER_MAX;
}

/** revision_confirm() - @revision as one that was given out in its era */
static inline uint64_t revision_confirm(uint64_t revision)
{
	return revision | 1U;
}

/** revision_is_confirmed() - whether @revision was given out in its era, not from the copy */
static inline bool revision_is_confirmed(uint64_t revision)
{
	return (revision & REVISION_STEP_MAX) != 0;
}

/**
 * revision_next_step() - a revision after @revision and before the next one of the store; @revision
 * itself if it has no further step
 */
static inline uint64_t revision_next_step(uint64_t revision)
{
	return (revision & REVISION_STEP_MAX) == REVISION_STEP_MAX ? revision : revision + 1;
}

/** revision_text() - "ERA.NUMBER", with "+STEP" if its step is over 1; returns @buf */
static inline const char *revision_text(char buf[static REVISION_TEXT_MAX], uint64_t revision)
{
	unsigned int step = (unsigned int)(revision & REVISION_STEP_MAX);

	if (step > 1)
		g_snprintf(buf, REVISION_TEXT_MAX, "%u.%" G_GUINT64_FORMAT "+%u",
			   revision_era(revision), revision_number(revision), step);
	else
		g_snprintf(buf, REVISION_TEXT_MAX, "%u.%" G_GUINT64_FORMAT, revision_era(revision),
			   revision_number(revision));
	return buf;
}

#endif
