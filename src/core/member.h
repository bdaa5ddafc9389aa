/*
 * member.h - the other running instances, and which of them answer.
 *
 * Each interval at most MEMBER_PINGS_MAX members are pinged, in turn
 * through the sorted table from a start chosen by the seed. With up to 16
 * members each one is pinged every interval. With more, a member is pinged
 * every ceil(members / 16) intervals: at 6,200 instances and 500 ms that is
 * 194 s, while the cost stays at 32 pings and as many answers a second.
 * member_is_alive() then speaks only of the members that were pinged lately,
 * and rules that need an answer of every member, such as key_guard.h's rule
 * for a complete outage, do not hold: the instance refuses, which is safe.
 */
#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

#include "core/action_queue.h"
#include "core/peer_message.h"

#include <stdbool.h>
#include <stdint.h>

enum { MEMBER_PINGS_MAX = 16 }; /* in one interval */

/* sync_age_us of an instance that was never synced since its start. */
#define SYNC_AGE_NEVER INT64_MAX

struct member_opts {
	const char *instance; /* own name */
	const char *zone;
	uint64_t incarnation; /* own process */
	uint64_t seed;
	int64_t ping_interval_us; /* 0: 500 ms */
};

/* What a member said in its last answer. */
struct member_report {
	int64_t ping_sent_us; /* when the answered ping was sent; -1: none yet */
	int64_t config_revision;
	int64_t synced_us; /* no later than that sync, own clock */
	bool was_synced; /* since the start of its process */
	int64_t sync_age_us; /* as it was sent */
	bool draining;
};

struct member {
	char name[NAME_BYTES];
	char zone[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint64_t incarnation; /* of the record or of the last answer */
	uint64_t ping_sequence; /* that may still be answered; 0: none */
	int64_t ping_sent_us;
	uint32_t pings_unanswered; /* pings in a row */
	uint32_t pings_answered; /* pings in a row */
	bool alive;
	struct member_report report;
	int64_t first_ping_sent_us; /* of the first report of this process */
	/*
	 * The last report of the process before; ping_sent_us -1: none, also when
	 * that process had never been synced.
	 */
	struct member_report previous_report;
};

struct member_table;

/* Returns an empty table, freed by its owner with member_table_free(). */
struct member_table *member_table_new(const struct member_opts *opts);
void member_table_free(struct member_table *t);

/* Adds or replaces a member; the instance's own record is kept apart. */
void member_put(struct member_table *t, const struct member_record *r);
/* Returns true when the name was known. */
bool member_delete(struct member_table *t, const char *name);

/* What the instance answers to pings, kept up to date by the owner. */
struct member_self {
	int64_t config_revision;
	int64_t synced_us; /* asked time of the last sync; -1: never */
	bool draining;
};
void member_set_self(struct member_table *t, const struct member_self *self);

/* Sends the pings that are due and marks members up or down. */
void member_run(struct member_table *t, int64_t now_us,
		struct action_queue *out);

/*
 * Takes PEER_PING and PEER_PONG. An answer counts once and only for the
 * last ping sent. Returns true when the message was one of the two.
 */
bool member_handle_message(struct member_table *t, const struct peer_message *m,
			   int64_t now_us, struct action_queue *out);

/* Returns a member by name or index (sorted by name), or NULL. */
const struct member *member_find(const struct member_table *t,
				 const char *name);
const struct member *member_at(const struct member_table *t, uint32_t i);

/* Number of known members without the instance itself. */
uint32_t member_count(const struct member_table *t);
uint32_t member_count_alive(const struct member_table *t);

/* Returns true when the member answers pings. */
bool member_is_alive(const struct member_table *t, const char *name);

/* Returns the instance's position among the sorted names that answer. */
uint32_t member_self_rank(const struct member_table *t);

/* Returns the instance's own name. */
const char *member_self_name(const struct member_table *t);

/* Configuration of one member, for operators. */
struct member_status {
	const char *name; /* valid until the table changes */
	bool alive;
	int64_t config_revision; /* -1: unknown */
	int64_t sync_age_us; /* at the least now; -1: unknown */
	int64_t report_age_us; /* of these figures; -1: unknown */
};
struct member_status member_get_status(const struct member_table *t, uint32_t i,
				       int64_t now_us);

#endif
