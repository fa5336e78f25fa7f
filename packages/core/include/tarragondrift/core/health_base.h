// The health of an upstream instance as observed by one entry.
#ifndef TARRAGONDRIFT_CORE_HEALTH_BASE_H_
#define TARRAGONDRIFT_CORE_HEALTH_BASE_H_

#include <chrono>
#include <cstdint>

#include "tarragondrift/core/job_base.h"
#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// The stage of ejection, which limits the attempts that an instance gets.
enum class health_stage : uint8_t {
  kHealthy,
  /// Has failed recently: gets one attempt at a time until one succeeds.
  kSuspect,
  /// Gets no attempts until its probe is due.
  kEjected,
  /// Gets one attempt, whose result ends or renews the ejection.
  kProbing,
};

struct instance_health {
  health_stage stage = health_stage::kHealthy;
  /// Weighted failures since the last success; repeated failures of one job
  /// count once.
  double failures = 0;
  /// The job of the last counted failure.
  job_id last_failed_job;
  /// Moving average of the ratio of observed to estimated running time.
  double slowness = 1.0;
  instant probe_at;
  std::chrono::milliseconds backoff{0};
  /// Whether the cap on ejected instances keeps this one from a full ejection.
  /// Its stage is then kEjected, but only for `throttle_interval` between
  /// attempts, and it is not counted in open_instances::ejected.
  bool throttled = false;
};

/// Limits of ejection and of slowness.
struct health_options {
  /// Weighted failures since the last success at which an instance is ejected.
  double eject_after = 2.0;
  /// Maximum percentage of an upstream's instances that are ejected at a time;
  /// one instance may always be.
  uint32_t max_ejected_percent = 34;
  /// Time from the first ejection to the probe; doubles with each consecutive
  /// ejection.
  std::chrono::milliseconds initial_backoff{1'000};
  std::chrono::milliseconds max_backoff{60'000};
  /// Time between two attempts at an instance that is throttled.
  std::chrono::milliseconds throttle_interval{250};
  /// An instance whose slowness exceeds this ratio is passed over while little
  /// work is queued.
  double slow = 2.0;
};

/// Moving average of the share of one team's tasks that fail, on any instance;
/// from 0 to 1.
struct failure_rate {
  double rate = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_HEALTH_BASE_H_
