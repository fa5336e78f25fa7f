// What is known of the running times of one contract's tasks.
#ifndef TARRAGONDRIFT_CORE_ESTIMATE_BASE_H_
#define TARRAGONDRIFT_CORE_ESTIMATE_BASE_H_

#include <cstdint>

namespace tarragondrift {

/// Exponentially weighted regression of the logarithm of observed times on the
/// logarithm of declared ones.
struct contract_estimate {
  /// Sum of weights of what was observed.
  double weight = 0;
  double mean_declared = 0;
  double mean_observed = 0;
  double variance_declared = 0;
  double covariance = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_ESTIMATE_BASE_H_
