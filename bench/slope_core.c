#include "slope_core.h"

#include "share_fleet.h"
#include "virtual_host.h"

#include "core/world_report.h"

#include <glib.h>
#include <malloc.h>
#include <time.h>

enum {
	REPEATS = 3,
	SETTLE_US = 2 * 1000 * 1000,
	MEASURE_US = 1 * 1000 * 1000,
	READS = 2000,
};

static const struct virtual_host_opts default_opts = {
	.endpoints = 9,
	.workspaces = 8,
	.members = 7,
	.requests_max = 2048,
};

static const uint32_t endpoints[] = { 9, 90, 900, 2700 };
static const uint32_t requests[] = { 1000, 4000, 10000 };
static const uint32_t workspaces[] = { 8, 80, 800 };
static const uint32_t members[] = { 4, 16, 64, 256, 1024, 6200 };
static const uint32_t records[] = { 10, 100, 1000 };
static const uint32_t instances[] = { 4, 8, 16, 32 };

static int64_t get_cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return t.tv_sec * INT64_C(1000000000) + t.tv_nsec;
}

static size_t get_heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static void print_point(FILE *out, const char *what, const char *by, uint32_t x,
			double y, const char *unit)
{
	fprintf(out, "core.%s.by_%s %u %.6g %s\n", what, by, x, y, unit);
}

/* Measures one second of ticks and of the events they cause. */
static void measure_run(FILE *out, struct virtual_host *h, const char *by,
			uint32_t x)
{
	struct virtual_host_counts c = virtual_host_counts(h);
	struct virtual_host_counts d;
	int64_t start_ns = get_cpu_ns();
	uint64_t ticks = virtual_host_run(h, MEASURE_US);
	double ns = (double)(get_cpu_ns() - start_ns);

	d = virtual_host_counts(h);
	print_point(out, "tick", by, x, ns / (double)ticks, "ns/tick");
	print_point(out, "cpu", by, x, ns / 1e7, "%core");
	print_point(out, "exchanges", by, x,
		    (double)(d.exchanges - c.exchanges), "1/s");
	print_point(out, "peer_messages", by, x,
		    (double)(d.peer_messages - c.peer_messages), "1/s");
	print_point(out, "peer_bytes", by, x,
		    (double)(d.peer_bytes - c.peer_bytes), "B/s");
	print_point(out, "platform_operations", by, x,
		    (double)(d.platform_operations - c.platform_operations),
		    "1/s");
}

static void measure_reads(FILE *out, struct virtual_host *h, const char *by,
			  uint32_t x)
{
	uint64_t replies = virtual_host_counts(h).replies;
	int64_t start_ns = get_cpu_ns();

	virtual_host_serve_reads(h, READS);
	replies = virtual_host_counts(h).replies - replies;
	print_point(out, "read", by, x,
		    (double)(get_cpu_ns() - start_ns) / READS, "ns/read");
	print_point(out, "answered", by, x, (double)replies / READS, "part");
}

static void measure_host(FILE *out, const struct virtual_host_opts *o,
			 const char *by, uint32_t x)
{
	size_t before = get_heap_bytes();
	struct virtual_host *h = virtual_host_new(o);

	virtual_host_run(h, SETTLE_US);
	print_point(out, "memory", by, x, (double)(get_heap_bytes() - before),
		    "B");
	measure_run(out, h, by, x);
	measure_reads(out, h, by, x);
	virtual_host_free(h);
}

static void measure_by_endpoints(FILE *out, uint32_t x)
{
	struct virtual_host_opts o = default_opts;

	o.endpoints = x;
	measure_host(out, &o, "endpoints", x);
}

static void measure_by_workspaces(FILE *out, uint32_t x)
{
	struct virtual_host_opts o = default_opts;

	o.workspaces = x;
	measure_host(out, &o, "workspaces", x);
}

