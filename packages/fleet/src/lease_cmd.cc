#include "tarragondrift/fleet/lease_cmd.h"

#include <algorithm>
#include <chrono>

namespace tarragondrift::fleet {
namespace {

constexpr int64_t kPercent = 100;

/// Whether a worker is responding; otherwise its lease is not renewed.
bool IsResponding(const engine& state, const worker& one, instant now) {
  return one.clock_ms > 0 &&
         now - one.last_heard <=
             state.options.poll_wait + 2 * state.options.poll_timeout;
}

/// Returns how much later than requested a lease may end: the estimate of the
/// worker's clock may be too high by the drift since the clock was read.
milliseconds LeaseSafetyMargin(const engine& state, const worker& one,
                               instant now) {
  const auto span = state.options.lease +
                    std::chrono::ceil<milliseconds>(now - one.clock_read);
  return span * static_cast<int64_t>(state.options.clock_error_percent) /
             kPercent +
         state.options.lease_margin;
}

/// Returns the earliest lease limit of all runs at a worker, which share one
/// lease.
instant EarliestLeaseLimit(engine& state, worker& one, instant now) {
  instant earliest = instant::max();
  for (auto& [name, run] : one.runs) {
    // A run whose part has been removed is being stopped and keeps its limit.
    const part* const owner = state.parts.Find(run.owner);
    if (owner != nullptr) {
      run.lease_limit = LeaseLimit(state, owner->origin, now);
    }
    earliest = std::min(earliest, run.lease_limit);
  }
  return earliest;
}

}  // namespace

int64_t EstimateWorkerClock(const worker& one, instant now) {
  return one.clock_ms +
         std::chrono::floor<milliseconds>(now - one.clock_read).count();
}

instant LeaseLimit(const engine& state, uint64_t origin, instant now) {
  if (origin == state.self.incarnation) {
    return instant::max();
  }
  const auto at = state.peers.find(origin);
  return at == state.peers.end()
             ? now
             : at->second.known_alive + state.options.orphan_limit;
}

milliseconds ShortestLease(const engine& state) {
  return state.options.poll_wait + state.options.poll_timeout;
}

bool FitsLease(const engine& state, const worker& one, instant limit,
               instant now) {
  return one.lease_expiry <= limit && limit - now >= ShortestLease(state);
}

std::optional<int64_t> ExtendLease(engine& state, worker& one, instant now) {
  if (!IsResponding(state, one, now)) {
    return std::nullopt;
  }
  const milliseconds safety_margin = LeaseSafetyMargin(state, one, now);
  const instant limit = EarliestLeaseLimit(state, one, now);
  if (limit <= now + safety_margin) {
    return std::nullopt;
  }
  const auto lease =
      std::min(state.options.lease,
               std::chrono::floor<milliseconds>(limit - now - safety_margin));
  one.lease_expiry = std::max(one.lease_expiry, now + lease + safety_margin);
  return EstimateWorkerClock(one, now) + lease.count();
}

}  // namespace tarragondrift::fleet
