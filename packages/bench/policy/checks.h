// The figures of the bench, by what they are about.
#ifndef TARRAGONDRIFT_BENCH_POLICY_CHECKS_H_
#define TARRAGONDRIFT_BENCH_POLICY_CHECKS_H_

#include <string>

#include "scenario.h"
#include "world.h"

namespace tarragondrift::bench {

/// Each check prints its runs and figures.
/// @return whether all bounds are kept.

/// Slowdown and messages of both deployments under every policy; with a
/// folder, writes the distributions there.
bool CheckSlowdowns(const std::string& folder);

/// Idle slots, fairness and goodput when more comes than fits.
bool CheckSaturation();

/// Black holes, jobs that never run, outages, leaving instances.
bool CheckFailures();

/// Slots are never overrun while entries and links fail, and the check notices
/// when a rule is broken.
bool CheckShares();

/// Control traffic at the design size.
bool CheckDesignSize();

/// Prints one line about a run.
void PrintRun(const scenario& plan, const policy& rules, const run_totals& run);

/// Prints the overruns of a scenario, which must be none.
bool CheckOverrun(const scenario& plan, const run_totals& run);

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_POLICY_CHECKS_H_
