#include "direct.h"

#include "base/loop.h"
#include "core/sizes.h"
#include "figure.h"
#include "pg_client.h"
#include "plan.h"
#include "primary.h"
#include "record.h"

#include <argp.h>
#include <glib.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>

enum option_key { KEY_PLAN = 256, KEY_JSON, KEY_LABEL };

enum {
	/* Few connections to each endpoint, as one instance has. */
	CLIENTS_PER_ENDPOINT = 16,
	CLIENTS_MAX = CLIENTS_PER_ENDPOINT * PLAN_ENDPOINTS_MAX,
	POLL_WAIT_MS = 1,
	ANSWERS_WAIT_US = 5 * 1000 * 1000,
};

struct direct_opts {
	const char *plan;
	const char *json;
	const char *label;
};

struct queued_work {
	int64_t due_us;
	bool write;
};

struct direct {
	const struct plan *plan;
	GRand *rand;
	int64_t start_us;
	int64_t due_us[PLAN_WORKSPACES_MAX]; /* next work of each workspace */
	uint32_t primary[PLAN_GROUPS_MAX]; /* index in the plan */
	uint32_t client_count;
	struct pg_client *clients[CLIENTS_MAX];
	struct pollfd fds[CLIENTS_MAX];
	GQueue *queues[PLAN_ENDPOINTS_MAX]; /* struct queued_work */
	uint64_t next_order;
	uint64_t failed;
	uint32_t running; /* clients that wait for an answer */
	bool writes[CLIENTS_MAX]; /* whether each client runs a write */
	GArray *reads_us; /* int64_t latencies */
	GArray *writes_us;
};

