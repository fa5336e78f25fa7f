#include "tarragondrift/fleet/part_cmd.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/placement_cmd.h"
#include "tarragondrift/fleet/runtime_base.h"
#include "tarragondrift/fleet/spread_cmd.h"
#include "tarragondrift/fleet/worker_cmd.h"

namespace tarragondrift::fleet {
namespace {

using std::chrono::microseconds;

/// An answer up to this many times the objective still has some worth.
constexpr int kLateFactor = 3;
/// Logarithm of the recent slowness from which a worker counts as turned slow;
/// sound workers stay within 0.22 but for chance.
constexpr double kTurnedSlow = 0.8;
/// Progress below this is too coarse to judge by.
constexpr uint32_t kLeastPercent = 4;
/// Slowness of the users' fastest workers, with a reserve for what is learned.
constexpr double kFastestSlowness = 0.75;
/// Weight of one task in the mean size of tasks.
constexpr double kSizeWeight = 0.05;

milliseconds Expected(const engine& state, const part& owner, uint32_t step) {
  return ExpectedRuntime(state.runtimes, owner.queue,
                         owner.job.steps[step].estimate);
}

/// Gives the expected work from the start of a step to the end of the job.
milliseconds ExpectedTail(const engine& state, const part& owner,
                          uint32_t step) {
  milliseconds longest{0};
  for (uint32_t later = step + 1; later < owner.job.steps.size(); ++later) {
    const auto& after = owner.job.steps[later].after;
    if (std::find(after.begin(), after.end(), step) != after.end()) {
      longest = std::max(longest, ExpectedTail(state, owner, later));
    }
  }
  return longest + Expected(state, owner, step);
}

/// A part counts as started once a worker may have begun a task of it.
bool HasStarted(const part& owner) {
  return owner.started ||
         std::any_of(owner.tasks.begin(), owner.tasks.end(),
                     [](const task& one) {
                       return one.phase == task_phase::kPlaced ||
                              one.phase == task_phase::kDone;
                     });
}

queue_key KeyOf(const engine& state, part_id id, uint32_t number, instant now) {
  const part& owner = state.parts.Get(id);
  const instant latest =
      owner.objective - ExpectedTail(state, owner, owner.tasks[number].step);
  return {.late = latest < now && !HasStarted(owner),
          .latest_start = latest,
          .part = id,
          .task = number};
}

void Enqueue(engine& state, part_id id, uint32_t number, instant now) {
  state.parts.Get(id).tasks[number].phase = task_phase::kQueued;
  state.queue.insert(KeyOf(state, id, number, now));
  state.dispatch_due = true;
}

/// Removes all tasks of a part from the queue.
void Unqueue(engine& state, part_id id) {
  std::erase_if(state.queue,
                [id](const queue_key& key) { return key.part == id; });
}

/// Queues the tasks of steps whose earlier steps are all done.
void EnqueueReady(engine& state, part_id id, instant now) {
  part& owner = state.parts.Get(id);
  const auto step_done = [&owner](uint32_t step) {
    return std::all_of(
        owner.tasks.begin(), owner.tasks.end(), [step](const task& one) {
          return one.step != step || one.phase == task_phase::kDone;
        });
  };
  for (uint32_t number = 0; number < owner.tasks.size(); ++number) {
    const task& one = owner.tasks[number];
    if (one.phase != task_phase::kBlocked) {
      continue;
    }
    const auto& after = owner.job.steps[one.step].after;
    if (std::all_of(after.begin(), after.end(), step_done)) {
      Enqueue(state, id, number, now);
    }
  }
}

void Report(engine& state, const part& owner, result_code code, bool started,
            milliseconds retry_after) {
  SendTo(state, owner.origin,
         part_result{.ref = owner.ref,
                     .code = code,
                     .started = started,
                     .retry_after = retry_after});
}

/// Takes a part out of the state; its runs are stopped.
void RemovePart(engine& state, part_id id, instant now) {
  Unqueue(state, id);
  const part owner = std::move(state.parts.Get(id));
  state.part_index.erase({owner.origin, owner.ref});
  state.parts.Erase(id);
  for (const task& one : owner.tasks) {
    const auto at = state.workers.find(one.worker);
    if (one.phase == task_phase::kPlaced && at != state.workers.end()) {
      SendStop(
          state, at->second,
          {.task = {.job = owner.job.id, .step = one.step, .index = one.index},
           .run = one.run},
          now);
    }
  }
}

/// Logs the runs that a part leaves behind.
void NoteRunsLeft(engine& state, const part& owner, instant now) {
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
    log_line line("run_left");
    line.With("job", owner.job.id)
        .With("index", static_cast<int64_t>(one.index))
        .With("worker", one.worker)
        .With("percent", static_cast<int64_t>(run->second.percent))
        .With(
            "ran_ms",
            std::chrono::floor<milliseconds>(now - run->second.ordered).count())
        .With("expected_ms", run->second.expected.count());
    AddLogLine(state, line);
  }
}

/// Ends a part with word to its home.
void EndPart(engine& state, part_id id, result_code code, instant now) {
  const part& owner = state.parts.Get(id);
  const bool started = HasStarted(owner);
  Report(state, owner, code, started, state.options.min_retry_after);
  log_line line("part_ended");
  line.With("job", owner.job.id)
      .With("part", static_cast<int64_t>(owner.ref.part))
      .With("home", static_cast<int64_t>(owner.origin))
      .With("code", std::string(DescribeResultCode(code).name))
      .With("started", started ? "yes" : "no")
      .With("age_ms",
            std::chrono::floor<milliseconds>(now - owner.arrived).count());
  AddLogLine(state, line);
  NoteRunsLeft(state, owner, now);
  RemovePart(state, id, now);
}

/// Tells why a part can't be taken on; kOk when it can.
result_code WhyRefuse(const engine& state, const part& owner,
                      microseconds& wait, instant now) {
  if (state.leaving) {
    return result_code::kNotRunDraining;
  }
  for (const step_spec& step : owner.job.steps) {
    if (!CouldRun(state, owner, step)) {
      return result_code::kNotRunNoInstance;
    }
  }
  const auto loads = ReportLoad(state, now);
  const auto load = loads.find(owner.upstream);
  if (load == loads.end()) {
    return result_code::kNotRunNoInstance;
  }
  const auto slack = std::chrono::floor<microseconds>(
      owner.objective - now - ExpectedTail(state, owner, 0));
  wait = PredictWait(load->second, static_cast<uint32_t>(owner.tasks.size()),
                     slack);
  return wait > std::max(slack, microseconds{0})
             ? result_code::kNotRunOverloaded
             : result_code::kOk;
}

part MakePart(uint64_t origin, const part_offer& offer, instant now) {
  part made{.ref = offer.ref,
            .origin = origin,
            .queue = offer.queue,
            .upstream = offer.upstream,
            .priority = offer.priority,
            .attempts = offer.attempts,
            .job = offer.job,
            .arrived = now,
            .objective = now + offer.objective_left,
            .deadline = now + offer.deadline_left};
  const bool whole = offer.job.steps.size() > 1;
  for (uint32_t step = 0; step < offer.job.steps.size(); ++step) {
    const uint32_t first = whole ? 0 : offer.first;
    const uint32_t count = whole ? offer.job.steps[step].count : offer.count;
    for (uint32_t index = first; index < first + count; ++index) {
      made.tasks.push_back({.step = step, .index = index});
    }
  }
  made.left = static_cast<uint32_t>(made.tasks.size());
  return made;
}

/// Tells whether tasks of the job are here for another request for it.
bool RunsForAnother(const engine& state, uint64_t origin, const part& offered) {
  bool found = false;
  state.parts.ForEach([&](part_id, const part& one) {
    found = found || (one.job.id == offered.job.id &&
                      (one.origin != origin || one.ref.job != offered.ref.job));
  });
  return found;
}

void CancelWhere(engine& state, instant now,
                 const std::function<bool(const part&)>& matches) {
  std::vector<part_id> found;
  state.parts.ForEach([&](part_id id, const part& one) {
    if (matches(one)) {
      found.push_back(id);
    }
  });
  for (const part_id id : found) {
    RemovePart(state, id, now);
  }
}

/// A worker whose runs keep going wrong gets no work for a while.
void Strike(engine& state, worker& at, instant now) {
  worker_health& health = at.health;
  ++health.consecutive_failures;
  if (health.consecutive_failures < state.options.max_consecutive_failures) {
    return;
  }
  health.ejection =
      std::clamp(health.ejection * 2, state.options.initial_ejection,
                 state.options.max_ejection);
  health.ejected_until = now + health.ejection;
  log_line line("worker_ejected");
  line.With("worker", at.listing.id)
      .With("strikes", static_cast<int64_t>(health.consecutive_failures))
      .With("for_ms", health.ejection.count());
  AddLogLine(state, line, true);
}

/// Learns a worker's speed from a run that did its task.
void RecordSpeed(worker& at, const task_run& run,
                 std::chrono::microseconds took) {
  // Running times spread by 40%; 100 of them tell speeds 0.8 and 1 apart.
  constexpr double kSteadyWeight = 0.01;
  // A few in a row show a worker that turned slow.
  constexpr double kRecentWeight = 0.15;
  const double relative =
      std::log(std::chrono::duration<double, std::milli>(took).count() /
               static_cast<double>(std::max<int64_t>(1, run.expected.count())));
  ++at.samples;
  at.log_slowness += std::max(kSteadyWeight, 1.0 / (at.samples + 1.0)) *
                     (relative - at.log_slowness);
  at.log_recent += kRecentWeight * (relative - at.log_recent);
  at.slowness =
      std::exp(at.log_recent > kTurnedSlow ? at.log_recent : at.log_slowness);
}

const char* NameOf(run_end how) {
  constexpr std::array kNames = {"done", "failed", "stopped", "lapsed"};
  return kNames.at(static_cast<size_t>(how));
}

/// Logs how a run ended.
void NoteRunEnd(engine& state, const worker& at, const run_name& name,
                const task_run& run, const char* how, instant now) {
  log_line line("task_end");
  line.With("job", name.task.job)
      .With("index", static_cast<int64_t>(name.task.index))
      .With("run", static_cast<int64_t>(name.run))
      .With("worker", at.listing.id)
      .With("how", how)
      .With("ran_ms",
            std::chrono::floor<milliseconds>(now - run.ordered).count());
  AddLogLine(state, line);
}

/// Takes note of a run that did its task.
void TaskDone(engine& state, worker& at, const task_run& run, part& owner,
              task& one, instant now) {
  at.health.consecutive_failures = 0;
  at.health.ejection = milliseconds{0};
  const auto took = now - run.ordered;
  RecordRuntime(state.runtimes, owner.queue, owner.job.steps[one.step].estimate,
                took);
  RecordSpeed(at, run, took);
  one.phase = task_phase::kDone;
  --owner.left;
}

void TaskFailed(engine& state, worker& at, part_id id, uint32_t number,
                instant now) {
  part& owner = state.parts.Get(id);
  task& one = owner.tasks[number];
  ++state.counts.ends_failed;
  // A task that fails everywhere says nothing about its later workers.
  if (one.failed == 0) {
    Strike(state, at, now);
  }
  ++one.failed;
  one.avoid = at.listing.id;
  if (one.failed >= owner.attempts) {
    EndPart(state, id, result_code::kTaskFailed, now);
    return;
  }
  Enqueue(state, id, number, now);
}

/// Puts tasks that can't be on time any more behind those that can, unless
/// their part has begun.
void DemoteLateTasks(engine& state, instant now) {
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
    state.queue.insert(KeyOf(state, key.part, key.task, now));
  }
}

