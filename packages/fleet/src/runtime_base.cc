#include "tarragondrift/fleet/runtime_base.h"

#include <algorithm>
#include <cmath>

namespace tarragondrift::fleet {
namespace {

/// Weight of one sample; some hundred tasks of a queue end in a second.
constexpr double kSampleWeight = 0.02;
/// Samples after which what was seen is trusted.
constexpr uint64_t kLeastSamples = 10;
/// Weight of the queue's mean against a task's own declared time; the declared
/// times are off by as much as the tasks differ.
constexpr double kMeanWeight = 0.5;

void Smooth(double& value, double sample, uint64_t samples) {
  const double weight =
      std::max(kSampleWeight, 1.0 / static_cast<double>(samples));
  value += weight * (sample - value);
}

}  // namespace

void RecordRuntime(runtime_table& table, const std::string& queue,
                   std::chrono::milliseconds declared,
                   std::chrono::microseconds actual) {
  queue_runtime& seen = table[queue];
  ++seen.samples;
  const double actual_ms =
      std::chrono::duration<double, std::milli>(actual).count();
  const double declared_ms =
      std::max(1.0, static_cast<double>(declared.count()));
  Smooth(seen.mean_ms, actual_ms, seen.samples);
  Smooth(seen.declared_ms, declared_ms, seen.samples);
  seen.ratio = seen.mean_ms / seen.declared_ms;
}

std::chrono::milliseconds ExpectedRuntime(const runtime_table& table,
                                          const std::string& queue,
                                          std::chrono::milliseconds declared) {
  const auto at = table.find(queue);
  if (at == table.end() || at->second.samples < kLeastSamples) {
    return std::max(declared, std::chrono::milliseconds{1});
  }
  const double own = static_cast<double>(declared.count()) * at->second.ratio;
  const double blended = std::pow(at->second.mean_ms, kMeanWeight) *
                         std::pow(std::max(own, 1.0), 1.0 - kMeanWeight);
  return std::chrono::milliseconds{
      std::max<int64_t>(1, std::llround(blended))};
}

}  // namespace tarragondrift::fleet
