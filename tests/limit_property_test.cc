#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "limit_fleet.h"

namespace
{

const uint32_t COST = 1000;
const uint32_t SMALL_COST = 250;

struct Limit {
	const char *name;
	uint32_t rate;
	uint32_t burst;
};

const Limit limits_of[] = {
	{ "large", 200000, 40000 },
	{ "small", 10000, 4000 },
	{ "odd", 33333, 7777 },
	{ "tight", 200000, 8000 },
};

void put_all(Fleet &f)
{
	for (const Limit &l : limits_of)
		f.put_workspace(l.name, l.rate, l.burst);
}

struct Step {
	int kind;
	int node;
	int64_t us;
	unsigned hot; // bit set
};

std::ostream &operator<<(std::ostream &os, const Step &s)
{
	return os << "{kind " << s.kind << ", node " << s.node << ", "
		  << s.us / US_PER_MS << " ms, hot " << s.hot << "}";
}

// Full range at every size of the test case.
template <typename T> rc::Gen<T> between(T least, T most)
{
	return rc::gen::resize(100, rc::gen::inRange<T>(least, most + 1));
}

rc::Gen<std::vector<Step>> any_steps()
{
	return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
		rc::gen::set(&Step::kind, between(0, 9)),
		rc::gen::set(&Step::node, between(0, 5)),
		rc::gen::set(&Step::us, between<int64_t>(20000, 900000)),
		rc::gen::set(&Step::hot, between(0U, 63U))));
}

// Every node that is hot sends far more than the limit, the others nothing.
void flood(Fleet &f, int node, unsigned hot)
{
	if (!((hot >> node) & 1))
		return;
	for (const Limit &l : limits_of) {
		for (int i = 0; i < 50; i++) {
			if (!f.admit(node, l.name, SMALL_COST,
				     f.rng() % 8 == 0))
				break;
		}
	}
}

void do_step(Fleet &f, int kind, int node, int64_t us)
{
	switch (kind) {
	case 0:
		f.pause(node, us * 10);
		break;
	case 1:
		f.crash(node, us);
		break;
	case 2:
		f.faults.platform_down = !f.faults.platform_down;
		break;
	case 3:
		f.cut_platform(node, us * 20);
		break;
	case 4:
		f.cut_peers(node, us * 4);
		break;
	case 5:
		f.drain(node);
		f.crash(node, us);
		break;
	case 6:
		f.pause(node, 2 * US_PER_S + us);
		f.cut_platform(node, 6 * US_PER_S);
		break;
	default:
		f.faults.platform_down = false;
		break;
	}
}

Faults any_faults(uint32_t seed)
{
	std::mt19937 rng(seed);
	Faults f;

	f.message_loss = rng() % 30;
	f.message_double = rng() % 40;
	f.message_late = rng() % 30;
	f.answer_lost = rng() % 30;
	f.change_late = rng() % 20;
	f.record_late = rng() % 40;
	f.clock_drift = 1;
	f.removal_delay_us = rng() % 2 ? 1 : 0;
	f.with_guard = rng() % 2;
	return f;
}

RC_GTEST_PROP(LimitFleet, NoWindowExceedsRateAndBurst, ())
{
	auto steps = *any_steps();
	uint32_t seed = *between(0U, 1000000U);
	const double DRIFT = 1.004;
	int count = 2 + seed % 5;
	Fleet f(count, seed, any_faults(seed));

	put_all(f);
	f.run(8 * US_PER_S, [&](int i) { flood(f, i, seed); });
	for (const Step &s : steps) {
		do_step(f, s.kind, s.node % count, s.us);
		f.run(s.us, [&](int i) { flood(f, i, s.hot); });
	}
	for (const Limit &l : limits_of)
		RC_ASSERT(within_limit(f.admitted[l.name], l.rate * DRIFT,
				       l.burst));
}

RC_GTEST_PROP(LimitFleet, AChangedRateHoldsOnceItHasReachedEveryone, ())
{
	uint32_t seed = *between(0U, 1000000U);
	uint32_t after = *between(1000U, 500000U);
	const double DRIFT = 1.004;
	const int64_t PROPAGATION_US = 3 * US_PER_S + 100 * US_PER_MS;
	const int64_t LOANS_US = US_PER_S + 100 * US_PER_MS;
	Faults faults = any_faults(seed);
	Fleet f(2 + seed % 5, seed, faults);
	uint32_t most = std::max(after, limits_of[0].rate);

	put_all(f);
	f.run(9 * US_PER_S, [&](int i) { flood(f, i, seed); });
	f.put_workspace("large", after, 20000);
	f.run(10 * US_PER_S, [&](int i) { flood(f, i, seed >> 8); });
	RC_ASSERT(within_limit(f.admitted["large"], most * DRIFT, 40000));
	RC_ASSERT(within_limit(f.admitted["large"], after * DRIFT, 20000,
			       f.now_us - 10 * US_PER_S + PROPAGATION_US +
				       LOANS_US));
}

// Tokens are not only withheld: figures of a fleet without faults.
struct Calm {
	const char *name;
	int nodes;
	unsigned hot; // bit set
	uint32_t rate;
	uint32_t burst;
	double least; // part of the rate that is served
};

const Calm calm_cases[] = {
	{ "one hot of 8, large", 8, 1, 200000, 40000, 0.9 },
	{ "one hot of 8, small", 8, 1, 20000, 10000, 0.9 },
	{ "one hot of 2", 2, 2, 50000, 10000, 0.9 },
	{ "two hot of 8", 8, 3, 200000, 40000, 0.9 },
	{ "all hot", 8, 255, 200000, 40000, 0.9 },
	{ "burst below one request an instance", 8, 1, 10000, 4000, 0.9 },
};

TEST(LimitFleet, InCalmHotInstancesGetTheWholeRate)
{
	const int64_t MEASURED_US = 20 * US_PER_S;

	for (const Calm &c : calm_cases) {
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
		EXPECT_GE(served, c.least);
		EXPECT_TRUE(within_limit(f.admitted["w"], c.rate, c.burst));
	}
}

// The platform is lost to all for a minute.
TEST(LimitFleet, InAnOutageOfThePlatformTheWholeRateIsServedOn)
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

TEST(LimitFleet, DoubledMessagesBringNoTokens)
{
	Faults faults;

	faults.message_double = 100;
	for (const Calm &c : calm_cases) {
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
