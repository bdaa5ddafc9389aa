/*
 * transaction.h - open transactions, each with a connection reserved for it.
 */
#ifndef CORE_TRANSACTION_H
#define CORE_TRANSACTION_H

#include "core/list.h"
#include "core/sizes.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct transaction {
	uint64_t id; /* 0: the row is free */
	uint32_t workspace; /* row in the catalog */
	uint32_t group; /* row */
	uint32_t conn; /* row of the connection reserved for it */
	uint32_t request; /* row with a statement in progress, or NO_INDEX */
	bool keyless; /* started without an API key */
	uint8_t key_digest[DIGEST_BYTES];
	int64_t last_used_us; /* end of its last statement, or of the BEGIN */
};

struct transaction_table {
	struct transaction *rows;
	struct list_link *links; /* for free_rows and open */
	uint32_t capacity;
	struct list free_rows;
	struct list open; /* oldest first */
	GHashTable *by_id; /* id to row + 1 */
};

/* Allocates and frees the rows of a table, all free at first. */
void transaction_table_init(struct transaction_table *t, uint32_t capacity);
void transaction_table_clear(struct transaction_table *t);

/*
 * Adds a transaction with a random id. Returns its row, or NO_INDEX if the
 * table is full.
 */
uint32_t transaction_add(struct transaction_table *t, GRand *rand);

/* Frees the row of a transaction. */
void transaction_remove(struct transaction_table *t, uint32_t row);

/* Returns the row of the transaction with that id, or NO_INDEX. */
uint32_t transaction_find(const struct transaction_table *t, uint64_t id);

#endif
