// What the entries know of each other, as plain data.
#ifndef TARRAGONDRIFT_CORE_MEMBERSHIP_BASE_H_
#define TARRAGONDRIFT_CORE_MEMBERSHIP_BASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tarragondrift/core/entry_base.h"
#include "tarragondrift/core/submission_base.h"
#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// What one entry uses and offers of one upstream instance.
struct slot_news {
  std::string address;
  uint32_t in_flight = 0;
  /// Slots that the entry holds and does not need now.
  uint32_t idle = 0;
};

/// The one message that entries send each other again and again.
struct heartbeat {
  incarnation from;
  uint16_t data_centre = 0;
  /// The sender's address for peers, "IP:port".
  std::string address;
  /// Grows with each beat of an incarnation.
  uint64_t number = 0;
  entry_stage stage = entry_stage::kServing;
  uint32_t queued_tasks = 0;
  uint64_t config_version = 0;
  /// Within a data centre only.
  std::vector<slot_news> slots;
  /// Addresses of upstream instances that were seen leaving.
  std::vector<std::string> leaving;
  /// Across data centres: the other entries of the sender's data centre.
  std::vector<heartbeat> relayed;
};

/// Another entry.
struct peer {
  heartbeat last;
  instant heard;
};

/// Options of membership.
struct membership_options {
  incarnation self;
  uint16_t data_centre = 0;
  std::string address;
  std::chrono::milliseconds beat_interval{500};
  /// Between the speakers of two data centres.
  std::chrono::milliseconds far_beat_interval{1'000};
  /// A peer that was not heard for this long is taken for gone.
  std::chrono::milliseconds silence_limit{3'000};
};

/// All that one entry knows of the others.
struct membership {
  membership_options options;
  uint64_t beats = 0;
  instant next_beat;
  instant next_far_beat;
  std::map<incarnation, peer> peers;
};

/// One beat to send.
struct beat_target {
  std::string address;
  heartbeat message;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_MEMBERSHIP_BASE_H_
