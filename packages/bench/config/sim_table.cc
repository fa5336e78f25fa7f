#include "sim_table.h"

#include <algorithm>

namespace tarragondrift::bench {

result<table_row> sim_table::Get(const std::string& key) {
  ++reads;
  if (down) {
    return result_code::kStoreUnavailable;
  }
  const auto at = rows_.find(key);
  if (at == rows_.end()) {
    return result_code::kNotFound;
  }
  return at->second;
}

result<std::vector<table_row>> sim_table::List(const std::string& prefix) {
  ++reads;
  if (down) {
    return result_code::kStoreUnavailable;
  }
  std::vector<table_row> found;
  for (auto at = rows_.lower_bound(prefix);
       at != rows_.end() && at->first.starts_with(prefix); ++at) {
    found.push_back(at->second);
  }
  return found;
}

result<void> sim_table::Write(const std::vector<table_write>& changes) {
  ++writes;
  if (Chance(rates.unavailable)) {
    return result_code::kStoreUnavailable;
  }
  if (Chance(rates.delayed)) {
    constexpr int kLongestDelayMs = 8'000;
    const std::chrono::milliseconds delay(
        std::uniform_int_distribution<int>(1, kLongestDelayMs)(random_));
    loop_.After(delay, [this, changes] { static_cast<void>(Apply(changes)); });
    return result_code::kStoreUnknown;
  }
  const bool lost = Chance(rates.reply_lost);
  if (down) {
    return result_code::kStoreUnavailable;
  }
  result<void> applied = Apply(changes);
  if (lost) {
    return result_code::kStoreUnknown;
  }
  return applied;
}

uint64_t sim_table::HeadVersionAt(instant when) const {
  const auto later = std::upper_bound(accepted_.begin(), accepted_.end(), when);
  return static_cast<uint64_t>(later - accepted_.begin());
}

std::optional<instant> sim_table::AcceptedAt(uint64_t version) const {
  if (version == 0 || version > accepted_.size()) {
    return std::nullopt;
  }
  return accepted_[version - 1];
}

result<void> sim_table::Apply(const std::vector<table_write>& changes) {
  for (const table_write& change : changes) {
    const auto at = rows_.find(change.key);
    const uint64_t version = at == rows_.end() ? 0 : at->second.version;
    if (change.expected_version.value_or(version) != version) {
      return result_code::kStoreConflict;
    }
  }
  for (const table_write& change : changes) {
    if (change.key == "config/production/head") {
      accepted_.push_back(loop_.now());
    }
    rows_[change.key] = table_row{
        .key = change.key, .value = change.value, .version = ++last_version_};
  }
  return outcome::success();
}

bool sim_table::Chance(double part) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < part;
}

}  // namespace tarragondrift::bench
