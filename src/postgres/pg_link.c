#include "postgres/pg_link.h"

#include "postgres/pg_conn.h"

#include <errno.h>
#include <glib.h>

struct pg_link {
	struct pg_link_opts opts;
	const struct endpoint_driver *driver;
	struct loop_timer *timer; /* checks for failed connections */
	GHashTable *conns; /* connection id to struct pg_conn, owned */
};

static void free_conn(gpointer p)
{
	pg_conn_free(p);
}

static apr_status_t link_cleanup(void *data)
{
	struct pg_link *l = data;

	loop_timer_set(l->timer, -1);
	g_hash_table_destroy(l->conns);
	g_free(l);
	return APR_SUCCESS;
}

static struct pg_conn *find_conn(const struct pg_link *l, uint32_t conn_id)
{
	return g_hash_table_lookup(l->conns, GUINT_TO_POINTER(conn_id));
}

static void arm_timer(struct pg_link *l)
{
	int64_t at_us = INT64_MAX;
	GHashTableIter it;
	gpointer c;

	g_hash_table_iter_init(&it, l->conns);
	while (g_hash_table_iter_next(&it, NULL, &c))
		at_us = MIN(at_us, pg_conn_next_check_us(c));
	loop_timer_set(l->timer, at_us == INT64_MAX ? -1 : at_us);
}

static void emit_conn_event(struct pg_link *l, enum event_type type,
			    uint32_t conn_id)
{
	struct event e = { .type = type, .conn_id = conn_id };

	l->opts.on_event(l->opts.data, &e);
}

static void on_opened(void *data, struct pg_conn *c)
{
	emit_conn_event(data, EVENT_CONN_OPENED, pg_conn_id(c));
}

/*
 * The connection is removed before the event is emitted, because the receiver
 * may reuse the connection id.
 */
static void on_lost(void *data, struct pg_conn *c)
{
	struct pg_link *l = data;
	uint32_t conn_id = pg_conn_id(c);

	g_hash_table_remove(l->conns, GUINT_TO_POINTER(conn_id));
	emit_conn_event(l, EVENT_CONN_LOST, conn_id);
}

static void on_result(void *data, struct pg_conn *c,
		      const struct exchange_result *r, uint64_t caller_id,
		      json_t *result)
{
	struct pg_link *l = data;
	struct event e = { .type = EVENT_EXCHANGE_RESULT, .result = *r };

	if (result && caller_id)
		l->opts.on_result(l->opts.data, caller_id, result);
	else
		json_decref(result);
	l->opts.on_event(l->opts.data, &e);
}

static const struct pg_conn_ops conn_ops = { on_opened, on_lost, on_result };

/*
 * The receiver of an event may open and close connections, so each one is
 * looked up again.
 */
static void report_lost_connections(void *data, int64_t now_us)
{
	struct pg_link *l = data;
	GList *ids = g_hash_table_get_keys(l->conns);

	for (GList *i = ids; i; i = i->next) {
		struct pg_conn *c;

		c = find_conn(l, GPOINTER_TO_UINT(i->data));
		if (c && pg_conn_is_lost(c, now_us))
			on_lost(l, c);
	}
	g_list_free(ids);
	arm_timer(l);
}

int pg_link_new(struct pg_link **out, const struct pg_link_opts *opts,
		apr_pool_t *parent)
{
	const struct endpoint_driver *driver;
	struct pg_link *l;

	driver = endpoint_driver_find(opts->driver);
	if (!driver)
		return -ENOENT;
	l = g_new0(struct pg_link, 1);
	l->opts = *opts;
	l->driver = driver;
	l->timer = loop_timer_add(opts->loop, report_lost_connections, l);
	l->conns = g_hash_table_new_full(NULL, NULL, NULL, free_conn);
	apr_pool_pre_cleanup_register(parent, l, link_cleanup);
	*out = l;
	return 0;
}

void pg_link_open(struct pg_link *l, const struct conn_open *open)
{
	struct pg_conn_opts opts = {
		.link = &l->opts,
		.driver = l->driver,
		.open = *open,
		.deadline_us = loop_now_us() + l->opts.connect_timeout_us,
		.ops = &conn_ops,
		.data = l,
	};

	pg_link_close(l, open->conn_id);
	g_hash_table_insert(l->conns, GUINT_TO_POINTER(open->conn_id),
			    pg_conn_new(&opts));
	arm_timer(l);
}

void pg_link_close(struct pg_link *l, uint32_t conn_id)
{
	g_hash_table_remove(l->conns, GUINT_TO_POINTER(conn_id));
}

void pg_link_start_exchange(struct pg_link *l, const struct exchange_start *x,
			    const struct statement *s)
{
	struct pg_conn *c = find_conn(l, x->conn_id);

	if (!c)
		return;
	pg_conn_start_exchange(c, x, s);
	if (pg_conn_next_check_us(c) <= 0)
		arm_timer(l);
}
