#include "tarragondrift/fleet/admission_share_cmd.h"

#include <algorithm>
#include <cmath>

#include "tarragondrift/fleet/spread_cmd.h"

namespace tarragondrift::fleet {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Time constant of the sums: long enough for several jobs of a band, short
/// against the bursts of 10 s and more that callers compete in.
constexpr std::chrono::duration<double> kSmoothing{2.0};
/// Below this granted fraction of any band, capacity counts as scarce.
constexpr double kScarceBelow = 0.98;
/// A band leaves headroom for those whose granted fraction is smaller than its
/// own by more than this factor.
constexpr double kToleratedAdvantage = 1.1;
/// Queues below priority 0 keep at least this part of the mean granted fraction
/// against those of priority 0.
constexpr double kFloorShare = 0.5;
/// A band with fewer jobs in the decayed sum (one job decays to it within
/// kSmoothing) asked for too little to leave headroom for.
constexpr double kMinJobs = 0.37;
/// Part of the capacity that becomes free in time which headroom takes at most,
/// so that it leaves no worker idle.
constexpr double kMaxHeadroomPart = 0.8;
/// Limit of the ratio of all entries' demand to this entry's; large fleets have
/// about 30 entries.
constexpr double kMaxFleetFactor = 64;

/// Quantiles between the bands.
constexpr double kLargeQuantile = 0.7;
constexpr double kLargestQuantile = 0.9;
/// Number of sizes from which the bounds are used.
constexpr uint64_t kMinSizes = 30;
/// Steps of the quantile estimates, in logarithms of sizes: they shrink with
/// the number of samples down to kMinStep, with which the bound of the largest
/// tenth varies by 8%.
constexpr double kFirstStep = 3.0;
constexpr double kMaxStep = 0.5;
constexpr double kMinStep = 0.03;
/// A job belongs to a higher band if its logarithm of size exceeds the bound by
/// this. Jobs of equal size thus stay in one band while the estimates vary.
constexpr double kBoundMargin = 0.05;

constexpr std::array<size_band, kSizeBands> kAllBands{
    size_band::kLargest, size_band::kLarge, size_band::kRest};

double LogSize(double core_ms) { return std::log(std::max(1.0, core_ms)); }

/// Returns the factor by which sums have decayed.
double Decay(instant from, instant now) {
  const std::chrono::duration<double> age = std::max(now - from, {});
  return std::exp(-age / kSmoothing);
}

band_demand DecayedTo(const band_demand& demand, instant now) {
  band_demand current = demand;
  const double factor = Decay(demand.updated, now);
  current.jobs *= factor;
  current.tasks *= factor;
  current.slack *= factor;
  current.asked *= factor;
  current.granted *= factor;
  current.granted_tasks *= factor;
  current.updated = now;
  return current;
}

void StepQuantile(double& estimate, double quantile, double step,
                  double sample) {
  estimate += sample > estimate ? step * quantile : step * (quantile - 1);
}

void LearnBounds(size_bounds& bounds, double core_ms) {
  const double sample = LogSize(core_ms);
  ++bounds.samples;
  if (bounds.samples == 1) {
    bounds.log_large = sample;
    bounds.log_largest = sample;
    return;
  }
  const double step = std::clamp(
      kFirstStep / static_cast<double>(bounds.samples), kMinStep, kMaxStep);
  StepQuantile(bounds.log_large, kLargeQuantile, step, sample);
  StepQuantile(bounds.log_largest, kLargestQuantile, step, sample);
  bounds.log_largest = std::max(bounds.log_largest, bounds.log_large);
}

double GrantedFraction(const band_demand& demand) {
  return demand.asked > 0 ? demand.granted / demand.asked : 1.0;
}

/// Calls `visit(queue, demand)` for every band of the queues of an upstream
/// that asked for enough to count.
template <typename Visit>
void VisitBands(const share_table& table, const fleet_config& config,
                const std::string& upstream, instant now, const Visit& visit) {
  for (const queue_config& queue : config.queues) {
    const auto at = table.queues.find(queue.name);
    if (queue.upstream != upstream || at == table.queues.end()) {
      continue;
    }
    for (const band_demand& demand : at->second.bands) {
      const band_demand current = DecayedTo(demand, now);
      if (current.jobs >= kMinJobs) {
        visit(queue, current);
      }
    }
  }
}

/// Demand of all bands of an upstream.
struct demand_totals {
  double asked = 0;
  double granted = 0;
  double granted_tasks = 0;
  double least_fraction = 1;
};

demand_totals SumDemand(const share_table& table, const fleet_config& config,
                        const std::string& upstream, instant now) {
  demand_totals totals;
  VisitBands(table, config, upstream, now,
             [&totals](const queue_config&, const band_demand& demand) {
               totals.asked += demand.asked;
               totals.granted += demand.granted;
               totals.granted_tasks += demand.granted_tasks;
               totals.least_fraction =
                   std::min(totals.least_fraction, GrantedFraction(demand));
             });
  return totals;
}

/// Returns the ratio of the demand on the capacity to that of this entry's
/// callers. While capacity is scarce, its tasks end at the rate at which all
/// entries together are granted new ones.
double FleetFactor(const demand_totals& totals, const load_report& capacity) {
  const double own_rate = totals.granted_tasks / kSmoothing.count();
  return own_rate > 0 ? std::clamp(capacity.ends_per_second / own_rate, 1.0,
                                   kMaxFleetFactor)
                      : 1.0;
}

/// Returns the number of tasks that a band is expected to ask for while one of
/// its tasks can wait, at least one of its jobs.
double ExpectedTasks(const band_demand& demand, microseconds slack,
                     double fleet_factor) {
  const double in_window = demand.tasks * fleet_factor *
                           (std::chrono::duration<double>(slack) / kSmoothing);
  return std::max(in_window, demand.tasks / demand.jobs);
}

}  // namespace

