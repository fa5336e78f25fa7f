#include "tarragondrift/core/queue_cmd.h"

#include <algorithm>
#include <cassert>

#include "tarragondrift/core/quota_cmd.h"

namespace tarragondrift {
namespace {

using std::chrono::microseconds;

/// Returns the index of the team queue that a team's tasks go to. An order that
/// ignores teams has a single one.
uint32_t TeamQueueIndex(const task_queue& queue, team_id team) {
  const bool by_team = queue.order == queue_order::kFairSmallFirst;
  return by_team && team.Valid() ? team.index : 0;
}

team_queue& TeamQueueOf(upstream_queue& upstream, uint32_t team) {
  if (team >= upstream.teams.size()) {
    upstream.teams.resize(team + 1);
  }
  return upstream.teams[team];
}

/// Returns the time that a group would take alone on the upstream's slots.
microseconds IdealTime(const task_group& group, uint32_t slots) {
  const microseconds spread = group.work / std::max<uint32_t>(slots, 1);
  return std::max(group.longest, spread);
}

/// Returns a group's key: the time by which its next task has to start for the
/// job to end within its target. Keys don't depend on the current time, so the
/// order of groups changes only when a task is taken. A small job has an early
/// key, and a job of any size goes ahead of much later ones. The key of kFifo
/// is the time of arrival.
int64_t KeyOf(const task_queue& queue, const task_group& group,
              uint32_t slots) {
  const int64_t enqueued_us = group.enqueued.time_since_epoch().count();
  if (queue.order == queue_order::kFifo || group.tasks.empty()) {
    return enqueued_us;
  }
  const double target =
      queue.stretch * static_cast<double>(group.ideal.count());
  const double next_task_us = group.scale * group.tasks.back().declared_us;
  const double spread =
      static_cast<double>(group.work.count()) / std::max(slots, 1U);
  return enqueued_us +
         static_cast<int64_t>(target - std::max(next_task_us, spread));
}

/// Adds a team to the upstream's order if it has queued tasks and tokens.
void ListTeam(task_queue& queue, upstream_queue& upstream, uint32_t team) {
  team_queue& backlog = upstream.teams[team];
  if (backlog.listed || backlog.groups.empty() ||
      TeamOf(queue, {team, 0}).out_of_tokens) {
    return;
  }
  backlog.pass = std::max(backlog.pass, upstream.virtual_time);
  upstream.order.insert({backlog.pass, team});
  backlog.listed = true;
}

/// Removes a team from the upstream's order.
void UnlistTeam(upstream_queue& upstream, uint32_t team) {
  team_queue& backlog = upstream.teams[team];
  if (backlog.listed) {
    upstream.order.erase({backlog.pass, team});
    backlog.listed = false;
  }
}

/// Adds tasks and work, which may be negative, to the totals of a team and its
/// upstream.
void AdjustTotals(task_queue& queue, const task_group& group, int32_t tasks,
                  microseconds work) {
  upstream_queue& upstream = QueueOf(queue, group.upstream);
  const uint32_t index = TeamQueueIndex(queue, group.team);
  team_queue& team = TeamQueueOf(upstream, index);
  const bool had_tasks = team.tasks > 0;
  team.tasks += tasks;
  team.work += work;
  upstream.tasks += tasks;
  upstream.work += work;
  queue.tasks += tasks;
  TeamOf(queue, group.team).queued_tasks += tasks;
  const bool has_tasks = team.tasks > 0;
  if (has_tasks != had_tasks) {
    const double weight = TeamOf(queue, {index, 0}).weight;
    upstream.waiting_weight += has_tasks ? weight : -weight;
  }
}

/// Removes an emptied or dropped group from its team and erases it.
void EraseGroup(task_queue& queue, group_id id) {
  const task_group& group = queue.groups.Get(id);
  upstream_queue& upstream = QueueOf(queue, group.upstream);
  const uint32_t index = TeamQueueIndex(queue, group.team);
  team_queue& team = upstream.teams[index];
  team.groups.erase({group.key, id});
  AdjustTotals(queue, group, -static_cast<int32_t>(group.tasks.size()),
               -group.work);
  if (team.groups.empty()) {
    UnlistTeam(upstream, index);
  }
  queue.groups.Erase(id);
}

/// Removes a group from the groups of its job.
void UnlinkGroup(task_queue& queue, job_id job, group_id id) {
  const auto at = queue.jobs.find(job);
  std::erase(at->second, id);
  if (at->second.empty()) {
    queue.jobs.erase(at);
  }
}

/// Returns the team whose job goes next: of the teams within the slack of the
/// lowest pass, the one whose first job has the lowest key. Considers at most
/// kMaxTeamsExamined teams to bound the cost.
uint32_t FrontTeam(const task_queue& queue, const upstream_queue& backlog) {
  constexpr int kMaxTeamsExamined = 8;
  const bool light_load =
      backlog.work < backlog.slots * queue.light_load_per_slot;
  const auto slack =
      light_load ? static_cast<double>(queue.slack.count()) : 0.0;
  const double limit = backlog.order.begin()->pass + slack;
  uint32_t best = backlog.order.begin()->team;
  int seen = 0;
  for (const team_place& place : backlog.order) {
    if (place.pass > limit || seen == kMaxTeamsExamined) {
      break;
    }
    ++seen;
    const int64_t key = backlog.teams[place.team].groups.begin()->key;
    if (key < backlog.teams[best].groups.begin()->key) {
      best = place.team;
    }
  }
  return best;
}

/// Returns the group at the front of an upstream's queue.
group_id FrontGroup(const task_queue& queue, upstream_id upstream) {
  const upstream_queue& backlog = queue.upstreams[upstream.index];
  return backlog.teams[FrontTeam(queue, backlog)].groups.begin()->group;
}

/// Updates the key of a team's first group after a task was taken from it.
void RekeyFrontGroup(task_queue& queue, team_queue& team, task_group& group,
                     uint32_t slots) {
  group.key = KeyOf(queue, group, slots);
  auto place = team.groups.extract(team.groups.begin());
  place.value().key = group.key;
  team.groups.insert(team.groups.begin(), std::move(place));
}

/// Adds a charge to a team's pass and updates its position in the order.
void ChargeTeam(upstream_queue& upstream, uint32_t team, double charge) {
  team_queue& served = upstream.teams[team];
  const bool listed = served.listed;
  UnlistTeam(upstream, team);
  served.pass += charge;
  if (listed) {
    upstream.order.insert({served.pass, team});
    served.listed = true;
  }
}

/// Removes a team from the order of every upstream until its quota refills.
void SuspendTeam(task_queue& queue, uint32_t team) {
  TeamOf(queue, {team, 0}).out_of_tokens = true;
  for (upstream_queue& upstream : queue.upstreams) {
    if (team < upstream.teams.size()) {
      UnlistTeam(upstream, team);
    }
  }
}

/// Returns the next task of a group.
queued_task MakeTask(const task_group& group) {
  const waiting_task& next = group.tasks.back();
  return queued_task{.task = {group.job, next.number},
                     .upstream = group.upstream,
                     .team = group.team,
                     .contract = group.contract,
                     .declared = microseconds{next.declared_us},
                     .enqueued = group.enqueued,
                     .deadline = group.deadline};
}

/// Sorts tasks so that the first one to start is at the back.
void SortTasks(queue_order order, std::vector<waiting_task>& tasks) {
  if (order == queue_order::kFifo) {
    std::reverse(tasks.begin(), tasks.end());
    return;
  }
  std::sort(tasks.begin(), tasks.end(),
            [](const waiting_task& left, const waiting_task& right) {
              return std::pair{left.declared_us, right.number} <
                     std::pair{right.declared_us, left.number};
            });
}

/// Returns the demand of a group, with one start time for all of its tasks.
start_demand DemandOf(const task_group& group, double stretch) {
  const microseconds target{
      static_cast<int64_t>(stretch * static_cast<double>(group.ideal.count()))};
  const microseconds mean = group.work / group.tasks.size();
  return {.by = group.enqueued + target - mean,
          .tasks = static_cast<uint32_t>(group.tasks.size())};
}

}  // namespace

upstream_queue& QueueOf(task_queue& queue, upstream_id upstream) {
  if (upstream.index >= queue.upstreams.size()) {
    queue.upstreams.resize(upstream.index + 1);
  }
  return queue.upstreams[upstream.index];
}

queue_team& TeamOf(task_queue& queue, team_id team) {
  const uint32_t index = team.Valid() ? team.index : 0;
  if (index >= queue.teams.size()) {
    queue.teams.resize(index + 1);
  }
  return queue.teams[index];
}

void AddGroup(task_queue& queue, std::span<const queued_task> tasks,
              microseconds work, microseconds longest, uint32_t slots) {
  const queued_task& first = tasks.front();
  task_group group{.job = first.task.job,
                   .upstream = first.upstream,
                   .team = first.team,
                   .contract = first.contract,
                   .enqueued = first.enqueued,
                   .deadline = first.deadline,
                   .work = work,
                   .longest = longest};
  group.ideal = IdealTime(group, slots);
  constexpr int64_t kMaxDeclaredUs = 0xffffffffLL;
  group.tasks.reserve(tasks.size());
  for (const queued_task& task : tasks) {
    const int64_t declared =
        std::clamp<int64_t>(task.declared.count(), 0, kMaxDeclaredUs);
    group.tasks.push_back({task.task.number, static_cast<uint32_t>(declared)});
  }
  SortTasks(queue.order, group.tasks);
  const uint32_t longest_declared =
      std::max(1U, group.tasks.back().declared_us);
  group.scale = static_cast<double>(longest.count()) / longest_declared;
  group.key = KeyOf(queue, group, slots);
  AdjustTotals(queue, group, static_cast<int32_t>(tasks.size()), work);
  upstream_queue& upstream = QueueOf(queue, group.upstream);
  const uint32_t team = TeamQueueIndex(queue, group.team);
  const job_id job = group.job;
  const int64_t key = group.key;
  const group_id id = queue.groups.Insert(std::move(group));
  upstream.slots = std::max(slots, 1U);
  upstream.teams[team].groups.insert({key, id});
  queue.jobs[job].push_back(id);
  ListTeam(queue, upstream, team);
}

void DropGroups(task_queue& queue, job_id job) {
  const auto at = queue.jobs.find(job);
  if (at == queue.jobs.end()) {
    return;
  }
  const std::vector<group_id> dropped = std::move(at->second);
  queue.jobs.erase(at);
  for (const group_id id : dropped) {
    EraseGroup(queue, id);
  }
}

bool HasWaiting(const task_queue& queue, upstream_id upstream) {
  return upstream.index < queue.upstreams.size() &&
         !queue.upstreams[upstream.index].order.empty();
}

queued_task PeekTask(const task_queue& queue, upstream_id upstream) {
  return MakeTask(queue.groups.Get(FrontGroup(queue, upstream)));
}

queued_task PopTask(task_queue& queue, upstream_id upstream,
                    microseconds estimated, uint32_t slots) {
  upstream_queue& backlog = queue.upstreams[upstream.index];
  const uint32_t index = FrontTeam(queue, backlog);
  team_queue& team = backlog.teams[index];
  const group_id id = team.groups.begin()->group;
  task_group& group = queue.groups.Get(id);
  backlog.slots = std::max(slots, 1U);
  backlog.virtual_time =
      std::max(backlog.virtual_time, backlog.order.begin()->pass);

  queued_task next = MakeTask(group);
  next.estimated = estimated;
  const microseconds mean_work = group.work / group.tasks.size();
  AdjustTotals(queue, group, -1, -mean_work);
  group.work -= mean_work;
  group.tasks.pop_back();
  ChargeTeam(backlog, index,
             static_cast<double>(estimated.count()) /
                 TeamOf(queue, {index, 0}).weight);
  if (group.tasks.empty()) {
    UnlinkGroup(queue, group.job, id);
    EraseGroup(queue, id);
  } else {
    RekeyFrontGroup(queue, team, group, slots);
  }
  queue_team& owning_team = TeamOf(queue, next.team);
  TakeToken(owning_team.quota);
  if (!HasToken(owning_team.quota)) {
    SuspendTeam(queue, TeamQueueIndex(queue, next.team));
  }
  return next;
}

std::vector<start_demand> StartDemands(const task_queue& queue,
                                       upstream_id upstream, double stretch) {
  constexpr int kMaxTeamsExamined = 8;
  constexpr int kMaxGroupsExamined = 4;
  const upstream_queue& backlog = queue.upstreams[upstream.index];
  std::vector<start_demand> demands;
  int teams = 0;
  for (const team_place& place : backlog.order) {
    int groups = 0;
    for (const group_place& at : backlog.teams[place.team].groups) {
      demands.push_back(DemandOf(queue.groups.Get(at.group), stretch));
      if (++groups == kMaxGroupsExamined) {
        break;
      }
    }
    if (++teams == kMaxTeamsExamined) {
      break;
    }
  }
  std::sort(demands.begin(), demands.end(),
            [](const start_demand& left, const start_demand& right) {
              return left.by < right.by;
            });
  return demands;
}

void CorrectCharge(task_queue& queue, upstream_id upstream, team_id team,
                   microseconds difference) {
  upstream_queue& backlog = QueueOf(queue, upstream);
  const uint32_t index = TeamQueueIndex(queue, team);
  TeamQueueOf(backlog, index);
  ChargeTeam(backlog, index,
             static_cast<double>(difference.count()) /
                 TeamOf(queue, {index, 0}).weight);
}

void RefillQuotas(task_queue& queue, instant now) {
  for (uint32_t index = 0; index < queue.teams.size(); ++index) {
    queue_team& team = queue.teams[index];
    Refill(team.quota, now);
    if (!team.out_of_tokens || !HasToken(team.quota)) {
      continue;
    }
    team.out_of_tokens = false;
    for (upstream_queue& upstream : queue.upstreams) {
      if (index < upstream.teams.size()) {
        ListTeam(queue, upstream, index);
      }
    }
  }
}

}  // namespace tarragondrift