static void measure_by_members(FILE *out, uint32_t x)
{
	struct virtual_host_opts o = default_opts;

	o.members = x;
	measure_host(out, &o, "members", x);
}

/* Measures with x requests in progress and a request table of that size. */
static void measure_by_requests(FILE *out, uint32_t x)
{
	struct virtual_host_opts o = default_opts;
	size_t before = get_heap_bytes();
	struct virtual_host *h;

	o.requests_max = x + READS;
	h = virtual_host_new(&o);
	virtual_host_run(h, SETTLE_US);
	virtual_host_hold_reads(h, x);
	print_point(out, "memory", "requests", x,
		    (double)(get_heap_bytes() - before), "B");
	print_point(out, "held", "requests", x,
		    (double)world_report(virtual_host_world(h),
					 virtual_host_now_us(h))
			    .requests,
		    "requests");
	measure_run(out, h, "requests", x);
	measure_reads(out, h, "requests", x);
	virtual_host_free(h);
}

struct record_kind_row {
	const char *name;
	void (*put)(struct virtual_host *h, uint32_t i);
	uint32_t existing; /* records of the kind that are configured */
};

static const struct record_kind_row record_kinds[] = {
	{ "workspace_records", virtual_host_put_workspace, 800 },
	{ "key_records", virtual_host_put_key, 1 },
	{ "endpoint_records", virtual_host_put_endpoint, 900 },
};

/* Measures the time to apply x changed records of each kind. */
static void measure_by_records(FILE *out, uint32_t x)
{
	for (size_t k = 0; k < G_N_ELEMENTS(record_kinds); k++) {
		const struct record_kind_row *r = &record_kinds[k];
		struct virtual_host_opts o = default_opts;
		struct virtual_host *h;
		int64_t start_ns;

		o.workspaces = 800;
		o.endpoints = 900;
		h = virtual_host_new(&o);
		virtual_host_run(h, SETTLE_US);
		start_ns = get_cpu_ns();
		for (uint32_t i = 0; i < x; i++)
			r->put(h, i % r->existing);
		print_point(out, "apply", r->name, x,
			    (double)(get_cpu_ns() - start_ns) / 1e3, "us");
		virtual_host_free(h);
	}
}

/* Counts operations when x instances start at once and then one leaves. */
static void measure_by_instances(FILE *out, uint32_t x)
{
	struct share_fleet_counts c = share_fleet_measure(x);

	print_point(out, "share_join_reads", "instances", x,
		    (double)c.join_reads, "calls");
	print_point(out, "share_join_writes", "instances", x,
		    (double)c.join_writes, "calls");
	print_point(out, "share_join_time", "instances", x,
		    (double)c.join_us / 1e6, "s");
	print_point(out, "share_leave_calls", "instances", x,
		    (double)(c.leave_reads + c.leave_writes), "calls");
}

struct dimension {
	void (*measure)(FILE *out, uint32_t x);
	const uint32_t *sizes;
	size_t count;
};

static const struct dimension dimensions[] = {
	{ measure_by_endpoints, endpoints, G_N_ELEMENTS(endpoints) },
	{ measure_by_requests, requests, G_N_ELEMENTS(requests) },
	{ measure_by_workspaces, workspaces, G_N_ELEMENTS(workspaces) },
	{ measure_by_members, members, G_N_ELEMENTS(members) },
	{ measure_by_records, records, G_N_ELEMENTS(records) },
	{ measure_by_instances, instances, G_N_ELEMENTS(instances) },
};

static void measure_dimension(FILE *out, const struct dimension *d)
{
	for (uint32_t repeat = 0; repeat < REPEATS; repeat++) {
		for (size_t i = 0; i < d->count; i++)
			d->measure(out, d->sizes[i]);
	}
}

void slope_core_print(FILE *out)
{
	for (size_t i = 0; i < G_N_ELEMENTS(dimensions); i++)
		measure_dimension(out, &dimensions[i]);
}
