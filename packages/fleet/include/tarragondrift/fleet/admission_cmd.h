// Admission of jobs: whether a job can be served in time, and where.
#ifndef TARRAGONDRIFT_FLEET_ADMISSION_CMD_H_
#define TARRAGONDRIFT_FLEET_ADMISSION_CMD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tarragondrift/fleet/admission_share_base.h"
#include "tarragondrift/fleet/engine_base.h"
#include "tarragondrift/fleet/spread_cmd.h"

namespace tarragondrift::fleet {

/// What a refusal is based on.
enum class refusal_cause : uint8_t {
  /// A result code that says it all, or a limit on the number of jobs or tasks.
  kOther,
  /// The forecast of the load.
  kLoad,
  /// Headroom for less served jobs.
  kShare,
};

/// How a job would be served, or why it would not be.
struct job_plan {
  /// kOk if the job can be served.
  result_code refusal = result_code::kOk;
  refusal_cause cause = refusal_cause::kOther;
  /// Predicted wait of its last task.
  std::chrono::microseconds wait{0};
  /// The job is of no use if it is not started before this time.
  instant useful_until;

  instant arrived;
  /// How long its caller has waited at other entries, at least.
  std::chrono::milliseconds waited{0};
  /// By its timeout, its caller may have submitted it elsewhere before.
  bool repeated = false;
  instant objective;
  instant deadline;
  uint32_t tasks = 0;
  std::chrono::milliseconds critical_path{0};
  /// Age of the oldest load report that the plan relies on.
  std::chrono::milliseconds load_age{0};
  std::vector<job_part> parts;
  share_job size;
  share_decision share;
  /// Forecast rate of task completions at the controllers that may serve it.
  double ends_per_second = 0;
  /// Tasks of typical size that they could start now.
  uint32_t free_tasks = 0;
};

/// Plans a job that arrived at `arrived` and would be offered now. Under
/// overload it is refused unless its last task can start early enough for the
/// objective; a job whose objective has passed needs capacity that is free now.
job_plan PlanJob(const engine& state, const job_arrival& arrival,
                 instant arrived, instant now);

/// Returns the expected running time of the longest chain of dependent steps.
std::chrono::milliseconds ExpectedCriticalPath(const engine& state,
                                               const std::string& queue,
                                               const job_spec& job);

/// Returns the usable controllers that have workers of an upstream.
std::vector<spread_candidate> FindControllers(const engine& state,
                                              const std::string& upstream,
                                              instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_ADMISSION_CMD_H_
