#include "rate_check.h"

#include "core/sizes.h"
#include "record.h"

/* Ends of the intervals that are looked at. */
enum { GRID_US = 100 * 1000 };

void rate_check_init(struct rate_check *c, double rate_per_s, double burst,
		     int64_t now_us)
{
	*c = (struct rate_check){
		.rate_per_s = rate_per_s,
		.burst = burst,
		.level = burst,
		.at_us = now_us,
	};
}

bool rate_check_send(struct rate_check *c, int64_t now_us)
{
	double gained = c->rate_per_s * (double)(now_us - c->at_us) / US_PER_S;

	c->level = MIN(c->level + gained, c->burst);
	c->at_us = now_us;
	if (c->level < 1)
		return false;
	c->level -= 1;
	return true;
}

void rate_check_done(struct rate_check *c, bool had_token, bool admitted)
{
	if (had_token && !admitted)
		c->level = MIN(c->level + 1, c->burst);
	if (!had_token && admitted)
		c->level -= 1;
}

static uint32_t cell_of(int64_t at_us, int64_t start_us, uint32_t cells)
{
	int64_t cell = (at_us - start_us) / GRID_US;

	return (uint32_t)CLAMP(cell, 0, (int64_t)cells - 1);
}

/*
 * For each first cell, from the last to the first, ended[] holds how many
 * requests that were sent since then were answered in each cell.
 */
double rate_check_excess(const struct rate_check *c, const GArray *taken,
			 int64_t start_us, int64_t end_us)
{
	uint32_t cells = (uint32_t)((end_us - start_us) / GRID_US) + 1;
	uint32_t *ended = g_new0(uint32_t, (gsize)cells * cells);
	uint32_t *sum = g_new0(uint32_t, cells);
	double worst = 0;

	for (guint i = 0; i < taken->len; i++) {
		const struct taken *t = &g_array_index(taken, struct taken, i);
		uint32_t from = cell_of(t->sent_us, start_us, cells);
		uint32_t to = cell_of(t->done_us, start_us, cells);

		ended[(gsize)from * cells + to]++;
	}
	for (uint32_t from = cells; from-- > 0;) {
		uint32_t count = 0;

		for (uint32_t to = from; to < cells; to++) {
			double s = (double)(to - from + 1) * GRID_US / US_PER_S;

			sum[to] += ended[(gsize)from * cells + to];
			count += sum[to];
			worst = MAX(worst,
				    count - (c->rate_per_s * s + c->burst));
		}
	}
	g_free(ended);
	g_free(sum);
	return worst;
}
