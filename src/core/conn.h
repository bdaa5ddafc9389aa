/*
 * conn.h - table of connections to endpoints.
 *
 * A connection id consists of the table row and a generation number, so a late
 * event for an earlier connection of the row does not match the current one.
 */
#ifndef CORE_CONN_H
#define CORE_CONN_H

#include "core/action.h"
#include "core/list.h"

#include <stdbool.h>
#include <stdint.h>

enum conn_state {
	CONN_FREE,
	CONN_OPENING,
	CONN_IDLE,
	CONN_BUSY, /* an exchange is in progress */
	CONN_PINNED, /* reserved for a transaction, between statements */
};

enum conn_purpose {
	CONN_FOR_WORK, /* carries callers' statements */
	CONN_FOR_PROBE, /* carries state probes, terms and promotions */
};

struct conn {
	enum conn_state state;
	enum conn_purpose purpose;
	uint16_t generation;
	uint32_t endpoint; /* row */
	uint64_t exchange; /* number of the exchange in progress */
	enum exchange_plan plan; /* of that exchange */
	uint32_t request; /* row that the exchange is for, or NO_INDEX */
	uint32_t transaction; /* row that pins it, or NO_INDEX */
	bool checking; /* the exchange is a liveness check */
	int64_t since_us; /* time of the last state change */
	int64_t answered_us; /* last answer, or when it was opened */
};

struct conn_table {
	struct conn *rows;
	struct list_link *links; /* for free_rows and the idle lists */
	uint32_t capacity;
	uint32_t high_water; /* rows from here on were never used */
	struct list free_rows; /* most recently freed first */
	uint64_t last_exchange; /* last exchange number assigned */
};

/*
 * Allocates and frees the rows of a table, all free at first. The capacity must
 * fit into 16 bits.
 */
void conn_table_init(struct conn_table *t, uint32_t capacity);
void conn_table_clear(struct conn_table *t);

/*
 * Adds a connection in CONN_OPENING. Returns its row, or NO_INDEX if the table
 * is full.
 */
uint32_t conn_add(struct conn_table *t, uint32_t endpoint,
		  enum conn_purpose purpose, int64_t now_us);

/* Frees a row. Its next connection gets another id. */
void conn_remove(struct conn_table *t, uint32_t row);

/* Returns the id of the connection in a row. */
uint32_t conn_id(const struct conn_table *t, uint32_t row);

/* Returns the row of the connection with that id, or NO_INDEX if removed. */
uint32_t conn_find(const struct conn_table *t, uint32_t id);

/* Marks an idle or pinned connection busy; returns the new exchange number. */
uint64_t conn_begin_exchange(struct conn_table *t, uint32_t row,
			     int64_t now_us);

#endif
