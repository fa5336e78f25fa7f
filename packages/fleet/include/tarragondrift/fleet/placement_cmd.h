// Placement: which worker a task runs on, by free capacity, worker speed and
// the time that the task has left. It matters most when few cores are free.
#ifndef TARRAGONDRIFT_FLEET_PLACEMENT_CMD_H_
#define TARRAGONDRIFT_FLEET_PLACEMENT_CMD_H_

#include <chrono>
#include <string>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Returns the maximum slowness at which a worker finishes a task in time.
double AllowedSlowness(const runtime_estimate& runtime,
                       std::chrono::microseconds objective_left,
                       std::chrono::microseconds deadline_left);

/// Estimates the running time of a part's tasks, from the progress of its runs
/// where that is known.
runtime_estimate EstimateFor(const engine& state, const part& owner,
                             const step_spec& step);

/// Reserves a worker for tasks that need one of their own and found none that
/// is empty, and extends earlier reservations.
/// @param needed how many such tasks wait.
void ReserveWorkers(engine& state, const part& owner, const step_spec& step,
                    size_t needed, instant now);

/// Whether a worker is held by this entry and can be given new runs now.
bool AcceptsStarts(const engine& state, const worker& candidate, instant now);

/// Whether that holds for a run that may have others beside it.
bool AcceptsSharedStarts(const engine& state, const worker& candidate,
                         instant now);

resources FreeCapacity(const worker& candidate);

/// Chooses a worker for a task: in the rack of its data, fast enough for its
/// objective but no faster, and with the least free cpu left over (best fit).
/// @return nullptr if no worker can start the task now.
worker* ChooseWorker(engine& state, const part& owner, const task& target,
                     instant now);

/// Whether any held worker that is not draining could run tasks of the step,
/// regardless of its current load.
bool CouldRun(const engine& state, const part& owner, const step_spec& step);

/// Returns the free capacity and backlog of the workers held here, by upstream.
load_table ReportLoad(const engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_PLACEMENT_CMD_H_
