// What one entry has seen of an upstream instance's health.
#ifndef TARRAGONDRIFT_CORE_HEALTH_BASE_H_
#define TARRAGONDRIFT_CORE_HEALTH_BASE_H_

#include <chrono>
#include <cstdint>

#include "tarragondrift/core/job_base.h"
#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// Whether an instance gets work.
enum class health_stage : uint8_t {
  kHealthy,
  /// Something failed there: one attempt at a time until one succeeds.
  kSuspect,
  /// Gets nothing until its probe is due.
  kEjected,
  /// Gets one attempt, which decides.
  kProbing,
};

/// The health of one instance.
struct instance_health {
  health_stage stage = health_stage::kHealthy;
  /// Weighted failures of different jobs since the last success.
  double failures = 0;
  /// The job of the last failure that counted.
  job_id last_failed_job;
  /// Observed over estimated running times, averaged.
  double slowness = 1.0;
  /// When the instance is probed next.
  instant probe_at;
  std::chrono::milliseconds backoff{0};
  /// Too many are ejected already: it only waits a little between attempts.
  bool throttled = false;
};

/// Limits of the health rules.
struct health_options {
  /// Weighted failures without a success that eject an instance.
  double eject_after = 2.0;
  /// Most of an upstream's instances that are ejected at a time, in percent.
  uint32_t max_ejected_percent = 34;
  std::chrono::milliseconds initial_backoff{1'000};
  std::chrono::milliseconds max_backoff{60'000};
  /// Between two attempts at an instance that the cap keeps from ejection.
  std::chrono::milliseconds throttle_interval{250};
  /// An instance slower than this many times the estimate is passed over while
  /// little work waits.
  double slow = 2.0;
};

/// How often the tasks of one team fail, wherever they run.
struct failure_rate {
  double rate = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_HEALTH_BASE_H_
