#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "core/share.h"
}

namespace
{

const int64_t TTL_US = 10 * US_PER_S;
const uint64_t PROCESS = 2;

// Instance "a" with a single cell; the test acts as the platform.
class Share : public testing::Test
{
      protected:
	void SetUp() override
	{
		member_opts mo = {};

		mo.instance = "a";
		mo.incarnation = PROCESS;
		members = member_table_new(&mo);
		out = action_queue_new();
		make_share(nullptr);
		add_member("b");
	}

	void make_share(const key_guard *guard)
	{
		share_opts so = {};

		if (share)
			share_free(share);
		so.guard = guard;
		so.instance = "a";
		so.incarnation = PROCESS;
		so.cells = 1;
		so.members = members;
		share = share_new(&so);
	}

	void TearDown() override
	{
		share_free(share);
		member_table_free(members);
		action_queue_free(out);
	}

	void add_member(const char *name)
	{
		member_record r = {};

		strcpy(r.name, name);
		r.incarnation = 1;
		member_put(members, &r);
	}

	void add_holder(const char *name, uint64_t process, uint32_t ppm)
	{
		share_holder *h =
			&stored.share.holders[stored.share.holder_count++];

		strcpy(h->instance, name);
		h->incarnation = process;
		h->ppm = ppm;
	}

	void renew_lease(int64_t asked_us, int64_t now_us)
	{
		lease_renewal l = { asked_us, TTL_US };

		share_handle_lease(share, &l, now_us);
	}

	// Runs once; returns false when no platform operation was started.
	bool run_until_operation(int64_t now_us)
	{
		action a;

		share_run(share, now_us, out);
		while (action_queue_pop(out, &a)) {
			if (a.type != ACTION_PLATFORM)
				continue;
			started = *a.platform;
			return true;
		}
		return false;
	}

	void send_result(platform_outcome outcome, int64_t now_us)
	{
		platform_result r = {};

		r.operation_id = started.operation_id;
		r.outcome = outcome;
		r.found = stored.revision > 0;
		r.record = stored;
		if (outcome == PLATFORM_APPLIED &&
		    started.operation == PLATFORM_CAS_SHARE) {
			int64_t revision = stored.revision + 1;

			stored = started.record;
			stored.revision = revision;
			r.record = {};
		}
		EXPECT_TRUE(share_handle_platform(share, &r, now_us, out));
	}

	void start_with_share(uint32_t ppm)
	{
		stored.kind = RECORD_SHARE;
		stored.revision = 5;
		add_holder("a", PROCESS, ppm);
		renew_lease(0, 0);
		ASSERT_TRUE(run_until_operation(0));
		ASSERT_EQ(PLATFORM_READ_SHARE, started.operation);
		send_result(PLATFORM_APPLIED, 1);
	}

