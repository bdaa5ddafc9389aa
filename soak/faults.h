/*
 * faults.h - the faults of a run: which, when and on what, chosen by the seed.
 */
#ifndef SOAK_FAULTS_H
#define SOAK_FAULTS_H

#include "client.h"

#include <random>

struct FaultOptions {
	uint64_t seed;
	Fleet *fleet;
	Store *store;
	Service *service;
	Operator *operator_;
	std::string only; /* name of the one kind of fault, or empty */
};

/* What one occurrence of a fault acts on. */
struct FaultTarget {
	size_t instance;
	size_t endpoint;
	size_t choice; /* for variants of a fault */
};

class Faults
{
      public:
	explicit Faults(const FaultOptions &options);

	/*
	 * Schedules a round: planned changes alone, then several faults that
	 * overlap. Returns how long it takes.
	 */
	int64_t plan_round();
	/* Begins and ends what is due. */
	void poll();

      private:
	struct Kind;
	using Action = std::function<void()>;
	using Step = void (*)(const FaultOptions &o, const FaultTarget &t);

	static const std::vector<Kind> planned;
	static const std::vector<Kind> unplanned;
	static const std::vector<Kind> by_name; /* not drawn */

	size_t random(size_t below);
	const Kind &choose_fault();
	void schedule(const Kind &k, int64_t at_us);

	FaultOptions opts;
	std::mt19937_64 generator;
	int acting = 0; /* unplanned faults at this moment */
	std::multimap<int64_t, Action> actions; /* by time */
};

#endif
