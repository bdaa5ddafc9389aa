/*
 * Faults of a fleet of real processes. Each case sends orders before, during
 * and after the fault and then compares the primary's rows with the answers:
 * an order must not be executed twice, a confirmed order must not be lost, and
 * a refused order must not be executed.
 */
#include "process_fleet.h"

#include <chrono>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

extern "C" {
#include "core/error.h"
}

namespace
{

enum {
	ORDERS_PER_INSTANCE = 3, /* in each call of place_orders() */
	READ_COUNT = 30,
	REPEAT_COUNT = 10,
	SLOW_SERVICE_US = 300 * 1000,
	FAR_BEHIND_LAG_MS = 3600 * 1000,
	STOCK_MAX_AGE_US = 1000 * 1000,
	KEY_GRACE_MS = 2500,
	OUTAGE_MS = 3 * KEY_GRACE_MS,
};

struct FaultCase {
	const char *name;
	/* Starts the fault and checks what must hold during it. */
	void (*inject)(ProcessFleet *f);
	/* Ends the fault; null if there is nothing to end. */
	void (*heal)(ProcessFleet *f);
	/* Index of the first instance that serves after the fault. */
	uint32_t first_serving;
};

void PrintTo(const FaultCase &c, std::ostream *out)
{
	*out << c.name;
}

/* Places orders at the instances from `first` on; all must succeed. */
void place_orders(ProcessFleet *f, uint32_t first)
{
	for (uint32_t i = first; i < f->instances.size(); i++) {
		for (int k = 0; k < ORDERS_PER_INSTANCE; k++) {
			CallerReply r = f->place_order(i, 20000);

			EXPECT_EQ("ran", r.verdict()) << i << " " << r.body;
		}
	}
}

/* Begins a transaction and executes one order in it. */
CallerReply begin_transaction_with_order(HttpCaller *c, const std::string &id)
{
	CallerReply begun = c->post("/v1/groups/orders/transactions", "");
	CallerReply r;

	EXPECT_EQ("ran", begun.verdict()) << begun.body;
	r = c->post("/v1/groups/orders/transactions/" +
			    begun.json_field("transaction") + "/statements",
		    statement_body("UPDATE orders SET qty = qty + 1 "
				   "WHERE id = $1",
				   "[\"" + id + "\"]"));
	EXPECT_EQ("ran", r.verdict()) << r.body;
	return r;
}

void kill_in_transaction(ProcessFleet *f)
{
	static const char id[] = "o-119";
	auto c = f->new_caller(0);
	CallerReply rolled_back;

	begin_transaction_with_order(c.get(), id);
	f->instances[0]->kill_and_wait();
	rolled_back.body = "{\"verdict\":\"not_run\"}";
	f->orders.record_answer(id, rolled_back);
	place_orders(f, 1);
	/* The transaction's row lock is released. */
	auto other = f->new_caller(1);
	EXPECT_TRUE(wait_until([&] {
		return other->post("/v1/groups/orders/write",
				   statement_body("UPDATE orders SET item = 0 "
						  "WHERE id = $1",
						  "[\"o-119\"]"))
			       .verdict() == "ran";
	}));
}

void pause_instance(ProcessFleet *f)
{
	ProcessFleet::PendingOrder pending;

	f->instances[0]->send_signal(SIGSTOP);
	pending = f->start_order(0);
	place_orders(f, 1);
	f->instances[0]->send_signal(SIGCONT);
	f->wait_for_order(pending);
}

void freeze_primary(ProcessFleet *f)
{
	f->endpoints[0]->control.send_command("freeze");
	place_orders(f, 0);
	EXPECT_NE(0u, f->find_primary());
}

void resume_primary(ProcessFleet *f)
{
	f->endpoints[0]->control.send_command("resume");
}

void cut_primary_from_clients(ProcessFleet *f)
{
	f->endpoints[0]->control.send_command("cut clients");
	place_orders(f, 0);
	EXPECT_NE(0u, f->find_primary());
}

void reconnect_primary(ProcessFleet *f)
{
	f->endpoints[0]->control.send_command("heal clients");
}

void silence_connections(ProcessFleet *f)
{
	f->endpoints[0]->control.send_command("silent");
	place_orders(f, 0);
	EXPECT_EQ(0u, f->find_primary()) << "a healthy primary was replaced";
}

void send_to_endpoints(ProcessFleet *f, const char *command)
{
	for (auto &e : f->endpoints)
		e->control.send_command(command);
}

CallerReply read_order(HttpCaller *c, const char *id)
{
	return c->post("/v1/groups/orders/read",
		       statement_body("SELECT id FROM orders WHERE id = $1",
				      "[\"" + std::string(id) + "\"]"));
}

/*
 * Every connection gets what it got during the first request once more. A
 * request whose connection is closed for it may be told as unknown; none may
 * get the answer to another.
 */
void repeat_answers(ProcessFleet *f)
{
	auto c = f->new_caller(0);
	int ran = 0;
	auto check = [&](const CallerReply &r, const char *answer) {
		if (r.verdict() != "ran") {
			EXPECT_EQ(ERR_CONNECTION_LOST, r.error) << r.body;
			EXPECT_EQ("may_have_run", r.verdict()) << r.body;
			return;
		}
		EXPECT_NE(std::string::npos, r.body.find(answer)) << r.body;
		ran++;
	};

	for (int k = 0; k < REPEAT_COUNT; k++) {
		send_to_endpoints(f, "record");
		check(read_order(c.get(), "o-118"), "[[\"o-118\"]]");
		send_to_endpoints(f, "repeat");
		check(read_order(c.get(), "o-119"), "[[\"o-119\"]]");
		send_to_endpoints(f, "record");
		check(f->place_order(0, 20000), "\"UPDATE\"");
		send_to_endpoints(f, "repeat");
		check(f->place_order(0, 20000), "\"UPDATE\"");
	}
	EXPECT_GE(ran, 2 * REPEAT_COUNT);
	EXPECT_EQ(0u, f->find_primary()) << "a healthy primary was replaced";
}

void delay_replica(ProcessFleet *f)
{
	f->endpoints[2]->control.send_command(
		"lag " + std::to_string(FAR_BEHIND_LAG_MS));
	place_orders(f, 0);
	for (int k = 0; k < READ_COUNT; k++) {
		CallerReply r = f->read_orders(0, "stock");

		if (r.error) {
			EXPECT_EQ("not_run", r.verdict()) << r.body;
			continue;
		}
		EXPECT_EQ("ran", r.verdict()) << r.body;
		EXPECT_LE(r.json_integer("age_us"), STOCK_MAX_AGE_US);
	}
	/*
	 * Once its data is older than the profile's maximum age, the replica
	 * serves no reads.
	 */
	EXPECT_TRUE(wait_until([&] {
		f->place_order(0);
		std::this_thread::sleep_for(std::chrono::milliseconds(400));
		return f->read_orders(0, "stock").json_field("endpoint") !=
			       "orders-2" &&
		       f->read_orders(0, "stock").json_field("endpoint") !=
			       "orders-2" &&
		       f->read_orders(1, "stock").json_field("endpoint") !=
			       "orders-2" &&
		       f->read_orders(1, "stock").json_field("endpoint") !=
			       "orders-2";
	}));
}

void end_replica_delay(ProcessFleet *f)
{
	f->endpoints[2]->control.send_command("lag 0");
}

/*
 * Runs an outage of the platform. While it begins, requests may only be refused
 * because keys cannot be confirmed.
 */
void run_outage(ProcessFleet *f)
{
	auto began = std::chrono::steady_clock::now();

	f->platform.send_command("outage on");
	while (std::chrono::steady_clock::now() - began <
	       std::chrono::milliseconds(OUTAGE_MS)) {
		for (uint32_t i = 0; i < f->instances.size(); i++) {
			CallerReply r = f->place_order(i);

			if (r.verdict() != "ran") {
				EXPECT_EQ(ERR_KEY_UNCONFIRMED, r.error)
					<< r.body;
			}
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(250));
	}
	place_orders(f, 0);
}

/* The outage begins whatever revision the instances have confirmed last. */
void start_outage(ProcessFleet *f)
{
	run_outage(f);
}

/*
 * The outage begins after writes of keys that are no records of the proxy, so
 * that the store's revision is higher than that of the last record.
 */
void start_outage_after_writes(ProcessFleet *f)
{
	for (int i = 0; i < 20; i++) {
		f->platform.send_command("put /other/key " + std::to_string(i));
		std::this_thread::sleep_for(std::chrono::milliseconds(70));
	}
	run_outage(f);
}

void end_outage(ProcessFleet *f)
{
	f->platform.send_command("outage off");
	for (uint32_t i = 0; i < f->instances.size(); i++)
		EXPECT_TRUE(wait_until([&] {
			return f->read_orders(i, "booking").verdict() ==
				       "ran" &&
			       f->read_metric(i, "zinnialine_platform_up") == 1;
		}));
}

void lose_platform_answers(ProcessFleet *f)
{
	std::string output;
	int code;

	f->platform.send_command("lose 2");
	code = f->run_cli_command(0,
				  { "workspace", "set", "mill",
				    "rate_milli_per_s=90000000", "--wait-ms",
				    "20000" },
				  "", &output);
	EXPECT_TRUE(code == 0 || code == 7) << code << "\n" << output;
	if (code == 0) {
		EXPECT_NE(std::string::npos,
			  f->platform
				  .send_command(
					  "get /zinnialine/workspace/mill")
				  .find("90000000"));
	}
	place_orders(f, 0);
}

void withdraw_key(ProcessFleet *f)
{
	auto other_caller = f->new_caller(1);
	std::string output;
	CallerReply r;

	other_caller->key = "second-key";
	auto read = [&] {
		return other_caller->post(
			"/v1/groups/orders/read",
			statement_body("SELECT count(*) FROM orders", "[]"));
	};
	EXPECT_EQ("ran", read().verdict());
	EXPECT_EQ(0, f->run_cli_command(0,
					{ "key", "withdraw", "--key-file", "-",
					  "--wait-ms", "20000" },
					"second-key\n", &output))
		<< output;
	r = read();
	EXPECT_EQ(ERR_BAD_KEY, r.error) << r.body;
	EXPECT_EQ("not_run", r.verdict());
	place_orders(f, 0);
}

void start_leaving(ProcessFleet *f)
{
	auto leaving_endpoint_serves = [&](const char *profile) {
		for (int k = 0; k < READ_COUNT; k++)
			for (uint32_t i = 0; i < f->instances.size(); i++)
				if (f->read_orders(i, profile)
					    .json_field("endpoint") ==
				    "orders-0")
					return true;
		return false;
	};

	f->platform.send_command("instance orders-0 leaving");
	EXPECT_TRUE(wait_until(
		[&] { return !leaving_endpoint_serves("booking"); }));
	EXPECT_FALSE(leaving_endpoint_serves("stock"));
	place_orders(f, 0);
	EXPECT_NE(0u, f->find_primary());
}

void cancel_leaving(ProcessFleet *f)
{
	f->platform.send_command("instance orders-0 live");
}

void shut_down_during_requests(ProcessFleet *f)
{
	std::vector<ProcessFleet::PendingOrder> pending;

	f->endpoints[0]->control.send_command("service " +
					      std::to_string(SLOW_SERVICE_US));
	for (int k = 0; k < ORDERS_PER_INSTANCE; k++)
		pending.push_back(f->start_order(0, 20000));
	EXPECT_TRUE(wait_until([&] {
		return f->read_metric(0, "zinnialine_pending_requests") >=
		       ORDERS_PER_INSTANCE;
	}));
	f->instances[0]->send_signal(SIGTERM);
	for (ProcessFleet::PendingOrder &p : pending) {
		CallerReply r = f->wait_for_order(p);

		EXPECT_EQ(0, r.curl_code) << "a request got no answer";
		EXPECT_EQ("ran", r.verdict()) << r.body;
	}
	EXPECT_EQ(0, f->instances[0]->wait_exit());
	f->endpoints[0]->control.send_command("service 0");
}

const FaultCase cases[] = {
	{ "InstanceKilledInTransaction", kill_in_transaction, nullptr, 1 },
	{ "InstanceStoppedAndContinued", pause_instance, nullptr, 0 },
	{ "PrimaryFrozen", freeze_primary, resume_primary, 0 },
	{ "PrimaryCutFromClients", cut_primary_from_clients, reconnect_primary,
	  0 },
	{ "ConnectionsSilent", silence_connections, nullptr, 0 },
	{ "AnswersRepeated", repeat_answers, nullptr, 0 },
	{ "ReplicaFarBehind", delay_replica, end_replica_delay, 0 },
	{ "PlatformOutage", start_outage, end_outage, 0 },
	{ "PlatformOutageAfterWrite", start_outage_after_writes, end_outage,
	  0 },
	{ "PlatformAnswersLost", lose_platform_answers, nullptr, 0 },
	{ "KeyWithdrawnElsewhere", withdraw_key, nullptr, 0 },
	{ "EndpointLeaves", start_leaving, cancel_leaving, 0 },
	{ "InstanceShutsDown", shut_down_during_requests, nullptr, 1 },
};

class ProcessFault : public testing::TestWithParam<FaultCase>
{
};

TEST_P(ProcessFault, OrdersMatchAnswers)
{
	const FaultCase &c = GetParam();
	ProcessFleet f;

	ASSERT_FALSE(HasFatalFailure());
	place_orders(&f, 0);
	c.inject(&f);
	if (c.heal)
		c.heal(&f);
	place_orders(&f, c.first_serving);
	f.check_orders();
}

INSTANTIATE_TEST_SUITE_P(Process, ProcessFault, testing::ValuesIn(cases),
			 [](const testing::TestParamInfo<FaultCase> &i) {
				 return std::string(i.param.name);
			 });

} // namespace
