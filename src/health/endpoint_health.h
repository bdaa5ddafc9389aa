/*
 * endpoint_health.h - how well an endpoint serves, by the work that it did.
 *
 * Pure. The upstream owns its record. An endpoint is compared with the others
 * of its service, so that a load that slows all of them condemns none.
 */
#ifndef HEALTH_ENDPOINT_HEALTH_H
#define HEALTH_ENDPOINT_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

enum health_work { HEALTH_READ, HEALTH_WRITE, HEALTH_HANDSHAKE, HEALTH_WORKS };

enum health_result {
	HEALTH_OK,
	HEALTH_ERROR, /* it answered that it failed */
	HEALTH_REFUSED, /* it did not run the work */
	HEALTH_NO_ANSWER, /* none within the time that such work takes */
};

enum health_step {
	HEALTH_STEP_FULL,
	HEALTH_STEP_REDUCED, /* less work, by its measured speed */
	HEALTH_STEP_TRIALS, /* a few reads at a time */
};

/* Counts of a recent span of time; also told between homes. */
struct health_counts {
	uint32_t done[HEALTH_WORKS];
	uint32_t failed[HEALTH_WORKS]; /* errors and no answers */
	int64_t took_us[HEALTH_WORKS]; /* sum over .done */
};

struct endpoint_health;

struct endpoint_health *endpoint_health_new(int64_t now_us);
void endpoint_health_free(struct endpoint_health *h);

/* Begins anew: another process runs under its id or address. */
void endpoint_health_reset(struct endpoint_health *h, int64_t now_us);

void endpoint_health_record(struct endpoint_health *h, enum health_work w,
			    enum health_result r, int64_t took_us,
			    int64_t now_us);

/* Records counts that another home told, `age_us` old when they came. */
void endpoint_health_hear(struct endpoint_health *h, uint64_t reporter,
			  const struct health_counts *c, int64_t age_us,
			  int64_t now_us);

/*
 * Judges all endpoints of a service again. Never puts more than half of them
 * below HEALTH_STEP_FULL, whatever the figures say.
 */
void endpoint_health_judge(struct endpoint_health **all, uint32_t count,
			   int64_t now_us);

enum health_step endpoint_health_step(const struct endpoint_health *h);

/* Returns the part of its usual work that it gets, in thousandths. */
uint32_t endpoint_health_weight_milli(const struct endpoint_health *h);

/* Returns true if a statement may be sent to it now. */
bool endpoint_health_may_send(const struct endpoint_health *h, bool writes,
			      uint32_t running, int64_t now_us);

#endif
