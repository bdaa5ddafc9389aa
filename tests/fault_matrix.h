/*
 * fault_matrix.h - the tables of faults, of paths through the core and of the
 * steps of each path. A cell is one fault at one step, run on the model.
 */
#ifndef TESTS_FAULT_MATRIX_H
#define TESTS_FAULT_MATRIX_H

#include "model.h"

#include <string>
#include <vector>

/* The instance and endpoint of the step at which a fault is injected. */
struct FaultTarget {
	int node;
	int endpoint; /* -1: the step has none */
};

struct FaultRow {
	const char *name;
	void (*apply)(Model &m, const FaultTarget &t);
};

/* A step; it is reached at a fail point with this kind and detail. */
struct StepRow {
	const char *name;
	bool before; /* before the path runs; the other fields are not used */
	FailPointKind kind;
	int detail; /* -1: any */
	int skip; /* number of matching fail points to skip first */
};

struct PathRow {
	const char *name;
	/* Runs before the path, while there is no fault. */
	void (*prepare)(Model &m);
	/* Starts the path; it goes on while the model runs. */
	void (*run)(Model &m);
	std::vector<StepRow> steps;
};

/* A fault that cannot occur on a path. */
struct ExcludedCell {
	const char *fault;
	const char *path; /* "": all paths */
	const char *reason;
};

/* Two faults, the second injected `delay_us` after the first. */
struct PairRow {
	const char *first;
	const char *second;
	int64_t delay_us;
};

extern const std::vector<FaultRow> fault_rows;
extern const std::vector<PathRow> path_rows;
extern const std::vector<ExcludedCell> excluded_cells;
extern const std::vector<PairRow> pair_rows;

/* Returns the reason why a fault cannot occur on a path, or NULL. */
const char *find_exclusion(const FaultRow &f, const PathRow &p);

/* Returns the fault of this name; aborts if there is none. */
const FaultRow &find_fault(const std::string &name);

/*
 * Runs one cell, with a second fault unless it is NULL. Returns the first
 * violation that the oracle found, or "".
 */
std::string run_cell(const PathRow &path, const StepRow &step,
		     const FaultRow &first, const FaultRow *second,
		     int64_t delay_us, uint64_t seed);

#endif
