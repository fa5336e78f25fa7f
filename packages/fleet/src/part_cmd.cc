#include "tarragondrift/fleet/part_cmd.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

#include "tarragondrift/fleet/arbiter_cmd.h"
#include "tarragondrift/fleet/crash_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/lease_cmd.h"
#include "tarragondrift/fleet/outbox_cmd.h"
#include "tarragondrift/fleet/placement_cmd.h"
#include "tarragondrift/fleet/progress_cmd.h"
#include "tarragondrift/fleet/runtime_base.h"
#include "tarragondrift/fleet/speed_cmd.h"
#include "tarragondrift/fleet/spread_cmd.h"
#include "tarragondrift/fleet/step_cmd.h"
#include "tarragondrift/fleet/witness_list_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"

namespace tarragondrift::fleet {
namespace {

using std::chrono::microseconds;

/// Weight of one task in the smoothed cpu of tasks.
constexpr double kCpuSmoothingWeight = 0.05;

queue_key MakeQueueKey(const engine& state, part_id id, uint32_t number,
                       instant now) {
  const part& owner = state.parts.Get(id);
  const instant latest =
      owner.objective -
      ExpectedRemainingTime(state, owner, owner.tasks[number].step);
  return {.late = latest < now && !HasStarted(owner) &&
                  !IsOff(state.options.without, mechanism::kLateTier),
          .latest_start = latest,
          .part = id,
          .task = number};
}

void InsertIntoQueue(engine& state, part_id id, uint32_t number, instant now) {
  const queue_key key = MakeQueueKey(state, id, number, now);
  task& queued = state.parts.Get(id).tasks[number];
  queued.late = key.late;
  queued.latest_start = key.latest_start;
  state.queue.insert(key);
}

void Enqueue(engine& state, part_id id, uint32_t number, instant now) {
  part& owner = state.parts.Get(id);
  task& queued = owner.tasks[number];
  SetTaskPhase(owner, queued, task_phase::kQueued);
  queued.alone = MustRunAlone(
      state, {.job = owner.job.id, .step = queued.step, .index = queued.index});
  InsertIntoQueue(state, id, number, now);
  state.dispatch_due = true;
}

/// Queues the tasks of a step that no longer waits for others.
void EnqueueStep(engine& state, part_id id, uint32_t step, instant now) {
  const step_progress& ready = state.parts.Get(id).steps[step];
  for (uint32_t at = 0; at < ready.tasks; ++at) {
    Enqueue(state, id, ready.first_task + at, now);
  }
}

/// Queues the tasks of the steps that wait for none.
void EnqueueFirstSteps(engine& state, part_id id, instant now) {
  const part& owner = state.parts.Get(id);
  for (uint32_t step = 0; step < owner.steps.size(); ++step) {
    if (owner.steps[step].awaited == 0) {
      EnqueueStep(state, id, step, now);
    }
  }
}

void SendResult(engine& state, const part& owner, result_code code,
                bool started, milliseconds retry_after) {
  SendTo(state, owner.origin,
         part_result{.ref = owner.ref,
                     .code = code,
                     .started = started,
                     .retry_after = retry_after});
}

/// Logs the runs that are stopped because their part is removed, and why it is.
void LogAbandonedRuns(engine& state, const part& owner, const char* cause,
                      instant now) {
  for (const task& one : owner.tasks) {
    const auto at = state.workers.find(one.worker);
    if (one.phase != task_phase::kPlaced || at == state.workers.end()) {
      continue;
    }
    const auto run = at->second.runs.find(
        {.task = {.job = owner.job.id, .step = one.step, .index = one.index},
         .run = one.run});
    if (run == at->second.runs.end()) {
      continue;
    }
    log_line line("run_abandoned");
    line.With("job", owner.job.id)
        .With("origin", static_cast<int64_t>(owner.origin))
        .With("request", static_cast<int64_t>(owner.request))
        .With("step", static_cast<int64_t>(one.step))
        .With("index", static_cast<int64_t>(one.index))
        .With("run", static_cast<int64_t>(one.run))
        .With("worker", one.worker)
        .With("cause", cause)
        .With("percent", static_cast<int64_t>(run->second.percent))
        .With(
            "ran_ms",
            std::chrono::floor<milliseconds>(now - run->second.ordered).count())
        .With("expected_ms", run->second.expected.count());
    AddLogLine(state, line);
  }
}

/// Removes a part and stops its runs.
void RemovePart(engine& state, part_id id, const char* cause, instant now) {
  LogAbandonedRuns(state, state.parts.Get(id), cause, now);
  DropQueuedTasks(state, id, 0);
  const part owner = std::move(state.parts.Get(id));
  state.part_index.erase({owner.origin, owner.ref});
  const auto [first, last] = state.parts_by_job.equal_range(owner.job.id);
  state.parts_by_job.erase(std::find_if(
      first, last, [id](const auto& entry) { return entry.second == id; }));
  state.parts.Erase(id);
  for (const task& one : owner.tasks) {
    const auto at = state.workers.find(one.worker);
    if (one.phase == task_phase::kPlaced && at != state.workers.end()) {
      StopForGood(
          state, at->second,
          {.task = {.job = owner.job.id, .step = one.step, .index = one.index},
           .run = one.run},
          now);
    }
  }
}

/// Returns the reason to refuse a part, or kOk; sets `wait` to the predicted
/// wait of its last task.
result_code CheckAdmission(const engine& state, const part& owner,
                           microseconds& wait, instant now) {
  if (state.leaving) {
    return result_code::kNotRunDraining;
  }
  if (HasUnservableStep(state, owner)) {
    return result_code::kNotRunNoInstance;
  }
  const auto loads = ReportLoad(state, now);
  const auto load = loads.find(owner.upstream);
  if (load == loads.end()) {
    return result_code::kNotRunNoInstance;
  }
  const auto slack = std::chrono::floor<microseconds>(
      owner.objective - now - ExpectedRemainingTime(state, owner, 0));
  wait = PredictWait(load->second, static_cast<uint32_t>(owner.tasks.size()),
                     slack);
  return wait > std::max(slack, microseconds{0}) &&
                 !IsOff(state.options.without, mechanism::kLoadAdmission)
             ? result_code::kNotRunOverloaded
             : result_code::kOk;
}

part MakePart(const engine& state, uint64_t origin, const part_offer& offer,
              instant sent, instant now) {
  part created{.ref = offer.ref,
               .origin = origin,
               .request = offer.request,
               .queue = offer.queue,
               .upstream = offer.upstream,
               .priority = offer.priority,
               .attempts = offer.attempts,
               .job = offer.job,
               .accepts_returns = offer.accepts_returns,
               .arrived = now,
               .objective = sent + offer.objective_left,
               .deadline = sent + offer.deadline_left};
  const bool multi_step = offer.job.steps.size() > 1;
  for (uint32_t step = 0; step < offer.job.steps.size(); ++step) {
    const uint32_t first = multi_step ? 0 : offer.first;
    const uint32_t count =
        multi_step ? offer.job.steps[step].count : offer.count;
    for (uint32_t index = first; index < first + count; ++index) {
      created.tasks.push_back({.step = step, .index = index});
    }
  }
  created.left = static_cast<uint32_t>(created.tasks.size());
  InitSteps(state, created);
  return created;
}

/// Whether this entry holds a part of the same job for another request.
bool RunsForOtherRequest(const engine& state, uint64_t origin,
                         const part& offered) {
  const auto [first, last] = state.parts_by_job.equal_range(offered.job.id);
  return std::any_of(first, last, [&](const auto& entry) {
    const part& other = state.parts.Get(entry.second);
    return other.origin != origin || other.ref.job != offered.ref.job;
  });
}

/// Whether an offer is so old that no task of it may be started: its origin may
/// have given it up, and the job may have been submitted again.
bool IsTooOld(const engine& state, uint64_t origin, instant sent, instant now) {
  return origin != state.self.incarnation &&
         sent + state.options.orphan_limit - now < ShortestLease(state);
}

std::vector<part_id> FindParts(
    const engine& state, const std::function<bool(const part&)>& matches) {
  std::vector<part_id> found;
  state.parts.ForEach([&](part_id id, const part& one) {
    if (matches(one)) {
      found.push_back(id);
    }
  });
  return found;
}

const char* DescribeRunEnd(run_end result) {
  constexpr std::array kNames = {"done", "failed", "stopped", "lapsed"};
  return kNames.at(static_cast<size_t>(result));
}

void LogRunEnd(engine& state, const worker& host, const run_name& name,
               const task_run& run, const char* result, instant now) {
  log_line line("task_end");
  line.With("job", name.task.job)
      .With("index", static_cast<int64_t>(name.task.index))
      .With("run", static_cast<int64_t>(name.run))
      .With("worker", host.listing.id)
      .With("end", result)
      .With("ran_ms",
            std::chrono::floor<milliseconds>(now - run.ordered).count());
  AddLogLine(state, line);
}

/// Marks a task as done and updates the statistics of its queue and worker.
/// @return the steps that no longer wait for others.
std::vector<uint32_t> CompleteTask(engine& state, worker& host,
                                   const task_run& run, part& owner, task& one,
                                   instant now) {
  host.health.consecutive_failures = 0;
  host.health.ejection = milliseconds{0};
  host.on_probation = false;
  const auto took = now - run.ordered;
  if (!IsOff(state.options.without, mechanism::kRuntimes)) {
    RecordRuntime(state.runtimes, owner.queue,
                  owner.job.steps[one.step].estimate, took);
  }
  if (!IsOff(state.options.without, mechanism::kSpeeds)) {
    RecordSpeed(state.speeds.classes, host, run.expected, took);
  }
  return CompleteStepTask(owner, one);
}

/// Queues a task again after a failed run, or fails its part once its attempts
/// are used up.
void HandleTaskFailure(engine& state, worker& host, part_id id, uint32_t number,
                       instant now) {
  part& owner = state.parts.Get(id);
  task& one = owner.tasks[number];
  ++state.counts.ends_failed;
  // Only the first failure of a task counts against its worker: a task that
  // fails on every worker is itself at fault.
  if (one.failed == 0) {
    RecordFailure(state, host, now);
  }
  ++one.failed;
  one.avoid = host.listing.id;
  if (one.failed >= owner.attempts) {
    EndPart(state, id, result_code::kTaskFailed, "attempts", now);
    return;
  }
  Enqueue(state, id, number, now);
}

/// Queues a task again after its run was lost or stopped, or fails its part if
/// the task crashes the workers that run it.
void RetryOrGiveUp(engine& state, const task_name& name, part_id id,
                   uint32_t number, instant now) {
  if (!IsGivenUp(state, name)) {
    Enqueue(state, id, number, now);
    return;
  }
  ++state.counts.tasks_given_up;
  log_line line("task_given_up");
  line.With("job", name.job)
      .With("step", static_cast<int64_t>(name.step))
      .With("index", static_cast<int64_t>(name.index))
      .With("crashes", static_cast<int64_t>(state.crashes.at(name).crashes));
  AddLogLine(state, line, true);
  EndPart(state, id, result_code::kTaskFailed, "crashes", now);
}

/// Moves tasks that can no longer be on time behind those that can, unless
/// their part has started.
void DemoteLateTasks(engine& state, instant now) {
  if (IsOff(state.options.without, mechanism::kLateTier)) {
    return;
  }
  std::vector<queue_key> late;
  for (const queue_key& key : state.queue) {
    if (key.late || key.latest_start >= now) {
      break;
    }
    if (!HasStarted(state.parts.Get(key.part))) {
      late.push_back(key);
    }
  }
  for (const queue_key& key : late) {
    state.queue.erase(key);
    InsertIntoQueue(state, key.part, key.task, now);
  }
}

/// Removes a run from its worker and frees its capacity.
/// @return the run, if the worker had it; its part may no longer exist.
std::optional<task_run> RemoveRun(engine& state, worker& host,
                                  const run_name& name) {
  const auto found = host.runs.find(name);
  if (found == host.runs.end()) {
    return std::nullopt;
  }
  const task_run run = found->second;
  host.used = host.used - run.need;
  host.runs.erase(found);
  state.dispatch_due = true;
  return run;
}

}  // namespace

bool HasStarted(const part& owner) {
  return owner.started || owner.begun_tasks > 0;
}

bool HasUnservableStep(const engine& state, const part& owner) {
  return std::any_of(owner.distinct_needs.begin(), owner.distinct_needs.end(),
                     [&](uint32_t step) {
                       return !CouldRun(state, owner, owner.job.steps[step]);
                     });
}

void DropQueuedTasks(engine& state, part_id id, uint32_t first) {
  const part& owner = state.parts.Get(id);
  for (uint32_t number = first; number < owner.tasks.size(); ++number) {
    const task& one = owner.tasks[number];
    if (one.phase == task_phase::kQueued) {
      state.queue.erase({.late = one.late,
                         .latest_start = one.latest_start,
                         .part = id,
                         .task = number});
    }
  }
}

void EndPart(engine& state, part_id id, result_code code, const char* cause,
             instant now) {
  const part& owner = state.parts.Get(id);
  const bool started = HasStarted(owner);
  SendResult(state, owner, code, started, state.options.min_retry_after);
  log_line line("part_ended");
  line.With("job", owner.job.id)
      .With("part", static_cast<int64_t>(owner.ref.part))
      .With("origin", static_cast<int64_t>(owner.origin))
      .With("request", static_cast<int64_t>(owner.request))
      .With("code", std::string(DescribeResultCode(code).name))
      .With("cause", cause)
      .With("started", started ? "yes" : "no")
      .With("age_ms",
            std::chrono::floor<milliseconds>(now - owner.arrived).count());
  AddLogLine(state, line);
  RemovePart(state, id, cause, now);
}

void AcceptPart(engine& state, uint64_t origin, const part_offer& offer,
                instant sent, instant now) {
  if (state.part_index.contains({origin, offer.ref})) {
    return;
  }
  part created = MakePart(state, origin, offer, sent, now);
  microseconds wait{0};
  result_code refusal = CheckAdmission(state, created, wait, now);
  if (HasGivenUpTask(state, created.job.id)) {
    refusal = result_code::kTaskFailed;
  } else if (state.cancelled.contains(created.job.id)) {
    refusal = result_code::kNotRunCancelled;
  } else if (IsSuperseded(state, created.job.id,
                          {.origin = origin, .request = offer.request}, now)) {
    refusal = result_code::kRefusedForNow;
    ++state.counts.parts_superseded;
  } else if (RunsForOtherRequest(state, origin, created)) {
    refusal = result_code::kRefusedForNow;
  } else if (IsTooOld(state, origin, sent, now)) {
    refusal = result_code::kRefusedForNow;
    ++state.counts.offers_too_old;
  }
  if (refusal != result_code::kOk) {
    const milliseconds retry = RetryDelay(state.options, wait);
    SendResult(state, created, refusal, false, retry);
    log_line line("part_refused");
    line.With("job", created.job.id)
        .With("part", static_cast<int64_t>(created.ref.part))
        .With("origin", static_cast<int64_t>(origin))
        .With("code", std::string(DescribeResultCode(refusal).name))
        .With("tasks", static_cast<int64_t>(created.tasks.size()))
        .With("wait_us", wait.count())
        .With("offer_age_ms",
              std::chrono::floor<milliseconds>(now - sent).count())
        .With("queued", static_cast<int64_t>(state.queue.size()));
    AddLogLine(state, line);
    return;
  }
  const part_id id = state.parts.Insert(std::move(created));
  state.part_index[{origin, offer.ref}] = id;
  state.parts_by_job.emplace(offer.job.id, id);
  EnqueueFirstSteps(state, id, now);
}

void CancelPart(engine& state, uint64_t origin, const part_ref& ref,
                bool report, instant now) {
  const auto at = state.part_index.find({origin, ref});
  if (at == state.part_index.end()) {
    return;
  }
  const part_id id = at->second;
  if (report) {
    EndPart(state, id, result_code::kCancelledAfterStart, "origin", now);
  } else {
    RemovePart(state, id, "origin", now);
  }
}

void CancelPartsFrom(engine& state, uint64_t origin, instant now) {
  for (const part_id id : FindParts(
           state, [origin](const part& one) { return one.origin == origin; })) {
    RemovePart(state, id, "origin_lost", now);
  }
}

void CancelPartsOfJob(engine& state, const std::string& job, instant now) {
  CancelOtherPartsOfJob(state, job, {}, "cancelled", now);
}

size_t CancelOtherPartsOfJob(engine& state, const std::string& job,
                             const job_attempt& attempt, const char* cause,
                             instant now) {
  std::vector<part_id> found;
  const auto [first, last] = state.parts_by_job.equal_range(job);
  for (auto at = first; at != last; ++at) {
    const part& one = state.parts.Get(at->second);
    if (!IsOfAttempt({.origin = one.origin, .request = one.request}, attempt)) {
      found.push_back(at->second);
    }
  }
  for (const part_id id : found) {
    EndPart(state, id, result_code::kCancelledAfterStart, cause, now);
  }
  return found.size();
}

void EndRun(engine& state, worker& host, const run_name& name, run_end result,
            instant now) {
  const std::optional<task_run> run = RemoveRun(state, host, name);
  if (!run) {
    return;
  }
  part* const owner = state.parts.Find(run->owner);
  if (owner == nullptr) {
    return;
  }
  owner->started = true;
  task& one = owner->tasks[run->task];
  if (one.phase != task_phase::kPlaced || one.run != name.run) {
    return;
  }
  LogRunEnd(state, host, name, *run, DescribeRunEnd(result), now);
  switch (result) {
    case run_end::kDone:
      ++state.counts.ends_done;
      ForgetCrashes(state, name.task);
      for (const uint32_t step :
           CompleteTask(state, host, *run, *owner, one, now)) {
        EnqueueStep(state, run->owner, step, now);
      }
      if (owner->left == 0) {
        EndPart(state, run->owner, result_code::kOk, "done", now);
      }
      return;
    case run_end::kFailed:
      HandleTaskFailure(state, host, run->owner, run->task, now);
      return;
    case run_end::kStopped:
    case run_end::kLeaseExpired:
      ++state.counts.ends_other;
      if (result == run_end::kLeaseExpired &&
          MayMissNotices(state, name.task.job, now)) {
        // Others may have taken the worker over, and run the job again.
        EndPart(state, run->owner, result_code::kOutcomeUnknown,
                "witnesses_lost", now);
        return;
      }
      one.avoid = host.listing.id;
      RetryOrGiveUp(state, name.task, run->owner, run->task, now);
      return;
  }
}

void RequeueRun(engine& state, worker& host, const run_name& name,
                instant now) {
  const std::optional<task_run> run = RemoveRun(state, host, name);
  part* const owner = run ? state.parts.Find(run->owner) : nullptr;
  if (owner == nullptr) {
    return;
  }
  task& one = owner->tasks[run->task];
  if (one.phase == task_phase::kPlaced && one.run == name.run) {
    one.avoid = host.listing.id;
    Enqueue(state, run->owner, run->task, now);
  }
}

void Dispatch(engine& state, instant now) {
  DemoteLateTasks(state, now);
  size_t examined = 0;
  size_t waiting_alone = 0;
  for (auto at = state.queue.begin();
       at != state.queue.end() && examined < state.options.placement_window;
       ++examined) {
    const queue_key key = *at;
    const part& owner = state.parts.Get(key.part);
    const step_spec& step = owner.job.steps[owner.tasks[key.task].step];
    worker* const target =
        ChooseWorker(state, owner, owner.tasks[key.task], now);
    if (target == nullptr) {
      if (owner.tasks[key.task].alone) {
        ReserveWorkers(state, owner, step, ++waiting_alone, now);
      }
      ++at;
      continue;
    }
    at = state.queue.erase(at);
    state.mean_cpu_milli +=
        (state.mean_cpu_milli == 0 ? 1.0 : kCpuSmoothingWeight) *
        (static_cast<double>(step.need.cpu_milli) - state.mean_cpu_milli);
    SendStart(state, *target, key.part, key.task, now);
  }
}

void ExpireParts(engine& state, instant now) {
  std::vector<std::pair<part_id, result_code>> ended;
  state.parts.ForEach([&](part_id id, const part& one) {
    if (now >= state.leave_by) {
      ended.emplace_back(id, HasStarted(one) ? result_code::kStoppedAfterStart
                                             : result_code::kNotRunDraining);
      return;
    }
    if (now >= one.deadline) {
      ended.emplace_back(id, result_code::kDeadlineExceeded);
      return;
    }
    // A part that was late on arrival is useful until its deadline.
    const instant useful_until =
        one.objective > one.arrived
            ? one.arrived + kMaxLatenessFactor * (one.objective - one.arrived)
            : one.deadline;
    if (!HasStarted(one) && now + ExpectedRemainingTime(state, one, 0) >=
                                std::min(useful_until, one.deadline)) {
      ended.emplace_back(id, result_code::kNotRunDeadline);
    }
  });
  for (const auto& [id, code] : ended) {
    EndPart(state, id, code, now >= state.leave_by ? "leaving" : "expired",
            now);
  }
}

}  // namespace tarragondrift::fleet
