#include "process_fleet.h"

#include "cli_child.h"

#include <chrono>
#include <curl/curl.h>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <thread>

extern "C" {
#include "http/bearer.h"
#include "postgres/endpoint_driver.h"
}

static const char operator_key[] = "operator-key-of-tests";

enum {
	ENDPOINT_COUNT = 3,
	ORDER_COUNT = 120,
	POLL_MS = 20,
	WAIT_TIMEOUT_MS = 40000,
	CURL_MARGIN_MS = 20000, /* added to the deadline of a request */
};

bool wait_until(const std::function<bool()> &condition)
{
	for (int ms = 0; ms < WAIT_TIMEOUT_MS; ms += POLL_MS) {
		if (condition())
			return true;
		std::this_thread::sleep_for(std::chrono::milliseconds(POLL_MS));
	}
	return false;
}

std::string statement_body(const std::string &sql, const std::string &params)
{
	return "{\"sql\":\"" + sql + "\",\"params\":" + params + "}";
}

std::string CallerReply::json_field(const char *name) const
{
	json_t *doc = json_loads(body.c_str(), 0, nullptr);
	const char *text = json_string_value(json_object_get(doc, name));
	std::string out = text ? text : "";

	json_decref(doc);
	return out;
}

int64_t CallerReply::json_integer(const char *name) const
{
	json_t *doc = json_loads(body.c_str(), 0, nullptr);
	int64_t n = json_integer_value(json_object_get(doc, name));

	json_decref(doc);
	return n;
}

static size_t append_body(char *data, size_t size, size_t count, void *out)
{
	static_cast<std::string *>(out)->append(data, size * count);
	return size * count;
}

HttpCaller::HttpCaller(const std::string &address)
    : address_(address), curl_(curl_easy_init())
{
}

HttpCaller::~HttpCaller()
{
	curl_easy_cleanup(curl_);
}

CallerReply HttpCaller::perform(const std::string &path)
{
	std::string url = "http://" + address_ + path;
	struct curl_slist *headers = nullptr;
	CallerReply r;

	for (const std::string &h :
	     { "Authorization: Bearer " + key, "Zinnialine-Profile: " + profile,
	       "Idempotency-Key: " + request_id,
	       "Zinnialine-Deadline-Ms: " + std::to_string(deadline_ms) })
		headers = curl_slist_append(headers, h.c_str());
	curl_easy_setopt(curl_, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl_, CURLOPT_URL, url.c_str());
	curl_easy_setopt(curl_, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl_, CURLOPT_TIMEOUT_MS,
			 static_cast<long>(deadline_ms + CURL_MARGIN_MS));
	curl_easy_setopt(curl_, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl_, CURLOPT_WRITEDATA, &r.body);
	r.curl_code = curl_easy_perform(curl_);
	curl_easy_getinfo(curl_, CURLINFO_RESPONSE_CODE, &r.status);
	r.error = static_cast<int>(r.json_integer("error"));
	curl_slist_free_all(headers);
	return r;
}

CallerReply HttpCaller::post(const std::string &path, const std::string &body)
{
	curl_easy_setopt(curl_, CURLOPT_POST, 1L);
	curl_easy_setopt(curl_, CURLOPT_POSTFIELDSIZE,
			 static_cast<long>(body.size()));
	curl_easy_setopt(curl_, CURLOPT_COPYPOSTFIELDS, body.c_str());
	return perform(path);
}

CallerReply HttpCaller::get(const std::string &path)
{
	curl_easy_setopt(curl_, CURLOPT_HTTPGET, 1L);
	return perform(path);
}

void OrderBook::record_answer(const std::string &id, const CallerReply &r)
{
	/* Without an answer the order may have been executed. */
	verdicts_[id] = r.curl_code ? "may_have_run" : r.verdict();
}

void OrderBook::check_rows(const std::vector<std::string> &rows) const
{
	std::map<std::string, int> quantities;

	for (const std::string &row : rows) {
		std::istringstream columns(row);
		std::string id;
		std::string item;
		int quantity = 0;

		std::getline(columns, id, '\t');
		std::getline(columns, item, '\t');
		columns >> quantity;
		quantities[id] = quantity;
	}
	for (const auto &[id, verdict] : verdicts_) {
		int n = quantities[id];

		EXPECT_LE(n, 1) << id << " was executed twice";
		if (verdict == "ran") {
			EXPECT_EQ(1, n) << id << " was confirmed";
		} else if (verdict == "not_run") {
			EXPECT_EQ(0, n) << id << " was refused";
		} else {
			EXPECT_EQ("may_have_run", verdict) << id;
		}
	}
}

