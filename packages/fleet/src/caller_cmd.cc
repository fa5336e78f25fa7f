#include "tarragondrift/fleet/caller_cmd.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/part_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/placement_cmd.h"
#include "tarragondrift/fleet/runtime_base.h"
#include "tarragondrift/fleet/spread_cmd.h"

namespace tarragondrift::fleet {
namespace {

using std::chrono::microseconds;

/// Added to the predicted wait at another entry: the round trip to another data
/// centre, or the hop to another entry of the same one.
constexpr microseconds kRemoteDataCentrePenalty = milliseconds(4);
constexpr microseconds kRemoteEntryPenalty = milliseconds(2);
/// Maximum time that the answer to a failed job waits for its controllers to
/// report whether a task was started.
constexpr milliseconds kStartReportTimeout{100};
/// Part of the caller's timeout reserved for sending the answer.
constexpr milliseconds kAnswerMargin{20};
/// A job is refused at once if its timeout is below this share of the expected
/// running time; declared times are off by up to 40%.
constexpr double kMinTimeoutShare = 0.6;

/// Returns the expected running time of the longest chain of dependent steps.
milliseconds ExpectedCriticalPath(const engine& state, const std::string& queue,
                                  const job_spec& job) {
  std::vector<milliseconds> finish(job.steps.size());
  milliseconds longest{0};
  for (size_t step = 0; step < job.steps.size(); ++step) {
    milliseconds start{0};
    for (const uint32_t earlier : job.steps[step].after) {
      start = std::max(start, finish[earlier]);
    }
    finish[step] = start + ExpectedRuntime(state.runtimes, queue,
                                           job.steps[step].estimate);
    longest = std::max(longest, finish[step]);
  }
  return longest;
}

uint32_t CountTasks(const job_spec& job) {
  uint32_t tasks = 0;
  for (const step_spec& step : job.steps) {
    tasks += step.count;
  }
  return tasks;
}

/// Returns the usable controllers that have workers of an upstream.
std::vector<spread_candidate> FindControllers(const engine& state,
                                              const std::string& upstream,
                                              instant now) {
  std::vector<spread_candidate> found;
  if (!state.leaving) {
    const load_table own = ReportLoad(state, now);
    const auto at = own.find(upstream);
    if (at != own.end()) {
      found.push_back(
          {.controller = state.self.incarnation, .load = at->second});
    }
  }
  for (const auto& [incarnation, one] : state.peers) {
    const auto at = one.load.find(upstream);
    if (IsUsable(one) && at != one.load.end() && at->second.workers > 0) {
      const bool local = one.identity.data_centre == state.self.data_centre;
      found.push_back(
          {.controller = incarnation,
           .load = at->second,
           .penalty = local ? kRemoteEntryPenalty : kRemoteDataCentrePenalty});
    }
  }
  return found;
}

/// Returns the age of the oldest load report that the spread relied on.
milliseconds OldestLoadAge(const engine& state,
                           const std::vector<spread_candidate>& candidates,
                           instant now) {
  milliseconds oldest{0};
  for (const spread_candidate& candidate : candidates) {
    const auto at = state.peers.find(candidate.controller);
    if (candidate.assigned > 0 && at != state.peers.end()) {
      oldest = std::max(oldest, std::chrono::floor<milliseconds>(
                                    now - at->second.load_received));
    }
  }
  return oldest;
}

/// Deducts tasks that were just offered from the controller's last load report,
/// until its next one replaces it.
void DeductOfferedTasks(engine& state, uint64_t controller,
                        const std::string& upstream, uint32_t tasks) {
  const auto at = state.peers.find(controller);
  if (at == state.peers.end()) {
    return;
  }
  load_report& load = at->second.load[upstream];
  const uint32_t placed = std::min(load.free_tasks, tasks);
  load.free_tasks -= placed;
  load.free_not_slow = std::min(load.free_not_slow, load.free_tasks);
  load.free_fast = std::min(load.free_fast, load.free_tasks);
  for (uint32_t& queued : load.queued_within) {
    queued += tasks - placed;
  }
}

void Answer(engine& state, uint64_t request, result_code code,
            milliseconds retry_after) {
  ++state.counts.answers[code];
  state.out.emplace_back(caller_answer{
      .request = request, .code = code, .retry_after = retry_after});
}

void LogAnswer(engine& state, const std::string& id, const std::string& queue,
               result_code code, milliseconds age) {
  log_line line("job_answered");
  line.With("job", id)
      .With("queue", queue)
      .With("code", std::string(DescribeResultCode(code).name))
      .With("age_ms", age.count());
  AddLogLine(state, line);
}

void Refuse(engine& state, const job_arrival& arrival, result_code code,
            microseconds wait) {
  const milliseconds retry = RetryAfter(wait, state.options.min_retry_after,
                                        state.options.max_retry_after);
  log_line line("job_refused");
  line.With("job", arrival.spec.id)
      .With("queue", arrival.queue)
      .With("code", std::string(DescribeResultCode(code).name))
      .With("wait_us", wait.count())
      .With("retry_ms", retry.count());
  AddLogLine(state, line);
  Answer(state, arrival.request, code, retry);
}

void SendOffer(engine& state, uint64_t number, uint32_t part, instant now) {
  const caller_job& job = state.jobs.at(number);
  const job_part& offered = job.parts[part];
  const queue_config* const queue =
      state.config ? FindQueueByName(*state.config, job.queue) : nullptr;
  if (queue == nullptr) {
    return;
  }
  DeductOfferedTasks(state, offered.controller, queue->upstream, offered.count);
  SendTo(state, offered.controller,
         part_offer{.ref = {.job = number, .part = part},
                    .queue = job.queue,
                    .upstream = queue->upstream,
                    .priority = queue->priority,
                    .attempts = queue->attempts,
                    .job = job.spec,
                    .first = offered.first,
                    .count = offered.count,
                    .objective_left =
                        std::chrono::floor<milliseconds>(job.objective - now),
                    .deadline_left =
                        std::chrono::floor<milliseconds>(job.deadline - now)});
}

/// Sends a cancellation for every part that has not ended.
void CancelParts(engine& state, uint64_t number) {
  caller_job& job = state.jobs.at(number);
  for (uint32_t part = 0; part < job.parts.size(); ++part) {
    if (job.parts[part].phase == job_part_phase::kOffered) {
      SendTo(state, job.parts[part].controller,
             part_cancel{.ref = {.job = number, .part = part}});
    }
  }
}

void RemoveJob(engine& state, uint64_t number) {
  const auto at = state.jobs.find(number);
  const auto by_id = state.job_by_id.find(at->second.spec.id);
  if (by_id != state.job_by_id.end() && by_id->second == number) {
    state.job_by_id.erase(by_id);
  }
  state.jobs.erase(at);
}

/// Answers and removes a job, and cancels the parts that have not ended.
void EndJob(engine& state, uint64_t number, result_code code, instant now) {
  CancelParts(state, number);
  const caller_job& job = state.jobs.at(number);
  LogAnswer(state, job.spec.id, job.queue, code,
            std::chrono::floor<milliseconds>(now - job.arrived));
  Answer(state, job.request, code, job.retry_after);
  RemoveJob(state, number);
}

/// Fails a job. A "not run" code is only sent once every controller has
/// reported that it started nothing.
void FailJob(engine& state, uint64_t number, result_code failure_code,
             milliseconds retry_after, instant now) {
  caller_job& job = state.jobs.at(number);
  if (!job.failure_code) {
    job.failure_code = failure_code;
    job.failed_at = now;
    job.retry_after = retry_after;
    CancelParts(state, number);
  }
  const bool started =
      std::any_of(job.parts.begin(), job.parts.end(),
                  [](const job_part& one) { return one.started; });
  const bool unreported =
      std::any_of(job.parts.begin(), job.parts.end(), [](const job_part& one) {
        return one.phase == job_part_phase::kOffered;
      });
  if (started || !PromisesNotRun(*job.failure_code)) {
    EndJob(state, number,
           PromisesNotRun(*job.failure_code) ? result_code::kStoppedAfterStart
                                             : *job.failure_code,
           now);
  } else if (!unreported) {
    EndJob(state, number, *job.failure_code, now);
  }
}

/// Offers a refused part to the controller with the shortest predicted wait,
/// other than the one that refused it.
/// @return whether a controller can start it in time.
bool OfferElsewhere(engine& state, uint64_t number, uint32_t part,
                    instant now) {
  caller_job& job = state.jobs.at(number);
  job_part& refused = job.parts[part];
  const queue_config* const queue =
      state.config ? FindQueueByName(*state.config, job.queue) : nullptr;
  if (queue == nullptr || refused.offers >= state.options.max_offers) {
    return false;
  }
  auto candidates = FindControllers(state, queue->upstream, now);
  std::erase_if(candidates, [&refused](const spread_candidate& candidate) {
    return candidate.controller == refused.controller;
  });
  const microseconds slack =
      job.objective - now - ExpectedCriticalPath(state, job.queue, job.spec);
  const spread_candidate* best = nullptr;
  microseconds best_wait{0};
  for (const spread_candidate& candidate : candidates) {
    const microseconds wait =
        PredictWait(candidate.load, refused.count, slack) + candidate.penalty;
    if (best == nullptr || wait < best_wait) {
      best = &candidate;
      best_wait = wait;
    }
  }
  if (best == nullptr || best_wait > slack) {
    return false;
  }
  refused.controller = best->controller;
  refused.phase = job_part_phase::kOffered;
  ++refused.offers;
  SendOffer(state, number, part, now);
  return true;
}

spread_request MakeSpreadRequest(uint32_t tasks, microseconds slack,
                                 microseconds critical_path,
                                 double allowed_slowness) {
  spread_request request{.tasks = tasks, .slack = slack};
  if (allowed_slowness < 1) {
    request.not_fast_cost = std::chrono::duration_cast<microseconds>(
        critical_path * (1 - kFastBelow));
  }
  if (allowed_slowness < kSlowAbove) {
    request.slow_cost = std::chrono::duration_cast<microseconds>(
                            critical_path * (kSlowAbove - 1)) +
                        request.not_fast_cost;
  }
  return request;
}

/// Splits the tasks of a job into one part per assigned controller.
std::vector<job_part> MakeParts(
    const std::vector<spread_candidate>& candidates) {
  std::vector<job_part> parts;
  uint32_t first = 0;
  for (const spread_candidate& candidate : candidates) {
    if (candidate.assigned > 0) {
      parts.push_back({.controller = candidate.controller,
                       .first = first,
                       .count = candidate.assigned});
      first += candidate.assigned;
    }
  }
  return parts;
}

/// Assigns all tasks of a multi-step job to the controller that the spread gave
/// the most tasks.
void AssignWhole(std::vector<spread_candidate>& candidates, uint32_t tasks) {
  auto largest = std::max_element(
      candidates.begin(), candidates.end(),
      [](const spread_candidate& a, const spread_candidate& b) {
        return a.assigned < b.assigned;
      });
  for (spread_candidate& candidate : candidates) {
    candidate.assigned = 0;
  }
  largest->assigned = tasks;
}

/// Returns the timeout given by the caller, which knows best how long an answer
/// is of use to it, capped at max_caller_timeout. A caller that gave none gets
/// the queue's timeout, uncapped, or max_caller_timeout if the queue has none
/// either.
milliseconds CallerTimeout(const engine& state, const job_arrival& arrival,
                           const queue_config& queue) {
  if (arrival.caller_timeout.count() > 0) {
    return std::min(arrival.caller_timeout, state.options.max_caller_timeout);
  }
  return queue.timeout.count() > 0 ? queue.timeout
                                   : state.options.max_caller_timeout;
}

/// Attaches a repeated request to the job that is already running here. The
/// earlier request is answered with kOutcomeUnknown.
/// @return whether the job is running here.
bool AttachToRunning(engine& state, const job_arrival& arrival) {
  const auto known = state.job_by_id.find(arrival.spec.id);
  if (known == state.job_by_id.end()) {
    return false;
  }
  caller_job& job = state.jobs.at(known->second);
  Answer(state, job.request, result_code::kOutcomeUnknown, milliseconds{0});
  job.request = arrival.request;
  log_line line("job_attached");
  line.With("job", arrival.spec.id);
  AddLogLine(state, line);
  return true;
}

}  // namespace

void SubmitJob(engine& state, job_arrival arrival, instant now) {
  const queue_config* const queue =
      state.config ? FindQueueByName(*state.config, arrival.queue) : nullptr;
  if (queue == nullptr) {
    Refuse(state, arrival, result_code::kNotRunNoConfig, microseconds{0});
    return;
  }
  if (AttachToRunning(state, arrival)) {
    return;
  }
  if (state.cancelled.contains(arrival.spec.id)) {
    Refuse(state, arrival, result_code::kNotRunCancelled, microseconds{0});
    return;
  }
  const uint32_t tasks = CountTasks(arrival.spec);
  if (state.jobs.size() >= state.options.max_jobs ||
      tasks > state.options.max_tasks) {
    Refuse(state, arrival, result_code::kNotRunOverloaded, microseconds{0});
    return;
  }
  const milliseconds critical_path =
      ExpectedCriticalPath(state, arrival.queue, arrival.spec);
  const milliseconds caller_timeout = CallerTimeout(state, arrival, *queue);
  if (std::chrono::duration_cast<milliseconds>(
          critical_path * kMinTimeoutShare) > caller_timeout) {
    Refuse(state, arrival, result_code::kNotRunDeadline, microseconds{0});
    return;
  }
  const runtime_estimate runtime = EstimateRuntime(
      state.runtimes, arrival.queue, arrival.spec.steps.front().estimate);
  // The drain must cover the upper bound of the running time, which one task in
  // 40 exceeds.
  if (state.leaving &&
      now + critical_path - runtime.median + runtime.upper > state.leave_by) {
    Refuse(state, arrival, result_code::kNotRunDraining, microseconds{0});
    return;
  }
  // The answer is due by the objective; after the caller's timeout it is of no
  // use.
  const auto time_limit = std::min(
      std::chrono::duration_cast<microseconds>(critical_path * queue->stretch +
                                               queue->objective),
      std::chrono::duration_cast<microseconds>(caller_timeout - kAnswerMargin));
  const microseconds slack =
      std::max<microseconds>(time_limit - critical_path, microseconds{0});
  auto candidates = FindControllers(state, queue->upstream, now);
  if (candidates.empty()) {
    Refuse(state, arrival, result_code::kNotRunNoInstance, microseconds{0});
    return;
  }
  const microseconds wait = SpreadTasks(
      candidates,
      MakeSpreadRequest(tasks, slack, critical_path,
                        AllowedSlowness(runtime, time_limit, caller_timeout)));
  if (wait > slack) {
    Refuse(state, arrival, result_code::kNotRunOverloaded, wait);
    return;
  }
  if (arrival.spec.steps.size() > 1) {
    AssignWhole(candidates, tasks);
  }
  const uint64_t number = ++state.last_job;
  ++state.counts.jobs;
  log_line line("job_accepted");
  line.With("job", arrival.spec.id)
      .With("queue", arrival.queue)
      .With("tasks", static_cast<int64_t>(tasks))
      .With("expected_ms", critical_path.count())
      .With("deadline_ms", caller_timeout.count())
      .With("wait_us", wait.count())
      .With("load_age_ms", OldestLoadAge(state, candidates, now).count())
      .With("config", static_cast<int64_t>(state.config->version));
  state.job_by_id[arrival.spec.id] = number;
  caller_job& job = state.jobs[number];
  job = {.request = arrival.request,
         .queue = arrival.queue,
         .spec = std::move(arrival.spec),
         .arrived = now,
         .objective = now + time_limit,
         .deadline = now + caller_timeout,
         .parts = MakeParts(candidates)};
  line.With("parts", static_cast<int64_t>(job.parts.size()));
  AddLogLine(state, line);
  for (uint32_t part = 0; part < job.parts.size(); ++part) {
    SendOffer(state, number, part, now);
  }
}

void CallerLeft(engine& state, uint64_t request, instant now) {
  for (const auto& [number, job] : state.jobs) {
    if (job.request == request) {
      log_line line("caller_left");
      line.With("job", job.spec.id)
          .With("age_ms",
                std::chrono::floor<milliseconds>(now - job.arrived).count());
      AddLogLine(state, line);
      CancelParts(state, number);
      RemoveJob(state, number);
      return;
    }
  }
}

bool CancelJob(engine& state, const std::string& id, instant now) {
  state.cancelled[id] = now;
  for (const auto& [incarnation, one] : state.peers) {
    if (one.contact) {
      SendTo(state, incarnation, job_cancel{.job = id});
    }
  }
  CancelPartsOfJob(state, id, now);
  const auto at = state.job_by_id.find(id);
  if (at == state.job_by_id.end()) {
    return false;
  }
  EndJob(state, at->second, result_code::kCancelledAfterStart, now);
  return true;
}

void OnPartResult(engine& state, uint64_t controller, const part_result& result,
                  instant now) {
  const auto at = state.jobs.find(result.ref.job);
  if (at == state.jobs.end() || result.ref.part >= at->second.parts.size()) {
    return;
  }
  const uint64_t number = at->first;
  caller_job& job = at->second;
  job_part& ended = job.parts[result.ref.part];
  if (ended.controller != controller ||
      ended.phase != job_part_phase::kOffered) {
    return;
  }
  ended.started = ended.started || result.started;
  if (job.failure_code) {
    ended.phase = job_part_phase::kCancelled;
    FailJob(state, number, *job.failure_code, job.retry_after, now);
    return;
  }
  if (result.code == result_code::kOk) {
    ended.phase = job_part_phase::kDone;
    ended.started = true;
    if (std::all_of(job.parts.begin(), job.parts.end(),
                    [](const job_part& one) {
                      return one.phase == job_part_phase::kDone;
                    })) {
      EndJob(state, number, result_code::kOk, now);
    }
    return;
  }
  if (PromisesNotRun(result.code) && !result.started) {
    ended.phase = job_part_phase::kRefused;
    if (OfferElsewhere(state, number, result.ref.part, now)) {
      return;
    }
  } else {
    ended.phase = job_part_phase::kCancelled;
  }
  FailJob(state, number, result.code, result.retry_after, now);
}

void FailPartsAt(engine& state, uint64_t controller, instant now) {
  std::vector<uint64_t> affected;
  for (auto& [number, job] : state.jobs) {
    for (uint32_t part = 0; part < job.parts.size(); ++part) {
      job_part& one = job.parts[part];
      if (one.controller == controller &&
          one.phase == job_part_phase::kOffered) {
        // The controller may hold parts that were offered after it began the
        // new message stream.
        SendTo(state, controller,
               part_cancel{.ref = {.job = number, .part = part}});
        one.phase = job_part_phase::kCancelled;
        one.started = true;
        affected.push_back(number);
      }
    }
  }
  affected.erase(std::unique(affected.begin(), affected.end()), affected.end());
  for (const uint64_t number : affected) {
    FailJob(state, number, result_code::kOutcomeUnknown, milliseconds{0}, now);
  }
}

void ExpireJobs(engine& state, instant now) {
  std::vector<uint64_t> expired;
  std::vector<uint64_t> unreported_jobs;
  const bool drain_over = now >= state.leave_by;
  for (const auto& [number, job] : state.jobs) {
    if (now >= job.deadline || drain_over) {
      expired.push_back(number);
    } else if (job.failure_code && now - job.failed_at > kStartReportTimeout) {
      unreported_jobs.push_back(number);
    }
  }
  for (const uint64_t number : expired) {
    EndJob(state, number,
           drain_over ? result_code::kStoppedAfterStart
                      : result_code::kDeadlineExceeded,
           now);
  }
  for (const uint64_t number : unreported_jobs) {
    EndJob(state, number, result_code::kOutcomeUnknown, now);
  }
}

}  // namespace tarragondrift::fleet
