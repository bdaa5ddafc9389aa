#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

extern "C" {
#include "scheduler/scheduler.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;

struct Queue {
	explicit Queue(uint32_t jobs_max = 1000, uint32_t part_milli = 50)
	{
		const struct scheduler_opts o = { jobs_max, part_milli };

		s = scheduler_new(&o);
	}
	~Queue()
	{
		scheduler_free(s);
	}
	Queue(const Queue &) = delete;
	Queue &operator=(const Queue &) = delete;

	struct scheduler *s;
};

struct sched_job make_job(uint32_t class_number, uint64_t workspace,
			  int64_t latest_us, bool needs_primary = false,
			  int64_t run_us = 10 * MS)
{
	struct sched_job j = {};

	j.class_number = class_number;
	j.workspace = workspace;
	j.needs_primary = needs_primary;
	j.latest_us = latest_us;
	j.run_us = run_us;
	return j;
}

const struct sched_room ROOM = { 4, 0, false };

/* Adds jobs with enough time to all run; returns the number refused. */
uint32_t add_all(struct scheduler *s, std::vector<sched_job> &jobs,
		 const struct sched_room &room = ROOM, int64_t now_us = 0)
{
	struct sched_refusal out[SCHED_REFUSED_MAX];
	uint32_t n = 0;

	for (sched_job &j : jobs)
		n += scheduler_add(s, &j, &room, out, now_us);
	return n;
}

std::vector<long> list_order(struct scheduler *s,
			     const std::vector<sched_job> &jobs)
{
	std::vector<long> order;

	for (struct sched_job *j = scheduler_first(s); j; j = scheduler_skip(s))
		order.push_back(j - jobs.data());
	return order;
}

/* Order */

struct OrderCase {
	const char *name;
	std::vector<sched_job> jobs;
	std::vector<long> order;
};

const OrderCase order_cases[] = {
	{ "the same urgency: by arrival",
	  { make_job(1, 1, S), make_job(1, 1, S), make_job(1, 1, S) },
	  { 0, 1, 2 } },
	{ "the more urgent class first",
	  { make_job(2, 1, S), make_job(0, 1, S), make_job(1, 1, S) },
	  { 1, 2, 0 } },
	{ "jobs whose duration is not known are no exception",
	  { make_job(2, 1, S, false, 0), make_job(2, 1, S, false, 0),
	    make_job(1, 1, S, false, 0) },
	  { 2, 0, 1 } },
	{ "workspaces take turns",
	  { make_job(1, 1, S), make_job(1, 1, S), make_job(1, 1, S),
	    make_job(1, 2, S), make_job(1, 3, S), make_job(1, 2, S) },
	  { 0, 3, 4, 1, 5, 2 } },
	{ "in a workspace the one that must be sent earliest",
	  { make_job(1, 1, 3 * S), make_job(1, 2, 3 * S), make_job(1, 1, 2 * S),
	    make_job(1, 1, 1 * S) },
	  { 3, 1, 2, 0 } },
	{ "an early time does not go before other workspaces",
	  { make_job(1, 1, 3 * S), make_job(1, 1, 3 * S), make_job(1, 2, 3 * S),
	    make_job(1, 1, 1 * S) },
	  { 3, 2, 0, 1 } },
	{ "a workspace with long statements gets as much time",
	  { make_job(1, 1, S, false, 30 * MS),
	    make_job(1, 1, S, false, 30 * MS), make_job(1, 2, S),
	    make_job(1, 2, S), make_job(1, 2, S), make_job(1, 2, S) },
	  { 0, 2, 3, 4, 1, 5 } },
};

TEST(Scheduler, OrdersByClassWorkspaceAndTime)
{
	for (const OrderCase &k : order_cases) {
		std::vector<sched_job> jobs = k.jobs;
		Queue q;

		EXPECT_EQ(0u, add_all(q.s, jobs)) << k.name;
		EXPECT_EQ(k.order, list_order(q.s, jobs)) << k.name;
	}
}

TEST(Scheduler, WorkspaceThatLeavesPaysForNothing)
{
	std::vector<sched_job> jobs(10, make_job(1, 1, S));
	Queue q;

	jobs.push_back(make_job(1, 2, S));
	jobs.push_back(make_job(1, 2, S));
	jobs.push_back(make_job(1, 1, S));
	jobs.push_back(make_job(1, 2, S));
	add_all(q.s, jobs);
	for (size_t i = 1; i < 10; i++)
		scheduler_remove(&jobs[i]);
	EXPECT_EQ((std::vector<long>{ 0, 10, 12, 11, 13 }),
		  list_order(q.s, jobs));
	scheduler_remove(&jobs[12]);
	jobs[1] = make_job(1, 1, S);
	struct sched_refusal out[SCHED_REFUSED_MAX];
	EXPECT_EQ(0u, scheduler_add(q.s, &jobs[1], &ROOM, out, 0));
	EXPECT_EQ((std::vector<long>{ 0, 10, 11, 1, 13 }),
		  list_order(q.s, jobs));
}

TEST(Scheduler, SentJobCountsAgainstItsWorkspace)
{
	std::vector<sched_job> jobs(3, make_job(1, 1, S));
	Queue q;

	jobs.push_back(make_job(1, 2, S));
	add_all(q.s, jobs);
	EXPECT_EQ(&jobs[0], scheduler_first(q.s));
	EXPECT_EQ(&jobs[3], scheduler_send(q.s));
	/* A workspace that waited for nothing gets no more than its turn. */
	jobs[0] = make_job(1, 3, S);
	struct sched_refusal out[SCHED_REFUSED_MAX];
	EXPECT_EQ(0u, scheduler_add(q.s, &jobs[0], &ROOM, out, 0));
	EXPECT_EQ((std::vector<long>{ 3, 0, 1, 2 }), list_order(q.s, jobs));
}

/* Admission */

struct AdmissionCase {
	const char *name;
	std::vector<sched_job> waiting;
	struct sched_room room;
	struct sched_job job;
	bool enters;
	enum sched_cause cause; /* of a refusal */
	int64_t wait_us; /* expected */
};

std::vector<sched_job> repeat(int n, const sched_job &j)
{
	return std::vector<sched_job>((size_t)n, j);
}

/* As long as a route with a target of 400 ms allows. */
const int64_t MAX_WAIT = 240 * MS;

const AdmissionCase admission_cases[] = {
	{ "nothing runs: no wait is expected",
	  {},
	  { 0, 0, false },
	  make_job(1, 1, MAX_WAIT, false, 20 * MS),
	  true,
	  SCHED_CAUSE_RUNNING,
	  0 },
	{ "a short queue", repeat(8, make_job(1, 1, MAX_WAIT, false, 30 * MS)),
	  ROOM, make_job(1, 1, MAX_WAIT, false, 30 * MS), true,
	  SCHED_CAUSE_WORKSPACE, 67500 },
	{ "a long queue", repeat(80, make_job(1, 1, MAX_WAIT, false, 30 * MS)),
	  ROOM, make_job(1, 1, MAX_WAIT, false, 30 * MS), false,
	  SCHED_CAUSE_WORKSPACE, 607500 },
	{ "a long queue of its workspace, all of which can wait longer",
	  repeat(80, make_job(1, 1, S, false, 30 * MS)), ROOM,
	  make_job(1, 1, MAX_WAIT, false, 30 * MS), true, SCHED_CAUSE_RUNNING,
	  7500 },
	{ "a long queue of its workspace, none of it more urgent",
	  repeat(80, make_job(1, 1, MAX_WAIT, false, 10 * MS)), ROOM,
	  make_job(1, 1, MAX_WAIT, false, 200 * MS), false,
	  SCHED_CAUSE_WORKSPACE, 250 * MS },
	{ "the same queue of another workspace",
	  repeat(80, make_job(1, 2, MAX_WAIT, false, 10 * MS)), ROOM,
	  make_job(1, 1, MAX_WAIT, false, 200 * MS), true, SCHED_CAUSE_CLASS,
	  52500 },
	{ "the same queue of a less urgent class",
	  repeat(80, make_job(2, 1, S, false, 10 * MS)), ROOM,
	  make_job(1, 1, MAX_WAIT, false, 200 * MS), true, SCHED_CAUSE_RUNNING,
	  50 * MS },
	{ "the same queue of a more urgent class",
	  repeat(80, make_job(0, 2, MAX_WAIT, false, 10 * MS)), ROOM,
	  make_job(1, 1, MAX_WAIT, false, 200 * MS), false, SCHED_CAUSE_URGENT,
	  250 * MS },
	{ "its class has a part of the room",
	  repeat(400, make_job(0, 2, S, false, 10 * MS)), ROOM,
	  make_job(1, 1, MAX_WAIT, false, 10 * MS), true, SCHED_CAUSE_URGENT,
	  50 * MS },
	{ "reads beside writes that wait for a primary",
	  repeat(80, make_job(0, 1, S, true, 20 * MS)), ROOM,
	  make_job(1, 1, MAX_WAIT, false, 20 * MS), true, SCHED_CAUSE_RUNNING,
	  5 * MS },
	{ "writes beside reads that wait for replicas",
	  repeat(80, make_job(0, 1, S, false, 20 * MS)), ROOM,
	  make_job(1, 1, MAX_WAIT, true, 20 * MS), true, SCHED_CAUSE_RUNNING,
	  5 * MS },
	{ "reads beside writes if there is one endpoint only",
	  repeat(80, make_job(0, 1, S, true, 20 * MS)),
	  { 4, 0, true },
	  make_job(1, 1, MAX_WAIT, false, 80 * MS),
	  false,
	  SCHED_CAUSE_URGENT,
	  400 * MS },
	{ "an outage that ends too late",
	  {},
	  { 0, 300 * MS, false },
	  make_job(1, 1, MAX_WAIT, true, 20 * MS),
	  false,
	  SCHED_CAUSE_BLOCKED,
	  300 * MS },
	{ "an outage that ends in time",
	  {},
	  { 0, 200 * MS, false },
	  make_job(1, 1, MAX_WAIT, true, 20 * MS),
	  true,
	  SCHED_CAUSE_BLOCKED,
	  200 * MS },
	{ "an outage that ends in time, with work before it",
	  repeat(20, make_job(0, 1, S, true, 10 * MS)),
	  { 0, 200 * MS, false },
	  make_job(0, 1, MAX_WAIT + 200 * MS, true, 10 * MS),
	  true,
	  SCHED_CAUSE_BLOCKED,
	  200 * MS },
};

TEST(Scheduler, AdmitsByWhatRunsBefore)
{
	for (const AdmissionCase &k : admission_cases) {
		std::vector<sched_job> waiting = k.waiting;
		const struct sched_room free_room = { 0, 0, false };
		struct sched_refusal out[SCHED_REFUSED_MAX];
		struct sched_job j = k.job;
		Queue q;

		EXPECT_EQ(0u, add_all(q.s, waiting, free_room)) << k.name;
		if (scheduler_add(q.s, &j, &k.room, out, 0) == 0)
			out[0] = scheduler_estimate(&j, &k.room);
		else
			EXPECT_EQ(&j, out[0].job) << k.name;
		EXPECT_EQ(k.enters, j.scheduler == q.s) << k.name;
		EXPECT_EQ(k.wait_us, out[0].wait_us) << k.name;
		EXPECT_STREQ(sched_cause_text(k.cause),
			     sched_cause_text(out[0].cause))
			<< k.name;
		EXPECT_EQ(k.waiting.size() + k.enters, scheduler_count(q.s))
			<< k.name;
	}
}

TEST(Scheduler, RefusesLessUrgentJobsThatWouldBeLate)
{
	/* Jobs 0 and 1 are of the least urgent class, 3 needs the primary. */
	std::vector<sched_job> jobs = {
		make_job(2, 1, 30 * MS, false, 40 * MS),
		make_job(2, 1, 200 * MS, false, 40 * MS),
		make_job(1, 1, 25 * MS, false, 40 * MS),
		make_job(2, 1, 10 * MS, true, 40 * MS),
	};
	struct sched_refusal out[SCHED_REFUSED_MAX];
	struct sched_job urgent = make_job(0, 1, 70 * MS, false, 40 * MS);
	Queue q;

	ASSERT_EQ(0u, add_all(q.s, jobs));
	/* 10 ms for it, 10 ms for job 2 and 10 ms for job 0: in time. */
	ASSERT_EQ(0u, scheduler_add(q.s, &urgent, &ROOM, out, 0));
	scheduler_remove(&urgent);
	/* One that takes twice as long leaves no time for 2, nor then for 0. */
	urgent.run_us = 100 * MS;
	ASSERT_EQ(2u, scheduler_add(q.s, &urgent, &ROOM, out, 0));
	EXPECT_EQ(&jobs[2], out[0].job);
	EXPECT_EQ(&jobs[0], out[1].job);
	EXPECT_EQ(35 * MS, out[0].wait_us);
	for (int i : { 0, 2 }) {
		EXPECT_EQ(nullptr, jobs[(size_t)i].scheduler);
	}
	EXPECT_EQ(SCHED_CAUSE_URGENT, out[0].cause);
	EXPECT_EQ(3u, scheduler_count(q.s));
	EXPECT_EQ(q.s, jobs[1].scheduler);
	EXPECT_EQ(q.s, jobs[3].scheduler);
}

struct FullCase {
	const char *name;
	std::vector<sched_job> waiting;
	struct sched_job job;
	int refused; /* of the waiting ones; -1: the job */
};

const FullCase full_cases[] = {
	{ "less urgent", repeat(4, make_job(1, 1, S)), make_job(2, 2, S), -1 },
	{ "its workspace filled it", repeat(4, make_job(1, 1, S)),
	  make_job(1, 1, S), -1 },
	{ "another workspace filled it", repeat(4, make_job(1, 1, S)),
	  make_job(1, 2, S), 3 },
	{ "more urgent", repeat(4, make_job(1, 1, S)), make_job(0, 1, S), 3 },
};

TEST(Scheduler, FullQueueRefusesTheLast)
{
	for (const FullCase &k : full_cases) {
		std::vector<sched_job> waiting = k.waiting;
		struct sched_refusal out[SCHED_REFUSED_MAX];
		struct sched_job j = k.job;
		Queue q(4);

		ASSERT_EQ(0u, add_all(q.s, waiting)) << k.name;
		ASSERT_EQ(1u, scheduler_add(q.s, &j, &ROOM, out, 0)) << k.name;
		EXPECT_EQ(k.refused < 0 ? &j : &waiting[(size_t)k.refused],
			  out[0].job)
			<< k.name;
		EXPECT_EQ(SCHED_CAUSE_FULL, out[0].cause) << k.name;
		EXPECT_EQ(nullptr, out[0].job->scheduler) << k.name;
		EXPECT_EQ(4u, scheduler_count(q.s)) << k.name;
	}
}

/* Loads, and what callers get */

struct Stream {
	uint32_t class_number;
	uint64_t workspace;
	int rate_per_s;
	int64_t max_wait_us;
	bool needs_primary;
	int64_t leaves_us; /* the caller waits no longer; 0: it waits */
	/* Per mille that get an answer, by the order before and this one. */
	int before;
	int after;
};

struct Load {
	const char *name;
	int slots; /* of the primary, and again of the replicas */
	int64_t run_us;
	int64_t slow_us; /* endpoints are five times slower for so long */
	int64_t outage_us; /* nothing runs at the primary for so long */
	int at_once; /* requests of the first stream that come together */
	std::vector<Stream> streams;
};

const int64_t URGENT = 72 * MS;
const int64_t USUAL = 240 * MS;
const int64_t PATIENT = 480 * MS;

struct Request {
	struct sched_job job;
	const Stream *stream;
	int64_t arrived_us;
	int64_t ends_us = 0; /* while it runs */
};

/* The order before: by class and arrival; all that wait count. */
class List
{
      public:
	bool add(Request *r, const struct sched_room &room, int64_t now_us)
	{
		int64_t wait_us = room.blocked_us;

		if (!wait_us && room.running)
			wait_us = r->job.run_us * (int64_t)(jobs.size() + 1) /
				  room.running;
		if (now_us + wait_us > r->job.latest_us)
			return false;
		auto at = std::find_if(jobs.begin(), jobs.end(), [&](auto *o) {
			return r->job.class_number < o->job.class_number;
		});
		jobs.insert(at, r);
		return true;
	}
	void drop_late(int64_t now_us)
	{
		jobs.erase(std::remove_if(jobs.begin(), jobs.end(),
					  [&](auto *r) {
						  return now_us >=
							 r->job.latest_us;
					  }),
			   jobs.end());
	}
	void leave(Request *r)
	{
		jobs.erase(std::remove(jobs.begin(), jobs.end(), r),
			   jobs.end());
	}
	void send(const std::function<bool(Request *)> &try_send)
	{
		for (size_t i = 0; i < jobs.size();) {
			if (try_send(jobs[i]))
				jobs.erase(jobs.begin() + (long)i);
			else
				i++;
		}
	}

      private:
	std::vector<Request *> jobs;
};

class Scheduled
{
      public:
	bool add(Request *r, const struct sched_room &room, int64_t now_us)
	{
		struct sched_refusal out[SCHED_REFUSED_MAX];

		r->job.owner = r;
		scheduler_add(q.s, &r->job, &room, out, now_us);
		return r->job.scheduler;
	}
	void drop_late(int64_t now_us)
	{
		while (struct sched_job *j = scheduler_find_late(q.s, now_us))
			scheduler_remove(j);
	}
	void leave(Request *r)
	{
		scheduler_remove(&r->job);
	}
	void send(const std::function<bool(Request *)> &try_send)
	{
		struct sched_job *j = scheduler_first(q.s);

		while (j)
			j = try_send((Request *)j->owner) ?
				    scheduler_send(q.s) :
				    scheduler_skip(q.s);
	}

      private:
	Queue q;
};

constexpr int64_t LOAD_US = 10 * S;

/* Runs a load in steps of 1 ms; returns per mille answered, by stream. */
template <class Q> std::vector<int> run_load(const Load &l)
{
	std::vector<std::unique_ptr<Request>> all;
	std::vector<int> sent(l.streams.size());
	std::vector<int> answered(l.streams.size());
	std::vector<int64_t> due_milli(l.streams.size());
	std::vector<Request *> running[2];
	std::deque<Request *> may_leave;
	int64_t latency_us = l.run_us;
	Q q;

	auto try_send = [&](int64_t now_us, Request *r) {
		auto &here = running[r->job.needs_primary];
		int64_t factor = now_us < l.slow_us ? 5 : 1;

		if ((int)here.size() >= l.slots ||
		    (r->job.needs_primary && now_us < l.outage_us))
			return false;
		r->ends_us = now_us + l.run_us * factor;
		here.push_back(r);
		answered[(size_t)(r->stream - l.streams.data())]++;
		return true;
	};
	auto arrive = [&](const Stream &s, int64_t now_us) {
		bool outage = s.needs_primary && now_us < l.outage_us;
		auto &here = running[s.needs_primary];
		struct sched_room room = { (uint32_t)here.size(),
					   outage ? l.outage_us - now_us : 0,
					   false };
		Request *r;

		all.push_back(std::make_unique<Request>());
		r = all.back().get();
		r->job = make_job(s.class_number, s.workspace,
				  now_us + s.max_wait_us, s.needs_primary,
				  latency_us);
		r->stream = &s;
		r->arrived_us = now_us;
		sent[(size_t)(&s - l.streams.data())]++;
		if (try_send(now_us, r) || !q.add(r, room, now_us))
			return;
		if (s.leaves_us)
			may_leave.push_back(r);
	};
	for (int64_t now_us = 0; now_us < LOAD_US; now_us += MS) {
		for (auto &here : running) {
			for (size_t i = 0; i < here.size();) {
				if (here[i]->ends_us > now_us) {
					i++;
					continue;
				}
				latency_us +=
					(l.run_us *
						 (now_us < l.slow_us ? 5 : 1) -
					 latency_us) /
					8;
				here.erase(here.begin() + (long)i);
			}
		}
		while (!may_leave.empty() &&
		       now_us - may_leave.front()->arrived_us >=
			       may_leave.front()->stream->leaves_us) {
			if (!may_leave.front()->ends_us)
				q.leave(may_leave.front());
			may_leave.pop_front();
		}
		q.drop_late(now_us);
		q.send([&](Request *r) { return try_send(now_us, r); });
		for (size_t i = 0; i < l.streams.size(); i++) {
			due_milli[i] += l.streams[i].rate_per_s;
			for (; due_milli[i] >= 1000; due_milli[i] -= 1000)
				arrive(l.streams[i], now_us);
		}
		for (int i = 0; i < l.at_once && now_us == S; i++)
			arrive(l.streams[0], now_us);
	}
	for (size_t i = 0; i < sent.size(); i++)
		answered[i] = answered[i] * 1000 / sent[i];
	return answered;
}

/* The endpoints run 800 a second where no row says otherwise. */
const Load loads[] = {
	{ "below the limit",
	  8,
	  10 * MS,
	  0,
	  0,
	  0,
	  { { 0, 1, 200, URGENT, false, 0, 1000, 1000 },
	    { 1, 1, 200, USUAL, false, 0, 1000, 1000 },
	    { 2, 1, 200, PATIENT, false, 0, 1000, 1000 } } },
	{ "2.6 times the least urgent class beside 1.8 times the most urgent",
	  8,
	  10 * MS,
	  0,
	  0,
	  0,
	  { { 0, 1, 360, URGENT, false, 0, 238, 999 },
	    { 1, 1, 200, USUAL, false, 0, 999, 999 },
	    { 2, 1, 520, PATIENT, false, 0, 988, 461 } } },
	{ "the most urgent class alone fills the endpoints",
	  8,
	  10 * MS,
	  0,
	  0,
	  0,
	  { { 0, 1, 1000, URGENT, false, 0, 405, 725 },
	    { 1, 1, 200, USUAL, false, 0, 999, 181 },
	    { 2, 1, 200, PATIENT, false, 0, 972, 190 } } },
	{ "one of four workspaces sends eight times its usual",
	  8,
	  10 * MS,
	  0,
	  0,
	  0,
	  { { 1, 1, 1200, USUAL, false, 0, 655, 291 },
	    { 1, 2, 150, USUAL, false, 0, 48, 999 },
	    { 1, 3, 150, USUAL, false, 0, 22, 999 },
	    { 1, 4, 150, USUAL, false, 0, 22, 999 } } },
	{ "three of four do",
	  8,
	  10 * MS,
	  0,
	  0,
	  0,
	  { { 1, 1, 1200, USUAL, false, 0, 248, 180 },
	    { 1, 2, 1200, USUAL, false, 0, 248, 180 },
	    { 1, 3, 1200, USUAL, false, 0, 168, 180 },
	    { 1, 4, 150, USUAL, false, 0, 6, 998 } } },
	{ "endpoints five times slower for 7 s",
	  8,
	  10 * MS,
	  7 * S,
	  0,
	  0,
	  { { 0, 1, 120, URGENT, false, 0, 306, 1000 },
	    { 1, 1, 120, USUAL, false, 0, 558, 510 },
	    { 2, 1, 120, PATIENT, false, 0, 1000, 377 } } },
	{ "callers who leave after 50 ms",
	  8,
	  10 * MS,
	  0,
	  0,
	  0,
	  { { 1, 1, 600, USUAL, false, 50 * MS, 835, 833 },
	    { 1, 2, 300, USUAL, false, 0, 995, 999 } } },
	{ "400 callers who return at once",
	  8,
	  10 * MS,
	  0,
	  0,
	  400,
	  { { 1, 1, 100, PATIENT, false, 0, 988, 801 },
	    { 0, 2, 300, URGENT, false, 0, 939, 1000 },
	    { 1, 3, 300, USUAL, false, 0, 972, 1000 } } },
	{ "100 reads together while writes wait for a primary",
	  8,
	  10 * MS,
	  0,
	  2 * S,
	  100,
	  { { 1, 1, 300, USUAL, false, 0, 969, 1000 },
	    { 0, 1, 300, 2400 * MS, true, 0, 1000, 1000 } } },
};

TEST(Scheduler, CallersGetMoreUnderLoad)
{
	for (const Load &l : loads) {
		std::vector<int> before = run_load<List>(l);
		std::vector<int> after = run_load<Scheduled>(l);

		for (size_t i = 0; i < l.streams.size(); i++) {
			EXPECT_EQ(l.streams[i].before, before[i])
				<< l.name << ", stream " << i;
			EXPECT_EQ(l.streams[i].after, after[i])
				<< l.name << ", stream " << i;
		}
	}
}

/* Properties */

struct Op {
	int kind;
	uint32_t class_number;
	uint64_t workspace;
	bool needs_primary;
	int64_t run_us;
	int64_t max_wait_us;
};

rc::Gen<Op> gen_op()
{
	return rc::gen::build<Op>(
		rc::gen::set(&Op::kind, rc::gen::inRange(0, 10)),
		rc::gen::set(&Op::class_number,
			     rc::gen::inRange<uint32_t>(0, 4)),
		rc::gen::set(&Op::workspace, rc::gen::inRange<uint64_t>(0, 5)),
		rc::gen::set(&Op::needs_primary),
		rc::gen::set(&Op::run_us,
			     rc::gen::inRange<int64_t>(1 * MS, 50 * MS)),
		rc::gen::set(&Op::max_wait_us,
			     rc::gen::inRange<int64_t>(0, 300 * MS)));
}

/*
 * Without a part for lower classes, no job is sent while a more urgent one of
 * its kind waits, none of a kind that has room is left, and each job ends once.
 */
RC_GTEST_PROP(SchedulerProperty, SendsTheMostUrgentAndEndsEachOnce, ())
{
	const auto ops = *rc::gen::container<std::vector<Op>>(gen_op());
	std::deque<sched_job> jobs;
	std::map<sched_job *, int> ended;
	std::set<sched_job *> waiting;
	int64_t now_us = 0;
	Queue q(20, 0);

	for (const Op &o : ops) {
		now_us += o.run_us / 4;
		if (o.kind < 6) {
			struct sched_refusal out[SCHED_REFUSED_MAX];
			struct sched_room room = { 2, 0, false };
			struct sched_job *j;
			uint32_t n;

			jobs.push_back(make_job(o.class_number, o.workspace,
						now_us + o.max_wait_us,
						o.needs_primary, o.run_us));
			j = &jobs.back();
			n = scheduler_add(q.s, j, &room, out, now_us);
			waiting.insert(j);
			for (uint32_t i = 0; i < n; i++) {
				RC_ASSERT(waiting.erase(out[i].job) == 1);
				ended[out[i].job]++;
			}
		} else if (o.kind == 6 && !waiting.empty()) {
			struct sched_job *j = *waiting.begin();

			scheduler_remove(j);
			waiting.erase(j);
			ended[j]++;
		} else if (o.kind == 7) {
			struct sched_job *j = scheduler_find_late(q.s, now_us);

			if (!j)
				continue;
			RC_ASSERT(j->latest_us <= now_us);
			scheduler_remove(j);
			RC_ASSERT(waiting.erase(j) == 1);
			ended[j]++;
		} else {
			/* Room for as many jobs of one kind. */
			int room = o.kind - 7;
			struct sched_job *j = scheduler_first(q.s);

			while (j) {
				struct sched_job *sent = j;

				if (j->needs_primary != o.needs_primary ||
				    !room) {
					j = scheduler_skip(q.s);
					continue;
				}
				j = scheduler_send(q.s);
				room--;
				RC_ASSERT(waiting.erase(sent) == 1);
				ended[sent]++;
				for (struct sched_job *w : waiting)
					RC_ASSERT(w->needs_primary !=
							  o.needs_primary ||
						  w->class_number >=
							  sent->class_number);
			}
			for (struct sched_job *w : waiting)
				RC_ASSERT(!room ||
					  w->needs_primary != o.needs_primary);
		}
		RC_ASSERT(scheduler_count(q.s) == waiting.size());
		for (struct sched_job *w : waiting)
			RC_ASSERT((w->scheduler == q.s));
	}
	for (const auto &e : ended)
		RC_ASSERT(e.second == 1 && !e.first->scheduler);
	RC_ASSERT(ended.size() + waiting.size() == jobs.size());
	for (struct sched_job *w : waiting)
		scheduler_remove(w);
}

/* A pass lists each waiting job once, with classes and workspaces as told. */
RC_GTEST_PROP(SchedulerProperty, PassVisitsEachJobOnce, ())
{
	const auto ops = *rc::gen::container<std::vector<Op>>(gen_op());
	const struct sched_room room = { 0, 0, false };
	struct sched_refusal out[SCHED_REFUSED_MAX];
	std::deque<sched_job> jobs;
	std::set<sched_job *> seen;
	const struct sched_job *last = nullptr;
	std::map<std::pair<uint32_t, uint64_t>, int64_t> latest;
	Queue q;

	for (const Op &o : ops) {
		jobs.push_back(make_job(o.class_number, o.workspace,
					o.max_wait_us, o.needs_primary,
					o.run_us));
		RC_ASSERT(scheduler_add(q.s, &jobs.back(), &room, out, 0) == 0);
	}
	for (struct sched_job *j = scheduler_first(q.s); j;
	     j = scheduler_skip(q.s)) {
		int64_t &before = latest[{ j->class_number, j->workspace }];

		RC_ASSERT(seen.insert(j).second);
		RC_ASSERT((!last || last->class_number < j->class_number ||
			   (last->class_number == j->class_number &&
			    last->tag <= j->tag)));
		RC_ASSERT(before <= j->latest_us);
		before = j->latest_us;
		last = j;
	}
	RC_ASSERT(seen.size() == jobs.size());
	for (sched_job &j : jobs)
		scheduler_remove(&j);
}

/* Each class that always has work gets its part, whatever jobs last. */
RC_GTEST_PROP(SchedulerProperty, EachClassGetsItsPart, ())
{
	const auto run_us = *rc::gen::container<std::vector<int64_t>>(
		3, rc::gen::inRange<int64_t>(1 * MS, 50 * MS));
	const uint32_t part = *rc::gen::inRange<uint32_t>(10, 200);
	const struct sched_room room = { 0, 0, false };
	struct sched_refusal out[SCHED_REFUSED_MAX];
	std::vector<int64_t> got(3);
	std::deque<sched_job> jobs;
	int64_t total_us = 0;
	Queue q(1000, part);

	auto add = [&](uint32_t class_number) {
		jobs.push_back(make_job(class_number, 1, 1000 * S, false,
					run_us[class_number]));
		scheduler_add(q.s, &jobs.back(), &room, out, 0);
	};
	for (uint32_t c = 0; c < 3; c++)
		add(c), add(c);
	while (total_us < 100 * S) {
		uint32_t c = scheduler_first(q.s)->class_number;

		scheduler_send(q.s);
		add(c);
		got[c] += run_us[c];
		total_us += run_us[c];
	}
	for (uint32_t c = 1; c < 3; c++)
		RC_ASSERT(got[c] * 1000 >= (total_us - got[c]) * part * 8 / 10);
	RC_ASSERT(got[0] >= total_us / 2);
}

/* Workspaces that always have work get the same time in a class. */
RC_GTEST_PROP(SchedulerProperty, WorkspacesGetTheSameTime, ())
{
	const auto run_us = *rc::gen::container<std::vector<int64_t>>(
		4, rc::gen::inRange<int64_t>(1 * MS, 50 * MS));
	const auto depth =
		*rc::gen::container<std::vector<int>>(4,
						      rc::gen::inRange(2, 30));
	const struct sched_room room = { 0, 0, false };
	struct sched_refusal out[SCHED_REFUSED_MAX];
	std::vector<int64_t> got(4);
	std::deque<sched_job> jobs;
	int64_t total_us = 0;
	Queue q;

	auto add = [&](size_t w) {
		jobs.push_back(make_job(1, w, 1000 * S, false, run_us[w]));
		scheduler_add(q.s, &jobs.back(), &room, out, 0);
	};
	for (size_t w = 0; w < 4; w++) {
		for (int i = 0; i < depth[w]; i++)
			add(w);
	}
	while (total_us < 50 * S) {
		size_t w = scheduler_first(q.s)->workspace;

		scheduler_send(q.s);
		add(w);
		got[w] += run_us[w];
		total_us += run_us[w];
	}
	for (int64_t g : got)
		RC_ASSERT(std::abs(g - total_us / 4) <= 200 * MS);
}

} // namespace
