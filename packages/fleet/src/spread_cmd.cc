#include "tarragondrift/fleet/spread_cmd.h"

#include <algorithm>
#include <cmath>

namespace tarragondrift::fleet {
namespace {

using std::chrono::microseconds;

/// Upper limit of predicted waits, also used for a controller that has no free
/// capacity and where no runs end.
constexpr microseconds kMaxPredictedWait = std::chrono::seconds(60);

uint32_t QueuedAhead(const load_report& load, microseconds slack) {
  for (size_t at = 0; at < kSlackBounds.size(); ++at) {
    if (slack <= kSlackBounds[at]) {
      return load.queued_within[at];
    }
  }
  return load.queued_within.back();
}

/// Returns the running time added by the speed of the worker that gets the last
/// of `tasks`.
microseconds WorkerSpeedCost(const load_report& load, uint32_t tasks,
                             const spread_request& request) {
  if (tasks <= load.free_fast) {
    return microseconds{0};
  }
  return tasks <= load.free_not_slow ? request.not_fast_cost
                                     : request.slow_cost;
}

}  // namespace

microseconds PredictWait(const load_report& load, uint32_t tasks,
                         microseconds slack) {
  const uint32_t tasks_to_start = QueuedAhead(load, slack) + tasks;
  if (tasks_to_start <= load.free_tasks) {
    return microseconds{0};
  }
  if (load.ends_per_second <= 0) {
    return kMaxPredictedWait;
  }
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double required_ends = tasks_to_start - load.free_tasks;
  const double wait =
      required_ends / load.ends_per_second * kMicrosecondsPerSecond;
  return std::min(kMaxPredictedWait, microseconds{std::llround(wait)});
}

void DeductTasks(load_report& load, uint32_t tasks) {
  const uint32_t placed = std::min(load.free_tasks, tasks);
  load.free_tasks -= placed;
  load.free_not_slow = std::min(load.free_not_slow, load.free_tasks);
  load.free_fast = std::min(load.free_fast, load.free_tasks);
  for (uint32_t& queued : load.queued_within) {
    queued += tasks - placed;
  }
}

microseconds SpreadTasks(std::vector<spread_candidate>& candidates,
                         const spread_request& request) {
  // An additional controller costs messages; it must shorten the wait by this.
  constexpr microseconds kAdditionalControllerCost =
      std::chrono::milliseconds(2);
  microseconds longest{0};
  for (uint32_t placed = 0; placed < request.tasks; ++placed) {
    spread_candidate* best = nullptr;
    microseconds best_cost{0};
    for (spread_candidate& candidate : candidates) {
      microseconds cost =
          PredictWait(candidate.load, candidate.assigned + 1, request.slack) +
          candidate.penalty +
          WorkerSpeedCost(candidate.load, candidate.assigned + 1, request);
      if (candidate.assigned == 0 && placed > 0) {
        cost += kAdditionalControllerCost;
      }
      if (best == nullptr || cost < best_cost) {
        best = &candidate;
        best_cost = cost;
      }
    }
    if (best == nullptr) {
      return kMaxPredictedWait;
    }
    ++best->assigned;
    longest = std::max(longest,
                       PredictWait(best->load, best->assigned, request.slack));
  }
  return longest;
}

std::chrono::milliseconds RetryDelay(const fleet_options& options,
                                     microseconds wait) {
  if (IsOff(options.without, mechanism::kRetryPrediction)) {
    return options.min_retry_after;
  }
  return RetryAfter(wait, options.min_retry_after, options.max_retry_after);
}

std::chrono::milliseconds RetryAfter(microseconds wait,
                                     std::chrono::milliseconds min_delay,
                                     std::chrono::milliseconds max_delay) {
  return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(wait),
                    min_delay, max_delay);
}

}  // namespace tarragondrift::fleet
