#include "proxy_model.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;

struct BusyCaller {
	ProxyCaller *caller = nullptr;
	int left = 0; /* statements of its transaction */
	bool in_transaction = false;
	bool reads_only = false;
	int64_t rest_until_us = 0;
};

int below(ProxyModel &m, int n)
{
	return (int)(m.rand() % (uint64_t)n);
}

bool has_answer(const ProxyCaller &c)
{
	return c.closed ||
	       (!c.lines.empty() && c.lines.back().compare(0, 5, "READY") == 0);
}

std::string choose(ProxyModel &m, BusyCaller &b)
{
	if (b.in_transaction) {
		if (b.left-- > 0)
			return b.reads_only || below(m, 2) ? "READ 1" :
							     "WRITE 1 x";
		b.in_transaction = false;
		return below(m, 4) ? "COMMIT" : "ROLLBACK";
	}
	switch (below(m, 10)) {
	case 0:
	case 1:
		b.in_transaction = true;
		b.reads_only = below(m, 2);
		b.left = below(m, 4);
		return b.reads_only ? "BEGIN READ" : "BEGIN";
	case 2:
		return "SET a " + std::to_string(below(m, 3));
	case 3:
	case 4:
		return "WRITE 1 x";
	default:
		return "READ 1";
	}
}

void run_seed(uint64_t seed)
{
	ProxyModelOpts o;
	o.seed = seed;
	o.nodes = 1 + (int)(seed % 2);
	o.relay = seed % 3 == 0;
	o.conns_max = 4 + 4 * (seed % 4);
	o.unlimited = true;
	ProxyModel m(o);
	std::vector<BusyCaller> busy(2 + seed % 7);
	static const char *const databases[] = { "strict", "bounded",
						 "session" };
	static const int64_t delays_us[] = { 1 * MS, 5 * MS, 40 * MS,
					     900 * MS };

	m.run(3 * S);
	for (auto &e : m.endpoints) {
		e->stutter = { 1 + below(m, 100),
			       1u + (unsigned)below(m, REPLIES_ALL), 0,
			       delays_us[below(m, 4)],
			       below(m, 3) ? 0 : 1 * MS };
		e->busy_percent = below(m, 3) ? 0 : below(m, 20);
		e->failed_read_percent = below(m, 3) ? 0 : below(m, 20);
		e->hung_read_percent = below(m, 4) ? 0 : 2;
	}
	int64_t end = m.now() + 12 * S;
	while (m.now() < end && m.violations.empty()) {
		for (auto &e : m.endpoints) {
			if (!below(m, 400))
				e->lag_us = below(m, 2500) * MS;
		}
		for (auto &b : busy) {
			if (!b.caller || b.caller->closed || !below(m, 300)) {
				if (b.caller)
					m.disconnect(b.caller);
				b = {};
				b.caller = m.connect(below(m, o.nodes),
						     databases[below(m, 3)],
						     below(m, 3) ? "key-a" :
								   "key-b");
				continue;
			}
			if (!has_answer(*b.caller) || m.now() < b.rest_until_us)
				continue;
			ProxyAnswer a = m.wait_for_answer(b.caller, 0);
			if (a.closed)
				continue;
			if (a.state == 'E') {
				b.in_transaction = false;
				m.send_statement(b.caller, "ROLLBACK");
				continue;
			}
			if (a.state == 'I')
				b.in_transaction = false;
			m.send_statement(b.caller, choose(m, b));
			if (!below(m, 20))
				b.rest_until_us = m.now() + below(m, 100) * MS;
		}
		m.run(below(m, 3) ? 200 : 1);
	}
	if (getenv("PROXY_PRINT"))
		printf("seed %d: ran %d, copies %d, closed %d, ok %d\n",
		       (int)seed, (int)m.executed_count, (int)m.copies_sent,
		       (int)m.conns_closed, m.answers["ok"]);
	for (auto &v : m.violations) {
		ADD_FAILURE() << "seed " << seed << ": " << v;
		break;
	}
}

} // namespace

/* Guards against copies that are believed while connections are never idle. */
TEST(ProxyCopiesFuzz, BusyConnectionsGetNoWrongAnswers)
{
	const char *first = getenv("PROXY_SEED");
	const char *count = getenv("PROXY_SEEDS");
	uint64_t begin = first ? strtoull(first, nullptr, 10) : 1;
	uint64_t n = count ? strtoull(count, nullptr, 10) : 12;

	for (uint64_t seed = begin; seed < begin + n; seed++)
		run_seed(seed);
}
