#include "tarragondrift/fleet/held_job_cmd.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "tarragondrift/fleet/engine_cmd.h"
#include "tarragondrift/fleet/peer_cmd.h"

namespace tarragondrift::fleet {
namespace {

/// Returns the tasks of the held jobs.
uint32_t CountHeldTasks(const engine& state) {
  uint32_t tasks = 0;
  for (const auto& [request, held] : state.held_jobs) {
    tasks += held.tasks;
  }
  return tasks;
}

/// Whether a job that cannot be on time is expected to start while its answer
/// is of use. Other entries are taken to hold as many jobs as this one.
bool IsWorthDeferring(const engine& state, const job_plan& plan, instant now) {
  if (!MayStillBeDeferred(state, plan, now) || plan.ends_per_second <= 0) {
    return false;
  }
  const auto entries = 1 + std::count_if(state.peers.begin(), state.peers.end(),
                                         [](const auto& entry) {
                                           return IsUsable(entry.second);
                                         });
  const std::chrono::duration<double> behind_held(
      static_cast<double>(CountHeldTasks(state)) *
      static_cast<double>(entries) / plan.ends_per_second);
  return plan.wait + behind_held < plan.useful_until - now;
}

}  // namespace

void HoldJob(engine& state, held_job held, result_code cause, instant now) {
  log_line line("job_held");
  line.With("job", held.arrival.spec.id)
      .With("queue", held.arrival.queue)
      .With("cause", std::string(DescribeResultCode(cause).name))
      .With("useful_ms",
            std::chrono::floor<milliseconds>(held.useful_until - now).count());
  AddLogLine(state, line);
  const uint64_t request = held.arrival.request;
  state.held_jobs[request] = std::move(held);
}

bool MayBecomePossible(const engine& state, const job_plan& plan, instant now) {
  const bool lacks_capacity = plan.refusal == result_code::kNotRunNoInstance ||
                              plan.refusal == result_code::kNotRunOverloaded;
  return lacks_capacity && !state.leaving && now < plan.useful_until &&
         !IsOff(state.options.without, mechanism::kStartupHold) &&
         now - state.started < state.options.startup_hold;
}

bool MayStillBeDeferred(const engine& state, const job_plan& plan,
                        instant now) {
  return plan.refusal == result_code::kNotRunOverloaded &&
         plan.cause == refusal_cause::kLoad && !state.leaving &&
         now < plan.useful_until && !state.options.share_capacity &&
         !IsOff(state.options.without, mechanism::kDeferral);
}

bool ShouldHold(const engine& state, const job_plan& plan, instant now) {
  return state.held_jobs.size() < state.options.max_held_jobs &&
         (MayBecomePossible(state, plan, now) ||
          IsWorthDeferring(state, plan, now));
}

std::vector<uint64_t> OrderHeldJobs(const engine& state, instant now) {
  struct held_key {
    bool late = false;
    instant until;
    uint64_t request = 0;
    auto operator<=>(const held_key&) const = default;
  };
  std::vector<held_key> keys;
  for (const auto& [request, held] : state.held_jobs) {
    const bool late = held.latest_start < now;
    keys.push_back({.late = late,
                    .until = late ? held.useful_until : held.latest_start,
                    .request = request});
  }
  std::sort(keys.begin(), keys.end());
  std::vector<uint64_t> requests;
  requests.reserve(keys.size());
  for (const held_key& key : keys) {
    requests.push_back(key.request);
  }
  return requests;
}

}  // namespace tarragondrift::fleet
