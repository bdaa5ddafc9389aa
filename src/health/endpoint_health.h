/*
 * endpoint_health.h - how well an endpoint serves, by the work that it did.
 *
 * Pure. The upstream owns its record, so another process under the same id
 * begins anew. An endpoint is compared with the others of its service, so that
 * a load that slows all of them condemns none.
 */
#ifndef HEALTH_ENDPOINT_HEALTH_H
#define HEALTH_ENDPOINT_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* Only the primary does writes, so they are counted but not compared. */
enum health_work { HEALTH_READ, HEALTH_WRITE, HEALTH_HANDSHAKE, HEALTH_WORKS };

enum health_result {
	HEALTH_OK,
	HEALTH_ERROR, /* it answered that it failed */
	HEALTH_REFUSED, /* it is overloaded and did not run the work */
	HEALTH_NO_ANSWER, /* none within the time that such work takes */
};

enum health_step {
	HEALTH_STEP_FULL,
	HEALTH_STEP_REDUCED, /* less work, by its weight */
	HEALTH_STEP_TRIALS, /* a few reads at a time */
};

enum { HEALTH_WEIGHT_FULL_MILLI = 1000 };

/* Counts of one kind of work. */
struct health_counts {
	uint32_t done;
	uint32_t failed; /* errors and no answers */
	uint32_t refused;
	int64_t took_us; /* sum over .done */
};

/* What the last change of step was decided by. */
struct health_finding {
	enum health_work work;
	struct health_counts own;
	struct health_counts others; /* endpoints of the service */
};

struct endpoint_health;

/* Freed with endpoint_health_free(). */
struct endpoint_health *endpoint_health_new(void);
void endpoint_health_free(struct endpoint_health *h);

void endpoint_health_record(struct endpoint_health *h, enum health_work w,
			    enum health_result r, int64_t took_us,
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

const struct health_finding *
endpoint_health_finding(const struct endpoint_health *h);

/*
 * Returns true if a read may be sent to it beside `running` statements that it
 * runs for this instance.
 */
bool endpoint_health_may_read(const struct endpoint_health *h,
			      uint32_t running);

/* Records that the service sent a read to any of its endpoints. */
void endpoint_health_count_read(struct endpoint_health *h);

/*
 * Returns true if the next read should go to it, so that its figures stay
 * young: it is below full, and the last such read was long enough ago.
 */
bool endpoint_health_trial_is_due(const struct endpoint_health *h,
				  uint32_t running, int64_t now_us);
/* Records that such a read was sent to it. */
void endpoint_health_begin_trial(struct endpoint_health *h, int64_t now_us);

#endif
