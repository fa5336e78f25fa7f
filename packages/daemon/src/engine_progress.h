// Tells whether the engine thread makes progress.
#ifndef TARRAGONDRIFT_DAEMON_ENGINE_PROGRESS_H_
#define TARRAGONDRIFT_DAEMON_ENGINE_PROGRESS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// Counts the iterations of the engine thread's loop. An engine that completes
/// none for a second is stalled: nothing that callers ask of this entry is
/// served in time.
class engine_progress {
 public:
  /// Interval at which Check is to be called.
  static constexpr std::chrono::milliseconds kCheckInterval{250};

  /// Records the end of an iteration; called by the engine thread.
  void Advance() { iterations_.fetch_add(1); }

  /// Looks for progress and logs when the engine stalls and when it goes on.
  /// Called by one thread, other than the engine's.
  void Check(instant now);

  /// Whether the engine was stalled at the last check; thread-safe.
  bool Stalled() const { return stalled_.load(); }

  /// Returns the metrics in the Prometheus text format; thread-safe.
  std::string Render() const;

 private:
  std::atomic<uint64_t> iterations_{0};
  std::atomic<bool> stalled_{false};
  std::atomic<int64_t> without_progress_us_{0};
  std::atomic<uint64_t> stalls_{0};
  // The members below belong to the thread that calls Check.
  uint64_t last_iterations_ = 0;
  std::optional<instant> last_check_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_ENGINE_PROGRESS_H_
