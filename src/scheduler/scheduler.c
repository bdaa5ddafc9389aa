#include "scheduler/scheduler.h"

#include <glib.h>

enum {
	MILLI = 1000,
	/*
	 * A class saves no more room than this many of its jobs need, beside
	 * the one that runs.
	 */
	CREDIT_JOBS_MAX = 2,
	/* Workspaces without a job are forgotten from this number on. */
	IDLE_FLOWS_MAX = 64,
};

/* The jobs of one workspace in a class. */
struct flow {
	uint64_t workspace;
	uint64_t end_us; /* virtual time at which its last job ends */
	uint32_t count;
};

struct class_queue {
	uint32_t class_number;
	GPtrArray *jobs; /* struct sched_job, in the order of sending */
	GHashTable *flows; /* by workspace */
	uint64_t virtual_us; /* start of the last job sent */
	/* Run time that it may take before higher classes, in thousandths. */
	int64_t credit_milli_us;
	bool due; /* it sends its next job before higher classes */
};

struct scheduler {
	struct scheduler_opts opts;
	GPtrArray *queues; /* struct class_queue, none empty, by class */
	uint32_t count;
	/* The current job; .passing is false if it may no longer be there. */
	bool passing;
	GPtrArray *order; /* struct class_queue, as they send */
	guint place; /* in .order */
	guint index; /* in that queue */
};

/* The jobs of one kind before a certain one, by their run time. */
struct work_before {
	int64_t urgent_us;
	int64_t class_us; /* of its class, its workspace included */
	int64_t workspace_us;
};

const char *sched_cause_text(enum sched_cause cause)
{
	static const char *const texts[SCHED_CAUSE_COUNT] = {
		[SCHED_CAUSE_URGENT] = "more urgent work",
		[SCHED_CAUSE_WORKSPACE] = "its own workspace",
		[SCHED_CAUSE_CLASS] = "other workspaces",
		[SCHED_CAUSE_RUNNING] = "running work",
		[SCHED_CAUSE_BLOCKED] = "an outage",
		[SCHED_CAUSE_FULL] = "a full queue",
	};

	return texts[cause];
}

static void class_queue_free(gpointer p)
{
	struct class_queue *q = p;

	g_ptr_array_free(q->jobs, TRUE);
	g_hash_table_destroy(q->flows);
	g_free(q);
}

struct scheduler *scheduler_new(const struct scheduler_opts *opts)
{
	struct scheduler *s = g_new0(struct scheduler, 1);

	s->opts = *opts;
	s->queues = g_ptr_array_new_with_free_func(class_queue_free);
	s->order = g_ptr_array_new();
	return s;
}

void scheduler_free(struct scheduler *s)
{
	g_ptr_array_free(s->order, TRUE);
	g_ptr_array_free(s->queues, TRUE);
	g_free(s);
}

static struct class_queue *get_queue(struct scheduler *s, uint32_t class_number)
{
	struct class_queue *q;
	guint i = 0;

	for (; i < s->queues->len; i++) {
		q = g_ptr_array_index(s->queues, i);
		if (q->class_number == class_number)
			return q;
		if (q->class_number > class_number)
			break;
	}
	q = g_new0(struct class_queue, 1);
	q->class_number = class_number;
	q->jobs = g_ptr_array_new();
	q->flows = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	g_ptr_array_insert(s->queues, (gint)i, q);
	return q;
}

static struct class_queue *find_queue(const struct sched_job *j)
{
	return get_queue(j->scheduler, j->class_number);
}

static gboolean is_flow_idle(gpointer key, gpointer value, gpointer data)
{
	const struct class_queue *q = data;
	const struct flow *f = value;

	return !f->count && f->end_us <= q->virtual_us;
}

static struct flow *get_flow(struct class_queue *q, uint64_t workspace)
{
	struct flow *f = g_hash_table_lookup(q->flows, &workspace);

	if (f)
		return f;
	if (g_hash_table_size(q->flows) > q->jobs->len + IDLE_FLOWS_MAX)
		g_hash_table_foreach_remove(q->flows, is_flow_idle, q);
	f = g_new0(struct flow, 1);
	f->workspace = workspace;
	g_hash_table_insert(q->flows, &f->workspace, f);
	return f;
}

