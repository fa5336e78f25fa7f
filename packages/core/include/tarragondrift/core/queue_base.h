// What waits at one entry: for each upstream its teams, for each team the
// groups of tasks of its jobs.
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

/// A task that waits, with all that its order depends on.
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

/// In which order waiting tasks start.
enum class queue_order : uint8_t {
  /// Teams by weight; within a team, jobs with little work left first, and
  /// older ones the more the longer they wait.
  kFairSmallFirst,
  /// As kFairSmallFirst without teams.
  kSmallFirst,
  /// Jobs as they came.
  kFifo,
};

/// One task of a group; small, as there are many.
struct waiting_task {
  /// Position in job_request::tasks.
  uint32_t number = 0;
  uint32_t declared_us = 0;
};

/// The waiting tasks of one job for one upstream.
struct task_group {
  job_id job;
  upstream_id upstream;
  team_id team;
  contract_id contract;
  instant enqueued;
  instant deadline;
  /// Shortest first; tasks are taken from the back, as the longest decide when
  /// the job ends.
  std::vector<waiting_task> tasks;
  /// Estimated running time of all that waits here.
  std::chrono::microseconds work{0};
  /// Estimated running time of the longest task when it came.
  std::chrono::microseconds longest{0};
  /// What the job would take alone; its target is a multiple of that.
  std::chrono::microseconds ideal{0};
  /// Estimated over declared running time of the longest task.
  double scale = 1;
  int64_t key = 0;
};

/// A group's place among those of its team; lower keys go first.
struct group_place {
  int64_t key = 0;
  group_id group;
  auto operator<=>(const group_place&) const = default;
};

/// What one team waits for at one upstream.
struct team_queue {
  /// Running time given to the team, divided by its weight.
  double pass = 0;
  std::set<group_place> groups;
  std::chrono::microseconds work{0};
  uint32_t tasks = 0;
  /// Whether it is in upstream_queue::order.
  bool listed = false;
};

/// A team's place at one upstream; lower passes go first.
struct team_place {
  double pass = 0;
  uint32_t team = 0;
  auto operator<=>(const team_place&) const = default;
};

/// All that waits for one upstream.
struct upstream_queue {
  std::vector<team_queue> teams;
  /// Teams that have something waiting and are within their quota.
  std::set<team_place> order;
  double virtual_time = 0;
  std::chrono::microseconds work{0};
  uint32_t tasks = 0;
  /// Slots over which the work is spread.
  uint32_t slots = 1;
  /// Sum of the weights of the teams that wait.
  double waiting_weight = 0;
};

/// A team as the queue sees it.
struct queue_team {
  double weight = 1;
  token_bucket quota;
  /// Ceiling over all entries; 0 is none.
  double starts_per_s = 0;
  uint32_t max_queued_tasks = 0;
  uint32_t queued_tasks = 0;
  /// Out of tokens: in no upstream's order until the next refill.
  bool out_of_tokens = false;
};

/// All that waits at one entry.
struct task_queue {
  queue_order order = queue_order::kFairSmallFirst;
  /// A job's target, as a multiple of the time that it would take alone.
  double stretch = 2.0;
  /// Running time by which a team may be ahead of the others, divided by its
  /// weight, before its jobs have to wait for theirs; applies while what waits
  /// is less than `light_load_per_slot` for each slot.
  std::chrono::microseconds slack{0};
  std::chrono::microseconds light_load_per_slot{3'000'000};
  pool<task_group, group_id> groups;
  std::vector<upstream_queue> upstreams;
  std::vector<queue_team> teams;
  std::unordered_map<job_id, std::vector<group_id>, typed_id_hash> jobs;
  size_t tasks = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_QUEUE_BASE_H_
