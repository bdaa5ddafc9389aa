/* log_event.h - the numbers of log events; catalogue in docs/EVENTS.md. */
#ifndef CORE_LOG_EVENT_H
#define CORE_LOG_EVENT_H

#include <stdbool.h>
#include <stdint.h>

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARNING, LOG_ERROR };

/* X(name, number, level, text) */
#define LOG_EVENT_TABLE(X)                                                   \
	X(STARTED, 100, LOG_INFO, "instance started")                        \
	X(STOPPING, 101, LOG_INFO, "shutdown began")                         \
	X(STOPPED, 102, LOG_INFO, "shutdown is complete")                    \
	X(LISTENING, 103, LOG_INFO, "listener is open")                      \
	X(INTERNAL_ERROR, 199, LOG_ERROR, "internal error")                  \
	X(ROUTED, 200, LOG_INFO, "request routed")                           \
	X(REFUSED, 201, LOG_INFO, "request refused")                         \
	X(RETRIED, 202, LOG_INFO, "request is sent again")                   \
	X(ANSWERED, 203, LOG_DEBUG, "request answered")                      \
	X(QUEUED, 204, LOG_DEBUG, "request waits for a connection")          \
	X(TRANSACTION_ENDED, 205, LOG_INFO, "transaction ended")             \
	X(STALE_RESULT, 206, LOG_INFO, "result was too old and discarded")   \
	X(HELD, 207, LOG_DEBUG, "request waits for tokens")                  \
	X(TOKENS_CAME, 208, LOG_DEBUG, "waiting request got its tokens")     \
	X(CONN_OPENED, 300, LOG_DEBUG, "endpoint connection opened")         \
	X(CONN_LOST, 301, LOG_INFO, "endpoint connection lost")              \
	X(CONN_SILENT, 302, LOG_WARNING, "endpoint connection is silent")    \
	X(ENDPOINT_DOWN, 303, LOG_WARNING, "endpoint does not answer")       \
	X(ENDPOINT_UP, 304, LOG_INFO, "endpoint answers")                    \
	X(ENDPOINT_LEAVING, 305, LOG_INFO, "endpoint is leaving")            \
	X(CROSSED_RESULT, 306, LOG_WARNING, "result has no owner")           \
	X(PRIMARY_SUSPECTED, 400, LOG_WARNING, "primary is suspected")       \
	X(PRIMARY_CHANGED, 401, LOG_INFO, "primary changed")                 \
	X(PROMOTION_STARTED, 402, LOG_INFO, "promotion started")             \
	X(PROMOTION_STEP, 403, LOG_INFO, "promotion advanced")               \
	X(PROMOTION_DONE, 404, LOG_INFO, "promotion is complete")            \
	X(PROMOTION_FAILED, 405, LOG_WARNING, "promotion was given up")      \
	X(CONFIG_APPLIED, 500, LOG_INFO, "configuration record applied")     \
	X(CONFIG_STALE, 501, LOG_WARNING, "older record was not applied")    \
	X(KEYS_UNCONFIRMED, 502, LOG_WARNING, "keys cannot be confirmed")    \
	X(KEYS_CONFIRMED, 503, LOG_INFO, "keys are confirmed again")         \
	X(KEY_WITHDRAWN, 504, LOG_INFO, "withdrawn key ended its requests")  \
	X(CONFIG_CHANGED, 505, LOG_INFO,                                     \
	  "operator changed the "                                            \
	  "configuration")                                                   \
	X(PLATFORM_LOST, 510, LOG_WARNING, "key-value service is lost")      \
	X(PLATFORM_BACK, 511, LOG_INFO, "key-value service answers")         \
	X(SHARE_GRANTED, 600, LOG_INFO, "share was granted")                 \
	X(SHARE_LAPSED, 601, LOG_WARNING, "share lapsed")                    \
	X(LOAN_GIVEN, 602, LOG_DEBUG, "part of a share was lent")            \
	X(LOAN_TAKEN, 603, LOG_DEBUG, "part of a share was borrowed")        \
	X(STATEMENT_ROUTED, 210, LOG_DEBUG, "statement sent")                \
	X(STATEMENT_AGAIN, 211, LOG_INFO, "statement is sent again")         \
	X(STATEMENT_FAILED, 212, LOG_INFO, "statement answered by an error") \
	X(STATEMENT_SLOW, 213, LOG_INFO, "statement answered late")          \
	X(SESSION_REFUSED, 214, LOG_INFO, "session refused")                 \
	X(CONN_OUT_OF_STEP, 310, LOG_WARNING,                                \
	  "endpoint's answer does not fit the question")                     \
	X(CONN_DENIED, 311, LOG_INFO, "endpoint denied a connection")        \
	X(READY_CHANGED, 104, LOG_INFO, "readiness changed")                 \
	X(SETTINGS_RELOADED, 105, LOG_INFO, "settings read again")           \
	X(SETTINGS_REFUSED, 107, LOG_ERROR, "changed settings not applied")  \
	X(LINES_LEFT_OUT, 106, LOG_WARNING, "log lines were left out")       \
	X(LIMIT_REACHED, 610, LOG_INFO, "workspace reached its limit here")  \
	X(LIMIT_HOME_SILENT, 611, LOG_WARNING, "home of a limit is silent")  \
	X(DUTY_TAKEN, 410, LOG_INFO, "singleton duty taken")                 \
	X(DUTY_LOST, 411, LOG_WARNING, "singleton duty lost")                \
	X(PEER_UP, 700, LOG_INFO, "peer answers")                            \
	X(PEER_DOWN, 701, LOG_WARNING, "peer does not answer")               \
	X(PEER_MESSAGE_BAD, 702, LOG_WARNING, "peer message was dropped")

#define LOG_EVENT_ENUM(name, number, level, text) LOG_##name = (number),
enum log_event { LOG_EVENT_TABLE(LOG_EVENT_ENUM) };
#undef LOG_EVENT_ENUM

struct log_event_info {
	int32_t number;
	enum log_level level;
	const char *name;
	const char *text;
};

/* Returns all rows; *count is set to their number. */
const struct log_event_info *log_event_rows(uint32_t *count);

/* Returns true for lines that are kept first when there are too many. */
bool log_event_is_kept_first(int32_t number);

/* Returns the row of a number, or NULL. */
const struct log_event_info *log_event_info(int32_t number);

#endif
