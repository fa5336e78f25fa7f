#include "tarragondrift/core/record_group_cmd.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tarragondrift {

void AddRecord(record_group& group, start_record record) {
  group.waiting.push_back(std::move(record));
}

void SetWriters(record_group& group, uint32_t writers) {
  group.writers = std::max(writers, 1U);
}

std::chrono::microseconds WriteInterval(const record_group& group) {
  return std::chrono::microseconds(std::chrono::seconds(1)) * group.writers /
         std::max(group.options.writes_per_s, 1U);
}

std::vector<start_record> TakeWriteBatch(record_group& group, instant now) {
  if (!group.next_write.has_value()) {
    group.next_write = now + WriteInterval(group);
  }
  if (group.waiting.empty() || now < *group.next_write) {
    return {};
  }
  const size_t rows =
      std::min(group.waiting.size(), group.options.max_rows_per_write);
  const auto end = group.waiting.begin() + static_cast<std::ptrdiff_t>(rows);
  std::vector<start_record> batch(
      std::make_move_iterator(group.waiting.begin()),
      std::make_move_iterator(end));
  group.waiting.erase(group.waiting.begin(), end);
  group.next_write = now + WriteInterval(group);
  return batch;
}

}  // namespace tarragondrift
