// The order of the steps within a part. Every function takes time linear in the
// tasks and dependencies that it concerns.
#ifndef TARRAGONDRIFT_FLEET_STEP_CMD_H_
#define TARRAGONDRIFT_FLEET_STEP_CMD_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Derives the progress of the steps of a part, none of whose tasks is done,
/// from its job and its tasks, which are in the order of their steps.
void InitSteps(const engine& state, part& owner);

/// Returns the expected running time of the longest chain of steps that begins
/// with this one.
std::chrono::milliseconds ExpectedRemainingTime(const engine& state,
                                                const part& owner,
                                                uint32_t step);

/// Changes the phase of a task other than to kDone.
void SetTaskPhase(part& owner, task& one, task_phase phase);

/// Marks a placed task as done.
/// @return the steps that no longer wait for any other.
std::vector<uint32_t> CompleteStepTask(part& owner, task& one);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_STEP_CMD_H_