static struct sched_job *get_job(const struct class_queue *q, guint i)
{
	return g_ptr_array_index(q->jobs, i);
}

/* Exchanges two jobs of a workspace, but not their places' virtual times. */
static void swap_jobs(struct class_queue *q, guint a, guint b)
{
	struct sched_job *first = get_job(q, a);
	struct sched_job *second = get_job(q, b);
	uint64_t tag = first->tag;

	first->tag = second->tag;
	second->tag = tag;
	q->jobs->pdata[a] = second;
	q->jobs->pdata[b] = first;
}

/* Moves a job before those of its workspace that may be sent later. */
static void move_by_latest(struct class_queue *q, guint i)
{
	for (guint k = i; k-- > 0;) {
		const struct sched_job *j = get_job(q, i);
		const struct sched_job *other = get_job(q, k);

		if (other->workspace != j->workspace)
			continue;
		if (other->latest_us <= j->latest_us)
			break;
		swap_jobs(q, k, i);
		i = k;
	}
}

static void insert_job(struct scheduler *s, struct sched_job *j)
{
	struct class_queue *q = get_queue(s, j->class_number);
	struct flow *f = get_flow(q, j->workspace);
	guint i = q->jobs->len;

	j->scheduler = s;
	j->run_us = MAX(j->run_us, (int64_t)1);
	j->tag = MAX(q->virtual_us, f->end_us);
	f->end_us = j->tag + (uint64_t)j->run_us;
	f->count++;
	while (i && get_job(q, i - 1)->tag > j->tag)
		i--;
	g_ptr_array_insert(q->jobs, (gint)i, j);
	move_by_latest(q, i);
	s->count++;
	s->passing = false;
}

/* Takes a job out of the list. Frees the queue if it was the last one. */
static void unlink_job(struct scheduler *s, struct class_queue *q, guint i)
{
	struct sched_job *j = g_ptr_array_remove_index(q->jobs, i);

	get_flow(q, j->workspace)->count--;
	j->scheduler = NULL;
	s->count--;
	if (q->jobs->len)
		return;
	g_ptr_array_remove(s->order, q);
	g_ptr_array_remove(s->queues, q);
}

void scheduler_remove(struct sched_job *j)
{
	struct scheduler *s = j->scheduler;
	struct class_queue *q;
	guint i;

	if (!s)
		return;
	q = find_queue(j);
	s->passing = false;
	if (!g_ptr_array_find(q->jobs, j, &i))
		return;
	/* Its workspace used no room: the later ones each move up. */
	for (guint k = i + 1; k < q->jobs->len; k++) {
		if (get_job(q, k)->workspace != j->workspace)
			continue;
		swap_jobs(q, i, k);
		i = k;
	}
	get_flow(q, j->workspace)->end_us = j->tag;
	unlink_job(s, q, i);
}

static bool shares_room(const struct sched_job *a, const struct sched_job *b,
			const struct sched_room *room)
{
	return room->shared || a->needs_primary == b->needs_primary;
}

/* Returns the time in which the endpoints run that work; 0: not known. */
static int64_t drain_us(const struct sched_room *room, int64_t run_us)
{
	return room->running ? run_us / room->running : 0;
}

static enum sched_cause find_cause(const struct work_before *w,
				   const struct sched_room *room)
{
	int64_t others_us = w->class_us - w->workspace_us;

	if (room->blocked_us)
		return SCHED_CAUSE_BLOCKED;
	if (!w->urgent_us && !w->class_us)
		return SCHED_CAUSE_RUNNING;
	if (w->urgent_us >= w->class_us)
		return SCHED_CAUSE_URGENT;
	return w->workspace_us >= others_us ? SCHED_CAUSE_WORKSPACE :
					      SCHED_CAUSE_CLASS;
}

static int64_t expected_wait_us(const struct scheduler *s,
				const struct sched_job *j,
				const struct work_before *w,
				const struct sched_room *room)
{
	int64_t own_us = w->class_us + j->run_us;
	int64_t wait_us = drain_us(room, w->urgent_us + own_us);

	if (room->blocked_us)
		return room->blocked_us;
	/* Its class has a part of the room to itself. */
	if (w->urgent_us && s->opts.part_milli)
		wait_us = MIN(wait_us, drain_us(room, own_us) * MILLI /
					       s->opts.part_milli);
	return wait_us;
}

