#include "primary.h"

#include "control_client.h"

#include <glib.h>
#include <string.h>

/* Returns the last term of a primary plus 1; 0 for a replica or no answer. */
static guint64 parse_primary_term(const char *state)
{
	const char *term = strstr(state, "last_term=");

	if (!strstr(state, "role=primary") || !term)
		return 0;
	return g_ascii_strtoull(term + strlen("last_term="), NULL, 10) + 1;
}

const struct plan_endpoint *find_primary(const struct plan *p,
					 const char *group)
{
	const struct plan_endpoint *best = NULL;
	guint64 best_term = 0;

	for (uint32_t i = 0; i < p->endpoint_count; i++) {
		const struct plan_endpoint *e = &p->endpoints[i];
		guint64 term;
		char *state;

		if (!g_str_equal(e->group, group))
			continue;
		state = control_send_command(e->control_port, "state");
		term = parse_primary_term(state);
		g_free(state);
		if (term > best_term) {
			best = e;
			best_term = term;
		}
	}
	return best;
}
