#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace tarragondrift::test {
namespace {

using enum attempt_outcome;
using namespace std::chrono_literals;  // NOLINT: literals only

TEST_CASE("a job is answered whole when its last task succeeds") {
  entry state = MakeServingEntry(7);
  auto starts = Select<start_task>(Submit(state, MakeRequest(3)));
  REQUIRE(starts.size() == kSlots);
  for (size_t ended = 0; ended < starts.size(); ++ended) {
    const actions more = End(state, starts[ended], kSucceeded, "done");
    for (const auto& start : Select<start_task>(more)) {
      starts.push_back(start);
    }
    const auto answers = Select<deliver_answer>(more);
    REQUIRE(answers.size() == (ended == 2 ? 1 : 0));
    if (ended == 2) {
      CHECK(answers[0].answer->code == result_code::kOk);
      CHECK(answers[0].answer->tasks[2].body == "done");
    }
  }
  CHECK(starts.size() == 3);
}

// Guards against a failed job that is answered only after its running attempts
// have ended.
TEST_CASE("a failed job is answered at once and starts no more tasks") {
  entry state = MakeServingEntry(7);
  const auto starts = Select<start_task>(Submit(state, MakeRequest(4)));
  REQUIRE(starts.size() == 2);
  const actions first = End(state, starts[0], kUnknown);
  CHECK(Select<start_task>(first).empty());
  const auto answers = Select<deliver_answer>(first);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer->code == result_code::kTaskOutcomeUnknown);
  const auto& tasks = answers[0].answer->tasks;
  CHECK(tasks[0].state == task_state::kOutcomeUnknown);
  CHECK(tasks[1].state == task_state::kOutcomeUnknown);
  CHECK(tasks[2].state == task_state::kNotStarted);
  CHECK(tasks[3].state == task_state::kNotStarted);

  SECTION("the slot of the attempt that still runs is released once") {
    CHECK(state.dispatch.instances.Get(starts[1].placed.instance).in_flight ==
          1);
    const actions second = End(state, starts[1], kSucceeded, "secret");
    CHECK(second.empty());
    CHECK(End(state, starts[1], kSucceeded, "again").empty());
    CHECK(state.dispatch.instances.Get(starts[1].placed.instance).in_flight ==
          0);
  }
  SECTION("its late answer does not reach the next job at its pool index") {
    const auto next = Select<start_task>(Submit(state, MakeRequest(2), 2));
    REQUIRE(next.size() == 1);
    CHECK(next[0].placed.task.task.job.index ==
          starts[1].placed.task.task.job.index);
    const actions late = End(state, starts[1], kSucceeded, "of the first");
    CHECK(Select<deliver_answer>(late).empty());
    REQUIRE(Select<start_task>(late).size() == 1);
    End(state, next[0], kSucceeded, "own");
    const actions whole =
        End(state, Select<start_task>(late)[0], kSucceeded, "own");
    REQUIRE(Select<deliver_answer>(whole).size() == 1);
    CHECK(Select<deliver_answer>(whole)[0].answer->tasks[0].body == "own");
    CHECK(Select<deliver_answer>(whole)[0].answer->tasks[1].body == "own");
  }
}

TEST_CASE("a failed task fails the job and no body is delivered") {
  entry state = MakeServingEntry(7);
  const auto starts = Select<start_task>(Submit(state, MakeRequest(3)));
  const auto third =
      Select<start_task>(End(state, starts[0], kSucceeded, "body"));
  REQUIRE(third.size() == 1);
  const auto answers =
      Select<deliver_answer>(End(state, starts[1], kFailed, "error"));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer->code == result_code::kTaskFailed);
  CHECK(answers[0].answer->tasks[0].state == task_state::kSucceeded);
  CHECK(answers[0].answer->tasks[1].state == task_state::kFailed);
  for (const auto& task : answers[0].answer->tasks) {
    CHECK(task.body.empty());
  }
}

TEST_CASE("a refused attempt is placed again and does not count as a start") {
  entry state = MakeServingEntry(7);
  const auto request = MakeTicketRequest(state, 1);
  const auto starts = Select<start_task>(Submit(state, request));
  const auto again = Select<start_task>(End(state, starts[0], kRefused));
  REQUIRE(again.size() == 1);
  CHECK(again[0].attempt == 2);
  MarkLeaving(state.dispatch, again[0].placed.instance, instant{});
  CHECK(End(state, again[0], kRefused).empty());
  actions out;
  REQUIRE(CancelJob(state, *request.id, instant{}, out));
  CHECK(OnlyCode(out) == result_code::kNotRunCancelled);
}

TEST_CASE("a refused task ends its job once the retry budget is spent") {
  entry state = MakeServingEntry(7);
  state.dispatch.retries.balance = 0;
  state.dispatch.retries.earned_per_start = 0;
  SECTION("before any start nothing was run") {
    const auto starts = Select<start_task>(Submit(state, MakeRequest(1)));
    const actions ended = End(state, starts[0], kRefused);
    CHECK(Select<start_task>(ended).empty());
    CHECK(OnlyCode(ended) == result_code::kNotRunNoInstance);
  }
  SECTION("after a start the job failed") {
    const auto starts = Select<start_task>(Submit(state, MakeRequest(2)));
    REQUIRE(starts.size() == 2);
    CHECK(OnlyCode(End(state, starts[0], kRefused)) ==
          result_code::kTaskFailed);
  }
}

