/*
 * engine.h - the logic of one instance that serves sessions.
 *
 * The host passes on whatever arrives, with the time, and provides network,
 * log and clock through struct engine_host. The engine itself has no sockets
 * and no clock: the same calls, times and seed give the same result.
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

/* Services of the host process; `host` is engine_opts.host. */
struct engine_host {
	/* Sends to a caller; the bytes are copied. */
	void (*caller_send)(void *host, void *caller, const char *bytes,
			    size_t len);
	/* Closes the caller's connection; no further call about it follows. */
	void (*caller_close)(void *host, void *caller);
	/*
	 * Begins to open a connection to an endpoint. Returns a handle, or NULL
	 * if that is not possible now. The outcome is reported by
	 * engine_conn_opened() or engine_conn_closed().
	 */
	void *(*conn_open)(void *host, const char *address,
			   struct upstream_conn *c);
	/* Sends to an endpoint; the bytes are copied. */
	void (*conn_send)(void *host, void *conn, const char *bytes,
			  size_t len);
	/* Closes the connection; no further event about it follows. */
	void (*conn_close)(void *host, void *conn);
	/*
	 * Sets an instance's address for peer messages; NULL: its entry has
	 * left the store.
	 */
	void (*peer_changed)(void *host, const char *instance,
			     const char *address);
	void (*peer_send)(void *host, const struct peer_message *m);
	void (*log)(void *host, const struct log_entry *entry);
	int64_t (*now_us)(void *host); /* monotonic clock */
	/* Time of day, Unix milliseconds; may jump. */
	int64_t (*time_ms)(void *host);
};

/* How far all instances together may exceed a limit. */
struct quota_tolerance {
	int64_t window_us; /* applies to any window of this length */
	uint32_t overrun_milli; /* excess, in thousandths of the limit */
	uint32_t slack_milli; /* further excess, in thousandths of operations */
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
	char peer_address[ADDRESS_BYTES]; /* "ip:port" for peer messages */
	/* "ip:port" for statements of other instances; "": never a home */
	char relay_address[ADDRESS_BYTES];
	uint64_t incarnation; /* of this process, never 0 */
	uint64_t seed;
	int64_t key_limit_us; /* a withdrawn key stops working within this */
	/* A configuration is in force this long after it was accepted. */
	int64_t config_limit_us;
	int64_t grace_us; /* duration of a shutdown */
	/*
	 * A failover waits this long for an endpoint that may hold acknowledged
	 * commits, has no entry in the store and does not answer.
	 */
	int64_t replica_wait_us;
	struct quota_tolerance tolerance;
	uint32_t sessions_max;
};

/* Freed with engine_free(). `opts` is copied; what it points to is not. */
struct engine *engine_new(const struct engine_opts *opts, int64_t now_us);
void engine_free(struct engine *e);

/* Applies the settings that may change while the process runs. */
void engine_reload(struct engine *e, const struct engine_opts *opts);

/*
 * Events on callers' connections. engine_caller_opened() returns a session,
 * owned by the engine, or NULL when there are too many; the host closes the
 * connection then. A line has no line end and is not kept.
 */
struct session *engine_caller_opened(struct engine *e, void *caller);
/* Likewise, on the connection of another instance; see proxy/hop.h. */
struct session *engine_relay_opened(struct engine *e, void *caller);
void engine_caller_line(struct session *s, const char *line, size_t bytes);
void engine_caller_closed(struct session *s);

/* Events on endpoint connections; `error` is 0 or a negative errno. */
void engine_conn_opened(struct upstream_conn *c);
void engine_conn_line(struct upstream_conn *c, const char *line, size_t bytes);
void engine_conn_closed(struct upstream_conn *c, int error);

/* Handles a message of another instance. */
void engine_peer_message(struct engine *e, const struct peer_message *m);

/* Runs what is due; engine_next_due_us() returns when to call it again. */
void engine_tick(struct engine *e);
int64_t engine_next_due_us(const struct engine *e);

/* Begins a shutdown; engine_is_drained() turns true when it is complete. */
void engine_drain(struct engine *e);
bool engine_is_drained(const struct engine *e);
/* Returns when the process has to end, drained or not; INT64_MAX: never. */
int64_t engine_end_due_us(const struct engine *e);

/* Removes this instance's entry from the store. */
void engine_remove_own_entry(struct engine *e);

/* Returns true while new callers may be sent to this instance. */
bool engine_is_ready(const struct engine *e);

/* Updates the gauges; called before metrics are read. */
void engine_update_metrics(struct engine *e);

#endif
