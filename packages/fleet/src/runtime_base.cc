#include "tarragondrift/fleet/runtime_base.h"

#include <algorithm>
#include <cmath>

namespace tarragondrift::fleet {
namespace {

using std::chrono::milliseconds;

/// Smoothing weight of one sample; the last several hundred samples count,
/// which is a few seconds of load.
constexpr double kSampleWeight = 0.004;
/// Number of samples from which the regression is used.
constexpr uint64_t kMinSamples = 20;
/// Standard deviation of the logarithm of the running time around the declared
/// time, assumed until then.
constexpr double kInitialLogDeviation = 0.4;
/// Standard deviations from the median to the upper bound, which one task in 40
/// exceeds.
constexpr double kUpperBoundDeviations = 2.0;

double Log(double in_milliseconds) {
  return std::log(std::max(1.0, in_milliseconds));
}

runtime_estimate MakeEstimate(double log_median, double deviation) {
  const auto in_milliseconds = [](double log) {
    return milliseconds{std::max<int64_t>(1, std::llround(std::exp(log)))};
  };
  return {
      .median = in_milliseconds(log_median),
      .upper = in_milliseconds(log_median + kUpperBoundDeviations * deviation)};
}

}  // namespace

void RecordRuntime(runtime_table& table, const std::string& queue,
                   milliseconds declared, std::chrono::microseconds actual) {
  queue_runtime& stats = table[queue];
  ++stats.samples;
  const double weight =
      std::max(kSampleWeight, 1.0 / static_cast<double>(stats.samples));
  const double decay = 1.0 - weight;
  const double declared_delta =
      Log(static_cast<double>(declared.count())) - stats.mean_declared;
  const double actual_delta =
      Log(std::chrono::duration<double, std::milli>(actual).count()) -
      stats.mean_actual;
  stats.mean_declared += weight * declared_delta;
  stats.mean_actual += weight * actual_delta;
  const auto smooth = [weight, decay](double& moment, double product) {
    moment = decay * (moment + weight * product);
  };
  smooth(stats.variance_declared, declared_delta * declared_delta);
  smooth(stats.variance_actual, actual_delta * actual_delta);
  smooth(stats.covariance, declared_delta * actual_delta);
}

runtime_estimate EstimateRuntime(const runtime_table& table,
                                 const std::string& queue,
                                 milliseconds declared) {
  const double log_declared = Log(static_cast<double>(declared.count()));
  const auto at = table.find(queue);
  if (at == table.end() || at->second.samples < kMinSamples) {
    return MakeEstimate(log_declared, kInitialLogDeviation);
  }
  const queue_runtime& stats = at->second;
  // Linear regression of the actual on the declared time.
  const double slope =
      stats.variance_declared > 0
          ? std::clamp(stats.covariance / stats.variance_declared, 0.0, 1.0)
          : 0.0;
  const double residual_variance =
      std::max(0.0, stats.variance_actual - slope * stats.covariance);
  return MakeEstimate(
      stats.mean_actual + slope * (log_declared - stats.mean_declared),
      std::sqrt(residual_variance));
}

milliseconds ExpectedRuntime(const runtime_table& table,
                             const std::string& queue, milliseconds declared) {
  return EstimateRuntime(table, queue, declared).median;
}

}  // namespace tarragondrift::fleet
