#include "proxy/unsettled_order.h"

#include <string.h>

void unsettled_order_record(struct unsettled_order *o, const char *endpoint,
			    const struct upstream *old)
{
	g_strlcpy(o->endpoint, endpoint, sizeof(o->endpoint));
	g_strlcpy(o->stepped_down, old->entry.id, sizeof(o->stepped_down));
	o->started_ms = old->entry.started_ms;
}

void unsettled_order_clear(struct unsettled_order *o)
{
	memset(o, 0, sizeof(*o));
}

const struct upstream *unsettled_order_find(const struct unsettled_order *o,
					    const struct service *svc)
{
	const struct upstream *ordered = NULL;
	bool old_is_here = false;

	if (!o->endpoint[0])
		return NULL;
	for (guint i = 0; i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		if (!strcmp(u->entry.id, o->endpoint))
			ordered = u;
		if (!strcmp(u->entry.id, o->stepped_down))
			old_is_here = u->entry.started_ms == o->started_ms &&
				      !upstream_has_ended(u);
	}
	return old_is_here ? ordered : NULL;
}
