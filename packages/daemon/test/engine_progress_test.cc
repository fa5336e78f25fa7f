// When an entry shows that its engine thread makes no progress.
#include "engine_progress.h"

#include <catch2/catch.hpp>
#include <string>

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

/// Checks for a while.
/// @return the time of the next check.
instant CheckFor(engine_progress& progress, instant from,
                 std::chrono::milliseconds span) {
  instant now = from;
  for (; now < from + span; now += engine_progress::kCheckInterval) {
    progress.Check(now);
  }
  return now;
}

TEST_CASE(
    "an engine without progress for a second is stalled until it goes on") {
  engine_progress progress;
  instant now = CheckFor(progress, instant{10s}, 1s);
  CHECK_FALSE(progress.Stalled());
  now = CheckFor(progress, now, 1s);
  CHECK(progress.Stalled());
  CHECK(progress.Render().find("tarragondrift_engine_stalled 1\n") !=
        std::string::npos);
  progress.Advance();
  CheckFor(progress, now, 250ms);
  CHECK_FALSE(progress.Stalled());
  CHECK(progress.Render().find("tarragondrift_engine_stalls_total 1\n") !=
        std::string::npos);
}

TEST_CASE("a pause of the whole process is no stall of its engine") {
  engine_progress progress;
  const instant now = CheckFor(progress, instant{10s}, 250ms);
  progress.Check(now + 5s);
  CHECK_FALSE(progress.Stalled());
}

}  // namespace
}  // namespace tarragondrift
