// Commands on jobs that callers of this entry wait for.
#ifndef TARRAGONDRIFT_FLEET_CALLER_CMD_H_
#define TARRAGONDRIFT_FLEET_CALLER_CMD_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// A job as it arrives from a caller.
struct job_arrival {
  /// Names the caller's request in its answer.
  uint64_t request = 0;
  std::string queue;
  job_spec spec;
  /// How long the caller waits; 0 when it did not say.
  std::chrono::milliseconds caller_timeout{0};
};

/// Takes a job and offers its parts to controllers, or refuses it at once.
void SubmitJob(engine& state, job_arrival arrival, instant now);

/// Ends the job of a caller that no longer waits.
void CallerLeft(engine& state, uint64_t request, instant now);

/// Ends a job by its id, wherever it is.
/// @return whether a caller of this entry waits for it.
bool CancelJob(engine& state, const std::string& id, instant now);

/// Takes the end of a part from its controller.
void OnPartResult(engine& state, uint64_t controller, const part_result& result,
                  instant now);

/// Gives up the parts at a controller that is gone or lost track of them.
void FailPartsAt(engine& state, uint64_t controller, instant now);

/// Answers callers whose time is over.
void ExpireJobs(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_CALLER_CMD_H_
