#include "tarragondrift/fleet/resubmission_cmd.h"

#include <algorithm>

namespace tarragondrift::fleet {
namespace {

using std::chrono::milliseconds;

/// Smoothing weight of one sample: the last 50 count, a fraction of a second of
/// load.
constexpr double kSampleWeight = 0.02;
/// Number of samples from which the share is used.
constexpr uint64_t kMinSamples = 4;
/// Number of samples from which a queue's callers are taken to give short
/// timeouts from the start. The first ones after a start may all be repeated.
constexpr uint64_t kMinSamplesOfShort = 50;
/// Share of callers with the queue's whole timeout from which shorter ones are
/// taken for the rest of it. Just after a power failure half of the callers
/// submit again.
constexpr double kMinShareFull = 0.25;

}  // namespace

void RecordCallerTimeout(caller_timeout_table& table, const queue_config& queue,
                         milliseconds given) {
  if (given.count() <= 0) {
    return;
  }
  caller_timeouts& known = table[queue.name];
  ++known.samples;
  const double weight =
      std::max(kSampleWeight, 1.0 / static_cast<double>(known.samples));
  known.share_full +=
      weight * ((given >= queue.timeout ? 1.0 : 0.0) - known.share_full);
}

milliseconds EstimateTimeWaited(const caller_timeout_table& table,
                                const queue_config& queue, milliseconds given) {
  const auto at = table.find(queue.name);
  if (given.count() <= 0 || at == table.end() ||
      at->second.samples < kMinSamples ||
      at->second.share_full < kMinShareFull) {
    return milliseconds{0};
  }
  return std::max(milliseconds{0}, queue.timeout - given);
}

bool MayBeRepeated(const caller_timeout_table& table, const queue_config& queue,
                   milliseconds given) {
  if (given.count() <= 0 || given >= queue.timeout) {
    return false;
  }
  const auto at = table.find(queue.name);
  return at == table.end() || at->second.samples < kMinSamplesOfShort ||
         at->second.share_full >= kMinShareFull;
}

}  // namespace tarragondrift::fleet
