#include "tarragondrift/fleet/admission_cmd.h"

#include <algorithm>
#include <limits>

#include "tarragondrift/fleet/admission_share_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"
#include "tarragondrift/fleet/placement_cmd.h"
#include "tarragondrift/fleet/responsiveness_cmd.h"
#include "tarragondrift/fleet/runtime_base.h"

namespace tarragondrift::fleet {
namespace {

using std::chrono::microseconds;

/// Added to the predicted wait at another entry: the round trip to another data
/// centre, or the hop to another entry of the same one.
constexpr microseconds kRemoteDataCentrePenalty = milliseconds(4);
constexpr microseconds kRemoteEntryPenalty = milliseconds(2);
/// Part of the caller's timeout reserved for sending the answer.
constexpr milliseconds kAnswerMargin{20};
/// A job is refused at once if its timeout is below this share of the expected
/// running time; declared times are off by up to 40%.
constexpr double kMinTimeoutShare = 0.6;
/// Older load reports say nothing about capacity that is scarce.
constexpr milliseconds kMaxLoadAge{2'000};

/// Counts the tasks of a job, up to the maximum of the result.
uint32_t CountTasks(const job_spec& job) {
  uint64_t tasks = 0;
  for (const step_spec& step : job.steps) {
    tasks += step.count;
  }
  return static_cast<uint32_t>(
      std::min<uint64_t>(tasks, std::numeric_limits<uint32_t>::max()));
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

/// Whether one of the load reports is recent; this entry's own always is.
bool HasRecentLoad(const engine& state,
                   const std::vector<spread_candidate>& candidates,
                   instant now) {
  return std::any_of(candidates.begin(), candidates.end(),
                     [&state, now](const spread_candidate& candidate) {
                       const auto at = state.peers.find(candidate.controller);
                       return at == state.peers.end() ||
                              now - at->second.load_received <= kMaxLoadAge;
                     });
}

/// Returns the free capacity and backlog of all candidates together.
load_report SumLoad(const std::vector<spread_candidate>& candidates) {
  load_report sum;
  for (const spread_candidate& candidate : candidates) {
    const load_report& load = candidate.load;
    sum.free_tasks += load.free_tasks;
    sum.free_not_slow += load.free_not_slow;
    sum.free_fast += load.free_fast;
    for (size_t bound = 0; bound < kSlackBounds.size(); ++bound) {
      sum.queued_within[bound] += load.queued_within[bound];
    }
    sum.ends_per_second += load.ends_per_second;
    sum.workers += load.workers;
  }
  return sum;
}

/// Returns the product of tasks, expected running time and cpu of a job.
double CoreMilliseconds(const engine& state, const job_arrival& arrival) {
  constexpr double kMilliPerCore = 1'000;
  double sum = 0;
  for (const step_spec& step : arrival.spec.steps) {
    const milliseconds runtime =
        ExpectedRuntime(state.runtimes, arrival.queue, step.estimate);
    sum += static_cast<double>(step.count) *
           static_cast<double>(runtime.count()) * step.need.cpu_milli /
           kMilliPerCore;
  }
  return sum;
}

spread_request MakeSpreadRequest(const speed_classes& classes, uint32_t tasks,
                                 microseconds slack, microseconds critical_path,
                                 double allowed_slowness) {
  spread_request request{.tasks = tasks, .slack = slack};
  if (allowed_slowness < 1) {
    request.not_fast_cost = std::chrono::duration_cast<microseconds>(
        critical_path * (1 - classes.fast_below));
  }
  if (allowed_slowness < classes.slow_above) {
    request.slow_cost = std::chrono::duration_cast<microseconds>(
                            critical_path * (classes.slow_above - 1)) +
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

/// Returns a refusal that does not depend on the load, or kOk.
result_code CheckRequest(const engine& state, const job_arrival& arrival,
                         uint32_t tasks) {
  if (state.cancelled.contains(arrival.spec.id)) {
    return result_code::kNotRunCancelled;
  }
  if (state.jobs.size() >= state.options.max_jobs ||
      tasks > state.options.max_tasks) {
    return result_code::kNotRunOverloaded;
  }
  return result_code::kOk;
}

/// Whether a planned stop leaves enough time for a job. It must cover the upper
/// bound of the running time, which one task in 40 exceeds.
bool FitsDrain(const engine& state, milliseconds critical_path,
               const runtime_estimate& runtime, instant now) {
  return !state.leaving ||
         now + critical_path - runtime.median + runtime.upper <= state.leave_by;
}

/// Chooses the controllers of a plan whose times are known.
void PlanParts(const engine& state, const job_arrival& arrival,
               const queue_config& queue, const runtime_estimate& runtime,
               instant now, job_plan& plan) {
  auto candidates = FindControllers(state, queue.upstream, now);
  if (candidates.empty()) {
    plan.refusal = result_code::kNotRunNoInstance;
    return;
  }
  const auto objective_left =
      std::chrono::floor<microseconds>(plan.objective - now);
  const microseconds slack = std::max<microseconds>(
      objective_left - plan.critical_path, microseconds{0});
  const double allowed_slowness =
      AllowedSlowness(runtime, objective_left, plan.deadline - now);
  const double core_ms = CoreMilliseconds(state, arrival);
  plan.size = {.band = FindBand(state.shares, arrival.queue, core_ms),
               .core_ms = core_ms,
               .tasks = plan.tasks,
               .slack = slack};
  const load_report capacity = SumLoad(candidates);
  plan.ends_per_second = capacity.ends_per_second;
  plan.free_tasks = capacity.free_tasks;
  plan.wait = SpreadTasks(
      candidates, MakeSpreadRequest(state.speeds.classes, plan.tasks, slack,
                                    plan.critical_path, allowed_slowness));
  if (state.options.share_capacity) {
    plan.share =
        CheckShare(state.shares, *state.config, queue, plan.size, capacity,
                   HasRecentLoad(state, candidates, now), now);
  }
  const bool starts_late =
      plan.wait > slack &&
      !IsOff(state.options.without, mechanism::kLoadAdmission);
  if (starts_late || plan.share.refused) {
    plan.refusal = result_code::kNotRunOverloaded;
    plan.cause = starts_late ? refusal_cause::kLoad : refusal_cause::kShare;
    return;
  }
  if (arrival.spec.steps.size() > 1) {
    AssignWhole(candidates, plan.tasks);
  }
  plan.load_age = OldestLoadAge(state, candidates, now);
  plan.parts = MakeParts(candidates);
}

}  // namespace

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

/// Returns the usable controllers that have workers of an upstream.
std::vector<spread_candidate> FindControllers(const engine& state,
                                              const std::string& upstream,
                                              instant now) {
  std::vector<spread_candidate> found;
  if (!state.leaving) {
    const load_table own = ReportLoad(state, now);
    const auto at = own.find(upstream);
    if (at != own.end()) {
      load_report load = at->second;
      // Offers to this entry itself that it has not handled yet.
      for (const peer_message& message : state.loopback) {
        const auto* const offer = std::get_if<part_offer>(&message);
        if (offer != nullptr && offer->upstream == upstream) {
          DeductTasks(load, offer->count);
        }
      }
      found.push_back({.controller = state.self.incarnation, .load = load});
    }
  }
  for (const auto& [incarnation, one] : state.peers) {
    const auto at = one.load.find(upstream);
    if (AcceptsOffers(state, one, now) && at != one.load.end() &&
        at->second.workers > 0) {
      const bool local = one.identity.data_centre == state.self.data_centre;
      found.push_back(
          {.controller = incarnation,
           .load = at->second,
           .penalty = local ? kRemoteEntryPenalty : kRemoteDataCentrePenalty});
    }
  }
  if (IsOff(state.options.without, mechanism::kSpreadPenalty)) {
    for (spread_candidate& candidate : found) {
      candidate.penalty = microseconds{0};
    }
  }
  return found;
}

job_plan PlanJob(const engine& state, const job_arrival& arrival,
                 instant arrived, instant now) {
  job_plan plan{.arrived = arrived, .tasks = CountTasks(arrival.spec)};
  const queue_config* const queue =
      state.config ? FindQueueByName(*state.config, arrival.queue) : nullptr;
  if (queue == nullptr) {
    plan.refusal = result_code::kNotRunNoConfig;
    return plan;
  }
  plan.refusal = CheckRequest(state, arrival, plan.tasks);
  if (plan.refusal != result_code::kOk) {
    return plan;
  }
  plan.critical_path = ExpectedCriticalPath(state, arrival.queue, arrival.spec);
  const milliseconds caller_timeout = CallerTimeout(state, arrival, *queue);
  plan.deadline = arrived + caller_timeout;
  if (std::chrono::duration_cast<milliseconds>(
          plan.critical_path * kMinTimeoutShare) > plan.deadline - now) {
    plan.refusal = result_code::kNotRunDeadline;
    return plan;
  }
  const runtime_estimate runtime = EstimateRuntime(
      state.runtimes, arrival.queue, arrival.spec.steps.front().estimate);
  if (!FitsDrain(state, plan.critical_path, runtime, now)) {
    plan.refusal = result_code::kNotRunDraining;
    return plan;
  }
  // The answer is due by the objective; after the caller's timeout it is of no
  // use.
  const auto time_limit = std::min(
      std::chrono::duration_cast<microseconds>(
          plan.critical_path * queue->stretch + queue->objective),
      std::chrono::duration_cast<microseconds>(caller_timeout - kAnswerMargin));
  plan.waited = IsOff(state.options.without, mechanism::kResubmissions)
                    ? milliseconds{0}
                    : EstimateTimeWaited(state.caller_timeouts, *queue,
                                         arrival.caller_timeout);
  plan.repeated =
      MayBeRepeated(state.caller_timeouts, *queue, arrival.caller_timeout);
  plan.objective = arrived - plan.waited + time_limit;
  plan.useful_until =
      std::min(arrived - plan.waited + kMaxLatenessFactor * time_limit,
               plan.deadline) -
      plan.critical_path;
  PlanParts(state, arrival, *queue, runtime, now, plan);
  return plan;
}

}  // namespace tarragondrift::fleet
