// Which configuration versions an entry has heard of, applied and used, and
// when.
#ifndef TARRAGONDRIFT_DAEMON_CONFIG_PROGRESS_H_
#define TARRAGONDRIFT_DAEMON_CONFIG_PROGRESS_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// Where an entry hears of a configuration.
enum class config_source : uint8_t { kStore, kPeer };
inline constexpr size_t kConfigSources = 2;

const char* DescribeSource(config_source source);

/// A configuration version, and when it reached a stage at this entry; version
/// 0 if none has.
struct version_mark {
  uint64_t version = 0;
  instant at;
};

/// Records the newest version at each stage and logs each step. Thread-safe.
class config_progress {
 public:
  /// A version arrived from a source, whether it is newer or not.
  void Heard(config_source source, uint64_t version, instant now);

  /// The engine decides by a version that arrived at `heard`.
  void Applied(config_source source, uint64_t version, instant heard,
               instant now);

  /// A request was routed by a version. Cheap unless it is the first one.
  void Used(uint64_t version, instant now);

  /// Returns the metrics in the Prometheus text format; ages are as of `now`.
  std::string Render(instant now) const;

 private:
  mutable std::mutex mutex_;
  std::array<version_mark, kConfigSources> heard_;
  std::array<version_mark, kConfigSources> applied_;
  version_mark used_;
  std::atomic<uint64_t> used_version_{0};
  /// Time from the arrival of a version until the engine decided by it.
  std::chrono::microseconds last_wait_{0};
  std::chrono::microseconds longest_wait_{0};
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_CONFIG_PROGRESS_H_
