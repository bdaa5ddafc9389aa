#include "fault_matrix.h"

#include <cstring>

namespace
{

constexpr int64_t MS = US_PER_MS;
constexpr int64_t S = US_PER_S;

/* Instance that the callers use; its zone is not the first primary's. */
constexpr int CALLER_NODE = 1;

constexpr int64_t LEASE_TTL_US = 2 * S;
/* After this time instances accept operators' changes. */
constexpr int64_t WARM_UP_US = 7 * S;
/* Longer than a key withdrawal, a lease and a promotion take. */
constexpr int64_t FAULT_DURATION_US = 5 * S;
constexpr int64_t RECOVERY_US = 8 * S;
constexpr int64_t DEADLINE_US = 1500 * MS;
constexpr int64_t LONG_DEADLINE_US = 8 * S;
/* Longer than the time after which a silent connection is closed. */
constexpr int64_t STALL_US = 1300 * MS;
constexpr int64_t RESET_AFTER_US = 100 * MS;
constexpr int FLOOD_REQUESTS = 40;
constexpr int64_t REQUEST_INTERVAL_US = 100 * MS;

/* Returns the target's endpoint or, if it has none, the primary. */
int get_endpoint(const Model &m, const FaultTarget &t)
{
	if (t.endpoint >= 0)
		return t.endpoint;
	return m.primary() < 0 ? 0 : m.primary();
}

/* Returns an instance other than the target. */
int get_other_node(const FaultTarget &t)
{
	return (t.node + 1) % 3;
}

void send_competing_changes(Model &m, const FaultTarget &t)
{
	m.change_marker();
	m.change_marker();
	m.withdraw_key(get_other_node(t));
	m.withdraw_key(t.node);
	m.restore_key();
}

void prepare_nothing(Model &m)
{
}

void write_order(Model &m)
{
	m.write(0, 1, true, DEADLINE_US);
	m.run(300 * MS);
}

/* Stops node 2 for longer than its lease. */
void expire_node(Model &m)
{
	m.crash(2);
	m.run(4 * LEASE_TTL_US);
}

void open_transaction(Model &m)
{
	m.transaction(CALLER_NODE, 1, true, DEADLINE_US);
	m.begin(0, 2, DEADLINE_US);
	m.run(8 * MS);
}

const std::vector<StepRow> read_steps = {
	{ "before it", true, FAIL_POINT_SENT, 0, 0 },
	{ "sent", false, FAIL_POINT_SENT, PLAN_READ, 0 },
	{ "executed", false, FAIL_POINT_EXECUTED, PLAN_READ, 0 },
	{ "result received", false, FAIL_POINT_RESULT, PLAN_READ, 0 },
	{ "answered", false, FAIL_POINT_REPLY, REQUEST_READ, 0 },
};

std::vector<StepRow> write_steps(int plan)
{
	return {
		{ "before it", true, FAIL_POINT_SENT, 0, 0 },
		{ "sent", false, FAIL_POINT_SENT, plan, 0 },
		{ "executed", false, FAIL_POINT_EXECUTED, plan, 0 },
		{ "waiting for a majority", false, FAIL_POINT_RESULT, plan, 0 },
		{ "answered", false, FAIL_POINT_REPLY, REQUEST_WRITE, 0 },
	};
}

} // namespace

