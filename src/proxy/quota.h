/*
 * quota.h - the workspaces' limits, counted over all instances.
 *
 * A limit has two parts. The standing part is divided evenly among the
 * instances that the store lists and needs no agreement. The other part is
 * granted for a short time, by need, by the instance that holds the duty;
 * see quota_division.h. An instance whose lease in the store has ended uses
 * nothing: the others then divide without it.
 *
 * So over all instances the rates never sum to more than the limit's, but
 * for the moment in which instances differ about their number. Of what the
 * platform tolerates beyond a limit, one part makes up for granted rates that
 * are never used to the full, and the other serves as burst: it is divided
 * evenly and never grows back faster than the rate. Both together stay below
 * the tolerance in every window.
 *
 * A limit of which an even part of the tolerance is less than two operations
 * is not divided: it is counted in two halves, each by a home of its own, so
 * that one silent home costs half of it; see quota_homes.h. A limit that
 * comes to be divided, or no longer is, is used by nobody for longer than a
 * lease. Which limits are small depends on a class of the fleet's size, so
 * instances that come and go rarely change it.
 */
#ifndef PROXY_QUOTA_H
#define PROXY_QUOTA_H

#include "proxy/engine.h"
#include "proxy/fleet_config.h"
#include "proxy/store_item.h"

#include <stdint.h>

struct quota;

/* Part of every limit that is divided evenly; the rest is granted. */
enum { QUOTA_STANDING_PERCENT = 50 };

/* Of the tolerated overrun, the part that is granted beyond the limit. */
enum { QUOTA_SURPLUS_PERCENT = 40 };

/* Returns a workspace's number in messages between instances. */
uint64_t quota_workspace_number(const char *name);

/* Freed with quota_free(). */
struct quota *quota_new(const struct quota_tolerance *tolerance,
			const char *instance);
void quota_free(struct quota *q);

void quota_set_tolerance(struct quota *q,
			 const struct quota_tolerance *tolerance);

/* Takes the limits of a new configuration. */
void quota_configure(struct quota *q, const struct fleet_config *c,
		     int64_t now_us);

/* What this instance knows of the fleet. */
struct quota_fleet {
	uint32_t instances; /* that the store lists; 0: not known yet */
	int64_t lease_ttl_us;
	int64_t lease_until_us; /* of the own lease */
	bool settled; /* the own entry is; see store_feed.h */
	int64_t confirmed_us; /* nothing in the store was missed up to then */
};
void quota_set_fleet(struct quota *q, const struct quota_fleet *f,
		     int64_t now_us);

/*
 * An instance's entry is in the store; it was not yet, or said nothing else,
 * at absent_us. Or it left.
 */
void quota_put_instance(struct quota *q, const struct instance_entry *e,
			int64_t absent_us);
void quota_drop_instance(struct quota *q, const char *instance);

/*
 * Takes one operation's worth. Returns 0; -EAGAIN with *retry_us set to when
 * the next one is expected to fit; -ESTALE when others may be counting this
 * limit; or -EINPROGRESS when the homes of its halves are to be asked.
 */
int quota_take(struct quota *q, const char *workspace, int64_t now_us,
	       int64_t *retry_us);

enum { QUOTA_HALVES = 2 };

/* Returns the number of a half in messages between instances. */
uint64_t quota_half_number(const char *workspace, uint32_t half);

/* Returns the instance that counts a half for all. */
const char *quota_home(struct quota *q, uint64_t half);

/*
 * Takes one operation's worth of a half for another instance, as its home.
 * Returns 0; -EAGAIN with *retry_us set; or -ESTALE when this instance is not
 * its home now.
 */
int quota_take_for(struct quota *q, uint64_t half, int64_t now_us,
		   int64_t *retry_us);

/* An operation was refused because the limit was used up. */
void quota_note_refused(struct quota *q, const char *workspace);

/* Returns how much of it was asked for here lately; 0 if not known. */
uint32_t quota_demand_milli_per_s(const struct quota *q, const char *workspace);

/* A grant of the duty's holder; it replaces the one before. */
void quota_grant(struct quota *q, uint64_t workspace, uint32_t rate_milli_per_s,
		 int64_t until_us, int64_t now_us);

/* One workspace's bucket here, for log and metrics. */
struct quota_state {
	const char *workspace; /* valid until the next configuration */
	uint32_t limit_milli_per_s; /* of the whole fleet */
	uint32_t rate_milli_per_s; /* here */
	uint32_t granted_milli_per_s; /* part of it that was granted */
	uint32_t level_milli;
	uint32_t admitted; /* since the last call */
	uint32_t refused;
};

/* Calls fn for each workspace that has a limit, and counts anew. */
typedef void (*quota_state_fn)(void *data, const struct quota_state *s);
void quota_each(struct quota *q, int64_t now_us, quota_state_fn fn, void *data);

/* What this instance could use and was granted, for the duty's holder. */
struct quota_need {
	uint64_t workspace;
	uint32_t demand_milli_per_s;
	uint32_t in_use_milli_per_s;
};

/* Fills at most `max` needs, measured since the last call; returns how many. */
uint32_t quota_needs(struct quota *q, struct quota_need *out, uint32_t max,
		     int64_t now_us);

#endif
