#include "proxy_model.h"

#include <gtest/gtest.h>

extern "C" {
#include "proxy/session.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;
constexpr int64_t START_US = 3 * S;

ProxyModelOpts make_one_node_opts()
{
	ProxyModelOpts o;

	o.nodes = 1;
	o.conns_max = 4;
	o.unlimited = true;
	o.relay = false;
	o.log = getenv("PROXY_LOG") != nullptr;
	return o;
}

void set_copies(ProxyModel &m, unsigned kinds, int64_t delay_us)
{
	for (auto &e : m.endpoints)
		e->stutter = { 100, kinds, delay_us, delay_us, 0 };
}

void print_violations(const ProxyModel &m)
{
	for (auto &v : m.violations)
		ADD_FAILURE() << v;
}

/* Sends at once: run_statement() first waits 100 ms for an earlier answer. */
ProxyAnswer run_now(ProxyModel &m, ProxyCaller *c, const std::string &text)
{
	if (!c->started)
		m.wait_for_answer(c, 5 * S);
	m.send_statement(c, text);
	return m.wait_for_answer(c, 20 * S);
}

} // namespace

/*
 * Guards against the answer of an earlier statement when more than 128 others
 * come between an answer and its copy, as with short reads.
 */
TEST(ProxyCopies, LateCopyAfterManyShortReadsIsDropped)
{
	ProxyModelOpts o = make_one_node_opts();
	o.statement_duration_us = 8 * MS;
	ProxyModel m(o);

	m.run(START_US);
	ProxyCaller *c = m.connect(0, "bounded", "key-a");
	run_now(m, c, "READ 1");
	set_copies(m, REPLIES_SIGNED, 1400 * MS);
	for (int i = 0; i < 4000; i++)
		run_now(m, c, "READ 1");
	EXPECT_GT(m.copies_sent, 100u);
	print_violations(m);
}

/*
 * Guards against a position that counts as newer than it is: the copy of a
 * BEGIN's answer is taken for that to the next BEGIN, and the signed answer of
 * the transaction's first write seals it.
 */
TEST(ProxyCopies, LateCopyOfABeginGivesNoMark)
{
	ProxyModelOpts o = make_one_node_opts();
	ProxyModel m(o);

	m.run(START_US);
	ProxyCaller *writer = m.connect(0, "strict", "key-a");
	ProxyCaller *reader = m.connect(0, "bounded", "key-a");
	run_now(m, reader, "READ 1");
	for (auto &e : m.endpoints)
		e->lag_us = 2000 * MS;
	set_copies(m, REPLIES_OWN, 999500);
	for (int i = 0; i < 12; i++) {
		int64_t next_us = m.now() + 1 * S;

		run_now(m, writer, "BEGIN");
		run_now(m, writer, "WRITE 1 x");
		run_now(m, writer, "COMMIT");
		while (m.now() < next_us - 30 * MS) {
			run_now(m, reader, "READ 1");
			m.run(7 * MS);
		}
		m.run(next_us - m.now());
	}
	EXPECT_GT(m.copies_sent, 5u);
	print_violations(m);
}

/*
 * Guards against a read that runs outside of its transaction: the copy of an
 * earlier BEGIN's answer hides that the BEGIN is refused. The refusal is taken
 * for the read's answer, and the read's answer for that of the next caller.
 */
TEST(ProxyCopies, LateCopyOfABeginDoesNotHideItsRefusal)
{
	ProxyModelOpts o = make_one_node_opts();
	o.statement_duration_us = 150 * MS;
	o.endpoints_per_service = 2;
	ProxyModel m(o);

	m.run(START_US);
	ProxyEndpoint *replica = m.replica(0);
	ProxyCaller *a = m.connect(0, "bounded", "key-a");
	ProxyCaller *b = m.connect(0, "bounded", "key-a");
	ProxyCaller *w = m.connect(0, "session", "key-a");
	run_now(m, a, "READ 1");
	run_now(m, b, "READ 1");
	run_now(m, w, "READ 1");
	m.run(2 * S);
	int64_t begin_us = m.now();
	/* Its copy comes after the refused BEGIN is sent, before its answer. */
	replica->stutter = { 100, REPLIES_OWN, 699500, 699500, 0 };
	run_now(m, a, "BEGIN READ");
	m.send_statement(a, "READ 1");
	m.run(10 * MS);
	replica->stutter = {};
	m.wait_for_answer(a, 5 * S);
	run_now(m, a, "COMMIT");
	replica->lag_us = 5 * S;
	run_now(m, w, "WRITE 1 x");
	m.run(begin_us + 700 * MS - m.now());
	run_now(m, w, "BEGIN READ");
	m.send_statement(w, "READ 2");
	m.run(110 * MS);
	run_now(m, b, "READ 3");
	m.wait_for_answer(w, 5 * S);
	EXPECT_GT(m.copies_sent, 0u);
	print_violations(m);
}

/*
 * Guards against memory that grows with the number of sessions although only
 * one of them reads large rows: buffers that grew are handed around.
 */
TEST(ProxyCopies, LargeRowsOfOneSessionStayWithIt)
{
	ProxyModelOpts o = make_one_node_opts();
	ProxyModel m(o);
	std::vector<ProxyCaller *> callers;
	size_t kept = 0;

	m.run(START_US);
	ProxyCaller *large = m.connect(0, "bounded", "key-a");
	for (int i = 0; i < 100; i++)
		callers.push_back(m.connect(0, "bounded", "key-a"));
	for (ProxyCaller *c : callers) {
		m.row_end = std::string(500000, 'x');
		run_now(m, large, "READ 1");
		m.row_end = "";
		run_now(m, c, "READ 1");
	}
	for (ProxyCaller *c : callers)
		kept += c->session->op.rows->allocated_len;
	EXPECT_LT(kept, 1000000u);
	print_violations(m);
}

/*
 * Guards against a read of a strict route at an endpoint that has lost the
 * lead: the copy of an earlier BEGIN's answer hides that the BEGIN is refused,
 * so the read runs outside of a transaction, on the log of a replica.
 */
TEST(ProxyCopies, LateCopyOfABeginDoesNotHideALostLead)
{
	ProxyModelOpts o = make_one_node_opts();
	ProxyModel m(o);

	m.run(START_US);
	ProxyEndpoint *old = m.primary();
	ProxyCaller *reader = m.connect(0, "strict", "key-a");
	run_now(m, reader, "READ 1");
	m.run(20 * MS); /* so that its connection is used again */
	int64_t begin_us = m.now();
	/* The copy comes after the next BEGIN is sent, before its answer. */
	old->stutter = { 100, REPLIES_OWN, 119500, 119500, 0 };
	m.send_statement(reader, "READ 1");
	m.run(800);
	old->stutter = {};
	m.wait_for_answer(reader, 5 * S);
	/* The instance does not learn of it yet. */
	m.nodes[0]->cut_from_store = true;
	old->primary = false;
	m.run(begin_us + 120 * MS - m.now());
	int ran = m.executed_at[old->id];
	m.send_statement(reader, "READ 2");
	m.run(200 * MS);
	EXPECT_GT(m.copies_sent, 0u);
	EXPECT_EQ(ran, m.executed_at[old->id]);
	print_violations(m);
}
