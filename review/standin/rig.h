/*
 * rig.h - stand-ins for a case: the platform's store, backends of a service,
 * clients, and the processes of the system. All on 127.0.0.1, on free ports.
 *
 * Each runs as threads of one program, so that one clock sees both ends of a
 * request. What happens is written to a record.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

int64_t now_ms(); /* monotonic; 0 is the start of the program */
void sleep_ms(int64_t ms);

/* Writes a line to record.txt, and to standard output if `show`. */
void record_open(const std::string &path);
void record(bool show, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* A listener on a free port; runs `fn` on a thread for each connection. */
class Listener
{
      public:
	explicit Listener(std::function<void(int fd)> handler);
	~Listener();
	std::string address() const;

      private:
	std::function<void(int fd)> fn;
	int fd;
	uint16_t port;
	std::atomic<bool> ends{ false };
	std::thread thread;
};

/* Buffered reading of one connection. */
struct Stream {
	int fd;
	std::string pending;

	/*
	 * Returns 1 for a line (without its end), 0 at the limit, -1 closed,
	 * -2 reset.
	 */
	int read_line(std::string *out, int64_t limit_ms);
	bool read_bytes(std::string *out, size_t n);
	bool send(const std::string &bytes) const;
};

int connect_to(const std::string &address);
std::vector<uint16_t> find_free_ports(size_t n);

/* The platform: its store, and promotions. */
class Platform
{
      public:
	using KeyValue = std::pair<std::string, std::string>;

	Platform();
	std::string address() const
	{
		return listener.address();
	}
	/* One all-or-nothing call of the operator, a client or a backend. */
	int64_t write(const std::vector<KeyValue> &puts);
	std::string read(const std::string &key);
	void stop();
	/*
	 * Asked for each put of a call: the answer to a call with a put for
	 * which it returns a number above 0 is lost, and the call is carried
	 * out so many ms later, if its condition still holds.
	 */
	std::function<int64_t(const std::string &key, const std::string &value)>
		late_ms = [](const std::string &, const std::string &) {
			return 0;
		};
	std::function<int(const std::string &service, const std::string &id)>
		promote = [](const std::string &, const std::string &) {
			return 409;
		};

      private:
	struct Item {
		std::string value; /* base64 */
		int64_t revision = 0;
		int64_t created = 0;
		uint64_t lease = 0;
	};
	struct Event {
		std::string key;
		int64_t revision;
		bool removed;
		Item item;
	};
	struct Lease {
		int64_t ttl_ms;
		int64_t end_ms;
	};
	struct Request {
		std::string method;
		std::string path;
		std::map<std::string, std::string> query;
		std::map<std::string, std::string> headers;
		std::string body;
	};
	using Answer = std::pair<int, std::string>;

	void serve(int fd);
	bool read_request(Stream *s, Request *r);
	Answer run(const Request &r);
	Answer range(const Request &r);
	Answer watch(const Request &r);
	Answer change(const Request &r);
	int64_t find_delay(const Request &r);
	Answer order(const Request &r);
	void put_locked(const std::string &key, const std::string &base64,
			uint64_t lease, int64_t at);
	void remove_locked(const std::string &key, int64_t at);
	void end_lease_locked(uint64_t id);
	void expire_leases();
	std::string format(const Event &e) const;

	std::mutex mutex;
	std::condition_variable changed;
	std::map<std::string, Item> items;
	std::vector<Event> events;
	std::map<uint64_t, Lease> leases;
	std::map<std::string, uint64_t> tokens;
	uint64_t last_lease = 100;
	int64_t revision = 500;
	std::atomic<bool> ends{ false };
	std::thread timer;
	Listener listener; /* last: its threads use the fields above */
};

/* What a backend ran. */
struct Run {
	int64_t at_ms;
	std::string backend;
	std::string tenant; /* of its connection */
	std::string id;
	std::string text;
};

/* A service with one primary and replicas, which receive commits at once. */
class Database
{
      public:
	Database(Platform *p, std::string service,
		 const std::vector<std::string> &zones, uint32_t max_conns);
	void stop()
	{
		ends = true;
	}
	int promote(const std::string &id);
	std::vector<Run> runs();
	/* The tenant of the connection that ran the statement, or "". */
	std::string tenant_of(const std::string &statement_id);

	const std::string name;
	std::atomic<int64_t> work_ms{ 5 };
	/* Runs are noted as the work begins, not as it ends. */
	bool note_at_start = false;

      private:
	struct Backend {
		std::string id;
		std::string zone;
		std::atomic<int> conns{ 0 };
		std::unique_ptr<Listener> listener;
	};
	struct Conn {
		Backend *backend;
		std::string tenant;
		char state = 'I';
		bool plain = false; /* in a transaction that may write */
		bool wrote = false;
		uint64_t term = 0;
		std::map<std::string, bool> prepared; /* name to: it writes */
	};

	void serve(Backend *b, int fd);
	std::string run(Conn *c, const std::string &line);
	std::string run_own(Conn *c, const std::string &text);
	std::string ready(const Conn &c);
	std::string fail(Conn *c, const char *code);
	std::string status(const Backend &b);
	void publish(Backend *b);

	Platform *platform;
	uint32_t conns_max;
	std::mutex mutex;
	std::vector<std::unique_ptr<Backend>> backends;
	Backend *primary;
	uint64_t term = 3;
	uint64_t number = 1000;
	uint64_t signature = 0;
	std::vector<Run> history;
	std::atomic<bool> ends{ false };
};

/* The processes of the system, started as the deploy file says. */
class Fleet
{
      public:
	Fleet(std::string binary, std::string directory);
	~Fleet(); /* ends all processes */
	void start(const std::string &name, const std::string &zone,
		   const Platform &p);
	std::string callers(const std::string &name) const;
	bool is_ready(const std::string &name) const;
	bool wait_until_ready(int64_t limit_ms);
	void signal(const std::string &name, int number);
	/* Kills the process and waits for its end. */
	void kill(const std::string &name);
	/* Returns true if a process ended by itself. */
	bool any_ended();
	std::vector<std::string> names() const;

      private:
	struct Process {
		pid_t pid = -1;
		std::vector<uint16_t> ports;
	};

	std::string binary;
	std::string directory;
	std::map<std::string, Process> processes;
};

/* Answer to one statement. */
struct Reply {
	bool answered = false;
	bool done = false; /* COMPLETE */
	std::string signature; /* or the code of an ERROR */
	std::string reason;
	char state = 0;
};

/* A session of a client. */
class Session
{
      public:
	Session(const std::string &address, const std::string &database,
		const std::string &key);
	~Session();
	bool is_open() const
	{
		return open;
	}
	Reply ask(const std::string &id, const std::string &text,
		  int64_t limit_ms = 4000);
	/* The two halves of ask(): several may be sent before one is taken. */
	bool post(const std::string &id, const std::string &text);
	Reply take(int64_t limit_ms);
	/* 0: open; 1: the other end closed it in order; 2: it was reset. */
	int how_ended() const
	{
		return ended;
	}

      private:
	Stream stream;
	bool open = false;
	int ended = 0;
};

std::string new_id(); /* of a statement */
#endif
