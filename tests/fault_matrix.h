/*
 * fault_matrix.h - every fault at every step of each path, as one table.
 */
#ifndef TESTS_FAULT_MATRIX_H
#define TESTS_FAULT_MATRIX_H

#include "model.h"

#include <string>
#include <vector>

/* Where a cell strikes: the instance and endpoint that the step is about. */
struct Place {
	int node;
	int endpoint;
};

struct FaultRow {
	const char *name;
	void (*apply)(Model &m, const Place &p);
};

/* A step; `kind` and `detail` name the moment at which it is reached. */
struct StepRow {
	const char *name;
	bool before; /* ahead of the path; kind and detail are not used */
	FailPointKind kind;
	int detail; /* -1: any */
	int skip; /* moments that match and are passed over */
};

struct PathRow {
	const char *name;
	/* Run before the path, ahead of any fault. */
	void (*prepare)(Model &m);
	void (*drive)(Model &m);
	std::vector<StepRow> steps;
};

/* A cell that cannot be: fault, path ("" for all) and why. */
struct NotApplicable {
	const char *fault;
	const char *path;
	const char *reason;
};

/* Faults that strike together, the second one `gap_us` later. */
struct PairRow {
	const char *first;
	const char *second;
	int64_t gap_us;
};

extern const std::vector<FaultRow> fault_rows;
extern const std::vector<PathRow> path_rows;
extern const std::vector<NotApplicable> not_applicable;
extern const std::vector<PairRow> pair_rows;

/* Returns the reason why a cell is not applicable, or NULL. */
const char *reason_against(const FaultRow &f, const PathRow &p);

/* Returns the row of a fault that must exist. */
const FaultRow &find_fault(const std::string &name);

/* Returns what the oracle found, or "". */
std::string run_cell(const PathRow &path, const StepRow &step,
		     const FaultRow &first, const FaultRow *second,
		     int64_t gap_us, uint64_t seed);

#endif
