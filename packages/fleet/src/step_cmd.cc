#include "tarragondrift/fleet/step_cmd.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>

#include "tarragondrift/fleet/runtime_base.h"

namespace tarragondrift::fleet {
namespace {

bool HasBegun(task_phase phase) {
  return phase == task_phase::kPlaced || phase == task_phase::kDone;
}

milliseconds ExpectedStepRuntime(const engine& state, const part& owner,
                                 uint32_t step) {
  return ExpectedRuntime(state.runtimes, owner.queue,
                         owner.job.steps[step].estimate);
}

/// Finds a step for each different requirement of the job's steps.
std::vector<uint32_t> FindDistinctNeeds(const job_spec& job) {
  std::set<std::tuple<uint32_t, uint32_t, uint32_t, std::string_view>> seen;
  std::vector<uint32_t> found;
  for (uint32_t number = 0; number < job.steps.size(); ++number) {
    const step_spec& step = job.steps[number];
    if (seen.emplace(step.need.cpu_milli, step.need.memory_mb, step.need.gpus,
                     step.label)
            .second) {
      found.push_back(number);
    }
  }
  return found;
}

}  // namespace

void InitSteps(const engine& state, part& owner) {
  const std::vector<step_spec>& steps = owner.job.steps;
  owner.distinct_needs = FindDistinctNeeds(owner.job);
  owner.steps.assign(steps.size(), {});
  for (uint32_t number = 0; number < owner.tasks.size(); ++number) {
    step_progress& step = owner.steps[owner.tasks[number].step];
    step.first_task = step.tasks == 0 ? number : step.first_task;
    ++step.tasks;
    ++step.left;
  }
  for (uint32_t number = 0; number < steps.size(); ++number) {
    for (const uint32_t earlier : steps[number].after) {
      if (earlier < number) {
        owner.steps[earlier].later.push_back(number);
        owner.steps[number].awaited += owner.steps[earlier].left > 0 ? 1 : 0;
      }
    }
  }
  // Steps wait for earlier ones only, so those that wait for a step come first
  // in reverse order.
  std::vector<milliseconds> remaining(steps.size());
  for (size_t number = steps.size(); number-- > 0;) {
    step_progress& step = owner.steps[number];
    for (const uint32_t later : step.later) {
      step.time_after = std::max(step.time_after, remaining[later]);
    }
    remaining[number] =
        step.time_after +
        ExpectedStepRuntime(state, owner, static_cast<uint32_t>(number));
  }
}

milliseconds ExpectedRemainingTime(const engine& state, const part& owner,
                                   uint32_t step) {
  return owner.steps[step].time_after + ExpectedStepRuntime(state, owner, step);
}

void SetTaskPhase(part& owner, task& one, task_phase phase) {
  owner.begun_tasks -= HasBegun(one.phase) ? 1 : 0;
  owner.begun_tasks += HasBegun(phase) ? 1 : 0;
  one.phase = phase;
}

std::vector<uint32_t> CompleteStepTask(part& owner, task& one) {
  SetTaskPhase(owner, one, task_phase::kDone);
  --owner.left;
  std::vector<uint32_t> ready;
  step_progress& step = owner.steps[one.step];
  if (--step.left > 0) {
    return ready;
  }
  for (const uint32_t later : step.later) {
    if (--owner.steps[later].awaited == 0) {
      ready.push_back(later);
    }
  }
  return ready;
}

}  // namespace tarragondrift::fleet
