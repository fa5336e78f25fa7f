// The work that waits for the engine thread, with its age.
#ifndef TARRAGONDRIFT_DAEMON_ENGINE_QUEUE_H_
#define TARRAGONDRIFT_DAEMON_ENGINE_QUEUE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "mailbox.h"
#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// Work for the engine thread, called with the time of its loop iteration.
using engine_step = std::function<void(instant)>;

/// A step, and when it was posted.
struct posted_step {
  instant posted;
  engine_step run;
};

/// A mailbox of steps with many producers and the engine thread as consumer,
/// which takes steps in batches.
class engine_queue {
 public:
  /// Adds a step; thread-safe.
  void Post(engine_step step, instant now);

  /// Returns all posted steps; while there are none, waits until `limit`. They
  /// count as waiting until EndBatch.
  std::vector<posted_step> TakeUntil(instant limit);

  /// Ends the batch that was taken last, and logs if its oldest step waited for
  /// so long that answers are late.
  void EndBatch(instant now);

  void Close() { steps_.Close(); }
  bool Closed() const { return steps_.Closed(); }

  /// Returns the age of the oldest step that has not been handled, 0 if there
  /// is none; thread-safe.
  std::chrono::microseconds Age(instant now) const;

  /// Returns the metrics in the Prometheus text format; thread-safe.
  std::string Render(instant now) const;

 private:
  mailbox<posted_step> steps_;
  /// When the oldest step of the batch in progress was posted; 0 if there is
  /// none. In microseconds of `instant`.
  std::atomic<int64_t> batch_posted_{0};
  std::atomic<int64_t> longest_wait_us_{0};
  std::atomic<uint64_t> handled_{0};
  size_t batch_size_ = 0;
  instant next_log_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_ENGINE_QUEUE_H_
