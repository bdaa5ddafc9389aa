/*
 * upstream_conn.h - one connection to an endpoint.
 *
 * It belongs to one workspace for its whole life and runs one statement at a
 * time. It records which session values and prepared statements the endpoint
 * holds for it. If the state of the connection is in doubt, it is closed.
 */
#ifndef PROXY_UPSTREAM_CONN_H
#define PROXY_UPSTREAM_CONN_H

#include "proxy/wire.h"
#include "replies/reply_check.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct engine;
struct session;
struct upstream;

enum upstream_conn_state {
	CONN_STATE_STARTING, /* connecting, or the start is not answered yet */
	CONN_STATE_IDLE,
	CONN_STATE_RUNNING, /* a statement of .session */
	/* Between two statements of .session's transaction. */
	CONN_STATE_IN_TRANSACTION,
	CONN_STATE_CLEANUP, /* finishes a released statement or rolls back */
	CONN_STATE_PROBING, /* a statement of the proxy itself */
};

/* Kind of a request whose answer is pending. */
enum conn_request_kind {
	CONN_REQUEST_START,
	CONN_REQUEST_SETUP, /* of session values or a prepared statement */
	CONN_REQUEST_BEGIN,
	CONN_REQUEST_STATEMENT,
	CONN_REQUEST_ROLLBACK,
	CONN_REQUEST_PROBE_BEGIN,
	CONN_REQUEST_REPORT, /* a statement that is answered by a report */
	/* Its answer shows that the one before it was not a late copy. */
	CONN_REQUEST_SEAL,
	CONN_REQUEST_KIND_COUNT,
};

enum { CONN_REQUESTS_MAX = 64 };

/* A request that was sent and has no complete answer yet. */
struct conn_request {
	enum conn_request_kind kind;
	int64_t sent_us;
};

/* State of the answer that is being received. */
struct incoming_answer {
	bool failed;
	enum answer_code code;
	char report[128]; /* first row, for statements of the proxy itself */
	char reason[96]; /* of a failure, as a home gave it */
};

/*
 * What unsigned answers said. It counts once an answer of another kind has come
 * after them: until then they may be late copies of earlier answers.
 */
struct unsealed_answers {
	/* From BEGIN at a primary. */
	bool has_mark;
	int64_t requested_us;
	struct position position;
	/* From a statement of the proxy itself. */
	bool has_report;
	struct upstream_report report;
};

struct upstream_conn {
	struct engine *engine;
	struct upstream *upstream;
	char *workspace;
	void *stream; /* the host's handle of the connection */
	enum upstream_conn_state state;
	/*
	 * The session that uses it in RUNNING and IN_TRANSACTION; in STARTING
	 * the one that waits for it, or NULL.
	 */
	struct session *session;
	bool control; /* carries only statements of the proxy itself */
	bool any_id; /* it was opened without the endpoint's id */
	bool writes; /* its last statement writes, or its transaction may */
	bool in_transaction; /* the endpoint has an open transaction on it */
	bool denied; /* the endpoint refused to start it */
	bool retired; /* its answers may be out of step: closed on release */
	/* Since the last signed answer, unsigned ones were taken. */
	bool took_unsigned;
	bool closed;
	int64_t opened_us;
	uint64_t statements; /* that were sent on it */
	int64_t idle_since_us; /* when it last became idle */
	int64_t answered_us; /* when the last complete answer arrived */
	int64_t error_us; /* when it last carried an error; 0: never */
	/* If that was a copy, the request's own answer comes by then. */
	int64_t unused_until_us;
	/* A result without a signature came while its statement ran; 0: none. */
	int64_t stray_us;

	char *values_key; /* canonical text of the values it holds */
	/* "W definition" or "R definition" to the endpoint's name for it. */
	GHashTable *prepared;
	uint32_t prepared_count;

	/* Ring of the requests whose answers are pending. */
	struct conn_request requests[CONN_REQUESTS_MAX];
	uint32_t request_first; /* index of the oldest */
	uint32_t request_count;
	struct incoming_answer answer;
	struct reply_check *replies;
	GString *rows; /* of that answer, with its result */
	struct unsealed_answers unsealed;
	GString *out; /* output that is not sent yet */
};

/* Freed with upstream_conn_free(). */
struct upstream_conn *upstream_conn_new(struct engine *e, struct upstream *u,
					const char *workspace, int64_t now_us);

/*
 * Frees a connection; it must be detached from its session, endpoint and host.
 */
void upstream_conn_free(struct upstream_conn *c);

/* Records a request that was sent or is in the output. */
void upstream_conn_push_request(struct upstream_conn *c,
				enum conn_request_kind kind, int64_t now_us);

/* Returns the oldest pending request, or NULL. */
const struct conn_request *
upstream_conn_oldest_request(const struct upstream_conn *c);
/* Removes the oldest pending request; there must be one. */
void upstream_conn_pop_request(struct upstream_conn *c);

/* Forgets what has been received of an answer. */
void upstream_conn_clear_answer(struct upstream_conn *c);

/*
 * Appends a statement of the proxy itself to the output and records it as a
 * request.
 */
void upstream_conn_put_message(struct upstream_conn *c,
			       const struct wire_ops *wire,
			       const struct proxy_message *m,
			       enum conn_request_kind kind, int64_t now_us);

/*
 * Appends a request whose answer shows that the answers before it were due. It
 * ends all values and prepared statements.
 */
void upstream_conn_put_seal(struct upstream_conn *c,
			    const struct wire_ops *wire, int64_t now_us);

/*
 * Appends the statements that give the connection exactly the session's values
 * and its prepared statement `prepared_name` (NULL: none), unless it has them.
 * Returns true if anything was appended and must be answered first.
 */
bool upstream_conn_put_setup(struct upstream_conn *c,
			     const struct wire_ops *wire,
			     const struct session *s, const char *prepared_name,
			     int64_t now_us);

/*
 * Returns true if an error on the connection may be a copy of an earlier one:
 * it must not run what may take effect.
 */
bool upstream_conn_had_error(const struct upstream_conn *c, int64_t now_us);

/*
 * Returns the name under which the endpoint holds the session's prepared
 * statement, owned by the connection, or NULL.
 */
const char *upstream_conn_find_prepared(const struct upstream_conn *c,
					const struct session *s,
					const char *name);

#endif
