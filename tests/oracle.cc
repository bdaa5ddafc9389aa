#include "oracle.h"

#include <algorithm>

Call &Oracle::add(Call c)
{
	c.caller_id = calls.size() + 1;
	c.own_orders = sessions[c.session].confirmed;
	index_[c.caller_id] = calls.size();
	calls.push_back(c);
	return calls.back();
}

Call *Oracle::find(uint64_t caller_id)
{
	auto it = index_.find(caller_id);

	return it == index_.end() ? nullptr : &calls[it->second];
}

void Oracle::add_violation(const std::string &text)
{
	violations.push_back(text);
}

/*
 * Checks that a read contains the session's own writes and that its data is
 * not older than allowed.
 */
void Oracle::check_read(const Call &c, int64_t now_us)
{
	int64_t fresh_us = c.max_age_us ? now_us - c.max_age_us : c.sent_us;

	for (int order : c.own_orders) {
		if (!c.seen_orders.count(order))
			add_violation("read " + std::to_string(c.caller_id) +
				      " misses the session's own order " +
				      std::to_string(order));
	}
	for (const auto &[at_us, order] : confirmed_) {
		if (at_us < fresh_us && !c.seen_orders.count(order))
			add_violation("read " + std::to_string(c.caller_id) +
				      " is older than allowed: misses order " +
				      std::to_string(order));
	}
}

void Oracle::record_sent(Call &c, bool key_withdrawn)
{
	if (key_withdrawn)
		add_violation("call " + std::to_string(c.caller_id) +
			      " was sent with a withdrawn key");
	if (c.key != KEY_MILL && c.key != KEY_SCHOOL && c.key != KEY_KIOSK)
		add_violation("call " + std::to_string(c.caller_id) +
			      " was sent without a valid key");
	if (c.times_executed++ == 0 && c.kind != REQUEST_COMMIT)
		admitted_[c.key].push_back(c.accepted_us);
}

void Oracle::check_rate(int key, double rate_per_s, double burst)
{
	double level = burst;
	int64_t last_us = INT64_MIN;

	std::sort(admitted_[key].begin(), admitted_[key].end());
	for (int64_t at_us : admitted_[key]) {
		if (last_us != INT64_MIN)
			level += (double)(at_us - last_us) / 1e6 * rate_per_s;
		level = std::min(level, burst) - 1;
		last_us = at_us;
		if (level < -1e-6) {
			add_violation("workspace of key " +
				      std::to_string(key) +
				      " got more than its rate and burst");
			return;
		}
	}
}

void Oracle::record_answer(Call &c, const struct reply &r, int64_t now_us)
{
	if (c.answered) {
		add_violation("call " + std::to_string(c.caller_id) +
			      " was answered twice");
		return;
	}
	c.answered = true;
	c.answered_us = now_us;
	c.reply = r;
	if (r.verdict == VERDICT_NOT_RUN)
		not_run++;
	else if (r.verdict == VERDICT_MAY_HAVE_RUN)
		may_have_run++;
	else
		ran++;
	if (r.verdict != VERDICT_RAN || r.error != ERR_NONE)
		return;
	if (!c.has_result)
		add_violation("call " + std::to_string(c.caller_id) +
			      " was answered without its own result");
	if (c.key_withdrawn_when_sent)
		add_violation("call " + std::to_string(c.caller_id) +
			      " ran with a withdrawn key");
	if (c.kind == REQUEST_READ)
		check_read(c, now_us);
	if ((c.kind == REQUEST_WRITE || c.kind == REQUEST_COMMIT) && c.order) {
		confirmed_.emplace_back(now_us, c.order);
		sessions[c.session].confirmed.insert(c.order);
	}
	Session &s = sessions[c.session];
	s.token = position_max(s.token, r.session);
}

void Oracle::check_final(const std::map<int, int> &orders)
{
	std::map<int, bool> answered_not_run; /* true: by every attempt */

	for (const auto &[order, count] : orders) {
		if (order && count > 1)
			add_violation("order " + std::to_string(order) +
				      " is in the log " +
				      std::to_string(count) + " times");
	}
	for (const auto &[at_us, order] : confirmed_) {
		if (!orders.count(order))
			add_violation("confirmed order " +
				      std::to_string(order) + " is lost");
	}
	for (const Call &c : calls) {
		if (!c.repeatable && c.times_executed > 1)
			add_violation("call " + std::to_string(c.caller_id) +
				      " is not repeatable and was sent twice");
		if (c.kind != REQUEST_WRITE && c.kind != REQUEST_COMMIT)
			continue;
		bool not_run = c.answered && c.reply.verdict == VERDICT_NOT_RUN;
		auto it = answered_not_run.find(c.order);
		if (it == answered_not_run.end())
			answered_not_run[c.order] = not_run;
		else
			it->second = it->second && not_run;
	}
	for (const auto &[order, not_run] : answered_not_run) {
		if (order && not_run && orders.count(order))
			add_violation(
				"order " + std::to_string(order) +
				" was answered not_run and is in the log");
	}
}

void Oracle::check_answers(int64_t slack_us)
{
	for (const Call &c : calls) {
		if (!c.answered)
			add_violation("call " + std::to_string(c.caller_id) +
				      " was never answered");
		else if (!c.deadline_excused &&
			 c.answered_us > c.deadline_us + slack_us)
			add_violation("call " + std::to_string(c.caller_id) +
				      " was answered late");
	}
}
