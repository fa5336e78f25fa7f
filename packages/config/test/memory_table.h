// A table in memory whose faults a test scripts call by call.
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

/// What becomes of one write.
enum class write_fault {
  kNone,
  kUnavailable,
  /// It takes effect and its answer is lost.
  kReplyLost,
  /// Its answer is lost; it takes effect only when DeliverDelayed is called.
  kDelayed,
};

class memory_table final : public table_port {
 public:
  /// Faults of the coming writes, in order; none afterwards.
  std::deque<write_fault> write_faults;
  bool reads_fail = false;
  /// Runs before each write, as another operator's chance to come first.
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

  /// Lets the delayed writes arrive.
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
