/*
 * session.h - a caller's session and the one statement it waits for.
 *
 * Sessions belong to the engine. What a session set or prepared lives here
 * and is laid on whichever endpoint connection runs its next statement.
 */
#ifndef PROXY_SESSION_H
#define PROXY_SESSION_H

#include "core/sizes.h"
#include "proxy/answer_code.h"
#include "proxy/fleet_config.h"
#include "proxy/mark_ring.h"
#include "proxy/query.h"
#include "proxy/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct engine;
struct service;
struct upstream;
struct upstream_conn;

/* A statement that the session prepared. */
struct prepared {
	bool writes;
	char *shape;
};

/* What an operation needs of the endpoint that runs it. */
enum need {
	NEED_PRIMARY, /* writes, and transactions that may write */
	NEED_STRICT_READ, /* the primary, in a transaction of the proxy's own */
	NEED_READ, /* any copy that covers .after */
};

enum { OPERATION_AVOID_MAX = 4 };

/* The statement under way. */
struct operation {
	bool active;
	struct query query;
	bool writes;
	enum need need;
	bool begins; /* it opens the transaction at the endpoint */
	int64_t arrived_us;
	int64_t deadline_us; /* answered by then */
	int64_t hold_until_us; /* refused if it still waits then */
	int64_t resume_us; /* not sent before */
	bool waiting; /* in its service's queue */
	bool asking; /* the home of its workspace's limit */
	bool sent; /* a statement of the caller's is at an endpoint */
	int64_t sent_us;
	uint32_t sends;
	uint32_t refusals; /* by endpoints */
	enum answer_code last_code; /* of the last refusal */
	char endpoint[NAME_BYTES]; /* that it was sent to last, for the log */
	struct upstream *avoid[OPERATION_AVOID_MAX]; /* refused or lost it */
	uint32_t avoid_count;
	struct mark after; /* NEED_READ */
	GString *rows; /* of the present send */
};

struct session {
	struct engine *engine;
	void *caller; /* the host's handle */
	uint64_t number; /* for the log */
	char *database;
	char *key; /* NULL: none */
	char *workspace; /* of the key, last known */
	bool started;
	bool closing;
	int64_t idle_since_us; /* of a session without a statement */

	GHashTable *values; /* name to value */
	char *signature; /* of all values; "" if none */
	GHashTable *prepared; /* name to struct prepared */
	struct position own_write;
	int64_t own_write_us;

	enum transaction_state transaction;
	bool transaction_reads_only; /* the caller said so */
	bool transaction_wrote;
	int64_t transaction_us; /* when it began */
	int64_t transaction_idle_us; /* since when no statement runs */
	struct upstream_conn *pinned; /* carries the transaction */
	struct upstream_conn *conn; /* carries the statement under way */

	struct operation op;
	GQueue backlog; /* lines that came before the last answer */
};

struct session *session_new(struct engine *e, void *caller, int64_t now_us);
void session_free(struct session *s);

/* Sets or drops a value and renews the signature. */
void session_set_value(struct session *s, const char *name, const char *value);

void session_prepare(struct session *s, const struct query *q);
/* Returns NULL for an unknown name. */
const struct prepared *session_prepared(const struct session *s,
					const char *name);
/* Returns false for an unknown name. */
bool session_deallocate(struct session *s, const char *name);

/* Starts an operation; takes the query over. */
void operation_start(struct operation *op, struct query *q, int64_t now_us);
void operation_end(struct operation *op);

/* Keeps later sends away from an endpoint while others are left. */
void operation_avoid(struct operation *op, struct upstream *u);
bool operation_avoids(const struct operation *op, const struct upstream *u);

#endif
