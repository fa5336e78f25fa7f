// Admission of jobs in the load after a start of all entries at once: callers
// are there before the workers are.
#include <catch2/catch.hpp>
#include <memory>
#include <variant>
#include <vector>

#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"
#include "witness_fixture.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

/// An entry that has just started, with one worker for two tasks at a time.
struct start_fixture {
  start_fixture() {
    state = MakeEngine({}, {.incarnation = 1, .name = "self", .cpu_milli = 250},
                       now);
    SetWitnesses(state, {state.self}, now);
    ApplyConfig(state,
                std::make_shared<const fleet_config>(
                    fleet_config{.version = 1,
                                 .queues = {{.name = "q",
                                             .host = "h",
                                             .path_prefix = "/q/",
                                             .upstream = "plata",
                                             .attempts = 2,
                                             .stretch = 1.6,
                                             .objective = 100ms}}}),
                "");
    UpdateWorkerListing(state,
                        {.id = "w",
                         .address = "10.1.0.1:80",
                         .upstream = "plata",
                         .capacity = {.cpu_milli = 16'000},
                         .boot_time_ms = 1},
                        now);
  }

  void Submit(uint64_t request, std::chrono::milliseconds estimate) {
    SubmitJob(state,
              {.request = request,
               .queue = "q",
               .spec = {.id = "job" + std::to_string(request),
                        .steps = {{.count = 1,
                                   .need = {.cpu_milli = 8'000},
                                   .estimate = estimate}}},
               .caller_timeout = 4s},
              now);
  }

  /// Runs ticks; the worker answers polls once it is up.
  void Advance(std::chrono::milliseconds span) {
    for (const instant end = now + span; now < end; now += 20ms) {
      Tick(state, now);
      DispatchAndFlush(state, now);
      for (const action& one : TakeActions(state)) {
        if (const auto* start = std::get_if<start_order>(&one)) {
          starts.push_back(start->name.task.job);
          running.push_back({.name = start->name});
          OnStartReply(state, "w", start->name, start_outcome::kAccepted, 1'000,
                       now);
        } else if (const auto* answer = std::get_if<caller_answer>(&one)) {
          answers.push_back(*answer);
        } else if (const auto* poll = std::get_if<poll_order>(&one)) {
          if (worker_up) {
            OnPollReply(
                state, "w", poll->number,
                {.outcome = poll_outcome::kAnswered, .running = running}, 1'000,
                now);
          }
        }
      }
    }
  }

  engine state;
  instant now{10s};
  bool worker_up = true;
  std::vector<std::string> starts;
  /// Runs at the worker; they do not end.
  std::vector<listed_run> running;
  std::vector<caller_answer> answers;
};

// Guards against the refusal of all callers in the first second after a power
// failure of all entries: 243 of 289 in two seconds, with their patience
// unused.
TEST_CASE_METHOD(start_fixture,
                 "a job that arrives before the workers is served") {
  Submit(7, 600ms);
  Advance(1'400ms);
  CHECK(answers.empty());
  CHECK(starts == std::vector<std::string>{"job7"});
}

TEST_CASE_METHOD(start_fixture,
                 "a held job is refused once its answer would be of no use") {
  worker_up = false;
  Submit(7, 60ms);
  // Three times the objective of 196 ms, less the running time.
  Advance(500ms);
  CHECK(answers.empty());
  Advance(80ms);
  REQUIRE(answers.size() == 1);
  CHECK(PromisesNotRun(answers[0].code));
  CHECK(answers[0].retry_after >= 1s);
  CHECK(state.held_jobs.empty());
}

TEST_CASE_METHOD(start_fixture, "a job is held for the start alone") {
  worker_up = false;
  Submit(7, 1'000ms);
  Advance(2'020ms);
  CHECK(answers.size() == 1);
  Submit(8, 1'000ms);
  CHECK(TakeActions(state).size() == 2);
  CHECK(state.held_jobs.empty());
}

TEST_CASE_METHOD(start_fixture, "held jobs are bounded in number") {
  worker_up = false;
  for (uint64_t request = 1; request <= 300; ++request) {
    Submit(request, 600ms);
  }
  CHECK(state.held_jobs.size() == state.options.max_held_jobs);
  Advance(20ms);
  CHECK(answers.size() == 300 - state.options.max_held_jobs);
}

TEST_CASE_METHOD(start_fixture,
                 "the held job of a caller that left is dropped") {
  Submit(7, 600ms);
  CallerLeft(state, 7, now);
  Advance(1'400ms);
  CHECK(starts.empty());
  CHECK(answers.empty());
}

// A job that is late already gets capacity only when it is free.
TEST_CASE_METHOD(start_fixture, "late jobs do not delay those on time") {
  Submit(1, 300ms);
  Submit(2, 300ms);
  Submit(3, 300ms);
  // The worker is acquired a second after the start; all three have 280 ms of
  // slack.
  Advance(1'100ms);
  CHECK(starts.size() == 2);
  CHECK(state.held_jobs.size() + answers.size() == 1);
  Submit(4, 300ms);
  Advance(20ms);
  CHECK(starts.size() == 2);
}

// Guards against a count of tasks that overflows to a small number.
TEST_CASE_METHOD(start_fixture, "a job of billions of tasks is refused") {
  Advance(1'400ms);
  const step_spec huge{
      .count = 1U << 31U, .need = {.cpu_milli = 1}, .estimate = 60ms};
  SubmitJob(state,
            {.request = 1,
             .queue = "q",
             .spec = {.id = "huge", .steps = {huge, huge}},
             .caller_timeout = 4s},
            now);
  Advance(20ms);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].code == result_code::kNotRunOverloaded);
}

}  // namespace
}  // namespace tarragondrift::fleet
