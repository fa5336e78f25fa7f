// Two submissions of one job at different entries.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "return_fixture.h"
#include "tarragondrift/fleet/arbiter_cmd.h"
#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/claim_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/ownership_cmd.h"
#include "tarragondrift/fleet/part_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"
#include "witness_fixture.h"

namespace tarragondrift::fleet {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr size_t kEntries = 3;
constexpr int kWorkers = 6;
constexpr milliseconds kRunTime{600};
/// What callers give to the first submission of a job, and, after a broken
/// connection, to the second one.
constexpr milliseconds kWholeTime{2'800};
constexpr milliseconds kRestOfTime{1'400};

/// Three data centres with an entry and two workers each, and links between the
/// entries that can be cut.
struct claim_fixture {
  claim_fixture() {
    for (size_t at = 0; at < kEntries; ++at) {
      entries[at] = MakeEngine({}, IdentityOf(at), now);
      auto config = std::make_shared<fleet_config>(*MakeConfig());
      config->queues.front().timeout = 1'500ms;
      ApplyConfig(entries[at], config, "");
      for (size_t other = 0; other < kEntries; ++other) {
        if (other != at) {
          AddPeer(entries[at], IdentityOf(other), now);
        }
      }
      entries[at].peers_listed = true;
      SetWitnesses(entries[at], {IdentityOf(0), IdentityOf(1), IdentityOf(2)},
                   now);
      for (int worker = 0; worker < kWorkers; ++worker) {
        UpdateWorkerListing(
            entries[at],
            MakeWorker("w" + std::to_string(worker), DataCentreOf(worker)),
            now);
      }
    }
    Advance(3s);
    // Callers that wait for long, so that short timeouts stand out.
    for (uint64_t sample = 0; sample < kSamples; ++sample) {
      for (size_t at = 0; at < kEntries; ++at) {
        Submit(at, "sample" + std::to_string(at) + std::to_string(sample),
               kWholeTime);
      }
      Advance(kRunTime + 100ms);
    }
    answers.clear();
  }

  static std::string DataCentreOf(int number) {
    return "dc" + std::to_string(number % static_cast<int>(kEntries));
  }

  static entry_identity IdentityOf(size_t at) {
    return {.incarnation = at + 1,
            .name = "entry" + std::to_string(at),
            .address = std::to_string(at),
            .data_centre = "dc" + std::to_string(at),
            .cpu_milli = 500};
  }

  void Advance(milliseconds span) {
    for (const instant end = now + span; now < end; now += 20ms) {
      EndRuns();
      for (size_t at = 0; at < kEntries; ++at) {
        if (!frozen.contains(at)) {
          Tick(entries[at], now);
        }
      }
      Settle();
    }
  }

  /// Carries out actions until there are none.
  void Settle() {
    for (bool any = true; any;) {
      any = false;
      for (size_t at = 0; at < kEntries; ++at) {
        if (!frozen.contains(at)) {
          DispatchAndFlush(entries[at], now);
          any = Execute(at) || any;
        }
      }
    }
  }

  bool Execute(size_t at) {
    engine& state = entries[at];
    const std::vector<action> actions = TakeActions(state);
    for (const action& one : actions) {
      if (const auto* start = std::get_if<start_order>(&one)) {
        Start(at, *start);
      } else if (const auto* stop = std::get_if<stop_order>(&one)) {
        std::erase_if(running, [stop](const sim_run& run) {
          return run.name == stop->name && run.worker == stop->target.id;
        });
        EndRun(state, state.workers.at(stop->target.id), stop->name,
               run_end::kStopped, now);
      } else if (const auto* poll = std::get_if<poll_order>(&one)) {
        polls.push_back({at, *poll});
      } else if (const auto* send = std::get_if<peer_send>(&one)) {
        Deliver(at, send->content);
      } else if (const auto* answer = std::get_if<caller_answer>(&one)) {
        answers[answer->request] = answer->code;
      } else if (const auto* row = std::get_if<claim_row_write>(&one)) {
        MakeRow(state, *row);
      } else if (const auto* end = std::get_if<claim_row_removal>(&one)) {
        RemoveRow(*end);
      }
    }
    for (const auto& [entry, poll] : std::exchange(polls, {})) {
      Answer(entry, poll);
    }
    return std::any_of(actions.begin(), actions.end(), [](const action& one) {
      return !std::holds_alternative<log_action>(one) &&
             !std::holds_alternative<poll_order>(one);
    });
  }

  void MakeRow(engine& state, const claim_row_write& write) {
    if (!store_up) {
      OnClaimRow(state, write.job, write.attempt, claim_row_outcome::kFailed,
                 now);
      return;
    }
    const auto& [job, holder] = *rows.emplace(write.job, write.attempt).first;
    OnClaimRow(state, write.job, write.attempt,
               holder == write.attempt ? claim_row_outcome::kHeld
                                       : claim_row_outcome::kTaken,
               now);
  }

  void RemoveRow(const claim_row_removal& removal) {
    const auto at = rows.find(removal.job);
    if (store_up && at != rows.end() && at->second == removal.attempt) {
      rows.erase(at);
    }
  }

  /// Whether an entry reaches a worker.
  bool Reaches(size_t at, const std::string& worker) const {
    if (cuts_only_entries) {
      return true;
    }
    const auto home = static_cast<size_t>(worker.back() - '0') % kEntries;
    return !cut.contains(at) && !cut.contains(home)
               ? true
               : (cuts_workers ? at == home : !cut.contains(at));
  }

  void Start(size_t at, const start_order& order) {
    if (!Reaches(at, order.target.id)) {
      OnStartReply(entries[at], order.target.id, order.name,
                   start_outcome::kNotSent, 0, now);
      return;
    }
    const bool active = std::any_of(
        running.begin(), running.end(),
        [&](const sim_run& run) { return run.name.task == order.name.task; });
    overlaps += active ? 1 : 0;
    ++starts;
    running.push_back({.entry = at,
                       .worker = order.target.id,
                       .name = order.name,
                       .ends = now + kRunTime});
    OnStartReply(entries[at], order.target.id, order.name,
                 start_outcome::kAccepted, 1'000, now);
  }

  void Answer(size_t at, const poll_order& poll) {
    if (!Reaches(at, poll.target.id)) {
      OnPollReply(entries[at], poll.target.id, poll.number, {}, 0, now);
      return;
    }
    poll_reply reply{.outcome = poll_outcome::kAnswered};
    if (poll.fence < fences[poll.target.id]) {
      reply.outcome = poll_outcome::kFenced;
    }
    fences[poll.target.id] = std::max(fences[poll.target.id], poll.fence);
    for (const sim_run& run : running) {
      if (run.worker == poll.target.id) {
        reply.running.push_back({.name = run.name});
      }
    }
    OnPollReply(entries[at], poll.target.id, poll.number, reply, 1'000, now);
  }

  void Deliver(size_t at, const envelope& content) {
    const size_t to = content.to - 1;
    if (cut.contains(at) || cut.contains(to)) {
      lost.push_back({at, content.to});
      return;
    }
    if (frozen.contains(to)) {
      return;
    }
    OnDelivery(entries[at], content.to, delivery::kDelivered, now);
    OnEnvelope(entries[to], content, now);
  }

  void EndRuns() {
    for (const auto& [at, to] : std::exchange(lost, {})) {
      OnDelivery(entries[at], to, delivery::kLost, now);
    }
    const std::vector<sim_run> before = running;
    std::erase_if(running,
                  [this](const sim_run& run) { return run.ends <= now; });
    for (const sim_run& run : before) {
      if (run.ends <= now) {
        EndRun(entries[run.entry], entries[run.entry].workers.at(run.worker),
               run.name, run_end::kDone, now);
      }
    }
  }

  /// Submits a job and returns the number of the request.
  uint64_t Submit(size_t at, const std::string& job, milliseconds timeout) {
    SubmitJob(entries[at],
              {.request = ++last_request,
               .queue = "q",
               .spec = MakeJob(job, 2, kRunTime),
               .caller_timeout = timeout},
              now);
    Settle();
    return last_request;
  }

  /// Returns an id whose first witness is the given entry.
  std::string JobOf(size_t first) {
    for (;;) {
      std::string job = "job" + std::to_string(++last_job);
      if (WitnessesOf(job).front() == IdentityOf(first).name) {
        return job;
      }
    }
  }

  /// Returns an id with the given witnesses.
  std::string JobOf(size_t first, size_t second) {
    for (;;) {
      std::string job = JobOf(first);
      if (WitnessesOf(job).back() == IdentityOf(second).name) {
        return job;
      }
    }
  }

  std::vector<std::string> WitnessesOf(const std::string& job) const {
    return ChooseWitnesses(entries[0].witnesses.list.witnesses, job);
  }

  /// Replaces the process of an entry by one that knows no claims.
  void Restart(size_t at) {
    entry_identity identity = IdentityOf(at);
    identity.incarnation += kEntries;
    const witness_list list = entries[at].witnesses.list;
    entries[at] = MakeEngine({}, identity, now);
    ApplyWitnessList(entries[at], list, now);
  }

  struct sim_run {
    size_t entry = 0;
    std::string worker;
    run_name name;
    instant ends;
  };

  static constexpr uint64_t kSamples = 5;
  std::array<engine, kEntries> entries;
  instant now{10s};
  std::set<size_t> cut;
  /// The workers of an entry that is cut off are cut off with it.
  bool cuts_workers = true;
  /// An entry that is cut off reaches all workers.
  bool cuts_only_entries = false;
  /// Rows of claims in the store, and whether it answers.
  std::map<std::string, job_attempt> rows;
  bool store_up = true;
  std::set<size_t> frozen;
  std::vector<std::pair<size_t, uint64_t>> lost;
  std::vector<std::pair<size_t, poll_order>> polls;
  std::map<std::string, uint64_t> fences;
  std::vector<sim_run> running;
  std::map<uint64_t, result_code> answers;
  uint64_t last_request = 0;
  uint64_t last_job = 0;
  uint32_t starts = 0;
  uint32_t overlaps = 0;
};

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
