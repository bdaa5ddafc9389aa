#include "proxy/statement_send.h"

#include "proxy/engine_state.h"
#include "proxy/hop.h"

static void put_begin(struct upstream_conn *c, const struct session *s,
		      int64_t now_us)
{
	const struct operation *op = &s->op;
	const struct proxy_message m = {
		.statement = op->need == NEED_READ ?
				     PROXY_STATEMENT_BEGIN_READ :
				     PROXY_STATEMENT_BEGIN,
		.after = op->need == NEED_READ ? &op->min_mark.position : NULL,
	};

	upstream_conn_put_message(c, c->engine->opts.wire, &m,
				  CONN_REQUEST_BEGIN, now_us);
}

/* Tells a home what it must know of the session's operation. */
static void put_operation(struct upstream_conn *c, const struct session *s,
			  int64_t now_us)
{
	const struct fleet_config *config = c->engine->config;
	const struct hop_operation op = {
		.config_version = config->version,
		.route = *fleet_config_find_route(config, s->database),
		.elapsed_us = now_us - s->op.arrived_us,
		.last_write = s->last_write,
		.workspace = s->workspace,
		.database = s->database,
	};

	hop_put_operation(c->out, &op);
	metrics_add(c->engine->opts.metrics, "relayed_operations_total",
		    c->upstream->service->name, 1);
}

void statement_send_setup(struct upstream_conn *c, int64_t now_us)
{
	struct session *s = c->session;
	const struct operation *op = &s->op;
	const char *name =
		op->query.kind == QUERY_EXECUTE ? op->query.name : NULL;
	bool opens_transaction =
		op->opens_transaction || op->need == NEED_STRICT_READ;
	bool setup;

	c->upstream->running++;
	c->state = CONN_STATE_RUNNING;
	c->writes = s->transaction ? !s->transaction_reads_only : op->writes;
	if (c->upstream->is_home && !s->pinned)
		put_operation(c, s, now_us);
	setup = upstream_conn_put_setup(c, c->engine->opts.wire, s, name,
					now_us);
	/*
	 * The statement is sent only after these have succeeded: after a failed
	 * BEGIN it would run outside of the transaction.
	 */
	if (!s->pinned && opens_transaction)
		put_begin(c, s, now_us);
	else if (!setup)
		statement_send(c, now_us);
	engine_conn_flush(c);
}

void statement_send(struct upstream_conn *c, int64_t now_us)
{
	struct session *s = c->session;
	const struct wire_ops *wire = c->engine->opts.wire;
	const struct proxy_message rollback = {
		.statement = PROXY_STATEMENT_ROLLBACK
	};
	struct operation *op = &s->op;
	const char *name = NULL;
	const struct position *after = NULL;

	if (op->query.kind == QUERY_EXECUTE)
		name = upstream_conn_find_prepared(c, s, op->query.name);
	/* With BEGIN as well: its answer may be a copy that hides a refusal. */
	if (op->need == NEED_READ && s->pinned != c)
		after = &op->min_mark.position;
	wire->put_query(c->out, &op->query, name, after);
	upstream_conn_push_request(c, CONN_REQUEST_STATEMENT, now_us);
	if (!op->sends)
		metrics_observe(c->engine->opts.metrics, "queue_seconds",
				c->upstream->service->name,
				now_us - op->arrived_us);
	op->sent = true;
	op->sent_us = now_us;
	op->sends++;
	c->statements++;
	g_strlcpy(op->endpoint, c->upstream->entry.id, sizeof(op->endpoint));
	if (op->need == NEED_STRICT_READ)
		upstream_conn_put_message(c, wire, &rollback,
					  CONN_REQUEST_ROLLBACK, now_us);
	engine_conn_flush(c);
}
