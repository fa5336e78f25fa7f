// Limits the rate of log lines.
#ifndef TARRAGONDRIFT_DAEMON_LOG_LIMITER_H_
#define TARRAGONDRIFT_DAEMON_LOG_LIMITER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// A token bucket with one token for each log line; not thread-safe.
class log_limiter {
 public:
  /// Takes the token of a line, and counts the line as dropped if there is
  /// none.
  /// @return whether the line may be written.
  bool Take(instant now) {
    const double seconds = std::chrono::duration<double>(now - last_).count();
    last_ = now;
    tokens_ = std::min(kBurst, tokens_ + seconds * kLinesPerSecond);
    if (tokens_ < 1) {
      ++dropped_;
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  uint64_t Dropped() const { return dropped_; }

 private:
  // 20 jobs a second at one entry and 80 tasks a second at its workers write
  // 200 lines a second; the rest is headroom for bursts.
  static constexpr double kLinesPerSecond = 500;
  static constexpr double kBurst = 1'000;

  double tokens_ = kBurst;
  instant last_;
  uint64_t dropped_ = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_LOG_LIMITER_H_
