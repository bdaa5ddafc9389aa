/*
 * change_relay.h - passes changes of the platform's store on to the instances
 * that do not watch it themselves.
 *
 * Every instance keeps the last changes; the holder of the singleton duty sends
 * them. A follower's reports say how far it is. What was lost on the way is
 * sent again after its next report. A follower that misses a change which was
 * forgotten, or which is too large for a message, reads the store itself.
 *
 * Load: a change wakes each pending watch, so n instances that watch make n
 * calls for it; after a restart of all, n changes make n * n calls.
 */
#ifndef FEED_CHANGE_RELAY_H
#define FEED_CHANGE_RELAY_H

#include "core/peer_message.h"

#include <stdint.h>

struct change_relay_opts {
	/* Sends one change to an instance. */
	void (*send)(void *data, const char *instance,
		     const struct peer_change *c);
	void *data;
};

struct change_relay;

/* Copies `opts`. Freed with change_relay_free(). */
struct change_relay *change_relay_new(const struct change_relay_opts *opts);
void change_relay_free(struct change_relay *r);

/* The store was listed: changes up to `position` can't be passed on. */
void change_relay_reset(struct change_relay *r, int64_t position);

/* Records a change; see change_log_append(). */
void change_relay_append(struct change_relay *r, int64_t position,
			 const char *text);

/*
 * Records, at the duty's holder, that an instance has all changes up to
 * `position`, and sends what it lacks. An instance that is not heard of for
 * CHANGE_RELAY_SILENCE_US gets nothing any more.
 */
void change_relay_handle_report(struct change_relay *r, const char *instance,
				int64_t position, int64_t now_us);

#define CHANGE_RELAY_SILENCE_US ((int64_t)1000 * 1000)

/* Sends new changes to the instances that report to this one. */
void change_relay_run(struct change_relay *r, int64_t now_us);

/* Forgets the instances, after the duty was lost. */
void change_relay_stop(struct change_relay *r);

#endif
