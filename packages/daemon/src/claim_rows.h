// The rows of the store that claims use: the list of witnesses, and a row for
// each claim that a witness did not answer.
#ifndef TARRAGONDRIFT_DAEMON_CLAIM_ROWS_H_
#define TARRAGONDRIFT_DAEMON_CLAIM_ROWS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "table_follower.h"
#include "tarragondrift/core/time_base.h"
#include "tarragondrift/fleet/engine_base.h"
#include "tarragondrift/fleet/ports.h"

namespace tarragondrift {

/// Table of the list of witnesses, and its only key.
inline constexpr const char* kWitnessTable = "tarragondrift-witnesses";
inline constexpr const char* kWitnessKey = "list";
/// Table of claims; keys are the ids of jobs.
inline constexpr const char* kClaimTable = "tarragondrift-claims";

/// Serializes the list of witnesses, without its version.
std::string FormatWitnessList(const fleet::witness_list& list);

/// Parses the list of witnesses; returns empty when it is malformed.
std::optional<fleet::witness_list> ParseWitnessList(const std::string& text,
                                                    uint64_t version);

/// Makes and removes the rows of claims. Not thread-safe.
class claim_rows {
 public:
  using outcome_handler =
      std::function<void(fleet::claim_row_outcome, instant)>;

  /// @param rows refers to the owner's pointer, which is dereferenced for each
  ///   call since the owner may replace the port.
  claim_rows(const std::unique_ptr<fleet::row_port>& rows, run_on_owner run);

  /// Makes the row of a claim, unless its job has one of another claim.
  void Make(const fleet::claim_row_write& write, outcome_handler done);

  /// Removes the row of a claim, unless its job has one of another claim by
  /// then. A row that cannot be removed is swept later.
  void Remove(const fleet::claim_row_removal& removal);

  /// Removes rows that nobody else does, as the entries that made them are
  /// gone: those that have been seen for longer than they are valid. One entry
  /// at a time calls this.
  void Sweep(instant now);

 private:
  void Check(const fleet::claim_row_write& write, outcome_handler done);
  void OnSwept(const std::string& part, const fleet::row_batch& batch,
               instant now);

  /// A row, and since when it has been seen.
  struct seen_row {
    uint64_t version = 0;
    instant since;
  };

  const std::unique_ptr<fleet::row_port>& rows_;
  run_on_owner run_;
  instant next_sweep_;
  size_t next_part_ = 0;
  bool sweeping_ = false;
  /// The rows seen at the last visit, by part and key.
  std::map<std::string, std::map<std::string, seen_row>> seen_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_CLAIM_ROWS_H_
