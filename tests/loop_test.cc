#include <gtest/gtest.h>

#include <apr_allocator.h>
#include <apr_general.h>
#include <unistd.h>

extern "C" {
#include "base/loop.h"
}

namespace
{

struct CallCounter {
	int calls = 0;
	int fd = -1;
};

void on_readable(void *data, int events)
{
	CallCounter *c = static_cast<CallCounter *>(data);
	char b;

	EXPECT_TRUE(events & LOOP_READ);
	EXPECT_EQ(1, read(c->fd, &b, 1));
	c->calls++;
}

void on_timer(void *data, int64_t now_us)
{
	static_cast<CallCounter *>(data)->calls++;
}

TEST(Loop, CallsTimerAndWatchUntilItIsRemoved)
{
	apr_pool_t *pool = nullptr;
	struct loop *l = nullptr;
	int fds[2];
	CallCounter ready;
	CallCounter fired;

	apr_initialize();
	apr_pool_create(&pool, nullptr);
	ASSERT_EQ(0, pipe(fds));
	ASSERT_EQ(0, loop_new(&l, pool));
	ready.fd = fds[0];
	ASSERT_EQ(0, loop_watch(l, fds[0], LOOP_READ, on_readable, &ready));
	loop_timer_set(loop_timer_add(l, on_timer, &fired), 0);
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

/*
 * Destroying the parent pool must not destroy a watch's pool twice. The pool
 * has an allocator of its own, which unmaps its memory, so that this crashes.
 */
TEST(Loop, IsFreedWithWatchesThatAreNotRemoved)
{
	apr_allocator_t *allocator = nullptr;
	apr_pool_t *pool = nullptr;
	struct loop *l = nullptr;
	CallCounter ready;
	int fds[2];

	apr_initialize();
	ASSERT_EQ(0, pipe(fds));
	apr_allocator_create(&allocator);
	apr_pool_create_ex(&pool, nullptr, nullptr, allocator);
	apr_allocator_owner_set(allocator, pool);
	ASSERT_EQ(0, loop_new(&l, pool));
	ASSERT_EQ(0, loop_watch(l, fds[0], LOOP_READ, on_readable, &ready));
	ASSERT_EQ(0, loop_watch(l, fds[1], LOOP_WRITE, on_readable, &ready));
	apr_pool_destroy(pool);
	close(fds[0]);
	close(fds[1]);
}

} // namespace
