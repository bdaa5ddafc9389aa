#include "proxy/primary_fence.h"

#include "proxy/engine_state.h"
#include "proxy/exchange.h"

#include <string.h>

bool service_is_fenced(const struct service *s)
{
	return s->primary && s->ordered_term && s->ordered_term >= s->term &&
	       strcmp(s->primary->entry.id, s->ordered_endpoint) != 0;
}

void primary_fence_announce(const struct engine *e,
			    const struct peer_choice *choice)
{
	struct peer_message m = { .type = PEER_CHOICE, .choice = *choice };
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, e->instances);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		if (!strcmp(name, e->opts.instance))
			continue;
		g_strlcpy(m.peer, name, sizeof(m.peer));
		e->opts.ops->peer_send(e->opts.host, &m);
	}
}

/* Closes the primary's connections that wait for an answer. */
static void close_waiting_conns(struct upstream *u, int64_t now_us)
{
	for (guint i = 0; i < u->conns->len; i++) {
		struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (c->control || (!c->request_count && !c->in_transaction))
			continue;
		exchange_handle_loss(c, "another endpoint is promoted", now_us);
		i = (guint)-1; /* start over: the list changed */
	}
}

void primary_fence_handle_choice(struct engine *e,
				 const struct peer_choice *choice,
				 int64_t now_us)
{
	struct service *svc = engine_find_service(e, choice->service);

	if (!svc || choice->term < svc->ordered_term)
		return;
	svc->ordered_term = choice->term;
	svc->ordered_us = now_us;
	g_strlcpy(svc->ordered_endpoint, choice->endpoint,
		  sizeof(svc->ordered_endpoint));
	if (service_is_fenced(svc))
		close_waiting_conns(svc->primary, now_us);
}
