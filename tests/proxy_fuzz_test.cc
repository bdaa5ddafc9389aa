#include "proxy_model.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;
constexpr int64_t START_US = 3 * S;
/* In CI; PROXY_SEEDS=N runs N others, from PROXY_SEED on. */
constexpr int SEEDS = 40;
constexpr int STEPS = 120;
/*
 * Seeds that failed once, and what for: copies unknown to a new instance; a
 * copy forgotten by a frozen one; replicas left stopped by a round that an
 * earlier order overtook; the same, where the next holder of the duty learned
 * of the service only after it had the duty.
 */
const uint64_t failed_seeds[] = { 1380, 3272, 12045, 20535 };

int pick(ProxyModel &m, int n)
{
	return (int)(m.rand() % (uint64_t)n);
}

ProxyEndpoint *any_endpoint(ProxyModel &m)
{
	return m.endpoints[pick(m, (int)m.endpoints.size())].get();
}

ProxyNode *any_node(ProxyModel &m)
{
	return m.nodes[pick(m, (int)m.nodes.size())].get();
}

int dead_endpoints(const ProxyModel &m)
{
	int n = 0;

	for (auto &e : m.endpoints)
		n += !e->alive || e->dark;
	return n;
}

struct Fault {
	const char *name;
	void (*apply)(ProxyModel &m);
};

/* Every one heals by itself, so that faults overlap but do not pile up. */
const Fault faults[] = {
	{ "endpoint crashes",
	  [](ProxyModel &m) {
		  ProxyEndpoint *e = any_endpoint(m);

		  if (dead_endpoints(m))
			  return;
		  m.crash(e);
		  m.at(4 * S, [&m, e] { m.bring_back(e); });
	  } },
	{ "endpoint goes dark",
	  [](ProxyModel &m) {
		  ProxyEndpoint *e = any_endpoint(m);

		  if (dead_endpoints(m))
			  return;
		  m.go_dark(e);
		  m.at(4 * S, [&m, e] {
			  m.crash(e);
			  m.bring_back(e);
		  });
	  } },
	{ "endpoint is cut off from some instances",
	  [](ProxyModel &m) {
		  ProxyEndpoint *e = any_endpoint(m);

		  for (int i = 0; i < m.opts.nodes; i++) {
			  if (pick(m, 2))
				  e->cut_nodes.insert(i);
		  }
		  m.at(3 * S, [e] { e->cut_nodes.clear(); });
	  } },
	{ "endpoint receives nothing",
	  [](ProxyModel &m) {
		  ProxyEndpoint *e = any_endpoint(m);

		  e->cut_replication = true;
		  m.at(2 * S, [e] { e->cut_replication = false; });
	  } },
	{ "replicas fall behind",
	  [](ProxyModel &m) {
		  for (auto &e : m.endpoints)
			  e->lag_us = pick(m, 2500) * MS;
		  m.at(4 * S, [&m] {
			  for (auto &e : m.endpoints)
				  e->lag_us = 20 * MS;
		  });
	  } },
	{ "connections go silent",
	  [](ProxyModel &m) { m.silence_conns(any_endpoint(m)); } },
	{ "primary is leaving",
	  [](ProxyModel &m) {
		  ProxyEndpoint *e = m.primary();

		  if (!e || !e->listed)
			  return;
		  m.set_leaving(e, true);
		  m.at(6 * S, [&m, e] { m.set_leaving(e, false); });
	  } },
	{ "entry lapses",
	  [](ProxyModel &m) {
		  ProxyEndpoint *e = any_endpoint(m);

		  if (!e->listed)
			  return;
		  m.unlist(e);
		  m.at(1500 * MS, [&m, e] { m.publish(e); });
	  } },
	{ "instance is killed",
	  [](ProxyModel &m) {
		  ProxyNode *n = any_node(m);

		  if (!n->engine)
			  return;
		  m.kill(n);
		  m.at(pick(m, 3000) * MS, [&m, n] {
			  if (!n->engine)
				  m.start(n);
		  });
	  } },
	{ "instance loses power",
	  [](ProxyModel &m) {
		  ProxyNode *n = any_node(m);

		  if (!n->engine)
			  return;
		  m.power_off(n);
		  m.at(800 * MS, [&m, n] {
			  if (!n->engine)
				  m.start(n);
		  });
	  } },
	{ "instance freezes",
	  [](ProxyModel &m) {
		  ProxyNode *n = any_node(m);

		  n->frozen = true;
		  m.at(pick(m, 4000) * MS, [n] { n->frozen = false; });
	  } },
	{ "instance is cut off from the store",
	  [](ProxyModel &m) {
		  ProxyNode *n = any_node(m);

		  n->cut_from_store = true;
		  m.at(pick(m, 7000) * MS, [n] { n->cut_from_store = false; });
	  } },
	{ "store is down",
	  [](ProxyModel &m) { m.store_down(pick(m, 6000) * MS, false); } },
	{ "store loses answers",
	  [](ProxyModel &m) { m.store_down(pick(m, 3000) * MS, true); } },
	{ "promotions are carried out late",
	  [](ProxyModel &m) { m.lose_promotions(3 * S, pick(m, 6000) * MS); } },
	{ "key is withdrawn", [](ProxyModel &m) { m.revoke_key("key-c"); } },
};

