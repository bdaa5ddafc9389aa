#include "limits/zone_list.h"

#include <string.h>

bool zone_list_add(struct zone_list *l, const char *zone)
{
	uint32_t at = 0;

	if (!*zone || strlen(zone) >= NAME_BYTES)
		return false;
	while (at < l->count && strcmp(l->names[at], zone) < 0)
		at++;
	if (l->count == ZONES_MAX ||
	    (at < l->count && !strcmp(l->names[at], zone)))
		return false;
	memmove(l->names[at + 1], l->names[at],
		(l->count - at) * sizeof(l->names[0]));
	memcpy(l->names[at], zone, strlen(zone) + 1);
	l->count++;
	return true;
}

bool zone_list_merge(struct zone_list *l, const struct zone_list *other)
{
	bool added = false;

	for (uint32_t i = 0; i < other->count; i++)
		added |= zone_list_add(l, other->names[i]);
	return added;
}

bool zone_list_equal(const struct zone_list *a, const struct zone_list *b)
{
	if (a->count != b->count)
		return false;
	for (uint32_t i = 0; i < a->count; i++) {
		if (strcmp(a->names[i], b->names[i]) != 0)
			return false;
	}
	return true;
}
