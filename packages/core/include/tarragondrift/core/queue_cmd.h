// Commands on what waits at one entry. Each costs at most the logarithm of the
// teams and of the jobs of one team.
#ifndef TARRAGONDRIFT_CORE_QUEUE_CMD_H_
#define TARRAGONDRIFT_CORE_QUEUE_CMD_H_

#include <chrono>
#include <optional>
#include <span>
#include <vector>

#include "tarragondrift/core/queue_base.h"

namespace tarragondrift {

/// Adds tasks of one job, team and contract for one upstream.
/// @param work estimated running time of all of them
/// @param longest estimated running time of the longest
/// @param slots over which the upstream's work is spread
void AddGroup(task_queue& queue, std::span<const queued_task> tasks,
              std::chrono::microseconds work, std::chrono::microseconds longest,
              uint32_t slots);

/// Drops all that waits of a job.
void DropGroups(task_queue& queue, job_id job);

/// Tells whether anything may start at an upstream.
bool HasWaiting(const task_queue& queue, upstream_id upstream);

/// Shows the task that PopTask gives next; one must be there.
queued_task PeekTask(const task_queue& queue, upstream_id upstream);

/// Takes the next task of an upstream and charges its team for the estimate.
queued_task PopTask(task_queue& queue, upstream_id upstream,
                    std::chrono::microseconds estimated, uint32_t slots);

/// Charges a team for the difference between estimated and used time.
void CorrectCharge(task_queue& queue, upstream_id upstream, team_id team,
                   std::chrono::microseconds difference);

/// Tasks that have to start by a moment.
struct start_demand {
  instant by;
  uint32_t tasks = 0;
};

/// Lists the first groups of the first teams of an upstream, with the moments
/// by which their tasks have to start to end within `stretch` times what their
/// job would take alone; earliest first.
std::vector<start_demand> StartDemands(const task_queue& queue,
                                       upstream_id upstream, double stretch);

/// Lets teams start again whose quota has refilled.
void RefillQuotas(task_queue& queue, instant now);

/// Gives the queue of an upstream, which is made when it is not there yet.
upstream_queue& QueueOf(task_queue& queue, upstream_id upstream);

/// Gives a team, which is made when it is not there yet.
queue_team& TeamOf(task_queue& queue, team_id team);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_QUEUE_CMD_H_
