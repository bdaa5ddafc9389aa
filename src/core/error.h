/* error.h - error numbers and verdicts that are reported to callers. */
#ifndef CORE_ERROR_H
#define CORE_ERROR_H

#include <stdint.h>

/* What a caller can rely on about the effect of its request. */
enum verdict {
	VERDICT_NOT_RUN, /* it had no effect and will have none */
	VERDICT_MAY_HAVE_RUN, /* it was sent, but its outcome is unknown */
	VERDICT_RAN, /* it was executed and its outcome is confirmed */
};

/*
 * X(name, number, HTTP status, slug, title). Every number is negative and is
 * never reused for another error.
 */
#define ERROR_TABLE(X)                                                        \
	X(BAD_HTTP, -1001, 400, "bad-http", "malformed HTTP request")         \
	X(BAD_JSON, -1002, 400, "bad-json", "malformed JSON body")            \
	X(BAD_FIELD, -1003, 400, "bad-field", "missing or invalid field")     \
	X(NO_ROUTE, -1004, 404, "no-route", "no such path")                   \
	X(BODY_TOO_LARGE, -1005, 413, "body-too-large", "body too large")     \
	X(HEADER_TOO_LARGE, -1006, 431, "header-too-large",                   \
	  "header too large")                                                 \
	X(STATEMENT_TOO_LARGE, -1007, 413, "statement-too-large",             \
	  "statement or parameters too large")                                \
	X(RESULT_TOO_LARGE, -1008, 507, "result-too-large",                   \
	  "result exceeds the size limit")                                    \
	X(NO_KEY, -1101, 401, "no-key", "no key given")                       \
	X(BAD_KEY, -1102, 401, "bad-key", "unknown or withdrawn key")         \
	X(KEY_UNCONFIRMED, -1103, 503, "key-unconfirmed",                     \
	  "this instance cannot confirm that the key is still valid")         \
	X(UNKNOWN_PROFILE, -1104, 404, "unknown-profile", "unknown profile")  \
	X(UNKNOWN_GROUP, -1105, 404, "unknown-group",                         \
	  "unknown database group")                                           \
	X(BAD_TOKEN, -1106, 400, "bad-token",                                 \
	  "session token is forged or of another workspace")                  \
	X(UNKNOWN_TRANSACTION, -1107, 404, "unknown-transaction",             \
	  "unknown or ended transaction")                                     \
	X(TRANSACTION_BUSY, -1108, 409, "transaction-busy",                   \
	  "the transaction has a statement in progress")                      \
	X(NO_CONFIG, -1109, 503, "no-config",                                 \
	  "this instance has no configuration yet")                           \
	X(RATE_LIMITED, -1201, 429, "rate-limited",                           \
	  "the workspace is over its rate")                                   \
	X(OVERLOADED, -1202, 503, "overloaded",                               \
	  "the request cannot be served before its deadline")                 \
	X(NO_ENDPOINT, -1203, 503, "no-endpoint",                             \
	  "no endpoint can serve the request")                                \
	X(NO_PRIMARY, -1204, 503, "no-primary",                               \
	  "the database group has no primary now")                            \
	X(TOO_STALE, -1205, 503, "too-stale",                                 \
	  "no endpoint is fresh enough for the profile or session")           \
	X(SHUTTING_DOWN, -1206, 503, "shutting-down",                         \
	  "this instance is shutting down")                                   \
	X(DEADLINE, -1301, 504, "deadline", "the deadline has passed")        \
	X(CONNECTION_LOST, -1302, 502, "connection-lost",                     \
	  "the endpoint connection was lost")                                 \
	X(NOT_CONFIRMED, -1303, 504, "not-confirmed",                         \
	  "the write is not confirmed by enough endpoints")                   \
	X(PRIMARY_REPLACED, -1304, 502, "primary-replaced",                   \
	  "the primary was replaced during the request")                      \
	X(SQL, -1401, 422, "sql", "the endpoint rejected the statement")      \
	X(REQUEST_ID_REUSED, -1402, 409, "request-id-reused",                 \
	  "the request id belongs to a different request")                    \
	X(TRANSACTION_ABORTED, -1403, 409, "transaction-aborted",             \
	  "the transaction was rolled back")                                  \
	X(CONFLICT, -1501, 409, "conflict",                                   \
	  "the configuration was changed by someone else")                    \
	X(PLATFORM, -1502, 503, "platform",                                   \
	  "the key-value service cannot be reached")                          \
	X(PLATFORM_UNKNOWN, -1503, 504, "platform-unknown",                   \
	  "the outcome of the configuration change is not known")             \
	X(NOT_IN_FORCE, -1504, 504, "not-in-force",                           \
	  "the change is stored but not yet in force everywhere")             \
	X(BAD_OPERATOR, -1505, 401, "bad-operator", "wrong operator key")     \
	X(NOT_FOUND, -1506, 404, "not-found", "no such entry")                \
	X(NOT_YET, -1507, 503, "not-yet",                                     \
	  "this instance has not been in contact with the key-value service " \
	  "for long enough to accept changes")                                \
	X(INTERNAL, -1901, 500, "internal", "internal error")

#define ERROR_ENUM(name, number, status, slug, title) ERR_##name = (number),
enum error_number { ERR_NONE = 0, ERROR_TABLE(ERROR_ENUM) };
#undef ERROR_ENUM

/* A row of the error table. */
struct error_info {
	int32_t number;
	int32_t http_status;
	const char *slug; /* stable name used in problem documents */
	const char *title; /* one line of readable text */
};

/*
 * Returns the static row of an error number, or that of ERR_INTERNAL if the
 * number is unknown.
 */
const struct error_info *error_info(int32_t number);

/* Returns "not_run", "may_have_run" or "ran". */
const char *verdict_name(enum verdict v);

#endif
