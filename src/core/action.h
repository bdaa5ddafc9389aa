/* action.h - actions that the core asks the host to carry out. */
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
 * An exchange is one round trip on an endpoint connection. The plan says what
 * it sends; the endpoint's state is always read before and after that, in the
 * same round trip.
 */
enum exchange_plan {
	PLAN_PROBE, /* read only the endpoint's state */
	PLAN_RAISE_TERM, /* raise the endpoint's term to .term */
	PLAN_PROMOTE, /* make the endpoint the primary of .term */
	PLAN_READ, /* the caller's statement, in a read-only transaction */
	PLAN_WRITE, /* begin, the caller's statement, commit */
	PLAN_WRITE_BY_ID, /* PLAN_WRITE, recording request id and answer */
	PLAN_LOOKUP, /* read the answer recorded for the request id */
	PLAN_BEGIN,
	PLAN_STATEMENT, /* the caller's statement in the open transaction */
	PLAN_COMMIT, /* records the request id first, if there is one */
	PLAN_ROLLBACK,
};

struct exchange_start {
	uint32_t conn_id;
	uint64_t exchange; /* number, unique in this process */
	enum exchange_plan plan;
	uint64_t caller_id; /* 0: started by the core, for no request */
	uint64_t term; /* for PLAN_RAISE_TERM and PLAN_PROMOTE */
};

struct conn_open {
	uint32_t conn_id; /* chosen by the core; see core/conn.h */
	char address[ADDRESS_BYTES];
	char endpoint[NAME_BYTES];
};

/* The one reply to a request. */
struct reply {
	uint64_t caller_id;
	enum verdict verdict;
	int32_t error; /* ERR_NONE, or the reason of the failure */
	int64_t retry_after_us; /* 0: no hint */
	bool with_result; /* return the last exchange's result to the caller */
	char group[NAME_BYTES];
	struct position session; /* for the session token; zero: no change */
	char endpoint[NAME_BYTES]; /* that served the request; "" if none */
	uint64_t transaction_id; /* of the open transaction; 0 if none */
	int64_t age_us; /* reads: maximum age of the data; -1: unknown */
};

enum platform_operation {
	PLATFORM_READ_TERM, /* .record names the group */
	PLATFORM_CAS_TERM, /* put .record if the revision is as expected */
	PLATFORM_READ_SHARE, /* .record names the cell */
	/*
	 * Like PLATFORM_CAS_TERM, and only if no member key of
	 * .absent_members exists.
	 */
	PLATFORM_CAS_SHARE,
};

struct platform_start {
	uint64_t operation_id;
	enum platform_operation operation;
	int64_t expected_revision; /* 0: the key must not exist */
	struct record record;
	uint32_t absent_count;
	/* Holders that the change removes; they must have no member key. */
	struct share_holder absent_members[SHARE_HOLDERS_MAX];
};

enum { LOG_FIELDS_MAX = 6, LOG_TEXT_BYTES = 96 };

/* A log event; docs/EVENTS.md lists all of them. */
struct log_entry {
	int32_t number; /* enum log_event in core/log_event.h */
	uint64_t caller_id; /* 0: not related to a request */
	char subject[NAME_BYTES]; /* workspace, group, endpoint or peer */
	char text[LOG_TEXT_BYTES]; /* reason, rejected candidates */
	int64_t value; /* its meaning and unit depend on the event */
};

/* Reports that a graceful shutdown is complete. */
struct drained {
	/* Nothing depends on the lease any more, so it may be revoked. */
	bool lease_revocable;
};

enum action_type {
	ACTION_REPLY, /* .reply */
	/* .open; EVENT_CONN_OPENED or EVENT_CONN_LOST follows */
	ACTION_CONN_OPEN,
	ACTION_CONN_CLOSE, /* .conn_id; no event follows */
	/* .exchange; EVENT_EXCHANGE_RESULT or EVENT_CONN_LOST follows */
	ACTION_EXCHANGE,
	ACTION_PLATFORM, /* .platform; EVENT_PLATFORM_RESULT follows */
	ACTION_PEER_SEND, /* .peer; no event follows */
	ACTION_LOG, /* .log */
	ACTION_DRAINED, /* .drained; all requests have ended */
};

/* Pointers are valid until the next world_next_action() call. */
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
