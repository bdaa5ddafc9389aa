#include "proxy_model.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;

ProxyEndpoint *find_primary(ProxyModel &m, const std::string &service)
{
	for (auto &e : m.endpoints) {
		if (e->primary && e->service == service)
			return e.get();
	}
	return nullptr;
}

struct RerouteCase {
	const char *name;
	/* Brings about what the statement waits for when the route changes. */
	void (*hinder)(ProxyModel &m, ProxyEndpoint *primary);
};

const RerouteCase reroute_cases[] = {
	{ "in the queue, as transactions hold all connections",
	  [](ProxyModel &m, ProxyEndpoint *) {
		  for (int i = 0; i < 6; i++) {
			  ProxyCaller *c = m.connect(0, "strict", "key-a");

			  m.run_statement(c, "BEGIN");
			  m.send_statement(c, "WRITE 1 y");
			  m.run(20 * MS);
		  }
	  } },
	{ "for a connection that does not open",
	  [](ProxyModel &, ProxyEndpoint *primary) {
		  primary->unresponsive = true;
	  } },
};

/*
 * A statement that has not been sent goes where its route leads now: the
 * former service may not be the workspace's any more.
 */
TEST(Reroute, StatementThatWaitsFollowsItsRoute)
{
	for (const RerouteCase &k : reroute_cases) {
		SCOPED_TRACE(k.name);
		ProxyModelOpts o;

		o.nodes = 1;
		o.services = 2;
		o.unlimited = true;
		o.conns_max = 9;
		o.log = getenv("PROXY_LOG") != nullptr;
		ProxyModel m(o);

		m.run(3 * S);
		ProxyEndpoint *former = find_primary(m, "svc0");
		ProxyEndpoint *next = find_primary(m, "svc1");
		ASSERT_TRUE(former && next);
		ProxyCaller *c = m.connect(0, "strict", "key-a");
		k.hinder(m, former);
		m.executed_at.clear();
		c->lines.clear();
		m.send_statement(c, "WRITE 1 x");
		m.run(10 * MS);
		ASSERT_EQ(0, m.executed_at[former->id]);
		m.swap_routes();
		ProxyAnswer a = m.wait_for_answer(c, 700 * MS);

		EXPECT_TRUE(a.ok) << a.text;
		EXPECT_EQ(0, m.executed_at[former->id]);
		EXPECT_LE(1, m.executed_at[next->id]);
		for (const std::string &v : m.violations)
			ADD_FAILURE() << v;
	}
}

} // namespace
