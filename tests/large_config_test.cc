#include "proxy_model.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;
constexpr int64_t START_US = 5 * S;
/* The largest value that the platform's store takes, in base64. */
constexpr int64_t LARGEST_CONFIG_BYTES = 1400 * 1000;
/* 10 Mbit/s, the smallest link of the grown deployments. */
constexpr int64_t SLOW_LINK_BYTES_PER_S = 1250 * 1000;
/* A configuration must be in force this long after its acknowledgement. */
constexpr int64_t APPLY_US = 5 * S;
/* As in the model's engine_opts. */
constexpr int64_t CONFIG_LIMIT_US = 3 * S;

struct ChangeCase {
	const char *name;
	int changes;
	int64_t gap_us; /* between two of them */
	bool restarts; /* all nodes lose power after the last change */
};

const ChangeCase change_cases[] = {
	{ "one change", 1, 0, false },
	{ "two changes, one after the other", 2, 3200 * MS, false },
	{ "changes while one is delivered", 4, 700 * MS, false },
	{ "all nodes start again", 1, 0, true },
};

/* A change reaches all nodes in time, at about one copy for each. */
TEST(LargeConfig, IsInForceInTimeOnSlowLinks)
{
	for (const ChangeCase &k : change_cases) {
		ProxyModelOpts o;
		int64_t copies = k.changes * 8 * LARGEST_CONFIG_BYTES;

		SCOPED_TRACE(k.name);
		o.nodes = 8;
		o.link_bytes_per_s = SLOW_LINK_BYTES_PER_S;
		ProxyModel m(o);
		m.run(START_US);
		ASSERT_EQ(8, m.count_nodes_with_newest_config());
		m.store_sent_bytes = 0;
		for (int i = 0; i < k.changes; i++) {
			m.run(i ? k.gap_us : 0);
			m.change_config(LARGEST_CONFIG_BYTES);
		}
		if (k.restarts)
			m.restart_all(500 * MS);
		m.run(APPLY_US);
		EXPECT_EQ(8, m.count_nodes_with_newest_config());
		EXPECT_LT(m.store_sent_bytes, copies + copies / 4);
		m.run(2 * S);
		for (int i = 0; i < 8; i++) {
			ProxyCaller *c = m.connect(i, "strict", "key-a");

			EXPECT_TRUE(m.run_statement(c, "READ 1").ok) << i;
		}
		EXPECT_TRUE(m.violations.empty());
	}
}

struct OldConfigCase {
	const char *name;
	bool cut; /* from the store; else its link is too slow */
	const char *database;
	const char *key;
	const char *code; /* "": it is served */
};

const OldConfigCase old_config_cases[] = {
	{ "open route, the store answers", false, "open", "", "BUSY" },
	{ "unknown name, the store answers", false, "added", "", "BUSY" },
	{ "route with key, the store answers", false, "strict", "key-a",
	  "BUSY" },
	{ "open route, cut off", true, "open", "", "" },
	{ "unknown name, cut off", true, "added", "", "NODB" },
	{ "route with key, cut off", true, "strict", "key-a", "BUSY" },
};

/*
 * While the store answers, an instance that has not got the newest
 * configuration in time must not serve or deny anything by the old one.
 */
TEST(LargeConfig, InstanceThatLacksItServesNothingByTheOldOne)
{
	for (const OldConfigCase &k : old_config_cases) {
		ProxyModelOpts o;
		ProxyCaller *before;
		ProxyCaller *after;

		SCOPED_TRACE(k.name);
		o.link_bytes_per_s = SLOW_LINK_BYTES_PER_S / 20;
		ProxyModel m(o);
		m.run(START_US);
		before = m.connect(0, k.database, k.key);
		m.wait_for_answer(before, 1 * S);
		m.nodes[0]->cut_from_store = k.cut;
		m.change_config(LARGEST_CONFIG_BYTES);
		m.run(CONFIG_LIMIT_US + 200 * MS);
		/* Its keys are confirmed for longer. */
		EXPECT_EQ(k.cut, engine_is_ready(m.nodes[0]->engine));
		m.run(APPLY_US + 500 * MS - CONFIG_LIMIT_US - 200 * MS);
		ASSERT_EQ(0, m.count_nodes_with_newest_config());
		EXPECT_FALSE(engine_is_ready(m.nodes[0]->engine));
		after = m.connect(0, k.database, k.key);
		EXPECT_EQ(k.code, m.wait_for_answer(after, 1 * S).code);
		if (!before->closed) {
			EXPECT_EQ(k.code,
				  m.run_statement(before, "READ 1").code);
		}
	}
}

} // namespace
