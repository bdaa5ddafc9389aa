/*
 * promotion_choices.h - the last choice of a new primary for each service, as
 * the store has it.
 *
 * An entry is not bound to a lease: it outlives the instance that wrote it.
 * It is pending while the service's term is lower than the one it names, for
 * its promotion order may then still be carried out.
 */
#ifndef PROXY_PROMOTION_CHOICES_H
#define PROXY_PROMOTION_CHOICES_H

#include "proxy/store_item.h"

struct promotion_choices;

/* Freed with promotion_choices_free(). */
struct promotion_choices *promotion_choices_new(void);
void promotion_choices_free(struct promotion_choices *p);

/*
 * Stores an entry that was read from the store. Ignores a removed or malformed
 * entry and one that is older than the last.
 */
void promotion_choices_update(struct promotion_choices *p,
			      const struct store_item *item);

/*
 * Returns the id of the endpoint chosen to lead the service in `term`, or
 * NULL. Owned by `p`.
 */
const char *promotion_choices_find(const struct promotion_choices *p,
				   const char *service, uint64_t term);

/*
 * Returns the id of the endpoint chosen last, or NULL. Owned by `p`.
 */
const char *promotion_choices_last(const struct promotion_choices *p,
				   const char *service);

/*
 * Returns true if an order for a term after `term` may still be carried out.
 */
bool promotion_choices_is_pending(const struct promotion_choices *p,
				  const char *service, uint64_t term);

#endif
