#include "endpoint.h"

#include "control.h"
#include "replication.h"
#include "session.h"

#include <errno.h>
#include <unistd.h>

static void on_client(void *data, int fd)
{
	struct endpoint *ep = data;

	if (ep->reject_clients)
		close(fd);
	else
		session_new(ep, fd);
}

static void on_demoted(void *data)
{
	struct endpoint *ep = data;

	for (guint i = 0; i < ep->sessions->len; i++)
		session_abort_transaction(g_ptr_array_index(ep->sessions, i));
}

static void on_changed(void *data)
{
	struct endpoint *ep = data;

	replication_notify(ep->replication);
}

static int open_listeners(struct endpoint *ep)
{
	ep->client_listener =
		listener_new(ep->net, ep->opts.listen, on_client, ep);
	ep->control_listener = control_listen(ep);
	if (!ep->client_listener || !ep->control_listener)
		return -EADDRNOTAVAIL;
	return 0;
}

int endpoint_start(struct endpoint *ep, const struct endpoint_opts *opts,
		   struct loop *l)
{
	struct group_opts group = {
		.on_demoted = on_demoted,
		.on_changed = on_changed,
		.data = ep,
	};
	int rc;

	ep->opts = *opts;
	ep->loop = l;
	ep->net = net_new(l);
	ep->control_net = net_new(l);
	ep->delay_queue = delay_queue_new(l);
	ep->slot_pool = slot_pool_new(opts->slots);
	ep->sessions = g_ptr_array_new();
	ep->engine.store = store_new();
	group.store = ep->engine.store;
	ep->engine.group = group_new(&group);
	ep->replication = replication_new(ep);
	rc = open_listeners(ep);
	if (!rc && !ep->replication)
		rc = -EADDRNOTAVAIL;
	if (!rc && opts->primary_term > 0)
		rc = group_promote(ep->engine.group, opts->primary_term);
	return rc;
}

void endpoint_stop(struct endpoint *ep)
{
	net_free(ep->net);
	net_free(ep->control_net);
	replication_free(ep->replication);
	g_ptr_array_free(ep->sessions, TRUE);
	group_free(ep->engine.group);
	store_free(ep->engine.store);
	slot_pool_free(ep->slot_pool);
	delay_queue_free(ep->delay_queue);
}
