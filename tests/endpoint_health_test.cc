#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "health/endpoint_health.h"
#include "health/hedge.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;
constexpr int64_t JUDGE_US = 250 * MS;

/* Endpoints of one service that are judged four times a second. */
class Endpoints
{
      public:
	explicit Endpoints(uint32_t count)
	{
		for (uint32_t i = 0; i < count; i++)
			all.push_back(endpoint_health_new());
	}
	~Endpoints()
	{
		for (struct endpoint_health *h : all)
			endpoint_health_free(h);
	}
	Endpoints(const Endpoints &) = delete;
	Endpoints &operator=(const Endpoints &) = delete;

	void record(uint32_t i, enum health_result r, int64_t took_us, int n)
	{
		while (n-- > 0)
			endpoint_health_record(all[i], HEALTH_READ, r, took_us,
					       now_us);
	}
	void judge()
	{
		now_us += JUDGE_US;
		endpoint_health_judge(all.data(), (uint32_t)all.size(), now_us);
	}
	enum health_step step(uint32_t i) const
	{
		return endpoint_health_step(all[i]);
	}
	uint32_t weight(uint32_t i) const
	{
		return endpoint_health_weight_milli(all[i]);
	}

	std::vector<struct endpoint_health *> all;
	int64_t now_us = 1000 * S;
};

struct Results {
	int ok;
	int64_t took_us;
	int failed;
	int refused;
};

struct JudgeCase {
	const char *name;
	std::vector<Results> results; /* of each endpoint */
	std::vector<enum health_step> steps;
	uint32_t weight; /* of the first endpoint */
};

constexpr enum health_step FULL = HEALTH_STEP_FULL;
constexpr enum health_step REDUCED = HEALTH_STEP_REDUCED;
constexpr enum health_step TRIALS = HEALTH_STEP_TRIALS;

const JudgeCase judge_cases[] = {
	{ "too little work",
	  { { 2, 8 * MS, 3, 0 }, { 50, 8 * MS, 0, 0 }, { 50, 8 * MS, 0, 0 } },
	  { FULL, FULL, FULL },
	  1000 },
	{ "a few failures",
	  { { 98, 8 * MS, 2, 0 }, { 50, 8 * MS, 0, 0 }, { 50, 8 * MS, 0, 0 } },
	  { FULL, FULL, FULL },
	  1000 },
	{ "fails a tenth",
	  { { 90, 8 * MS, 10, 0 }, { 50, 8 * MS, 0, 0 }, { 50, 8 * MS, 0, 0 } },
	  { REDUCED, FULL, FULL },
	  700 },
	{ "fails a third",
	  { { 20, 8 * MS, 10, 0 }, { 50, 8 * MS, 0, 0 }, { 50, 8 * MS, 0, 0 } },
	  { TRIALS, FULL, FULL },
	  125 },
	{ "refuses a third",
	  { { 20, 8 * MS, 0, 10 }, { 50, 8 * MS, 0, 0 }, { 50, 8 * MS, 0, 0 } },
	  { REDUCED, FULL, FULL },
	  500 },
	{ "all fail alike",
	  { { 20, 8 * MS, 9, 0 }, { 20, 8 * MS, 9, 0 }, { 20, 8 * MS, 9, 0 } },
	  { FULL, FULL, FULL },
	  1000 },
	{ "four times slower",
	  { { 20, 32 * MS, 0, 0 }, { 50, 8 * MS, 0, 0 }, { 50, 8 * MS, 0, 0 } },
	  { REDUCED, FULL, FULL },
	  250 },
	{ "slower by the way to another zone",
	  { { 20, 8 * MS, 0, 0 }, { 50, 2 * MS, 0, 0 }, { 50, 2 * MS, 0, 0 } },
	  { FULL, FULL, FULL },
	  1000 },
	{ "all slow",
	  { { 20, 64 * MS, 0, 0 },
	    { 50, 60 * MS, 0, 0 },
	    { 50, 70 * MS, 0, 0 } },
	  { FULL, FULL, FULL },
	  1000 },
	{ "two of three are bad: the worse one",
	  { { 90, 8 * MS, 10, 0 }, { 10, 8 * MS, 40, 0 }, { 90, 8 * MS, 0, 0 } },
	  { FULL, TRIALS, FULL },
	  1000 },
	{ "nobody to compare a slow one with",
	  { { 50, 500 * MS, 0, 0 }, { 0, 0, 0, 0 }, { 0, 0, 0, 0 } },
	  { FULL, FULL, FULL },
	  1000 },
	{ "the only endpoint", { { 0, 0, 50, 0 } }, { FULL }, 1000 },
};

