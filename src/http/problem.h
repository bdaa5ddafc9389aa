/* problem.h - formats errors as problem documents (RFC 9457). */
#ifndef HTTP_PROBLEM_H
#define HTTP_PROBLEM_H

#include "core/error.h"

#include <jansson.h>
#include <stdint.h>

#define PROBLEM_CONTENT_TYPE "application/problem+json"

struct problem {
	int32_t error;
	enum verdict verdict;
	const char *detail; /* explains this occurrence; NULL if none */
	int64_t retry_after_us; /* 0: no hint */
};

/*
 * Returns the document's JSON text, to be freed with free(). Members of
 * `extra` (may be NULL, borrowed) are added unless the document has a member
 * of the same name. If `extra` or the detail is not valid UTF-8, both are
 * omitted.
 */
char *format_problem(const struct problem *p, json_t *extra);

/* Converts a duration to units of `unit_us` microseconds, rounded up. */
int64_t round_up_to_unit(int64_t duration_us, int64_t unit_us);

#endif
