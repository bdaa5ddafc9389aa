/* log_event.h - table of log events; documented in docs/EVENTS.md. */
#ifndef CORE_LOG_EVENT_H
#define CORE_LOG_EVENT_H

#include <stdbool.h>
#include <stdint.h>

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARNING, LOG_ERROR };

/* X(name, number, level, text) */
#define LOG_EVENT_TABLE(X)                                                     \
	X(STARTED, 100, LOG_INFO, "instance started")                          \
	X(STOPPING, 101, LOG_INFO, "graceful shutdown started")                \
	X(STOPPED, 102, LOG_INFO, "shutdown complete")                         \
	X(LISTENING, 103, LOG_INFO, "listening for connections")               \
	X(INTERNAL_ERROR, 199, LOG_ERROR, "internal error")                    \
	X(ROUTED, 200, LOG_INFO, "request routed")                             \
	X(REFUSED, 201, LOG_INFO, "request refused")                           \
	X(RETRIED, 202, LOG_INFO, "request scheduled for retry")               \
	X(ANSWERED, 203, LOG_DEBUG, "request answered")                        \
	X(QUEUED, 204, LOG_DEBUG, "request waiting for a primary")             \
	X(TRANSACTION_ENDED, 205, LOG_INFO, "transaction ended")               \
	X(STALE_RESULT, 206, LOG_INFO, "read result too stale, discarded")     \
	X(HELD, 207, LOG_DEBUG, "request waiting for tokens")                  \
	X(TOKENS_CAME, 208, LOG_DEBUG, "request obtained tokens")              \
	X(CONN_OPENED, 300, LOG_DEBUG, "endpoint connection opened")           \
	X(CONN_LOST, 301, LOG_INFO, "endpoint connection lost")                \
	X(CONN_SILENT, 302, LOG_WARNING, "endpoint connection timed out")      \
	X(ENDPOINT_DOWN, 303, LOG_WARNING, "endpoint not responding")          \
	X(ENDPOINT_UP, 304, LOG_INFO, "endpoint responding")                   \
	X(ENDPOINT_LEAVING, 305, LOG_INFO, "endpoint taken out of service")    \
	X(CROSSED_RESULT, 306, LOG_WARNING, "result matches no exchange")      \
	X(ENDPOINT_RELEASED, 307, LOG_INFO,                                    \
	  "endpoint released from its replica set")                            \
	X(REPLICA_SET_WRITTEN, 308, LOG_INFO, "replica set written")           \
	X(PRIMARY_SUSPECTED, 400, LOG_WARNING, "primary suspected down")       \
	X(PRIMARY_CHANGED, 401, LOG_INFO, "primary changed")                   \
	X(PROMOTION_STARTED, 402, LOG_INFO, "promotion started")               \
	X(PROMOTION_STEP, 403, LOG_INFO, "promotion reached next step")        \
	X(PROMOTION_DONE, 404, LOG_INFO, "promotion completed")                \
	X(PROMOTION_FAILED, 405, LOG_WARNING, "promotion abandoned")           \
	X(PROMOTION_ENDPOINT, 406, LOG_INFO, "endpoint counted by promotion")  \
	X(PROMOTION_COMMAND, 407, LOG_INFO, "promotion commands endpoint")     \
	X(PROMOTION_WAITING, 408, LOG_INFO, "promotion waiting")               \
	X(CONFIG_APPLIED, 500, LOG_INFO, "configuration record applied")       \
	X(CONFIG_STALE, 501, LOG_WARNING, "outdated record ignored")           \
	X(KEYS_UNCONFIRMED, 502, LOG_WARNING, "API keys cannot be confirmed")  \
	X(KEYS_CONFIRMED, 503, LOG_INFO, "API keys confirmed again")           \
	X(KEY_WITHDRAWN, 504, LOG_INFO,                                        \
	  "API key withdrawn, its requests ended")                             \
	X(CONFIG_CHANGED, 505, LOG_INFO,                                       \
	  "configuration changed "                                             \
	  "by operator")                                                       \
	X(CONFIG_UNCONFIRMED, 506, LOG_WARNING,                                \
	  "configuration cannot be confirmed")                                 \
	X(CONFIG_CONFIRMED, 507, LOG_INFO, "configuration confirmed again")    \
	X(CONFIG_ENTRY_LEFT_OUT, 508, LOG_WARNING,                             \
	  "entries of the configuration left out")                             \
	X(PLATFORM_LOST, 510, LOG_WARNING, "key-value service unreachable")    \
	X(PLATFORM_BACK, 511, LOG_INFO, "key-value service responding")        \
	X(STORE_CALL_FAILED, 512, LOG_INFO, "call to the store failed")        \
	X(STORE_WATCH_ABANDONED, 513, LOG_INFO,                                \
	  "watch of the store abandoned")                                      \
	X(STORE_RESTORED, 514, LOG_WARNING,                                    \
	  "store came back from an older copy")                                \
	X(STEER_CHANGED, 520, LOG_INFO, "operator's request changed")          \
	X(STEER_MALFORMED, 521, LOG_WARNING, "operator's request malformed")   \
	X(SHARE_GRANTED, 600, LOG_INFO, "rate limit share granted")            \
	X(SHARE_LAPSED, 601, LOG_WARNING, "rate limit share expired")          \
	X(LOAN_GIVEN, 602, LOG_DEBUG, "rate limit lent to a peer")             \
	X(LOAN_TAKEN, 603, LOG_DEBUG, "rate limit borrowed from a peer")       \
	X(STATEMENT_ROUTED, 210, LOG_DEBUG, "statement sent")                  \
	X(STATEMENT_AGAIN, 211, LOG_INFO, "statement retried")                 \
	X(STATEMENT_FAILED, 212, LOG_INFO, "statement failed")                 \
	X(STATEMENT_SLOW, 213, LOG_INFO, "slow statement")                     \
	X(SESSION_REFUSED, 214, LOG_INFO, "session rejected")                  \
	X(SESSION_UNCONFIRMED, 215, LOG_INFO,                                  \
	  "session accepted by an unconfirmed configuration")                  \
	X(STATEMENT_CROWDED_OUT, 216, LOG_DEBUG, "statement found no room")    \
	X(CONN_OUT_OF_STEP, 310, LOG_WARNING,                                  \
	  "unexpected response from endpoint")                                 \
	X(CONN_DENIED, 311, LOG_INFO, "endpoint rejected a connection")        \
	X(ENDPOINT_STEP, 312, LOG_INFO, "endpoint gets more or less work")     \
	X(ANSWER_REPEATED, 314, LOG_INFO, "copy of an earlier answer ignored") \
	X(READ_HEDGED, 313, LOG_INFO, "late statement sent elsewhere")         \
	X(READY_CHANGED, 104, LOG_INFO, "readiness changed")                   \
	X(SETTINGS_RELOADED, 105, LOG_INFO, "settings reloaded")               \
	X(SETTINGS_REFUSED, 107, LOG_ERROR, "changed settings rejected")       \
	X(LINES_LEFT_OUT, 106, LOG_WARNING, "log lines dropped")               \
	X(LIMIT_REACHED, 610, LOG_INFO,                                        \
	  "workspace reached its local rate limit")                            \
	X(LIMIT_HOME_SILENT, 611, LOG_WARNING,                                 \
	  "home of a rate limit not responding")                               \
	X(LIMIT_RECORD_WRITTEN, 612, LOG_INFO, "record of limits written")     \
	X(LIMIT_RECORD_UNREADABLE, 613, LOG_WARNING,                           \
	  "record of limits not readable")                                     \
	X(DUTY_TAKEN, 410, LOG_INFO, "singleton duty acquired")                \
	X(DUTY_LOST, 411, LOG_WARNING, "singleton duty lost")                  \
	X(HOME_ADDED, 320, LOG_INFO, "home of a service added")                \
	X(HOME_REMOVED, 321, LOG_INFO, "home of a service removed")            \
	X(HOME_LEAVING, 322, LOG_INFO, "home of a service is stopping")        \
	X(HOME_REFUSED, 323, LOG_INFO, "statement not accepted from a peer")   \
	X(HOME_LOAD_BAD, 324, LOG_WARNING, "invalid load of a home ignored")   \
	X(HOME_STALLED, 325, LOG_INFO, "home of a service says nothing")       \
	X(HOME_RESUMED, 326, LOG_INFO, "home of a service responding")         \
	X(HANDOVER_SENT, 330, LOG_INFO, "home handed over its connections")    \
	X(HANDOVER_TAKEN, 331, LOG_INFO, "connections taken over from a home") \
	X(HANDOVER_DROPPED, 332, LOG_INFO, "hand-over of a home dropped")      \
	X(PEER_UP, 700, LOG_INFO, "peer responding")                           \
	X(PEER_DOWN, 701, LOG_WARNING, "peer not responding")                  \
	X(PEER_MESSAGE_BAD, 702, LOG_WARNING, "invalid peer message dropped")

#define LOG_EVENT_ENUM(name, number, level, text) LOG_##name = (number),
enum log_event { LOG_EVENT_TABLE(LOG_EVENT_ENUM) };
#undef LOG_EVENT_ENUM

struct log_event_info {
	int32_t number;
	enum log_level level;
	const char *name; /* without the LOG_ prefix */
	const char *text; /* one line of readable text */
};

/* Returns the static table of log events and stores its length in *count. */
const struct log_event_info *log_event_list(uint32_t *count);

/* Returns true for events that the log rate limit drops last. */
bool log_event_has_priority(int32_t number);

/* Returns the row of an event number, or NULL. */
const struct log_event_info *log_event_info(int32_t number);

#endif