TEST(EndpointHealth, ComparesEndpointsOfTheService)
{
	for (const JudgeCase &k : judge_cases) {
		Endpoints e((uint32_t)k.results.size());

		SCOPED_TRACE(k.name);
		for (int half = 0; half < 2; half++) {
			for (uint32_t i = 0; i < k.results.size(); i++) {
				const Results &r = k.results[i];

				e.record(i, HEALTH_OK, r.took_us,
					 (r.ok + half) / 2);
				e.record(i, HEALTH_NO_ANSWER, 0,
					 (r.failed + half) / 2);
				e.record(i, HEALTH_REFUSED, 0,
					 (r.refused + half) / 2);
			}
			e.now_us += 500 * MS;
		}
		e.judge();
		for (uint32_t i = 0; i < k.steps.size(); i++)
			EXPECT_EQ(k.steps[i], e.step(i)) << i;
		EXPECT_EQ(k.weight, e.weight(0));
	}
}

/* All become slow at once, but one of them had no work before. */
TEST(EndpointHealth, ChangeOfAllCondemnsNone)
{
	Endpoints e(3);

	e.record(0, HEALTH_OK, 8 * MS, 200);
	for (int i = 0; i < 12; i++) {
		e.record(0, HEALTH_OK, 120 * MS, 2);
		e.record(1, HEALTH_OK, 120 * MS, 10);
		e.judge();
		EXPECT_EQ(FULL, e.step(0));
		EXPECT_EQ(FULL, e.step(1));
	}
}

/* Puts the first of three endpoints on trial. */
void condemn(Endpoints &e)
{
	e.record(0, HEALTH_ERROR, 0, 20);
	e.record(1, HEALTH_OK, 8 * MS, 50);
	e.record(2, HEALTH_OK, 8 * MS, 50);
	e.judge();
	ASSERT_EQ(TRIALS, e.step(0));
}

TEST(EndpointHealth, ReturnsByStepsAfterGoodTrials)
{
	Endpoints e(3);
	std::vector<uint32_t> weights;

	condemn(e);
	for (int i = 0; i < 20; i++) {
		e.record(0, HEALTH_OK, 8 * MS, 1);
		e.record(1, HEALTH_OK, 8 * MS, 10);
		e.record(2, HEALTH_OK, 8 * MS, 10);
		e.judge();
		if (weights.empty() || weights.back() != e.weight(0))
			weights.push_back(e.weight(0));
		if (i == 5) {
			EXPECT_EQ(TRIALS, e.step(0)) << "too early";
		}
	}
	EXPECT_EQ((std::vector<uint32_t>{ 125, 250, 500, 1000 }), weights);
	EXPECT_EQ(FULL, e.step(0));
}

/*
 * An endpoint that is down and up again every 1.5 s passes every trial that
 * meets the time in which it is up; each return is followed by failures.
 */
TEST(EndpointHealth, FlappingInStepWithTrialsIsHeldLonger)
{
	Endpoints e(3);
	int falls = 0;

	for (int i = 0; i < 240; i++) {
		bool down = i % 6 < 3;
		enum health_step before = e.step(0);

		/* Trials come only while it is up, other work always. */
		if (before != TRIALS)
			e.record(0, down ? HEALTH_NO_ANSWER : HEALTH_OK, 8 * MS,
				 10);
		else if (!down)
			e.record(0, HEALTH_OK, 8 * MS, 1);
		e.record(1, HEALTH_OK, 8 * MS, 10);
		e.record(2, HEALTH_OK, 8 * MS, 10);
		e.judge();
		falls += e.step(0) == TRIALS && before != TRIALS;
	}
	/* A constant hold of 2 s would let it fall some 20 times in 60 s. */
	EXPECT_LE(falls, 6);
	EXPECT_GE(falls, 2);
}

