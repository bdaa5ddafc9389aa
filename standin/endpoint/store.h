/*
 * store.h - in-memory tables of text values.
 *
 * Until a transaction ends, its changes are kept beside the committed values
 * of the rows. Other transactions still see the committed values and cannot
 * change these rows.
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
	/* The endpoint ceased to be primary, so it can only be rolled back. */
	bool rollback_only;
	GPtrArray *changes; /* struct change, one for each changed row */
};

/* Outcome of changing a row. */
enum store_outcome {
	STORE_DONE,
	STORE_KEY_EXISTS,
	STORE_CONFLICT, /* an open transaction has changed the row */
};

/*
 * Creates the store with its predefined tables. It is freed with store_free()
 * when no transaction is open.
 */
struct store *store_new(void);
void store_free(struct store *st);

/*
 * Replaces all tables by empty predefined ones. Transactions with changes
 * must have been rolled back before.
 */
void store_reset(struct store *st);

/*
 * Returns the table, which the store owns. A missing table is created if
 * `create` is set, else NULL is returned.
 */
struct table *store_get_table(struct store *st, const char *name, bool create);

const char *table_name(const struct table *t);
/* Returns the name of the primary key constraint, owned by the table. */
const char *table_constraint(const struct table *t);
uint32_t table_column_count(const struct table *t);
const char *table_column_name(const struct table *t, uint32_t i);
/* Returns how many columns, counted from the first, form the unique key. */
uint32_t table_key_column_count(const struct table *t);
/*
 * Returns the column's index. A missing column is added if `add` is set, else
 * -1 is returned.
 */
int32_t table_find_column(struct table *t, const char *name, bool add);

/* Returns the row with these key values, or NULL. */
struct row *table_find_row(struct table *t, const char *const *key);
/* Returns all rows (struct row) in insertion order; owned by the table. */
GList *table_rows(struct table *t);

/*
 * Returns the row's values as the transaction sees them, or NULL if it sees no
 * row. Without a transaction (NULL) these are the committed values. The array
 * may be shorter than the number of columns.
 */
GPtrArray *row_visible_values(const struct row *r,
			      const struct transaction *tx);
/* Returns the value of a column, or NULL if it is NULL or missing. */
const char *values_get(const GPtrArray *values, int32_t column);

void transaction_start(struct transaction *tx, bool read_only);

/*
 * Inserts a row; takes ownership of `values`. Unless the outcome is STORE_DONE
 * nothing changes.
 */
enum store_outcome store_insert_row(struct table *t, struct transaction *tx,
				    GPtrArray *values);
/*
 * Replaces the row's values and takes ownership of `values`; NULL deletes the
 * row. Returns STORE_DONE, or STORE_CONFLICT, which changes nothing.
 */
enum store_outcome store_replace_row(struct table *t, struct transaction *tx,
				     struct row *r, GPtrArray *values);

/*
 * Makes the changes visible to all and ends the transaction. Returns the
 * changes as an array for the log, or NULL if there were none.
 */
json_t *transaction_commit(struct transaction *tx);
void transaction_rollback(struct transaction *tx);

/* Applies the changes of a log entry, as transaction_commit() returned them. */
void store_apply(struct store *st, const json_t *changes);

#endif
