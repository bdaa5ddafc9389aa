#include "health/endpoint_health.h"

#include "core/sizes.h"

#include <glib.h>
#include <string.h>

enum {
	MILLI = 1000,
	BUCKETS = 8,
	/* Less work than this shows nothing. */
	SAMPLES_MIN = 8,
	/* Below full it gets little work, so less of it must do. */
	SAMPLES_MIN_REDUCED = 4,
	/* A single failure is chance. */
	FAILURES_MIN = 3,
	/*
	 * Part of failures beyond twice that of the others. Callers are owed
	 * nearly all answers in time, and each failure costs one of them a
	 * second attempt.
	 */
	REDUCED_FAILED_MILLI = 50,
	TRIALS_FAILED_MILLI = 250,
	/* Refusals are work that costs little, so more of them are borne. */
	REDUCED_REFUSED_MILLI = 200,
	REFUSED_WEIGHT_MILLI = 500,
	/* Slower than the others by this factor, and by SLOW_MIN_US. */
	SLOW_FACTOR = 3,
	/* More than the availability zones of a region are apart. */
	SLOW_MIN_US = 10 * 1000,
	/* In so many buckets, and in this part of them. */
	SLOW_BUCKETS_MIN = 2,
	SLOW_BUCKETS_MILLI = 750,
	OTHERS_MIN = 2, /* answers of others in a bucket */
	LOWEST_WEIGHT_MILLI = 125,
	TRIAL_READS = 1, /* at a time */
	TRIALS_OK_MIN = 3, /* before it gets more than trials */
	/* One of so many reads of the service is a trial, while there is one. */
	READS_PER_TRIAL = 20,
	/* So one that failed again and again gets fewer. */
	TRIALS_PER_HOLD = 8,
	/* Without any work in this many holds, trials end. */
	IDLE_HOLDS = 3,
};

static const int64_t BUCKET_US = 500 * US_PER_MS;
/* A step upwards comes at least this long after the last bad result. */
static const int64_t HOLD_US = 2000 * US_PER_MS;
static const int64_t HOLD_MAX_US = 16 * US_PER_S;
/* Between two steps of the weight upwards. */
static const int64_t RISE_US = 500 * US_PER_MS;
/* An endpoint that fails again so soon is held longer. */
static const int64_t RELAPSE_US = 15 * US_PER_S;

struct bucket {
	int64_t number; /* since time 0; older ones count no more */
	struct health_counts work[HEALTH_WORKS];
};

struct endpoint_health {
	struct bucket buckets[BUCKETS];
	enum health_step step;
	uint32_t weight_milli;
	struct health_finding finding;
	int64_t bad_us; /* last bad result or verdict while below full */
	int64_t risen_us; /* last change of the weight upwards */
	int64_t full_us; /* when it came back to full; 0: never left */
	int64_t hold_us;
	uint32_t trials_ok; /* since the last failure in trials */
	uint32_t reads; /* of the service, since the last trial */
	int64_t trial_us; /* when the last trial was sent */
};

struct comparison {
	struct health_finding finding;
	uint32_t compared; /* buckets with answers of both sides */
	uint32_t slower; /* of these, where it was slow */
};

/* What the figures of an endpoint call for. */
struct verdict {
	bool trials;
	uint32_t weight_milli;
	struct health_finding finding;
};

struct endpoint_health *endpoint_health_new(void)
{
	struct endpoint_health *h = g_new0(struct endpoint_health, 1);

	h->weight_milli = HEALTH_WEIGHT_FULL_MILLI;
	h->hold_us = HOLD_US;
	return h;
}

void endpoint_health_free(struct endpoint_health *h)
{
	g_free(h);
}

static struct bucket *find_bucket(struct endpoint_health *h, int64_t now_us)
{
	int64_t number = now_us / BUCKET_US;
	struct bucket *b = &h->buckets[number % BUCKETS];

	if (b->number != number) {
		memset(b, 0, sizeof(*b));
		b->number = number;
	}
	return b;
}

