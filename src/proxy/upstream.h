/*
 * upstream.h - the state of an endpoint and its service, as this instance knows
 * it.
 *
 * The engine owns the services, and a service owns its upstreams.
 */
#ifndef PROXY_UPSTREAM_H
#define PROXY_UPSTREAM_H

#include "placement/home_load.h"
#include "health/endpoint_health.h"
#include "health/hedge.h"
#include "proxy/mark_ring.h"
#include "proxy/store_item.h"
#include "scheduler/scheduler.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct service;

struct upstream {
	/* Of a home: .id is the instance, .started_ms its incarnation. */
	struct upstream_entry entry;
	struct service *service;
	bool is_home; /* another instance, which runs statements for this one */
	bool former_home; /* it gets no more work */
	/* Of a home. */
	struct home_load load;
	bool stalled; /* it has work and says nothing */
	/* It was, and has said nothing since: one statement at a time. */
	bool on_trial;
	int64_t stalled_at_us; /* when it was found to be */
	bool load_was_bad; /* it told a malformed load, which was logged */
	int64_t missing_since_us; /* its entry in the store; 0: it is there */
	/*
	 * Its entry did not come back in time, so it gets no more work. It may
	 * still hold the log; see replica_set.h.
	 */
	bool expired;
	bool stored; /* the stored replica set names it */
	bool replaced; /* another process runs at its address */
	bool foreign; /* and that process is not of its service */
	/* First check without an answer since the last one; 0: none. */
	int64_t unanswered_since_us;
	int64_t checked_us;
	struct upstream_conn *check_conn; /* of the last check; may be NULL */

	/* Connections of this instance to the endpoint. */
	GPtrArray *conns; /* struct upstream_conn */
	int64_t open_after_us; /* no connection is opened before this time */

	/* State of the endpoint, as its last answers show. */
	struct position position;
	struct position received; /* furthest known end of its log */
	/* As last reported: it receives nothing in lower terms; 0: it does. */
	uint64_t paused_below_term;
	int64_t silent_since_us; /* first request without an answer; 0: none */
	int64_t repeated_us; /* when it last repeated an answer; 0: never */
	int64_t lag_us; /* estimated replication lag */
	int64_t behind_until_us; /* it refused because it lacks a position */
	int64_t busy_until_us; /* it refused because it is overloaded */

	/* Moving averages. */
	int64_t latency_us; /* of a statement, with its wait at the endpoint */
	int64_t latency_at_us;
	int64_t handshake_us; /* of opening a connection */

	struct endpoint_health *health; /* of a home: not used */

	uint32_t running; /* statements in progress there */
	uint32_t open_failures; /* consecutive failures to open */
	bool listed; /* the store has its entry */
	bool has_position;
	bool connection_refused; /* silent, and refuses connections */
	bool claims_primary; /* claimed it and has not denied it since */
	/*
	 * It was leaving already when it became the primary: it leads only
	 * until a replica that stays has its log, and gets no work.
	 */
	bool interim_primary;
};

struct service {
	char name[NAME_BYTES];
	GPtrArray *upstreams; /* struct upstream */
	/*
	 * Home instances; see homes.h. Without homes every instance opens
	 * connections of its own, and the next six fields are not used.
	 */
	bool has_homes;
	bool is_home; /* this instance is one */
	bool is_observed; /* this instance keeps a connection to the primary */
	uint32_t home_count; /* this one included */
	int64_t read_wait_us; /* expected here, as of the last tick */
	GPtrArray *homes; /* struct upstream; the others */
	GHashTable *observers; /* set of instance names */
	uint32_t conns_max; /* to one endpoint, over all instances */
	bool confirms_writes;
	struct upstream *primary; /* NULL: none is known */
	bool knew_primary; /* at any time */
	/*
	 * The primary whose entry expired, unless another has been known since.
	 */
	struct upstream *expired_primary;
	uint64_t term; /* highest term seen */
	/*
	 * The endpoint that was chosen last, and its term; see
	 * primary_fence.h. 0: none is known.
	 */
	uint64_t ordered_term;
	char ordered_endpoint[NAME_BYTES];
	int64_t ordered_us; /* when this instance learned of it */
	/* Since when there is no primary; 0: there is one. */
	int64_t primary_lost_us;
	/* Average duration of outages of the primary. */
	int64_t typical_outage_us;
	struct mark_ring marks;
	struct scheduler *queue; /* statements that wait for an endpoint */
	/* Connections were released since the queue was last run. */
	bool room_freed;
	bool routes_changed; /* since statements that wait were last sent */
	bool probing; /* a probe of the primary is pending */
	int64_t probe_due_us;
	/* For work that is late; see hedging.h. */
	struct hedge_budget hedge_budget;
	struct hedge_times read_times;
	struct hedge_times handshake_times;
	int64_t judge_due_us; /* of the health of its endpoints */
	/* Smallest max_age_us of its routes; 0: all of them are strict. */
	int64_t smallest_max_age_us;
};

