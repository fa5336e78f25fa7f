// Entries as they see each other, and what they send each other.
#ifndef TARRAGONDRIFT_FLEET_PEER_BASE_H_
#define TARRAGONDRIFT_FLEET_PEER_BASE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tarragondrift/core/time_base.h"
#include "tarragondrift/fleet/job_base.h"

namespace tarragondrift::fleet {

/// What an entry is and where it is reached.
struct entry_identity {
  /// Unique among all processes that ever ran; higher ones started later.
  uint64_t incarnation = 0;
  /// Name of the instance; the same after a restart.
  std::string name;
  /// "IP:port" for the other entries.
  std::string address;
  std::string data_centre;
  /// Processor that it may use, in thousandths of a core.
  uint32_t cpu_milli = 0;

  bool operator==(const entry_identity&) const = default;
};

/// Bounds of the slack by which queued tasks are counted: a task with more
/// slack lets those with less go first, so they do not wait for it.
inline constexpr std::array<std::chrono::milliseconds, 7> kSlackBounds{
    std::chrono::milliseconds{50},    std::chrono::milliseconds{100},
    std::chrono::milliseconds{200},   std::chrono::milliseconds{400},
    std::chrono::milliseconds{800},   std::chrono::milliseconds{1'600},
    std::chrono::milliseconds{60'000}};

/// Room and backlog at the workers of one upstream that an entry controls.
struct load_report {
  /// Tasks of mean size that could start now, on all workers, on those that
  /// are not slow, and on fast ones.
  uint32_t free_tasks = 0;
  uint32_t free_not_slow = 0;
  uint32_t free_fast = 0;
  /// Queued tasks whose slack is within each of kSlackBounds.
  std::array<uint32_t, kSlackBounds.size()> queued_within{};
  /// Tasks that end in a second, from what runs now.
  double ends_per_second = 0;
  uint32_t workers = 0;
};

/// Load by the name of the upstream.
using load_table = std::map<std::string, load_report>;

/// A worker that an entry controls.
struct worker_claim {
  std::string worker;
  uint64_t fence = 0;
};

/// Sent again and again: who is there and what it controls.
struct heartbeat {
  entry_identity from;
  bool leaving = false;
  uint64_t config_version = 0;
  std::vector<worker_claim> claims;
};

/// The caller of a part's job has gone or was answered.
struct part_cancel {
  part_ref ref;
};

/// A caller asked to end a job that may be anywhere.
struct job_cancel {
  std::string job;
};

/// A configuration that the receiver does not have yet, in the operator's
/// format.
struct config_update {
  uint64_t version = 0;
  std::string text;
};

using peer_message = std::variant<heartbeat, part_offer, part_cancel,
                                  part_result, job_cancel, config_update>;

/// Messages from one entry to another, in order.
struct envelope {
  uint64_t from = 0;
  /// Incarnation that it is meant for.
  uint64_t to = 0;
  /// Rises when earlier messages may have been lost.
  uint64_t stream = 0;
  /// The receiver's stream as the sender knew it. A receiver that began a new
  /// one does not act on offers made before the sender knew of it.
  uint64_t heard_stream = 0;
  load_table load;
  std::vector<peer_message> messages;
};

/// Another entry.
struct peer {
  entry_identity identity;
  /// When it became known here.
  instant discovered;
  /// Unset until a first message came.
  bool ever_heard = false;
  instant last_heard;
  /// Nothing was heard for too long, or its process is known to be over.
  bool silent = true;
  bool leaving = false;
  uint64_t stream_in = 0;
  uint64_t stream_out = 1;
  bool in_flight = false;
  /// When the last envelope left.
  instant sent;
  /// Since when tasks of its jobs are here; unset while there are none.
  std::optional<instant> origin_since;
  /// It waits for a sign of life, without content if there is none.
  bool keepalive_due = false;
  /// The delivery in flight carries more than a beat.
  bool in_flight_has_content = false;
  std::vector<peer_message> outbox;
  load_table load;
  /// Fences of the workers that it controls.
  std::map<std::string, uint64_t> claims;
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_PEER_BASE_H_
