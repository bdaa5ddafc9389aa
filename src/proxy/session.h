/*
 * session.h - a caller's session and its statement in progress.
 *
 * The engine owns all sessions. Session values and prepared statements are kept
 * here and are set up on whichever endpoint connection runs the session's next
 * statement.
 */
#ifndef PROXY_SESSION_H
#define PROXY_SESSION_H

#include "core/sizes.h"
#include "proxy/answer_code.h"
#include "proxy/fleet_config.h"
#include "proxy/mark_ring.h"
#include "proxy/query.h"
#include "proxy/wire.h"
#include "scheduler/scheduler.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct engine;
struct service;
struct upstream;
struct upstream_conn;

/* A prepared statement of the session. */
struct prepared_statement {
	bool writes;
	char *definition;
};

/* Which endpoints may run the operation. */
enum endpoint_need {
	NEED_PRIMARY, /* writes, and transactions that may write */
	/* The primary, in a transaction that the proxy opens. */
	NEED_STRICT_READ,
	NEED_READ, /* any endpoint whose log covers .min_mark */
};

enum {
	OPERATION_AVOID_MAX = 4,
	/* Attempts per statement: each endpoint twice, in services of three. */
	OPERATION_SENDS_MAX = 6,
};

/* The statement in progress. */
struct operation {
	bool active;
	struct query query;
	bool writes;
	enum endpoint_need need;
	bool opens_transaction; /* its BEGIN is sent to the endpoint first */
	int64_t arrived_us;
	int64_t deadline_us; /* must be answered by then */
	int64_t wait_deadline_us; /* refused if it is still queued then */
	int64_t backoff_until_us; /* not sent before this time */
	struct sched_job job; /* in its service's queue while it waits */
	bool awaiting_quota; /* waits for the limit's home instance */
	bool sent; /* the caller's statement was sent to an endpoint */
	int64_t sent_us;
	uint32_t sends; /* number of attempts so far */
	uint32_t refusals; /* number of refusals by endpoints */
	uint32_t hedges; /* number of attempts given up as late */
	enum answer_code last_code; /* of the last refusal */
	/* Last endpoint it was sent to, for the log. */
	char endpoint[NAME_BYTES];
	/* Endpoints that refused or lost it. */
	struct upstream *avoid[OPERATION_AVOID_MAX];
	uint32_t avoid_count;
	/* Endpoint that did not answer in .hedge_delay_us; NULL: none. */
	const struct upstream *hedged;
	int64_t hedge_delay_us;
	struct mark min_mark; /* NEED_READ: minimum log position */
	GString *rows; /* result rows of the current attempt */
};

struct session {
	struct engine *engine;
	void *caller; /* the host's handle of the caller */
	uint64_t number; /* session number in the log */
	char *database;
	char *key; /* API key; NULL: none was given */
	char *workspace; /* that owned the key when it was last checked */
	/*
	 * Another instance uses it for its callers' operations, which have
	 * passed the checks of keys and limits there; see hop.h.
	 */
	bool relayed;
	char *service; /* relayed: the one that the other instance expects */
	int64_t relayed_version; /* of the other instance's configuration */
	struct route relayed_route; /* by that configuration, without names */
	int64_t relayed_elapsed_us; /* of the next operation, before it came */
	int64_t load_told_us; /* relayed: when the load was told last */
	bool started;
	bool closing;
	int64_t idle_since_us; /* since when no statement is in progress */

	GHashTable *values; /* session values, name to value */
	char *values_key; /* canonical text of all values; "" if none */
	GHashTable *prepared; /* name to struct prepared_statement */
	struct position last_write; /* log position; term 0: no write yet */
	int64_t last_write_us; /* when it was acknowledged */

	enum transaction_state transaction;
	bool transaction_reads_only; /* the caller opened it as read-only */
	bool transaction_wrote;
	int64_t transaction_us; /* start of the transaction */
	int64_t transaction_idle_us; /* since when no statement runs in it */
	/* Connection that holds the transaction. */
	struct upstream_conn *pinned;
	struct upstream_conn *conn; /* connection that runs the statement */

	struct operation op;
	/* Lines received while a statement was in progress, as GBytes. */
	GQueue backlog;
	bool reading; /* a line is being handled; others may follow at once */
};

/* Freed with session_free(). */
struct session *session_new(struct engine *e, void *caller, int64_t now_us);
void session_free(struct session *s);

/*
 * Returns the route of the session's operations, or NULL. It is that of the
 * newest configuration known: this instance's, or the one by which another
 * instance sent the operation.
 */
const struct route *session_find_route(const struct session *s);

/* Returns true if another instance's operation has the newer configuration. */
bool session_has_newer_route(const struct session *s);

/* Sets a session value and updates values_key. */
void session_set_value(struct session *s, const char *name, const char *value);

/* Adds or replaces the prepared statement that a PREPARE describes. */
void session_prepare(struct session *s, const struct query *q);
/* Returns NULL if no such statement was prepared. */
const struct prepared_statement *session_find_prepared(const struct session *s,
						       const char *name);
/* Returns false if no such statement was prepared. */
bool session_deallocate(struct session *s, const char *name);

/* Drops all values and prepared statements. */
void session_reset(struct session *s);

/* Starts an operation; takes ownership of the contents of `q`. */
void operation_start(struct operation *op, struct query *q, int64_t now_us);
/* Returns true while it is in its service's queue. */
bool operation_is_waiting(const struct operation *op);

/*
 * Returns the code with which it is refused if there is no room for it. A read
 * that failed, and waits to run again, has run.
 */
enum answer_code operation_refusal_code(const struct operation *op);

/* Frees the query and marks the operation as not active. */
void operation_end(struct operation *op);

/*
 * Marks an endpoint that refused or lost the statement: later attempts prefer
 * other endpoints. Only the last OPERATION_AVOID_MAX are remembered.
 */
void operation_avoid_endpoint(struct operation *op, struct upstream *u);
bool operation_avoids_endpoint(const struct operation *op,
			       const struct upstream *u);

#endif