static int64_t sum_run_us(const struct class_queue *q,
			  const struct sched_job *j,
			  const struct sched_room *room)
{
	int64_t sum_us = 0;

	for (guint i = 0; i < q->jobs->len; i++) {
		if (shares_room(get_job(q, i), j, room))
			sum_us += get_job(q, i)->run_us;
	}
	return sum_us;
}

static struct work_before measure_work(const struct scheduler *s,
				       const struct sched_job *j,
				       const struct sched_room *room)
{
	const struct class_queue *q = g_ptr_array_index(s->queues, 0);
	struct work_before w = { 0 };
	guint n = 0;

	while (q->class_number < j->class_number) {
		w.urgent_us += sum_run_us(q, j, room);
		q = g_ptr_array_index(s->queues, ++n);
	}
	for (guint i = 0; get_job(q, i) != j; i++) {
		const struct sched_job *other = get_job(q, i);

		if (!shares_room(other, j, room))
			continue;
		w.class_us += other->run_us;
		if (other->workspace == j->workspace)
			w.workspace_us += other->run_us;
	}
	return w;
}

struct sched_refusal scheduler_estimate(const struct sched_job *j,
					const struct sched_room *room)
{
	struct work_before w = measure_work(j->scheduler, j, room);
	struct sched_refusal r = {
		.job = (struct sched_job *)j,
		.cause = find_cause(&w, room),
		.wait_us = expected_wait_us(j->scheduler, j, &w, room),
	};

	return r;
}

/* The refusals that a new job causes. */
struct displacement {
	const struct sched_job *job;
	const struct sched_room *room;
	struct sched_refusal *out;
	uint32_t count;
	uint32_t max;
	int64_t now_us;
};

/* Finds the jobs of a lower class that are late behind a new one. */
static void find_late_behind(const struct scheduler *s,
			     const struct class_queue *q, struct work_before w,
			     struct displacement *d)
{
	for (guint i = 0; i < q->jobs->len && d->count < d->max; i++) {
		struct sched_job *j = get_job(q, i);
		int64_t wait_us;

		if (!shares_room(j, d->job, d->room))
			continue;
		wait_us = expected_wait_us(s, j, &w, d->room);
		if (d->now_us + wait_us > j->latest_us)
			d->out[d->count++] =
				(struct sched_refusal){ j, SCHED_CAUSE_URGENT,
							wait_us };
		else
			w.class_us += j->run_us;
	}
}

/* Takes out the jobs of lower classes that are late behind a new one. */
static void displace(struct scheduler *s, struct displacement *d)
{
	struct work_before w = { 0 };
	uint32_t first = d->count;

	for (guint i = 0; i < s->queues->len; i++) {
		const struct class_queue *q = g_ptr_array_index(s->queues, i);

		if (q->class_number > d->job->class_number)
			find_late_behind(s, q, w, d);
		w.urgent_us += sum_run_us(q, d->job, d->room);
	}
	for (uint32_t i = first; i < d->count; i++)
		scheduler_remove(d->out[i].job);
}

static struct sched_job *find_last(const struct scheduler *s)
{
	const struct class_queue *q =
		g_ptr_array_index(s->queues, s->queues->len - 1);

	return get_job(q, q->jobs->len - 1);
}

uint32_t scheduler_add(struct scheduler *s, struct sched_job *j,
		       const struct sched_room *room,
		       struct sched_refusal out[SCHED_REFUSED_MAX],
		       int64_t now_us)
{
	struct displacement d = { .job = j,
				  .room = room,
				  .out = out,
				  .max = SCHED_REFUSED_MAX,
				  .now_us = now_us };

	insert_job(s, j);
	out[0] = scheduler_estimate(j, room);
	if (now_us + out[0].wait_us > j->latest_us) {
		scheduler_remove(j);
		return 1;
	}
	if (s->count > s->opts.jobs_max) {
		out[0] = scheduler_estimate(find_last(s), room);
		out[0].cause = SCHED_CAUSE_FULL;
		scheduler_remove(out[0].job);
		if (out[0].job == j)
			return 1;
		d.count = 1;
	}
	displace(s, &d);
	return d.count;
}

