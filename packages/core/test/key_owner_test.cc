#include <array>
#include <catch2/catch.hpp>

#include "entry_fixture.h"
#include "tarragondrift/core/key_owner_cmd.h"

namespace tarragondrift::test {
namespace {

using enum attempt_outcome;
using namespace std::chrono_literals;  // NOLINT: literals only

const std::string kUuid = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
/// Index of a digit of the random part in a key with its home.
constexpr size_t kRandomDigitIndex = 30;
constexpr auto kUuidTime = std::chrono::milliseconds(1'645'557'742'000);

/// An entry that uses key intervals.
entry MakeIntervalEntry(uint64_t self) {
  return MakeServingEntry(
      entry_options{.self = {self}, .use_key_intervals = true});
}

TEST_CASE("without key intervals every key is claimed individually") {
  entry state = MakeServingEntry(7);
  auto request = MakeRequest(1);
  request.idempotency_key = "0001:" + kUuid;
  CHECK(Select<claim_key>(Submit(state, request)).size() == 1);
  actions out;
  ClaimIntervals(state, {}, kUuidTime, out);
  CHECK(out.empty());
}

TEST_CASE("a key contains its home and issue time and has one spelling") {
  const auto uuid = ParseIssuedKey("0001:" + kUuid);
  REQUIRE(uuid.has_value());
  CHECK(uuid->home_data_centre == 1);
  CHECK(uuid->issued == kUuidTime);
  const auto ulid = ParseIssuedKey("0002:01ARZ3NDEKTSV4RRFFQ69G5FAV");
  REQUIRE(ulid.has_value());
  CHECK(ulid->issued == std::chrono::milliseconds(1'469'922'850'259));
  for (const std::string text :
       {"order 7", "", "0001:", "1:017f22e2-79b0-7cc3-98c4-dc0c0c07398f",
        "0001:017F22E2-79B0-7CC3-98C4-DC0C0C07398F",
        "0001:017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
        "0001:017f22e2-79b0-7cc3-f8c4-dc0c0c07398f",
        "0002:81ARZ3NDEKTSV4RRFFQ69G5FAV"}) {
    INFO(text);
    CHECK_FALSE(ParseIssuedKey(text).has_value());
  }
}

TEST_CASE("a key of an owned interval runs once without a store call") {
  entry state = MakeIntervalEntry(7);
  auto request = MakeRequest(1);
  request.idempotency_key = "0001:" + kUuid;
  const actions ungranted = Submit(state, request);
  CHECK(OnlyCode(ungranted) == result_code::kRefusedForNow);
  const auto requested = Select<claim_interval>(ungranted);
  REQUIRE(requested.size() == 1);
  CHECK(Select<claim_interval>(Submit(state, request)).empty());

  SECTION("granted to this entry") {
    OnIntervalClaimResult(state, requested[0].interval, store_outcome::kApplied,
                          {7});
    const actions submitted = Submit(state, request);
    CHECK(Select<claim_key>(submitted).empty());
    const auto starts = Select<start_task>(submitted);
    REQUIRE(starts.size() == 1);
    CHECK(Submit(state, request, 2).empty());
    End(state, starts[0], kSucceeded, "x");
    CHECK(OnlyCode(Submit(state, request)) == result_code::kOk);
    SECTION("and closed permanently when too many keys are remembered") {
      state.keys.max_keys = 1;
      auto later = request;
      later.idempotency_key[5 + 11] = '1';
      const auto interval = IntervalOf(state.keys.options,
                                       *ParseIssuedKey(later.idempotency_key));
      RecordIntervalOwner(state.keys, {7}, interval, {7});
      Submit(state, later);
      RecordIntervalOwner(state.keys, {7}, requested[0].interval, {7});
      CHECK(OnlyCode(Submit(state, request)) == result_code::kAnswerExpired);
    }
  }
  SECTION("granted to another entry: forwarded, and never run here") {
    OnIntervalClaimResult(state, requested[0].interval,
                          store_outcome::kConflict, {8});
    const auto forwards = Select<forward_submission>(Submit(state, request));
    REQUIRE(forwards.size() == 1);
    CHECK(forwards[0].owner == incarnation{8});
    actions out;
    OnForwardResult(state, forwards[0], forward_outcome::kOwnerGone, instant{},
                    out);
    CHECK(OnlyCode(out) == result_code::kOutcomeUnknown);
  }
  SECTION("a claim with an unknown outcome grants nothing") {
    OnIntervalClaimResult(state, requested[0].interval, store_outcome::kUnknown,
                          {});
    CHECK(OnlyCode(Submit(state, request)) == result_code::kRefusedForNow);
  }
}

TEST_CASE("grants to other entries are evicted, own intervals never reopen") {
  key_owners owners;
  owners.max_grants = 2;
  const incarnation self{7};
  const key_interval own{.number = 1, .home_data_centre = 1};
  RecordIntervalOwner(owners, self, own, self);
  owners.open.clear();
  for (uint64_t number = 2; number < 9; ++number) {
    RecordIntervalOwner(owners, self, {.number = number}, {8});
  }
  CHECK(owners.granted.size() == 2);
  RecordIntervalOwner(owners, self, own, self);
  CHECK(LookUpKey(owners, self, own, "key").kind == key_lookup_kind::kClosed);
}

TEST_CASE("a planned stop hands key intervals to one successor") {
  entry state = MakeIntervalEntry(7);
  entry interval_successor = MakeIntervalEntry(8);
  auto request = MakeRequest(1);
  request.idempotency_key = "0001:" + kUuid;
  const auto interval =
      IntervalOf(state.keys.options, *ParseIssuedKey(request.idempotency_key));
  RecordIntervalOwner(state.keys, {7}, interval, {7});
  RecordIntervalOwner(interval_successor.keys, {8}, interval, {7});
  const auto starts = Select<start_task>(Submit(state, request));
  End(state, starts.at(0), kSucceeded, "x");

  actions out;
  BeginDrain(state, instant{}, out);
  REQUIRE(AcceptHandover(interval_successor, Select<hand_over>(out).at(0)));
  actions last;
  OnHandoverResult(state, {.accepted = true, .successor = {8}}, last);
  const auto handed = Select<hand_over>(last);
  REQUIRE(handed.size() == 1);
  CHECK(handed[0].only_to == incarnation{8});
  actions again;
  OnHandoverResult(state, {}, again);
  CHECK(Select<hand_over>(again).at(0).only_to == incarnation{8});
  REQUIRE(AcceptHandover(interval_successor, handed[0]));
  OnHandoverResult(state, {.accepted = true, .successor = {8}}, again);
  CHECK(state.stage == entry_stage::kDrained);

  const auto forward = [&interval_successor](const job_request& sent) {
    actions resulting;
    static_cast<void>(
        SubmitForwarded(interval_successor, sent, {1}, instant{}, resulting));
    return resulting;
  };
  const actions repeated = forward(request);
  CHECK(Select<start_task>(repeated).empty());
  CHECK(OnlyCode(repeated) == result_code::kOk);
  auto fresh = request;
  const auto in_interval = [&](const job_request& sent) {
    const auto key = ParseIssuedKey(sent.idempotency_key);
    return IntervalOf(interval_successor.keys.options, *key) == interval;
  };
  do {
    ++fresh.idempotency_key[kRandomDigitIndex];
  } while (!in_interval(fresh));
  CHECK(Select<start_task>(forward(fresh)).size() == 1);
  // A late copy of the message must not restore the old list of keys.
  const size_t keys = interval_successor.keys.open.at(interval).size();
  REQUIRE(AcceptHandover(interval_successor, handed[0]));
  CHECK(interval_successor.keys.open.at(interval).size() == keys);
}

TEST_CASE("one live entry of a data centre claims each upcoming interval") {
  const std::array<incarnation, 3> live{{{7}, {8}, {9}}};
  std::map<key_interval, int> claims;
  for (const incarnation self : live) {
    entry state = MakeIntervalEntry(self.value);
    actions out;
    ClaimIntervals(state, live, kUuidTime, out);
    for (const auto& claim : Select<claim_interval>(out)) {
      ++claims[claim.interval];
    }
  }
  CHECK(claims.size() == size_t{3} * key_owner_options{}.shards);
  for (const auto& [interval, count] : claims) {
    CHECK(count == 1);
  }
}

}  // namespace
}  // namespace tarragondrift::test
