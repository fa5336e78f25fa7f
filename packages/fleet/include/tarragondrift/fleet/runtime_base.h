// Running times of a queue's tasks: what submitters declare, corrected by what
// was seen.
#ifndef TARRAGONDRIFT_FLEET_RUNTIME_BASE_H_
#define TARRAGONDRIFT_FLEET_RUNTIME_BASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace tarragondrift::fleet {

/// What was seen of one queue.
struct queue_runtime {
  uint64_t samples = 0;
  /// Smoothed running time, in milliseconds.
  double mean_ms = 0;
  /// Smoothed running time divided by the declared one.
  double ratio = 1.0;
  /// Smoothed declared time, in milliseconds.
  double declared_ms = 0;
};

using runtime_table = std::map<std::string, queue_runtime>;

/// Takes note of a run that ended as done.
void RecordRuntime(runtime_table& table, const std::string& queue,
                   std::chrono::milliseconds declared,
                   std::chrono::microseconds actual);

/// Gives the running time to expect of a task.
std::chrono::milliseconds ExpectedRuntime(const runtime_table& table,
                                          const std::string& queue,
                                          std::chrono::milliseconds declared);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_RUNTIME_BASE_H_
