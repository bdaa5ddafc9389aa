#include "proxy/drain.h"

#include "proxy/caller.h"
#include "proxy/engine_state.h"

enum {
	/*
	 * The load balancer checks once a second and takes an instance out of
	 * rotation after two failed checks. Callers whose sessions are closed
	 * earlier could be sent back here.
	 */
	OUT_OF_ROTATION_US = 2300 * 1000,
};

/*
 * Returns until when open transactions may continue: for the first half of the
 * grace time.
 */
static int64_t transaction_deadline_us(const struct engine *e)
{
	return e->drain_since_us + e->opts.grace_us / 2;
}

bool drain_should_close_session(const struct engine *e, const struct session *s,
				int64_t now_us)
{
	return e->drain_since_us && !s->op.active &&
	       s->transaction == TRANSACTION_NONE &&
	       now_us >= e->drain_since_us + OUT_OF_ROTATION_US;
}

int64_t drain_min_duration_us(void)
{
	return OUT_OF_ROTATION_US;
}

void drain_run(struct engine *e, int64_t now_us)
{
	GList *sessions;

	if (!e->drain_since_us)
		return;
	sessions = g_hash_table_get_keys(e->sessions);
	for (GList *l = sessions; l; l = l->next) {
		struct session *s = l->data;

		if (s->op.active)
			continue;
		if (drain_should_close_session(e, s, now_us) ||
		    now_us >= transaction_deadline_us(e))
			caller_close(s, now_us);
	}
	g_list_free(sessions);
}
