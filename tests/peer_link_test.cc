#include <gtest/gtest.h>

#include <apr_general.h>
#include <cstring>
#include <fcntl.h>
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

struct Keys {
	char open[41];
	char secret[41];

	Keys()
	{
		zmq_curve_keypair(open, secret);
	}
};

struct Node {
	peer_link *link = nullptr;
	std::vector<peer_message> got;
	std::vector<std::string> bad;

	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(peer_link_port(link));
	}
};

void take(void *data, const peer_message *m)
{
	static_cast<Node *>(data)->got.push_back(*m);
}

void take_bad(void *data, const char *reason)
{
	static_cast<Node *>(data)->bad.emplace_back(reason);
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

	void open(Node &n, const char *name, const Keys &k)
	{
		peer_link_opts o = {};

		o.loop = loop;
		o.instance = name;
		o.incarnation = 9;
		o.address = "127.0.0.1:0";
		o.curve_public = k.open;
		o.curve_secret = k.secret;
		o.on_message = take;
		o.on_dropped = take_bad;
		o.data = &n;
		ASSERT_EQ(0, peer_link_new(&n.link, &o, pool));
		ASSERT_NE(0, peer_link_port(n.link));
	}

	bool run_until(const std::function<bool()> &done, int64_t limit_us)
	{
		int64_t end = loop_now_us() + limit_us;

		while (!done() && loop_now_us() < end)
			loop_run_once(loop, 10000);
		return done();
	}

	static void ping(Node &from, const char *to, uint64_t sequence)
	{
		peer_message m = {};

		strcpy(m.peer, to);
		m.type = PEER_PING;
		m.ping.sequence = sequence;
		peer_link_send(from.link, &m);
	}

	apr_pool_t *pool = nullptr;
	struct loop *loop = nullptr;
	Keys fleet;
};

TEST_F(PeerLink, CarriesMessagesInOrderWithSenderAndProcess)
{
	const size_t COUNT = 50;
	Node a;
	Node b;

	open(a, "a", fleet);
	open(b, "b", fleet);
	peer_link_set_peer(a.link, "b", b.address().c_str());
	peer_link_set_peer(b.link, "a", a.address().c_str());
	for (size_t i = 0; i < COUNT; i++)
		ping(a, "b", i);
	ASSERT_TRUE(run_until([&] { return b.got.size() == COUNT; }, 5000000));
	for (size_t i = 0; i < COUNT; i++)
		EXPECT_EQ(i, b.got[i].ping.sequence);
	EXPECT_STREQ("a", b.got[0].peer);
	EXPECT_EQ(9U, b.got[0].incarnation);
	EXPECT_EQ(COUNT, peer_link_stats(b.link).received);
	EXPECT_EQ(peer_link_stats(a.link).sent_bytes,
		  peer_link_stats(b.link).received_bytes);
}

TEST_F(PeerLink, RefusesUnknownSendersAndForeignKeys)
{
	Keys other;
	Node a;
	Node b;
	Node c;

	open(a, "a", fleet);
	open(b, "b", fleet);
	open(c, "a", other);
	peer_link_set_peer(a.link, "b", b.address().c_str());
	ping(a, "b", 1);
	ASSERT_TRUE(run_until([&] { return !b.bad.empty(); }, 5000000));
	EXPECT_EQ("unknown sender", b.bad[0]);
	peer_link_set_peer(b.link, "a", a.address().c_str());
	peer_link_set_peer(c.link, "b", b.address().c_str());
	ping(c, "b", 2);
	EXPECT_FALSE(run_until([&] { return !b.got.empty(); }, 700000));
}

