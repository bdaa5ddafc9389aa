#include "model.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace
{

constexpr int64_t MS = US_PER_MS;
constexpr int64_t S = US_PER_S;
constexpr int RUNS = 20;
/* Required limits for the time without a confirmed write in a failover. */
constexpr int64_t GAP_MAX_US = 6 * S;
constexpr int64_t GAP_MEDIAN_US = 1 * S;

struct GapCase {
	const char *name;
	void (*fault)(Model &m, int primary);
};

const GapCase gap_cases[] = {
	{ "frozen", [](Model &m, int p) { m.freeze_endpoint(p); } },
	{ "refuses", [](Model &m, int p) { m.refuse_connections(p); } },
	{ "zone cut off", [](Model &m, int p) { m.cut_zone(p); } },
};

/* Returns the longest time without a confirmed write at instance 1 or 2. */
int64_t measure_write_gap(const GapCase &c, uint64_t seed)
{
	ModelOpts opts;
	int64_t last;
	int64_t gap = 0;

	opts.seed = seed;
	Model m(opts);
	m.run(8 * S + (int64_t)(seed * 17 % 100) * MS);
	last = m.now();
	for (int i = 0; i < 800; i++) {
		if (i == 50)
			c.fault(m, m.primary());
		m.write(1 + i % 2, i % 5, true, 7 * S);
		m.run(10 * MS);
	}
	std::vector<int64_t> times;
	for (const Call &k : m.oracle.calls) {
		if (k.answered && k.reply.verdict == VERDICT_RAN &&
		    !k.reply.error)
			times.push_back(k.answered_us);
	}
	std::sort(times.begin(), times.end());
	times.push_back(m.now());
	for (int64_t t : times) {
		gap = std::max(gap, t - last);
		last = std::max(last, t);
	}
	return gap;
}

TEST(CoreGap, WritesResumeAfterFailover)
{
	for (const GapCase &c : gap_cases) {
		std::vector<int64_t> gaps;

		SCOPED_TRACE(c.name);
		for (uint64_t seed = 1; seed <= RUNS; seed++)
			gaps.push_back(measure_write_gap(c, seed));
		std::sort(gaps.begin(), gaps.end());
		EXPECT_LE(gaps.back(), GAP_MAX_US);
		EXPECT_LE(gaps[RUNS / 2], GAP_MEDIAN_US);
		printf("write gap, %s: median %ld ms, longest %ld ms\n", c.name,
		       (long)(gaps[RUNS / 2] / MS), (long)(gaps.back() / MS));
	}
}

} // namespace
