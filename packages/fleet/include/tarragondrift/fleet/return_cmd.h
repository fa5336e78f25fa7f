// Return of queued tasks to the origin of their job, which offers them to
// another controller. Answers the load when a controller loses workers, or
// falls behind, while others have free capacity: its queue would wait here
// until it is late.
#ifndef TARRAGONDRIFT_FLEET_RETURN_CMD_H_
#define TARRAGONDRIFT_FLEET_RETURN_CMD_H_

#include <cstdint>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Returns how many of a part's last tasks can be returned: those of a
/// single-step job that wait in the queue and were never started.
uint32_t CountReturnable(const part& owner);

/// Returns queued tasks to their origins, for one of two causes:
/// - No worker is left for them here. If workers are in evacuated data centres,
///   all are returned at once, since an evacuation lasts for minutes; else as
///   many as other controllers could start, since the workers may be back soon.
/// - Their predicted wait exceeds their slack, no worker here can start them
///   now, and other controllers could, by their last load reports.
void ReturnQueuedTasks(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_RETURN_CMD_H_
