// Running times of a queue's tasks: what submitters declare says little, so the
// relation of declared to real times is learned for each queue.
#ifndef TARRAGONDRIFT_FLEET_RUNTIME_BASE_H_
#define TARRAGONDRIFT_FLEET_RUNTIME_BASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace tarragondrift::fleet {

/// What was seen of one queue; smoothed moments of the logarithms of declared
/// and real times in milliseconds.
struct queue_runtime {
  uint64_t samples = 0;
  double mean_declared = 0;
  double mean_real = 0;
  double variance_declared = 0;
  double variance_real = 0;
  double covariance = 0;
};

using runtime_table = std::map<std::string, queue_runtime>;

/// What to expect of a task's running time on a worker of common speed.
struct runtime_estimate {
  /// Half of such tasks take longer.
  std::chrono::milliseconds median{0};
  /// One in 40 takes longer.
  std::chrono::milliseconds upper{0};
};

/// Takes note of a run that ended as done.
void RecordRuntime(runtime_table& table, const std::string& queue,
                   std::chrono::milliseconds declared,
                   std::chrono::microseconds real);

/// Guesses the running time of a task.
runtime_estimate EstimateRuntime(const runtime_table& table,
                                 const std::string& queue,
                                 std::chrono::milliseconds declared);

/// Gives the median of the guess.
std::chrono::milliseconds ExpectedRuntime(const runtime_table& table,
                                          const std::string& queue,
                                          std::chrono::milliseconds declared);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_RUNTIME_BASE_H_
