/*
 * primary_fence.h - stops the use of a primary that is being replaced.
 *
 * A promotion takes effect some time after its order. What the old primary
 * acknowledges meanwhile may be missing at the chosen endpoint: a replica that
 * starts again or joins can confirm it. So the holder of the duty tells the
 * other instances of a choice as soon as it is stored, and before its order.
 * They hear of it from the store as well, but watches are spaced in a large
 * fleet. From then on they send the old primary nothing and drop the answers
 * that it owes.
 */
#ifndef PROXY_PRIMARY_FENCE_H
#define PROXY_PRIMARY_FENCE_H

#include "core/peer_message.h"
#include "proxy/upstream.h"

#include <stdbool.h>
#include <stdint.h>

struct engine;

/*
 * Returns true if another endpoint was chosen last for the primary's term or a
 * later one. What the primary acknowledges may be missing there, so nothing is
 * sent to it.
 */
bool service_is_fenced(const struct service *s);

/* Tells the other instances of a choice that is in the store. */
void primary_fence_announce(const struct engine *e,
			    const struct peer_choice *choice);

/* Handles a choice that another instance or the store told of. */
void primary_fence_handle_choice(struct engine *e,
				 const struct peer_choice *choice,
				 int64_t now_us);

#endif
