// Commands on runs that were lost with their worker.
#ifndef TARRAGONDRIFT_FLEET_CRASH_CMD_H_
#define TARRAGONDRIFT_FLEET_CRASH_CMD_H_

#include "tarragondrift/fleet/crash_base.h"
#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Records the loss of a worker with all of its runs. Must be called while the
/// worker still has them.
void RecordWorkerLoss(engine& state, const worker& lost, loss_evidence evidence,
                      instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_CRASH_CMD_H_
