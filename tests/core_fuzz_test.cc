#include "model.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <cstdlib>

namespace
{

constexpr int64_t MS = US_PER_MS;
constexpr int64_t S = US_PER_S;

/* What a step does to the system; `a` selects a node, endpoint or zone. */
enum StepKind {
	STEP_WAIT,
	STEP_CRASH,
	STEP_START,
	STEP_PAUSE,
	STEP_RESUME,
	STEP_FREEZE,
	STEP_REFUSE,
	STEP_SILENCE,
	STEP_HEAL_ENDPOINT,
	STEP_LAG,
	STEP_LEAVING,
	STEP_CUT_ZONE,
	STEP_HEAL_ZONE,
	STEP_OUTAGE_ON,
	STEP_OUTAGE_OFF,
	STEP_LOSE_ANSWERS,
	STEP_DROP_PEERS,
	STEP_WITHDRAW_KEY,
	STEP_RESTORE_KEY,
	STEP_DRAIN,
	STEP_SLOW_PLATFORM,
	STEP_DOUBLE_PEERS,
	STEP_OPERATORS_RACE,
	STEP_FLOOD,
	STEP_REPEAT, /* callers resend writes that may have run */
	STEP_KIND_COUNT,
};

const char *const step_names[] = {
	"wait",		 "crash",	 "start",	   "pause",
	"resume",	 "freeze",	 "refuse",	   "silence",
	"heal",		 "lag",		 "leaving",	   "cut zone",
	"heal zone",	 "outage on",	 "outage off",	   "lose answers",
	"drop peers",	 "withdraw key", "restore key",	   "drain",
	"slow platform", "double peers", "operators race", "flood",
	"repeat",
};

struct Step {
	int kind;
	int a;
	int wait_ms;
};

std::ostream &operator<<(std::ostream &os, const Step &s)
{
	return os << step_names[s.kind] << " " << s.a << " then " << s.wait_ms
		  << " ms";
}

void repeat_uncertain_writes(Model &m)
{
	size_t n = m.oracle.calls.size();
	size_t first = n > 60 ? n - 60 : 0;

	for (size_t i = first; i < n; i++) {
		const Call &c = m.oracle.calls[i];

		if (c.answered && c.reply.verdict == VERDICT_MAY_HAVE_RUN &&
		    !c.request_id.empty() && c.kind == REQUEST_WRITE)
			m.write_again((int)(i % 3), (int)i, 2 * S);
	}
}

void apply(Model &m, const Step &s)
{
	switch (s.kind) {
	case STEP_CRASH:
		m.crash(s.a);
		break;
	case STEP_START:
		m.start(s.a);
		break;
	case STEP_PAUSE:
		m.pause(s.a);
		break;
	case STEP_RESUME:
		m.resume(s.a);
		break;
	case STEP_FREEZE:
		m.freeze_endpoint(s.a);
		break;
	case STEP_REFUSE:
		m.refuse_connections(s.a);
		break;
	case STEP_SILENCE:
		m.silence_connections(s.a);
		break;
	case STEP_HEAL_ENDPOINT:
		m.heal_endpoint(s.a);
		break;
	case STEP_LAG:
		m.set_lag(s.a, s.wait_ms * 5 * MS);
		break;
	case STEP_LEAVING:
		m.set_leaving(s.a, !m.endpoint(s.a).leaving);
		break;
	case STEP_CUT_ZONE:
		m.cut_zone(s.a);
		break;
	case STEP_HEAL_ZONE:
		m.heal_zone(s.a);
		break;
	case STEP_OUTAGE_ON:
		m.set_platform_outage(true);
		break;
	case STEP_OUTAGE_OFF:
		m.set_platform_outage(false);
		break;
	case STEP_LOSE_ANSWERS:
		m.lose_platform_answers(s.a + 1);
		break;
	case STEP_DROP_PEERS:
		m.drop_peer_messages(s.a * 30);
		break;
	case STEP_WITHDRAW_KEY:
		m.withdraw_key(s.a);
		break;
	case STEP_RESTORE_KEY:
		m.restore_key();
		break;
	case STEP_DRAIN:
		m.drain(s.a);
		break;
	case STEP_SLOW_PLATFORM:
		m.delay_platform(s.a * 400 * MS);
		break;
	case STEP_DOUBLE_PEERS:
		m.duplicate_peer_messages(s.a * 45);
		break;
	case STEP_OPERATORS_RACE:
		m.change_marker();
		m.change_marker();
		break;
	case STEP_FLOOD:
		m.flood(s.a, 100);
		break;
	case STEP_REPEAT:
		repeat_uncertain_writes(m);
		break;
	default:
		break;
	}
}

std::string run_steps(const std::vector<Step> &steps, uint64_t seed)
{
	ModelOpts opts;

	opts.seed = seed;
	Model m(opts);
	/* After this time shares are in use and changes are accepted. */
	m.run(8 * S);
	for (const Step &s : steps) {
		apply(m, s);
		m.run_load(s.wait_ms * MS);
	}
	m.heal_all();
	m.restore_key();
	m.run(10 * S);
	m.run_load(500 * MS);
	m.run(3 * S);
	m.check_final();
	if (!m.oracle.violations.empty())
		return m.oracle.violations.front();
	return "";
}

rc::Gen<Step> gen_step()
{
	return rc::gen::construct<Step>(rc::gen::inRange<int>(0,
							      STEP_KIND_COUNT),
					rc::gen::inRange(0, 3),
					rc::gen::inRange(10, 900));
}

RC_GTEST_PROP(CoreFuzz, GuaranteesHoldUnderFaults, ())
{
	auto steps = *rc::gen::container<std::vector<Step>>(gen_step());
	auto seed = *rc::gen::inRange<uint64_t>(1, 1000000);
	std::string violation = run_steps(steps, seed);

	if (!violation.empty())
		RC_FAIL(violation);
}

} // namespace
