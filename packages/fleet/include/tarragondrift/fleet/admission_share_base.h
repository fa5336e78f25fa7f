// What the queues of an entry asked for and were granted, by size of the jobs.
#ifndef TARRAGONDRIFT_FLEET_ADMISSION_SHARE_BASE_H_
#define TARRAGONDRIFT_FLEET_ADMISSION_SHARE_BASE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "tarragondrift/core/time_base.h"

namespace tarragondrift::fleet {

/// Jobs of a queue by size, which is tasks x expected running time x cpu: the
/// largest tenth, the fifth below it, and the rest.
enum class size_band : uint8_t { kLargest, kLarge, kRest };

inline constexpr size_t kSizeBands = 3;

/// Running estimates of the sizes between the bands of a queue, as logarithms
/// of core-milliseconds.
struct size_bounds {
  uint64_t samples = 0;
  double log_large = 0;
  double log_largest = 0;
};

/// Demand of one band of a queue. Sums decay exponentially from `updated` on.
struct band_demand {
  double jobs = 0;
  double tasks = 0;
  /// Sum over the jobs of how long their tasks can wait and still be on time.
  std::chrono::duration<double, std::milli> slack{0};
  /// Core-milliseconds of all jobs, and of those that were accepted.
  double asked = 0;
  double granted = 0;
  double granted_tasks = 0;
  instant updated;
  /// When the next refused caller should return at the earliest: once capacity
  /// for those refused before has become free.
  instant next_return;
  /// Jobs refused to leave headroom for others, since the start.
  uint64_t refused_total = 0;
};

struct queue_shares {
  size_bounds bounds;
  std::array<band_demand, kSizeBands> bands;
};

/// Shares by queue name; bounded by the number of configured queues.
struct share_table {
  std::map<std::string, queue_shares> queues;
};

/// The properties of a job that shares are decided by.
struct share_job {
  size_band band = size_band::kRest;
  double core_ms = 0;
  uint32_t tasks = 0;
  std::chrono::microseconds slack{0};
};

/// Inputs and result of a decision, for the log.
struct share_decision {
  bool refused = false;
  /// Core-milliseconds that the band of the job asked for and was granted.
  double asked = 0;
  double granted = 0;
  /// Tasks for which the job must leave capacity; 0 if it need not.
  uint32_t headroom = 0;
  /// Whether a current load report was at hand.
  bool load_known = true;
};

/// Demand of one band at one instant, for the metrics page.
struct band_snapshot {
  std::string queue;
  size_band band = size_band::kRest;
  double asked = 0;
  double granted = 0;
  uint64_t refused_total = 0;
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_ADMISSION_SHARE_BASE_H_
