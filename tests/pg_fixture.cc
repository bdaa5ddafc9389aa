#include "pg_fixture.h"

#include <apr_general.h>
#include <gtest/gtest.h>

/* Maximum time for which a test waits for a condition. */
static const int64_t wait_timeout_us = 20 * US_PER_S;

Endpoint::Endpoint(const std::vector<std::string> &args)
    : process("standin-endpoint", args), control(process.address("control"))
{
}

std::string Endpoint::state(const std::string &field)
{
	std::string line = control.send_command("state");
	size_t at = line.find(" " + field + "=");

	if (at == std::string::npos)
		return "";
	at += field.size() + 2;
	return line.substr(at, line.find(' ', at) - at);
}

bool Endpoint::has_row(const std::string &table, const std::string &row)
{
	for (const std::string &l : control.send_list_command("dump " + table))
		if (l == row)
			return true;
	return false;
}

void PgLinkHarness::on_event(void *data, const struct event *e)
{
	static_cast<PgLinkHarness *>(data)->events.push_back(*e);
}

void PgLinkHarness::on_result(void *data, uint64_t caller_id, json_t *result)
{
	PgLinkHarness *l = static_cast<PgLinkHarness *>(data);

	json_decref(l->result_);
	l->result_ = result;
}

PgLinkHarness::PgLinkHarness(uint32_t result_max_bytes,
			     int64_t connect_timeout_us, const char *password)
{
	struct pg_link_opts opts = {};

	apr_initialize();
	apr_pool_create(&pool_, nullptr);
	EXPECT_EQ(0, loop_new(&loop_, pool_));
	opts.loop = loop_;
	opts.driver = "group";
	opts.user = "proxy";
	opts.password = password;
	opts.dbname = "ledger";
	opts.result_max_bytes = result_max_bytes;
	opts.connect_timeout_us = connect_timeout_us;
	opts.on_event = on_event;
	opts.on_result = on_result;
	opts.data = this;
	EXPECT_EQ(0, pg_link_new(&link_, &opts, pool_));
}

PgLinkHarness::~PgLinkHarness()
{
	apr_pool_destroy(pool_);
	json_decref(result_);
}

void PgLinkHarness::open_address(uint32_t conn_id, const std::string &address)
{
	struct conn_open o = {};

	o.conn_id = conn_id;
	address.copy(o.address, sizeof(o.address) - 1);
	pg_link_open(link_, &o);
}

void PgLinkHarness::open(uint32_t conn_id, const Endpoint &e)
{
	open_address(conn_id, e.process.address("listen"));
}

void PgLinkHarness::open_and_wait(uint32_t conn_id, const Endpoint &e)
{
	size_t opened_before = count(EVENT_CONN_OPENED);

	open(conn_id, e);
	ASSERT_TRUE(wait_until(
		[&] { return count(EVENT_CONN_OPENED) > opened_before; }));
}

void PgLinkHarness::close(uint32_t conn_id)
{
	pg_link_close(link_, conn_id);
}

uint64_t PgLinkHarness::start_exchange(uint32_t conn_id,
				       enum exchange_plan plan,
				       const SqlStatement &sql, uint64_t term)
{
	struct exchange_start x = {};
	json_t *params = json_loads(sql.params.c_str(), 0, nullptr);
	struct statement *s = statement_new(sql.text.c_str(), params);

	json_decref(result_);
	result_ = nullptr;
	x.conn_id = conn_id;
	x.exchange = ++last_exchange_;
	x.plan = plan;
	x.caller_id = 77;
	x.term = term;
	std::string("north").copy(s->workspace, sizeof(s->workspace) - 1);
	sql.request_id.copy(s->request_id, sizeof(s->request_id) - 1);
	pg_link_start_exchange(link_, &x, s);
	statement_free(s);
	json_decref(params);
	return x.exchange;
}

struct exchange_result PgLinkHarness::run_exchange(uint32_t conn_id,
						   enum exchange_plan plan,
						   const SqlStatement &sql,
						   uint64_t term)
{
	struct exchange_result out = {};
	size_t at = events.size();
	uint64_t exchange = start_exchange(conn_id, plan, sql, term);
	auto has_ended = [&] {
		for (; at < events.size(); at++) {
			const struct event &e = events[at];

			if (e.type == EVENT_CONN_LOST && e.conn_id == conn_id)
				return true;
			if (e.type != EVENT_EXCHANGE_RESULT ||
			    e.result.exchange != exchange)
				continue;
			out = e.result;
			return true;
		}
		return false;
	};

	EXPECT_TRUE(wait_until(has_ended));
	EXPECT_EQ(exchange, out.exchange) << "the connection was lost";
	EXPECT_EQ(conn_id, out.conn_id);
	return out;
}

bool PgLinkHarness::wait_until(const std::function<bool()> &condition)
{
	int64_t end_us = loop_now_us() + wait_timeout_us;

	while (!condition()) {
		if (loop_now_us() > end_us)
			return false;
		loop_run_once(loop_, 2000);
	}
	return true;
}

void PgLinkHarness::run_iterations(int count)
{
	for (int i = 0; i < count; i++)
		loop_run_once(loop_, 1000);
}

bool PgLinkHarness::is_lost(uint32_t conn_id) const
{
	for (const struct event &e : events)
		if (e.type == EVENT_CONN_LOST && e.conn_id == conn_id)
			return true;
	return false;
}

size_t PgLinkHarness::count(enum event_type type) const
{
	size_t n = 0;

	for (const struct event &e : events)
		n += e.type == type;
	return n;
}

std::string PgLinkHarness::last_result() const
{
	char *text = result_ ? json_dumps(result_, JSON_COMPACT) : nullptr;
	std::string out = text ? text : "";

	free(text);
	return out;
}

std::string PgLinkHarness::last_sqlstate() const
{
	const char *s = json_string_value(json_object_get(result_, "sqlstate"));

	return s ? s : "";
}
