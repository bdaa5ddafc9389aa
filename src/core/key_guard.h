/*
 * key_guard.h - whether keyed requests may be served now.
 *
 * A withdrawal is accepted when the platform stored it, and only by an
 * instance for which key_guard_may_accept() holds. Let G be key_grace_us
 * and S accept_after_us, S > 2 G. Keyed requests are served at time t by
 * any of three rules:
 *
 * (a) The own sync was asked for after t - G. Everything accepted before
 *     that moment was passed on and is applied.
 * (b) A member was synced after t - G, and its revision is not above the
 *     own applied one. Its sync time is taken as ping sent time minus the
 *     age that it answered, which is no later than the true one. Everything
 *     accepted before it has a revision that both have applied.
 * (c) Every known member answered a ping sent after t - G, and neither it
 *     nor the instance itself was synced within G of that answer, and no
 *     revision is above the own one. A member that answered so must be
 *     synced for S without a gap before it accepts anything, so it accepts
 *     nothing before t - G + S, which is later than t. What it accepted
 *     before its answer has a revision that it reports, because
 *     key_guard_note_accepted() is called before the operator is answered.
 *
 * So at t nothing accepted before t - G is missing, provided that
 *  - clocks advance at the same rate to within 1%;
 *  - no process accepts changes that is not in the member table. A member
 *    joins by its key in the platform. An instance that is cut off does not
 *    learn of members that join later: if all the members that it knows
 *    are cut off together with it, and a new instance starts on the
 *    platform's side, rule (c) cannot see the new one. key_guard_opts'
 *    outage_max_us bounds how long rule (c) holds; 0 means no bound;
 *  - a member that was started again in the outage and was never synced
 *    counts only if the process before it answered as unsynced less than
 *    S - G before, so that it cannot have accepted a change in between.
 *
 * Without members rule (c) holds by itself: nobody else accepts changes.
 */
#ifndef CORE_KEY_GUARD_H
#define CORE_KEY_GUARD_H

#include "core/member.h"

struct key_guard;

struct key_guard_opts {
	int64_t key_grace_us;
	int64_t accept_after_us; /* 0: 2 * key_grace_us + 1 s */
	int64_t outage_max_us; /* bound of rule (c); 0: none */
};

enum key_rule {
	KEY_RULE_NONE, /* refuse with ERR_KEY_UNCONFIRMED */
	KEY_RULE_SYNCED, /* (a) */
	KEY_RULE_MEMBER, /* (b) */
	KEY_RULE_OUTAGE, /* (c) */
};

/* Freed by its owner with key_guard_free(); `members` is borrowed. */
struct key_guard *key_guard_new(const struct key_guard_opts *opts,
				const struct member_table *members);
void key_guard_free(struct key_guard *g);

/* EVENT_CONFIG_SYNCED. */
void key_guard_note_synced(struct key_guard *g, int64_t revision,
			   int64_t asked_us, int64_t now_us);

/*
 * An operator's entry of that revision was applied, and entries arrive in
 * the order of revisions. What is reported to members is the latest entry
 * applied or accepted since the first load, or that load's revision: the
 * platform's other changes would make instances that miss nothing differ.
 */
void key_guard_note_applied(struct key_guard *g, int64_t revision);

/*
 * The platform stored an operator's change through this instance. Called
 * before the operator is answered; the change is applied by the caller.
 */
void key_guard_note_accepted(struct key_guard *g, int64_t revision);

/* Returns the rule by which keyed requests are served. */
enum key_rule key_guard_rule(const struct key_guard *g, int64_t now_us);

/*
 * Returns 0, or ERR_KEY_UNCONFIRMED with *retry_after_us set to the time
 * in which another answer of a member or the platform can be expected.
 */
int32_t key_guard_check(const struct key_guard *g, int64_t now_us,
			int64_t *retry_after_us);

/*
 * Returns true when this instance may accept operators' changes. Asked
 * before a change is sent to the platform and again when the answer is
 * there; if it no longer holds then, the operator is told ERR_NOT_IN_FORCE
 * and not that the change was accepted.
 */
bool key_guard_may_accept(const struct key_guard *g, int64_t now_us);

/*
 * Returns until when no member can have been synced for accept_after_us,
 * by the answers of rule (c); INT64_MIN when that rule does not hold now.
 */
int64_t key_guard_outage_until_us(const struct key_guard *g, int64_t now_us);

/* What the instance reports to members. */
struct member_self key_guard_get_self(const struct key_guard *g, bool draining);

#endif
