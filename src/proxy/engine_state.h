/*
 * engine_state.h - the tables of one engine, shared by its parts.
 *
 * Internal to src/proxy. The engine frees everything in it.
 */
#ifndef PROXY_ENGINE_STATE_H
#define PROXY_ENGINE_STATE_H

#include "proxy/duty.h"
#include "proxy/engine.h"
#include "proxy/fleet_config.h"
#include "proxy/quota.h"
#include "proxy/quota_requests.h"
#include "proxy/quota_division.h"
#include "proxy/session.h"
#include "proxy/store_feed.h"
#include "proxy/failover.h"
#include "proxy/upstream.h"
#include "proxy/upstream_conn.h"

#include <glib.h>

struct engine {
	struct engine_opts opts;
	GRand *rand;
	struct fleet_config *config; /* NULL: none yet */
	int64_t config_revision;
	GHashTable *services; /* name to struct service */
	GHashTable *entries; /* id to struct upstream, listed or not */
	GHashTable *sessions; /* set of struct session */
	GHashTable *busy; /* those with a statement or a transaction */
	GHashTable *instances; /* name to struct instance_entry */
	bool listing; /* the store's items are being listed anew */
	GHashTable *listed_names; /* set of those that came */
	int64_t entries_settle_us; /* until then, missing ones may come back */
	uint32_t instance_count; /* at least 1 */
	uint32_t instance_rank; /* own place among the sorted names */
	struct store_feed *feed;
	struct duty *duty;
	struct quota *quota;
	struct quota_division *division;
	struct quota_asks *asks;
	struct takeovers *takeovers;
	GPtrArray *closed; /* connections and sessions to be freed */
	GPtrArray *closed_sessions;
	uint64_t last_session;
	int64_t next_report_us;
	uint64_t report_sequence;
	int64_t report_sent_us; /* of that report */
	uint32_t silent_reported; /* primaries that it called silent */
	char grantor[NAME_BYTES]; /* whose grant was applied last */
	uint64_t grant_confirmed; /* its number */
	int64_t drain_since_us; /* 0: not draining */
	bool was_ready;
	bool keys_were_fresh;
};

static inline int64_t engine_now(const struct engine *e)
{
	return e->opts.ops->now_us(e->opts.host);
}

/* One line for the log; see docs/EVENTS.md. */
void engine_log(const struct engine *e, enum log_event number, uint64_t session,
		const char *subject, int64_t value, const char *format, ...)
	__attribute__((format(printf, 6, 7)));

/* Returns the service, or NULL. */
struct service *engine_service(const struct engine *e, const char *name);

/* Returns true while withdrawn keys would be known. */
bool engine_keys_are_fresh(const struct engine *e, int64_t now_us);

/* Returns how long the own lease is asked for. */
int64_t engine_lease_ttl_us(const struct engine *e);

/* Returns how many connections this instance may have to an endpoint. */
uint32_t engine_conns_limit(const struct engine *e, const struct upstream *u);

/* Takes an endpoint's word about its role, and logs a change. */
void engine_note_lead(struct engine *e, struct upstream *u, enum lead_word word,
		      const char *why);

/* Writes out what was collected for a connection. */
void engine_conn_flush(struct upstream_conn *c);

#endif
