/*
 * key_guard.h - decides whether requests with a key may be served now.
 *
 * A key that an operator has withdrawn must not be served for longer than a
 * grace period, although an instance may be cut off from the platform. A
 * withdrawal is accepted once the platform has stored it, and only by an
 * instance for which key_guard_may_accept() is true. Let G be key_grace_us and
 * S accept_after_us, with S > 2 G. Requests with a key are served at time t if
 * any of three rules holds:
 *
 * (a) The last sync of this instance was requested after t - G. All changes
 *     that were accepted before that request have been received and applied.
 * (b) Another member was synced after t - G, and its revision is not higher
 *     than the one applied here. The time of its sync is taken as the time
 *     when the ping was sent minus the age in the answer, which is never later
 *     than the true time. Everything accepted before that sync has a revision
 *     that both instances have applied.
 * (c) Every known member answered a ping that was sent after t - G, neither
 *     the member nor this instance was synced within G before that answer, and
 *     no member reported a revision above the one applied here. Such a member
 *     must be synced for S without a gap before it accepts a change, so it
 *     accepts none before t - G + S, which is later than t. A change that it
 *     accepted before its answer has a revision that it reports, because
 *     key_guard_note_accepted() is called before the operator is answered.
 *
 * So at time t this instance has applied everything that was accepted before
 * t - G, provided that
 *  - clocks advance at the same rate to within 1%;
 *  - every process that accepts changes is in the member table. A member joins
 *    by its key in the platform, and an instance that is cut off does not learn
 *    of members that join later. If all members that it knows are cut off
 *    together with it, and a new instance starts that reaches the platform,
 *    rule (c) does not take the new one into account. How long rule (c) may
 *    hold is limited by outage_max_us in key_guard_opts; 0 means no limit;
 *  - a member that was restarted during the outage and has not been synced
 *    since counts only if its previous process answered, as not synced, less
 *    than S - G before, so that it cannot have accepted a change in between.
 *
 * Without other members rule (c) needs no answers: no other instance can accept
 * changes.
 */
#ifndef CORE_KEY_GUARD_H
#define CORE_KEY_GUARD_H

#include "core/member.h"

struct key_guard;

struct key_guard_opts {
	int64_t key_grace_us; /* G above */
	int64_t accept_after_us; /* S above; 0: 2 * key_grace_us + 1 s */
	int64_t outage_max_us; /* upper limit for rule (c); 0: none */
};

enum key_rule {
	KEY_RULE_NONE, /* refuse with ERR_KEY_UNCONFIRMED */
	KEY_RULE_SYNCED, /* (a) */
	KEY_RULE_MEMBER, /* (b) */
	KEY_RULE_OUTAGE, /* (c) */
};

/*
 * Returns a new guard that the caller frees with key_guard_free(). `members`
 * must outlive it.
 */
struct key_guard *key_guard_new(const struct key_guard_opts *opts,
				const struct member_table *members);
void key_guard_free(struct key_guard *g);

/*
 * Handles EVENT_CONFIG_SYNCED; see struct config_synced in core/event.h for
 * what revision and requested_us mean.
 */
void key_guard_note_synced(struct key_guard *g, int64_t revision,
			   int64_t requested_us, int64_t now_us);

/*
 * Notes that an operator's record of that revision was applied. Records must
 * arrive in the order of their revisions. Pongs report the revision of the
 * latest record applied or accepted since the first sync or, if there is none,
 * the revision of that sync. Revisions of other changes in the platform are not
 * used, because then instances with the same configuration would report
 * different revisions.
 */
void key_guard_note_applied(struct key_guard *g, int64_t revision);

/*
 * Notes that the platform stored an operator's change through this instance.
 * To be called before the operator is answered. The caller applies the change.
 */
void key_guard_note_accepted(struct key_guard *g, int64_t revision);

/* Returns the rule by which requests with a key may be served now. */
enum key_rule key_guard_rule(const struct key_guard *g, int64_t now_us);

/*
 * Returns 0 if requests with a key may be served now. Otherwise returns
 * ERR_KEY_UNCONFIRMED and sets *retry_after_us to the time within which the
 * next answer of a member or the platform is expected.
 */
int32_t key_guard_check(const struct key_guard *g, int64_t now_us,
			int64_t *retry_after_us);

/*
 * Returns true when this instance may accept operators' changes. To be checked
 * before a change is sent to the platform and again when the platform has
 * answered. If it is false the second time, the operator gets ERR_NOT_IN_FORCE
 * instead of a success.
 */
bool key_guard_may_accept(const struct key_guard *g, int64_t now_us);

/*
 * Returns the time until which no member can have been synced for
 * accept_after_us, judged by the answers that rule (c) uses. Returns INT64_MIN
 * when that rule does not hold now.
 */
int64_t key_guard_outage_until_us(const struct key_guard *g, int64_t now_us);

/* Returns what this instance reports in its answers to pings. */
struct member_self key_guard_get_self(const struct key_guard *g, bool draining);

#endif