void endpoint_health_record(struct endpoint_health *h, enum health_work w,
			    enum health_result r, int64_t took_us,
			    int64_t now_us)
{
	struct health_counts *c = &find_bucket(h, now_us)->work[w];

	if (r == HEALTH_OK) {
		c->done++;
		c->took_us += took_us;
		h->trials_ok += w == HEALTH_READ;
		return;
	}
	if (r == HEALTH_REFUSED)
		c->refused++;
	else
		c->failed++;
	if (h->step != HEALTH_STEP_TRIALS || w == HEALTH_WRITE)
		return;
	h->trials_ok = 0;
	h->bad_us = now_us;
}

static void add_counts(struct health_counts *sum, const struct health_counts *c)
{
	sum->done += c->done;
	sum->failed += c->failed;
	sum->refused += c->refused;
	sum->took_us += c->took_us;
}

static uint32_t total(const struct health_counts *c)
{
	return c->done + c->failed + c->refused;
}

/* Returns a part of all in thousandths; 0 if there are none. */
static int64_t part_milli(uint32_t part, uint32_t all)
{
	return all ? (int64_t)part * MILLI / all : 0;
}

/* Returns the weight that its failures and refusals leave it. */
static uint32_t weigh_failures(const struct health_finding *f, bool *trials)
{
	const struct health_counts *own = &f->own;
	const struct health_counts *others = &f->others;
	int64_t failed = part_milli(own->failed, total(own)) -
			 2 * part_milli(others->failed, total(others));
	int64_t refused = part_milli(own->refused, total(own)) -
			  2 * part_milli(others->refused, total(others));

	if (own->failed >= FAILURES_MIN && failed >= REDUCED_FAILED_MILLI) {
		*trials = failed >= TRIALS_FAILED_MILLI;
		return (uint32_t)MAX(MILLI - SLOW_FACTOR * failed,
				     LOWEST_WEIGHT_MILLI);
	}
	if (own->refused >= FAILURES_MIN && refused >= REDUCED_REFUSED_MILLI)
		return REFUSED_WEIGHT_MILLI;
	return HEALTH_WEIGHT_FULL_MILLI;
}

/* Returns true if `own` took longer than the way to another zone explains. */
static bool is_slow(const struct health_counts *own,
		    const struct health_counts *others)
{
	int64_t own_us = own->took_us / own->done;
	int64_t others_us = others->took_us / others->done;

	return own_us >= SLOW_FACTOR * others_us &&
	       own_us - others_us >= SLOW_MIN_US;
}

static uint32_t weigh_speed(const struct comparison *x, uint32_t least)
{
	const struct health_counts *own = &x->finding.own;
	const struct health_counts *others = &x->finding.others;
	int64_t milli;

	if (own->done < least || x->slower < SLOW_BUCKETS_MIN ||
	    x->slower * MILLI < x->compared * SLOW_BUCKETS_MILLI)
		return HEALTH_WEIGHT_FULL_MILLI;
	milli = others->took_us * own->done * MILLI /
		(own->took_us * others->done);
	return (uint32_t)CLAMP(milli, LOWEST_WEIGHT_MILLI,
			       HEALTH_WEIGHT_FULL_MILLI - 1);
}

static void judge_work(const struct endpoint_health *h,
		       const struct comparison *x, struct verdict *v)
{
	const struct health_finding *f = &x->finding;
	uint32_t least =
		h->step == HEALTH_STEP_FULL ? SAMPLES_MIN : SAMPLES_MIN_REDUCED;
	uint32_t weight;
	bool trials = false;

	if (total(&f->own) < least)
		return;
	weight = MIN(weigh_failures(f, &trials), weigh_speed(x, least));
	if (weight >= v->weight_milli && (v->trials || !trials))
		return;
	v->trials |= trials;
	v->weight_milli = MIN(weight, v->weight_milli);
	v->finding = *f;
}

static const struct bucket *get_bucket(const struct endpoint_health *h,
				       int64_t number)
{
	static const struct bucket empty;
	const struct bucket *b = &h->buckets[number % BUCKETS];

	return b->number == number ? b : &empty;
}

/* Adds what the other endpoints that are not on trial did in that time. */
static struct health_counts sum_others(struct endpoint_health *const *all,
				       uint32_t count, uint32_t self,
				       enum health_work w, int64_t number)
{
	struct health_counts sum = { 0 };

	for (uint32_t i = 0; i < count; i++) {
		if (i != self && all[i]->step != HEALTH_STEP_TRIALS)
			add_counts(&sum, &get_bucket(all[i], number)->work[w]);
	}
	return sum;
}

