/* rate_check.h - judges refusals and admissions against the true limit. */
#ifndef BENCH_RATE_CHECK_H
#define BENCH_RATE_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The limit as one bucket that sees all requests of a workspace. */
struct rate_check {
	double rate_per_s;
	double burst;
	double level;
	int64_t at_us;
};

void rate_check_init(struct rate_check *c, double rate_per_s, double burst,
		     int64_t now_us);

/* Returns whether the bucket had a token; it is taken then. */
bool rate_check_send(struct rate_check *c, int64_t now_us);

/* Corrects the level once it is known whether the request was admitted. */
void rate_check_done(struct rate_check *c, bool had_token, bool admitted);

/*
 * Returns by how many requests the most crowded interval surpasses
 * rate x time + burst, at least 0. `taken` holds struct taken; a request
 * counts in an interval that holds both its sending and its answer.
 */
double rate_check_excess(const struct rate_check *c, const GArray *taken,
			 int64_t start_us, int64_t end_us);

#endif
