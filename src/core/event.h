/*
 * event.h - what the host tells the core.
 *
 * The host passes every event with the time of its monotonic clock. The
 * core makes no system call; all its input arrives here.
 */
#ifndef CORE_EVENT_H
#define CORE_EVENT_H

#include "core/error.h"
#include "core/peer_message.h"
#include "core/position.h"
#include "core/record.h"
#include "core/sizes.h"

#include <stdbool.h>
#include <stdint.h>

enum request_kind {
	REQUEST_READ, /* one statement that changes nothing */
	REQUEST_WRITE, /* one statement in a transaction of its own */
	REQUEST_BEGIN, /* opens a transaction */
	REQUEST_STATEMENT, /* one statement of an open transaction */
	REQUEST_COMMIT,
	REQUEST_ROLLBACK,
};

/* A caller's request. Statement and parameters stay with the host. */
struct request_opts {
	uint64_t caller_id; /* host's handle; returned with the answer */
	enum request_kind kind;
	bool has_key;
	uint8_t key_digest[DIGEST_BYTES];
	char profile[NAME_BYTES];
	char group[NAME_BYTES];
	uint64_t transaction_id; /* for kinds of an open transaction */
	bool has_request_id; /* the host keeps the id itself */
	bool repeatable; /* false: at most once, whatever the profile says */
	struct position session; /* from the session token; zero if none */
	int64_t deadline_us; /* host's monotonic clock */
};

/* How an exchange on an endpoint connection ended. */
enum result_status {
	RESULT_OK,
	RESULT_SQL_ERROR, /* the endpoint rejected it; nothing was changed */
	RESULT_DUPLICATE, /* the request id is recorded already */
	RESULT_ID_REUSED, /* recorded for a request with another content */
	RESULT_NOT_FOUND, /* lookup: the request id is not recorded */
	RESULT_NOT_PRIMARY, /* refused before any effect */
	RESULT_TOO_LARGE, /* it ran; the result exceeds the limit */
};

enum endpoint_role {
	ROLE_REPLICA,
	ROLE_PRIMARY,
};

/* What an endpoint says about itself. */
struct endpoint_status {
	uint64_t current_term; /* highest term that it was told of */
	struct position position; /* last log entry */
	enum endpoint_role role;
};

/* The end of an exchange on a connection. */
struct exchange_result {
	uint32_t conn_id;
	uint64_t exchange; /* as in the action that started it */
	enum result_status status;
	/* State of the endpoint read before and after the statement. */
	struct endpoint_status before;
	struct endpoint_status after;
};

enum platform_outcome {
	PLATFORM_APPLIED, /* the compare held, the change took effect */
	PLATFORM_REFUSED, /* the compare failed, nothing changed */
	PLATFORM_UNKNOWN, /* no answer; it may have taken effect */
};

/* The end of a platform operation that the core started. */
struct platform_result {
	uint64_t operation_id; /* as in the action */
	enum platform_outcome outcome;
	bool found; /* reads, and REFUSED: the key exists */
	/* The value now stored; its revision is 0 if that is not known. */
	struct record record;
};

enum event_type {
	EVENT_REQUEST, /* .request */
	EVENT_CALLER_GONE, /* .caller_id */
	EVENT_CONN_OPENED, /* .conn_id */
	EVENT_CONN_LOST, /* .conn_id; also an attempt that failed */
	EVENT_RESULT, /* .result */
	EVENT_RECORD_PUT, /* .record */
	EVENT_RECORD_DELETED, /* .record: kind, name and revision */
	EVENT_CONFIG_SYNCED, /* .synced */
	EVENT_LEASE, /* .lease: the instance's lease was renewed */
	EVENT_PLATFORM_RESULT, /* .platform */
	EVENT_PEER_MESSAGE, /* .peer */
	EVENT_DRAIN, /* stop taking requests, finish what runs */
};

/*
 * All records up to `revision` were passed on; the platform was asked for
 * them at `asked_us` or later confirmed that nothing is missing.
 */
struct config_synced {
	int64_t revision;
	int64_t asked_us;
};

/* The platform granted or renewed the lease of this instance. */
struct lease_renewal {
	int64_t asked_us; /* when the renewal was sent */
	int64_t ttl_us; /* as granted, counted from asked_us at the least */
};

/* Pointers are valid only while the event is handled. */
struct event {
	enum event_type type;
	union {
		struct request_opts request;
		uint64_t caller_id;
		uint32_t conn_id;
		struct exchange_result result;
		const struct record *record;
		struct config_synced synced;
		struct lease_renewal lease;
		const struct platform_result *platform;
		const struct peer_message *peer;
	};
};

#endif
