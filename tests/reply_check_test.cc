#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "replies/reply_check.h"
}

namespace
{

struct Message {
	enum reply_due due; /* when it comes */
	enum reply_part part;
	const char *signature; /* NULL: none */
};

struct SequenceCase {
	const char *name;
	std::vector<Message> messages;
	std::vector<enum reply_fate> fates;
};

constexpr Message row(enum reply_due due)
{
	return { due, REPLY_PART_ROW, nullptr };
}

constexpr Message result(enum reply_due due, const char *signature = nullptr)
{
	return { due, REPLY_PART_RESULT, signature };
}

constexpr Message error(enum reply_due due)
{
	return { due, REPLY_PART_ERROR, nullptr };
}

constexpr Message ready(enum reply_due due)
{
	return { due, REPLY_PART_READY, nullptr };
}

constexpr auto NONE = REPLY_DUE_NONE;
constexpr auto START = REPLY_DUE_START;
constexpr auto PLAIN = REPLY_DUE_PLAIN;
constexpr auto REPORT = REPLY_DUE_REPORT;
constexpr auto STATEMENT = REPLY_DUE_STATEMENT;
constexpr auto FITS = REPLY_FITS;
constexpr auto COPY = REPLY_IS_COPY;
constexpr auto STRAY = REPLY_IS_STRAY;
constexpr auto MISFIT = REPLY_MISFITS;

const SequenceCase sequence_cases[] = {
	{ "start", { ready(START) }, { FITS } },
	{ "denied start", { error(START), ready(START) }, { FITS, FITS } },
	{ "row at a start", { row(START) }, { MISFIT } },
	{ "result at a start", { result(START) }, { MISFIT } },
	{ "read",
	  { row(STATEMENT), row(STATEMENT), result(STATEMENT, "1"),
	    ready(STATEMENT) },
	  { FITS, FITS, FITS, FITS } },
	{ "write",
	  { result(STATEMENT, "1"), ready(STATEMENT) },
	  { FITS, FITS } },
	{ "refusal", { error(STATEMENT), ready(STATEMENT) }, { FITS, FITS } },
	{ "error after rows",
	  { row(STATEMENT), error(STATEMENT), ready(STATEMENT) },
	  { FITS, FITS, FITS } },
	{ "BEGIN", { result(PLAIN), ready(PLAIN) }, { FITS, FITS } },
	{ "report",
	  { row(REPORT), result(REPORT), ready(REPORT) },
	  { FITS, FITS, FITS } },
	{ "READY alone for a statement", { ready(STATEMENT) }, { STRAY } },
	{ "READY alone for BEGIN", { ready(PLAIN) }, { STRAY } },
	{ "rows without a result",
	  { row(STATEMENT), ready(STATEMENT) },
	  { FITS, MISFIT } },
	{ "unsigned result for a statement",
	  { result(STATEMENT), ready(STATEMENT), result(STATEMENT, "1") },
	  { STRAY, STRAY, FITS } },
	{ "signed BEGIN", { result(PLAIN, "1") }, { MISFIT } },
	{ "signed report",
	  { row(REPORT), result(REPORT, "1") },
	  { FITS, MISFIT } },
	{ "report for BEGIN",
	  { row(PLAIN), result(PLAIN), ready(PLAIN), result(PLAIN) },
	  { FITS, STRAY, STRAY, FITS } },
	{ "report without a row",
	  { result(REPORT), ready(REPORT), row(REPORT) },
	  { STRAY, STRAY, FITS } },
	{ "two results",
	  { result(STATEMENT, "1"), result(STATEMENT, "2") },
	  { FITS, MISFIT } },
	{ "row after the result",
	  { result(STATEMENT, "1"), row(STATEMENT) },
	  { FITS, MISFIT } },
	{ "error after the result",
	  { result(STATEMENT, "1"), error(STATEMENT) },
	  { FITS, MISFIT } },
	{ "result after the error",
	  { error(STATEMENT), result(STATEMENT, "1") },
	  { FITS, MISFIT } },
	{ "copy when nothing is due",
	  { row(STATEMENT), result(STATEMENT, "1"), ready(STATEMENT), row(NONE),
	    result(NONE, "1"), ready(NONE) },
	  { FITS, FITS, FITS, FITS, COPY, COPY } },
	{ "copy before a statement's answer",
	  { row(STATEMENT), result(STATEMENT, "1"), ready(STATEMENT),
	    row(STATEMENT), result(STATEMENT, "1"), ready(STATEMENT),
	    row(STATEMENT), result(STATEMENT, "2"), ready(STATEMENT) },
	  { FITS, FITS, FITS, FITS, COPY, COPY, FITS, FITS, FITS } },
	{ "copy before BEGIN's answer",
	  { result(STATEMENT, "1"), ready(STATEMENT), result(PLAIN, "1"),
	    ready(PLAIN), result(PLAIN), ready(PLAIN) },
	  { FITS, FITS, COPY, COPY, FITS, FITS } },
	{ "statement sent within a copy",
	  { row(STATEMENT), result(STATEMENT, "1"), ready(STATEMENT), row(NONE),
	    result(STATEMENT, "1"), ready(STATEMENT), result(STATEMENT, "2"),
	    ready(STATEMENT) },
	  { FITS, FITS, FITS, FITS, COPY, COPY, FITS, FITS } },
	{ "row of nobody before an answer",
	  { row(NONE), row(STATEMENT), result(STATEMENT, "1") },
	  { FITS, FITS, MISFIT } },
	{ "unknown answer when nothing is due",
	  { result(NONE, "1") },
	  { MISFIT } },
	{ "unsigned answer when nothing is due",
	  { result(NONE), ready(NONE), result(PLAIN) },
	  { STRAY, STRAY, FITS } },
	{ "error when nothing is due", { error(NONE) }, { MISFIT } },
	{ "READY alone when nothing is due", { ready(NONE) }, { STRAY } },
	{ "row of nobody before an error",
	  { row(NONE), error(STATEMENT) },
	  { FITS, MISFIT } },
};

TEST(ReplyCheck, AcceptsOnlyTheAnswerThatIsDue)
{
	for (const SequenceCase &k : sequence_cases) {
		struct reply_check *check = reply_check_new();
		std::vector<enum reply_fate> fates;

		SCOPED_TRACE(k.name);
		for (const Message &m : k.messages)
			fates.push_back(reply_check_part(check, m.due, m.part,
							 m.signature,
							 m.signature ? 1 : 0,
							 0));
		EXPECT_EQ(k.fates, fates);
		reply_check_free(check);
	}
}

enum reply_fate answer(struct reply_check *k, enum reply_due due, uint32_t id,
		       int64_t now_us)
{
	std::string signature = "s" + std::to_string(id);
	enum reply_fate fate;

	if (id % 2)
		reply_check_part(k, due, REPLY_PART_ROW, nullptr, 0, now_us);
	fate = reply_check_part(k, due, REPLY_PART_RESULT, signature.data(),
				signature.size(), now_us);
	EXPECT_EQ(fate, reply_check_part(k, due, REPLY_PART_READY, nullptr, 0,
					 now_us));
	return fate;
}

RC_GTEST_PROP(ReplyCheck, CopiesNeverReplaceAnAnswer, ())
{
	struct reply_check *k = reply_check_new();
	std::vector<int64_t> answered_us;
	int64_t now_us = 1;

	for (int i = 0; i < 1000; i++) {
		bool idle = *rc::gen::inRange(0, 2);
		size_t copied = *rc::gen::inRange<size_t>(0, i + 1);

		now_us += *rc::gen::inRange(0, 200000);
		if (copied < answered_us.size() &&
		    now_us - answered_us[copied] <= REPLY_COPY_MAX_US)
			RC_ASSERT(answer(k, idle ? NONE : STATEMENT,
					 (uint32_t)copied, now_us) == COPY);
		RC_ASSERT(answer(k, STATEMENT, (uint32_t)i, now_us) == FITS);
		answered_us.push_back(now_us);
		RC_ASSERT(!reply_check_is_full(k));
	}
	reply_check_free(k);
}

TEST(ReplyCheck, IsFullBeforeItForgetsInTime)
{
	struct reply_check *k = reply_check_new();
	uint32_t n = 0;

	while (!reply_check_is_full(k) && n < 1000000)
		EXPECT_EQ(FITS, answer(k, STATEMENT, ++n, 1));
	EXPECT_LT(10000u, n);
	EXPECT_EQ(COPY, answer(k, STATEMENT, 1, 1));
	/* Those that are old enough make room. */
	EXPECT_EQ(FITS, answer(k, STATEMENT, ++n, 2 + REPLY_COPY_MAX_US));
	EXPECT_FALSE(reply_check_is_full(k));
	reply_check_free(k);
}

} // namespace
