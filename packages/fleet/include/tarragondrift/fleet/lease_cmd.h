// Worker leases. They bound how long runs go on without orders from an entry,
// also when the origin of a job and the controller of its worker fail together.
#ifndef TARRAGONDRIFT_FLEET_LEASE_CMD_H_
#define TARRAGONDRIFT_FLEET_LEASE_CMD_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Estimates a worker's clock at `now`, in milliseconds. The estimate may be
/// ahead, since the worker's clock may run slow.
int64_t EstimateWorkerClock(const worker& one, instant now);

/// Returns the time until which tasks of an origin may run without a message
/// from it. If the origin dies, the caller resubmits the job to any entry, so
/// the tasks must have ended by then.
instant LeaseLimit(const engine& state, uint64_t origin, instant now);

/// Returns the shortest lease with which a task is started: there must be time
/// left to renew it.
std::chrono::milliseconds ShortestLease(const engine& state);

/// Whether a task with this lease limit may start at a worker. All runs of a
/// worker share one lease, which must not already extend past this limit.
bool FitsLease(const engine& state, const worker& one, instant limit,
               instant now);

/// Computes the lease for the next order and records its latest expiry.
/// @return the expiry by the worker's clock, in milliseconds, or nothing if the
/// lease is not to be renewed, so that the worker's runs end.
std::optional<int64_t> ExtendLease(engine& state, worker& one, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_LEASE_CMD_H_