static const struct argp_option options[] = {
	{ "plan", KEY_PLAN, "FILE", 0, "JSON file with the workload", 0 },
	{ "json", KEY_JSON, "FILE", 0, "append the figures as a JSON line", 0 },
	{ "label", KEY_LABEL, "TEXT", 0, "name of the run in the JSON line",
	  0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct direct_opts *o = state->input;

	switch (key) {
	case KEY_PLAN:
		o->plan = arg;
		return 0;
	case KEY_JSON:
		o->json = arg;
		return 0;
	case KEY_LABEL:
		o->label = arg;
		return 0;
	case ARGP_KEY_END:
		if (!o->plan)
			argp_error(state, "--plan is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp parser = {
	options, parse_option, NULL, "Sends the workload of a plan over libpq.",
	NULL,	 NULL,	       NULL
};

static bool add_clients(struct direct *d, const struct plan_endpoint *e)
{
	for (int i = 0; i < CLIENTS_PER_ENDPOINT; i++) {
		struct pg_client *c = pg_client_new(e->port);

		if (!c)
			return false;
		d->fds[d->client_count] = (struct pollfd){
			.fd = pg_client_socket(c),
			.events = POLLIN,
		};
		d->clients[d->client_count++] = c;
	}
	return true;
}

/* Clients of endpoint e start at index e * CLIENTS_PER_ENDPOINT. */
static bool set_up(struct direct *d, const struct plan *p)
{
	d->plan = p;
	d->rand = g_rand_new_with_seed(1);
	d->reads_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	d->writes_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (uint32_t g = 0; g < p->group_count; g++) {
		const struct plan_endpoint *e = find_primary(p, p->groups[g]);

		if (!e)
			return false;
		d->primary[g] = (uint32_t)(e - p->endpoints);
	}
	for (uint32_t e = 0; e < p->endpoint_count; e++) {
		d->queues[e] = g_queue_new();
		if (!add_clients(d, &p->endpoints[e]))
			return false;
	}
	d->start_us = loop_now_us();
	for (uint32_t w = 0; w < p->workspace_count; w++)
		d->due_us[w] = d->start_us + (int64_t)w * US_PER_MS;
	return true;
}

static void tear_down(struct direct *d)
{
	for (uint32_t e = 0; e < d->plan->endpoint_count; e++) {
		if (d->queues[e])
			g_queue_free_full(d->queues[e], g_free);
	}
	for (uint32_t i = 0; i < d->client_count; i++)
		pg_client_free(d->clients[i]);
	g_array_free(d->reads_us, TRUE);
	g_array_free(d->writes_us, TRUE);
	g_rand_free(d->rand);
}

/*
 * Draws work by the workspace's mix. Reads of kind WORK_READ go to any
 * endpoint of the group; the plan lists each group's endpoints in sequence.
 */
static void queue_work(struct direct *d, const struct plan_workspace *w,
		       int64_t due_us)
{
	uint32_t group =
		(uint32_t)g_rand_int_range(d->rand, 0,
					   (gint32)d->plan->group_count);
	uint32_t endpoint = d->primary[group];
	enum work_kind kind = plan_draw_kind(w, d->rand);
	struct queued_work *x = g_new0(struct queued_work, 1);

	x->due_us = due_us;
	x->write = kind != WORK_READ && kind != WORK_STRICT;
	if (kind == WORK_READ) {
		uint32_t n = d->plan->endpoint_count / d->plan->group_count;

		endpoint = endpoint / n * n +
			   (uint32_t)g_rand_int_range(d->rand, 0, (gint32)n);
	}
	g_queue_push_tail(d->queues[endpoint], x);
}

static void queue_due_work(struct direct *d, int64_t now_us)
{
	const struct plan *p = d->plan;

	for (uint32_t i = 0; i < p->workspace_count; i++) {
		int64_t *due = &d->due_us[i];

		while (*due <= now_us && *due < d->start_us + p->duration_us) {
			queue_work(d, &p->workspaces[i], *due);
			*due += (int64_t)((double)US_PER_S /
					  MAX(p->workspaces[i].rate_per_s,
					      0.001));
		}
	}
}

static void send_work(struct direct *d, uint32_t i)
{
	GQueue *queue = d->queues[i / CLIENTS_PER_ENDPOINT];
	struct pg_client *c = d->clients[i];
	struct queued_work *x;
	char id[ORDER_ID_BYTES];

	if (!pg_client_idle(c) || g_queue_is_empty(queue))
		return;
	x = g_queue_pop_head(queue);
	g_snprintf(id, sizeof(id), "direct-%" G_GUINT64_FORMAT,
		   d->next_order++);
	pg_client_send(c, x->write, id, x->due_us);
	d->running++;
	d->writes[i] = x->write;
	g_free(x);
}

static void receive_answer(struct direct *d, uint32_t i)
{
	int64_t due_us;
	int64_t took_us;
	bool ok;

	if (!pg_client_receive(d->clients[i], &ok, &due_us))
		return;
	d->running--;
	took_us = loop_now_us() - due_us;
	if (!ok)
		d->failed++;
	else if (d->writes[i])
		g_array_append_val(d->writes_us, took_us);
	else
		g_array_append_val(d->reads_us, took_us);
}

static void run(struct direct *d)
{
	int64_t end_us = d->start_us + d->plan->duration_us;
	int64_t now_us = d->start_us;

	while (now_us < end_us ||
	       (d->running && now_us < end_us + ANSWERS_WAIT_US)) {
		queue_due_work(d, now_us);
		for (uint32_t i = 0; i < d->client_count; i++)
			send_work(d, i);
		poll(d->fds, d->client_count, POLL_WAIT_MS);
		for (uint32_t i = 0; i < d->client_count; i++) {
			if (d->fds[i].revents && !pg_client_idle(d->clients[i]))
				receive_answer(d, i);
		}
		now_us = loop_now_us();
	}
}

static int report(struct direct *d, const struct direct_opts *o)
{
	struct figures *f = figures_new();
	int rc = 0;

	figures_add(f, "served", d->reads_us->len + d->writes_us->len,
		    "requests");
	figures_add(f, "failed", (double)d->failed, "requests");
	figures_add(f, "throughput",
		    (double)(d->reads_us->len + d->writes_us->len) * US_PER_S /
			    (double)d->plan->duration_us,
		    "1/s");
	figures_add_percentiles(f, "latency_reads", d->reads_us);
	figures_add_percentiles(f, "latency_writes", d->writes_us);
	figures_print(f);
	if (o->json)
		rc = figures_append(f, o->json, o->label);
	figures_free(f);
	return rc ? 1 : 0;
}

int direct_main(int argc, char **argv)
{
	struct direct_opts o = { .label = "direct" };
	struct plan *p = g_new0(struct plan, 1);
	struct direct *d = g_new0(struct direct, 1);
	int rc = 1;

	argp_parse(&parser, argc, argv, 0, NULL, &o);
	if (!plan_load(p, o.plan)) {
		if (set_up(d, p)) {
			run(d);
			rc = report(d, &o);
		} else {
			fprintf(stderr,
				"direct: a group has no primary, or an endpoint "
				"does not accept connections\n");
		}
		tear_down(d);
	}
	g_free(d);
	g_free(p);
	return rc;
}