ProcessFleet::ProcessFleet(uint32_t instance_count)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	start_endpoints();
	put_records();
	for (uint32_t i = 0; i < instance_count; i++)
		start_instance(i);
	insert_orders();
}

void ProcessFleet::start_endpoints()
{
	for (uint32_t i = 0; i < ENDPOINT_COUNT; i++) {
		std::vector<std::string> args = { "--slots", "8" };

		if (i == 0)
			args.insert(args.end(), { "--primary-term", "1" });
		endpoints.push_back(std::make_unique<Endpoint>(args));
	}
	for (uint32_t i = 0; i < ENDPOINT_COUNT; i++) {
		std::string peers = "peers";

		for (uint32_t k = 0; k < ENDPOINT_COUNT; k++)
			if (k != i)
				peers += " " + endpoints[k]->process.address(
						       "replication");
		endpoints[i]->control.send_command(peers);
	}
}

void ProcessFleet::put_record(const std::string &path, const std::string &value)
{
	platform.send_command("put /zinnialine/" + path + " " + value);
}

/* Returns the path of a key's record, which ends in its digest in hex. */
static std::string make_key_path(const std::string &key)
{
	uint8_t digest[DIGEST_BYTES];
	std::string path = "key/";
	char hex[3];

	bearer_hash_key(key.c_str(), digest);
	for (uint8_t byte : digest) {
		snprintf(hex, sizeof(hex), "%02x", byte);
		path += hex;
	}
	return path;
}

void ProcessFleet::put_records()
{
	for (uint32_t i = 0; i < ENDPOINT_COUNT; i++)
		put_record("endpoint/orders/orders-" + std::to_string(i),
			   "{\"zone\":\"east\",\"address\":\"" +
				   endpoints[i]->process.address("listen") +
				   "\",\"slots\":8,\"connections_max\":40}");
	put_record("workspace/mill", "{\"rate_milli_per_s\":100000000,"
				     "\"burst_milli\":100000000}");
	put_record("profile/booking",
		   "{\"max_age_ms\":0,\"repeat\":\"by_id\"}");
	put_record("profile/stock",
		   "{\"max_age_ms\":1000,\"repeat\":\"reads\"}");
	put_record(make_key_path("key-of-mill"), "{\"workspace\":\"mill\"}");
	put_record(make_key_path("second-key"), "{\"workspace\":\"mill\"}");
}

static std::string make_settings(const std::string &name,
				 const std::string &platform)
{
	return "instance:\n  name: " + name +
	       "\n  zone: east\n"
	       "listen:\n"
	       "  callers: 127.0.0.1:0\n"
	       "  operators: 127.0.0.1:0\n"
	       "  peers: 127.0.0.1:0\n"
	       "platform:\n  addresses: [" +
	       platform +
	       "]\n"
	       "endpoints:\n  user: zinnialine\n  dbname: orders\n"
	       "callers:\n  token_key_hex: " +
	       std::string(64, '7') +
	       "\nsecurity:\n  operator_key: " + operator_key +
	       "\n  curve_public: 'bS!c]y7&f{@y0$50cJ4R}BRrC*7NT9T[N:i00hLm'\n"
	       "  curve_secret: '0/RzNf^&izs$#:Uw^^=oeh/.O-U%]]PHW[kKr94$'\n"
	       "log:\n  format: text\n  level: error\n";
}

void ProcessFleet::start_instance(uint32_t i)
{
	char path[] = "/tmp/fleet-XXXXXX";
	int fd = mkstemp(path);

	ASSERT_LE(0, fd);
	std::ofstream(path) << make_settings("east-" + std::to_string(i),
					     platform.address());
	instances.push_back(std::make_unique<Process>(
		"zinnialine",
		std::vector<std::string>{ "serve", "--settings", path }));
	close(fd);
	unlink(path);
	ASSERT_NE("", instances[i]->field("callers"));
}