const std::vector<FaultRow> fault_rows = {
	{ "primary killed",
	  [](Model &m, const FaultTarget &t) {
		  m.refuse_connections(get_endpoint(m, t));
	  } },
	{ "primary silent",
	  [](Model &m, const FaultTarget &t) {
		  m.freeze_endpoint(get_endpoint(m, t));
	  } },
	{ "primary cut off with clients",
	  [](Model &m, const FaultTarget &t) {
		  m.cut_zone(get_endpoint(m, t));
	  } },
	{ "replicas far behind",
	  [](Model &m, const FaultTarget &t) {
		  for (int i = 0; i < 3; i++)
			  m.set_lag(i, 2 * S);
	  } },
	{ "one replica far behind",
	  [](Model &m, const FaultTarget &t) {
		  m.set_lag(CALLER_NODE, 20 * S);
	  } },
	{ "instance killed",
	  [](Model &m, const FaultTarget &t) { m.crash(t.node); } },
	{ "instance killed and started",
	  [](Model &m, const FaultTarget &t) {
		  m.crash(t.node);
		  m.start(t.node);
	  } },
	{ "key withdrawn",
	  [](Model &m, const FaultTarget &t) {
		  if (!m.withdraw_key(get_other_node(t)))
			  m.withdraw_key(t.node);
	  } },
	{ "platform down",
	  [](Model &m, const FaultTarget &t) { m.set_platform_outage(true); } },
	{ "platform slow",
	  [](Model &m, const FaultTarget &t) { m.delay_platform(900 * MS); } },
	{ "platform's answers lost",
	  [](Model &m, const FaultTarget &t) { m.lose_platform_answers(3); } },
	{ "paused past its lease",
	  [](Model &m, const FaultTarget &t) { m.pause(t.node); } },
	{ "operators race", send_competing_changes },
	{ "connections silent",
	  [](Model &m, const FaultTarget &t) {
		  for (int i = 0; i < 3; i++)
			  m.silence_connections(i);
	  } },
	{ "connections stalled",
	  [](Model &m, const FaultTarget &t) {
		  for (int i = 0; i < 3; i++)
			  m.stall_connections(i, STALL_US);
	  } },
	{ "connections reset with bytes under way",
	  [](Model &m, const FaultTarget &t) {
		  for (int i = 0; i < 3; i++)
			  m.stall_connections(i, STALL_US);
		  m.run_later(RESET_AFTER_US, [&m] {
			  for (int i = 0; i < 3; i++)
				  m.reset_connections(i);
		  });
	  } },
	{ "platform out of one zone's reach",
	  [](Model &m, const FaultTarget &t) { m.cut_platform(t.node); } },
	{ "availability zone cut off",
	  [](Model &m, const FaultTarget &t) { m.cut_zone(t.node); } },
	{ "endpoint leaving",
	  [](Model &m, const FaultTarget &t) {
		  m.set_leaving(get_endpoint(m, t), true);
	  } },
	{ "instance stopping",
	  [](Model &m, const FaultTarget &t) { m.drain(t.node); } },
	{ "peer messages lost",
	  [](Model &m, const FaultTarget &t) { m.drop_peer_messages(70); } },
	{ "peer messages doubled",
	  [](Model &m, const FaultTarget &t) {
		  m.duplicate_peer_messages(100);
	  } },
};

