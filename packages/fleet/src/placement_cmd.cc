#include "tarragondrift/fleet/placement_cmd.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

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
         Fits(step.need, one.listing.room);
}

/// A task is tight when its expected time is more than this share of the time
/// left to its objective.
constexpr double kTightShare = 0.5;
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
  /// Tight tasks want fast workers; the others leave those to them.
  int speed = 0;
  uint32_t room_left = std::numeric_limits<uint32_t>::max();

  auto operator<=>(const placement_cost&) const = default;
};

int SpeedCost(const worker& one, bool tight) {
  const int steps = static_cast<int>(std::lround(one.slowness / kSpeedStep));
  return tight ? steps : -steps;
}

}  // namespace

resources FreeRoom(const worker& one) { return one.listing.room - one.used; }

bool TakesStarts(const engine& state, const worker& one, instant now) {
  if (one.phase != control_phase::kHeld || one.listing.draining ||
      now < one.full_until || now < one.health.ejected_until) {
    return false;
  }
  if (!one.listed && now - one.unlisted >= state.options.unlisted_limit) {
    return false;
  }
  // A start to a worker that stopped answering would only have to be settled.
  if (now - one.heard > state.options.hold_wait + state.options.hold_timeout) {
    return false;
  }
  // A worker that went wrong proves itself with one run at a time.
  return one.health.strikes < state.options.most_strikes || one.runs.empty();
}

worker* ChooseWorker(engine& state, const part& owner, const task& placed,
                     instant now) {
  const step_spec& step = owner.job.steps[placed.step];
  const std::chrono::duration<double, std::milli> left = owner.objective - now;
  const milliseconds expected =
      ExpectedRuntime(state.runtimes, owner.queue, step.estimate);
  const bool tight =
      static_cast<double>(expected.count()) > kTightShare * left.count();
  worker* best = nullptr;
  placement_cost best_cost;
  for (auto& [id, one] : state.workers) {
    if (!Suits(one, owner, step) || !TakesStarts(state, one, now)) {
      continue;
    }
    const resources room = FreeRoom(one);
    if (!Fits(step.need, room)) {
      continue;
    }
    if (step.most_per_worker > 0 &&
        RunsOfStep(one, owner.job.id, placed.step) >= step.most_per_worker) {
      continue;
    }
    const placement_cost cost{
        .went_wrong = id == placed.avoid,
        .far = !step.near_rack.empty() && !HasLabel(one, step.near_rack),
        .very_slow = one.slowness > kVerySlow,
        .speed = SpeedCost(one, tight),
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
  const auto size =
      static_cast<uint32_t>(std::max(1.0, state.mean_cpu_milli));
  for (const auto& [id, one] : state.workers) {
    if (!TakesStarts(state, one, now)) {
      continue;
    }
    load_report& report = table[one.listing.upstream];
    ++report.workers;
    report.free_tasks +=
        std::min(FreeRoom(one).cpu_milli / size,
                 one.health.strikes < state.options.most_strikes ? 1'000U : 1U);
    for (const auto& [name, run] : one.runs) {
      report.ends_per_second +=
          1'000.0 / static_cast<double>(
                        std::max<int64_t>(1, run.expected.count()));
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
