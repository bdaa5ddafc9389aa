/*
 * failover.h - gives a service a new primary.
 *
 * Run by the holder of the duty. A round draws a fencing token, asks every
 * copy for its state, stops what could still acknowledge commits, chooses
 * by failover_plan.h, writes the choice to the store and orders the
 * promotion. An order without an answer may be carried out later, also one
 * of a holder that died: a choice in the store whose term has not come is
 * open, and the next round names the same endpoint again if it can.
 */
#ifndef PROXY_FAILOVER_H
#define PROXY_FAILOVER_H

#include "proxy/upstream.h"
#include "proxy/upstream_conn.h"

#include <stdbool.h>
#include <stdint.h>

struct engine;
struct silence_views;
struct takeovers;

struct takeovers *takeovers_new(struct engine *e);
void takeovers_free(struct takeovers *t);

/* Returns the table of what other instances cannot reach. */
struct silence_views *takeovers_views(struct takeovers *t);

/* A choice was read from the store. */
void takeover_choice(struct takeovers *t, const struct store_item *item);

/* Starts and advances rounds. */
void takeovers_run(struct takeovers *t, int64_t now_us);

/* The token that was asked for; 0: none could be had. */
void takeover_token(struct takeovers *t, uint64_t token, int64_t now_us);

/* Answers on control connections. */
void takeover_conn_ready(struct takeovers *t, struct upstream_conn *c,
			 int64_t now_us);
void takeover_conn_lost(struct takeovers *t, struct upstream_conn *c,
			int64_t now_us);
void takeover_report(struct takeovers *t, struct upstream_conn *c,
		     const struct upstream_report *r, int64_t now_us);
void takeover_no_report(struct takeovers *t, struct upstream_conn *c,
			enum answer_code code, int64_t now_us);

/* The endpoint is no longer known. */
void takeover_forget(struct takeovers *t, const struct upstream *u);

#endif