const char* DescribeBand(size_band band) {
  switch (band) {
    case size_band::kLargest:
      return "largest";
    case size_band::kLarge:
      return "large";
    case size_band::kRest:
      break;
  }
  return "rest";
}

size_band FindBand(const share_table& table, const std::string& queue,
                   double core_ms) {
  const auto at = table.queues.find(queue);
  if (at == table.queues.end() || at->second.bounds.samples < kMinSizes) {
    return size_band::kRest;
  }
  const double size = LogSize(core_ms) - kBoundMargin;
  if (size > at->second.bounds.log_largest) {
    return size_band::kLargest;
  }
  return size > at->second.bounds.log_large ? size_band::kLarge
                                            : size_band::kRest;
}

void RecordAsked(share_table& table, const std::string& queue,
                 const share_job& job, bool granted, instant now) {
  queue_shares& shares = table.queues[queue];
  LearnBounds(shares.bounds, job.core_ms);
  band_demand& demand = shares.bands.at(static_cast<size_t>(job.band));
  demand = DecayedTo(demand, now);
  demand.jobs += 1;
  demand.tasks += job.tasks;
  demand.slack += job.slack;
  demand.asked += job.core_ms;
  if (granted) {
    demand.granted += job.core_ms;
    demand.granted_tasks += job.tasks;
  }
}

void RevokeGrant(share_table& table, const std::string& queue,
                 const share_job& job, instant granted_at, instant now) {
  const auto at = table.queues.find(queue);
  if (at == table.queues.end()) {
    return;
  }
  band_demand& demand = at->second.bands.at(static_cast<size_t>(job.band));
  demand = DecayedTo(demand, now);
  const double left = Decay(granted_at, now);
  demand.granted = std::max(0.0, demand.granted - job.core_ms * left);
  demand.granted_tasks = std::max(0.0, demand.granted_tasks - job.tasks * left);
}

