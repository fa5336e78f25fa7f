// Lists of workers that pass from entry to entry while the store is away.
// Answers a data centre that is cut off from the store while the controllers of
// its workers stop: the entries next in line do not follow the list of workers
// until they are, and would wait for the store with nobody in control.
#ifndef TARRAGONDRIFT_FLEET_WORKER_LIST_CMD_H_
#define TARRAGONDRIFT_FLEET_WORKER_LIST_CMD_H_

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Asks the other candidates for the workers that they control once the list of
/// workers has been missing for workers_request_delay. When the list is there
/// again, workers that it does not have are removed.
void UpdateWorkersRequest(engine& state, instant now);

/// Tells a peer that asked which workers this entry controls in the peer's data
/// centre, at most once in workers_request_interval.
void TellControlledWorkers(engine& state, peer& one, instant now);

/// Adds the workers of a peer, unless the list of workers is there.
void OnControlledWorkers(engine& state, const controlled_workers& told,
                         instant now);

/// Whether enough is known of the workers to take control of some.
bool KnowsWorkers(const engine& state);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_WORKER_LIST_CMD_H_
