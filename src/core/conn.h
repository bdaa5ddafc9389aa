/*
 * conn.h - connections to endpoints and who owns them.
 *
 * A connection id holds the row and a generation, so an event about an
 * earlier connection of the same row finds no owner.
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
	CONN_BUSY, /* an exchange is under way */
	CONN_PINNED, /* belongs to a transaction between its statements */
};

enum conn_purpose {
	CONN_FOR_WORK, /* callers' statements */
	CONN_FOR_PROBE, /* state, terms and promotions */
};

struct conn {
	enum conn_state state;
	enum conn_purpose purpose;
	uint16_t generation;
	uint32_t endpoint;
	uint64_t exchange; /* the one under way */
	enum exchange_plan plan; /* of that exchange */
	uint32_t request; /* whose exchange, or NO_INDEX */
	uint32_t transaction; /* that pins it, or NO_INDEX */
	bool checking; /* busy with a liveness check */
	int64_t since_us; /* of the present state */
	int64_t answered_us; /* last answer; when it was known to live */
};

struct conn_table {
	struct conn *rows;
	struct list_link *links; /* idle lists of the endpoints */
	uint32_t room;
	uint32_t high; /* rows from here on were never used */
	struct list free_rows; /* last freed first */
	uint64_t last_exchange;
};

void conn_table_init(struct conn_table *t, uint32_t room);
void conn_table_clear(struct conn_table *t);

/* Returns a row in CONN_OPENING, or NO_INDEX when the table is full. */
uint32_t conn_add(struct conn_table *t, uint32_t endpoint,
		  enum conn_purpose purpose, int64_t now_us);

/* Frees a row; its id is never used again for another connection. */
void conn_drop(struct conn_table *t, uint32_t row);

uint32_t conn_id(const struct conn_table *t, uint32_t row);

/* Returns the row that an id belongs to now, or NO_INDEX. */
uint32_t conn_find(const struct conn_table *t, uint32_t id);

/* Marks a row busy with a new exchange and returns its number. */
uint64_t conn_start(struct conn_table *t, uint32_t row, int64_t now_us);

#endif
