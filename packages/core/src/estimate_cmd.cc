#include "tarragondrift/core/estimate_cmd.h"

#include <algorithm>
#include <cmath>

namespace tarragondrift {
namespace {

/// Observations after which older ones have faded.
constexpr double kMemory = 2'000;
/// Observations that believing the declared time as it is counts for.
constexpr double kPriorWeight = 4;
/// Spread of declared times, in squared logarithms, that the prior stands for.
constexpr double kPriorVariance = 0.25;
/// Running time taken for a task of which nothing is known.
constexpr std::chrono::microseconds kUnknownTime{200'000};
constexpr double kLongestTime = 3.6e9;  // microseconds

double LogOf(std::chrono::microseconds time) {
  return std::log(std::max<double>(1.0, static_cast<double>(time.count())));
}

/// Gives how far the declared times tell the observed ones apart: 1 when they
/// are in proportion, 0 when they say nothing.
double Slope(const contract_estimate& known) {
  const double prior = kPriorWeight * kPriorVariance;
  const double slope = (known.weight * known.covariance + prior) /
                       (known.weight * known.variance_declared + prior);
  return std::clamp(slope, 0.0, 1.0);
}

}  // namespace

std::chrono::microseconds EstimateTime(const contract_estimate& known,
                                       std::chrono::microseconds declared) {
  if (declared.count() <= 0) {
    const double mean =
        known.weight > 0 ? std::exp(known.mean_observed) : kUnknownTime.count();
    return std::chrono::microseconds{static_cast<int64_t>(mean)};
  }
  const double trust = known.weight / (known.weight + kPriorWeight);
  const double offset = known.mean_observed - known.mean_declared;
  const double from_mean = LogOf(declared) - known.mean_declared;
  const double slope = Slope(known);
  const double corrected =
      known.mean_declared + slope * from_mean + trust * offset;
  const double blended = trust * corrected + (1 - trust) * LogOf(declared);
  const double time = std::min(std::exp(blended), kLongestTime);
  return std::chrono::microseconds{static_cast<int64_t>(time)};
}

void LearnTime(contract_estimate& known, std::chrono::microseconds declared,
               std::chrono::microseconds observed) {
  if (declared.count() <= 0) {
    declared = observed;
  }
  known.weight = std::min(known.weight + 1, kMemory);
  const double part = 1 / known.weight;
  const double x = LogOf(declared) - known.mean_declared;
  known.mean_declared += part * x;
  const double y = LogOf(observed) - known.mean_observed;
  known.mean_observed += part * y;
  known.variance_declared +=
      part * ((1 - part) * x * x - known.variance_declared);
  known.covariance += part * ((1 - part) * x * y - known.covariance);
}

}  // namespace tarragondrift
