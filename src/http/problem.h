/* problem.h - errors as problem documents (RFC 9457). */
#ifndef HTTP_PROBLEM_H
#define HTTP_PROBLEM_H

#include "core/error.h"

#include <jansson.h>
#include <stdint.h>

#define PROBLEM_CONTENT_TYPE "application/problem+json"

struct problem {
	int32_t error;
	enum verdict verdict;
	const char *detail; /* NULL: nothing to add to the title */
	int64_t retry_after_us; /* 0: no hint */
};

/*
 * Returns the document's text, to be freed with free(). Members of `extra`
 * (may be NULL, borrowed) are added where the document has no member of
 * that name. Extra and detail are left out if they are not valid UTF-8.
 */
char *problem_text(const struct problem *p, json_t *extra);

/* Returns a duration in the given unit, rounded up. */
int64_t problem_round_up(int64_t duration_us, int64_t unit_us);

#endif