	member_table *members = nullptr;
	struct share *share = nullptr;
	action_queue *out = nullptr;
	record stored = {};
	platform_start started = {};
};

TEST_F(Share, IsUsableUntilTheLeaseEndsLessTheMargin)
{
	start_with_share(SHARE_WHOLE_PPM);
	// 1% and 100 ms before the lease ends in the platform.
	EXPECT_EQ(9800 * US_PER_MS, share_valid_until_us(share));
	EXPECT_EQ(1000000U,
		  share_get_usable_ppm(share, 0, 9800 * US_PER_MS - 1));
	EXPECT_EQ(0U, share_get_usable_ppm(share, 0, 9800 * US_PER_MS));
}

TEST_F(Share, LeaseCountsFromItsRequest)
{
	start_with_share(SHARE_WHOLE_PPM);
	renew_lease(3 * US_PER_S, 9 * US_PER_S);
	EXPECT_EQ(12800 * US_PER_MS, share_valid_until_us(share));
}

TEST_F(Share, NothingIsUsableAfterLeaseExpiryUntilRecordIsRead)
{
	start_with_share(SHARE_WHOLE_PPM);
	uint64_t epoch = share_epoch(share);
	record stale = stored;

	renew_lease(20 * US_PER_S, 20 * US_PER_S);
	EXPECT_EQ(epoch + 1, share_epoch(share));
	stale.revision = 6;
	share_put_record(share, &stale);
	EXPECT_EQ(0U, share_get_usable_ppm(share, 0, 20 * US_PER_S));
	ASSERT_TRUE(run_until_operation(20 * US_PER_S));
	ASSERT_EQ(PLATFORM_READ_SHARE, started.operation);
	stored.share.holder_count = 0;
	stored.revision = 9;
	send_result(PLATFORM_APPLIED, 20 * US_PER_S);
	EXPECT_EQ(0U, share_get_usable_ppm(share, 0, 20 * US_PER_S));
}

TEST_F(Share, ReadStartedBeforeLeaseExpiryIsIgnored)
{
	start_with_share(SHARE_WHOLE_PPM);
	renew_lease(20 * US_PER_S, 20 * US_PER_S);
	ASSERT_TRUE(run_until_operation(20 * US_PER_S));
	renew_lease(40 * US_PER_S, 40 * US_PER_S);
	send_result(PLATFORM_APPLIED, 40 * US_PER_S);
	EXPECT_EQ(0U, share_get_usable_ppm(share, 0, 40 * US_PER_S));
}

// A write whose answer is lost may take effect after a read has returned the
// old record. Until then only the smaller of the two shares may be used.
TEST_F(Share, SmallerShareAppliesWhileWriteMayTakeEffect)
{
	start_with_share(SHARE_WHOLE_PPM);
	add_holder("b", 1, 0);
	stored.revision = 6;
	share_put_record(share, &stored);
	ASSERT_TRUE(run_until_operation(US_PER_S));
	ASSERT_EQ(PLATFORM_CAS_SHARE, started.operation);
	EXPECT_EQ(500000U, share_get_usable_ppm(share, 0, US_PER_S));
	send_result(PLATFORM_UNKNOWN, US_PER_S);
	ASSERT_TRUE(run_until_operation(2 * US_PER_S));
	ASSERT_EQ(PLATFORM_READ_SHARE, started.operation);
	send_result(PLATFORM_APPLIED, 2 * US_PER_S);
	EXPECT_EQ(500000U, share_get_usable_ppm(share, 0, 2 * US_PER_S));
	// A record with a later revision proves that the write will fail.
	stored.revision = 7;
	share_put_record(share, &stored);
	EXPECT_EQ(1000000U, share_get_usable_ppm(share, 0, 2 * US_PER_S));
}

TEST_F(Share, NewHolderTakesOnlyTheUnallocatedShare)
{
	stored.kind = RECORD_SHARE;
	stored.revision = 5;
	add_holder("b", 1, 900000);
	renew_lease(0, 0);
	ASSERT_TRUE(run_until_operation(0));
	send_result(PLATFORM_APPLIED, 1);
	ASSERT_TRUE(run_until_operation(US_PER_S));
	EXPECT_EQ(2U, started.record.share.holder_count);
	EXPECT_EQ(100000U, started.record.share.holders[1].ppm);
	EXPECT_EQ(0U, share_get_usable_ppm(share, 0, US_PER_S));
	send_result(PLATFORM_APPLIED, US_PER_S);
	EXPECT_EQ(100000U, share_get_usable_ppm(share, 0, US_PER_S));
}

TEST_F(Share, AbsentHoldersAreRemovedConditionallyAfterTheDelay)
{
	start_with_share(500000);
	add_holder("gone", 7, 500000);
	stored.revision = 6;
	share_put_record(share, &stored);
	EXPECT_FALSE(run_until_operation(US_PER_S));
	EXPECT_FALSE(run_until_operation(2900 * US_PER_MS));
	ASSERT_TRUE(run_until_operation(3 * US_PER_S));
	ASSERT_EQ(1U, started.absent_count);
	EXPECT_STREQ("gone", started.absent_members[0].instance);
	EXPECT_EQ(1U, started.record.share.holder_count);
}

TEST_F(Share, EarlierProcessKeepsItsEntryForOneLease)
{
	start_with_share(500000);
	add_holder("a", 1, 500000);
	stored.revision = 6;
	share_put_record(share, &stored);
	renew_lease(8 * US_PER_S, 8 * US_PER_S);
	EXPECT_FALSE(run_until_operation(10 * US_PER_S));
	ASSERT_TRUE(run_until_operation(10300 * US_PER_MS));
	EXPECT_EQ(1U, started.record.share.holder_count);
	EXPECT_EQ(0U, started.absent_count);
}

TEST_F(Share, DrainKeepsTheLentShare)
{
	start_with_share(SHARE_WHOLE_PPM);
	share_set_reserved(share, 0, 300000);
	share_drain(share);
	ASSERT_TRUE(run_until_operation(US_PER_S));
	EXPECT_EQ(300000U, started.record.share.holders[0].ppm);
	send_result(PLATFORM_APPLIED, US_PER_S);
	EXPECT_FALSE(share_is_drained(share, US_PER_S));
	share_set_reserved(share, 0, 0);
	ASSERT_TRUE(run_until_operation(2 * US_PER_S));
	send_result(PLATFORM_APPLIED, 2 * US_PER_S);
	ASSERT_TRUE(run_until_operation(3 * US_PER_S));
	EXPECT_EQ(0U, started.record.share.holder_count);
	send_result(PLATFORM_APPLIED, 3 * US_PER_S);
	EXPECT_TRUE(share_is_drained(share, 3 * US_PER_S));
}

// The only member: rule (c) holds as soon as its own sync is too old.
class ShareWithGuard : public Share
{
      protected:
	void SetUp() override
	{
		key_guard_opts go = {};

		Share::SetUp();
		member_delete(members, "b");
		go.key_grace_us = 3 * US_PER_S;
		guard = key_guard_new(&go, members);
		make_share(guard);
	}

