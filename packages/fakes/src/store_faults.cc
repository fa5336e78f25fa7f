#include "store_faults.h"

#include <algorithm>

namespace tarragondrift {

namespace {
constexpr double kBurstSeconds = 0.1;
}  // namespace

void rate_limit::Set(uint32_t calls_per_s) {
  const std::lock_guard lock(mutex_);
  rate_ = calls_per_s;
  allowance_ = std::max(1.0, rate_ * kBurstSeconds);
}

bool rate_limit::Allow(clock::time_point now) {
  const std::lock_guard lock(mutex_);
  if (rate_ == 0) {
    return true;
  }
  const std::chrono::duration<double> passed = now - last_;
  const double most = std::max(1.0, rate_ * kBurstSeconds);
  allowance_ = std::min(most, allowance_ + passed.count() * rate_);
  last_ = now;
  if (allowance_ < 1) {
    return false;
  }
  allowance_ -= 1;
  return true;
}

}  // namespace tarragondrift
