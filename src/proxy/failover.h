/*
 * failover.h - promotes a new primary of a service.
 *
 * Run by the instance that holds the singleton duty, in rounds. A round
 * requests a fencing token, collects a status report from every endpoint of
 * the service, stops whatever could still acknowledge commits (demotes the
 * primary, or pauses replication on the replicas), chooses an endpoint by the
 * rules of failover_plan.h, writes the choice to the store and sends the
 * promotion order to the platform.
 *
 * Between rounds, replication to leaving replicas is paused as long as others
 * can confirm commits.
 *
 * An order that got no answer may still be carried out later, even after the
 * instance that sent it has died. So a choice in the store is pending until
 * the service has reached the term in it, and the next round chooses the same
 * endpoint again if it can.
 */
#ifndef PROXY_FAILOVER_H
#define PROXY_FAILOVER_H

#include "proxy/upstream.h"
#include "proxy/upstream_conn.h"

#include <stdbool.h>
#include <stdint.h>

struct engine;
struct failure_reports;
struct failovers;

/* Freed with failovers_free(). */
struct failovers *failovers_new(struct engine *e);
void failovers_free(struct failovers *fs);

/* Returns the failure reports of other instances; owned by `fs`. */
struct failure_reports *failovers_get_reports(struct failovers *fs);

/* Handles a choice that was read from the store. */
void failover_handle_choice(struct failovers *fs, const struct store_item *item,
			    int64_t now_us);

/*
 * Returns the id of the endpoint of the service that was chosen last, by any
 * instance, or NULL. Owned by `fs`.
 */
const char *failovers_get_last_choice(const struct failovers *fs,
				      const char *service);

/* Starts and advances rounds while this instance holds the duty. */
void failovers_run(struct failovers *fs, int64_t now_us);

/* Handles the result of duty_request_token(); 0: no new token. */
void failover_handle_token(struct failovers *fs, uint64_t token,
			   int64_t now_us);

/*
 * Events on control connections: ready for use, lost, a status report, and an
 * answer that is an error or a malformed report. Connections that belong to no
 * current round are ignored.
 */
void failover_handle_conn_ready(struct failovers *fs, struct upstream_conn *c,
				int64_t now_us);
void failover_handle_conn_lost(struct failovers *fs, struct upstream_conn *c,
			       int64_t now_us);
void failover_handle_report(struct failovers *fs, struct upstream_conn *c,
			    const struct upstream_report *r, int64_t now_us);
void failover_handle_report_error(struct failovers *fs, struct upstream_conn *c,
				  enum answer_code code, int64_t now_us);

/* Drops an endpoint from its round before it is freed. */
void failover_remove_upstream(struct failovers *fs, const struct upstream *u);

#endif
