// Commands on a dispatcher: queue tasks, place them on instances, release
// slots.
#ifndef TARRAGONDRIFT_CORE_DISPATCH_CMD_H_
#define TARRAGONDRIFT_CORE_DISPATCH_CMD_H_

#include <chrono>
#include <optional>
#include <span>
#include <string>

#include "tarragondrift/core/dispatch_base.h"

namespace tarragondrift {

dispatcher MakeDispatcher(const dispatch_options& options);

/// Applies the teams, weights, quotas and upstreams of a new configuration.
void ApplyConfig(dispatcher& state, const config_document& config);

/// Checks whether a job can be admitted, before any of its tasks is queued.
/// @return kOk, or the kNotRun code with which the job is to be refused.
result_code TestAdmission(const dispatcher& state, const job_request& request,
                          instant now);

/// Queues the tasks of one job; all must have the same job, team and contract.
void EnqueueJob(dispatcher& state, std::span<const queued_task> tasks,
                instant now);

/// Drops the queued tasks of a job; the cost does not depend on their number.
void DropJob(dispatcher& state, job_id job);

/// Queues a task again, near the front, after an instance has refused it before
/// its first byte, or after a lost outcome if it may be retried. The task keeps
/// its enqueue time.
void RequeueTask(dispatcher& state, const queued_task& task, instant now);

/// Places the next queued task on an instance and takes the slot.
/// @return std::nullopt when there is no free slot for any queued task.
std::optional<placement> PlaceNext(dispatcher& state, instant now);

/// Releases the slot of an attempt and records its result.
void ReleaseSlot(dispatcher& state, const placement& placed,
                 const attempt_result& result, instant now);

/// Adds an instance, or updates the share and rack of a known one without
/// affecting its running attempts.
instance_id SetInstance(dispatcher& state, const upstream_instance& instance);

/// Marks an instance as leaving: it gets no new attempts.
void MarkLeaving(dispatcher& state, instance_id id, instant now);

/// Removes an instance; does nothing while attempts of this entry run on it.
void RemoveInstance(dispatcher& state, instance_id id);

/// Finds an instance by its address.
/// @return an invalid id when there is no such instance.
instance_id FindInstance(const dispatcher& state, const std::string& address);

/// Refills quotas, decays the slowness of instances and begins due probes.
void TickDispatcher(dispatcher& state, instant now);

/// Returns the number of queued tasks.
size_t QueuedTasks(const dispatcher& state);

/// Returns the number of queued tasks of one upstream.
size_t QueuedTasks(const dispatcher& state, upstream_id upstream);

/// Returns the number of free slots of one upstream that this entry may use
/// now.
uint32_t FreeSlots(const dispatcher& state, upstream_id upstream);

/// Returns the number of slots to borrow for one upstream: the queued tasks
/// that would start too late on this entry's own slots.
uint32_t LoanDemand(const dispatcher& state, upstream_id upstream, instant now);

/// Returns how long a caller should wait before it submits a refused job again.
std::chrono::milliseconds RetryAfter(const dispatcher& state,
                                     const job_request& request, instant now);

/// Takes one retry from the budget. The caller has to check first that the
/// contract allows a retry.
/// @return false when the retry budget is used up.
bool TakeRetry(dispatcher& state);

/// Sets the number of live entries that share the teams' start rates.
void SetEntryCount(dispatcher& state, uint32_t entries, instant now);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_DISPATCH_CMD_H_
