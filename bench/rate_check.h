/* rate_check.h - checks refusals and admissions against the rate limit. */
#ifndef BENCH_RATE_CHECK_H
#define BENCH_RATE_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The limit as one token bucket for all requests of a workspace. */
struct rate_check {
	double rate_per_s;
	double burst; /* most tokens */
	double tokens; /* left at at_us */
	int64_t at_us;
};

/* Starts with a full bucket. */
void rate_check_init(struct rate_check *c, double rate_per_s, double burst,
		     int64_t now_us);

/* Takes a token when a request is sent. Returns false if none was left. */
bool rate_check_take_token(struct rate_check *c, int64_t now_us);

/*
 * Corrects the bucket when the answer is known: gives the token back if the
 * request was refused, takes one if it was admitted without a token.
 */
void rate_check_correct(struct rate_check *c, bool had_token, bool admitted);

/*
 * Returns by how many requests the worst interval exceeds rate x time + burst,
 * at least 0. `admitted` holds struct admitted_request; a request counts in an
 * interval only if it was both sent and answered there.
 */
double rate_check_excess(const struct rate_check *c, const GArray *admitted,
			 int64_t start_us, int64_t end_us);

#endif