/* Creates a service. service_free() also frees its upstreams. */
struct service *service_new(const char *name);
void service_free(struct service *s);

/* Adds an upstream to its service, which owns it. */
struct upstream *upstream_new(struct service *s,
			      const struct upstream_entry *e);

/* Adds a home to its service, which owns it. */
struct upstream *upstream_new_home(struct service *s,
				   const struct upstream_entry *e);

/* Notes that it sent an answer that nothing had asked for. */
void upstream_note_repetition(struct upstream *u, int64_t now_us);
/* Returns true if an unsigned answer of it may be a copy of an earlier one. */
bool upstream_repeats_answers(const struct upstream *u, int64_t now_us);

/* Removes a home without connections from its service and frees it. */
void upstream_free_home(struct upstream *u);

/*
 * Removes an upstream from its service and frees it; it must have no
 * connections and not be the primary.
 */
void upstream_free(struct upstream *u);

/* Returns the hash of its id that names it in messages between instances. */
uint64_t upstream_id_hash(const struct upstream *u);

/* Returns the primary, or else the last one if its entry has expired. */
const struct upstream *service_last_primary(const struct service *s);

/* Returns true if `other` has the same address and started after it. */
bool upstream_started_before(const struct upstream *u,
			     const struct upstream *other);

/* Returns true if it has ended: another process has its address. */
bool upstream_has_ended(const struct upstream *u);

/*
 * Returns true if it has ended, and the entry of the process at its address,
 * and so its id, is not known. That process may have its log and receive.
 */
bool upstream_has_unknown_successor(const struct upstream *u);

/* Returns true if new work may be sent to it. */
bool upstream_is_usable(const struct upstream *u);

/* Returns true if work that needs the primary may be sent to it. */
bool upstream_is_usable_primary(const struct upstream *u);

/* Records the log position in an answer, and the replication lag it implies. */
void upstream_record_position(struct upstream *u, struct position p,
			      int64_t now_us);

/* Records that the endpoint answered or accepted a connection. */
void upstream_record_answer(struct upstream *u);

/*
 * Records an answer that it gave, or the process of its service that runs at
 * its address now.
 */
void upstream_record_own_answer(struct upstream *u);

/* Records that its entry did not come back in time. */
void upstream_expire(struct upstream *u, int64_t now_us);

/* Records that the store has its entry. */
void upstream_set_listed(struct upstream *u);

/* Add the duration of a statement or handshake to the moving average. */
void upstream_record_latency(struct upstream *u, int64_t took_us,
			     int64_t now_us);
void upstream_record_handshake(struct upstream *u, int64_t took_us);

/*
 * Returns the expected duration of a statement. The average decays while no
 * statement renews it.
 */
int64_t upstream_expected_latency_us(const struct upstream *u, int64_t now_us);

/*
 * Returns true if it refuses connections, or has not answered for longer than
 * any delay in the network lasts.
 */
bool upstream_is_silent(const struct upstream *u, int64_t now_us);

/*
 * Returns since when there is no primary, or it is fenced or does not answer;
 * 0: there is no outage.
 */
int64_t service_outage_since_us(const struct service *s, int64_t now_us);

/* Adds the duration of an outage that has ended to the average. */
void service_record_recovery(struct service *s, int64_t took_us);

/*
 * Evidence that an endpoint is or is not the primary. An entry that is read for
 * the first time may be older than a promotion, so it does not replace a known
 * primary.
 */
enum primary_claim {
	PRIMARY_CLAIM_DENIED, /* replica by its entry or refusal; or removed */
	PRIMARY_CLAIM_ENTRY, /* its entry says that it is the primary */
	/* Its entry changed to say so, or an answer shows it. */
	PRIMARY_CLAIM_CONFIRMED,
};

/*
 * Records an endpoint's claim and selects the primary again. Returns true if
 * the service's primary changed; it may be NULL then.
 */
bool service_update_primary(struct upstream *u, enum primary_claim claim,
			    int64_t now_us);

#endif
