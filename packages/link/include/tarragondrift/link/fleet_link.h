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

/// Takes an envelope of another entry, on a thread of the link.
/// @return whether it was meant for this process.
using envelope_handler = std::function<bool(fleet::envelope)>;

/// Takes the end of a delivery, on a thread of the link.
using delivery_callback = std::function<void(fleet::delivery)>;

/// Options of a link.
struct fleet_link_options {
  /// Where to listen, "IP:port".
  std::string address;
  /// Without an answer for this long a delivery is lost, and its connection
  /// is not used again: it may have gone silent.
  std::chrono::milliseconds timeout{600};
};

/// Both ends of the deliveries of one process.
class fleet_link {
 public:
  /// @return kInternal when the address can't be listened on.
  static result<std::unique_ptr<fleet_link>> Start(
      const fleet_link_options& options, envelope_handler handler);

  virtual ~fleet_link() = default;

  /// Delivers an envelope; `done` runs once.
  virtual void Deliver(const std::string& address,
                       const fleet::envelope& content,
                       delivery_callback done) = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_LINK_FLEET_LINK_H_
