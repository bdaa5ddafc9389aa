#include "proxy_model.h"

#include <gtest/gtest.h>

#include <cstring>
#include <functional>

extern "C" {
#include "handover/home_handover.h"
#include "proxy/engine_state.h"
#include "proxy/quota.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;
constexpr int64_t START_US = 6 * S; /* all nodes know one another */

struct home_handover make_message(uint64_t incarnation, uint32_t needs)
{
	struct home_handover h = {};

	g_strlcpy(h.service, "svc0", sizeof(h.service));
	h.incarnation = incarnation;
	h.valid_us = 1 * S;
	h.need_count = needs;
	for (uint32_t i = 0; i < needs && i < HANDOVER_NEEDS_MAX; i++)
		h.needs[i] = { i + 1, 7, 100 - i };
	return h;
}

struct PutCase {
	const char *name;
	std::function<void(struct home_handover &)> change;
	bool taken; /* after a message of incarnation 5 */
};

const PutCase put_cases[] = {
	{ "later incarnation", [](struct home_handover &h) {}, true },
	{ "doubled", [](struct home_handover &h) { h.incarnation = 5; },
	  false },
	{ "late", [](struct home_handover &h) { h.incarnation = 4; }, false },
	{ "other service",
	  [](struct home_handover &h) {
		  h.incarnation = 5;
		  strcpy(h.service, "svc1");
	  },
	  true },
	{ "no service", [](struct home_handover &h) { h.service[0] = 0; },
	  false },
	{ "service without an end",
	  [](struct home_handover &h) {
		  memset(h.service, 'x', sizeof(h.service));
	  },
	  false },
	{ "no incarnation", [](struct home_handover &h) { h.incarnation = 0; },
	  false },
	{ "no life", [](struct home_handover &h) { h.valid_us = 0; }, false },
	{ "negative life", [](struct home_handover &h) { h.valid_us = -1; },
	  false },
	{ "endless", [](struct home_handover &h) { h.valid_us = INT64_MAX; },
	  false },
	{ "too many needs",
	  [](struct home_handover &h) {
		  h.need_count = HANDOVER_NEEDS_MAX + 1;
	  },
	  false },
};

enum handover_verdict open_all(void *data, const struct handover_need *n)
{
	return HANDOVER_OPEN;
}

enum handover_verdict wait_all(void *data, const struct handover_need *n)
{
	return HANDOVER_LATER;
}

TEST(HandoverPlan, TakesNewerWellFormedMessages)
{
	for (const PutCase &k : put_cases) {
		struct handover_plan *p = handover_plan_new();
		struct home_handover first = make_message(5, 0);
		struct home_handover h = make_message(6, 2);
		struct handover_need out;

		SCOPED_TRACE(k.name);
		ASSERT_TRUE(handover_plan_put(p, "n-1", &first, 0));
		k.change(h);
		EXPECT_EQ(k.taken, handover_plan_put(p, "n-1", &h, 0));
		EXPECT_EQ(k.taken,
			  handover_plan_next(p, k.taken ? h.service : "svc0",
					     open_all, nullptr, &out, 0));
		handover_plan_free(p);
	}
}

TEST(HandoverPlan, GivesEachNeedOnceUntilItsEnd)
{
	struct handover_plan *p = handover_plan_new();
	struct home_handover h = make_message(5, 3);
	struct handover_need out;

	ASSERT_TRUE(handover_plan_put(p, "n-1", &h, 0));
	EXPECT_FALSE(handover_plan_next(p, "svc1", open_all, nullptr, &out, 0));
	EXPECT_FALSE(handover_plan_next(p, "svc0", wait_all, nullptr, &out, 0));
	for (uint64_t i = 1; i <= 2; i++) {
		ASSERT_TRUE(handover_plan_next(p, "svc0", open_all, nullptr,
					       &out, 0));
		EXPECT_EQ(i, out.workspace);
	}
	EXPECT_FALSE(
		handover_plan_next(p, "svc0", open_all, nullptr, &out, 1 * S));
	EXPECT_TRUE(handover_plan_next(p, "svc0", open_all, nullptr, &out,
				       1 * S - 1));
	EXPECT_FALSE(handover_plan_next(p, "svc0", open_all, nullptr, &out, 0));
	handover_plan_free(p);
}

TEST(HandoverPlan, RemembersABoundedNumberOfLeavers)
{
	struct handover_plan *p = handover_plan_new();
	struct home_handover h = make_message(5, 1);

	for (int i = 0; i < 2 * HANDOVER_LEAVERS_MAX; i++)
		EXPECT_TRUE(
			handover_plan_put(p, ("n-" + std::to_string(i)).c_str(),
					  &h, 0));
	EXPECT_FALSE(handover_plan_put(
		p,
		("n-" + std::to_string(2 * HANDOVER_LEAVERS_MAX - 1)).c_str(),
		&h, 0));
	handover_plan_free(p);
}

void expect_no_violations(ProxyModel &m)
{
	m.check_quota();
	for (const std::string &v : m.violations)
		ADD_FAILURE() << v;
}

/* Twenty nodes and 19 connections that may be used: three homes. */
ProxyModelOpts handover_opts()
{
	ProxyModelOpts o;

	o.nodes = 20;
	o.conns_max = 33;
	o.unlimited = true;
	o.rate_per_s = 10000;
	o.burst = 10000;
	o.log = getenv("PROXY_LOG") != nullptr;
	return o;
}

/* Callers at all nodes but one, which read and write one after the other. */
class Traffic
{
      public:
	Traffic(ProxyModel &m, const ProxyNode *none) : m_(m)
	{
		for (auto &n : m.nodes) {
			for (const char *key : { "key-a", "key-b", "key-c" }) {
				if (n.get() == none)
					continue;
				callers_.push_back(
					m.connect(n->index, "session", key));
				m.wait_for_answer(callers_.back(), 1 * S);
			}
		}
	}

	/* Returns how many statements failed. */
	int run(int64_t duration_us)
	{
		int64_t end_us = m_.now() + duration_us;
		int failed = 0;

		while (m_.now() < end_us) {
			ProxyCaller *c = callers_[step_ % callers_.size()];

			if (!c->closed)
				failed += !m_.run_statement(c,
							    step_ % 4 ?
								    "READ 1" :
								    "WRITE 1 x")
						   .ok;
			step_++;
			m_.run(1 * MS);
		}
		return failed;
	}

      private:
	ProxyModel &m_;
	std::vector<ProxyCaller *> callers_;
	size_t step_ = 0;
};

int64_t count(const ProxyNode &n, const char *metric, const char *label)
{
	return metrics_get(n.metrics, metric, label);
}

/* Connections that statements had to wait for, at all nodes but one. */
int64_t count_critical_opens(ProxyModel &m, const ProxyNode *but)
{
	int64_t sum = 0;

	for (auto &n : m.nodes) {
		if (n.get() != but && n->engine)
			sum += count(*n, "connections_opened_total", "work") -
			       count(*n, "connections_ahead_total", "svc0");
	}
	return sum;
}

int64_t count_ahead(ProxyModel &m)
{
	int64_t sum = 0;

	for (auto &n : m.nodes) {
		if (n->engine)
			sum += count(*n, "connections_ahead_total", "svc0");
	}
	return sum;
}

/* Returns the home with the most connections to endpoints. */
ProxyNode *find_busy_home(ProxyModel &m)
{
	ProxyNode *found = nullptr;

	for (auto &n : m.nodes) {
		if (!found || n->conns.size() > found->conns.size())
			found = n.get();
	}
	return found;
}

struct HandoverRun {
	int failed;
	int64_t critical; /* connections opened on the path of statements */
	int64_t ahead;
};

/* Stops the busiest home under load; `fault` comes right after. */
HandoverRun
stop_a_home(const std::function<void(ProxyModel &, ProxyNode *)> &fault,
	    bool tells = true)
{
	ProxyModel m(handover_opts());
	HandoverRun r = {};

	m.run(START_US);
	Traffic warm(m, nullptr);
	warm.run(2 * S);
	ProxyNode *home = find_busy_home(m);
	Traffic traffic(m, home);
	r.failed += traffic.run(1 * S);
	int64_t before = count_critical_opens(m, home);
	if (!tells)
		m.lost_message_type = PEER_HANDOVER;
	engine_drain(home->engine);
	fault(m, home);
	r.failed += traffic.run(1500 * MS);
	r.critical = count_critical_opens(m, home) - before;
	r.ahead = count_ahead(m);
	expect_no_violations(m);
	return r;
}

void no_fault(ProxyModel &, ProxyNode *)
{
}

/* The load: a planned stop of a home whose connections others then need. */
TEST(Handover, FewerOpensOnThePathOfStatements)
{
	HandoverRun without = stop_a_home(no_fault, false);
	HandoverRun with = stop_a_home(no_fault);

	RecordProperty("critical_without", (int)without.critical);
	RecordProperty("critical_with", (int)with.critical);
	EXPECT_EQ(0, without.failed);
	EXPECT_EQ(0, with.failed);
	EXPECT_EQ(0, without.ahead);
	EXPECT_LT(0, with.ahead);
	EXPECT_LE(2 * with.critical, without.critical);
}

struct HandoverFaultCase {
	const char *name;
	std::function<void(ProxyModel &, ProxyNode *)> fault;
	bool all_served; /* no statement fails */
};

const HandoverFaultCase fault_cases[] = {
	{ "leaver killed halfway",
	  [](ProxyModel &m, ProxyNode *home) {
		  m.run_later(10 * MS, [&m, home] { m.kill(home); });
	  },
	  false },
	{ "successor killed",
	  [](ProxyModel &m, ProxyNode *home) {
		  m.run_later(10 * MS, [&m, home] {
			  for (auto &n : m.nodes) {
				  if (n.get() == home || !n->engine ||
				      n->conns.size() < 2)
					  continue;
				  m.kill(n.get());
				  return;
			  }
		  });
	  },
	  false },
	{ "messages doubled",
	  [](ProxyModel &m, ProxyNode *) { m.double_peer_messages = true; },
	  true },
	{ "drained again",
	  [](ProxyModel &m, ProxyNode *home) { engine_drain(home->engine); },
	  true },
};

TEST(Handover, FaultsHalfwayBreakNoPromise)
{
	for (const HandoverFaultCase &k : fault_cases) {
		SCOPED_TRACE(k.name);
		HandoverRun r = stop_a_home(k.fault);

		EXPECT_TRUE(!k.all_served || !r.failed) << r.failed;
	}
}

/* What a message asks for must not bring an endpoint above its limit. */
TEST(Handover, MessageIsNoRight)
{
	ProxyModel m(handover_opts());
	struct peer_message msg = {};
	uint32_t i = 0;

	m.run(START_US);
	Traffic traffic(m, nullptr);
	traffic.run(1 * S);
	g_strlcpy(msg.peer, "n99", sizeof(msg.peer));
	msg.type = PEER_HANDOVER;
	msg.handover = make_message(5, HANDOVER_NEEDS_MAX);
	for (const char *w : { "a", "b", "c", "unknown" }) {
		for (auto &e : m.endpoints) {
			struct upstream *u = static_cast<struct upstream *>(
				g_hash_table_lookup(
					m.nodes[0]->engine->upstreams_by_id,
					e->id.c_str()));

			msg.handover.needs[i++] = { quota_workspace_hash(w),
						    upstream_id_hash(u), 9 };
		}
	}
	for (auto &n : m.nodes)
		engine_peer_message(n->engine, &msg);
	traffic.run(1 * S);
	for (auto &e : m.endpoints)
		EXPECT_LE(e->conns.size(), 33u);
	for (auto &n : m.nodes) {
		auto *svc = static_cast<struct service *>(
			g_hash_table_lookup(n->engine->services, "svc0"));

		EXPECT_TRUE(svc->is_home ||
			    !count(*n, "connections_ahead_total", "svc0"));
	}
	/* A message of a process that has been replaced is dropped. */
	int64_t ahead = count_ahead(m);
	g_strlcpy(msg.peer, "n1", sizeof(msg.peer));
	msg.handover.incarnation = 1;
	engine_peer_message(m.nodes[0]->engine, &msg);
	EXPECT_EQ(ahead, count_ahead(m));
	expect_no_violations(m);
}

} // namespace
