/*
 * transaction.h - open transactions, each pinned to one connection.
 */
#ifndef CORE_TRANSACTION_H
#define CORE_TRANSACTION_H

#include "core/list.h"
#include "core/sizes.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct transaction {
	uint64_t id; /* 0: free row */
	uint32_t workspace;
	uint32_t group;
	uint32_t conn; /* row that it alone uses */
	uint32_t request; /* whose statement runs, or NO_INDEX */
	bool open; /* began without a key */
	uint8_t key_digest[DIGEST_BYTES];
	int64_t used_us; /* end of the last statement */
};

struct transaction_table {
	struct transaction *rows;
	struct list_link *links;
	uint32_t room;
	struct list free_rows;
	struct list open; /* least recently begun first */
	GHashTable *by_id;
};

void transaction_table_init(struct transaction_table *t, uint32_t room);
void transaction_table_clear(struct transaction_table *t);

/* Returns a new row with a random id, or NO_INDEX when full. */
uint32_t transaction_add(struct transaction_table *t, GRand *rand);
void transaction_drop(struct transaction_table *t, uint32_t row);

/* Returns the row of an id, or NO_INDEX. */
uint32_t transaction_find(const struct transaction_table *t, uint64_t id);

#endif