const std::vector<PathRow> path_rows = {
	{ "strict read", write_order,
	  [](Model &m) { m.read(CALLER_NODE, 1, 0, DEADLINE_US); },
	  read_steps },
	{ "bounded read", write_order,
	  [](Model &m) { m.read(CALLER_NODE, 2, 100 * MS, DEADLINE_US); },
	  read_steps },
	{ "session read after roaming", write_order,
	  [](Model &m) { m.read(CALLER_NODE, 1, 5 * S, DEADLINE_US); },
	  read_steps },
	{ "write by id", prepare_nothing,
	  [](Model &m) { m.write(CALLER_NODE, 1, true, LONG_DEADLINE_US); },
	  write_steps(PLAN_WRITE_BY_ID) },
	{ "write at most once", prepare_nothing,
	  [](Model &m) { m.write(CALLER_NODE, 1, false, DEADLINE_US); },
	  write_steps(PLAN_WRITE) },
	{ "transaction",
	  prepare_nothing,
	  [](Model &m) { m.transaction(CALLER_NODE, 1, true, DEADLINE_US); },
	  {
		  { "before it", true, FAIL_POINT_SENT, 0, 0 },
		  { "begin sent", false, FAIL_POINT_SENT, PLAN_BEGIN, 0 },
		  { "begin executed", false, FAIL_POINT_EXECUTED, PLAN_BEGIN,
		    0 },
		  { "open", false, FAIL_POINT_REPLY, REQUEST_BEGIN, 0 },
		  { "statement sent", false, FAIL_POINT_SENT, PLAN_STATEMENT,
		    0 },
		  { "statement executed", false, FAIL_POINT_EXECUTED,
		    PLAN_STATEMENT, 0 },
		  { "between statements", false, FAIL_POINT_REPLY,
		    REQUEST_STATEMENT, 0 },
		  { "commit sent", false, FAIL_POINT_SENT, PLAN_COMMIT, 0 },
		  { "commit executed", false, FAIL_POINT_EXECUTED, PLAN_COMMIT,
		    0 },
		  { "waiting for a majority", false, FAIL_POINT_RESULT,
		    PLAN_COMMIT, 0 },
		  { "answered", false, FAIL_POINT_REPLY, REQUEST_COMMIT, 0 },
	  } },
	{ "promotion",
	  write_order,
	  [](Model &m) { m.freeze_endpoint(0); },
	  {
		  { "members asked", false, FAIL_POINT_PEER_SENT,
		    PEER_VOTE_REQUEST, 0 },
		  { "term asked for", false, FAIL_POINT_CHANGE_SENT,
		    PLATFORM_CAS_TERM, 0 },
		  { "term allocated", false, FAIL_POINT_CHANGE_DONE,
		    PLATFORM_CAS_TERM, 0 },
		  { "raise sent", false, FAIL_POINT_SENT, PLAN_RAISE_TERM, 0 },
		  { "one endpoint raised", false, FAIL_POINT_EXECUTED,
		    PLAN_RAISE_TERM, 0 },
		  { "majority raised", false, FAIL_POINT_EXECUTED,
		    PLAN_RAISE_TERM, 1 },
		  { "promotion sent", false, FAIL_POINT_SENT, PLAN_PROMOTE, 0 },
		  { "promoted", false, FAIL_POINT_EXECUTED, PLAN_PROMOTE, 0 },
		  { "outcome known", false, FAIL_POINT_RESULT, PLAN_PROMOTE, 0 },
		  { "outcome recorded", false, FAIL_POINT_CHANGE_DONE,
		    PLATFORM_CAS_TERM, 1 },
	  } },
	{ "configuration change",
	  prepare_nothing,
	  [](Model &m) { m.change_marker(); },
	  {
		  { "before it", true, FAIL_POINT_SENT, 0, 0 },
		  { "stored", false, FAIL_POINT_CHANGE_STORED, RECORD_PROFILE,
		    0 },
		  { "one instance told", false, FAIL_POINT_CHANGE_RECEIVED, -1,
		    0 },
		  { "two instances told", false, FAIL_POINT_CHANGE_RECEIVED, -1,
		    1 },
		  { "all instances told", false, FAIL_POINT_CHANGE_RECEIVED, -1,
		    2 },
	  } },
	{ "share taken over",
	  expire_node,
	  [](Model &m) { m.start(2); },
	  {
		  { "before it", true, FAIL_POINT_SENT, 0, 0 },
		  { "change sent", false, FAIL_POINT_CHANGE_SENT,
		    PLATFORM_CAS_SHARE, 0 },
		  { "change done", false, FAIL_POINT_CHANGE_DONE,
		    PLATFORM_CAS_SHARE, 0 },
		  { "second change done", false, FAIL_POINT_CHANGE_DONE,
		    PLATFORM_CAS_SHARE, 1 },
		  { "told", false, FAIL_POINT_CHANGE_RECEIVED, -1, 0 },
	  } },
	{ "loan",
	  prepare_nothing,
	  [](Model &m) { m.flood(CALLER_NODE, 60); },
	  {
		  { "before it", true, FAIL_POINT_SENT, 0, 0 },
		  { "asked for", false, FAIL_POINT_PEER_SENT, PEER_LOAN_REQUEST,
		    0 },
		  { "asked of two", false, FAIL_POINT_PEER_SENT,
		    PEER_LOAN_REQUEST, 1 },
		  { "granted", false, FAIL_POINT_PEER_SENT, PEER_LOAN_GRANT, 0 },
		  { "granted by two", false, FAIL_POINT_PEER_SENT,
		    PEER_LOAN_GRANT, 1 },
	  } },
	{ "key withdrawal",
	  open_transaction,
	  [](Model &m) { m.withdraw_key(CALLER_NODE); },
	  {
		  { "before it", true, FAIL_POINT_SENT, 0, 0 },
		  { "stored", false, FAIL_POINT_CHANGE_STORED, RECORD_KEY, 0 },
		  { "one instance told", false, FAIL_POINT_CHANGE_RECEIVED, -1,
		    0 },
		  { "two instances told", false, FAIL_POINT_CHANGE_RECEIVED, -1,
		    1 },
		  { "all instances told", false, FAIL_POINT_CHANGE_RECEIVED, -1,
		    2 },
	  } },
	{ "drain",
	  open_transaction,
	  [](Model &m) {
		  m.write(CALLER_NODE, 1, true, DEADLINE_US);
		  m.drain(CALLER_NODE);
	  },
	  {
		  { "before it", true, FAIL_POINT_SENT, 0, 0 },
		  { "request executed", false, FAIL_POINT_EXECUTED,
		    PLAN_WRITE_BY_ID, 0 },
		  { "transaction under way", false, FAIL_POINT_SENT,
		    PLAN_COMMIT, 0 },
		  { "share given back", false, FAIL_POINT_CHANGE_DONE,
		    PLATFORM_CAS_SHARE, 0 },
		  { "done", false, FAIL_POINT_DRAINED, -1, 0 },
	  } },
};

