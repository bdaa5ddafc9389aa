/*
 * promotion_choices.h - what takeovers chose last, as the store has it.
 *
 * An entry stays after its holder. It is open while the service's term is
 * lower than the one it names: its order may then still be carried out.
 */
#ifndef PROXY_PROMOTION_CHOICES_H
#define PROXY_PROMOTION_CHOICES_H

#include "proxy/store_item.h"

struct promotion_choices;

struct promotion_choices *promotion_choices_new(void);
void promotion_choices_free(struct promotion_choices *p);

/* An entry was read; one that cannot be read changes nothing. */
void promotion_choices_observe(struct promotion_choices *p,
			       const struct store_item *item);

/* Returns the endpoint that is to lead the service in `term`, or NULL. */
const char *promotion_choices_named(const struct promotion_choices *p,
				    const char *service, uint64_t term);

/* Returns true if an order of a term after `term` may be outstanding. */
bool promotion_choices_open(const struct promotion_choices *p,
			    const char *service, uint64_t term);

#endif