/*
 * Compares what an endpoint did with what the others did at the same time, so
 * that a change which meets all of them is not taken for one of its own.
 */
static struct comparison compare(struct endpoint_health *const *all,
				 uint32_t count, uint32_t self,
				 enum health_work w, int64_t now_us)
{
	struct comparison x = { .finding.work = w };
	int64_t last = now_us / BUCKET_US;

	for (int64_t n = MAX(last - BUCKETS + 1, 0); n <= last; n++) {
		const struct health_counts *own =
			&get_bucket(all[self], n)->work[w];
		struct health_counts others;

		if (!total(own))
			continue;
		others = sum_others(all, count, self, w, n);
		add_counts(&x.finding.own, own);
		add_counts(&x.finding.others, &others);
		if (!own->done || others.done < OTHERS_MIN)
			continue;
		x.compared++;
		x.slower += is_slow(own, &others);
	}
	return x;
}

static struct verdict judge_one(struct endpoint_health *const *all,
				uint32_t count, uint32_t self, int64_t now_us)
{
	static const enum health_work works[] = { HEALTH_READ,
						  HEALTH_HANDSHAKE };
	struct verdict v = { .weight_milli = HEALTH_WEIGHT_FULL_MILLI };

	for (uint32_t i = 0; i < G_N_ELEMENTS(works); i++) {
		struct comparison x =
			compare(all, count, self, works[i], now_us);

		judge_work(all[self], &x, &v);
	}
	return v;
}

/* Results from before a change of step say nothing about what it led to. */
static void set_step(struct endpoint_health *h, enum health_step step,
		     uint32_t weight_milli)
{
	h->step = step;
	h->weight_milli = weight_milli;
	memset(h->buckets, 0, sizeof(h->buckets));
}

/* Lengthens the hold of an endpoint that failed again soon. */
static void begin_hold(struct endpoint_health *h, int64_t now_us)
{
	if (h->step != HEALTH_STEP_FULL)
		h->hold_us = MIN(2 * h->hold_us, HOLD_MAX_US);
	else if (h->full_us && now_us - h->full_us < RELAPSE_US)
		h->hold_us = MIN(2 * h->hold_us, HOLD_MAX_US);
	else
		h->hold_us = HOLD_US;
	h->bad_us = now_us;
	h->risen_us = now_us;
	h->trials_ok = 0;
}

static void put_lower(struct endpoint_health *h, const struct verdict *v,
		      int64_t now_us)
{
	h->finding = v->finding;
	if (v->trials && h->step != HEALTH_STEP_TRIALS) {
		begin_hold(h, now_us);
		set_step(h, HEALTH_STEP_TRIALS, LOWEST_WEIGHT_MILLI);
	} else if (h->step == HEALTH_STEP_FULL) {
		begin_hold(h, now_us);
		set_step(h, HEALTH_STEP_REDUCED, v->weight_milli);
	} else {
		h->bad_us = now_us;
		h->weight_milli = MIN(h->weight_milli, v->weight_milli);
	}
}

static void set_full(struct endpoint_health *h, int64_t now_us)
{
	set_step(h, HEALTH_STEP_FULL, HEALTH_WEIGHT_FULL_MILLI);
	h->full_us = now_us;
}

static bool trials_are_over(const struct endpoint_health *h, int64_t now_us)
{
	return h->trials_ok >= TRIALS_OK_MIN ||
	       now_us - h->bad_us >= IDLE_HOLDS * h->hold_us;
}

/* Gives an endpoint without bad results more work, step by step. */
static void rise(struct endpoint_health *h, int64_t now_us)
{
	if (h->step == HEALTH_STEP_FULL || now_us - h->bad_us < h->hold_us ||
	    now_us - h->risen_us < RISE_US)
		return;
	if (h->step == HEALTH_STEP_TRIALS) {
		if (!trials_are_over(h, now_us))
			return;
		set_step(h, HEALTH_STEP_REDUCED, LOWEST_WEIGHT_MILLI);
	} else {
		h->weight_milli *= 2;
		if (h->weight_milli >= HEALTH_WEIGHT_FULL_MILLI)
			set_full(h, now_us);
	}
	h->risen_us = now_us;
}

