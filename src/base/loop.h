/* loop.h - the event loop of the process, on an APR pollset. */
#ifndef BASE_LOOP_H
#define BASE_LOOP_H

#include <apr_pools.h>
#include <stdint.h>

/* Readiness of a descriptor; a bit set. */
enum { LOOP_READ = 1, LOOP_WRITE = 2, LOOP_ERROR = 4 };

struct loop;
struct loop_timer;

/* `events` are the LOOP_ bits for which the descriptor is ready. */
typedef void (*loop_fd_fn)(void *data, int events);
typedef void (*loop_timer_fn)(void *data, int64_t now_us);

/*
 * Creates a loop in a subpool of `parent`; it is freed with `parent`.
 * Returns 0 or a negative errno.
 */
int loop_new(struct loop **out, apr_pool_t *parent);

/*
 * Returns the time of the monotonic clock, which also counts the time while
 * the machine is suspended.
 */
int64_t loop_now_us(void);

/*
 * Calls fn(data, ready) whenever fd is ready for one of `events`, or has an
 * error. A second call for the same fd replaces events, fn and data. Returns
 * 0 or a negative errno. The caller keeps the ownership of the descriptor and
 * calls loop_unwatch() before closing it.
 */
int loop_watch(struct loop *l, int fd, int events, loop_fd_fn fn, void *data);
void loop_unwatch(struct loop *l, int fd);

/* Adds a stopped timer; it is freed with the loop. */
struct loop_timer *loop_timer_add(struct loop *l, loop_timer_fn fn, void *data);

/*
 * Makes the timer fire once at at_us of loop_now_us(), or at once if that
 * has passed; a negative time stops it.
 */
void loop_timer_set(struct loop_timer *t, int64_t at_us);

/*
 * Calls fn(data, now_us) once before each wait, for work that callbacks
 * deferred.
 */
void loop_set_before_wait(struct loop *l, loop_timer_fn fn, void *data);

/* Runs until loop_stop(). Returns 0 or a negative errno. */
int loop_run(struct loop *l);
void loop_stop(struct loop *l);

/*
 * Waits once, at most max_wait_us, and runs the callbacks that are due.
 * Returns 0 or a negative errno.
 */
int loop_run_once(struct loop *l, int64_t max_wait_us);

#endif
