#include "fault_matrix.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace
{

/* Every cell runs with so many seeds. */
constexpr uint64_t SEEDS = 1;
const char *const PAGE = "docs/FAULTS.md";

class FaultMatrix : public testing::TestWithParam<size_t>
{
};

void run_seeds(const PathRow &p, const StepRow &s, const FaultRow &first,
	       const FaultRow *second, int64_t gap_us)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		std::string seen = run_cell(p, s, first, second, gap_us, seed);

		EXPECT_EQ("", seen)
			<< p.name << ", " << s.name << ", " << first.name
			<< (second ? " and " : "")
			<< (second ? second->name : "") << ", seed " << seed;
	}
}

TEST_P(FaultMatrix, EveryFaultAtEveryStep)
{
	const PathRow &p = path_rows[GetParam()];

	for (const FaultRow &f : fault_rows) {
		if (reason_against(f, p))
			continue;
		for (const StepRow &s : p.steps)
			run_seeds(p, s, f, nullptr, 0);
	}
}

TEST_P(FaultMatrix, PairsOfFaults)
{
	const PathRow &p = path_rows[GetParam()];

	for (const PairRow &r : pair_rows) {
		for (const StepRow &s : p.steps)
			run_seeds(p, s, find_fault(r.first),
				  &find_fault(r.second), r.gap_us);
	}
}

std::string name_of(const testing::TestParamInfo<size_t> &info)
{
	std::string name = path_rows[info.param].name;

	for (char &c : name)
		c = c == ' ' ? '_' : c;
	return name;
}

INSTANTIATE_TEST_SUITE_P(Paths, FaultMatrix,
			 testing::Range<size_t>(0, path_rows.size()), name_of);

/* The page's rows, in the order of the table. */
std::string page()
{
	std::ostringstream out;
	size_t cells = 0;
	size_t absent = 0;
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
			const char *reason = reason_against(f, p);

			(reason ? absent : cells) += p.steps.size();
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
		out << "- " << r.first << ", " << r.gap_us / US_PER_MS
		    << " ms later " << r.second << "\n";
	out << "\n## Not applicable\n\n";
	for (const NotApplicable &n : not_applicable)
		out << "- " << n.fault << " at "
		    << (n.path[0] ? n.path : "every path") << ": " << n.reason
		    << "\n";
	if (not_applicable.empty())
		out << "None.\n";
	out << "\nSingle faults: " << cells << " cells run, " << absent
	    << " not applicable. Pairs: " << pair_rows.size() * steps
	    << " cells run.\nCells that are red are listed in KNOWN-RED.txt.\n";
	return out.str();
}

TEST(FaultPage, IsThatOfTheTable)
{
	if (getenv("WRITE_FAULTS"))
		std::ofstream(PAGE) << page();
	std::ifstream in(PAGE);
	std::stringstream have;

	have << in.rdbuf();
	EXPECT_EQ(page(), have.str()) << "run scripts/write-faults";
}

} // namespace
