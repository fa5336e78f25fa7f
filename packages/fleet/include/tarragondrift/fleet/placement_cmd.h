// Answers days on which most cores are busy and workers differ in speed: which
// worker a sized task goes to.
#ifndef TARRAGONDRIFT_FLEET_PLACEMENT_CMD_H_
#define TARRAGONDRIFT_FLEET_PLACEMENT_CMD_H_

#include <chrono>
#include <string>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Running times relative to the expected ones below which a worker is fast,
/// and above which it is slow; the users' sound workers have 0.8, 1 and 1.25.
inline constexpr double kFastBelow = 0.9;
inline constexpr double kSlowAbove = 1.12;

/// Gives the slowness that a worker may have to do a task in time.
double AllowedSlowness(const runtime_estimate& guess,
                       std::chrono::microseconds objective_left,
                       std::chrono::microseconds deadline_left);

/// Guesses the running time of a part's tasks, by their progress where that is
/// known.
runtime_estimate EstimateFor(const engine& state, const part& owner,
                             const step_spec& step);

/// Tells whether a worker that is held takes new runs now.
bool AcceptsStarts(const engine& state, const worker& one, instant now);

/// Gives the room that is free at a worker.
resources FreeCapacity(const worker& one);

/// Chooses a worker near the task's data, as fast as its objective needs and
/// not faster, whose room it fills best.
/// @return nullptr when it fits nowhere now.
worker* ChooseWorker(engine& state, const part& owner, const task& placed,
                     instant now);

/// Tells whether any worker that is held could ever run the task.
bool CouldRun(const engine& state, const part& owner, const step_spec& step);

/// Reports room and backlog at the workers held here.
load_table ReportLoad(const engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_PLACEMENT_CMD_H_
