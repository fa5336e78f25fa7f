// The time types of the core: a caller passes the time in, the core reads no
// clock.
#ifndef TARRAGONDRIFT_CORE_TIME_BASE_H_
#define TARRAGONDRIFT_CORE_TIME_BASE_H_

#include <chrono>
#include <cstdint>

namespace tarragondrift {

/// The clock that instants of the core belong to; it is never read by the core.
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
