#include <catch2/catch.hpp>
#include <vector>

#include "tarragondrift/core/dispatch_cmd.h"
#include "tarragondrift/core/queue_cmd.h"

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr upstream_id kUpstream{0, 0};

dispatcher MakeDispatcherWithInstance(uint32_t slots,
                                      dispatch_options options = {}) {
  dispatcher state = MakeDispatcher(options);
  config_document config;
  config.upstreams.push_back({.name = "plata"});
  config.teams.push_back({.name = "a", .weight = 1});
  config.teams.push_back({.name = "b", .weight = 3});
  config.contracts.push_back({.name = "quote"});
  ApplyConfig(state, config);
  SetInstance(state, {.upstream = kUpstream, .address = "i", .share = slots});
  return state;
}

void Enqueue(dispatcher& state, uint32_t job, uint32_t team, uint32_t count,
             std::chrono::microseconds declared, instant now) {
  std::vector<queued_task> tasks;
  for (uint32_t number = 0; number < count; ++number) {
    tasks.push_back({.task = {{job, 0}, number},
                     .upstream = kUpstream,
                     .team = {team, 0},
                     .contract = {0, 0},
                     .declared = declared,
                     .enqueued = now,
                     .deadline = now + 30s});
  }
  EnqueueJob(state, tasks, now);
}

/// Starts the next task and ends it at once with a success.
/// @return the task.
task_ref RunNextTask(dispatcher& state, instant now) {
  const auto placed = PlaceNext(state, now);
  REQUIRE(placed.has_value());
  ReleaseSlot(state, *placed,
              {.outcome = attempt_outcome::kSucceeded,
               .service_time = placed->task.declared},
              now);
  return placed->task.task;
}

TEST_CASE("small jobs pass a large job only until its target") {
  dispatcher state = MakeDispatcherWithInstance(1);
  Enqueue(state, 1, 0, 50, 100ms, instant{});
  Enqueue(state, 2, 0, 1, 50ms, instant{10ms});
  CHECK(RunNextTask(state, instant{10ms}).job.index == 2);
  // The large job's target is 2 x 5 s after its arrival; jobs that arrive after
  // that go behind it.
  Enqueue(state, 3, 0, 1, 50ms, instant{20s});
  CHECK(RunNextTask(state, instant{20s}).job.index == 1);
}

TEST_CASE("the longest task of a job starts first") {
  dispatcher state = MakeDispatcherWithInstance(1);
  std::vector<queued_task> tasks;
  for (uint32_t number = 0; number < 3; ++number) {
    tasks.push_back({.task = {{1, 0}, number},
                     .upstream = kUpstream,
                     .team = {0, 0},
                     .contract = {0, 0},
                     .declared = (100 + 50 * (number % 2)) * 1ms});
  }
  EnqueueJob(state, tasks, instant{});
  CHECK(RunNextTask(state, instant{}).number == 1);
  CHECK(RunNextTask(state, instant{}).number == 0);
  CHECK(RunNextTask(state, instant{}).number == 2);
}

TEST_CASE("contended slots go to teams by weight") {
  dispatcher state = MakeDispatcherWithInstance(1);
  for (uint32_t job = 0; job < 400; ++job) {
    Enqueue(state, job, job % 2, 1, 100ms, instant{});
  }
  std::vector<int> served(2);
  for (int start = 0; start < 200; ++start) {
    ++served[RunNextTask(state, instant{}).job.index % 2];
  }
  CHECK(served[0] == 50);
  CHECK(served[1] == 150);
}

