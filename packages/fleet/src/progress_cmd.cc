#include "tarragondrift/fleet/progress_cmd.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/part_cmd.h"
#include "tarragondrift/fleet/placement_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"

namespace tarragondrift::fleet {
namespace {

using std::chrono::microseconds;

/// Progress below this is too coarse to extrapolate from.
constexpr uint32_t kMinProgressPercent = 4;

/// Returns the minimum total running time of a run by its last reported
/// progress, which is rounded to a whole percentage.
std::chrono::duration<double, std::micro> MinTotalRuntime(const task_run& run,
                                                          instant now) {
  constexpr double kCompletePercent = 100;
  return std::chrono::duration<double, std::micro>(now - run.ordered) *
         (kCompletePercent / (run.percent + 1.0));
}

/// Whether a faster worker than the current one, with at most the given
/// slowness, has the capacity for a task.
bool HasFasterWorker(const engine& state, const worker& current,
                     const part& owner, const task& one, double max_slowness,
                     instant now) {
  return std::any_of(state.held_workers.begin(), state.held_workers.end(),
                     [&](const worker* held) {
                       const worker& other = *held;
                       return other.slowness <= max_slowness &&
                              (other.slowness < current.slowness ||
                               now < current.suspect_until) &&
                              other.listing.id != current.listing.id &&
                              other.listing.upstream == owner.upstream &&
                              AcceptsSharedStarts(state, other, now) &&
                              Fits(owner.job.steps[one.step].need,
                                   FreeCapacity(other));
                     });
}

/// Whether a run is far slower than expected, as a fault of its worker.
bool IsFarTooSlow(const engine& state, const worker& host, const task_run& run,
                  instant now) {
  return run.phase == run_phase::kRunning &&
         now - run.ordered >= state.options.min_judged_age &&
         MinTotalRuntime(run, now) >
             run.expected * host.slowness * state.options.slow_run_factor;
}

/// Whether a run would end much earlier if it began anew elsewhere.
bool GainsByMove(const engine& state, const task_run& run, instant now) {
  constexpr int kMinGainFactor = 2;
  return MinTotalRuntime(run, now) - (now - run.ordered) >
         kMinGainFactor * (run.expected + state.options.max_stop_time);
}

void LogSlowRun(engine& state, const worker& host, const run_name& name,
                const task_run& run, const char* outcome, instant now) {
  log_line line("run_too_slow");
  line.With("job", name.task.job)
      .With("index", static_cast<int64_t>(name.task.index))
      .With("worker", host.listing.id)
      .With("percent", static_cast<int64_t>(run.percent))
      .With("ran_ms",
            std::chrono::floor<milliseconds>(now - run.ordered).count())
      .With("expected_ms", run.expected.count())
      .With("outcome", outcome);
  AddLogLine(state, line);
}

/// Whether a run makes no progress although its worker replies.
bool StandsStill(const engine& state, const worker& host, const task_run& run) {
  const auto limit = std::max(
      std::chrono::duration_cast<microseconds>(run.expected * host.slowness *
                                               state.options.standstill_share),
      microseconds(state.options.min_standstill));
  const part* const owner = state.parts.Find(run.owner);
  return owner != nullptr &&
         state.queues_with_progress.contains(owner->queue) &&
         run.reported - run.progressed >= limit;
}

}  // namespace

void RecordFailure(engine& state, worker& host, instant now) {
  if (IsOff(state.options.without, mechanism::kEjection)) {
    return;
  }
  worker_health& health = host.health;
  ++health.consecutive_failures;
  if (health.consecutive_failures < state.options.max_consecutive_failures) {
    return;
  }
  health.ejection =
      std::clamp(health.ejection * 2, state.options.initial_ejection,
                 state.options.max_ejection);
  health.ejected_until = now + health.ejection;
  log_line line("worker_ejected");
  line.With("worker", host.listing.id)
      .With("consecutive_failures",
            static_cast<int64_t>(health.consecutive_failures))
      .With("duration_ms", health.ejection.count());
  AddLogLine(state, line, true);
}

void CheckProgress(engine& state, worker& host, instant now) {
  if (IsOff(state.options.without, mechanism::kProgressChecks)) {
    return;
  }
  std::vector<run_name> late;
  std::vector<run_name> moved;
  for (const auto& [name, run] : host.runs) {
    const part* const owner = state.parts.Find(run.owner);
    if (owner != nullptr && state.queues_with_progress.contains(owner->queue) &&
        !IsOff(state.options.without, mechanism::kSuspicion) &&
        IsFarTooSlow(state, host, run, now)) {
      host.suspect_until = now + state.options.suspicion;
      if (GainsByMove(state, run, now) &&
          HasFasterWorker(state, host, *owner, owner->tasks[run.task],
                          host.slowness * state.options.slow_run_factor, now)) {
        moved.push_back(name);
        continue;
      }
    }
    if (owner != nullptr && run.phase == run_phase::kRunning &&
        run.percent >= kMinProgressPercent &&
        run.ordered + MinTotalRuntime(run, now) > owner->deadline) {
      late.push_back(name);
    }
  }
  for (const run_name& name : moved) {
    const task_run& run = host.runs.at(name);
    LogSlowRun(state, host, name, run, "moves", now);
    RecordFailure(state, host, now);
    state.parts.Get(run.owner).tasks[run.task].avoid = host.listing.id;
    SendStop(state, host, name, now);
  }
  for (const run_name& name : late) {
    // Ending a part for an earlier run may have removed this run.
    const auto found = host.runs.find(name);
    part* const owner = found == host.runs.end()
                            ? nullptr
                            : state.parts.Find(found->second.owner);
    if (owner == nullptr) {
      continue;
    }
    const task_run& run = found->second;
    const auto work = MinTotalRuntime(run, now) / host.slowness;
    if (owner->job.steps.size() == 1) {
      owner->observed_runtime =
          std::max(owner->observed_runtime,
                   std::chrono::duration_cast<milliseconds>(work));
    }
    const double max_slowness =
        std::chrono::duration<double, std::micro>(owner->deadline - now -
                                                  state.options.max_stop_time) /
        work;
    if (HasFasterWorker(state, host, *owner, owner->tasks[run.task],
                        max_slowness, now)) {
      LogSlowRun(state, host, name, run, "moves", now);
      owner->tasks[run.task].avoid = host.listing.id;
      SendStop(state, host, name, now);
    } else if (max_slowness < state.speeds.classes.fastest) {
      LogSlowRun(state, host, name, run, "given_up", now);
      EndPart(state, run.owner, result_code::kDeadlineExceeded, "slow", now);
    }
  }
}

void StopStalledRuns(engine& state, worker& one, instant now) {
  if (one.failed_polls > 0 ||
      IsOff(state.options.without, mechanism::kStallDetection)) {
    // Without replies the progress of runs is unknown.
    return;
  }
  std::vector<run_name> stalled;
  for (const auto& [name, run] : one.runs) {
    const auto limit = std::chrono::duration_cast<microseconds>(
        run.expected * one.slowness * state.options.stall_factor +
        state.options.stall_slack);
    if (run.phase == run_phase::kRunning &&
        (now - run.ordered > limit || StandsStill(state, one, run))) {
      stalled.push_back(name);
    }
  }
  for (const run_name& name : stalled) {
    ++state.counts.stalls;
    if (!IsOff(state.options.without, mechanism::kEjection)) {
      one.health.consecutive_failures =
          std::min(one.health.consecutive_failures + 1,
                   state.options.max_consecutive_failures);
    }
    if (!IsOff(state.options.without, mechanism::kSuspicion)) {
      one.suspect_until = now + state.options.suspicion;
    }
    log_line line("run_stalled");
    line.With("job", name.task.job)
        .With("step", static_cast<int64_t>(name.task.step))
        .With("index", static_cast<int64_t>(name.task.index))
        .With("run", static_cast<int64_t>(name.run))
        .With("worker", one.listing.id)
        .With("outcome", "stopping");
    AddLogLine(state, line);
    SendStop(state, one, name, now);
  }
}

void CountSuspects(engine& state, instant now) {
  const auto suspects = static_cast<size_t>(std::count_if(
      state.held_workers.begin(), state.held_workers.end(),
      [now](const worker* one) { return now < one->suspect_until; }));
  state.ignores_suspicion =
      suspects * state.options.suspicion_divisor > state.held_workers.size();
}

}  // namespace tarragondrift::fleet
