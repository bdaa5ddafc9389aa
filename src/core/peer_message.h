/*
 * peer_message.h - messages between instances.
 *
 * They may be lost, late, doubled or crossed; no message moves state that
 * a second copy of it would move again.
 */
#ifndef CORE_PEER_MESSAGE_H
#define CORE_PEER_MESSAGE_H

#include "core/position.h"
#include "core/record.h"
#include "core/sizes.h"

#include <stdbool.h>
#include <stdint.h>

/* Version of the message layout; others are dropped. */
enum { PEER_MESSAGE_VERSION = 1 };

enum peer_message_type {
	PEER_PING, /* asks for PEER_PONG */
	PEER_PONG,
	PEER_LOAN_ASK, /* asks for a part of a workspace's limit */
	PEER_LOAN_GRANT,
	PEER_VIEW_ASK, /* asks whether a primary answers */
	PEER_VIEW,
	PEER_RECORD, /* a configuration record or its deletion */
	PEER_REPORT, /* what an instance needs and misses; to the duty's holder */
	PEER_GRANT, /* answers a report with parts of the limits */
	PEER_QUOTA_ASK, /* one operation's worth of half a limit; to its home */
	PEER_QUOTA_ANSWER,
	PEER_MESSAGE_TYPE_COUNT,
};

struct peer_ping {
	uint64_t sequence;
};

struct peer_pong {
	uint64_t sequence; /* of the ping */
	int64_t config_revision; /* highest revision applied */
	int64_t sync_age_us; /* since the platform last confirmed it */
	bool draining;
};

struct peer_loan_ask {
	uint64_t loan_id; /* grows within the asking instance's process */
	uint64_t renews; /* first loan_id of the loan to extend; 0: none */
	char workspace[NAME_BYTES];
	uint32_t rate_milli_per_s; /* wanted */
	uint32_t burst_milli;
	int64_t duration_us; /* counted by the lender from receipt */
};

struct peer_loan_grant {
	uint64_t loan_id; /* of the ask */
	char workspace[NAME_BYTES];
	uint32_t rate_milli_per_s; /* granted */
	uint32_t burst_milli; /* capacity granted */
	uint32_t tokens_milli; /* moved with it */
	int64_t duration_us; /* counted by the borrower from the ask */
};

struct peer_view_ask {
	uint64_t sequence;
	char group[NAME_BYTES];
	uint64_t term; /* of the primary in question */
};

struct peer_view {
	uint64_t sequence;
	char group[NAME_BYTES];
	uint64_t term;
	bool silent; /* the sender gets no answer from that primary */
};

struct peer_record {
	bool deleted;
	struct record record;
};

enum {
	PEER_RATES_MAX = 128, /* workspaces in one message */
	PEER_SILENT_MAX = 32, /* endpoints in one message */
};

/* A rate of one workspace, which is named by a hash of its name. */
struct peer_rate {
	uint64_t workspace;
	uint32_t rate_milli_per_s; /* report: demand; grant: what is granted */
	uint32_t in_use_milli_per_s; /* report: granted before, not ended */
};

struct peer_report {
	uint64_t sequence;
	uint64_t confirmed; /* last grant of that holder that was applied */
	uint32_t rate_count;
	struct peer_rate rates[PEER_RATES_MAX]; /* demand */
	uint32_t silent_count;
	uint64_t silent[PEER_SILENT_MAX]; /* endpoints, by a hash of the id */
};

struct peer_grant {
	uint64_t report; /* sequence of the report */
	uint64_t sequence; /* to be confirmed */
	int64_t duration_us; /* counted from the sending of the report */
	int64_t store_revision; /* that the store had, or a lower one, ... */
	int64_t store_age_us; /* ... so long before; -1: not known */
	uint32_t rate_count;
	struct peer_rate rates[PEER_RATES_MAX];
};

struct peer_quota_ask {
	uint64_t sequence; /* grows within the asking instance's process */
	uint64_t half; /* of a workspace's limit, by a hash */
};

enum peer_quota_verdict {
	PEER_QUOTA_TAKEN,
	PEER_QUOTA_OVER, /* the limit is used up */
	PEER_QUOTA_NOT_HOME, /* not counted here now */
	PEER_QUOTA_VERDICT_COUNT,
};

struct peer_quota_answer {
	uint64_t sequence; /* of the ask */
	enum peer_quota_verdict verdict;
	int64_t retry_us; /* over: when the next one is expected to fit */
};

struct peer_message {
	char peer[NAME_BYTES]; /* sender on receipt, receiver on sending */
	uint64_t incarnation; /* sender's process; new at each start */
	enum peer_message_type type;
	union {
		struct peer_ping ping;
		struct peer_pong pong;
		struct peer_loan_ask loan_ask;
		struct peer_loan_grant loan_grant;
		struct peer_view_ask view_ask;
		struct peer_view view;
		struct peer_record record;
		struct peer_report report;
		struct peer_grant grant;
		struct peer_quota_ask quota_ask;
		struct peer_quota_answer quota_answer;
	};
};

#endif