/// Gives the least time that a run takes in all, by the progress told last; a
/// percentage is rounded.
std::chrono::duration<double, std::micro> LeastTotal(const task_run& run,
                                                     instant now) {
  constexpr double kPercent = 100;
  return std::chrono::duration<double, std::micro>(now - run.ordered) *
         (kPercent / (run.percent + 1.0));
}

/// Tells whether a worker that is fast enough has room for a task.
bool FasterIsFree(const engine& state, const worker& than, const part& owner,
                  const task& one, double wanted, instant now) {
  return std::any_of(
      state.workers.begin(), state.workers.end(), [&](const auto& entry) {
        const worker& other = entry.second;
        return other.slowness <= wanted && other.slowness < than.slowness &&
               other.listing.upstream == owner.upstream &&
               AcceptsStarts(state, other, now) &&
               Fits(owner.job.steps[one.step].need, FreeCapacity(other));
      });
}

void NoteLateRun(engine& state, const worker& at, const run_name& name,
                 const task_run& run, const char* outcome, instant now) {
  log_line line("run_too_slow");
  line.With("job", name.task.job)
      .With("index", static_cast<int64_t>(name.task.index))
      .With("worker", at.listing.id)
      .With("percent", static_cast<int64_t>(run.percent))
      .With("ran_ms",
            std::chrono::floor<milliseconds>(now - run.ordered).count())
      .With("expected_ms", run.expected.count())
      .With("outcome", outcome);
  AddLogLine(state, line);
}

