#include "config_sim.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace tarragondrift::bench {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint64_t kSchedules = 60;

/// Adds up the violations of some fault schedules under a broken rule.
config_sim_report RunSchedules(config_mutation mutation) {
  config_sim_report total;
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
    const config_sim_report report =
        RunConfigSim({.seed = seed,
                      .fault_interval = 4'000ms,
                      .lagging_reads = seed % 2 == 0,
                      .mutation = mutation});
    total.accepted += report.accepted;
    total.reverts += report.reverts;
    total.lost_accepts += report.lost_accepts;
  }
  return total;
}

TEST_CASE("Schedules of faults change the configuration and break no rule") {
  const config_sim_report total = RunSchedules(config_mutation::kNone);
  CHECK(total.accepted > kSchedules);
  CHECK(total.reverts == 0);
  CHECK(total.lost_accepts == 0);
}

TEST_CASE("Entries that take older documents are caught") {
  CHECK(RunSchedules(config_mutation::kApplyOlder).reverts > 0);
}

TEST_CASE("Fresh entries that serve too soon are caught") {
  CHECK(RunSchedules(config_mutation::kServeAtOnce).reverts > 0);
}

TEST_CASE("Operators told of acceptance too soon are caught") {
  CHECK(RunSchedules(config_mutation::kTrustLostReply).lost_accepts > 0);
}

TEST_CASE("Accepted changes that do not come into force are caught") {
  CHECK(RunSchedules(config_mutation::kNeverFetch).lost_accepts > 0);
}

TEST_CASE("The time to force grows past the bound when nobody fetches") {
  const config_sim_report good = RunConfigSim({.seed = 3});
  CHECK(good.in_force.size() == good.accepted);
  CHECK(*std::max_element(good.in_force.begin(), good.in_force.end()) < 11s);
  const config_sim_report bad =
      RunConfigSim({.seed = 3, .mutation = config_mutation::kNeverFetch});
  CHECK(bad.in_force.size() < bad.accepted);
}

TEST_CASE("A seed gives the same run again") {
  const config_sim_options options{.seed = 9, .fault_interval = 3'000ms};
  const config_sim_report one = RunConfigSim(options);
  const config_sim_report two = RunConfigSim(options);
  CHECK(one.messages == two.messages);
  CHECK(one.in_force == two.in_force);
}

}  // namespace
}  // namespace tarragondrift::bench
