// Load balancing: spreads the tasks of a job over controllers by predicted
// wait, so that jobs that cannot be on time anywhere can be refused at once.
#ifndef TARRAGONDRIFT_FLEET_SPREAD_CMD_H_
#define TARRAGONDRIFT_FLEET_SPREAD_CMD_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "tarragondrift/fleet/fleet_options_base.h"
#include "tarragondrift/fleet/peer_base.h"

namespace tarragondrift::fleet {

/// A controller that tasks may be assigned to.
struct spread_candidate {
  uint64_t controller = 0;
  load_report load;
  /// Number of the job's tasks assigned to it.
  uint32_t assigned = 0;
  /// Added to its predicted wait for the way to it: a hop to another entry, or
  /// a round trip to another data centre.
  std::chrono::microseconds penalty{0};
};

/// Predicts the wait until the last of `tasks` additional tasks with the given
/// slack starts.
std::chrono::microseconds PredictWait(const load_report& load, uint32_t tasks,
                                      std::chrono::microseconds slack);

/// Tasks to spread.
struct spread_request {
  uint32_t tasks = 0;
  /// How long the tasks can wait and still be on time.
  std::chrono::microseconds slack{0};
  /// Running time that a slow worker adds to tasks with little slack, and that
  /// a worker that is not fast adds; 0 for tasks with enough slack.
  std::chrono::microseconds slow_cost{0};
  std::chrono::microseconds not_fast_cost{0};
};

/// Assigns tasks to controllers so that the longest wait is short and few
/// controllers are used; sets `assigned` of the candidates.
/// @return the longest predicted wait.
std::chrono::microseconds SpreadTasks(std::vector<spread_candidate>& candidates,
                                      const spread_request& request);

/// Deducts tasks from the capacity in a load report; those beyond it queue.
void DeductTasks(load_report& load, uint32_t tasks);

/// Returns the retry delay for refused callers by the options of an entry.
std::chrono::milliseconds RetryDelay(const fleet_options& options,
                                     std::chrono::microseconds wait);

/// Returns the retry delay for refused callers: the predicted wait, clamped to
/// the limits.
std::chrono::milliseconds RetryAfter(std::chrono::microseconds wait,
                                     std::chrono::milliseconds min_delay,
                                     std::chrono::milliseconds max_delay);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_SPREAD_CMD_H_
