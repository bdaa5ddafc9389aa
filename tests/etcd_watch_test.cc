#include <gtest/gtest.h>

#include <apr_general.h>
#include <apr_pools.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "core/sizes.h"
#include "etcd/etcd_watch.h"
}

namespace
{

/* A line of the stream with one change of the key "/k". */
std::string format_event(int revision)
{
	const std::string r = "\"" + std::to_string(revision) + "\"";

	return "{\"result\":{\"header\":{\"revision\":" + r +
	       "},\"events\":[{\"kv\":{\"key\":\"L2s=\",\"value\":\"dg==\","
	       "\"mod_revision\":" +
	       r + "}}]}}\n";
}

const std::string HALF = format_event(6).substr(0, 30);
const std::string OTHER_HALF = format_event(6).substr(30);

struct WatchCase {
	const char *name;
	std::vector<std::string> parts; /* of the first stream */
	bool ends; /* the service ends it then */
	int streams; /* that are opened */
};

/* Every stream but the first one begins with the changes 6 and 7. */
const WatchCase watch_cases[] = {
	{ "usual",
	  { format_event(5) + format_event(6) + format_event(7) },
	  false,
	  1 },
	{ "parts end inside a line",
	  { format_event(5) + HALF, OTHER_HALF + format_event(7) },
	  false,
	  1 },
	{ "empty lines",
	  { "\n\n" + format_event(5) + "\n" + format_event(6),
	    "\n" + format_event(7) },
	  false,
	  1 },
	{ "end inside a line", { format_event(5) + HALF }, true, 2 },
	{ "malformed line",
	  { format_event(5) + HALF + "\n" + format_event(7) },
	  false,
	  2 },
	{ "line without a result",
	  { format_event(5) + "{}\n" + format_event(7) },
	  false,
	  2 },
	{ "error",
	  { format_event(5) + "{\"error\":{\"code\":14}}\n" + format_event(7) },
	  false,
	  2 },
	{ "over-long line",
	  { format_event(5), std::string(65 << 20, ' ') },
	  false,
	  2 },
};

/* A service that sends what it is told on the streams opened at it. */
class EtcdWatch : public testing::Test
{
      protected:
	void SetUp() override
	{
		struct sockaddr_in sa = {};
		socklen_t len = sizeof(sa);

		sa.sin_family = AF_INET;
		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		ASSERT_EQ(0, bind(listener_, (struct sockaddr *)&sa, len));
		ASSERT_EQ(0, listen(listener_, 8));
		getsockname(listener_, (struct sockaddr *)&sa, &len);
		address_ = "127.0.0.1:" + std::to_string(ntohs(sa.sin_port));
		apr_initialize();
		apr_pool_create(&pool_, nullptr);
		ASSERT_EQ(0, loop_new(&loop_, pool_));
		rand_ = g_rand_new_with_seed(1);
	}

	void TearDown() override
	{
		apr_pool_destroy(pool_);
		g_rand_free(rand_);
		close(listener_);
	}

	/* Sends as much as fits while the loop runs. */
	void send_part(int fd, const std::string &text)
	{
		size_t sent = 0;

		while (sent < text.size()) {
			ssize_t n =
				send(fd, text.data() + sent, text.size() - sent,
				     MSG_NOSIGNAL | MSG_DONTWAIT);
			if (n < 0 && errno != EAGAIN)
				return;
			sent += n > 0 ? (size_t)n : 0;
			loop_run_once(loop_, 0);
		}
		for (int i = 0; i < 5; i++)
			loop_run_once(loop_, US_PER_MS);
	}

	/* Serves streams until all changes have arrived, or for a time. */
	void serve(const WatchCase &k)
	{
		int64_t end_us = loop_now_us() + 5 * US_PER_S;

		while (revisions_.size() < 3 && loop_now_us() < end_us) {
			int fd = accept(listener_, nullptr, nullptr);

			loop_run_once(loop_, US_PER_MS);
			if (fd < 0)
				continue;
			fds_.push_back(fd);
			send_part(fd, "HTTP/1.1 200 OK\r\n\r\n");
			if (fds_.size() > 1)
				send_part(fd,
					  format_event(6) + format_event(7));
			for (size_t i = 0;
			     fds_.size() == 1 && i < k.parts.size(); i++)
				send_part(fd, k.parts[i]);
			if (fds_.size() == 1 && k.ends)
				shutdown(fd, SHUT_WR);
		}
	}

	static void on_change(void *data, const struct etcd_kv *kv, bool)
	{
		static_cast<EtcdWatch *>(data)->revisions_.push_back(
			kv->mod_revision);
	}

	void run(const WatchCase &k)
	{
		const char *addresses[] = { address_.c_str() };
		struct etcd_opts o = {};
		struct etcd_watch_opts wo = {};
		struct etcd *etcd = nullptr;
		apr_pool_t *pool;

		apr_pool_create(&pool, pool_);
		o.loop = loop_;
		o.addresses = addresses;
		o.address_count = 1;
		o.call_timeout_us = US_PER_S;
		ASSERT_EQ(0, etcd_new(&etcd, &o, pool));
		wo.etcd = etcd;
		wo.loop = loop_;
		wo.rand = rand_;
		wo.first_answer_timeout_us = US_PER_S;
		wo.prefix = "/";
		wo.on_change = on_change;
		wo.data = this;
		struct etcd_watch *w = etcd_watch_new(&wo);
		etcd_watch_start(w, 4);
		serve(k);
		etcd_watch_stop(w);
		apr_pool_destroy(pool);
		etcd_watch_free(w);
		for (int fd : fds_)
			close(fd);
	}

	struct loop *loop_ = nullptr;
	apr_pool_t *pool_ = nullptr;
	GRand *rand_ = nullptr;
	int listener_ = -1;
	std::string address_;
	std::vector<int> fds_; /* of the streams */
	std::vector<int64_t> revisions_; /* delivered */
};

/*
 * Guards against a change that is skipped with the line that it stood in, and
 * then counts as delivered.
 */
TEST_F(EtcdWatch, DeliversEveryChangeOnceWhateverTheLines)
{
	for (const WatchCase &k : watch_cases) {
		SCOPED_TRACE(k.name);
		fds_.clear();
		revisions_.clear();
		run(k);
		EXPECT_EQ((std::vector<int64_t>{ 5, 6, 7 }), revisions_);
		EXPECT_EQ(k.streams, (int)fds_.size());
	}
}

} // namespace
