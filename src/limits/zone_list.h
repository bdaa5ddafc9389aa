/*
 * zone_list.h - the availability zones in which parts of small limits are
 * counted. A list only grows, so that the parts stay the same when a zone is
 * gone; it is sorted, so that all who know the same zones have the same list.
 */
#ifndef LIMITS_ZONE_LIST_H
#define LIMITS_ZONE_LIST_H

#include "core/sizes.h"

#include <stdbool.h>
#include <stdint.h>

/* Zones beyond this have no parts of their own. */
enum { ZONES_MAX = 8 };

struct zone_list {
	uint32_t count;
	char names[ZONES_MAX][NAME_BYTES];
};

/* Returns true if the zone is new and was added. */
bool zone_list_add(struct zone_list *l, const char *zone);

/* Adds all zones of the other list; returns true if one was added. */
bool zone_list_merge(struct zone_list *l, const struct zone_list *other);

bool zone_list_equal(const struct zone_list *a, const struct zone_list *b);

#endif
