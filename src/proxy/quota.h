/*
 * quota.h - rate limits of the workspaces, counted over all instances.
 *
 * A limit has two parts. The standing part is divided evenly among the
 * instances listed in the store and needs no coordination. The other part is
 * granted for short periods, by demand, by the instance that holds the
 * singleton duty; see quota_division.h. An instance whose lease in the store
 * has ended admits no operations, because the others then divide the limits
 * without it.
 *
 * So the rates of all instances never sum to more than the limit's rate, except
 * while instances differ about their number. The platform tolerates some
 * overrun beyond a limit. One part of this tolerance makes up for granted rates
 * that are never used to the full. The other part serves as burst: it is
 * divided evenly and never refills faster than the rate. Both together stay
 * below the tolerance in every window.
 *
 * An instance that has used up its share asks others to lend it an operation,
 * so a limit is not refused here while it is unused there.
 *
 * A limit is small if an even part of its tolerance is less than two
 * operations. A small limit is not divided but counted in one part for each
 * availability zone, or in two halves if there is only one zone or a zone's
 * part would admit no operation. Each part is counted by one instance, its
 * home, in that zone if there is any, so that a silent home or a zone that is
 * cut off costs only its part of the limit; see quota_homes.h. When a limit
 * changes between divided and small, or its parts change, each instance admits
 * no operations of it for a little more than a lease. By then no instance can
 * still be counting it in the previous way. Which limits are small, and their
 * parts, follow from a record in the store that only grows; see limit_record.h.
 */
#ifndef PROXY_QUOTA_H
#define PROXY_QUOTA_H

#include "proxy/engine.h"
#include "proxy/fleet_config.h"
#include "proxy/store_item.h"

#include <stdint.h>

struct quota;

/* Percentage of every limit that is divided evenly; the rest is granted. */
enum { QUOTA_STANDING_PERCENT = 50 };

/* Percentage of the tolerated overrun that is granted beyond the limit. */
enum { QUOTA_SURPLUS_PERCENT = 40 };

/* Returns the hash that names a workspace in messages between instances. */
uint64_t quota_workspace_hash(const char *name);

/*
 * Freed with quota_free(). Copies its arguments; `instance` and `zone` are
 * those of this instance.
 */
struct quota *quota_new(const struct quota_tolerance *tolerance,
			const char *instance, const char *zone);
void quota_free(struct quota *q);

void quota_set_tolerance(struct quota *q,
			 const struct quota_tolerance *tolerance);

/* Applies the limits of a new configuration, which is not kept. */
void quota_configure(struct quota *q, const struct fleet_config *c,
		     int64_t now_us);

/* What this instance knows about the fleet. */
struct quota_fleet {
	uint32_t instances; /* listed in the store; 0: not known yet */
	int64_t lease_ttl_us;
	int64_t lease_until_us; /* end of this instance's lease */
	bool settled; /* this instance's entry is; see store_feed.h */
	/*
	 * When this process asked for its entry to be written, and when that
	 * was answered. INT64_MIN: it may not be the founder, see quota_homes.h.
	 */
	int64_t entry_asked_us;
	int64_t entry_written_us;
	int64_t confirmed_us; /* no change in the store up to then was missed */
};

/* Applies the current state of the fleet; called periodically. */
void quota_set_fleet(struct quota *q, const struct quota_fleet *f,
		     int64_t now_us);

/* Applies the store's record of how limits are counted; see limit_record.h. */
void quota_set_record(struct quota *q, const struct limit_entry *l,
		      int64_t now_us);

/*
 * Record that an instance's entry is in the store (put) or has left it
 * (remove). absent_us is the latest time at which the store is known not to
 * have had the entry with this value of `settled`, `position` that of the entry.
 */
void quota_put_instance(struct quota *q, const struct instance_entry *e,
			int64_t position, int64_t absent_us, int64_t now_us);
void quota_remove_instance(struct quota *q, const char *instance);