/* Returns true if higher classes had their part of the room since its last. */
static bool is_due(const struct scheduler *s, const struct class_queue *q)
{
	return q != g_ptr_array_index(s->queues, 0) &&
	       q->credit_milli_us >= get_job(q, 0)->run_us * MILLI;
}

/* Divides the room that a job takes between its class and those below it. */
static void share_room(const struct scheduler *s, struct class_queue *q,
		       const struct sched_job *j)
{
	for (guint i = 0; i < s->queues->len; i++) {
		struct class_queue *lower = g_ptr_array_index(s->queues, i);
		int64_t max =
			get_job(lower, 0)->run_us * CREDIT_JOBS_MAX + j->run_us;

		if (lower->class_number <= q->class_number)
			continue;
		lower->credit_milli_us += j->run_us * s->opts.part_milli;
		lower->credit_milli_us =
			MIN(lower->credit_milli_us, max * MILLI);
	}
	q->credit_milli_us =
		MAX(q->credit_milli_us - j->run_us * MILLI, (int64_t)0);
}

static struct class_queue *get_current_queue(const struct scheduler *s)
{
	return g_ptr_array_index(s->order, s->place);
}

static struct sched_job *find_current(struct scheduler *s)
{
	while (s->passing && s->place < s->order->len) {
		const struct class_queue *q = get_current_queue(s);

		if (s->index < q->jobs->len)
			return get_job(q, s->index);
		s->place++;
		s->index = 0;
	}
	return NULL;
}

struct sched_job *scheduler_first(struct scheduler *s)
{
	g_ptr_array_set_size(s->order, 0);
	for (guint i = 0; i < s->queues->len; i++) {
		struct class_queue *q = g_ptr_array_index(s->queues, i);

		q->due = is_due(s, q);
		g_ptr_array_insert(s->order, q->due ? 0 : -1, q);
	}
	s->passing = true;
	s->place = 0;
	s->index = 0;
	return find_current(s);
}

struct sched_job *scheduler_skip(struct scheduler *s)
{
	s->index++;
	return find_current(s);
}

struct sched_job *scheduler_send(struct scheduler *s)
{
	struct class_queue *q = get_current_queue(s);
	struct sched_job *j = get_job(q, s->index);
	bool was_due = q->due;
	bool was_last = q->jobs->len == 1;
	guint i = s->index;

	/* Its workspace used room: the earlier ones that stay move back. */
	for (guint k = i; k-- > 0;) {
		if (get_job(q, k)->workspace != j->workspace)
			continue;
		swap_jobs(q, k, i);
		i = k;
	}
	q->virtual_us = MAX(q->virtual_us, j->tag);
	share_room(s, q, j);
	unlink_job(s, q, i);
	if (was_due)
		return scheduler_first(s);
	if (was_last)
		s->index = 0;
	return find_current(s);
}

struct sched_job *scheduler_find_late(const struct scheduler *s, int64_t now_us)
{
	for (guint i = 0; i < s->queues->len; i++) {
		const struct class_queue *q = g_ptr_array_index(s->queues, i);

		for (guint k = 0; k < q->jobs->len; k++) {
			if (now_us >= get_job(q, k)->latest_us)
				return get_job(q, k);
		}
	}
	return NULL;
}

uint32_t scheduler_count(const struct scheduler *s)
{
	return s->count;
}

uint32_t scheduler_count_reads(const struct scheduler *s)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->queues->len; i++) {
		const struct class_queue *q = g_ptr_array_index(s->queues, i);

		for (guint k = 0; k < q->jobs->len; k++)
			n += !get_job(q, k)->needs_primary;
	}
	return n;
}

uint32_t scheduler_count_workspace(const struct scheduler *s,
				   uint64_t workspace)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->queues->len; i++) {
		const struct class_queue *q = g_ptr_array_index(s->queues, i);
		const struct flow *f =
			g_hash_table_lookup(q->flows, &workspace);

		n += f ? f->count : 0;
	}
	return n;
}
