// The dispatcher of one entry as plain data: what waits, and which instances
// may take it.
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
  instance_health health;
  /// Place in open_instances::open, or kNotOpen.
  uint32_t open_at = kNotOpen;
  /// What open_instances::slots counts of it.
  uint32_t counted = 0;

  static constexpr uint32_t kNotOpen = 0xffffffffU;
};

/// The instances of one upstream that can take an attempt now.
struct open_instances {
  std::vector<instance_id> open;
  /// Shares of all instances that get work.
  uint32_t slots = 0;
  uint32_t instances = 0;
  uint32_t ejected = 0;
  uint32_t in_flight = 0;
  uint32_t next = 0;
  /// Average running time of what succeeded.
  std::chrono::microseconds running_time{200'000};
  /// Since when no instance has been there.
  instant none_since;
};

/// One decision: this task goes to this instance now.
struct placement {
  queued_task task;
  instance_id instance;
};

/// How an instance is chosen among those with a free slot.
enum class placement_rule : uint8_t {
  /// The better of two sampled ones.
  kTwoChoices,
  /// The best of all.
  kLeastLoaded,
  kRandom,
  kRoundRobin,
};

/// Options of a dispatcher.
struct dispatch_options {
  /// Seeds the choices among instances.
  uint64_t seed = 1;
  queue_order order = queue_order::kFairSmallFirst;
  /// A job's target, as a multiple of the time that it would take alone.
  double stretch = 2.0;
  /// Running time by which a team of weight 1 may be ahead of the others while
  /// little waits.
  std::chrono::microseconds team_slack{100'000'000};
  placement_rule placement = placement_rule::kLeastLoaded;
  health_options health;
  /// Corrects declared times by observed ones.
  bool learn_estimates = true;
  /// Refuses jobs that cannot be answered in time.
  bool shed = true;
  /// Ejects instances that fail and passes over slow ones.
  bool watch_health = true;
  /// Share of a deadline that the expected answer may take, in percent.
  uint32_t deadline_use_percent = 80;
  /// Slots are borrowed for jobs that would miss this multiple of the time that
  /// they would take alone.
  double borrow_stretch = 1.02;
  /// How long jobs wait for a first instance before they are refused.
  std::chrono::milliseconds instance_wait{5'000};
};

/// All that one entry's dispatch decisions depend on.
struct dispatcher {
  dispatch_options options;
  pool<upstream_instance, instance_id> instances;
  std::unordered_map<std::string, instance_id> addresses;
  std::vector<open_instances> upstreams;
  task_queue queue;
  std::vector<contract_estimate> contracts;
  std::vector<failure_rate> failures;
  retry_budget retries;
  /// Entries among which the ceilings of teams are divided.
  uint32_t entries = 1;
  instant ticked;
  uint32_t next_upstream = 0;
  std::mt19937_64 random;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_DISPATCH_BASE_H_
