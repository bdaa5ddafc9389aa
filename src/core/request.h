/*
 * request.h - table of callers' requests, from admission to the reply.
 */
#ifndef CORE_REQUEST_H
#define CORE_REQUEST_H

#include "core/action.h"
#include "core/event.h"
#include "core/list.h"
#include "core/position.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum request_state {
	REQUEST_FREE,
	REQUEST_NEW, /* in no list; being routed or answered */
	REQUEST_AWAITING_TOKENS, /* waits for rate limit tokens */
	REQUEST_QUEUED, /* in the queue of .endpoint */
	REQUEST_AWAITING_PRIMARY, /* its group has no primary */
	REQUEST_RUNNING, /* an exchange is in progress */
	REQUEST_UNCONFIRMED, /* executed; waits for a quorum */
	REQUEST_DELAYED, /* routed again at .resume_at_us */
};

struct request {
	enum request_state state;
	struct request_opts opts;
	uint32_t workspace; /* row in the catalog */
	uint32_t weight; /* of the workspace, at admission */
	uint32_t cost_milli; /* rate limit tokens taken, x 1000 */
	uint32_t awaited_milli; /* rate limit tokens waited for, x 1000 */
	int64_t retry_after_us; /* hint if the tokens do not arrive */
	uint32_t group; /* row */
	uint32_t transaction; /* row, or NO_INDEX */
	int64_t max_age_us; /* from the profile, at admission */
	bool may_repeat; /* profile and caller permit retries */
	bool keyless; /* admitted without an API key */
	int64_t arrived_us; /* time of admission */

	enum exchange_plan plan; /* of the current or next exchange */
	uint32_t endpoint; /* row, or NO_INDEX before it is routed */
	uint32_t conn; /* row while running, or NO_INDEX */
	int64_t sent_us; /* start of the last exchange */
	uint64_t sent_term; /* group's term at sent_us */
	uint32_t attempts; /* exchanges started */
	uint32_t tried_mask; /* bit i: group's endpoints[i] was tried */
	int64_t resume_at_us; /* when delayed or awaiting tokens */

	/*
	 * Set before a statement is sent on a connection. Cleared only when it
	 * is known that neither this send nor an earlier one had any effect.
	 * Decides the verdict if the request fails.
	 */
	bool may_have_run;

	bool earlier_may_have_run; /* may_have_run before the last send */
	bool timed_out_once; /* one of its exchanges has timed out */
	uint64_t write_term; /* highest term in which a write was sent */

	/* Unconfirmed writes: log position that a quorum must hold. */
	struct position position;
	/*
	 * Unconfirmed reads: confirmed once a quorum is known to have had no
	 * term later than confirm_term at confirm_since_us or later. Both are
	 * 0 for writes.
	 */
	uint64_t confirm_term;
	int64_t confirm_since_us;

	/* The reply once a quorum has confirmed. */
	enum verdict confirmed_verdict;
	int32_t confirmed_error;

	struct position seen_position; /* log position for the session token */
	int64_t age_us; /* reads: maximum age of the data; -1: unknown */
};

struct request_table {
	struct request *rows;
	struct list_link *links; /* for all lists that hold requests */
	uint32_t capacity;
	uint32_t high_water; /* rows from here on were never used */
	uint32_t used; /* rows in use */
	struct list free_rows; /* most recently freed first */
	struct list delayed; /* REQUEST_DELAYED */
	struct list awaiting_tokens;
	GHashTable *by_caller; /* caller id to row + 1 */
	int64_t next_check_us; /* no deadline or delay ends earlier */
};

/* Allocates and frees the rows of a table, all free at first. */
void request_table_init(struct request_table *t, uint32_t capacity);
void request_table_clear(struct request_table *t);

/*
 * Adds a request that arrived at now_us. Returns its row, in REQUEST_NEW, or
 * NO_INDEX when the table is full.
 */
uint32_t request_add(struct request_table *t, const struct request_opts *o,
		     int64_t now_us);

/* Frees the row of a request, which must be in none of the lists. */
void request_remove(struct request_table *t, uint32_t row);

/* Returns the row of a caller's request, or NO_INDEX. */
uint32_t request_find(const struct request_table *t, uint64_t caller_id);

/* Makes expiry_run() check the table at `at_us`, or earlier if already due. */
void request_schedule_check(struct request_table *t, int64_t at_us);

/* Returns true for kinds that refer to an open transaction. */
bool request_in_transaction(enum request_kind kind);

/* Returns the verdict for a request that fails now. */
enum verdict request_verdict(const struct request *r);

#endif
