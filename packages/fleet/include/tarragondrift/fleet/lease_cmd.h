// Answers the loss of several entries at once: how long a worker may go on with
// what runs there while nobody tells it more.
#ifndef TARRAGONDRIFT_FLEET_LEASE_CMD_H_
#define TARRAGONDRIFT_FLEET_LEASE_CMD_H_

#include <cstdint>
#include <optional>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Estimates a worker's clock now, in milliseconds; the worker's own may run
/// slow, so this may be ahead.
int64_t EstimateWorkerClock(const worker& one, instant now);

/// Gives the time until which tasks of a home may run without its word. The
/// caller of a home that died sends its job again, to any entry.
instant LeaseLimit(const engine& state, uint64_t origin, instant now);

/// Tells whether a task with this limit may start at a worker: the lease that
/// runs there ends before, and there is time to renew it.
bool FitsLease(const engine& state, const worker& one, instant limit,
               instant now);

/// Gives the lease to ask for and takes note of when it is over at the latest.
/// @return the worker's time in milliseconds; nothing when no lease is given,
/// so that whatever runs there ends.
std::optional<int64_t> ExtendLease(engine& state, worker& one, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_LEASE_CMD_H_
