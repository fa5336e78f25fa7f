#include "tarragondrift/fleet/placement_cmd.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

#include "tarragondrift/fleet/lease_cmd.h"

namespace tarragondrift::fleet {
namespace {

bool HasLabel(const worker& one, const std::string& label) {
  const auto& labels = one.listing.labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

/// Counts the runs of one step of a job at a worker.
uint32_t RunsOfStep(const worker& one, const std::string& job, uint32_t step) {
  return static_cast<uint32_t>(std::count_if(
      one.runs.begin(), one.runs.end(), [&job, step](const auto& entry) {
        return entry.first.task.job == job && entry.first.task.step == step;
      }));
}

/// Tells whether a worker may run tasks of the step at all.
bool Suits(const worker& one, const part& owner, const step_spec& step) {
  return one.listing.upstream == owner.upstream &&
         (step.label.empty() || HasLabel(one, step.label)) &&
         Fits(step.need, one.listing.capacity);
}

/// The objective grows with the real running time; this is for the wait and
/// the uneven times of a job's tasks.
constexpr double kObjectiveReserve = 1.15;
/// Workers whose smoothed running times differ by less count as equally fast.
constexpr double kSpeedStep = 0.15;
/// A worker that takes this many times the expected time is avoided; sound
/// ones take up to 1.25 times.
constexpr double kVerySlow = 1.6;

/// What speaks against a worker; lower is better.
struct placement_cost {
  bool went_wrong = false;
  bool far = false;
  bool very_slow = false;
  /// Of the workers that are fast enough the slowest is best, so that faster
  /// ones stay free for tasks that need them; of the others the fastest.
  bool too_slow = false;
  int speed = 0;
  uint32_t room_left = std::numeric_limits<uint32_t>::max();

  auto operator<=>(const placement_cost&) const = default;
};

/// Workers of about the same speed are told apart by their room only.
int SpeedStep(double slowness) {
  return static_cast<int>(std::lround(slowness / kSpeedStep));
}

/// Gives the slowness up to which a worker can do a task in time. When none
/// can, or none is known to be faster, every worker will do.
double SlowestThatHelps(const engine& state, const part& owner,
                        milliseconds expected, instant now) {
  const double left =
      std::chrono::duration<double, std::milli>(owner.deadline - now).count();
  const double slowest = left / static_cast<double>(expected.count());
  const bool some_help = std::any_of(
      state.workers.begin(), state.workers.end(), [slowest](const auto& entry) {
        return entry.second.phase == control_phase::kHeld &&
               entry.second.slowness <= slowest;
      });
  return some_help ? slowest : std::numeric_limits<double>::max();
}

}  // namespace

double AllowedSlowness(const runtime_estimate& guess,
                       std::chrono::microseconds objective_left,
                       std::chrono::microseconds deadline_left) {
  const std::chrono::duration<double, std::micro> median = guess.median;
  const std::chrono::duration<double, std::micro> longest = guess.upper;
  // The objective grows with the real running time, the deadline does not.
  return std::min(objective_left / (median * kObjectiveReserve),
                  deadline_left / longest);
}

runtime_estimate EstimateFor(const engine& state, const part& owner,
                             const step_spec& step) {
  if (owner.observed_runtime.count() > 0) {
    return {.median = owner.observed_runtime, .upper = owner.observed_runtime};
  }
  return EstimateRuntime(state.runtimes, owner.queue, step.estimate);
}

resources FreeCapacity(const worker& one) {
  return one.listing.capacity - one.used;
}

bool AcceptsStarts(const engine& state, const worker& one, instant now) {
  if (one.phase != control_phase::kHeld || one.listing.draining ||
      now < one.no_starts_until || now < one.health.ejected_until) {
    return false;
  }
  if (!one.listed && now - one.unlisted >= state.options.unlisted_limit) {
    return false;
  }
  // A start to a worker that stopped answering would only have to be settled.
  if (now - one.last_heard >
      state.options.poll_wait + state.options.poll_timeout) {
    return false;
  }
  // A worker that went wrong proves itself with one run at a time.
  return one.health.consecutive_failures <
             state.options.max_consecutive_failures ||
         one.runs.empty();
}

worker* ChooseWorker(engine& state, const part& owner, const task& placed,
                     instant now) {
  const step_spec& step = owner.job.steps[placed.step];
  const runtime_estimate guess = EstimateFor(state, owner, step);
  const double wanted =
      AllowedSlowness(guess, owner.objective - now, owner.deadline - now);
  const double slowest = SlowestThatHelps(state, owner, guess.median, now);
  const instant limit = LeaseLimit(state, owner.origin, now);
  worker* best = nullptr;
  placement_cost best_cost;
  for (auto& [id, one] : state.workers) {
    if (!Suits(one, owner, step) || !AcceptsStarts(state, one, now) ||
        one.slowness > slowest || !FitsLease(state, one, limit, now)) {
      continue;
    }
    const resources room = FreeCapacity(one);
    if (!Fits(step.need, room)) {
      continue;
    }
    if (step.max_per_worker > 0 &&
        RunsOfStep(one, owner.job.id, placed.step) >= step.max_per_worker) {
      continue;
    }
    const placement_cost cost{
        .went_wrong = id == placed.avoid,
        .far = !step.near_rack.empty() && !HasLabel(one, step.near_rack),
        .very_slow = one.slowness > kVerySlow,
        .too_slow = one.slowness > wanted,
        .speed = one.slowness > wanted ? SpeedStep(one.slowness)
                                       : -SpeedStep(one.slowness),
        .room_left = room.cpu_milli - step.need.cpu_milli};
    if (best == nullptr || cost < best_cost) {
      best = &one;
      best_cost = cost;
    }
  }
  return best;
}

bool CouldRun(const engine& state, const part& owner, const step_spec& step) {
  return std::any_of(state.workers.begin(), state.workers.end(),
                     [&](const auto& entry) {
                       return entry.second.phase == control_phase::kHeld &&
                              !entry.second.listing.draining &&
                              Suits(entry.second, owner, step);
                     });
}

load_table ReportLoad(const engine& state, instant now) {
  load_table table;
  const auto size = static_cast<uint32_t>(std::max(1.0, state.mean_cpu_milli));
  for (const auto& [id, one] : state.workers) {
    if (!AcceptsStarts(state, one, now)) {
      continue;
    }
    load_report& report = table[one.listing.upstream];
    ++report.workers;
    const uint32_t free =
        one.health.consecutive_failures < state.options.max_consecutive_failures
            ? FreeCapacity(one).cpu_milli / size
            : std::min(FreeCapacity(one).cpu_milli / size, 1U);
    report.free_tasks += free;
    report.free_not_slow += one.slowness <= kSlowAbove ? free : 0;
    report.free_fast += one.slowness < kFastBelow ? free : 0;
    for (const auto& [name, run] : one.runs) {
      report.ends_per_second += 1'000.0 / static_cast<double>(std::max<int64_t>(
                                              1, run.expected.count()));
    }
  }
  for (const queue_key& key : state.queue) {
    const part* const owner = state.parts.Find(key.part);
    if (owner == nullptr) {
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
