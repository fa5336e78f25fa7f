// The rows by which entries find each other in the platform's table.
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

/// One entry's row.
struct entry_row {
  incarnation who;
  std::string data_centre;
  uint16_t data_centre_number = 0;
  /// Where peers reach it, "IP:port".
  std::string address;
  /// Who keeps its answers after its stop.
  std::optional<incarnation> successor;
  bool stopped = false;
};

/// One entry as the rows show it.
struct known_entry {
  entry_row row;
  /// Grows with each write of the row.
  uint64_t version = 0;
  /// When the row was last seen to change.
  instant changed;
  bool live = false;
};

/// All entries of an environment, by incarnation.
using entry_directory = std::map<incarnation, known_entry>;

/// An entry whose row has not changed for this long is taken for gone.
inline constexpr std::chrono::milliseconds kEntrySilence{8'000};
/// Between two writes of an entry's own row.
inline constexpr std::chrono::milliseconds kEntryRowInterval{2'000};

/// Writes an entry's own row.
result<void> WriteEntryRow(table_port& table, const std::string& environment,
                           const entry_row& row);

/// Reads the rows of all entries.
/// @param before what was known; rows that did not change age.
result<entry_directory> ReadEntryRows(table_port& table,
                                      const std::string& environment,
                                      const entry_directory& before,
                                      instant now);

/// Follows successors from an incarnation to an entry that runs.
/// @return nothing when the incarnation is unknown.
std::optional<entry_row> FindOwner(const entry_directory& entries,
                                   incarnation who);

/// Lists the live entries of a data centre in order, `self` included.
std::vector<incarnation> LiveEntriesOf(const entry_directory& entries,
                                       uint16_t data_centre_number,
                                       incarnation self);

/// Divides an instance's slots among the live entries of its data centre.
/// @param instance the address, so that remainders fall on different entries.
/// @return the slots of `self`; the sum over all entries is `slots`.
uint32_t DivideSlots(const std::vector<incarnation>& entries, incarnation self,
                     const std::string& instance, uint32_t slots);

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_ENTRY_REGISTRY_H_
