// Jobs whose steps wait for others: the order of their steps, and what they
// cost the engine.
#include <catch2/catch.hpp>
#include <chrono>
#include <ctime>
#include <functional>
#include <numeric>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "return_fixture.h"
#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"
#include "witness_fixture.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only
using std::chrono::microseconds;

/// Other jobs wait for the engine: the shortest objective leaves this much.
constexpr milliseconds kMaxStall{96};

/// Returns the processor time that this thread has used.
microseconds ProcessorTime() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::duration_cast<microseconds>(
      std::chrono::seconds(used.tv_sec) +
      std::chrono::nanoseconds(used.tv_nsec));
}

step_spec MakeStep(uint32_t count, std::vector<uint32_t> after) {
  return {.count = count,
          .need = {.cpu_milli = 1},
          .estimate = 5ms,
          .after = std::move(after)};
}

/// An entry that holds one worker, on which every task ends at the next poll.
struct graph_fixture {
  graph_fixture() {
    state = MakeEngine({}, {.incarnation = 1, .name = "self", .cpu_milli = 250},
                       now);
    SetWitnesses(state, {state.self}, now);
    ApplyConfig(state, MakeConfig(), "");
    state.peers_listed = true;
    worker_listing listing = MakeWorker("w", "");
    listing.capacity = {.cpu_milli = 2'000'000};
    UpdateWorkerListing(state, listing, now);
    Advance(2s);
    // The first task tells the engine how small tasks are here.
    Submit({.id = "first", .steps = {MakeStep(1, {})}});
    Advance(100ms);
    answers.clear();
    started.clear();
    longest = {};
  }

  /// Calls a step of the engine and carries out its actions.
  void Do(const std::function<void()>& step) {
    const microseconds before = ProcessorTime();
    step();
    DispatchAndFlush(state, now);
    std::vector<action> actions = TakeActions(state);
    longest = std::max(longest, ProcessorTime() - before);
    for (const action& one : actions) {
      if (const auto* start = std::get_if<start_order>(&one)) {
        started.push_back(start->name.task);
        ended.push_back({.number = ++last_end, .name = start->name});
        Do([&] {
          OnStartReply(state, "w", start->name, start_outcome::kAccepted, 1'000,
                       now);
        });
      } else if (const auto* answer = std::get_if<caller_answer>(&one)) {
        answers.push_back(answer->code);
      } else if (const auto* poll = std::get_if<poll_order>(&one)) {
        polled = *poll;
      }
    }
  }

  void Advance(milliseconds span) {
    for (const instant end = now + span; now < end; now += 20ms) {
      Do([&] { Tick(state, now); });
      if (polled) {
        const poll_order poll = *std::exchange(polled, std::nullopt);
        const poll_reply reply{.outcome = poll_outcome::kAnswered,
                               .ended = std::exchange(ended, {}),
                               .boot_time_ms = 1};
        Do([&] { OnPollReply(state, "w", poll.number, reply, 1'000, now); });
      }
    }
  }

  void Submit(const job_spec& spec) {
    Do([&] {
      SubmitJob(state,
                {.request = ++last_request,
                 .queue = "q",
                 .spec = spec,
                 .caller_timeout = 30s},
                now);
    });
  }

  engine state;
  instant now{10s};
  microseconds longest{0};
  uint64_t last_request = 0;
  uint64_t last_end = 0;
  std::vector<task_name> started;
  std::vector<listed_end> ended;
  std::vector<result_code> answers;
  std::optional<poll_order> polled;
};

std::vector<uint32_t> UpTo(uint32_t end) {
  std::vector<uint32_t> numbers(end);
  std::iota(numbers.begin(), numbers.end(), 0);
  return numbers;
}

/// Whether the tasks of each step were started after those that it waits for.
bool KeepsOrder(const std::vector<task_name>& started, const job_spec& job) {
  std::vector<uint32_t> left;
  for (const step_spec& step : job.steps) {
    left.push_back(step.count);
  }
  for (const task_name& one : started) {
    for (const uint32_t earlier : job.steps[one.step].after) {
      if (left[earlier] > 0) {
        return false;
      }
    }
    --left[one.step];
  }
  return true;
}

TEST_CASE_METHOD(graph_fixture,
                 "a job of steps that wait for all earlier ones blocked the "
                 "engine for hours") {
  job_spec job{.id = "job"};
  for (uint32_t step = 0; step < 26; ++step) {
    job.steps.push_back(MakeStep(1, UpTo(step)));
  }
  Submit(job);
  Advance(2s);
  CHECK(answers == std::vector{result_code::kOk});
  CHECK(KeepsOrder(started, job));
  CHECK(longest < kMaxStall);
}

TEST_CASE_METHOD(graph_fixture,
                 "a job of 300 steps that wait for 300 others blocked the "
                 "engine for two seconds") {
  job_spec job{.id = "job"};
  for (uint32_t step = 0; step < 600; ++step) {
    job.steps.push_back(
        MakeStep(1, step < 300 ? std::vector<uint32_t>{} : UpTo(300)));
  }
  Submit(job);
  Advance(2s);
  CHECK(answers == std::vector{result_code::kOk});
  CHECK(started.size() == 600);
  CHECK(KeepsOrder(started, job));
  CHECK(longest < kMaxStall);
}

TEST_CASE_METHOD(graph_fixture,
                 "a step starts once all tasks of the steps before it are "
                 "done") {
  // Dependencies may be repeated, and a step may have no tasks.
  const job_spec job{
      .id = "job",
      .steps = {MakeStep(3, {}), MakeStep(0, {0}), MakeStep(2, {0, 0}),
                MakeStep(1, {1}), MakeStep(4, {2, 3, 0}), MakeStep(1, {4})}};
  Submit(job);
  Advance(1s);
  CHECK(answers == std::vector{result_code::kOk});
  CHECK(std::set(started.begin(), started.end()).size() == 11);
  CHECK(KeepsOrder(started, job));
}

TEST_CASE_METHOD(
    graph_fixture,
    "a job that can no longer be on time is refused by its longest "
    "chain of steps") {
  job_spec job{.id = "job"};
  for (uint32_t step = 0; step < 40; ++step) {
    job.steps.push_back(MakeStep(1, UpTo(step)));
    job.steps.back().estimate = 2s;
  }
  Submit(job);
  CHECK(answers == std::vector{result_code::kNotRunDeadline});
  CHECK(started.empty());
}

}  // namespace
}  // namespace tarragondrift::fleet
