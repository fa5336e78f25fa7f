// The state of one entry's dispatcher as plain data: its queued tasks and the
// upstream instances that can run them.
#ifndef TARRAGONDRIFT_CORE_DISPATCH_BASE_H_
#define TARRAGONDRIFT_CORE_DISPATCH_BASE_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "tarragondrift/core/estimate_base.h"
#include "tarragondrift/core/health_base.h"
#include "tarragondrift/core/job_base.h"
#include "tarragondrift/core/pool.h"
#include "tarragondrift/core/queue_base.h"
#include "tarragondrift/core/retry_base.h"
#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

struct instance_tag;
using instance_id = typed_id<instance_tag>;

/// One running instance of an upstream, as one entry sees it.
struct upstream_instance {
  upstream_id upstream;
  /// Address as "IP:port"; also identifies the instance.
  std::string address;
  uint32_t rack = 0;
  /// Slots of the instance that this entry may use now.
  uint32_t share = 0;
  /// Attempts of this entry that are running on the instance.
  uint32_t in_flight = 0;
  bool leaving = false;
  instance_health health;
  /// Index in open_instances::open, or kNotOpen.
  uint32_t open_at = kNotOpen;
  /// Slots of this instance that are included in open_instances::slots.
  uint32_t counted = 0;

  static constexpr uint32_t kNotOpen = 0xffffffffU;
};

/// The instances of one upstream and totals over them.
struct open_instances {
  /// Instances that can take an attempt now.
  std::vector<instance_id> open;
  /// Sum of the shares of all instances that are neither leaving nor ejected.
  uint32_t slots = 0;
  uint32_t instances = 0;
  uint32_t ejected = 0;
  uint32_t in_flight = 0;
  /// Counter of placement_rule::kRoundRobin.
  uint32_t next = 0;
  /// Moving average of the running time of succeeded tasks.
  std::chrono::microseconds running_time{200'000};
  /// Time since which the upstream has had no instance.
  instant none_since;
};

/// A task and the instance on which it starts now.
struct placement {
  queued_task task;
  instance_id instance;
};

/// The rule that chooses among the instances with a free slot.
enum class placement_rule : uint8_t {
  /// The one with the lower cost of two random instances.
  kTwoChoices,
  /// The one with the lowest cost of all instances.
  kLeastLoaded,
  kRandom,
  kRoundRobin,
};

struct dispatch_options {
  /// Seed of the random choices among instances.
  uint64_t seed = 1;
  queue_order order = queue_order::kFairSmallFirst;
  /// Target response time of a job, as a multiple of the time that it would
  /// take alone on all slots.
  double stretch = 2.0;
  /// Running time by which a team of weight 1 may be ahead of the others while
  /// the load is light (see task_queue::slack).
  std::chrono::microseconds team_slack{100'000'000};
  placement_rule placement = placement_rule::kLeastLoaded;
  health_options health;
  /// Whether declared running times are corrected by observed ones.
  bool learn_estimates = true;
  /// Whether jobs that cannot be answered in time are refused.
  bool shed = true;
  /// Whether failing instances are ejected and slow ones are passed over.
  bool watch_health = true;
  /// Percentage of a job's deadline that its expected response time may use
  /// before the job counts as late.
  uint32_t deadline_use_percent = 80;
  /// Slots are borrowed for jobs that would otherwise take longer than this
  /// multiple of the time that they would take alone.
  double borrow_stretch = 1.02;
  /// How long an upstream may have no instance before its jobs are refused.
  std::chrono::milliseconds instance_wait{5'000};
};

/// The state on which one entry's dispatch decisions depend.
struct dispatcher {
  dispatch_options options;
  pool<upstream_instance, instance_id> instances;
  /// Instances by address.
  std::unordered_map<std::string, instance_id> addresses;
  std::vector<open_instances> upstreams;
  task_queue queue;
  std::vector<contract_estimate> contracts;
  /// Failure rates by team.
  std::vector<failure_rate> failures;
  retry_budget retries;
  /// Number of entries among which the start rates of teams are divided.
  uint32_t entries = 1;
  /// Time of the last tick.
  instant ticked;
  /// Round-robin counter of the upstreams.
  uint32_t next_upstream = 0;
  std::mt19937_64 random;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_DISPATCH_BASE_H_