/*
 * Takes one operation from a workspace's limit. Returns 0; -EAGAIN if the limit
 * is used up, with *retry_us set to the expected wait for the next operation;
 * -ESTALE if this instance must not count the limit now, because others may be
 * counting it; or -EINPROGRESS if the operation has to be requested from the
 * homes of the limit's parts, or -EDQUOT if it is used up here, but other
 * instances may have some of it left, *retry_us set; see quota_requests.h.
 */
int quota_take(struct quota *q, const char *workspace, int64_t now_us,
	       int64_t *retry_us);

/* Parts of a limit without parts by zone. */
enum { QUOTA_HALVES = 2, QUOTA_PARTS_MAX = ZONES_MAX };

/* Return the hash that names a half or the part of a zone in messages. */
uint64_t quota_half_hash(const char *workspace, uint32_t half);
uint64_t quota_zone_part_hash(const char *workspace, const char *zone);

/* A part of a limit as this instance knows it. */
struct quota_source {
	uint64_t part; /* hash */
	/* Valid until an instance is removed; see quota_homes_find(). */
	const char *home;
	bool near; /* it is the part of this instance's zone */
	/* Asked only if the founder does not count (any more). */
	bool after_founder;
};

enum {
	QUOTA_SOURCES_MAX = 2 * QUOTA_PARTS_MAX,
	/* Other instances asked to lend an operation of a divided limit. */
	QUOTA_LENDERS_MAX = 5,
};

/*
 * Fills in whom to ask for the parts of the workspace's limit, or for its
 * divided limit, at most
 * QUOTA_SOURCES_MAX. Returns their number, 0 if the workspace is not known.
 */
uint32_t quota_get_sources(struct quota *q, const char *workspace,
			   int64_t now_us, struct quota_source *out);

/*
 * Records that no other instance had an operation of a divided limit left: none
 * is asked again before retry_us have passed, and then others first.
 */
void quota_note_no_lender(struct quota *q, const char *workspace,
			  int64_t now_us, int64_t retry_us);

/*
 * Takes one operation from a part for another instance, as the home of that
 * part, or lends one of this instance's share of a divided limit. Returns 0; -EAGAIN if the part is used up, with *retry_us set; or
 * -ESTALE if this instance is not its home now.
 */
int quota_take_for_peer(struct quota *q, uint64_t part, int64_t now_us,
			int64_t *retry_us);

/* Counts an operation that was refused because the limit was used up. */
void quota_count_refused(struct quota *q, const char *workspace);

/*
 * Returns the recent demand of the workspace at this instance, in thousandths
 * of operations per second; 0 if it is not known.
 */
uint32_t quota_get_demand_milli_per_s(const struct quota *q,
				      const char *workspace);

/*
 * Applies a grant of the duty's holder, which replaces the previous grant.
 * `workspace` is the hash of the workspace's name.
 */
void quota_apply_grant(struct quota *q, uint64_t workspace,
		       uint32_t rate_milli_per_s, int64_t until_us,
		       int64_t now_us);

/* State of a workspace's limit at this instance, for log and metrics. */
struct quota_state {
	const char *workspace; /* valid until the next configuration */
	uint32_t limit_milli_per_s; /* of the whole fleet */
	uint32_t rate_milli_per_s; /* at this instance */
	uint32_t granted_milli_per_s; /* the granted part of this rate */
	uint32_t level_milli; /* tokens, in thousandths of an operation */
	uint32_t admitted; /* operations since the last call */
	uint32_t refused; /* likewise */
};

/* Calls fn for each workspace that has a limit, and resets its counters. */
typedef void (*quota_state_fn)(void *data, const struct quota_state *s);
void quota_for_each(struct quota *q, int64_t now_us, quota_state_fn fn,
		    void *data);

/* What this instance reports about a limit to the duty's holder. */
struct quota_need {
	uint64_t workspace; /* quota_workspace_hash() */
	uint32_t demand_milli_per_s; /* recent demand at this instance */
	uint32_t in_use_milli_per_s; /* rate of the grant in force */
};

/*
 * Fills at most `max` needs, measured since the last call. Returns their
 * number.
 */
uint32_t quota_collect_needs(struct quota *q, struct quota_need *out,
			     uint32_t max, int64_t now_us);

#endif
