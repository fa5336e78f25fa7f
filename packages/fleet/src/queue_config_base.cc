#include "tarragondrift/fleet/queue_config_base.h"

namespace tarragondrift::fleet {

const queue_config* FindQueue(const fleet_config& config, std::string_view host,
                              std::string_view path) {
  const queue_config* best = nullptr;
  for (const queue_config& queue : config.queues) {
    if (queue.host == host && path.starts_with(queue.path_prefix) &&
        (best == nullptr ||
         queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const queue_config* FindQueueByName(const fleet_config& config,
                                    std::string_view name) {
  for (const queue_config& queue : config.queues) {
    if (queue.name == name) {
      return &queue;
    }
  }
  return nullptr;
}

}  // namespace tarragondrift::fleet
