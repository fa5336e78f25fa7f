// Takes the calls of other entries.
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

/// What an entry does for other entries. Calls return at once; each callback
/// runs exactly once, on any thread.
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

/// Options of a server.
struct peer_server_options {
  /// Where to listen, "IP:port".
  std::string address;
  /// What callers must send as a bearer token; empty for none.
  std::string token;
  /// Most calls that are held at once; more are turned away.
  uint32_t most_held = 10'000;
  /// Bytes of one message.
  uint32_t most_message_bytes = 64U << 20U;
};

/// A server that runs from Start until its destruction.
class peer_server {
 public:
  /// @return kInternal when the address can't be listened on.
  static result<std::unique_ptr<peer_server>> Start(
      const peer_server_options& options, peer_handler& handler);

  virtual ~peer_server() = default;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_LINK_PEER_SERVER_H_
