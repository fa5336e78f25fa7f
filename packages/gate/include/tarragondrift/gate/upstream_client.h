// Starts tasks at upstream instances over persistent connections; never sends
// a request twice.
#ifndef TARRAGONDRIFT_GATE_UPSTREAM_CLIENT_H_
#define TARRAGONDRIFT_GATE_UPSTREAM_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "tarragondrift/core/entry_base.h"

namespace tarragondrift {

/// Called with the result of an attempt, on a thread of the client.
using attempt_callback = std::function<void(const placement&, attempt_result)>;

/// Options of the client.
struct upstream_client_options {
  /// Number of I/O threads.
  uint32_t threads = 2;
  /// Maximum connections per instance.
  uint32_t connections_per_instance = 60;
  std::chrono::milliseconds connect_timeout{1'000};
  /// Connections that were idle for longer are not reused.
  std::chrono::seconds max_idle{30};
  /// A task whose answer is longer fails.
  size_t max_answer_bytes = 8U << 20U;
};

/// Totals since the start of a client.
struct upstream_counts {
  uint64_t requests = 0;
  uint64_t connections = 0;
};

/// A client that runs until its destruction.
class upstream_client {
 public:
  static std::unique_ptr<upstream_client> Start(
      const upstream_client_options& options, const attempt_callback& ended);

  virtual ~upstream_client() = default;

  /// Starts an attempt; the callback reports its result exactly once.
  virtual void Run(start_task start) = 0;

  virtual upstream_counts Counts() const = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_UPSTREAM_CLIENT_H_
