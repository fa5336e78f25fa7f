// The rows that an entry writes: the incarnation counter and its own row in the
// table of entries.
#ifndef TARRAGONDRIFT_DAEMON_ENTRY_ROWS_H_
#define TARRAGONDRIFT_DAEMON_ENTRY_ROWS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "table_follower.h"
#include "tarragondrift/core/time_base.h"
#include "tarragondrift/fleet/peer_base.h"
#include "tarragondrift/fleet/ports.h"

namespace tarragondrift {

/// Table for the discovery of entries; keys are instance names.
inline constexpr const char* kEntryTable = "tarragondrift-entries";

/// Serializes an entry's row.
std::string FormatEntryRow(const fleet::entry_identity& identity);

/// Parses an entry's row; returns empty when it is malformed.
std::optional<fleet::entry_identity> ParseEntryRow(const std::string& name,
                                                   const std::string& text);

/// Allocates an incarnation number from a counter in the store and keeps this
/// entry's row up to date. Not thread-safe.
class entry_rows {
 public:
  /// @param instance name of the instance; it selects one of several counters,
  ///   so that entries that start at the same time rarely conflict.
  entry_rows(const std::string& instance,
             const std::unique_ptr<fleet::row_port>& rows, run_on_owner run);

  /// Starts the next request to the store, unless one is in flight or none is
  /// due.
  void Tick(instant now);

  /// Returns the number of this incarnation once it is allocated.
  std::optional<uint64_t> Incarnation() const { return incarnation_; }

  /// Writes this entry's row, and restores it when it changes, until Withdraw.
  void Announce(const fleet::entry_identity& identity);

  /// Removes this entry's row.
  void Withdraw();

  /// Handles a change of this entry's row; an unexpected `text` is overwritten.
  void RowChanged(const std::string& text);

 private:
  void ReadCounter();
  void IncrementCounter(const fleet::versioned_row& row);
  void WriteRow();
  void Pause(instant now);

  uint64_t counter_;
  const std::unique_ptr<fleet::row_port>& rows_;
  run_on_owner run_;
  std::optional<uint64_t> incarnation_;
  std::optional<fleet::entry_identity> identity_;
  bool write_due_ = false;
  bool remove_ = false;
  bool in_flight_ = false;
  instant next_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_ENTRY_ROWS_H_
