// Commands on the jobs that callers submitted to this entry.
#ifndef TARRAGONDRIFT_FLEET_CALLER_CMD_H_
#define TARRAGONDRIFT_FLEET_CALLER_CMD_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Accepts a job and offers its parts to controllers, or refuses it at once. An
/// entry that has just started holds jobs until it knows of capacity.
void SubmitJob(engine& state, job_arrival arrival, instant now);

/// Accepts a job whose claim was granted, or refuses it if it has become
/// impossible.
void StartClaimedJob(engine& state, claiming_job claimed, instant now);

/// Refuses a submission that nothing was started for, as too few witnesses
/// answered.
void RefuseUnproven(engine& state, const claiming_job& waiting, instant now);

/// Answers a submission whose job belongs to another one.
void AnswerSuperseded(engine& state, const job_arrival& arrival,
                      instant arrived, const char* cause, instant now);

/// Ends a job whose claim an arbiter has refused after it was started.
void EndClaimedJob(engine& state, const std::string& job, uint64_t request,
                   instant now);

/// Ends the submissions of a job at this entry that another origin's replaced.
void EndSupersededJob(engine& state, const std::string& job, uint64_t origin,
                      instant now);

/// Accepts the held jobs that have become possible, and refuses those that are
/// of no use any more.
void RetryHeldJobs(engine& state, instant now);

/// Cancels the job of a caller that has disconnected.
void CallerLeft(engine& state, uint64_t request, instant now);

/// Cancels the job with this id on all entries.
/// @return whether the job was submitted to this entry and has no answer yet.
bool CancelJob(engine& state, const std::string& id, instant now);

/// Handles the result of a part that its controller reported.
void OnPartResult(engine& state, uint64_t controller, const part_result& result,
                  instant now);

/// Handles tasks that a controller returned: offers them to another one, or
/// fails the job if there is none. A message that does not match
/// the part's state is ignored.
void OnPartReturn(engine& state, uint64_t controller,
                  const part_return& returned, instant now);

/// Deducts tasks that were just offered, or are about to be, from the
/// controller's last load report, until its next one replaces it.
void DeductOfferedTasks(engine& state, uint64_t controller,
                        const std::string& upstream, uint32_t tasks);

/// Fails the parts at a controller that is unreachable or has begun a new
/// message stream, and so no longer accounts for them.
void FailPartsAt(engine& state, uint64_t controller, instant now);

/// Ends the jobs whose deadline has passed, and failed jobs whose controllers
/// did not report in time whether a task was started.
void ExpireJobs(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_CALLER_CMD_H_
