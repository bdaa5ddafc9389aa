#include <gtest/gtest.h>

#include <cstring>
#include <vector>

extern "C" {
#include "core/loan.h"
}

namespace
{

const int64_t SECOND = US_PER_S;
const int64_t LEASE_END = 100 * SECOND;
const amount LENDABLE = { 1000, 500 };

peer_message make_request(uint64_t id, uint64_t renews = 0, uint32_t rate = 400)
{
	peer_message m = {};

	strcpy(m.peer, "borrower");
	m.incarnation = 3;
	m.type = PEER_LOAN_REQUEST;
	strcpy(m.loan_request.workspace, "w");
	m.loan_request.loan_id = id;
	m.loan_request.renews = renews;
	m.loan_request.rate_milli_per_s = rate;
	m.loan_request.burst_milli = 200;
	m.loan_request.duration_us = SECOND;
	return m;
}

peer_message make_grant(uint64_t id, uint32_t rate = 400)
{
	peer_message m = {};

	strcpy(m.peer, "lender");
	m.type = PEER_LOAN_GRANT;
	strcpy(m.loan_grant.workspace, "w");
	m.loan_grant.loan_id = id;
	m.loan_grant.rate_milli_per_s = rate;
	m.loan_grant.burst_milli = 200;
	m.loan_grant.tokens_milli = 50;
	m.loan_grant.duration_us = SECOND;
	return m;
}

// A request that the lender receives, and its expected decision.
struct ReceivedRequest {
	uint64_t id;
	uint64_t renews;
	int64_t at_us;
	loan_answer answer;
	uint32_t lent; // sum of the rates lent afterwards
};

struct LenderCase {
	const char *name;
	std::vector<ReceivedRequest> requests;
};

const LenderCase lender_cases[] = {
	{ "a duplicate request gets the same grant",
	  { { 1, 0, 0, LOAN_GRANTED, 400 },
	    { 1, 0, 10, LOAN_REPEATED, 400 } } },
	{ "a renewal replaces its loan",
	  { { 1, 0, 0, LOAN_GRANTED, 400 },
	    { 2, 1, 500000, LOAN_GRANTED, 400 } } },
	{ "an outdated request for a renewed loan is refused",
	  { { 1, 0, 0, LOAN_GRANTED, 400 },
	    { 2, 1, 500000, LOAN_GRANTED, 400 },
	    { 1, 0, 500001, LOAN_REFUSED, 400 } } },
	{ "a renewal of an unknown loan is refused",
	  { { 2, 1, 0, LOAN_REFUSED, 0 } } },
	{ "the loan is in force until 1% after its duration",
	  { { 1, 0, 0, LOAN_GRANTED, 400 },
	    { 2, 1, 1009999, LOAN_GRANTED, 400 } } },
	{ "a renewal after that is refused",
	  { { 1, 0, 0, LOAN_GRANTED, 400 },
	    { 2, 1, 1010000, LOAN_REFUSED, 0 } } },
	{ "no loan is granted just before the lease ends",
	  { { 1, 0, LEASE_END - 40000, LOAN_REFUSED, 0 } } },
};

TEST(Loan, LenderDecidesOnRequests)
{
	for (const LenderCase &c : lender_cases) {
		loan_book *b = loan_book_new();

		SCOPED_TRACE(c.name);
		for (const ReceivedRequest &a : c.requests) {
			peer_message m = make_request(a.id, a.renews);
			loan *l = nullptr;

			loan_expire(b, a.at_us);
			EXPECT_EQ(a.answer,
				  loan_handle_request(b, &m, &LENDABLE,
						      LEASE_END, a.at_us, &l));
			EXPECT_EQ(a.lent,
				  loan_sum_lent(b, a.at_us).rate_milli_per_s);
		}
		loan_book_free(b);
	}
}

TEST(Loan, NoLoanOutlastsTheLendersLease)
{
	loan_book *b = loan_book_new();
	peer_message m = make_request(1);
	loan *l = nullptr;
	int64_t now = LEASE_END - 500000;

	ASSERT_EQ(LOAN_GRANTED,
		  loan_handle_request(b, &m, &LENDABLE, LEASE_END, now, &l));
	EXPECT_LT(l->duration_us, 500000);
	EXPECT_GT(l->duration_us, 450000);
	EXPECT_LE(l->expires_us, LEASE_END);
	loan_book_free(b);
}

TEST(Loan, RenewalNeverShrinksAndGrowsByLendableRateOnly)
{
	loan_book *b = loan_book_new();
	peer_message first = make_request(1);
	peer_message less = make_request(2, 1, 100);
	peer_message more = make_request(3, 1, 9000);
	loan *l = nullptr;

	loan_handle_request(b, &first, &LENDABLE, LEASE_END, 0, &l);
	loan_handle_request(b, &less, &LENDABLE, LEASE_END, 10, &l);
	EXPECT_EQ(400U, l->amount.rate_milli_per_s);
	loan_handle_request(b, &more, &LENDABLE, LEASE_END, 20, &l);
	EXPECT_EQ(1400U, l->amount.rate_milli_per_s);
	EXPECT_EQ(LOAN_REFUSED,
		  loan_handle_request(b, &first, nullptr, LEASE_END, 30, &l));
	loan_book_free(b);
}

struct ReceivedGrant {
	uint64_t id;
	int64_t at_us;
	bool accepted;
};

struct BorrowerCase {
	const char *name;
	std::vector<ReceivedGrant> grants;
	uint32_t borrowed; // sum of the rates after the last grant
};

// Requests 1 (sent at 0) and 2 (renews 1, sent at 0.5 s) are outstanding.
const BorrowerCase borrower_cases[] = {
	{ "once", { { 1, 1000, true } }, 400 },
	{ "duplicate grant", { { 1, 1000, true }, { 1, 2000, false } }, 400 },
	{ "grant of an unknown request", { { 7, 1000, false } }, 0 },
	{ "grant of a renewal",
	  { { 1, 1000, true }, { 2, 500100, true } },
	  400 },
	{ "grants received out of order",
	  { { 2, 500100, true }, { 1, 500200, false } },
	  400 },
	{ "just before the loan expires", { { 1, 989999, true } }, 400 },
	{ "loan has expired", { { 1, 990000, false } }, 0 },
};

TEST(Loan, BorrowerAcceptsAGrantOnce)
{
	for (const BorrowerCase &c : borrower_cases) {
		loan_book *b = loan_book_new();
		peer_message first = make_request(1);
		peer_message second = make_request(2, 1);
		int64_t last = 0;

		SCOPED_TRACE(c.name);
		loan_add_request(b, "lender", &first.loan_request, 0);
		loan_add_request(b, "lender", &second.loan_request, 500000);
		for (const ReceivedGrant &r : c.grants) {
			peer_message m = make_grant(r.id);
			uint32_t tokens = 0;

			last = r.at_us;
			EXPECT_EQ(r.accepted,
				  loan_accept_grant(b, &m, r.at_us, &tokens));
			EXPECT_EQ(r.accepted ? 50U : 0U, tokens);
		}
		EXPECT_EQ(c.borrowed,
			  loan_sum_borrowed(b, last).rate_milli_per_s);
		loan_book_free(b);
	}
}

TEST(Loan, GrantFromAnotherPeerIsIgnored)
{
	loan_book *b = loan_book_new();
	peer_message request = make_request(1);
	peer_message m = make_grant(1);
	uint32_t tokens = 0;

	loan_add_request(b, "lender", &request.loan_request, 0);
	strcpy(m.peer, "other");
	EXPECT_FALSE(loan_accept_grant(b, &m, 10, &tokens));
	loan_book_free(b);
}

} // namespace
