#include <gtest/gtest.h>

#include <apr_general.h>
#include <fcntl.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "base/loop.h"
#include "base/stream.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t FINISH_MAX_US = 10000 * MS;
constexpr int64_t SHORT_FINISH_US = 200 * MS;
/* Far more than a socket takes at once. */
constexpr size_t ANSWER_BYTES = 4 * 1024 * 1024;
constexpr size_t LINE_MAX_BYTES = 1024;

struct Owner {
	std::vector<std::string> lines;
	int closes = 0;
};

void on_line(void *owner, char *line, size_t len)
{
	EXPECT_EQ('\0', line[len]);
	static_cast<Owner *>(owner)->lines.emplace_back(line, len);
}

void on_closed(void *owner, int error)
{
	static_cast<Owner *>(owner)->closes++;
}

const struct stream_ops ops = { nullptr, on_line, on_closed };

class Stream : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		apr_initialize();
		ASSERT_EQ(0, apr_pool_create(&pool_, nullptr));
		ASSERT_EQ(0, loop_new(&loop_, pool_));
	}

	void open(int64_t finish_max_us)
	{
		struct stream_set_opts o = {};
		int fds[2];

		o.loop = loop_;
		o.line_max_bytes = LINE_MAX_BYTES;
		o.finish_max_us = finish_max_us;
		set_ = stream_set_new(&o);
		ASSERT_EQ(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0,
					fds));
		stream_ = stream_from_fd(set_, fds[0], &ops, &owner_);
		peer_ = fds[1];
	}

	void TearDown() override
	{
		stream_set_free(set_);
		if (peer_ >= 0)
			close(peer_);
		apr_pool_destroy(pool_);
		apr_terminate();
	}

	void turn()
	{
		stream_set_flush(set_);
		loop_run_once(loop_, 5 * MS);
	}

	/* Reads until the connection ends or nothing comes for a while. */
	size_t read_all(bool *ended)
	{
		static char buf[64 * 1024];
		size_t got = 0;

		*ended = false;
		for (int idle = 0; idle < 20 && !*ended;) {
			ssize_t n = read(peer_, buf, sizeof(buf));

			turn();
			idle = n < 0 ? idle + 1 : 0;
			got += n > 0 ? (size_t)n : 0;
			*ended = n == 0;
		}
		return got;
	}

	apr_pool_t *pool_ = nullptr;
	struct loop *loop_ = nullptr;
	struct stream_set *set_ = nullptr;
	struct stream *stream_ = nullptr;
	Owner owner_;
	int peer_ = -1;
};

/* An instance that stops closes sessions right after their last answer. */
TEST_F(Stream, FinishDeliversTheWholeAnswer)
{
	const std::string answer(ANSWER_BYTES, 'x');
	bool ended;

	open(FINISH_MAX_US);
	stream_send(stream_, answer.data(), answer.size());
	stream_finish(stream_);
	EXPECT_TRUE(stream_set_is_finishing(set_));
	EXPECT_EQ(answer.size(), read_all(&ended));
	EXPECT_TRUE(ended);
	EXPECT_FALSE(stream_set_is_finishing(set_));
	EXPECT_EQ(0, owner_.closes);
}

TEST_F(Stream, FinishWithoutOutputClosesAtOnce)
{
	bool ended;

	open(FINISH_MAX_US);
	stream_finish(stream_);
	EXPECT_FALSE(stream_set_is_finishing(set_));
	EXPECT_EQ(0U, read_all(&ended));
	EXPECT_TRUE(ended);
}

TEST_F(Stream, FinishIgnoresInput)
{
	const std::string answer(ANSWER_BYTES, 'x');
	bool ended;

	open(FINISH_MAX_US);
	stream_send(stream_, answer.data(), answer.size());
	stream_finish(stream_);
	ASSERT_EQ(12, write(peer_, "more\r\nmore\r\n", 12));
	EXPECT_EQ(answer.size(), read_all(&ended));
	EXPECT_TRUE(ended);
	EXPECT_TRUE(owner_.lines.empty());
}

