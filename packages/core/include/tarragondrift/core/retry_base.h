// The budget of repeated attempts of one entry.
#ifndef TARRAGONDRIFT_CORE_RETRY_BASE_H_
#define TARRAGONDRIFT_CORE_RETRY_BASE_H_

namespace tarragondrift {

/// First attempts earn a fraction of a repeated one.
struct retry_budget {
  /// Repeated attempts earned by each first one.
  double earned_per_start = 0.08;
  /// Most that can be saved up.
  double capacity = 20;
  double balance = 20;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_RETRY_BASE_H_
