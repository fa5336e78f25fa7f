// Limits a team's rate of task starts with a token bucket.
#ifndef TARRAGONDRIFT_CORE_QUOTA_BASE_H_
#define TARRAGONDRIFT_CORE_QUOTA_BASE_H_

#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// A token bucket; one token is one task start.
struct token_bucket {
  /// Refill rate; 0 means no limit.
  double per_s = 0;
  double capacity = 0;
  double tokens = 0;
  instant refilled;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_QUOTA_BASE_H_
