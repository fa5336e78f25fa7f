// A team's ceiling of task starts as a token bucket.
#ifndef TARRAGONDRIFT_CORE_QUOTA_BASE_H_
#define TARRAGONDRIFT_CORE_QUOTA_BASE_H_

#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// Tokens that refill with time; one token is one start.
struct token_bucket {
  /// 0 means that there is no ceiling.
  double per_s = 0;
  double capacity = 0;
  double tokens = 0;
  instant refilled;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_QUOTA_BASE_H_
