#include "tarragondrift/core/quota_cmd.h"

#include <algorithm>

namespace tarragondrift {

void SetRate(token_bucket& bucket, double per_s, instant now) {
  const bool was_unlimited = bucket.per_s == 0;
  Refill(bucket, now);
  bucket.per_s = per_s;
  bucket.capacity = std::max(1.0, per_s);
  bucket.tokens = was_unlimited ? bucket.capacity
                                : std::min(bucket.tokens, bucket.capacity);
  bucket.refilled = now;
}

void Refill(token_bucket& bucket, instant now) {
  if (bucket.per_s == 0 || now <= bucket.refilled) {
    return;
  }
  const std::chrono::duration<double> elapsed = now - bucket.refilled;
  bucket.tokens =
      std::min(bucket.capacity, bucket.tokens + bucket.per_s * elapsed.count());
  bucket.refilled = now;
}

bool HasToken(const token_bucket& bucket) {
  return bucket.per_s == 0 || bucket.tokens >= 1;
}

void TakeToken(token_bucket& bucket) {
  if (bucket.per_s != 0) {
    bucket.tokens -= 1;
  }
}

}  // namespace tarragondrift
