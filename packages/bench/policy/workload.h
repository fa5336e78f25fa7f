// Jobs drawn from a seed, the same for each policy.
#ifndef TARRAGONDRIFT_BENCH_POLICY_WORKLOAD_H_
#define TARRAGONDRIFT_BENCH_POLICY_WORKLOAD_H_

#include <cstdint>
#include <vector>

#include "scenario.h"

namespace tarragondrift::bench {

/// One task, with the time that it really runs.
struct work_task {
  microseconds time{0};
  microseconds declared{0};
};

/// One job.
struct work_job {
  instant arrives;
  uint32_t data_centre = 0;
  uint32_t team = 0;
  uint32_t contract = 0;
  milliseconds deadline{0};
  bool poison = false;
  std::vector<work_task> tasks;
  /// Response time on an empty installation whose slots are all its own.
  microseconds ideal{0};
};

/// When the first job comes; before that the entries find each other.
inline constexpr seconds kWarmUp{15};

/// Draws all jobs of a run in order of arrival.
std::vector<work_job> DrawJobs(const deployment& site,
                               const load_options& options);

/// Counts the slots of a deployment.
uint32_t CountSlots(const deployment& site);

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_POLICY_WORKLOAD_H_
