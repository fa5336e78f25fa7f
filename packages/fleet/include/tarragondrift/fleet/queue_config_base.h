// The queues that callers submit jobs to, as the operator configured them.
#ifndef TARRAGONDRIFT_FLEET_QUEUE_CONFIG_BASE_H_
#define TARRAGONDRIFT_FLEET_QUEUE_CONFIG_BASE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragondrift::fleet {

/// One queue; its tasks run on the workers of one upstream.
struct queue_config {
  std::string name;
  /// A request belongs to the queue with its host and the longest matching path
  /// prefix.
  std::string host;
  std::string path_prefix;
  std::string upstream;
  /// 0 is the highest priority.
  uint32_t priority = 0;
  /// Number of failed runs of a task at which its job fails.
  uint32_t attempts = 1;
  /// A job is on time within stretch x its critical path + objective.
  double stretch = 1.0;
  std::chrono::milliseconds objective{0};
  /// Timeout of callers that give none.
  std::chrono::milliseconds timeout{0};
};

/// One version of the configuration.
struct fleet_config {
  /// 0 until the first configuration arrives.
  uint64_t version = 0;
  std::vector<queue_config> queues;
  size_t max_body_bytes = 1U << 20U;
};

/// Finds the queue with the host and the longest prefix of the path.
/// @return nullptr if there is none.
const queue_config* FindQueue(const fleet_config& config, std::string_view host,
                              std::string_view path);

/// Finds a queue by name.
/// @return nullptr if there is none.
const queue_config* FindQueueByName(const fleet_config& config,
                                    std::string_view name);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_QUEUE_CONFIG_BASE_H_
