// Repeated submissions while entries that are no candidates have workers.
#include <catch2/catch.hpp>
#include <string>

#include "claim_fixture.h"

namespace tarragondrift::fleet {
namespace {

/// A fleet too large for a full mesh, whose last entry is no witness.
struct large_fleet_fixture : claim_fixture {
  large_fleet_fixture() : claim_fixture({.max_full_mesh_peers = 1}, 2) {}
};

TEST_CASE_METHOD(large_fleet_fixture,
                 "runs of a controller that left went on beside the next "
                 "submission of their job") {
  const std::string job = JobOf(0);
  const uint64_t first = Submit(2, job, kWholeTime);
  Advance(100ms);
  BeginLeaving(entries[2], now + 5s, now);
  Advance(200ms);
  REQUIRE_FALSE(answers.contains(first));
  const uint64_t second = Submit(1, job, kRestOfTime);
  Advance(kRunTime + 200ms);
  CHECK(answers.at(first) == result_code::kOutcomeUnknown);
  CHECK(answers.at(second) == result_code::kOk);
  CHECK(overlaps == 0);
}

TEST_CASE_METHOD(claim_fixture,
                 "a controller that had not been heard for 30 s no longer "
                 "counted while runs of its jobs were ending") {
  cut.insert(2);
  Advance(entries[0].options.max_caller_timeout + 500ms);
  const uint64_t early = Submit(0, JobOf(0), kRestOfTime);
  CHECK(answers.at(early) == result_code::kOutcomeUnknown);
  Advance(entries[0].options.orphan_limit);
  const uint64_t later = Submit(0, JobOf(0), kRestOfTime);
  Advance(kRunTime + 100ms);
  CHECK(answers.at(later) == result_code::kOk);
}

TEST_CASE_METHOD(claim_fixture,
                 "a controller that had withdrawn its row and was cut off was "
                 "forgotten while it ran a job") {
  run_time = 2'500ms;
  const std::string job = JobOf(0);
  Submit(2, job, 8s);
  Advance(100ms);
  BeginLeaving(entries[2], now + 5s, now);
  RemovePeerRow(entries[0], "entry2", now);
  RemovePeerRow(entries[1], "entry2", now);
  Advance(300ms);
  cut.insert(2);
  Advance(1'200ms);
  const uint64_t second = Submit(1, job, 6s);
  Advance(500ms);
  CHECK(answers.at(second) == result_code::kOutcomeUnknown);
  CHECK(overlaps == 0);
}

TEST_CASE_METHOD(claim_fixture,
                 "a controller that had left as planned kept repeated "
                 "submissions from being served") {
  BeginLeaving(entries[2], now + 5s, now);
  RemovePeerRow(entries[0], "entry2", now);
  RemovePeerRow(entries[1], "entry2", now);
  Advance(2s);
  REQUIRE(HasLeft(entries[2]));
  cut.insert(2);
  cuts_workers = false;
  Advance(1'200ms);
  const uint64_t repeated = Submit(1, JobOf(0), kRestOfTime);
  Advance(kRunTime + 100ms);
  CHECK(answers.at(repeated) == result_code::kOk);
}

TEST_CASE_METHOD(claim_fixture,
                 "a process no longer counted while its runs were ending, as "
                 "another one answered at its address") {
  cut.insert(2);
  cuts_workers = false;
  for (size_t at = 0; at < 2; ++at) {
    OnDelivery(entries[at], IdentityOf(2).incarnation, delivery::kOtherProcess,
               now);
  }
  const uint64_t early = Submit(0, JobOf(0), kRestOfTime);
  CHECK(answers.at(early) == result_code::kOutcomeUnknown);
  Advance(entries[0].options.orphan_limit + 20ms);
  const uint64_t later = Submit(0, JobOf(0), kRestOfTime);
  Advance(kRunTime + 100ms);
  CHECK(answers.at(later) == result_code::kOk);
}

TEST_CASE_METHOD(claim_fixture,
                 "a controller whose row was gone was forgotten before its "
                 "last jobs had ended") {
  cut.insert(2);
  RemovePeerRow(entries[0], "entry2", now);
  RemovePeerRow(entries[1], "entry2", now);
  Advance(entries[0].options.max_caller_timeout + 500ms);
  const uint64_t early = Submit(0, JobOf(0), kRestOfTime);
  Advance(kRunTime + 100ms);
  CHECK(answers.at(early) == result_code::kOutcomeUnknown);
}

/// An entry that the others and its callers do not reach, while it reaches the
/// workers and the store.
struct unreached_entry_fixture : claim_fixture {
  unreached_entry_fixture() {
    run_time = 2'500ms;
    cuts_only_entries = true;
    Play(1s);
  }

  /// Lets time pass while all entries read the list of witnesses.
  void Play(milliseconds span) {
    for (const instant end = now + span; now < end;) {
      for (engine& state : entries) {
        ApplyWitnessList(state, state.witnesses.list, now);
      }
      Advance(std::min<milliseconds>(
          1s, std::chrono::floor<milliseconds>(end - now)));
    }
  }
};

TEST_CASE_METHOD(unreached_entry_fixture,
                 "an entry took workers back by higher fences and ran a job "
                 "beside its next submission") {
  for (const milliseconds wait : {1'000ms, 1'300ms, 1'600ms, 1'900ms}) {
    const std::string job = JobOf(0);
    const uint64_t first = Submit(2, job, 8s);
    Play(100ms);
    cut.insert(2);
    Play(wait);
    uint64_t second = Submit(1, job, 6'600ms - wait);
    Play(1'300ms);
    if (answers.contains(second) &&
        answers.at(second) == result_code::kOutcomeUnknown) {
      second = Submit(0, job, 5'300ms - wait);
    }
    Play(3s);
    CHECK(answers.at(second) == result_code::kOk);
    cut.clear();
    Play(4s);
    CHECK(answers.contains(first));
  }
  CHECK(overlaps == 0);
}

TEST_CASE_METHOD(claim_fixture,
                 "an offer that arrived after its job had failed was run "
                 "beside the next submission") {
  cuts_only_entries = true;
  run_time = 1s;
  for (int filler = 0; filler < 4; ++filler) {
    Submit(filler < 2 ? 1 : 2, JobOf(0), kWholeTime);
  }
  Advance(340ms);
  run_time = 1'500ms;
  holds_up_offers = true;
  const std::string job = JobOf(0);
  const uint64_t first = Submit(2, job, 8s);
  holds_up_offers = false;
  REQUIRE(held_up.size() == 1);
  REQUIRE(held_up.front().to == IdentityOf(0).incarnation);
  Advance(40ms);
  REQUIRE(answers.at(first) == result_code::kOutcomeUnknown);
  Advance(620ms);
  const uint32_t starts_before = starts;
  OnEnvelope(entries[0], held_up.front(), now);
  cut.insert(2);
  Settle();
  CHECK(starts == starts_before);
  Advance(600ms);
  REQUIRE(overlaps == 0);
  const uint64_t second = Submit(1, job, 8s);
  CHECK(overlaps == 0);
  Advance(2 * run_time);
  CHECK(answers[second] == result_code::kOk);
}

}  // namespace
}  // namespace tarragondrift::fleet
