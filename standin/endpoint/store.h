/*
 * store.h - tables of text values in memory.
 *
 * A transaction's changes stay beside the committed values until it ends;
 * other transactions neither see nor change such rows.
 */
#ifndef ENDPOINT_STORE_H
#define ENDPOINT_STORE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct store;
struct table;
struct row;

/* An open transaction. */
struct transaction {
	bool read_only;
	bool doomed; /* the endpoint ceased to be primary; only roll back */
	GPtrArray *changes; /* of the rows that it changed */
};

/* Outcome of a change of a row. */
enum store_outcome {
	STORE_DONE,
	STORE_KEY_EXISTS,
	STORE_CONFLICT, /* another transaction changed the row */
};

/* Freed with store_free(); no transaction may be open then. */
struct store *store_new(void);
void store_free(struct store *st);

/* Empties all tables. Transactions with changes must be rolled back. */
void store_reset(struct store *st);

/* Returns the table, or NULL if there is none and `create` is false. */
struct table *store_table(struct store *st, const char *name, bool create);

const char *table_name(const struct table *t);
/* Name of the key's constraint, owned by the table. */
const char *table_constraint(const struct table *t);
uint32_t table_column_count(const struct table *t);
const char *table_column_name(const struct table *t, uint32_t i);
/* Number of columns that make the unique key, which come first. */
uint32_t table_key_columns(const struct table *t);
/* Returns the column's index, or -1; `add` adds it if it is missing. */
int32_t table_column(struct table *t, const char *name, bool add);

/* Returns the row with these key values, or NULL. */
struct row *table_find(struct table *t, const char *const *key);
/* All rows, struct row in the order of insertion. */
GList *table_rows(struct table *t);

/* Values that the transaction sees, or NULL; columns may be missing. */
GPtrArray *row_visible(const struct row *r, const struct transaction *tx);
/* Returns a value, or NULL. */
const char *row_value(const GPtrArray *values, int32_t column);

void transaction_start(struct transaction *tx, bool read_only);

/* Inserts; takes ownership of `values`. */
enum store_outcome store_insert(struct table *t, struct transaction *tx,
				GPtrArray *values);
/* Replaces the values, which it takes over; NULL deletes the row. */
enum store_outcome store_change(struct table *t, struct transaction *tx,
				struct row *r, GPtrArray *values);

/* Returns the changes for the log, or NULL if there were none. */
json_t *transaction_commit(struct transaction *tx);
void transaction_rollback(struct transaction *tx);

/* Applies the changes of a log entry. */
void store_apply(struct store *st, const json_t *changes);

#endif
