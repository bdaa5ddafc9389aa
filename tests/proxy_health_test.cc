#include "proxy_model.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;
constexpr int64_t START_US = 3 * S;
/* As in the model's routes. */
constexpr int64_t AIM_US = 400 * MS;

/* What callers met. */
struct Outcome {
	int served = 0;
	int late = 0; /* served after the aim */
	int failed = 0;
	int64_t longest_us = 0;
};

/* Callers that each send one statement after another. */
class Load
{
      public:
	Load(ProxyModel &m, const char *database, int callers,
	     const std::string &text = "READ 1", const char *key = "key-a")
	    : m_(m), text_(text)
	{
		for (int i = 0; i < callers; i++) {
			ProxyCaller *c =
				m.connect(i % m.opts.nodes, database, key);

			m.wait_for_answer(c, 1 * S);
			callers_.push_back(c);
			next_us_.push_back(m.now() + i * 7 * MS);
		}
	}

	/* Each caller sends 25 statements a second, if they are answered. */
	Outcome run(int64_t duration_us)
	{
		int64_t end_us = m_.now() + duration_us;
		Outcome out;

		while (m_.now() < end_us) {
			m_.run(2 * MS);
			for (size_t i = 0; i < callers_.size(); i++)
				step(i, &out);
		}
		return out;
	}

      private:
	void step(size_t i, Outcome *out)
	{
		ProxyCaller *c = callers_[i];

		if (!c->statement_id.empty()) {
			if (c->lines.empty() ||
			    c->lines.back().rfind("READY", 0) != 0)
				return;
			ProxyAnswer a = m_.wait_for_answer(c, 0);

			out->served += a.ok;
			out->failed += !a.ok;
			out->late += a.ok && a.took_us > AIM_US;
			out->longest_us = std::max(out->longest_us, a.took_us);
			next_us_[i] = std::max(m_.now(), next_us_[i]);
		}
		if (m_.now() < next_us_[i])
			return;
		next_us_[i] += 40 * MS;
		m_.send_statement(c, text_);
	}

	ProxyModel &m_;
	std::string text_;
	std::vector<ProxyCaller *> callers_;
	std::vector<int64_t> next_us_;
};

ProxyModelOpts make_opts()
{
	ProxyModelOpts o;

	o.nodes = 2;
	o.unlimited = true;
	o.log = getenv("PROXY_LOG") != nullptr;
	return o;
}

int64_t get_metric(const ProxyModel &m, const char *name, const char *label)
{
	int64_t sum = 0;

	for (auto &n : m.nodes)
		sum += metrics_get(n->metrics, name, label);
	return sum;
}

uint64_t count_reads(const ProxyModel &m)
{
	uint64_t n = 0;

	for (auto &e : m.endpoints)
		n += e->reads;
	return n;
}

void print(const char *name, const Outcome &o)
{
	printf("%s: served %d, late %d, failed %d, longest %lld ms\n", name,
	       o.served, o.late, o.failed, (long long)(o.longest_us / MS));
}

void expect_no_violations(ProxyModel &m)
{
	for (const std::string &v : m.violations)
		ADD_FAILURE() << v;
}

struct HangCase {
	const char *database;
	bool primary;
	int percent;
};

const HangCase hang_cases[] = {
	{ "bounded", false, 20 },
	{ "bounded", false, 100 },
	{ "session", false, 20 },
	/* All reads need the primary: another connection to it. */
	{ "strict", true, 5 },
};

/* A read that an endpoint never answers is served by another in time. */
TEST(ProxyHealth, ReadsThatHangAreServedWithinTheirAim)
{
	for (const HangCase &k : hang_cases) {
		ProxyModel m(make_opts());

		SCOPED_TRACE(k.database);
		m.run(START_US);
		Load load(m, k.database, 8);
		load.run(2 * S);
		ProxyEndpoint *e = k.primary ? m.primary() : m.replica(0);
		e->hung_read_percent = k.percent;
		Outcome o = load.run(6 * S);
		print(k.database, o);
		EXPECT_GE(o.served, 1000);
		EXPECT_EQ(0, o.failed);
		EXPECT_EQ(0, o.late);
		e->hung_read_percent = 0;
		m.run(2 * S);
		EXPECT_EQ(0u, m.promotions);
		expect_no_violations(m);
	}
}

/* New connections to an endpoint that never answers their start. */
TEST(ProxyHealth, StatementsDoNotWaitForAConnectionThatDoesNotStart)
{
	ProxyModel m(make_opts());

	m.run(START_US);
	Load load(m, "bounded", 8);
	load.run(2 * S);
	m.replica(0)->hung_starts = true;
	m.replica(1)->hung_starts = true;
	m.run(1 * S);
	Load other(m, "bounded", 4, "READ 1", "key-b");
	Outcome o = other.run(3 * S);
	print("start", o);
	EXPECT_EQ(0, o.failed);
	EXPECT_EQ(0, o.late);
	expect_no_violations(m);
}

