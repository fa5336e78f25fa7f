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

/// Round trip to another data centre and the hop through another entry.
constexpr microseconds kOtherDataCentre = milliseconds(4);
constexpr microseconds kOtherEntry = milliseconds(2);
/// How long an answer waits for word whether a task was started.
constexpr milliseconds kVerdictWait{100};
/// Kept back of a deadline for the way of the answer.
constexpr milliseconds kAnswerReserve{20};
/// A job is refused at once when even this share of the expected running time
/// is not left; declared times are off by up to 40%.
constexpr double kHopelessShare = 0.6;

/// Gives the longest chain of expected work.
milliseconds ExpectedChain(const engine& state, const std::string& queue,
                           const job_spec& job) {
  std::vector<milliseconds> ends(job.steps.size());
  milliseconds longest{0};
  for (size_t at = 0; at < job.steps.size(); ++at) {
    milliseconds begin{0};
    for (const uint32_t earlier : job.steps[at].after) {
      begin = std::max(begin, ends[earlier]);
    }
    ends[at] =
        begin + ExpectedRuntime(state.runtimes, queue, job.steps[at].estimate);
    longest = std::max(longest, ends[at]);
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

/// Lists the controllers that have workers of an upstream.
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
      const bool near = one.identity.data_centre == state.self.data_centre;
      found.push_back({.controller = incarnation,
                       .load = at->second,
                       .penalty = near ? kOtherEntry : kOtherDataCentre});
    }
  }
  return found;
}

/// Counts tasks that were just offered until the controller's next report.
void AssumeOffered(engine& state, uint64_t controller,
                   const std::string& upstream, uint32_t tasks) {
  const auto at = state.peers.find(controller);
  if (at == state.peers.end()) {
    return;
  }
  load_report& load = at->second.load[upstream];
  const uint32_t taken = std::min(load.free_tasks, tasks);
  load.free_tasks -= taken;
  load.free_not_slow = std::min(load.free_not_slow, load.free_tasks);
  load.free_fast = std::min(load.free_fast, load.free_tasks);
  for (uint32_t& queued : load.queued_within) {
    queued += tasks - taken;
  }
}

void Answer(engine& state, uint64_t request, result_code code,
            milliseconds retry_after) {
  ++state.counts.answers[code];
  state.out.emplace_back(caller_answer{
      .request = request, .code = code, .retry_after = retry_after});
}

