// Commands on workers: control, leases, orders and replies to orders.
#ifndef TARRAGONDRIFT_FLEET_WORKER_CMD_H_
#define TARRAGONDRIFT_FLEET_WORKER_CMD_H_

#include <string>
#include <vector>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Adds a worker from the platform's worker list or updates its listing.
void UpdateWorkerListing(engine& state, const worker_listing& listing,
                         instant now);

/// Handles a row in a worker's place that names no worker. The worker gets no
/// starts until it is listed again; its runs go on.
void DistrustWorkerListing(engine& state, const std::string& id, instant now);

/// Handles the removal of a worker from the platform's worker list.
void RemoveWorkerListing(engine& state, const std::string& id, instant now);

/// Sends an order to start a task at a worker.
void SendStart(engine& state, worker& destination, part_id owner, uint32_t task,
               instant now);

/// Sends an order to stop a run; does nothing if the run has ended.
void SendStop(engine& state, worker& destination, const run_name& name,
              instant now);

/// Stops a run whose part has ended, so that its job may be submitted again: if
/// its stop orders stay without effect, the worker's lease ends in time.
void StopForGood(engine& state, worker& destination, const run_name& name,
                 instant now);

/// Handles the reply to a start order.
/// @param clock_ms the worker's clock, 0 if not reported.
void OnStartReply(engine& state, const std::string& id, const run_name& name,
                  start_outcome outcome, int64_t clock_ms, instant now);

/// Handles the reply to a stop order.
void OnStopReply(engine& state, const std::string& id, const run_name& name,
                 stop_outcome outcome, int64_t clock_ms, instant now);

/// Handles the reply to a poll.
void OnPollReply(engine& state, const std::string& id, uint64_t number,
                 const poll_reply& reply, int64_t clock_ms, instant now);

/// Acquires and releases workers so that each is controlled by the entry chosen
/// for it among the live entries.
void ControlWorkers(engine& state, instant now);

/// Handles unacknowledged stop orders, expired leases and stalled runs, sends
/// polls that are due, and removes workers that stay off the platform's list.
void TickWorkers(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_WORKER_CMD_H_
