#include "tarragondrift/core/estimate_cmd.h"

#include <algorithm>
#include <cmath>

namespace tarragondrift {
namespace {

/// Cap on the sum of weights, which makes older observations decay.
constexpr double kMaxWeight = 2'000;
/// Weight of the prior, which takes the declared time as correct, in
/// observations.
constexpr double kPriorWeight = 4;
/// Variance of the logarithms of declared times in the prior.
constexpr double kPriorVariance = 0.25;
/// Estimate for a task without declared time or observations.
constexpr std::chrono::microseconds kDefaultTime{200'000};
constexpr double kMaxTimeUs = 3.6e9;

double LogOf(std::chrono::microseconds time) {
  return std::log(std::max<double>(1.0, static_cast<double>(time.count())));
}

/// Returns the slope of the regression, from 0 to 1: 1 when observed times are
/// proportional to declared ones, 0 when they don't depend on them.
double Slope(const contract_estimate& estimate) {
  const double prior = kPriorWeight * kPriorVariance;
  const double slope = (estimate.weight * estimate.covariance + prior) /
                       (estimate.weight * estimate.variance_declared + prior);
  return std::clamp(slope, 0.0, 1.0);
}

}  // namespace

std::chrono::microseconds EstimateTime(const contract_estimate& estimate,
                                       std::chrono::microseconds declared) {
  if (declared.count() <= 0) {
    const double mean = estimate.weight > 0 ? std::exp(estimate.mean_observed)
                                            : kDefaultTime.count();
    return std::chrono::microseconds{static_cast<int64_t>(mean)};
  }
  const double confidence = estimate.weight / (estimate.weight + kPriorWeight);
  const double offset = estimate.mean_observed - estimate.mean_declared;
  const double from_mean = LogOf(declared) - estimate.mean_declared;
  const double slope = Slope(estimate);
  const double corrected =
      estimate.mean_declared + slope * from_mean + confidence * offset;
  const double blended =
      confidence * corrected + (1 - confidence) * LogOf(declared);
  const double time = std::min(std::exp(blended), kMaxTimeUs);
  return std::chrono::microseconds{static_cast<int64_t>(time)};
}

void LearnTime(contract_estimate& estimate, std::chrono::microseconds declared,
               std::chrono::microseconds observed) {
  if (declared.count() <= 0) {
    declared = observed;
  }
  estimate.weight = std::min(estimate.weight + 1, kMaxWeight);
  const double newest_weight = 1 / estimate.weight;
  const double x = LogOf(declared) - estimate.mean_declared;
  estimate.mean_declared += newest_weight * x;
  const double y = LogOf(observed) - estimate.mean_observed;
  estimate.mean_observed += newest_weight * y;
  estimate.variance_declared += newest_weight * ((1 - newest_weight) * x * x -
                                                 estimate.variance_declared);
  estimate.covariance +=
      newest_weight * ((1 - newest_weight) * x * y - estimate.covariance);
}

}  // namespace tarragondrift
