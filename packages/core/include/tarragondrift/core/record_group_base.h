// Records that wait to be written to the table together, as plain data.
#ifndef TARRAGONDRIFT_CORE_RECORD_GROUP_BASE_H_
#define TARRAGONDRIFT_CORE_RECORD_GROUP_BASE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <variant>

#include "tarragondrift/core/entry_base.h"
#include "tarragondrift/core/time_base.h"

namespace tarragondrift {

/// A row that must be in the table before a first start.
using start_record = std::variant<claim_key, record_intent>;

/// Options of group commit; the budget is the same at all entries.
struct record_group_options {
  /// Writes a second of all entries together for records of starts.
  uint32_t writes_per_s = 190;
  /// Rows of one write.
  size_t max_rows_per_write = 100;
};

/// The records of one entry that wait for its turn to write.
struct record_group {
  record_group_options options;
  /// Live entries that share the budget.
  uint32_t writers = 1;
  std::deque<start_record> waiting;
  /// Before it, this entry's share of the budget is spent. Absent until the
  /// group is first looked at: a fresh entry has nothing saved up.
  std::optional<instant> next_write;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_RECORD_GROUP_BASE_H_
