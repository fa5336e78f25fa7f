// The entries that decide claims on jobs. All entries go by one list, a row of
// the platform's table service.
#ifndef TARRAGONDRIFT_FLEET_WITNESS_BASE_H_
#define TARRAGONDRIFT_FLEET_WITNESS_BASE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/core/time_base.h"

namespace tarragondrift::fleet {

/// A seat on the list, and the instance that holds it and decides the claims on
/// its jobs, whichever process of it is running. A handover changes neither the
/// seats nor the jobs of each.
struct witness {
  /// The holder.
  std::string name;
  std::string data_centre;
  /// CPU limit of the first holder, in thousandths of a core; jobs are spread
  /// in proportion to it.
  uint32_t cpu_milli = 0;
  /// Name of the seat, by which jobs are assigned to it: that of its first
  /// holder. Empty if there was no other.
  std::string seat;
  /// Number of handovers of the seat.
  uint32_t handovers = 0;

  bool operator==(const witness&) const = default;
};

inline const std::string& SeatOf(const witness& one) {
  return one.seat.empty() ? one.name : one.seat;
}

/// The list of witnesses.
struct witness_list {
  /// Version of its row, 0 if there is none.
  uint64_t version = 0;
  std::vector<witness> witnesses;
  /// The list before it, for as long as entries may go by that one. A claim
  /// needs the witnesses of both.
  std::vector<witness> former;
};

/// A list that is newer than the receiver's.
struct witness_update {
  witness_list list;
  /// Time since it is known to have been the one in the store.
  std::chrono::milliseconds age{0};
};

/// Tells the new holder of a seat that the sender has told it all claims of the
/// seat, and decides none any more.
struct seat_handover {
  std::string seat;
  /// Number of this handover.
  uint32_t number = 0;
};

/// A seat that this entry has got from another instance.
struct taken_seat {
  /// Number of the handover.
  uint32_t number = 0;
  /// When this entry learned of it.
  instant since;
  /// The holder before it has told its claims.
  bool told = false;
};

/// A seat that this entry has given to another instance.
struct given_seat {
  seat_handover handover;
  /// Name of the new holder.
  std::string to;
  /// When the new holder is told next, and how often it still is.
  instant next;
  uint32_t tells_left = 0;
};

/// What an entry knows of the list, and of the need to change it.
struct witness_table {
  witness_list list;
  /// The latest time at which the list is known to have been the one in the
  /// store; unset before the first.
  std::optional<instant> confirmed;
  /// When the store was last read; unset before the first time.
  std::optional<instant> read;
  /// The store had no list after this process had started, so that no claim was
  /// made before.
  bool was_absent = false;
  /// This instance was not on the list when the process first knew one, so that
  /// no process before it has granted claims of the seats that it gets.
  bool was_unlisted = false;
  /// Seats that other instances held before, by name.
  std::map<std::string, taken_seat> taken;
  std::vector<given_seat> given;
  /// Numbers of the handovers that were told, by seat.
  std::map<std::string, uint32_t> told;
  /// Since when this entry is leaving, and whether it waits for another one to
  /// take its seats.
  std::optional<instant> leaving_since;
  bool awaits_successor = false;
  /// Since when the list has the seats of its former one.
  instant former_since;
  /// Since when a witness of the list or the former one cannot be heard, by
  /// name.
  std::map<std::string, instant> missing_since;
  /// Since when a change of the list is due; unset while none is.
  std::optional<instant> change_due;
};

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_WITNESS_BASE_H_
