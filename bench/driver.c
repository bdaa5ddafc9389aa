#include "driver.h"

#include "base/loop.h"
#include "core/sizes.h"
#include "unit.h"

#include <glib.h>

enum {
	POLL_MAX_MS = 100,
	CONNECTIONS_KEPT = 2048,
	/* Longest wait for answers after the plan's end. */
	ANSWERS_WAIT_US = 15 * 1000 * 1000,
};

struct driver {
	struct unit_context ctx;
	int64_t due_us[PLAN_WORKSPACES_MAX]; /* next unit of each workspace */
	GPtrArray *idle; /* struct unit */
	GPtrArray *all; /* struct unit, owned */
	uint32_t running; /* units with a request in progress */
};

static void set_up(struct driver *d, const struct plan *p)
{
	struct unit_context *ctx = &d->ctx;
	int64_t now_us = loop_now_us();

	ctx->plan = p;
	ctx->records = records_new();
	ctx->records->start_us = now_us;
	ctx->records->wall_offset_us = g_get_real_time() - now_us;
	ctx->multi = curl_multi_init();
	curl_multi_setopt(ctx->multi, CURLMOPT_MAXCONNECTS,
			  (long)CONNECTIONS_KEPT);
	ctx->rand = g_rand_new_with_seed(1);
	ctx->nonce = (uint32_t)g_get_real_time();
	ctx->sessions =
		g_new0(struct session, (gsize)p->workspace_count * p->sessions);
	for (uint32_t i = 0; i < p->workspace_count; i++) {
		const struct plan_workspace *w = &p->workspaces[i];

		rate_check_init(&ctx->limits[i], w->limit_per_s, w->limit_burst,
				now_us);
		/* Offset by 1 ms each, so that workspaces do not coincide. */
		d->due_us[i] = now_us + (int64_t)i * US_PER_MS;
	}
	d->idle = g_ptr_array_new();
	d->all = g_ptr_array_new();
}

static void tear_down(struct driver *d)
{
	for (guint i = 0; i < d->all->len; i++)
		unit_free(g_ptr_array_index(d->all, i));
	g_ptr_array_free(d->all, TRUE);
	g_ptr_array_free(d->idle, TRUE);
	curl_multi_cleanup(d->ctx.multi);
	g_rand_free(d->ctx.rand);
	g_free(d->ctx.sessions);
}

static struct unit *get_idle_unit(struct driver *d)
{
	struct unit *u;

	d->running++;
	if (d->idle->len)
		return g_ptr_array_steal_index_fast(d->idle, d->idle->len - 1);
	u = unit_new(&d->ctx);
	g_ptr_array_add(d->all, u);
	return u;
}

static void update_surge(struct driver *d, int64_t since_us)
{
	const struct plan *p = d->ctx.plan;

	d->ctx.in_surge = false;
	for (uint32_t i = 0; i < p->workspace_count; i++) {
		const struct plan_workspace *w = &p->workspaces[i];

		d->ctx.in_surge |= since_us >= w->surge_from_us &&
				   since_us < w->surge_to_us;
	}
}

/* Starts all units that are due. Returns when the next one is due. */
static int64_t send_due(struct driver *d, int64_t now_us)
{
	const struct plan *p = d->ctx.plan;
	int64_t start_us = d->ctx.records->start_us;
	int64_t next_us = INT64_MAX;

	update_surge(d, now_us - start_us);
	for (uint32_t i = 0; i < p->workspace_count; i++) {
		int64_t *due = &d->due_us[i];

		while (*due <= now_us && *due < start_us + p->duration_us) {
			double rate =
				plan_rate(&p->workspaces[i], *due - start_us);

			unit_start(get_idle_unit(d), i, *due, now_us);
			*due += (int64_t)((double)US_PER_S / MAX(rate, 0.001));
		}
		next_us = MIN(next_us, *due);
	}
	return next_us;
}

static void handle_answers(struct driver *d)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(d->ctx.multi, &left))) {
		struct http_call *c = http_call_from_easy(m->easy_handle);
		struct unit *u = http_call_owner(c);

		if (m->msg != CURLMSG_DONE)
			continue;
		if (unit_handle_answer(u, m->data.result, loop_now_us())) {
			g_ptr_array_add(d->idle, u);
			d->running--;
		}
	}
}

struct records *driver_run(const struct plan *p)
{
	struct driver d = { 0 };
	int64_t end_us;
	int64_t now_us;

	set_up(&d, p);
	end_us = d.ctx.records->start_us + p->duration_us;
	now_us = d.ctx.records->start_us;
	while (now_us < end_us ||
	       (d.running && now_us < end_us + ANSWERS_WAIT_US)) {
		int64_t wait_us = send_due(&d, now_us) - now_us;
		int running;

		curl_multi_perform(d.ctx.multi, &running);
		handle_answers(&d);
		curl_multi_poll(d.ctx.multi, NULL, 0,
				(int)CLAMP(wait_us / US_PER_MS, 0, POLL_MAX_MS),
				NULL);
		now_us = loop_now_us();
	}
	tear_down(&d);
	return d.ctx.records;
}
