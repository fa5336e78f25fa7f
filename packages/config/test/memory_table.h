// In-memory table with faults that a test sets for each write.
#ifndef TARRAGONDRIFT_CONFIG_TEST_MEMORY_TABLE_H_
#define TARRAGONDRIFT_CONFIG_TEST_MEMORY_TABLE_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// The fault injected into a write.
enum class write_fault {
  kNone,
  kUnavailable,
  /// The write takes effect and its reply is lost.
  kReplyLost,
  /// The reply is lost; the write takes effect when DeliverDelayed is called.
  kDelayed,
};

class memory_table final : public table_port {
 public:
  /// Faults of the next writes, in order; later writes have none.
  std::deque<write_fault> write_faults;
  bool reads_fail = false;
  /// Runs once, before the next write; simulates a concurrent operator.
  std::function<void()> before_write;
  size_t applied_writes = 0;

  result<table_row> Get(const std::string& key) override {
    if (reads_fail) {
      return result_code::kStoreUnavailable;
    }
    const auto at = rows_.find(key);
    if (at == rows_.end()) {
      return result_code::kNotFound;
    }
    return at->second;
  }

  result<std::vector<table_row>> List(const std::string& prefix) override {
    std::vector<table_row> found;
    for (auto at = rows_.lower_bound(prefix);
         at != rows_.end() && at->first.starts_with(prefix); ++at) {
      found.push_back(at->second);
    }
    return found;
  }

  result<void> Write(const std::vector<table_write>& writes) override {
    if (before_write) {
      std::exchange(before_write, nullptr)();
    }
    write_fault fault = write_fault::kNone;
    if (!write_faults.empty()) {
      fault = write_faults.front();
      write_faults.pop_front();
    }
    switch (fault) {
      case write_fault::kNone:
        return Apply(writes);
      case write_fault::kUnavailable:
        return result_code::kStoreUnavailable;
      case write_fault::kReplyLost:
        static_cast<void>(Apply(writes));
        return result_code::kStoreUnknown;
      case write_fault::kDelayed:
        delayed_.push_back(writes);
        return result_code::kStoreUnknown;
    }
    return result_code::kInternal;
  }

  /// Applies the delayed writes.
  void DeliverDelayed() {
    for (const auto& writes : std::exchange(delayed_, {})) {
      static_cast<void>(Apply(writes));
    }
  }

 private:
  result<void> Apply(const std::vector<table_write>& writes) {
    for (const table_write& write : writes) {
      const auto at = rows_.find(write.key);
      const uint64_t version = at == rows_.end() ? 0 : at->second.version;
      if (write.expected_version.value_or(version) != version) {
        return result_code::kStoreConflict;
      }
    }
    for (const table_write& write : writes) {
      if (write.erase) {
        rows_.erase(write.key);
        continue;
      }
      rows_[write.key] = table_row{
          .key = write.key, .value = write.value, .version = ++last_version_};
    }
    ++applied_writes;
    return outcome::success();
  }

  std::map<std::string, table_row> rows_;
  std::vector<std::vector<table_write>> delayed_;
  uint64_t last_version_ = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_CONFIG_TEST_MEMORY_TABLE_H_
