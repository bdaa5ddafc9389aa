#include "history.h"

#include "odd_text.h"

#include <algorithm>

History history;

namespace
{

/* A withdrawn key works no longer than this. */
const int64_t KEY_WITHDRAWN_US = 5 * SECOND;
/* An instance is in touch this long after the last disturbance. */
const int64_t STABLE_WINDOW_US = 4 * SECOND;
const size_t FAILURES_MAX = 50;

/* Without the name of a prepared statement, which may be changed. */
std::string without_prepared_name(const std::string &text)
{
	const std::string word = "EXECUTE ";

	if (text.compare(0, word.size(), word) != 0)
		return text;
	return word + text.substr(text.find(' ', word.size()) + 1);
}

} // namespace

void History::fail_locked(const std::string &rule, const std::string &text)
{
	counters["failed checks"][rule]++;
	if (failed.size() < FAILURES_MAX)
		failed.push_back(rule + " at " + std::to_string(now_us()) +
				 ": " + text);
}

void History::fail(const std::string &rule, const std::string &text)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	fail_locked(rule, text);
}

std::vector<std::string> History::failures()
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	return failed;
}

void History::count(const std::string &kind, const std::string &name)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	counters[kind][name]++;
}

std::map<std::string, std::map<std::string, int>> History::counts()
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	return counters;
}

void History::add(const std::shared_ptr<Statement> &s)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	statements[s->id] = s;
	if (s->unit->writes)
		writing[s->unit->id] = s->unit;
}

void History::check_key(const Statement &s)
{
	auto k = keys.find(s.key);

	if (k == keys.end())
		fail_locked("key", s.id + " ran with a key never configured");
	else if (k->second && s.sent_us > k->second + KEY_WITHDRAWN_US)
		fail_locked("withdrawn key",
			    s.id + " was sent " +
				    std::to_string((s.sent_us - k->second) /
						   MS) +
				    " ms after its key was withdrawn");
}

void History::check_quota(const Statement &s)
{
	int64_t at_us = now_us();
	int64_t since_us = at_us - quota.window_us;

	if (s.workspace != quota.workspace || s.unit->first_run_us)
		return;
	quota_run_us.push_back(at_us);
	quota_sent_us.push_back(s.unit->begun_us);
	while (!quota_run_us.empty() && quota_run_us.front() < since_us) {
		quota_run_us.pop_front();
		quota_sent_us.pop_front();
	}
	size_t n = static_cast<size_t>(
		std::count_if(quota_sent_us.begin(), quota_sent_us.end(),
			      [&](int64_t t) { return t >= since_us; }));
	if (n == quota.operations + 1)
		fail_locked("limit", "workspace " + s.workspace + " ran " +
					     std::to_string(n) +
					     " operations in a window");
}

void History::check_transaction(const Statement &s, const RunContext &c)
{
	if (s.unit->transaction) {
		if (!c.in_transaction)
			fail_locked("mixed", s.id + " ran outside of its "
						    "transaction");
		if (s.unit->connection && s.unit->connection != c.connection)
			fail_locked("mixed", s.id + " ran on another "
						    "connection than its "
						    "transaction");
	}
	if (c.owner && c.owner != s.unit)
		fail_locked("mixed",
			    s.id + " ran in the transaction of " + c.owner->id);
}

std::shared_ptr<Statement> History::check_run(const std::string &id,
					      const std::string &text,
					      const RunContext &c)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);
	auto i = statements.find(id);

	if (i == statements.end()) {
		fail_locked("unasked",
			    "ran id " + printable(id) + ": " + printable(text));
		return nullptr;
	}
	Statement &s = *i->second;
	if (without_prepared_name(text) != without_prepared_name(s.text))
		fail_locked("unasked", id + ": ran '" + printable(text) +
					       "' for '" + printable(s.text) +
					       "'");
	if (c.workspace != s.workspace)
		fail_locked("workspace", id + " of " + s.workspace +
						 " ran as " + c.workspace);
	if (c.shape != s.shape)
		fail_locked("prepared", id + " ran shape '" +
						printable(c.shape) + "' for '" +
						printable(s.shape) + "'");
	if (c.values != s.values)
		fail_locked("values", id + " ran with other session values");
	check_key(s);
	check_quota(s);
	check_transaction(s, c);
	if (!s.unit->first_run_us) {
		s.unit->first_run_us = now_us();
		s.unit->connection = c.connection;
	}
	return i->second;
}