const char *const texts[] = {
	"READ 1",     "READ 2",
	"WRITE 1 x",  "BEGIN",
	"BEGIN READ", "COMMIT",
	"ROLLBACK",   "SET a 1",
	"SET a 2",    "PREPARE s READ q",
	"READ 3",     "EXECUTE s 1",
	"WRITE 2 y",  "PREPARE s WRITE w",
};

const char *const databases[] = { "strict", "bounded", "session", "open" };
const char *const keys[] = { "key-a", "key-b", "key-c" };

/* Callers that ask at random; one that is gone is replaced. */
void ask_all(ProxyModel &m, std::vector<ProxyCaller *> &callers)
{
	for (ProxyCaller *&c : callers) {
		if (!c || c->closed || pick(m, 40) == 0) {
			if (c)
				m.disconnect(c);
			c = m.connect(pick(m, m.opts.nodes),
				      databases[pick(m, 4)], keys[pick(m, 3)]);
			m.take(c, 1 * MS);
			continue;
		}
		if (c->last_id.empty())
			m.send(c, texts[pick(m, (int)std::size(texts))]);
	}
	m.run(40 * MS);
	for (ProxyCaller *c : callers) {
		if (c && !c->last_id.empty() && !c->lines.empty())
			m.take(c, 20 * MS);
	}
}

void run_seed(uint64_t seed, std::string &trail)
{
	ProxyModelOpts o;

	o.seed = seed;
	o.nodes = 4;
	o.log = getenv("PROXY_LOG") != nullptr;
	ProxyModel m(o);
	std::vector<ProxyCaller *> callers(12, nullptr);

	m.run(START_US);
	for (int i = 0; i < STEPS; i++) {
		if (pick(m, 8) == 0) {
			const Fault &f =
				faults[pick(m, (int)std::size(faults))];

			trail += std::to_string(m.now() / MS) + " ms " +
				 f.name + "\n";
			f.apply(m);
		}
		ask_all(m, callers);
	}
	/* Everything has healed: a write succeeds again. */
	m.run(14 * S);
	bool served = false;
	for (int i = 0; i < 20 && !served; i++) {
		ProxyCaller *c = m.connect(i % 4, "strict", "key-a");

		served = m.ask(c, "WRITE 1 x").ok;
		m.run(200 * MS);
	}
	EXPECT_TRUE(served) << "no write is possible after all has healed";
	m.check_quota();
	for (const std::string &v : m.violations)
		ADD_FAILURE() << v;
}

/*
 * Two holders of the duty die one after the other, each with an order that
 * has no answer. The first order is carried out, its choice acknowledges
 * commits, then the second is carried out; no later token was used before.
 */
TEST(ProxyFuzz, LateOrdersOfTwoDeadHoldersLoseNothing)
{
	std::string trail;

	run_seed(29204, trail);
}

TEST(ProxyFuzz, NoRuleBreaksUnderRandomFaults)
{
	const char *more = getenv("PROXY_SEEDS");
	const char *first = getenv("PROXY_SEED");
	uint64_t from = first ? strtoull(first, nullptr, 10) : 1;
	uint64_t count = more ? strtoull(more, nullptr, 10) : SEEDS;

	std::vector<uint64_t> seeds;

	if (!first)
		seeds.assign(std::begin(failed_seeds), std::end(failed_seeds));
	for (uint64_t seed = from; seed < from + count; seed++)
		seeds.push_back(seed);
	for (uint64_t seed : seeds) {
		std::string trail;

		run_seed(seed, trail);
		if (::testing::Test::HasFailure()) {
			printf("seed %llu:\n%s", (unsigned long long)seed,
			       trail.c_str());
			return;
		}
	}
}

} // namespace
