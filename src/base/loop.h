/* loop.h - the one event loop of a process, on an APR pollset. */
#ifndef BASE_LOOP_H
#define BASE_LOOP_H

#include <apr_pools.h>
#include <stdint.h>

/* Readiness of a descriptor; a bit set. */
enum { LOOP_READ = 1, LOOP_WRITE = 2, LOOP_ERROR = 4 };

struct loop;
struct loop_timer;

typedef void (*loop_fd_fn)(void *data, int events);
typedef void (*loop_timer_fn)(void *data, int64_t now_us);

/*
 * Creates a loop in a subpool of `parent` and frees it with that pool.
 * Returns 0 or a negative errno.
 */
int loop_new(struct loop **out, apr_pool_t *parent);

/* Returns the time of the steady clock, which counts suspended time. */
int64_t loop_now_us(void);

/*
 * Calls fn(data, ready) whenever fd is ready for one of `events`. A second
 * call for the same fd replaces events, fn and data. Returns 0 or a
 * negative errno. The descriptor stays the caller's, who calls
 * loop_unwatch() before closing it.
 */
int loop_watch(struct loop *l, int fd, int events, loop_fd_fn fn, void *data);
void loop_unwatch(struct loop *l, int fd);

/* Adds a stopped timer; it is freed with the loop. */
struct loop_timer *loop_timer_add(struct loop *l, loop_timer_fn fn, void *data);

/* The timer fires once at at_us; a negative time stops it. */
void loop_timer_set(struct loop_timer *t, int64_t at_us);

/*
 * Calls fn(data, now_us) once before each wait, for work that earlier
 * callbacks left over.
 */
void loop_set_before_wait(struct loop *l, loop_timer_fn fn, void *data);

/* Runs until loop_stop(). Returns 0 or a negative errno. */
int loop_run(struct loop *l);
void loop_stop(struct loop *l);

/* Waits once, at most max_wait_us, and runs what is due. */
int loop_run_once(struct loop *l, int64_t max_wait_us);

#endif
