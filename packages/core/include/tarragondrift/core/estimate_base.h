// The statistics from which running times of one contract's tasks are
// estimated.
#ifndef TARRAGONDRIFT_CORE_ESTIMATE_BASE_H_
#define TARRAGONDRIFT_CORE_ESTIMATE_BASE_H_

#include <cstdint>

namespace tarragondrift {

/// Exponentially weighted linear regression of the logarithm of observed
/// running times on the logarithm of declared ones. The statistics are taken
/// over natural logarithms of microseconds.
struct contract_estimate {
  /// Sum of the weights of the observations.
  double weight = 0;
  double mean_declared = 0;
  double mean_observed = 0;
  double variance_declared = 0;
  double covariance = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_ESTIMATE_BASE_H_
