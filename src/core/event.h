/*
 * event.h - input events that the host passes to the core.
 *
 * The host is the code that runs the core in a process: it does all input and
 * output. It passes each event together with the current time of its
 * monotonic clock. The core makes no system calls: events are its only
 * input.
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
	REQUEST_READ, /* a single read-only statement */
	REQUEST_WRITE, /* a single statement in its own transaction */
	REQUEST_BEGIN, /* opens a transaction */
	REQUEST_STATEMENT, /* a statement in an open transaction */
	REQUEST_COMMIT,
	REQUEST_ROLLBACK,
};

/* A caller's request. The host keeps the statement and its parameters. */
struct request_opts {
	uint64_t caller_id; /* host's handle, returned in the reply */
	enum request_kind kind;
	bool has_key; /* the caller sent an API key */
	uint8_t key_digest[DIGEST_BYTES];
	char profile[NAME_BYTES];
	char group[NAME_BYTES];
	uint64_t transaction_id; /* for requests in an open transaction */
	bool has_request_id; /* the host stores the id itself */
	bool repeatable; /* false: never sent twice, overrides the profile */
	struct position session; /* from the session token; zero if none */
	int64_t deadline_us; /* host's monotonic clock */
};

/* Result of an exchange (see core/action.h) on an endpoint connection. */
enum result_status {
	RESULT_OK,
	RESULT_SQL_ERROR, /* rejected by the endpoint; nothing was changed */
	RESULT_DUPLICATE, /* the request id is already recorded */
	RESULT_ID_REUSED, /* request id is recorded for different content */
	RESULT_NOT_FOUND, /* lookup: the request id is not recorded */
	RESULT_NOT_PRIMARY, /* refused by a non-primary; nothing was changed */
	RESULT_TOO_LARGE, /* executed, but the result exceeds the size limit */
};

enum endpoint_role {
	ROLE_REPLICA,
	ROLE_PRIMARY,
};

/* State that an endpoint reports about itself. */
struct endpoint_status {
	uint64_t current_term; /* highest term that it knows */
	struct position position; /* of its last log entry */
	enum endpoint_role role;
};

/* Reports that an exchange on a connection has ended. */
struct exchange_result {
	uint32_t conn_id;
	uint64_t exchange; /* number from the action that started it */
	enum result_status status;
	/* Endpoint state read before and after the statement. */
	struct endpoint_status before;
	struct endpoint_status after;
};

enum platform_outcome {
	PLATFORM_APPLIED, /* the compare succeeded; the change was made */
	PLATFORM_REFUSED, /* the compare failed; nothing was changed */
	PLATFORM_UNKNOWN, /* no answer; the change may have been made */
};

/* Result of a platform operation that the core started. */
struct platform_result {
	uint64_t operation_id; /* id from the action that started it */
	enum platform_outcome outcome;
	bool found; /* for reads and PLATFORM_REFUSED: the key exists */
	/* The stored value; its revision is 0 if unknown. */
	struct record record;
};

enum event_type {
	EVENT_REQUEST, /* .request */
	EVENT_CALLER_DISCONNECTED, /* .caller_id */
	EVENT_CONN_OPENED, /* .conn_id */
	EVENT_CONN_LOST, /* .conn_id; also when opening it failed */
	EVENT_EXCHANGE_RESULT, /* .result */
	EVENT_RECORD_PUT, /* .record */
	EVENT_RECORD_DELETED, /* .record; kind, name and revision only */
	EVENT_CONFIG_SYNCED, /* .synced */
	EVENT_LEASE_RENEWED, /* .lease; lease of this instance renewed */
	EVENT_PLATFORM_RESULT, /* .platform */
	EVENT_PEER_MESSAGE, /* .peer */
	EVENT_DRAIN, /* .drain; refuse new requests, finish the open ones */
};

/*
 * All records up to `revision` have been passed to the core. `requested_us` is
 * the time at which they were requested from the platform or, if the platform
 * has since confirmed that none is missing, at which that confirmation was
 * requested.
 */
struct config_synced {
	int64_t revision;
	int64_t requested_us;
};

/* The platform granted or renewed the lease of this instance. */
struct lease_renewal {
	int64_t requested_us; /* when the grant or renewal was requested */
	int64_t ttl_us; /* the lease lasts at least this long after that */
};

/* When a shutdown ends what it lets go on at first; 0: no limit. */
struct drain_limits {
	/* From then on, open transactions can only commit or roll back. */
	int64_t transactions_until_us;
	int64_t answers_until_us; /* every request is answered by then */
};

/* Pointers are valid only while the event is being handled. */
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
		struct drain_limits drain;
	};
};

#endif
