// Group commit of the records that must precede the first start of a job.
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

/// A row that must be in the table before the first start of a job.
using start_record = std::variant<claim_key, record_intent>;

/// Options of group commit; the budget is the same at all entries.
struct record_group_options {
  /// Write budget of all entries together for start records.
  uint32_t writes_per_s = 190;
  size_t max_rows_per_write = 100;
};

/// The start records of one entry that wait for its next write.
struct record_group {
  record_group_options options;
  /// Live entries that share the budget.
  uint32_t writers = 1;
  std::deque<start_record> waiting;
  /// Until then, this entry's share of the budget is spent. Absent before the
  /// first TakeWriteBatch: a new entry starts with no share saved up.
  std::optional<instant> next_write;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CORE_RECORD_GROUP_BASE_H_