TEST(EndpointHealth, FailedTrialsKeepItOnTrial)
{
	Endpoints e(3);

	condemn(e);
	for (int i = 0; i < 80; i++) {
		e.record(0, i % 6 ? HEALTH_OK : HEALTH_ERROR, 8 * MS, 1);
		e.judge();
		EXPECT_EQ(TRIALS, e.step(0)) << i;
	}
}

TEST(EndpointHealth, TrialsAreFew)
{
	Endpoints e(3);
	struct endpoint_health *h = e.all[0];

	EXPECT_TRUE(endpoint_health_may_read(h, 100));
	condemn(e);
	EXPECT_FALSE(endpoint_health_may_read(h, 1));
	EXPECT_FALSE(endpoint_health_trial_is_due(h, 0, e.now_us));
	for (int i = 0; i < 20; i++)
		endpoint_health_count_read(h);
	EXPECT_TRUE(endpoint_health_trial_is_due(h, 0, e.now_us));
	EXPECT_FALSE(endpoint_health_trial_is_due(h, 1, e.now_us));
	endpoint_health_begin_trial(h, e.now_us);
	for (int i = 0; i < 20; i++)
		endpoint_health_count_read(h);
	EXPECT_FALSE(endpoint_health_trial_is_due(h, 0, e.now_us));
	EXPECT_TRUE(endpoint_health_trial_is_due(h, 0, e.now_us + 250 * MS));
}

TEST(EndpointHealth, NeverPutsMoreThanHalfBelowFull)
{
	for (uint32_t count = 1; count <= 7; count++) {
		Endpoints e(count);
		uint32_t below = 0;

		for (int n = 0; n < 8; n++) {
			for (uint32_t i = 0; i < count; i++) {
				/* All, half, a quarter ...; the last none. */
				int failed = i + 1 < count ? 100 >> i : 0;

				e.record(i, HEALTH_ERROR, 0, failed);
				e.record(i, HEALTH_OK, 8 * MS, 100 - failed);
			}
			e.judge();
		}
		for (uint32_t i = 0; i < count; i++)
			below += e.step(i) != FULL;
		EXPECT_EQ(count / 2, below) << count;
	}
}

TEST(Hedge, BudgetIsAPartOfTheReads)
{
	struct hedge_budget b = {};
	int taken = 0;

	EXPECT_FALSE(hedge_take(&b));
	for (int i = 0; i < 1000; i++) {
		hedge_earn(&b);
		taken += hedge_take(&b);
	}
	EXPECT_EQ(50, taken);
	for (int i = 0; i < 100000; i++)
		hedge_earn(&b);
	for (taken = 0; taken < 1000 && hedge_take(&b);)
		taken++;
	EXPECT_EQ(20, taken);
}

TEST(Hedge, DelayFollowsWhatNearlyAllWorkTakes)
{
	struct hedge_times t = {};
	int64_t high_us;

	EXPECT_EQ(100 * MS, hedge_times_high_us(&t));
	for (int i = 0; i < 500; i++)
		hedge_times_add(&t, i % 100 ? 8 * MS : 900 * MS);
	high_us = hedge_times_high_us(&t);
	EXPECT_GE(high_us, 8 * MS);
	EXPECT_LE(high_us, 10 * MS);
	for (int i = 0; i < 500; i++)
		hedge_times_add(&t, 64 * MS);
	high_us = hedge_times_high_us(&t);
	EXPECT_GE(high_us, 64 * MS);
	EXPECT_LE(high_us, 80 * MS);
	hedge_times_add(&t, INT64_MAX);
	hedge_times_add(&t, 0);
}

TEST(Hedge, DelayLeavesTimeForTheSecondAttempt)
{
	EXPECT_EQ(20 * MS, hedge_delay_us(8 * MS, -5 * MS));
	EXPECT_EQ(100 * MS, hedge_delay_us(8 * MS, 400 * MS));
	EXPECT_EQ(150 * MS, hedge_delay_us(150 * MS, 400 * MS));
}

} // namespace