	void TearDown() override
	{
		Share::TearDown();
		key_guard_free(guard);
	}

	void sync_until(int64_t end_us)
	{
		for (int64_t t = 0; t <= end_us; t += US_PER_S)
			key_guard_note_synced(guard, 1, t, t);
	}

	key_guard *guard = nullptr;
};

TEST_F(ShareWithGuard, ShareIsUsableOnlyAfterALongSync)
{
	sync_until(6 * US_PER_S);
	start_with_share(SHARE_WHOLE_PPM);
	run_until_operation(6900 * US_PER_MS);
	EXPECT_EQ(0U, share_get_usable_ppm(share, 0, 6900 * US_PER_MS));
	run_until_operation(7 * US_PER_S);
	EXPECT_EQ(1000000U, share_get_usable_ppm(share, 0, 7 * US_PER_S));
}

TEST_F(ShareWithGuard, ShareOutlastsTheLeaseInAContinuousOutage)
{
	sync_until(7 * US_PER_S);
	start_with_share(SHARE_WHOLE_PPM);
	run_until_operation(7 * US_PER_S);
	// The lease ends at 9.8 s, the sync is too old at 10 s.
	EXPECT_EQ(0U, share_get_usable_ppm(share, 0, 9800 * US_PER_MS));
	renew_lease(2 * US_PER_S, 9 * US_PER_S);
	run_until_operation(11 * US_PER_S);
	EXPECT_EQ(1000000U, share_get_usable_ppm(share, 0, 13900 * US_PER_MS));
	run_until_operation(13900 * US_PER_MS);
	EXPECT_EQ(1000000U, share_get_usable_ppm(share, 0, 16800 * US_PER_MS));
	// After too long a pause another instance may have been synced.
	run_until_operation(16900 * US_PER_MS);
	EXPECT_EQ(0U, share_get_usable_ppm(share, 0, 17 * US_PER_S));
}

TEST_F(ShareWithGuard, ShareEndsWithTheLeaseIfAMemberIsSilent)
{
	add_member("b");
	sync_until(7 * US_PER_S);
	start_with_share(SHARE_WHOLE_PPM);
	run_until_operation(7 * US_PER_S);
	renew_lease(2 * US_PER_S, 9 * US_PER_S);
	run_until_operation(11 * US_PER_S);
	EXPECT_EQ(0U, share_get_usable_ppm(share, 0, 11800 * US_PER_MS));
}

} // namespace
