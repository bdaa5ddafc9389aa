/*
 * peer_message.h - messages between instances.
 *
 * Messages may be lost, delayed, duplicated or reordered. Handling a second
 * copy of a message must not change state once more.
 */
#ifndef CORE_PEER_MESSAGE_H
#define CORE_PEER_MESSAGE_H

#include "core/position.h"
#include "core/record.h"
#include "core/sizes.h"
#include "handover/home_handover.h"

#include <stdbool.h>
#include <stdint.h>

/* Version of the message layout; messages of other versions are dropped. */
enum { PEER_MESSAGE_VERSION = 2 };

enum peer_message_type {
	PEER_PING, /* heartbeat, answered by PEER_PONG */
	PEER_PONG,
	PEER_LOAN_REQUEST, /* asks to borrow a part of a workspace's limit */
	PEER_LOAN_GRANT,
	PEER_VOTE_REQUEST, /* asks whether a group's primary is silent */
	PEER_VOTE,
	PEER_RECORD, /* a configuration record or its deletion */
	PEER_REPORT, /* demand, silent endpoints; sent to the duty's holder */
	PEER_GRANT, /* answers a report with parts of the limits */
	PEER_QUOTA_REQUEST, /* asks the home of a part to count an operation */
	PEER_QUOTA_REPLY,
	PEER_CHOICE, /* an endpoint is being promoted; see proxy/failover.h */
	PEER_HANDOVER, /* what a home that is stopping uses */
	PEER_CHANGE, /* a change of the platform's store */
	PEER_DUTY_TAKEN, /* the sender holds the singleton duty now */
	PEER_MESSAGE_TYPE_COUNT,
};

struct peer_ping {
	uint64_t sequence;
};

struct peer_pong {
	uint64_t sequence; /* of the ping */
	int64_t config_revision; /* highest one applied or accepted there */
	int64_t sync_age_us; /* since its last sync; or SYNC_AGE_NEVER */
	bool draining;
};

struct peer_loan_request {
	uint64_t loan_id; /* increases within the sender's process */
	uint64_t renews; /* first loan_id of the loan to extend; 0: none */
	char workspace[NAME_BYTES];
	uint32_t rate_milli_per_s; /* rate to borrow */
	uint32_t burst_milli; /* capacity to borrow */
	int64_t duration_us; /* counted by the lender from receipt */
};

struct peer_loan_grant {
	uint64_t loan_id; /* of the request */
	char workspace[NAME_BYTES];
	uint32_t rate_milli_per_s; /* rate granted */
	uint32_t burst_milli; /* capacity granted */
	uint32_t tokens_milli; /* tokens transferred to the borrower */
	int64_t duration_us; /* counted by the borrower from its request */
};

struct peer_vote_request {
	uint64_t sequence;
	char group[NAME_BYTES];
	uint64_t term; /* of the primary in question */
};

struct peer_vote {
	uint64_t sequence;
	char group[NAME_BYTES];
	uint64_t term;
	bool silent; /* the primary does not answer the sender */
};

struct peer_record {
	bool deleted;
	struct record record;
};

enum {
	PEER_RATES_MAX = 128, /* workspaces in one message */
	PEER_SILENT_MAX = 32, /* endpoints in one message */
};

struct peer_rate {
	uint64_t workspace; /* hash of its name */
	uint32_t rate_milli_per_s; /* report: demand; grant: rate granted */
	uint32_t in_use_milli_per_s; /* report: earlier grants still valid */
};

struct peer_report {
	uint64_t sequence;
	int64_t store_revision; /* the sender has all changes up to it */
	uint64_t confirmed; /* sequence of that holder's last applied grant */
	uint32_t rate_count;
	struct peer_rate rates[PEER_RATES_MAX]; /* demand */
	uint32_t silent_count;
	uint64_t silent[PEER_SILENT_MAX]; /* hashes of silent endpoints' ids */
};

struct peer_grant {
	uint64_t report; /* sequence of the report */
	uint64_t sequence; /* sent back in peer_report.confirmed */
	int64_t duration_us; /* counted from when the report was sent */
	/* Upper bound of the store's revision at the time store_age_us ago. */
	int64_t store_revision;
	int64_t store_age_us; /* -1: not known */
	uint32_t rate_count;
	struct peer_rate rates[PEER_RATES_MAX];
};

struct peer_quota_request {
	uint64_t sequence; /* increases within the sender's process */
	uint64_t part; /* hash of a part of a limit; see proxy/quota.h */
};

enum peer_quota_verdict {
	PEER_QUOTA_GRANTED,
	PEER_QUOTA_EXHAUSTED, /* the limit is used up for now */
	PEER_QUOTA_NOT_HOME, /* another instance counts this part now */
	PEER_QUOTA_VERDICT_COUNT,
};

struct peer_quota_reply {
	uint64_t sequence; /* of the request */
	enum peer_quota_verdict verdict;
	int64_t retry_us; /* if exhausted: expected wait for the next one */
};

struct peer_choice {
	char service[NAME_BYTES];
	char endpoint[NAME_BYTES]; /* its id */
	uint64_t term; /* in which it is to be the primary */
};

enum { PEER_CHANGE_TEXT_BYTES = 3072 }; /* includes the NUL */

/* Nothing changed in the store between `after` and this change. */
struct peer_change {
	int64_t after;
	int64_t position; /* of the change */
	char text[PEER_CHANGE_TEXT_BYTES]; /* see store_ops.read_change */
};

struct peer_duty_taken {
	int64_t position; /* of the duty's entry in the store */
};

struct peer_message {
	char peer[NAME_BYTES]; /* sender on receipt, receiver on sending */
	uint64_t incarnation; /* of the sender's process, new at each start */
	enum peer_message_type type;
	union {
		struct peer_ping ping;
		struct peer_pong pong;
		struct peer_loan_request loan_request;
		struct peer_loan_grant loan_grant;
		struct peer_vote_request vote_request;
		struct peer_vote vote;
		struct peer_record record;
		struct peer_report report;
		struct peer_grant grant;
		struct peer_quota_request quota_request;
		struct peer_quota_reply quota_reply;
		struct peer_choice choice;
		struct home_handover handover;
		struct peer_change change;
		struct peer_duty_taken duty_taken;
	};
};

#endif
