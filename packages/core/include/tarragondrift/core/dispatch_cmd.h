// Commands on a dispatcher: queue tasks, place them, release slots.
#ifndef TARRAGONDRIFT_CORE_DISPATCH_CMD_H_
#define TARRAGONDRIFT_CORE_DISPATCH_CMD_H_

#include <chrono>
#include <optional>
#include <span>
#include <string>

#include "tarragondrift/core/dispatch_base.h"

namespace tarragondrift {

/// Makes an empty dispatcher.
dispatcher MakeDispatcher(const dispatch_options& options);

/// Takes over teams, weights, quotas and upstreams of a new configuration.
void ApplyConfig(dispatcher& state, const config_document& config);

/// Tells whether a job's tasks can be taken now, before any is queued.
/// @return kOk, or the kNotRun code with which to refuse.
result_code TestAdmission(const dispatcher& state, const job_request& request,
                          instant now);

/// Queues the tasks of one job; all have the same job, team and contract.
void EnqueueJob(dispatcher& state, std::span<const queued_task> tasks,
                instant now);

/// Drops what is still queued of a job, in constant time.
void DropJob(dispatcher& state, job_id job);

/// Puts a task that was refused before its first byte back to the front.
void RequeueTask(dispatcher& state, const queued_task& task, instant now);

/// Decides the next start, and takes the slot that it uses.
/// @return nothing when no waiting task has a free slot.
std::optional<placement> PlaceNext(dispatcher& state, instant now);

/// Gives back the slot of an attempt and learns from how it ended.
void ReleaseSlot(dispatcher& state, const placement& placed,
                 const attempt_result& ended, instant now);

/// Adds an instance or updates its share; keeps what runs there.
instance_id SetInstance(dispatcher& state, const upstream_instance& instance);

/// Marks an instance as leaving: nothing new goes there.
void MarkLeaving(dispatcher& state, instance_id id, instant now);

/// Forgets an instance once nothing of this entry runs there.
void RemoveInstance(dispatcher& state, instance_id id);

/// Finds an instance by its address.
/// @return an invalid id when there is none.
instance_id FindInstance(const dispatcher& state, const std::string& address);

/// Does what time brings: ageing, probing, quotas.
void TickDispatcher(dispatcher& state, instant now);

/// Counts the waiting tasks.
size_t QueuedTasks(const dispatcher& state);

/// Counts the waiting tasks of one upstream.
size_t QueuedTasks(const dispatcher& state, upstream_id upstream);

/// Counts the free slots of one upstream that this entry may use now.
uint32_t FreeSlots(const dispatcher& state, upstream_id upstream);

/// Counts the slots that one upstream's waiting tasks lack to be in time: those
/// that have to start before so many own slots come free.
uint32_t LoanDemand(const dispatcher& state, upstream_id upstream, instant now);

/// Tells how long a refused job should wait before it is sent again.
std::chrono::milliseconds RetryAfter(const dispatcher& state,
                                     const job_request& request, instant now);

/// Asks whether an attempt may be repeated; only where its contract allows it.
/// @return false when the budget of repeated attempts is used up.
bool TakeRetry(dispatcher& state);

/// Sets the number of live entries that share the teams' ceilings.
void SetEntryCount(dispatcher& state, uint32_t entries, instant now);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_DISPATCH_CMD_H_
