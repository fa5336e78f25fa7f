#include "tarragondrift/core/queue_cmd.h"

#include <algorithm>
#include <cassert>

#include "tarragondrift/core/quota_cmd.h"

namespace tarragondrift {
namespace {

using std::chrono::microseconds;

/// Gives the index of the team by which the order goes.
uint32_t OrderTeam(const task_queue& queue, team_id team) {
  const bool by_team = queue.order == queue_order::kFairSmallFirst;
  return by_team && team.Valid() ? team.index : 0;
}

team_queue& TeamQueueOf(upstream_queue& upstream, uint32_t team) {
  if (team >= upstream.teams.size()) {
    upstream.teams.resize(team + 1);
  }
  return upstream.teams[team];
}

/// Gives the time that a group would take alone on the upstream's slots.
microseconds IdealTime(const task_group& group, uint32_t slots) {
  const microseconds spread = group.work / std::max<uint32_t>(slots, 1);
  return std::max(group.longest, spread);
}

/// Gives a group's key: the moment by which its next task has to start if the
/// job is to end within its target. The order among groups never changes by
/// waiting alone; a small job is urgent soon, and each grows urgent with age.
int64_t KeyOf(const task_queue& queue, const task_group& group,
              uint32_t slots) {
  const int64_t came = group.enqueued.time_since_epoch().count();
  if (queue.order == queue_order::kFifo || group.tasks.empty()) {
    return came;
  }
  const double target =
      queue.stretch * static_cast<double>(group.ideal.count());
  const double next = group.scale * group.tasks.back().declared_us;
  const double spread =
      static_cast<double>(group.work.count()) / std::max(slots, 1U);
  return came + static_cast<int64_t>(target - std::max(next, spread));
}

/// Lists a team that has something waiting, unless its quota holds it.
void ListTeam(task_queue& queue, upstream_queue& upstream, uint32_t team) {
  team_queue& waiting = upstream.teams[team];
  if (waiting.listed || waiting.groups.empty() ||
      TeamOf(queue, {team, 0}).out_of_tokens) {
    return;
  }
  waiting.pass = std::max(waiting.pass, upstream.virtual_time);
  upstream.order.insert({waiting.pass, team});
  waiting.listed = true;
}

void UnlistTeam(upstream_queue& upstream, uint32_t team) {
  team_queue& waiting = upstream.teams[team];
  if (waiting.listed) {
    upstream.order.erase({waiting.pass, team});
    waiting.listed = false;
  }
}

/// Counts tasks and work in or out of a team and its upstream.
void CountWaiting(task_queue& queue, const task_group& group, int32_t tasks,
                  microseconds work) {
  upstream_queue& upstream = QueueOf(queue, group.upstream);
  const uint32_t index = OrderTeam(queue, group.team);
  team_queue& team = TeamQueueOf(upstream, index);
  const bool waited = team.tasks > 0;
  team.tasks += tasks;
  team.work += work;
  upstream.tasks += tasks;
  upstream.work += work;
  queue.tasks += tasks;
  TeamOf(queue, group.team).queued_tasks += tasks;
  const bool waits = team.tasks > 0;
  if (waits != waited) {
    const double weight = TeamOf(queue, {index, 0}).weight;
    upstream.waiting_weight += waits ? weight : -weight;
  }
}

/// Takes an emptied or dropped group out of its team and frees it.
void EraseGroup(task_queue& queue, group_id id) {
  const task_group& group = queue.groups.Get(id);
  upstream_queue& upstream = QueueOf(queue, group.upstream);
  const uint32_t index = OrderTeam(queue, group.team);
  team_queue& team = upstream.teams[index];
  team.groups.erase({group.key, id});
  CountWaiting(queue, group, -static_cast<int32_t>(group.tasks.size()),
               -group.work);
  if (team.groups.empty()) {
    UnlistTeam(upstream, index);
  }
  queue.groups.Erase(id);
}

/// Forgets that a group belongs to a job.
void UnlinkGroup(task_queue& queue, job_id job, group_id id) {
  const auto at = queue.jobs.find(job);
  std::erase(at->second, id);
  if (at->second.empty()) {
    queue.jobs.erase(at);
  }
}

/// Gives the team whose job goes next: of those within the slack of the one
/// that is furthest behind, the one with the most urgent job. Looks at a few
/// teams only.
uint32_t FrontTeam(const task_queue& queue, const upstream_queue& waiting) {
  constexpr int kMostTeams = 8;
  const bool light_load_per_slot =
      waiting.work < waiting.slots * queue.light_load_per_slot;
  const auto slack =
      light_load_per_slot ? static_cast<double>(queue.slack.count()) : 0.0;
  const double limit = waiting.order.begin()->pass + slack;
  uint32_t best = waiting.order.begin()->team;
  int seen = 0;
  for (const team_place& place : waiting.order) {
    if (place.pass > limit || seen == kMostTeams) {
      break;
    }
    ++seen;
    const int64_t key = waiting.teams[place.team].groups.begin()->key;
    if (key < waiting.teams[best].groups.begin()->key) {
      best = place.team;
    }
  }
  return best;
}

/// Gives the group at the front of an upstream's queue.
group_id FrontGroup(const task_queue& queue, upstream_id upstream) {
  const upstream_queue& waiting = queue.upstreams[upstream.index];
  return waiting.teams[FrontTeam(queue, waiting)].groups.begin()->group;
}

/// Moves the front group to the place that its remaining work gives it.
void ReplaceFront(task_queue& queue, team_queue& team, task_group& group,
                  uint32_t slots) {
  group.key = KeyOf(queue, group, slots);
  auto place = team.groups.extract(team.groups.begin());
  place.value().key = group.key;
  team.groups.insert(team.groups.begin(), std::move(place));
}

/// Moves a team that was served to its new place among the teams.
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

/// Holds a team back at every upstream until its quota refills.
void HoldTeam(task_queue& queue, uint32_t team) {
  TeamOf(queue, {team, 0}).out_of_tokens = true;
  for (upstream_queue& upstream : queue.upstreams) {
    if (team < upstream.teams.size()) {
      UnlistTeam(upstream, team);
    }
  }
}

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

/// Puts the task that is to start first at the back.
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

/// Gives when a group's tasks have to start, taken together.
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
  constexpr int64_t kMostDeclared = 0xffffffffLL;
  group.tasks.reserve(tasks.size());
  for (const queued_task& task : tasks) {
    const int64_t declared =
        std::clamp<int64_t>(task.declared.count(), 0, kMostDeclared);
    group.tasks.push_back({task.task.number, static_cast<uint32_t>(declared)});
  }
  SortTasks(queue.order, group.tasks);
  const uint32_t longest_declared =
      std::max(1U, group.tasks.back().declared_us);
  group.scale = static_cast<double>(longest.count()) / longest_declared;
  group.key = KeyOf(queue, group, slots);
  CountWaiting(queue, group, static_cast<int32_t>(tasks.size()), work);
  upstream_queue& upstream = QueueOf(queue, group.upstream);
  const uint32_t team = OrderTeam(queue, group.team);
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
  upstream_queue& waiting = queue.upstreams[upstream.index];
  const uint32_t index = FrontTeam(queue, waiting);
  team_queue& team = waiting.teams[index];
  const group_id id = team.groups.begin()->group;
  task_group& group = queue.groups.Get(id);
  waiting.slots = std::max(slots, 1U);
  waiting.virtual_time =
      std::max(waiting.virtual_time, waiting.order.begin()->pass);

