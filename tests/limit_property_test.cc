#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "limit_fleet.h"

namespace
{

const uint32_t COST = 1000;
const uint32_t SMALL_COST = 250;

struct TestLimit {
	const char *name;
	uint32_t rate;
	uint32_t burst;
};

const TestLimit test_limits[] = {
	{ "large", 200000, 40000 },
	{ "small", 10000, 4000 },
	{ "odd", 33333, 7777 },
	{ "tight", 200000, 8000 },
};

void put_workspaces(Fleet &f)
{
	for (const TestLimit &l : test_limits)
		f.put_workspace(l.name, l.rate, l.burst);
}

struct Step {
	int kind;
	int node;
	int64_t duration_us;
	unsigned hot; // bit i is set when node i sends traffic
};

std::ostream &operator<<(std::ostream &os, const Step &s)
{
	return os << "{kind " << s.kind << ", node " << s.node << ", "
		  << s.duration_us / US_PER_MS << " ms, hot " << s.hot << "}";
}

// Draws from the full range, regardless of RapidCheck's size parameter.
template <typename T> rc::Gen<T> gen_between(T least, T most)
{
	return rc::gen::resize(100, rc::gen::inRange<T>(least, most + 1));
}

rc::Gen<std::vector<Step>> gen_steps()
{
	return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
		rc::gen::set(&Step::kind, gen_between(0, 9)),
		rc::gen::set(&Step::node, gen_between(0, 5)),
		rc::gen::set(&Step::duration_us,
			     gen_between<int64_t>(20000, 900000)),
		rc::gen::set(&Step::hot, gen_between(0U, 63U))));
}

// Sends far more than the limit from a hot node, nothing from the others.
void send_flood(Fleet &f, int node, unsigned hot)
{
	if (!((hot >> node) & 1))
		return;
	for (const TestLimit &l : test_limits) {
		for (int i = 0; i < 50; i++) {
			if (!f.admit(node, l.name, SMALL_COST,
				     f.rng() % 8 == 0))
				break;
		}
	}
}

void apply_step(Fleet &f, int kind, int node, int64_t duration_us)
{
	switch (kind) {
	case 0:
		f.pause(node, duration_us * 10);
		break;
	case 1:
		f.crash(node, duration_us);
		break;
	case 2:
		f.faults.platform_down = !f.faults.platform_down;
		break;
	case 3:
		f.cut_platform(node, duration_us * 20);
		break;
	case 4:
		f.cut_peers(node, duration_us * 4);
		break;
	case 5:
		f.drain(node);
		f.crash(node, duration_us);
		break;
	case 6:
		f.pause(node, 2 * US_PER_S + duration_us);
		f.cut_platform(node, 6 * US_PER_S);
		break;
	default:
		f.faults.platform_down = false;
		break;
	}
}

Faults random_faults(uint32_t seed)
{
	std::mt19937 rng(seed);
	Faults f;

	f.message_loss = rng() % 30;
	f.message_duplicate = rng() % 40;
	f.message_delay = rng() % 30;
	f.answer_loss = rng() % 30;
	f.change_delay = rng() % 20;
	f.record_delay = rng() % 40;
	f.clock_drift = 1;
	f.removal_delay_us = rng() % 2 ? 1 : 0;
	f.with_guard = rng() % 2;
	return f;
}

RC_GTEST_PROP(LimitFleet, NoWindowExceedsRateAndBurst, ())
{
	auto steps = *gen_steps();
	uint32_t seed = *gen_between(0U, 1000000U);
	const double DRIFT = 1.004;
	int count = 2 + seed % 5;
	Fleet f(count, seed, random_faults(seed));

	put_workspaces(f);
	f.run(8 * US_PER_S, [&](int i) { send_flood(f, i, seed); });
	for (const Step &s : steps) {
		apply_step(f, s.kind, s.node % count, s.duration_us);
		f.run(s.duration_us, [&](int i) { send_flood(f, i, s.hot); });
	}
	for (const TestLimit &l : test_limits)
		RC_ASSERT(within_limit(f.admitted[l.name], l.rate * DRIFT,
				       l.burst));
}