share_decision CheckShare(const share_table& table, const fleet_config& config,
                          const queue_config& queue, const share_job& job,
                          const load_report& capacity, bool load_known,
                          instant now) {
  share_decision decision{.load_known = load_known};
  const auto at = table.queues.find(queue.name);
  if (at == table.queues.end()) {
    return decision;
  }
  const band_demand own =
      DecayedTo(at->second.bands.at(static_cast<size_t>(job.band)), now);
  decision.asked = own.asked;
  decision.granted = own.granted;
  const demand_totals totals = SumDemand(table, config, queue.upstream, now);
  if (totals.least_fraction >= kScarceBelow) {
    return decision;
  }
  const double mean_fraction = totals.granted / totals.asked;
  const double own_fraction =
      own.jobs >= kMinJobs ? GrantedFraction(own) : mean_fraction;
  const double floor = kFloorShare * mean_fraction;
  const double fleet_factor = load_known ? FleetFactor(totals, capacity) : 1.0;
  VisitBands(table, config, queue.upstream, now,
             [&](const queue_config& other, const band_demand& demand) {
               const double fraction = GrantedFraction(demand);
               const bool yields =
                   queue.priority == 0 && other.priority > 0
                       ? fraction < floor
                       : fraction * kToleratedAdvantage < own_fraction;
               if (!yields || fraction >= own_fraction) {
                 return;
               }
               const auto slack = std::chrono::duration_cast<microseconds>(
                   demand.slack / demand.jobs);
               const double free_in_time =
                   capacity.free_tasks +
                   capacity.ends_per_second *
                       std::chrono::duration<double>(slack).count();
               const auto headroom = static_cast<uint32_t>(
                   std::min(ExpectedTasks(demand, slack, fleet_factor),
                            kMaxHeadroomPart * free_in_time));
               decision.headroom = std::max(decision.headroom, headroom);
               decision.refused =
                   decision.refused ||
                   PredictWait(capacity, job.tasks + headroom, slack) > slack;
             });
  return decision;
}

milliseconds ScheduleReturn(share_table& table, const fleet_config& config,
                            const queue_config& queue, const share_job& job,
                            const retry_request& request, instant now) {
  const milliseconds shortest =
      RetryAfter(request.predicted_wait, request.min_delay, request.max_delay);
  const auto at = table.queues.find(queue.name);
  if (at == table.queues.end()) {
    return shortest;
  }
  const demand_totals totals = SumDemand(table, config, queue.upstream, now);
  band_demand& demand = at->second.bands.at(static_cast<size_t>(job.band));
  // Capacity is divided among the bands as they ask for it.
  const double part =
      totals.asked > 0
          ? demand.asked * Decay(demand.updated, now) / totals.asked
          : 1.0;
  const double forecast =
      job.tasks > 0 ? request.ends_per_second * job.core_ms / job.tasks : 0.0;
  const double rate =
      part *
      (totals.granted > 0 ? totals.granted / kSmoothing.count() : forecast);
  const instant latest = now + request.max_delay;
  const instant returns =
      std::clamp(demand.next_return, now + shortest, latest);
  const std::chrono::duration<double> to_latest = latest - returns;
  const double served_until_latest = rate * to_latest.count();
  demand.next_return =
      job.core_ms >= served_until_latest
          ? latest
          : returns + std::chrono::duration_cast<microseconds>(
                          to_latest * (job.core_ms / served_until_latest));
  return std::chrono::ceil<milliseconds>(returns - now);
}

void DropUnconfigured(share_table& table, const fleet_config& config) {
  std::erase_if(table.queues, [&config](const auto& entry) {
    return FindQueueByName(config, entry.first) == nullptr;
  });
}

std::vector<band_snapshot> SnapshotOf(const share_table& table, instant now) {
  std::vector<band_snapshot> found;
  for (const auto& [queue, shares] : table.queues) {
    for (const size_band band : kAllBands) {
      const band_demand& demand = shares.bands.at(static_cast<size_t>(band));
      const double decay = Decay(demand.updated, now);
      if (demand.jobs > 0) {
        found.push_back({.queue = queue,
                         .band = band,
                         .asked = demand.asked * decay,
                         .granted = demand.granted * decay,
                         .refused_total = demand.refused_total});
      }
    }
  }
  return found;
}

}  // namespace tarragondrift::fleet
