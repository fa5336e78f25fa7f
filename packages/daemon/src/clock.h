// The one place where the daemon turns the machine's clock into the core's.
#ifndef TARRAGONDRIFT_DAEMON_CLOCK_H_
#define TARRAGONDRIFT_DAEMON_CLOCK_H_

#include <chrono>

#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// Reads the steady clock as the core's time.
inline instant Now() {
  return instant{std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now().time_since_epoch())};
}

/// Gives the moment of the steady clock that an instant stands for.
inline std::chrono::steady_clock::time_point ToSteady(instant at) {
  return std::chrono::steady_clock::time_point{at.time_since_epoch()};
}

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_CLOCK_H_
