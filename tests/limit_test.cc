#include <gtest/gtest.h>

#include <cstring>

extern "C" {
#include "core/limit_row.h"
}
#include "limit_fleet.h"

namespace
{

const uint32_t REQUEST_COST = 1000;

void no_traffic(int)
{
}

// A fleet of one node, which holds the whole limit.
class Limit : public testing::Test
{
      protected:
	void SetUp() override
	{
		fleet.put_workspace("w", 10000, 5000);
		fleet.run(5 * US_PER_S, no_traffic);
	}

	uint32_t admit_all()
	{
		uint32_t n = 0;

		while (fleet.admit(0, "w", REQUEST_COST))
			n++;
		return n;
	}

	Fleet fleet{ 1, 1, Faults() };
};

TEST_F(Limit, AdmitsTheBurstThenTheRate)
{
	EXPECT_EQ(5U, admit_all());
	fleet.run(200 * US_PER_MS, no_traffic);
	EXPECT_EQ(2U, admit_all());
}

TEST_F(Limit, RetryAfterIsTheEarliestAdmission)
{
	int64_t retry = 0;

	admit_all();
	EXPECT_FALSE(fleet.admit(0, "w", REQUEST_COST, false, &retry));
	EXPECT_EQ(100 * US_PER_MS, retry);
	fleet.run(retry - 5 * US_PER_MS, no_traffic);
	EXPECT_FALSE(fleet.admit(0, "w", REQUEST_COST));
	fleet.run(5 * US_PER_MS, no_traffic);
	EXPECT_TRUE(fleet.admit(0, "w", REQUEST_COST));
}

TEST_F(Limit, AdmitsNothingAfterTheLeaseEnded)
{
	fleet.faults.platform_down = true;
	fleet.run(4 * US_PER_S, no_traffic);
	EXPECT_EQ(0U, admit_all());
	fleet.faults.platform_down = false;
	fleet.run(2 * US_PER_S, no_traffic);
	EXPECT_EQ(5U, admit_all());
}

TEST_F(Limit, AdmitsNothingAfterAPauseBeyondTheLease)
{
	uint32_t admitted_first = 99;

	fleet.pause(0, 6 * US_PER_S);
	fleet.run(6 * US_PER_S + 50 * US_PER_MS, [&](int) {
		if (admitted_first == 99)
			admitted_first = admit_all();
	});
	EXPECT_EQ(0U, admitted_first);
}

TEST_F(Limit, DrainReleasesTheShare)
{
	fleet.drain(0);
	EXPECT_FALSE(fleet.is_drained(0));
	fleet.run(US_PER_S, no_traffic);
	EXPECT_TRUE(fleet.is_drained(0));
	EXPECT_EQ(0U, admit_all());
}

// A lender that is cut off from the platform must not leave a loan in force
// beyond its lease, because others may take over its share then.
TEST(LimitLoan, NoLoanIsInForceAfterTheLendersLeaseEnded)
{
	Fleet fleet(2, 1, Faults());
	auto flood = [&](int i) {
		while (!i && fleet.admit(i, "w", REQUEST_COST)) {
		}
	};
	bool lent = false;

	fleet.put_workspace("w", 100000, 20000);
	fleet.run(5 * US_PER_S, flood);
	fleet.cut_platform(1, 20 * US_PER_S);
	while (fleet.admit_error(1, "w", 1) != ERR_PLATFORM) {
		fleet.run(5 * US_PER_MS, flood);
		lent = lent || fleet.status(1, "w").lent_milli_per_s;
	}
	EXPECT_TRUE(lent);
	EXPECT_EQ(0U, fleet.status(1, "w").lent_milli_per_s);
}

struct AdmitCase {
	const char *name;
	const char *workspace;
	uint32_t cost;
	int64_t platform_down_us; // the platform is down so long before
	int32_t error;
};

const AdmitCase admit_cases[] = {
	{ "admitted", "w", REQUEST_COST, 0, ERR_NONE },
	{ "unknown workspace", "x", REQUEST_COST, 0, ERR_NO_CONFIG },
	{ "more than the burst", "w", 6000, 0, ERR_RATE_LIMITED },
	{ "lease expired", "w", REQUEST_COST, 4 * US_PER_S, ERR_PLATFORM },
};

TEST(LimitAdmit, ReturnsTheErrorOfEachSituation)
{
	for (const AdmitCase &c : admit_cases) {
		Fleet fleet(1, 1, Faults());
		int32_t error = ERR_NONE;

		SCOPED_TRACE(c.name);
		fleet.put_workspace("w", 10000, 5000);
		fleet.run(5 * US_PER_S, no_traffic);
		fleet.faults.platform_down = c.platform_down_us > 0;
		fleet.run(c.platform_down_us, no_traffic);
		error = fleet.admit_error(0, c.workspace, c.cost);
		EXPECT_EQ(c.error, error);
	}
}

void add_borrowed_loan(limit_row *w, uint64_t id, uint32_t rate,
		       int64_t duration_us)
{
	peer_message request = {};
	peer_message grant = {};
	uint32_t tokens = 0;

	request.loan_request.loan_id = grant.loan_grant.loan_id = id;
	request.loan_request.duration_us = grant.loan_grant.duration_us =
		duration_us;
	grant.loan_grant.rate_milli_per_s = rate;
	grant.loan_grant.burst_milli = 2500;
	strcpy(grant.peer, "b");
	loan_add_request(w->loans, "b", &request.loan_request, 0);
	EXPECT_TRUE(loan_accept_grant(w->loans, &grant, 0, &tokens));
}

// A loan expires during a pause. Guards against crediting tokens at the rate
// with the loan for the time after its expiry. The second loan has no rate and only keeps the capacity.
TEST(LimitRow, ExpiredLoanAddsNoTokensAfterAPause)
{
	member_opts mo = {};
	share_opts so = {};

	mo.instance = so.instance = "a";
	member_table *members = member_table_new(&mo);
	so.members = members;
	share *s = share_new(&so);
	limit_row *w = limit_row_new("w", 0, 0);

	add_borrowed_loan(w, 1, 1000, US_PER_S);
	add_borrowed_loan(w, 2, 0, 9 * US_PER_S);
	limit_row_refresh(w, s, 0);
	EXPECT_EQ(5000U, w->bucket.capacity_milli);
	limit_row_refresh(w, s, 5 * US_PER_S);
	EXPECT_EQ(990U, w->bucket.level_milli);
	EXPECT_EQ(2500U, w->bucket.capacity_milli);
	limit_row_refresh(w, s, 20 * US_PER_S);
	EXPECT_EQ(0U, w->bucket.capacity_milli);
	EXPECT_EQ(0U, w->bucket.level_milli);
	limit_row_free(w);
	share_free(s);
	member_table_free(members);
}

} // namespace
