/* action.h - what the core asks of the host. */
#ifndef CORE_ACTION_H
#define CORE_ACTION_H

#include "core/error.h"
#include "core/peer_message.h"
#include "core/position.h"
#include "core/record.h"
#include "core/sizes.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * What is sent on an endpoint connection. Every plan also reads the
 * endpoint's state before and after, in the same round trip.
 */
enum exchange_plan {
	PLAN_PROBE, /* the state alone */
	PLAN_RAISE_TERM, /* tell the endpoint of .term */
	PLAN_PROMOTE, /* make it the primary of .term */
	PLAN_READ, /* the caller's statement, in a read-only transaction */
	PLAN_WRITE, /* begin, the caller's statement, commit */
	PLAN_WRITE_BY_ID, /* the same, recording request id and answer */
	PLAN_LOOKUP, /* read the answer recorded for the request id */
	PLAN_BEGIN,
	PLAN_STATEMENT, /* the caller's statement in the open transaction */
	PLAN_COMMIT, /* records the request id first, if there is one */
	PLAN_ROLLBACK,
};

struct exchange_start {
	uint32_t conn_id;
	uint64_t exchange; /* generation, unique in this process */
	enum exchange_plan plan;
	uint64_t caller_id; /* whose statement; 0 for the core's own */
	uint64_t term; /* PLAN_RAISE_TERM and PLAN_PROMOTE */
};

struct conn_open {
	uint32_t conn_id; /* chosen by the core, reused after it is lost */
	char address[ADDRESS_BYTES];
	char endpoint[NAME_BYTES];
};

/* The only answer to a request. */
struct reply {
	uint64_t caller_id;
	enum verdict verdict;
	int32_t error; /* ERR_NONE, or why it failed */
	int64_t retry_after_us; /* 0: no hint */
	bool with_result; /* the last exchange's result goes to the caller */
	char group[NAME_BYTES];
	struct position session; /* for the session token; zero: unchanged */
	char endpoint[NAME_BYTES]; /* that served it, "" if none */
	uint64_t transaction_id; /* open transaction; 0 if none */
	int64_t age_us; /* reads: bound of the data's age; -1 unknown */
};

enum platform_operation {
	PLATFORM_READ_TERM, /* .record names the group */
	PLATFORM_CAS_TERM, /* put .record if .expected_revision holds */
	PLATFORM_READ_SHARE, /* .record names the cell */
	PLATFORM_CAS_SHARE, /* the same, and if .absent_members are absent */
};

struct platform_start {
	uint64_t operation_id;
	enum platform_operation operation;
	int64_t expected_revision; /* 0: the key must not exist */
	struct record record;
	uint32_t absent_count;
	/* Holders removed by this change; their member keys must not exist. */
	struct share_holder absent_members[SHARE_HOLDERS_MAX];
};

enum { LOG_FIELDS_MAX = 6, LOG_TEXT_BYTES = 96 };

/* One numbered log event; the catalogue is in docs/EVENTS.md. */
struct log_entry {
	int32_t number; /* enum log_event in core/log_event.h */
	uint64_t caller_id; /* 0: not about a request */
	char subject[NAME_BYTES]; /* workspace, group, endpoint or peer */
	char text[LOG_TEXT_BYTES]; /* reason and refused candidates */
	int64_t value;
};

/* The end of a graceful shutdown. */
struct drained {
	/* The lease may be revoked: nothing depends on it any more. */
	bool lease_free;
};

enum action_type {
	ACTION_REPLY, /* .reply */
	ACTION_CONN_OPEN, /* .open; answered by CONN_OPENED or CONN_LOST */
	ACTION_CONN_CLOSE, /* .conn_id; no event follows */
	ACTION_EXCHANGE, /* .exchange; answered by RESULT or CONN_LOST */
	ACTION_PLATFORM, /* .platform; answered by PLATFORM_RESULT */
	ACTION_PEER_SEND, /* .peer; no answer */
	ACTION_LOG, /* .log */
	ACTION_DRAINED, /* nothing is left to finish; .drained */
};

/* Pointers are valid until the next action is taken from the core. */
struct action {
	enum action_type type;
	union {
		struct reply reply;
		struct conn_open open;
		uint32_t conn_id;
		struct exchange_start exchange;
		const struct platform_start *platform;
		const struct peer_message *peer;
		struct log_entry log;
		struct drained drained;
	};
};

#endif