TEST_F(Stream, FinishGivesUpOnAPeerThatDoesNotRead)
{
	const std::string answer(ANSWER_BYTES, 'x');
	int64_t since_us = loop_now_us();

	open(SHORT_FINISH_US);
	stream_send(stream_, answer.data(), answer.size());
	stream_finish(stream_);
	while (stream_set_is_finishing(set_) &&
	       loop_now_us() - since_us < 20 * SHORT_FINISH_US)
		turn();
	EXPECT_FALSE(stream_set_is_finishing(set_));
	EXPECT_GE(loop_now_us() - since_us, SHORT_FINISH_US);
	EXPECT_EQ(0, owner_.closes);
}

TEST_F(Stream, FinishToleratesThatThePeerLeaves)
{
	const std::string answer(ANSWER_BYTES, 'x');

	open(FINISH_MAX_US);
	stream_send(stream_, answer.data(), answer.size());
	stream_finish(stream_);
	close(peer_);
	peer_ = -1;
	for (int i = 0; i < 5; i++)
		turn();
	EXPECT_FALSE(stream_set_is_finishing(set_));
	EXPECT_EQ(0, owner_.closes);
}

struct LineCase {
	const char *name;
	std::vector<std::string> parts; /* as they arrive */
	std::vector<std::string> lines;
};

const LineCase line_cases[] = {
	{ "two lines", { "a\r\nb\r\n" }, { "a", "b" } },
	{ "an empty line", { "\r\n" }, { "" } },
	{ "no end yet", { "a\r\nb" }, { "a" } },
	{ "a line feed", { "WRITE 1 a\nb\r\n" }, { "WRITE 1 a\nb" } },
	{ "a carriage return", { "a\rb\r\n" }, { "a\rb" } },
	{ "both, the wrong way round", { "a\n\rb\r\n" }, { "a\n\rb" } },
	{ "returns before the end", { "a\r\r\r\n" }, { "a\r\r" } },
	{ "a line feed at first", { "\n\r\n" }, { "\n" } },
	{ "a statement in a field",
	  { "QUERY 1 WRITE 1 a\nQUERY 2 WRITE 2 b\r\n" },
	  { "QUERY 1 WRITE 1 a\nQUERY 2 WRITE 2 b" } },
	{ "a signature in a row",
	  { "ROW a\nCOMPLETE 7.1\nREADY I -\r\n" },
	  { "ROW a\nCOMPLETE 7.1\nREADY I -" } },
	{ "an end in two parts", { "a\r", "\nb\r", "\n" }, { "a", "b" } },
	{ "a return that is data", { "a\r", "b\r\n" }, { "a\rb" } },
	{ "a line feed in a part of its own",
	  { "a", "\n", "b\r\n" },
	  { "a\nb" } },
	{ "byte by byte", { "a", "\r", "\r", "\n", "\n" }, { "a\r" } },
	{ "a zero byte",
	  { std::string("a\0b\r\n", 5) },
	  { std::string("a\0b", 3) } },
};

/* A field with a line feed was passed on as two lines. */
TEST_F(Stream, OnlyCarriageReturnAndLineFeedEndALine)
{
	for (const LineCase &k : line_cases) {
		SCOPED_TRACE(k.name);
		if (set_)
			stream_set_free(set_);
		if (peer_ >= 0)
			close(peer_);
		owner_ = Owner();
		open(FINISH_MAX_US);
		for (const std::string &part : k.parts) {
			ASSERT_EQ((ssize_t)part.size(),
				  write(peer_, part.data(), part.size()));
			turn();
		}
		EXPECT_EQ(k.lines, owner_.lines);
		EXPECT_EQ(0, owner_.closes);
	}
}

/* The part that was searched is not searched again with each part. */
TEST_F(Stream, ALongLineArrivesInManyParts)
{
	std::string line(LINE_MAX_BYTES - 1, '\r');

	open(FINISH_MAX_US);
	for (size_t i = 0; i < line.size(); i++) {
		ASSERT_EQ(1, write(peer_, &line[i], 1));
		turn();
	}
	ASSERT_EQ(2, write(peer_, "\r\n", 2));
	turn();
	EXPECT_EQ(std::vector<std::string>{ line }, owner_.lines);
	EXPECT_EQ(0, owner_.closes);
	line.assign(LINE_MAX_BYTES + 1, '\n');
	ASSERT_EQ((ssize_t)line.size(), write(peer_, line.data(), line.size()));
	turn();
	EXPECT_EQ(1, owner_.closes);
}

} // namespace
