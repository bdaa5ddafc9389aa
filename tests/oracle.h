/*
 * oracle.h - what callers were told, and whether it can be true.
 *
 * It knows the promises and none of the mechanisms.
 */
#ifndef TESTS_ORACLE_H
#define TESTS_ORACLE_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "core/action.h"
#include "core/event.h"
}

/* Keys of callers, by the bytes of their digests. */
enum {
	KEY_MILL = 7,
	KEY_SCHOOL = 9, /* of a workspace with a small rate */
	KEY_KIOSK = 13, /* of one with less than two tokens an instance */
	KEY_UNKNOWN = 11,
};

/* One request of a caller. */
struct Call {
	uint64_t caller_id;
	enum request_kind kind;
	int node;
	int session;
	int order; /* 0: none */
	std::string request_id; /* "" if none */
	bool repeatable;
	int64_t max_age_us;
	int64_t sent_us;
	int64_t deadline_us;
	uint64_t transaction; /* id the proxy gave */
	int script; /* transaction script, or -1 */
	int times_executed; /* statement handed to an endpoint */
	std::set<int>
		own_orders; /* reads: session's confirmed orders when sent */
	bool deadline_excused; /* its instance was paused: may answer late */
	int key; /* bytes of its digest; 0: none */
	bool key_withdrawn_when_sent; /* accepted over 4 s before it was sent */
	bool has_result; /* an own result was handed to its instance */

	int64_t handled_us; /* taken in by its instance */

	bool answered;
	int64_t answered_us;
	struct reply reply;
	std::set<int> seen_orders; /* reads: orders in the result */
};

/* A session and what its token says. */
struct Session {
	struct position token;
	std::set<int> confirmed; /* orders that it wrote */
};

class Oracle
{
      public:
	std::vector<Call> calls;
	std::map<int, Session> sessions;
	std::vector<std::string> violations;

	Call &add(Call c);
	Call *find(uint64_t caller_id);

	/* An answer arrived. */
	void record_answer(Call &c, const struct reply &r, int64_t now_us);

	/* A statement of the call was handed to an endpoint. */
	void record_sent(Call &c, bool key_withdrawn);

	/*
	 * Requests of which a statement was sent, by when their instance took
	 * them in, stay within rate * t + burst in every window.
	 */
	void check_rate(int key, double rate_per_s, double burst);

	/* The final log of the group: orders and how often each is in it. */
	void check_final(const std::map<int, int> &orders);

	/* Every call was answered, no later than its deadline plus slack. */
	void check_answers(int64_t slack_us);

	void add_violation(const std::string &text);

	int ran = 0;
	int not_run = 0;
	int may_have_run = 0;
	int replica_reads = 0;
	int primary_reads = 0;

      private:
	void check_read(const Call &c, int64_t now_us);

	/* Confirmed orders with the time of their confirmation. */
	std::vector<std::pair<int64_t, int>> confirmed_;
	std::map<uint64_t, size_t> index_;
	std::map<int, std::vector<int64_t>> admitted_; /* by key */
};

#endif
