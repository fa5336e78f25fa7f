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
struct slot_report {
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
  std::vector<slot_report> slots;
  /// Addresses of upstream instances that were seen leaving.
  std::vector<std::string> leaving;
  /// Across data centres: the other entries of the sender's data centre.
  std::vector<heartbeat> relayed;
};

/// Another entry. It may be known from the platform's rows only.
struct peer {
  heartbeat last;
  /// When its newest beat came, by itself or relayed.
  instant last_heard;
  /// When it last sent a beat to this entry.
  instant last_heard_directly;
  /// When the platform's rows last named it.
  instant last_listed;
  bool ever_heard = false;
  bool ever_heard_directly = false;
  /// Beats that are still to carry it within the data centre ahead of others.
  uint32_t urgent_relays = 0;
};

/// Messages and their estimated bytes, headers of the transport included.
struct traffic_count {
  uint64_t messages = 0;
  uint64_t bytes = 0;
};

/// Options of membership.
struct membership_options {
  incarnation self;
  uint16_t data_centre = 0;
  std::string address;
  /// Addresses from the settings, probed in turns while nobody known has them.
  std::vector<std::string> seeds;
  std::chrono::milliseconds heartbeat_interval{500};
  /// Between the speakers of two data centres.
  std::chrono::milliseconds remote_heartbeat_interval{4'000};
  /// A peer that was not heard for this long is taken for gone.
  std::chrono::milliseconds silence_limit{3'000};
  /// The same for entries of other data centres, whose news is relayed in
  /// turns.
  std::chrono::milliseconds remote_silence_limit{30'000};
  /// Rows of slot_report in a beat; more take turns.
  uint32_t max_slot_reports = 6;
  /// Entries of other data centres that a beat within the data centre carries;
  /// more take turns.
  uint32_t max_remote_reports = 3;
  /// Addresses of leaving upstream instances in a beat.
  uint32_t max_leaving_reports = 16;
  /// Silent entries of a data centre that are remembered for probing.
  uint32_t max_silent_peers = 16;
};

/// All that one entry knows of the others.
struct membership {
  membership_options options;
  uint64_t beats = 0;
  instant next_heartbeat;
  instant next_remote_heartbeat;
  std::map<incarnation, peer> peers;
  /// The highest configuration version heard, of forgotten peers too.
  uint64_t highest_config = 0;
  /// What this entry last said of itself.
  entry_stage stage = entry_stage::kServing;
  uint64_t announced_config = 0;
  /// Whose turns come next among the rows and peers that take turns.
  size_t slot_cursor = 0;
  size_t remote_cursor = 0;
  size_t probe_cursor = 0;
  size_t seed_cursor = 0;
  traffic_count sent;
  traffic_count received;
};

/// One beat to send.
struct heartbeat_target {
  std::string address;
  heartbeat message;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_MEMBERSHIP_BASE_H_
