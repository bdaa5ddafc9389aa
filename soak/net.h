/* net.h - blocking sockets on loopback, with a thread for each connection. */
#ifndef SOAK_NET_H
#define SOAK_NET_H

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <stdint.h>
#include <string>
#include <thread>

const int64_t MS = 1000; /* in microseconds */
const int64_t SECOND = 1000 * MS;

/* Returns the monotonic time in microseconds. */
int64_t now_us();
void sleep_us(int64_t time_us);

/* "ip:port" as a socket address; the ip defaults to 127.0.0.1. */
struct Address {
	std::string ip = "127.0.0.1";
	uint16_t port = 0;

	std::string text() const
	{
		return ip + ":" + std::to_string(port);
	}
};

/* Returns a connected socket, or -1. */
int connect_to(const Address &a, int64_t timeout_us);

/* Closes with a reset instead of an orderly end. */
void close_with_reset(int fd);

enum class Received { LINE, TIMEOUT, CLOSED };

/* Reads and writes one connection; doesn't own the descriptor. */
class LineStream
{
      public:
	explicit LineStream(int socket) : fd(socket)
	{
	}

	/* Takes a line without its CR LF; either byte alone is data. */
	Received read_line(std::string *line, int64_t timeout_us);
	/* Takes `size` bytes. */
	Received read_bytes(std::string *out, size_t size, int64_t timeout_us);
	bool write(const std::string &bytes) const;

	const int fd;

      private:
	Received fill(int64_t end_us);

	std::string pending;
	size_t searched = 0; /* bytes of `pending` in which no line ends */
};

/* Accepts connections and runs `handler` for each on a thread of its own. */
class Server
{
      public:
	using Handler = std::function<void(int fd)>;

	explicit Server(Handler handler);
	~Server();
	Server(const Server &) = delete;
	Server &operator=(const Server &) = delete;

	Address address() const
	{
		return addr;
	}

	/* Refuses connections and resets the open ones, until reopen(). */
	void close_all();
	void reopen();
	void reset_connections();

      private:
	void accept_connections();
	void serve(int fd);

	Handler fn;
	Address addr;
	std::atomic<int> listener{ -1 };
	std::atomic<bool> ends{ false };
	std::atomic<int> open_count{ 0 };
	std::mutex mutex;
	std::set<int> open;
	std::thread acceptor;
};

#endif
