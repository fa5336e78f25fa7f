#include "tarragondrift/fleet/spread_cmd.h"

#include <algorithm>
#include <cmath>

namespace tarragondrift::fleet {
namespace {

using std::chrono::microseconds;

/// Wait at a controller that has no room and where nothing ends.
constexpr microseconds kHopeless = std::chrono::seconds(60);

uint32_t QueuedAhead(const load_report& load, microseconds slack) {
  for (size_t at = 0; at < kSlackBounds.size(); ++at) {
    if (slack <= kSlackBounds[at]) {
      return load.queued_within[at];
    }
  }
  return load.queued_within.back();
}

/// Time that the speed of the worker for the last of `tasks` adds.
microseconds SpeedCost(const load_report& load, uint32_t tasks,
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
  const uint32_t wanted = QueuedAhead(load, slack) + tasks;
  if (wanted <= load.free_tasks) {
    return microseconds{0};
  }
  if (load.ends_per_second <= 0) {
    return kHopeless;
  }
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double ends = wanted - load.free_tasks;
  const double wait = ends / load.ends_per_second * kMicrosecondsPerSecond;
  return std::min(kHopeless, microseconds{std::llround(wait)});
}

microseconds SpreadTasks(std::vector<spread_candidate>& candidates,
                         const spread_request& request) {
  // Each further controller costs messages; it must shorten the wait by this.
  constexpr microseconds kFurtherController = std::chrono::milliseconds(2);
  microseconds longest{0};
  for (uint32_t placed = 0; placed < request.tasks; ++placed) {
    spread_candidate* best = nullptr;
    microseconds best_cost{0};
    for (spread_candidate& one : candidates) {
      microseconds cost =
          PredictWait(one.load, one.assigned + 1, request.slack) + one.penalty +
          SpeedCost(one.load, one.assigned + 1, request);
      if (one.assigned == 0 && placed > 0) {
        cost += kFurtherController;
      }
      if (best == nullptr || cost < best_cost) {
        best = &one;
        best_cost = cost;
      }
    }
    if (best == nullptr) {
      return kHopeless;
    }
    ++best->assigned;
    longest = std::max(longest,
                       PredictWait(best->load, best->assigned, request.slack));
  }
  return longest;
}

std::chrono::milliseconds RetryAfter(microseconds wait,
                                     std::chrono::milliseconds shortest,
                                     std::chrono::milliseconds longest) {
  return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(wait),
                    shortest, longest);
}

}  // namespace tarragondrift::fleet