void NoteAnswer(engine& state, const std::string& id, const std::string& queue,
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

void Offer(engine& state, uint64_t number, uint32_t part, instant now) {
  const caller_job& job = state.jobs.at(number);
  const job_part& offered = job.parts[part];
  const queue_config* const queue =
      state.config ? FindQueueByName(*state.config, job.queue) : nullptr;
  if (queue == nullptr) {
    return;
  }
  AssumeOffered(state, offered.controller, queue->upstream, offered.count);
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

/// Cancels the parts that have not ended.
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

/// Answers and forgets a job; what still runs of it is stopped.
void EndJob(engine& state, uint64_t number, result_code code, instant now) {
  CancelParts(state, number);
  const caller_job& job = state.jobs.at(number);
  NoteAnswer(state, job.spec.id, job.queue, code,
             std::chrono::floor<milliseconds>(now - job.arrived));
  Answer(state, job.request, code, job.retry_after);
  RemoveJob(state, number);
}

/// Gives up a job that can't succeed. "Not run" is only said once every
/// controller has told that it started nothing.
void AbandonJob(engine& state, uint64_t number, result_code failure_code,
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
  const bool waiting =
      std::any_of(job.parts.begin(), job.parts.end(), [](const job_part& one) {
        return one.phase == job_part_phase::kOffered;
      });
  if (started || !PromisesNotRun(*job.failure_code)) {
    EndJob(state, number,
           PromisesNotRun(*job.failure_code) ? result_code::kStoppedAfterStart
                                             : *job.failure_code,
           now);
  } else if (!waiting) {
    EndJob(state, number, *job.failure_code, now);
  }
}

/// Offers a refused part to another controller.
/// @return whether there was one.
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
  std::erase_if(candidates, [&refused](const spread_candidate& one) {
    return one.controller == refused.controller;
  });
  const microseconds slack =
      job.objective - now - ExpectedChain(state, job.queue, job.spec);
  const spread_candidate* best = nullptr;
  microseconds best_wait{0};
  for (const spread_candidate& one : candidates) {
    const microseconds wait =
        PredictWait(one.load, refused.count, slack) + one.penalty;
    if (best == nullptr || wait < best_wait) {
      best = &one;
      best_wait = wait;
    }
  }
  if (best == nullptr || best_wait > slack) {
    return false;
  }
  refused.controller = best->controller;
  refused.phase = job_part_phase::kOffered;
  ++refused.offers;
  Offer(state, number, part, now);
  return true;
}

/// Describes the tasks of a job for their spread.
spread_request SpreadRequest(uint32_t tasks, microseconds slack,
                             microseconds chain, double wanted) {
  spread_request request{.tasks = tasks, .slack = slack};
  if (wanted < 1) {
    request.not_fast_cost =
        std::chrono::duration_cast<microseconds>(chain * (1 - kFastBelow));
  }
  if (wanted < kSlowAbove) {
    request.slow_cost =
        std::chrono::duration_cast<microseconds>(chain * (kSlowAbove - 1)) +
        request.not_fast_cost;
  }
  return request;
}

/// Splits a job into parts by the spread over controllers.
std::vector<job_part> MakeParts(
    const std::vector<spread_candidate>& candidates) {
  std::vector<job_part> parts;
  uint32_t first = 0;
  for (const spread_candidate& one : candidates) {
    if (one.assigned > 0) {
      parts.push_back({.controller = one.controller,
                       .first = first,
                       .count = one.assigned});
      first += one.assigned;
    }
  }
  return parts;
}

/// Gives a job of several steps whole to the controller with the least wait.
void AssignWhole(std::vector<spread_candidate>& candidates, uint32_t tasks) {
  auto most = std::max_element(
      candidates.begin(), candidates.end(),
      [](const spread_candidate& a, const spread_candidate& b) {
        return a.assigned < b.assigned;
      });
  for (spread_candidate& one : candidates) {
    one.assigned = 0;
  }
  most->assigned = tasks;
}

/// A caller knows best how long an answer is of use to it; a queue's time-out
/// stands for those that do not say.
milliseconds CallerTimeout(const engine& state, const job_arrival& arrival,
                           const queue_config& queue) {
  if (arrival.caller_timeout.count() > 0) {
    return std::min(arrival.caller_timeout, state.options.max_caller_timeout);
  }
  return queue.timeout.count() > 0 ? queue.timeout
                                   : state.options.max_caller_timeout;
}

/// Lets a second request for a job that runs here wait in the first one's
/// place.
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
  const milliseconds chain = ExpectedChain(state, arrival.queue, arrival.spec);
  const milliseconds caller_timeout = CallerTimeout(state, arrival, *queue);
  if (std::chrono::duration_cast<milliseconds>(chain * kHopelessShare) >
      caller_timeout) {
    Refuse(state, arrival, result_code::kNotRunDeadline, microseconds{0});
    return;
  }
  const runtime_estimate guess = EstimateRuntime(
      state.runtimes, arrival.queue, arrival.spec.steps.front().estimate);
  // One task in 40 takes longer than this.
  if (state.leaving &&
      now + chain - guess.median + guess.upper > state.leave_by) {
    Refuse(state, arrival, result_code::kNotRunDraining, microseconds{0});
    return;
  }
  // An answer after the deadline is of no use, whatever the objective allows.
  const auto allowed = std::min(std::chrono::duration_cast<microseconds>(
                                    chain * queue->stretch + queue->objective),
                                std::chrono::duration_cast<microseconds>(
                                    caller_timeout - kAnswerReserve));
  const microseconds slack =
      std::max<microseconds>(allowed - chain, microseconds{0});
  auto candidates = FindControllers(state, queue->upstream, now);
  if (candidates.empty()) {
    Refuse(state, arrival, result_code::kNotRunNoInstance, microseconds{0});
    return;
  }
  const microseconds wait = SpreadTasks(
      candidates,
      SpreadRequest(tasks, slack, chain,
                    AllowedSlowness(guess, allowed, caller_timeout)));
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
      .With("expected_ms", chain.count())
      .With("deadline_ms", caller_timeout.count())
      .With("wait_us", wait.count())
      .With("config", static_cast<int64_t>(state.config->version));
  state.job_by_id[arrival.spec.id] = number;
  caller_job& job = state.jobs[number];
  job = {.request = arrival.request,
         .queue = arrival.queue,
         .spec = std::move(arrival.spec),
         .arrived = now,
         .objective = now + allowed,
         .deadline = now + caller_timeout,
         .parts = MakeParts(candidates)};
  line.With("parts", static_cast<int64_t>(job.parts.size()));
  AddLogLine(state, line);
  for (uint32_t part = 0; part < job.parts.size(); ++part) {
    Offer(state, number, part, now);
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
  for (auto& [incarnation, one] : state.peers) {
    SendTo(state, incarnation, job_cancel{.job = id});
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
    AbandonJob(state, number, *job.failure_code, job.retry_after, now);
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
  AbandonJob(state, number, result.code, result.retry_after, now);
}

void FailPartsAt(engine& state, uint64_t controller, instant now) {
  std::vector<uint64_t> lost;
  for (auto& [number, job] : state.jobs) {
    for (uint32_t part = 0; part < job.parts.size(); ++part) {
      job_part& one = job.parts[part];
      if (one.controller == controller &&
          one.phase == job_part_phase::kOffered) {
        // The controller may go on with what it was offered since it lost
        // track.
        SendTo(state, controller,
               part_cancel{.ref = {.job = number, .part = part}});
        one.phase = job_part_phase::kCancelled;
        one.started = true;
        lost.push_back(number);
      }
    }
  }
  lost.erase(std::unique(lost.begin(), lost.end()), lost.end());
  for (const uint64_t number : lost) {
    AbandonJob(state, number, result_code::kOutcomeUnknown, milliseconds{0},
               now);
  }
}

void ExpireJobs(engine& state, instant now) {
  std::vector<uint64_t> over;
  std::vector<uint64_t> untold;
  const bool leaves = now >= state.leave_by;
  for (const auto& [number, job] : state.jobs) {
    if (now >= job.deadline || leaves) {
      over.push_back(number);
    } else if (job.failure_code && now - job.failed_at > kVerdictWait) {
      untold.push_back(number);
    }
  }
  for (const uint64_t number : over) {
    EndJob(state, number,
           leaves ? result_code::kStoppedAfterStart
                  : result_code::kDeadlineExceeded,
           now);
  }
  for (const uint64_t number : untold) {
    EndJob(state, number, result_code::kOutcomeUnknown, now);
  }
}

}  // namespace tarragondrift::fleet
