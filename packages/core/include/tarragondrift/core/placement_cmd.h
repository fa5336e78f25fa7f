// Chooses the upstream instance for the next task.
#ifndef TARRAGONDRIFT_CORE_PLACEMENT_CMD_H_
#define TARRAGONDRIFT_CORE_PLACEMENT_CMD_H_

#include <chrono>

#include "tarragondrift/core/dispatch_base.h"

namespace tarragondrift {

/// Returns the instances of an upstream, created if missing.
open_instances& OpenOf(dispatcher& state, upstream_id upstream);

/// Updates the upstream's list of open instances and its slot count after a
/// change of an instance.
void RefreshInstance(dispatcher& state, instance_id id);

/// Takes an instance that is about to be erased out of its upstream's list and
/// totals.
void ForgetInstance(dispatcher& state, instance_id id);

/// Chooses the instance for a task with an estimated running time.
/// @return an invalid id when there is no free slot, or when the task would end
/// earlier by waiting for a slot of a faster instance.
instance_id ChooseInstance(dispatcher& state, upstream_id upstream,
                           std::chrono::microseconds estimated);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_PLACEMENT_CMD_H_
