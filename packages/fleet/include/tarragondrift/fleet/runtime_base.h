// Running times of a queue's tasks. Declared times are a weak predictor, so a
// regression of the actual on the declared time is maintained for each queue.
#ifndef TARRAGONDRIFT_FLEET_RUNTIME_BASE_H_
#define TARRAGONDRIFT_FLEET_RUNTIME_BASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace tarragondrift::fleet {

/// Statistics of one queue: exponentially smoothed moments of the logarithms of
/// declared and actual running times in milliseconds.
struct queue_runtime {
  uint64_t samples = 0;
  double mean_declared = 0;
  double mean_actual = 0;
  double variance_declared = 0;
  double variance_actual = 0;
  double covariance = 0;
};

using runtime_table = std::map<std::string, queue_runtime>;

/// Distribution of a task's running time on a worker of nominal speed.
struct runtime_estimate {
  std::chrono::milliseconds median{0};
  /// Upper bound, exceeded by one task in 40.
  std::chrono::milliseconds upper{0};
};

/// Adds the running time of a successful run to the queue's statistics.
void RecordRuntime(runtime_table& table, const std::string& queue,
                   std::chrono::milliseconds declared,
                   std::chrono::microseconds actual);

/// Estimates the running time of a task.
runtime_estimate EstimateRuntime(const runtime_table& table,
                                 const std::string& queue,
                                 std::chrono::milliseconds declared);

/// Returns the median of the estimate.
std::chrono::milliseconds ExpectedRuntime(const runtime_table& table,
                                          const std::string& queue,
                                          std::chrono::milliseconds declared);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_RUNTIME_BASE_H_