/// Takes a run off its worker.
/// @return the run; its owner may be gone.
std::optional<task_run> TakeRun(engine& state, worker& at,
                                const run_name& name) {
  const auto found = at.runs.find(name);
  if (found == at.runs.end()) {
    return std::nullopt;
  }
  const task_run run = found->second;
  at.used = at.used - run.need;
  at.runs.erase(found);
  state.dispatch_due = true;
  return run;
}

}  // namespace

void AcceptPart(engine& state, uint64_t origin, const part_offer& offer,
                instant now) {
  if (state.part_index.contains({origin, offer.ref})) {
    return;
  }
  part made = MakePart(origin, offer, now);
  microseconds wait{0};
  result_code refusal = WhyRefuse(state, made, wait, now);
  if (state.cancelled.contains(made.job.id)) {
    refusal = result_code::kNotRunCancelled;
  } else if (RunsForAnother(state, origin, made)) {
    refusal = result_code::kRefusedForNow;
  }
  if (refusal != result_code::kOk) {
    const milliseconds retry = RetryAfter(wait, state.options.min_retry_after,
                                          state.options.max_retry_after);
    Report(state, made, refusal, false, retry);
    log_line line("part_refused");
    line.With("job", made.job.id)
        .With("part", static_cast<int64_t>(made.ref.part))
        .With("home", static_cast<int64_t>(origin))
        .With("code", std::string(DescribeResultCode(refusal).name))
        .With("tasks", static_cast<int64_t>(made.tasks.size()))
        .With("wait_us", wait.count())
        .With("queued", static_cast<int64_t>(state.queue.size()));
    AddLogLine(state, line);
    return;
  }
  const part_id id = state.parts.Insert(std::move(made));
  state.part_index[{origin, offer.ref}] = id;
  EnqueueReady(state, id, now);
}

