// Repeated submissions while entries that are no candidates have workers.
#include <catch2/catch.hpp>
#include <string>

#include "claim_fixture.h"

namespace tarragondrift::fleet {
namespace {

/// A fleet too large for a full mesh, whose last entry is no witness.
struct large_fleet_fixture : claim_fixture {
  large_fleet_fixture() : claim_fixture({.max_full_mesh_peers = 1}, 2) {}
};

TEST_CASE_METHOD(large_fleet_fixture,
                 "runs of a controller that left went on beside the next "
                 "submission of their job") {
  const std::string job = JobOf(0);
  const uint64_t first = Submit(2, job, kWholeTime);
  Advance(100ms);
  BeginLeaving(entries[2], now + 5s, now);
  Advance(200ms);
  REQUIRE_FALSE(answers.contains(first));
  const uint64_t second = Submit(1, job, kRestOfTime);
  Advance(kRunTime + 200ms);
  CHECK(answers.at(first) == result_code::kOutcomeUnknown);
  CHECK(answers.at(second) == result_code::kOk);
  CHECK(overlaps == 0);
}

}  // namespace
}  // namespace tarragondrift::fleet
