/*
 * upstream_conn.h - one connection to an endpoint.
 *
 * It belongs to a workspace for its whole life, runs one statement at a
 * time and remembers which session values and prepared statements the
 * endpoint holds for it. Whatever is in doubt about it closes it.
 */
#ifndef PROXY_UPSTREAM_CONN_H
#define PROXY_UPSTREAM_CONN_H

#include "proxy/wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct engine;
struct session;
struct upstream;

enum upstream_conn_state {
	CONN_STARTING, /* no answer yet */
	CONN_FREE_TO_USE,
	CONN_WORKING, /* for .session */
	CONN_HOLDING, /* a transaction of .session between its statements */
	CONN_CLEANING, /* ends what an earlier session left */
	CONN_PROBING, /* a question of the proxy's own */
};

/* What an expected answer belongs to. */
enum step_kind {
	STEP_START,
	STEP_SETUP, /* values and prepared statements */
	STEP_BEGIN,
	STEP_STATEMENT,
	STEP_ROLLBACK,
	STEP_PROBE_BEGIN,
	STEP_REPORT, /* an order or question that a report answers */
	STEP_KIND_COUNT,
};

enum { STEPS_MAX = 64 };

struct step {
	enum step_kind kind;
	int64_t sent_us;
};

/* The answer that is arriving. */
struct answer_in {
	bool done;
	bool has_signature;
	bool failed;
	enum answer_code code;
	char report[128]; /* first row of an own question */
};

struct upstream_conn {
	struct engine *engine;
	struct upstream *upstream;
	char *workspace;
	void *stream; /* the host's handle */
	enum upstream_conn_state state;
	struct session *session; /* WORKING, HOLDING; STARTING: first user */
	bool control; /* for orders; holds no workspace's work */
	bool in_transaction; /* at the endpoint */
	bool closed;
	int64_t opened_us;
	int64_t used_us; /* end of the last statement */
	int64_t answered_us; /* last whole answer */

	char *signature; /* of the values it holds */
	GHashTable *prepared; /* "W shape" or "R shape" to name */
	uint32_t prepared_count;

	struct step steps[STEPS_MAX]; /* expected answers, oldest first */
	uint32_t step_first;
	uint32_t step_count;
	struct answer_in answer;
	GString *out; /* messages of this turn */
};

struct upstream_conn *upstream_conn_new(struct engine *e, struct upstream *u,
					const char *workspace, int64_t now_us);

/* Frees it; it must be detached from session, endpoint and host. */
void upstream_conn_free(struct upstream_conn *c);

/* Remembers that one more answer is expected. */
void upstream_conn_expect(struct upstream_conn *c, enum step_kind kind,
			  int64_t now_us);

/* Returns the oldest expected answer, or NULL. */
const struct step *upstream_conn_step(const struct upstream_conn *c);
void upstream_conn_pop(struct upstream_conn *c);

/* Adds one own message to the output and expects its answer. */
void upstream_conn_put(struct upstream_conn *c, const struct wire_ops *wire,
		       const struct own_message *m, enum step_kind kind,
		       int64_t now_us);

/*
 * Adds what makes the connection hold exactly the session's values, and the
 * statement that `prepared` (may be NULL) describes. Returns true if any
 * answer has to be awaited.
 */
bool upstream_conn_put_setup(struct upstream_conn *c,
			     const struct wire_ops *wire,
			     const struct session *s, const char *prepared_name,
			     int64_t now_us);

/* Returns the endpoint's name for the session's prepared statement. */
const char *upstream_conn_prepared(const struct upstream_conn *c,
				   const struct session *s, const char *name);

#endif
