/*
 * answer_code.h - results of statements, and whether the statement may have
 * run.
 */
#ifndef PROXY_ANSWER_CODE_H
#define PROXY_ANSWER_CODE_H

#include "core/error.h"

#include <stdbool.h>

/* X(name, slug, verdict) */
#define ANSWER_CODE_TABLE(X)                                 \
	X(NONE, "ok", VERDICT_RAN)                           \
	X(OVERLOADED, "overloaded", VERDICT_NOT_RUN)         \
	X(ABORTED, "aborted", VERDICT_NOT_RUN)               \
	X(BEHIND, "behind", VERDICT_NOT_RUN)                 \
	X(NOT_PRIMARY, "not-primary", VERDICT_NOT_RUN)       \
	X(WRONG_ENDPOINT, "wrong-endpoint", VERDICT_NOT_RUN) \
	X(LIMIT, "limit", VERDICT_NOT_RUN)                   \
	X(NO_STATEMENT, "no-statement", VERDICT_NOT_RUN)     \
	X(BAD_KEY, "bad-key", VERDICT_NOT_RUN)               \
	X(NO_DATABASE, "no-database", VERDICT_NOT_RUN)       \
	X(TOO_LARGE, "too-large", VERDICT_NOT_RUN)           \
	X(MALFORMED, "malformed", VERDICT_NOT_RUN)           \
	X(FAILED, "failed", VERDICT_RAN)                     \
	X(TIMEOUT, "timeout", VERDICT_MAY_HAVE_RUN)          \
	X(IN_DOUBT, "in-doubt", VERDICT_MAY_HAVE_RUN)

#define ANSWER_CODE_ENUM(name, slug, verdict) ANSWER_##name,
enum answer_code { ANSWER_CODE_TABLE(ANSWER_CODE_ENUM) ANSWER_CODE_COUNT };
#undef ANSWER_CODE_ENUM

/* Returns the stable name of the code for logs and metrics. */
const char *answer_code_name(enum answer_code code);

/*
 * Returns whether a statement that an endpoint answered with this code has run.
 */
enum verdict answer_code_verdict(enum answer_code code);

#endif