void CancelPart(engine& state, uint64_t origin, const part_ref& ref, bool tell,
                instant now) {
  const auto at = state.part_index.find({origin, ref});
  if (at == state.part_index.end()) {
    return;
  }
  const part_id id = at->second;
  if (tell) {
    EndPart(state, id, result_code::kCancelledAfterStart, now);
  } else {
    RemovePart(state, id, now);
  }
}

void CancelPartsFrom(engine& state, uint64_t origin, instant now) {
  CancelWhere(state, now,
              [origin](const part& one) { return one.origin == origin; });
}

void CancelPartsOfJob(engine& state, const std::string& job, instant now) {
  CancelWhere(state, now,
              [&job](const part& one) { return one.job.id == job; });
}

void EndRun(engine& state, worker& at, const run_name& name, run_end how,
            instant now) {
  const std::optional<task_run> run = TakeRun(state, at, name);
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
  NoteRunEnd(state, at, name, *run, NameOf(how), now);
  switch (how) {
    case run_end::kDone:
      ++state.counts.ends_done;
      TaskDone(state, at, *run, *owner, one, now);
      if (owner->left == 0) {
        EndPart(state, run->owner, result_code::kOk, now);
      } else if (owner->job.steps.size() > 1) {
        EnqueueReady(state, run->owner, now);
      }
      return;
    case run_end::kFailed:
      TaskFailed(state, at, run->owner, run->task, now);
      return;
    case run_end::kStopped:
    case run_end::kLeaseExpired:
      ++state.counts.ends_other;
      one.avoid = at.listing.id;
      Enqueue(state, run->owner, run->task, now);
      return;
  }
}

