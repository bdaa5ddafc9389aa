#include <gtest/gtest.h>

#include <apr_general.h>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>
#include <zmq.h>

extern "C" {
#include "peer/peer_link.h"
}

namespace
{

const int64_t WAIT_MAX_US = 120000000; /* of one wait, whatever counts */

struct Keys {
	char public_key[41];
	char secret_key[41];

	Keys()
	{
		zmq_curve_keypair(public_key, secret_key);
	}
};

struct Node {
	peer_link *link = nullptr;
	std::vector<peer_message> messages;
	std::vector<std::string> drop_reasons;

	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(peer_link_port(link));
	}
};

void on_message(void *data, const peer_message *m)
{
	static_cast<Node *>(data)->messages.push_back(*m);
}

void on_dropped(void *data, const char *reason)
{
	static_cast<Node *>(data)->drop_reasons.emplace_back(reason);
}

/* Time that this thread has waited for a processor. */
int64_t own_run_delay_us()
{
	std::ifstream f("/proc/thread-self/schedstat");
	int64_t ran_ns = 0;
	int64_t delay_ns = 0;

	f >> ran_ns >> delay_ns;
	return delay_ns / 1000;
}

/* Returns true if another thread waits for a processor, or uses one. */
bool other_thread_is_runnable()
{
	std::string self = std::to_string(gettid());
	DIR *tasks = opendir("/proc/self/task");
	bool found = false;

	while (struct dirent *d = readdir(tasks)) {
		if (d->d_name[0] == '.')
			continue;
		std::ifstream f("/proc/self/task/" + std::string(d->d_name) +
				"/stat");
		std::string stat;

		std::getline(f, stat);
		if (self != d->d_name && stat.find(") R ") != std::string::npos)
			found = true;
	}
	closedir(tasks);
	return found;
}

class PeerLink : public testing::Test
{
      protected:
	void SetUp() override
	{
		apr_initialize();
		apr_pool_create(&pool, nullptr);
		ASSERT_EQ(0, loop_new(&loop, pool));
	}

	void TearDown() override
	{
		apr_pool_destroy(pool);
	}

	void open_node(Node &n, const char *name, const Keys &k)
	{
		peer_link_opts o = {};

		o.loop = loop;
		o.instance = name;
		o.incarnation = 9;
		o.address = "127.0.0.1:0";
		o.curve_public = k.public_key;
		o.curve_secret = k.secret_key;
		o.on_message = on_message;
		o.on_dropped = on_dropped;
		o.data = &n;
		ASSERT_EQ(0, peer_link_new(&n.link, &o, pool));
		ASSERT_NE(0, peer_link_port(n.link));
	}

	/*
	 * The limit counts time in which this thread and those of ZeroMQ could
	 * run: beside busy processes they wait for a processor for seconds.
	 * Time in which a thread waits for anything else counts.
	 */
	bool run_until(const std::function<bool()> &done, int64_t limit_us)
	{
		int64_t end = loop_now_us() + WAIT_MAX_US;
		int64_t counted = 0;

		while (!done() && counted < limit_us && loop_now_us() < end) {
			int64_t start = loop_now_us() - own_run_delay_us();

			loop_run_once(loop, 10000);
			if (!other_thread_is_runnable())
				counted += loop_now_us() - own_run_delay_us() -
					   start;
		}
		return done();
	}

	static void send_ping(Node &from, const char *to, uint64_t sequence)
	{
		peer_message m = {};

		strcpy(m.peer, to);
		m.type = PEER_PING;
		m.ping.sequence = sequence;
		peer_link_send(from.link, &m);
	}

	apr_pool_t *pool = nullptr;
	struct loop *loop = nullptr;
	Keys fleet_keys;
};

TEST_F(PeerLink, DeliversMessagesInOrderWithSenderAndIncarnation)
{
	const size_t COUNT = 50;
	Node a;
	Node b;

	open_node(a, "a", fleet_keys);
	open_node(b, "b", fleet_keys);
	peer_link_set_peer(a.link, "b", b.address().c_str());
	peer_link_set_peer(b.link, "a", a.address().c_str());
	for (size_t i = 0; i < COUNT; i++)
		send_ping(a, "b", i);
	ASSERT_TRUE(
		run_until([&] { return b.messages.size() == COUNT; }, 5000000));
	for (size_t i = 0; i < COUNT; i++)
		EXPECT_EQ(i, b.messages[i].ping.sequence);
	EXPECT_STREQ("a", b.messages[0].peer);
	EXPECT_EQ(9U, b.messages[0].incarnation);
	EXPECT_EQ(COUNT, peer_link_stats(b.link).received);
	EXPECT_EQ(peer_link_stats(a.link).sent_bytes,
		  peer_link_stats(b.link).received_bytes);
}

TEST_F(PeerLink, RefusesUnknownSenderAndOtherKeyPair)
{
	Keys other;
	Node a;
	Node b;
	Node c;

	open_node(a, "a", fleet_keys);
	open_node(b, "b", fleet_keys);
	open_node(c, "a", other);
	peer_link_set_peer(a.link, "b", b.address().c_str());
	send_ping(a, "b", 1);
	ASSERT_TRUE(
		run_until([&] { return !b.drop_reasons.empty(); }, 5000000));
	EXPECT_EQ("unknown sender", b.drop_reasons[0]);
	peer_link_set_peer(b.link, "a", a.address().c_str());
	peer_link_set_peer(c.link, "b", b.address().c_str());
	send_ping(c, "b", 2);
	EXPECT_FALSE(run_until([&] { return !b.messages.empty(); }, 700000));
}

