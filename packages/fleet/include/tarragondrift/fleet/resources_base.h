// Resource needs of tasks and capacities of workers.
#ifndef TARRAGONDRIFT_FLEET_RESOURCES_BASE_H_
#define TARRAGONDRIFT_FLEET_RESOURCES_BASE_H_

#include <cstdint>

namespace tarragondrift::fleet {

/// Resources needed by a task or available at a worker.
struct resources {
  /// Thousandths of a core.
  uint32_t cpu_milli = 0;
  uint32_t memory_mb = 0;
  uint32_t gpus = 0;

  bool operator==(const resources&) const = default;
};

/// Whether `need` fits into `capacity`.
constexpr bool Fits(const resources& need, const resources& capacity) {
  return need.cpu_milli <= capacity.cpu_milli &&
         need.memory_mb <= capacity.memory_mb && need.gpus <= capacity.gpus;
}

constexpr resources operator+(const resources& a, const resources& b) {
  return {.cpu_milli = a.cpu_milli + b.cpu_milli,
          .memory_mb = a.memory_mb + b.memory_mb,
          .gpus = a.gpus + b.gpus};
}

/// Subtracts, saturating at zero: a worker may report a capacity below what is
/// in use.
constexpr resources operator-(const resources& a, const resources& b) {
  return {
      .cpu_milli = a.cpu_milli > b.cpu_milli ? a.cpu_milli - b.cpu_milli : 0,
      .memory_mb = a.memory_mb > b.memory_mb ? a.memory_mb - b.memory_mb : 0,
      .gpus = a.gpus > b.gpus ? a.gpus - b.gpus : 0};
}

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_RESOURCES_BASE_H_
