#include "fault_matrix.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace
{

/* Number of seeds with which every cell runs. */
constexpr uint64_t SEED_COUNT = 1;
const char *const PAGE_PATH = "docs/FAULTS.md";

class FaultMatrix : public testing::TestWithParam<size_t>
{
};

struct Counts {
	int passed = 0;
	int failed = 0;
	int excluded = 0;
};

void print_counts(const char *what, const PathRow &p, const Counts &n)
{
	printf("%s, %s: %d passed, %d failed, %d not applicable\n", p.name,
	       what, n.passed, n.failed, n.excluded);
}

void run_seeds(Counts &n, const PathRow &p, const StepRow &s,
	       const FaultRow &first, const FaultRow *second, int64_t delay_us)
{
	for (uint64_t seed = 1; seed <= SEED_COUNT; seed++) {
		std::string violation =
			run_cell(p, s, first, second, delay_us, seed);

		(violation.empty() ? n.passed : n.failed)++;
		EXPECT_EQ("", violation)
			<< p.name << ", " << s.name << ", " << first.name
			<< (second ? " and " : "")
			<< (second ? second->name : "") << ", seed " << seed;
	}
}

TEST_P(FaultMatrix, EveryFaultAtEveryStep)
{
	const PathRow &p = path_rows[GetParam()];
	Counts n;

	for (const FaultRow &f : fault_rows) {
		if (find_exclusion(f, p)) {
			n.excluded += (int)p.steps.size();
			continue;
		}
		for (const StepRow &s : p.steps)
			run_seeds(n, p, s, f, nullptr, 0);
	}
	print_counts("single faults", p, n);
}

TEST_P(FaultMatrix, PairsOfFaults)
{
	const PathRow &p = path_rows[GetParam()];
	Counts n;

	for (const PairRow &r : pair_rows) {
		for (const StepRow &s : p.steps)
			run_seeds(n, p, s, find_fault(r.first),
				  &find_fault(r.second), r.delay_us);
	}
	print_counts("pairs", p, n);
}

std::string get_test_name(const testing::TestParamInfo<size_t> &info)
{
	std::string name = path_rows[info.param].name;

	for (char &c : name)
		c = c == ' ' ? '_' : c;
	return name;
}

INSTANTIATE_TEST_SUITE_P(Paths, FaultMatrix,
			 testing::Range<size_t>(0, path_rows.size()),
			 get_test_name);

/* Returns the text of the page, in the order of the tables. */
std::string format_page()
{
	std::ostringstream out;
	size_t cells = 0;
	size_t excluded = 0;
	size_t steps = 0;

	out << "# Faults and steps\n\n"
	    << "Written by scripts/write-faults from tests/fault_matrix.cc. "
	    << "A cell stands for\nevery step of its path; each step is a run "
	    << "of the model.\n\n| fault |";
	for (const PathRow &p : path_rows)
		out << " " << p.name << " |";
	out << "\n|---|";
	for (size_t i = 0; i < path_rows.size(); i++)
		out << "---|";
	out << "\n";
	for (const FaultRow &f : fault_rows) {
		out << "| " << f.name << " |";
		for (const PathRow &p : path_rows) {
			const char *reason = find_exclusion(f, p);

			(reason ? excluded : cells) += p.steps.size();
			if (reason)
				out << " n.a. |";
			else
				out << " " << p.steps.size() << " |";
		}
		out << "\n";
	}
	out << "\n## Steps\n\n";
	for (const PathRow &p : path_rows) {
		steps += p.steps.size();
		out << "- " << p.name << ":";
		for (const StepRow &s : p.steps)
			out << (&s == &p.steps[0] ? " " : ", ") << s.name;
		out << "\n";
	}
	out << "\n## Pairs, at every step of every path\n\n";
	for (const PairRow &r : pair_rows)
		out << "- " << r.first << ", " << r.delay_us / US_PER_MS
		    << " ms later " << r.second << "\n";
	out << "\n## Not applicable\n\n";
	for (const ExcludedCell &n : excluded_cells)
		out << "- " << n.fault << " at "
		    << (n.path[0] ? n.path : "every path") << ": " << n.reason
		    << "\n";
	if (excluded_cells.empty())
		out << "None.\n";
	out << "\nSingle faults: " << cells << " cells run, " << excluded
	    << " not applicable. Pairs: " << pair_rows.size() * steps
	    << " cells run.\nCells that are red are listed in KNOWN-RED.txt.\n";
	return out.str();
}

TEST(FaultPage, MatchesTable)
{
	if (getenv("WRITE_FAULTS"))
		std::ofstream(PAGE_PATH) << format_page();
	std::ifstream in(PAGE_PATH);
	std::stringstream file_text;

	file_text << in.rdbuf();
	EXPECT_EQ(format_page(), file_text.str()) << "run scripts/write-faults";
}

} // namespace
