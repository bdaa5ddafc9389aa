#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <cerrno>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "peer/peer_codec.h"
}

namespace
{

using Bytes = std::vector<uint8_t>;

peer_message make_message(peer_message_type type)
{
	peer_message m;

	memset(&m, 0, sizeof(m));
	strcpy(m.peer, "receiver");
	m.incarnation = UINT64_MAX;
	m.type = type;
	return m;
}

peer_message make_record_message(record_kind kind)
{
	peer_message m = make_message(PEER_RECORD);
	share_record *s = &m.record.record.share;

	m.record.record.kind = kind;
	m.record.record.revision = 77;
	if (kind != RECORD_SHARE)
		return m;
	s->cell = 3;
	s->holder_count = SHARE_HOLDERS_MAX;
	for (uint32_t i = 0; i < s->holder_count; i++) {
		snprintf(s->holders[i].instance, NAME_BYTES, "%047u", i);
		s->holders[i].incarnation = UINT64_MAX - i;
		s->holders[i].ppm = SHARE_WHOLE_PPM / SHARE_HOLDERS_MAX;
	}
	return m;
}

std::vector<peer_message> make_all_messages()
{
	std::vector<peer_message> all;

	for (int t = 0; t < PEER_RECORD; t++)
		all.push_back(make_message(static_cast<peer_message_type>(t)));
	for (int k = 0; k < RECORD_KIND_COUNT; k++)
		all.push_back(make_record_message(static_cast<record_kind>(k)));
	all[PEER_PONG].pong.sync_age_us = INT64_MAX;
	strcpy(all[PEER_LOAN_REQUEST].loan_request.workspace, "coop");
	all[PEER_LOAN_REQUEST].loan_request.renews = 5;
	all[PEER_VOTE].vote.silent = true;
	all.push_back(make_message(PEER_CHOICE));
	strcpy(all.back().choice.service, "svc");
	strcpy(all.back().choice.endpoint, "e1");
	all.back().choice.term = UINT64_MAX;
	all.push_back(make_message(PEER_HANDOVER));
	strcpy(all.back().handover.service, "svc");
	all.back().handover.incarnation = UINT64_MAX;
	all.back().handover.valid_us = INT64_MAX;
	all.back().handover.need_count = HANDOVER_NEEDS_MAX;
	for (uint32_t i = 0; i < HANDOVER_NEEDS_MAX; i++)
		all.back().handover.needs[i] = { UINT64_MAX, i, UINT32_MAX };
	all.push_back(make_message(PEER_CHANGE));
	all.back().change.after = 1;
	all.back().change.position = INT64_MAX;
	memset(all.back().change.text, 'x', PEER_CHANGE_TEXT_BYTES - 1);
	all.push_back(make_message(PEER_DUTY_TAKEN));
	all.back().duty_taken.position = INT64_MAX;
	return all;
}

Bytes encode(const peer_message &m)
{
	Bytes out(PEER_MESSAGE_MAX_BYTES);
	int len = peer_encode(&m, "sender", out.data(), out.size());

	EXPECT_GT(len, 0);
	out.resize(len > 0 ? len : 0);
	return out;
}

TEST(PeerCodec, RoundTripKeepsFieldsAndSetsSender)
{
	for (const peer_message &m : make_all_messages()) {
		Bytes bytes = encode(m);
		peer_message decoded;
		peer_message expected = m;

		SCOPED_TRACE(m.type);
		strcpy(expected.peer, "sender");
		ASSERT_EQ(0, peer_decode(bytes.data(), bytes.size(), &decoded));
		EXPECT_STREQ("sender", decoded.peer);
		EXPECT_EQ(bytes, encode(decoded));
		EXPECT_EQ(0,
			  memcmp(&expected.loan_request, &decoded.loan_request,
				 sizeof(expected.loan_request)));
	}
}

TEST(PeerCodec, RejectsTruncatedAndExtendedInput)
{
	for (const peer_message &m : make_all_messages()) {
		Bytes bytes = encode(m);
		peer_message decoded;

		SCOPED_TRACE(m.type);
		for (size_t n = 0; n < bytes.size(); n++)
			EXPECT_NE(0, peer_decode(bytes.data(), n, &decoded))
				<< n;
		bytes.push_back(0);
		EXPECT_EQ(-EINVAL,
			  peer_decode(bytes.data(), bytes.size(), &decoded));
	}
}

struct BadCase {
	const char *name;
	Bytes bytes;
	int error;
};

const BadCase bad_cases[] = {
	{ "empty", {}, -EINVAL },
	{ "other version", { 1, 0xa1, 'a', 1, 0, 0 }, -EPROTO },
	{ "no sender", { 2, 0xa0, 1, 0, 0 }, -EINVAL },
	{ "control character", { 2, 0xa1, 7, 1, 0, 0 }, -EINVAL },
	{ "unknown type", { 2, 0xa1, 'a', 1, 99, 0 }, -EINVAL },
	{ "array", { 0x91, 1 }, -EINVAL },
	{ "huge array", { 0xdd, 0xff, 0xff, 0xff, 0xff }, -EINVAL },
	{ "huge string", { 2, 0xdb, 0xff, 0xff, 0xff, 0xff }, -EINVAL },
	{ "negative sequence", { 2, 0xa1, 'a', 1, 0, 0xff }, -EINVAL },
	{ "long input", Bytes(PEER_MESSAGE_MAX_BYTES + 1, 1), -EMSGSIZE },
};

TEST(PeerCodec, RejectsInvalidInput)
{
	for (const BadCase &c : bad_cases) {
		peer_message m;

		SCOPED_TRACE(c.name);
		EXPECT_EQ(c.error,
			  peer_decode(c.bytes.data(), c.bytes.size(), &m));
	}
}

TEST(PeerCodec, EncodeRejectsValuesThatDecodeRejects)
{
	uint8_t out[PEER_MESSAGE_MAX_BYTES];
	peer_message negative = make_message(PEER_PONG);
	peer_message unterminated = make_message(PEER_LOAN_REQUEST);
	peer_message large = make_record_message(RECORD_SHARE);

	peer_message needs = make_message(PEER_HANDOVER);

	needs.handover.need_count = HANDOVER_NEEDS_MAX + 1;
	EXPECT_EQ(-EINVAL, peer_encode(&needs, "a", out, sizeof(out)));
	negative.pong.sync_age_us = -1;
	memset(unterminated.loan_request.workspace, 'x', NAME_BYTES);
	EXPECT_EQ(-EINVAL, peer_encode(&negative, "a", out, sizeof(out)));
	EXPECT_EQ(-EINVAL, peer_encode(&unterminated, "a", out, sizeof(out)));
	EXPECT_EQ(-EMSGSIZE, peer_encode(&large, "a", out, 100));
}

RC_GTEST_PROP(PeerCodec, RandomInputIsRejectedOrRoundTrips,
	      (uint8_t type, Bytes tail))
{
	Bytes bytes = { 1, 0xa1, 'a', 1,
			static_cast<uint8_t>(type % PEER_MESSAGE_TYPE_COUNT) };
	peer_message m;

	bytes.insert(bytes.end(), tail.begin(), tail.end());
	if (peer_decode(bytes.data(), bytes.size(), &m))
		return;
	Bytes encoded_again = encode(m);
	RC_ASSERT(!peer_decode(encoded_again.data(), encoded_again.size(), &m));
	RC_ASSERT(encoded_again == encode(m));
}

} // namespace
