#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tarragondrift/core/dispatch_cmd.h"
#include "tarragondrift/core/estimate_cmd.h"

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr upstream_id kUpstream{0, 0};
constexpr size_t kInstances = 6;

dispatcher MakeDispatcherWithInstances() {
  dispatcher state = MakeDispatcher({.seed = 3});
  for (uint32_t number = 0; number < kInstances; ++number) {
    SetInstance(
        state,
        {.upstream = kUpstream, .address = std::to_string(number), .share = 2});
  }
  TickDispatcher(state, instant{1s});
  return state;
}

void Enqueue(dispatcher& state, uint32_t job, uint32_t team, uint32_t count,
             instant now) {
  std::vector<queued_task> tasks;
  for (uint32_t number = 0; number < count; ++number) {
    tasks.push_back({.task = {{job, 0}, number},
                     .upstream = kUpstream,
                     .team = {team, 0},
                     .contract = {0, 0},
                     .declared = 100ms,
                     .enqueued = now});
  }
  EnqueueJob(state, tasks, now);
}

void EndAttempt(dispatcher& state, const placement& placed,
                attempt_outcome outcome, instant now,
                std::chrono::microseconds running_time = 100ms) {
  ReleaseSlot(state, placed, {.outcome = outcome, .service_time = running_time},
              now);
}

health_stage StageOf(const dispatcher& state, const std::string& address) {
  return state.instances.Get(FindInstance(state, address)).health.stage;
}

/// Starts queued tasks until no free slot is left for any.
std::vector<placement> PlaceAll(dispatcher& state, instant now) {
  std::vector<placement> running;
  while (const auto placed = PlaceNext(state, now)) {
    running.push_back(*placed);
  }
  return running;
}

