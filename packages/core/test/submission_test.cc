#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace tarragondrift::test {
namespace {

using enum attempt_outcome;
using namespace std::chrono_literals;  // NOLINT: literals only

TEST_CASE("no fault is injected by default") {
  CHECK(entry_options{}.fault_for_test == injected_fault::kNone);
}

TEST_CASE("ids are parsed as formatted and only in canonical form") {
  const submission_id id{3, {0xabcULL}, 0x1f};
  CHECK(ParseSubmissionId(FormatSubmissionId(id)).value() == id);
  CHECK(ParseSubmissionId("3-abc-1f").error() ==
        result_code::kInvalidSubmissionId);
  CHECK(ParseSubmissionId("").error() == result_code::kInvalidSubmissionId);
}

TEST_CASE("a resubmission attaches, then gets the kept answer") {
  entry state = MakeServingEntry(7);
  auto request = MakeTicketRequest(state, 1);
  const auto starts = Select<start_task>(Submit(state, request, 1));
  REQUIRE(starts.size() == 1);
  CHECK(Submit(state, request, 2).empty());
  CHECK(Select<deliver_answer>(End(state, starts[0], kSucceeded, "x")).size() ==
        2);
  const actions again = Submit(state, request, 3);
  CHECK(Select<start_task>(again).empty());
  REQUIRE(Select<deliver_answer>(again).size() == 1);
  CHECK(Select<deliver_answer>(again)[0].answer->tasks[0].body == "x");
  request.digest = {9, 9};
  CHECK(OnlyCode(Submit(state, request, 4)) == result_code::kContentMismatch);
}

TEST_CASE("an id of another entry is forwarded once") {
  entry state = MakeServingEntry(7);
  auto request = MakeRequest(1);
  request.id = submission_id{1, {8}, 1};
  const auto forwards = Select<forward_submission>(Submit(state, request));
  REQUIRE(forwards.size() == 1);
  CHECK(forwards[0].owner == incarnation{8});
  actions out;
  CHECK(SubmitForwarded(state, request, {1}, instant{}, out).error() ==
        result_code::kOwnerGone);
  CHECK(Select<forward_submission>(out).empty());
  CHECK(Select<start_task>(out).empty());
}

TEST_CASE("an id never starts again after its answer was evicted") {
  entry state =
      MakeServingEntry(entry_options{.self = {7}, .max_kept_answers = 1});
  const auto unused = MakeTicketRequest(state, 1);
  const auto first = MakeTicketRequest(state, 1);
  for (const auto& request : {first, MakeTicketRequest(state, 1)}) {
    const auto starts = Select<start_task>(Submit(state, request));
    REQUIRE(starts.size() == 1);
    End(state, starts[0], kSucceeded, "x");
  }
  CHECK(OnlyCode(Submit(state, first)) == result_code::kAnswerExpired);
  actions out;
  CHECK(AwaitAnswer(state, *first.id, {1}, instant{}, out).error() ==
        result_code::kAnswerExpired);
  // An unused ticket older than the evicted one is still valid.
  CHECK(Select<start_task>(Submit(state, unused)).size() == 1);
}

TEST_CASE("ids below the watermark and ids never minted are refused") {
  entry state = MakeServingEntry(entry_options{
      .self = {7}, .remembered_sequences = 4, .max_tickets_per_request = 4});
  auto request = MakeTicketRequest(state, 1);
  static_cast<void>(MintTickets(state, 4));
  CHECK(OnlyCode(Submit(state, request)) == result_code::kNotRunStaleId);
  request.id->sequence = 6;
  CHECK(OnlyCode(Submit(state, request)) == result_code::kInvalidSubmissionId);
  request.id->sequence = 5;
  CHECK(Select<start_task>(Submit(state, request)).size() == 1);
}

TEST_CASE("a refusal that promises not run marks the id as used") {
  entry state = MakeServingEntry(7);
  const auto request = MakeTicketRequest(state, 1);
  const auto config = std::exchange(state.config, nullptr);
  CHECK(OnlyCode(Submit(state, request)) == result_code::kNotRunNoConfig);
  state.config = config;
  const actions late = Submit(state, request);
  CHECK(Select<start_task>(late).empty());
  CHECK(OnlyCode(late) == result_code::kNotRunNoConfig);
}

TEST_CASE("refusals are bounded, and an evicted one still runs nothing") {
  entry state =
      MakeServingEntry(entry_options{.self = {7}, .max_kept_refusals = 1});
  const auto config = std::exchange(state.config, nullptr);
  const auto first = MakeTicketRequest(state, 1);
  Submit(state, first);
  Submit(state, MakeTicketRequest(state, 1));
  state.config = config;
  CHECK(state.submissions.size() == 1);
  CHECK(OnlyCode(Submit(state, first)) == result_code::kAnswerExpired);
}

TEST_CASE("kept answers stay within the limit of bytes") {
  entry state = MakeServingEntry(
      entry_options{.self = {7}, .max_kept_bytes = 64U << 10U});
  for (int job = 0; job < 100; ++job) {
    const auto starts = Select<start_task>(Submit(state, MakeRequest(1)));
    End(state, starts[0], kSucceeded, std::string(4'000, 'x'));
    CHECK(state.kept.bytes <= 64U << 10U);
  }
  CHECK(state.kept.answers.size() < 17);
  CHECK(state.submissions.size() == state.kept.answers.size());
}

}  // namespace
}  // namespace tarragondrift::test
