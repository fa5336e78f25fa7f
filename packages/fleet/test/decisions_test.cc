// The pure decisions: spreading tasks, choosing controllers, running times.
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <set>

#include "tarragondrift/fleet/ownership_cmd.h"
#include "tarragondrift/fleet/placement_cmd.h"
#include "tarragondrift/fleet/queue_config_base.h"
#include "tarragondrift/fleet/runtime_base.h"
#include "tarragondrift/fleet/spread_cmd.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

load_report Load(uint32_t free_tasks, uint32_t queued, double ends) {
  load_report load{.free_tasks = free_tasks,
                   .free_not_slow = free_tasks,
                   .free_fast = free_tasks,
                   .ends_per_second = ends,
                   .workers = 1};
  load.queued_within.fill(queued);
  return load;
}

TEST_CASE("a task with room does not wait") {
  CHECK(PredictWait(Load(4, 0, 10), 4, 100ms) == 0us);
  CHECK(PredictWait(Load(4, 4, 10), 1, 100ms) == 100ms);
}

TEST_CASE("tasks with more slack do not hold up those with less") {
  load_report load = Load(0, 0, 10);
  load.queued_within = {0, 0, 0, 20, 20, 20, 20};
  CHECK(PredictWait(load, 1, 90ms) == 100ms);
  CHECK(PredictWait(load, 1, 300ms) == 2'100ms);
}

TEST_CASE("where nothing ends the wait is hopeless") {
  CHECK(PredictWait(Load(0, 0, 0), 1, 100ms) == 60s);
}

TEST_CASE("a job stays whole where it fits") {
  std::vector<spread_candidate> candidates{
      {.controller = 1, .load = Load(8, 0, 10)},
      {.controller = 2, .load = Load(20, 0, 10), .penalty = 4ms}};
  CHECK(SpreadTasks(candidates, {.tasks = 8, .slack = 100ms}) == 0us);
  CHECK(candidates[0].assigned == 8);
  CHECK(candidates[1].assigned == 0);
}

TEST_CASE("a wide job is split rather than kept waiting") {
  std::vector<spread_candidate> candidates{
      {.controller = 1, .load = Load(5, 0, 10)},
      {.controller = 2, .load = Load(5, 0, 10), .penalty = 4ms}};
  CHECK(SpreadTasks(candidates, {.tasks = 8, .slack = 100ms}) == 0us);
  CHECK(candidates[0].assigned == 5);
  CHECK(candidates[1].assigned == 3);
}

TEST_CASE("a job with little time goes where fast workers are free") {
  std::vector<spread_candidate> candidates{
      {.controller = 1, .load = Load(8, 0, 10)},
      {.controller = 2, .load = Load(8, 0, 10), .penalty = 4ms}};
  candidates[0].load.free_fast = 0;
  SpreadTasks(candidates, {.tasks = 4, .slack = 100ms, .not_fast_cost = 90ms});
  CHECK(candidates[1].assigned == 4);
}

TEST_CASE("refused callers come back after the wait, within limits") {
  CHECK(RetryAfter(100us, 1s, 10s) == 1s);
  CHECK(RetryAfter(2'500ms, 1s, 10s) == 2'500ms);
  CHECK(RetryAfter(60s, 1s, 10s) == 10s);
}

std::vector<controller_candidate> Entries(size_t count) {
  std::vector<controller_candidate> entries;
  for (size_t at = 0; at < count; ++at) {
    entries.push_back({.incarnation = at + 1,
                       .name = "entry" + std::to_string(at),
                       .data_centre = at % 2 == 0 ? "east" : "west",
                       .worker_capacity = 40});
  }
  return entries;
}

TEST_CASE("a data centre's workers go to as few of its entries as carry them") {
  const auto few = ChooseControllers(Entries(8), "east", 12);
  REQUIRE(few.size() == 1);
  CHECK(few[0].data_centre == "east");
  CHECK(ChooseControllers(Entries(8), "east", 81).size() == 3);
  CHECK(ChooseControllers(Entries(8), "east", 1'000).size() == 4);
}

TEST_CASE("a data centre without entries is served by the others") {
  const auto others = ChooseControllers(Entries(8), "north", 12);
  REQUIRE(others.size() == 1);
}

// Entries of 0.12 cores that controlled 40 workers each started tasks 146 ms
// late, beside others of 0.5 cores that controlled none.
TEST_CASE("strong entries control workers before weak ones, in proportion") {
  std::vector<controller_candidate> entries = Entries(8);
  entries[4].worker_capacity = 80;
  const auto one = ChooseControllers(entries, "east", 70);
  REQUIRE(one.size() == 1);
  CHECK(one[0].name == "entry4");
  const auto two = ChooseControllers(entries, "east", 100);
  REQUIRE(two.size() == 2);
  size_t at_strong = 0;
  constexpr size_t kWorkers = 3'000;
  for (size_t worker = 0; worker < kWorkers; ++worker) {
    const auto* const chosen =
        ChooseController(two, "w" + std::to_string(worker));
    at_strong += chosen->name == "entry4" ? 1 : 0;
  }
  CHECK(at_strong > kWorkers * 60 / 100);
  CHECK(at_strong < kWorkers * 73 / 100);
}

TEST_CASE("the loss of a controller moves only its workers") {
  auto controllers = Entries(4);
  size_t moved = 0;
  const std::string lost = controllers[3].name;
  auto fewer = controllers;
  fewer.pop_back();
  for (size_t worker = 0; worker < 200; ++worker) {
    const std::string id = "w" + std::to_string(worker);
    const std::string before = ChooseController(controllers, id)->name;
    const std::string after = ChooseController(fewer, id)->name;
    if (before != after) {
      ++moved;
      CHECK(before == lost);
    }
  }
  CHECK(moved > 20);
  CHECK(ChooseController({}, "w") == nullptr);
}

TEST_CASE("declared times count as much as they tell") {
  std::mt19937_64 random(1);
  std::normal_distribution<double> spread(0, 0.4);
  std::normal_distribution<double> error(0, 0.7);
  runtime_table table;
  for (int sample = 0; sample < 4'000; ++sample) {
    const double real = 200 * std::exp(spread(random));
    const double declared = real * std::exp(error(random));
    RecordRuntime(table, "q", std::chrono::milliseconds(std::llround(declared)),
                  std::chrono::microseconds(std::llround(real * 1'000)));
  }
  const auto low = EstimateRuntime(table, "q", 100ms);
  const auto high = EstimateRuntime(table, "q", 400ms);
  // The slope of the regression is 0.16 / (0.16 + 0.49).
  CHECK(low.median > 150ms);
  CHECK(low.median < 190ms);
  CHECK(high.median > 210ms);
  CHECK(high.median < 270ms);
  CHECK(high.upper > high.median * 3 / 2);
}

TEST_CASE("an unknown queue is taken at its word") {
  CHECK(EstimateRuntime({}, "q", 100ms).median == 100ms);
}

TEST_CASE("a deadline asks for a faster worker than an objective does") {
  const runtime_estimate guess{.median = 900ms, .upper = 1'800ms};
  CHECK(AllowedSlowness(guess, 1'500ms, 1'500ms) == Approx(0.833).margin(0.01));
  CHECK(AllowedSlowness({.median = 60ms, .upper = 120ms}, 156ms, 1'500ms) >
        1.25);
}

TEST_CASE("the longest prefix names the queue") {
  const fleet_config config{
      .version = 1,
      .queues = {{.name = "a", .host = "h", .path_prefix = "/x/"},
                 {.name = "b", .host = "h", .path_prefix = "/x/y/"}}};
  CHECK(FindQueue(config, "h", "/x/1")->name == "a");
  CHECK(FindQueue(config, "h", "/x/y/1")->name == "b");
  CHECK(FindQueue(config, "other", "/x/1") == nullptr);
  CHECK(FindQueue(config, "h", "/z/1") == nullptr);
  CHECK(FindQueueByName(config, "b")->path_prefix == "/x/y/");
}

}  // namespace
}  // namespace tarragondrift::fleet