RC_GTEST_PROP(LimitFleet, ChangedRateAppliesOnceAllInstancesHaveIt, ())
{
	uint32_t seed = *gen_between(0U, 1000000U);
	uint32_t new_rate = *gen_between(1000U, 500000U);
	const double DRIFT = 1.004;
	const int64_t PROPAGATION_US = 3 * US_PER_S + 100 * US_PER_MS;
	const int64_t LOANS_US = US_PER_S + 100 * US_PER_MS;
	Faults faults = random_faults(seed);
	Fleet f(2 + seed % 5, seed, faults);
	uint32_t rate_max = std::max(new_rate, test_limits[0].rate);

	put_workspaces(f);
	f.run(9 * US_PER_S, [&](int i) { send_flood(f, i, seed); });
	f.put_workspace("large", new_rate, 20000);
	f.run(10 * US_PER_S, [&](int i) { send_flood(f, i, seed >> 8); });
	RC_ASSERT(within_limit(f.admitted["large"], rate_max * DRIFT, 40000));
	RC_ASSERT(within_limit(f.admitted["large"], new_rate * DRIFT, 20000,
			       f.now_us - 10 * US_PER_S + PROPAGATION_US +
				       LOANS_US));
}

// Guards against limits that hold only because too little is admitted: without
// faults the hot nodes must get most of the rate.
struct FaultlessCase {
	const char *name;
	int nodes;
	unsigned hot; // bit i is set when node i sends traffic
	uint32_t rate;
	uint32_t burst;
	double served_min; // fraction of the rate
};

const FaultlessCase faultless_cases[] = {
	{ "one hot of 8, large", 8, 1, 200000, 40000, 0.9 },
	{ "one hot of 8, small", 8, 1, 20000, 10000, 0.9 },
	{ "one hot of 2", 2, 2, 50000, 10000, 0.9 },
	{ "two hot of 8", 8, 3, 200000, 40000, 0.9 },
	{ "all hot", 8, 255, 200000, 40000, 0.9 },
	{ "burst below one request an instance", 8, 1, 10000, 4000, 0.9 },
};

TEST(LimitFleet, HotInstancesGetTheWholeRateWithoutFaults)
{
	const int64_t MEASURED_US = 20 * US_PER_S;

	for (const FaultlessCase &c : faultless_cases) {
		Fleet f(c.nodes, 7, Faults());
		auto traffic = [&](int i) {
			while ((c.hot >> i) & 1 && f.admit(i, "w", COST)) {
			}
		};

		SCOPED_TRACE(c.name);
		f.put_workspace("w", c.rate, c.burst);
		f.run(6 * US_PER_S, traffic);
		size_t before = f.admitted["w"].size();
		f.run(MEASURED_US, traffic);
		double served = (f.admitted["w"].size() - before) * COST * 1e6 /
				MEASURED_US / c.rate;
		printf("%s: %.3f of the rate\n", c.name, served);
		EXPECT_GE(served, c.served_min);
		EXPECT_TRUE(within_limit(f.admitted["w"], c.rate, c.burst));
	}
}

// All nodes lose the platform for a minute; shares must outlast the leases.
TEST(LimitFleet, WholeRateIsServedDuringAPlatformOutage)
{
	const int64_t OUTAGE_US = 60 * US_PER_S;
	Faults faults;
	auto traffic = [](Fleet &f, int i) {
		while (f.admit(i, "w", COST)) {
		}
	};

	faults.with_guard = true;
	Fleet f(4, 7, faults);
	f.put_workspace("w", 100000, 20000);
	f.run(12 * US_PER_S, [&](int i) { traffic(f, i); });
	f.faults.platform_down = true;
	size_t before = f.admitted["w"].size();
	f.run(OUTAGE_US, [&](int i) { traffic(f, i); });
	size_t served = f.admitted["w"].size() - before;
	f.faults.platform_down = false;
	f.run(12 * US_PER_S, [&](int i) { traffic(f, i); });
	printf("outage: %zu of %d served\n", served, 6000);
	EXPECT_GE(served, 5400U);
	EXPECT_TRUE(within_limit(f.admitted["w"], 100000, 20000));
}

TEST(LimitFleet, DuplicateMessagesAddNoTokens)
{
	Faults faults;

	faults.message_duplicate = 100;
	for (const FaultlessCase &c : faultless_cases) {
		Fleet f(c.nodes, 7, faults);

		SCOPED_TRACE(c.name);
		f.put_workspace("w", c.rate, c.burst);
		f.run(20 * US_PER_S, [&](int i) {
			while ((c.hot >> i) & 1 && f.admit(i, "w", COST)) {
			}
		});
		EXPECT_TRUE(within_limit(f.admitted["w"], c.rate, c.burst));
	}
}

} // namespace
