// The dispatcher of one entry as plain data: what waits, and which instances
// may take it.
#ifndef TARRAGONDRIFT_CORE_DISPATCH_BASE_H_
#define TARRAGONDRIFT_CORE_DISPATCH_BASE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "tarragondrift/core/job_base.h"
#include "tarragondrift/core/pool.h"
#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

struct instance_tag;
using instance_id = typed_id<instance_tag>;

/// One running copy of an upstream, as one entry sees it.
struct upstream_instance {
  upstream_id upstream;
  /// Its address, "IP:port"; also its name.
  std::string address;
  uint32_t rack = 0;
  /// Slots of the instance that this entry may use now.
  uint32_t share = 0;
  /// Attempts of this entry that are running there.
  uint32_t in_flight = 0;
  bool leaving = false;
};

/// A task that waits, with all that its order depends on.
struct queued_task {
  task_ref task;
  upstream_id upstream;
  team_id team;
  contract_id contract;
  std::chrono::microseconds declared{0};
  instant enqueued;
  instant deadline;
};

/// One decision: this task goes to this instance now.
struct placement {
  queued_task task;
  instance_id instance;
};

/// Options of a dispatcher.
struct dispatch_options {
  /// Seeds the choices among instances.
  uint64_t seed = 1;
};

/// All that one entry's dispatch decisions depend on.
struct dispatcher {
  dispatch_options options;
  pool<upstream_instance, instance_id> instances;
  std::deque<queued_task> queue;
  std::mt19937_64 random;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_DISPATCH_BASE_H_
