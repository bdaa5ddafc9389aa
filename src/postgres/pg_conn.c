#include "postgres/pg_conn.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

enum phase { PHASE_CONNECTING, PHASE_IDLE, PHASE_EXCHANGE };

enum { PORT_BYTES = 8 };

struct pg_conn {
	struct pg_conn_opts opts;
	PGconn *conn; /* NULL: no memory */
	enum phase phase;
	int fd; /* that the loop watches; -1: none */
	bool failed; /* to be reported as lost from the loop */
	struct pg_exchange exchange;
	struct endpoint_status last_known;
};

static void conn_ready(void *data, int events);

static void unwatch(struct pg_conn *c)
{
	if (c->fd >= 0)
		loop_unwatch(c->opts.link->loop, c->fd);
	c->fd = -1;
}

static void watch(struct pg_conn *c, int events)
{
	int fd = PQsocket(c->conn);

	if (fd != c->fd)
		unwatch(c);
	c->fd = fd;
	if (loop_watch(c->opts.link->loop, fd, events, conn_ready, c))
		c->failed = true;
}

/* Splits "ip:port" or "[ip]:port". */
static bool split_address(const char *address, char host[ADDRESS_BYTES],
			  char port[PORT_BYTES])
{
	const char *colon = strrchr(address, ':');
	size_t size;

	if (!colon || strlen(colon + 1) >= PORT_BYTES)
		return false;
	size = (size_t)(colon - address);
	if (size >= 2 && address[0] == '[' && address[size - 1] == ']') {
		address++;
		size -= 2;
	}
	if (size >= ADDRESS_BYTES)
		return false;
	memcpy(host, address, size);
	host[size] = '\0';
	g_strlcpy(port, colon + 1, PORT_BYTES);
	return true;
}

/*
 * Warnings are of no interest. Notices of libpq itself, and errors that no
 * statement waits for, tell of answers that belong to nobody.
 */
static void on_notice(void *data, const PGresult *r)
{
	struct pg_conn *c = data;
	const char *sqlstate = PQresultErrorField(r, PG_DIAG_SQLSTATE);
	const char *severity;

	severity = PQresultErrorField(r, PG_DIAG_SEVERITY_NONLOCALIZED);
	if (!sqlstate || !severity || strcmp(severity, "ERROR") == 0 ||
	    strcmp(severity, "FATAL") == 0 || strcmp(severity, "PANIC") == 0)
		c->failed = true;
}

static PGconn *start_connect(const struct pg_conn_opts *opts)
{
	static const char *const names[] = {
		"hostaddr",	    "port",    "user",	     "password",
		"dbname",	    "sslmode", "gssencmode", "client_encoding",
		"application_name", NULL
	};
	char host[ADDRESS_BYTES];
	char port[PORT_BYTES];
	const char *values[] = { host,
				 port,
				 opts->link->user,
				 opts->link->password,
				 opts->link->dbname,
				 "disable",
				 "disable",
				 "UTF8",
				 "zinnialine",
				 NULL };

	if (!split_address(opts->open.address, host, port))
		return NULL;
	return PQconnectStartParams(names, values, 0);
}

struct pg_conn *pg_conn_new(const struct pg_conn_opts *opts)
{
	struct pg_conn *c = g_new0(struct pg_conn, 1);

	c->opts = *opts;
	c->fd = -1;
	c->conn = start_connect(opts);
	if (!c->conn || PQstatus(c->conn) == CONNECTION_BAD) {
		c->failed = true;
		return c;
	}
	PQsetNoticeReceiver(c->conn, on_notice, c);
	watch(c, LOOP_WRITE);
	return c;
}

void pg_conn_free(struct pg_conn *c)
{
	unwatch(c);
	if (c->phase == PHASE_EXCHANGE)
		pg_exchange_clear(&c->exchange);
	if (c->conn)
		PQfinish(c->conn);
	g_free(c);
}

uint32_t pg_conn_id(const struct pg_conn *c)
{
	return c->opts.open.conn_id;
}

