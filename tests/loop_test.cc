#include <gtest/gtest.h>

#include <apr_allocator.h>
#include <apr_general.h>
#include <unistd.h>

extern "C" {
#include "base/loop.h"
}

namespace
{

struct Counter {
	int calls = 0;
	int fd = -1;
};

void read_one(void *data, int events)
{
	Counter *c = static_cast<Counter *>(data);
	char b;

	EXPECT_TRUE(events & LOOP_READ);
	EXPECT_EQ(1, read(c->fd, &b, 1));
	c->calls++;
}

void count_timer(void *data, int64_t now_us)
{
	static_cast<Counter *>(data)->calls++;
}

TEST(Loop, CallsWatchAndTimerUntilDropped)
{
	apr_pool_t *pool = nullptr;
	struct loop *l = nullptr;
	int fds[2];
	Counter ready;
	Counter fired;

	apr_initialize();
	apr_pool_create(&pool, nullptr);
	ASSERT_EQ(0, pipe(fds));
	ASSERT_EQ(0, loop_new(&l, pool));
	ready.fd = fds[0];
	ASSERT_EQ(0, loop_watch(l, fds[0], LOOP_READ, read_one, &ready));
	loop_timer_set(loop_timer_add(l, count_timer, &fired), 0);
	ASSERT_EQ(1, write(fds[1], "x", 1));
	loop_run_once(l, 0);
	EXPECT_EQ(1, ready.calls);
	EXPECT_EQ(1, fired.calls);
	loop_unwatch(l, fds[0]);
	ASSERT_EQ(1, write(fds[1], "x", 1));
	loop_run_once(l, 0);
	EXPECT_EQ(1, ready.calls);
	close(fds[0]);
	close(fds[1]);
	apr_pool_destroy(pool);
}

/* The allocator unmaps its memory, so a pool destroyed twice crashes. */
TEST(Loop, IsFreedWithWatchesLeft)
{
	apr_allocator_t *allocator = nullptr;
	apr_pool_t *pool = nullptr;
	struct loop *l = nullptr;
	Counter ready;
	int fds[2];

	apr_initialize();
	ASSERT_EQ(0, pipe(fds));
	apr_allocator_create(&allocator);
	apr_pool_create_ex(&pool, nullptr, nullptr, allocator);
	apr_allocator_owner_set(allocator, pool);
	ASSERT_EQ(0, loop_new(&l, pool));
	ASSERT_EQ(0, loop_watch(l, fds[0], LOOP_READ, read_one, &ready));
	ASSERT_EQ(0, loop_watch(l, fds[1], LOOP_WRITE, read_one, &ready));
	apr_pool_destroy(pool);
	close(fds[0]);
	close(fds[1]);
}

} // namespace
