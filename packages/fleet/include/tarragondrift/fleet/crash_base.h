// Runs that were lost with their worker.
#ifndef TARRAGONDRIFT_FLEET_CRASH_BASE_H_
#define TARRAGONDRIFT_FLEET_CRASH_BASE_H_

#include <cstdint>

namespace tarragondrift::fleet {

/// What shows that a worker was lost.
enum class loss_evidence : uint8_t {
  /// It stopped replying: it crashed, or it is behind a network partition.
  kSilent,
  /// Its address refuses connections: its process has ended.
  kRefused,
  /// Another process replies at its address.
  kRestarted,
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_CRASH_BASE_H_
