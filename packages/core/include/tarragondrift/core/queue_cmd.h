// Commands on the queued tasks of one entry. The cost of each is at most
// logarithmic in the number of teams and in the number of jobs of one team.
#ifndef TARRAGONDRIFT_CORE_QUEUE_CMD_H_
#define TARRAGONDRIFT_CORE_QUEUE_CMD_H_

#include <chrono>
#include <optional>
#include <span>
#include <vector>

#include "tarragondrift/core/queue_base.h"

namespace tarragondrift {

/// Adds tasks of one job, team and contract for one upstream.
/// @param work sum of the estimated running times of the tasks
/// @param longest estimated running time of the longest task
/// @param slots number of slots over which the upstream's work is spread
void AddGroup(task_queue& queue, std::span<const queued_task> tasks,
              std::chrono::microseconds work, std::chrono::microseconds longest,
              uint32_t slots);

/// Drops all queued tasks of a job.
void DropGroups(task_queue& queue, job_id job);

/// Whether an upstream has a queued task that may start, that is, one of a team
/// within its quota.
bool HasWaiting(const task_queue& queue, upstream_id upstream);

/// Returns the task that PopTask would return next; HasWaiting must be true.
queued_task PeekTask(const task_queue& queue, upstream_id upstream);

/// Removes and returns the next task of an upstream, and charges its team for
/// the estimated running time.
queued_task PopTask(task_queue& queue, upstream_id upstream,
                    std::chrono::microseconds estimated, uint32_t slots);

/// Adjusts a team's charge by the difference between used and estimated running
/// time.
void CorrectCharge(task_queue& queue, upstream_id upstream, team_id team,
                   std::chrono::microseconds difference);

/// A number of tasks that have to start by a point in time.
struct start_demand {
  instant by;
  uint32_t tasks = 0;
};

/// Returns the demand of the first groups of the first teams of an upstream,
/// earliest first: the times by which their tasks have to start to end within
/// `stretch` times what their job would take alone.
std::vector<start_demand> StartDemands(const task_queue& queue,
                                       upstream_id upstream, double stretch);

/// Refills the quotas of all teams and releases the teams that were out of
/// tokens.
void RefillQuotas(task_queue& queue, instant now);

/// Returns the queue of an upstream, created if missing.
upstream_queue& QueueOf(task_queue& queue, upstream_id upstream);

/// Returns a team, created if missing.
queue_team& TeamOf(task_queue& queue, team_id team);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_QUEUE_CMD_H_
