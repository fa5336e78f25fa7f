// Serves calls from other entries.
#ifndef TARRAGONDRIFT_LINK_PEER_SERVER_H_
#define TARRAGONDRIFT_LINK_PEER_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "tarragondrift/core/entry_base.h"
#include "tarragondrift/core/membership_base.h"
#include "tarragondrift/core/share_base.h"
#include "tarragondrift/gate/submission_port.h"
#include "tarragondrift/link/peer_messages.h"

namespace tarragondrift {

/// Handles calls from other entries. Methods do not block; each callback runs
/// exactly once, on any thread.
class peer_handler {
 public:
  virtual ~peer_handler() = default;

  virtual submission_port& Submissions() = 0;
  virtual void OnHeartbeat(heartbeat beat,
                           std::function<void(beat_reply)> done) = 0;
  virtual void OnHandOver(hand_over handed,
                          std::function<void(incarnation)> done) = 0;
  virtual config_text OnFetchConfig(uint64_t version) = 0;
  virtual void OnLendSlots(loan_request request,
                           std::function<void(loan_grant)> done) = 0;
  virtual void OnReturnSlots(loan_return message) = 0;
};

struct peer_server_options {
  /// Listening address, "IP:port".
  std::string address;
  /// Bearer token required from callers; empty for none.
  std::string token;
  /// Maximum number of calls held at once; further calls are rejected.
  uint32_t max_held_calls = 10'000;
  uint32_t max_message_bytes = 64U << 20U;
};

/// A server that runs from Start until it is destroyed.
class peer_server {
 public:
  /// @return kInternal when the address cannot be bound.
  static result<std::unique_ptr<peer_server>> Start(
      const peer_server_options& options, peer_handler& handler);

  virtual ~peer_server() = default;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_LINK_PEER_SERVER_H_