void History::add_answer(const std::shared_ptr<Statement> &s,
			 const std::string &answer)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	s->answers.push_back(answer);
}

void History::check_answer(const std::shared_ptr<Statement> &s,
			   const std::string &answer)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	if (std::find(s->answers.begin(), s->answers.end(), answer) ==
	    s->answers.end())
		fail_locked("answer", s->id +
					      " got an answer that is not its "
					      "own or not whole: " +
					      printable(answer));
}

void History::promised(const std::shared_ptr<Unit> &u, const std::string &code)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	if (u->promise.empty())
		u->promise = code;
}

void History::acknowledged(const std::shared_ptr<Unit> &u)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	u->acknowledged = true;
}

void History::check_log(const std::vector<std::string> &units)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);
	std::map<std::string, int> runs;

	for (const std::string &id : units)
		runs[id]++;
	for (const auto &r : runs) {
		auto u = writing.find(r.first);

		if (r.second > 1)
			fail_locked("twice", r.first + " took effect " +
						     std::to_string(r.second) +
						     " times");
		if (u != writing.end() && !u->second->promise.empty())
			fail_locked("has not run",
				    r.first + " was committed after " +
					    u->second->promise);
	}
	for (const auto &u : writing) {
		if (u.second->acknowledged && !runs.count(u.first))
			fail_locked("lost", u.first + " was acknowledged and "
						      "is not in the log");
	}
}

bool History::was_passed_on(const std::shared_ptr<Statement> &s)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	return s->unit->first_run_us != 0;
}

void History::allow_key(const std::string &key)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	keys[key] = 0;
}

void History::withdraw_key(const std::string &key)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	keys[key] = now_us();
}

void History::set_quota(const QuotaBound &q)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	quota = q;
}

size_t History::begin_disturbance(Disturbance::Scope scope, int instance)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	disturbances.push_back({ scope, instance, now_us(), INT64_MAX });
	return disturbances.size() - 1;
}

void History::end_disturbance(size_t handle)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	disturbances[handle].end_us = now_us();
}

bool History::disturbed(Disturbance::Scope scope, int instance,
			int64_t since_us)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	return std::any_of(disturbances.begin(), disturbances.end(),
			   [&](const Disturbance &d) {
				   return d.scope == scope &&
					  d.end_us >= since_us &&
					  (instance < 0 || d.instance < 0 ||
					   d.instance == instance);
			   });
}

bool History::in_touch(int instance, int64_t from_us)
{
	int64_t since_us = from_us - STABLE_WINDOW_US;

	return !disturbed(Disturbance::INSTANCE, instance, since_us) &&
	       !disturbed(Disturbance::PLANNED_STOP, instance, since_us) &&
	       !disturbed(Disturbance::STORE, -1, since_us) &&
	       !disturbed(Disturbance::HOST, -1, since_us);
}

void History::served(const std::string &route)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);

	successes[route].push_back(now_us());
}

std::map<std::string, int> History::gaps()
{
	static const struct {
		int64_t limit_us;
		const char *name;
	} ranges[] = { { 200 * MS, nullptr },	  { 500 * MS, "0.2-0.5 s" },
		       { SECOND, "0.5-1 s" },	  { 2 * SECOND, "1-2 s" },
		       { 5 * SECOND, "2-5 s" },	  { 10 * SECOND, "5-10 s" },
		       { INT64_MAX, "over 10 s" } };
	std::lock_guard<std::recursive_mutex> lock(mutex);
	std::map<std::string, int> out;

	for (const auto &route : successes) {
		for (size_t i = 1; i < route.second.size(); i++) {
			int64_t gap_us = route.second[i] - route.second[i - 1];
			size_t r = 0;

			while (gap_us >= ranges[r].limit_us)
				r++;
			if (ranges[r].name)
				out[route.first + " " + ranges[r].name]++;
		}
	}
	return out;
}

size_t History::served_since(const std::string &route, int64_t since_us)
{
	std::lock_guard<std::recursive_mutex> lock(mutex);
	const std::vector<int64_t> &v = successes[route];

	return static_cast<size_t>(
		v.end() - std::lower_bound(v.begin(), v.end(), since_us));
}
