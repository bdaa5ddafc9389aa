/* record.h - what became of each unit of work. */
#ifndef BENCH_RECORD_H
#define BENCH_RECORD_H

#include "core/error.h"
#include "plan.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { ORDER_ID_BYTES = 32 };

/* Times are of the monotonic clock. */
struct record {
	int64_t scheduled_us;
	int64_t done_us;
	enum work_kind kind;
	uint32_t workspace;
	uint32_t group;
	uint32_t endpoint; /* index in the plan, NO_INDEX if not known */
	enum verdict verdict;
	int32_t error; /* 0: served */
	int64_t age_us; /* -1: not told */
	int64_t behind_us; /* since the write that a read must see */
	uint32_t sends; /* HTTP requests of this unit */
	bool unanswered; /* the client gave up */
	bool duplicate; /* the order's key was stored before */
	bool in_rate; /* the limit had a token when it was sent */
	bool in_surge; /* some workspace sent more than its rate */
	char order_id[ORDER_ID_BYTES]; /* of a write */
};

/* An HTTP request that took a part of its workspace's limit. */
struct taken {
	int64_t sent_us;
	int64_t done_us;
};

/* All records of a run. */
struct records {
	int64_t start_us;
	int64_t wall_offset_us; /* wall clock minus monotonic clock */
	GArray *rows; /* struct record */
	GArray *taken[PLAN_WORKSPACES_MAX]; /* struct taken */
	uint64_t stale_sessions; /* reads that missed the session's write */
};

struct records *records_new(void);
void records_free(struct records *r);

/* Returns true for work that changes the database. */
bool work_writes(enum work_kind kind);

#endif