/// Runs jobs of one task in rounds that fill all slots; tasks on the instances
/// in `failing` fail.
/// @return the number of failed tasks.
int RunJobs(dispatcher& state, const std::vector<std::string>& failing,
            int rounds, instant now) {
  int failed = 0;
  for (int round = 0; round < rounds; ++round) {
    for (uint32_t job = 0; job < 2 * kInstances; ++job) {
      Enqueue(state, 1'000 + 100 * round + job, job % 3, 1, now);
    }
    for (const placement& placed : PlaceAll(state, now)) {
      const std::string& address = state.instances.Get(placed.instance).address;
      const bool fails =
          std::find(failing.begin(), failing.end(), address) != failing.end();
      failed += fails ? 1 : 0;
      EndAttempt(state, placed,
                 fails ? attempt_outcome::kFailed : attempt_outcome::kSucceeded,
                 now);
    }
  }
  return failed;
}

TEST_CASE("an instance on which all tasks fail is ejected after a few tasks") {
  dispatcher state = MakeDispatcherWithInstances();
  const int failed = RunJobs(state, {"2"}, 50, instant{1s});
  CHECK(failed >= 2);
  CHECK(failed <= 4);
  CHECK(StageOf(state, "2") == health_stage::kEjected);
}

TEST_CASE(
    "an ejected instance is probed with one task and recovers on success") {
  dispatcher state = MakeDispatcherWithInstances();
  RunJobs(state, {"2"}, 20, instant{1s});
  REQUIRE(StageOf(state, "2") == health_stage::kEjected);
  TickDispatcher(state, instant{3s});
  CHECK(StageOf(state, "2") == health_stage::kProbing);
  // 2 slots on each of the other instances, and 1 for the probe.
  Enqueue(state, 1, 0, 20, instant{3s});
  const std::vector<placement> running = PlaceAll(state, instant{3s});
  CHECK(running.size() == 2 * (kInstances - 1) + 1);
  for (const placement& placed : running) {
    EndAttempt(state, placed, attempt_outcome::kSucceeded, instant{3s});
  }
  CHECK(StageOf(state, "2") == health_stage::kHealthy);
}

TEST_CASE("a failed probe ejects the instance with a longer backoff") {
  dispatcher state = MakeDispatcherWithInstances();
  RunJobs(state, {"2"}, 20, instant{1s});
  TickDispatcher(state, instant{3s});
  RunJobs(state, {"2"}, 20, instant{3s});
  CHECK(StageOf(state, "2") == health_stage::kEjected);
  TickDispatcher(state, instant{4'900ms});
  CHECK(StageOf(state, "2") == health_stage::kEjected);
}

TEST_CASE("the number of ejected instances is capped") {
  dispatcher state = MakeDispatcherWithInstances();
  std::vector<std::string> all;
  for (uint32_t number = 0; number < kInstances; ++number) {
    all.push_back(std::to_string(number));
  }
  for (int job = 0; job < 100; ++job) {
    Enqueue(state, 2'000 + job, job % 50, 1, instant{1s});
    if (const auto placed = PlaceNext(state, instant{1s})) {
      EndAttempt(state, *placed, attempt_outcome::kRefused, instant{1s});
    }
  }
  CHECK(state.upstreams[0].ejected == 2);
  // The other instances are only throttled: each gets an attempt again after
  // the throttle interval.
  TickDispatcher(state, instant{1'300ms});
  CHECK(FreeSlots(state, kUpstream) > 0);
}

TEST_CASE("a team whose tasks always fail ejects no instance") {
  dispatcher state = MakeDispatcherWithInstances();
  for (uint32_t job = 0; job < 60; ++job) {
    Enqueue(state, job, 7, 12, instant{1s});
    for (const placement& placed : PlaceAll(state, instant{1s})) {
      EndAttempt(state, placed, attempt_outcome::kFailed, instant{1s});
    }
    DropJob(state, {job, 0});
    RunJobs(state, {}, 1, instant{1s});
  }
  CHECK(state.upstreams[0].ejected == 0);
}

TEST_CASE("a slow instance is passed over while little work is queued") {
  dispatcher state = MakeDispatcherWithInstances();
  for (uint32_t round = 0; round < 20; ++round) {
    Enqueue(state, round, 0, 2 * kInstances, instant{1s});
    for (const placement& placed : PlaceAll(state, instant{1s})) {
      const bool slow = state.instances.Get(placed.instance).address == "4";
      EndAttempt(state, placed, attempt_outcome::kSucceeded, instant{1s},
                 slow ? 2'000ms : 100ms);
    }
  }
  const std::vector<placement> rest = PlaceAll(state, instant{1s});
  for (const placement& placed : rest) {
    EndAttempt(state, placed, attempt_outcome::kSucceeded, instant{1s});
  }
  Enqueue(state, 1, 0, 2 * kInstances, instant{1s});
  const std::vector<placement> running = PlaceAll(state, instant{1s});
  for (const placement& placed : running) {
    CHECK(state.instances.Get(placed.instance).address != "4");
  }
  CHECK(running.size() == 2 * (kInstances - 1));
  // Much work is queued: a slot of the slow instance costs less than waiting.
  Enqueue(state, 2, 0, 500, instant{1s});
  CHECK(PlaceNext(state, instant{1s}).has_value());
}

TEST_CASE("a leaving instance gets no new attempts") {
  dispatcher state = MakeDispatcherWithInstances();
  Enqueue(state, 1, 0, 100, instant{1s});
  const auto placed = PlaceNext(state, instant{1s});
  ReleaseSlot(state, *placed,
              {.outcome = attempt_outcome::kRefused, .leaving = true},
              instant{1s});
  while (const auto next = PlaceNext(state, instant{1s})) {
    CHECK(next->instance != placed->instance);
  }
  CHECK(StageOf(state, state.instances.Get(placed->instance).address) !=
        health_stage::kEjected);
}

TEST_CASE("retries are limited to a small share of first attempts") {
  dispatcher state = MakeDispatcherWithInstances();
  int attempts = 0;
  int repeated = 0;
  for (uint32_t job = 0; job < 2'000; ++job) {
    Enqueue(state, job, 0, 1, instant{1s});
    const auto placed = PlaceNext(state, instant{1s});
    REQUIRE(placed.has_value());
    ++attempts;
    EndAttempt(state, *placed, attempt_outcome::kSucceeded, instant{1s});
    repeated += TakeRetry(state) ? 1 : 0;
  }
  CHECK(repeated > 0);
  CHECK(repeated <= attempts / 10);
}

TEST_CASE("estimates follow the observed running times") {
  contract_estimate known;
  CHECK(EstimateTime(known, 100ms) == 100ms);
  for (int task = 0; task < 500; ++task) {
    const auto declared = (50 + 10 * (task % 20)) * 1ms;
    LearnTime(known, declared, 10 * declared);
  }
  const auto scaled = EstimateTime(known, 100ms);
  CHECK(scaled > 950ms);
  CHECK(scaled < 1'050ms);

  contract_estimate noise;
  for (int task = 0; task < 500; ++task) {
    LearnTime(noise, task % 2 == 0 ? 10ms : 1'000ms, 200ms);
  }
  CHECK(EstimateTime(noise, 10ms) > 150ms);
  CHECK(EstimateTime(noise, 1'000ms) < 250ms);
  CHECK(EstimateTime(noise, 0ms) > 190ms);
}

}  // namespace
}  // namespace tarragondrift
