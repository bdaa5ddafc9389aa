/*
 * engine_state.h - the state of one engine, shared by its modules.
 *
 * Internal to src/proxy. Everything in it is owned by the engine.
 */
#ifndef PROXY_ENGINE_STATE_H
#define PROXY_ENGINE_STATE_H

#include "feed/change_relay.h"
#include "handover/home_handover.h"
#include "handover/stop_plan.h"
#include "proxy/duty.h"
#include "proxy/engine.h"
#include "proxy/fleet_config.h"
#include "proxy/limit_record.h"
#include "proxy/quota.h"
#include "proxy/quota_requests.h"
#include "proxy/quota_division.h"
#include "proxy/session.h"
#include "proxy/store_feed.h"
#include "proxy/failover.h"
#include "proxy/replica_set.h"
#include "proxy/upstream.h"
#include "proxy/upstream_conn.h"
#include "steering/steer_request.h"

#include <glib.h>

struct engine {
	struct engine_opts opts;
	GRand *rand;
	struct fleet_config *config; /* NULL: none yet */
	int64_t config_revision; /* store revision of that configuration */
	GHashTable *services; /* name to struct service */
	GHashTable *upstreams_by_id; /* struct upstream, listed or not */
	GHashTable *sessions; /* set of struct session */
	GHashTable *busy_sessions; /* with a statement or a transaction */
	GHashTable *instances; /* name to struct instance_entry */
	bool listing; /* a list of the store's items is arriving */
	/* Sets of names in the list so far. */
	GHashTable *listed_upstreams;
	GHashTable *listed_instances;
	/* Until then, entries that expired in an outage may come back. */
	int64_t entries_settle_us;
	uint32_t instance_count; /* this one included; at least 1 */
	uint32_t instance_rank; /* of this instance among the sorted names */
	bool homes_changed; /* homes may have to be chosen again */
	int64_t homes_update_us; /* not before this time */
	struct store_feed *feed;
	struct change_relay *change_relay; /* of what the feed delivers */
	struct duty *duty;
	struct quota *quota;
	struct quota_division *division;
	struct quota_requests *quota_requests;
	struct limit_record *limit_record;
	struct failovers *failovers;
	struct replica_sets *replica_sets;
	struct steer_table *steer; /* operators' requests */
	GPtrArray *closed_conns; /* freed at the end of a tick */
	GPtrArray *closed_sessions; /* likewise */
	uint64_t last_session_number;
	int64_t next_report_us;
	/* As announced, before it was read from the store; 0: never. */
	int64_t duty_taken_position;
	char duty_taken_by[NAME_BYTES];
	uint64_t report_sequence; /* of the last report */
	int64_t report_sent_us; /* when that report was sent */
	uint32_t silent_primary_count; /* as of the last report_run() */
	char grantor[NAME_BYTES]; /* sender of the last grant applied */
	uint64_t grant_confirmed; /* sequence number of that grant */
	int64_t last_tick_us;
	struct stop_plan stop; /* of this process */
	int64_t leave_due_us; /* when it may be announced, while draining */
	bool leaving; /* that this home is leaving has been announced */
	struct handover_plan *handover; /* of other homes */
	bool was_ready; /* as last logged */
	bool keys_were_fresh; /* as last logged */
	bool config_was_usable; /* as last logged */
};

static inline int64_t engine_now(const struct engine *e)
{
	return e->opts.ops->now_us(e->opts.host);
}

/*
 * Writes one line to the log. docs/EVENTS.md lists the events and the meaning
 * of `subject` and `value` in each. `session` is the number of a session, or 0.
 */
void engine_log(const struct engine *e, enum log_event number, uint64_t session,
		const char *subject, int64_t value, const char *format, ...)
	__attribute__((format(printf, 6, 7)));

/*
 * Returns true if operators ask to keep new work from the endpoint, itself or
 * its zone.
 */
bool engine_avoids_endpoint(const struct engine *e, const struct upstream *u);

/* Returns true if operators ask that the instance is no home. */
bool engine_avoids_instance(const struct engine *e, const char *name,
			    const char *zone);

/* Returns the service of that name, or NULL. */
struct service *engine_find_service(const struct engine *e, const char *name);

/*
 * Returns true while the store was confirmed recently enough that a
 * withdrawn key would be known here.
 */
bool engine_keys_are_fresh(const struct engine *e, int64_t now_us);

/*
 * Returns true if callers may be served, or told what is not there, by the
 * configuration: it was confirmed recently, or the store does not answer and
 * so cannot tell whether there is a newer one.
 */
bool engine_config_is_usable(const struct engine *e, int64_t now_us);

/* Returns the lifetime of the lease that this instance's entry is bound to. */
int64_t engine_lease_ttl_us(const struct engine *e);

/*
 * Applies an endpoint's claim about its role and selects the service's primary
 * again. A change of primary is logged with `reason`, a predicate that follows
 * the endpoint's name.
 */
void engine_update_primary(struct engine *e, struct upstream *u,
			   enum primary_claim claim, const char *reason);

/* Sends the output collected for a connection, unless it is still starting. */
void engine_conn_flush(struct upstream_conn *c);

#endif
