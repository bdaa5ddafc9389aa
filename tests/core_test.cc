#include "model.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t MS = US_PER_MS;
constexpr int64_t S = US_PER_S;

void expect_sound(Model &m)
{
	m.check_final();
	for (const std::string &v : m.oracle.violations)
		ADD_FAILURE() << v;
}

/* One request of each kind every few milliseconds, over all nodes. */
void load(Model &m, int64_t duration_us, int nodes)
{
	static const int64_t ages[] = { 0, 100 * MS, 1 * S, 5 * S };
	int64_t end = m.now() + duration_us;
	int i = 0;

	while (m.now() < end) {
		int node = i % nodes;

		m.write(node, i % 5, i % 3 != 0, 2 * S);
		m.read((node + 1) % nodes, i % 5, ages[i % 4], 2 * S);
		if (i % 4 == 0)
			m.transaction(node, i % 5, i % 8 == 0, 2 * S);
		m.run(20 * MS);
		i++;
	}
}

TEST(Core, ServesInCalm)
{
	Model m({});

	m.run(3 * S);
	load(m, 5 * S, 3);
	m.run(3 * S);
	expect_sound(m);
	EXPECT_EQ(0u, m.promotions());
	EXPECT_EQ(0, m.oracle.may_have_run);
	EXPECT_EQ(0, m.oracle.not_run);
	EXPECT_GT(m.oracle.replica_reads, 0);
}

/* Node 1 learns positions only by its probes, which are rarer than this. */
TEST(Core, ReadsOwnWritesFromReplicasAfterTheLag)
{
	enum { ROUNDS = 200 };
	Model m({});
	int before;

	m.run(3 * S);
	before = m.oracle.replica_reads;
	for (int i = 0; i < ROUNDS; i++) {
		m.write(0, 0, true, 2 * S);
		m.run(40 * MS);
		m.read(1, 0, 1 * S, 2 * S);
		m.run(10 * MS);
	}
	m.run(3 * S);
	expect_sound(m);
	EXPECT_EQ(0, m.oracle.not_run);
	EXPECT_GE(m.oracle.replica_reads - before, ROUNDS * 95 / 100);
}

struct PrimaryFault {
	const char *name;
	void (*apply)(Model &m);
};

const PrimaryFault primary_faults[] = {
	{ "refuses connections", [](Model &m) { m.refuse(0); } },
	{ "goes silent", [](Model &m) { m.freeze(0); } },
	{ "zone cut off", [](Model &m) { m.cut_zone(0); } },
	{ "is leaving", [](Model &m) { m.set_leaving(0, true); } },
};

TEST(Core, ReplacesPrimary)
{
	for (const PrimaryFault &f : primary_faults) {
		SCOPED_TRACE(f.name);
		Model m({});

		m.run(3 * S);
		load(m, 1 * S, 3);
		f.apply(m);
		load(m, 6 * S, 3);
		EXPECT_NE(0, m.primary());
		m.heal_all();
		m.run(8 * S);
		expect_sound(m);
		EXPECT_GE(m.promotions(), 1u);
	}
}

} // namespace
