#include "tarragondrift/fleet/crash_cmd.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/outbox_cmd.h"

namespace tarragondrift::fleet {
namespace {

/// Crashes after which a task is given up even if other runs were lost in each.
constexpr uint32_t kMaxCrashes = 3;
/// Crashes after which a task is given up if its start was all that the worker
/// had to do in the last one.
constexpr uint32_t kCrashesToConfirm = 2;
/// A worker that was alive this long after it was ordered to start a run was
/// not crashed by that start.
constexpr milliseconds kStartSurvived{100};
/// Workers that must fall silent together for a network partition of this entry
/// to be the likely cause, and within which time.
constexpr size_t kMinPartitionedWorkers = 4;
constexpr milliseconds kTogether{300};

const char* DescribeEvidence(loss_evidence evidence) {
  constexpr std::array kNames = {"silent", "refused", "restarted"};
  return kNames.at(static_cast<size_t>(evidence));
}

/// Whether more workers fell silent together with this one than still reply, as
/// when this entry is cut off from them.
bool IsCutOff(const engine& state, const worker& lost) {
  size_t together = 0;
  size_t reachable = 0;
  for (const auto& [id, one] : state.workers) {
    if (one.phase != control_phase::kHeld) {
      continue;
    }
    if (one.failed_polls == 0) {
      ++reachable;
    } else if (one.last_heard - lost.last_heard < kTogether &&
               lost.last_heard - one.last_heard < kTogether) {
      ++together;
    }
  }
  return together >= kMinPartitionedWorkers && together > reachable;
}

void LogLostRun(engine& state, const worker& lost, const run_name& name,
                const task_run& run, loss_evidence evidence, instant now) {
  const part* const owner = state.parts.Find(run.owner);
  const auto age_ms = [now](instant since) {
    return std::chrono::floor<milliseconds>(now - since).count();
  };
  const auto known = state.crashes.find(name.task);
  const crash_record record =
      known == state.crashes.end() ? crash_record{} : known->second;
  log_line line("run_lost");
  line.With("job", name.task.job)
      .With("queue", owner == nullptr ? std::string() : owner->queue)
      .With("step", static_cast<int64_t>(name.task.step))
      .With("index", static_cast<int64_t>(name.task.index))
      .With("run", static_cast<int64_t>(name.run))
      .With("worker", lost.listing.id)
      .With("evidence", DescribeEvidence(evidence))
      .With("runs", static_cast<int64_t>(lost.runs.size()))
      .With("ordered_ms_ago", age_ms(run.ordered))
      .With("alive_ms_ago", age_ms(lost.last_alive))
      .With("crashes", static_cast<int64_t>(record.crashes))
      .With("suspect", record.suspect ? "yes" : "no")
      .With("confirmed", record.confirmed ? "yes" : "no");
  AddLogLine(state, line);
}

/// Sends what is known of a task to all entries that may control workers. They
/// need it when the job is submitted again.
void TellControllers(engine& state, const task_name& task) {
  const crash_record& record = state.crashes.at(task);
  for (const auto& [incarnation, one] : state.peers) {
    if (one.contact && one.candidate) {
      SendTo(state, incarnation, crash_report{.task = task, .record = record});
    }
  }
}

/// Counts a crash of a worker that ran a task.
/// @param survived whether the worker was alive well after the task's start.
void CountCrash(engine& state, const task_name& task, bool alone, bool survived,
                instant now) {
  if (!state.crashes.contains(task) &&
      state.crashes.size() >= state.options.max_crash_records) {
    return;
  }
  crash_record& record = state.crashes[task];
  ++record.crashes;
  record.last_crash = now;
  record.suspect =
      record.suspect || !survived || record.crashes >= kCrashesToConfirm;
  record.confirmed = record.confirmed || (alone && !survived &&
                                          record.crashes >= kCrashesToConfirm);
  if (record.suspect) {
    TellControllers(state, task);
  }
}

bool IsGivenUp(const crash_record& record) {
  return record.confirmed || record.crashes >= kMaxCrashes;
}

}  // namespace

void RecordWorkerLoss(engine& state, worker& lost, loss_evidence evidence,
                      instant now) {
  if (evidence == loss_evidence::kRefused && IsCutOff(state, lost)) {
    evidence = loss_evidence::kSilent;
  }
  ++state.counts.workers_lost_with_runs;
  state.counts.runs_lost += lost.runs.size();
  lost.lost_silently.clear();
  const auto lost_runs = std::count_if(
      lost.runs.begin(), lost.runs.end(),
      [](const auto& entry) { return !entry.second.after_restart; });
  for (const auto& [name, run] : lost.runs) {
    if (run.after_restart) {
      continue;
    }
    const bool survived = lost.last_alive - run.ordered > kStartSurvived;
    if (evidence == loss_evidence::kSilent) {
      lost.lost_silently.push_back({.task = name.task, .survived = survived});
    } else {
      CountCrash(state, name.task, lost_runs == 1, survived, now);
    }
    LogLostRun(state, lost, name, run, evidence, now);
  }
}

void RecordWorkerRestart(engine& state, worker& lost, instant now) {
  if (!lost.runs.empty()) {
    RecordWorkerLoss(state, lost, loss_evidence::kRestarted, now);
    return;
  }
  const auto runs = std::exchange(lost.lost_silently, {});
  for (const silent_loss& one : runs) {
    CountCrash(state, one.task, runs.size() == 1, one.survived, now);
  }
}

void MergeCrashRecord(engine& state, const task_name& task,
                      const crash_record& known, instant now) {
  if (!state.crashes.contains(task) &&
      state.crashes.size() >= state.options.max_crash_records) {
    return;
  }
  crash_record& record = state.crashes[task];
  record.crashes = std::max(record.crashes, known.crashes);
  record.suspect = record.suspect || known.suspect;
  record.confirmed = record.confirmed || known.confirmed;
  record.last_crash = now;
}

bool MustRunAlone(const engine& state, const task_name& task) {
  const auto at = state.crashes.find(task);
  return at != state.crashes.end() && at->second.suspect &&
         !IsOff(state.options.without, mechanism::kIsolation);
}

bool IsGivenUp(const engine& state, const task_name& task) {
  const auto at = state.crashes.find(task);
  return at != state.crashes.end() && IsGivenUp(at->second);
}

bool HasGivenUpTask(const engine& state, const std::string& job) {
  for (auto at = state.crashes.lower_bound({.job = job});
       at != state.crashes.end() && at->first.job == job; ++at) {
    if (IsGivenUp(at->second)) {
      return true;
    }
  }
  return false;
}

void ForgetCrashes(engine& state, const task_name& task) {
  state.crashes.erase(task);
}

void ExpireCrashRecords(engine& state, instant now) {
  std::erase_if(state.crashes, [&](const auto& entry) {
    return now - entry.second.last_crash > state.options.crash_retention;
  });
}

}  // namespace tarragondrift::fleet
