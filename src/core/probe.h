/*
 * probe.h - asks endpoints for their state and judges whether they answer.
 *
 * Each endpoint has one probe connection. A probe that is not answered in
 * time retires the connection; only when a fresh one brings no answer
 * either is the endpoint considered down.
 */
#ifndef CORE_PROBE_H
#define CORE_PROBE_H

#include "core/event.h"
#include "core/world.h"

#include <stdbool.h>
#include <stdint.h>

/* System: sends the probes that are due and retires silent connections. */
void probe_run(struct world *w, int64_t now_us);

/* Probes the group's endpoints now: requests wait for their state. */
void probe_hurry(struct world *w, uint32_t group, int64_t now_us);

/* A probe connection failed; its last question was sent at asked_us. */
void probe_failed(struct world *w, uint32_t endpoint, int64_t asked_us,
		  int64_t now_us);

/* An exchange on a probe connection ended. */
void probe_result(struct world *w, uint32_t endpoint, enum exchange_plan plan,
		  const struct exchange_result *x, int64_t now_us);

/* Sends a plan of a promotion; returns false when it must be asked again. */
bool probe_send(struct world *w, uint32_t endpoint, enum exchange_plan plan,
		uint64_t term, int64_t now_us);

#endif
