#include <catch2/catch.hpp>
#include <memory>
#include <variant>
#include <vector>

#include "tarragondrift/core/dispatch_cmd.h"
#include "tarragondrift/core/entry_cmd.h"

namespace tarragondrift {
namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;  // NOLINT: literals only

constexpr uint32_t kSlots = 2;

std::shared_ptr<const config_document> MakeConfig() {
  config_document config;
  config.version = 1;
  config.upstreams.push_back({.name = "plata"});
  config.contracts.push_back({.name = "quote"});
  config.teams.push_back({.name = "sales"});
  return std::make_shared<const config_document>(config);
}

entry MakeServingEntry(uint64_t self) {
  entry state = MakeEntry({.data_centre = 1, .self = {self}});
  ApplyEntryConfig(state, MakeConfig());
  SetInstance(state.dispatch,
              {.upstream = {0, 0}, .address = "127.0.0.1:1", .share = kSlots});
  return state;
}

job_request MakeRequest(size_t tasks) {
  job_request request{.digest = {1, 2},
                      .contract = {0, 0},
                      .team = {0, 0},
                      .deadline = 1'000ms};
  for (size_t number = 0; number < tasks; ++number) {
    request.tasks.push_back(
        {.name = "task" + std::to_string(number), .upstream = {0, 0}});
  }
  return request;
}

template <class Action>
std::vector<Action> Select(const actions& all) {
  std::vector<Action> chosen;
  for (const action& one : all) {
    if (const auto* const match = std::get_if<Action>(&one)) {
      chosen.push_back(*match);
    }
  }
  return chosen;
}

TEST_CASE("a job is answered whole when its last task succeeds") {
  entry state = MakeServingEntry(7);
  actions out;
  REQUIRE(SubmitJob(state, MakeRequest(3), {1}, instant{}, out));
  auto starts = Select<start_task>(out);
  REQUIRE(starts.size() == kSlots);
  size_t ended = 0;
  while (ended < starts.size()) {
    actions more;
    EndAttempt(state, starts[ended].placed,
               {.outcome = attempt_outcome::kSucceeded, .body = "done"},
               instant{5ms}, more);
    ++ended;
    for (const auto& start : Select<start_task>(more)) {
      starts.push_back(start);
    }
    const auto answers = Select<deliver_answer>(more);
    REQUIRE(answers.size() == (ended == 3 ? 1 : 0));
    if (ended == 3) {
      CHECK(answers[0].answer->code == result_code::kOk);
      CHECK(answers[0].answer->tasks[2].body == "done");
    }
  }
  CHECK(starts.size() == 3);
}

TEST_CASE("a resubmission attaches, then gets the kept answer") {
  entry state = MakeServingEntry(7);
  actions out;
  auto request = MakeRequest(1);
  request.id = MintTickets(state, 1).value().first;
  REQUIRE(SubmitJob(state, request, {1}, instant{}, out));
  REQUIRE(SubmitJob(state, request, {2}, instant{}, out));
  const auto starts = Select<start_task>(out);
  REQUIRE(starts.size() == 1);
  actions ended;
  EndAttempt(state, starts[0].placed,
             {.outcome = attempt_outcome::kSucceeded, .body = "x"},
             instant{1ms}, ended);
  CHECK(Select<deliver_answer>(ended).size() == 2);
  actions again;
  REQUIRE(SubmitJob(state, request, {3}, instant{2ms}, again));
  CHECK(Select<start_task>(again).empty());
  REQUIRE(Select<deliver_answer>(again).size() == 1);
  CHECK(Select<deliver_answer>(again)[0].answer->tasks[0].body == "x");

  request.digest = {9, 9};
  actions other;
  CHECK(SubmitJob(state, request, {4}, instant{2ms}, other).error() ==
        result_code::kContentMismatch);
}

TEST_CASE("an id of another entry is forwarded to its owner") {
  entry state = MakeServingEntry(7);
  actions out;
  auto request = MakeRequest(1);
  request.id = submission_id{1, {8}, 1};
  REQUIRE(SubmitJob(state, request, {1}, instant{}, out));
  REQUIRE(Select<forward_submission>(out).size() == 1);
  CHECK(Select<forward_submission>(out)[0].owner == incarnation{8});
}

TEST_CASE("an unknown outcome fails the job whole and starts nothing more") {
  entry state = MakeServingEntry(7);
  actions out;
  REQUIRE(SubmitJob(state, MakeRequest(4), {1}, instant{}, out));
  const auto starts = Select<start_task>(out);
  actions first;
  EndAttempt(state, starts[0].placed, {.outcome = attempt_outcome::kUnknown},
             instant{1ms}, first);
  CHECK(Select<start_task>(first).empty());
  actions second;
  EndAttempt(state, starts[1].placed,
             {.outcome = attempt_outcome::kSucceeded, .body = "secret"},
             instant{2ms}, second);
  CHECK(Select<start_task>(second).empty());
  const auto answers = Select<deliver_answer>(second);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].answer->code == result_code::kTaskOutcomeUnknown);
  for (const auto& task : answers[0].answer->tasks) {
    CHECK(task.body.empty());
  }
}

TEST_CASE("ids are read back as written and only in canonical form") {
  const submission_id id{3, {0xabcULL}, 0x1f};
  CHECK(ParseSubmissionId(FormatSubmissionId(id)).value() == id);
  CHECK(ParseSubmissionId("3-abc-1f").error() ==
        result_code::kInvalidSubmissionId);
  CHECK(ParseSubmissionId("").error() == result_code::kInvalidSubmissionId);
}

}  // namespace
}  // namespace tarragondrift
