/*
 * member.h - membership: the other running instances and which are alive.
 *
 * In each interval at most MEMBER_PINGS_MAX members are pinged, round-robin
 * through the table sorted by name, starting at an index chosen by the seed.
 * Up to 16 members are each pinged every interval. With more, each is pinged
 * every ceil(members / 16) intervals: at 6,200 instances and 500 ms that is
 * every 194 s, while the cost stays at 32 pings and as many answers a second.
 * The result of member_is_alive() is then up to date only for the members that
 * were pinged recently. Rules that need an answer from every member, such as
 * rule (c) for a full outage in key_guard.h, then do not hold: the instance
 * refuses requests with a key, which is safe.
 */
#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

#include "core/action_queue.h"
#include "core/peer_message.h"

#include <stdbool.h>
#include <stdint.h>

enum { MEMBER_PINGS_MAX = 16 }; /* per interval */

/* sync_age_us of an instance that has not been synced since its start. */
#define SYNC_AGE_NEVER INT64_MAX

struct member_opts {
	const char *instance; /* own name */
	const char *zone;
	uint64_t incarnation; /* id of the own process */
	uint64_t seed;
	int64_t ping_interval_us; /* 0: 500 ms */
};

/* Contents of a member's last answer to a ping. */
struct member_report {
	int64_t ping_sent_us; /* of the answered ping; -1: no report yet */
	int64_t config_revision;
	int64_t synced_us; /* lower bound of the sync's time, local clock */
	bool was_synced; /* at least once since its process started */
	int64_t sync_age_us; /* as reported; SYNC_AGE_NEVER: never synced */
	bool draining;
};

struct member {
	char name[NAME_BYTES];
	char zone[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint64_t incarnation; /* from the record or the last answer */
	uint64_t ping_sequence; /* of the unanswered ping; 0: none */
	int64_t ping_sent_us;
	uint32_t pings_unanswered; /* consecutive */
	uint32_t pings_answered; /* consecutive */
	bool alive;
	struct member_report report;
	int64_t first_ping_sent_us; /* of this process's first report */
	/*
	 * Last report of the previous process. ping_sent_us is -1 if there is
	 * none or that process had never been synced.
	 */
	struct member_report previous_report;
};

struct member_table;

/* Returns an empty table, freed by its owner with member_table_free(). */
struct member_table *member_table_new(const struct member_opts *opts);
void member_table_free(struct member_table *t);

/* Adds or updates a member; ignores the instance's own record. */
void member_put(struct member_table *t, const struct member_record *r);
/* Removes a member. Returns false when the name is unknown. */
bool member_delete(struct member_table *t, const char *name);

/* What this instance reports in its answers to pings; set by the caller. */
struct member_self {
	int64_t config_revision;
	int64_t synced_us; /* when the last sync was requested; -1: never */
	bool draining;
};
void member_set_self(struct member_table *t, const struct member_self *self);

/* Sends the pings that are due and marks silent members as down. */
void member_run(struct member_table *t, int64_t now_us,
		struct action_queue *out);

/*
 * Handles PEER_PING and PEER_PONG. Only the first answer to the last ping sent
 * counts. Returns false for other message types.
 */
bool member_handle_message(struct member_table *t, const struct peer_message *m,
			   int64_t now_us, struct action_queue *out);

/*
 * Return a member by name or by index in order of names, or NULL. Valid until
 * the table changes.
 */
const struct member *member_find(const struct member_table *t,
				 const char *name);
const struct member *member_at(const struct member_table *t, uint32_t i);

/* Count the known and the alive members, without the instance itself. */
uint32_t member_count(const struct member_table *t);
uint32_t member_count_alive(const struct member_table *t);

/* Returns true when the member is known and answers pings. */
bool member_is_alive(const struct member_table *t, const char *name);

/* Returns how many alive members sort before the instance's own name. */
uint32_t member_self_rank(const struct member_table *t);

/* Returns the instance's own name. */
const char *member_self_name(const struct member_table *t);

/* A member's state and configuration revision, for operators. */
struct member_status {
	const char *name; /* valid until the table changes */
	bool alive;
	int64_t config_revision; /* -1: unknown */
	int64_t sync_age_us; /* upper bound at now_us; -1: unknown */
	int64_t report_age_us; /* age of the report; -1: none */
};
struct member_status member_get_status(const struct member_table *t, uint32_t i,
				       int64_t now_us);

#endif