/* Counts those that stay below full whatever their figures say now. */
static uint32_t count_below_full(struct endpoint_health *const *all,
				 uint32_t count)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < count; i++)
		n += all[i]->step != HEALTH_STEP_FULL;
	return n;
}

static bool is_worse(const struct verdict *a, const struct verdict *b)
{
	if (a->trials != b->trials)
		return a->trials;
	return a->weight_milli < b->weight_milli;
}

/* Returns the one that serves best of those below full. */
static struct endpoint_health *find_best_below(struct endpoint_health **all,
					       uint32_t count)
{
	struct endpoint_health *best = NULL;

	for (uint32_t i = 0; i < count; i++) {
		struct endpoint_health *h = all[i];

		if (h->step == HEALTH_STEP_FULL)
			continue;
		if (!best || h->step < best->step ||
		    (h->step == best->step &&
		     h->weight_milli > best->weight_milli))
			best = h;
	}
	return best;
}

/* Returns the worst of those at full that should be lower, or -1. */
static int find_worst(struct endpoint_health *const *all,
		      const struct verdict *v, uint32_t count)
{
	int worst = -1;

	for (uint32_t i = 0; i < count; i++) {
		if (all[i]->step != HEALTH_STEP_FULL ||
		    v[i].weight_milli == HEALTH_WEIGHT_FULL_MILLI)
			continue;
		if (worst < 0 || is_worse(&v[i], &v[worst]))
			worst = (int)i;
	}
	return worst;
}

/*
 * Makes room below full for one more endpoint that calls for `v`. One that
 * fails goes before one that is slow.
 */
static bool make_room(struct endpoint_health **all, uint32_t count,
		      const struct verdict *v, int64_t now_us)
{
	struct endpoint_health *best;

	if (count_below_full(all, count) < count / 2)
		return true;
	best = find_best_below(all, count);
	if (!best || !v->trials || best->step == HEALTH_STEP_TRIALS)
		return false;
	set_full(best, now_us);
	return true;
}

static void apply_verdicts(struct endpoint_health **all,
			   const struct verdict *v, uint32_t count,
			   int64_t now_us)
{
	int worst;

	for (uint32_t i = 0; i < count; i++) {
		if (all[i]->step == HEALTH_STEP_FULL)
			continue;
		if (v[i].weight_milli < HEALTH_WEIGHT_FULL_MILLI)
			put_lower(all[i], &v[i], now_us);
		else
			rise(all[i], now_us);
	}
	/* Members may have left since. */
	while (count_below_full(all, count) > count / 2)
		set_full(find_best_below(all, count), now_us);
	worst = find_worst(all, v, count);
	while (worst >= 0 && make_room(all, count, &v[worst], now_us)) {
		put_lower(all[worst], &v[worst], now_us);
		worst = find_worst(all, v, count);
	}
}

void endpoint_health_judge(struct endpoint_health **all, uint32_t count,
			   int64_t now_us)
{
	struct verdict *v = g_new0(struct verdict, count);

	for (uint32_t i = 0; i < count; i++)
		v[i] = judge_one(all, count, i, now_us);
	apply_verdicts(all, v, count, now_us);
	g_free(v);
}

enum health_step endpoint_health_step(const struct endpoint_health *h)
{
	return h->step;
}

uint32_t endpoint_health_weight_milli(const struct endpoint_health *h)
{
	return h->weight_milli;
}

const struct health_finding *
endpoint_health_finding(const struct endpoint_health *h)
{
	return &h->finding;
}

bool endpoint_health_may_read(const struct endpoint_health *h, uint32_t running)
{
	return h->step != HEALTH_STEP_TRIALS || running < TRIAL_READS;
}

void endpoint_health_count_read(struct endpoint_health *h)
{
	h->reads = MIN(h->reads + 1, READS_PER_TRIAL);
}

bool endpoint_health_trial_is_due(const struct endpoint_health *h,
				  uint32_t running, int64_t now_us)
{
	return h->step != HEALTH_STEP_FULL && running < TRIAL_READS &&
	       h->reads >= READS_PER_TRIAL &&
	       now_us - h->trial_us >= h->hold_us / TRIALS_PER_HOLD;
}

void endpoint_health_begin_trial(struct endpoint_health *h, int64_t now_us)
{
	h->reads = 0;
	h->trial_us = now_us;
}
