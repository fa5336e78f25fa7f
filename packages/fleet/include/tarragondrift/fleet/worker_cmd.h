// Commands on workers: getting control, leases, orders and their replies.
#ifndef TARRAGONDRIFT_FLEET_WORKER_CMD_H_
#define TARRAGONDRIFT_FLEET_WORKER_CMD_H_

#include <string>
#include <vector>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Takes note of a worker in the platform's list.
void UpdateWorkerListing(engine& state, const worker_listing& listing,
                         instant now);

/// Takes note that the platform no longer lists a worker.
void RemoveWorkerListing(engine& state, const std::string& id, instant now);

/// Sends the order that starts a task at a worker.
void SendStart(engine& state, worker& at, part_id owner, uint32_t task,
               instant now);

/// Sends the order that stops a run.
void SendStop(engine& state, worker& at, const run_name& name, instant now);

/// Takes the reply to a start.
/// @param clock_ms the worker's clock, 0 when not told.
void OnStartReply(engine& state, const std::string& id, const run_name& name,
                  start_outcome outcome, int64_t clock_ms, instant now);

/// Takes the reply to a stop.
void OnStopReply(engine& state, const std::string& id, const run_name& name,
                 stop_outcome outcome, int64_t clock_ms, instant now);

/// Takes the reply to a hold.
void OnPollReply(engine& state, const std::string& id, uint64_t number,
                 const poll_reply& reply, int64_t clock_ms, instant now);

/// Gets, keeps and gives up control of workers as the live entries ask for.
void ControlWorkers(engine& state, instant now);

/// Looks after orders without an answer, leases that ran out and runs that
/// stand still.
void TickWorkers(engine& state, instant now);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_WORKER_CMD_H_
