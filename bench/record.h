/* record.h - records the outcome of each unit of work. */
#ifndef BENCH_RECORD_H
#define BENCH_RECORD_H

#include "core/error.h"
#include "plan.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { ORDER_ID_BYTES = 32 };

/* The outcome of one unit of work; times are on the monotonic clock. */
struct work_record {
	int64_t scheduled_us;
	int64_t done_us;
	enum work_kind kind;
	uint32_t workspace;
	uint32_t group;
	uint32_t endpoint; /* index in the plan, NO_INDEX if unknown */
	enum verdict verdict;
	int32_t error; /* 0: served, else a number of core/error.h */
	int64_t age_us; /* of the data read; -1: not reported */
	int64_t since_write_us; /* since the session's write; else INT64_MAX */
	uint32_t requests_sent; /* HTTP requests, repeated ones included */
	bool unanswered; /* no answer before the client's timeout */
	bool duplicate; /* the order id was stored already */
	bool within_limit; /* the limit had a token for each request */
	bool in_surge; /* sent during the surge of any workspace */
	char order_id[ORDER_ID_BYTES]; /* only for writes */
};

/* A request that counts against the rate limit of its workspace. */
struct admitted_request {
	int64_t sent_us;
	int64_t done_us;
};

/* Everything recorded during one run. */
struct records {
	int64_t start_us;
	int64_t wall_offset_us; /* wall clock minus monotonic clock */
	GArray *rows; /* struct work_record */
	/* struct admitted_request, by workspace */
	GArray *admitted[PLAN_WORKSPACES_MAX];
	uint64_t stale_session_reads; /* missed the session's write */
};

/* Returns an empty set of records, freed with records_free(). */
struct records *records_new(void);
void records_free(struct records *r);

/* Returns true for work that changes the database. */
bool work_is_write(enum work_kind kind);

#endif
