/*
 * leave.h - how a home that is stopping passes on its work.
 *
 * It first tells the homes that get its workspaces which connections those
 * use, goes on serving for as long as these take to open, and then announces
 * that it is leaving. See handover/home_handover.h.
 */
#ifndef PROXY_LEAVE_H
#define PROXY_LEAVE_H

#include "proxy/engine.h"
#include "proxy/upstream.h"

/* Begins when the instance is asked to stop. */
void leave_start(struct engine *e, int64_t now_us);

/* Announces that this home is leaving, once it is time. */
void leave_run(struct engine *e, int64_t now_us);

/* Handles another home's message, PEER_HANDOVER. */
void leave_handle_message(struct engine *e, const struct peer_message *m,
			  int64_t now_us);

/* Opens connections that a home which is stopping has told of. */
void leave_open_conns(struct engine *e, struct service *svc, int64_t now_us);

#endif
