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
  /// A request belongs to the queue by its host and the longest prefix.
  std::string host;
  std::string path_prefix;
  std::string upstream;
  /// 0 comes first.
  uint32_t priority = 0;
  /// Runs of one task that may end as failed before its job fails.
  uint32_t attempts = 1;
  /// A job is on time within stretch x its longest chain of work + objective.
  double stretch = 1.0;
  std::chrono::milliseconds objective{0};
  /// How long callers wait that do not say it themselves.
  std::chrono::milliseconds timeout{0};
};

/// One version of the configuration.
struct fleet_config {
  /// 0 before the first one arrived.
  uint64_t version = 0;
  std::vector<queue_config> queues;
  size_t max_body_bytes = 1U << 20U;
};

/// Finds the queue with the host and the longest prefix of the path.
/// @return nullptr when there is none.
const queue_config* FindQueue(const fleet_config& config, std::string_view host,
                              std::string_view path);

/// Finds a queue by name; nullptr when there is none.
const queue_config* FindQueueByName(const fleet_config& config,
                                    std::string_view name);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_QUEUE_CONFIG_BASE_H_
