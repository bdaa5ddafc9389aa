/*
 * wire.h - how sessions and endpoint connections are spelled.
 *
 * The proxy's decisions see only these types. A platform provides one
 * struct wire_ops; see platform/line_wire.h.
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

/* First message of a caller's session; the texts point into its line. */
struct session_start {
	const char *database;
	const char *key; /* NULL: none was given */
};

/* Where a connection stands after an answer. */
enum transaction_state {
	TRANSACTION_NONE,
	TRANSACTION_OPEN,
	TRANSACTION_FAILED, /* only ending it is possible */
};

/* What an endpoint says about itself; see struct upstream. */
struct upstream_report {
	enum endpoint_role role;
	uint64_t term; /* that it is in */
	struct position received; /* last entry of its log */
	uint64_t held_term; /* receives nothing below this term; 0: all */
	int64_t lag_us;
	uint32_t busy; /* slots in use */
	uint32_t connections;
};

enum reply_kind {
	REPLY_ROW,
	REPLY_DONE, /* a statement succeeded */
	REPLY_ERROR,
	REPLY_READY, /* the answer is complete */
	REPLY_MALFORMED,
};

/* One message of an endpoint; `text` points into its line. */
struct wire_reply {
	enum reply_kind kind;
	const char *text; /* the whole line, to be passed on */
	bool has_signature; /* DONE: the endpoint ran a caller's statement */
	enum answer_code code; /* ERROR */
	enum transaction_state state; /* READY */
	bool has_position; /* READY */
	struct position position; /* READY: of the endpoint's log */
};

/* The proxy's own statements. */
enum own_statement {
	OWN_BEGIN,
	OWN_BEGIN_READ, /* .after */
	OWN_ROLLBACK,
	OWN_RESET, /* drops values and prepared statements */
	OWN_SET, /* .name .value */
	OWN_PREPARE, /* .name .value .writes */
	OWN_STATUS, /* answered by a report */
	OWN_HOLD, /* .term: receive nothing below it; a report */
	OWN_RELEASE, /* receive again; a report */
	OWN_DEMOTE, /* .term: be a replica; a report */
};

struct own_message {
	enum own_statement statement;
	const char *name;
	const char *value;
	bool writes;
	uint64_t term;
	const struct position *after; /* refuse below it; NULL: do not check */
};

struct wire_ops {
	/* Return false when the line cannot be read. */
	bool (*read_start)(char *line, struct session_start *out);
	bool (*read_report)(const char *row, struct upstream_report *out);
	/* Takes over a copy of the line; kind MALFORMED if it is none. */
	void (*read_query)(const char *line, struct query *out);
	void (*read_reply)(const char *line, struct wire_reply *out);

	/* To callers. */
	void (*put_line)(GString *out, const char *text);
	void (*put_done)(GString *out); /* of a statement answered here */
	void (*put_error)(GString *out, enum answer_code code,
			  const char *reason);
	/* `position` may be NULL. */
	void (*put_ready)(GString *out, enum transaction_state state,
			  const struct position *position);

	/* To endpoints. */
	void (*put_start)(GString *out, const char *service,
			  const char *workspace, const char *endpoint);
	/* `prepared`: name at the endpoint, for EXECUTE. */
	void (*put_query)(GString *out, const struct query *q,
			  const char *prepared, const struct position *after);
	void (*put_own)(GString *out, const struct own_message *m);
};

#endif
