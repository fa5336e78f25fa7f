// Starts tasks at upstream instances over kept connections; no request is
// ever sent twice.
#ifndef TARRAGONDRIFT_GATE_UPSTREAM_CLIENT_H_
#define TARRAGONDRIFT_GATE_UPSTREAM_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "tarragondrift/core/entry_base.h"

namespace tarragondrift {

/// Takes the end of an attempt, on a thread of the client.
using attempt_callback = std::function<void(const placement&, attempt_result)>;

/// Options of the client.
struct upstream_client_options {
  /// Threads that carry the connections.
  uint32_t threads = 2;
  /// Most connections to one instance.
  uint32_t connections_per_instance = 60;
  /// Time for making a connection.
  std::chrono::milliseconds connect_timeout{1'000};
  /// A connection that was idle for longer is not used again.
  std::chrono::seconds longest_idle{30};
  /// Bytes of one answer; a longer one fails its task.
  size_t most_answer_bytes = 8U << 20U;
};

/// Counts of what a client sent and got.
struct upstream_counts {
  uint64_t requests = 0;
  uint64_t connections = 0;
};

/// A client that runs until its destruction.
class upstream_client {
 public:
  /// Starts the client's threads.
  static std::unique_ptr<upstream_client> Start(
      const upstream_client_options& options, const attempt_callback& ended);

  virtual ~upstream_client() = default;

  /// Starts one attempt; its end is told by the callback, exactly once.
  virtual void Run(start_task start) = 0;

  virtual upstream_counts Counts() const = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_GATE_UPSTREAM_CLIENT_H_
