#include "share_fleet.h"

#include "core/world.h"

#include <glib.h>
#include <string.h>

enum { STEPS_MAX = 12000 };

static const int64_t STEP_US = 5 * US_PER_MS;
static const int64_t IDLE_US = 5 * US_PER_S;

static const int64_t LEASE_US = 3600 * US_PER_S;

/* A platform operation, answered in the next step. */
struct operation {
	uint32_t node; /* index of the core that started it */
	struct platform_start start;
};

struct fleet {
	struct world **nodes;
	uint32_t count;
	int64_t now_us;
	int64_t revision;
	struct record stored; /* the share record */
	GArray *operations; /* struct operation, not yet answered */
	uint64_t reads;
	uint64_t writes;
	int64_t last_operation_us; /* time of the last operation */
};

static void format_node_name(char out[NAME_BYTES], uint32_t i)
{
	g_snprintf(out, NAME_BYTES, "node-%03u", i);
}

/* Notifies all cores of a changed record. */
static void deliver_record(struct fleet *f, const struct record *r)
{
	struct event e = { .type = EVENT_RECORD_PUT, .record = r };

	for (uint32_t i = 0; i < f->count; i++)
		world_handle_event(f->nodes[i], &e, f->now_us);
}

/* Compare-and-swap of the share record. */
static void apply_write(struct fleet *f, const struct platform_start *p,
			struct platform_result *r)
{
	f->writes++;
	if (p->expected_revision != f->stored.revision) {
		r->outcome = PLATFORM_REFUSED;
		return;
	}
	f->stored = p->record;
	f->stored.revision = ++f->revision;
}

static void execute_operation(struct fleet *f, const struct operation *o)
{
	struct platform_result r = { .operation_id = o->start.operation_id,
				     .outcome = PLATFORM_APPLIED };
	struct event e = { .type = EVENT_PLATFORM_RESULT, .platform = &r };
	int64_t before = f->stored.revision;

	if (o->start.operation == PLATFORM_CAS_SHARE)
		apply_write(f, &o->start, &r);
	else
		f->reads++;
	r.found = f->stored.revision > 0;
	r.record = f->stored;
	f->last_operation_us = f->now_us;
	world_handle_event(f->nodes[o->node], &e, f->now_us);
	if (f->stored.revision != before)
		deliver_record(f, &f->stored);
}

/* Queues the platform operations of a core; drops its other actions. */
static void collect_operations(struct fleet *f, uint32_t node)
{
	struct operation o = { .node = node };
	struct action a;

	while (world_next_action(f->nodes[node], &a)) {
		if (a.type != ACTION_PLATFORM)
			continue;
		o.start = *a.platform;
		g_array_append_val(f->operations, o);
	}
}

static void report_synced(struct fleet *f, uint32_t node)
{
	struct event e = { .type = EVENT_CONFIG_SYNCED };

	e.synced.revision = f->revision;
	e.synced.requested_us = f->now_us;
	world_handle_event(f->nodes[node], &e, f->now_us);
}

static void run_step(struct fleet *f)
{
	GArray *due = f->operations;

	f->now_us += STEP_US;
	f->operations = g_array_new(FALSE, TRUE, sizeof(struct operation));
	for (uint32_t i = 0; i < due->len; i++)
		execute_operation(f, &g_array_index(due, struct operation, i));
	g_array_free(due, TRUE);
	for (uint32_t i = 0; i < f->count; i++) {
		report_synced(f, i);
		world_tick(f->nodes[i], f->now_us);
		collect_operations(f, i);
	}
}

/* Returns the time from now until the last operation. */
static int64_t run_until_idle(struct fleet *f)
{
	int64_t start_us = f->now_us;

	f->last_operation_us = f->now_us;
	for (uint32_t i = 0; i < STEPS_MAX; i++) {
		run_step(f);
		if (f->now_us - f->last_operation_us > IDLE_US)
			break;
	}
	return f->last_operation_us - start_us;
}

static struct world *create_node(const struct fleet *f, uint32_t i)
{
	struct world_opts o = world_opts_default();

	format_node_name(o.instance, i);
	g_strlcpy(o.zone, "zone-0", sizeof(o.zone));
	o.incarnation = i + 1;
	o.seed = i + 1;
	o.requests_max = 16;
	return world_new(&o, f->now_us);
}

static void add_member(struct fleet *f, uint32_t i)
{
	struct record r = { .kind = RECORD_MEMBER };

	r.revision = ++f->revision;
	format_node_name(r.member.name, i);
	g_strlcpy(r.member.zone, "zone-0", sizeof(r.member.zone));
	r.member.incarnation = i + 1;
	deliver_record(f, &r);
}

static void start_fleet(struct fleet *f)
{
	struct event e = { .type = EVENT_LEASE_RENEWED };

	for (uint32_t i = 0; i < f->count; i++)
		f->nodes[i] = create_node(f, i);
	for (uint32_t i = 0; i < f->count; i++)
		add_member(f, i);
	e.lease.requested_us = f->now_us;
	e.lease.ttl_us = LEASE_US;
	for (uint32_t i = 0; i < f->count; i++)
		world_handle_event(f->nodes[i], &e, f->now_us);
}

static void fleet_clear(struct fleet *f)
{
	for (uint32_t i = 0; i < f->count; i++)
		world_free(f->nodes[i]);
	g_free(f->nodes);
	g_array_free(f->operations, TRUE);
}

struct share_fleet_counts share_fleet_measure(uint32_t instances)
{
	struct fleet f = { .count = instances, .now_us = 1000 * US_PER_S };
	struct event drain = { .type = EVENT_DRAIN };
	struct share_fleet_counts c;

	f.nodes = g_new0(struct world *, instances);
	f.operations = g_array_new(FALSE, TRUE, sizeof(struct operation));
	f.stored.kind = RECORD_SHARE;
	start_fleet(&f);
	c.join_us = run_until_idle(&f);
	c.join_reads = f.reads;
	c.join_writes = f.writes;
	world_handle_event(f.nodes[0], &drain, f.now_us);
	run_until_idle(&f);
	c.leave_reads = f.reads - c.join_reads;
	c.leave_writes = f.writes - c.join_writes;
	fleet_clear(&f);
	return c;
}
