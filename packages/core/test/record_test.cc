#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace tarragondrift::test {
namespace {

using enum attempt_outcome;
using namespace std::chrono_literals;  // NOLINT: literals only

job_request MakeKeyedRequest(const std::string& key) {
  job_request request = MakeRequest(1);
  request.idempotency_key = key;
  return request;
}

actions EndClaim(entry& state, const claim_key& requested,
                 const key_claim& claim, instant now = {}) {
  actions out;
  OnKeyClaimResult(state, requested.id, claim, now, out);
  return out;
}

TEST_CASE("a key is claimed before the first start") {
  entry state = MakeServingEntry(7);
  const actions submitted = Submit(state, MakeKeyedRequest("order 1"));
  CHECK(Select<start_task>(submitted).empty());
  const auto claims = Select<claim_key>(submitted);
  REQUIRE(claims.size() == 1);
  using enum store_outcome;

  SECTION("it starts when the claim is applied") {
    CHECK(Select<start_task>(EndClaim(state, claims[0], {.outcome = kApplied}))
              .size() == 1);
  }
  SECTION("an unavailable store promises nothing, and the key stays valid") {
    const actions down = EndClaim(state, claims[0], {.outcome = kUnavailable});
    CHECK(OnlyCode(down) == result_code::kStoreUnavailable);
    const auto again =
        Select<claim_key>(Submit(state, MakeKeyedRequest("order 1")));
    REQUIRE(again.size() == 1);
    CHECK(Select<start_task>(EndClaim(state, again[0], {.outcome = kApplied}))
              .size() == 1);
  }
  SECTION("an id that may be resubmitted needs an idempotency key") {
    EndClaim(state, claims[0], {.outcome = kUnavailable});
    auto again = MakeRequest(1);
    again.id = claims[0].id;
    const actions keyless = Submit(state, again);
    CHECK(Select<start_task>(keyless).empty());
    CHECK(OnlyCode(keyless) == result_code::kRefusedForNow);
    again.idempotency_key = "order 1";
    const auto claim = Select<claim_key>(Submit(state, again));
    REQUIRE(claim.size() == 1);
    CHECK(claim[0].id == claims[0].id);
    const auto starts =
        Select<start_task>(EndClaim(state, claim[0], {.outcome = kApplied}));
    REQUIRE(starts.size() == 1);
    CHECK(OnlyCode(End(state, starts[0], kSucceeded, "x")) == result_code::kOk);
  }
  SECTION("an id that may be resubmitted can be cancelled") {
    EndClaim(state, claims[0], {.outcome = kUnavailable});
    actions out;
    CHECK(AwaitAnswer(state, claims[0].id, {1}, instant{}, out).error() ==
          result_code::kRefusedForNow);
    REQUIRE(CancelJob(state, claims[0].id, instant{}, out));
    auto again = MakeKeyedRequest("order 1");
    again.id = claims[0].id;
    CHECK(OnlyCode(Submit(state, again)) == result_code::kOutcomeUnknown);
  }
  SECTION("a lost reply starts nothing and the claim is retried") {
    CHECK(EndClaim(state, claims[0], {.outcome = store_outcome::kUnknown})
              .empty());
    actions out;
    TickEntry(state, instant{199ms}, out);
    CHECK(out.empty());
    TickEntry(state, instant{200ms}, out);
    const auto again = Select<claim_key>(out);
    REQUIRE(again.size() == 1);
    const actions held = EndClaim(state, again[0],
                                  {.outcome = kConflict,
                                   .holder = claims[0].id,
                                   .holder_digest = claims[0].digest});
    CHECK(Select<start_task>(held).size() == 1);
  }
  SECTION("a claim whose outcome stays unknown fails at the deadline") {
    EndClaim(state, claims[0], {.outcome = store_outcome::kUnknown});
    actions out;
    TickEntry(state, instant{1'000ms}, out);
    CHECK(OnlyCode(out) == result_code::kStoreUnavailable);
    CHECK(EndClaim(state, claims[0], {.outcome = kApplied}).empty());
  }
  SECTION("a submission whose key another entry holds is forwarded there") {
    const submission_id holder{2, {8}, 5};
    const auto forwards = Select<forward_submission>(
        EndClaim(state, claims[0],
                 {.outcome = kConflict,
                  .holder = holder,
                  .holder_digest = claims[0].digest}));
    REQUIRE(forwards.size() == 1);
    CHECK(forwards[0].owner == incarnation{8});
    CHECK(forwards[0].request->id == holder);
    CHECK(forwards[0].request->tasks.size() == 1);
    CHECK(ResolveSubmission(state, claims[0].id) == holder);
  }
  SECTION("a key held for other content is refused") {
    CHECK(OnlyCode(EndClaim(state, claims[0],
                            {.outcome = kConflict,
                             .holder = {2, {8}, 5},
                             .holder_digest = {3, 3}})) ==
          result_code::kContentMismatch);
  }
  SECTION("a cancel before the claim is known cannot promise not run") {
    actions out;
    REQUIRE(CancelJob(state, claims[0].id, instant{}, out));
    CHECK(OnlyCode(out) == result_code::kOutcomeUnknown);
    CHECK(EndClaim(state, claims[0], {.outcome = kApplied}).empty());
  }
}

TEST_CASE("two submissions with one key at one entry run once") {
  entry state = MakeServingEntry(7);
  const auto first = Select<claim_key>(Submit(state, MakeKeyedRequest("a"), 1));
  const auto second =
      Select<claim_key>(Submit(state, MakeKeyedRequest("a"), 2));
  const auto starts = Select<start_task>(
      EndClaim(state, first[0], {.outcome = store_outcome::kApplied}));
  REQUIRE(starts.size() == 1);
  CHECK(EndClaim(state, second[0],
                 {.outcome = store_outcome::kConflict,
                  .holder = first[0].id,
                  .holder_digest = first[0].digest})
            .empty());
  const auto answers =
      Select<deliver_answer>(End(state, starts[0], kSucceeded, "x"));
  REQUIRE(answers.size() == 2);
  CHECK(answers[0].answer->id == answers[1].answer->id);
}

TEST_CASE("an intent is recorded before the first start") {
  entry state = MakeServingEntry(7);
  const auto request = MakeTicketRequest(state, 1, kBooking);
  const auto records = Select<record_intent>(Submit(state, request));
  REQUIRE(records.size() == 1);
  actions out;
  SECTION("applied") {
    OnIntentRecordResult(state, records[0].id, store_outcome::kApplied,
                         instant{}, out);
    CHECK(Select<start_task>(out).size() == 1);
  }
  SECTION("fenced by an entry that considered this one gone") {
    OnIntentRecordResult(state, records[0].id, store_outcome::kConflict,
                         instant{}, out);
    CHECK(OnlyCode(out) == result_code::kNotRunRecorded);
    CHECK(OnlyCode(Submit(state, request)) == result_code::kNotRunRecorded);
  }
  SECTION("store unavailable") {
    OnIntentRecordResult(state, records[0].id, store_outcome::kUnavailable,
                         instant{}, out);
    CHECK(OnlyCode(out) == result_code::kNotRunStoreUnavailable);
    CHECK(OnlyCode(Submit(state, request)) ==
          result_code::kNotRunStoreUnavailable);
  }
  SECTION("unknown") {
    OnIntentRecordResult(state, records[0].id, store_outcome::kUnknown,
                         instant{}, out);
    CHECK(out.empty());
    TickEntry(state, instant{200ms}, out);
    CHECK(Select<record_intent>(out).size() == 1);
  }
}

TEST_CASE("a submission of a lost owner is answered truthfully") {
  entry state = MakeServingEntry(7);
  auto request = MakeRequest(1, kBooking);
  request.id = submission_id{1, {8}, 1};
  const auto sent = Select<forward_submission>(Submit(state, request));
  actions out;
  SECTION("unreachable: retry") {
    OnForwardResult(state, sent[0], forward_outcome::kUnreachable, instant{},
                    out);
    CHECK(OnlyCode(out) == result_code::kOwnerUnreachable);
  }
  SECTION("gone, recorded contract: fence, then answer") {
    OnForwardResult(state, sent[0], forward_outcome::kOwnerGone, instant{},
                    out);
    const auto fences = Select<fence_intent>(out);
    REQUIRE(fences.size() == 1);
    const auto code_after = [&](fence_outcome outcome) {
      actions resulting;
      OnIntentFenceResult(state, fences[0], outcome, resulting);
      return OnlyCode(resulting);
    };
    CHECK(code_after(fence_outcome::kFenced) == result_code::kNotRunRecorded);
    CHECK(code_after(fence_outcome::kRecorded) == result_code::kOutcomeUnknown);
    CHECK(code_after(fence_outcome::kUnknown) ==
          result_code::kOwnerUnreachable);
  }
  SECTION("gone so long that its records may be deleted: unknown") {
    OnForwardResult(state, sent[0], forward_outcome::kOwnerForgotten, instant{},
                    out);
    CHECK(OnlyCode(out) == result_code::kOutcomeUnknown);
  }
  SECTION("gone, not recorded: unknown") {
    request.contract = kQuote;
    const auto quote = Select<forward_submission>(Submit(state, request));
    OnForwardResult(state, quote[0], forward_outcome::kOwnerGone, instant{},
                    out);
    CHECK(OnlyCode(out) == result_code::kOutcomeUnknown);
  }
}

}  // namespace
}  // namespace tarragondrift::test
