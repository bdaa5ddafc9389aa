/*
 * request.h - callers' requests, from admission to their one answer.
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
	REQUEST_NEW, /* being routed */
	REQUEST_HELD, /* waits a moment for tokens of its workspace */
	REQUEST_QUEUED, /* waits for a connection of .endpoint */
	REQUEST_WAITING, /* waits for its group to have a primary */
	REQUEST_RUNNING, /* an exchange is under way */
	REQUEST_UNCONFIRMED, /* ran; waits for a quorum */
	REQUEST_DELAYED, /* is routed again at .resume_us */
};

struct request {
	enum request_state state;
	struct request_opts opts;
	uint32_t workspace; /* row of the catalog */
	uint32_t weight; /* of that workspace when queued */
	uint32_t cost_milli; /* tokens that were taken */
	uint32_t held_milli; /* held: tokens that it needs */
	int64_t retry_after_us; /* held: hint if they do not come */
	uint32_t group;
	uint32_t transaction; /* row, or NO_INDEX */
	int64_t max_age_us; /* of the profile at admission */
	bool may_repeat; /* policy and caller allow a second send */
	bool open; /* no key was asked for */
	int64_t arrived_us;

	enum exchange_plan plan; /* of the next or present exchange */
	uint32_t endpoint; /* chosen one */
	uint32_t conn; /* while running */
	int64_t sent_us; /* of the present exchange */
	uint64_t sent_term; /* group's term at that time */
	uint32_t attempts; /* sends so far */
	uint32_t tried; /* bit per place in the group's endpoint array */
	int64_t resume_us;

	/*
	 * Set before a statement is handed to a connection, cleared only when
	 * that send is known to have had no effect and no earlier one may
	 * have had any. Decides the verdict of a failure.
	 */
	bool may_have_run;

	bool earlier_may_have_run; /* the same, of the sends before */
	bool was_silent; /* an exchange went silent once */
	uint64_t write_term; /* highest term in which it was sent */

	/* Unconfirmed writes: what a quorum must hold. */
	struct position position;
	/* Unconfirmed reads: a quorum knew no later term at that time. */
	uint64_t confirm_term;
	int64_t confirm_after_us;

	/* What is answered once that is so. */
	enum verdict confirmed_verdict;
	int32_t confirmed_error;

	struct position seen; /* for the session token */
	int64_t age_us; /* reads: bound of the data's age, -1 unknown */
};

struct request_table {
	struct request *rows;
	struct list_link *links; /* free, queued, waiting, ... lists */
	uint32_t room;
	uint32_t high; /* rows from here on were never used */
	uint32_t used;
	struct list free_rows; /* last freed first */
	struct list delayed;
	struct list held;
	GHashTable *by_caller; /* caller id to row + 1 */
	int64_t due_us; /* no deadline or delay ends before */
};

void request_table_init(struct request_table *t, uint32_t room);
void request_table_clear(struct request_table *t);

/* Returns a row in REQUEST_NEW, or NO_INDEX when the table is full. */
uint32_t request_add(struct request_table *t, const struct request_opts *o,
		     int64_t now_us);
void request_drop(struct request_table *t, uint32_t row);

/* Returns the row of a caller, or NO_INDEX. */
uint32_t request_find(const struct request_table *t, uint64_t caller_id);

/* Makes sure that the row is looked at again at `at_us`. */
void request_due(struct request_table *t, int64_t at_us);

/* Returns true for kinds that belong to an open transaction. */
bool request_in_transaction(enum request_kind kind);

/* Returns the verdict of an answer that is given now. */
enum verdict request_verdict(const struct request *r);

#endif