/* A client that knows the server's public key but is not of the fleet. */
TEST_F(PeerLink, RefusesAClientWithItsOwnPair)
{
	Keys other;
	Node b;
	void *context = zmq_ctx_new();
	void *s = zmq_socket(context, ZMQ_DEALER);
	int zero = 0;

	open(b, "b", fleet);
	zmq_setsockopt(s, ZMQ_LINGER, &zero, sizeof(zero));
	zmq_setsockopt(s, ZMQ_CURVE_SERVERKEY, fleet.open, 40);
	zmq_setsockopt(s, ZMQ_CURVE_PUBLICKEY, other.open, 40);
	zmq_setsockopt(s, ZMQ_CURVE_SECRETKEY, other.secret, 40);
	zmq_connect(s, ("tcp://" + b.address()).c_str());
	zmq_send(s, "x", 1, ZMQ_DONTWAIT);
	ASSERT_TRUE(run_until([&] { return !b.bad.empty(); }, 5000000));
	EXPECT_EQ("connection with a foreign key", b.bad[0]);
	EXPECT_EQ(0U, peer_link_stats(b.link).received);
	zmq_close(s);
	zmq_ctx_term(context);
}

TEST_F(PeerLink, ANewAddressReplacesTheOldOne)
{
	Node a;
	Node old;
	Node b;

	open(a, "a", fleet);
	open(old, "b", fleet);
	open(b, "b", fleet);
	peer_link_set_peer(old.link, "a", a.address().c_str());
	peer_link_set_peer(b.link, "a", a.address().c_str());
	peer_link_set_peer(a.link, "b", old.address().c_str());
	ping(a, "b", 1);
	ASSERT_TRUE(run_until([&] { return !old.got.empty(); }, 5000000));
	peer_link_set_peer(a.link, "b", b.address().c_str());
	ping(a, "b", 2);
	ASSERT_TRUE(run_until([&] { return !b.got.empty(); }, 5000000));
	EXPECT_EQ(1U, old.got.size());
	peer_link_remove_peer(a.link, "b");
	ping(a, "b", 3);
	EXPECT_EQ(1U, peer_link_stats(a.link).dropped);
}

/* Forwards TCP; connections accepted before silence() carry nothing more. */
class Relay
{
      public:
	explicit Relay(uint16_t to) : target(to)
	{
		sockaddr_in at = local(0);
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

	void silence()
	{
		for (Pair &p : pairs)
			p.silent = true;
	}

	void run()
	{
		int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);

		if (fd >= 0)
			pairs.push_back({ { fd, connect_target() }, false });
		for (const Pair &p : pairs) {
			if (p.silent)
				continue;
			copy(p.fds[0], p.fds[1]);
			copy(p.fds[1], p.fds[0]);
		}
	}

	uint16_t port = 0;

      private:
	struct Pair {
		int fds[2];
		bool silent;
	};

	static sockaddr_in local(uint16_t port)
	{
		sockaddr_in a = {};

		a.sin_family = AF_INET;
		a.sin_port = htons(port);
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		return a;
	}

	int connect_target() const
	{
		sockaddr_in a = local(target);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		connect(fd, reinterpret_cast<sockaddr *>(&a), sizeof(a));
		fcntl(fd, F_SETFL, O_NONBLOCK);
		return fd;
	}

	static void copy(int from, int to)
	{
		char buf[4096];
		ssize_t n = read(from, buf, sizeof(buf));

		if (n <= 0)
			return;
		EXPECT_EQ(n, write(to, buf, n));
	}

	uint16_t target;
	int listener;
	std::vector<Pair> pairs;
};

TEST_F(PeerLink, ASilentConnectionIsReplacedByANewOne)
{
	Node a;
	Node b;

	open(a, "a", fleet);
	open(b, "b", fleet);
	Relay relay(peer_link_port(b.link));
	std::string via = "127.0.0.1:" + std::to_string(relay.port);
	uint64_t sequence = 0;
	auto received_after = [&](size_t count) {
		relay.run();
		if (++sequence % 10 == 0)
			ping(a, "b", sequence);
		return b.got.size() > count;
	};

	peer_link_set_peer(a.link, "b", via.c_str());
	peer_link_set_peer(b.link, "a", a.address().c_str());
	ASSERT_TRUE(run_until([&] { return received_after(0); }, 5000000));
	relay.silence();
	size_t before = b.got.size();
	ASSERT_TRUE(run_until([&] { return received_after(before); }, 9000000));
}

} // namespace
