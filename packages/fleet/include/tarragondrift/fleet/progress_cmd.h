// Verdicts on runs and workers by progress and by failures: runs that stand
// still, take far too long or will miss their deadline are stopped, and their
// workers get no further tasks for a while. Answers the load of a fleet of
// which a part hangs, fails or is slow while it says that it is healthy.
#ifndef TARRAGONDRIFT_FLEET_PROGRESS_CMD_H_
#define TARRAGONDRIFT_FLEET_PROGRESS_CMD_H_

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Counts a failed run, and ejects a worker with too many consecutive ones: it
/// gets no work for a time that doubles with each further failure.
void RecordFailure(engine& state, worker& host, instant now);

/// Checks the runs of a worker whose progress was reported: those that are far
/// too slow or will miss their deadline are moved to a worker that is fast
/// enough, and parts that no worker can finish in time end.
void CheckProgress(engine& state, worker& host, instant now);

/// Stops runs that stand still or take far too long, so that their tasks can
/// run elsewhere.
void StopStalledRuns(engine& state, worker& one, instant now);

/// Decides whether suspicions are believed: not while a large share of the
/// workers is under suspicion.
void CountSuspects(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_PROGRESS_CMD_H_
