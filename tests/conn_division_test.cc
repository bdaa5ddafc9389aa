#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <vector>

extern "C" {
#include "placement/conn_division.h"
}

namespace
{

using Parts = std::vector<uint32_t>;

/* `near` has one digit for each member; 1: it is in the endpoint's zone. */
Parts divide(const char *near, uint32_t total)
{
	std::vector<struct division_member> m;
	Parts parts;

	for (const char *p = near; *p; p++)
		m.push_back({ *p == '1' });
	for (uint32_t i = 0; i < m.size(); i++)
		parts.push_back(
			conn_division_part(m.data(), m.size(), i, total));
	return parts;
}

struct DivisionCase {
	const char *near;
	uint32_t total;
	Parts parts;
};

const DivisionCase division_cases[] = {
	{ "1", 99, { 99 } },
	{ "010", 99, { 17, 65, 17 } },
	{ "10", 99, { 78, 20 } },
	{ "000", 99, { 33, 33, 33 } },
	{ "010", 12, { 2, 7, 2 } },
	{ "010", 5, { 1, 2, 1 } },
	{ "010", 3, { 1, 1, 1 } },
	{ "010", 1, { 1, 1, 1 } }, /* as before: each at least one */
	{ "100", 0, { 1, 1, 1 } },
	{ "10", UINT32_MAX, { 3435973835, 858993459 } },
};

TEST(ConnDivision, MostGoToTheHomeInTheZone)
{
	for (const DivisionCase &t : division_cases)
		EXPECT_EQ(divide(t.near, t.total), t.parts)
			<< t.near << " of " << t.total;
}

TEST(ConnDivision, PartsAreAtMostTheTotal)
{
	for (const char *near :
	     { "1", "10", "00", "100", "000", "0100", "0000", "00000001" }) {
		for (uint32_t total = 0; total < 300; total++) {
			Parts parts = divide(near, total);
			uint32_t sum =
				std::accumulate(parts.begin(), parts.end(), 0u);

			EXPECT_GE(*std::min_element(parts.begin(), parts.end()),
				  1u);
			EXPECT_LE(sum, std::max<uint32_t>(total, parts.size()))
				<< near << " of " << total;
		}
	}
}

/*
 * Two instances think that they are the home of the endpoint's zone, and each
 * counts only the homes of the other zones beside itself. All connections stay
 * below the endpoint's number, as 45 % of it are kept free.
 */
TEST(ConnDivision, TwoHomesOfOneZoneStayBelowTheNumber)
{
	for (const char *near : { "10", "100", "1000" }) {
		for (uint32_t all = 20; all <= 1000; all++) {
			uint32_t usable = all - all * 45 / 100;
			Parts parts = divide(near, usable);
			uint32_t sum = std::accumulate(parts.begin(),
						       parts.end(), parts[0]);

			EXPECT_LE(sum, all) << near << " of " << all;
		}
	}
}

} // namespace