void RequeueRun(engine& state, worker& at, const run_name& name, instant now) {
  const std::optional<task_run> run = TakeRun(state, at, name);
  part* const owner = run ? state.parts.Find(run->owner) : nullptr;
  if (owner == nullptr) {
    return;
  }
  task& one = owner->tasks[run->task];
  if (one.phase == task_phase::kPlaced && one.run == name.run) {
    one.avoid = at.listing.id;
    Enqueue(state, run->owner, run->task, now);
  }
}

void Dispatch(engine& state, instant now) {
  DemoteLateTasks(state, now);
  size_t looked_at = 0;
  for (auto at = state.queue.begin();
       at != state.queue.end() && looked_at < state.options.placement_window;
       ++looked_at) {
    const queue_key key = *at;
    const part& owner = state.parts.Get(key.part);
    const step_spec& step = owner.job.steps[owner.tasks[key.task].step];
    worker* const target =
        ChooseWorker(state, owner, owner.tasks[key.task], now);
    if (target == nullptr) {
      ++at;
      continue;
    }
    at = state.queue.erase(at);
    state.mean_cpu_milli +=
        (state.mean_cpu_milli == 0 ? 1.0 : kSizeWeight) *
        (static_cast<double>(step.need.cpu_milli) - state.mean_cpu_milli);
    SendStart(state, *target, key.part, key.task, now);
  }
}

void CheckProgress(engine& state, worker& at, instant now) {
  std::vector<run_name> late;
  for (const auto& [name, run] : at.runs) {
    const part* const owner = state.parts.Find(run.owner);
    if (owner != nullptr && run.phase == run_phase::kRunning &&
        run.percent >= kLeastPercent &&
        run.ordered + LeastTotal(run, now) > owner->deadline) {
      late.push_back(name);
    }
  }
  for (const run_name& name : late) {
    // Giving up one part may have taken others with it.
    const auto found = at.runs.find(name);
    part* const owner = found == at.runs.end()
                            ? nullptr
                            : state.parts.Find(found->second.owner);
    if (owner == nullptr) {
      continue;
    }
    const task_run& run = found->second;
    const auto work = LeastTotal(run, now) / at.slowness;
    if (owner->job.steps.size() == 1) {
      owner->observed_runtime =
          std::max(owner->observed_runtime,
                   std::chrono::duration_cast<milliseconds>(work));
    }
    const double wanted =
        std::chrono::duration<double, std::micro>(owner->deadline - now -
                                                  state.options.max_stop_time) /
        work;
    if (FasterIsFree(state, at, *owner, owner->tasks[run.task], wanted, now)) {
      NoteLateRun(state, at, name, run, "moves", now);
      owner->tasks[run.task].avoid = at.listing.id;
      SendStop(state, at, name, now);
    } else if (wanted < kFastestSlowness) {
      NoteLateRun(state, at, name, run, "given_up", now);
      EndPart(state, run.owner, result_code::kDeadlineExceeded, now);
    }
  }
}

void ExpireParts(engine& state, instant now) {
  std::vector<std::pair<part_id, result_code>> over;
  state.parts.ForEach([&](part_id id, const part& one) {
    if (now >= state.leave_by) {
      over.emplace_back(id, HasStarted(one) ? result_code::kStoppedAfterStart
                                            : result_code::kNotRunDraining);
      return;
    }
    if (now >= one.deadline) {
      over.emplace_back(id, result_code::kDeadlineExceeded);
      return;
    }
    const instant worthless =
        one.arrived + kLateFactor * (one.objective - one.arrived);
    if (!HasStarted(one) && now + ExpectedTail(state, one, 0) >=
                                std::min(worthless, one.deadline)) {
      over.emplace_back(id, result_code::kNotRunDeadline);
    }
  });
  for (const auto& [id, code] : over) {
    EndPart(state, id, code, now);
  }
}

}  // namespace tarragondrift::fleet
