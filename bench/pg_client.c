#include "pg_client.h"

#include <glib.h>
#include <libpq-fe.h>

enum { CONNINFO_BYTES = 128, STATEMENTS_MAX = 3 };

struct pg_client {
	PGconn *pg;
	int64_t scheduled_us;
	uint32_t unfinished; /* 1 until the end of the pipeline was read */
	bool ok;
};

struct pg_client *pg_client_new(uint16_t port)
{
	struct pg_client *c = g_new0(struct pg_client, 1);
	char info[CONNINFO_BYTES];

	g_snprintf(info, sizeof(info),
		   "host=127.0.0.1 port=%u user=zinnialine dbname=orders "
		   "sslmode=disable gssencmode=disable",
		   port);
	c->pg = PQconnectdb(info);
	if (PQstatus(c->pg) == CONNECTION_OK && PQenterPipelineMode(c->pg) &&
	    !PQsetnonblocking(c->pg, 1))
		return c;
	pg_client_free(c);
	return NULL;
}

void pg_client_free(struct pg_client *c)
{
	PQfinish(c->pg);
	g_free(c);
}

int pg_client_socket(const struct pg_client *c)
{
	return PQsocket(c->pg);
}

bool pg_client_idle(const struct pg_client *c)
{
	return !c->unfinished;
}

static void queue_statement(struct pg_client *c, const char *sql, int count,
			    const char *const *values)
{
	PQsendQueryParams(c->pg, sql, count, NULL, values, NULL, NULL, 0);
}

void pg_client_send(struct pg_client *c, bool write, const char *order_id,
		    int64_t scheduled_us)
{
	const char *const values[] = { order_id, "oak", "1" };

	c->scheduled_us = scheduled_us;
	c->ok = true;
	c->unfinished = 1;
	if (write) {
		queue_statement(c, "BEGIN", 0, NULL);
		queue_statement(
			c,
			"INSERT INTO orders (id, item, qty) VALUES ($1, $2, $3)",
			3, values);
		queue_statement(c, "COMMIT", 0, NULL);
	} else {
		queue_statement(c, "SELECT count(*) FROM orders WHERE id = $1",
				1, values);
	}
	PQpipelineSync(c->pg);
	PQflush(c->pg);
}

/* Returns true at the end of the pipeline. */
static bool handle_result(struct pg_client *c, PGresult *r)
{
	ExecStatusType s = PQresultStatus(r);

	PQclear(r);
	if (s == PGRES_PIPELINE_SYNC)
		return true;
	c->ok &= s == PGRES_COMMAND_OK || s == PGRES_TUPLES_OK;
	return false;
}

bool pg_client_receive(struct pg_client *c, bool *ok, int64_t *scheduled_us)
{
	PGresult *r;

	if (!PQconsumeInput(c->pg)) {
		c->ok = false;
		c->unfinished = 0;
	}
	while (c->unfinished && !PQisBusy(c->pg)) {
		r = PQgetResult(c->pg);
		/* NULL marks the end of one statement's results. */
		if (r && handle_result(c, r))
			c->unfinished = 0;
	}
	*ok = c->ok;
	*scheduled_us = c->scheduled_us;
	return !c->unfinished;
}