const std::vector<ExcludedCell> excluded_cells = {};

const std::vector<PairRow> pair_rows = {
	{ "primary killed", "platform down", 20 * MS },
	{ "primary killed", "primary killed", 1500 * MS },
	{ "primary cut off with clients", "instance killed", 50 * MS },
	{ "availability zone cut off", "key withdrawn", 0 },
	{ "platform down", "instance killed and started", 500 * MS },
	{ "paused past its lease", "primary silent", 100 * MS },
	{ "platform's answers lost", "primary silent", 0 },
	{ "instance stopping", "primary killed", 10 * MS },
	{ "endpoint leaving", "primary silent", 1200 * MS },
	{ "connections silent", "connections silent", 1500 * MS },
	{ "peer messages doubled", "primary silent", 0 },
	{ "platform slow", "key withdrawn", 0 },
	{ "platform out of one zone's reach", "key withdrawn", 0 },
};

const char *find_exclusion(const FaultRow &f, const PathRow &p)
{
	for (const ExcludedCell &n : excluded_cells) {
		if (!strcmp(n.fault, f.name) &&
		    (!n.path[0] || !strcmp(n.path, p.name)))
			return n.reason;
	}
	return nullptr;
}

const FaultRow &find_fault(const std::string &name)
{
	for (const FaultRow &f : fault_rows) {
		if (f.name == name)
			return f;
	}
	abort();
}

/* Injects the fault or both faults of a cell. */
static void inject_faults(Model &m, const FaultRow &first,
			  const FaultRow *second, int64_t delay_us,
			  const FaultTarget &t)
{
	first.apply(m, t);
	if (second)
		m.run_later(delay_us, [&m, second, t] { second->apply(m, t); });
}

std::string run_cell(const PathRow &path, const StepRow &step,
		     const FaultRow &first, const FaultRow *second,
		     int64_t delay_us, uint64_t seed)
{
	ModelOpts opts;
	bool reached = step.before;
	int skip = step.skip;

	opts.seed = seed;
	opts.lease_ttl_us = LEASE_TTL_US;
	Model m(opts);
	m.run(WARM_UP_US);
	path.prepare(m);
	if (step.before)
		inject_faults(m, first, second, delay_us, { CALLER_NODE, -1 });
	else
		m.on_fail_point(
			[&](const FailPoint &point) {
				return point.kind == step.kind &&
				       (step.detail < 0 ||
					step.detail == point.detail) &&
				       skip-- == 0;
			},
			[&](const FailPoint &point) {
				reached = true;
				inject_faults(m, first, second, delay_us,
					      { point.node < 0 ? CALLER_NODE :
								 point.node,
						point.endpoint });
			});
	path.run(m);
	m.run_load(FAULT_DURATION_US, REQUEST_INTERVAL_US);
	/* A paused instance handles these requests when it resumes. */
	for (int i = 0; i < 3; i++)
		m.flood(i, FLOOD_REQUESTS);
	m.heal_all();
	m.restore_key();
	m.run(RECOVERY_US);
	m.run_load(200 * MS);
	m.run(2 * S);
	m.check_final();
	if (!reached)
		return "the step was not reached";
	return m.oracle.violations.empty() ? "" : m.oracle.violations.front();
}
