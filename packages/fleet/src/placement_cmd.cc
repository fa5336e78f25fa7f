#include "tarragondrift/fleet/placement_cmd.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

#include "tarragondrift/fleet/evacuation_cmd.h"
#include "tarragondrift/fleet/lease_cmd.h"

namespace tarragondrift::fleet {
namespace {

bool HasLabel(const worker& candidate, const std::string& label) {
  const auto& labels = candidate.listing.labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

/// Counts the runs of one step of a job at a worker.
uint32_t RunsOfStep(const worker& candidate, const std::string& job,
                    uint32_t step) {
  return static_cast<uint32_t>(std::count_if(
      candidate.runs.begin(), candidate.runs.end(),
      [&job, step](const auto& entry) {
        return entry.first.task.job == job && entry.first.task.step == step;
      }));
}

/// Whether a worker meets the fixed requirements of a step: upstream, label and
/// total capacity.
bool IsEligible(const worker& candidate, const part& owner,
                const step_spec& step) {
  return candidate.listing.upstream == owner.upstream &&
         (step.label.empty() || HasLabel(candidate, step.label)) &&
         Fits(step.need, candidate.listing.capacity);
}

/// Margin of the objective for queueing and for the uneven running times of a
/// job's tasks; users judge the objective by the actual running time.
constexpr double kObjectiveMargin = 1.15;
/// Width of a speed class; workers of one class count as equally fast.
constexpr double kSpeedClassWidth = 0.15;

/// Cost of placing a task on a worker, most important field first; the lowest
/// cost is chosen.
struct placement_cost {
  /// The last run of the task did not succeed on this worker.
  bool avoided = false;
  /// Not in the rack of the step's data.
  bool off_rack = false;
  bool very_slow = false;
  bool too_slow = false;
  /// Among workers that are fast enough the slowest is preferred, so that
  /// faster ones stay free for tasks that need them; among the others the
  /// fastest.
  int speed_rank = 0;
  uint32_t cpu_milli_left = std::numeric_limits<uint32_t>::max();

  auto operator<=>(const placement_cost&) const = default;
};

int SpeedClass(double slowness) {
  return static_cast<int>(std::lround(slowness / kSpeedClassWidth));
}

/// Returns the maximum slowness at which a worker meets the deadline. If no
/// held worker is that fast, returns no limit, so that the task is tried
/// anyway.
double MaxUsefulSlowness(const engine& state, const part& owner,
                         milliseconds expected, instant now) {
  const double left =
      std::chrono::duration<double, std::milli>(owner.deadline - now).count();
  const double max_slowness = left / static_cast<double>(expected.count());
  const bool any_fast_enough =
      std::any_of(state.held_workers.begin(), state.held_workers.end(),
                  [&state, max_slowness](const worker* one) {
                    return !IsEvacuated(state, one->listing.data_centre) &&
                           one->slowness <= max_slowness;
                  });
  return any_fast_enough ? max_slowness : std::numeric_limits<double>::max();
}

bool IsReserved(const worker& candidate, instant now) {
  return now < candidate.reserved_until;
}

/// Whether a worker is reserved for tasks that need a worker of their own, or
/// runs one.
bool TakesOnlyTasksAlone(const worker& candidate, instant now) {
  return IsReserved(candidate, now) ||
         std::any_of(candidate.runs.begin(), candidate.runs.end(),
                     [](const auto& entry) { return entry.second.alone; });
}

/// Whether the description of a worker is that of an earlier process, as the
/// list of workers lags behind their replies, or of another writer.
bool IsDescriptionOutdated(const worker& candidate) {
  return candidate.has_odd_row ||
         candidate.described_boot_time_ms != candidate.listing.boot_time_ms;
}

/// Whether a worker gets one run at a time until a run succeeds: after its
/// ejection, and after the evacuation of its data centre.
bool MustProveItself(const engine& state, const worker& candidate) {
  const bool on_probation =
      candidate.on_probation &&
      !IsOff(state.options.without, mechanism::kProbation);
  return on_probation || candidate.health.consecutive_failures >=
                             state.options.max_consecutive_failures;
}

/// Returns when the last run of a worker is expected to end.
instant ExpectedIdle(const worker& candidate) {
  instant latest{};
  for (const auto& [name, run] : candidate.runs) {
    latest = std::max(latest, run.ordered + run.expected);
  }
  return latest;
}

/// Returns the CPU need of a task of mean size. Until a task was placed, tasks
/// are taken to need half of a worker.
uint32_t TypicalTaskCpu(const engine& state, const worker& candidate) {
  return std::max(1U, state.mean_cpu_milli > 0
                          ? static_cast<uint32_t>(state.mean_cpu_milli)
                          : candidate.listing.capacity.cpu_milli / 2);
}

}  // namespace

double AllowedSlowness(const runtime_estimate& runtime,
                       std::chrono::microseconds objective_left,
                       std::chrono::microseconds deadline_left) {
  const std::chrono::duration<double, std::micro> median = runtime.median;
  const std::chrono::duration<double, std::micro> upper_bound = runtime.upper;
  // Users judge the objective by the actual running time, so it is compared
  // with the median. The deadline is fixed, so it is compared with the upper
  // bound.
  return std::min(objective_left / (median * kObjectiveMargin),
                  deadline_left / upper_bound);
}

runtime_estimate EstimateFor(const engine& state, const part& owner,
                             const step_spec& step) {
  if (owner.observed_runtime.count() > 0) {
    return {.median = owner.observed_runtime, .upper = owner.observed_runtime};
  }
  return EstimateRuntime(state.runtimes, owner.queue, step.estimate);
}

resources FreeCapacity(const worker& candidate) {
  return candidate.listing.capacity - candidate.used;
}

bool AcceptsStarts(const engine& state, const worker& candidate, instant now) {
  if (candidate.phase != control_phase::kHeld || candidate.has_unknown_runs ||
      candidate.listing.draining || IsDescriptionOutdated(candidate) ||
      now < candidate.no_starts_until || now < candidate.health.ejected_until ||
      (now < candidate.suspect_until && !state.ignores_suspicion) ||
      IsEvacuated(state, candidate.listing.data_centre)) {
    return false;
  }
  if (!candidate.listed &&
      now - candidate.unlisted >= state.options.unlisted_limit) {
    return false;
  }
  // The outcome of a start sent to a worker that stopped answering would have
  // to be resolved afterwards.
  if (candidate.failed_polls > 0 || candidate.process_unconfirmed ||
      now - candidate.last_heard >
          state.options.poll_wait + state.options.poll_timeout) {
    return false;
  }
  return !MustProveItself(state, candidate) || candidate.runs.empty();
}

bool AcceptsSharedStarts(const engine& state, const worker& candidate,
                         instant now) {
  return AcceptsStarts(state, candidate, now) &&
         !TakesOnlyTasksAlone(candidate, now);
}

worker* ChooseWorker(engine& state, const part& owner, const task& target,
                     instant now) {
  const step_spec& step = owner.job.steps[target.step];
  const runtime_estimate runtime = EstimateFor(state, owner, step);
  const double allowed_slowness =
      AllowedSlowness(runtime, owner.objective - now, owner.deadline - now);
  const double max_slowness =
      MaxUsefulSlowness(state, owner, runtime.median, now);
  const instant limit = LeaseLimit(state, owner.origin, now);
  const mechanism_set& without = state.options.without;
  const bool by_rack = !IsOff(without, mechanism::kLocality);
  const bool by_speed = !IsOff(without, mechanism::kSpeedOrder);
  const bool by_fit = !IsOff(without, mechanism::kBestFit);
  // The place that a failed or stopped run has left is often the only free one;
  // the task waits for a place elsewhere.
  const bool avoids =
      !target.avoid.empty() && !IsOff(without, mechanism::kSuspicion) &&
      std::any_of(state.held_workers.begin(), state.held_workers.end(),
                  [&](const worker* one) {
                    return one->listing.id != target.avoid &&
                           IsEligible(*one, owner, step) &&
                           AcceptsStarts(state, *one, now);
                  });
  worker* best = nullptr;
  placement_cost best_cost;
  for (worker* const one : state.held_workers) {
    worker& candidate = *one;
    const std::string& id = candidate.listing.id;
    if (!IsEligible(candidate, owner, step) ||
        !AcceptsStarts(state, candidate, now) ||
        candidate.slowness > max_slowness ||
        !FitsLease(state, candidate, limit, now)) {
      continue;
    }
    if (id == target.avoid && avoids) {
      continue;
    }
    if (target.alone ? !candidate.runs.empty()
                     : TakesOnlyTasksAlone(candidate, now)) {
      continue;
    }
    const resources available = FreeCapacity(candidate);
    if (!Fits(step.need, available)) {
      continue;
    }
    if (step.max_per_worker > 0 &&
        RunsOfStep(candidate, owner.job.id, target.step) >=
            step.max_per_worker) {
      continue;
    }
    const placement_cost cost{
        .avoided = id == target.avoid,
        .off_rack = by_rack && !step.near_rack.empty() &&
                    !HasLabel(candidate, step.near_rack),
        .very_slow = candidate.slowness > state.speeds.classes.very_slow_above,
        .too_slow = candidate.slowness > allowed_slowness,
        .speed_rank = !by_speed ? 0
                      : candidate.slowness > allowed_slowness
                          ? SpeedClass(candidate.slowness)
                          : -SpeedClass(candidate.slowness),
        .cpu_milli_left =
            by_fit ? available.cpu_milli - step.need.cpu_milli : 0};
    if (best == nullptr || cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
  }
  return best;
}

void ReserveWorkers(engine& state, const part& owner, const step_spec& step,
                    size_t needed, instant now) {
  if (IsOff(state.options.without, mechanism::kReservation)) {
    return;
  }
  const instant until = now + state.options.reservation;
  const size_t held = state.held_workers.size();
  size_t reserved = 0;
  worker* best = nullptr;
  for (worker* const one : state.held_workers) {
    worker& candidate = *one;
    if (!AcceptsStarts(state, candidate, now) ||
        !IsEligible(candidate, owner, step)) {
      continue;
    }
    if (IsReserved(candidate, now)) {
      ++reserved;
      candidate.reserved_until = until;
    } else if (!TakesOnlyTasksAlone(candidate, now) &&
               (best == nullptr ||
                ExpectedIdle(candidate) < ExpectedIdle(*best))) {
      best = &candidate;
    }
  }
  const size_t limit = held / state.options.reservation_divisor;
  if (best != nullptr && reserved < std::min(needed, limit)) {
    best->reserved_until = until;
  }
}

bool CouldRun(const engine& state, const part& owner, const step_spec& step) {
  return std::any_of(state.held_workers.begin(), state.held_workers.end(),
                     [&](const worker* one) {
                       return !one->listing.draining &&
                              !IsEvacuated(state, one->listing.data_centre) &&
                              IsEligible(*one, owner, step);
                     });
}

load_table ReportLoad(const engine& state, instant now) {
  load_table table;
  for (const worker* const one : state.held_workers) {
    const worker& candidate = *one;
    if (!AcceptsStarts(state, candidate, now)) {
      continue;
    }
    load_report& report = table[candidate.listing.upstream];
    ++report.workers;
    if (TakesOnlyTasksAlone(candidate, now)) {
      continue;
    }
    const uint32_t cpu_per_task = TypicalTaskCpu(state, candidate);
    const uint32_t free =
        MustProveItself(state, candidate)
            ? std::min(FreeCapacity(candidate).cpu_milli / cpu_per_task, 1U)
            : FreeCapacity(candidate).cpu_milli / cpu_per_task;
    report.free_tasks += free;
    report.free_not_slow +=
        candidate.slowness <= state.speeds.classes.slow_above ? free : 0;
    report.free_fast +=
        candidate.slowness < state.speeds.classes.fast_below ? free : 0;
    for (const auto& [name, run] : candidate.runs) {
      report.ends_per_second += 1'000.0 / static_cast<double>(std::max<int64_t>(
                                              1, run.expected.count()));
    }
  }
  for (const queue_key& key : state.queue) {
    const part* const owner = state.parts.Find(key.part);
    // Tasks that need a worker of their own delay no others.
    if (owner == nullptr || owner->tasks[key.task].alone) {
      continue;
    }
    const auto at = table.find(owner->upstream);
    if (at == table.end()) {
      continue;
    }
    for (size_t bound = 0; bound < kSlackBounds.size(); ++bound) {
      if (key.latest_start - now <= kSlackBounds[bound]) {
        ++at->second.queued_within[bound];
      }
    }
  }
  return table;
}

}  // namespace tarragondrift::fleet
