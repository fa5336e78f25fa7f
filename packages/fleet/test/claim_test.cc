// Two submissions of one job at different entries.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "claim_fixture.h"
#include "tarragondrift/fleet/arbiter_cmd.h"
#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/claim_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/ownership_cmd.h"
#include "tarragondrift/fleet/part_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"

namespace tarragondrift::fleet {
namespace {

TEST_CASE_METHOD(claim_fixture,
                 "a request that was held up started its job beside the next "
                 "submission") {
  for (size_t arbiter = 0; arbiter < kEntries; ++arbiter) {
    const std::string job = JobOf(arbiter);
    const uint64_t second = Submit(1, job, kRestOfTime);
    Advance(100ms);
    const uint64_t first = Submit(0, job, kWholeTime);
    Advance(100ms);
    CHECK(answers.at(first) == result_code::kOutcomeUnknown);
    Advance(kRunTime);
    CHECK(answers.at(second) == result_code::kOk);
  }
  CHECK(overlaps == 0);
}

TEST_CASE_METHOD(
    claim_fixture,
    "two submissions with the same timeout ran beside each other") {
  for (size_t arbiter = 0; arbiter < kEntries; ++arbiter) {
    const std::string job = JobOf(arbiter);
    const uint64_t second = Submit(1, job, kWholeTime);
    Advance(40ms);
    const uint64_t first = Submit(0, job, kWholeTime);
    Advance(kRunTime + 100ms);
    CHECK(answers.at(first) == result_code::kOutcomeUnknown);
    CHECK(answers.at(second) == result_code::kOk);
  }
  CHECK(overlaps == 0);
}

TEST_CASE_METHOD(claim_fixture,
                 "runs went on beside the next submission, as their origin did "
                 "not know that its caller had left") {
  for (const milliseconds rest : {kRestOfTime, kWholeTime - 1'300ms}) {
    for (size_t arbiter = 0; arbiter < kEntries; ++arbiter) {
      const std::string job = JobOf(arbiter);
      const uint64_t first = Submit(0, job, kWholeTime);
      Advance(200ms);
      const uint64_t second = Submit(1, job, rest);
      Advance(kRunTime + 200ms);
      CHECK(answers.at(first) == result_code::kOutcomeUnknown);
      CHECK(answers.at(second) == result_code::kOk);
    }
  }
  CHECK(overlaps == 0);
}

TEST_CASE_METHOD(claim_fixture,
                 "a repeated submission is refused at once while a controller "
                 "cannot be told of it") {
  cut.insert(2);
  Advance(920ms);
  const uint64_t early = Submit(0, JobOf(0), kRestOfTime);
  CHECK(answers.at(early) == result_code::kOutcomeUnknown);
  // First submissions are served.
  const uint64_t other = Submit(0, JobOf(0), kWholeTime);
  Advance(kRunTime + 100ms);
  CHECK(answers.at(other) == result_code::kOk);
  Advance(3s);
  const uint64_t still = Submit(0, JobOf(0), kRestOfTime);
  CHECK(answers.at(still) == result_code::kOutcomeUnknown);
  // Once its workers obey others it can start nothing.
  cuts_workers = false;
  Advance(6s);
  const uint64_t later = Submit(0, JobOf(0), kRestOfTime);
  Advance(kRunTime + 100ms);
  CHECK(answers.at(later) == result_code::kOk);
}

TEST_CASE_METHOD(claim_fixture,
                 "a job does not wait for a witness that does not answer") {
  frozen.insert(2);
  const uint32_t before = starts;
  const uint64_t request = Submit(0, JobOf(2), kWholeTime);
  CHECK(starts == before);
  Advance(entries[0].options.claim_wait + 40ms);
  CHECK(starts > before);
  Advance(kRunTime + 100ms);
  CHECK(answers.contains(request));
}

TEST_CASE_METHOD(claim_fixture,
                 "an entry that hears no other one serves first submissions "
                 "that it is a witness of") {
  cut.insert(0);
  Advance(3s);
  const uint64_t request = Submit(0, JobOf(0), kWholeTime);
  Advance(kRunTime + 100ms);
  CHECK(answers.at(request) == result_code::kOk);
}

TEST_CASE_METHOD(claim_fixture,
                 "an entry started a job whose witnesses it does not hear") {
  cut.insert(0);
  Advance(3s);
  const uint32_t before = starts;
  const uint64_t unheard = Submit(0, JobOf(1, 2), kWholeTime);
  CHECK(answers.at(unheard) == result_code::kNotRunStoreUnavailable);
  store_up = false;
  const uint64_t unproven = Submit(0, JobOf(0), kWholeTime);
  CHECK(answers.at(unproven) == result_code::kNotRunStoreUnavailable);
  CHECK(starts == before);
}

TEST_CASE_METHOD(claim_fixture,
                 "a data centre that is cut off refused jobs that its own "
                 "witnesses know") {
  cut.insert(0);
  store_up = false;
  Advance(3s);
  Submit(0, JobOf(0), kWholeTime);
  Advance(entries[0].options.row_wait + 40ms);
  // None of its own witnesses is one of this job.
  const std::string job = JobOf(1, 2);
  const uint64_t request = Submit(0, job, kWholeTime);
  CHECK_FALSE(answers.contains(request));
  Advance(kRunTime + 100ms);
  CHECK(answers.at(request) == result_code::kOk);
  // The others refuse what is there while they can.
  const uint64_t other = Submit(1, JobOf(0, 2), kWholeTime);
  Advance(kRunTime + 500ms);
  CHECK(answers.at(other) == result_code::kNotRunStoreUnavailable);
}

TEST_CASE_METHOD(claim_fixture,
                 "a witness granted a claim as of a data centre that is cut "
                 "off while it heard another one") {
  const job_claim claim{.job = JobOf(1, 2),
                        .origin = 3,
                        .request = 1,
                        .timeout = kWholeTime,
                        .valid_for = 2'700ms,
                        .local = true};
  CHECK(DecideClaim(entries[0], 3, claim, now) == claim_outcome::kAbstained);
  cut.insert(0);
  Advance(3s);
  CHECK(DecideClaim(entries[0], 3, claim, now) == claim_outcome::kGranted);
}

TEST_CASE_METHOD(claim_fixture,
                 "a submission started in a data centre that is cut off beside "
                 "one that had been accepted there before") {
  cut.insert(0);
  Advance(3s);
  job_claim claim{.job = JobOf(1, 2),
                  .origin = 8,
                  .request = 2,
                  .timeout = kWholeTime,
                  .valid_for = 2'700ms,
                  .local = true};
  // It was relayed to witnesses that are out of reach now.
  entries[0].relayed_claims[AttemptOf(claim)] = {
      .inquiry = {.claim = claim, .until = now + 2'700ms}, .answered = true};
  job_claim next = claim;
  next.origin = 9;
  CHECK(DecideClaim(entries[0], 9, next, now) == claim_outcome::kRefused);
  CHECK(DecideClaim(entries[0], 8, claim, now) == claim_outcome::kGranted);
}

TEST_CASE_METHOD(claim_fixture,
                 "two submissions ran beside each other as their arbiters were "
                 "cut off from one another") {
  cuts_only_entries = true;
  for (size_t alone = 0; alone < kEntries; ++alone) {
    cut.insert(alone);
    Advance(3s);
    for (size_t first = 0; first < kEntries; ++first) {
      for (size_t second = 0; second < kEntries; ++second) {
        if (first == second) {
          continue;
        }
        const std::string job = JobOf(first, second);
        const size_t other = (alone + 1) % kEntries;
        Submit(alone, job, kWholeTime);
        Advance(60ms);
        Submit(other, job, kWholeTime);
        Advance(kRunTime + 500ms);
      }
    }
    cut.clear();
    Advance(3s);
  }
  CHECK(starts > 0);
  CHECK(overlaps == 0);
}

TEST_CASE_METHOD(claim_fixture,
                 "a process that has just started granted what the one before "
                 "it had granted to another submission") {
  const job_claim first{.job = JobOf(0),
                        .request = 1,
                        .timeout = kWholeTime,
                        .valid_for = 2'700ms};
  OnJobClaim(entries[0], 2, first, now);
  Restart(0);
  engine& restarted = entries[0];
  job_claim second = first;
  second.origin = 3;
  CHECK(DecideClaim(restarted, 3, second, now) == claim_outcome::kAbstained);
  // Claims may last longer, and no peer has told of them yet.
  now += restarted.options.claim_memory;
  CHECK(DecideClaim(restarted, 3, second, now) == claim_outcome::kAbstained);
  now += restarted.options.max_caller_timeout + restarted.options.orphan_limit;
  CHECK(DecideClaim(restarted, 3, second, now) == claim_outcome::kGranted);
}

TEST_CASE_METHOD(claim_fixture,
                 "a controller that was cut off started an earlier submission "
                 "after it was heard again") {
  cut.insert(2);
  cuts_workers = false;
  Advance(6s);
  const std::string job = JobOf(0);
  const uint64_t second = Submit(0, job, kRestOfTime);
  cut.clear();
  Advance(400ms);
  const uint64_t first = Submit(2, job, kWholeTime);
  Advance(kRunTime);
  CHECK(answers.at(second) == result_code::kOk);
  CHECK(answers.at(first) == result_code::kOutcomeUnknown);
  CHECK(overlaps == 0);
}

TEST_CASE_METHOD(claim_fixture,
                 "a claim ends with its job, and does not delay the next "
                 "submission") {
  const std::string job = JobOf(0);
  const uint64_t first = Submit(1, job, kWholeTime);
  CallerLeft(entries[1], first, now);
  Advance(1'300ms);
  const uint64_t second = Submit(2, job, kWholeTime - 1'300ms);
  Advance(kRunTime + 100ms);
  CHECK(answers.at(second) == result_code::kOk);
  CHECK(overlaps == 0);
}

TEST_CASE_METHOD(claim_fixture,
                 "an earlier request that was held up took over the job of the "
                 "later one") {
  const std::string job = JobOf(1);
  const uint64_t second = Submit(0, job, kRestOfTime);
  Advance(100ms);
  const uint64_t first = Submit(0, job, kWholeTime);
  CHECK(answers.at(first) == result_code::kOutcomeUnknown);
  Advance(kRunTime + 100ms);
  CHECK(answers.at(second) == result_code::kOk);
}

TEST_CASE_METHOD(claim_fixture,
                 "a paused entry was its own arbiter before it heard a peer") {
  cut.insert(0);
  now += entries[0].options.process_pause_limit + 100ms;
  DetectProcessPause(entries[0], now);
  Advance(20ms);
  const uint32_t before = starts;
  const uint64_t request = Submit(0, JobOf(1, 2), kWholeTime);
  Advance(entries[0].options.claim_listening - 60ms);
  CHECK_FALSE(answers.contains(request));
  Advance(100ms);
  CHECK(answers.at(request) == result_code::kNotRunStoreUnavailable);
  CHECK(starts == before);
  // It serves what it can.
  Submit(0, JobOf(1, 0), kWholeTime);
  Advance(entries[0].options.claim_wait + 100ms);
  CHECK(starts > before);
}

TEST_CASE_METHOD(claim_fixture,
                 "an arbiter that a claim did not reach granted an earlier "
                 "submission after it was heard again") {
  for (size_t arbiter = 0; arbiter < 2; ++arbiter) {
    const std::string job = JobOf(arbiter, 2);
    cut.insert(2);
    const uint64_t second = Submit(2, job, kWholeTime - 1'000ms);
    Advance(160ms);
    cut.clear();
    Advance(200ms);
    const uint64_t first = Submit(arbiter, job, kWholeTime);
    Advance(kRunTime + 100ms);
    CHECK(answers.at(first) == result_code::kOutcomeUnknown);
    CHECK(answers.at(second) == result_code::kOk);
    Advance(3s);
  }
  CHECK(overlaps == 0);
}

TEST_CASE_METHOD(claim_fixture,
                 "two submissions ran beside each other as the arbiter of the "
                 "first did not answer the second") {
  // The first one arrived late, so that both give their whole time.
  const std::string job = JobOf(2);
  const uint64_t first = Submit(0, job, kWholeTime);
  Advance(400ms);
  frozen.insert(2);
  const uint64_t second = Submit(1, job, kWholeTime);
  Advance(200ms);
  CHECK(answers.at(second) == result_code::kOutcomeUnknown);
  CHECK(answers.count(first) == 0);
  CHECK(overlaps == 0);
}

TEST_CASE_METHOD(claim_fixture,
                 "the claim of a job that was repeated at its entry stayed "
                 "after the job's end") {
  const std::string job = JobOf(0);
  Submit(1, job, kWholeTime);
  Advance(100ms);
  const uint64_t repeated = Submit(1, job, kWholeTime);
  CallerLeft(entries[1], repeated, now);
  Advance(1'300ms);
  const uint64_t next = Submit(2, job, kWholeTime);
  Advance(kRunTime + 100ms);
  CHECK(answers.at(next) == result_code::kOk);
  CHECK(overlaps == 0);
}

TEST_CASE_METHOD(claim_fixture, "records of claims do not pile up") {
  for (int number = 0; number < 20; ++number) {
    Submit(static_cast<size_t>(number) % kEntries, JobOf(0), kWholeTime);
    Advance(kRunTime);
  }
  Advance(entries[0].options.cancel_retention + 5s);
  for (const engine& state : entries) {
    CHECK(state.job_claims.empty());
    CHECK(state.claiming_jobs.empty());
    CHECK(state.claim_rounds.empty());
    CHECK(state.unconfirmed_claims.empty());
  }
}

}  // namespace
}  // namespace tarragondrift::fleet
