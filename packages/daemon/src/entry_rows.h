// This entry's own rows: the number of its incarnation and its place in the
// list of entries.
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

/// Table in which entries find each other; keys are instance names.
inline constexpr const char* kEntryTable = "tarragondrift-entries";

/// Writes an entry's row.
std::string FormatEntryRow(const fleet::entry_identity& identity);

/// Reads an entry's row; nothing when it can't be read.
std::optional<fleet::entry_identity> ParseEntryRow(const std::string& name,
                                                   const std::string& text);

/// Gets the next incarnation number from the store and keeps this entry's row
/// there; owned by one thread.
class entry_rows {
 public:
  entry_rows(const std::unique_ptr<fleet::row_port>& rows, run_on_owner run);

  /// Does the next step; nothing is pending once the row is written.
  void Tick(instant now);

  /// The number of this incarnation, once it is known.
  std::optional<uint64_t> Incarnation() const { return incarnation_; }

  /// Wants the row to be there from now on.
  void Announce(const fleet::entry_identity& identity);

  /// Wants the row to be gone from now on.
  void Withdraw();

  /// Takes note that the row is not as it should be.
  void RowChanged(const std::string& text);

 private:
  void AskNumber();
  void TakeNumber(const fleet::versioned_row& row);
  void WriteRow();
  void Pause(instant now);

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
