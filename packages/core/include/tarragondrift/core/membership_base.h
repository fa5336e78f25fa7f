// Membership as plain data: what each entry knows of the other entries.
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

/// The slots of one upstream instance that an entry uses and can lend.
struct slot_report {
  std::string address;
  uint32_t in_flight = 0;
  /// Slots that the entry holds and does not use now.
  uint32_t idle = 0;
};

/// The message that entries send each other periodically.
struct heartbeat {
  incarnation from;
  uint16_t data_centre = 0;
  /// The sender's address for peers, "IP:port".
  std::string address;
  /// Incremented with each heartbeat of an incarnation.
  uint64_t number = 0;
  entry_stage stage = entry_stage::kServing;
  uint32_t queued_tasks = 0;
  uint64_t config_version = 0;
  /// Within a data centre only.
  std::vector<slot_report> slots;
  /// Addresses of upstream instances that are known to be leaving.
  std::vector<std::string> leaving;
  /// Heartbeats of other entries, passed on: those of the sender's data centre
  /// to other data centres, and those of other data centres within its own.
  std::vector<heartbeat> relayed;
};

/// Another entry. It may be known only from the platform's rows.
struct peer {
  heartbeat last;
  /// When its newest heartbeat arrived, directly or relayed.
  instant last_heard;
  /// When a heartbeat last arrived from the peer itself.
  instant last_heard_directly;
  /// When the platform's rows last listed it.
  instant last_listed;
  bool ever_heard = false;
  bool ever_heard_directly = false;
  /// How many more heartbeats relay it within the data centre ahead of others.
  uint32_t urgent_relays = 0;
};

/// Number of messages and their estimated bytes, with transport headers.
struct traffic_count {
  uint64_t messages = 0;
  uint64_t bytes = 0;
};

/// Options for membership.
struct membership_options {
  incarnation self;
  uint16_t data_centre = 0;
  std::string address;
  /// Addresses from the settings, probed in turn while no live peer has them.
  std::vector<std::string> seeds;
  std::chrono::milliseconds heartbeat_interval{500};
  /// Heartbeat interval between the speakers of two data centres. The speaker
  /// is the entry that exchanges heartbeats with the other data centres.
  std::chrono::milliseconds remote_heartbeat_interval{4'000};
  /// A peer that has not been heard for longer is no longer live.
  std::chrono::milliseconds silence_limit{3'000};
  /// The same for entries of other data centres, which are relayed in turn.
  std::chrono::milliseconds remote_silence_limit{30'000};
  /// Slot reports in one heartbeat; any more are sent in turn.
  uint32_t max_slot_reports = 6;
  /// Entries of other data centres that a heartbeat within the data centre
  /// relays; any more are relayed in turn. Urgent ones do not count.
  uint32_t max_remote_reports = 3;
  /// Addresses of leaving upstream instances in one heartbeat.
  uint32_t max_leaving_reports = 16;
  /// Silent entries of each data centre that are kept for probing.
  uint32_t max_silent_peers = 16;
};

/// The state of membership at one entry.
struct membership {
  membership_options options;
  /// The number of the last heartbeat that was sent.
  uint64_t last_number = 0;
  instant next_heartbeat;
  instant next_remote_heartbeat;
  std::map<incarnation, peer> peers;
  /// The highest configuration version heard, including from peers that have
  /// been removed since.
  uint64_t highest_config = 0;
  /// Stage and configuration version in the last heartbeat of this entry.
  entry_stage stage = entry_stage::kServing;
  uint64_t announced_config = 0;
  /// Round-robin positions among slot reports, remote peers, silent peers and
  /// seeds.
  size_t slot_cursor = 0;
  size_t remote_cursor = 0;
  size_t probe_cursor = 0;
  size_t seed_cursor = 0;
  traffic_count sent;
  traffic_count received;
};

/// A heartbeat and the address to send it to.
struct heartbeat_target {
  std::string address;
  heartbeat message;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_MEMBERSHIP_BASE_H_
