#include "model.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t S = US_PER_S;

void expect_sound(Model &m)
{
	m.check_final();
	for (const std::string &v : m.oracle.violations)
		ADD_FAILURE() << v;
}

TEST(Core, ServesInCalm)
{
	Model m({});

	m.run(3 * S);
	m.load(5 * S);
	m.run(3 * S);
	expect_sound(m);
	EXPECT_EQ(0u, m.promotions());
	EXPECT_EQ(0, m.oracle.may_have_run);
	for (const Call &c : m.oracle.calls) {
		if (c.key == KEY_MILL) {
			EXPECT_EQ(VERDICT_RAN, c.reply.verdict);
		}
	}
	EXPECT_GT(m.oracle.replica_reads, 0);
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
		m.load(1 * S);
		f.apply(m);
		m.load(6 * S);
		EXPECT_NE(0, m.primary());
		m.heal_all();
		m.run(8 * S);
		expect_sound(m);
		EXPECT_GE(m.promotions(), 1u);
	}
}

} // namespace
