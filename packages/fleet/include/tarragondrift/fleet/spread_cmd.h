// Answers uneven load: how the tasks of a job are spread over controllers, and
// which jobs are refused at once because no spread of them can be on time.
#ifndef TARRAGONDRIFT_FLEET_SPREAD_CMD_H_
#define TARRAGONDRIFT_FLEET_SPREAD_CMD_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "tarragondrift/fleet/peer_base.h"

namespace tarragondrift::fleet {

/// A controller that could carry tasks.
struct spread_candidate {
  uint64_t controller = 0;
  load_report load;
  /// Tasks of the job given to it.
  uint32_t assigned = 0;
  /// Added to its wait: another data centre costs a round trip, and one more
  /// controller another message.
  std::chrono::microseconds penalty{0};
};

/// Predicts how long the last of `tasks` more tasks with the given slack waits
/// for its start.
std::chrono::microseconds PredictWait(const load_report& load, uint32_t tasks,
                                      std::chrono::microseconds slack);

/// What is spread.
struct spread_request {
  uint32_t tasks = 0;
  /// Time that the tasks can wait and still be on time.
  std::chrono::microseconds slack{0};
  /// Running time that a slow worker adds to tasks with little time, and that
  /// a worker that is not fast adds; 0 for tasks with time enough.
  std::chrono::microseconds slow_cost{0};
  std::chrono::microseconds not_fast_cost{0};
};

/// Spreads tasks so that the longest wait is short and few controllers are
/// used; fills in `assigned`.
/// @return the longest predicted wait.
std::chrono::microseconds SpreadTasks(std::vector<spread_candidate>& candidates,
                                      const spread_request& request);

/// Picks when refused callers should come back: after the predicted wait,
/// within the limits.
std::chrono::milliseconds RetryAfter(std::chrono::microseconds wait,
                                     std::chrono::milliseconds shortest,
                                     std::chrono::milliseconds longest);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_SPREAD_CMD_H_
