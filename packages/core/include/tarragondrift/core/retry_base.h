// The retry budget of one entry.
#ifndef TARRAGONDRIFT_CORE_RETRY_BASE_H_
#define TARRAGONDRIFT_CORE_RETRY_BASE_H_

namespace tarragondrift {

/// Each first attempt earns a fraction of a retry.
struct retry_budget {
  /// Retries earned by each first attempt.
  double earned_per_start = 0.08;
  /// Limit of the balance.
  double capacity = 20;
  double balance = 20;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_RETRY_BASE_H_
