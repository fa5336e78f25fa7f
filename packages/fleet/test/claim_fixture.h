// Entries, workers and a store of claims for tests of two submissions of a job.
#ifndef TARRAGONDRIFT_FLEET_TEST_CLAIM_FIXTURE_H_
#define TARRAGONDRIFT_FLEET_TEST_CLAIM_FIXTURE_H_

#include <algorithm>
#include <array>
#include <map>
#include <memory>
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
#include "tarragondrift/fleet/part_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"
#include "witness_fixture.h"

namespace tarragondrift::fleet {

using namespace std::chrono_literals;  // NOLINT: literals only

inline constexpr milliseconds kRunTime{600};
/// What callers give to the first submission of a job, and, after a broken
/// connection, to the second one.
inline constexpr milliseconds kWholeTime{2'800};
inline constexpr milliseconds kRestOfTime{1'400};

/// Data centres with an entry and two workers each, and links between the
/// entries that can be cut.
template <size_t entry_count>
struct sized_claim_fixture {
  static constexpr size_t kEntries = entry_count;
  static constexpr int kWorkers = 2 * static_cast<int>(kEntries);

  /// @param witnesses how many of the entries, from the first on, are
  /// witnesses.
  explicit sized_claim_fixture(const fleet_options& options = {},
                               size_t witnesses = kEntries) {
    std::vector<entry_identity> listed;
    for (size_t at = 0; at < witnesses; ++at) {
      listed.push_back(IdentityOf(at));
    }
    for (size_t at = 0; at < kEntries; ++at) {
      entries[at] = MakeEngine(options, IdentityOf(at), now);
      auto config = std::make_shared<fleet_config>(*MakeConfig());
      config->queues.front().timeout = 1'500ms;
      ApplyConfig(entries[at], config, "");
      for (size_t other = 0; other < kEntries; ++other) {
        if (other != at) {
          AddPeer(entries[at], IdentityOf(other), now);
        }
      }
      entries[at].peers_listed = true;
      SetWitnesses(entries[at], listed, now);
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
    if (order.fence < fences[order.target.id]) {
      OnStartReply(entries[at], order.target.id, order.name,
                   start_outcome::kFenced, 0, now);
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
                       .ends = now + run_time});
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
    if (cut.contains(at) || cut.contains(to) ||
        cut_links.contains({std::min(at, to), std::max(at, to)})) {
      lost.push_back({at, content.to});
      return;
    }
    if (frozen.contains(to)) {
      return;
    }
    const bool has_offer =
        std::any_of(content.messages.begin(), content.messages.end(),
                    [](const peer_message& message) {
                      return std::holds_alternative<part_offer>(message);
                    });
    if (holds_up_offers && has_offer) {
      lost.push_back({at, content.to});
      held_up.push_back(content);
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
               .spec = MakeJob(job, 2, run_time),
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
  milliseconds run_time{kRunTime};
  std::set<size_t> cut;
  /// Pairs of entries that do not reach each other, the lower one first.
  std::set<std::pair<size_t, size_t>> cut_links;
  /// The workers of an entry that is cut off are cut off with it.
  bool cuts_workers = true;
  /// An entry that is cut off reaches all workers.
  bool cuts_only_entries = false;
  /// Rows of claims in the store, and whether it answers.
  std::map<std::string, job_attempt> rows;
  bool store_up = true;
  std::set<size_t> frozen;
  std::vector<std::pair<size_t, uint64_t>> lost;
  /// Envelopes with offers are reported as lost, and kept to arrive later.
  bool holds_up_offers = false;
  std::vector<envelope> held_up;
  std::vector<std::pair<size_t, poll_order>> polls;
  std::map<std::string, uint64_t> fences;
  std::vector<sim_run> running;
  std::map<uint64_t, result_code> answers;
  uint64_t last_request = 0;
  uint64_t last_job = 0;
  uint32_t starts = 0;
  uint32_t overlaps = 0;
};

using claim_fixture = sized_claim_fixture<3>;

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_TEST_CLAIM_FIXTURE_H_
