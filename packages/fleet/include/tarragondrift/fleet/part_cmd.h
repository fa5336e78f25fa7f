// Commands on the parts of jobs that this entry carries out at its workers.
#ifndef TARRAGONDRIFT_FLEET_PART_CMD_H_
#define TARRAGONDRIFT_FLEET_PART_CMD_H_

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Takes a part on, or refuses it at once when it can't be on time.
void AcceptPart(engine& state, uint64_t origin, const part_offer& offer,
                instant now);

/// Drops a part's queued tasks and stops its runs.
/// @param tell whether its home gets word.
void CancelPart(engine& state, uint64_t origin, const part_ref& ref, bool tell,
                instant now);

/// Drops all parts of jobs at an entry that is gone or lost track of them.
void CancelPartsFrom(engine& state, uint64_t origin, instant now);

/// Drops all parts of a job.
void CancelPartsOfJob(engine& state, const std::string& job, instant now);

/// Takes note that a run is over; a task that is not done is queued again.
void EndRun(engine& state, worker& at, const run_name& name, run_end how,
            instant now);

/// Puts a task whose run never began back into the queue.
void RequeueRun(engine& state, worker& at, const run_name& name, instant now);

/// Starts queued tasks wherever they fit.
void Dispatch(engine& state, instant now);

/// Looks at the progress that a worker told of its runs: those that will be too
/// late there begin anew on a faster worker while it still helps, and a job
/// that no worker can finish in time any more is given up at once.
void CheckProgress(engine& state, worker& at, instant now);

/// Refuses and ends what has run out of time.
void ExpireParts(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_PART_CMD_H_
