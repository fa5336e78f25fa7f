// Commands on tasks that may have crashed the workers that ran them.
//
// The load that these decisions answer: a task that crashes every worker that
// starts it. A crash also ends the other runs of the worker, and the worker is
// down for seconds. After its first crash such a task runs alone; after its
// second crash, or its third if the second may have had another cause, it is
// given up.
#ifndef TARRAGONDRIFT_FLEET_CRASH_CMD_H_
#define TARRAGONDRIFT_FLEET_CRASH_CMD_H_

#include <string>

#include "tarragondrift/fleet/crash_base.h"
#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Records the loss of a worker with all of its runs, and tells the other
/// controllers of tasks that may be at fault. Must be called while the worker
/// still has its runs.
void RecordWorkerLoss(engine& state, worker& lost, loss_evidence evidence,
                      instant now);

/// Handles another process at the address of a worker. Runs that were lost
/// before on no evidence but silence now count as lost in a crash.
void RecordWorkerRestart(engine& state, worker& lost, instant now);

/// Merges what a peer knows of a task.
void MergeCrashRecord(engine& state, const task_name& task,
                      const crash_record& known, instant now);

/// Whether the next run of a task needs a worker of its own.
bool MustRunAlone(const engine& state, const task_name& task);

/// Whether a task has crashed so many workers that it is not started again.
bool IsGivenUp(const engine& state, const task_name& task);

/// Whether any task of a job is given up.
bool HasGivenUpTask(const engine& state, const std::string& job);

/// Forgets the crashes of a task that has ended, and old crashes.
void ForgetCrashes(engine& state, const task_name& task);
void ExpireCrashRecords(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_CRASH_CMD_H_
