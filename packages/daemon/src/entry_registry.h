// Discovery of entries through rows in the platform's table.
#ifndef TARRAGONDRIFT_DAEMON_ENTRY_REGISTRY_H_
#define TARRAGONDRIFT_DAEMON_ENTRY_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tarragondrift/core/submission_base.h"
#include "tarragondrift/core/time_base.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// The row of an entry.
struct entry_row {
  incarnation who;
  std::string data_centre;
  uint16_t data_centre_number = 0;
  /// Address for peers, "IP:port".
  std::string address;
  /// The entry that keeps its answers after its stop.
  std::optional<incarnation> successor;
  bool stopped = false;
};

/// An entry as read from its row.
struct known_entry {
  entry_row row;
  /// Grows with each write of the row.
  uint64_t version = 0;
  /// When a change of the row was last read.
  instant changed;
  bool live = false;
};

/// All entries of an environment, by incarnation.
using entry_directory = std::map<incarnation, known_entry>;

/// An entry is considered dead when its row has not changed for this long.
inline constexpr std::chrono::milliseconds kEntryTimeout{8'000};
/// Interval between two writes of an entry's own row.
inline constexpr std::chrono::milliseconds kEntryRowInterval{2'000};

/// Writes an entry's own row, replacing the previous one.
result<void> WriteEntryRow(table_port& table, const std::string& environment,
                           const entry_row& row);

/// Reads the rows of all entries.
/// @param previous the last result; a row with an unchanged version keeps its
///   time of change, by which silent entries are found.
result<entry_directory> ReadEntryRows(table_port& table,
                                      const std::string& environment,
                                      const entry_directory& previous,
                                      instant now);

/// Follows successors from an incarnation to a running entry. The row returned
/// is marked as stopped when the last entry of the chain has no successor.
/// @return empty when an incarnation is unknown or the chain has a cycle.
std::optional<entry_row> FindOwner(const entry_directory& entries,
                                   incarnation who);

/// Returns the live entries of a data centre, sorted, including `self`.
std::vector<incarnation> LiveEntriesOf(const entry_directory& entries,
                                       uint16_t data_centre_number,
                                       incarnation self);

/// Divides an instance's slots among the live entries of its data centre.
/// @param instance its address, which rotates the entries that get one slot
///   more when the division leaves a remainder.
/// @return the slots of `self`; the sum over all entries is `slots`.
uint32_t DivideSlots(const std::vector<incarnation>& entries, incarnation self,
                     const std::string& instance, uint32_t slots);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_ENTRY_REGISTRY_H_
