// bench_config: how long a promoted document takes to be in force everywhere,
// and that no schedule of faults reverts it or loses an accepted change.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>

#include "config_sim.h"
#include "figure.h"

namespace tarragondrift::bench {
namespace {

constexpr uint64_t kFaultSchedules = 2'400;
constexpr uint64_t kForceSeeds = 4;

/// The design size with a slow table and lost messages: 17 data centres of 7
/// entries, 9,300 changes a day, 280 replacements a day.
config_sim_options DesignSize(uint64_t seed) {
  using namespace std::chrono_literals;  // NOLINT: literals only
  constexpr std::chrono::milliseconds kDay = 24h;
  return config_sim_options{.seed = seed,
                            .data_centres = 17,
                            .entries_each = 7,
                            .busy = 240s,
                            .quiet = 20s,
                            .change_interval = kDay / 9'300,
                            .table_least = 50ms,
                            .table_most = 3'000ms,
                            .replace_interval = kDay / 280};
}

/// A small system under faults; every second schedule has lagging reads.
config_sim_options FaultSchedule(uint64_t seed) {
  using namespace std::chrono_literals;  // NOLINT: literals only
  return config_sim_options{.seed = seed,
                            .data_centres = 4,
                            .entries_each = 3,
                            .fault_interval = 4'000ms,
                            .lagging_reads = seed % 2 == 0};
}

bool ShowForce() {
  std::chrono::microseconds longest{0};
  size_t changes = 0;
  for (uint64_t seed = 1; seed <= kForceSeeds; ++seed) {
    const config_sim_report report = RunConfigSim(DesignSize(seed));
    changes += report.in_force.size();
    for (const auto time : report.in_force) {
      longest = std::max(longest, time);
    }
    if (report.in_force.size() != report.accepted) {
      longest = std::chrono::hours(1);
    }
  }
  return PrintFigure(
      {.name = "config_in_force_s",
       .value = std::chrono::duration<double>(longest).count(),
       .bound = 11,
       .unit = "s",
       .context = "data_centres=17 entries=119 loss=0.02 table_ms=50..3000 "
                  "changes=" +
                  std::to_string(changes) +
                  " seeds=" + std::to_string(kForceSeeds)});
}

bool ShowFaults() {
  config_sim_report total;
  for (uint64_t seed = 1; seed <= kFaultSchedules; ++seed) {
    const config_sim_report report = RunConfigSim(FaultSchedule(seed));
    if (report.reverts + report.lost_accepts > 0) {
      std::cout << "violation seed=" << seed << " reverts=" << report.reverts
                << " lost_accepts=" << report.lost_accepts << '\n';
    }
    total.accepted += report.accepted;
    total.reverts += report.reverts;
    total.lost_accepts += report.lost_accepts;
    total.told_unknown += report.told_unknown;
    total.told_conflict += report.told_conflict;
    total.restarts += report.restarts;
  }
  const std::string context =
      "schedules=" + std::to_string(kFaultSchedules) +
      " accepted=" + std::to_string(total.accepted) +
      " restarts=" + std::to_string(total.restarts) +
      " told_unknown=" + std::to_string(total.told_unknown) +
      " told_conflict=" + std::to_string(total.told_conflict);
  const bool reverts = PrintFigure({.name = "config_reverts",
                                    .value = static_cast<double>(total.reverts),
                                    .bound = 0,
                                    .context = context});
  const bool lost =
      PrintFigure({.name = "config_lost_accepts",
                   .value = static_cast<double>(total.lost_accepts),
                   .bound = 0,
                   .context = context});
  return reverts && lost;
}

}  // namespace
}  // namespace tarragondrift::bench

int main() {
  const bool force = tarragondrift::bench::ShowForce();
  const bool faults = tarragondrift::bench::ShowFaults();
  return force && faults ? 0 : 1;
}