static std::string make_order_id(uint32_t i)
{
	return "o-" + std::to_string(i);
}

void ProcessFleet::insert_orders()
{
	auto c = new_caller(0);

	for (uint32_t i = 0; i < ORDER_COUNT; i++) {
		std::string body = statement_body(
			"INSERT INTO orders (id, qty) VALUES ($1, 0)",
			"[\"" + make_order_id(i) + "\"]");

		c->request_id = "seed-" + std::to_string(i);
		ASSERT_TRUE(wait_until([&] {
			return c->post("/v1/groups/orders/write", body)
				       .verdict() == "ran";
		}));
	}
	for (uint32_t i = 1; i < instances.size(); i++)
		ASSERT_TRUE(wait_until([&] {
			return read_orders(i, "booking").verdict() == "ran";
		}));
}

std::unique_ptr<HttpCaller> ProcessFleet::new_caller(uint32_t instance) const
{
	return std::make_unique<HttpCaller>(
		instances[instance]->address("callers"));
}

std::unique_ptr<HttpCaller>
ProcessFleet::new_operator_caller(uint32_t instance) const
{
	return std::make_unique<HttpCaller>(
		instances[instance]->address("operators"));
}

std::string ProcessFleet::take_order_id()
{
	EXPECT_LT(next_order_, static_cast<uint32_t>(ORDER_COUNT));
	return make_order_id(next_order_++);
}

static CallerReply send_order(HttpCaller *c, const std::string &id,
			      int64_t deadline_ms)
{
	c->request_id = "book-" + id;
	c->deadline_ms = deadline_ms;
	return c->post(
		"/v1/groups/orders/write",
		statement_body("UPDATE orders SET qty = qty + 1 WHERE id = $1",
			       "[\"" + id + "\"]"));
}

CallerReply ProcessFleet::place_order(uint32_t instance, int64_t deadline_ms)
{
	PendingOrder p = start_order(instance, deadline_ms);

	return wait_for_order(p);
}

ProcessFleet::PendingOrder ProcessFleet::start_order(uint32_t instance,
						     int64_t deadline_ms)
{
	std::string id = take_order_id();
	std::shared_ptr<HttpCaller> c = new_caller(instance);

	return { id, std::async(std::launch::async, [c, id, deadline_ms] {
			 return send_order(c.get(), id, deadline_ms);
		 }) };
}

CallerReply ProcessFleet::wait_for_order(PendingOrder &p)
{
	CallerReply r = p.reply.get();

	orders.record_answer(p.id, r);
	return r;
}

CallerReply ProcessFleet::read_orders(uint32_t instance,
				      const std::string &profile)
{
	auto c = new_caller(instance);

	c->profile = profile;
	c->request_id = "read";
	return c->post("/v1/groups/orders/read",
		       statement_body("SELECT count(*) FROM orders", "[]"));
}

int ProcessFleet::run_cli_command(uint32_t instance,
				  std::vector<std::string> args,
				  const std::string &input, std::string *output)
{
	setenv("ZINNIALINE_OPERATOR_KEY", operator_key, 1);
	args.push_back("--server");
	args.push_back(instances[instance]->address("operators"));
	CliChild child(args, input);

	EXPECT_TRUE(wait_until([&] { return child.read_available_output(); }));
	*output = child.output();
	return child.wait_exit();
}

double ProcessFleet::read_metric(uint32_t instance, const std::string &name)
{
	std::string text =
		"\n" + new_operator_caller(instance)->get("/metrics").body;
	size_t at = text.find("\n" + name + " ");

	return at == std::string::npos ?
		       -1 :
		       atof(text.c_str() + at + name.size() + 2);
}

uint32_t ProcessFleet::find_primary()
{
	uint32_t best = 0;
	long best_term = -1;

	for (uint32_t i = 0; i < endpoints.size(); i++) {
		long term = atol(endpoints[i]->state("current_term").c_str());

		if (endpoints[i]->state("role") == "primary" &&
		    term > best_term) {
			best = i;
			best_term = term;
		}
	}
	return best;
}

void ProcessFleet::check_orders()
{
	orders.check_rows(endpoints[find_primary()]->control.send_list_command(
		"dump orders"));
}
