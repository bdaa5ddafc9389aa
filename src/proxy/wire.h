/*
 * wire.h - interface to the protocol of callers and endpoint connections.
 *
 * The proxy itself works on these types only. A platform provides one struct
 * wire_ops that reads and writes its protocol; see platform/line_wire.h.
 */
#ifndef PROXY_WIRE_H
#define PROXY_WIRE_H

#include "core/event.h"
#include "core/position.h"
#include "proxy/answer_code.h"
#include "proxy/query.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* First message of a caller's session. The strings point into its line. */
struct session_start {
	const char *database;
	const char *key; /* NULL: no key was given */
};

/* Transaction state of a connection after an answer. */
enum transaction_state {
	TRANSACTION_NONE,
	TRANSACTION_OPEN,
	TRANSACTION_FAILED, /* only COMMIT or ROLLBACK is possible */
};

/* State of an endpoint, as it reports it; see struct upstream. */
struct upstream_report {
	enum endpoint_role role;
	uint64_t term; /* its current term */
	struct position received; /* position of the last entry in its log */
	/* Pauses replication of lower terms; 0: none. */
	uint64_t paused_below_term;
	int64_t lag_us;
	uint32_t busy; /* slots in use */
	uint32_t connections;
};

enum reply_kind {
	REPLY_ROW,
	REPLY_DONE, /* the statement succeeded */
	REPLY_ERROR,
	REPLY_READY, /* the answer is complete */
	REPLY_MALFORMED,
};

/* One message from an endpoint. */
struct wire_reply {
	enum reply_kind kind;
	/* The line as received, to be passed on; borrowed. May hold NULs. */
	const char *text;
	size_t text_bytes;
	bool ran_statement; /* DONE: it answers a caller's statement */
	enum answer_code code; /* set for ERROR */
	const char *reason; /* ERROR: points into text; "": none */
	enum transaction_state state; /* set for READY */
	bool has_position; /* set for READY */
	struct position position; /* READY: end of the endpoint's log */
};

/* Statements that the proxy itself sends to endpoints. */
enum proxy_statement {
	PROXY_STATEMENT_BEGIN,
	PROXY_STATEMENT_BEGIN_READ, /* uses .after */
	PROXY_STATEMENT_ROLLBACK,
	PROXY_STATEMENT_RESET, /* drops all values and prepared statements */
	PROXY_STATEMENT_SET, /* uses .name and .value */
	PROXY_STATEMENT_PREPARE, /* uses .name, .value and .writes */
	PROXY_STATEMENT_STATUS, /* answered by a report */
	/* Pause replication of terms below .term; answered by a report. */
	PROXY_STATEMENT_PAUSE,
	PROXY_STATEMENT_RESUME, /* resume replication; answered by a report */
	/* Become a replica; uses .term; answered by a report. */
	PROXY_STATEMENT_DEMOTE,
};

struct proxy_message {
	enum proxy_statement statement;
	const char *name;
	const char *value;
	bool writes;
	uint64_t term;
	/*
	 * The endpoint refuses if its log does not cover this; NULL: no check.
	 */
	const struct position *after;
};

struct wire_ops {
	/*
	 * Return false if the line is malformed. read_start() changes the line,
	 * and the strings in *out point into it.
	 */
	bool (*read_start)(char *line, struct session_start *out);
	bool (*read_report)(const char *row, struct upstream_report *out);
	/*
	 * Parses a copy of the line, which the query then owns. A malformed
	 * line gives QUERY_MALFORMED or REPLY_MALFORMED. The line ends with a
	 * NUL that `bytes` does not count, and may hold others.
	 */
	void (*read_query)(const char *line, size_t bytes, struct query *out);
	void (*read_reply)(const char *line, size_t bytes,
			   struct wire_reply *out);

	/* Append messages for callers. */
	void (*put_line)(GString *out, const char *text, size_t bytes);
	/* Result of a statement answered by the proxy. */
	void (*put_done)(GString *out);
	void (*put_error)(GString *out, enum answer_code code,
			  const char *reason);
	/* `position` may be NULL. */
	void (*put_ready)(GString *out, enum transaction_state state,
			  const struct position *position);

	/*
	 * Append messages for endpoints. `endpoint` is its id; NULL: any
	 * endpoint of the service.
	 */
	void (*put_start)(GString *out, const char *service,
			  const char *workspace, const char *endpoint);
	/*
	 * `prepared` is the endpoint's name of the statement, for EXECUTE. The
	 * endpoint refuses if its log does not cover `after`; NULL: no check.
	 */
	void (*put_query)(GString *out, const struct query *q,
			  const char *prepared, const struct position *after);
	void (*put_proxy_message)(GString *out, const struct proxy_message *m);
};

#endif