struct BadCase {
	const char *name;
	int slow_factor;
	int failed_percent;
	int hung_percent;
	int reads_percent; /* the most that it may still get */
};

const BadCase bad_cases[] = {
	{ "fails", 1, 50, 0, 8 },
	{ "hangs", 1, 0, 50, 8 },
	{ "slow", 8, 0, 0, 12 },
};

/* An endpoint that serves badly gets few reads, and all again once it is well. */
TEST(ProxyHealth, EndpointThatServesBadlyGetsFewReads)
{
	for (const BadCase &k : bad_cases) {
		ProxyModel m(make_opts());

		SCOPED_TRACE(k.name);
		m.run(START_US);
		Load load(m, "bounded", 12);
		load.run(2 * S);
		ProxyEndpoint *e = m.replica(0);
		e->slow_factor = k.slow_factor;
		e->failed_read_percent = k.failed_percent;
		e->hung_read_percent = k.hung_percent;
		Outcome first = load.run(2 * S);
		print(k.name, first);
		EXPECT_EQ(0, first.failed);
		EXPECT_EQ(0, first.late);
		uint64_t before = e->reads;
		uint64_t all_before = count_reads(m);
		Outcome o = load.run(6 * S);
		print(k.name, o);
		uint64_t all = count_reads(m) - all_before;
		printf("%s: %llu of %llu reads\n", k.name,
		       (unsigned long long)(e->reads - before),
		       (unsigned long long)all);
		EXPECT_LE((e->reads - before) * 100,
			  all * (uint64_t)k.reads_percent);
		EXPECT_EQ(0, o.failed);
		e->slow_factor = 1;
		e->failed_read_percent = 0;
		e->hung_read_percent = 0;
		load.run(12 * S);
		for (auto &n : m.nodes)
			EXPECT_EQ(1000, metrics_get(n->metrics,
						    "endpoint_weight_milli",
						    e->id.c_str()));
		expect_no_violations(m);
	}
}

/* Compared with one another none is worse, and hedges stay few. */
TEST(ProxyHealth, AllSlowAtOnceCondemnsNone)
{
	ProxyModelOpts o = make_opts();

	o.slots = 16;
	ProxyModel m(o);
	m.run(START_US);
	Load load(m, "bounded", 8);
	load.run(2 * S);
	for (auto &e : m.endpoints)
		e->slow_factor = 15;
	uint64_t before = count_reads(m);
	for (int i = 0; i < 24; i++) {
		load.run(250 * MS);
		for (auto &n : m.nodes) {
			for (auto &e : m.endpoints)
				EXPECT_EQ(1000,
					  metrics_get(n->metrics,
						      "endpoint_weight_milli",
						      e->id.c_str()));
		}
	}
	uint64_t reads = count_reads(m) - before;
	int64_t hedged = get_metric(m, "hedged_statements_total", "svc0");
	printf("%lld of %llu reads hedged\n", (long long)hedged,
	       (unsigned long long)reads);
	/* One in twenty, also of those before, which two instances saved. */
	EXPECT_LE(hedged, (int64_t)count_reads(m) / 20);
	expect_no_violations(m);
}

struct FreshCase {
	int nodes;
	int primary_slow_factor;
	int callers;
	int served; /* at least */
};

const FreshCase fresh_cases[] = {
	{ 2, 1, 8, 1500 },
	/* The primary alone has not the room for all. */
	{ 1, 8, 16, 1500 },
};

/* The other replica lacks the data: the primary serves, and what it can't. */
void run_fresh_case(const FreshCase &k)
{
	ProxyModelOpts opts = make_opts();

	opts.nodes = k.nodes;
	ProxyModel m(opts);
	m.run(START_US);
	Load writes(m, "bounded", 1, "WRITE 1 x");
	Load load(m, "bounded", k.callers);
	writes.run(1 * S);
	load.run(1 * S);
	m.replica(1)->lag_us = 60 * S;
	m.replica(0)->failed_read_percent = 50;
	m.primary()->slow_factor = k.primary_slow_factor;
	Outcome sum;
	for (int i = 0; i < 60; i++) {
		writes.run(50 * MS);
		Outcome o = load.run(100 * MS);

		sum.served += o.served;
		sum.late += o.late;
		sum.failed += o.failed;
		sum.longest_us = std::max(sum.longest_us, o.longest_us);
	}
	print("only fresh", sum);
	EXPECT_GE(sum.served, k.served);
	EXPECT_EQ(0, sum.late);
	expect_no_violations(m);
}

