/*
 * engine.h - the decisions of one instance that serves sessions.
 *
 * The host passes on what arrives and when, and carries out what the engine
 * asks through struct engine_host. The engine has no socket and no clock:
 * the same calls, times and seed give the same result.
 */
#ifndef PROXY_ENGINE_H
#define PROXY_ENGINE_H

#include "base/metrics.h"
#include "core/action.h"
#include "core/log_event.h"
#include "core/peer_message.h"
#include "proxy/store.h"
#include "proxy/wire.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct engine;
struct session;
struct upstream_conn;

/* What the engine asks of its process; `host` is the first argument. */
struct engine_host {
	void (*caller_send)(void *host, void *caller, const char *bytes,
			    size_t len);
	/* No further call about this caller follows. */
	void (*caller_close)(void *host, void *caller);
	/*
	 * Returns a handle, or NULL if none can be opened now. The outcome
	 * arrives by engine_conn_opened() or engine_conn_closed().
	 */
	void *(*conn_open)(void *host, const char *address,
			   struct upstream_conn *c);
	void (*conn_send)(void *host, void *conn, const char *bytes,
			  size_t len);
	void (*conn_close)(void *host, void *conn);
	/* An instance is at an address; NULL: it is gone. */
	void (*peer_changed)(void *host, const char *instance,
			     const char *address);
	void (*peer_send)(void *host, const struct peer_message *m);
	void (*log)(void *host, const struct log_entry *entry);
	int64_t (*now_us)(void *host);
};

/* How much over a limit the platform tolerates, over all instances. */
struct quota_tolerance {
	int64_t window_us;
	uint32_t overrun_milli; /* of what the limit allows in a window */
	uint32_t slack_milli; /* operations more */
};

struct engine_opts {
	const struct engine_host *ops;
	void *host;
	const struct wire_ops *wire;
	struct store *store;
	struct promoter *promoter;
	struct metrics *metrics; /* borrowed */
	char instance[NAME_BYTES];
	char zone[NAME_BYTES];
	char peer_address[ADDRESS_BYTES];
	uint64_t incarnation; /* of this process, never 0 */
	uint64_t seed;
	int64_t key_limit_us; /* a withdrawn key stops working by then */
	int64_t grace_us; /* from a shutdown's start to its end */
	struct quota_tolerance tolerance;
	uint32_t sessions_max;
};

/* Freed with engine_free(). */
struct engine *engine_new(const struct engine_opts *opts, int64_t now_us);
void engine_free(struct engine *e);

/* Takes settings that may change while the process runs. */
void engine_reload(struct engine *e, const struct engine_opts *opts);

/* Callers. Returns NULL when there are too many; the host closes it. */
struct session *engine_caller_opened(struct engine *e, void *caller);
void engine_caller_line(struct session *s, const char *line);
void engine_caller_closed(struct session *s);

/* Endpoint connections. */
void engine_conn_opened(struct upstream_conn *c);
void engine_conn_line(struct upstream_conn *c, const char *line);
void engine_conn_closed(struct upstream_conn *c, int error);

/* Messages of other instances. */
void engine_peer_message(struct engine *e, const struct peer_message *m);

/* Runs what is due, and says when to come back. */
void engine_tick(struct engine *e);
int64_t engine_next_due_us(const struct engine *e);

/* Begins a shutdown; engine_is_drained() once nothing is left. */
void engine_drain(struct engine *e);
bool engine_is_drained(const struct engine *e);

/* Takes the own entry out of the store. */
void engine_remove_own_entry(struct engine *e);

/* Returns true when new callers may be sent here. */
bool engine_is_ready(const struct engine *e);

/* Brings the gauges up to date before they are read. */
void engine_update_metrics(struct engine *e);

#endif