/*
 * Guards against accepting a client that knows the server's public key but
 * whose own CURVE key is not that of the fleet.
 */
TEST_F(PeerLink, RefusesClientWithUnknownCurveKey)
{
	Keys other;
	Node b;
	void *context = zmq_ctx_new();
	void *s = zmq_socket(context, ZMQ_DEALER);
	int linger_ms = 0;

	open_node(b, "b", fleet_keys);
	zmq_setsockopt(s, ZMQ_LINGER, &linger_ms, sizeof(linger_ms));
	zmq_setsockopt(s, ZMQ_CURVE_SERVERKEY, fleet_keys.public_key, 40);
	zmq_setsockopt(s, ZMQ_CURVE_PUBLICKEY, other.public_key, 40);
	zmq_setsockopt(s, ZMQ_CURVE_SECRETKEY, other.secret_key, 40);
	zmq_connect(s, ("tcp://" + b.address()).c_str());
	zmq_send(s, "x", 1, ZMQ_DONTWAIT);
	ASSERT_TRUE(
		run_until([&] { return !b.drop_reasons.empty(); }, 5000000));
	EXPECT_EQ("connection with an unknown CURVE key", b.drop_reasons[0]);
	EXPECT_EQ(0U, peer_link_stats(b.link).received);
	zmq_close(s);
	zmq_ctx_term(context);
}

TEST_F(PeerLink, NewAddressReplacesTheOldOne)
{
	Node a;
	Node old;
	Node b;

	open_node(a, "a", fleet_keys);
	open_node(old, "b", fleet_keys);
	open_node(b, "b", fleet_keys);
	peer_link_set_peer(old.link, "a", a.address().c_str());
	peer_link_set_peer(b.link, "a", a.address().c_str());
	peer_link_set_peer(a.link, "b", old.address().c_str());
	send_ping(a, "b", 1);
	ASSERT_TRUE(run_until([&] { return !old.messages.empty(); }, 5000000));
	peer_link_set_peer(a.link, "b", b.address().c_str());
	send_ping(a, "b", 2);
	ASSERT_TRUE(run_until([&] { return !b.messages.empty(); }, 5000000));
	EXPECT_EQ(1U, old.messages.size());
	peer_link_remove_peer(a.link, "b");
	send_ping(a, "b", 3);
	EXPECT_EQ(1U, peer_link_stats(a.link).dropped);
}

/*
 * Forwards TCP connections. After block_open_connections(), those accepted
 * before stay open but carry no more data.
 */
class Relay
{
      public:
	explicit Relay(uint16_t to) : target_port(to)
	{
		sockaddr_in at = loopback_address(0);
		socklen_t size = sizeof(at);

		listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		bind(listener, reinterpret_cast<sockaddr *>(&at), size);
		listen(listener, 8);
		getsockname(listener, reinterpret_cast<sockaddr *>(&at), &size);
		port = ntohs(at.sin_port);
	}

	~Relay()
	{
		close(listener);
		for (const Pair &p : pairs) {
			close(p.fds[0]);
			close(p.fds[1]);
		}
	}

	void block_open_connections()
	{
		for (Pair &p : pairs)
			p.blocked = true;
	}

	void forward()
	{
		int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);

		if (fd >= 0)
			pairs.push_back({ { fd, connect_target() }, false });
		for (const Pair &p : pairs) {
			if (p.blocked)
				continue;
			copy_available(p.fds[0], p.fds[1]);
			copy_available(p.fds[1], p.fds[0]);
		}
	}

	uint16_t port = 0;

      private:
	struct Pair {
		int fds[2];
		bool blocked;
	};

	static sockaddr_in loopback_address(uint16_t port)
	{
		sockaddr_in a = {};

		a.sin_family = AF_INET;
		a.sin_port = htons(port);
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		return a;
	}

	int connect_target() const
	{
		sockaddr_in a = loopback_address(target_port);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		connect(fd, reinterpret_cast<sockaddr *>(&a), sizeof(a));
		fcntl(fd, F_SETFL, O_NONBLOCK);
		return fd;
	}

	static void copy_available(int from, int to)
	{
		char buf[4096];
		ssize_t n = read(from, buf, sizeof(buf));

		if (n <= 0)
			return;
		EXPECT_EQ(n, write(to, buf, n));
	}

	uint16_t target_port;
	int listener;
	std::vector<Pair> pairs;
};

/*
 * Guards against waiting forever on a connection that is open but carries no
 * data: the link must open a new one.
 */
TEST_F(PeerLink, ReconnectsWhenConnectionCarriesNoData)
{
	Node a;
	Node b;

	open_node(a, "a", fleet_keys);
	open_node(b, "b", fleet_keys);
	Relay relay(peer_link_port(b.link));
	std::string via = "127.0.0.1:" + std::to_string(relay.port);
	uint64_t sequence = 0;
	auto received_after = [&](size_t count) {
		relay.forward();
		if (++sequence % 10 == 0)
			send_ping(a, "b", sequence);
		return b.messages.size() > count;
	};

	peer_link_set_peer(a.link, "b", via.c_str());
	peer_link_set_peer(b.link, "a", a.address().c_str());
	ASSERT_TRUE(run_until([&] { return received_after(0); }, 5000000));
	relay.block_open_connections();
	/* What was forwarded before may still arrive. */
	run_until([] { return false; }, 200000);
	size_t before = b.messages.size();
	ASSERT_TRUE(run_until([&] { return received_after(before); }, 9000000));
}

} // namespace
