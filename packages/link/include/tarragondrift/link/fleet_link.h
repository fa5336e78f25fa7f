// Delivers messages between entries that control workers, over gRPC.
#ifndef TARRAGONDRIFT_LINK_FLEET_LINK_H_
#define TARRAGONDRIFT_LINK_FLEET_LINK_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "tarragondrift/core/result_code.h"
#include "tarragondrift/fleet/peer_base.h"
#include "tarragondrift/fleet/peer_cmd.h"

namespace tarragondrift {

/// Handles an envelope from another entry; runs on a thread of the link.
/// @return whether the envelope was addressed to this process.
using envelope_handler = std::function<bool(fleet::envelope)>;

/// Handles the outcome of a delivery; runs on a thread of the link.
using delivery_callback = std::function<void(fleet::delivery)>;

struct fleet_link_options {
  /// Listening address, "IP:port".
  std::string address;
  /// Timeout of a delivery. A delivery that times out counts as lost, and its
  /// connection is not reused, since it may no longer carry data.
  std::chrono::milliseconds timeout{600};
  /// HTTP proxy through which other entries are reached, "IP:port"; empty for
  /// none.
  std::string proxy;
};

/// Sends and receives the deliveries of one process.
class fleet_link {
 public:
  /// @return kInternal when the address cannot be bound.
  static result<std::unique_ptr<fleet_link>> Start(
      const fleet_link_options& options, envelope_handler handler);

  virtual ~fleet_link() = default;

  /// Sends an envelope; `done` runs exactly once.
  virtual void Deliver(const std::string& address,
                       const fleet::envelope& content,
                       delivery_callback done) = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_LINK_FLEET_LINK_H_
