// Tests of the decision functions: spread of tasks over controllers, choice of
// controllers, estimates of running times, placement and queue look-up.
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

TEST_CASE("tasks within the free capacity do not wait") {
  CHECK(PredictWait(Load(4, 0, 10), 4, 100ms) == 0us);
  CHECK(PredictWait(Load(4, 4, 10), 1, 100ms) == 100ms);
}

TEST_CASE("tasks with more slack do not delay those with less") {
  load_report load = Load(0, 0, 10);
  load.queued_within = {0, 0, 0, 20, 20, 20, 20};
  CHECK(PredictWait(load, 1, 90ms) == 100ms);
  CHECK(PredictWait(load, 1, 300ms) == 2'100ms);
}

TEST_CASE("the predicted wait is 60 s where no run ends") {
  CHECK(PredictWait(Load(0, 0, 0), 1, 100ms) == 60s);
}

TEST_CASE("a job is not split where one controller has the capacity") {
  std::vector<spread_candidate> candidates{
      {.controller = 1, .load = Load(8, 0, 10)},
      {.controller = 2, .load = Load(20, 0, 10), .penalty = 4ms}};
  CHECK(SpreadTasks(candidates, {.tasks = 8, .slack = 100ms}) == 0us);
  CHECK(candidates[0].assigned == 8);
  CHECK(candidates[1].assigned == 0);
}

TEST_CASE("a job larger than one controller's free capacity is split") {
  std::vector<spread_candidate> candidates{
      {.controller = 1, .load = Load(5, 0, 10)},
      {.controller = 2, .load = Load(5, 0, 10), .penalty = 4ms}};
  CHECK(SpreadTasks(candidates, {.tasks = 8, .slack = 100ms}) == 0us);
  CHECK(candidates[0].assigned == 5);
  CHECK(candidates[1].assigned == 3);
}

TEST_CASE(
    "a job with little slack goes to a controller with free fast workers") {
  std::vector<spread_candidate> candidates{
      {.controller = 1, .load = Load(8, 0, 10)},
      {.controller = 2, .load = Load(8, 0, 10), .penalty = 4ms}};
  candidates[0].load.free_fast = 0;
  SpreadTasks(candidates, {.tasks = 4, .slack = 100ms, .not_fast_cost = 90ms});
  CHECK(candidates[1].assigned == 4);
}

TEST_CASE("the retry delay is the predicted wait, within limits") {
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

TEST_CASE(
    "a data centre's workers go to the fewest entries with the capacity") {
  const auto chosen_entries = ChooseControllers(Entries(8), "east", 12);
  REQUIRE(chosen_entries.size() == 1);
  CHECK(chosen_entries[0].data_centre == "east");
  CHECK(ChooseControllers(Entries(8), "east", 81).size() == 3);
  CHECK(ChooseControllers(Entries(8), "east", 1'000).size() == 4);
}

TEST_CASE("workers of a data centre without entries go to entries elsewhere") {
  const auto others = ChooseControllers(Entries(8), "north", 12);
  REQUIRE(others.size() == 1);
}

// Guards against a choice of controllers that ignores entry size: entries of
// 0.12 cores controlled 40 workers each and started tasks 146 ms late, while
// entries of 0.5 cores controlled none.
TEST_CASE("larger entries control workers before smaller ones, by capacity") {
  std::vector<controller_candidate> entries = Entries(8);
  entries[4].worker_capacity = 80;
  const auto one = ChooseControllers(entries, "east", 70);
  REQUIRE(one.size() == 1);
  CHECK(one[0].name == "entry4");
  const auto two = ChooseControllers(entries, "east", 100);
  REQUIRE(two.size() == 2);
  size_t at_largest = 0;
  constexpr size_t kWorkers = 3'000;
  for (size_t worker = 0; worker < kWorkers; ++worker) {
    const auto* const chosen =
        ChooseController(two, "w" + std::to_string(worker));
    at_largest += chosen->name == "entry4" ? 1 : 0;
  }
  CHECK(at_largest > kWorkers * 60 / 100);
  CHECK(at_largest < kWorkers * 73 / 100);
}

TEST_CASE("the loss of a controller reassigns only its workers") {
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

TEST_CASE(
    "declared times are weighted by their correlation with actual times") {
  std::mt19937_64 random(1);
  std::normal_distribution<double> spread(0, 0.4);
  std::normal_distribution<double> error(0, 0.7);
  runtime_table table;
  for (int sample = 0; sample < 4'000; ++sample) {
    const double actual = 200 * std::exp(spread(random));
    const double declared = actual * std::exp(error(random));
    RecordRuntime(table, "q", std::chrono::milliseconds(std::llround(declared)),
                  std::chrono::microseconds(std::llround(actual * 1'000)));
  }
  const auto low_estimate = EstimateRuntime(table, "q", 100ms);
  const auto high_estimate = EstimateRuntime(table, "q", 400ms);
  // The slope of the regression is 0.16 / (0.16 + 0.49).
  CHECK(low_estimate.median > 150ms);
  CHECK(low_estimate.median < 190ms);
  CHECK(high_estimate.median > 210ms);
  CHECK(high_estimate.median < 270ms);
  CHECK(high_estimate.upper > high_estimate.median * 3 / 2);
}

TEST_CASE("the declared time is the estimate for a queue without samples") {
  CHECK(EstimateRuntime({}, "q", 100ms).median == 100ms);
}

TEST_CASE("a deadline requires a faster worker than an equal objective") {
  const runtime_estimate runtime{.median = 900ms, .upper = 1'800ms};
  CHECK(AllowedSlowness(runtime, 1'500ms, 1'500ms) ==
        Approx(0.833).margin(0.01));
  CHECK(AllowedSlowness({.median = 60ms, .upper = 120ms}, 156ms, 1'500ms) >
        1.25);
}

TEST_CASE("a request belongs to the queue with the longest matching prefix") {
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
