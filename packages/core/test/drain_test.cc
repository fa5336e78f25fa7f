#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace tarragondrift::test {
namespace {

using enum attempt_outcome;

/// Runs a job of one task to its end.
job_request RunJob(entry& state, const std::string& body) {
  auto request = MakeTicketRequest(state, 1);
  const auto starts = Select<start_task>(Submit(state, request));
  End(state, starts.at(0), kSucceeded, body);
  return request;
}

TEST_CASE("a planned stop hands over every answer before the entry ends") {
  entry state =
      MakeServingEntry(entry_options{.self = {7}, .max_handover_answers = 1});
  entry successor = MakeServingEntry(8);
  const auto early = RunJob(state, "early");
  const auto late = MakeTicketRequest(state, 1);
  const auto running = Select<start_task>(Submit(state, late));

  actions out;
  BeginDrain(state, instant{}, out);
  CHECK(MintTickets(state, 1).error() == result_code::kNotRunDraining);
  auto handed = Select<hand_over>(out);
  REQUIRE(handed.size() == 1);
  AcceptHandover(successor, handed[0]);
  out.clear();
  OnHandoverResult(state, {.accepted = true, .successor = {8}}, out);
  CHECK(out.empty());
  CHECK(state.stage == entry_stage::kDraining);

  const actions ended = End(state, running[0], kSucceeded, "late");
  CHECK(OnlyCode(ended) == result_code::kOk);
  handed = Select<hand_over>(ended);
  REQUIRE(handed.size() == 1);

  SECTION("confirmed: the successor repeats both answers") {
    AcceptHandover(successor, handed[0]);
    OnHandoverResult(state, {.accepted = true, .successor = {8}}, out);
    CHECK(state.stage == entry_stage::kDrained);
    for (const auto& request : {early, late}) {
      actions repeated;
      REQUIRE(SubmitForwarded(successor, request, {1}, instant{}, repeated));
      CHECK(OnlyCode(repeated) == result_code::kOk);
    }
  }
  SECTION("not confirmed: it is handed over again") {
    OnHandoverResult(state, {.accepted = false}, out);
    CHECK(Select<hand_over>(out).size() == 1);
    CHECK(state.stage == entry_stage::kDraining);
  }
  SECTION("another successor gets the earlier answers too") {
    OnHandoverResult(state, {.accepted = true, .successor = {9}}, out);
    handed = Select<hand_over>(out);
    REQUIRE(handed.size() == 1);
    CHECK(handed[0].answers[0].answer->id == *early.id);
    OnHandoverResult(state, {.accepted = true, .successor = {9}}, out);
    CHECK(state.stage == entry_stage::kDrained);
  }
}

TEST_CASE("a stopping entry accepts no handover") {
  entry state = MakeServingEntry(7);
  RunJob(state, "x");
  actions out;
  BeginDrain(state, instant{}, out);
  CHECK_FALSE(AcceptHandover(state, Select<hand_over>(out).at(0)));
}

TEST_CASE("an entry with nothing kept and nothing running drains at once") {
  entry state = MakeServingEntry(7);
  actions out;
  BeginDrain(state, instant{}, out);
  CHECK(out.empty());
  CHECK(state.stage == entry_stage::kDrained);
}

TEST_CASE("a drain waits for attempts of failed jobs") {
  entry state = MakeServingEntry(7);
  const auto starts = Select<start_task>(Submit(state, MakeRequest(2)));
  End(state, starts[0], kFailed);
  actions out;
  BeginDrain(state, instant{}, out);
  OnHandoverResult(state, {.accepted = true, .successor = {8}}, out);
  CHECK(state.stage == entry_stage::kDraining);
  End(state, starts[1], kSucceeded);
  CHECK(state.stage == entry_stage::kDrained);
}

TEST_CASE("a forced drain answers every job truthfully") {
  entry state = MakeServingEntry(7);
  const auto started = MakeTicketRequest(state, 2);
  const auto waiting = MakeTicketRequest(state, 1);
  Submit(state, started, 1);
  Submit(state, waiting, 2);
  actions out;
  ForceDrain(state, instant{}, out);
  CHECK(state.stage == entry_stage::kDrained);
  const auto answers = Select<deliver_answer>(out);
  REQUIRE(answers.size() == 2);
  for (const auto& answer : answers) {
    CHECK(answer.answer->code == (answer.waiter == waiter_id{1}
                                      ? result_code::kStoppedAfterStart
                                      : result_code::kNotRunDraining));
  }
  const auto handed = Select<hand_over>(out);
  REQUIRE(handed.size() == 1);
  CHECK(handed[0].answers.size() == 2);
}

}  // namespace
}  // namespace tarragondrift::test
