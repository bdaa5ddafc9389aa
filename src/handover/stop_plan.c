#include "handover/stop_plan.h"

#include <glib.h>

enum {
	/*
	 * The load balancer checks once a second and takes an instance out of
	 * rotation after two failed checks. Callers whose sessions are closed
	 * earlier could be sent back here.
	 */
	OUT_OF_ROTATION_US = 2300 * 1000,
	/* The process ends this long before it would be killed. */
	END_MARGIN_US = 500 * 1000,
	/*
	 * A caller that pauses for less has probably not gone. Its next
	 * statement gets an answer; a closed connection would leave it unsure
	 * whether its COMMIT has run.
	 */
	TRANSACTION_IDLE_US = 500 * 1000,
	/* Time to send the last answers. */
	FLUSH_US = 100 * 1000,
};

void stop_plan_start(struct stop_plan *p, int64_t grace_us, int64_t now_us)
{
	p->since_us = now_us;
	p->idle_until_us = now_us + OUT_OF_ROTATION_US;
	p->end_us = now_us + grace_us - MIN(END_MARGIN_US, grace_us / 2);
	p->answers_until_us = MAX(now_us, p->end_us - FLUSH_US);
	p->transactions_until_us =
		MIN(now_us + grace_us / 2, p->answers_until_us);
}

enum stop_verdict stop_plan_judge(const struct stop_plan *p,
				  const struct stop_statement *s,
				  int64_t now_us)
{
	if (!p->since_us || now_us < p->transactions_until_us)
		return STOP_ACCEPT;
	if (now_us >= p->answers_until_us)
		return s->in_transaction ? STOP_ROLL_BACK : STOP_REFUSE;
	if (s->in_transaction)
		return s->commits ? STOP_ACCEPT : STOP_ROLL_BACK;
	return s->begins ? STOP_REFUSE : STOP_ACCEPT;
}

bool stop_plan_closes_idle(const struct stop_plan *p, int64_t now_us)
{
	return p->since_us && now_us >= p->idle_until_us;
}

bool stop_plan_closes_transaction(const struct stop_plan *p, int64_t idle_us,
				  int64_t now_us)
{
	if (!p->since_us || now_us < p->transactions_until_us)
		return false;
	return idle_us >= TRANSACTION_IDLE_US || now_us >= p->answers_until_us;
}

bool stop_plan_ends_statements(const struct stop_plan *p, int64_t now_us)
{
	return p->since_us && now_us >= p->answers_until_us;
}

bool stop_plan_allows_end(const struct stop_plan *p, int64_t now_us)
{
	return p->since_us && now_us > p->idle_until_us;
}
