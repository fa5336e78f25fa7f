#include "tarragondrift/fleet/runtime_base.h"

#include <algorithm>
#include <cmath>

namespace tarragondrift::fleet {
namespace {

using std::chrono::milliseconds;

/// Weight of one sample: several hundred count, some seconds' worth.
constexpr double kSampleWeight = 0.004;
/// Samples after which what was seen is trusted.
constexpr uint64_t kLeastSamples = 20;
/// Before that, declared times are taken to be off by this, as a logarithm.
constexpr double kFirstDeviation = 0.4;
/// Standard deviations above the median that one task in 40 exceeds.
constexpr double kLongestDeviations = 2.0;

double Log(double in_milliseconds) {
  return std::log(std::max(1.0, in_milliseconds));
}

runtime_estimate MakeEstimate(double log_median, double deviation) {
  const auto in_milliseconds = [](double log) {
    return milliseconds{std::max<int64_t>(1, std::llround(std::exp(log)))};
  };
  return {
      .median = in_milliseconds(log_median),
      .upper = in_milliseconds(log_median + kLongestDeviations * deviation)};
}

}  // namespace

void RecordRuntime(runtime_table& table, const std::string& queue,
                   milliseconds declared, std::chrono::microseconds real) {
  queue_runtime& seen = table[queue];
  ++seen.samples;
  const double weight =
      std::max(kSampleWeight, 1.0 / static_cast<double>(seen.samples));
  const double keep = 1.0 - weight;
  const double from_declared =
      Log(static_cast<double>(declared.count())) - seen.mean_declared;
  const double from_real =
      Log(std::chrono::duration<double, std::milli>(real).count()) -
      seen.mean_real;
  seen.mean_declared += weight * from_declared;
  seen.mean_real += weight * from_real;
  const auto smooth = [weight, keep](double& moment, double product) {
    moment = keep * (moment + weight * product);
  };
  smooth(seen.variance_declared, from_declared * from_declared);
  smooth(seen.variance_real, from_real * from_real);
  smooth(seen.covariance, from_declared * from_real);
}

runtime_estimate EstimateRuntime(const runtime_table& table,
                                 const std::string& queue,
                                 milliseconds declared) {
  const double log_declared = Log(static_cast<double>(declared.count()));
  const auto at = table.find(queue);
  if (at == table.end() || at->second.samples < kLeastSamples) {
    return MakeEstimate(log_declared, kFirstDeviation);
  }
  const queue_runtime& seen = at->second;
  // A linear regression of the real on the declared time.
  const double slope =
      seen.variance_declared > 0
          ? std::clamp(seen.covariance / seen.variance_declared, 0.0, 1.0)
          : 0.0;
  const double unexplained =
      std::max(0.0, seen.variance_real - slope * seen.covariance);
  return MakeEstimate(
      seen.mean_real + slope * (log_declared - seen.mean_declared),
      std::sqrt(unexplained));
}

milliseconds ExpectedRuntime(const runtime_table& table,
                             const std::string& queue, milliseconds declared) {
  return EstimateRuntime(table, queue, declared).median;
}

}  // namespace tarragondrift::fleet
