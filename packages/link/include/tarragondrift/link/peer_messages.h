// Messages between entries whose types are not declared in packages/core.
#ifndef TARRAGONDRIFT_LINK_PEER_MESSAGES_H_
#define TARRAGONDRIFT_LINK_PEER_MESSAGES_H_

#include <cstdint>
#include <string>

#include "tarragondrift/core/submission_base.h"

namespace tarragondrift {

/// The reply to a heartbeat.
struct beat_reply {
  /// Incarnation of the entry that replied.
  incarnation from;
  /// Whether the receiver counts the sender as live.
  bool supports = false;
};

/// The text of a configuration document with its version.
struct config_text {
  /// 0 when there is no document.
  uint64_t version = 0;
  std::string digest;
  std::string text;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_LINK_PEER_MESSAGES_H_
