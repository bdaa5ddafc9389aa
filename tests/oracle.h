/*
 * oracle.h - records the answers that callers got and checks them.
 *
 * It checks the guarantees given to callers and does not depend on how the
 * proxy implements them.
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

/* Keys of callers; every byte of the digest has the given value. */
enum {
	KEY_MILL = 7, /* of the workspace with the large rate */
	KEY_SCHOOL = 9, /* of a workspace with a small rate */
	KEY_KIOSK = 13, /* of one with under two tokens per instance */
	KEY_UNKNOWN = 11, /* of no workspace */
};

/* One request of a caller and its answer. */
struct Call {
	uint64_t caller_id;
	enum request_kind kind;
	int node;
	int session;
	int order; /* number of the order that it writes; 0: none */
	std::string request_id; /* "" if none */
	bool repeatable;
	int64_t max_age_us;
	int64_t sent_us;
	int64_t deadline_us;
	uint64_t transaction; /* id given by the proxy; 0: none */
	int script_step; /* step of the transaction script, or -1 */
	int times_executed; /* how often it was sent to an endpoint */
	/* Orders of its session that were confirmed when it was sent. */
	std::set<int> own_orders;
	bool deadline_excused; /* its instance was paused: may answer late */
	int key; /* bytes of its digest; 0: none */
	/* Sent more than 4 s after the withdrawal of its key was accepted. */
	bool key_withdrawn_when_sent;
	bool has_result; /* its instance received its result */

	int64_t accepted_us; /* when its instance accepted it; 0: not yet */

	bool answered;
	int64_t answered_us;
	struct reply reply;
	std::set<int> seen_orders; /* reads: orders in the result */
};

/* A session of a caller. */
struct Session {
	struct position token; /* position in the session token */
	std::set<int> confirmed; /* orders written and confirmed in it */
};

class Oracle
{
      public:
	std::vector<Call> calls;
	std::map<int, Session> sessions;
	std::vector<std::string> violations;

	Call &add(Call c);
	Call *find(uint64_t caller_id);

	/* Records and checks the answer of a call. */
	void record_answer(Call &c, const struct reply &r, int64_t now_us);

	/* Records and checks that the call was sent to an endpoint. */
	void record_sent(Call &c, bool key_withdrawn);

	/*
	 * Checks that the requests of a key that were sent to an endpoint stay
	 * within rate * t + burst in every window of length t, counted at the
	 * times at which their instances accepted them.
	 */
	void check_rate(int key, double rate_per_s, double burst);

	/*
	 * Compares the answers with the final log of the group. `orders` maps
	 * each order to the number of its entries.
	 */
	void check_final(const std::map<int, int> &orders);

	/* Checks that every call was answered by its deadline plus slack_us. */
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
	/* Times at which requests that were sent were accepted, by key. */
	std::map<int, std::vector<int64_t>> admitted_;
};

#endif
