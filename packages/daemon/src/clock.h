// Converts between the steady clock of the system and the core's time.
// Other files of the daemon don't convert clocks themselves.
#ifndef TARRAGONDRIFT_DAEMON_CLOCK_H_
#define TARRAGONDRIFT_DAEMON_CLOCK_H_

#include <chrono>

#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// Returns the current time of the steady clock as an `instant`.
inline instant Now() {
  return instant{std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now().time_since_epoch())};
}

/// Returns the steady-clock time point of an instant.
inline std::chrono::steady_clock::time_point ToSteady(instant at) {
  return std::chrono::steady_clock::time_point{at.time_since_epoch()};
}

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_CLOCK_H_
