#include "platform_harness.h"

namespace
{

const char TERM_KEY[] = "/zinnialine/term/g";
const char TERM_1[] = "{\"term\":1,\"primary\":\"e1\",\"promoter\":\"i1\","
		      "\"change_id\":\"0000000000000001\"}";
const char MEMBER_2[] = "{\"zone\":\"z\",\"address\":\"127.0.0.1:1\","
			"\"incarnation\":\"0000000000000009\"}";

struct platform_start make_operation(enum platform_operation kind,
				     int64_t expected)
{
	struct platform_start p = {};

	p.operation_id = 42;
	p.operation = kind;
	p.expected_revision = expected;
	if (kind == PLATFORM_READ_TERM || kind == PLATFORM_CAS_TERM) {
		p.record.kind = RECORD_TERM;
		strcpy(p.record.term.group, "g");
		strcpy(p.record.term.promoter, "i2");
		p.record.term.term = 2;
		return p;
	}
	p.record.kind = RECORD_SHARE;
	p.record.share.cell = 3;
	p.record.share.holder_count = 1;
	strcpy(p.record.share.holders[0].instance, "i1");
	p.record.share.holders[0].ppm = SHARE_WHOLE_PPM;
	return p;
}

struct OperationCase {
	const char *name;
	enum platform_operation operation;
	const char *stored_value; /* of TERM_KEY before, or NULL */
	bool expects_stored_revision; /* else 0: the key must not exist */
	const char *absent_member; /* must not exist as a member; or NULL */
	const char *fault; /* control command, or NULL */
	enum platform_outcome outcome;
	bool found;
	uint64_t stored_term; /* in the result, if found */
	bool written; /* the service's revision has changed */
};

const OperationCase operation_cases[] = {
	{ "read nothing", PLATFORM_READ_TERM, nullptr, false, nullptr, nullptr,
	  PLATFORM_APPLIED, false, 0, false },
	{ "read a term", PLATFORM_READ_TERM, TERM_1, false, nullptr, nullptr,
	  PLATFORM_APPLIED, true, 1, false },
	{ "read what the codec refuses", PLATFORM_READ_TERM, "{}", false,
	  nullptr, nullptr, PLATFORM_UNKNOWN, false, 0, false },
	{ "read in an outage", PLATFORM_READ_TERM, TERM_1, false, nullptr,
	  "outage on", PLATFORM_UNKNOWN, false, 0, false },
	{ "first term", PLATFORM_CAS_TERM, nullptr, false, nullptr, nullptr,
	  PLATFORM_APPLIED, false, 0, true },
	{ "next term", PLATFORM_CAS_TERM, TERM_1, true, nullptr, nullptr,
	  PLATFORM_APPLIED, false, 0, true },
	{ "term that somebody else took", PLATFORM_CAS_TERM, TERM_1, false,
	  nullptr, nullptr, PLATFORM_REFUSED, true, 1, false },
	{ "term, answer lost", PLATFORM_CAS_TERM, TERM_1, true, nullptr,
	  "lose 1", PLATFORM_UNKNOWN, false, 0, true },
	{ "term in an outage that refuses", PLATFORM_CAS_TERM, TERM_1, true,
	  nullptr, "outage refuse", PLATFORM_UNKNOWN, false, 0, false },
	{ "share", PLATFORM_CAS_SHARE, nullptr, false, nullptr, nullptr,
	  PLATFORM_APPLIED, false, 0, true },
	{ "share, removed member is absent", PLATFORM_CAS_SHARE, nullptr, false,
	  "gone", nullptr, PLATFORM_APPLIED, false, 0, true },
	{ "share, removed member lives", PLATFORM_CAS_SHARE, nullptr, false,
	  "i2", nullptr, PLATFORM_REFUSED, false, 0, false },
};

TEST(PlatformOperation, ReadsAndConditionalWrites)
{
	for (const OperationCase &t : operation_cases) {
		SCOPED_TRACE(t.name);
		PlatformProcess p;
		int64_t stored = 0;

		p.send_command(std::string("put /zinnialine/member/i2 ") +
			       MEMBER_2);
		if (t.stored_value) {
			p.send_command(put_command(TERM_KEY, t.stored_value));
			stored = std::stoll(p.send_command("revision"));
		}
		Client c({ p.address() });
		struct platform_start o =
			make_operation(t.operation,
				       t.expects_stored_revision ? stored : 0);

		if (t.absent_member) {
			o.absent_count = 1;
			strcpy(o.absent_members[0].instance, t.absent_member);
		}
		ASSERT_TRUE(c.wait_until([&] { return c.sync_count > 0; }));
		std::string before = p.send_command("revision");
		if (t.fault)
			p.send_command(t.fault);
		struct platform_result r = c.run_operation(o);
		EXPECT_EQ(42u, r.operation_id);
		EXPECT_EQ(t.outcome, r.outcome);
		EXPECT_EQ(t.found, r.found);
		if (t.found) {
			EXPECT_EQ(t.stored_term, r.record.term.term);
			EXPECT_EQ(stored, r.record.revision);
		}
		EXPECT_EQ(t.written, before != p.send_command("revision"));
	}
}

/*
 * Two operators change the same revision at once: exactly one change must take
 * effect, and the other operator must get the stored record.
 */
TEST(PlatformOperation, OneOfTwoConcurrentChangesIsApplied)
{
	PlatformProcess p;
	Client a({ p.address() });
	Client b({ p.address() });
	int64_t revision = 0;

	for (uint32_t round = 0; round < 20; round++) {
		struct record record_a = make_workspace("a", 1000 + round);
		struct record record_b = make_workspace("a", 2000 + round);
		ChangeResult result_a;
		ChangeResult result_b;

		/* The service drops one answer, of either of the changes. */
		if (round % 3 == 2)
			p.send_command("lose 1");
		platform_client_change_record(a.client, &record_a, false,
					      revision, nullptr,
					      on_change_result, &result_a);
		platform_client_change_record(b.client, &record_b, false,
					      revision, nullptr,
					      on_change_result, &result_b);
		ASSERT_TRUE(a.wait_until([&] {
			b.run_for(US_PER_MS);
			return result_a.calls && result_b.calls;
		}));
		EXPECT_EQ(1, (result_a.outcome == PLATFORM_APPLIED) +
				     (result_b.outcome == PLATFORM_APPLIED));
		const ChangeResult &won = result_a.outcome == PLATFORM_APPLIED ?
						  result_a :
						  result_b;
		const ChangeResult &lost =
			result_a.outcome == PLATFORM_APPLIED ? result_b :
							       result_a;

		EXPECT_TRUE(lost.has_current);
		EXPECT_EQ(won.revision, lost.current.revision);
		revision = won.revision;
	}
}

} // namespace
