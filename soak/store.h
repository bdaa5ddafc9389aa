/*
 * store.h - a stand-in of the platform: its key-value store over HTTP, and
 * promotion orders.
 */
#ifndef SOAK_STORE_H
#define SOAK_STORE_H

#include "net.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <vector>

struct HttpRequest {
	std::string method;
	std::string path;
	std::map<std::string, std::string> query;
	std::map<std::string, std::string> headers; /* names in lower case */
	std::string body;
};

struct HttpAnswer {
	int status = 200;
	std::string body = "{}";
	int era = 0; /* in which it ran; 0: that of the call's arrival */
};

/* How the store treats the calls of one instance. */
enum class StoreFault { NONE, REFUSED, RESET, SILENT };

class Store
{
      public:
	using Promote = std::function<int(const std::string &service,
					  const std::string &id)>;

	Store(size_t instances, Promote promote);
	~Store();

	/* Each instance has an address of its own. */
	Address address(size_t instance) const
	{
		return ports[instance]->address();
	}

	void set_fault(int instance, StoreFault f); /* -1: all instances */
	std::atomic<int64_t> delay_us{ 0 };
	/* Of 1000 calls, this many are executed and not answered. */
	std::atomic<int> lost_permille{ 0 };
	std::atomic<bool> down{ false }; /* for the endpoints as well */

	/* Discards the history, so that watches get 410. */
	void compact();
	/*
	 * Returns to a copy that is some seconds old. What the operator and the
	 * endpoints wrote is written again; leases are gone.
	 */
	void restore();
	/* Writes as the operator or an endpoint; returns the revision. */
	int64_t put(const std::string &key, const std::string &value);
	void remove(const std::string &key);

      private:
	struct Item {
		std::string value; /* base64 */
		int64_t revision;
		int64_t created;
		uint64_t lease;
	};
	struct Event {
		std::string key;
		int64_t revision;
		bool removed;
		Item item;
	};
	struct Lease {
		int64_t ttl_ms;
		int64_t end_us;
	};

	void serve(size_t instance, int fd);
	HttpAnswer run_call(const HttpRequest &r);
	HttpAnswer list_items(const HttpRequest &r);
	HttpAnswer watch(const HttpRequest &r);
	HttpAnswer get_item(const HttpRequest &r);
	HttpAnswer change(const HttpRequest &r);
	HttpAnswer grant_lease(const HttpRequest &r);
	HttpAnswer renew_lease(uint64_t id);
	HttpAnswer end_lease(uint64_t id);
	HttpAnswer order_promotion(const HttpRequest &r);
	void put_locked(const std::string &key, const std::string &base64,
			uint64_t lease);
	void remove_locked(const std::string &key);
	void drop_lease_locked(uint64_t id);
	void expire_leases();
	void keep_copy_locked(int64_t at_us);
	std::string format_event(const Event &e) const;

	Promote promote_fn;
	std::mutex mutex;
	std::condition_variable changed;
	struct Copy {
		int64_t at_us;
		int64_t revision;
		std::map<std::string, Item> items;
	};

	std::map<std::string, Item> items;
	std::deque<Copy> copies; /* of the last seconds */
	std::atomic<int> era{ 1 }; /* rises with each restore() */
	std::deque<Event> events;
	int64_t history_start = 0; /* events after this revision are kept */
	int64_t revision = 100;
	std::map<uint64_t, Lease> leases;
	uint64_t last_lease = 0;
	/* By service: the highest token seen, and who sent it. */
	std::map<std::string, std::pair<uint64_t, std::string>> tokens;
	std::vector<std::unique_ptr<std::atomic<StoreFault>>> faults;
	std::atomic<bool> ends{ false };
	std::thread timer;
	std::vector<std::unique_ptr<Server>> ports; /* last, see Link */
};

#endif
