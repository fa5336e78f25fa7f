// Time types of the core. The core never reads a clock; the caller passes the
// current time in.
#ifndef TARRAGONDRIFT_CORE_TIME_BASE_H_
#define TARRAGONDRIFT_CORE_TIME_BASE_H_

#include <chrono>
#include <cstdint>

namespace tarragondrift {

/// The clock type of all time points of the core; it has no now().
struct core_clock {
  using rep = int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<core_clock>;
  static constexpr bool is_steady = true;  // NOLINT: required by the standard
};

using instant = core_clock::time_point;

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_TIME_BASE_H_
