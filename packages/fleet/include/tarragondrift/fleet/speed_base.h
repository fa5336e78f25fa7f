// Speed classes of workers, by slowness: a worker's running time relative to
// the expected one.
#ifndef TARRAGONDRIFT_FLEET_SPEED_BASE_H_
#define TARRAGONDRIFT_FLEET_SPEED_BASE_H_

#include <cstddef>
#include <cstdint>

#include "tarragondrift/core/time_base.h"

namespace tarragondrift::fleet {

/// Bounds between the speed classes. The defaults are right for workers with a
/// slowness of 0.8, 1 and 1.25, and apply until others are learned.
struct speed_classes {
  double fast_below = 0.9;
  double slow_above = 1.12;
  /// A worker above this is chosen only if no other in the task's rack can
  /// start it.
  double very_slow_above = 1.6;
  /// Slowness of the fastest workers, less a margin for estimation error.
  double fastest = 0.75;
  /// A worker whose last runs were slower than this on average counts as
  /// degraded, and those runs alone determine its slowness. The default is 1.8
  /// times the slowest class, beyond the random variation of recent runs.
  double degraded_above = 2.2255;
};

enum class speed_class : uint8_t { kFast, kNormal, kSlow, kVerySlow };
inline constexpr size_t kSpeedClasses = 4;

/// What a worker's runs showed of its speed.
struct speed_sample {
  /// Mean logarithm of the slowness of its runs.
  double log_slowness = 0;
  uint32_t runs = 0;
};

/// The classes in force at an entry.
struct speed_table {
  speed_classes classes;
  /// The classes when they were last logged.
  speed_classes logged;
  instant next_update;
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_SPEED_BASE_H_
