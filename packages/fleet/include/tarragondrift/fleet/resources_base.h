// Sizes of tasks and workers.
#ifndef TARRAGONDRIFT_FLEET_RESOURCES_BASE_H_
#define TARRAGONDRIFT_FLEET_RESOURCES_BASE_H_

#include <cstdint>

namespace tarragondrift::fleet {

/// What a task needs or a worker has.
struct resources {
  /// Thousandths of a core.
  uint32_t cpu_milli = 0;
  uint32_t memory_mb = 0;
  uint32_t gpus = 0;

  bool operator==(const resources&) const = default;
};

/// Tells whether `need` fits into `room`.
constexpr bool Fits(const resources& need, const resources& room) {
  return need.cpu_milli <= room.cpu_milli && need.memory_mb <= room.memory_mb &&
         need.gpus <= room.gpus;
}

constexpr resources operator+(const resources& a, const resources& b) {
  return {.cpu_milli = a.cpu_milli + b.cpu_milli,
          .memory_mb = a.memory_mb + b.memory_mb,
          .gpus = a.gpus + b.gpus};
}

/// Subtracts, stopping at zero: a worker may report less room than is in use.
constexpr resources operator-(const resources& a, const resources& b) {
  return {
      .cpu_milli = a.cpu_milli > b.cpu_milli ? a.cpu_milli - b.cpu_milli : 0,
      .memory_mb = a.memory_mb > b.memory_mb ? a.memory_mb - b.memory_mb : 0,
      .gpus = a.gpus > b.gpus ? a.gpus - b.gpus : 0};
}

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_RESOURCES_BASE_H_
