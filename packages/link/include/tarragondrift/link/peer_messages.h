// Messages between entries that have no type in the core.
#ifndef TARRAGONDRIFT_LINK_PEER_MESSAGES_H_
#define TARRAGONDRIFT_LINK_PEER_MESSAGES_H_

#include <cstdint>
#include <string>

#include "tarragondrift/core/submission_base.h"

namespace tarragondrift {

/// What the receiver of a heartbeat says.
struct beat_reply {
  /// Which incarnation answers at the address.
  incarnation from;
  /// The receiver counts the sender as live.
  bool supports = false;
};

/// The text of a configuration document with its version.
struct config_text {
  /// 0 when there is none.
  uint64_t version = 0;
  std::string digest;
  std::string text;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_LINK_PEER_MESSAGES_H_