TEST_CASE("a dropped job leaves no tasks, work or groups in the queue") {
  dispatcher state = MakeDispatcherWithInstance(1);
  Enqueue(state, 1, 0, 1'300, 100ms, instant{});
  Enqueue(state, 2, 1, 3, 100ms, instant{});
  DropJob(state, {1, 0});
  DropJob(state, {1, 0});
  CHECK(QueuedTasks(state) == 3);
  CHECK(state.queue.teams[0].queued_tasks == 0);
  CHECK(state.queue.upstreams[0].teams[0].work.count() == 0);
  for (int left = 0; left < 3; ++left) {
    CHECK(RunNextTask(state, instant{}).job.index == 2);
  }
  CHECK_FALSE(PlaceNext(state, instant{}).has_value());
  CHECK(state.queue.jobs.empty());
  CHECK(state.queue.groups.size() == 0);
}

TEST_CASE("a refused task that is requeued starts again") {
  dispatcher state = MakeDispatcherWithInstance(1);
  Enqueue(state, 1, 0, 2, 100ms, instant{});
  const auto first = PlaceNext(state, instant{});
  REQUIRE(first.has_value());
  ReleaseSlot(state, *first, {.outcome = attempt_outcome::kRefused}, instant{});
  RequeueTask(state, first->task, instant{});
  CHECK(QueuedTasks(state) == 2);
  const task_ref first_run = RunNextTask(state, instant{});
  const task_ref second_run = RunNextTask(state, instant{});
  CHECK(first_run != second_run);
  CHECK_FALSE(PlaceNext(state, instant{}).has_value());
}

TEST_CASE("a team's start rate limits its own starts only") {
  dispatcher state = MakeDispatcherWithInstance(100);
  config_document config;
  config.upstreams.push_back({.name = "plata"});
  config.teams.push_back({.name = "a", .starts_per_s = 10});
  config.teams.push_back({.name = "b"});
  TickDispatcher(state, instant{1s});
  ApplyConfig(state, config);
  SetEntryCount(state, 2, instant{1s});
  Enqueue(state, 1, 0, 40, 100ms, instant{1s});
  Enqueue(state, 2, 1, 40, 100ms, instant{1s});
  std::vector<int> started(3);
  while (const auto placed = PlaceNext(state, instant{1s})) {
    ++started[placed->task.task.job.index];
  }
  CHECK(started[1] == 5);
  CHECK(started[2] == 40);
  TickDispatcher(state, instant{2s});
  int later = 0;
  while (PlaceNext(state, instant{2s})) {
    ++later;
  }
  CHECK(later == 5);
}

job_request MakeRequest(uint32_t tasks, std::chrono::milliseconds declared,
                        std::chrono::milliseconds deadline) {
  job_request request{.contract = {0, 0}, .team = {0, 0}, .deadline = deadline};
  for (uint32_t number = 0; number < tasks; ++number) {
    request.tasks.push_back({.upstream = kUpstream, .declared = declared});
  }
  return request;
}

TEST_CASE("a job that would miss its deadline is refused at admission") {
  dispatcher state = MakeDispatcherWithInstance(2);
  TickDispatcher(state, instant{1s});
  CHECK(TestAdmission(state, MakeRequest(1, 2s, 1s), instant{1s}) ==
        result_code::kNotRunDeadline);
  CHECK(TestAdmission(state, MakeRequest(4, 200ms, 1s), instant{1s}) ==
        result_code::kOk);
  Enqueue(state, 1, 0, 100, 200ms, instant{1s});
  const job_request late = MakeRequest(4, 200ms, 1s);
  CHECK(TestAdmission(state, late, instant{1s}) ==
        result_code::kNotRunOverloaded);
  CHECK(RetryAfter(state, late, instant{1s}) > 5s);
  DropJob(state, {1, 0});
  CHECK(TestAdmission(state, late, instant{1s}) == result_code::kOk);
}

TEST_CASE("slots are borrowed only for tasks that would be late") {
  dispatcher state = MakeDispatcherWithInstance(4);
  CHECK(LoanDemand(state, kUpstream, instant{}) == 0);
  // 16 tasks have to start by 1.02 x 800 ms - 200 ms; 12 slots become free
  // until then.
  Enqueue(state, 1, 0, 16, 200ms, instant{});
  CHECK(LoanDemand(state, kUpstream, instant{}) == 3);
  // With 40 more, 56 tasks have to start by 1.02 x 2 s - 200 ms; 36 slots
  // become free until then.
  Enqueue(state, 2, 0, 40, 200ms, instant{});
  CHECK(LoanDemand(state, kUpstream, instant{}) == 19);
  // All of them are late already.
  CHECK(LoanDemand(state, kUpstream, instant{2s}) == 56);
}

TEST_CASE("a team may be ahead of the others under light load only") {
  dispatcher state = MakeDispatcherWithInstance(1);
  // Light load: the small job goes first although its team has had more time.
  Enqueue(state, 1, 0, 3, 200ms, instant{});
  RunNextTask(state, instant{});
  RunNextTask(state, instant{});
  Enqueue(state, 2, 0, 1, 50ms, instant{});
  Enqueue(state, 3, 1, 4, 200ms, instant{});
  CHECK(RunNextTask(state, instant{}).job.index == 2);
  // Heavy load: teams are served strictly by weight.
  Enqueue(state, 4, 1, 100, 200ms, instant{});
  Enqueue(state, 5, 0, 1, 50ms, instant{});
  const uint32_t next = RunNextTask(state, instant{}).job.index;
  CHECK((next == 3 || next == 4));
}

TEST_CASE("a job over its team's limit of queued tasks is refused") {
  dispatcher state = MakeDispatcherWithInstance(2);
  config_document config;
  config.upstreams.push_back({.name = "plata"});
  config.teams.push_back({.name = "a", .max_queued_tasks = 10});
  ApplyConfig(state, config);
  Enqueue(state, 1, 0, 8, 1ms, instant{});
  CHECK(TestAdmission(state, MakeRequest(3, 1ms, 10s), instant{}) ==
        result_code::kNotRunQuota);
  CHECK(TestAdmission(state, MakeRequest(2, 1ms, 10s), instant{}) ==
        result_code::kOk);
}

TEST_CASE(
    "jobs for an upstream without instances are refused after instance_wait") {
  dispatcher state = MakeDispatcher({});
  config_document config;
  config.upstreams.push_back({.name = "plata"});
  ApplyConfig(state, config);
  TickDispatcher(state, instant{100s});
  const job_request request = MakeRequest(1, 1ms, 10s);
  CHECK(TestAdmission(state, request, instant{100s}) == result_code::kOk);
  TickDispatcher(state, instant{106s});
  CHECK(TestAdmission(state, request, instant{106s}) ==
        result_code::kNotRunNoInstance);
}

}  // namespace
}  // namespace tarragondrift