// Guards against one request that crashes an instance with each of its
// attempts, in a contract that allows many.
TEST_CASE("a task that breaks three connections is not tried again") {
  entry state = MakeServingEntry(7);
  state.dispatch.retries.balance = 10;
  config_document config = *MakeConfig();
  config.version = 2;
  config.contracts[kBalance.index].max_attempts = 10;
  ApplyEntryConfig(state, std::make_shared<const config_document>(config));
  size_t attempts = 0;
  actions out = Submit(state, MakeRequest(1, kBalance));
  for (auto starts = Select<start_task>(out); !starts.empty();
       starts = Select<start_task>(out)) {
    ++attempts;
    out.clear();
    OnAttemptResult(state, starts[0].placed, {.connection_broken = true}, {},
                    out);
  }
  CHECK(attempts == 3);
  CHECK(OnlyCode(out) == result_code::kTaskOutcomeUnknown);
}

TEST_CASE("only a job of one idempotent task is retried") {
  entry state = MakeServingEntry(7);
  state.dispatch.retries.balance = 10;
  SECTION("up to its attempt limit") {
    const auto first =
        Select<start_task>(Submit(state, MakeRequest(1, kBalance)));
    const auto second = Select<start_task>(End(state, first[0], kUnknown));
    REQUIRE(second.size() == 1);
    CHECK(OnlyCode(End(state, second[0], kUnknown)) ==
          result_code::kTaskOutcomeUnknown);
  }
  SECTION("if the retry budget allows") {
    state.dispatch.retries.balance = 0;
    const auto first =
        Select<start_task>(Submit(state, MakeRequest(1, kBalance)));
    CHECK(OnlyCode(End(state, first[0], kUnknown)) ==
          result_code::kTaskOutcomeUnknown);
  }
  SECTION("never with several tasks or another contract") {
    const auto job =
        Select<start_task>(Submit(state, MakeRequest(2, kBalance)));
    CHECK(OnlyCode(End(state, job[0], kUnknown)) ==
          result_code::kTaskOutcomeUnknown);
    const auto quote = Select<start_task>(Submit(state, MakeRequest(1)));
    CHECK(OnlyCode(End(state, quote[0], kUnknown)) ==
          result_code::kTaskOutcomeUnknown);
  }
  SECTION("by the terms under which it was accepted") {
    const auto quote = Select<start_task>(Submit(state, MakeRequest(1)));
    config_document renumbered = *MakeConfig();
    renumbered.version = 2;
    std::swap(renumbered.contracts[0], renumbered.contracts[2]);
    ApplyEntryConfig(state,
                     std::make_shared<const config_document>(renumbered));
    CHECK(OnlyCode(End(state, quote[0], kUnknown)) ==
          result_code::kTaskOutcomeUnknown);
  }
}

TEST_CASE("a deadline ends a job with a true code") {
  entry state = MakeServingEntry(7);
  actions out;
  SECTION("after a start") {
    Submit(state, MakeRequest(3));
    TickEntry(state, instant{999ms}, out);
    CHECK(out.empty());
    TickEntry(state, instant{1'000ms}, out);
    CHECK(OnlyCode(out) == result_code::kDeadlineExceeded);
  }
  SECTION("before any") {
    Submit(state, MakeRequest(2), 1);
    Submit(state, MakeRequest(1), 2, instant{-1ms});
    TickEntry(state, instant{999ms}, out);
    CHECK(OnlyCode(out) == result_code::kNotRunDeadline);
  }
}

TEST_CASE("cancel is idempotent and truthful about started tasks") {
  entry state = MakeServingEntry(7);
  const auto request = MakeTicketRequest(state, 3);
  const auto starts = Select<start_task>(Submit(state, request));
  actions out;
  REQUIRE(CancelJob(state, *request.id, instant{}, out));
  const auto answers = Select<deliver_answer>(out);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer->code == result_code::kCancelledAfterStart);
  CHECK(answers[0].answer->tasks[0].state == task_state::kOutcomeUnknown);
  CHECK(answers[0].answer->tasks[2].state == task_state::kNotStarted);
  out.clear();
  REQUIRE(CancelJob(state, *request.id, instant{}, out));
  CHECK(out.empty());
  CHECK(End(state, starts[0], kSucceeded, "late").empty());
  CHECK(OnlyCode(Submit(state, request)) == result_code::kCancelledAfterStart);
}

TEST_CASE("a cancel that overtakes its submission wins") {
  entry state = MakeServingEntry(7);
  const auto request = MakeTicketRequest(state, 1);
  actions out;
  REQUIRE(CancelJob(state, *request.id, instant{}, out));
  const actions late = Submit(state, request);
  CHECK(Select<start_task>(late).empty());
  CHECK(OnlyCode(late) == result_code::kNotRunCancelled);
  CHECK_FALSE(CancelJob(state, {1, {7}, 99}, instant{}, out));
}

}  // namespace
}  // namespace tarragondrift::test
