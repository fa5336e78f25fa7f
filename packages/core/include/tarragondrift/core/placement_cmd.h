// Which instance gets the next task of an upstream.
#ifndef TARRAGONDRIFT_CORE_PLACEMENT_CMD_H_
#define TARRAGONDRIFT_CORE_PLACEMENT_CMD_H_

#include <chrono>

#include "tarragondrift/core/dispatch_base.h"

namespace tarragondrift {

/// Gives the instances of an upstream, made when they are not there yet.
open_instances& OpenOf(dispatcher& state, upstream_id upstream);

/// Brings the lists of open instances up to date after a change of one.
void RefreshInstance(dispatcher& state, instance_id id);

/// Takes an instance that is about to be erased out of the lists.
void ForgetInstance(dispatcher& state, instance_id id);

/// Chooses the instance for a task that is expected to run for `estimated`.
/// @return an invalid id when it is better to wait for another slot.
instance_id ChooseInstance(dispatcher& state, upstream_id upstream,
                           std::chrono::microseconds estimated);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_PLACEMENT_CMD_H_
