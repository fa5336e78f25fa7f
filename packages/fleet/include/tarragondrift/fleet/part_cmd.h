// Commands on the parts of jobs that this entry runs on its workers.
#ifndef TARRAGONDRIFT_FLEET_PART_CMD_H_
#define TARRAGONDRIFT_FLEET_PART_CMD_H_

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Accepts a part, or refuses it at once if it can't be on time or its origin
/// may have given it up since.
/// @param sent when the offer was sent, at the earliest.
void AcceptPart(engine& state, uint64_t origin, const part_offer& offer,
                instant sent, instant now);

/// Drops a part's queued tasks and stops its runs.
/// @param report whether to report the result to the origin.
void CancelPart(engine& state, uint64_t origin, const part_ref& ref,
                bool report, instant now);

/// Cancels all parts whose origin is unreachable or has begun a new message
/// stream, and so no longer accounts for them.
void CancelPartsFrom(engine& state, uint64_t origin, instant now);

/// Cancels all parts of a job.
void CancelPartsOfJob(engine& state, const std::string& job, instant now);

/// Cancels the parts of a job that are not of a submission.
/// @param cause why, for the log.
/// @return how many there were.
size_t CancelOtherPartsOfJob(engine& state, const std::string& job,
                             const job_attempt& attempt, const char* cause,
                             instant now);

/// Handles the end of a run on the worker `host`; a task that is not done is
/// queued again, or fails its part once its attempts are used up.
void EndRun(engine& state, worker& host, const run_name& name, run_end result,
            instant now);

/// Returns the task of a run that was never started to the queue.
void RequeueRun(engine& state, worker& host, const run_name& name, instant now);

/// Starts queued tasks on workers that have the capacity.
void Dispatch(engine& state, instant now);

/// Whether a worker may have begun a task of the part.
bool HasStarted(const part& owner);

/// Whether the part has a step that no worker held here could run.
bool HasUnservableStep(const engine& state, const part& owner);

/// Removes a part's queued tasks from the one numbered `first` on from the
/// queue. The caller removes them, or the part, as well.
void DropQueuedTasks(engine& state, part_id id, uint32_t first);

/// Ends a part, stops its runs and reports its result to its origin.
/// @param cause why, for the log.
void EndPart(engine& state, part_id id, result_code code, const char* cause,
             instant now);

/// Refuses or fails the parts that are past their deadline or can no longer be
/// answered in time, and all parts once the drain time is over.
void ExpireParts(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_PART_CMD_H_
