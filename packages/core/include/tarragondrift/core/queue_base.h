// The queued tasks of one entry: by upstream, by team, and by job.
#ifndef TARRAGONDRIFT_CORE_QUEUE_BASE_H_
#define TARRAGONDRIFT_CORE_QUEUE_BASE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "tarragondrift/core/job_base.h"
#include "tarragondrift/core/pool.h"
#include "tarragondrift/core/quota_base.h"
#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

struct group_tag;
using group_id = typed_id<group_tag>;

/// A queued task, with the data for its order and placement. `deadline` is
/// carried along; no order depends on it.
struct queued_task {
  task_ref task;
  upstream_id upstream;
  team_id team;
  contract_id contract;
  std::chrono::microseconds declared{0};
  instant enqueued;
  instant deadline;
  /// Set by the dispatcher when the task is placed.
  std::chrono::microseconds estimated{0};
};

/// The order in which queued tasks start.
enum class queue_order : uint8_t {
  /// Teams by weight; within a team, jobs with little remaining work first,
  /// and with a priority that grows with the job's age.
  kFairSmallFirst,
  /// As kFairSmallFirst without teams.
  kSmallFirst,
  /// Jobs in order of arrival.
  kFifo,
};

/// One task of a group. Kept small, since there may be many.
struct waiting_task {
  /// Position in job_request::tasks.
  uint32_t number = 0;
  uint32_t declared_us = 0;
};

/// The queued tasks of one job for one upstream.
struct task_group {
  job_id job;
  upstream_id upstream;
  team_id team;
  contract_id contract;
  instant enqueued;
  instant deadline;
  /// Sorted by declared running time, shortest first. Tasks are taken from the
  /// back, since the longest tasks decide when the job ends.
  std::vector<waiting_task> tasks;
  /// Sum of the estimated running times of `tasks`.
  std::chrono::microseconds work{0};
  /// Estimated running time of the longest task when the group was added.
  std::chrono::microseconds longest{0};
  /// Time that the group would take alone on the upstream's slots; the target
  /// response time is a multiple of it.
  std::chrono::microseconds ideal{0};
  /// Ratio of estimated to declared running time of the longest task.
  double scale = 1;
  /// Position among the groups of the team; see group_place. The time by which
  /// the next task has to start for the job to meet its target response time;
  /// for kFifo, the time of arrival.
  int64_t key = 0;
};

/// A group's position among those of its team; lower keys go first.
struct group_place {
  int64_t key = 0;
  group_id group;
  auto operator<=>(const group_place&) const = default;
};

/// The queued tasks of one team for one upstream.
struct team_queue {
  /// Running time charged to the team, divided by its weight: its virtual time
  /// in the fair queue.
  double pass = 0;
  std::set<group_place> groups;
  std::chrono::microseconds work{0};
  uint32_t tasks = 0;
  /// Whether the team is in upstream_queue::order.
  bool listed = false;
};

/// A team's position at one upstream; lower passes go first.
struct team_place {
  double pass = 0;
  uint32_t team = 0;
  auto operator<=>(const team_place&) const = default;
};

/// All queued tasks for one upstream.
struct upstream_queue {
  std::vector<team_queue> teams;
  /// Teams that have queued tasks and are within their quota.
  std::set<team_place> order;
  /// Highest pass at the front of `order` so far. The pass of a joining team is
  /// raised to at least this value, so that idle time earns no credit.
  double virtual_time = 0;
  std::chrono::microseconds work{0};
  uint32_t tasks = 0;
  /// Slots over which the work is spread; at least 1.
  uint32_t slots = 1;
  /// Sum of the weights of the teams that have queued tasks.
  double waiting_weight = 0;
};

/// Weight, quota and queue length of one team.
struct queue_team {
  double weight = 1;
  token_bucket quota;
  /// Maximum rate of task starts over all entries; 0 means no limit.
  double starts_per_s = 0;
  /// 0 means no limit.
  uint32_t max_queued_tasks = 0;
  uint32_t queued_tasks = 0;
  /// Whether the quota is used up; the team is then in no upstream_queue::order
  /// until the next refill.
  bool out_of_tokens = false;
};

/// All queued tasks of one entry.
struct task_queue {
  queue_order order = queue_order::kFairSmallFirst;
  /// Target response time of a job, as a multiple of the time that it would
  /// take alone.
  double stretch = 2.0;
  /// Teams whose pass (running time divided by the weight) is at most `slack`
  /// above the lowest pass compete by the key of their first job. Applies under
  /// light load only, while the queued work is less than `light_load_per_slot`
  /// for each slot; otherwise 0 is used.
  std::chrono::microseconds slack{0};
  std::chrono::microseconds light_load_per_slot{3'000'000};
  pool<task_group, group_id> groups;
  std::vector<upstream_queue> upstreams;
  std::vector<queue_team> teams;
  /// The groups of each job that has queued tasks.
  std::unordered_map<job_id, std::vector<group_id>, typed_id_hash> jobs;
  size_t tasks = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_QUEUE_BASE_H_
