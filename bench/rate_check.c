#include "rate_check.h"

#include "core/sizes.h"
#include "record.h"

/* Intervals are checked in steps of this size. */
enum { CELL_US = 100 * 1000 };

void rate_check_init(struct rate_check *c, double rate_per_s, double burst,
		     int64_t now_us)
{
	*c = (struct rate_check){
		.rate_per_s = rate_per_s,
		.burst = burst,
		.tokens = burst,
		.at_us = now_us,
	};
}

bool rate_check_take_token(struct rate_check *c, int64_t now_us)
{
	double gained = c->rate_per_s * (double)(now_us - c->at_us) / US_PER_S;

	c->tokens = MIN(c->tokens + gained, c->burst);
	c->at_us = now_us;
	if (c->tokens < 1)
		return false;
	c->tokens -= 1;
	return true;
}

void rate_check_correct(struct rate_check *c, bool had_token, bool admitted)
{
	if (had_token && !admitted)
		c->tokens = MIN(c->tokens + 1, c->burst);
	if (!had_token && admitted)
		c->tokens -= 1;
}

static uint32_t find_cell(int64_t at_us, int64_t start_us, uint32_t cells)
{
	int64_t cell = (at_us - start_us) / CELL_US;

	return (uint32_t)CLAMP(cell, 0, (int64_t)cells - 1);
}

/*
 * answered[from * cells + to] counts the requests that were sent in cell
 * `from` and answered in cell `to`. As `from` goes from the last cell to the
 * first, sum[to] counts the requests that were sent in cell `from` or later
 * and answered in cell `to`.
 */
double rate_check_excess(const struct rate_check *c, const GArray *admitted,
			 int64_t start_us, int64_t end_us)
{
	uint32_t cells = (uint32_t)((end_us - start_us) / CELL_US) + 1;
	uint32_t *answered = g_new0(uint32_t, (gsize)cells * cells);
	uint32_t *sum = g_new0(uint32_t, cells);
	double worst = 0;

	for (guint i = 0; i < admitted->len; i++) {
		const struct admitted_request *t =
			&g_array_index(admitted, struct admitted_request, i);
		uint32_t from = find_cell(t->sent_us, start_us, cells);
		uint32_t to = find_cell(t->done_us, start_us, cells);

		answered[(gsize)from * cells + to]++;
	}
	for (uint32_t from = cells; from-- > 0;) {
		uint32_t count = 0;

		for (uint32_t to = from; to < cells; to++) {
			double s = (double)(to - from + 1) * CELL_US / US_PER_S;

			sum[to] += answered[(gsize)from * cells + to];
			count += sum[to];
			worst = MAX(worst,
				    count - (c->rate_per_s * s + c->burst));
		}
	}
	g_free(answered);
	g_free(sum);
	return worst;
}