  queued_task next = MakeTask(group);
  next.estimated = estimated;
  const microseconds part = group.work / group.tasks.size();
  CountWaiting(queue, group, -1, -part);
  group.work -= part;
  group.tasks.pop_back();
  ChargeTeam(waiting, index,
             static_cast<double>(estimated.count()) /
                 TeamOf(queue, {index, 0}).weight);
  if (group.tasks.empty()) {
    UnlinkGroup(queue, group.job, id);
    EraseGroup(queue, id);
  } else {
    ReplaceFront(queue, team, group, slots);
  }
  queue_team& owner = TeamOf(queue, next.team);
  TakeToken(owner.quota);
  if (!HasToken(owner.quota)) {
    HoldTeam(queue, OrderTeam(queue, next.team));
  }
  return next;
}

std::vector<start_demand> StartDemands(const task_queue& queue,
                                       upstream_id upstream, double stretch) {
  constexpr int kMostTeams = 8;
  constexpr int kMostGroups = 4;
  const upstream_queue& waiting = queue.upstreams[upstream.index];
  std::vector<start_demand> demands;
  int teams = 0;
  for (const team_place& place : waiting.order) {
    int groups = 0;
    for (const group_place& at : waiting.teams[place.team].groups) {
      demands.push_back(DemandOf(queue.groups.Get(at.group), stretch));
      if (++groups == kMostGroups) {
        break;
      }
    }
    if (++teams == kMostTeams) {
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
  upstream_queue& waiting = QueueOf(queue, upstream);
  const uint32_t index = OrderTeam(queue, team);
  TeamQueueOf(waiting, index);
  ChargeTeam(waiting, index,
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
