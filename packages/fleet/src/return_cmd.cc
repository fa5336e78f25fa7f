#include "tarragondrift/fleet/return_cmd.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/fleet/caller_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/evacuation_cmd.h"
#include "tarragondrift/fleet/outbox_cmd.h"
#include "tarragondrift/fleet/part_cmd.h"
#include "tarragondrift/fleet/placement_cmd.h"
#include "tarragondrift/fleet/responsiveness_cmd.h"
#include "tarragondrift/fleet/spread_cmd.h"

namespace tarragondrift::fleet {
namespace {

using std::chrono::microseconds;

/// The predicted wait must exceed the slack by this factor. It comes from the
/// mean rate at which runs end, so it does not shrink with the slack while the
/// next run nears its end: a part that was admitted with a wait just below its
/// slack would otherwise be returned soon afterwards.
constexpr int kMinWaitFactor = 2;

/// How many more tasks may be returned on account of each peer's load report,
/// by upstream.
using room_table = std::map<std::string, std::map<uint64_t, uint32_t>>;

/// Why tasks are returned.
struct return_reason {
  const char* cause = "";
  /// Predicted wait of the last returned task; unset if it cannot start here.
  std::optional<microseconds> wait;
  microseconds slack{0};
};

/// A decision to return the last tasks of a part.
struct planned_return {
  part_id part;
  uint32_t count = 0;
  return_reason reason;
  /// The peer whose load report the decision relies on, if any.
  std::optional<uint64_t> relies_on;
};

/// Returns half of what each peer that accepts offers could start now, since
/// other controllers have the same load report.
room_table ListRoom(const engine& state, instant now) {
  room_table rooms;
  for (const auto& [incarnation, one] : state.peers) {
    for (const auto& [upstream, load] : one.load) {
      const uint32_t queued = load.queued_within.back();
      if (load.workers > 0 && load.free_tasks > queued &&
          AcceptsOffers(state, one, now)) {
        rooms[upstream][incarnation] = (load.free_tasks - queued + 1) / 2;
      }
    }
  }
  return rooms;
}

/// Room at one peer.
struct peer_room {
  uint64_t peer = 0;
  uint32_t tasks = 0;
};

/// Returns the peer with the most room.
peer_room FindRoom(const room_table& rooms, const std::string& upstream) {
  peer_room most;
  const auto at = rooms.find(upstream);
  if (at != rooms.end()) {
    for (const auto& [incarnation, tasks] : at->second) {
      if (tasks > most.tasks) {
        most = {.peer = incarnation, .tasks = tasks};
      }
    }
  }
  return most;
}

bool MayReturnAgain(const engine& state, const part& owner, instant now) {
  return !owner.last_return ||
         now - *owner.last_return >= state.options.min_return_interval;
}

/// Whether the origin of a part would receive returned tasks soon.
bool IsOriginResponsive(const engine& state, const part& owner, instant now) {
  if (owner.origin == state.self.incarnation) {
    return true;
  }
  const auto at = state.peers.find(owner.origin);
  return at != state.peers.end() && !at->second.silent &&
         IsResponsive(state, at->second, now);
}

/// Whether workers of an upstream that are held here are out of service because
/// of an evacuation.
bool HasEvacuatedWorkers(const engine& state, const std::string& upstream) {
  return std::any_of(state.held_workers.begin(), state.held_workers.end(),
                     [&](const worker* one) {
                       return one->listing.upstream == upstream &&
                              IsEvacuated(state, one->listing.data_centre);
                     });
}

/// Returns the parts that have queued tasks, with the latest start of the first
/// of them.
std::map<part_id, instant> FindQueuedParts(const engine& state) {
  std::map<part_id, instant> found;
  for (const queue_key& key : state.queue) {
    found.try_emplace(key.part, key.latest_start);
  }
  return found;
}

/// Whether tasks with this slack can still be on time at another controller.
bool HasSlackForReturn(const engine& state, microseconds slack) {
  return slack >= state.options.min_return_slack;
}

void LogReturn(engine& state, const part& owner, uint32_t count,
               const return_reason& reason, instant now) {
  log_line line("tasks_returned");
  line.With("job", owner.job.id)
      .With("part", static_cast<int64_t>(owner.ref.part))
      .With("origin", static_cast<int64_t>(owner.origin))
      .With("count", static_cast<int64_t>(count))
      .With("kept", static_cast<int64_t>(owner.tasks.size() - count))
      .With("cause", reason.cause);
  if (reason.wait) {
    line.With("wait_us", reason.wait->count());
  }
  line.With("slack_us", reason.slack.count())
      .With("age_ms",
            std::chrono::floor<milliseconds>(now - owner.arrived).count());
  AddLogLine(state, line);
}

/// Removes the last tasks of a part, all of them queued, from the part and from
/// the queue.
void DropLastTasks(engine& state, part_id id, uint32_t count) {
  part& owner = state.parts.Get(id);
  const auto kept = static_cast<uint32_t>(owner.tasks.size() - count);
  DropQueuedTasks(state, id, kept);
  owner.tasks.resize(kept);
  owner.left -= count;
  // Only parts of single-step jobs are returned.
  owner.steps.front().tasks -= count;
  owner.steps.front().left -= count;
}

/// Returns the last tasks of a part; a part of which no task was started and
/// none would be left is refused.
void ReturnTasks(engine& state, const planned_return& planned, instant now) {
  const uint32_t count = planned.count;
  part& owner = state.parts.Get(planned.part);
  const bool no_worker = !planned.reason.wait;
  (no_worker ? state.counts.tasks_returned_no_worker
             : state.counts.tasks_returned_wait) += count;
  LogReturn(state, owner, count, planned.reason, now);
  if (planned.relies_on && owner.origin != state.self.incarnation) {
    // The tasks will probably be offered to that peer. If this entry is the
    // origin, its offer deducts them.
    DeductOfferedTasks(state, *planned.relies_on, owner.upstream, count);
  }
  if (count == owner.tasks.size()) {
    EndPart(state, planned.part,
            no_worker ? result_code::kNotRunNoInstance
                      : result_code::kNotRunOverloaded,
            "returned", now);
    return;
  }
  owner.last_return = now;
  const part_return message{
      .ref = owner.ref,
      .first = owner.tasks[owner.tasks.size() - count].index,
      .count = count};
  const uint64_t origin = owner.origin;
  DropLastTasks(state, planned.part, count);
  SendTo(state, origin, message);
  if (state.parts.Get(planned.part).left == 0) {
    EndPart(state, planned.part, result_code::kOk, "returned", now);
  }
}

/// Limits a planned return to the room at one peer, which it takes.
void TakeRoom(room_table& rooms, const std::string& upstream,
              planned_return& planned) {
  const peer_room room = FindRoom(rooms, upstream);
  planned.count = std::min(planned.count, room.tasks);
  if (planned.count > 0) {
    planned.relies_on = room.peer;
    rooms[upstream][room.peer] -= planned.count;
  }
}

/// Plans the return of tasks of a part without a worker that may run them here.
planned_return PlanUnservable(const engine& state, room_table& rooms,
                              part_id id, instant latest_start, instant now) {
  const part& owner = state.parts.Get(id);
  planned_return planned{.part = id,
                         .reason = {.cause = "no_worker",
                                    .slack = std::chrono::floor<microseconds>(
                                        latest_start - now)}};
  const uint32_t returnable =
      owner.accepts_returns ? CountReturnable(owner) : 0;
  planned.count = HasStarted(owner) ? returnable
                                    : static_cast<uint32_t>(owner.tasks.size());
  if (HasEvacuatedWorkers(state, owner.upstream)) {
    return planned;
  }
  if (!owner.accepts_returns ||
      !HasSlackForReturn(state, planned.reason.slack) ||
      !IsOriginResponsive(state, owner, now)) {
    planned.count = 0;
    return planned;
  }
  if (planned.count > FindRoom(rooms, owner.upstream).tasks) {
    planned.count = returnable;
  }
  TakeRoom(rooms, owner.upstream, planned);
  return planned;
}

/// Plans the return of the last tasks of a part, of which those from
/// `first_late` on would wait here for too long.
planned_return PlanDelayed(engine& state, room_table& rooms,
                           const queue_key& first_late, microseconds wait,
                           instant now) {
  const part& owner = state.parts.Get(first_late.part);
  planned_return planned{.part = first_late.part,
                         .reason = {.cause = "wait",
                                    .wait = wait,
                                    .slack = std::chrono::floor<microseconds>(
                                        first_late.latest_start - now)}};
  // Load reports do not say which labels the free workers have.
  if (!owner.accepts_returns || !owner.job.steps.front().label.empty() ||
      !MayReturnAgain(state, owner, now) ||
      !IsOriginResponsive(state, owner, now) ||
      FindRoom(rooms, owner.upstream).tasks == 0 ||
      ChooseWorker(state, owner, owner.tasks.back(), now) != nullptr) {
    return planned;
  }
  planned.count =
      std::min(CountReturnable(owner),
               static_cast<uint32_t>(owner.tasks.size()) - first_late.task);
  TakeRoom(rooms, owner.upstream, planned);
  return planned;
}

/// Predicts the wait of a queued task behind `ahead` others.
microseconds PredictQueuedWait(const load_table& loads,
                               const std::string& upstream, uint32_t ahead,
                               microseconds slack) {
  const auto at = loads.find(upstream);
  load_report load = at == loads.end() ? load_report{} : at->second;
  load.queued_within.fill(ahead);
  return PredictWait(load, 1, slack);
}

/// Returns the tasks that no worker is left for here.
void ReturnUnservableTasks(engine& state, room_table& rooms, instant now) {
  for (const auto& [id, latest_start] : FindQueuedParts(state)) {
    const part& owner = state.parts.Get(id);
    if (!MayReturnAgain(state, owner, now) ||
        !HasUnservableStep(state, owner)) {
      continue;
    }
    const planned_return planned =
        PlanUnservable(state, rooms, id, latest_start, now);
    if (planned.count > 0) {
      ReturnTasks(state, planned, now);
    }
  }
}

/// Plans the return of the tasks that would wait here for too long. The tasks
/// that are returned no longer delay those behind them.
std::vector<planned_return> PlanDelayedTasks(engine& state, room_table& rooms,
                                             instant now) {
  const load_table loads = ReportLoad(state, now);
  std::map<std::string, uint32_t> ahead;
  std::map<part_id, uint32_t> returned;
  std::vector<planned_return> plans;
  for (const queue_key& key : state.queue) {
    const part& owner = state.parts.Get(key.part);
    if (owner.tasks[key.task].alone) {
      // Tasks that need a worker of their own delay no others.
      continue;
    }
    uint32_t& before = ahead[owner.upstream];
    const auto slack = std::chrono::floor<microseconds>(key.latest_start - now);
    if (owner.job.steps.size() == 1 && !returned.contains(key.part) &&
        HasSlackForReturn(state, slack)) {
      const microseconds wait =
          PredictQueuedWait(loads, owner.upstream, before, slack);
      if (wait > kMinWaitFactor * slack) {
        plans.push_back(PlanDelayed(state, rooms, key, wait, now));
        returned[key.part] = plans.back().count;
      }
    }
    const auto at = returned.find(key.part);
    const uint32_t count = at == returned.end() ? 0 : at->second;
    before += key.task + count < owner.tasks.size() ? 1 : 0;
  }
  return plans;
}

}  // namespace

uint32_t CountReturnable(const part& owner) {
  if (owner.job.steps.size() != 1) {
    return 0;
  }
  const auto kept = std::find_if(
      owner.tasks.rbegin(), owner.tasks.rend(), [](const task& one) {
        return one.run > 0 || one.phase != task_phase::kQueued;
      });
  return static_cast<uint32_t>(kept - owner.tasks.rbegin());
}

void ReturnQueuedTasks(engine& state, instant now) {
  if (state.queue.empty() ||
      IsOff(state.options.without, mechanism::kReturns)) {
    return;
  }
  room_table rooms = ListRoom(state, now);
  ReturnUnservableTasks(state, rooms, now);
  if (rooms.empty()) {
    return;
  }
  for (const planned_return& one : PlanDelayedTasks(state, rooms, now)) {
    if (one.count > 0) {
      ReturnTasks(state, one, now);
    }
  }
}

}  // namespace tarragondrift::fleet