int64_t pg_conn_check_at_us(const struct pg_conn *c)
{
	if (c->failed)
		return 0;
	return c->phase == PHASE_CONNECTING ? c->opts.deadline_us : INT64_MAX;
}

bool pg_conn_is_lost(const struct pg_conn *c, int64_t now_us)
{
	return pg_conn_check_at_us(c) <= now_us;
}

static void lose(struct pg_conn *c)
{
	c->opts.ops->on_lost(c->opts.data, c);
}

static void opened(struct pg_conn *c)
{
	if (PQsetnonblocking(c->conn, 1) || !PQenterPipelineMode(c->conn)) {
		lose(c);
		return;
	}
	c->phase = PHASE_IDLE;
	watch(c, LOOP_READ);
	if (c->failed) {
		lose(c);
		return;
	}
	c->opts.ops->on_opened(c->opts.data, c);
}

/* libpq may close or replace its socket meanwhile. */
static void connect_ready(struct pg_conn *c)
{
	PostgresPollingStatusType s;

	unwatch(c);
	s = PQconnectPoll(c->conn);
	if (s == PGRES_POLLING_READING)
		watch(c, LOOP_READ);
	else if (s == PGRES_POLLING_WRITING)
		watch(c, LOOP_WRITE);
	else if (s == PGRES_POLLING_OK)
		opened(c);
	else
		lose(c);
}

/* Returns false when the connection failed. */
static bool flush(struct pg_conn *c)
{
	int rc = PQflush(c->conn);

	if (rc < 0)
		return false;
	watch(c, rc ? LOOP_READ | LOOP_WRITE : LOOP_READ);
	return !c->failed;
}

/* Of the other outcomes nothing is told to the caller as a result. */
static bool has_result(const struct pg_exchange *x)
{
	return x->result &&
	       (x->status == RESULT_OK || x->status == RESULT_SQL_ERROR);
}

static void exchange_done(struct pg_conn *c)
{
	struct pg_exchange *x = &c->exchange;
	struct exchange_result e = {
		.conn_id = pg_conn_id(c),
		.exchange = x->start.exchange,
		.status = x->status,
		.before = x->before,
		.after = x->after,
	};
	uint64_t caller_id = x->start.caller_id;
	json_t *result = has_result(x) ? json_incref(x->result) : NULL;

	c->last_known = x->after;
	c->phase = PHASE_IDLE;
	pg_exchange_clear(x);
	c->opts.ops->on_result(c->opts.data, c, &e, caller_id, result);
}

/*
 * Reads what has arrived between exchanges, so that the next one cannot
 * take it for its own answer. Returns false when the connection is bad.
 */
static bool drain_idle(struct pg_conn *c)
{
	return PQconsumeInput(c->conn) && !PQisBusy(c->conn) && !c->failed;
}

static void conn_ready(void *data, int events)
{
	struct pg_conn *c = data;
	int rc = 0;

	if (c->phase == PHASE_CONNECTING) {
		connect_ready(c);
		return;
	}
	if (c->phase == PHASE_IDLE)
		rc = drain_idle(c) ? 0 : -EPROTO;
	else if (PQconsumeInput(c->conn))
		rc = pg_exchange_continue(&c->exchange);
	else
		rc = -EIO;
	if (rc < 0 || PQstatus(c->conn) != CONNECTION_OK || !flush(c))
		lose(c);
	else if (rc > 0)
		exchange_done(c);
}

/* libpq may have closed its descriptor, which others can get next. */
static void fail_later(struct pg_conn *c)
{
	unwatch(c);
	c->failed = true;
}

void pg_conn_exchange(struct pg_conn *c, const struct exchange_start *x,
		      const struct statement *s)
{
	struct pg_exchange_opts opts = {
		.driver = c->opts.driver,
		.conn = c->conn,
		.start = x,
		.statement = s,
		.result_max_bytes = c->opts.link->result_max_bytes,
		.last_known = c->last_known,
	};

	if (c->phase != PHASE_IDLE || !drain_idle(c)) {
		fail_later(c);
		return;
	}
	c->phase = PHASE_EXCHANGE;
	if (pg_exchange_start(&c->exchange, &opts) || !flush(c))
		fail_later(c);
}
