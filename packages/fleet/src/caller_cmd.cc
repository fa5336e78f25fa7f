#include "tarragondrift/fleet/caller_cmd.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "tarragondrift/fleet/admission_cmd.h"
#include "tarragondrift/fleet/admission_share_cmd.h"
#include "tarragondrift/fleet/arbiter_cmd.h"
#include "tarragondrift/fleet/claim_cmd.h"
#include "tarragondrift/fleet/claim_inquiry_cmd.h"
#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/held_job_cmd.h"
#include "tarragondrift/fleet/outbox_cmd.h"
#include "tarragondrift/fleet/part_cmd.h"
#include "tarragondrift/fleet/placement_cmd.h"
#include "tarragondrift/fleet/runtime_base.h"
#include "tarragondrift/fleet/spread_cmd.h"

namespace tarragondrift::fleet {
namespace {

using std::chrono::microseconds;

/// Maximum time that the answer to a failed job waits for its controllers to
/// report whether a task was started.
constexpr milliseconds kStartReportTimeout{100};

milliseconds Between(instant from, instant to) {
  return std::chrono::floor<milliseconds>(to - from);
}

void Answer(engine& state, uint64_t request, result_code code,
            milliseconds retry_after) {
  ++state.counts.answers[code];
  state.out.emplace_back(caller_answer{
      .request = request, .code = code, .retry_after = retry_after});
}

/// Number of a job's parts that may still run tasks.
int64_t CountOpenParts(const caller_job& job) {
  return std::count_if(job.parts.begin(), job.parts.end(),
                       [](const job_part& one) {
                         return one.phase == job_part_phase::kOffered;
                       });
}

void LogAnswer(engine& state, const caller_job& job, result_code code,
               instant now) {
  log_line line("job_answered");
  line.With("job", job.spec.id)
      .With("request", static_cast<int64_t>(job.claim_number))
      .With("queue", job.queue)
      .With("code", std::string(DescribeResultCode(code).name))
      .With("open_parts", CountOpenParts(job))
      .With("age_ms", Between(job.arrived, now).count());
  AddLogLine(state, line);
}

void LogCallerLeft(engine& state, const std::string& id, int64_t open_parts,
                   instant arrived, instant now) {
  log_line line("caller_left");
  line.With("job", id)
      .With("open_parts", open_parts)
      .With("age_ms", Between(arrived, now).count());
  AddLogLine(state, line);
}

const char* DescribeCause(const job_plan& plan) {
  switch (plan.cause) {
    case refusal_cause::kLoad:
      return "load";
    case refusal_cause::kShare:
      return "share";
    case refusal_cause::kOther:
      break;
  }
  return plan.refusal == result_code::kNotRunOverloaded ? "limit" : "request";
}

/// Counts a job refused for lack of capacity.
/// @return the retry delay for its caller.
milliseconds CountRefusal(engine& state, const job_arrival& arrival,
                          const job_plan& plan, instant now) {
  RecordAsked(state.shares, arrival.queue, plan.size, false, now);
  if (plan.cause == refusal_cause::kShare) {
    ++state.shares.queues[arrival.queue]
          .bands.at(static_cast<size_t>(plan.size.band))
          .refused_total;
  }
  if (!state.options.share_capacity) {
    return RetryDelay(state.options, plan.wait);
  }
  return ScheduleReturn(state.shares, *state.config,
                        *FindQueueByName(*state.config, arrival.queue),
                        plan.size,
                        {.predicted_wait = plan.wait,
                         .min_delay = state.options.min_retry_after,
                         .max_delay = state.options.max_retry_after,
                         .ends_per_second = plan.ends_per_second},
                        now);
}

void Refuse(engine& state, const job_arrival& arrival, const job_plan& plan,
            instant now) {
  const bool lacks_capacity = plan.cause != refusal_cause::kOther;
  const bool evacuated = plan.refusal == result_code::kNotRunNoInstance &&
                         !state.evacuations.since.empty();
  const milliseconds retry =
      lacks_capacity
          ? CountRefusal(state, arrival, plan, now)
          : RetryAfter(plan.wait,
                       evacuated ? state.options.evacuation_retry_after
                                 : state.options.min_retry_after,
                       state.options.max_retry_after);
  log_line line("job_refused");
  line.With("job", arrival.spec.id)
      .With("queue", arrival.queue)
      .With("code", std::string(DescribeResultCode(plan.refusal).name))
      .With("cause", std::string(DescribeCause(plan)))
      .With("wait_us", plan.wait.count())
      .With("retry_ms", retry.count())
      .With("waited_ms", plan.waited.count());
  if (lacks_capacity) {
    line.With("free", static_cast<int64_t>(plan.free_tasks))
        .With("band", std::string(DescribeBand(plan.size.band)))
        .With("asked", std::llround(plan.share.asked))
        .With("granted", std::llround(plan.share.granted))
        .With("headroom", static_cast<int64_t>(plan.share.headroom))
        .With("load", std::string(plan.share.load_known ? "recent" : "old"));
  }
  AddLogLine(state, line);
  Answer(state, arrival.request, plan.refusal, retry);
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
  SendTo(
      state, offered.controller,
      part_offer{
          .ref = {.job = number, .part = part},
          .queue = job.queue,
          .upstream = queue->upstream,
          .priority = queue->priority,
          .attempts = queue->attempts,
          .job = job.spec,
          .first = offered.first,
          .count = offered.count,
          .objective_left =
              std::chrono::floor<milliseconds>(job.objective - now),
          .deadline_left = std::chrono::floor<milliseconds>(job.deadline - now),
          .request = job.claim_number,
          .accepts_returns = offered.offers < state.options.max_offers});
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

/// What is left of a job that is removed.
enum class job_remains : uint8_t {
  /// Its caller has the whole answer.
  kNone,
  /// Its caller may submit it again.
  kCaller,
  /// So it may, while tasks of this submission still run.
  kTasks,
};

void RemoveJob(engine& state, uint64_t number, job_remains remains,
               instant now) {
  const auto at = state.jobs.find(number);
  ReleaseClaims(
      state, at->second.witnesses,
      {.job = at->second.spec.id,
       .request = at->second.claim_number,
       .settles_in = remains == job_remains::kTasks ? state.options.orphan_limit
                                                    : milliseconds{0}},
      remains == job_remains::kNone ? release_sending::kWithNextEnvelope
                                    : release_sending::kAtOnce,
      now);
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
  if (PromisesNotRun(code)) {
    RevokeGrant(state.shares, job.queue, job.share, job.accepted, now);
  }
  LogAnswer(state, job, code, now);
  Answer(state, job.request, code, job.retry_after);
  RemoveJob(state, number,
            code == result_code::kOk ? job_remains::kNone
            : PromisesNotRun(code)   ? job_remains::kCaller
                                     : job_remains::kTasks,
            now);
}

/// Returns the submission of a job among those that wait here.
template <class Waiting>
auto FindWaiting(Waiting& waiting, const std::string& job) {
  return std::find_if(waiting.begin(), waiting.end(),
                      [&job](const auto& entry) {
                        return entry.second.arrival.spec.id == job;
                      });
}

/// Drops the submission of a job that is held here or waits for its claim.
/// It is answered with kOutcomeUnknown, as the job may run for another one.
void DropWaiting(engine& state, const std::string& job, const char* cause,
                 instant now) {
  const auto held = FindWaiting(state.held_jobs, job);
  if (held != state.held_jobs.end()) {
    AnswerSuperseded(state, held->second.arrival, held->second.arrived, cause,
                     now);
    state.held_jobs.erase(held);
  }
  const auto claiming = FindWaiting(state.claiming_jobs, job);
  if (claiming != state.claiming_jobs.end()) {
    AnswerSuperseded(state, claiming->second.arrival, claiming->second.arrived,
                     cause, now);
    ReleaseClaims(state, claiming->second.inquiry.told,
                  {.job = job, .request = claiming->first},
                  release_sending::kAtOnce, now);
    state.claiming_jobs.erase(claiming);
  }
}

/// Holds a job again whose parts were all refused for lack of capacity: after a
/// start, and while capacity is scarce, several entries offer to the same
/// places at once.
/// @return whether it is held.
bool HoldRefusedJob(engine& state, uint64_t number, instant now) {
  const caller_job& job = state.jobs.at(number);
  if (*job.failure_code != result_code::kNotRunOverloaded) {
    return false;
  }
  job_arrival arrival{.request = job.request,
                      .queue = job.queue,
                      .spec = job.spec,
                      .caller_timeout = job.caller_timeout,
                      .times = job.times};
  const job_plan plan = PlanJob(state, arrival, job.arrived, now);
  // Where the plan finds places, the next step offers the job to them.
  const bool finds_places =
      plan.refusal == result_code::kOk && now < job.useful_until &&
      state.held_jobs.size() < state.options.max_held_jobs;
  if (!finds_places && !ShouldHold(state, plan, now)) {
    return false;
  }
  RevokeGrant(state.shares, job.queue, job.share, job.accepted, now);
  HoldJob(state,
          {.arrival = std::move(arrival),
           .arrived = job.arrived,
           .latest_start = job.latest_start,
           .useful_until = job.useful_until,
           .tasks = plan.tasks},
          *job.failure_code, now);
  RemoveJob(state, number, job_remains::kCaller, now);
  return true;
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
  } else if (!unreported && !HoldRefusedJob(state, number, now)) {
    EndJob(state, number, *job.failure_code, now);
  }
}

/// Offers a refused or returned part to the controller with the shortest
/// predicted wait, other than the one that refused it and those that returned
/// it.
/// @return whether it was offered to one; a refused part is only if the
/// controller can start it in time.
bool OfferElsewhere(engine& state, uint64_t number, uint32_t part,
                    instant now) {
  caller_job& job = state.jobs.at(number);
  job_part& refused = job.parts[part];
  const queue_config* const queue =
      state.config ? FindQueueByName(*state.config, job.queue) : nullptr;
  if (queue == nullptr || refused.offers >= state.options.max_offers ||
      state.isolation.holds ||
      IsOff(state.options.without, mechanism::kReoffers)) {
    return false;
  }
  auto candidates = FindControllers(state, queue->upstream, now);
  std::erase_if(candidates, [&refused](const spread_candidate& candidate) {
    return candidate.controller == refused.controller ||
           std::find(refused.declined_by.begin(), refused.declined_by.end(),
                     candidate.controller) != refused.declined_by.end();
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
  // The controller that returned tasks has seen a load report with room for
  // them, which may be newer than those here. The next one refuses them if it
  // cannot start them in time, which costs no more than to fail them here.
  const bool returned = !refused.declined_by.empty();
  if (best == nullptr || (best_wait > slack && !returned)) {
    return false;
  }
  refused.controller = best->controller;
  refused.phase = job_part_phase::kOffered;
  ++refused.offers;
  state.counts.tasks_moved += refused.count;
  SendOffer(state, number, part, now);
  return true;
}

/// Whether a return names the last tasks of a part that its sender holds. At
/// least one task stays with the sender: a part returned as a whole ends as
/// refused.
bool IsValidReturn(const caller_job& job, uint64_t controller,
                   const part_return& returned) {
  if (job.spec.steps.size() != 1 || returned.ref.part >= job.parts.size()) {
    return false;
  }
  const job_part& holder = job.parts[returned.ref.part];
  return holder.controller == controller &&
         holder.phase == job_part_phase::kOffered && returned.count > 0 &&
         returned.count < holder.count &&
         returned.first == holder.first + holder.count - returned.count;
}

void IgnoreReturn(engine& state, uint64_t controller,
                  const part_return& returned) {
  ++state.counts.returns_ignored;
  log_line line("return_ignored");
  line.With("controller", static_cast<int64_t>(controller))
      .With("number", static_cast<int64_t>(returned.ref.job))
      .With("part", static_cast<int64_t>(returned.ref.part))
      .With("first", static_cast<int64_t>(returned.first))
      .With("count", static_cast<int64_t>(returned.count));
  AddLogLine(state, line, true);
}

/// Fails a job of which a returned part can be offered to no controller.
void FailReturned(engine& state, uint64_t number, instant now) {
  const queue_config* const queue =
      state.config ? FindQueueByName(*state.config, state.jobs.at(number).queue)
                   : nullptr;
  const bool no_instance =
      queue == nullptr || FindControllers(state, queue->upstream, now).empty();
  FailJob(state, number,
          no_instance ? result_code::kNotRunNoInstance
                      : result_code::kNotRunOverloaded,
          no_instance && !state.evacuations.since.empty()
              ? state.options.evacuation_retry_after
              : state.options.min_retry_after,
          now);
}

/// Answers an earlier request of a job, which was held up on its way, if a
/// later one is waiting or running here.
/// @return whether the request was an earlier one.
bool AnswerIfEarlier(engine& state, const job_arrival& arrival, instant now) {
  const auto is_earlier = [&arrival](const auto& waiting, const auto& found) {
    return found != waiting.end() &&
           IsEarlierSubmission(arrival.caller_timeout,
                               found->second.arrival.caller_timeout);
  };
  const auto running = state.job_by_id.find(arrival.spec.id);
  const bool earlier =
      (running != state.job_by_id.end() &&
       IsEarlierSubmission(arrival.caller_timeout,
                           state.jobs.at(running->second).caller_timeout)) ||
      is_earlier(state.held_jobs,
                 FindWaiting(state.held_jobs, arrival.spec.id)) ||
      is_earlier(state.claiming_jobs,
                 FindWaiting(state.claiming_jobs, arrival.spec.id));
  if (earlier) {
    AnswerSuperseded(state, arrival, now, "earlier", now);
  }
  return earlier;
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
  job.caller_timeout = arrival.caller_timeout;
  log_line line("job_attached");
  line.With("job", arrival.spec.id);
  AddLogLine(state, line);
  return true;
}

/// Adds what tells whether a request is late, or repeats an earlier one.
void DescribeRequest(log_line& line, const job_arrival& arrival,
                     const job_plan& plan) {
  const request_times& times = arrival.times;
  line.With("timeout_ms", arrival.caller_timeout.count())
      .With("waited_ms", plan.waited.count())
      .With("connection_ms", Between(times.connected, plan.arrived).count())
      .With("body_ms", Between(times.begun, times.received).count())
      .With("engine_ms", Between(times.received, plan.arrived).count());
}

/// Registers a job and offers its parts.
/// @param claim its claim, which was granted.
void AcceptJob(engine& state, job_arrival arrival, job_plan plan,
               claim_inquiry claim, instant now) {
  const uint64_t number = ++state.last_job;
  ++state.counts.jobs;
  log_line line("job_accepted");
  line.With("job", arrival.spec.id)
      .With("queue", arrival.queue)
      .With("tasks", static_cast<int64_t>(plan.tasks))
      .With("expected_ms", plan.critical_path.count())
      .With("deadline_ms",
            std::chrono::floor<milliseconds>(plan.deadline - now).count())
      .With("wait_us", plan.wait.count())
      .With("load_age_ms", plan.load_age.count())
      .With("objective_ms",
            std::chrono::floor<milliseconds>(plan.objective - plan.arrived)
                .count())
      .With("held_ms",
            std::chrono::floor<milliseconds>(now - plan.arrived).count())
      .With("config", static_cast<int64_t>(state.config->version))
      .With("parts", static_cast<int64_t>(plan.parts.size()));
  DescribeRequest(line, arrival, plan);
  DescribeGrant(line, claim);
  AddLogLine(state, line);
  state.counts.resubmissions += plan.waited.count() > 0 ? 1 : 0;
  state.job_by_id[arrival.spec.id] = number;
  caller_job& job = state.jobs[number];
  job = {.request = arrival.request,
         .queue = arrival.queue,
         .spec = std::move(arrival.spec),
         .arrived = plan.arrived,
         .accepted = now,
         .objective = plan.objective,
         .deadline = plan.deadline,
         .latest_start = plan.objective - plan.critical_path,
         .useful_until = plan.useful_until,
         .caller_timeout = arrival.caller_timeout,
         .times = arrival.times,
         .parts = std::move(plan.parts),
         .share = plan.size,
         .witnesses = std::move(claim.told),
         .claim_number = claim.claim.request};
  RecordAsked(state.shares, job.queue, job.share, true, now);
  for (uint32_t part = 0; part < job.parts.size(); ++part) {
    SendOffer(state, number, part, now);
  }
}

/// Claims a job that can be served, and accepts the job at once
/// if there is no need to.
void ClaimOrAcceptJob(engine& state, job_arrival arrival, job_plan plan,
                      instant now) {
  auto claim = ClaimJob(state, arrival, plan, now);
  if (claim) {
    AcceptJob(state, std::move(arrival), std::move(plan), std::move(*claim),
              now);
  }
}

/// Holds or refuses a job that cannot be served now.
void HoldOrRefuse(engine& state, job_arrival arrival, const job_plan& plan,
                  instant now) {
  if (!ShouldHold(state, plan, now)) {
    Refuse(state, arrival, plan, now);
    return;
  }
  HoldJob(state,
          {.arrival = std::move(arrival),
           .arrived = plan.arrived,
           .latest_start = plan.objective - plan.critical_path,
           .useful_until = plan.useful_until,
           .tasks = plan.tasks},
          plan.refusal, now);
}

}  // namespace

void DeductOfferedTasks(engine& state, uint64_t controller,
                        const std::string& upstream, uint32_t tasks) {
  const auto at = state.peers.find(controller);
  if (at == state.peers.end()) {
    return;
  }
  DeductTasks(at->second.load[upstream], tasks);
}

void SubmitJob(engine& state, job_arrival arrival, instant now) {
  if (AnswerIfEarlier(state, arrival, now) || AttachToRunning(state, arrival)) {
    return;
  }
  DropWaiting(state, arrival.spec.id, "repeated", now);
  const queue_config* const queue =
      state.config ? FindQueueByName(*state.config, arrival.queue) : nullptr;
  if (queue != nullptr) {
    RecordCallerTimeout(state.caller_timeouts, *queue, arrival.caller_timeout);
  }
  job_plan plan = PlanJob(state, arrival, now, now);
  if (plan.refusal == result_code::kOk) {
    ClaimOrAcceptJob(state, std::move(arrival), std::move(plan), now);
  } else {
    HoldOrRefuse(state, std::move(arrival), plan, now);
  }
}

void StartClaimedJob(engine& state, claiming_job claimed, instant now) {
  job_plan plan = PlanJob(state, claimed.arrival, claimed.arrived, now);
  if (plan.refusal == result_code::kOk) {
    AcceptJob(state, std::move(claimed.arrival), std::move(plan),
              std::move(claimed.inquiry), now);
    return;
  }
  ReleaseClaims(state, claimed.inquiry.told,
                {.job = claimed.arrival.spec.id,
                 .request = claimed.inquiry.claim.request},
                release_sending::kAtOnce, now);
  HoldOrRefuse(state, std::move(claimed.arrival), plan, now);
}

void AnswerSuperseded(engine& state, const job_arrival& arrival,
                      instant arrived, const char* cause, instant now) {
  log_line line("job_superseded");
  line.With("job", arrival.spec.id)
      .With("queue", arrival.queue)
      .With("cause", cause)
      .With("timeout_ms", arrival.caller_timeout.count())
      .With("age_ms", Between(arrived, now).count());
  AddLogLine(state, line);
  Answer(state, arrival.request, result_code::kOutcomeUnknown, milliseconds{0});
}

void RefuseUnproven(engine& state, const claiming_job& waiting, instant now) {
  const milliseconds retry = state.options.min_retry_after;
  log_line line("job_refused");
  line.With("job", waiting.arrival.spec.id)
      .With("queue", waiting.arrival.queue)
      .With("code",
            std::string(
                DescribeResultCode(result_code::kNotRunStoreUnavailable).name))
      .With("cause", "unproven")
      .With("retry_ms", retry.count())
      .With("age_ms", Between(waiting.arrived, now).count());
  DescribeGrant(line, waiting.inquiry);
  AddLogLine(state, line);
  Answer(state, waiting.arrival.request, result_code::kNotRunStoreUnavailable,
         retry);
}

void EndClaimedJob(engine& state, const std::string& job, uint64_t number,
                   instant now) {
  const auto at = state.job_by_id.find(job);
  if (at != state.job_by_id.end() &&
      state.jobs.at(at->second).claim_number == number) {
    ++state.counts.claims_refused;
    EndJob(state, at->second, result_code::kOutcomeUnknown, now);
  }
}

void EndSupersededJob(engine& state, const std::string& job, uint64_t origin,
                      instant now) {
  if (origin == state.self.incarnation) {
    return;
  }
  const auto running = state.job_by_id.find(job);
  if (running != state.job_by_id.end()) {
    EndJob(state, running->second, result_code::kOutcomeUnknown, now);
  }
  DropWaiting(state, job, "notice", now);
}

void RetryHeldJobs(engine& state, instant now) {
  size_t failed = 0;
  for (const uint64_t request : OrderHeldJobs(state, now)) {
    held_job& held = state.held_jobs.at(request);
    if (failed >= state.options.max_failed_retries && !state.leaving &&
        now < held.useful_until) {
      continue;
    }
    job_plan plan = PlanJob(state, held.arrival, held.arrived, now);
    if (plan.refusal == result_code::kOk && now >= held.useful_until) {
      // After a pause of the process its caller may have submitted it
      // elsewhere.
      plan.refusal = result_code::kNotRunDeadline;
    }
    if (plan.refusal == result_code::kOk) {
      ClaimOrAcceptJob(state, std::move(held.arrival), std::move(plan), now);
    } else if (MayBecomePossible(state, plan, now) ||
               MayStillBeDeferred(state, plan, now)) {
      ++failed;
      continue;
    } else {
      Refuse(state, held.arrival, plan, now);
    }
    state.held_jobs.erase(request);
  }
}

void CallerLeft(engine& state, uint64_t request, instant now) {
  const auto held = state.held_jobs.find(request);
  if (held != state.held_jobs.end()) {
    LogCallerLeft(state, held->second.arrival.spec.id, 0, held->second.arrived,
                  now);
    state.held_jobs.erase(held);
    return;
  }
  const auto claiming =
      std::find_if(state.claiming_jobs.begin(), state.claiming_jobs.end(),
                   [request](const auto& entry) {
                     return entry.second.arrival.request == request;
                   });
  if (claiming != state.claiming_jobs.end()) {
    const claiming_job& waiting = claiming->second;
    LogCallerLeft(state, waiting.arrival.spec.id, 0, waiting.arrived, now);
    const claim_release release{.job = waiting.arrival.spec.id,
                                .request = claiming->first};
    ReleaseClaims(state, waiting.inquiry.told, release,
                  release_sending::kAtOnce, now);
    state.claiming_jobs.erase(claiming);
    return;
  }
  for (const auto& [number, job] : state.jobs) {
    if (job.request == request) {
      LogCallerLeft(state, job.spec.id, CountOpenParts(job), job.arrived, now);
      CancelParts(state, number);
      RemoveJob(state, number, job_remains::kTasks, now);
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
    if (!ended.declined_by.empty()) {
      ended.declined_by.push_back(controller);
    }
    if (OfferElsewhere(state, number, result.ref.part, now)) {
      return;
    }
  } else {
    ended.phase = job_part_phase::kCancelled;
  }
  FailJob(state, number, result.code, result.retry_after, now);
}

void OnPartReturn(engine& state, uint64_t controller,
                  const part_return& returned, instant now) {
  const auto at = state.jobs.find(returned.ref.job);
  if (at == state.jobs.end() ||
      !IsValidReturn(at->second, controller, returned)) {
    IgnoreReturn(state, controller, returned);
    return;
  }
  const uint64_t number = at->first;
  caller_job& job = at->second;
  job_part& holder = job.parts[returned.ref.part];
  holder.count -= returned.count;
  if (job.failure_code) {
    return;
  }
  job_part moved{.controller = controller,
                 .first = returned.first,
                 .count = returned.count,
                 .phase = job_part_phase::kRefused,
                 .offers = holder.offers,
                 .declined_by = holder.declined_by};
  moved.declined_by.push_back(controller);
  const auto part = static_cast<uint32_t>(job.parts.size());
  job.parts.push_back(std::move(moved));
  const bool offered = OfferElsewhere(state, number, part, now);
  log_line line(offered ? "tasks_moved" : "tasks_not_moved");
  line.With("job", job.spec.id)
      .With("part", static_cast<int64_t>(returned.ref.part))
      .With("new_part", static_cast<int64_t>(part))
      .With("count", static_cast<int64_t>(returned.count))
      .With("from", static_cast<int64_t>(controller))
      .With("to",
            static_cast<int64_t>(offered ? job.parts[part].controller : 0))
      .With("offers", static_cast<int64_t>(job.parts[part].offers));
  AddLogLine(state, line);
  if (!offered) {
    FailReturned(state, number, now);
  }
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