TEST(ProxyHealth, OnlyFreshReplicaFails)
{
	for (const FreshCase &k : fresh_cases) {
		SCOPED_TRACE(k.nodes);
		run_fresh_case(k);
	}
}

/* Up and down every 1.5 s: it is not given its whole work at each return. */
TEST(ProxyHealth, FlappingEndpointStaysOnTrial)
{
	ProxyModel m(make_opts());
	uint64_t reads = 0;
	uint64_t all = 0;

	m.run(START_US);
	Load load(m, "bounded", 12);
	load.run(2 * S);
	ProxyEndpoint *e = m.replica(0);
	for (int i = 0; i < 12; i++) {
		uint64_t before = e->reads;
		uint64_t all_before = count_reads(m);

		e->failed_read_percent = 100;
		load.run(750 * MS);
		e->failed_read_percent = 0;
		load.run(750 * MS);
		if (i < 2)
			continue;
		reads += e->reads - before;
		all += count_reads(m) - all_before;
	}
	printf("%llu of %llu reads\n", (unsigned long long)reads,
	       (unsigned long long)all);
	EXPECT_LE(reads * 100, all * 8);
	EXPECT_GE(reads, 1u);
	expect_no_violations(m);
}

/* Another process under the id of an endpoint that failed begins anew. */
TEST(ProxyHealth, RestartedEndpointBeginsWithFreshFigures)
{
	ProxyModel m(make_opts());

	m.run(START_US);
	Load load(m, "bounded", 12);
	load.run(2 * S);
	ProxyEndpoint *e = m.replica(0);
	e->failed_read_percent = 100;
	load.run(3 * S);
	for (auto &n : m.nodes)
		EXPECT_GT(500, metrics_get(n->metrics, "endpoint_weight_milli",
					   e->id.c_str()));
	e->failed_read_percent = 0;
	m.restart(e, 300 * MS);
	load.run(1 * S);
	for (auto &n : m.nodes)
		EXPECT_EQ(1000, metrics_get(n->metrics, "endpoint_weight_milli",
					    e->id.c_str()));
	expect_no_violations(m);
}

/* The primary is kept out of reads, never of what only it can do. */
TEST(ProxyHealth, PrimaryThatFailsReadsStillGetsWrites)
{
	ProxyModel m(make_opts());

	m.run(START_US);
	m.primary()->failed_read_percent = 60;
	m.primary()->hung_read_percent = 20;
	Load strict(m, "strict", 6);
	Load writes(m, "strict", 4, "WRITE 1 x");
	strict.run(3 * S);
	Outcome o = writes.run(3 * S);
	print("writes", o);
	EXPECT_GE(o.served, 150);
	EXPECT_EQ(0, o.failed);
	expect_no_violations(m);
}

struct StayCase {
	const char *name;
	std::vector<const char *> before; /* in the same session */
	const char *text; /* slow at the primary, or it hangs there */
	int slow_factor;
	int hung_read_percent;
	const char *code; /* "": it succeeds */
};

const StayCase stay_cases[] = {
	{ "write", {}, "WRITE 1 x", 40, 0, "" },
	{ "write in a transaction", { "BEGIN" }, "WRITE 1 x", 40, 0, "" },
	{ "commit", { "BEGIN", "WRITE 1 x" }, "COMMIT", 40, 0, "" },
	{ "read in a transaction",
	  { "BEGIN", "WRITE 1 x" },
	  "READ 1",
	  1,
	  100,
	  "ABORTED" },
};

/* A write, and all that belongs to a transaction, is sent once. */
TEST(ProxyHealth, WritesAndTransactionsAreNotSentTwice)
{
	for (const StayCase &k : stay_cases) {
		ProxyModel m(make_opts());

		SCOPED_TRACE(k.name);
		m.run(START_US);
		Load load(m, "strict", 4);
		load.run(2 * S);
		m.run(1 * S);
		ProxyCaller *c = m.connect(0, "strict", "key-a");
		for (const char *text : k.before)
			EXPECT_TRUE(m.run_statement(c, text).ok);
		for (auto &e : m.endpoints) {
			e->slow_factor = k.slow_factor;
			e->hung_read_percent = k.hung_read_percent;
		}
		ProxyAnswer a = m.run_statement(c, k.text);
		EXPECT_EQ(k.code, a.code);
		EXPECT_GT(a.took_us, 300 * MS);
		EXPECT_EQ(0, get_metric(m, "hedged_statements_total", "svc0"));
		m.run(2 * S);
		expect_no_violations(m);
	}
}

} // namespace
